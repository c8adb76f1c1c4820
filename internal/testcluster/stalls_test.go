package testcluster

import (
	"testing"
	"time"
)

// TestLongestStallWithin checks that only stalls that overlap the time span count.
func TestLongestStallWithin(t *testing.T) {
	stalls := Stalls{{From: 10, To: 20}, {From: 100, To: 150}}
	for _, c := range []struct {
		from, to int64
		want     time.Duration
	}{{0, 9, 0}, {0, 10, 10}, {15, 16, 10}, {20, 99, 10}, {21, 99, 0}, {12, 120, 50}, {151, 200, 0}} {
		if got := stalls.LongestWithin(c.from, c.to); got != c.want {
			t.Errorf("longest stall within %d to %d is %v, want %v", c.from, c.to, got, c.want)
		}
	}
	if got := stalls.Longest(); got != 50 {
		t.Errorf("longest stall is %v, want 50ns", got)
	}
	if got := (Stalls)(nil).Longest(); got != 0 {
		t.Errorf("longest of no stalls is %v, want 0", got)
	}
}
