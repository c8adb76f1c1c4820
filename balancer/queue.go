// A call comes, waits in the queue, and is sent or refused.

package balancer

import (
	"cmp"
	"math"
	"slices"
)

// arrive takes a new call: it is queued, or ended at once when the queue is full for it.
func (b *Balancer) arrive(ev *Event) {
	if b.requests[ev.Request] != nil || int(ev.Class) >= len(b.classes) {
		return
	}
	q := b.newRequest()
	q.id, q.class, q.tenant, q.due = ev.Request, ev.Class, ev.Tenant, ev.Due
	q.once, q.shed, q.prefer = ev.Spent, ev.Shed, ev.Prefer
	b.requests[q.id] = q
	if q.shed { // it says nothing of the demand on the servers, and earns no repeats
		b.end(q)
		return
	}
	c := &b.set.Classes[q.class]
	if q.worth, q.most = 1, ev.Attempts; ev.Worth > 0 && c.Worth > 0 {
		q.worth = ev.Worth / c.Worth
	}
	state := &b.classes[q.class]
	state.top = max(q.worth, state.top-topFade*state.top)
	q.aimAt = b.now + min(c.GiveUp, c.Aim+c.AimStretch*ev.Hint)
	if b.set.Stage > 0 && c.LateWorth == 0 {
		q.due = min(q.due, q.aimAt) // past the aim its caller's answer is worth nothing, but holds a slot
	}
	for i := range b.classes {
		b.classes[i].share -= servedGain * b.classes[i].share
	}
	b.classes[q.class].share += servedGain
	b.arrivals.Add(b.now, 1, demandTime)
	b.taken.CountSince(b.now - b.set.Safety.BudgetWindow)
	b.taken.Add(b.now)
	// queue_length: as many calls as were sent of late in the longest wait; unbounded with no server.
	over := b.overQuota(q)
	bound := (1 + queuePart*b.meanAim/1000*b.sends.Rate(demandLeast)) * b.valueShare(q, over)
	full, most := len(b.live) > 0 && len(b.queue) > int(bound), b.set.Limits.MaxOpen
	full = full || b.mustNotWait()
	full = full || over && b.firstRoom > heldLeast && float64(b.out) >= overRoom*b.room
	if full || most > 0 && len(b.requests) > most {
		b.end(q)
		return
	}
	b.enqueue(q, len(b.queue))
	b.probe(q)
}

// mustNotWait tells whether a call is to be ended at once for want of any server, where the host wishes that.
func (b *Balancer) mustNotWait() bool { return b.set.Limits.RefuseEmpty && len(b.live) == 0 }

// probe asks some servers what they hold, for a call that has just come. It acts where a
// probe costs next to nothing: a copy with few calls learns so what all copies have sent.
func (b *Balancer) probe(q *request) {
	if !b.probing || len(b.live) == 0 {
		return
	}
	q.asks++
	q.readyAt = b.now + probeWait*b.classes[q.class].threshold
	for range probeCount {
		s := b.live[int(b.random()*float64(len(b.live)))]
		for try := 0; try < lostTries && b.connLost > lostPart && !b.linked(s); try++ {
			s = b.live[int(b.random()*float64(len(b.live)))]
		}
		if !s.asked && !s.cut {
			s.asked = true
			b.asked++
			b.acts = append(b.acts, Action{Kind: ActProbe, Server: s.Server})
		}
	}
}

// enqueue puts a call into the queue, new ones at its end.
func (b *Balancer) enqueue(q *request, place int) {
	q.queued = true
	b.queue = slices.Insert(b.queue, place, q)
	b.sweepAt = min(b.sweepAt, b.lastStart(q))
}

// valueShare is the part of the queue that a call may fill: its worth for each unit of work against the best
// class's, so that cheap calls are refused first while the order stays first-in.
func (b *Balancer) valueShare(q *request, over bool) float64 {
	best := 0.0
	for i := range b.classes {
		best = max(best, b.value(i)*cmp.Or(b.classes[i].top, 1))
	}
	share := b.value(int(q.class)) * q.worth / max(best, 1e-9)
	if over {
		share *= b.set.OverShareWorth
	}
	return share
}

// value is what a call of a class adds to the goal for each unit of work; the aim stands in till that is
// measured. Where the goal counts the worst-served class by itself, a call of that class adds to that too.
func (b *Balancer) value(class int) float64 {
	c, state := &b.set.Classes[class], &b.classes[class]
	worth := c.Worth
	if b.set.Stage == 0 && b.worstServed() == class {
		mean := 0.0
		for i := range b.classes {
			mean += b.classes[i].share * b.set.Classes[i].Worth
		}
		worth += b.set.WorstClass * mean / max(state.share, latencyGain)
	}
	if b.set.WorthByWork || state.latency == 0 {
		return worth / c.Aim
	}
	return worth / state.latency
}

// worstServed is the class of which the smallest part is served within its aim; -1 if there is just one.
func (b *Balancer) worstServed() int {
	worst := -1
	for i := range b.classes {
		if len(b.classes) > 1 && (worst < 0 || b.classes[i].served < b.classes[worst].served) {
			worst = i
		}
	}
	return worst
}

// overQuota takes a call off its tenant's local quota and tells whether that was used up.
func (b *Balancer) overQuota(q *request) bool {
	if b.set.Stage > 0 || int(q.tenant) >= len(b.tenants) || b.tenants[q.tenant].rate <= 0 {
		return false
	}
	t := &b.tenants[q.tenant]
	t.tokens = min(t.most, t.tokens+(b.now-t.at)/1000*t.rate)
	t.at = b.now
	if t.tokens < 1 {
		return true
	}
	t.tokens--
	return false
}

// dispatch sends from the head of the queue while a server has credit for it.
func (b *Balancer) dispatch() {
	if b.now >= b.sweepAt {
		b.sweep()
	}
	if b.now >= b.roomAt {
		b.reviseRoom()
	}
	taken := 0
	for _, q := range b.queue {
		if !q.ended && !b.mayTry(q) {
			b.end(q) // the retry budget was used up while it waited
		}
		if !q.ended {
			if q.backAt > 0 && b.now >= q.backAt {
				q.backAt = 0
				b.probe(q) // held back before: old figures must not let it go blind
			}
			crowded := b.set.Stage == 0 && float64(b.out) >= b.room
			if crowded || b.now < q.backAt || b.asked > 0 && b.now < q.readyAt {
				break
			}
			if s := b.choose(q); s == nil || !b.send(q, s) {
				break
			}
		}
		q.queued = false
		b.release(q)
		taken++
	}
	if taken > 0 {
		b.queue = slices.Delete(b.queue, 0, taken)
	}
}

// sweep ends every waiting call that cannot be answered usefully any more, also behind the head.
func (b *Balancer) sweep() {
	b.sweepAt = math.Inf(1)
	for _, q := range b.queue {
		if at := b.lastStart(q); !q.ended && (b.now >= at || b.mustNotWait()) {
			b.end(q)
		} else if !q.ended {
			b.sweepAt = min(b.sweepAt, at)
		}
	}
	b.queue = slices.DeleteFunc(b.queue, func(q *request) bool {
		q.queued = !q.ended
		b.release(q)
		return q.ended
	})
}

// lastStart is the latest time at which sending is of use: at the front an answer past the aim is worthless.
// Past thresholdPart of the aim the mean answer does not count: a class never sent is never measured again.
func (b *Balancer) lastStart(q *request) float64 {
	until := q.due
	if b.set.Stage == 0 {
		until = min(until, q.aimAt)
	}
	return until - min(b.classes[q.class].latency, thresholdPart*b.set.Classes[q.class].Aim)
}
