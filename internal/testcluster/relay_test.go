package testcluster

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	Main(map[string]func() error{roleOwner: ownerMain})
	goleak.VerifyTestMain(m)
}

// newTestCluster returns a cluster that is closed at the end of the test. If the test fails, the output of its processes is logged.
func newTestCluster(t testing.TB) *Cluster {
	t.Helper()
	r, err := New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			for _, p := range r.Processes() {
				t.Logf("%s: %s\n%s", p.Name, p.Status(), p.Output)
			}
		}
		r.Close()
	})
	return r
}

// echoFixture is an HTTP server that echoes bodies, a link to it, and a client of the link.
type echoFixture struct {
	link             *Link
	client           *http.Client
	receivedRequests atomic.Int32
}

func newEchoFixture(t *testing.T) *echoFixture {
	t.Helper()
	r := newTestCluster(t)
	f := &echoFixture{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		f.receivedRequests.Add(1)
		p, _ := io.ReadAll(req.Body) // all of it before the response: net/http does not read the body after that
		_, _ = w.Write(p)
	}))
	t.Cleanup(server.Close)
	var err error
	if f.link, err = r.Listen("a>b", server.Listener.Addr().String(), 1, Observer{}); err != nil {
		t.Fatal(err)
	}
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	f.client = &http.Client{Transport: transport}
	return f
}

// post sends a body, checks that it is echoed, and returns how long that took.
func (f *echoFixture) post(t *testing.T, body string, timeout time.Duration) (time.Duration, error) {
	t.Helper()
	f.client.Timeout = timeout
	start := time.Now()
	res, err := f.client.Post("http://"+f.link.Addr(), "text/plain", strings.NewReader(body))
	if err != nil {
		return time.Since(start), err
	}
	defer res.Body.Close()
	got, err := io.ReadAll(res.Body)
	if err == nil && string(got) != body {
		t.Errorf("received %d bytes, want %d", len(got), len(body))
	}
	return time.Since(start), err
}

func (f *echoFixture) mustPost(t *testing.T, body string) time.Duration {
	t.Helper()
	took, err := f.post(t, body, 10*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	return took
}

func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}

// TestLinkFaults injects each fault of a link between an HTTP client and server, and checks its effect and that it ends.
func TestLinkFaults(t *testing.T) {
	t.Run("delay", func(t *testing.T) {
		f := newEchoFixture(t)
		f.mustPost(t, "warm")
		f.link.SetConditions(Forward, Conditions{Delay: 60 * time.Millisecond})
		f.link.SetConditions(Backward, Conditions{Delay: 40 * time.Millisecond, Jitter: 10 * time.Millisecond})
		if took := f.mustPost(t, "x"); took < 100*time.Millisecond {
			t.Errorf("it took %v, want 100 ms at least", took)
		}
		f.link.SetConditions(Forward, Conditions{})
		f.link.SetConditions(Backward, Conditions{})
		if took := f.mustPost(t, "x"); took > 90*time.Millisecond {
			t.Errorf("it took %v without the fault", took)
		}
	})
	t.Run("rate", func(t *testing.T) {
		f := newEchoFixture(t)
		f.link.SetConditions(Forward, Conditions{Rate: 1 << 20})
		if took := f.mustPost(t, strings.Repeat("x", 256<<10)); took < 150*time.Millisecond {
			t.Errorf("256 KiB took %v at 1 MiB a second", took)
		}
	})
	t.Run("cut both ways", func(t *testing.T) {
		f := newEchoFixture(t)
		f.mustPost(t, "warm")
		f.link.SetConditions(Forward, Conditions{Blocked: true})
		f.link.SetConditions(Backward, Conditions{Blocked: true})
		before := f.receivedRequests.Load()
		if _, err := f.post(t, "x", 150*time.Millisecond); !isTimeout(err) {
			t.Errorf("%v, want no answer in time", err)
		}
		if f.receivedRequests.Load() != before {
			t.Error("the server was reached")
		}
		f.link.SetConditions(Forward, Conditions{})
		f.link.SetConditions(Backward, Conditions{})
		f.mustPost(t, "again")
	})
	t.Run("cut one way", func(t *testing.T) {
		f := newEchoFixture(t)
		f.mustPost(t, "warm")
		f.link.SetConditions(Backward, Conditions{Blocked: true})
		before := f.receivedRequests.Load()
		if _, err := f.post(t, "x", 150*time.Millisecond); !isTimeout(err) {
			t.Errorf("%v, want no answer in time", err)
		}
		if f.receivedRequests.Load() == before {
			t.Error("the server was not reached")
		}
	})
	t.Run("stall", func(t *testing.T) {
		f := newEchoFixture(t)
		f.mustPost(t, "warm")
		f.link.SetConditions(Backward, Conditions{Blocked: true})
		time.AfterFunc(120*time.Millisecond, func() { f.link.SetConditions(Backward, Conditions{}) })
		if took := f.mustPost(t, "x"); took < 100*time.Millisecond {
			t.Errorf("it took %v, want 100 ms at least, as it was blocked for 120 ms", took)
		}
	})
	t.Run("reset of open connections", func(t *testing.T) {
		f := newEchoFixture(t)
		c, err := net.Dial("tcp", f.link.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n")
		if err := WaitFor(t.Context(), "the server is reached", 5*time.Second, func() bool { return f.receivedRequests.Load() == 1 }); err != nil {
			t.Fatal(err)
		}
		if n := f.link.Reset(); n != 1 {
			t.Errorf("%d connections were reset, want 1", n)
		}
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		if _, err := c.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("%v, want a reset", err)
		}
		f.mustPost(t, "new connection")
	})
	t.Run("refused, then accepted at the same port", func(t *testing.T) {
		f := newEchoFixture(t)
		for range 3 {
			if err := f.link.SetMode(Refusing); err != nil {
				t.Fatal(err)
			}
			f.client.CloseIdleConnections()
			if _, err := f.post(t, "x", 5*time.Second); !errors.Is(err, syscall.ECONNREFUSED) {
				t.Errorf("%v, want a refusal", err)
			}
			if err := f.link.SetMode(Accepting); err != nil {
				t.Fatal(err)
			}
			f.mustPost(t, "x")
		}
	})
	t.Run("connections are never established", func(t *testing.T) {
		f := newEchoFixture(t)
		if err := f.link.SetMode(Unreachable); err != nil {
			t.Fatal(err)
		}
		if c, err := net.DialTimeout("tcp", f.link.Addr(), 150*time.Millisecond); !isTimeout(err) {
			t.Errorf("%v, %v, want no connection in time", c, err)
		}
		if err := f.link.SetMode(Accepting); err != nil {
			t.Fatal(err)
		}
		f.mustPost(t, "x")
	})
	t.Run("accepts and never answers", func(t *testing.T) {
		f := newEchoFixture(t)
		f.link.SetConditions(Forward, Conditions{Blocked: true}) // set before the link has any connection
		c, err := net.DialTimeout("tcp", f.link.Addr(), time.Second)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		_ = c.SetReadDeadline(time.Now().Add(150 * time.Millisecond))
		if _, err := c.Read(make([]byte, 1)); !isTimeout(err) {
			t.Errorf("%v, want no response in time", err)
		}
	})
	t.Run("half open after a crash", func(t *testing.T) {
		r := newTestCluster(t)
		p, addr := startServer(t, r, "s0")
		l, err := r.Listen("a>s0", addr, 1, Observer{})
		if err != nil {
			t.Fatal(err)
		}
		c, err := net.Dial("tcp", l.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_, _ = io.WriteString(c, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
		if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
			t.Fatal(err)
		}
		l.SetConditions(Backward, Conditions{Blocked: true})
		p.Kill()
		_ = c.SetReadDeadline(time.Now().Add(150 * time.Millisecond))
		if _, err := c.Read(make([]byte, 1)); !isTimeout(err) {
			t.Errorf("%v, want a timeout: the crash must not be visible while the link is blocked", err)
		}
		l.SetConditions(Backward, Conditions{})
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		if _, err := c.Read(make([]byte, 1)); err == nil || isTimeout(err) {
			t.Errorf("%v, want the end of the connection once the link is unblocked", err)
		}
	})
}

// TestResetOfFullQueueIsReported resets a connection while its reader waits for room in the queue. The observer must receive the end of
// the client's side, or the last request would never end.
func TestResetOfFullQueueIsReported(t *testing.T) {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	var receivedChunks, closedConns atomic.Int32
	link, err := newTestCluster(t).Listen("a>b", server.Addr().String(), 1, Observer{
		OnReceived:     func(uint64, []byte, ReadTime) { receivedChunks.Add(1) },
		OnClientClosed: func(uint64, ReadTime) { closedConns.Add(1) },
	})
	if err != nil {
		t.Fatal(err)
	}
	link.SetConditions(Forward, Conditions{Blocked: true})
	c, err := net.Dial("tcp", link.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	var sending sync.WaitGroup
	sending.Go(func() {
		for p := make([]byte, maxChunkSize); ; {
			if _, err := c.Write(p); err != nil {
				return
			}
		}
	})
	defer sending.Wait()
	defer c.Close()
	full := func() bool { return receivedChunks.Load() == maxQueuedChunks+2 } // one chunk is held by the writer, one by the reader
	if err := WaitFor(t.Context(), "the queue is full", 5*time.Second, full); err != nil {
		t.Fatal(err)
	}
	link.Reset()
	if err := WaitFor(t.Context(), "the end is reported", 5*time.Second, func() bool { return closedConns.Load() == 1 }); err != nil {
		t.Fatal(err)
	}
}

// TestDatagrams checks that about the configured share of datagrams is lost, duplicated or reordered, and none without a fault.
func TestDatagrams(t *testing.T) {
	r := newTestCluster(t)
	target, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	var got []byte
	var lastReceived time.Time
	var reading sync.WaitGroup
	reading.Go(func() {
		p := make([]byte, 2048)
		for {
			n, from, err := target.ReadFromUDP(p)
			if err != nil {
				return
			}
			mu.Lock()
			got, lastReceived = append(got, p[0]), time.Now()
			mu.Unlock()
			_, _ = target.WriteToUDP(p[:n], from)
		}
	})
	defer reading.Wait()
	defer target.Close()
	l, err := r.ListenUDP("a>b", target.LocalAddr().String(), 7)
	if err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("udp4", l.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	const sent = 200
	sendAll := func(conditions Conditions) []byte {
		t.Helper()
		mu.Lock()
		got = nil
		mu.Unlock()
		l.SetConditions(Forward, conditions)
		for i := range sent {
			_, _ = c.Write([]byte{byte(i)})
			time.Sleep(200 * time.Microsecond)
		}
		_ = WaitFor(t.Context(), "no more datagrams are received", 2*time.Second, func() bool { // it times out over a blocked link
			mu.Lock()
			defer mu.Unlock()
			return len(got) > 0 && time.Since(lastReceived) > 4*reorderDelay
		})
		mu.Lock()
		defer mu.Unlock()
		return append([]byte(nil), got...)
	}
	ordered := func(p []byte) bool { return bytes.Equal(p, sorted(p)) }
	if p := sendAll(Conditions{}); len(p) != sent || !ordered(p) {
		t.Errorf("without a fault %d of %d were received, in order: %v", len(p), sent, ordered(p))
	}
	if p := sendAll(Conditions{Loss: 0.5}); len(p) < sent/4 || len(p) > sent*3/4 {
		t.Errorf("with half of them lost %d of %d were received", len(p), sent)
	}
	if p := sendAll(Conditions{Duplicate: 0.5}); len(p) < sent*5/4 || len(p) > sent*7/4 {
		t.Errorf("with half of them duplicated %d of %d were received", len(p), sent)
	}
	if p := sendAll(Conditions{Reorder: 0.2}); len(p) != sent || ordered(p) {
		t.Errorf("with a fifth reordered %d of %d were received, in order: %v", len(p), sent, ordered(p))
	}
	if p := sendAll(Conditions{Blocked: true}); len(p) != 0 {
		t.Errorf("%d were received over a blocked link", len(p))
	}
	// Responses reach the sender over the same link.
	l.SetConditions(Forward, Conditions{})
	other, err := net.Dial("udp4", l.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	_, _ = other.Write([]byte("pong"))
	_ = other.SetReadDeadline(time.Now().Add(5 * time.Second))
	p := make([]byte, 16)
	if n, err := other.Read(p); err != nil || string(p[:n]) != "pong" {
		t.Errorf("received %q, %v, want pong", p[:n], err)
	}
}

func sorted(p []byte) []byte {
	s := append([]byte(nil), p...)
	for i := 1; i < len(s); i++ {
		for k := i; k > 0 && s[k] < s[k-1]; k-- {
			s[k], s[k-1] = s[k-1], s[k]
		}
	}
	return s
}

// TestProcessFaults checks that a suspended process does not respond until it is resumed, a starved one still responds, and a killed one
// refuses connections.
func TestProcessFaults(t *testing.T) {
	r := newTestCluster(t)
	p, addr := startServer(t, r, "s0")
	get := func(timeout time.Duration) error {
		client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
		res, err := client.Get("http://" + addr + "/x")
		if err == nil {
			res.Body.Close()
		}
		return err
	}
	if err := get(5 * time.Second); err != nil {
		t.Fatal(err)
	}
	if err := p.Suspend(); err != nil {
		t.Fatal(err)
	}
	if err := get(150 * time.Millisecond); !isTimeout(err) {
		t.Errorf("suspended: %v, want a timeout", err)
	}
	if err := p.Resume(); err != nil {
		t.Fatal(err)
	}
	if err := get(5 * time.Second); err != nil {
		t.Errorf("resumed: %v", err)
	}
	stopStarving, err := r.Starve(p.Process, 3)
	if err != nil {
		t.Fatal(err)
	}
	if err := get(10 * time.Second); err != nil {
		t.Errorf("starved: %v", err)
	}
	stopStarving()
	p.Kill()
	if err := get(time.Second); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("killed: %v, want a refusal", err)
	}
	if err := p.Signal(syscall.SIGTERM); !errors.Is(err, errProcessEnded) {
		t.Errorf("a signal to an ended process: %v, want %v", err, errProcessEnded)
	}
}

// TestKilledOwnerLeavesNothing kills a process that owns a cluster. Its processes, their children and its directory must be removed.
func TestKilledOwnerLeavesNothing(t *testing.T) {
	r := newTestCluster(t)
	p, err := r.Start(ProcessSpec{Name: "owner", Role: roleOwner})
	if err != nil {
		t.Fatal(err)
	}
	if err := WaitFor(t.Context(), "the processes of the owner run", 20*time.Second, func() bool { return strings.Contains(p.Output.String(), "ready") }); err != nil {
		t.Fatal(err)
	}
	fields := strings.Fields(p.Output.String())
	id, dir := fields[0], fields[1]
	if len(markedProcesses(id)) < 2 {
		t.Fatalf("processes %v have the id of the cluster, want two at least", markedProcesses(id))
	}
	p.Kill()
	gone := func() bool {
		_, err := os.Stat(dir)
		return len(markedProcesses(id)) == 0 && errors.Is(err, os.ErrNotExist)
	}
	if err := WaitFor(t.Context(), "nothing is left", 20*time.Second, gone); err != nil {
		t.Error(err, markedProcesses(id))
	}
}

const roleOwner = "owner"

// ownerMain runs a process with a cluster of its own, in which a shell has started another process.
func ownerMain() error {
	r, err := New()
	if err != nil {
		return err
	}
	if _, err := r.Start(ProcessSpec{Name: "shell", Path: "/bin/sh", Args: []string{"-c", "setsid sleep 600 & wait"}}); err != nil {
		return err
	}
	for len(markedProcesses(r.id)) < 2 {
		time.Sleep(5 * time.Millisecond)
	}
	fmt.Println(r.id, r.Dir, "ready")
	select {}
}

// startServer starts a fake server with two cores.
func startServer(t *testing.T, r *Cluster, name string) (*Server, string) {
	t.Helper()
	s, addr, err := r.StartServer(t.Context(), ServerSpec{Name: name, Cores: 2, Queue: 8, Connections: 64, Speed: 1})
	if err != nil {
		t.Fatal(err)
	}
	return s, addr
}
