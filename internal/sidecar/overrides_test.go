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

// adminConfig returns a configuration with an admin API and a shared folder.
func adminConfig(t *testing.T, addrs ...string) Config {
	cfg := config(t, addrs...)
	cfg.AdminAddr, cfg.SharedFolder = "127.0.0.1:0", t.TempDir()
	return cfg
}

// eventually waits until a condition holds, and fails the test if it does not.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// echoEndpoint starts an endpoint that echoes its requests, and returns its address and the number of requests that it got.
func echoEndpoint(t *testing.T) (string, *atomic.Int64) {
	n := &atomic.Int64{}
	ln := scriptedServer(t, func(i int, c net.Conn, r *http.Request) bool {
		n.Add(1)
		return echo(i, c, r)
	})
	return ln.Addr().String(), n
}

// sendReads sends n requests, one after the other, and fails the test unless each is served.
func sendReads(t *testing.T, s *Sidecar, n int) {
	t.Helper()
	c := dial(t, s)
	for i := range n {
		c.id = fmt.Sprint("r", i)
		c.send("GET", "read", "")
		if res, _ := c.readResponse(t); res.StatusCode != 200 {
			t.Fatalf("request %d: status %d", i, res.StatusCode)
		}
	}
}

// Once Hold has returned, no request is sent to the endpoint, whatever discovery reports, until Release. Then the endpoint counts as
// cold.
func TestHoldAndRelease(t *testing.T) {
	addr1, requests1 := echoEndpoint(t)
	addr2, requests2 := echoEndpoint(t)
	cfg := adminConfig(t, addr1, addr2)
	s := start(t, cfg)
	eventually(t, "the sidecar is ready", s.Ready)
	sendReads(t, s, 40)
	if requests1.Load() == 0 || requests2.Load() == 0 {
		t.Fatalf("%d and %d requests, want some at both endpoints", requests1.Load(), requests2.Load())
	}
	if err := s.Hold(t.Context(), "s-9"); !errors.Is(err, admin.ErrUnknownEndpoint) {
		t.Errorf("Hold of an unknown endpoint: %v, want %v", err, admin.ErrUnknownEndpoint)
	}
	for range 2 {
		if err := s.Hold(t.Context(), "s-0"); err != nil {
			t.Fatal(err)
		}
	}
	before := requests1.Load()
	sendReads(t, s, 40)
	again := cfg.InitialList // discovery still reports that it is ready
	again.Full = true
	s.loop.do(func() { s.loop.applyList(again, 3) })
	s.loop.do(func() { s.loop.applyList(List{Targets: again.Targets[:1]}, 2) })
	sendReads(t, s, 40)
	if n := requests1.Load(); n != before {
		t.Errorf("%d requests went to the held endpoint", n-before)
	}
	f := s.Stats()
	if f.Endpoints != 2 || f.Unavailable != 1 || f.Held != 1 {
		t.Errorf("endpoints %d, unavailable %d, held %d, want 2, 1 and 1", f.Endpoints, f.Unavailable, f.Held)
	}
	released := float64(time.Now().UnixMilli())
	if err := s.Release(t.Context(), "s-0"); err != nil {
		t.Fatal(err)
	}
	var started float64
	s.loop.do(func() { started = s.loop.withOverride(s.loop.targets["s-0"]).BootMS })
	if started < released {
		t.Errorf("after Release it counts as started at %v, want %v at least", started, released)
	}
	eventually(t, "the endpoint is used again", func() bool { sendReads(t, s, 5); return requests1.Load() > before })
	if f := s.Stats(); f.Unavailable != 0 || f.Held != 0 {
		t.Errorf("unavailable %d, held %d, want 0 and 0", f.Unavailable, f.Held)
	}
}

// An endpoint stays held if it is removed from the list and listed again under its id, also in a restarted process.
func TestHoldSurvivesRelistAndRestart(t *testing.T) {
	addr1, requests1 := echoEndpoint(t)
	addr2, _ := echoEndpoint(t)
	cfg := adminConfig(t, addr1, addr2)
	s, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() { ended <- s.Run(ctx) }()
	eventually(t, "the sidecar is ready", s.Ready)
	if err := s.Hold(t.Context(), "s-0"); err != nil {
		t.Fatal(err)
	}
	s.loop.do(func() { s.loop.applyList(List{Full: true, Targets: cfg.InitialList.Targets[1:]}, 3) })
	if err := s.Hold(t.Context(), "s-0"); err != nil {
		t.Errorf("Hold of an endpoint that is held and not listed: %v", err)
	}
	s.loop.do(func() { s.loop.applyList(cfg.InitialList, 3) })
	sendReads(t, s, 20)
	s.frontend.acceptTime = 0
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	s = start(t, cfg)
	eventually(t, "it is ready and has read the overrides", func() bool { return s.Ready() && s.Stats().Held == 1 })
	sendReads(t, s, 20)
	if n := requests1.Load(); n != 0 {
		t.Errorf("%d requests went to the held endpoint", n)
	}
}

// The counters agree with the responses that clients got and the requests that endpoints got.
func TestStatsMatchResponses(t *testing.T) {
	var attempts atomic.Int64
	ln := scriptedServer(t, func(i int, c net.Conn, r *http.Request) bool {
		if attempts.Add(1)%3 == 0 && r.Method == "POST" {
			fmt.Fprint(c, "HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n")
			return true
		}
		return echo(i, c, r)
	})
	s := start(t, adminConfig(t, ln.Addr().String()))
	eventually(t, "the sidecar is ready", s.Ready)
	statuses := map[string]map[int]int{"read": {}, "pay": {}}
	c := dial(t, s)
	for i := range 60 {
		class, method := "read", "GET"
		if i%2 > 0 {
			class, method = "pay", "POST"
		}
		c.id = fmt.Sprint(i)
		c.send(method, class, "")
		res, _ := c.readResponse(t)
		statuses[class][res.StatusCode]++
	}
	if statuses["pay"][502] == 0 || statuses["read"][200] != 30 {
		t.Fatalf("statuses %v, want 30 reads served and some payments failed", statuses)
	}
	f := s.Stats()
	for _, class := range f.Classes[:2] {
		got := statuses[class.Name]
		if class.Completed != uint64(got[200]) || class.Rejected != uint64(got[503]) || class.Failed != uint64(got[502]) {
			t.Errorf("counters %+v, but clients got %v", class, got)
		}
	}
	if f.Attempts != uint64(attempts.Load()) || f.Pending != 0 {
		t.Errorf("%d attempts, %d pending, want %d and 0", f.Attempts, f.Pending, attempts.Load())
	}
}

// While the loop is blocked, Stats and Ready still return, and Hold fails at the deadline of its context.
func TestStatsWhileLoopIsBlocked(t *testing.T) {
	addr, _ := echoEndpoint(t)
	s := start(t, adminConfig(t, addr))
	eventually(t, "the sidecar is ready", s.Ready)
	release := make(chan struct{})
	s.loop.post(func() { <-release })
	defer close(release)
	if f := s.Stats(); f.Endpoints != 1 || !s.Ready() {
		t.Errorf("endpoints %d, ready %v, want 1 and true", f.Endpoints, s.Ready())
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if err := s.Hold(ctx, "s-0"); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("Hold with a blocked loop: %v, want %v", err, context.DeadlineExceeded)
	}
}
