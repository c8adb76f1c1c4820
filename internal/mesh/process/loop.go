package process

import (
	"context"
	"time"
)

// Loop runs functions one after the other in one goroutine, which owns the state that they access.
type Loop struct {
	queue chan func()
	done  chan struct{} // closed once the loop has ended: no posted function runs after that
}

// NewLoop returns a loop whose queue holds at most capacity functions.
func NewLoop(capacity int) *Loop { return &Loop{make(chan func(), capacity), make(chan struct{})} }

// Run runs the posted functions, and tick at an interval, until ctx ends.
func (l *Loop) Run(ctx context.Context, interval time.Duration, tick func()) {
	defer close(l.done)
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-l.queue:
			f()
		case <-t.C:
			tick()
		}
	}
}

// Post queues a function, unless the loop has ended. It blocks while the queue is full.
func (l *Loop) Post(f func()) {
	select {
	case l.queue <- f:
	case <-l.done:
	}
}

// PostAfter posts a function once a delay has passed, unless the returned timer is stopped or the loop has ended by then.
func (l *Loop) PostAfter(delay time.Duration, f func()) *time.Timer {
	return time.AfterFunc(delay, func() { l.Post(f) })
}

// Call runs f in a loop and returns its result; ok is false if the loop ended first.
func Call[T any](l *Loop, f func() T) (v T, ok bool) {
	done := make(chan T, 1)
	l.Post(func() { done <- f() })
	select {
	case v = <-done:
		return v, true
	case <-l.done:
	}
	select { // f may have been the last function to run
	case v = <-done:
		return v, true
	default:
		return v, false
	}
}
