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

// A measurement is `go test ./internal/sidecar -run TestNoLieIsBelieved -exchanges 100000 -lies 7`.
var (
	exchanges = flag.Int("exchanges", 3000, "exchanges that are played against an endpoint that lies and dies")
	lies      = flag.Uint64("lies", 1, "seed of what it does")
)

// Whatever an endpoint says or leaves unsaid, and however its connections end: no answer is another request's, nothing runs twice, and
// nothing that was said not to have run has or does.
func TestNoLieIsBelieved(t *testing.T) {
	facts := &rules.Answers{}
	liar := &fakeserver.MisbehavingServer{Answers: facts, Choose: func(n int) fakeserver.Misbehavior {
		return fakeserver.RandomMisbehavior(rand.New(rand.NewPCG(*lies, uint64(n))))
	}}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	liar.Serve(ln)
	w := NewSingleServerPool(64, time.Minute)
	w.SetServer(ln.Addr().String(), 1)
	var calls sync.WaitGroup
	var served, asked atomic.Int64
	var first atomic.Int64
	for who := range 8 {
		calls.Go(func() {
			r := rand.New(rand.NewPCG(*lies, uint64(1_000_000+who)))
			for n := 0; liar.RequestCount() < *exchanges; n++ {
				ctx, cancel := context.WithCancel(t.Context())
				if r.IntN(40) == 0 {
					time.AfterFunc(time.Duration(r.IntN(2000))*time.Microsecond, cancel)
				}
				body := []int{0, 20, 20, 3000, 200_000}[r.IntN(5)]
				asked.Add(1)
				if crossing(ctx, w, facts, fmt.Sprintf("%d-%d", who, n), body, 40*time.Millisecond) {
					served.Add(1)
				}
				cancel()
				if _, wrong := facts.Violations(); wrong > 0 {
					first.CompareAndSwap(0, int64(liar.RequestCount()))
				}
			}
		})
	}
	calls.Wait()
	w.Close()
	liar.Close()
	wrong, count := facts.Violations()
	for _, text := range wrong[:min(len(wrong), 20)] {
		t.Error(text)
	}
	if t.Logf("%d exchanges, %d of %d requests answered", liar.RequestCount(), served.Load(), asked.Load()); count > 0 {
		t.Errorf("seed %d: %d wrong in %d exchanges, the first by the %dth", *lies, count, liar.RequestCount(), first.Load())
	}
	if served.Load() < asked.Load()/4 {
		t.Errorf("seed %d: hardly anything is answered", *lies)
	}
}
