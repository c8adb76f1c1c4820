package lighthouse

import (
	"testing"
	"time"

	"whinknot/internal/keeper"
	"whinknot/internal/signal"
)

// An order that waited while the process stood still is not handed on: who gave it has given it again elsewhere, and others after it.
func TestAnOrderFromBeforeAStandstillIsNotHandedOn(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		came   time.Time
		looked time.Time
	}{
		"it waited in this process": {now.Add(-3500 * time.Millisecond), now},
		"it waited in a socket":     {now, now.Add(-20 * time.Second)},
	} {
		l := &Lighthouse{}
		l.stood.Look(c.looked)
		s := newStore(l)
		s.out = signal.NewOutbox(nil, 0) // to which nothing can be said
		var got *keeper.Result
		s.order(&keeper.Order{Kind: keeper.BeginEvacuation}, c.came, func(r *keeper.Result) { got = r })
		if got == nil || got.Status != keeper.Unclear || len(s.orders) != 0 {
			t.Errorf("%s: %+v", name, got)
		}
	}
}
