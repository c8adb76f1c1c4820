package controlplane

import (
	"crypto/rand"
	"encoding/hex"
	"time"
)

const (
	ticketLifetime = time.Second // a caller without an answer for so long goes elsewhere, by the protocol
	maxTickets     = 256
)

// tickets prove that the caller of an evacuation is present. An evacuation carries no version of
// the operator: a call that waited in the kernel behind a broken link looks like a new one, and
// would undo what was ordered elsewhere since. So the caller is redirected here (307) with a
// ticket, which only a caller that is present follows, once, and before it would have gone
// elsewhere. It is pure but for the random names. The zero value is ready.
type tickets struct{ issued []ticket } // oldest first

type ticket struct {
	name, call string
	expiry     time.Time
}

// issue returns a new ticket for a call.
func (t *tickets) issue(now time.Time, call string) string {
	for len(t.issued) > 0 && (len(t.issued) == maxTickets || !now.Before(t.issued[0].expiry)) {
		t.issued = t.issued[1:]
	}
	var name [8]byte
	rand.Read(name[:]) // never fails, as its documentation says
	t.issued = append(t.issued, ticket{hex.EncodeToString(name[:]), call, now.Add(ticketLifetime)})
	return t.issued[len(t.issued)-1].name
}

// redeem reports whether a ticket is valid for a call, and invalidates it.
func (t *tickets) redeem(now time.Time, name, call string) bool {
	for i, x := range t.issued {
		if x.name == name {
			t.issued = append(t.issued[:i:i], t.issued[i+1:]...)
			return x.call == call && now.Before(x.expiry)
		}
	}
	return false
}
