package sidecar

import (
	"net/http"
	"strconv"
	"time"

	"milletmast/balancer"
	"milletmast/internal/vhost"
)

// maxTotalAttempts bounds the attempts of one request, over all pools that it is sent to.
const maxTotalAttempts = 4

// errorPageHandler handles a request of a site whose response an error page may replace (vhost.ErrorPage).
type errorPageHandler struct {
	router    *listenerRouter
	client    *clientConn
	arrivedAt time.Time
	head      message // as received
	host      string
	maxBody   int64
	outcome   vhost.Outcome
	effect    balancer.Effect // of the first call
	firstCall *call           // it holds the body
}

// replacement replaces a response, either by another response or by that of a call that is made first.
type replacement struct {
	response *response
	next     *intakeResult
	isPage   bool // next is a separate request, for a page
	status   int  // see vhost.Outcome
}

// effectOf returns the effect of repeating a request in the pool that an outcome sends it to.
func (d *listenerRouter) effectOf(out *vhost.Outcome) balancer.Effect {
	p := d.pools[out.Do.Pool]
	return p.settings.Classes[p.classes[out.Class]].Effect
}

// removeRequestFields removes the headers that apply only to the request whose response a page replaces: its conditions, its range
// and its body.
func removeRequestFields(h http.Header) {
	for _, name := range []string{
		"Range", "If-Range", "If-Match", "If-None-Match", "If-Modified-Since", "If-Unmodified-Since", "Idempotency-Key", "Expect",
		"Content-Type", "Content-Encoding",
	} {
		h.Del(name)
	}
}

// statuses returns the statuses by which an error page is looked up. The statuses of nginx, for which the pages were written, are
// 502 for a pool without a usable server, where this sidecar rejects with 503, and 504 for a server that is too slow.
func (h *errorPageHandler) statuses(r *response) []int {
	switch {
	case r.isLocal && r.status == statusRefused:
		return []int{http.StatusServiceUnavailable, http.StatusBadGateway}
	case r.isLocal && r.timedOut:
		return []int{http.StatusGatewayTimeout}
	case r.isLocal:
		return []int{http.StatusBadGateway}
	case h.outcome.Intercepts() && r.status >= 300:
		return []int{r.status}
	}
	return nil
}

// replace returns the replacement of a response; nil for none. A request is sent to a named location only as its class allows: once
// it may have been executed, only if it is safe in both pools. It never gets more attempts than a request may have, nor more time
// than its client waits.
func (h *errorPageHandler) replace(r *response) *replacement {
	if h.outcome.Status != 0 { // the call was itself a request for a page
		return h.replacePageStatus(r)
	}
	out, ok := h.outcome.Recover(h.statuses(r)...)
	if !ok {
		return nil
	}
	if a := out.Answer; a != nil {
		return &replacement{response: fixedResponse(a.Status, a.Body, a.Location, out.Method), status: vhost.ReplacementStatus}
	}
	if !h.mayForward(r, &out) {
		return nil
	}
	head, ok := h.remainingHead()
	if !ok {
		return nil
	}
	if out.Page {
		head.length = 0
	}
	next := h.router.callForSite(h.client, &head, &out, h.host, h.maxBody)
	if next.call == nil || !h.limitAttempts(next.call, r) {
		return nil
	}
	if !out.Page {
		next.call.http.body = h.firstCall.http.body
	}
	return &replacement{next: &next, isPage: out.Page, status: out.Status}
}

// replacePageStatus returns the response of a page with the status that the site gives it.
func (h *errorPageHandler) replacePageStatus(r *response) *replacement {
	if h.outcome.Status == vhost.ReplacementStatus || r.isLocal {
		return nil
	}
	page := *r
	page.status = h.outcome.Status
	return &replacement{response: &page, status: vhost.ReplacementStatus}
}

// mayForward reports whether the request may be sent to another location after a response.
func (h *errorPageHandler) mayForward(r *response, out *vhost.Outcome) bool {
	if h.firstCall.http.upload != nil || r.attempts >= maxTotalAttempts {
		return false
	}
	isRepeat := !out.Page && r.mayHaveExecuted
	return !isRepeat || h.effect == balancer.Safe && h.router.effectOf(out) == balancer.Safe
}

// remainingHead returns the head of the request with the remaining time of its client; false if there is none left.
func (h *errorPageHandler) remainingHead() (message, bool) {
	head := h.head
	head.header = h.head.header.Clone()
	if seconds, given, _ := parseDeadline(head.header); given {
		if seconds -= time.Since(h.arrivedAt).Seconds(); seconds <= 0 {
			return message{}, false
		}
		head.header.Set("X-Deadline", strconv.FormatFloat(seconds, 'f', 3, 64))
	}
	return head, true
}

// limitAttempts gives a call the attempts that the request has left, also in its tree of calls; false if there is none.
func (h *errorPageHandler) limitAttempts(next *call, r *response) bool {
	left := maxTotalAttempts - r.attempts
	if tree := next.tree; tree != nil {
		tree.budget = h.firstCall.tree.budget
		if r.attempts > 0 && !tree.budget.Spend() {
			return false
		}
		left = min(left, 1+tree.budget.Remaining())
	}
	if next.event.MaxAttempts == 0 || next.event.MaxAttempts > left {
		next.event.MaxAttempts = left
	}
	return true
}

// replaceResponse returns the final response to a request whose response may be replaced; false if the client disconnects first.
func (f *frontend) replaceResponse(c *clientConn, t *intakeResult, r response) (response, bool) {
	s := t.replace(&r)
	if s == nil {
		return r, true
	}
	if r.stream != nil { // its body is not used, and cannot be if the replacement fails
		t.loop.post(func() { t.loop.abortAttempts(t.call) })
		r.stream, r.body = nil, nil
	}
	if s.response != nil {
		return r.replacedBy(*s.response, s.status), true
	}
	next, ok := f.awaitResponse(c, s.next)
	switch {
	case !ok:
		return next, false
	case !next.isLocal:
		return r.replacedBy(next, s.status), true
	case !s.isPage && next.mayHaveExecuted && r.status == statusRefused: // it is not certain any more that nothing was executed
		return next, true
	}
	return r, true
}

// replacedBy returns the replacement of a response, with the status that it is to have. With the status of a rejection
// it also gets the Retry-After.
func (r *response) replacedBy(next response, status int) response {
	switch status {
	case vhost.ReplacementStatus:
		return next
	case 0:
		next.status, next.retryAfter, next.callOutcome, next.notExecuted = r.status, r.retryAfter, r.callOutcome, r.notExecuted
	default:
		next.status = status
	}
	if next.length == lengthUnknown && next.stream == nil { // it had no body because of its own status
		next.noBody = false
	}
	return next
}
