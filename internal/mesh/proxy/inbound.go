package proxy

import (
	"sync"
	"time"

	"milletmast/internal/mesh/admission"
	"milletmast/internal/mesh/controlapi"
	"milletmast/internal/mesh/controlstate"
	"milletmast/internal/mesh/discovery"
	"milletmast/internal/mesh/meshconfig"
	"milletmast/internal/mesh/registry"
	"milletmast/internal/sidecar"
)

const (
	maxBodyBytes    = 64 << 20
	probeTimeout    = time.Second
	probeInterval   = 300 * time.Millisecond // while the endpoint does not respond
	poolIdleTimeout = 8 * time.Second
	localLatency    = 5 * time.Millisecond // by which the deadline at the endpoint is before that of the sending proxy
	maxWarmup       = time.Minute          // a larger number of seconds is read as milliseconds
)

// inboundEndpoint is the endpoint beside this proxy, with its admission control and the connections
// to it.
type inboundEndpoint struct {
	proxy *Proxy
	pool  *sidecar.SingleServerPool

	mu                 sync.Mutex
	controller         *admission.Controller
	queued             map[*admission.Ticket]chan admission.Decision // each receives the outcome of a queued request
	timer              *time.Timer                                   // runs processQueue when a queued request is due
	probePath          string                                        // of the health check
	hasConfig          bool                                          // probePath is known
	heartbeatSequences heartbeatSequences
	unconfirmed        *controlapi.Heartbeat // the last one of an instance that no health check has confirmed; nil for none
	unconfirmedAt      time.Time             // when it was received
	connectFailures    int                   // requests in a row that could not be sent to the endpoint
	probing            bool
	lastProbe          time.Time
	instanceCount      float64 // number of instances seen: the incarnation of the server in pool
	service            string  // of the endpoint, as it last reported
	wasEvacuated       bool    // as of the last evacuation order
	wasEjected         bool    // as of the last configuration or zone change
}

func newInboundEndpoint(p *Proxy) *inboundEndpoint {
	ep := &inboundEndpoint{proxy: p, queued: map[*admission.Ticket]chan admission.Decision{}, heartbeatSequences: heartbeatSequences{}}
	ep.controller = admission.New(ep.limits(nil))
	ep.pool = sidecar.NewSingleServerPool(p.settings.Descriptors/4, poolIdleTimeout)
	ep.timer = time.AfterFunc(time.Hour, ep.processQueue)
	return ep
}

// limits returns the limits of the admission control under a configuration; nil for none yet.
func (ep *inboundEndpoint) limits(c *meshconfig.Config) admission.Limits {
	b := &ep.proxy.settings.Bounds
	out := admission.Limits{Drain: b.Drain, WarmupExcess: b.WarmupExcess, WarmupSlack: b.WarmupSlack}
	if c != nil {
		if s := c.Services[ep.proxy.serviceName()]; s != nil {
			out.WarmupRate, out.MaxConns = s.WarmupRate, s.MaxConns
		}
	}
	return out
}

// applyEvacuation applies an evacuation order and a configuration.
func (ep *inboundEndpoint) applyEvacuation(order controlstate.Evacuation, c *meshconfig.Config) {
	ep.mu.Lock()
	ep.controller.SetLimits(ep.limits(c))
	ep.controller.SetEvacuation(order.Version.Number, order.Active)
	evacuated := ep.controller.IsEvacuated()
	changed := false
	if c != nil {
		ep.hasConfig = true
		if s := c.Services[ep.proxy.serviceName()]; s != nil {
			ep.probePath = s.ProbePath
		}
		changed = ep.confirmWithoutHealthCheck()
	}
	if ep.wasEvacuated && !evacuated {
		ep.lastProbe = time.Time{}
	}
	ep.wasEvacuated = evacuated
	state, _ := ep.controller.State()
	ep.mu.Unlock()
	ep.processQueue()
	if state == admission.Unknown || !evacuated {
		ep.probe()
	}
	if changed {
		ep.publishRecord()
	}
}

// applyEjection treats the endpoint as warming up once it has returned from an ejection.
func (ep *inboundEndpoint) applyEjection(state *discovery.ClientState) {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	_, instanceID := ep.controller.State()
	ejection, ok := state.Ejection(instanceID)
	if ok && ejection.Returned && ep.wasEjected {
		ep.controller.AssumeWarmingUp()
	}
	ep.wasEjected = ok && !ejection.Returned
}

// heartbeat applies a heartbeat of the endpoint. It is acknowledged once admission control has
// applied it. A heartbeat by which another instance than the present one serves is applied once a
// health check has passed, see unconfirmed.go.
func (ep *inboundEndpoint) heartbeat(h *controlapi.Heartbeat) {
	ep.mu.Lock()
	_, current := ep.controller.State()
	if !ep.heartbeatSequences.advance(h, current) {
		ep.mu.Unlock()
		return // a late heartbeat
	}
	var changed bool
	switch {
	case h.Endpoint.ID == current:
		changed = ep.applyHeartbeat(h)
	case h.Endpoint.State == registry.Draining:
		changed = ep.applyOtherDraining(h)
	default:
		ep.awaitConfirmation(h)
		changed = ep.confirmWithoutHealthCheck()
	}
	isUnconfirmed := ep.isAwaitingConfirmation()
	ep.mu.Unlock()
	ep.processQueue()
	if changed {
		ep.publishRecord()
	}
	if isUnconfirmed {
		ep.probe()
	}
}

// applyHeartbeat applies a heartbeat of the present instance, or of one that becomes the present one. ep.mu is held.
func (ep *inboundEndpoint) applyHeartbeat(h *controlapi.Heartbeat) (changed bool) {
	e := &h.Endpoint
	state := admission.Serving
	if e.State == registry.Draining {
		state = admission.Draining
	}
	changed = ep.setState(e.ID, state)
	if _, current := ep.controller.State(); current != e.ID {
		return changed
	}
	before := ep.controller.WarmupLeft(time.Now())
	changed = changed || e.WarmupLeft > before+tickInterval || ep.controller.Capacity() != e.Capacity
	ep.controller.Report(time.Now(), e.Capacity, e.WarmupLeft)
	ep.service = e.Target
	return changed
}

// setState changes the state of an instance, and connects to a new one. ep.mu is held.
func (ep *inboundEndpoint) setState(instanceID string, to admission.State) bool {
	_, before := ep.controller.State()
	changed := ep.controller.SetState(time.Now(), instanceID, to)
	if _, now := ep.controller.State(); now != before {
		ep.instanceCount++
		ep.pool.SetServer(ep.proxy.settings.LocalApp, ep.instanceCount)
		ep.connectFailures = 0
	}
	if changed {
		ep.proxy.log.Info().Str("endpoint", instanceID).Str("state", to.String()).Msg("change endpoint state")
	}
	return changed
}

// deregister handles the end of an instance.
func (ep *inboundEndpoint) deregister(id string) {
	ep.mu.Lock()
	changed := ep.setState(id, admission.Gone)
	ep.dropUnconfirmed(id)
	ep.mu.Unlock()
	ep.processQueue()
	if changed {
		ep.publishRecord()
	}
}

// publishRecord announces the state of the endpoint to the control planes. It runs in the proxy's loop.
func (ep *inboundEndpoint) publishRecord() {
	ep.mu.Lock()
	state, instanceID := ep.controller.State()
	e := &registry.Endpoint{
		ID:         instanceID,
		Target:     ep.service,
		Capacity:   ep.controller.Capacity(),
		WarmupLeft: ep.controller.WarmupLeft(time.Now()),
	}
	ep.mu.Unlock()
	switch state {
	case admission.Unknown:
		e = nil
	case admission.Serving:
		e.State = registry.Serving
	case admission.Draining:
		e.State = registry.Draining
	default:
		e.State = registry.Gone
	}
	ep.proxy.record.Endpoint = e
	ep.proxy.announce()
}

// guessCapacity guesses the capacity of the endpoint from the records of other proxies: what an
// earlier process of this proxy reported of the same instance, or else the smallest capacity at its
// service. It runs in the proxy's loop.
func (ep *inboundEndpoint) guessCapacity(nodes []discovery.Node) {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	_, instanceID := ep.controller.State()
	smallest := 0
	for i := range nodes {
		e := nodes[i].Endpoint
		switch {
		case e == nil || e.Capacity <= 0:
		case e.ID == instanceID:
			ep.controller.GuessCapacity(e.Capacity)
			return
		case e.Target == ep.proxy.serviceName() && (smallest == 0 || e.Capacity < smallest):
			smallest = e.Capacity
		}
	}
	if smallest > 0 {
		ep.controller.GuessCapacity(smallest)
	}
}

// shutdown rejects all requests from a time on.
func (ep *inboundEndpoint) shutdown(from time.Time) {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	ep.controller.Shutdown(from)
}

// processQueue delivers the outcomes of queued requests.
func (ep *inboundEndpoint) processQueue() {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	ep.processQueueLocked()
}

func (ep *inboundEndpoint) processQueueLocked() {
	out, at := ep.controller.ProcessQueue(time.Now())
	for _, d := range out {
		ep.queued[d.Ticket] <- d.Decision
		delete(ep.queued, d.Ticket)
	}
	if !at.IsZero() {
		ep.timer.Reset(time.Until(at))
	}
}
