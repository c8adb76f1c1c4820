package sidecar

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"milletmast/balancer"
	"milletmast/internal/exchange"
)

// Guards against review/6 (LOST): an answer without a length was broken off at its head, while its server was at work on the rest. Such
// an answer ends with its connection; only one whose connection ends in order is complete, and its connection carries nothing more.
func TestResponseEndsWithItsConnection(t *testing.T) {
	const ownHead = "HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\n\r\n"
	reset := func(c *net.TCPConn) { _ = c.SetLinger(0) }
	untilClosed := func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) }
	for name, c := range map[string]struct {
		parts       []string             // written one after the other
		end         func(c *net.TCPConn) // before the connection is closed; nil for an end in order
		peerIsProxy bool
		maxBytes    int64
		outcome     exchange.Outcome
		body        string
	}{
		"announced":              {[]string{"HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\nConnection: close\r\n\r\n", "one", "two"}, nil, false, 99, exchange.Completed, "onetwo"},
		"not announced":          {[]string{ownHead, "one"}, nil, false, 99, exchange.Completed, "one"},
		"without a body":         {[]string{ownHead}, nil, false, 99, exchange.Completed, ""},
		"of HTTP/1.0":            {[]string{"HTTP/1.0 200 OK\r\nX-Attempt-Id: r1\r\n\r\n", "one"}, nil, false, 99, exchange.Completed, "one"},
		"after 103":              {[]string{"HTTP/1.1 103 Early Hints\r\n\r\n", ownHead, "one"}, nil, false, 99, exchange.Completed, "one"},
		"as long as allowed":     {[]string{ownHead, strings.Repeat("x", 99)}, nil, false, 99, exchange.Completed, strings.Repeat("x", 99)},
		"too long":               {[]string{ownHead, strings.Repeat("x", 100)}, nil, false, 99, exchange.ConnectionFailed, ""},
		"long":                   {[]string{ownHead, strings.Repeat("x", 1<<20)}, nil, false, 1 << 20, exchange.Completed, strings.Repeat("x", 1<<20)},
		"reset at its head":      {[]string{ownHead}, reset, false, 99, exchange.ConnectionFailed, ""},
		"reset in its body":      {[]string{ownHead, "one"}, reset, false, 99, exchange.ConnectionFailed, ""},
		"silent":                 {[]string{ownHead, "one"}, untilClosed, false, 99, exchange.TimedOut, ""},
		"of another request":     {[]string{"HTTP/1.1 200 OK\r\nX-Attempt-Id: r0\r\n\r\n", "one"}, nil, false, 99, exchange.ConnectionFailed, ""},
		"with a length, cut":     {[]string{"HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\nContent-Length: 4\r\n\r\n", "one"}, nil, false, 99, exchange.ConnectionFailed, ""},
		"in chunks, cut":         {[]string{"HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n", "3\r\none\r\n"}, nil, false, 99, exchange.ConnectionFailed, ""},
		"of a proxy of the mesh": {[]string{ownHead, "one"}, nil, true, 99, exchange.ConnectionFailed, ""},
	} {
		t.Run(name, func(t *testing.T) {
			server := scriptedServer(t, func(_ int, conn net.Conn, _ *http.Request) bool {
				for _, part := range c.parts {
					_, _ = io.WriteString(conn, part)
				}
				if c.end != nil {
					c.end(conn.(*net.TCPConn))
				}
				return false
			})
			pool := NewSingleServerPool(1, time.Minute)
			defer pool.Close()
			pool.SetServer(server.Addr().String(), 1)
			request := &Exchange{
				Head: func(time.Duration) []byte { return []byte("POST / HTTP/1.1\r\nHost: a\r\nX-Attempt-Id: r1\r\n") },
				ID:   "r1", PeerIsProxy: c.peerIsProxy, MaxReplyBytes: c.maxBytes,
			}
			timeout := time.Minute
			if c.outcome == exchange.TimedOut {
				timeout = 50 * time.Millisecond
			}
			outcome, reply := pool.RoundTrip(t.Context(), request, time.Now().Add(timeout))
			if outcome != c.outcome {
				t.Fatalf("outcome %v, want %v", outcome, c.outcome)
			}
			if outcome == exchange.Completed && (reply.Status != http.StatusOK || string(reply.Body) != c.body) {
				t.Errorf("status %d and %d bytes, want 200 and %d", reply.Status, len(reply.Body), len(c.body))
			}
			if pool.upstream.openConns != 0 {
				t.Errorf("%d connections are kept, want none", pool.upstream.openConns)
			}
		})
	}
}

// A reset that a write has reported looks like an end in order to the reads after it, so an answer without a length is not complete then.
func TestEarlyResponseWithoutLengthIsNotComplete(t *testing.T) {
	ln := listen(t)
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\n\r\none")
		}
	}()
	pool := NewSingleServerPool(1, time.Minute)
	defer pool.Close()
	pool.SetServer(ln.Addr().String(), 1)
	request := &Exchange{
		Head: func(time.Duration) []byte { return []byte("POST / HTTP/1.1\r\nHost: a\r\nX-Attempt-Id: r1\r\n") },
		Body: make([]byte, 64<<20), ID: "r1", MaxReplyBytes: 1 << 20,
	}
	if outcome, reply := pool.RoundTrip(t.Context(), request, time.Now().Add(time.Minute)); outcome != exchange.ConnectionFailed {
		t.Errorf("outcome %v, %+v, want %v", outcome, reply, exchange.ConnectionFailed)
	}
}

// At a listener of an operator file too, a response without a length ends with its connection, and one that is reset is not complete.
func TestListenerResponseEndsWithItsConnection(t *testing.T) {
	for name, c := range map[string]struct {
		head    string
		length  int // of the body
		isReset bool
		outcome balancer.Outcome
	}{
		"short":           {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", 3, false, balancer.OK},
		"not announced":   {"HTTP/1.1 200 OK\r\n\r\n", 3, false, balancer.OK},
		"a client error":  {"HTTP/1.1 404 Not Found\r\n\r\n", 3, false, balancer.Canceled},
		"streamed":        {"HTTP/1.1 200 OK\r\n\r\n", 3 * maxBufferedBody, false, balancer.OK},
		"reset":           {"HTTP/1.1 200 OK\r\n\r\n", 3, true, balancer.Reset},
		"streamed, reset": {"HTTP/1.1 200 OK\r\n\r\n", 3 * maxBufferedBody, true, balancer.Reset},
	} {
		t.Run(name, func(t *testing.T) {
			server := scriptedServer(t, func(_ int, conn net.Conn, _ *http.Request) bool {
				_, _ = io.WriteString(conn, c.head+strings.Repeat("x", c.length))
				if c.isReset {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
				return false
			})
			u := newTestUpstream(server.Addr().String(), 1)
			defer u.close()
			var streamed int64
			a := newAttempt(time.Time{})
			a.onStreaming = func(r *response) {
				rest, err := io.Copy(io.Discard, r.stream)
				streamed = int64(len(r.body)) + rest
				r.stream.done <- err
			}
			request := get()
			request.fromListener = true
			outcome, r := request.send(u, a, u.endpointOf(1), time.Now().Add(time.Minute))
			if outcome != c.outcome {
				t.Fatalf("outcome %v, want %v", outcome, c.outcome)
			}
			if outcome != balancer.Reset && r != nil && len(r.body) != c.length || outcome == balancer.OK && r == nil && streamed != int64(c.length) {
				t.Errorf("%+v, %d bytes were streamed, want %d", r, streamed, c.length)
			}
			if u.openConns != 0 {
				t.Errorf("%d connections are kept, want none", u.openConns)
			}
		})
	}
}
