package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// BenchmarkDecision measures the handling of a request and its outcome, with several numbers of servers: 100 requests a
// second for every hundred servers, at most 1,000, which end about 20 ms later.
func BenchmarkDecision(b *testing.B) {
	for _, servers := range []int{40, 400, 4000, 10000} {
		var step func() // created once for each size, as reaching a steady state takes long and the benchmark function runs several times
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			if step == nil {
				step = newSteadyStep(b, servers)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				step()
			}
		})
	}
}

// newSteadyStep returns a function that handles a request and an outcome with a balancer that has measured its servers.
func newSteadyStep(b *testing.B, servers int) (step func()) {
	m, err := New(testSettings(), 7, 1000)
	if err != nil {
		b.Fatal(err)
	}
	now, interval := 1000.0, 1000/float64(min(max(servers, 100), 1000))
	r := rand.New(rand.NewPCG(1, 2))
	var acts, inFlight []Action
	m.Handle(now, &Event{Kind: EvServerList, List: ListFull, Servers: serverEntries(servers)}, nil)
	id := uint32(0)
	step = func() {
		id++
		now += interval
		acts = m.Handle(now, &Event{Kind: EvRequest, Request: id, Deadline: now + 1000}, acts[:0])
		for _, a := range acts {
			if a.Kind == ActSend {
				inFlight = append(inFlight, a)
			}
		}
		if float64(len(inFlight))*interval > 20 {
			a := inFlight[0]
			inFlight = inFlight[:copy(inFlight, inFlight[1:])]
			acts = m.Handle(now, &Event{Kind: EvAttemptEnded, Request: a.Request, Server: a.Server, Outcome: OK, Elapsed: 10 + 20*r.Float64()}, acts[:0])
		}
	}
	for range 20 * servers {
		step()
	}
	return step
}

// BenchmarkList measures the handling of a server list: a full list that replaces another, and a change of one server.
func BenchmarkList(b *testing.B) {
	for _, servers := range []int{40, 400, 4000, 10000} {
		lists := [2][]ServerEntry{serverEntries(servers), serverEntries(servers)}
		for i := range lists[1] {
			lists[1][i].ID += 1 << 20
		}
		newBalancer := func(b *testing.B) *Balancer {
			m, err := New(testSettings(), 7, 1000)
			if err != nil {
				b.Fatal(err)
			}
			m.Handle(1000, &Event{Kind: EvServerList, List: ListFull, Servers: lists[0]}, nil)
			return m
		}
		b.Run(fmt.Sprint("replaced/", servers), func(b *testing.B) {
			m, acts := newBalancer(b), []Action(nil)
			for i := range b.N {
				acts = m.Handle(1001+float64(i), &Event{Kind: EvServerList, List: ListFull, Servers: lists[(i+1)%2]}, acts[:0])
			}
		})
		b.Run(fmt.Sprint("one/", servers), func(b *testing.B) {
			m, acts := newBalancer(b), []Action(nil)
			one := lists[0][:1:1]
			for i := range b.N {
				one = append(one[:0], lists[0][servers/2])
				if one[0].State = Ready; i%2 == 0 {
					one[0].State = Removed
				}
				acts = m.Handle(1001+float64(i), &Event{Kind: EvServerList, List: ListDelta, Servers: one}, acts[:0])
			}
		})
	}
}
