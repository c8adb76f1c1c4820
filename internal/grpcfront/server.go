// Package grpcfront accepts gRPC calls over HTTP/2 from callers and gives each call exactly one final response. It knows the
// framing and the status codes of gRPC (PROTOCOL-HTTP2.md of gRPC). A Router decides what becomes of a call by its header list,
// and then of its request. Calls pass as bytes: no message descriptors are needed.
//
// server.go and conn.go own the connections, handler.go the way of one call, request.go and response.go its two directions,
// status.go the mapping between the codes of gRPC and HTTP, health.go the health service.
package grpcfront

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"milletmast/internal/h2"
)

// Options configure a Server. A number or duration of zero means its default.
type Options struct {
	MaxConcurrentCalls uint32                      // of one connection
	IdleTimeout        time.Duration               // a connection without a call is closed after it
	FlushTimeout       time.Duration               // a buffered response of which the caller reads nothing for so long is dropped
	StreamStallTimeout time.Duration               // likewise of a response that is streamed
	AcquireCall        func() bool                 // counts one more call of the process; false if there are too many. May be nil
	ReleaseCall        func()                      // counts one less; nil if and only if AcquireCall is
	OnBusyChange       func(n net.Conn, busy bool) // a connection has its first open call, or none any more; may be nil
}

// Defaults of Options.
const (
	DefaultMaxConcurrentCalls = 100
	DefaultIdleTimeout        = 5 * time.Minute
	DefaultFlushTimeout       = time.Second
	DefaultStreamStallTimeout = 10 * time.Second
)

func (o *Options) setDefaults() {
	if o.MaxConcurrentCalls == 0 {
		o.MaxConcurrentCalls = DefaultMaxConcurrentCalls
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = DefaultIdleTimeout
	}
	if o.FlushTimeout == 0 {
		o.FlushTimeout = DefaultFlushTimeout
	}
	if o.StreamStallTimeout == 0 {
		o.StreamStallTimeout = DefaultStreamStallTimeout
	}
	if o.AcquireCall == nil {
		o.AcquireCall, o.ReleaseCall = func() bool { return true }, func() {}
	}
	if o.OnBusyChange == nil {
		o.OnBusyChange = func(net.Conn, bool) {}
	}
}

// ErrShuttingDown is why a call that still streams is cancelled at the end of the process.
var ErrShuttingDown = errors.New("the sidecar is ending")

// Server serves the connections of a listener.
type Server struct {
	router        Router
	options       Options
	streamContext context.Context // of all calls; cancelled by CancelStreams
	cancel        context.CancelCauseFunc

	mu                 sync.Mutex
	maxConcurrentCalls uint32 // of connections that are accepted from now on
	conns              map[*h2.Conn]bool
	draining           bool
	watchers           map[chan struct{}]bool // of the health service
}

// New returns a server.
func New(router Router, options Options) *Server {
	options.setDefaults()
	s := &Server{
		router:             router,
		options:            options,
		maxConcurrentCalls: options.MaxConcurrentCalls,
		conns:              map[*h2.Conn]bool{},
		watchers:           map[chan struct{}]bool{},
	}
	s.streamContext, s.cancel = context.WithCancelCause(context.Background())
	return s
}

// Serve serves one connection until it ends. Reader may have read from it already; it may be nil.
func (s *Server) Serve(raw net.Conn, reader *bufio.Reader) error {
	c := &clientConn{server: s, net: raw, remoteHost: raw.RemoteAddr().String()}
	if host, _, err := net.SplitHostPort(c.remoteHost); err == nil {
		c.remoteHost = host
	}
	s.mu.Lock()
	c.conn = h2.New(raw, reader, h2.Config{MaxConcurrentStreams: s.maxConcurrentCalls, OnStream: c.acceptCall})
	c.idleTimer = time.AfterFunc(s.options.IdleTimeout, c.conn.Drain)
	defer c.idleTimer.Stop()
	s.conns[c.conn] = true
	draining := s.draining
	s.mu.Unlock()
	if draining {
		c.conn.Drain()
	}
	err := c.conn.Run()
	s.mu.Lock()
	delete(s.conns, c.conn)
	s.mu.Unlock()
	c.calls.Wait()
	return err
}

// SetMaxConcurrentCalls sets how many calls a connection may have open, for connections that are accepted from now on.
func (s *Server) SetMaxConcurrentCalls(n uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxConcurrentCalls = n
}

// Drain tells all callers to send new calls elsewhere (GOAWAY, RFC 9113, section 6.8). Open calls continue. Connections that are
// accepted later receive it at once.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	for c := range s.conns {
		c.Drain()
	}
	s.notifyWatchers()
}

// CancelStreams ends the calls that still stream, each with a final status.
func (s *Server) CancelStreams() { s.cancel(ErrShuttingDown) }

// HealthChanged has watching health checks read the state again.
func (s *Server) HealthChanged() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notifyWatchers()
}
