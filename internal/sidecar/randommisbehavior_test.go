package sidecar

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"milletmast/internal/fakeserver"
	"milletmast/internal/rules"
)

// For a longer run use `go test ./internal/sidecar -run TestRandomMisbehavior -exchanges 100000 -fault-seed 7`.
var (
	exchanges       = flag.Int("exchanges", 3000, "number of exchanges with a misbehaving server")
	misbehaviorSeed = flag.Uint64("fault-seed", 1, "seed of the server's misbehavior")
)

// Whatever a server sends or omits, and however its connections end, no request may get the response to another one, none may be
// executed twice, and none that was reported as not executed may have been or be executed.
func TestRandomMisbehavior(t *testing.T) {
	checker := &rules.Answers{}
	server := &fakeserver.MisbehavingServer{Answers: checker, Choose: func(n int) fakeserver.Misbehavior {
		return fakeserver.RandomMisbehavior(rand.New(rand.NewPCG(*misbehaviorSeed, uint64(n))))
	}}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server.Serve(ln)
	pool := NewSingleServerPool(64, time.Minute)
	pool.SetServer(ln.Addr().String(), 1)
	var clients sync.WaitGroup
	var served, requests atomic.Int64
	var firstViolation atomic.Int64 // number of exchanges when it was found
	for client := range 8 {
		clients.Go(func() {
			r := rand.New(rand.NewPCG(*misbehaviorSeed, uint64(1_000_000+client)))
			for n := 0; server.RequestCount() < *exchanges; n++ {
				ctx, cancel := context.WithCancel(t.Context())
				if r.IntN(40) == 0 {
					time.AfterFunc(time.Duration(r.IntN(2000))*time.Microsecond, cancel)
				}
				body := []int{0, 20, 20, 3000, 200_000}[r.IntN(5)]
				if r.IntN(50) == 0 {
					body = 6 << 20 // more than the buffers of a connection hold
				}
				requests.Add(1)
				if sendWithRetries(ctx, pool, checker, fmt.Sprintf("%d-%d", client, n), body, 40*time.Millisecond) {
					served.Add(1)
				}
				cancel()
				if _, count := checker.Violations(); count > 0 {
					firstViolation.CompareAndSwap(0, int64(server.RequestCount()))
				}
			}
		})
	}
	clients.Wait()
	pool.Close()
	server.Close()
	violations, count := checker.Violations()
	for _, text := range violations[:min(len(violations), 20)] {
		t.Error(text)
	}
	if t.Logf("%d exchanges, %d of %d requests served", server.RequestCount(), served.Load(), requests.Load()); count > 0 {
		t.Errorf("seed %d: %d violations in %d exchanges, the first within %d", *misbehaviorSeed, count, server.RequestCount(), firstViolation.Load())
	}
	if served.Load() < requests.Load()/4 {
		t.Errorf("seed %d: %d of %d requests served, want at least a quarter", *misbehaviorSeed, served.Load(), requests.Load())
	}
}
