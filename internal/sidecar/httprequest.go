package sidecar

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"milletmast/balancer"
	"milletmast/internal/budget"
	"milletmast/internal/exchange"
)

// httpRequest is a request over HTTP/1.1 in the form that each of its attempts sends, without the remaining time.
type httpRequest struct {
	start           string // request line and Host
	header          http.Header
	body            []byte
	upload          *uploadStream // the rest of a streamed body; nil for none
	fromListener    bool          // from a listener of an operator file: responses of all statuses are forwarded, and long ones streamed
	noBody          bool          // its response has no body, as for HEAD
	http10          bool          // its client speaks HTTP/1.0, without chunked encoding
	streamBounds    *streamLimits // of a streamed response
	responseTimeout time.Duration // from the end of a streamed body to the response
}

// send sends the request over HTTP/1.1.
func (r *httpRequest) send(u *upstream, a *attempt, e *endpoint, until time.Time) (balancer.Outcome, *response) {
	defer a.cancel()
	c, err := u.connect(a.ctx, e, until)
	if err != nil {
		if a.ctx.Err() != nil {
			return balancer.Canceled, nil
		}
		if u.budget != nil && errors.Is(err, errNoDescriptor) {
			return balancer.NotSent, nil // not the server's fault: another pool has to return its descriptors first
		}
		return balancer.ConnectFailed, nil
	}
	stop := context.AfterFunc(a.ctx, func() { _ = c.SetDeadline(interruptedAt) })
	keep := false
	defer func() { u.giveBack(c, stop() && keep) }() // after a panic too
	outcome, got, keep := u.sendHTTP1(a, c, r, until)
	if got != nil && got.stream != nil {
		outcome, keep = u.streamResponse(a, c, got)
		got = nil // it has been passed to the client
	}
	return outcome, got
}

// sendHTTP1 sends the request over a connection and returns the outcome, the response, and whether the connection can be reused.
func (u *upstream) sendHTTP1(a *attempt, c *conn, request *httpRequest, deadline time.Time) (balancer.Outcome, *response, bool) {
	_ = c.SetDeadline(deadline) // fails on a closed connection only, which the write reports
	head := request.encodeHead(a, deadline)
	if !a.mayWrite() {
		c.apply(exchange.RequestCanceled)
		return balancer.Canceled, nil, c.exchange.Reusable()
	}
	if !a.sendBefore.IsZero() && time.Now().After(a.sendBefore) {
		return balancer.ConnectFailed, nil, c.exchange.Reusable() // its endpoint may have started to drain meanwhile
	}
	if request.upload != nil {
		if outcome, reusable, failed := c.writeStreamed(a, request, head, deadline); failed {
			return outcome, nil, reusable
		}
	} else {
		c.apply(exchange.WriteStarted)
		if err := c.writeRequest(head, request.body, false); err != nil {
			return c.fail(a, err)
		}
	}
	u.recordWritten(c)
	if request.fromListener {
		return readListenerResponse(a, c, request)
	}
	return readPlatformResponse(a, c, request)
}

// encodeHead returns the head of an attempt of the request.
func (r *httpRequest) encodeHead(a *attempt, deadline time.Time) *bytes.Buffer {
	var head bytes.Buffer
	head.Grow(len(r.start) + len(r.body) + headSizeHint)
	head.WriteString(r.start)
	writeHeader(&head, r.header, "X-Deadline")
	writeSeconds(&head, "X-Deadline", max(time.Until(deadline), 0).Seconds(), 3)
	if a.context != "" {
		head.WriteString(budget.Header + ": " + a.context + "\r\n")
	}
	switch {
	case r.upload != nil && r.upload.length == lengthChunked:
		head.WriteString("Transfer-Encoding: chunked\r\n")
	case r.upload != nil:
		writeContentLength(&head, r.upload.length)
	case len(r.body) > 0 || !strings.HasPrefix(r.start, "GET "):
		writeContentLength(&head, int64(len(r.body)))
	}
	head.WriteString("\r\n")
	return &head
}

// headSizeHint is the usual size of a head, in bytes.
const headSizeHint = 512

// writeStreamed writes a request whose body is streamed from its client. If that fails, it returns the outcome and whether the
// connection can be reused.
func (c *conn) writeStreamed(
	a *attempt, request *httpRequest, head *bytes.Buffer, deadline time.Time,
) (_ balancer.Outcome, reusable, failed bool) {
	up := request.upload
	if !up.claim() {
		return balancer.NotSent, c.exchange.Reusable(), true
	}
	c.apply(exchange.WriteStarted)
	err := up.send(head.Bytes(), request.body, c, func() { c.apply(exchange.HeadWritten) })
	if up.err != nil {
		c.apply(exchange.RequestCanceled) // an error of the client, which gets no response
		return balancer.Canceled, false, true
	}
	if err != nil {
		outcome, _, reusable := c.fail(a, err)
		return outcome, reusable, true
	}
	if by := time.Now().Add(request.responseTimeout); by.Before(deadline) {
		_ = c.SetDeadline(by) // fails on a closed connection only, which the read reports
		if a.ctx.Err() != nil {
			c.apply(exchange.RequestCanceled)
			return balancer.Canceled, false, true
		}
	}
	return 0, false, false
}

// duration returns how long an attempt has lasted, without the time in which its client sent a streamed body.
func (r *httpRequest) duration(sent time.Time) time.Duration {
	if up := r.upload; up != nil {
		select {
		case <-up.done:
			return time.Since(up.endedAt)
		default:
		}
	}
	return time.Since(sent)
}

// isNotRepeatable reports whether the request cannot be sent again.
func (r *httpRequest) isNotRepeatable() bool { return r.upload != nil && r.upload.isClaimed() }

// isUnbounded returns false, as the start of a response over HTTP/1.1 depends on the server only.
func (r *httpRequest) isUnbounded() bool { return false }
