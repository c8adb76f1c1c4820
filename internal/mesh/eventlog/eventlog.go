// Package eventlog keeps the last events of requests in a bounded ring buffer, so that operators can
// look up what happened to a request.
package eventlog

import (
	"sync"
	"time"
)

// Event is an event in the course of a request.
type Event struct {
	At        time.Time
	RequestID string // the attempt ID that the client has sent
	Detail    string // key=value pairs
}

// Recorder is a ring buffer of the last events. It is safe for concurrent use.
type Recorder struct {
	mu     sync.Mutex
	events []Event
	next   int // index of the oldest event, once the buffer is full
}

// New returns a recorder of at most capacity events.
func New(capacity int) *Recorder { return &Recorder{events: make([]Event, 0, max(capacity, 1))} }

// Add records an event, in place of the oldest one if the buffer is full.
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

// ForRequest returns the recorded events of a request, oldest first.
func (r *Recorder) ForRequest(id string) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Event
	for i := range r.events {
		if e := r.events[(r.next+i)%len(r.events)]; e.RequestID == id {
			out = append(out, e)
		}
	}
	return out
}
