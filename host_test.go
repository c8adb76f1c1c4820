package whinknot

import "testing"

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
