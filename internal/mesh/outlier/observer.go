package outlier

import (
	"maps"
	"slices"
	"time"
)

// CallResult is the result of a call, as far as the instance is responsible for it.
type CallResult uint8

// The results of calls.
const (
	Succeeded CallResult = iota
	Failed               // the instance failed, or its response was invalid
	TimedOut             // no response in time, or no connection to the proxy beside the instance: the network may be the cause
)

// Opinion is the calls of one proxy to one instance within the window.
type Opinion struct {
	InstanceID        string
	Service           string
	Calls             int
	Failures          int
	FromEndpointProxy bool // by the proxy beside the endpoint, which observes every call and no network in between
}

// Observer records the calls of one proxy. It is not safe for concurrent use.
type Observer struct {
	limits    Limits
	instances map[string]*history
}

type history struct {
	service string
	calls   []call
}

type call struct {
	at     time.Time
	result CallResult
}

const maxCallsPerInstance = 64 // bounds the history of an instance

// NewObserver returns an observer without calls.
func NewObserver(limits Limits) *Observer {
	return &Observer{limits: limits, instances: map[string]*history{}}
}

// Record records the result of a call.
func (obs *Observer) Record(now time.Time, service, instance string, result CallResult) {
	h := obs.instances[instance]
	if h == nil {
		h = &history{service: service}
		obs.instances[instance] = h
	}
	h.calls = append(h.calls, call{now, result})
	if len(h.calls) > maxCallsPerInstance {
		h.calls = append(h.calls[:0], h.calls[len(h.calls)-maxCallsPerInstance:]...)
	}
}

// Opinions returns the present opinions, sorted by instance, and removes calls before the window. A
// proxy whose calls to most instances time out is itself unhealthy, or its link is: it has no
// opinions.
func (obs *Observer) Opinions(now time.Time) []Opinion {
	var out []Opinion
	timingOut, known := 0, 0
	for _, instance := range slices.Sorted(maps.Keys(obs.instances)) {
		h := obs.instances[instance]
		h.calls = slices.DeleteFunc(h.calls, func(c call) bool { return now.Sub(c.at) > obs.limits.Window })
		if len(h.calls) == 0 {
			delete(obs.instances, instance)
			continue
		}
		o := Opinion{InstanceID: instance, Service: h.service, Calls: len(h.calls)}
		timeouts := 0
		for _, c := range h.calls {
			if c.result != Succeeded {
				o.Failures++
			}
			if c.result == TimedOut {
				timeouts++
			}
		}
		if known++; 2*timeouts > len(h.calls) {
			timingOut++
		}
		if o.Calls >= obs.limits.MinCalls {
			out = append(out, o)
		}
	}
	if known > 1 && 2*timingOut > known {
		return nil
	}
	return out
}

// IsUnhealthy reports whether an opinion finds an instance unhealthy.
func (l *Limits) IsUnhealthy(o *Opinion) bool {
	return o.Failures >= l.MinFailures && float64(o.Failures) >= l.MinFailureRatio*float64(o.Calls)
}
