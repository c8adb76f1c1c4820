package shore

import "time"

const (
	stillFor = time.Second            // between two looks, which are to come far more often: then it is this process that stood still
	wakeFor  = 500 * time.Millisecond // after it woke, what it hears may have waited in its sockets since before
)

// Standstill is whether this process stood still just now, by its own looks at the clock: its machine froze, or it was given no time.
// What it hears then can be of any age. The zero value has not looked yet. It is pure.
type Standstill struct{ looked, woke time.Time }

// Look is the one function that changes it.
func (s *Standstill) Look(now time.Time) {
	if !s.looked.IsZero() && now.Sub(s.looked) >= stillFor {
		s.woke = now
	}
	s.looked = now
}

// Just tells whether the process has just woken: it has not looked for too long, or not long enough since.
func (s *Standstill) Just(now time.Time) bool {
	return !s.looked.IsZero() && now.Sub(s.looked) >= stillFor || !s.woke.IsZero() && now.Sub(s.woke) < wakeFor
}
