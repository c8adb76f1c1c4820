package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"milletmast/internal/freeport"
)

// sidecarProcess is a sidecar whose Run is executed in a goroutine; ended receives its result.
type sidecarProcess struct {
	*Sidecar
	stop  context.CancelFunc
	ended chan error
}

// startProcess runs a sidecar until its stop or the end of the test.
func startProcess(t *testing.T, cfg Config) *sidecarProcess {
	t.Helper()
	s, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	s.discoveryTimeout = 50 * time.Millisecond // its discovery never responds
	ctx, cancel := context.WithCancel(context.Background())
	p := &sidecarProcess{s, cancel, make(chan error, 1)}
	go func() { p.ended <- s.Run(ctx) }()
	t.Cleanup(cancel)
	return p
}

// runClients starts clients that send one request after the other until stop, every other client on a new connection each time. It
// counts the requests that were served, and fails the test for each that was neither served nor rejected.
func runClients(t *testing.T, addr string, clients int) (served *atomic.Int64, stop func()) {
	served = &atomic.Int64{}
	done := make(chan struct{})
	var all sync.WaitGroup
	for i := range clients {
		all.Go(func() {
			var c net.Conn
			var r *bufio.Reader
			for n := 0; ; n++ {
				select {
				case <-done:
					if c != nil {
						c.Close()
					}
					return
				default:
				}
				if c == nil {
					var err error
					if c, err = net.Dial("tcp", addr); err != nil {
						t.Errorf("connect: %v", err)
						return
					}
					r = bufio.NewReader(c)
				}
				_ = c.SetDeadline(time.Now().Add(testTimeout))
				fmt.Fprintf(c, "GET /read/x HTTP/1.1\r\nHost: h\r\nX-Class: read\r\nX-Request-Id: %d-%d\r\n\r\n", i, n)
				res, err := http.ReadResponse(r, nil)
				switch {
				case err == nil && res.StatusCode == 200:
					served.Add(1)
				case err == nil && res.StatusCode == 503: // a decision module without measurements may reject a request
					time.Sleep(time.Millisecond)
				default:
					t.Errorf("request %d of client %d: %v, %v", n, i, res, err)
					return
				}
				res.Body.Close()
				if res.Close || i%2 > 0 {
					c.Close()
					c = nil
				}
			}
		})
	}
	return served, func() { close(done); all.Wait() }
}

// In an upgrade under load every request gets a response, held endpoints stay held, and the old process completes its requests and
// ends when it is stopped.
func TestUpgrade(t *testing.T) {
	addr1, requests1 := echoEndpoint(t)
	addr2, _ := echoEndpoint(t)
	cfg := adminConfig(t, addr1, addr2)
	cfg.Listen = freeport.AddressForTest(t)
	old := startProcess(t, cfg)
	eventually(t, "the process is ready", old.Ready)
	if err := old.Hold(t.Context(), "s-0"); err != nil {
		t.Fatal(err)
	}
	served, stop := runClients(t, cfg.Listen, 4)
	for range 3 { // consecutive upgrades, in which the listener slots of the address are taken over
		before := requests1.Load()
		next := startProcess(t, cfg)
		eventually(t, "the new process is ready", next.Ready)
		eventually(t, "the old process has been replaced", old.replaced.Load)
		eventually(t, "the new process has read which endpoint is held", func() bool { return next.Stats().Held == 1 })
		servedBefore := served.Load()
		eventually(t, "requests go on", func() bool { return served.Load() > servedBefore+50 })
		old.stop()
		if err := <-old.ended; err != nil {
			t.Errorf("the old process: %v", err)
		}
		servedBefore = served.Load()
		eventually(t, "requests go on", func() bool { return served.Load() > servedBefore+50 })
		if n := requests1.Load(); n != before {
			t.Errorf("%d requests went to the held endpoint", n-before)
		}
		eventually(t, "the new process has the full limits", func() bool {
			clients, _ := next.descriptors(fullShare)
			next.frontend.clients.mu.Lock()
			defer next.frontend.clients.mu.Unlock()
			return next.frontend.clients.maxConns == clients
		})
		old = next
	}
	stop()
	old.frontend.acceptTime = 0
	old.stop()
	if err := <-old.ended; err != nil {
		t.Error(err)
	}
}

// Hold and Release at either process apply to both.
func TestHoldAppliesToBothProcesses(t *testing.T) {
	addr1, _ := echoEndpoint(t)
	addr2, _ := echoEndpoint(t)
	cfg := adminConfig(t, addr1, addr2)
	cfg.Listen = freeport.AddressForTest(t)
	old := startProcess(t, cfg)
	eventually(t, "the process is ready", old.Ready)
	next := startProcess(t, cfg)
	eventually(t, "the process is ready", next.Ready)
	for _, c := range []struct{ here, there *sidecarProcess }{{old, next}, {next, old}} {
		if err := c.here.Hold(t.Context(), "s-1"); err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		eventually(t, "the other process holds the endpoint", func() bool { return c.there.Stats().Unavailable == 1 })
		if took := time.Since(start); took > 400*time.Millisecond {
			t.Errorf("the other process holds the endpoint after %v, want at most 400ms", took)
		}
		if err := c.there.Release(t.Context(), "s-1"); err != nil {
			t.Fatal(err)
		}
		eventually(t, "the endpoint is released", func() bool { return c.here.Stats().Unavailable == 0 })
	}
}

// A new process without usable servers does not take over, and if a new process ends before the old one is stopped, the old one
// serves all connections again.
func TestFailedUpgrade(t *testing.T) {
	addr1, _ := echoEndpoint(t)
	cfg := adminConfig(t, addr1)
	cfg.Listen = freeport.AddressForTest(t)
	old := startProcess(t, cfg)
	eventually(t, "the process is ready", old.Ready)
	served, stop := runClients(t, cfg.Listen, 2)
	empty := cfg
	empty.InitialList = List{}
	failing := startProcess(t, empty)
	eventually(t, "the old process reduces its limits", func() bool {
		limit, _ := old.descriptors(servingShare)
		old.frontend.clients.mu.Lock()
		defer old.frontend.clients.mu.Unlock()
		return old.frontend.clients.maxConns == limit
	})
	if failing.Ready() || old.replaced.Load() {
		t.Error("a process without servers serves")
	}
	failing.stop()
	if err := <-failing.ended; err != nil {
		t.Error(err)
	}
	shortLived := startProcess(t, cfg) // takes over, and ends before the old process is stopped
	eventually(t, "the process is ready", shortLived.Ready)
	eventually(t, "the old process has been replaced", old.replaced.Load)
	servedBefore := served.Load()
	eventually(t, "requests go on", func() bool { return served.Load() > servedBefore+50 })
	stop() // connections that are queued at a process that ends are lost in any case
	shortLived.frontend.acceptTime = 0
	shortLived.stop()
	if err := <-shortLived.ended; err != nil {
		t.Error(err)
	}
	eventually(t, "the old process serves alone", func() bool { return !old.replaced.Load() && old.Ready() })
	served, stop = runClients(t, cfg.Listen, 2)
	eventually(t, "requests are served", func() bool { return served.Load() > 50 })
	stop()
}
