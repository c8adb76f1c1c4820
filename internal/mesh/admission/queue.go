package admission

import (
	"cmp"
	"slices"
	"time"
)

// Ticket is a request that is admitted or queued.
type Ticket struct {
	Request
	sequence   uint64
	ahead      bool // goes before other requests of its priority
	admitted   bool
	admittedAt time.Time
}

// precedence orders tickets of one priority: a higher one goes first.
func (t *Ticket) precedence() int {
	if t.ahead {
		return 1
	}
	return 0
}

func (c *Controller) admit(now time.Time, t *Ticket) {
	t.admitted, t.admittedAt = true, now
	c.inFlight++
	if c.firstAdmission.IsZero() {
		c.firstAdmission = now
	}
	c.dropOldAdmissions(now)
	c.admissions = append(c.admissions, now)
}

// Admit decides on a request. After the decision Queue, ProcessQueue returns the outcome later; call
// it at once, as the request may have displaced another one from the queue.
func (c *Controller) Admit(now time.Time, req Request) (*Ticket, Decision) {
	if decision := c.rejection(now, req.InstanceID); decision != Admit {
		return nil, decision
	}
	t := &Ticket{Request: req}
	c.lastSequence++
	t.sequence, t.ahead = c.lastSequence, req.NonRepeatable && c.isWarmingUp(now)
	position, _ := slices.BinarySearchFunc(c.queue, t, compareTickets)
	decision := c.capacityDecision(now)
	if decision == Admit && position == 0 {
		c.admit(now, t)
		return t, Admit
	}
	if decision == WarmingUp && !req.WaitDuringWarmup || !now.Before(req.Deadline) || !c.makeRoom(t, cmp.Or(decision, Full)) {
		return nil, cmp.Or(decision, Full)
	}
	c.queue = slices.Insert(c.queue, position, t)
	return t, Queue
}

// compareTickets orders the queue: by priority, then by precedence, then by arrival.
func compareTickets(a, b *Ticket) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(b.precedence(), a.precedence()), cmp.Compare(a.sequence, b.sequence))
}

// makeRoom reports whether the queue has room for a ticket. In a full queue, a ticket displaces the
// last one if that one has a lower priority: else a queue full of patient requests of a low priority
// would reject those of a high one. The displaced request is rejected for the given reason.
func (c *Controller) makeRoom(t *Ticket, reason Decision) bool {
	if len(c.queue) < c.maxInFlight() {
		return true
	}
	last := c.queue[len(c.queue)-1]
	if last.Priority <= t.Priority {
		return false
	}
	c.queue = c.queue[:len(c.queue)-1]
	c.displaced = append(c.displaced, QueueOutcome{last, reason})
	return true
}

// Recheck decides again on a request that was admitted before its body was received and is sent to
// the endpoint only now. With any decision but Admit, the request is released.
func (c *Controller) Recheck(now time.Time, t *Ticket) Decision {
	decision := c.rejection(now, t.InstanceID)
	if i := slices.Index(c.admissions, t.admittedAt); decision == Admit && now.After(t.admittedAt) {
		if i >= 0 {
			c.admissions = slices.Delete(c.admissions, i, i+1)
		}
		if c.isWarmingUp(now) && c.nextWarmupSlot(now).After(now) {
			decision = WarmingUp
		} else {
			c.admissions = append(c.admissions, now)
		}
	}
	if decision != Admit {
		c.Release(t)
	}
	return decision
}

// Release ends a request, whether it was admitted or queued.
func (c *Controller) Release(t *Ticket) {
	if t.admitted {
		c.inFlight--
		t.admitted = false
		return
	}
	if i := slices.Index(c.queue, t); i >= 0 {
		c.queue = slices.Delete(c.queue, i, i+1)
	}
	c.displaced = slices.DeleteFunc(c.displaced, func(d QueueOutcome) bool { return d.Ticket == t })
}

// minTime returns the earlier of two times; a is ignored if it is zero.
func minTime(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// QueueOutcome is the outcome of a queued request.
type QueueOutcome struct {
	Ticket   *Ticket
	Decision Decision
}

// queueDecision returns whether the endpoint can take a queued request now: Admit, Full or WarmingUp.
func (c *Controller) queueDecision(now time.Time, t *Ticket) Decision {
	decision := c.capacityDecision(now)
	if decision == Admit && t.WaitDuringWarmup && c.isWarmingUp(now) && c.nextQueueSlot(now).After(now) {
		return WarmingUp
	}
	return decision
}

// ProcessQueue decides on the queued requests as far as possible, and returns when to call it
// again; zero if no queued request remains.
func (c *Controller) ProcessQueue(now time.Time) (out []QueueOutcome, at time.Time) {
	out, c.displaced = c.displaced, nil
	keep := c.queue[:0:0]
	for _, t := range c.queue {
		if decision := c.rejection(now, t.InstanceID); decision != Admit {
			out = append(out, QueueOutcome{t, decision})
			continue
		}
		decision := c.queueDecision(now, t)
		if !now.Before(t.Deadline) || decision == WarmingUp && !t.WaitDuringWarmup {
			out = append(out, QueueOutcome{t, cmp.Or(decision, Full)})
		} else if decision == Admit {
			c.admit(now, t)
			out = append(out, QueueOutcome{t, Admit})
		} else {
			keep = append(keep, t)
			at = minTime(at, t.Deadline)
			if decision == WarmingUp {
				at = minTime(at, c.nextQueueSlot(now))
			}
		}
	}
	c.queue = keep
	return out, at
}
