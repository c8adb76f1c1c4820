package balancer

import (
	"testing"
)

// TestSilentServerIsAbandoned: a server may hold a request and never respond. An attempt at a silent server is
// canceled while there is time for another one, and counts as a failure of the server. A server that responds
// to other requests is only slow, and the attempt stays open.
func TestSilentServerIsAbandoned(t *testing.T) {
	for _, c := range []struct {
		name     string
		class    uint16
		responds bool // to other requests
		tier     int
		ejected  bool
		want     bool // the attempt is canceled
	}{
		{"silent", 0, false, 0, false, true}, {"slow", 0, true, 0, false, false}, {"keyed", 1, false, 0, false, false},
		{"inner", 0, false, 1, false, false}, {"inner trial", 0, false, 1, true, true},
	} {
		set := testSettings()
		set.Tier, set.Tiers = c.tier, 2
		set.Limits.CanCancel = true
		h := newHarness(t, set, serverEntries(2)...)
		h.b.classes[c.class].meanLatency = 10
		if s := h.b.usable[0]; c.ejected {
			s.ejected, s.measured, s.load, s.credit = true, true, 1, 1
		}
		sent := h.request(1, c.class)
		s := h.b.servers[sent[0].Server]
		if s.ejected != c.ejected {
			t.Fatalf("%s: sent to the other server", c.name)
		}
		h.now += 40
		if c.responds {
			s.lastReceived = h.now
		}
		h.now += 10*silenceFactor - 40 + 1
		acts := h.do(Event{Kind: EvTimer, Token: h.b.timerToken})
		if canceled := len(acts) == 1 && acts[0].Kind == ActCancel && acts[0].Request == 1; canceled != c.want {
			t.Errorf("%s: actions %+v, want the attempt canceled: %v", c.name, acts, c.want)
		}
		if !c.want {
			continue
		}
		acts = h.do(Event{Kind: EvAttemptEnded, Request: 1, Server: s.ID, Outcome: Canceled, Elapsed: 61})
		if len(acts) != 1 || acts[0].Kind != ActSend || acts[0].Server == s.ID || s.failureRun != 1 {
			t.Errorf("%s: actions %+v after the canceled attempt, failure run %v; want a send to the other server and 1", c.name, acts, s.failureRun)
		}
		h.now += 1000
		if h.do(Event{Kind: EvTimer, Token: h.b.timerToken}); h.b.timerAt != 0 && len(h.b.silenceChecks) == 0 {
			t.Errorf("%s: a timer is pending without a silence check", c.name)
		}
	}
}

// TestRetriesByEffect: after a failed attempt, a request is retried or failed by the effect of its class.
func TestRetriesByEffect(t *testing.T) {
	for _, c := range []struct {
		name    string
		class   uint16
		outcome Outcome
		want    ActionKind
		cell    bool // the retry must stay in the cell of the first attempt
	}{
		{"safe after an error", 0, Error, ActSend, false},
		{"safe after a reset", 0, Reset, ActSend, false},
		{"keyed after an error", 1, Error, ActSend, true},
		{"keyed after a full server", 1, NotExecuted, ActSend, false},
		{"unsafe after an error", 2, Error, ActFail, false},
		{"unsafe after a timeout", 2, Timeout, ActFail, false},
		{"unsafe after a cancel", 2, Canceled, ActFail, false},
		{"unsafe after a full server", 2, NotExecuted, ActSend, false},
		{"unsafe after a failed connect", 2, ConnectFailed, ActSend, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, testSettings(), serverEntries(8)...)
			first := h.request(1, c.class)
			h.now += 50
			acts := h.do(Event{Kind: EvAttemptEnded, Request: 1, Server: first[0].Server, Outcome: c.outcome, Elapsed: 50})
			if len(acts) != 1 || acts[0].Kind != c.want {
				t.Fatalf("actions %+v, want kind %d", acts, c.want)
			}
			cell := func(id uint32) uint32 { return (id - 100) / 2 }
			if c.cell && cell(acts[0].Server) != cell(first[0].Server) {
				t.Errorf("sent to server %d, outside the cell of %d", acts[0].Server, first[0].Server)
			}
		})
	}
}

func TestKeyedRequestIsNotRetriedAfterItsDedupWindow(t *testing.T) {
	h := newHarness(t, testSettings(), serverEntries(8)...)
	first := h.request(1, 1)
	h.now += 301
	acts := h.do(Event{Kind: EvAttemptEnded, Request: 1, Server: first[0].Server, Outcome: Reset, Elapsed: 301})
	if len(acts) != 1 || acts[0].Kind != ActFail {
		t.Errorf("actions %+v, want a failure", acts)
	}
}

// TestAbandonedRequestIsCanceled: attempts of a request whose client has left are canceled.
func TestAbandonedRequestIsCanceled(t *testing.T) {
	for _, canCancel := range []bool{true, false} {
		set := testSettings()
		set.Limits.CanCancel = canCancel
		h := newHarness(t, set, serverEntries(2)...)
		h.request(1, 0)
		acts := h.do(Event{Kind: EvRequestAbandoned, Request: 1})
		if canCancel != (len(acts) == 1 && acts[0].Kind == ActCancel && acts[0].Request == 1) {
			t.Errorf("CanCancel %v: actions %+v, want a cancel only if it is true", canCancel, acts)
		}
	}
}

// TestRetryGoesToAnotherServer: a server that rejects at once does not get the same request again while
// there are servers that it has not tried.
func TestRetryGoesToAnotherServer(t *testing.T) {
	h := newHarness(t, testSettings(), serverEntries(3)...)
	acts := h.request(1, 0)
	tried := map[uint32]bool{}
	for attempt := uint16(0); len(acts) == 1 && acts[0].Kind == ActSend; attempt++ {
		if tried[acts[0].Server] {
			t.Fatalf("server %d tried twice", acts[0].Server)
		}
		tried[acts[0].Server] = true
		acts = h.do(Event{Kind: EvAttemptEnded, Request: 1, Attempt: attempt, Server: acts[0].Server, Outcome: NotExecuted})
	}
	if len(tried) != 3 {
		t.Errorf("%d servers tried of 3", len(tried))
	}
}

// TestSendChecksTheRules: send checks the rules itself, whatever was decided before.
func TestSendChecksTheRules(t *testing.T) {
	for _, c := range []struct {
		name      string
		breakRule func(h *harness, req *request, s *server)
	}{
		{"the request has ended", func(_ *harness, req *request, _ *server) { req.ended = true }},
		{"a stream has begun", func(_ *harness, req *request, _ *server) { req.streaming = true }},
		{"another attempt is open", func(_ *harness, req *request, _ *server) { req.openAttempts = 1 }},
		{"past its deadline", func(h *harness, req *request, _ *server) { req.deadline = h.b.now }},
		{"no attempts left", func(_ *harness, req *request, _ *server) { req.attempts = make([]attempt, 3) }},
		{"the server drains", func(_ *harness, _ *request, s *server) { s.State = Draining }},
		{"the server is off the list", func(_ *harness, _ *request, s *server) { s.listed = false }},
		{"a server that warms up, without credit", func(_ *harness, _ *request, s *server) { s.warmingUp, s.credit = true, 0.9 }},
		{"it may have run", func(_ *harness, req *request, s *server) { req.class, req.mayHaveRun, req.firstRunServer = 2, true, s }},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, testSettings(), serverEntries(2)...)
			fresh := func() *request { return &request{deadline: h.now + 900, targetAt: h.now + 500} }
			if !h.b.send(fresh(), h.b.usable[0]) {
				t.Fatal("a send that breaks no rule is rejected")
			}
			req := fresh()
			c.breakRule(h, req, h.b.usable[1])
			before := len(h.b.actions)
			if h.b.send(req, h.b.usable[1]) || len(h.b.actions) != before {
				t.Error("sent against the rule")
			}
		})
	}
}
