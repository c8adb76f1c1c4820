// Package story is what a process remembers of what it did, for those who ask later: the last events of a bounded number, by the
// id of the request that they belong to. It is pure but for its lock.
package story

import (
	"sync"
	"time"
)

// Event is one thing that happened to a request.
type Event struct {
	At   time.Time
	ID   string // of the request's try
	What string // key=value pairs
}

// Recorder keeps the last events. It is safe for concurrent use.
type Recorder struct {
	mu     sync.Mutex
	events []Event
	next   int
}

// New makes one for so many events.
func New(most int) *Recorder { return &Recorder{events: make([]Event, 0, max(most, 1))} }

// Add remembers an event, and forgets the oldest if there are too many.
func (r *Recorder) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.events) < cap(r.events) {
		r.events = append(r.events, e)
		return
	}
	r.events[r.next] = e
	r.next = (r.next + 1) % len(r.events)
}

// Of are the events of a request that are still remembered, in the order in which they came.
func (r *Recorder) Of(id string) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Event
	for i := range r.events {
		if e := r.events[(r.next+i)%len(r.events)]; e.ID == id {
			out = append(out, e)
		}
	}
	return out
}
