package lamp

import (
	"time"

	"whinknot/internal/keeper"
	"whinknot/internal/lease"
)

// Contact is what a lighthouse knows of what was ordered, and until when it may speak for it: by the words of its keeper, and the lease that
// its answers to beats give. It is pure, and not safe for concurrent use.
type Contact struct {
	lease   lease.Lease
	known   *Orders
	inForce *keeper.InForce // Settled if the keeper had contact as it told it last; nil for nothing told
}

// NewContact makes one that knows nothing.
func NewContact() *Contact { return &Contact{known: NewOrders()} }

// Beat notes that a beat leaves for the keeper now, and numbers it.
func (c *Contact) Beat(now time.Time) uint64 { return c.lease.Beat(now) }

// Heard takes a word of the keeper. It tells whether pilots are to be told what is in force, and whether to beat at once, as the keeper has
// just gained contact.
func (c *Contact) Heard(now time.Time, w *keeper.Word) (news, beat bool) {
	gained := w.Beat > 0 && c.lease.Answered(now, w.Beat, w.Lease)
	before := c.inForce
	if w.InForce != nil {
		c.inForce = c.known.Learn(w.InForce)
	}
	news = now.Before(c.Until()) && (gained || !before.Same(c.inForce))
	return news, w.InForce != nil && w.InForce.Settled && !c.lease.Held(now)
}

// Lost takes that the keeper cannot be reached.
func (c *Contact) Lost(now time.Time) { c.lease.Lost(now) }

// Until is until when what is in force may be handed out; zero for not at all.
func (c *Contact) Until() time.Time {
	if c.inForce == nil || !c.inForce.Settled {
		return time.Time{}
	}
	return c.lease.Until()
}

// InForce is what was told last; nil for nothing.
func (c *Contact) InForce() *keeper.InForce { return c.inForce }
