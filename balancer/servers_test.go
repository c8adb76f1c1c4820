package balancer

import (
	"math"
	"testing"
)

func TestDrainingServerGetsNothing(t *testing.T) {
	h := newHarness(t, testSettings(), serverEntries(2)...)
	h.do(Event{Kind: EvServerList, List: ListDelta, Servers: []ServerEntry{{ID: 100, State: Draining}}})
	for id := uint32(1); id < 6; id++ {
		for _, a := range h.request(id, 0) {
			if a.Server == 100 {
				t.Fatal("sent to a draining server")
			}
		}
	}
	h.do(Event{Kind: EvServerList, List: ListFull, Servers: serverEntries(1)})
	for id := uint32(10); id < 16; id++ {
		for _, a := range h.request(id, 0) {
			if a.Kind == ActSend && a.Server == 101 {
				t.Fatal("sent to a server that is absent from the full list")
			}
		}
	}
}

func TestListIsPolledAgain(t *testing.T) {
	set := testSettings()
	set.PollsList = true
	h := newHarness(t, set, serverEntries(1)...)
	nextPoll := func(until float64) float64 {
		for ; h.now < until; h.now += 10 {
			for _, a := range h.do(Event{Kind: EvTimer, Token: 1}) {
				if a.Kind == ActSubscribe {
					return h.now
				}
			}
		}
		t.Fatalf("the list was not polled until %v", until)
		return 0
	}
	nextPoll(1000 + set.Safety.ListInterval)
	var gaps []float64
	for range 6 {
		failed := h.now
		h.do(Event{Kind: EvServerList, List: ListFailed})
		gaps = append(gaps, nextPoll(h.now+4*set.Safety.ListInterval)-failed)
	}
	if gaps[0] > 1600 || gaps[5] < 4000 || gaps[5] > 2*set.Safety.ListInterval {
		t.Errorf("gaps between polls %v must grow from at most 1600 ms and stay bounded", gaps)
	}
}

// TestHomesCoverEachServerOnce: replicas divide the servers completely and evenly without communicating.
func TestHomesCoverEachServerOnce(t *testing.T) {
	for _, c := range []struct{ replicas, servers int }{{1, 1}, {1, 7}, {3, 10}, {7, 3}, {80, 44}, {5, 5}} {
		total := map[uint32]float64{}
		for rank := range c.replicas {
			set := testSettings()
			set.Replicas, set.Rank = c.replicas, rank
			h := newHarness(t, set, serverEntries(c.servers)...)
			share := 0.0
			for _, s := range h.b.usable {
				total[s.ID] += s.homeShare
				share += s.homeShare
			}
			if want := float64(c.servers) / float64(c.replicas); math.Abs(share-want) > 1e-9 {
				t.Errorf("%d replicas, %d servers: rank %d has %v home servers, want %v", c.replicas, c.servers, rank, share, want)
			}
		}
		for id, sum := range total {
			if math.Abs(sum-1) > 1e-9 {
				t.Errorf("%d replicas, %d servers: the home shares of server %d add up to %v, want 1", c.replicas, c.servers, id, sum)
			}
		}
	}
}

// firstID is the ID of the first server of serverEntries.
const firstID = 100

// countCloses counts the actions that close idle connections to the first server.
func countCloses(acts []Action) (n int) {
	for _, a := range acts {
		if a.Kind == ActCloseIdle && a.Server == firstID {
			n++
		}
	}
	return n
}

// TestDrainClosesIdleConnections: idle connections to a draining server are closed when it begins to drain,
// after the last outcome there, and once more by a timer. They are not closed if DrainCloseTime is 0.
func TestDrainClosesIdleConnections(t *testing.T) {
	drain := Event{Kind: EvServerList, List: ListDelta, Servers: []ServerEntry{{ID: 100, State: Draining}}}
	set := testSettings()
	h := newHarness(t, set, serverEntries(1)...)
	if acts := h.do(drain); countCloses(acts) != 0 {
		t.Errorf("DrainCloseTime 0: actions %+v, want no close", acts)
	}
	set.Safety.DrainCloseTime = 1500
	h = newHarness(t, set, serverEntries(1)...)
	if acts := h.request(1, 0); len(acts) != 1 || acts[0].Kind != ActSend {
		t.Fatalf("actions %+v, want a send", acts)
	}
	h.now += 10
	if acts := h.do(drain); countCloses(acts) != 1 {
		t.Errorf("when the server begins to drain: actions %+v, want one close", acts)
	}
	h.now += 300
	end := Event{Kind: EvAttemptEnded, Request: 1, Server: 100, Outcome: OK, Elapsed: 310, RequestEnded: true}
	if acts := h.do(end); countCloses(acts) != 1 {
		t.Errorf("after the last outcome: actions %+v, want one close", acts)
	}
	last, closed := h.now, 0
	for ; h.now < last+set.Safety.DrainCloseTime-1; h.now += 10 {
		closed += countCloses(h.do(Event{Kind: EvTimer, Token: h.b.timerToken}))
	}
	if closed != 1 {
		t.Errorf("closed %d times by timer, want once", closed)
	}
	for range 100 {
		h.now += 50
		closed += countCloses(h.do(Event{Kind: EvTimer, Token: h.b.timerToken}))
	}
	if closed != 1 || len(h.b.closingIdle) != 0 {
		t.Errorf("closed %d times by timers, want once; %d servers still in closingIdle", closed, len(h.b.closingIdle))
	}
}

// TestReadyAgainKeepsIdleConnections: a server that is ready again before the second close keeps its
// connections; one that is removed does not.
func TestReadyAgainKeepsIdleConnections(t *testing.T) {
	set := testSettings()
	set.Safety.DrainCloseTime = 1500
	for _, state := range []ServerState{Ready, Removed} {
		h := newHarness(t, set, serverEntries(2)...)
		for _, st := range []ServerState{Draining, state} {
			h.do(Event{Kind: EvServerList, List: ListDelta, Servers: []ServerEntry{{ID: 100, State: st}}})
		}
		h.now += 1000
		if n := countCloses(h.do(Event{Kind: EvTimer, Token: h.b.timerToken})); (n == 1) != (state == Removed) {
			t.Errorf("state %d: closed %d times", state, n)
		}
	}
}

// TestRemovedServersAreDeleted: no state is kept of servers that were removed and requests that have ended.
func TestRemovedServersAreDeleted(t *testing.T) {
	set := testSettings()
	set.Safety.DrainCloseTime = 1500
	h := newHarness(t, set)
	id := uint32(0)
	for round := range 60 {
		entries := make([]ServerEntry, 1000)
		for i := range entries {
			entries[i] = ServerEntry{ID: uint32(round*1000 + i), Weight: 1}
		}
		h.now += 2000
		h.do(Event{Kind: EvServerList, List: ListFull, Servers: entries})
		for range 50 {
			id++
			h.now++
			for _, a := range h.request(id, 0) {
				if a.Kind == ActSend {
					h.do(Event{Kind: EvAttemptEnded, Request: id, Server: a.Server, Outcome: OK, Elapsed: 5, RequestEnded: true})
				}
			}
		}
		h.do(Event{Kind: EvTimer})
	}
	if len(h.b.servers) > 2000 || len(h.b.usable) != 1000 || len(h.b.closingIdle) > 2000 {
		t.Errorf("%d servers kept, %d usable, %d in closingIdle; want at most 2000, 1000 and at most 2000", len(h.b.servers), len(h.b.usable), len(h.b.closingIdle))
	}
	if len(h.b.requests) != 0 || len(h.b.freeRequests) > 100 || h.b.recentRequests.Len() > 20000 {
		t.Errorf("%d requests kept, %d free records, %d recent requests; want 0, at most 100 and at most 20000", len(h.b.requests), len(h.b.freeRequests), h.b.recentRequests.Len())
	}
}
