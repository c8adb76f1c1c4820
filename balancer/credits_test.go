package balancer

import (
	"math"
	"testing"
)

// TestNextLoad compares the two formulas of the SMACE paper with values computed by hand.
func TestNextLoad(t *testing.T) {
	for _, c := range []struct {
		name                                       string
		load, goodput, p95, minLoad, maxLoad, want float64
	}{
		{"over threshold: 0.9 of goodput", 20, 10, 1.2, 1, 100, 9},
		{"over threshold: never under the minimum", 20, 0, 2, 1.5, 100, 1.5},
		{"half the threshold: times root 1.5", 16, 16, 0.5, 1, 100, 16 * 1.224744871},
		{"idle latency: times root 2", 10, 5, 0, 1, 100, 14.14213562},
		{"at the threshold: stays", 10, 5, 1, 1, 100, 10},
		{"rise ends at the learned maximum", 10, 5, 0, 1, 12, 12},
		{"a load over the maximum is not lowered by it", 14, 5, 0, 1, 12, 14},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := nextLoad(c.load, c.goodput, c.p95, c.minLoad, c.maxLoad); math.Abs(got-c.want) > 1e-6 {
				t.Errorf("load %v, want %v", got, c.want)
			}
		})
	}
}

// TestWeightsAreHints: until servers are measured, a server with three times the weight gets about three times
// the requests.
func TestWeightsAreHints(t *testing.T) {
	servers := serverEntries(2)
	servers[0].Weight, servers[1].Weight = 3, 1
	h := newHarness(t, testSettings(), servers...)
	type sentRequest struct{ id, server uint32 }
	var inFlight []sentRequest
	got := map[uint32]int{}
	for id := uint32(1); id <= 190; id++ { // a request takes 80 ms, and no server's load is updated so soon
		h.now += 10
		acts := h.request(id, 0)
		if len(inFlight) >= 8 {
			acts = append(acts, h.do(Event{
				Kind: EvAttemptEnded, Request: inFlight[0].id, Server: inFlight[0].server, Outcome: OK, Elapsed: 80, RequestEnded: true,
			})...)
			inFlight = inFlight[1:]
		}
		for _, a := range acts {
			if a.Kind == ActSend {
				got[a.Server]++
				inFlight = append(inFlight, sentRequest{a.Request, a.Server})
			}
		}
	}
	if got[100] < 2*got[101] || got[101] < 10 {
		t.Errorf("requests %v, want about three to one", got)
	}
}
