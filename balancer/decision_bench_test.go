package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// BenchmarkDecision is a request and its outcome over fleets of several sizes, in memory: 100 requests a second for every
// hundred servers, at most 1,000, answered 20 ms later.
func BenchmarkDecision(b *testing.B) {
	for _, servers := range []int{40, 400, 4000, 10000} {
		var step func() // made once for each size: the way to a steady state takes long, and b.N is tried several times
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			if step == nil {
				step = steady(b, servers)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				step()
			}
		})
	}
}

// steady returns a step, a request and an outcome, of a balancer that has measured its servers.
func steady(b *testing.B, servers int) (step func()) {
	m, err := New(plain(), 7, 1000)
	if err != nil {
		b.Fatal(err)
	}
	now, every := 1000.0, 1000/float64(min(max(servers, 100), 1000))
	r := rand.New(rand.NewPCG(1, 2))
	var acts, out []Action
	m.Handle(now, &Event{Kind: EvServerList, List: ListFull, Servers: ids(servers)}, nil)
	id := uint32(0)
	step = func() {
		id++
		now += every
		acts = m.Handle(now, &Event{Kind: EvRequest, Request: id, Deadline: now + 1000}, acts[:0])
		for _, a := range acts {
			if a.Kind == ActSend {
				out = append(out, a)
			}
		}
		if float64(len(out))*every > 20 {
			a := out[0]
			out = out[:copy(out, out[1:])]
			acts = m.Handle(now, &Event{Kind: EvAttemptEnded, Request: a.Request, Server: a.Server, Outcome: OK, Elapsed: 10 + 20*r.Float64()}, acts[:0])
		}
	}
	for range 20 * servers {
		step()
	}
	return step
}

// BenchmarkList is what a list costs: a whole one that is replaced by another, and a change of one server.
func BenchmarkList(b *testing.B) {
	for _, servers := range []int{40, 400, 4000, 10000} {
		fleets := [2][]ServerEntry{ids(servers), ids(servers)}
		for i := range fleets[1] {
			fleets[1][i].ID += 1 << 20
		}
		fresh := func(b *testing.B) *Balancer {
			m, err := New(plain(), 7, 1000)
			if err != nil {
				b.Fatal(err)
			}
			m.Handle(1000, &Event{Kind: EvServerList, List: ListFull, Servers: fleets[0]}, nil)
			return m
		}
		b.Run(fmt.Sprint("replaced/", servers), func(b *testing.B) {
			m, acts := fresh(b), []Action(nil)
			for i := range b.N {
				acts = m.Handle(1001+float64(i), &Event{Kind: EvServerList, List: ListFull, Servers: fleets[(i+1)%2]}, acts[:0])
			}
		})
		b.Run(fmt.Sprint("one/", servers), func(b *testing.B) {
			m, acts := fresh(b), []Action(nil)
			one := fleets[0][:1:1]
			for i := range b.N {
				one = append(one[:0], fleets[0][servers/2])
				if one[0].State = Ready; i%2 == 0 {
					one[0].State = Removed
				}
				acts = m.Handle(1001+float64(i), &Event{Kind: EvServerList, List: ListDelta, Servers: one}, acts[:0])
			}
		})
	}
}
