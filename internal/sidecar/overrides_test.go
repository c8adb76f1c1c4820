package sidecar

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"milletmast/internal/admin"
)

// operated is a configuration with an address for operators.
func operated(t *testing.T, addrs ...string) Config {
	cfg := config(t, addrs...)
	cfg.AdminAddr, cfg.SharedFolder = "127.0.0.1:0", t.TempDir()
	return cfg
}

// eventually waits until something holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(long); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

// echoing is an endpoint that echoes, and the number of requests that reached it.
func echoing(t *testing.T) (string, *atomic.Int64) {
	n := &atomic.Int64{}
	ln := script(t, func(i int, c net.Conn, r *http.Request) bool {
		n.Add(1)
		return echo(i, c, r)
	})
	return ln.Addr().String(), n
}

// reads sends so many requests, one after the other, and wants each served.
func reads(t *testing.T, s *Sidecar, n int) {
	t.Helper()
	c := dial(t, s)
	for i := range n {
		c.id = fmt.Sprint("r", i)
		c.send("GET", "read", "")
		if res, _ := c.answer(t); res.StatusCode != 200 {
			t.Fatalf("request %d: status %d", i, res.StatusCode)
		}
	}
}

// Nothing goes to an endpoint from the yes on, whatever discovery says, until one call back; then it counts as cold.
func TestHeldOut(t *testing.T) {
	one, ones := echoing(t)
	two, twos := echoing(t)
	cfg := operated(t, one, two)
	s := start(t, cfg)
	eventually(t, "ready", s.Ready)
	reads(t, s, 40)
	if ones.Load() == 0 || twos.Load() == 0 {
		t.Fatalf("%d and %d requests: both are to be used", ones.Load(), twos.Load())
	}
	if err := s.Hold(t.Context(), "s-9"); !errors.Is(err, admin.ErrUnknownEndpoint) {
		t.Errorf("an unknown one: %v", err)
	}
	for range 2 {
		if err := s.Hold(t.Context(), "s-0"); err != nil {
			t.Fatal(err)
		}
	}
	before := ones.Load()
	reads(t, s, 40)
	again := cfg.InitialList // discovery goes on to say that it is ready
	again.Full = true
	s.loop.do(func() { s.loop.applyList(again, 3) })
	s.loop.do(func() { s.loop.applyList(List{Targets: again.Targets[:1]}, 2) })
	reads(t, s, 40)
	if n := ones.Load(); n != before {
		t.Errorf("%d requests went to one that is held out", n-before)
	}
	f := s.Stats()
	if f.Endpoints != 2 || f.Unavailable != 1 || f.Held != 1 {
		t.Errorf("members %d, unavailable %d, held %d", f.Endpoints, f.Unavailable, f.Held)
	}
	given := float64(time.Now().UnixMilli())
	if err := s.Release(t.Context(), "s-0"); err != nil {
		t.Fatal(err)
	}
	var started float64
	s.loop.do(func() { started = s.loop.withOverride(s.loop.targets["s-0"]).BootMS })
	if started < given {
		t.Errorf("given back, it counts as started at %v, want %v at least", started, given)
	}
	eventually(t, "used again", func() bool { reads(t, s, 5); return ones.Load() > before })
	if f := s.Stats(); f.Unavailable != 0 || f.Held != 0 {
		t.Errorf("unavailable %d, held %d", f.Unavailable, f.Held)
	}
}

// One that is gone from the list and comes again under its id is held out still, also by a process that starts anew.
func TestHeldOutLasts(t *testing.T) {
	one, ones := echoing(t)
	two, _ := echoing(t)
	cfg := operated(t, one, two)
	s, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() { ended <- s.Run(ctx) }()
	eventually(t, "ready", s.Ready)
	if err := s.Hold(t.Context(), "s-0"); err != nil {
		t.Fatal(err)
	}
	s.loop.do(func() { s.loop.applyList(List{Full: true, Targets: cfg.InitialList.Targets[1:]}, 3) })
	if err := s.Hold(t.Context(), "s-0"); err != nil {
		t.Errorf("held out and not listed: %v", err)
	}
	s.loop.do(func() { s.loop.applyList(cfg.InitialList, 3) })
	reads(t, s, 20)
	s.frontend.acceptTime = 0
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	s = start(t, cfg)
	eventually(t, "ready and told", func() bool { return s.Ready() && s.Stats().Held == 1 })
	reads(t, s, 20)
	if n := ones.Load(); n != 0 {
		t.Errorf("%d requests went to one that is held out", n)
	}
}

// The figures agree with what callers were told and what endpoints got.
func TestFiguresAgree(t *testing.T) {
	var attempts atomic.Int64
	ln := script(t, func(i int, c net.Conn, r *http.Request) bool {
		if attempts.Add(1)%3 == 0 && r.Method == "POST" {
			fmt.Fprint(c, "HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n")
			return true
		}
		return echo(i, c, r)
	})
	s := start(t, operated(t, ln.Addr().String()))
	eventually(t, "ready", s.Ready)
	told := map[string]map[int]int{"read": {}, "pay": {}}
	c := dial(t, s)
	for i := range 60 {
		class, method := "read", "GET"
		if i%2 > 0 {
			class, method = "pay", "POST"
		}
		c.id = fmt.Sprint(i)
		c.send(method, class, "")
		res, _ := c.answer(t)
		told[class][res.StatusCode]++
	}
	if told["pay"][502] == 0 || told["read"][200] != 30 {
		t.Fatalf("told %v: some are to fail", told)
	}
	f := s.Stats()
	for _, class := range f.Classes[:2] {
		got := told[class.Name]
		if class.Completed != uint64(got[200]) || class.Rejected != uint64(got[503]) || class.Failed != uint64(got[502]) {
			t.Errorf("%+v, callers were told %v", class, got)
		}
	}
	if f.Attempts != uint64(attempts.Load()) || f.Pending != 0 {
		t.Errorf("%d attempts, %d pending, want %d and 0", f.Attempts, f.Pending, attempts.Load())
	}
}

// Figures are told while the loop is stuck, and what it is asked for is a no in time.
func TestOperatorsWhileStuck(t *testing.T) {
	one, _ := echoing(t)
	s := start(t, operated(t, one))
	eventually(t, "ready", s.Ready)
	release := make(chan struct{})
	s.loop.post(func() { <-release })
	defer close(release)
	if f := s.Stats(); f.Endpoints != 1 || !s.Ready() {
		t.Errorf("members %d, ready %v", f.Endpoints, s.Ready())
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if err := s.Hold(ctx, "s-0"); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("held out by a loop that is stuck: %v", err)
	}
}
