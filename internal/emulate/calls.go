package emulate

import (
	"container/list"
	"slices"

	"milletmast/balancer"
	"milletmast/internal/budget"
	"milletmast/internal/degradation"
	"milletmast/internal/rules"
)

// call is a request that a sidecar has accepted.
type call struct {
	sidecar         *sidecar
	event           balancer.Event
	id              uint64 // unique over all sidecars
	try             *clientTry
	arrivedAt       float64
	timeout         float64
	ended           bool
	mayHaveExecuted bool
	openAttempts    int
	attempts        []*attempt
	shedRule        *degradation.ShedRule
	queueElement    *list.Element
	budget          *budget.RetryBudget // nil for none
	admittedByFleet bool                // admitted by the load shedding that all sidecars share
}

// retryAfter returns the Retry-After of a rejection, in ms.
func (c *call) retryAfter(ms float64) float64 {
	if c.shedRule != nil && c.shedRule.Response.RetryAfter > 0 {
		return float64(c.shedRule.Response.RetryAfter.Microseconds()) / 1000
	}
	return ms
}

// startCall accepts a request.
func (h *sidecar) startCall(q *clientTry) {
	w := h.sim
	class := &w.scenario.Pool.Classes[q.Class]
	c := &call{sidecar: h, id: w.nextRequest(), try: q, arrivedAt: w.now()}
	giveUp := class.GiveUp.MS()
	c.timeout = giveUp - min(clientMargin, maxMarginShare*giveUp)
	h.lastID++
	c.event = balancer.Event{Kind: balancer.EvRequest, Request: h.lastID, Class: uint16(q.Class), Deadline: c.arrivedAt + c.timeout}
	h.calls[h.lastID] = c
	h.callOrder = append(h.callOrder, c)
	q.call = c
	w.record(&rules.Fact{
		Kind: rules.RequestReceived, Replica: h.replicaID(), Request: c.id, Class: uint16(q.Class), Due: c.arrivedAt + giveUp,
	})
	h.admitByLevel(c)
	h.admitByFleet(c)
	if n := w.scenario.Copies.Retries; n > 0 {
		c.budget = budget.NewRetryBudget(n)
		if c.event.MaxAttempts == 0 || c.event.MaxAttempts > 1+n {
			c.event.MaxAttempts = 1 + n
		}
	}
	h.later(c.event.Deadline+backstop-w.now(), func() { h.respondOverdue(c) })
	h.handle(&c.event)
	h.compactCallOrder()
}

// compactCallOrder removes ended calls from the order once they are more than half of it.
func (h *sidecar) compactCallOrder() {
	if len(h.callOrder) > 64 && len(h.callOrder) > 2*len(h.calls) {
		h.callOrder = slices.DeleteFunc(h.callOrder, func(c *call) bool { return h.calls[c.event.Request] != c })
	}
}

// finish gives a call its one final response.
func (h *sidecar) finish(c *call, answer rules.Answer, after float64) {
	if c.ended {
		return
	}
	c.ended = true
	h.recordLevelResult(c, answer)
	h.recordFleetResult(c, answer)
	h.sim.record(&rules.Fact{Kind: rules.RequestAnswered, Replica: h.replicaID(), Request: c.id, Answer: answer})
	h.sim.deliverResponse(c, answer, after)
	h.forget(c)
}

// forget removes a call that has ended and has no open attempt.
func (h *sidecar) forget(c *call) {
	if c.ended && c.openAttempts == 0 && h.calls[c.event.Request] == c {
		delete(h.calls, c.event.Request)
	}
}

// handleDisconnect handles a client that has closed its connection.
func (h *sidecar) handleDisconnect(c *call) {
	if c.ended {
		return
	}
	c.ended = true
	h.recordLevelResult(c, rules.Failed)
	h.sim.record(&rules.Fact{Kind: rules.ClientLeft, Replica: h.replicaID(), Request: c.id})
	h.handle(&balancer.Event{Kind: balancer.EvRequestAbandoned, Request: c.event.Request})
	h.abortAttempts(c)
	h.forget(c)
}

// abortAttempts aborts the open attempts of a call.
func (h *sidecar) abortAttempts(c *call) {
	for _, a := range c.attempts {
		if a.open {
			h.later(0, func() { a.end(balancer.Canceled) })
		}
	}
}

// respondOverdue responds to a call without a decision of the module. The response is a rejection only if no attempt can have been
// executed, and a failure otherwise.
func (h *sidecar) respondOverdue(c *call) {
	if c.ended {
		return
	}
	h.sim.result.backstops++
	answer := rules.Failed
	if !c.mayHaveExecuted && c.openAttempts == 0 {
		answer = rules.Refused
	}
	h.abortAttempts(c)
	h.finish(c, answer, 1000)
	h.handle(&balancer.Event{Kind: balancer.EvRequestAbandoned, Request: c.event.Request})
}
