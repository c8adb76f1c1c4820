package process

import "time"

const (
	stallThreshold = time.Second            // gap between two ticks from which this process was stalled; ticks are far more frequent
	resumeGrace    = 500 * time.Millisecond // after it resumed, while the messages it receives may have waited in its sockets
)

// StallDetector detects by gaps between its ticks that this process was stalled: its machine was
// frozen, or it was not scheduled. Messages that it receives just after that may be of any age. The
// zero value has not ticked yet. The detector reads no clock: callers pass the time.
type StallDetector struct{ lastTick, resumedAt time.Time }

// Tick records a tick. No other method changes the state.
func (s *StallDetector) Tick(now time.Time) {
	if !s.lastTick.IsZero() && now.Sub(s.lastTick) >= stallThreshold {
		s.resumedAt = now
	}
	s.lastTick = now
}

// JustResumed reports whether the process was stalled a moment ago: its last tick is too long ago, or
// it resumed within resumeGrace.
func (s *StallDetector) JustResumed(now time.Time) bool {
	return !s.lastTick.IsZero() && now.Sub(s.lastTick) >= stallThreshold || !s.resumedAt.IsZero() && now.Sub(s.resumedAt) < resumeGrace
}
