package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// echoPathHandler responds to each request with its URI.
type echoPathHandler struct{}

func (echoPathHandler) Open(*IncomingRequest) (int64, *Reply) { return 1 << 20, nil }
func (echoPathHandler) Serve(_ context.Context, e *IncomingRequest) Reply {
	return Reply{Status: http.StatusOK, Body: []byte(e.URI)}
}

// orderCheckConn counts in late the reads that are interrupted only after the response was written: the interruption could hit the
// read of the next request.
type orderCheckConn struct {
	net.Conn
	writes, late *atomic.Int64
}

func (o *orderCheckConn) SetReadDeadline(at time.Time) error {
	if at.Before(time.Now()) {
		before := o.writes.Load()
		for range 20 {
			runtime.Gosched()
		}
		if o.writes.Load() > before {
			o.late.Add(1)
		}
	}
	return o.Conn.SetReadDeadline(at)
}

func (o *orderCheckConn) Write(p []byte) (int, error) {
	o.writes.Add(1)
	return o.Conn.Write(p)
}

// orderCheckListener wraps each accepted connection in an orderCheckConn.
type orderCheckListener struct {
	net.Listener
	late *atomic.Int64
}

func (l orderCheckListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &orderCheckConn{c, new(atomic.Int64), l.late}, nil
}

// Pipelined requests are responded to in order. While a request is handled, the port reads ahead to notice that the client closes the
// connection; the interruption of that read must never hit the read of the next request.
func TestPipelinedRequests(t *testing.T) {
	port, err := NewPort("127.0.0.1:0", PortLimits{MaxConns: 9, IdleTimeout: time.Minute, HeadTimeout: time.Minute}, echoPathHandler{})
	if err != nil {
		t.Fatal(err)
	}
	defer port.Close()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var late atomic.Int64
	var served sync.WaitGroup
	served.Go(func() { port.frontend.serve(orderCheckListener{ln, &late}) })
	defer served.Wait()
	defer ln.Close()
	const many = 200
	for round := range 20 {
		conn, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		var text strings.Builder
		for n := range many {
			fmt.Fprintf(&text, "GET /%d HTTP/1.1\r\nHost: a\r\n\r\n", n)
		}
		served.Go(func() { _, _ = io.WriteString(conn, text.String()) })
		from := bufio.NewReader(conn)
		for n := range many {
			r, err := http.ReadResponse(from, nil)
			if err != nil {
				t.Fatalf("round %d, request %d: %v", round, n, err)
			}
			if body, err := io.ReadAll(r.Body); err != nil || string(body) != fmt.Sprint("/", n) {
				t.Fatalf("round %d, request %d: %q, %v", round, n, body, err)
			}
		}
	}
	if n := late.Load(); n > 0 {
		t.Errorf("%d of %d reads were interrupted after the response", n, 20*many)
	}
}

// A port passes every request to its handler, also /-/ready, to which the frontend of a sidecar responds itself. The body of that
// request must not be parsed as another request.
func TestPortHandlesReadyPathLikeOthers(t *testing.T) {
	port, err := NewPort("127.0.0.1:0", PortLimits{MaxConns: 9, IdleTimeout: time.Minute, HeadTimeout: time.Minute}, echoPathHandler{})
	if err != nil {
		t.Fatal(err)
	}
	defer port.Close()
	conn, err := net.Dial("tcp", port.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	const hidden = "GET /hidden HTTP/1.1\r\nHost: a\r\n\r\n"
	fmt.Fprintf(conn, "GET /-/ready HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%sGET /last HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", len(hidden), hidden)
	got, err := io.ReadAll(conn)
	if err != nil || strings.Contains(string(got), "/hidden") || !strings.Contains(string(got), "\r\n\r\n/-/readyHTTP/1.1 200") || !strings.HasSuffix(string(got), "/last") {
		t.Errorf("responses %q, error %v, want those to /-/ready and /last", got, err)
	}
}
