package controlplane

import (
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"milletmast/internal/mesh/controlapi"
	"milletmast/internal/mesh/nodeconfig"
	"milletmast/internal/mesh/process"
	"milletmast/internal/mesh/transport"
)

// A ticket is valid for the call that it was issued for, once, and until it expires; at most maxTickets are kept.
func TestTickets(t *testing.T) {
	now := time.Unix(1, 0)
	var store tickets
	a, b := store.issue(now, "a"), store.issue(now, "b")
	if a == b || store.redeem(now, "none", "a") || store.redeem(now, b, "a") || !store.redeem(now.Add(ticketLifetime-1), a, "a") || store.redeem(now, a, "a") {
		t.Error("a ticket was redeemed for another call or twice, an unknown one was redeemed, or a valid one was refused")
	}
	if late := store.issue(now, "a"); store.redeem(now.Add(ticketLifetime), late, "a") {
		t.Error("an expired ticket was redeemed")
	}
	for range 2 * maxTickets {
		store.issue(now, "a")
	}
	if len(store.issued) > maxTickets {
		t.Errorf("%d tickets are kept, want at most %d", len(store.issued), maxTickets)
	}
}

// An evacuation call that is delayed by a partition can arrive after its caller has begun and finished the evacuation at another control
// plane. It must not run: it is redirected, and no caller follows the redirect. The call of a caller that still waits runs once.
func TestEvacuationWithoutACallerIsNotRun(t *testing.T) {
	server := &Server{settings: &nodeconfig.Settings{}, log: zerolog.Nop(), loop: process.NewLoop(8)}
	server.store = newStoreClient(server)
	server.store.outbox = transport.NewOutbox(nil, 8)
	done := make(chan struct{})
	go func() {
		server.loop.Run(t.Context(), time.Hour, func() {})
		close(done)
	}()
	t.Cleanup(func() { <-done })
	call := func(c controlapi.Command) controlapi.Result {
		got := make(chan controlapi.Result, 1)
		server.handleCall(c, func(r controlapi.Result) { got <- r })
		return <-got
	}
	pendingCommands := func() int {
		n, _ := process.Call(server.loop, func() int { return len(server.store.pending) })
		return n
	}
	first := call(controlapi.BeginEvacuation{Zone: "north"})
	if first.Status != http.StatusTemporaryRedirect || pendingCommands() != 0 {
		t.Fatalf("without a ticket: %+v, %d commands pending", first, pendingCommands())
	}
	c, _, err := controlapi.Decode(http.MethodPost, first.Location, nil)
	if err != nil {
		t.Fatal(err)
	}
	begin := c.(controlapi.BeginEvacuation)
	if r := call(controlapi.FinishEvacuation(begin)); r.Status != http.StatusServiceUnavailable || pendingCommands() != 0 {
		t.Errorf("with the ticket of another call: %+v", r)
	}
	c, _, _ = controlapi.Decode(http.MethodPost, call(controlapi.BeginEvacuation{Zone: "north"}).Location, nil)
	server.handleCall(c, func(controlapi.Result) {})
	if pendingCommands() != 1 {
		t.Errorf("with its ticket: %d commands pending", pendingCommands())
	}
	if r := call(c); r.Status != http.StatusServiceUnavailable || pendingCommands() != 1 {
		t.Errorf("with a ticket that was used: %+v", r)
	}
}
