package sidecar

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"milletmast/balancer"
	"milletmast/internal/exchange"
)

// panickingHandler panics where the path of a request says so.
type panickingHandler struct{}

func (panickingHandler) Open(e *IncomingRequest) (int64, *Reply) {
	if e.URI == "/open" {
		panic("planted in Open")
	}
	return 1 << 20, nil
}

func (panickingHandler) Serve(_ context.Context, e *IncomingRequest) Reply {
	if e.URI == "/serve" {
		panic("planted in Serve")
	}
	return Reply{Status: http.StatusOK}
}

// A panic in the handler of a request fails that request alone: its client gets 502, or a closed connection, and the next request is served.
func TestPanicFailsOneRequest(t *testing.T) {
	port, err := NewPort("127.0.0.1:0", PortLimits{MaxConns: 9, IdleTimeout: time.Minute, HeadTimeout: time.Minute}, panickingHandler{})
	if err != nil {
		t.Fatal(err)
	}
	defer port.Close()
	for _, c := range []struct {
		path   string
		status int // 0 for a closed connection
	}{{"/serve", http.StatusBadGateway}, {"/open", 0}} {
		conn, err := net.Dial("tcp", port.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		reader := bufio.NewReader(conn)
		for _, want := range []struct {
			path   string
			status int
		}{{"/", http.StatusOK}, {c.path, c.status}, {"/", http.StatusOK}} {
			_, _ = conn.Write([]byte("GET " + want.path + " HTTP/1.1\r\nHost: a\r\n\r\n"))
			r, err := http.ReadResponse(reader, nil)
			if want.status == 0 {
				if err == nil {
					t.Errorf("%s: status %d, want a closed connection", want.path, r.StatusCode)
				}
				break
			}
			if err != nil || r.StatusCode != want.status {
				t.Fatalf("%s: %v, %v, want %d", want.path, r, err, want.status)
			}
		}
	}
	if n := port.frontend.panics.Load(); n != 2 {
		t.Errorf("%d panics are counted, want 2", n)
	}
}

// panicService returns a service of one server, and a function that sends a request whose attempt runs f.
func panicService(t *testing.T) (s *Service, send func(f func() AttemptResult) Reply) {
	t.Helper()
	class := balancer.Class{Name: "c", Effect: balancer.Unsafe, LatencyTarget: 500, Timeout: 5000, PriorityWeight: 1}
	s, err := NewService(balancer.Settings{Classes: []balancer.Class{class}}, []string{"z"}, 1, 9, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Shutdown(context.Background(), time.Now()) })
	s.SetEndpoints([]ServiceEndpoint{{Name: "s", Addr: "127.0.0.1:1", Zone: "z"}}, 1, 0)
	return s, func(f func() AttemptResult) Reply {
		request := &ServiceRequest{Deadline: time.Now().Add(5 * time.Second), MaxAttempts: 1, Attempt: func(*ServiceAttempt) AttemptResult { return f() }}
		reply, _ := s.Do(t.Context(), request)
		return reply
	}
}

// succeed is an attempt that is served.
func succeed() AttemptResult {
	return AttemptResult{Outcome: balancer.OK, Reply: &Reply{Status: http.StatusOK}}
}

// An attempt that panics may have been executed, so its request is failed and not rejected; the next one is served.
func TestPanicInAttempt(t *testing.T) {
	s, send := panicService(t)
	if reply := send(func() AttemptResult { panic("planted") }); reply.Status != statusFailed {
		t.Errorf("status %d, want %d", reply.Status, statusFailed)
	}
	if reply := send(succeed); reply.Status != http.StatusOK {
		t.Errorf("the next request: status %d, want 200", reply.Status)
	}
	if n := s.loop.panics.Load(); n != 1 {
		t.Errorf("%d panics are counted, want 1", n)
	}
}

// A decision module that panics is replaced: a request in flight gets its response, one whose attempt fails is answered, and later
// requests are served.
func TestPanicInModule(t *testing.T) {
	s, send := panicService(t)
	var inFlight sync.WaitGroup
	release, started := make(chan struct{}), make(chan struct{}, 2)
	attempt := func(result AttemptResult) func() AttemptResult {
		return func() AttemptResult {
			started <- struct{}{}
			<-release
			return result
		}
	}
	for want, result := range map[int]AttemptResult{http.StatusOK: succeed(), statusFailed: {Outcome: balancer.Reset}} {
		inFlight.Go(func() {
			if reply := send(attempt(result)); reply.Status != want {
				t.Errorf("a request in flight: status %d, want %d", reply.Status, want)
			}
		})
		<-started
	}
	s.loop.do(func() { s.loop.balancer = nil }) // the next event panics
	if reply := send(succeed); reply.Status != statusRefused {
		t.Errorf("the request that met the panic: status %d, want %d, as it was not sent", reply.Status, statusRefused)
	}
	close(release)
	inFlight.Wait()
	for range 20 {
		if reply := send(succeed); reply.Status != http.StatusOK {
			t.Fatalf("a later request: status %d, want 200", reply.Status)
		}
	}
	if n := s.loop.panics.Load(); n != 1 {
		t.Errorf("%d panics are counted, want 1", n)
	}
}

// An attempt that panics gives its connection back: with one connection allowed, the requests after it are served.
func TestPanicReleasesConnection(t *testing.T) {
	server := scriptedServer(t, func(_ int, conn net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n"+strings.Repeat("x", 100000))
		return true
	})
	panics := func(f func()) {
		defer func() {
			if recover() == nil {
				t.Error("the planted panic did not occur")
			}
		}()
		f()
	}
	t.Run("mesh", func(t *testing.T) {
		pool := NewSingleServerPool(1, time.Minute)
		defer pool.Close()
		pool.SetServer(server.Addr().String(), 1)
		head := func(time.Duration) []byte { return []byte("GET / HTTP/1.1\r\nHost: a\r\n") }
		planted := func(time.Duration) []byte { panic("planted") }
		for range 3 {
			panics(func() { pool.RoundTrip(t.Context(), &Exchange{Head: planted}, time.Now().Add(time.Minute)) })
			outcome, _ := pool.RoundTrip(t.Context(), &Exchange{Head: head, MaxReplyBytes: 1 << 20}, time.Now().Add(time.Minute))
			if outcome != exchange.Completed {
				t.Fatalf("outcome %v, want %v", outcome, exchange.Completed)
			}
		}
	})
	t.Run("listener", func(t *testing.T) {
		u := newTestUpstream(server.Addr().String(), 1)
		defer u.close()
		request := get()
		request.fromListener = true
		a := newAttempt(time.Time{})
		a.onStreaming = func(*response) { panic("planted") }
		panics(func() { request.send(u, a, u.endpointOf(1), time.Now().Add(time.Minute)) })
		if u.openConns != 0 {
			t.Errorf("%d connections are counted, want none", u.openConns)
		}
	})
}
