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

// A ticket stands for one order, once, and for no longer than a caller waits; few are kept.
func TestTickets(t *testing.T) {
	now := time.Unix(1, 0)
	var s tickets
	a, b := s.issue(now, "a"), s.issue(now, "b")
	if a == b || s.redeem(now, "none", "a") || s.redeem(now, b, "a") || !s.redeem(now.Add(ticketLifetime-1), a, "a") || s.redeem(now, a, "a") {
		t.Error("a ticket was taken for another, or twice, or not at all")
	}
	if late := s.issue(now, "a"); s.redeem(now.Add(ticketLifetime), late, "a") {
		t.Error("a ticket was taken late")
	}
	for range 2 * maxTickets {
		s.issue(now, "a")
	}
	if len(s.issued) > maxTickets {
		t.Errorf("%d tickets are kept", len(s.issued))
	}
}

// An evacuation that waited behind a cut link, and comes after its caller has given it elsewhere and taken it back, is not ordered: it is
// sent here once more, and nobody follows. That of a caller who is there is ordered once.
func TestEvacuationWithoutACallerIsNotOrdered(t *testing.T) {
	l := &Server{settings: &nodeconfig.Settings{}, log: zerolog.Nop(), loop: process.NewLoop(8)}
	l.store = newStoreClient(l)
	l.store.outbox = transport.NewOutbox(nil, 8)
	done := make(chan struct{})
	go func() {
		l.loop.Run(t.Context(), time.Hour, func() {})
		close(done)
	}()
	t.Cleanup(func() { <-done })
	said := func(c controlapi.Command) controlapi.Result {
		got := make(chan controlapi.Result, 1)
		l.handleCall(c, func(r controlapi.Result) { got <- r })
		return <-got
	}
	ordered := func() int {
		n, _ := process.Call(l.loop, func() int { return len(l.store.pending) })
		return n
	}
	first := said(controlapi.BeginEvacuation{Zone: "north"})
	if first.Status != http.StatusTemporaryRedirect || ordered() != 0 {
		t.Fatalf("without a ticket: %+v, %d ordered", first, ordered())
	}
	c, _, err := controlapi.Decode(http.MethodPost, first.Location, nil)
	if err != nil {
		t.Fatal(err)
	}
	begin := c.(controlapi.BeginEvacuation)
	if r := said(controlapi.FinishEvacuation(begin)); r.Status != http.StatusServiceUnavailable || ordered() != 0 {
		t.Errorf("the ticket of another order: %+v", r)
	}
	c, _, _ = controlapi.Decode(http.MethodPost, said(controlapi.BeginEvacuation{Zone: "north"}).Location, nil)
	l.handleCall(c, func(controlapi.Result) {})
	if ordered() != 1 {
		t.Errorf("with its ticket: %d ordered", ordered())
	}
	if r := said(c); r.Status != http.StatusServiceUnavailable || ordered() != 1 {
		t.Errorf("the ticket once more: %+v", r)
	}
}
