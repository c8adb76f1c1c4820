package sidecar

import (
	"errors"
	"io"
	"os"
	"time"

	"milletmast/balancer"
	"milletmast/internal/exchange"
)

// responseStream is the rest of the body of a response that is streamed from a server to the client.
type responseStream struct {
	source      io.Reader
	conn        *conn
	attempt     *attempt
	idleTimeout time.Duration
	deadline    time.Time
	done        chan error // receives the result: nil, an error of the server, or errClientGone
}

// errClientGone is the error of a streamed response that cannot be written to its client.
var errClientGone = errors.New("the client does not read the response")

func newResponseStream(rest io.Reader, a *attempt, c *conn, request *httpRequest) *responseStream {
	limits := request.streamBounds
	return &responseStream{
		source:      rest,
		conn:        c,
		attempt:     a,
		idleTimeout: limits.idleTimeout,
		deadline:    time.Now().Add(limits.totalTime),
		done:        make(chan error, 1),
	}
}

// Read reads from the server within the limits.
func (s *responseStream) Read(p []byte) (int, error) {
	deadline := time.Now().Add(s.idleTimeout)
	if deadline.After(s.deadline) {
		deadline = s.deadline
	}
	s.conn.setReadDeadline(s.attempt, deadline)
	if s.attempt.ctx.Err() != nil {
		return 0, os.ErrDeadlineExceeded
	}
	return s.source.Read(p)
}

// streamResponse passes a response with a streamed body to the event loop, and waits until the body has been forwarded, forwarding
// has failed or the attempt is canceled. It returns the outcome and whether the connection can be reused.
func (u *upstream) streamResponse(a *attempt, c *conn, r *response) (balancer.Outcome, bool) {
	a.onStreaming(r)
	select {
	case err := <-r.stream.done:
		switch {
		case err == nil:
			return balancer.OK, c.completeBody()
		case errors.Is(err, errClientGone):
			c.apply(exchange.RequestCanceled)
		default:
			c.applyError(a, err)
		}
	case <-a.ctx.Done():
		c.apply(exchange.RequestCanceled)
	}
	return outcomeOf(c.exchange.Outcome), false
}
