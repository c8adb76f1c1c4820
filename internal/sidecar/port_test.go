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

// parrot is a desk that answers each request with its path.
type parrot struct{}

func (parrot) Open(*IncomingRequest) (int64, *Reply) { return 1 << 20, nil }
func (parrot) Serve(_ context.Context, e *IncomingRequest) Reply {
	return Reply{Status: http.StatusOK, Body: []byte(e.URI)}
}

// ordered is a connection that notes a read that is ended once the answer to it goes out: it would end the next one.
type ordered struct {
	net.Conn
	answered, late *atomic.Int64
}

func (o *ordered) SetReadDeadline(at time.Time) error {
	if at.Before(time.Now()) {
		before := o.answered.Load()
		for range 20 {
			runtime.Gosched()
		}
		if o.answered.Load() > before {
			o.late.Add(1)
		}
	}
	return o.Conn.SetReadDeadline(at)
}

func (o *ordered) Write(p []byte) (int, error) {
	o.answered.Add(1)
	return o.Conn.Write(p)
}

// orderedConns are what a listener accepts.
type orderedConns struct {
	net.Listener
	late *atomic.Int64
}

func (l orderedConns) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &ordered{c, new(atomic.Int64), l.late}, nil
}

// Requests that a caller sends one behind the other are each answered, in their order, and the end of the look for its leaving never
// falls into the next request.
func TestRequestsBehindEachOther(t *testing.T) {
	port, err := NewPort("127.0.0.1:0", PortLimits{MaxConns: 9, IdleTimeout: time.Minute, HeadTimeout: time.Minute}, parrot{})
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
	served.Go(func() { port.frontend.serve(orderedConns{ln, &late}) })
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
		t.Errorf("%d of %d reads were ended after the answer", n, 20*many)
	}
}

// A port answers nothing by itself: what asks a sidecar whether it is ready is a request like any other there.
func TestAPortIsNoSidecar(t *testing.T) {
	port, err := NewPort("127.0.0.1:0", PortLimits{MaxConns: 9, IdleTimeout: time.Minute, HeadTimeout: time.Minute}, parrot{})
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
		t.Errorf("%q, %v", got, err)
	}
}
