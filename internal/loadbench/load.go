package loadbench

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

// loadGenerator sends the requests of a trial. Requests arrive independently of the responses to earlier ones (an open loop).
type loadGenerator struct {
	spec *Spec
	addr string

	mu        sync.Mutex
	idle      []*clientConn // connections without a request, the one used last at the end
	result    *Result
	latencies []time.Duration // of all responses except rejections
}

func newLoadGenerator(spec *Spec, addr string) *loadGenerator {
	return &loadGenerator{spec: spec, addr: addr, result: &Result{Classes: map[string]ClassResult{}}}
}

// close closes the idle connections.
func (g *loadGenerator) close() {
	for _, conn := range g.idle {
		conn.close()
	}
}

// acquire returns the idle connection that was used last, or one that is not connected yet.
func (g *loadGenerator) acquire() *clientConn {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.idle) == 0 {
		return &clientConn{}
	}
	last := len(g.idle) - 1
	conn := g.idle[last]
	g.idle = g.idle[:last]
	return conn
}

// run sends requests until the trial's duration is over or ctx ends, and waits for their responses.
func (g *loadGenerator) run(ctx context.Context, startedAt time.Time) {
	random := rand.New(rand.NewPCG(g.spec.Seed, loadStream))
	var open sync.WaitGroup
	defer open.Wait()
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() / g.spec.Rate * float64(time.Second))
		draw := random.Float64()
		if at >= g.spec.Duration {
			return
		}
		select {
		case <-time.After(time.Until(startedAt.Add(at))):
		case <-ctx.Done():
			return
		}
		class := g.classOf(draw)
		caller := random.IntN(g.spec.Callers)
		open.Go(func() { g.send(class, caller) })
	}
}

// classOf returns the class of a request for a number that was drawn from [0, 1).
func (g *loadGenerator) classOf(draw float64) *Class {
	for i := range g.spec.Classes {
		if draw -= g.spec.Classes[i].Share; draw < 0 {
			return &g.spec.Classes[i]
		}
	}
	return &g.spec.Classes[len(g.spec.Classes)-1]
}

// send sends a request and records the result.
func (g *loadGenerator) send(class *Class, caller int) {
	conn := g.acquire()
	sentAt := time.Now()
	status, err := conn.roundTrip(g.addr, class, caller)
	latency := time.Since(sentAt)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.idle = append(g.idle, conn)
	g.record(class, status, latency, err)
}

// record counts the result of a request. The caller holds g.mu.
func (g *loadGenerator) record(class *Class, status int, latency time.Duration, err error) {
	result := g.result.Classes[class.Name]
	result.Requests++
	result.OfferedWeight += class.PriorityWeight
	g.result.OfferedWeight += class.PriorityWeight
	switch {
	case err != nil:
		result.Failed++
		if errors.Is(err, errTimeout) {
			g.result.Unanswered++
		}
	case status == http.StatusServiceUnavailable:
		result.Refused++
		g.result.LongestRefusal = max(g.result.LongestRefusal, latency)
	case status != http.StatusOK:
		result.Failed++
	case latency <= class.LatencyTarget:
		result.InTime++
		result.EarnedWeight += class.PriorityWeight
		g.result.EarnedWeight += class.PriorityWeight
		g.latencies = append(g.latencies, latency)
	default:
		result.Late++
		g.latencies = append(g.latencies, latency)
	}
	g.result.Classes[class.Name] = result
}

// weights returns the priority weight that was offered and earned so far.
func (g *loadGenerator) weights() (offered, earned float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.result.OfferedWeight, g.result.EarnedWeight
}

// finish returns the result after the last response.
func (g *loadGenerator) finish(samples []Sample) *Result {
	g.result.Samples = samples
	if len(g.latencies) > 0 {
		slices.Sort(g.latencies)
		g.result.P99 = g.latencies[len(g.latencies)*99/100]
	}
	return g.result
}
