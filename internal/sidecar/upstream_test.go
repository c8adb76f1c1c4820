package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"milletmast/balancer"
)

const testTimeout = 10 * time.Second // timeout of waits; a test that passes never reaches it

// listen opens a loopback listener that is closed at the end of the test.
func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// scriptedServer starts a server that calls f for each request with the number of its connection, and closes the connection when f
// returns false.
func scriptedServer(t *testing.T, f func(n int, c net.Conn, req *http.Request) (more bool)) net.Listener {
	t.Helper()
	ln := listen(t)
	go func() {
		for n := 0; ; n++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					if !f(n, c, req) {
						return
					}
				}
			}()
		}
	}()
	return ln
}

// get returns a GET request.
func get() *httpRequest {
	return &httpRequest{
		start:  "GET /browse/x?q=%20 HTTP/1.1\r\nHost: backend.local\r\n",
		header: http.Header{"X-Request-Id": {"1"}, "X-Deadline": {"99"}}, streamBounds: &platformResponseBounds,
	}
}

// attemptOn makes one attempt at server 1 of u.
func attemptOn(u *upstream, wait time.Duration) (balancer.Outcome, *response) {
	a := newAttempt(time.Time{})
	a.onStreaming = func(r *response) { // reads a streamed body to its end
		go func() {
			_, err := io.Copy(io.Discard, r.stream)
			r.stream.done <- err
		}()
	}
	return get().send(u, a, u.endpointOf(1), time.Now().Add(wait))
}

// newTestUpstream returns an upstream with the server 1 at an address.
func newTestUpstream(addr string, maxConns int) *upstream {
	u := newUpstream(balancer.Limits{}, 0, maxConns)
	u.setEndpoint(1, addr, 0, balancer.Ready)
	return u
}

// Each behavior of an endpoint must be reported to the decision module as an outcome that says correctly whether the request may have
// been executed, because the module decides on retries and rejections by it.
func TestOutcomes(t *testing.T) {
	for _, c := range []struct {
		name     string
		response string // written before the connection is closed
		want     balancer.Outcome
	}{
		{"served", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", balancer.OK},
		{"error", "HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n", balancer.Error},
		{"rejected without execution", "HTTP/1.1 503 U\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", balancer.NotExecuted},
		{"deadline passed without execution", "HTTP/1.1 504 G\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", balancer.NotExecuted},
		{"503 without X-Not-Run", "HTTP/1.1 503 U\r\nContent-Length: 0\r\n\r\n", balancer.Error},
		{"500 with X-Not-Run", "HTTP/1.1 500 E\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", balancer.Error},
		{"client error", "HTTP/1.1 400 B\r\nContent-Length: 0\r\n\r\n", balancer.Canceled},
		{"closed without a response", "", balancer.Reset},
		{"truncated in the header", "HTTP/1.1 200 OK\r\nContent-", balancer.Reset},
		{"truncated in the body", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhi", balancer.Reset},
		{"truncated between chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n", balancer.Reset},
		{"body over the limit", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nxyz", maxPlatformBody+1), balancer.Reset},
		{"truncated long body", "HTTP/1.1 200 OK\r\nContent-Length: 65538\r\n\r\n" + strings.Repeat("x", maxBufferedBody+1), balancer.Reset},
		{"long body without a first byte", "HTTP/1.1 200 OK\r\nContent-Length: 65538\r\n\r\n", balancer.Reset},
		{"length far over the limit", "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nxyz", balancer.Reset},
		{"truncated long chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n" + strings.Repeat("x", maxBufferedBody+1), balancer.Reset},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX-T: 1\r\n\r\n", balancer.OK},
		{"no length", "HTTP/1.1 200 OK\r\n\r\nhi", balancer.Reset}, // the body may be truncated
		{"body ends with the connection", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhi", balancer.OK},
		{"body ends with the connection in HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\nhi", balancer.OK},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nhi", balancer.Reset},
		{"length and chunks", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", balancer.Reset},
		{"negative length", "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nhi", balancer.Reset},
		{"binary garbage", "\x16\x03\x01\x00\n\n\n\n", balancer.Reset},
		{"no status", "HTTP/1.1 OK 200\r\nContent-Length: 2\r\n\r\nhi", balancer.Reset},
		{"another protocol", "ICY 200 OK\r\nContent-Length: 2\r\n\r\nhi", balancer.Reset},
		{"header line without a colon", "HTTP/1.1 200 OK\r\nno colon\r\nContent-Length: 2\r\n\r\nhi", balancer.Reset},
		{"endless head", "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Pad: p\r\n", maxHeadBytes), balancer.Reset},
		{"truncated with X-Not-Run", "HTTP/1.1 503 U\r\nX-Not-Run: 1\r\nContent-Length: 9\r\n\r\nhi", balancer.Reset},
		{"interim responses first", "HTTP/1.1 100 C\r\n\r\nHTTP/1.1 103 E\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", balancer.OK},
		{"endless interim responses", strings.Repeat("HTTP/1.1 103 E\r\n\r\n", maxInterim+1), balancer.Reset},
		{"followed by a second response", strings.Repeat("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", 2), balancer.OK},
	} {
		t.Run(c.name, func(t *testing.T) {
			ln := scriptedServer(t, func(_ int, conn net.Conn, _ *http.Request) bool {
				_, _ = io.WriteString(conn, c.response)
				return false
			})
			got, a := attemptOn(newTestUpstream(ln.Addr().String(), 4), testTimeout)
			final := c.want == balancer.OK || c.want == balancer.Canceled
			if got != c.want || (a != nil) != final {
				t.Fatalf("outcome %v with response %v, want outcome %v", got, a, c.want)
			}
			if got == balancer.OK && string(a.body) != "hi" {
				t.Errorf("body %q, want \"hi\"", a.body)
			}
		})
	}
	t.Run("silent", func(t *testing.T) {
		release := make(chan struct{})
		defer close(release)
		ln := scriptedServer(t, func(int, net.Conn, *http.Request) bool { <-release; return false })
		if got, _ := attemptOn(newTestUpstream(ln.Addr().String(), 4), time.Second); got != balancer.Timeout {
			t.Errorf("outcome %v, want a timeout", got)
		}
	})
	t.Run("refused", func(t *testing.T) {
		ln := listen(t)
		ln.Close()
		if got, _ := attemptOn(newTestUpstream(ln.Addr().String(), 4), testTimeout); got != balancer.ConnectFailed {
			t.Errorf("outcome %v, want a failed connect", got)
		}
	})
}

// A request whose reused connection breaks is not retried below the decision module, as http.Transport would do.
func TestBrokenConnectionIsNotRetried(t *testing.T) {
	requests := make(chan int, 10)
	ln := scriptedServer(t, func(n int, c net.Conn, _ *http.Request) bool {
		requests <- n
		if len(requests) == 2 {
			return false // the connection that served the first one breaks under the second
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	u := newTestUpstream(ln.Addr().String(), 4)
	if got, _ := attemptOn(u, testTimeout); got != balancer.OK {
		t.Fatalf("first outcome %v, want %v", got, balancer.OK)
	}
	if got, _ := attemptOn(u, testTimeout); got != balancer.Reset {
		t.Errorf("second outcome %v, want a reset", got)
	}
	if a, b := <-requests, <-requests; a != 0 || b != 0 || len(requests) != 0 {
		t.Errorf("requests on connections %d and %d and %d more, want both on the first", a, b, len(requests))
	}
}

// An endpoint may close an idle connection at any time. It must not be used, because a request written to it would count as a reset.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	kept, closed := make(chan struct{}), make(chan struct{})
	ln := scriptedServer(t, func(n int, c net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		if n == 0 {
			<-kept
			c.Close()
			close(closed)
		}
		return n > 0
	})
	u := newTestUpstream(ln.Addr().String(), 4)
	attemptOn(u, testTimeout)
	close(kept)
	<-closed
	idle := u.endpointOf(1).idle
	if len(idle) != 1 {
		t.Fatalf("%d idle connections, want 1", len(idle))
	}
	for isOpen(idle[0].Conn) { // until the FIN has arrived over the loopback
		time.Sleep(time.Millisecond)
	}
	if got, _ := attemptOn(u, testTimeout); got != balancer.OK {
		t.Errorf("outcome %v, want the request served on a new connection", got)
	}
	if u.openConns != 1 {
		t.Errorf("%d connections counted, want 1", u.openConns)
	}
}

// A canceled attempt belongs to a request that has its final response, so nothing may be written for it.
func TestCanceledBeforeWriting(t *testing.T) {
	requests := make(chan struct{}, 1)
	ln := scriptedServer(t, func(int, net.Conn, *http.Request) bool { requests <- struct{}{}; return false })
	u := newTestUpstream(ln.Addr().String(), 4)
	c, err := u.connect(t.Context(), u.endpointOf(1), time.Now().Add(testTimeout))
	if err != nil {
		t.Fatal(err)
	}
	a := newAttempt(time.Time{})
	a.abort()
	if got, _, _ := u.sendHTTP1(a, c, get(), time.Now().Add(testTimeout)); got != balancer.Canceled {
		t.Errorf("outcome %v, want %v", got, balancer.Canceled)
	}
	c.Close()
	if len(requests) != 0 {
		t.Error("the request was sent")
	}
}

// Canceling an attempt closes its connection, by which the endpoint notices the cancellation.
func TestCanceledWhileWaiting(t *testing.T) {
	received, left := make(chan struct{}), make(chan struct{})
	ln := scriptedServer(t, func(_ int, c net.Conn, _ *http.Request) bool {
		close(received)
		_, _ = c.Read(make([]byte, 1))
		close(left)
		return false
	})
	u := newTestUpstream(ln.Addr().String(), 4)
	a := newAttempt(time.Time{})
	go func() { <-received; a.abort() }()
	if got, _ := get().send(u, a, u.endpointOf(1), time.Now().Add(testTimeout)); got != balancer.Canceled {
		t.Errorf("outcome %v, want %v", got, balancer.Canceled)
	}
	select {
	case <-left:
	case <-time.After(testTimeout):
		t.Error("the connection stayed open")
	}
}

// Between the decision on an attempt and its first byte, the endpoint may start to drain, and a dial or a stall may outlast the drain
// grace. An attempt that is too late is not sent, and counts as not executed.
func TestLateAttemptIsNotSent(t *testing.T) {
	requests := make(chan struct{}, 1)
	ln := scriptedServer(t, func(int, net.Conn, *http.Request) bool { requests <- struct{}{}; return false })
	u := newTestUpstream(ln.Addr().String(), 4)
	a := newAttempt(time.Now().Add(-time.Millisecond))
	if got, _ := get().send(u, a, u.endpointOf(1), time.Now().Add(testTimeout)); got != balancer.ConnectFailed {
		t.Errorf("outcome %v, want %v", got, balancer.ConnectFailed)
	}
	if len(u.endpointOf(1).idle) != 1 {
		t.Error("the unused connection was not kept idle")
	}
	if len(requests) != 0 {
		t.Error("the request was sent")
	}
}

// At the connection limit an idle connection is closed for a new one. Only if none is idle does an attempt fail, as not executed.
func TestConnectionLimit(t *testing.T) {
	hold, held := make(chan struct{}), make(chan struct{}, 1)
	serve := func(n int, c net.Conn, req *http.Request) bool {
		if req.Header.Get("X-Request-Id") == "hold" {
			held <- struct{}{}
			<-hold
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	first, second := scriptedServer(t, serve), scriptedServer(t, serve)
	u := newTestUpstream(first.Addr().String(), 1)
	u.setEndpoint(2, second.Addr().String(), 0, balancer.Ready)
	attemptOn(u, testTimeout)
	if len(u.endpointOf(1).idle) != 1 {
		t.Fatal("no idle connection after the first attempt")
	}
	done := make(chan balancer.Outcome)
	go func() {
		out := get()
		out.header.Set("X-Request-Id", "hold")
		got, _ := out.send(u, newAttempt(time.Time{}), u.endpointOf(2), time.Now().Add(testTimeout))
		done <- got
	}()
	<-held
	if got, _ := attemptOn(u, testTimeout); got != balancer.ConnectFailed {
		t.Errorf("outcome %v at the connection limit", got)
	}
	close(hold)
	if got := <-done; got != balancer.OK || u.openConns != 1 {
		t.Errorf("outcome %v with %d connections, want it served in place of the idle one", got, u.openConns)
	}
}

// Idle connections to a server are closed when it drains, is removed, moves or restarts.
func TestIdleConnectionsEndWithTheServer(t *testing.T) {
	ln := scriptedServer(t, func(_ int, c net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	addr := ln.Addr().String()
	for name, change := range map[string]func(u *upstream){
		"draining":  func(u *upstream) { u.setEndpoint(1, addr, 0, balancer.Draining) },
		"gone":      func(u *upstream) { u.setEndpoint(1, addr, 0, balancer.Removed) },
		"restarted": func(u *upstream) { u.setEndpoint(1, addr, 9, balancer.Ready) },
		"moved":     func(u *upstream) { u.setEndpoint(1, "127.0.0.1:1", 0, balancer.Ready) },
		"closed":    func(u *upstream) { u.closeIdleConns(1) },
	} {
		u := newTestUpstream(addr, 4)
		attemptOn(u, testTimeout)
		if u.openConns != 1 {
			t.Fatalf("%s: %d connections after the first attempt, want 1", name, u.openConns)
		}
		if change(u); u.openConns != 0 {
			t.Errorf("%s: %d connections left, want 0", name, u.openConns)
		}
	}
}

// An idle connection must be closed well before the endpoint's own idle limit, even if there are no further requests.
func TestIdleConnectionsExpire(t *testing.T) {
	ln := scriptedServer(t, func(_ int, c net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	u := newTestUpstream(ln.Addr().String(), 4)
	u.idleLimit = 20 * time.Millisecond
	attemptOn(u, testTimeout)
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		u.mu.Lock()
		open := u.openConns
		u.mu.Unlock()
		if open == 0 {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%d connections are still open, want 0", open)
		}
	}
}

// The request is forwarded unchanged except for X-Deadline, which gives the time left.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	seen := make(chan string, 1)
	ln := scriptedServer(t, func(_ int, c net.Conn, r *http.Request) bool {
		seen <- fmt.Sprint(r.Method, " ", r.RequestURI, " ", r.Host, " ", r.Header["X-Request-Id"], r.Header["User-Agent"])
		left := r.Header.Get("X-Deadline")
		if left <= "9.0" || left >= "9.9999" {
			t.Errorf("X-Deadline %q, want just under ten seconds", left)
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return false
	})
	attemptOn(newTestUpstream(ln.Addr().String(), 4), testTimeout-10*time.Millisecond)
	if got, want := <-seen, "GET /browse/x?q=%20 backend.local [1] []"; got != want {
		t.Errorf("request %q, want %q", got, want)
	}
}
