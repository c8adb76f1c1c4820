package controlplane

import (
	"testing"
	"time"

	"milletmast/internal/mesh/controlstate"
	"milletmast/internal/mesh/transport"
)

// A command that waited while this process was stalled is not forwarded to the configuration store: its caller has retried it at another
// control plane, and later commands may have followed.
func TestCommandFromBeforeAStallIsNotForwarded(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		receivedAt time.Time
		lastTick   time.Time
	}{
		"queued in this process": {now.Add(-3500 * time.Millisecond), now},
		"queued in a socket":     {now, now.Add(-20 * time.Second)},
	} {
		server := &Server{}
		server.stalls.Tick(c.lastTick)
		s := newStoreClient(server)
		s.outbox = transport.NewOutbox(nil, 0) // has no room for a message
		var got *controlstate.Result
		s.runCommand(&controlstate.Command{Kind: controlstate.BeginEvacuation}, c.receivedAt, func(r *controlstate.Result) { got = r })
		if got == nil || got.Status != controlstate.Unknown || len(s.pending) != 0 {
			t.Errorf("%s: got result %+v and %d pending commands, want status Unknown and none", name, got, len(s.pending))
		}
	}
}
