package controlplane

import (
	"testing"
	"time"

	"milletmast/internal/mesh/controlstate"
	"milletmast/internal/mesh/process"
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

// A read changes nothing: it is forwarded just after a stall too, unless its caller has gone.
func TestReadAfterAStallIsForwarded(t *testing.T) {
	for name, c := range map[string]struct {
		age         time.Duration
		isForwarded bool
	}{
		"new":              {0, true},
		"caller waits":     {readTimeout / 2, true},
		"caller has gone":  {readTimeout, false},
		"caller long gone": {20 * time.Second, false},
	} {
		now := time.Now()
		server := &Server{loop: process.NewLoop(1)}
		server.stalls.Tick(now.Add(-20 * time.Second))
		s := newStoreClient(server)
		s.outbox = transport.NewOutbox(nil, 1)
		var got *controlstate.Result
		read := &controlstate.Command{Kind: controlstate.ReadConfig, Timeout: readTimeout}
		s.runCommand(read, now.Add(-c.age), func(r *controlstate.Result) { got = r })
		if isForwarded := got == nil && len(s.pending) == 1; isForwarded != c.isForwarded {
			t.Errorf("%s: result %+v, %d commands pending; want it forwarded: %v", name, got, len(s.pending), c.isForwarded)
		}
	}
}
