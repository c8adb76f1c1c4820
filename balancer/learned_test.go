package balancer

import (
	"math"
	"reflect"
	"testing"
)

// taught returns a balancer that has served for 40 s: server 100 is fast, 101 is slow and 102 fails.
func taught(t *testing.T, entries ...ServerEntry) *harness {
	t.Helper()
	h := start(t, plain(), entries...)
	for id := uint32(1); id <= 4000; id++ {
		h.now += 10
		tries := uint16(0)
		for list := h.request(id, uint16(id%3)); len(list) > 0; {
			a := list[0]
			if list = list[1:]; a.Kind != ActSend {
				continue
			}
			ev := Event{Kind: EvAttemptEnded, Request: a.Request, Server: a.Server, Attempt: tries, Elapsed: 30}
			tries++
			switch a.Server {
			case 101:
				ev.Elapsed = 200
			case 102:
				ev.Outcome = ConnectFailed
			}
			list = append(list, h.do(ev)...)
		}
	}
	if h.b.EjectedServers() != 1 || h.b.measuredCount < 2 {
		t.Fatalf("%d ejected, %d measured", h.b.EjectedServers(), h.b.measuredCount)
	}
	return h
}

// given returns a balancer that starts with what another has learned.
func given(t *testing.T, m LearnedState, now float64, entries ...ServerEntry) *Balancer {
	t.Helper()
	b, err := New(plain(), 7, now)
	if err != nil {
		t.Fatal(err)
	}
	b.Import(m)
	b.Handle(now, &Event{Kind: EvServerList, List: ListFull, Servers: entries}, nil)
	return b
}

// TestImportDecidesAsTheOriginal: at age 0 what was learned has the same effects: the same loads, ejected
// server and concurrency limit, and the same choice.
func TestImportDecidesAsTheOriginal(t *testing.T) {
	entries := ids(6)
	h := taught(t, entries...)
	b := given(t, h.b.Export(), h.now, entries...)
	for _, e := range entries {
		s, o := b.servers[e.ID], h.b.servers[e.ID]
		if s.ejected != o.ejected || math.Abs(b.currentLoad(s)-h.b.currentLoad(o)) > 1e-9 || s.latencyRatio != o.latencyRatio || s.failureRun != o.failureRun {
			t.Errorf("server %d: ejected %v, load %v, latency ratio %v; was %v, %v, %v", e.ID, s.ejected, b.currentLoad(s), s.latencyRatio, o.ejected, h.b.currentLoad(o), o.latencyRatio)
		}
	}
	if math.Abs(b.concurrencyLimit-h.b.concurrencyLimit) > 1e-9 || b.meanRatio != h.b.meanRatio || math.Abs(b.baseRatio/h.b.baseRatio-1) > 2*baseRatioDrift || b.EjectedServers() != 1 {
		t.Errorf("concurrency limit %v, typical %v, calm %v; was %v, %v, %v", b.concurrencyLimit, b.meanRatio, b.baseRatio, h.b.concurrencyLimit, h.b.meanRatio, h.b.baseRatio)
	}
	if again := b.Export(); len(again.Servers) != len(h.b.Export().Servers) || !reflect.DeepEqual(again.Classes, h.b.Export().Classes) {
		t.Errorf("exported again: %+v", again)
	}
	sent := func(b *Balancer, now float64) (got []uint32) { // all credit is full by then, and no connection is known
		for _, s := range b.usable {
			s.connected, s.lastSent, s.lastHeard, s.loadUpdateAt = false, 0, 0, math.Inf(1)
			b.refillCredit(s)
		}
		for id := uint32(9001); id <= 9004; id++ {
			for _, a := range b.Handle(now, &Event{Kind: EvRequest, Request: id, Class: 2, Deadline: now + 1000}, nil) {
				if a.Kind == ActSend {
					got = append(got, a.Server)
				}
			}
		}
		return got
	}
	if a, o := sent(b, h.now+1000), sent(h.b, h.now+1000); len(a) == 0 || !reflect.DeepEqual(a, o) {
		t.Errorf("sent to %v, the original to %v", a, o)
	}
}

// TestImportIsOfOneIncarnation: nothing counts of a server that has started since or that was not learned;
// one that warms up goes on to.
func TestImportIsOfOneIncarnation(t *testing.T) {
	entries := ids(6)
	h := taught(t, entries...)
	m := h.b.Export()
	next := append([]ServerEntry(nil), entries...)
	next[0].StartedAt = h.now - 100     // restarted, warming up
	next[2].StartedAt = h.now - 1000000 // started anew, warm by now; it was ejected
	next = append(next, ServerEntry{ID: 900, Weight: 1})
	b := given(t, m, h.now, next...)
	for _, n := range []uint32{100, 102, 900} {
		if s := b.servers[n]; s.measured || s.ejected || s.latencyRatio != 0 || s.maxLoad != 0 || s.warmingUp != (n == 100) {
			t.Errorf("server %d: %+v", n, s)
		}
	}
	if s := b.servers[101]; !s.measured || s.latencyRatio == 0 {
		t.Errorf("server 101: measured %v, pace %v", s.measured, s.latencyRatio)
	}
	if b.EjectedServers() != 0 || len(b.learnedServers) != 0 && b.learnedServers[100].ID != 0 {
		t.Errorf("%d ejected, %d not named yet", b.EjectedServers(), len(b.learnedServers))
	}
	// A later list names the same incarnation, and what is known by then stays.
	b.servers[101].latencyRatio = 0.123
	b.Handle(h.now+50, &Event{Kind: EvServerList, List: ListFull, Servers: next}, nil)
	if b.servers[101].latencyRatio != 0.123 {
		t.Error("remembered once more")
	}
}

// TestFirstServerAfterNone: a replica that began without a server and without learned state sends to the
// first server at once.
func TestFirstServerAfterNone(t *testing.T) {
	h := start(t, plain())
	h.now += 300
	h.do(Event{Kind: EvServerList, List: ListDelta, Servers: ids(1)})
	h.now += 5
	if got := h.request(1, 0); len(got) != 1 || got[0].Kind != ActSend {
		t.Errorf("%+v, concurrency limit %v", got, h.b.concurrencyLimit)
	}
}

// TestImportOfNothing: importing an empty state is the same as importing none.
func TestImportOfNothing(t *testing.T) {
	a := given(t, LearnedState{}, 5000, ids(4)...)
	o := start(t, plain(), ids(4)...).b
	if a.concurrencyLimit != o.concurrencyLimit || !math.IsInf(a.baseRatio, 1) || a.measuredCount != 0 || a.initialLimit != o.initialLimit {
		t.Errorf("concurrency limit %v, calm %v, %d measured", a.concurrencyLimit, a.baseRatio, a.measuredCount)
	}
}
