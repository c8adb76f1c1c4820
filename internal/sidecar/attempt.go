package sidecar

import (
	"context"
	"sync"
	"time"

	"milletmast/balancer"
)

// attempt is one attempt of a request, as the loop and its goroutine share it.
type attempt struct {
	ctx              context.Context
	cancel           context.CancelFunc
	sendBefore       time.Time // after which its first byte must not be written; zero for any time
	sentAt           time.Time
	id               string          // in traces
	context          string          // encoded call context for the server (package budget); "" for none
	delegatedRetries int             // delegated to the tier behind, of the retry budget
	final            bool            // the tier behind says that a retry is of no use; set before the attempt ends
	onStreaming      func(*response) // is called with an answer whose body is streamed
	onStreamBound    func()          // is called once a gRPC stream has reached its server
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

// sender is a request of any protocol, as the loop sends it.
type sender interface {
	// send makes one attempt and returns its outcome for the decision module, and the answer if there is one.
	send(u *upstream, a *attempt, e *endpoint, deadline time.Time) (balancer.Outcome, *response)
	duration(sent time.Time) time.Duration // of an attempt, without the time that the caller took
	isSpent() bool                         // the request cannot be retried
	isUnbounded() bool                     // its duration says nothing of its server
}
