// Package grpcfront accepts gRPC calls over HTTP/2 from callers and sends each call exactly one final response. It implements the
// framing and the status codes of gRPC (PROTOCOL-HTTP2.md of gRPC). A Router routes a call by its header list and executes its
// request. Messages are forwarded as bytes: no message descriptors are needed.
//
// server.go and conn.go handle connections, handler.go handles one call, request.go and response.go its two directions, status.go
// maps the codes of gRPC and HTTP, and health.go implements the health service.
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
	FlushTimeout       time.Duration               // a buffered response is dropped if the caller reads nothing for it
	StreamStallTimeout time.Duration               // a streamed response is aborted if the caller reads nothing for it
	AcquireCall        func() bool                 // adds an open call of the process; false if there are too many. May be nil
	ReleaseCall        func()                      // removes an open call; nil if and only if AcquireCall is
	OnBusyChange       func(n net.Conn, busy bool) // a connection has its first open call, or none anymore; may be nil
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

// ErrShuttingDown is the cause with which CancelStreams cancels calls at the end of the process.
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

// Serve serves one connection until it ends. If bytes of it have been buffered already, reader holds them; otherwise it may be
// nil.
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

// Drain sends GOAWAY to all callers, so that they send new calls elsewhere (RFC 9113, section 6.8). Open calls continue.
// Connections that are accepted later receive it at once.
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

// HealthChanged makes the open Watch calls of the health service read the serving status again.
func (s *Server) HealthChanged() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notifyWatchers()
}
