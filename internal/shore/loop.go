package shore

import (
	"context"
	"time"
)

// Loop runs functions one after the other in one goroutine, which owns what they touch.
type Loop struct {
	mail chan func()
	over chan struct{} // closed once nothing that was posted runs any more
}

// NewLoop makes one that holds so many functions that have not run yet.
func NewLoop(room int) *Loop { return &Loop{make(chan func(), room), make(chan struct{})} }

// Run is the goroutine: it runs what is posted, and tick every so often, until ctx ends.
func (l *Loop) Run(ctx context.Context, every time.Duration, tick func()) {
	defer close(l.over)
	t := time.NewTicker(every)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-l.mail:
			f()
		case <-t.C:
			tick()
		}
	}
}

// Post has f run, unless the loop is over; it waits while the loop is behind.
func (l *Loop) Post(f func()) {
	select {
	case l.mail <- f:
	case <-l.over:
	}
}

// Ask has a loop run f and gives what that gives; ok is false if the loop was over before.
func Ask[T any](l *Loop, f func() T) (v T, ok bool) {
	done := make(chan T, 1)
	l.Post(func() { done <- f() })
	select {
	case v = <-done:
		return v, true
	case <-l.over:
	}
	select { // the last thing that it did, perhaps
	case v = <-done:
		return v, true
	default:
		return v, false
	}
}
