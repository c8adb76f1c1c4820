package controlplane

import (
	"crypto/rand"
	"encoding/hex"
	"time"
)

const (
	ticketLifetime = time.Second // by the protocol, a caller without a response for that long calls another control plane
	maxTickets     = 256         // that are valid at a time; the oldest is dropped
)

// tickets prove that the caller of an evacuation still waits. The call carries no version, so that
// one that was delayed in the kernel by a broken link looks like a new call and would undo
// evacuation commands that other control planes have run since. The caller is therefore redirected
// (307) to the same call with a ticket. Only a caller that still waits follows the redirect;
// the ticket is valid once, and expires before the caller would call another control plane. The type
// is pure except for the random names. The zero value is ready to use.
type tickets struct{ issued []ticket } // oldest first

type ticket struct {
	name, call string
	expiry     time.Time
}

// issue returns the name of a new ticket for a call.
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
	for i, issued := range t.issued {
		if issued.name == name {
			t.issued = append(t.issued[:i:i], t.issued[i+1:]...)
			return issued.call == call && now.Before(issued.expiry)
		}
	}
	return false
}
