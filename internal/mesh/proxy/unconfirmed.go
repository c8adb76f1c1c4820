package proxy

import (
	"maps"
	"time"

	"milletmast/internal/mesh/admission"
	"milletmast/internal/mesh/controlapi"
)

// A heartbeat may arrive seconds late, and the state of this process does not include what an earlier process of this proxy has
// acknowledged: that an instance drains or has ended. So a heartbeat of another instance than the present one does not make that instance
// serve. The health check of the endpoint does: its response has the id of the instance at the address, and it fails once that instance
// is leaving. A late heartbeat can then neither revive an instance nor replace a live one, with no state that outlives a process.

const (
	maxHeartbeatSequences = 64              // instances whose last sequences are kept
	unconfirmedTimeout    = 5 * time.Second // after the last heartbeat of an instance that no health check has confirmed
)

// heartbeatSequences holds the sequence of the last heartbeat of each instance.
type heartbeatSequences map[string]uint64

// advance records a heartbeat. It returns false if a later one of its instance was received before. At the limit only that of
// the present instance is kept.
func (s heartbeatSequences) advance(h *controlapi.Heartbeat, current string) bool {
	if last, ok := s[h.Endpoint.ID]; ok && h.Sequence < last {
		return false
	}
	if len(s) >= maxHeartbeatSequences {
		maps.DeleteFunc(s, func(id string, _ uint64) bool { return id != current })
	}
	s[h.Endpoint.ID] = h.Sequence
	return true
}

// awaitConfirmation keeps a heartbeat until a health check confirms its instance. ep.mu is held.
func (ep *inboundEndpoint) awaitConfirmation(h *controlapi.Heartbeat) {
	if ep.unconfirmed == nil || ep.unconfirmed.Endpoint.ID != h.Endpoint.ID {
		ep.proxy.log.Info().Str("endpoint", h.Endpoint.ID).Msg("await health check of endpoint")
	}
	ep.unconfirmed, ep.unconfirmedAt = h, time.Now()
}

// isAwaitingConfirmation reports whether an instance awaits confirmation. One whose heartbeats have ceased is dropped. ep.mu is held.
func (ep *inboundEndpoint) isAwaitingConfirmation() bool {
	if ep.unconfirmed != nil && time.Since(ep.unconfirmedAt) > unconfirmedTimeout {
		ep.unconfirmed = nil
	}
	return ep.unconfirmed != nil
}

// dropUnconfirmed drops the unconfirmed heartbeat of an instance. ep.mu is held.
func (ep *inboundEndpoint) dropUnconfirmed(instanceID string) {
	if ep.unconfirmed != nil && ep.unconfirmed.Endpoint.ID == instanceID {
		ep.unconfirmed = nil
	}
}

// confirm makes the instance that a health check has found at the address, and that is not leaving, the present one. ep.mu is held.
func (ep *inboundEndpoint) confirm(instanceID string) (changed bool) {
	h := ep.unconfirmed
	ep.unconfirmed = nil // another instance than the one that was found is not there
	if h != nil && h.Endpoint.ID == instanceID {
		return ep.applyHeartbeat(h)
	}
	return ep.setState(instanceID, admission.Serving)
}

// confirmWithoutHealthCheck applies the unconfirmed heartbeat if the configuration has no health check for the service. ep.mu is held.
func (ep *inboundEndpoint) confirmWithoutHealthCheck() (changed bool) {
	if ep.unconfirmed == nil || !ep.hasConfig || ep.probePath != "" {
		return false
	}
	return ep.confirm(ep.unconfirmed.Endpoint.ID)
}

// applyOtherDraining applies the heartbeat of a draining instance that is not the present one. It never serves: it becomes the present
// one only where no other is left. ep.mu is held.
func (ep *inboundEndpoint) applyOtherDraining(h *controlapi.Heartbeat) (changed bool) {
	ep.dropUnconfirmed(h.Endpoint.ID)
	if state, _ := ep.controller.State(); state == admission.Unknown || state == admission.Gone {
		return ep.applyHeartbeat(h)
	}
	return ep.setState(h.Endpoint.ID, admission.Gone)
}
