package grpcfront

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"golang.org/x/net/http2"

	"milletmast/internal/h2"
)

// Response is a final response. It is the sidecar's own if Header is nil, and a server's otherwise.
//
// Functions in this file queue frames of a stream and ignore the error: it is an error of the stream, which WaitSent, Recv or
// the next Send returns.
type Response struct {
	// Fields of the sidecar's own responses.
	Status        int           // the HTTP status; CodeOf gives the code of gRPC
	Message       string        // empty for the default message of the status
	RetryAfter    time.Duration // 0 for none
	ExtraTrailers []h2.Field    // in addition to those of the status

	// Fields of a server's response.
	Interim      [][]h2.Field // header lists of 1xx responses before it
	Header       []h2.Field
	Body         [][]byte
	Trailers     []h2.Field    // nil if there are none, or if Stream provides them
	Stream       *h2.Stream    // the rest; nil if Body is complete
	Deadline     time.Time     // for the rest
	StallTimeout time.Duration // the stream is reset if the caller reads nothing for it; 0 = Options.StreamStallTimeout
	// OnEnd is called when the rest has ended: with nil if it is complete, ErrClientGone if the caller did not read it, or the
	// error of Stream.
	OnEnd func(error)
}

// Errors of a response.
var (
	// ErrClientGone means that the caller does not read its response or has disconnected.
	ErrClientGone = errors.New("the caller does not read the response")
	// ErrDeadline means that the deadline of a streamed response has passed.
	ErrDeadline = errors.New("the time for the call is over")

	errClientStalled = errors.New("the caller has stopped reading the response")
)

// respond sends the final response of a call.
func (s *Server) respond(ctx context.Context, stream *h2.Stream, r *Response) {
	if r.Stream != nil {
		r.OnEnd(s.streamResponse(ctx, stream, r))
		return
	}
	// A shutdown does not cancel a final response. If the caller has disconnected, the stream has an error.
	ctx = context.WithoutCancel(ctx)
	if r.Header == nil {
		_ = stream.SendHeader(append(okHeader(), r.statusTrailers()...), true)
	} else {
		sendHeaders(stream, r)
		for _, chunk := range r.Body {
			_ = stream.Send(ctx, chunk)
		}
		if r.Trailers != nil {
			_ = stream.SendEnd(r.Trailers)
		}
	}
	if stream.WaitSent(ctx, s.options.FlushTimeout) != nil {
		stream.Reset(http2.ErrCodeEnhanceYourCalm)
	}
}

// okHeader returns the header list of a gRPC response.
func okHeader() []h2.Field {
	return []h2.Field{{Name: ":status", Value: "200"}, {Name: "content-type", Value: "application/grpc"}}
}

// sendHeaders sends the header lists of a server's response.
func sendHeaders(stream *h2.Stream, r *Response) {
	for _, fields := range r.Interim {
		_ = stream.SendHeader(fields, false)
	}
	_ = stream.SendHeader(r.Header, r.Trailers == nil && r.Stream == nil && len(r.Body) == 0)
}

// statusTrailers returns the trailers of one of the sidecar's own responses.
func (r *Response) statusTrailers() []h2.Field {
	code := CodeOf(r.Status)
	notExecuted := r.Status == http.StatusServiceUnavailable
	_, outcome := StatusOf(code)
	message := r.Message
	if message == "" {
		message = defaultMessages[code]
	}
	trailers := statusTrailers(code, message, r.RetryAfter, !notExecuted && outcome != Served)
	return append(trailers, r.ExtraTrailers...)
}

// defaultMessages are the grpc-message texts of the sidecar's own responses.
var defaultMessages = map[Code]string{
	Unavailable:      "refused by the sidecar: a retry does no harm",
	Unknown:          "the call failed and may have run",
	DeadlineExceeded: "the time for the call is over, it may have run",
}

// streamResponse forwards a server's response while it is received. It returns ErrClientGone if the caller does not read it.
func (s *Server) streamResponse(ctx context.Context, stream *h2.Stream, r *Response) error {
	ctx, cancel := context.WithDeadlineCause(ctx, r.Deadline, ErrDeadline)
	defer cancel()
	stallTimeout := cmp.Or(r.StallTimeout, s.options.StreamStallTimeout)
	sendHeaders(stream, r)
	for _, chunk := range r.Body {
		if err := sendChunk(ctx, stream, chunk, stallTimeout); err != nil {
			return s.abortResponse(stream, err)
		}
	}
	for {
		chunk, err := r.Stream.Recv(ctx)
		if errors.Is(err, io.EOF) {
			break
		}
		if err == nil {
			err = sendChunk(ctx, stream, chunk, stallTimeout)
		}
		if err != nil {
			return s.abortResponse(stream, err)
		}
	}
	_ = stream.SendEnd(r.Stream.Trailers())
	if stream.WaitSent(context.WithoutCancel(ctx), stallTimeout) != nil {
		stream.Reset(http2.ErrCodeEnhanceYourCalm)
		return ErrClientGone
	}
	return nil
}

// sendChunk sends bytes, and fails if the caller reads nothing for the stall timeout.
func sendChunk(ctx context.Context, stream *h2.Stream, chunk []byte, stallTimeout time.Duration) error {
	if stream.TrySend(chunk) { // the usual case, without a timer
		return nil
	}
	ctx, cancel := context.WithTimeoutCause(ctx, stallTimeout, errClientStalled)
	defer cancel()
	return stream.Send(ctx, chunk)
}

// abortResponse ends a response that has started and cannot be completed, with a status if the caller can still receive one. It
// returns the error for Response.OnEnd.
func (s *Server) abortResponse(stream *h2.Stream, err error) error {
	if stream.Err() != nil { // the caller has reset the stream or disconnected
		return ErrClientGone
	}
	code, message, result := Unknown, "the server's answer broke off", err
	switch {
	case errors.Is(err, ErrDeadline):
		code, message = DeadlineExceeded, err.Error()
	case errors.Is(err, ErrShuttingDown):
		message, result = err.Error(), ErrClientGone
	case errors.Is(err, errClientStalled):
		stream.Reset(http2.ErrCodeEnhanceYourCalm)
		return ErrClientGone
	}
	_ = stream.SendEnd(statusTrailers(code, message, 0, true))
	ctx, cancel := context.WithTimeout(context.Background(), s.options.FlushTimeout)
	defer cancel()
	if stream.WaitSent(ctx, s.options.FlushTimeout) != nil {
		stream.Reset(http2.ErrCodeCancel)
	}
	return result
}
