package controlplane

import (
	"testing"
	"time"

	"milletmast/internal/mesh/controlstate"
	"milletmast/internal/mesh/transport"
)

// An order that waited while the process was stalled is not handed on: who gave it has given it again elsewhere, and others after it.
func TestCommandFromBeforeAStallIsNotForwarded(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		came   time.Time
		looked time.Time
	}{
		"it waited in this process": {now.Add(-3500 * time.Millisecond), now},
		"it waited in a socket":     {now, now.Add(-20 * time.Second)},
	} {
		l := &Server{}
		l.stalls.Tick(c.looked)
		s := newStoreClient(l)
		s.outbox = transport.NewOutbox(nil, 0) // to which nothing can be said
		var got *controlstate.Result
		s.runCommand(&controlstate.Command{Kind: controlstate.BeginEvacuation}, c.came, func(r *controlstate.Result) { got = r })
		if got == nil || got.Status != controlstate.Unknown || len(s.pending) != 0 {
			t.Errorf("%s: %+v", name, got)
		}
	}
}
