package lighthouse

import "time"

const (
	stillFor = 2 * pulse // between two looks: then it is this process that stood still
	wakeFor  = pulse     // after it woke, what it hears may have waited in its sockets since before
)

// standstill is whether this process stood still just now, by its own looks at the clock: its machine froze, or it was given no time.
// What it hears then can be of any age. The zero value has not looked yet. It is pure.
type standstill struct{ looked, woke time.Time }

// look is the one function that changes it.
func (s *standstill) look(now time.Time) {
	if !s.looked.IsZero() && now.Sub(s.looked) >= stillFor {
		s.woke = now
	}
	s.looked = now
}

// just tells whether the process has just woken: it has not looked for too long, or not long enough since.
func (s *standstill) just(now time.Time) bool {
	return !s.looked.IsZero() && now.Sub(s.looked) >= stillFor || !s.woke.IsZero() && now.Sub(s.woke) < wakeFor
}
