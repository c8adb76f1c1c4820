package grpcfront

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"milletmast/internal/h2"
)

const (
	maxBufferedBytes    = 64 << 10               // of a request that is buffered completely
	endOfRequestTimeout = 5 * time.Millisecond   // from the first complete message to the end of the request
	firstByteTimeout    = 100 * time.Millisecond // from the header list to the first byte, unless the call is streaming
)

// Request is the request of a call.
type Request struct {
	Body          [][]byte       // what has been received; it must not be modified
	Stream        *RequestStream // the rest; nil if Body is complete
	NotRepeatable bool           // it has several messages, and may be sent to a server only once
}

// RequestStream is a request that is still being received.
type RequestStream struct {
	stream  *h2.Stream
	framing MessageFraming

	mu  sync.Mutex
	err error
}

// Recv waits for the next bytes. It returns io.EOF at the end of the request. A request that is not a sequence of
// messages, or has one that is too long, fails with an error that ends the call.
func (r *RequestStream) Recv(ctx context.Context) ([]byte, error) {
	chunk, err := r.stream.Recv(ctx)
	if err == nil {
		err = r.framing.Add(chunk)
	} else if errors.Is(err, io.EOF) && !r.framing.AtBoundary() {
		err = ErrBadMessage
	}
	if err == nil || errors.Is(err, io.EOF) {
		return chunk, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.err = err
	return nil, err
}

// ErrorResponse returns the response to a request that turned out to be invalid; nil if it is valid so far.
func (r *RequestStream) ErrorResponse() *Response {
	r.mu.Lock()
	defer r.mu.Unlock()
	if errors.Is(r.err, ErrBadMessage) || errors.Is(r.err, ErrMessageTooLong) {
		return requestError(r.err)
	}
	return nil
}

// errMoreToCome means that a request cannot be buffered completely.
var errMoreToCome = errors.New("the request goes on")

// recvSoon waits for more of a request that may be buffered completely. Within a message it waits like Recv; after a complete
// message, only as long as a client needs to end the request.
func (r *RequestStream) recvSoon(ctx context.Context, ended bool) ([]byte, error) {
	if r.framing.prefixBytes > 0 || ended || r.stream.IsReadable() {
		return r.Recv(ctx)
	}
	timeout := firstByteTimeout
	if r.framing.Completed > 0 {
		timeout = endOfRequestTimeout
	}
	limited, cancel := context.WithTimeoutCause(ctx, timeout, errMoreToCome)
	defer cancel()
	chunk, err := r.Recv(limited)
	timedOut := errors.Is(context.Cause(limited), errMoreToCome) && ctx.Err() == nil
	if err != nil && !errors.Is(err, io.EOF) && timedOut {
		return nil, errMoreToCome
	}
	return chunk, err
}
