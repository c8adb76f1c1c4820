package lighthouse

import (
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"whinknot/internal/berth"
	"whinknot/internal/orders"
	"whinknot/internal/shore"
	"whinknot/internal/signal"
)

// A ticket stands for one order, once, and for no longer than a caller waits; few are kept.
func TestTickets(t *testing.T) {
	now := time.Unix(1, 0)
	var s tickets
	a, b := s.give(now, "a"), s.give(now, "b")
	if a == b || s.take(now, "none", "a") || s.take(now, b, "a") || !s.take(now.Add(ticketFor-1), a, "a") || s.take(now, a, "a") {
		t.Error("a ticket was taken for another, or twice, or not at all")
	}
	if late := s.give(now, "a"); s.take(now.Add(ticketFor), late, "a") {
		t.Error("a ticket was taken late")
	}
	for range 2 * mostTickets {
		s.give(now, "a")
	}
	if len(s.given) > mostTickets {
		t.Errorf("%d tickets are kept", len(s.given))
	}
}

// An evacuation that waited behind a cut link, and comes after its caller has given it elsewhere and taken it back, is not ordered: it is
// sent here once more, and nobody follows. That of a caller who is there is ordered once.
func TestAnEvacuationNobodyWaitsForIsNotOrdered(t *testing.T) {
	l := &Lighthouse{s: &berth.Settings{}, log: zerolog.Nop(), loop: shore.NewLoop(8)}
	l.store = newStore(l)
	l.store.out = signal.NewOutbox(nil, 8)
	done := make(chan struct{})
	go func() {
		l.loop.Run(t.Context(), time.Hour, func() {})
		close(done)
	}()
	t.Cleanup(func() { <-done })
	said := func(c orders.Command) orders.Result {
		got := make(chan orders.Result, 1)
		l.run(c, func(r orders.Result) { got <- r })
		return <-got
	}
	ordered := func() int {
		n, _ := shore.Ask(l.loop, func() int { return len(l.store.orders) })
		return n
	}
	first := said(orders.BeginEvacuation{Zone: "north"})
	if first.Status != http.StatusTemporaryRedirect || ordered() != 0 {
		t.Fatalf("without a ticket: %+v, %d ordered", first, ordered())
	}
	c, _, err := orders.Decode(http.MethodPost, first.Location, nil)
	if err != nil {
		t.Fatal(err)
	}
	begin := c.(orders.BeginEvacuation)
	if r := said(orders.FinishEvacuation(begin)); r.Status != http.StatusServiceUnavailable || ordered() != 0 {
		t.Errorf("the ticket of another order: %+v", r)
	}
	c, _, _ = orders.Decode(http.MethodPost, said(orders.BeginEvacuation{Zone: "north"}).Location, nil)
	l.run(c, func(orders.Result) {})
	if ordered() != 1 {
		t.Errorf("with its ticket: %d ordered", ordered())
	}
	if r := said(c); r.Status != http.StatusServiceUnavailable || ordered() != 1 {
		t.Errorf("the ticket once more: %+v", r)
	}
}
