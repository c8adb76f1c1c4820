package balancer

import (
	"math"
	"testing"
)

// TestEjectedServerGetsTrialRequests: an ejected server without an open connection gets trial requests while
// others have capacity, or it would never return; a request that must not run twice is not risked on it.
func TestEjectedServerGetsTrialRequests(t *testing.T) {
	for class, want := range []bool{true, false, false} {
		set := plain()
		set.Limits.ConnIdleTimeout = 1000
		h := start(t, set, ids(2)...)
		s := h.b.usable[0]
		s.ejected, s.measured, s.load, s.failureRun = true, true, 0.1, 3
		h.now += 20000
		h.b.usable[1].connected, h.b.usable[1].lastHeard = true, h.now
		acts := h.request(1, uint16(class))
		if len(acts) != 1 || acts[0].Kind != ActSend || (acts[0].Server == s.ID) != want {
			t.Errorf("class %d: %+v, a trial %v", class, acts, want)
		}
	}
}

// TestSpilloverPrefersConnectedServers: where servers admit few connections, a replica uses, beside its home,
// servers that have answered it while they are idle. Replicas that use all in turn would get none.
func TestSpilloverPrefersConnectedServers(t *testing.T) {
	set := plain()
	set.Replicas, set.Rank = 40, 3
	h := start(t, set, ids(20)...)
	met := map[uint32]bool{}
	for id := uint32(1); id <= 120; id++ {
		var out []Action
		for k := range uint32(2) { // two requests at a time need the home and one more
			for _, a := range h.request(1000*k+id, 0) {
				if a.Kind == ActSend {
					out = append(out, a)
				}
			}
		}
		h.now += 40
		for _, a := range out {
			met[a.Server] = true
			h.do(Event{Kind: EvAttemptEnded, Request: a.Request, Server: a.Server, Outcome: OK, Elapsed: 40, RequestEnded: true})
		}
	}
	if len(met) > 4 {
		t.Errorf("%d of 20 servers met with two requests in flight at a time", len(met))
	}
}

// TestLostZoneIsAvoided: when the own zone is lost, not all of its servers are ejected, and its homes are not
// tried again and again while another zone responds.
func TestLostZoneIsAvoided(t *testing.T) {
	entries := ids(12)
	for i := range entries {
		entries[i].Zone = uint8(i % 2)
	}
	h := start(t, plain(), entries...)
	lost := 0
	for id := uint32(1); id <= 200; id++ {
		for queue := h.request(id, 0); len(queue) > 0; queue = queue[1:] {
			a := queue[0]
			if a.Kind != ActSend {
				continue
			}
			ev := Event{Kind: EvAttemptEnded, Request: id, Server: a.Server, Outcome: OK, Elapsed: 20, RequestEnded: true}
			if (a.Server-100)%2 == 0 {
				if id > 100 {
					lost++
				}
				ev.Outcome, ev.RequestEnded = ConnectFailed, false
			}
			h.now += 10
			for k := range h.b.requests[id].attempts {
				ev.Attempt = uint16(k)
			}
			queue = append(queue, h.do(ev)...)
		}
	}
	if lost > 10 {
		t.Errorf("%d of the last 100 requests still went to the lost zone", lost)
	}
}

// TestInFlightOutweighsOldCredit: credit from before does not outweigh requests in flight. A slow server
// would gather both.
func TestInFlightOutweighsOldCredit(t *testing.T) {
	h := start(t, plain(), ids(2)...)
	for _, s := range h.b.usable {
		s.measured, s.load, s.loadUpdateAt = true, 40, math.Inf(1)
	}
	h.b.updateTotals()
	slow, quick := h.b.usable[0], h.b.usable[1]
	slow.inFlight, slow.credit, slow.creditedAt = 5, 40, h.now
	quick.inFlight, quick.credit, quick.creditedAt = 3, 3, h.now
	slow.lastHeard, quick.lastHeard = h.now, h.now
	if got := h.b.chooseServer(&request{deadline: h.now + 1000, targetAt: h.now + 500}); got != quick {
		t.Errorf("chose server %d with %d requests in flight", got.ID, got.inFlight)
	}
}

// TestFailingConnectsKeepToOpenConnections: while new connections fail, requests go to servers with an open
// one, and only those are probed.
func TestFailingConnectsKeepToOpenConnections(t *testing.T) {
	for _, probes := range []bool{false, true} {
		set := plain()
		set.Limits.CanProbe, set.QueueLengthField, set.Limits.StreamsPerConn, set.Limits.ConnIdleTimeout = probes, 1, 100, 30000
		h := start(t, set, ids(40)...)
		h.b.connectFailures = 0.5
		for i, s := range h.b.usable {
			s.connected, s.lastHeard = i%8 == 0, h.now
		}
		astray := 0
		for id := uint32(1); id <= 50; id++ {
			h.now += 20
			queue := h.request(id, 0)
			for ; len(queue) > 0; queue = queue[1:] {
				switch a := queue[0]; a.Kind {
				case ActProbe:
					queue = append(queue, h.do(Event{Kind: EvProbeResult, Server: a.Server, Outcome: OK, LoadReportLen: 1})...)
				case ActSend:
					if (a.Server-100)%8 != 0 {
						astray++
					}
					h.b.connectFailures = 0.5
					queue = append(queue, h.do(Event{Kind: EvAttemptEnded, Request: id, Server: a.Server, Outcome: OK, Elapsed: 5, RequestEnded: true})...)
				}
			}
		}
		if astray > 5 {
			t.Errorf("probes %v: %d of 50 requests needed a new connection", probes, astray)
		}
	}
}

// TestTimedOutConnectionsDoNotCount: connections are closed when idle, so a server that responded long ago
// has none.
func TestTimedOutConnectionsDoNotCount(t *testing.T) {
	set := plain()
	set.Limits.ConnIdleTimeout, set.Limits.StreamsPerConn = 5000, 1
	h := start(t, set, ids(1)...)
	s := h.b.usable[0]
	s.connected, s.lastHeard = true, h.b.now
	if !h.b.isConnected(s) {
		t.Error("a fresh idle connection is not counted on")
	}
	if s.inFlight = 1; h.b.isConnected(s) {
		t.Error("a connection that carries one request is counted on for a second")
	}
	if s.inFlight, h.b.now = 0, h.b.now+5001; h.b.isConnected(s) {
		t.Error("a connection idle for too long is counted on")
	}
}

// TestSlowHomeServerGetsLess: servers of different speed do not get equal shares; a slow home server keeps
// only a part of its requests.
func TestSlowHomeServerGetsLess(t *testing.T) {
	h := start(t, plain(), ids(4)...)
	took := func(server uint32) float64 {
		if server == 100 {
			return 150
		}
		return 50
	}
	got := 0
	for id := uint32(1); id <= 600; id++ {
		h.now += 20
		for _, a := range h.request(id, 0) {
			if a.Kind == ActSend {
				if a.Server == 100 && id > 200 {
					got++
				}
				h.do(Event{Kind: EvAttemptEnded, Request: id, Server: a.Server, Outcome: OK, Elapsed: took(a.Server), RequestEnded: true})
			}
		}
	}
	if got > 50 {
		t.Errorf("the server that is three times slower got %d of 400 requests, an even part is 100", got)
	}
}

// TestBackupsAreUsedLast: backups get requests only while every other server is ejected, fails in a run or is
// not there; the others are tried again.
func TestBackupsAreUsedLast(t *testing.T) {
	servers := ids(3)
	servers[2].Backup = true
	h := start(t, plain(), servers...)
	id, failing := uint32(0), false
	play := func(calls int) (primaries, backups int) {
		for range calls {
			id++
			h.now += 20
			for acts, tries := h.request(id, 0), 0; len(acts) == 1 && acts[0].Kind == ActSend; tries++ {
				ev := Event{Kind: EvAttemptEnded, Request: id, Attempt: uint16(tries), Server: acts[0].Server, Outcome: OK, Elapsed: 2, RequestEnded: true}
				if acts[0].Server == 102 {
					backups++
				} else if primaries++; failing {
					ev.Outcome, ev.RequestEnded = ConnectFailed, false
				}
				acts = h.do(ev)
			}
		}
		return primaries, backups
	}
	if primaries, backups := play(200); primaries == 0 || backups > 0 {
		t.Errorf("sound: %d requests to the others and %d to the backup", primaries, backups)
	}
	failing = true
	play(20)
	if primaries, backups := play(200); backups < 200 || primaries > 40 {
		t.Errorf("the others fail: %d requests to them and %d of 200 to the backup", primaries, backups)
	}
	if primaries, _ := play(2000); primaries == 0 {
		t.Error("the others are never tried again")
	}
	failing = false
	play(3000)
	if primaries, backups := play(200); primaries != 200 || backups > 0 {
		t.Errorf("sound again: %d requests to the others and %d to the backup", primaries, backups)
	}
	h.do(Event{Kind: EvServerList, List: ListFull, Servers: servers[2:]})
	if _, backups := play(20); backups != 20 {
		t.Errorf("alone it gets %d of 20 requests", backups)
	}
}
