// Package lease is how long a lighthouse may speak for what is in force: by the newest beat that its keeper has answered, and what was
// left then of the keeper's own lease, which a majority of the disks gave. It is counted on the steady clock from when that beat left,
// so neither a word that waited in a socket nor a process that stood still makes it longer; every use asks the clock. It is pure.
package lease

import "time"

// mostBeats is how many beats may be without an answer: those of a connection that is not silent are fewer.
const mostBeats = 16

// Lease is held or not, by the time alone: set is the one function that changes until when. The zero value is none. It is not
// safe for concurrent use.
type Lease struct {
	until   time.Time // zero for none
	last    uint64    // the beat that left last
	waiting []beat    // later ones than the newest that was answered, in order
}

type beat struct {
	number uint64
	left   time.Time
}

// Beat notes that a beat leaves now, and numbers it. Numbers are never used again, over connections too.
func (l *Lease) Beat(now time.Time) uint64 {
	l.last++
	if len(l.waiting) == mostBeats {
		l.waiting = append(l.waiting[:0], l.waiting[1:]...)
	}
	l.waiting = append(l.waiting, beat{l.last, now})
	return l.last
}

// Answered takes the answer to a beat: left is what was left of the keeper's lease as it answered. It tells whether the lease is held
// now and was not just before. An answer to a beat that is not known, or that left before another that was answered, changes
// nothing.
func (l *Lease) Answered(now time.Time, number uint64, left time.Duration) (gained bool) {
	for i, b := range l.waiting {
		if b.number != number {
			continue
		}
		l.waiting = append(l.waiting[:0], l.waiting[i+1:]...)
		return l.set(now, b.left.Add(max(left, 0)))
	}
	return false
}

// Lost takes that the keeper cannot be reached: there is no lease from now on, and no beat is answered any more.
func (l *Lease) Lost(now time.Time) {
	l.waiting = l.waiting[:0]
	l.set(now, time.Time{})
}

// set changes until when the lease is held, and tells whether it is held now and was not before.
func (l *Lease) set(now, until time.Time) (gained bool) {
	was := l.Held(now)
	l.until = until
	return !was && l.Held(now)
}

// Held tells whether the lease is held at a time.
func (l *Lease) Held(now time.Time) bool { return now.Before(l.until) }

// Until is when it ends, if no more beats are answered; zero for none.
func (l *Lease) Until() time.Time { return l.until }
