package lighthouse

import (
	"crypto/rand"
	"encoding/hex"
	"time"
)

const (
	ticketFor   = time.Second // a caller that hears nothing for so long goes elsewhere (PROTOCOL)
	mostTickets = 256
)

// tickets tell whether who gave an order is still there. An evacuation has no number of its operator's: a call that waited in the kernel
// behind a cut link looks like one that was just made, and would undo what was ordered elsewhere since. So who calls is sent here once more
// (307), with a ticket for that order: only somebody who is there brings it, once, and before it would have gone elsewhere. It is pure but
// for the draw of names. The zero value is ready.
type tickets struct{ given []ticket } // the oldest first

type ticket struct {
	name, order string
	until       time.Time
}

// give makes a ticket for an order.
func (t *tickets) give(now time.Time, order string) string {
	for len(t.given) > 0 && (len(t.given) == mostTickets || !now.Before(t.given[0].until)) {
		t.given = t.given[1:]
	}
	var name [8]byte
	rand.Read(name[:]) // it never fails
	t.given = append(t.given, ticket{hex.EncodeToString(name[:]), order, now.Add(ticketFor)})
	return t.given[len(t.given)-1].name
}

// take tells whether a ticket stands for an order still, and ends it.
func (t *tickets) take(now time.Time, name, order string) bool {
	for i, x := range t.given {
		if x.name == name {
			t.given = append(t.given[:i:i], t.given[i+1:]...)
			return x.order == order && now.Before(x.until)
		}
	}
	return false
}
