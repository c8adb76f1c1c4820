// Package standin has stand-ins for what a sidecar meets: servers with settable speed and faults that keep a record of
// every request that reached them. It is for tests, measurements and the demo, on loopback addresses only.
package standin

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Fault is a way in which a server misbehaves.
type Fault string

// The faults. None is good service.
const (
	None        Fault = ""
	RefuseConn  Fault = "refuse"       // connections are reset as soon as they come
	ResetBefore Fault = "reset-before" // the connection is reset with the head read, before the body
	ResetAfter  Fault = "reset-after"  // the request has run, its answer is a reset
	Stall       Fault = "stall"        // the request has run, no answer comes
	Garbage     Fault = "garbage"      // the answer cannot be read
	Error500    Fault = "500"          // the answer is a 500
	NotRun      Fault = "not-run"      // 503 with X-Not-Run: 1; the request has not run
	HalfAnswer  Fault = "half"         // the answer breaks off in its body
)

// Record is one request that reached a server.
type Record struct {
	Server, ID, Method, URI, Host, Key string
	Header                             http.Header
	Bytes                              int64  // of its body
	Sum                                uint64 // FNV-1a of its body
	At                                 time.Time
	Ran                                bool
	Fault                              Fault
}

const (
	maxRecords = 1 << 20
	maxAnswer  = 1 << 30
)

// Server is a stand-in for one server.
type Server struct {
	Name string

	mu       sync.Mutex
	ln       net.Listener
	addr     string
	work     func(path string) time.Duration // of one request
	fault    func(*http.Request) Fault
	records  []Record
	count    int
	ran      int
	inFlight int
	conns    map[net.Conn]bool
	opened   int
	streams  uint32        // that a connection of HTTP/2 may have open
	cores    chan struct{} // taken by the requests at work; nil for any number
	cancel   context.CancelFunc
	running  sync.WaitGroup
}

// NewServer starts a server on a free loopback port.
func NewServer(name string) (*Server, error) {
	s := &Server{
		Name: name, work: func(string) time.Duration { return 0 }, fault: func(*http.Request) Fault { return None }, conns: map[net.Conn]bool{},
		streams: 100,
	}
	return s, s.listen("127.0.0.1:0")
}

func (s *Server) listen(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("stand-in %s: %w", s.Name, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.mu.Lock()
	s.ln, s.addr, s.cancel = ln, ln.Addr().String(), cancel
	s.mu.Unlock()
	s.running.Go(func() { s.accept(ctx, ln) })
	return nil
}

// Addr is where it listens, also while it is down.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// Work sets how long a request takes.
func (s *Server) Work(d time.Duration) { s.WorkBy(func() time.Duration { return d }) }

// WorkBy sets a function that tells how long each request takes. It is called by many goroutines.
func (s *Server) WorkBy(f func() time.Duration) {
	s.WorkOf(func(string) time.Duration { return f() })
}

// WorkOf likewise, by the path of each request.
func (s *Server) WorkOf(f func(path string) time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.work = f
}

// Cores sets how many requests are at work at once, from the next one on: others wait, and those whose X-Deadline is over by then are
// dropped. 0 is for any number. Work that has begun goes on, also if its caller has gone.
func (s *Server) Cores(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cores = nil; n > 0 {
		s.cores = make(chan struct{}, n)
	}
}

// Exponential gives times with a mean, by a seeded stream.
func Exponential(mean time.Duration, seed uint64) func() time.Duration {
	var mu sync.Mutex
	r := rand.New(rand.NewPCG(seed, 1))
	return func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return time.Duration(r.ExpFloat64() * float64(mean))
	}
}

// Fault sets how it misbehaves from now on.
func (s *Server) Fault(f Fault) { s.FaultBy(func(*http.Request) Fault { return f }) }

// FaultBy sets a function that tells the fault for each request. The request is nil for a connection that comes.
func (s *Server) FaultBy(f func(*http.Request) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Streams sets how many calls of gRPC a connection may have open, for those that come from now on.
func (s *Server) Streams(n uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams = n
}

// Records are the requests that reached it so far.
func (s *Server) Records() []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Record(nil), s.records...)
}

// Counts tells how many requests reached it, how many of them ran, how many are being served and how many connections
// are open.
func (s *Server) Counts() (reached, ran, inFlight, conns int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count, s.ran, s.inFlight, len(s.conns)
}

// Opened is the number of connections that it ever took.
func (s *Server) Opened() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opened
}

// Close ends it: its connections are reset, and new ones refused.
func (s *Server) Close() {
	s.mu.Lock()
	s.cancel()
	s.ln.Close()
	for c := range s.conns {
		reset(c)
	}
	s.mu.Unlock()
	s.running.Wait()
}

// Restart starts it again after Close, at its address.
func (s *Server) Restart() error { return s.listen(s.Addr()) }

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
		if ctx.Err() != nil || s.fault(nil) == RefuseConn {
			s.mu.Unlock()
			reset(c)
			continue
		}
		s.conns[c] = true
		s.opened++
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

// reset closes a connection with RST.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

func (s *Server) serve(ctx context.Context, c net.Conn) {
	r := bufio.NewReader(c)
	if first, err := r.Peek(4); err == nil && string(first) == "PRI " {
		s.serveTwo(ctx, &buffered{c, r})
		return
	}
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		s.mu.Lock()
		choose, work, cores := s.fault, s.work, s.cores
		s.mu.Unlock()
		fault := choose(req)
		rec := Record{
			Server: s.Name, ID: req.Header.Get("X-Request-Id"), Method: req.Method, URI: req.RequestURI, Host: req.Host,
			Key: req.Header.Get("Idempotency-Key"), Header: req.Header, At: time.Now(), Fault: fault,
		}
		if fault == ResetBefore {
			s.note(rec)
			reset(c)
			return
		}
		sum := fnv.New64a()
		if rec.Bytes, err = io.Copy(sum, req.Body); err != nil {
			return // it did not come whole
		}
		rec.Sum = sum.Sum64()
		rec.Ran = fault != NotRun
		s.note(rec)
		s.flight(1)
		if cores != nil {
			select {
			case cores <- struct{}{}:
				if left, err := strconv.ParseFloat(req.Header.Get("X-Deadline"), 64); err != nil || time.Since(rec.At).Seconds() < left {
					pause(ctx, work(req.URL.Path))
				}
				<-cores
			case <-ctx.Done():
			}
		} else {
			pause(ctx, work(req.URL.Path))
		}
		s.flight(-1)
		if !s.answer(ctx, c, req, &rec) || req.Close {
			return
		}
	}
}

// buffered is a connection of which something was read already.
type buffered struct {
	net.Conn
	reader *bufio.Reader
}

func (b *buffered) Read(p []byte) (int, error) { return b.reader.Read(p) }

func (s *Server) note(r Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count++
	if r.Ran {
		s.ran++
	}
	if len(s.records) < maxRecords {
		s.records = append(s.records, r)
	}
}

func (s *Server) flight(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight += n
}

// pause waits for a time, unless the server ends before.
func pause(ctx context.Context, d time.Duration) {
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

// answer answers by the fault, and tells whether the connection goes on. Of a sound request the answer's body says who
// served it: server, method, URI, id, and size and sum of the body. The query can ask for another status, for a body of
// n bytes, and for one that is chunked: ?status=404&bytes=100000&chunked=1.
func (s *Server) answer(ctx context.Context, c net.Conn, req *http.Request, rec *Record) bool {
	switch rec.Fault {
	case ResetAfter:
		reset(c)
		return false
	case Stall:
		c.SetReadDeadline(time.Now().Add(time.Minute))
		c.Read(make([]byte, 1)) // until the peer gives up
		return false
	case Garbage:
		io.WriteString(c, "\x00\x01 no answer \xff\r\n\r\n")
		return true
	case Error500:
		_, err := io.WriteString(c, "HTTP/1.1 500 Internal Server Error\r\nX-Server: "+s.Name+"\r\nContent-Length: 6\r\n\r\nfault\n")
		return err == nil
	case NotRun:
		_, err := io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	query := req.URL.Query()
	status, err := strconv.Atoi(query.Get("status"))
	if err != nil || status < 200 || status > 599 {
		status = http.StatusOK
	}
	body := fmt.Appendf(nil, "server=%s method=%s uri=%s id=%s bytes=%d sum=%x\n", s.Name, req.Method, req.RequestURI, rec.ID, rec.Bytes, rec.Sum)
	if n, err := strconv.Atoi(query.Get("bytes")); err == nil && n >= 0 && n <= maxAnswer {
		body = Body(n)
	}
	var head bytes.Buffer
	fmt.Fprintf(&head, "HTTP/1.1 %d %s\r\nX-Server: %s\r\n", status, http.StatusText(status), s.Name)
	bare := req.Method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
	pieces := query.Get("chunked") != ""
	switch {
	case status == http.StatusNoContent || status == http.StatusNotModified:
	case pieces:
		head.WriteString("Transfer-Encoding: chunked\r\n")
	default:
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(body))
	}
	head.WriteString("\r\n")
	if bare {
		_, err := c.Write(head.Bytes())
		return err == nil
	}
	if rec.Fault == HalfAnswer {
		if pieces {
			fmt.Fprintf(&head, "%x\r\n", len(body))
		}
		c.Write(append(head.Bytes(), body[:len(body)/2]...))
		reset(c)
		return false
	}
	if !pieces {
		_, err := (&net.Buffers{head.Bytes(), body}).WriteTo(c)
		return err == nil
	}
	if _, err := c.Write(head.Bytes()); err != nil {
		return false
	}
	for len(body) > 0 && ctx.Err() == nil {
		part := body[:min(len(body), 7919)]
		body = body[len(part):]
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(part), part); err != nil {
			return false
		}
	}
	_, err = io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// Body is a body of n bytes, the same for the same n.
func Body(n int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = 'a' + byte((i+n)%23)
	}
	return b
}
