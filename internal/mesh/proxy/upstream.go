package proxy

import (
	"slices"
	"sync"
	"time"

	"milletmast/internal/mesh/admission"
	"milletmast/internal/mesh/affinity"
	"milletmast/internal/mesh/discovery"
	"milletmast/internal/mesh/registry"
	"milletmast/internal/sidecar"
)

// Times of a request.
const (
	queueTimeFraction  = 0.25 // of the target latency: time for which a request may be queued at one endpoint
	minQueueTime       = 60 * time.Millisecond
	retryAfterFraction = 0.25 // of the remaining time: the longest Retry-After
	configWaitFraction = 0.1  // of the remaining time: time for which a request waits for the first configuration
	maxConfigWait      = 250 * time.Millisecond
	admitTimeout       = 500 * time.Millisecond // beyond the queue time, until the decision on a large body is received
)

// Limits of a request.
const (
	extraAttempts    = 5       // attempts beyond those that may reach an endpoint, as some are rejected
	maxLocalAttempts = 5       // attempts in the own zone; the request is queued only at the last, as another endpoint may be free
	admitFirstBytes  = 8 << 10 // a body of this size or more is sent only once the request is admitted
)

// upstreamService is a service that requests are forwarded to: its decision modules and its
// endpoints.
type upstreamService struct {
	proxy *Proxy
	name  string

	mu            sync.Mutex
	lanes         [2]lane            // for ordinary requests, and for those with large bodies
	retired       []*sidecar.Service // replaced modules whose requests have not ended
	proxies       int                // number of reachable proxies
	endpoints     []sidecar.ServiceEndpoint
	affinityTable *affinity.Table     // of the endpoints that accept requests; immutable
	instances     map[string]locality // by instance
	localCount    int                 // instances in the own zone that accept requests
	warmAt        time.Time           // when the first endpoint that accepts requests is warm; zero if there is none
	retryBudget   admission.RetryBudget
}

// locality is where an instance is.
type locality struct{ sameNode, sameZone bool }

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

// abort responds to all requests in flight, which ends them.
func (u *upstreamService) abort() {
	u.forEachModule((*sidecar.Service).RespondToAll)
}

// close ends the service and the requests in flight.
func (u *upstreamService) close() {
	u.forEachModule(func(s *sidecar.Service) { s.Shutdown(u.proxy.ctx, time.Now()) })
}

// forEachModule calls a function for each module, also those that were replaced and still have requests.
func (u *upstreamService) forEachModule(do func(*sidecar.Service)) {
	u.mu.Lock()
	modules := slices.Clone(u.retired)
	for _, lane := range u.lanes {
		if lane.service != nil {
			modules = append(modules, lane.service)
		}
	}
	u.mu.Unlock()
	for _, module := range modules {
		do(module)
	}
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
