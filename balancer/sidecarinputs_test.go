package balancer

import (
	"reflect"
	"testing"
)

// TestNoServerRejectsAtOnce: with RejectWithoutServers a request ends at once if there is no server: a new
// one, one that is queued when the last server is removed, and one whose only attempt was not executed.
func TestNoServerRejectsAtOnce(t *testing.T) {
	set := testSettings()
	set.Limits.RejectWithoutServers, set.Limits.MaxAttempts = true, 3
	h := newHarness(t, set)
	for class := range set.Classes {
		got := h.request(uint32(class+1), uint16(class))
		if len(got) != 1 || got[0].Kind != ActReject || got[0].Delay <= 0 {
			t.Fatalf("class %d with no server: actions %+v, want one reject with a delay", class, got)
		}
	}
	h = newHarness(t, set, serverEntries(1)...)
	queuedID := uint32(0)
	sent := map[uint32]bool{}
	for id := uint32(10); id < 40 && queuedID == 0; id++ {
		sent[id] = len(h.request(id, 0)) > 0
		if !sent[id] {
			queuedID = id
		}
	}
	if queuedID == 0 {
		t.Fatal("no request is queued: all were sent to the server")
	}
	rejected := false
	for _, a := range h.do(Event{Kind: EvServerList, List: ListFull}) {
		if a.Kind == ActReject && a.Request == queuedID {
			rejected = true
		}
	}
	if !rejected {
		t.Errorf("request %d is still queued although no server is left", queuedID)
	}
	got := h.do(Event{Kind: EvAttemptEnded, Request: 10, Server: 100, Outcome: ConnectFailed, Elapsed: 1})
	if len(got) != 1 || got[0].Kind != ActReject || got[0].Request != 10 {
		t.Errorf("a request that never ran, with no server left: actions %+v, want a reject", got)
	}
	set.Limits.RejectWithoutServers = false
	if got := newHarness(t, set).request(1, 0); len(got) != 0 {
		t.Errorf("RejectWithoutServers false: actions %+v, want none", got)
	}
}

// TestNotRepeatableRequestEnds: a request whose body cannot be sent again has no second attempt, whatever its
// class allows. It is rejected only if a retry by the client is safe.
func TestNotRepeatableRequestEnds(t *testing.T) {
	for _, c := range []struct {
		name    string
		class   uint16
		outcome Outcome
		want    ActionKind
	}{
		{"unsafe that never ran", 2, ConnectFailed, ActReject},
		{"unsafe that may have run", 2, Reset, ActFail},
		{"keyed that may have run", 1, Reset, ActFail},
		{"safe that may have run", 0, Reset, ActReject},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, testSettings(), serverEntries(4)...)
			sent := h.request(1, c.class)
			if len(sent) != 1 || sent[0].Kind != ActSend {
				t.Fatalf("actions %+v, want a send", sent)
			}
			got := h.do(Event{Kind: EvAttemptEnded, Request: 1, Server: sent[0].Server, Outcome: c.outcome, Elapsed: 5, NotRepeatable: true})
			if len(got) != 1 || got[0].Kind != c.want {
				t.Errorf("actions %+v, want only kind %d", got, c.want)
			}
		})
	}
}

// TestMaxRequestsChanges: a new limit of open requests applies from its event on.
func TestMaxRequestsChanges(t *testing.T) {
	h := newHarness(t, testSettings(), serverEntries(8)...)
	h.do(Event{Kind: EvMaxRequests, MaxRequests: 1})
	if got := h.request(1, 0); len(got) != 1 || got[0].Kind != ActSend {
		t.Fatalf("first request: actions %+v, want a send", got)
	}
	if got := h.request(2, 0); len(got) != 1 || got[0].Kind != ActReject {
		t.Errorf("second request under a limit of one: actions %+v, want a reject", got)
	}
	h.do(Event{Kind: EvMaxRequests, MaxRequests: 3})
	if got := h.request(3, 0); len(got) != 1 || got[0].Kind != ActSend {
		t.Errorf("third request under a limit of three: actions %+v, want a send", got)
	}
}

// TestLongLivedStreamsAreNotInFlight: long-lived streams do not count against the concurrency limit, are
// distributed evenly, do not count with their duration as latencies, and end with their attempt. A stream that
// fails counts as a failure of its server.
func TestLongLivedStreamsAreNotInFlight(t *testing.T) {
	set := testSettings()
	set.Classes[2].Streaming = true
	h := newHarness(t, set, serverEntries(4)...)
	servers := map[uint32]uint32{}
	open := map[uint32]int{}
	for id := uint32(1); id <= 400; id++ {
		sent := h.do(Event{Kind: EvRequest, Request: id, Class: 2, Deadline: h.now + 1e6, NotRepeatable: true})
		if len(sent) != 1 || sent[0].Kind != ActSend {
			t.Fatalf("stream %d: actions %+v, want a send", id, sent)
		}
		h.do(Event{Kind: EvFirstByte, Request: id, Server: sent[0].Server, LongLived: true})
		servers[id] = sent[0].Server
		open[sent[0].Server]++
		h.now += 10
	}
	if h.b.inFlight != 0 {
		t.Errorf("%d requests in flight, want 0", h.b.inFlight)
	}
	for server, n := range open {
		if n < 90 || n > 110 {
			t.Errorf("server %d has %d of 400 streams at 4 servers, want 90 to 110", server, n)
		}
	}
	meanRatio := h.b.meanRatio
	h.now += 60_000
	for id := uint32(1); id <= 200; id++ {
		h.do(Event{Kind: EvAttemptEnded, Request: id, Server: servers[id], Outcome: OK, Elapsed: 60_000, RequestEnded: true})
	}
	if h.b.meanRatio != meanRatio || h.b.inFlight != 0 {
		t.Errorf("mean ratio %v, was %v; %d requests in flight, want 0", h.b.meanRatio, meanRatio, h.b.inFlight)
	}
	left := 0
	for _, s := range h.b.usable {
		left += s.longLivedStreams
	}
	if left != 200 || len(h.b.requests) != 200 {
		t.Errorf("%d streams and %d requests are left, want 200 of each", left, len(h.b.requests))
	}
	s := h.b.servers[servers[201]]
	before := s.failureRun
	h.do(Event{Kind: EvAttemptEnded, Request: 201, Server: servers[201], Outcome: Reset, Elapsed: 70_000, RequestEnded: true})
	if s.failureRun <= before {
		t.Errorf("a stream that was reset: failure run %v, was %v", s.failureRun, before)
	}
	got := h.do(Event{Kind: EvAttemptEnded, Request: 202, Server: servers[202], Outcome: NotExecuted, Elapsed: 1, NotRepeatable: true})
	if len(got) != 1 || got[0].Kind != ActReject {
		t.Errorf("a stream that was rejected: actions %+v, want a reject", got)
	}
	if again := h.do(Event{Kind: EvFirstByte, Request: 203, Server: servers[203], LongLived: true}); len(again) != 0 || h.b.servers[servers[203]].longLivedStreams < 0 {
		t.Error("a second first byte of a stream must have no effect")
	}
}

// TestShedRequestIsRejected: a request that the degradation level of the sidecar sheds is rejected at once,
// whatever capacity there is, and does not change what was learned.
func TestShedRequestIsRejected(t *testing.T) {
	for class := range uint16(3) {
		h := newHarness(t, testSettings(), serverEntries(2)...)
		before, classes := h.b.arrivalRate, append([]classState(nil), h.b.classes...)
		got := h.do(Event{Kind: EvRequest, Request: 1, Class: class, Deadline: h.now + 1000, Shed: true})
		if len(got) != 1 || got[0].Kind != ActReject || got[0].Request != 1 || got[0].Delay <= 0 {
			t.Fatalf("class %d: actions %+v, want a reject with a delay", class, got)
		}
		if h.b.arrivalRate != before || !reflect.DeepEqual(h.b.classes, classes) || len(h.b.requests) != 0 || h.b.recentRequests.CountSince(0) != 0 {
			t.Errorf("class %d: the shed request changed the learned state", class)
		}
		if got := h.request(2, class); len(got) != 1 || got[0].Kind != ActSend {
			t.Errorf("class %d: next request: actions %+v, want a send", class, got)
		}
	}
}

// TestEjectedBeforeAnyIsMeasured: a server that is ejected before any server is measured gets trial requests
// according to the send rate, and is no longer ejected after seconds. No other server has a load yet that its
// minimum load could be a share of.
func TestEjectedBeforeAnyIsMeasured(t *testing.T) {
	h := newHarness(t, testSettings(), serverEntries(4)...)
	id, burst := uint32(0), []Action(nil)
	for range 40 { // all are sent at once, and those at the first server fail
		id++
		burst = append(burst, h.request(id, 0)...)
	}
	h.now += 600
	for _, a := range burst {
		out := OK
		if a.Server == 100 {
			out = Error
		}
		h.do(Event{Kind: EvAttemptEnded, Request: a.Request, Server: a.Server, Outcome: out, Elapsed: 20, RequestEnded: true})
	}
	s := h.b.servers[100]
	if !s.ejected || h.b.measuredCount > 1 {
		t.Fatalf("%d requests in flight: ejected %v, %d servers measured", len(burst), s.ejected, h.b.measuredCount)
	}
	for trials := 0; s.ejected; {
		h.now += 10 // 100 requests a second
		id++
		for _, a := range h.request(id, 0) {
			if a.Kind == ActSend {
				h.do(Event{Kind: EvAttemptEnded, Request: id, Server: a.Server, Outcome: OK, Elapsed: 20})
			}
			if a.Server == 100 {
				trials++
			}
		}
		if h.now > 6000 {
			t.Fatalf("ejected for 4.4 s, with %d trial requests", trials)
		}
	}
}

// TestReplicasOfASubset: a sidecar whose list is a subset reports how many replicas share these servers.
// The fewer these are, the more requests each may have in flight.
func TestReplicasOfASubset(t *testing.T) {
	set := testSettings()
	set.Replicas, set.Tenants = 50, []Tenant{{Name: "t", Quota: 100}}
	h := newHarness(t, set, serverEntries(10)...)
	if h.b.initialLimit != minConcurrency {
		t.Errorf("initial limit %v with 50 replicas at 10 servers, want %v", h.b.initialLimit, minConcurrency)
	}
	h.do(Event{Kind: EvServerList, List: ListDelta, Replicas: 2})
	if h.b.initialLimit != initialConcurrency*10/2 || h.b.tenantQuotas[0].Rate != 2 {
		t.Errorf("initial limit %v with 2 replicas; tenant quota %v, want that of one of 50 replicas", h.b.initialLimit, h.b.tenantQuotas[0].Rate)
	}
	h.do(Event{Kind: EvServerList, List: ListDelta, Replicas: 4, Rank: 3})
	if h.b.settings.Replicas != 4 || h.b.settings.Rank != 2 || h.b.homes[0].homeShare != 0 || h.b.homes[5].homeShare != 1 {
		t.Errorf("third of 4 replicas: rank %d, home share of the first server %v, of the sixth %v", h.b.settings.Rank, h.b.homes[0].homeShare, h.b.homes[5].homeShare)
	}
	h.do(Event{Kind: EvServerList, List: ListDelta, Replicas: 2})
	h.do(Event{Kind: EvServerList, List: ListDelta, Replicas: -1, Rank: -1})
	if h.b.settings.Replicas != 2 {
		t.Errorf("%d replicas after an event with invalid Replicas, want 2", h.b.settings.Replicas)
	}
}
