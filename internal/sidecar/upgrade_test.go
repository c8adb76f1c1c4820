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

// running is a sidecar whose Run can be waited for.
type running struct {
	*Sidecar
	stop  context.CancelFunc
	ended chan error
}

func play(t *testing.T, cfg Config) *running {
	t.Helper()
	s, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	s.discoveryTimeout = 50 * time.Millisecond // its discovery answers nothing
	ctx, cancel := context.WithCancel(context.Background())
	r := &running{s, cancel, make(chan error, 1)}
	go func() { r.ended <- s.Run(ctx) }()
	t.Cleanup(cancel)
	return r
}

// asking has callers ask one request after the other, some on kept connections and some on new ones, until stop; it counts
// those that were served and tells of each that was neither served nor refused.
func asking(t *testing.T, addr string, callers int) (served *atomic.Int64, stop func()) {
	served = &atomic.Int64{}
	done := make(chan struct{})
	var all sync.WaitGroup
	for i := range callers {
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
				_ = c.SetDeadline(time.Now().Add(long))
				fmt.Fprintf(c, "GET /read/x HTTP/1.1\r\nHost: h\r\nX-Class: read\r\nX-Request-Id: %d-%d\r\n\r\n", i, n)
				res, err := http.ReadResponse(r, nil)
				switch {
				case err == nil && res.StatusCode == 200:
					served.Add(1)
				case err == nil && res.StatusCode == 503: // a module that has measured nothing yet may refuse: that is an answer
					time.Sleep(time.Millisecond)
				default:
					t.Errorf("request %d of caller %d: %v, %v", n, i, res, err)
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

// An upgrade under load: every request has its answer, what operators held out stays out, and the old process ends by itself.
func TestUpgrade(t *testing.T) {
	one, ones := echoing(t)
	two, _ := echoing(t)
	cfg := operated(t, one, two)
	cfg.Listen = freeport.AddressForTest(t)
	old := play(t, cfg)
	eventually(t, "ready", old.Ready)
	if err := old.Hold(t.Context(), "s-0"); err != nil {
		t.Fatal(err)
	}
	served, stop := asking(t, cfg.Listen, 4)
	for range 3 { // one upgrade after the other: the places at the address change hands
		before := ones.Load()
		next := play(t, cfg)
		eventually(t, "the new process is ready", next.Ready)
		eventually(t, "the old process knows", old.replaced.Load)
		eventually(t, "the new process knows what is held out", func() bool { return next.Stats().Held == 1 })
		sofar := served.Load()
		eventually(t, "requests go on", func() bool { return served.Load() > sofar+50 })
		old.stop()
		if err := <-old.ended; err != nil {
			t.Errorf("the old process: %v", err)
		}
		sofar = served.Load()
		eventually(t, "requests go on", func() bool { return served.Load() > sofar+50 })
		if n := ones.Load(); n != before {
			t.Errorf("%d requests went to an endpoint that is held out", n-before)
		}
		eventually(t, "the limits are whole again", func() bool {
			callers, _ := next.descriptors(fullShare)
			next.frontend.clients.mu.Lock()
			defer next.frontend.clients.mu.Unlock()
			return next.frontend.clients.maxConns == callers
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

// A call to either process counts for both.
func TestHeldOutByEither(t *testing.T) {
	one, _ := echoing(t)
	two, _ := echoing(t)
	cfg := operated(t, one, two)
	cfg.Listen = freeport.AddressForTest(t)
	old := play(t, cfg)
	eventually(t, "ready", old.Ready)
	next := play(t, cfg)
	eventually(t, "ready", next.Ready)
	for _, c := range []struct{ here, there *running }{{old, next}, {next, old}} {
		if err := c.here.Hold(t.Context(), "s-1"); err != nil {
			t.Fatal(err)
		}
		begun := time.Now()
		eventually(t, "the other process holds it out", func() bool { return c.there.Stats().Unavailable == 1 })
		if took := time.Since(begun); took > 400*time.Millisecond {
			t.Errorf("the other process holds it out after %v", took)
		}
		if err := c.there.Release(t.Context(), "s-1"); err != nil {
			t.Fatal(err)
		}
		eventually(t, "it is back", func() bool { return c.here.Stats().Unavailable == 0 })
	}
}

// A new process that has no server to send to, or ends before it is told to serve, takes nothing over.
func TestUpgradeThatFails(t *testing.T) {
	one, _ := echoing(t)
	cfg := operated(t, one)
	cfg.Listen = freeport.AddressForTest(t)
	old := play(t, cfg)
	eventually(t, "ready", old.Ready)
	served, stop := asking(t, cfg.Listen, 2)
	empty := cfg
	empty.InitialList = List{}
	failing := play(t, empty)
	eventually(t, "the old process makes room", func() bool {
		most, _ := old.descriptors(servingShare)
		old.frontend.clients.mu.Lock()
		defer old.frontend.clients.mu.Unlock()
		return old.frontend.clients.maxConns == most
	})
	if failing.Ready() || old.replaced.Load() {
		t.Error("a process without servers serves")
	}
	failing.stop()
	if err := <-failing.ended; err != nil {
		t.Error(err)
	}
	dies := play(t, cfg) // serves, and dies before the old one is told to end
	eventually(t, "ready", dies.Ready)
	eventually(t, "the old process knows", old.replaced.Load)
	sofar := served.Load()
	eventually(t, "requests go on", func() bool { return served.Load() > sofar+50 })
	stop() // what is queued at a process that dies is lost, whatever the other does
	dies.frontend.acceptTime = 0
	dies.stop()
	if err := <-dies.ended; err != nil {
		t.Error(err)
	}
	eventually(t, "the old process serves alone", func() bool { return !old.replaced.Load() && old.Ready() })
	served, stop = asking(t, cfg.Listen, 2)
	eventually(t, "requests are served", func() bool { return served.Load() > 50 })
	stop()
}
