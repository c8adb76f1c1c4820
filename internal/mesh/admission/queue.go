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

// Admit decides on a request. After the decision Queue, ProcessQueue returns the outcome later.
func (c *Controller) Admit(now time.Time, req Request) (*Ticket, Decision) {
	if decision := c.rejection(now, req.InstanceID); decision != Admit {
		return nil, decision
	}
	t := &Ticket{Request: req}
	decision := c.capacityDecision(now)
	if decision == Admit && len(c.queue) == 0 {
		c.admit(now, t)
		return t, Admit
	}
	if decision == WarmingUp && !req.WaitDuringWarmup || len(c.queue) >= c.maxInFlight() || !now.Before(req.Deadline) {
		return nil, cmp.Or(decision, Full)
	}
	c.lastSequence++
	t.sequence, t.ahead = c.lastSequence, req.NonRepeatable && c.isWarmingUp(now)
	at, _ := slices.BinarySearchFunc(c.queue, t, func(a, b *Ticket) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(b.precedence(), a.precedence()), cmp.Compare(a.sequence, b.sequence))
	})
	c.queue = slices.Insert(c.queue, at, t)
	return t, Queue
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

// ProcessQueue decides on the queued requests as far as possible, and returns when to call it
// again; zero if no queued request remains.
func (c *Controller) ProcessQueue(now time.Time) (out []QueueOutcome, at time.Time) {
	keep := c.queue[:0:0]
	for _, t := range c.queue {
		if decision := c.rejection(now, t.InstanceID); decision != Admit {
			out = append(out, QueueOutcome{t, decision})
			continue
		}
		decision := c.capacityDecision(now)
		if !now.Before(t.Deadline) || decision == WarmingUp && !t.WaitDuringWarmup {
			out = append(out, QueueOutcome{t, cmp.Or(decision, Full)})
		} else if decision == Admit {
			c.admit(now, t)
			out = append(out, QueueOutcome{t, Admit})
		} else {
			keep = append(keep, t)
			at = minTime(at, t.Deadline)
			if decision == WarmingUp {
				at = minTime(at, c.nextWarmupSlot(now))
			}
		}
	}
	c.queue = keep
	return out, at
}
