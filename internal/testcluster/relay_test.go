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
	Main(map[string]func() error{roleVictim: victim})
	goleak.VerifyTestMain(m)
}

// newTestCluster returns a cluster that ends with the test and, for a failed one, shows what its processes have printed.
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

// talk is a link to a server of the standard library that echoes bodies, and a client of it.
type talk struct {
	link   *Link
	client *http.Client
	asked  atomic.Int32
}

func newTalk(t *testing.T) *talk {
	t.Helper()
	r := newTestCluster(t)
	k := &talk{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		k.asked.Add(1)
		p, _ := io.ReadAll(req.Body) // whole before the answer: the library's server reads no further then
		_, _ = w.Write(p)
	}))
	t.Cleanup(server.Close)
	var err error
	if k.link, err = r.Listen("a>b", server.Listener.Addr().String(), 1, Observer{}); err != nil {
		t.Fatal(err)
	}
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	k.client = &http.Client{Transport: transport}
	return k
}

// post sends a body and reads it back, within a time; and tells how long that took.
func (k *talk) post(t *testing.T, body string, within time.Duration) (time.Duration, error) {
	t.Helper()
	k.client.Timeout = within
	begun := time.Now()
	res, err := k.client.Post("http://"+k.link.Addr(), "text/plain", strings.NewReader(body))
	if err != nil {
		return time.Since(begun), err
	}
	defer res.Body.Close()
	got, err := io.ReadAll(res.Body)
	if err == nil && string(got) != body {
		t.Errorf("%d bytes came back, want %d", len(got), len(body))
	}
	return time.Since(begun), err
}

func (k *talk) must(t *testing.T, body string) time.Duration {
	t.Helper()
	took, err := k.post(t, body, 10*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	return took
}

func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}

// Each fault of a link is seen by a client and a server of the standard library to do what its name says, and to be over when it is.
func TestLinkFaults(t *testing.T) {
	t.Run("delay", func(t *testing.T) {
		k := newTalk(t)
		k.must(t, "warm")
		k.link.SetConditions(Forward, Conditions{Delay: 60 * time.Millisecond})
		k.link.SetConditions(Backward, Conditions{Delay: 40 * time.Millisecond, Jitter: 10 * time.Millisecond})
		if took := k.must(t, "x"); took < 100*time.Millisecond {
			t.Errorf("it took %v, want 100 ms at least", took)
		}
		k.link.SetConditions(Forward, Conditions{})
		k.link.SetConditions(Backward, Conditions{})
		if took := k.must(t, "x"); took > 90*time.Millisecond {
			t.Errorf("it took %v without the fault", took)
		}
	})
	t.Run("rate", func(t *testing.T) {
		k := newTalk(t)
		k.link.SetConditions(Forward, Conditions{Rate: 1 << 20})
		if took := k.must(t, strings.Repeat("x", 256<<10)); took < 150*time.Millisecond {
			t.Errorf("256 KiB took %v at 1 MiB a second", took)
		}
	})
	t.Run("cut both ways", func(t *testing.T) {
		k := newTalk(t)
		k.must(t, "warm")
		k.link.SetConditions(Forward, Conditions{Blocked: true})
		k.link.SetConditions(Backward, Conditions{Blocked: true})
		before := k.asked.Load()
		if _, err := k.post(t, "x", 150*time.Millisecond); !isTimeout(err) {
			t.Errorf("%v, want no answer in time", err)
		}
		if k.asked.Load() != before {
			t.Error("the server was reached")
		}
		k.link.SetConditions(Forward, Conditions{})
		k.link.SetConditions(Backward, Conditions{})
		k.must(t, "again")
	})
	t.Run("cut one way", func(t *testing.T) {
		k := newTalk(t)
		k.must(t, "warm")
		k.link.SetConditions(Backward, Conditions{Blocked: true})
		before := k.asked.Load()
		if _, err := k.post(t, "x", 150*time.Millisecond); !isTimeout(err) {
			t.Errorf("%v, want no answer in time", err)
		}
		if k.asked.Load() == before {
			t.Error("the server was not reached")
		}
	})
	t.Run("stall", func(t *testing.T) {
		k := newTalk(t)
		k.must(t, "warm")
		k.link.SetConditions(Backward, Conditions{Blocked: true})
		time.AfterFunc(120*time.Millisecond, func() { k.link.SetConditions(Backward, Conditions{}) })
		if took := k.must(t, "x"); took < 100*time.Millisecond {
			t.Errorf("it took %v, want as long as it was held", took)
		}
	})
	t.Run("reset of what is open", func(t *testing.T) {
		k := newTalk(t)
		c, err := net.Dial("tcp", k.link.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n")
		if err := WaitFor(t.Context(), "the server is reached", 5*time.Second, func() bool { return k.asked.Load() == 1 }); err != nil {
			t.Fatal(err)
		}
		if n := k.link.Reset(); n != 1 {
			t.Errorf("%d connections were reset, want 1", n)
		}
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		if _, err := c.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("%v, want a reset", err)
		}
		k.must(t, "new ones come up")
	})
	t.Run("refused, and back at its port", func(t *testing.T) {
		k := newTalk(t)
		for range 3 {
			if err := k.link.SetMode(Refusing); err != nil {
				t.Fatal(err)
			}
			k.client.CloseIdleConnections()
			if _, err := k.post(t, "x", 5*time.Second); !errors.Is(err, syscall.ECONNREFUSED) {
				t.Errorf("%v, want a refusal", err)
			}
			if err := k.link.SetMode(Accepting); err != nil {
				t.Fatal(err)
			}
			k.must(t, "x")
		}
	})
	t.Run("never comes up", func(t *testing.T) {
		k := newTalk(t)
		if err := k.link.SetMode(Unreachable); err != nil {
			t.Fatal(err)
		}
		if c, err := net.DialTimeout("tcp", k.link.Addr(), 150*time.Millisecond); !isTimeout(err) {
			t.Errorf("%v, %v, want no connection in time", c, err)
		}
		if err := k.link.SetMode(Accepting); err != nil {
			t.Fatal(err)
		}
		k.must(t, "x")
	})
	t.Run("accepts and never answers", func(t *testing.T) {
		k := newTalk(t)
		k.link.SetConditions(Forward, Conditions{Blocked: true}) // asked for on a link that has no connection yet
		c, err := net.DialTimeout("tcp", k.link.Addr(), time.Second)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		_ = c.SetReadDeadline(time.Now().Add(150 * time.Millisecond))
		if _, err := c.Read(make([]byte, 1)); !isTimeout(err) {
			t.Errorf("%v, want silence", err)
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
			t.Errorf("%v, want a connection that knows nothing of the crash", err)
		}
		l.SetConditions(Backward, Conditions{})
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		if _, err := c.Read(make([]byte, 1)); err == nil || isTimeout(err) {
			t.Errorf("%v, want its end once the link is back", err)
		}
	})
}

// A reset is told as the end of a connection also while its reader waits for room in the queue: whoever sent the last bytes is over.
func TestResetOfAFullQueueIsTold(t *testing.T) {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	var came, left atomic.Int32
	link, err := newTestCluster(t).Listen("a>b", server.Addr().String(), 1, Observer{
		OnReceived:     func(uint64, []byte) { came.Add(1) },
		OnClientClosed: func(uint64) { left.Add(1) },
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
	full := func() bool { return came.Load() == maxQueuedChunks+2 } // one chunk is held by the writer, one by the reader
	if err := WaitFor(t.Context(), "the queue is full", 5*time.Second, full); err != nil {
		t.Fatal(err)
	}
	link.Reset()
	if err := WaitFor(t.Context(), "the end is told", 5*time.Second, func() bool { return left.Load() == 1 }); err != nil {
		t.Fatal(err)
	}
}

// Datagrams are lost, doubled and overtaken in about the part that was asked for, by the seed, and not at all without a fault.
func TestDatagrams(t *testing.T) {
	r := newTestCluster(t)
	target, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	var got []byte
	var lastCame time.Time
	var reading sync.WaitGroup
	reading.Go(func() {
		p := make([]byte, 2048)
		for {
			n, from, err := target.ReadFromUDP(p)
			if err != nil {
				return
			}
			mu.Lock()
			got, lastCame = append(got, p[0]), time.Now()
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
	play := func(there Conditions) []byte {
		t.Helper()
		mu.Lock()
		got = nil
		mu.Unlock()
		l.SetConditions(Forward, there)
		for i := range sent {
			_, _ = c.Write([]byte{byte(i)})
			time.Sleep(200 * time.Microsecond)
		}
		_ = WaitFor(t.Context(), "no more comes", 2*time.Second, func() bool { // over a link that is cut nothing comes, for all of the time
			mu.Lock()
			defer mu.Unlock()
			return len(got) > 0 && time.Since(lastCame) > 4*reorderDelay
		})
		mu.Lock()
		defer mu.Unlock()
		return append([]byte(nil), got...)
	}
	ordered := func(p []byte) bool { return bytes.Equal(p, sorted(p)) }
	if p := play(Conditions{}); len(p) != sent || !ordered(p) {
		t.Errorf("without a fault %d of %d came, in order: %v", len(p), sent, ordered(p))
	}
	if p := play(Conditions{Loss: 0.5}); len(p) < sent/4 || len(p) > sent*3/4 {
		t.Errorf("with half of them lost %d of %d came", len(p), sent)
	}
	if p := play(Conditions{Duplicate: 0.5}); len(p) < sent*5/4 || len(p) > sent*7/4 {
		t.Errorf("with half of them doubled %d of %d came", len(p), sent)
	}
	if p := play(Conditions{Reorder: 0.2}); len(p) != sent || ordered(p) {
		t.Errorf("with a fifth overtaken %d of %d came, in order: %v", len(p), sent, ordered(p))
	}
	if p := play(Conditions{Blocked: true}); len(p) != 0 {
		t.Errorf("%d came over a link that is cut", len(p))
	}
	// Back: the answers reach the sender by the same link.
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
		t.Errorf("%q came back, %v", p[:n], err)
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

// A process that was stopped says nothing until it is continued; one that is starved goes on, slowly; one that is killed has gone, with
// what it holds.
func TestProcessFaults(t *testing.T) {
	r := newTestCluster(t)
	p, addr := startServer(t, r, "s0")
	ask := func(within time.Duration) error {
		client := &http.Client{Timeout: within, Transport: &http.Transport{DisableKeepAlives: true}}
		res, err := client.Get("http://" + addr + "/x")
		if err == nil {
			res.Body.Close()
		}
		return err
	}
	if err := ask(5 * time.Second); err != nil {
		t.Fatal(err)
	}
	if err := p.Suspend(); err != nil {
		t.Fatal(err)
	}
	if err := ask(150 * time.Millisecond); !isTimeout(err) {
		t.Errorf("stopped: %v", err)
	}
	if err := p.Resume(); err != nil {
		t.Fatal(err)
	}
	if err := ask(5 * time.Second); err != nil {
		t.Errorf("continued: %v", err)
	}
	feed, err := r.Starve(p.Process, 3)
	if err != nil {
		t.Fatal(err)
	}
	if err := ask(10 * time.Second); err != nil {
		t.Errorf("starved: %v", err)
	}
	feed()
	p.Kill()
	if err := ask(time.Second); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("killed: %v", err)
	}
	if err := p.Signal(syscall.SIGTERM); !errors.Is(err, errProcessEnded) {
		t.Errorf("a signal to one that has ended: %v", err)
	}
}

// Nothing is left of a cluster whose process is killed: neither what it has started, nor what that has started, nor its folder.
func TestNothingOutlivesAKill(t *testing.T) {
	r := newTestCluster(t)
	p, err := r.Start(ProcessSpec{Name: "victim", Role: roleVictim})
	if err != nil {
		t.Fatal(err)
	}
	if err := WaitFor(t.Context(), "the victim's processes run", 20*time.Second, func() bool { return strings.Contains(p.Output.String(), "ready") }); err != nil {
		t.Fatal(err)
	}
	fields := strings.Fields(p.Output.String())
	id, dir := fields[0], fields[1]
	if len(markedProcesses(id)) < 2 {
		t.Fatalf("processes %v carry the mark, want two", markedProcesses(id))
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

const roleVictim = "victim"

// victim is a process with a cluster of its own, in which a shell has started another process.
func victim() error {
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

// startServer starts a stand-in server with some room.
func startServer(t *testing.T, r *Cluster, name string) (*Server, string) {
	t.Helper()
	s, addr, err := r.StartServer(t.Context(), ServerSpec{Name: name, Cores: 2, Queue: 8, Connections: 64, Speed: 1})
	if err != nil {
		t.Fatal(err)
	}
	return s, addr
}
