package emulate

import "milletmast/internal/rules"

// clientTry is one try of a request: a caller may send the same request several times.
type clientTry struct {
	Arrival
	number    int
	at        float64 // when it starts, in ms
	isCounted bool    // its request arrived after the warm-up
	call      *call
	ended     bool
}

// summary returns the try for the result.
func (q *clientTry) summary() Try {
	return Try{At: q.at, Class: q.Class, Number: q.number, Counts: q.isCounted}
}

// scheduleArrivals schedules the requests, each when the one before arrives.
func (w *simulation) scheduleArrivals() {
	var next func()
	next = func() {
		a, ok := w.traffic.Next()
		if !ok {
			w.pendingTries--
			return
		}
		q := &clientTry{Arrival: a, number: 1, isCounted: a.At >= w.scenario.Warmup.MS()}
		w.pendingTries++
		w.clock.schedule(epoch+a.At, func() {
			w.startTry(q)
			next()
		})
	}
	w.pendingTries++
	next()
}

// chooseSidecar returns the sidecar for a caller: its home sidecar if that is up, otherwise the next one that is up, preferably of the
// same zone; nil for none.
func (w *simulation) chooseSidecar(home int) *sidecar {
	if h := w.sidecars[home]; h.up && !h.draining {
		return h
	}
	var other *sidecar
	for k := 1; k < len(w.sidecars); k++ {
		h := w.sidecars[(home+k)%len(w.sidecars)]
		if !h.up || h.draining {
			continue
		}
		if h.zone == w.sidecars[home].zone {
			return h
		}
		if other == nil {
			other = h
		}
	}
	return other
}

// startTry starts a try: it reaches a sidecar, and ends at the latest at its caller's timeout.
func (w *simulation) startTry(q *clientTry) {
	q.at = w.now()
	w.result.RecordTry(q.summary())
	w.clock.after(w.scenario.Pool.Classes[q.Class].GiveUp.MS(), func() { w.disconnectClient(q) })
	h := w.chooseSidecar(q.Home)
	if h == nil {
		w.endTry(q, rules.Failed, 0)
		return
	}
	if after, leaves := w.traffic.LeavesEarly(&q.Arrival, q.number); leaves {
		w.clock.after(after, func() { w.disconnectClient(q) })
	}
	incarnation := h.starts
	h.run(incarnation, func() {
		if !q.ended {
			h.startCall(q)
		}
	})
}

// disconnectClient ends a try without a response because its client closes the connection.
func (w *simulation) disconnectClient(q *clientTry) {
	if q.ended {
		return
	}
	if c := q.call; c != nil && !c.ended {
		h := c.sidecar
		h.run(h.starts, func() { h.handleDisconnect(c) })
	}
	w.endTry(q, 0, 0)
}

// deliverResponse delivers a final response to its client.
func (w *simulation) deliverResponse(c *call, answer rules.Answer, after float64) {
	if !c.try.ended {
		w.endTry(c.try, answer, after)
	}
}

// endTry ends a try, and schedules another if the caller retries. An answer of 0 means no response.
func (w *simulation) endTry(q *clientTry, answer rules.Answer, after float64) {
	q.ended = true
	w.pendingTries--
	wait, again := w.traffic.RetryAfter(&q.Arrival, q.number, answer, after)
	w.result.RecordEnd(q.summary(), answer, w.now(), !again)
	if !again {
		return
	}
	next := &clientTry{Arrival: q.Arrival, number: q.number + 1, isCounted: q.isCounted}
	w.pendingTries++
	w.clock.after(wait, func() { w.startTry(next) })
}
