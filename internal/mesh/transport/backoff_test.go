package transport

import (
	"testing"
	"time"
)

// The delay starts at Min, doubles up to Max, and starts again at Min after Reset.
func TestBackoff(t *testing.T) {
	b := Backoff{Min: 20 * time.Millisecond, Max: 300 * time.Millisecond}
	limit := b.Min
	for range 20 {
		if d := b.Next(); d < limit/2 || d > limit {
			t.Fatalf("delay %v, want from %v to %v", d, limit/2, limit)
		}
		limit = min(2*limit, b.Max)
	}
	if b.Reset(); b.Next() > b.Min {
		t.Error("the first delay after Reset is longer than Min")
	}
}
