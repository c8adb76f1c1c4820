package lighthouse

import (
	"testing"
	"time"

	"whinknot/internal/keeper"
	"whinknot/internal/signal"
)

// A process that stood still knows it before its first look and for a while after, and no other is taken for one.
func TestAStandstillIsKnown(t *testing.T) {
	at := time.Unix(1000, 0)
	var s standstill
	if s.just(at) {
		t.Error("before its first look")
	}
	for range 10 {
		s.look(at)
		at = at.Add(pulse + pulse/2)
		if s.just(at) {
			t.Error("as it looks a little late")
		}
	}
	s.look(at)
	at = at.Add(20 * time.Second)
	if !s.just(at) {
		t.Error("it is not known before the first look")
	}
	s.look(at)
	if !s.just(at) || !s.just(at.Add(wakeFor-1)) {
		t.Error("it is not known after the first look")
	}
	s.look(at.Add(wakeFor))
	if s.just(at.Add(wakeFor)) {
		t.Error("it lasts")
	}
}

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
		l.stood.look(c.looked)
		s := newStore(l)
		s.out = signal.NewOutbox(nil, 0) // to which nothing can be said
		var got *keeper.Result
		s.order(&keeper.Order{Kind: keeper.BeginEvacuation}, c.came, func(r *keeper.Result) { got = r })
		if got == nil || got.Status != keeper.Unclear || len(s.orders) != 0 {
			t.Errorf("%s: %+v", name, got)
		}
	}
}
