package proxy

import (
	"maps"
	"slices"
	"sync"
	"time"

	"milletmast/internal/mesh/outlier"
)

const opinionInterval = time.Second

// callObserver records the results of the calls of this proxy for outlier detection.
type callObserver struct {
	mu       sync.Mutex
	outbound *outlier.Observer // calls of clients on this machine
	inbound  *outlier.Observer // calls to the endpoint beside this proxy
	limits   outlier.Limits
	polled   map[string][]string // by control plane, the instances that it polls about
}

func newCallObserver() *callObserver {
	limits := outlier.DefaultLimits()
	return &callObserver{
		outbound: outlier.NewObserver(limits),
		inbound:  outlier.NewObserver(limits),
		limits:   limits,
		polled:   map[string][]string{},
	}
}

// recordOutbound records the result of a call to an instance.
func (obs *callObserver) recordOutbound(service, instance string, result outlier.CallResult) {
	obs.mu.Lock()
	defer obs.mu.Unlock()
	obs.outbound.Record(time.Now(), service, instance, result)
}

// recordInbound records the result of a call that was admitted here.
func (obs *callObserver) recordInbound(service, instance string, result outlier.CallResult) {
	obs.mu.Lock()
	defer obs.mu.Unlock()
	obs.inbound.Record(time.Now(), service, instance, result)
}

// setPolled sets the instances that a control plane polls about.
func (obs *callObserver) setPolled(controlPlane string, instances []string) {
	obs.mu.Lock()
	defer obs.mu.Unlock()
	if len(instances) == 0 {
		delete(obs.polled, controlPlane)
		return
	}
	obs.polled[controlPlane] = instances
}

// opinions returns the opinions to send: about instances that this proxy finds unhealthy, and about
// those that a control plane polls about.
func (obs *callObserver) opinions(now time.Time) []outlier.Opinion {
	obs.mu.Lock()
	defer obs.mu.Unlock()
	polled := slices.Concat(slices.Collect(maps.Values(obs.polled))...)
	all := obs.outbound.Opinions(now)
	for _, o := range obs.inbound.Opinions(now) {
		o.FromEndpointProxy = true
		all = append(all, o)
	}
	return slices.DeleteFunc(all, func(o outlier.Opinion) bool {
		return !obs.limits.IsUnhealthy(&o) && !slices.Contains(polled, o.InstanceID)
	})
}
