package process

import "time"

const (
	stallThreshold = time.Second            // between two ticks, which are far more frequent: then this process was stalled
	resumeGrace    = 500 * time.Millisecond // after it resumed: what it receives may have waited in its sockets
)

// StallDetector detects that this process was stalled, by gaps between its ticks: its machine was
// frozen, or it was not scheduled. What it receives just after may be of any age. The zero value
// has not ticked yet. It is pure.
type StallDetector struct{ lastTick, resumedAt time.Time }

// Tick is the one function that changes the state.
func (s *StallDetector) Tick(now time.Time) {
	if !s.lastTick.IsZero() && now.Sub(s.lastTick) >= stallThreshold {
		s.resumedAt = now
	}
	s.lastTick = now
}

// JustResumed reports whether the process is or was stalled just now: its last tick is too long
// ago, or it resumed recently.
func (s *StallDetector) JustResumed(now time.Time) bool {
	return !s.lastTick.IsZero() && now.Sub(s.lastTick) >= stallThreshold || !s.resumedAt.IsZero() && now.Sub(s.resumedAt) < resumeGrace
}
