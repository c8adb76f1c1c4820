package balancer

import (
	"math"
	"testing"
)

func TestDrainingServerGetsNothing(t *testing.T) {
	h := start(t, plain(), ids(2)...)
	h.do(Event{Kind: EvServerList, List: ListDelta, Servers: []ServerEntry{{ID: 100, State: Draining}}})
	for id := uint32(1); id < 6; id++ {
		for _, a := range h.request(id, 0) {
			if a.Server == 100 {
				t.Fatal("sent to a draining server")
			}
		}
	}
	h.do(Event{Kind: EvServerList, List: ListFull, Servers: ids(1)})
	for id := uint32(10); id < 16; id++ {
		for _, a := range h.request(id, 0) {
			if a.Kind == ActSend && a.Server == 101 {
				t.Fatal("sent to a server that is absent from the full list")
			}
		}
	}
}

func TestListIsPolledAgain(t *testing.T) {
	set := plain()
	set.PollsList = true
	h := start(t, set, ids(1)...)
	asked := func(until float64) float64 {
		for ; h.now < until; h.now += 10 {
			for _, a := range h.do(Event{Kind: EvTimer, Token: 1}) {
				if a.Kind == ActSubscribe {
					return h.now
				}
			}
		}
		t.Fatalf("not asked until %v", until)
		return 0
	}
	asked(1000 + set.Safety.ListInterval)
	var gaps []float64
	for range 6 {
		failed := h.now
		h.do(Event{Kind: EvServerList, List: ListFailed})
		gaps = append(gaps, asked(h.now+4*set.Safety.ListInterval)-failed)
	}
	if gaps[0] > 1600 || gaps[5] < 4000 || gaps[5] > 2*set.Safety.ListInterval {
		t.Errorf("gaps between requests %v must grow and stay bounded", gaps)
	}
}

// TestHomesCoverEachServerOnce: replicas divide the servers completely and evenly, without messages.
func TestHomesCoverEachServerOnce(t *testing.T) {
	for _, c := range []struct{ replicas, servers int }{{1, 1}, {1, 7}, {3, 10}, {7, 3}, {80, 44}, {5, 5}} {
		total := map[uint32]float64{}
		for rank := range c.replicas {
			set := plain()
			set.Replicas, set.Rank = c.replicas, rank
			h := start(t, set, ids(c.servers)...)
			own := 0.0
			for _, s := range h.b.usable {
				total[s.ID] += s.homeShare
				own += s.homeShare
			}
			if want := float64(c.servers) / float64(c.replicas); math.Abs(own-want) > 1e-9 {
				t.Errorf("%d replicas, %d servers: rank %d owns %v, want %v", c.replicas, c.servers, rank, own, want)
			}
		}
		for id, sum := range total {
			if math.Abs(sum-1) > 1e-9 {
				t.Errorf("%d replicas, %d servers: server %d is dealt out %v times", c.replicas, c.servers, id, sum)
			}
		}
	}
}

// firstID is the id of the first server of ids.
const firstID = 100

// closes counts the actions that close idle connections to the first server.
func closes(acts []Action) (n int) {
	for _, a := range acts {
		if a.Kind == ActCloseIdle && a.Server == firstID {
			n++
		}
	}
	return n
}

// TestDrainClosesIdleConnections: idle connections to a draining server are closed when it begins to drain,
// after the last outcome there, and once more by a timer; never where the site has no such rule.
func TestDrainClosesIdleConnections(t *testing.T) {
	drain := Event{Kind: EvServerList, List: ListDelta, Servers: []ServerEntry{{ID: 100, State: Draining}}}
	set := plain()
	h := start(t, set, ids(1)...)
	if acts := h.do(drain); closes(acts) != 0 {
		t.Errorf("closed without a rule: %+v", acts)
	}
	set.Safety.DrainCloseTime = 1500
	h = start(t, set, ids(1)...)
	if acts := h.request(1, 0); len(acts) != 1 || acts[0].Kind != ActSend {
		t.Fatalf("want a send: %+v", acts)
	}
	h.now += 10
	if acts := h.do(drain); closes(acts) != 1 {
		t.Errorf("on the notice: %+v", acts)
	}
	h.now += 300
	end := Event{Kind: EvAttemptEnded, Request: 1, Server: 100, Outcome: OK, Elapsed: 310, RequestEnded: true}
	if acts := h.do(end); closes(acts) != 1 {
		t.Errorf("on the last outcome: %+v", acts)
	}
	last, closed := h.now, 0
	for ; h.now < last+set.Safety.DrainCloseTime-1; h.now += 10 {
		closed += closes(h.do(Event{Kind: EvTimer, Token: h.b.timerToken}))
	}
	if closed != 1 {
		t.Errorf("closed %d times by timer, want once", closed)
	}
	for range 100 {
		h.now += 50
		closed += closes(h.do(Event{Kind: EvTimer, Token: h.b.timerToken}))
	}
	if closed != 1 || len(h.b.closingIdle) != 0 {
		t.Errorf("closed %d times in all, %d still listed", closed, len(h.b.closingIdle))
	}
}

// TestReadyAgainKeepsIdleConnections: a server that is ready again before the second close keeps its
// connections; one that is removed does not.
func TestReadyAgainKeepsIdleConnections(t *testing.T) {
	set := plain()
	set.Safety.DrainCloseTime = 1500
	for _, state := range []ServerState{Ready, Removed} {
		h := start(t, set, ids(2)...)
		for _, st := range []ServerState{Draining, state} {
			h.do(Event{Kind: EvServerList, List: ListDelta, Servers: []ServerEntry{{ID: 100, State: st}}})
		}
		h.now += 1000
		if n := closes(h.do(Event{Kind: EvTimer, Token: h.b.timerToken})); (n == 1) != (state == Removed) {
			t.Errorf("state %d: closed %d times", state, n)
		}
	}
}

// TestRemovedServersAreForgotten: nothing is kept of servers and requests that are gone for good.
func TestRemovedServersAreForgotten(t *testing.T) {
	set := plain()
	set.Safety.DrainCloseTime = 1500
	h := start(t, set)
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
		t.Errorf("%d servers known, %d live, %d to be closed", len(h.b.servers), len(h.b.usable), len(h.b.closingIdle))
	}
	if len(h.b.requests) != 0 || len(h.b.freeRequests) > 100 || h.b.recentRequests.Len() > 20000 {
		t.Errorf("%d requests held, %d spare, %d taken", len(h.b.requests), len(h.b.freeRequests), h.b.recentRequests.Len())
	}
}
