package proxy

import (
	"cmp"
	"context"
	"iter"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"milletmast/balancer"
	"milletmast/internal/mesh/meshconfig"
	"milletmast/internal/sidecar"
)

// Settings of the decision modules.
const (
	moduleIdleTimeout  = 15 * time.Second
	retireTimeout      = 30 * time.Second // until the requests of a replaced module are aborted
	topPriorityWeight  = 4.0              // of priority 0; each following priority has half the weight of the one before
	maxPriority        = 16               // higher numbers have the same weight
	latePriorityWeight = 0.3              // of a response after the target latency, relative to one in time
	minInFlight        = 5                // requests always allowed in flight to an endpoint; its admission control limits them exactly
	moduleReplicas     = 1                // replicas that a module assumes; admission control limits all together, so none has a share
	maxStreams         = 1024             // no effective limit between proxies; admission control limits the connections to endpoints
)

// Times of the classes of a module.
const (
	defaultTargetLatency  = 500 * time.Millisecond
	defaultDeadline       = 5 * time.Second        // of a route without one
	targetLatencyFraction = 0.7                    // of the deadline: minimum of the target latency, as a late response is worth something too
	minTargetLatency      = 100 * time.Millisecond // with less, endpoints at rest would count as overloaded, for the whole lane
)

// lane is a decision module and the classes that it was built for.
type lane struct {
	service  *sidecar.Service
	classes  []classKey
	requests *sync.WaitGroup // that use the module, or are about to
}

// The lanes of a service. Requests with large bodies stay in the own zone as long as an endpoint
// there can take them.
const (
	defaultLane = iota
	bulkLane
)

// laneOf returns the lane of a route.
func laneOf(route *meshconfig.Route) int {
	if route.Kind == meshconfig.Ingest {
		return bulkLane
	}
	return defaultLane
}

// classKey identifies a class of requests of the decision module.
type classKey struct {
	safe          bool
	targetLatency time.Duration
	priority      int
}

// classOf returns the class of the requests of a route.
func classOf(route *meshconfig.Route) classKey {
	deadline := cmp.Or(route.Deadline, defaultDeadline)
	targetLatency := cmp.Or(route.TargetLatency, defaultTargetLatency)
	return classKey{
		safe:          route.Kind == meshconfig.Safe,
		targetLatency: max(targetLatency, time.Duration(targetLatencyFraction*float64(deadline)), minTargetLatency),
		priority:      min(route.Priority, maxPriority),
	}
}

// classesOf returns the classes of the routes of a service in one lane.
func classesOf(config *meshconfig.Config, service string, laneIndex int) (classes []classKey) {
	for route := range laneRoutes(config, service, laneIndex) {
		if key := classOf(route); !slices.Contains(classes, key) {
			classes = append(classes, key)
		}
	}
	return classes
}

// laneRoutes returns the routes to a service in one lane; none without a configuration.
func laneRoutes(config *meshconfig.Config, service string, laneIndex int) iter.Seq[*meshconfig.Route] {
	return func(yield func(*meshconfig.Route) bool) {
		if config == nil {
			return
		}
		for i := range config.Routes {
			route := &config.Routes[i]
			if route.HasTarget(service) && laneOf(route) == laneIndex && !yield(route) {
				return
			}
		}
	}
}

// moduleClass returns the settings of a class.
func moduleClass(key classKey) balancer.Class {
	class := balancer.Class{
		Name:           "class",
		PriorityWeight: topPriorityWeight / float64(int(1)<<max(key.priority, 0)),
		LateShare:      latePriorityWeight,
		LatencyTarget:  milliseconds(key.targetLatency),
		Timeout:        milliseconds(max(defaultDeadline, key.targetLatency)),
	}
	if !key.safe {
		class.Effect = balancer.Unsafe
	}
	return class
}

// milliseconds returns a duration in the unit of the decision module, which has fractions.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// moduleSettings returns the settings of a decision module for some classes, in a zone with a number.
func moduleSettings(classes []classKey, zone int) balancer.Settings {
	out := balancer.Settings{
		Replicas: moduleReplicas,
		Zone:     zone,
		Limits: balancer.Limits{
			MaxAttempts:             extraAttempts + 2,
			RetryAfter:              true,
			StreamsPerConn:          maxStreams,
			MinConcurrencyPerServer: minInFlight,
			ConnIdleTimeout:         milliseconds(moduleIdleTimeout),
		},
	}
	for _, key := range classes {
		out.Classes = append(out.Classes, moduleClass(key))
	}
	return out
}

// moduleBuilder creates a decision module, as sidecar.NewService does.
type moduleBuilder func(
	settings balancer.Settings, zones []string, seed uint64, maxConns int, learned *balancer.LearnedState,
) (*sidecar.Service, error)

// moduleChange is a decision module that was built for a lane of a service, and is not in use yet.
type moduleChange struct {
	upstream  *upstreamService
	laneIndex int
	next      lane
}

// prepare builds the modules that the routes of a configuration need, and changes nothing. Classes that neither it nor the
// configuration in use has are left out. An error names the service and the routes whose module could not be built; the modules that
// were built before are returned with it.
func (u *upstreamService) prepare(config, inUse *meshconfig.Config) (changes []moduleChange, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for laneIndex := range u.lanes {
		present := &u.lanes[laneIndex]
		wanted := classesOf(config, u.name, laneIndex)
		isNew := func(key classKey) bool { return !slices.Contains(present.classes, key) }
		if !slices.ContainsFunc(wanted, isNew) {
			continue
		}
		next := lane{requests: &sync.WaitGroup{}, classes: present.stillUsed(wanted, classesOf(inUse, u.name, laneIndex))}
		for _, key := range wanted {
			if isNew(key) {
				next.classes = append(next.classes, key)
			}
		}
		if next.service, err = u.buildModule(present, next.classes); err != nil {
			return changes, Apply.Wrap(err, "service %s: routes %v", u.name, routesWith(config, u.name, laneIndex, isNew))
		}
		changes = append(changes, moduleChange{upstream: u, laneIndex: laneIndex, next: next})
	}
	return changes, nil
}

// stillUsed returns the classes of the lane that are among some others, in their present order.
func (l *lane) stillUsed(others ...[]classKey) (used []classKey) {
	for _, key := range l.classes {
		if slices.ContainsFunc(others, func(keys []classKey) bool { return slices.Contains(keys, key) }) {
			used = append(used, key)
		}
	}
	return used
}

// routesWith returns the names of the routes of a service in one lane whose classes match, with the fields that make the class.
func routesWith(config *meshconfig.Config, service string, laneIndex int, matches func(classKey) bool) (names []string) {
	for route := range laneRoutes(config, service, laneIndex) {
		if matches(classOf(route)) {
			names = append(names, route.Name+" (target_latency_s, deadline_s, priority)")
		}
	}
	return names
}

// buildModule returns a module for some classes, with what the present module of the lane has learned.
func (u *upstreamService) buildModule(present *lane, classes []classKey) (*sidecar.Service, error) {
	settings, zones := u.proxy.settings, u.zoneNames()
	zone := slices.Index(zones, settings.Zone)
	return u.proxy.buildModule(moduleSettings(classes, zone), zones, rand.Uint64(), settings.Descriptors/4, present.learnedFor(classes))
}

// learnedFor returns what the module of the lane has learned, for a module with other classes; nil if there is none. Classes that both
// have come first in the new one.
func (l *lane) learnedFor(classes []classKey) *balancer.LearnedState {
	if l.service == nil {
		return nil
	}
	state := l.service.LearnedState()
	var learned []balancer.LearnedClass
	for _, key := range classes {
		if i := slices.Index(l.classes, key); i >= 0 && i < len(state.Classes) {
			learned = append(learned, state.Classes[i])
		}
	}
	state.Classes = learned
	return &state
}

// apply puts the module of a change into use. The replaced module finishes its requests.
func (change *moduleChange) apply() {
	u := change.upstream
	u.mu.Lock()
	defer u.mu.Unlock()
	old := u.lanes[change.laneIndex]
	u.lanes[change.laneIndex] = change.next
	change.next.service.SetEndpoints(u.endpointsFor(change.laneIndex), moduleReplicas, 0)
	u.retire(old)
}

// retire ends the module of a lane that is not in use any more, once its requests have ended. u.mu is held.
func (u *upstreamService) retire(old lane) {
	if old.service == nil {
		return
	}
	u.retired = append(u.retired, old.service)
	u.proxy.goroutines.Go(func() {
		end := time.Now().Add(retireTimeout)
		old.awaitUnused(u.proxy.ctx, end)
		old.service.Shutdown(u.proxy.ctx, end)
		u.mu.Lock()
		defer u.mu.Unlock()
		u.retired = slices.DeleteFunc(u.retired, func(s *sidecar.Service) bool { return s == old.service })
	})
}

// retireModules ends all modules of the service, as no configuration in use names it. Its retry budget stays.
func (u *upstreamService) retireModules() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for laneIndex := range u.lanes {
		u.retire(u.lanes[laneIndex])
		u.lanes[laneIndex] = lane{}
	}
}

// awaitUnused waits until no request uses the module, or until a time or the end of the context. No request may begin to use it
// meanwhile.
func (l *lane) awaitUnused(ctx context.Context, end time.Time) {
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	unused := make(chan struct{})
	go func() {
		l.requests.Wait()
		close(unused)
	}()
	select {
	case <-unused:
	case <-ctx.Done():
	}
}

// discardModules ends modules that were never in use.
func discardModules(p *Proxy, changes []moduleChange) {
	for i := range changes {
		unused := changes[i].next.service
		p.goroutines.Go(func() { unused.Shutdown(p.ctx, time.Now()) })
	}
}

// endpointsFor returns the endpoints for a lane. u.mu is held.
func (u *upstreamService) endpointsFor(laneIndex int) []sidecar.ServiceEndpoint {
	if laneIndex != bulkLane {
		return u.endpoints
	}
	endpoints := slices.Clone(u.endpoints)
	for i := range endpoints {
		endpoints[i].Backup = endpoints[i].Zone != u.proxy.settings.Zone
	}
	return endpoints
}

// zoneNames returns the names of all zones, in the order in which the module numbers them.
func (u *upstreamService) zoneNames() []string {
	var names []string
	for zone := range u.proxy.settings.Zones {
		names = append(names, zone)
	}
	slices.Sort(names)
	return names
}
