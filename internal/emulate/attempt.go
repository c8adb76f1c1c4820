package emulate

import (
	"slices"

	"milletmast/balancer"
	"milletmast/internal/rules"
)

// attempt is one attempt of a call: one request that is sent to one server.
type attempt struct {
	call      *call
	number    int
	sentAt    float64
	server    *server
	conns     *serverConns // nil until a connection is open
	job       *job
	open      bool
	onNewConn bool // it opens a new connection
}

// startAttempt sends an attempt of a call to a server, on an idle connection or a new one. It times out at until.
func (h *sidecar) startAttempt(c *call, id uint32, until float64) {
	w := h.sim
	a := &attempt{call: c, number: len(c.attempts), sentAt: w.now(), server: w.serversByID[id], open: true}
	c.attempts = append(c.attempts, a)
	c.openAttempts++
	h.recordFirstSend(c)
	if c.budget != nil && a.number > 0 && !c.budget.Spend() {
		h.later(0, func() { a.end(balancer.NotSent) })
		return
	}
	w.result.attempts++
	w.record(&rules.Fact{Kind: rules.AttemptSent, Replica: h.replicaID(), Request: c.id, Attempt: uint16(a.number), Server: id})
	h.later(until-w.now(), func() { a.end(balancer.Timeout) })
	if a.server == nil {
		h.later(0, func() { a.end(balancer.NotSent) })
		return
	}
	l := h.connsTo(a.server)
	l.closeIdleSince(w.now() - idleFraction*w.scenario.Pool.IdleTimeout.MS())
	if n := len(l.idle); n > 0 {
		l.idle = l.idle[:n-1]
		a.conns = l
		w.clock.after(w.delay(h, a, 0), a.arrive)
		return
	}
	a.onNewConn = true
	h.later(w.scenario.Pool.ConnectTimeout.MS(), func() {
		if a.conns == nil {
			a.end(balancer.ConnectFailed)
		}
	})
	w.clock.after(w.delay(h, a, 0), a.connect)
}

// connect is the arrival of a new connection at its server.
func (a *attempt) connect() {
	w, s, h := a.call.sidecar.sim, a.server, a.call.sidecar
	if !a.open || !w.passes(h, s) {
		return // no reply: the attempt ends at the connect timeout
	}
	if s.state == down || s.conns >= s.spec.Connections {
		w.clock.after(w.delay(h, a, 1), func() { a.end(balancer.ConnectFailed) })
		return
	}
	a.conns = h.connsTo(s) // looked up again: the server may have restarted since the attempt started
	s.conns++
	a.conns.open++
	w.result.connections++
	w.clock.after(w.delay(h, a, 1)+w.delay(h, a, 2), a.arrive) // the reply to the connection, and the request after it
}

// arrive is the arrival of the request at its server.
func (a *attempt) arrive() {
	c, w, s := a.call, a.call.sidecar.sim, a.server
	if !w.passes(c.sidecar, s) {
		return
	}
	work := c.try.Work
	if a.onNewConn {
		work += s.spec.Handshake.MS()
	}
	if s.isCold() {
		w.record(&rules.Fact{
			Kind: rules.WorkArrived, Replica: c.sidecar.replicaID(), Request: c.id, Server: s.id, Work: work, Capacity: s.capacity(),
		})
	}
	a.job = &job{work: work, abandoned: !a.open, failureDraw: w.random.uniform(drawFailure, c.id, uint64(a.number))}
	a.job.onEnd = func(o jobOutcome) {
		if !w.passes(c.sidecar, s) {
			return
		}
		w.clock.after(w.delay(c.sidecar, a, 3), func() {
			switch o {
			case jobDone:
				a.end(balancer.OK)
			case jobFull:
				a.end(balancer.NotExecuted)
			case jobError:
				a.end(balancer.Error)
			default:
				a.end(balancer.Reset)
			}
		})
	}
	s.accept(a.job)
}

// end ends the attempt with an outcome. Later calls do nothing.
func (a *attempt) end(o balancer.Outcome) {
	c := a.call
	h := c.sidecar
	if !a.open {
		return
	}
	if h.stalled > h.sim.now() {
		incarnation := h.starts
		h.sim.clock.schedule(h.stalled, func() { h.run(incarnation, func() { a.end(o) }) })
		return
	}
	a.open = false
	if l := a.conns; l != nil && l.open > 0 {
		if o == balancer.OK || o == balancer.NotExecuted || o == balancer.Error {
			l.idle = append(l.idle, h.sim.now())
		} else {
			l.open--
			l.server.conns--
		}
	}
	if a.job != nil {
		a.job.abandoned = true
	}
	neverRan := o == balancer.NotExecuted || o == balancer.ConnectFailed || o == balancer.NotSent
	switch {
	case a.conns != nil || neverRan: // the request may have been written
	case o == balancer.Canceled:
		neverRan, o = true, balancer.NotSent
	default:
		neverRan, o = true, balancer.ConnectFailed
	}
	c.openAttempts--
	c.mayHaveExecuted = c.mayHaveExecuted || !neverRan
	h.sim.record(&rules.Fact{Kind: rules.AttemptEnded, Replica: h.replicaID(), Request: c.id, Attempt: uint16(a.number), MayRun: !neverRan})
	if o == balancer.OK {
		h.finish(c, rules.Served, 0)
	}
	h.handle(&balancer.Event{
		Kind: balancer.EvAttemptEnded, Request: c.event.Request, Attempt: uint16(a.number), Server: a.serverID(),
		Outcome: o, Elapsed: h.sim.now() - a.sentAt, RequestEnded: c.ended,
	})
	h.forget(c)
}

// serverID returns the id of the server; 0 if it no longer exists.
func (a *attempt) serverID() uint32 {
	if a.server == nil {
		return 0
	}
	return a.server.id
}

// serverConns are the connections of a sidecar to one server.
type serverConns struct {
	server *server
	idle   []float64 // for each idle connection the time since when it is idle, in ms
	open   int       // number of open connections, idle or in use
}

// connsTo returns the connections to a server.
func (h *sidecar) connsTo(s *server) *serverConns {
	l := h.conns[s.id]
	if l == nil {
		l = &serverConns{server: s}
		h.conns[s.id] = l
	}
	return l
}

// closeIdleSince closes the connections that have been idle since before a time.
func (l *serverConns) closeIdleSince(before float64) {
	n := 0
	for n < len(l.idle) && l.idle[n] < before {
		n++
	}
	l.closeOldest(n)
}

// closeOldest closes n idle connections, the oldest first.
func (l *serverConns) closeOldest(n int) {
	l.idle = slices.Delete(l.idle, 0, n)
	l.open -= n
	l.server.conns -= n
}

// dropAll drops all connections because the sidecar or the server has ended. Messages in transit are lost.
func (l *serverConns) dropAll() {
	l.server.conns -= l.open
	l.idle, l.open = nil, 0
}
