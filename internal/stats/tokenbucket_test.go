package stats

import "testing"

func TestTokenBucket(t *testing.T) {
	b := NewTokenBucket(10, 300, 1000) // three tokens, one more each 100 ms
	for i, step := range []struct {
		at   float64
		want bool
	}{
		{1000, true}, {1000, true}, {1000, true}, {1000, false}, {1050, false}, {1100, true}, {1100, false},
		{9000, true}, {9000, true}, {9000, true}, {9000, false}, // no more than the burst is kept
	} {
		if got := b.Take(step.at); got != step.want {
			t.Errorf("step %d at %v: %v, want %v", i, step.at, got, step.want)
		}
	}
	if small := NewTokenBucket(0.1, 300, 0); !small.Take(0) || small.Take(9_000) || !small.Take(10_000) {
		t.Error("a bucket whose burst is less than one event does not hold exactly one")
	}
}
