package grpcfront

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"golang.org/x/net/http2"

	"milletmast/internal/h2"
)

// Router decides on calls. It may be called by many goroutines.
type Router interface {
	// Route decides on a call by its header list: it returns either a final response or a call to execute.
	Route(c *Call) (RoutedCall, *Response)
	// IsServing reports whether calls are accepted. Health checks return it.
	IsServing() bool
}

// RoutedCall is a call that the router has accepted.
type RoutedCall interface {
	IsStreaming() bool             // the call is forwarded as soon as its header list is received
	RequestTimeout() time.Duration // for the request to arrive and the response to start, unless the call is streaming
	MaxMessageBytes() int64        // limit of one message of the request
	// Execute returns the one final response; nil if ctx ended before, for example as the caller has
	// reset the stream.
	Execute(ctx context.Context, r *Request) *Response
	// Close is called once, when the call has ended with or without a response.
	Close()
}

// handleCall handles one call from its header list to its final response.
func (s *Server) handleCall(stream *h2.Stream, header []h2.Field, ended bool, remoteHost string) {
	ctx, cancel := context.WithCancelCause(s.streamContext)
	defer cancel(nil)
	stream.OnError(cancel) // the caller has reset the stream or disconnected
	call, status, reason := parseCall(header)
	call.RemoteHost = remoteHost
	switch {
	case call.Method != http.MethodPost:
		s.respondNotGRPC(ctx, stream, http.StatusMethodNotAllowed)
		return
	case !isGRPC(call.Header.Get("Content-Type")):
		s.respondNotGRPC(ctx, stream, http.StatusUnsupportedMediaType)
		return
	case status == 0 && call.HasTimeout && call.Timeout == 0:
		status, reason = http.StatusGatewayTimeout, "the deadline has passed"
	}
	if status != 0 {
		s.respond(ctx, stream, &Response{Status: status, Message: reason})
		return
	}
	if isHealthMethod(call.Path) {
		s.handleHealth(ctx, stream, call)
		return
	}
	routed, final := s.router.Route(call)
	if final != nil {
		s.respond(ctx, stream, final)
		return
	}
	defer routed.Close()
	response := s.execute(ctx, stream, routed, ended)
	if response == nil {
		stream.Reset(http2.ErrCodeCancel)
		return
	}
	s.respond(ctx, stream, response)
}

// execute reads the request of a routed call and executes it. It returns nil if the caller has reset the stream or
// disconnected.
func (s *Server) execute(ctx context.Context, stream *h2.Stream, routed RoutedCall, ended bool) *Response {
	request, err := readRequest(ctx, stream, routed, ended)
	if err == nil {
		return routed.Execute(ctx, request)
	}
	if ctx.Err() == nil || errors.Is(context.Cause(ctx), ErrShuttingDown) {
		return requestError(err)
	}
	return nil
}

// requestError returns the response to a request that could not be read.
func requestError(err error) *Response {
	switch {
	case errors.Is(err, ErrMessageTooLong):
		return &Response{Status: http.StatusRequestEntityTooLarge, Message: err.Error()}
	case errors.Is(err, context.DeadlineExceeded):
		return &Response{Status: http.StatusGatewayTimeout, Message: "the request did not come in time"}
	case errors.Is(err, ErrShuttingDown):
		return &Response{Status: http.StatusServiceUnavailable, Message: err.Error()}
	}
	return &Response{Status: http.StatusBadRequest, Message: err.Error()}
}

// respondNotGRPC responds to a request that is not a gRPC call (PROTOCOL-HTTP2.md, "Requests").
func (s *Server) respondNotGRPC(ctx context.Context, stream *h2.Stream, status int) {
	_ = stream.SendHeader([]h2.Field{{Name: ":status", Value: strconv.Itoa(status)}}, true)
	_ = stream.WaitSent(ctx, s.options.FlushTimeout) // if the caller does not read, the response is dropped
}

// readRequest reads the request: all of it if it is short and ends soon after its one message, otherwise its first part.
func readRequest(ctx context.Context, stream *h2.Stream, routed RoutedCall, ended bool) (*Request, error) {
	rest := &RequestStream{stream: stream, framing: MessageFraming{MaxBytes: routed.MaxMessageBytes()}}
	r := &Request{Stream: rest}
	if routed.IsStreaming() {
		return r, nil
	}
	timerSet := false // most requests have arrived with their header list, and need no timer
	for bytes := 0; bytes <= maxBufferedBytes; {
		if !timerSet && !stream.IsReadable() {
			timerSet = true
			limited, cancel := context.WithTimeout(ctx, routed.RequestTimeout())
			defer cancel()
			ctx = limited
		}
		chunk, err := rest.recvSoon(ctx, ended)
		switch {
		case errors.Is(err, io.EOF):
			r.Stream, r.NotRepeatable = nil, rest.framing.Started > 1
			return r, nil
		case errors.Is(err, errMoreToCome):
			return r, nil
		case err != nil:
			return nil, err
		}
		bytes += len(chunk)
		r.Body = append(r.Body, chunk)
	}
	return r, nil
}
