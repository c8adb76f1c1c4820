package balancer

import (
	"math"
	"testing"

	"milletmast/internal/stats"
)

// TestRestartedServerWarmsUp: a restarted server gets neither its previous load nor a burst from all
// replicas at once.
func TestRestartedServerWarmsUp(t *testing.T) {
	warmingSends, sends := 0, 0
	for seed := range uint64(40) {
		set := testSettings()
		set.Replicas = 40
		b, _ := New(set, seed, 0)
		entries := serverEntries(3)
		entries[2].StartedAt = 999
		b.Handle(1000, &Event{Kind: EvServerList, List: ListCached, Servers: entries}, nil)
		for i := range 20 {
			now := 1000 + 50*float64(i)
			for _, a := range b.Handle(now, &Event{Kind: EvRequest, Request: uint32(i), Deadline: now + 900}, nil) {
				if a.Kind != ActSend {
					continue
				}
				sends++
				if a.Server == 102 {
					warmingSends++
				}
				b.Handle(now+10, &Event{Kind: EvAttemptEnded, Request: a.Request, Server: a.Server, Elapsed: 10, RequestEnded: true}, nil)
			}
		}
	}
	// An even share is 0.33 of the sends, and a server that has just started gets a fifth of that.
	if share := float64(warmingSends) / float64(sends); share > 0.2*0.33*1.5 {
		t.Errorf("the server that warms up got a share of %.3f of %d sends, want at most a fifth of an even share with some tolerance", share, sends)
	}
}

// TestWarmUpShareIsBounded: what a replica may send to a server that warms up rises with the server's age. It
// is a part of an even share of the replica's own requests, so that all replicas together stay below the
// capacity of one server.
func TestWarmUpShareIsBounded(t *testing.T) {
	entries := serverEntries(10)
	entries[9].StartedAt = 1000
	h := newHarness(t, testSettings(), entries...)
	s := h.b.servers[entries[9].ID]
	h.b.arrivalRate, h.b.sendRate = stats.SteadyRate(150, h.now), stats.SteadyRate(92, h.now) // servingCount is 9.2
	h.b.measuredCount, h.b.meanLoad = 1, 1e6
	for _, age := range []float64{0, 5000, 19999} {
		h.b.now = 1000 + age
		warm := 0.2 + 0.8*age/20000
		if got, most := h.b.currentLoad(s), warmUpMaxShare*10*warm; got > most+1e-9 || got < most/2 {
			t.Errorf("age %v: load %v, want %v", age, got, most)
		}
	}
	if h.b.now = 21001; h.b.currentLoad(s) < 1e5 {
		t.Error("the load is still bounded after the warm-up")
	}
}

// TestWarmUpShareInAnOverload: in an overload most requests are rejected, and the load of a server that warms
// up is a share of the send rate, not of the demand. If all servers warm up, it is a share of the demand, as
// there is no better measure.
func TestWarmUpShareInAnOverload(t *testing.T) {
	entries := serverEntries(10)
	entries[9].StartedAt = 1000
	h := newHarness(t, testSettings(), entries...)
	s := h.b.servers[entries[9].ID]
	h.b.arrivalRate, h.b.sendRate = stats.SteadyRate(1000, h.now), stats.SteadyRate(92, h.now)
	h.b.measuredCount, h.b.meanLoad = 1, 1e6
	h.b.now = 1000
	if got, want := h.b.currentLoad(s), warmUpMaxShare*10*0.2; math.Abs(got-want) > 1e-9 {
		t.Errorf("load %v, want %v", got, want)
	}
	for i := range entries {
		entries[i].StartedAt = 1000 + float64(i)
	}
	h = newHarness(t, testSettings(), entries...)
	h.b.arrivalRate, h.b.sendRate = stats.SteadyRate(1000, h.now), stats.SteadyRate(1, h.now)
	h.b.measuredCount, h.b.meanLoad = 1, 1e6
	s = h.b.servers[entries[9].ID]
	h.b.now = s.StartedAt
	if got, want := h.b.currentLoad(s), warmUpMaxShare*100*0.2; math.Abs(got-want) > 1e-9 {
		t.Errorf("with all servers warming up: load %v, want %v", got, want)
	}
}

// TestWarmingUpServerGetsItsShareFirst: one of many replicas seldom sends to each server. If each used a
// server that warms up only while all others hold one of its requests, the others would be overloaded.
func TestWarmingUpServerGetsItsShareFirst(t *testing.T) {
	entries, set := serverEntries(6), testSettings()
	set.Replicas, set.Zone = 12, 1 // no server is this replica's home
	h := newHarness(t, set, entries...)
	for _, s := range h.b.usable {
		s.connected = true
	}
	entries[5].StartedAt = h.now
	h.do(Event{Kind: EvServerList, List: ListFull, Servers: entries})
	warming := h.b.servers[entries[5].ID]
	send := func(id uint32, credit float64) uint32 {
		warming.credit = credit
		acts := h.request(id, 0)
		if len(acts) != 1 || acts[0].Kind != ActSend {
			t.Fatalf("actions %+v, want a send", acts)
		}
		h.do(Event{Kind: EvAttemptEnded, Request: id, Server: acts[0].Server, Outcome: OK, Elapsed: 20, RequestEnded: true})
		return acts[0].Server
	}
	if send(1, 0.9) == warming.ID {
		t.Error("a server that warms up was sent a request without the credit for one")
	}
	if send(2, 1) != warming.ID {
		t.Error("a request was not sent to the server that warms up, which has credit for it")
	}
	if warming.credit > 0 {
		t.Errorf("the credit of the server is %v after the request, want none left", warming.credit)
	}
}
