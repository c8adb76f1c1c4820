package transport

import (
	"testing"
	"time"
)

// A peer that was just lost is tried again soon, one that stays away less and less often, and never less than was said.
func TestBackoff(t *testing.T) {
	p := Backoff{Min: 20 * time.Millisecond, Max: 300 * time.Millisecond}
	most := p.Min
	for range 20 {
		if d := p.Next(); d < most/2 || d > most {
			t.Fatalf("%v, want from %v to %v", d, most/2, most)
		}
		most = min(2*most, p.Max)
	}
	if p.Reset(); p.Next() > p.Min {
		t.Error("after it was reached, the first wait is long")
	}
}
