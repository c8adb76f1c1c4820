// Package fakeserver provides servers for tests, measurements and the demo, on loopback addresses only: Server with configurable work
// time and faults and a record of each request, MisbehavingServer for a server that violates the protocol, App for a tier between two
// others, and FrameConn for one side of an HTTP/2 connection that sends and reads single frames.
package fakeserver

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"milletmast/internal/freeport"
)

// Fault is a way in which a server misbehaves.
type Fault string

// The faults.
const (
	NoFault           Fault = ""
	ResetConnection   Fault = "refuse"       // connections are reset when they are accepted
	ResetBeforeBody   Fault = "reset-before" // the connection is reset when the head has been read, before the body
	ResetAfterRequest Fault = "reset-after"  // the request was executed, and the connection is reset
	NoResponse        Fault = "stall"        // the request was executed, and there is no response
	GarbageResponse   Fault = "garbage"      // the response is not valid HTTP
	Error500          Fault = "500"          // the response is a 500
	NotExecuted       Fault = "not-run"      // 503 with X-Not-Run: 1; the request was not executed
	HalfResponse      Fault = "half"         // the connection is reset in the body of the response
)

// Record is one request that reached a server.
type Record struct {
	Server, RequestID, Method, URI, Host, IdempotencyKey string
	Header                                               http.Header
	BodyBytes                                            int64  // size of the body
	BodyHash                                             uint64 // FNV-1a hash of the body
	ReceivedAt                                           time.Time
	Executed                                             bool
	Fault                                                Fault
}

const (
	defaultMaxStreams = 100
	maxRecords        = 1 << 20
	maxResponseBody   = 1 << 30
)

// Server is a fake server of HTTP/1.1 and of gRPC.
type Server struct {
	Name string

	mu          sync.Mutex
	ln          net.Listener
	addr        string
	workTime    func(path string) time.Duration // time that a request takes
	fault       func(*http.Request) Fault
	records     []Record
	reached     int
	executed    int
	inFlight    int
	conns       map[net.Conn]bool
	connsOpened int
	maxStreams  uint32        // limit of concurrent streams of an HTTP/2 connection
	cores       chan struct{} // a token for each request that is executed; nil for no limit
	cancel      context.CancelFunc
	running     sync.WaitGroup
}

// NewServer starts a server on a free loopback port.
func NewServer(name string) (*Server, error) {
	s := &Server{
		Name:       name,
		workTime:   func(string) time.Duration { return 0 },
		fault:      func(*http.Request) Fault { return NoFault },
		conns:      map[net.Conn]bool{},
		maxStreams: defaultMaxStreams,
	}
	ln, err := freeport.Listen()
	if err != nil {
		return nil, fmt.Errorf("fake server %s: %w", s.Name, err)
	}
	s.start(ln)
	return s, nil
}

// start accepts connections of a listener until Close.
func (s *Server) start(ln net.Listener) {
	ctx, cancel := context.WithCancel(context.Background())
	s.mu.Lock()
	s.ln, s.addr, s.cancel = ln, ln.Addr().String(), cancel
	s.mu.Unlock()
	s.running.Go(func() { s.accept(ctx, ln) })
}

// Addr returns the address, also while the server is closed.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// SetWork sets how long a request takes.
func (s *Server) SetWork(d time.Duration) { s.SetWorkFunc(func() time.Duration { return d }) }

// SetWorkFunc sets a function that returns how long a request takes. It is called by many goroutines.
func (s *Server) SetWorkFunc(f func() time.Duration) {
	s.SetWorkByPath(func(string) time.Duration { return f() })
}

// SetWorkByPath sets a function that returns how long a request takes by its path. It is called by many goroutines.
func (s *Server) SetWorkByPath(f func(path string) time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.workTime = f
}

// SetCores sets how many requests are executed at once; 0 for no limit. Others wait, and are dropped if their X-Deadline passes
// meanwhile. Requests that are being executed go on, also if their client has left.
func (s *Server) SetCores(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cores = nil; n > 0 {
		s.cores = make(chan struct{}, n)
	}
}

// Exponential returns a function that draws durations from an exponential distribution.
func Exponential(mean time.Duration, seed uint64) func() time.Duration {
	var mu sync.Mutex
	r := rand.New(rand.NewPCG(seed, 1))
	return func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return time.Duration(r.ExpFloat64() * float64(mean))
	}
}

// SetFault sets the fault of all requests from now on.
func (s *Server) SetFault(f Fault) { s.SetFaultFunc(func(*http.Request) Fault { return f }) }

// SetFaultFunc sets a function that returns the fault of each request. The request is nil for a new connection.
func (s *Server) SetFaultFunc(f func(*http.Request) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// SetMaxStreams sets how many gRPC calls a connection may have open, for new connections.
func (s *Server) SetMaxStreams(n uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxStreams = n
}

// Records returns the requests that have reached the server.
func (s *Server) Records() []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Record(nil), s.records...)
}

// Counts returns the number of requests that have reached the server, of those that were executed, of those that are being executed, and
// of open connections.
func (s *Server) Counts() (reached, executed, inFlight, conns int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reached, s.executed, s.inFlight, len(s.conns)
}

// ConnsOpened returns how many connections the server has accepted.
func (s *Server) ConnsOpened() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connsOpened
}

// Close closes the server: its connections are reset, and new ones refused.
func (s *Server) Close() {
	s.mu.Lock()
	s.cancel()
	s.ln.Close()
	for c := range s.conns {
		resetConn(c)
	}
	s.mu.Unlock()
	s.running.Wait()
}

// Restart starts the server again after Close, at the same address.
func (s *Server) Restart() error {
	ln, err := net.Listen("tcp", s.Addr())
	if err != nil {
		return fmt.Errorf("fake server %s: %w", s.Name, err)
	}
	s.start(ln)
	return nil
}

func (s *Server) accept(ctx context.Context, ln net.Listener) {
	for {
		c, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		s.mu.Lock()
		if ctx.Err() != nil || s.fault(nil) == ResetConnection {
			s.mu.Unlock()
			resetConn(c)
			continue
		}
		s.conns[c] = true
		s.connsOpened++
		s.mu.Unlock()
		s.running.Go(func() {
			s.serve(ctx, c)
			s.mu.Lock()
			delete(s.conns, c)
			s.mu.Unlock()
			c.Close()
		})
	}
}

// resetConn closes a connection with RST.
func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // fails on a closed connection only
	}
	c.Close()
}

func (s *Server) record(r Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reached++
	if r.Executed {
		s.executed++
	}
	if len(s.records) < maxRecords {
		s.records = append(s.records, r)
	}
}

func (s *Server) addInFlight(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight += n
}

// wait waits for a time, unless ctx ends before.
func wait(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// Body returns a body of n bytes, which depends on n only.
func Body(n int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = 'a' + byte((i+n)%23)
	}
	return b
}
