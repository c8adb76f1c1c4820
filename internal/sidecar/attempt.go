package sidecar

import (
	"context"
	"sync"
	"time"

	"milletmast/balancer"
)

// attempt is one attempt of a request. The event loop and the goroutine of the attempt share it.
type attempt struct {
	ctx              context.Context
	cancel           context.CancelFunc
	sendBefore       time.Time // deadline for writing the first byte; zero for none
	sentAt           time.Time
	id               string          // in traces
	context          string          // encoded call context for the server (package budget); "" for none
	delegatedRetries int             // retries of the budget that the next tier may use
	final            bool            // the next tier reported that a retry is useless; set before the attempt ends
	onStreaming      func(*response) // called with a response whose body is streamed
	onStreamBound    func()          // called once a gRPC stream has reached its server
	mu               sync.Mutex
	canceled         bool
}

// newAttempt returns an attempt whose first byte must be written by sendBefore, if that is not zero.
func newAttempt(sendBefore time.Time) *attempt {
	a := &attempt{sendBefore: sendBefore, onStreaming: func(*response) {}, onStreamBound: func() {}}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	return a
}

// abort cancels the attempt: nothing more is written for it, and its connection is closed.
func (a *attempt) abort() {
	a.mu.Lock()
	a.canceled = true
	a.mu.Unlock()
	a.cancel()
}

// mayWrite reports whether the attempt is not canceled: the request may be written now.
func (a *attempt) mayWrite() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.canceled
}

// sender is a request of any protocol that the event loop can send.
type sender interface {
	// send makes one attempt and returns its outcome for the decision module, and the response if there is one.
	send(u *upstream, a *attempt, e *endpoint, deadline time.Time) (balancer.Outcome, *response)
	duration(sent time.Time) time.Duration // of an attempt, without the time that the client took to send a body
	isNotRepeatable() bool                 // the request cannot be retried
	isUnbounded() bool                     // its duration depends on the client and does not measure the server
}
