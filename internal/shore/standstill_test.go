package shore

import (
	"testing"
	"time"
)

// A process that stood still knows it before its first look and for a while after, and no other is taken for one.
func TestAStandstillIsKnown(t *testing.T) {
	at := time.Unix(1000, 0)
	var s Standstill
	if s.Just(at) {
		t.Error("before its first look")
	}
	for range 10 {
		s.Look(at)
		at = at.Add(stillFor * 3 / 4)
		if s.Just(at) {
			t.Error("as it looks a little late")
		}
	}
	s.Look(at)
	at = at.Add(20 * time.Second)
	if !s.Just(at) {
		t.Error("it is not known before the first look")
	}
	s.Look(at)
	if !s.Just(at) || !s.Just(at.Add(wakeFor-1)) {
		t.Error("it is not known after the first look")
	}
	s.Look(at.Add(wakeFor))
	if s.Just(at.Add(wakeFor)) {
		t.Error("it lasts")
	}
}
