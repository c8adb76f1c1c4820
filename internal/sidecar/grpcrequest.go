package sidecar

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/net/http2"

	"milletmast/balancer"
	"milletmast/internal/budget"
	"milletmast/internal/grpcfront"
	"milletmast/internal/h2"
)

// The names of the header of package budget and of outcomeHeader as metadata.
var contextName, outcomeName = strings.ToLower(budget.Header), strings.ToLower(outcomeHeader)

// headerHoldTime is how long a header list without a message is held back, as an error that follows it can still be retried.
const headerHoldTime = 100 * time.Millisecond

// grpcRequest is a gRPC call in the form that its attempts send.
type grpcRequest struct {
	header          []h2.Field // all but grpc-timeout
	body            [][]byte
	stream          *grpcfront.RequestStream // the rest of the request; nil for none
	notRepeatable   bool                     // see grpcfront.Request
	isStreaming     bool                     // its class is for streams
	deadline        time.Time                // used if the call is unbounded
	streamTime      time.Duration            // of a response that is streamed
	stallTimeout    time.Duration            // of its client
	notExecutedMark string                   // see operator.Pool.NotRun

	mu      sync.Mutex
	claimed bool
}

// claim assigns a request that can be sent only once to an attempt; false if another attempt has it.
func (r *grpcRequest) claim() bool {
	if r.stream == nil && !r.notRepeatable {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.claimed {
		return false
	}
	r.claimed = true
	return true
}

func (r *grpcRequest) isNotRepeatable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.claimed
}

// isUnbounded reports whether the duration of the call depends on its client as much as on the server.
func (r *grpcRequest) isUnbounded() bool { return r.isStreaming || r.stream != nil }

func (r *grpcRequest) duration(sent time.Time) time.Duration { return time.Since(sent) }

// send sends the call as one stream to a server and waits for the response.
func (r *grpcRequest) send(u *upstream, a *attempt, e *endpoint, deadline time.Time) (balancer.Outcome, *response) {
	defer a.cancel()
	if r.isUnbounded() {
		deadline = r.deadline
	}
	sentAt := time.Now()
	s, c, err := u.openStream(a.ctx, e, deadline, r.newStream(a, deadline))
	if err != nil {
		return openOutcome(a, err), nil
	}
	a.onStreamBound()
	defer u.streamEnded(c)
	defer s.Reset(http2.ErrCodeCancel) // no effect on a stream that has ended
	stop := context.AfterFunc(a.ctx, func() { s.Reset(http2.ErrCodeCancel) })
	defer stop()
	if r.stream != nil {
		var forwarding sync.WaitGroup
		forwarding.Go(func() { r.forwardRequest(a, s) })
		defer forwarding.Wait()
		defer a.cancel()
	}
	ctx, cancel := context.WithDeadline(a.ctx, deadline)
	defer cancel()
	got, err := r.readResponse(ctx, s)
	if err != nil {
		return r.streamFailure(a, s, c, err, sentAt)
	}
	if got.Stream != nil {
		return r.streamResponse(a, got)
	}
	callOutcome := h2.FieldValue(got.Header, outcomeName) + h2.FieldValue(got.Trailers, outcomeName)
	a.final = a.context != "" && callOutcome != ""
	if a.final && callOutcome == outcomeLoop && got.Trailers == nil {
		return balancer.Canceled, &response{status: statusLoop, grpc: got, callOutcome: outcomeLoop}
	}
	return r.classify(got)
}

// newStream returns the stream of an attempt.
func (r *grpcRequest) newStream(a *attempt, deadline time.Time) *streamRequest {
	header := append(slices.Clip(r.header), grpcfront.TimeoutField(time.Until(deadline)))
	if a.context != "" {
		header = append(header, h2.Field{Name: contextName, Value: a.context})
	}
	return &streamRequest{
		header:  header,
		body:    r.body,
		end:     r.stream == nil,
		startBy: a.sendBefore,
		claim:   func() bool { return a.mayWrite() && r.claim() },
	}
}

// openOutcome returns the outcome of an attempt whose stream could not be opened.
func openOutcome(a *attempt, err error) balancer.Outcome {
	switch {
	case a.ctx.Err() != nil:
		return balancer.Canceled
	case errors.Is(err, errNoDescriptor), errors.Is(err, errAttemptCanceled):
		return balancer.NotSent
	case errors.Is(err, errNoStream):
		return balancer.NotExecuted
	}
	return balancer.ConnectFailed
}

// forwardRequest forwards the rest of a request while it is received.
func (r *grpcRequest) forwardRequest(a *attempt, s *h2.Stream) {
	for {
		chunk, err := r.stream.Recv(a.ctx)
		if errors.Is(err, io.EOF) {
			_ = s.SendEnd(nil) // its error is that of the stream, which reading the response reports
			return
		}
		if err != nil { // the client has disconnected, or the request is invalid
			s.Reset(http2.ErrCodeCancel)
			return
		}
		if s.Send(a.ctx, chunk) != nil {
			return // the error is that of the stream too
		}
	}
}

var (
	errHoldExpired = errors.New("no message followed the header list within the hold time")
	errBadResponse = errors.New("the response has invalid framing or no gRPC status")
)

// readResponse reads a response: as a whole if it is short and has one message, else up to its first message. It waits for
// headerHoldTime for a message after the header list.
func (r *grpcRequest) readResponse(ctx context.Context, s *h2.Stream) (*grpcfront.Response, error) {
	got := &grpcfront.Response{}
	if ended, err := readHeader(ctx, s, got); err != nil || ended {
		return got, err
	}
	var framing grpcfront.MessageFraming
	for bytes := 0; ; {
		if !s.AtEOF() && (r.isUnbounded() || bytes > maxBufferedBody || framing.Completed > 0) {
			break
		}
		chunk, err := recvHeld(ctx, s, bytes == 0)
		if errors.Is(err, io.EOF) {
			if got.Trailers = s.Trailers(); got.Trailers == nil {
				return nil, errBadResponse
			}
			return got, nil
		}
		if errors.Is(err, errHoldExpired) && ctx.Err() == nil {
			break
		}
		if err != nil {
			return nil, err
		}
		if framing.Add(chunk) != nil {
			return nil, errBadResponse
		}
		got.Body = append(got.Body, chunk)
		bytes += len(chunk)
	}
	got.Stream = s
	return got, nil
}

// readHeader reads the header list of a response, and the interim ones before it. Ended reports that nothing follows.
func readHeader(ctx context.Context, s *h2.Stream, got *grpcfront.Response) (ended bool, err error) {
	for {
		fields, end, err := s.RecvHeader(ctx)
		if err != nil {
			return false, err
		}
		if h2.FieldValue(fields, ":status")[0] != '1' {
			got.Header = fields
			return end, nil
		}
		got.Interim = append(got.Interim, fields)
	}
}

// recvHeld receives bytes of a response. It waits for the first ones for headerHoldTime only, and fails with errHoldExpired then.
func recvHeld(ctx context.Context, s *h2.Stream, isFirst bool) ([]byte, error) {
	if !isFirst || s.IsReadable() {
		return s.Recv(ctx)
	}
	held, cancel := context.WithTimeoutCause(ctx, headerHoldTime, errHoldExpired)
	defer cancel()
	return s.Recv(held)
}

// classify returns the outcome of a complete response, and the response for the client.
func (r *grpcRequest) classify(got *grpcfront.Response) (balancer.Outcome, *response) {
	last := got.Trailers
	if last == nil {
		last = got.Header
		if grpcfront.IsMarkedNotExecuted(got.Header, r.notExecutedMark) {
			return balancer.NotExecuted, nil
		}
	}
	status, outcome, ok := grpcfront.Classify(got.Header, last)
	if !ok {
		return balancer.Reset, nil
	}
	if h2.FieldValue(last, "grpc-status") == "" { // not gRPC: the client could not read it
		got = &grpcfront.Response{Status: status, Message: "the server answered with the HTTP status " + h2.FieldValue(got.Header, ":status")}
		if outcome == grpcfront.FailedRetriable {
			got.Status = statusFailed
		}
	} else if outcome != grpcfront.Served {
		grpcfront.WithoutRetryHints(got, outcome)
	}
	result := &response{status: status, grpc: got}
	switch {
	case outcome != grpcfront.Served:
		result.isServerFailure, result.status = true, max(status, http.StatusInternalServerError) // counted as a failure
		if outcome == grpcfront.FailedRetriable {
			result.status = statusFailed
		}
		return balancer.Error, result
	case status != http.StatusOK || r.stream != nil && !r.isStreaming: // the duration depends on the client
		return balancer.Canceled, result
	}
	return balancer.OK, result
}

// streamResponse passes a streamed response to the event loop, and waits until the client has read it or has disconnected, or the
// stream has failed.
func (r *grpcRequest) streamResponse(a *attempt, got *grpcfront.Response) (balancer.Outcome, *response) {
	done := make(chan error, 1)
	got.OnEnd = func(err error) { done <- err }
	got.StallTimeout = r.stallTimeout
	if got.Deadline = r.deadline; !r.isUnbounded() {
		got.Deadline = time.Now().Add(r.streamTime)
	}
	a.onStreaming(&response{status: http.StatusOK, grpc: got})
	var err error
	select {
	case err = <-done:
	case <-a.ctx.Done():
		return balancer.Canceled, nil
	}
	switch {
	case err == nil && (r.isStreaming || r.stream == nil):
		return balancer.OK, nil
	case err == nil, errors.Is(err, grpcfront.ErrClientGone), a.ctx.Err() != nil:
		return balancer.Canceled, nil
	case errors.Is(err, grpcfront.ErrDeadline):
		return balancer.Timeout, nil
	}
	return balancer.Reset, nil
}

// streamFailure returns the outcome of a stream that has failed. It is certain that the call was not executed if the stream was
// refused, if a GOAWAY excludes it, if its header list was not sent, or if a buffered call was not sent to its end.
func (r *grpcRequest) streamFailure(a *attempt, s *h2.Stream, c *conn, err error, sentAt time.Time) (balancer.Outcome, *response) {
	s.Reset(http2.ErrCodeCancel) // nothing more is sent, so that the progress is final
	started, ended := s.Progress()
	if r.stream != nil {
		if invalid := r.stream.ErrorResponse(); invalid != nil {
			return balancer.Canceled, &response{status: invalid.Status, grpc: invalid}
		}
	}
	switch {
	case a.ctx.Err() != nil:
		return balancer.Canceled, nil
	case errors.Is(err, h2.ErrRefused):
		return balancer.NotExecuted, nil
	case errors.Is(err, h2.ErrGoAway):
		return balancer.NotSent, nil
	case !started, !ended && !r.isUnbounded():
		return balancer.ConnectFailed, nil
	case errors.Is(err, context.DeadlineExceeded):
		c.mux.Probe(sentAt) // the server may be gone, if nothing was received since then
		return balancer.Timeout, nil
	}
	return balancer.Reset, nil
}
