package balancer

import (
	"math"
	"testing"
)

// TestEjectedServerGetsTrialRequests: an ejected server without an open connection gets trial requests while
// others have capacity, or it would never return; a request that must not run twice is not risked on it.
func TestEjectedServerGetsTrialRequests(t *testing.T) {
	for class, want := range []bool{true, false, false} {
		set := testSettings()
		set.Limits.ConnIdleTimeout = 1000
		h := newHarness(t, set, serverEntries(2)...)
		s := h.b.usable[0]
		s.ejected, s.measured, s.load, s.failureRun = true, true, 0.1, 3
		h.now += 20000
		h.b.usable[1].connected, h.b.usable[1].lastReceived = true, h.now
		acts := h.request(1, uint16(class))
		if len(acts) != 1 || acts[0].Kind != ActSend || (acts[0].Server == s.ID) != want {
			t.Errorf("class %d: actions %+v, want a trial request: %v", class, acts, want)
		}
	}
}

// TestSpilloverPrefersConnectedServers: beyond its home server, a replica uses idle servers that it is
// connected to. Servers accept few connections: replicas that used all servers in turn would get none.
func TestSpilloverPrefersConnectedServers(t *testing.T) {
	set := testSettings()
	set.Replicas, set.Rank = 40, 3
	h := newHarness(t, set, serverEntries(20)...)
	contacted := map[uint32]bool{}
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
			contacted[a.Server] = true
			h.do(Event{Kind: EvAttemptEnded, Request: a.Request, Server: a.Server, Outcome: OK, Elapsed: 40, RequestEnded: true})
		}
	}
	if len(contacted) > 4 {
		t.Errorf("%d of 20 servers contacted with two requests in flight at a time, want at most 4", len(contacted))
	}
}

// TestLostZoneIsAvoided: when the replica's own zone fails, not all of its servers are ejected. Its home
// servers must not be retried constantly while another zone responds.
func TestLostZoneIsAvoided(t *testing.T) {
	entries := serverEntries(12)
	for i := range entries {
		entries[i].Zone = uint8(i % 2)
	}
	h := newHarness(t, testSettings(), entries...)
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

// TestInFlightOutweighsOldCredit: saved credit does not outweigh requests in flight. Otherwise a slow server
// would accumulate both.
func TestInFlightOutweighsOldCredit(t *testing.T) {
	h := newHarness(t, testSettings(), serverEntries(2)...)
	for _, s := range h.b.usable {
		s.measured, s.load, s.loadUpdateAt = true, 40, math.Inf(1)
	}
	h.b.updateTotals()
	slow, quick := h.b.usable[0], h.b.usable[1]
	slow.inFlight, slow.credit, slow.creditedAt = 5, 40, h.now
	quick.inFlight, quick.credit, quick.creditedAt = 3, 3, h.now
	slow.lastReceived, quick.lastReceived = h.now, h.now
	if got := h.b.chooseServer(&request{deadline: h.now + 1000, targetAt: h.now + 500}); got != quick {
		t.Errorf("chose server %d with %d requests in flight, want %d with %d", got.ID, got.inFlight, quick.ID, quick.inFlight)
	}
}

// TestFailingConnectsUseOpenConnections: while new connections fail, only servers with an open connection are
// probed and sent requests.
func TestFailingConnectsUseOpenConnections(t *testing.T) {
	for _, probes := range []bool{false, true} {
		set := testSettings()
		set.Limits.CanProbe, set.QueueLengthField, set.Limits.StreamsPerConn, set.Limits.ConnIdleTimeout = probes, 1, 100, 30000
		h := newHarness(t, set, serverEntries(40)...)
		h.b.connectFailures = 0.5
		for i, s := range h.b.usable {
			s.connected, s.lastReceived = i%8 == 0, h.now
		}
		newConnections := 0
		for id := uint32(1); id <= 50; id++ {
			h.now += 20
			queue := h.request(id, 0)
			for ; len(queue) > 0; queue = queue[1:] {
				switch a := queue[0]; a.Kind {
				case ActProbe:
					queue = append(queue, h.do(Event{Kind: EvProbeResult, Server: a.Server, Outcome: OK, LoadReportLen: 1})...)
				case ActSend:
					if (a.Server-100)%8 != 0 {
						newConnections++
					}
					h.b.connectFailures = 0.5
					queue = append(queue, h.do(Event{Kind: EvAttemptEnded, Request: id, Server: a.Server, Outcome: OK, Elapsed: 5, RequestEnded: true})...)
				}
			}
		}
		if newConnections > 5 {
			t.Errorf("probes %v: %d of 50 requests needed a new connection", probes, newConnections)
		}
	}
}

// TestTimedOutConnectionsDoNotCount: connections are closed when idle, so a server that responded long ago
// counts as not connected.
func TestTimedOutConnectionsDoNotCount(t *testing.T) {
	set := testSettings()
	set.Limits.ConnIdleTimeout, set.Limits.StreamsPerConn = 5000, 1
	h := newHarness(t, set, serverEntries(1)...)
	s := h.b.usable[0]
	s.connected, s.lastReceived = true, h.b.now
	if !h.b.isConnected(s) {
		t.Error("a connection that was just used does not count as open")
	}
	if s.inFlight = 1; h.b.isConnected(s) {
		t.Error("a connection that carries one request counts as open for a second")
	}
	if s.inFlight, h.b.now = 0, h.b.now+5001; h.b.isConnected(s) {
		t.Error("a connection idle for longer than the timeout counts as open")
	}
}

// TestSlowHomeServerGetsLess: a slow home server gets only a part of the requests that an equal share would
// give it.
func TestSlowHomeServerGetsLess(t *testing.T) {
	h := newHarness(t, testSettings(), serverEntries(4)...)
	latency := func(server uint32) float64 {
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
				h.do(Event{Kind: EvAttemptEnded, Request: id, Server: a.Server, Outcome: OK, Elapsed: latency(a.Server), RequestEnded: true})
			}
		}
	}
	if got > 50 {
		t.Errorf("the server that is three times slower got %d of 400 requests, an equal share is 100", got)
	}
}

// TestBackupsAreUsedLast: backups get requests only while every other server is ejected, has a run of failures
// or is not listed. The other servers are still tried from time to time.
func TestBackupsAreUsedLast(t *testing.T) {
	servers := serverEntries(3)
	servers[2].Backup = true
	h := newHarness(t, testSettings(), servers...)
	id, failing := uint32(0), false
	sendRequests := func(requests int) (primaries, backups int) {
		for range requests {
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
	if primaries, backups := sendRequests(200); primaries == 0 || backups > 0 {
		t.Errorf("all servers respond: %d requests to the others and %d to the backup", primaries, backups)
	}
	failing = true
	sendRequests(20)
	if primaries, backups := sendRequests(200); backups < 200 || primaries > 40 {
		t.Errorf("the others fail: %d requests to them and %d of 200 to the backup", primaries, backups)
	}
	if primaries, _ := sendRequests(2000); primaries == 0 {
		t.Error("the others are never tried again")
	}
	failing = false
	sendRequests(3000)
	if primaries, backups := sendRequests(200); primaries != 200 || backups > 0 {
		t.Errorf("all servers respond again: %d requests to the others and %d to the backup", primaries, backups)
	}
	h.do(Event{Kind: EvServerList, List: ListFull, Servers: servers[2:]})
	if _, backups := sendRequests(20); backups != 20 {
		t.Errorf("the backup gets %d of 20 requests as the only server", backups)
	}
}
