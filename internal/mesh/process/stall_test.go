package process

import (
	"testing"
	"time"
)

// A stall is detected before the first tick after it and for resumeGrace after that tick. A process whose ticks are slightly late is not taken as stalled.
func TestStallDetector(t *testing.T) {
	at := time.Unix(1000, 0)
	var s StallDetector
	if s.JustResumed(at) {
		t.Error("stalled before the first tick")
	}
	for range 10 {
		s.Tick(at)
		at = at.Add(stallThreshold * 3 / 4)
		if s.JustResumed(at) {
			t.Error("stalled although the tick is only a little late")
		}
	}
	s.Tick(at)
	at = at.Add(20 * time.Second)
	if !s.JustResumed(at) {
		t.Error("the stall is not detected before the next tick")
	}
	s.Tick(at)
	if !s.JustResumed(at) || !s.JustResumed(at.Add(resumeGrace-1)) {
		t.Error("the stall is not detected after the next tick")
	}
	s.Tick(at.Add(resumeGrace))
	if s.JustResumed(at.Add(resumeGrace)) {
		t.Error("still stalled after resumeGrace")
	}
}
