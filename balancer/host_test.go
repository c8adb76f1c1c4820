package balancer

import (
	"reflect"
	"testing"
)

// Where the host wishes so, a call is ended at once for want of any server: one that comes, one that waits when the
// last server goes, and one whose only attempt proves that it never ran.
func TestNoServerRefusesAtOnce(t *testing.T) {
	set := plain()
	set.Limits.RefuseEmpty, set.Limits.MaxAttempts = true, 3
	h := start(t, set)
	for class := range set.Classes {
		got := h.request(uint32(class+1), uint16(class))
		if len(got) != 1 || got[0].Kind != ActRefuse || got[0].After <= 0 {
			t.Fatalf("class %d with no server: %+v, want one refusal that tells a time", class, got)
		}
	}
	h = start(t, set, ids(1)...)
	waits := uint32(0)
	sent := map[uint32]bool{}
	for id := uint32(10); id < 40 && waits == 0; id++ {
		sent[id] = len(h.request(id, 0)) > 0
		if !sent[id] {
			waits = id
		}
	}
	if waits == 0 {
		t.Fatal("no call waits: the server took all of them")
	}
	refused := false
	for _, a := range h.do(Event{Kind: EvList, List: ListFull}) {
		if a.Kind == ActRefuse && a.Request == waits {
			refused = true
		}
	}
	if !refused {
		t.Errorf("call %d still waits though no server is left", waits)
	}
	got := h.do(Event{Kind: EvOutcome, Request: 10, Server: 100, Outcome: ConnectFailed, Took: 1})
	if len(got) != 1 || got[0].Kind != ActRefuse || got[0].Request != 10 {
		t.Errorf("a call that never ran, with no server left: %+v, want a refusal", got)
	}
	set.Limits.RefuseEmpty = false
	if got := start(t, set).request(1, 0); len(got) != 0 {
		t.Errorf("where it may wait for a server: %+v, want nothing yet", got)
	}
}

// A call whose bytes are gone has no second attempt, whatever its class allows; it is refused only where that is safe.
func TestSpentCallEnds(t *testing.T) {
	for _, c := range []struct {
		name    string
		class   uint16
		outcome Outcome
		want    ActionKind
	}{
		{"unsafe that never ran", 2, ConnectFailed, ActRefuse},
		{"unsafe that may have run", 2, Reset, ActFail},
		{"keyed that may have run", 1, Reset, ActFail},
		{"safe that may have run", 0, Reset, ActRefuse},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := start(t, plain(), ids(4)...)
			sent := h.request(1, c.class)
			if len(sent) != 1 || sent[0].Kind != ActSend {
				t.Fatalf("actions %+v, want a send", sent)
			}
			got := h.do(Event{Kind: EvOutcome, Request: 1, Server: sent[0].Server, Outcome: c.outcome, Took: 5, Spent: true})
			if len(got) != 1 || got[0].Kind != c.want {
				t.Errorf("actions %+v, want only kind %d", got, c.want)
			}
		})
	}
}

// The host's limit on open calls holds from when it is told.
func TestLimitMoves(t *testing.T) {
	h := start(t, plain(), ids(8)...)
	h.do(Event{Kind: EvLimit, MaxOpen: 1})
	if got := h.request(1, 0); len(got) != 1 || got[0].Kind != ActSend {
		t.Fatalf("first call: %+v, want a send", got)
	}
	if got := h.request(2, 0); len(got) != 1 || got[0].Kind != ActRefuse {
		t.Errorf("second call under a limit of one: %+v, want a refusal", got)
	}
	h.do(Event{Kind: EvLimit, MaxOpen: 3})
	if got := h.request(3, 0); len(got) != 1 || got[0].Kind != ActSend {
		t.Errorf("third call under a limit of three: %+v, want a send", got)
	}
}

// Streams that are bound take no room, are shared evenly, teach nothing by how long they last, and end with their attempt.
// One that breaks counts against its server.
func TestBoundStreamsTakeNoRoom(t *testing.T) {
	set := plain()
	set.Classes[2].Stream = true
	h := start(t, set, ids(4)...)
	servers := map[uint32]uint32{}
	open := map[uint32]int{}
	for id := uint32(1); id <= 400; id++ {
		sent := h.do(Event{Kind: EvRequest, Request: id, Class: 2, Due: h.now + 1e6, Spent: true})
		if len(sent) != 1 || sent[0].Kind != ActSend {
			t.Fatalf("stream %d: %+v, want a send", id, sent)
		}
		h.do(Event{Kind: EvFirst, Request: id, Server: sent[0].Server, Bound: true})
		servers[id] = sent[0].Server
		open[sent[0].Server]++
		h.now += 10
	}
	if h.b.out != 0 {
		t.Errorf("%d calls are counted out", h.b.out)
	}
	for server, n := range open {
		if n < 90 || n > 110 {
			t.Errorf("server %d has %d of 400 streams at 4 servers", server, n)
		}
	}
	typical := h.b.typical
	h.now += 60_000
	for id := uint32(1); id <= 200; id++ {
		h.do(Event{Kind: EvOutcome, Request: id, Server: servers[id], Outcome: OK, Took: 60_000, Done: true})
	}
	if h.b.typical != typical || h.b.out != 0 {
		t.Errorf("typical %v, was %v; %d out", h.b.typical, typical, h.b.out)
	}
	left := 0
	for _, s := range h.b.live {
		left += s.streams
	}
	if left != 200 || len(h.b.requests) != 200 {
		t.Errorf("%d streams and %d requests are left, want 200", left, len(h.b.requests))
	}
	s := h.b.byID[servers[201]]
	before := s.run
	h.do(Event{Kind: EvOutcome, Request: 201, Server: servers[201], Outcome: Reset, Took: 70_000, Done: true})
	if s.run <= before {
		t.Errorf("a stream that broke: run %v, was %v", s.run, before)
	}
	got := h.do(Event{Kind: EvOutcome, Request: 202, Server: servers[202], Outcome: Full, Took: 1, Spent: true})
	if len(got) != 1 || got[0].Kind != ActRefuse {
		t.Errorf("a stream that was refused: %+v, want a refusal", got)
	}
	if again := h.do(Event{Kind: EvFirst, Request: 203, Server: servers[203], Bound: true}); len(again) != 0 || h.b.byID[servers[203]].streams < 0 {
		t.Error("told twice")
	}
}

// A call that the host's level of service turns away is refused at once, whatever room there is, and leaves no trace in what the
// module has learned.
func TestShedByTheHost(t *testing.T) {
	for class := range uint16(3) {
		h := start(t, plain(), ids(2)...)
		before, classes := h.b.arrivals, append([]classState(nil), h.b.classes...)
		got := h.do(Event{Kind: EvRequest, Request: 1, Class: class, Due: h.now + 1000, Shed: true})
		if len(got) != 1 || got[0].Kind != ActRefuse || got[0].Request != 1 || got[0].After <= 0 {
			t.Fatalf("class %d: %+v", class, got)
		}
		if h.b.arrivals != before || !reflect.DeepEqual(h.b.classes, classes) || len(h.b.requests) != 0 || h.b.taken.CountSince(0) != 0 {
			t.Errorf("class %d: the module has learned from it", class)
		}
		if got := h.request(2, class); len(got) != 1 || got[0].Kind != ActSend {
			t.Errorf("class %d: the next one: %+v", class, got)
		}
	}
}

// A server that is cut before any is measured gets trial calls by the demand that there is, and is back within seconds: none of
// the others has a load yet from which a share could be taken.
func TestCutBeforeAnyIsMeasured(t *testing.T) {
	h := start(t, plain(), ids(4)...)
	id, burst := uint32(0), []Action(nil)
	for range 40 { // what comes first is out at once, and all that one server has fails
		id++
		burst = append(burst, h.request(id, 0)...)
	}
	h.now += 600
	for _, a := range burst {
		out := OK
		if a.Server == 100 {
			out = Error
		}
		h.do(Event{Kind: EvOutcome, Request: a.Request, Server: a.Server, Outcome: out, Took: 20, Done: true})
	}
	s := h.b.byID[100]
	if !s.cut || h.b.measured > 1 {
		t.Fatalf("%d calls out: cut %v, %d servers measured", len(burst), s.cut, h.b.measured)
	}
	for tried := 0; s.cut; {
		h.now += 10 // 100 calls a second
		id++
		for _, a := range h.request(id, 0) {
			if a.Kind == ActSend {
				h.do(Event{Kind: EvOutcome, Request: id, Server: a.Server, Outcome: OK, Took: 20})
			}
			if a.Server == 100 {
				tried++
			}
		}
		if h.now > 6000 {
			t.Fatalf("cut for 4.4 s, with %d trial calls", tried)
		}
	}
}

// A host that tells the module of a part of the servers only says how many copies share these: each may have that much more out.
func TestCopiesOfAPart(t *testing.T) {
	set := plain()
	set.Copies, set.Tenants = 50, []Tenant{{Name: "t", Quota: 100}}
	h := start(t, set, ids(10)...)
	if h.b.firstRoom != heldLeast {
		t.Errorf("room %v with 50 copies at 10 servers", h.b.firstRoom)
	}
	h.do(Event{Kind: EvList, List: ListDelta, Copies: 2})
	if h.b.firstRoom != heldFirst*10/2 || h.b.tenants[0].rate != 2 {
		t.Errorf("room %v with 2 copies, quota %v of one of 50", h.b.firstRoom, h.b.tenants[0].rate)
	}
	h.do(Event{Kind: EvList, List: ListDelta, Copies: 4, Rank: 3})
	if h.b.set.Copies != 4 || h.b.set.Rank != 2 || h.b.homes[0].home != 0 || h.b.homes[5].home != 1 {
		t.Errorf("third of 4 copies: rank %d, the first server's part %v, the sixth's %v", h.b.set.Rank, h.b.homes[0].home, h.b.homes[5].home)
	}
	h.do(Event{Kind: EvList, List: ListDelta, Copies: 2})
	h.do(Event{Kind: EvList, List: ListDelta, Copies: -1, Rank: -1})
	if h.b.set.Copies != 2 {
		t.Errorf("%d copies when nothing is told", h.b.set.Copies)
	}
}
