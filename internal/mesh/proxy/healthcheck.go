package proxy

import (
	"net/http"
	"time"

	"milletmast/internal/decimal"
	"milletmast/internal/exchange"
	"milletmast/internal/mesh/admission"
	"milletmast/internal/sidecar"
)

// checkHealth probes an endpoint whose state is unknown, that does not respond, or that awaits confirmation.
func (ep *inboundEndpoint) checkHealth() {
	ep.mu.Lock()
	state, _ := ep.controller.State()
	warm := ep.controller.WarmupLeft(time.Now()) == 0
	isUnconfirmed := ep.isAwaitingConfirmation()
	ep.mu.Unlock()
	if state == admission.Unknown || state == admission.Down || isUnconfirmed {
		ep.probe()
	}
	if e := ep.proxy.record.Endpoint; e != nil && e.WarmupLeft > 0 && warm {
		ep.publishRecord() // otherwise proxies that start later would treat it as warming up
	}
}

// probe sends a health check, unless one was sent just before.
func (ep *inboundEndpoint) probe() {
	ep.mu.Lock()
	ok := ep.probePath != "" && !ep.probing && time.Since(ep.lastProbe) > probeInterval
	path := ep.probePath
	if ok {
		ep.probing, ep.lastProbe = true, time.Now()
		if ep.instanceCount == 0 {
			ep.pool.SetServer(ep.proxy.settings.LocalApp, 0)
		}
	}
	ep.mu.Unlock()
	if !ok {
		return
	}
	ep.proxy.goroutines.Go(func() {
		head := func(time.Duration) []byte {
			return []byte("GET " + path + " HTTP/1.1\r\nHost: " + ep.proxy.settings.LocalApp + "\r\n")
		}
		outcome, r := ep.pool.RoundTrip(
			ep.proxy.ctx,
			&sidecar.Exchange{Head: head, OmitLength: true, MaxReplyBytes: 64 << 10},
			time.Now().Add(probeTimeout),
		)
		ep.proxy.loop.Post(func() { ep.handleProbe(outcome, r) })
	})
}

// handleProbe handles the result of a health check.
func (ep *inboundEndpoint) handleProbe(outcome exchange.Outcome, r *sidecar.Reply) {
	ep.mu.Lock()
	ep.probing = false
	state, instanceID := ep.controller.State()
	changed := false
	switch {
	case outcome == exchange.NotWritten:
		if state == admission.Serving {
			changed = ep.setState(instanceID, admission.Down)
		}
	case outcome == exchange.Completed && r.Header.Get(instanceHeader) != "":
		id := r.Header.Get(instanceHeader)
		switch {
		case r.Status == http.StatusOK:
			changed = ep.applyHealthy(id)
		case id != instanceID && state == admission.Serving: // the present instance is not at the address any more
			changed = ep.setState(instanceID, admission.Gone)
		}
		if _, now := ep.controller.State(); now == id {
			if ep.service == "" {
				ep.service = ep.proxy.serviceName()
			}
			left, reported := parseWarmupLeft(r.Header)
			if reported {
				changed = changed || left > ep.controller.WarmupLeft(time.Now())+tickInterval
				ep.controller.Report(time.Now(), ep.controller.Capacity(), left)
			}
		}
		ep.connectFailures = 0
	}
	ep.mu.Unlock()
	ep.processQueue()
	if changed {
		ep.publishRecord()
	}
}

// applyHealthy applies a passed health check of an instance. ep.mu is held.
func (ep *inboundEndpoint) applyHealthy(id string) (changed bool) {
	state, current := ep.controller.State()
	if id == current && state != admission.Unknown && state != admission.Down {
		ep.unconfirmed = nil // the present instance is at the address, and no other
		return false
	}
	return ep.confirm(id)
}

// Bounds of the number that an endpoint reports as its remaining warm-up time.
var (
	maxWarmupSeconds = decimal.FromInt(int64(maxWarmup / time.Second)) // above it, the number is in milliseconds
	maxWarmupNumber  = decimal.FromInt(1e9)
)

// parseWarmupLeft returns the remaining warm-up time that an endpoint reports, if it does. A number above maxWarmup in
// seconds is taken as milliseconds, and one out of range as 0. A text that is no decimal number reports nothing.
func parseWarmupLeft(h http.Header) (left time.Duration, reported bool) {
	n, err := decimal.Parse(h.Get(warmupHeader))
	switch {
	case err != nil:
		return 0, false
	case n.Sign() < 0 || n.Compare(maxWarmupNumber) > 0:
		return 0, true
	case n.Compare(maxWarmupSeconds) <= 0:
		return n.Duration(time.Second), true
	}
	return n.Duration(time.Millisecond), true
}
