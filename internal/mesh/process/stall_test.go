package process

import (
	"testing"
	"time"
)

// A process that was stalled knows it before its first look and for a while after, and no other is taken for one.
func TestStallDetector(t *testing.T) {
	at := time.Unix(1000, 0)
	var s StallDetector
	if s.JustResumed(at) {
		t.Error("before its first look")
	}
	for range 10 {
		s.Tick(at)
		at = at.Add(stallThreshold * 3 / 4)
		if s.JustResumed(at) {
			t.Error("as it looks a little late")
		}
	}
	s.Tick(at)
	at = at.Add(20 * time.Second)
	if !s.JustResumed(at) {
		t.Error("it is not known before the first look")
	}
	s.Tick(at)
	if !s.JustResumed(at) || !s.JustResumed(at.Add(resumeGrace-1)) {
		t.Error("it is not known after the first look")
	}
	s.Tick(at.Add(resumeGrace))
	if s.JustResumed(at.Add(resumeGrace)) {
		t.Error("it lasts")
	}
}
