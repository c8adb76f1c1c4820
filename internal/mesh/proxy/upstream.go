package proxy

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"milletmast/balancer"
	"milletmast/internal/mesh/admission"
	"milletmast/internal/mesh/affinity"
	"milletmast/internal/mesh/discovery"
	"milletmast/internal/mesh/meshconfig"
	"milletmast/internal/mesh/registry"
	"milletmast/internal/sidecar"
)

// Times of a request.
const (
	defaultTargetLatency = 500 * time.Millisecond
	defaultDeadline      = 5 * time.Second

	targetLatencyFraction = 0.7  // of the deadline: minimum of the target latency, as a late response is worth something too
	queueTimeFraction     = 0.25 // of the target latency: time for which a request may be queued at one endpoint
	minQueueTime          = 60 * time.Millisecond
	retryAfterFraction    = 0.25 // of the remaining time: the longest Retry-After
	configWaitFraction    = 0.1  // of the remaining time: time for which a request waits for the first configuration
	maxConfigWait         = 250 * time.Millisecond
	admitTimeout          = 500 * time.Millisecond // beyond the queue time, until the decision on a large body is received
)

// Limits of a request.
const (
	extraAttempts    = 5       // attempts beyond those that may reach an endpoint, as some are rejected
	maxLocalAttempts = 5       // attempts in the own zone; the request is queued only at the last, as another endpoint may be free
	admitFirstBytes  = 8 << 10 // a body of this size or more is sent only once the request is admitted
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

// upstreamService is a service that requests are forwarded to: its decision modules and its
// endpoints.
type upstreamService struct {
	proxy *Proxy
	name  string

	mu            sync.Mutex
	lanes         [2]lane // for ordinary requests, and for those with large bodies
	proxies       int     // number of reachable proxies
	endpoints     []sidecar.ServiceEndpoint
	affinityTable *affinity.Table     // of the endpoints that accept requests; immutable
	instances     map[string]locality // by instance
	localCount    int                 // instances in the own zone that accept requests
	warmAt        time.Time           // when the first endpoint that accepts requests is warm; zero if there is none
	retryBudget   admission.RetryBudget
}

// locality is where an instance is.
type locality struct{ sameNode, sameZone bool }

// lane is a decision module and the classes that it was built for.
type lane struct {
	service *sidecar.Service
	classes []classKey
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

// newUpstreamService returns a service without endpoints and configuration.
func newUpstreamService(p *Proxy, name string) *upstreamService {
	bounds := &p.settings.Bounds
	return &upstreamService{
		proxy:         p,
		name:          name,
		proxies:       1,
		instances:     map[string]locality{},
		affinityTable: affinity.NewTable(nil),
		retryBudget:   admission.RetryBudget{Window: bounds.RetryWindow, Ratio: bounds.RetryRatio},
	}
}

// classOf returns the class of the requests of a route.
func classOf(route *meshconfig.Route) classKey {
	key := classKey{safe: route.Kind == meshconfig.Safe, targetLatency: route.TargetLatency, priority: route.Priority}
	if key.targetLatency == 0 {
		key.targetLatency = defaultTargetLatency
	}
	key.targetLatency = max(key.targetLatency, time.Duration(targetLatencyFraction*float64(route.Deadline)))
	return key
}

// configure applies a configuration. A module with new classes is rebuilt.
func (u *upstreamService) configure(config *meshconfig.Config) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for laneIndex := range u.lanes {
		lane := &u.lanes[laneIndex]
		classes := slices.Clone(lane.classes)
		for i := range config.Routes {
			for _, target := range config.Routes[i].Targets {
				key := classOf(&config.Routes[i])
				if target.Service == u.name && laneOf(&config.Routes[i]) == laneIndex && !slices.Contains(classes, key) {
					classes = append(classes, key)
				}
			}
		}
		if len(classes) > len(lane.classes) {
			lane.classes = classes
			u.rebuildModule(laneIndex)
		}
	}
}

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
			ConnIdleTimeout:         float64(moduleIdleTimeout.Milliseconds()),
		},
	}
	for _, key := range classes {
		class := balancer.Class{
			Name:           "class",
			PriorityWeight: topPriorityWeight / float64(int(1)<<min(max(key.priority, 0), maxPriority)),
			LateShare:      latePriorityWeight,
			LatencyTarget:  float64(key.targetLatency.Milliseconds()),
			Timeout:        float64(defaultDeadline.Milliseconds()),
		}
		class.Timeout = max(class.Timeout, class.LatencyTarget)
		if !key.safe {
			class.Effect = balancer.Unsafe
		}
		out.Classes = append(out.Classes, class)
	}
	return out
}

// rebuildModule replaces the module of a lane by one with its present classes, which takes over
// what the old one has learned. u.mu is held.
func (u *upstreamService) rebuildModule(laneIndex int) {
	lane := &u.lanes[laneIndex]
	settings := u.proxy.settings
	zones := u.zoneNames()
	var learned *balancer.LearnedState
	old := lane.service
	if old != nil {
		state := old.LearnedState()
		learned = &state
	}
	moduleSettings := moduleSettings(lane.classes, slices.Index(zones, settings.Zone))
	next, err := sidecar.NewService(moduleSettings, zones, rand.Uint64(), settings.Descriptors/4, learned)
	if err != nil {
		u.proxy.log.Error().Err(err).Str("service", u.name).Msg("create decision module")
		return
	}
	lane.service = next
	next.SetEndpoints(u.endpointsFor(laneIndex), moduleReplicas, 0)
	if old != nil {
		u.proxy.goroutines.Go(func() { old.Shutdown(u.proxy.ctx, time.Now().Add(retireTimeout)) })
	}
}

// abort responds to all requests in flight, which ends them.
func (u *upstreamService) abort() {
	u.forEachModule((*sidecar.Service).RespondToAll)
}

// close ends the service and the requests in flight.
func (u *upstreamService) close() {
	u.forEachModule(func(s *sidecar.Service) { s.Shutdown(u.proxy.ctx, time.Now()) })
}

// forEachModule calls a function for each module.
func (u *upstreamService) forEachModule(do func(*sidecar.Service)) {
	u.mu.Lock()
	lanes := u.lanes
	u.mu.Unlock()
	for _, lane := range lanes {
		if lane.service != nil {
			do(lane.service)
		}
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

// updateEndpoints passes the endpoints of the service to its modules. It runs in the proxy's loop.
func (u *upstreamService) updateEndpoints(nodes []discovery.Node) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.instances, u.endpoints = map[string]locality{}, nil
	u.proxies, u.localCount, u.warmAt = 0, 0, time.Time{}
	var accepting []affinity.Node
	for i := range nodes {
		node := &nodes[i]
		if !node.Unreachable {
			u.proxies++
		}
		endpoint := node.Endpoint
		if endpoint == nil || endpoint.Target != u.name || endpoint.State == registry.Gone {
			continue
		}
		if u.addEndpoint(node) {
			accepting = append(accepting, affinity.Node{Name: endpoint.ID, Weight: endpoint.Capacity})
		}
	}
	u.proxies = max(u.proxies, 1)
	u.affinityTable = affinity.NewTable(accepting)
	for laneIndex, lane := range u.lanes {
		if lane.service != nil {
			lane.service.SetEndpoints(u.endpointsFor(laneIndex), moduleReplicas, 0)
		}
	}
}

// addEndpoint adds the endpoint of a node, and reports whether it accepts requests. u.mu is held.
func (u *upstreamService) addEndpoint(node *discovery.Node) (accepts bool) {
	proxy, endpoint := u.proxy, node.Endpoint
	at := locality{sameNode: node.Node == proxy.settings.Node, sameZone: node.Zone == proxy.settings.Zone}
	ejection, ejected := proxy.state.Ejection(endpoint.ID)
	accepts = node.AcceptsRequests() && !proxy.state.IsEvacuated(node.Zone) &&
		proxy.avoided[endpoint.ID].IsZero() && (!ejected || ejection.Returned)
	u.instances[endpoint.ID] = at
	u.endpoints = append(
		u.endpoints,
		sidecar.ServiceEndpoint{Name: endpoint.ID, Addr: node.InboundAddr, Zone: node.Zone, Draining: !accepts},
	)
	if !accepts {
		return false
	}
	if at.sameZone {
		u.localCount++
	}
	if warmAt := node.Since.Add(endpoint.WarmupLeft); u.warmAt.IsZero() || warmAt.Before(u.warmAt) {
		u.warmAt = warmAt
	}
	return true
}
