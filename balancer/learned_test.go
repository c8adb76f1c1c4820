package balancer

import (
	"math"
	"reflect"
	"testing"
)

// newTrainedHarness returns a harness whose balancer has run for 40 s: server 100 is fast, 101 is slow, 102 fails.
func newTrainedHarness(t *testing.T, entries ...ServerEntry) *harness {
	t.Helper()
	h := newHarness(t, testSettings(), entries...)
	for id := uint32(1); id <= 4000; id++ {
		h.now += 10
		attempt := uint16(0)
		for pending := h.request(id, uint16(id%3)); len(pending) > 0; {
			a := pending[0]
			if pending = pending[1:]; a.Kind != ActSend {
				continue
			}
			ev := Event{Kind: EvAttemptEnded, Request: a.Request, Server: a.Server, Attempt: attempt, Elapsed: 30}
			attempt++
			switch a.Server {
			case 101:
				ev.Elapsed = 200
			case 102:
				ev.Outcome = ConnectFailed
			}
			pending = append(pending, h.do(ev)...)
		}
	}
	if h.b.EjectedServers() != 1 || h.b.measuredCount < 2 {
		t.Fatalf("%d servers ejected, %d measured; want 1 and at least 2", h.b.EjectedServers(), h.b.measuredCount)
	}
	return h
}

// importState returns a balancer that starts with the state that another one has learned.
func importState(t *testing.T, m LearnedState, now float64, entries ...ServerEntry) *Balancer {
	t.Helper()
	b, err := New(testSettings(), 7, now)
	if err != nil {
		t.Fatal(err)
	}
	b.Import(m)
	b.Handle(now, &Event{Kind: EvServerList, List: ListFull, Servers: entries}, nil)
	return b
}

// TestImportDecidesAsTheOriginal: a balancer that imports a state of age 0 has the same loads, ejected server
// and concurrency limit as the original, and chooses the same servers.
func TestImportDecidesAsTheOriginal(t *testing.T) {
	entries := serverEntries(6)
	h := newTrainedHarness(t, entries...)
	b := importState(t, h.b.Export(), h.now, entries...)
	for _, e := range entries {
		s, o := b.servers[e.ID], h.b.servers[e.ID]
		if s.ejected != o.ejected || math.Abs(b.currentLoad(s)-h.b.currentLoad(o)) > 1e-9 || s.latencyRatio != o.latencyRatio || s.failureRun != o.failureRun {
			t.Errorf("server %d: ejected %v, load %v, latency ratio %v; was %v, %v, %v", e.ID, s.ejected, b.currentLoad(s), s.latencyRatio, o.ejected, h.b.currentLoad(o), o.latencyRatio)
		}
	}
	if math.Abs(b.concurrencyLimit-h.b.concurrencyLimit) > 1e-9 || b.meanRatio != h.b.meanRatio || math.Abs(b.baseRatio/h.b.baseRatio-1) > 2*baseRatioDrift || b.EjectedServers() != 1 {
		t.Errorf("concurrency limit %v, mean ratio %v, base ratio %v; was %v, %v, %v", b.concurrencyLimit, b.meanRatio, b.baseRatio, h.b.concurrencyLimit, h.b.meanRatio, h.b.baseRatio)
	}
	if again := b.Export(); len(again.Servers) != len(h.b.Export().Servers) || !reflect.DeepEqual(again.Classes, h.b.Export().Classes) {
		t.Errorf("the state exported again differs: %+v", again)
	}
	sent := func(b *Balancer, now float64) (got []uint32) { // with full credit and no known connection
		for _, s := range b.usable {
			s.connected, s.lastSent, s.lastReceived, s.loadUpdateAt = false, 0, 0, math.Inf(1)
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

// TestImportIsOfOneIncarnation: imported state does not apply to a server that has restarted since, and a server
// that warms up continues to.
func TestImportIsOfOneIncarnation(t *testing.T) {
	entries := serverEntries(6)
	h := newTrainedHarness(t, entries...)
	m := h.b.Export()
	next := append([]ServerEntry(nil), entries...)
	next[0].StartedAt = h.now - 100     // restarted, still warming up
	next[2].StartedAt = h.now - 1000000 // it was ejected; restarted, no longer warming up
	next = append(next, ServerEntry{ID: 900, Weight: 1})
	b := importState(t, m, h.now, next...)
	for _, n := range []uint32{100, 102, 900} {
		if s := b.servers[n]; s.measured || s.ejected || s.latencyRatio != 0 || s.maxLoad != 0 || s.warmingUp != (n == 100) {
			t.Errorf("server %d: %+v", n, s)
		}
	}
	if s := b.servers[101]; !s.measured || s.latencyRatio == 0 {
		t.Errorf("server 101: measured %v, latency ratio %v; want both", s.measured, s.latencyRatio)
	}
	if b.EjectedServers() != 0 || len(b.learnedServers) != 0 && b.learnedServers[100].ID != 0 {
		t.Errorf("%d servers ejected, %d with imported state left", b.EjectedServers(), len(b.learnedServers))
	}
	// A later list has the same incarnation, and what was learned in between stays.
	b.servers[101].latencyRatio = 0.123
	b.Handle(h.now+50, &Event{Kind: EvServerList, List: ListFull, Servers: next}, nil)
	if b.servers[101].latencyRatio != 0.123 {
		t.Error("the imported state was applied a second time")
	}
}

// TestFirstServerAfterNone: a replica that starts with no server and no learned state sends to the first
// server as soon as it is listed.
func TestFirstServerAfterNone(t *testing.T) {
	h := newHarness(t, testSettings())
	h.now += 300
	h.do(Event{Kind: EvServerList, List: ListDelta, Servers: serverEntries(1)})
	h.now += 5
	if got := h.request(1, 0); len(got) != 1 || got[0].Kind != ActSend {
		t.Errorf("actions %+v, want a send; concurrency limit %v", got, h.b.concurrencyLimit)
	}
}

// TestImportOfNothing: importing an empty state is the same as importing none.
func TestImportOfNothing(t *testing.T) {
	a := importState(t, LearnedState{}, 5000, serverEntries(4)...)
	o := newHarness(t, testSettings(), serverEntries(4)...).b
	if a.concurrencyLimit != o.concurrencyLimit || !math.IsInf(a.baseRatio, 1) || a.measuredCount != 0 || a.initialLimit != o.initialLimit {
		t.Errorf("concurrency limit %v, base ratio %v, %d servers measured", a.concurrencyLimit, a.baseRatio, a.measuredCount)
	}
}
