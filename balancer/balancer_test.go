package balancer

import (
	"bytes"
	"cmp"
	"math"
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"
	"unicode/utf8"

	"milletmast/internal/stats"
)

// plain gives settings with one class of each effect, for one copy at the front.
func plain() Settings {
	return Settings{
		Classes: []Class{
			{Name: "read", PriorityWeight: 1, LatencyTarget: 500, Timeout: 1000, Effect: Safe},
			{Name: "keyed", PriorityWeight: 2, LatencyTarget: 500, Timeout: 1000, Effect: Keyed, DedupGroup: DedupCell, DedupWindow: 300},
			{Name: "book", PriorityWeight: 5, LatencyTarget: 500, Timeout: 1000, Effect: Unsafe},
		},
		Limits: Limits{MaxAttempts: 3},
		Safety: Safety{SlowStartShare: 0.2, SlowStartTime: 20000, OverloadMultiple: 3, OverloadTime: 1500, ListInterval: 10000},
	}
}

// harness drives one balancer and keeps what it asks for.
type harness struct {
	t   *testing.T
	b   *Balancer
	now float64
}

func start(t *testing.T, set Settings, servers ...ServerEntry) *harness {
	t.Helper()
	b, err := New(set, 7, 1000)
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{t: t, b: b, now: 1000}
	h.do(Event{Kind: EvServerList, List: ListCached, Servers: servers})
	return h
}

// do hands an event over and returns the actions that are not timers or logs.
func (h *harness) do(ev Event) []Action {
	var kept []Action
	for _, a := range h.b.Handle(h.now, &ev, nil) {
		if a.Kind != ActTimer && a.Kind != ActLog {
			kept = append(kept, a)
		}
	}
	return kept
}

func (h *harness) request(id uint32, class uint16) []Action {
	return h.do(Event{Kind: EvRequest, Request: id, Class: class, Deadline: h.now + 1000})
}

func ids(n int) []ServerEntry {
	out := make([]ServerEntry, n)
	for i := range out {
		out[i] = ServerEntry{ID: uint32(firstID + i), Cell: uint16(i / 2), Weight: 1}
	}
	return out
}

func TestNewNamesTheBadSetting(t *testing.T) {
	for _, c := range []struct {
		name, want string
		spoil      func(*Settings)
	}{
		{"no classes", "Classes", func(s *Settings) { s.Classes = nil }},
		{"negative time", "Timeout -1", func(s *Settings) { s.Classes[0].Timeout = -1 }},
		{"negative window", "DedupWindow -2", func(s *Settings) { s.Classes[1].DedupWindow = -2 }},
		{"unknown effect", "Effect 9", func(s *Settings) { s.Classes[0].Effect = 9 }},
		{"tier out of range", "Tier 3", func(s *Settings) { s.Tier, s.Tiers = 3, 3 }},
		{"negative ramp", "SlowStartTime -5", func(s *Settings) { s.Safety.SlowStartTime = -5 }},
		{"no number", "SlowStartShare NaN", func(s *Settings) { s.Safety.SlowStartShare = math.NaN() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			set := plain()
			c.spoil(&set)
			if _, err := New(set, 1, 0); err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("error %v, want one with %q", err, c.want)
			}
		})
	}
}

// The two formulas of the paper, against figures worked by hand.
func TestRevisedLoad(t *testing.T) {
	for _, c := range []struct {
		name                                   string
		load, goodput, p95, floor, most, after float64
	}{
		{"over threshold: 0.9 of goodput", 20, 10, 1.2, 1, 100, 9},
		{"over threshold: never under the floor", 20, 0, 2, 1.5, 100, 1.5},
		{"half the threshold: times root 1.5", 16, 16, 0.5, 1, 100, 16 * 1.224744871},
		{"idle latency: times root 2", 10, 5, 0, 1, 100, 14.14213562},
		{"at the threshold: stays", 10, 5, 1, 1, 100, 10},
		{"rise ends at the learned maximum", 10, 5, 0, 1, 12, 12},
		{"a load over the maximum is not cut by it", 14, 5, 0, 1, 12, 14},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := nextLoad(c.load, c.goodput, c.p95, c.floor, c.most); math.Abs(got-c.after) > 1e-6 {
				t.Errorf("load %v, want %v", got, c.after)
			}
		})
	}
}

func TestP95StretchesItsWindow(t *testing.T) {
	h := start(t, plain(), ids(2)...)
	s := h.b.usable[0]
	add := func(age, ratio float64) {
		s.samples[s.sampleCount%serverSamples] = stats.Sample{At: h.b.now - age, Value: ratio}
		s.sampleCount++
	}
	if _, ok := h.b.latencyP95(s); ok {
		t.Error("a server without samples counts as measured")
	}
	for range 18 {
		add(5000, 0.5)
	}
	add(4000, 3)
	add(3000, 4)
	if got, ok := h.b.latencyP95(s); !ok || got != 3 {
		t.Errorf("p95 of 20 samples over five seconds is %v, %v; want the second largest, 3", got, ok)
	}
	for range 20 {
		add(100, 0.25)
	}
	if got, _ := h.b.latencyP95(s); got != 0.25 {
		t.Errorf("p95 %v, want that of the last second alone, 0.25", got)
	}
}

func TestQueueHoldsInOrderAndIsBounded(t *testing.T) {
	set := plain()
	h := start(t, set, ids(1)...)
	h.b.concurrencyLimit, h.b.limitUpdateAt = 1, math.Inf(1)
	h.b.sendRate = stats.SteadyRate(20, h.now)
	if acts := h.request(1, 0); len(acts) != 1 || acts[0].Kind != ActSend {
		t.Fatalf("first call: %+v", acts)
	}
	var refused int
	for id := uint32(2); id < 20; id++ {
		acts := h.request(id, 2)
		if len(acts) > 0 && acts[0].Kind == ActReject {
			refused++
		}
	}
	held := len(h.b.queue)
	if held < 2 || refused != 18-held {
		t.Fatalf("%d calls held and %d refused of 18", held, refused)
	}
	acts := h.do(Event{Kind: EvAttemptEnded, Request: 1, Server: 100, Outcome: OK, Elapsed: 20, RequestEnded: true})
	if len(acts) != 1 || acts[0].Kind != ActSend || acts[0].Request != 2 {
		t.Errorf("the head of the queue must be sent first: %+v", acts)
	}
}

func TestCheapCallsAreRefusedFirst(t *testing.T) {
	h := start(t, plain(), ids(1)...)
	h.b.concurrencyLimit, h.b.limitUpdateAt, h.b.sendRate = 1, math.Inf(1), stats.SteadyRate(60, h.now)
	h.request(1, 2)
	for id := uint32(2); id < 5; id++ {
		h.request(id, 2)
	}
	if acts := h.request(9, 0); len(acts) != 1 || acts[0].Kind != ActReject {
		t.Errorf("a call of worth 1 behind three of worth 5: %+v", acts)
	}
	if acts := h.request(10, 2); len(acts) != 0 {
		t.Errorf("a call of worth 5 must still be held: %+v", acts)
	}
}

// Where the goal counts the worst-served class, the class that is served worst must not be the one that is always
// refused: its calls are worth more the rarer they are, until another class is served worse.
func TestWorstServedClassIsWorthMore(t *testing.T) {
	set := plain()
	set.WorstClassWeight = 0.5
	h := start(t, set, ids(1)...)
	plainValue := h.b.classValue(1)
	for range 200 { // calls of the cheapest class that end unserved
		h.b.endRequest(&request{class: 0})
	}
	if worst := h.b.worstServedClass(); worst != 0 || h.b.classValue(1) != plainValue {
		t.Fatalf("class %d is held to be served worst; value of another %v, before %v", worst, h.b.classValue(1), plainValue)
	}
	mean := (1 + 2 + 5) / 3.0
	if want := (1 + 0.5*mean*3) / 500; math.Abs(h.b.classValue(0)-want) > 1e-9 {
		t.Errorf("value %v, want %v", h.b.classValue(0), want)
	}
	for range 400 {
		h.b.endRequest(&request{class: 2})
	}
	if worst := h.b.worstServedClass(); worst != 2 {
		t.Errorf("class %d, want the one that is served worst now", worst)
	}
}

// When servers leave the list, the calls out at them no longer count and those that are left get no more than before:
// else the rest jams under the calls of all. Those that come bring their share back, a cold one by what it can do.
func TestRoomFollowsTheList(t *testing.T) {
	h := start(t, plain(), ids(4)...)
	for id := uint32(1); id <= 8; id++ {
		h.request(id, 0)
	}
	h.b.concurrencyLimit = 40
	left := h.b.usable[3]
	if h.b.inFlight != 8 || left.inFlight == 0 {
		t.Fatalf("%d calls out, %d at the server that leaves", h.b.inFlight, left.inFlight)
	}
	gone := left.ServerEntry
	gone.State = Draining
	h.do(Event{Kind: EvServerList, List: ListDelta, Servers: []ServerEntry{gone}})
	if h.b.concurrencyLimit != 30 || h.b.inFlight != 8-left.inFlight {
		t.Errorf("room %v and %d calls out, want 30 and %d", h.b.concurrencyLimit, h.b.inFlight, 8-left.inFlight)
	}
	for id, req := range h.b.requests { // an answer from there changes nothing any more
		if req.attempts[0].server == left {
			out := h.b.inFlight
			h.do(Event{Kind: EvAttemptEnded, Request: id, Server: left.ID, Outcome: OK, Elapsed: 5, RequestEnded: true})
			if h.b.inFlight != out {
				t.Errorf("%d calls out, want %d", h.b.inFlight, out)
			}
		}
	}
	come := []ServerEntry{{ID: 90, State: Ready}, {ID: 91, State: Draining}}
	h.do(Event{Kind: EvServerList, List: ListDelta, Servers: come})
	if h.b.concurrencyLimit != 40 {
		t.Errorf("room %v with the fourth server back, want 40", h.b.concurrencyLimit)
	}
	h.b.settings.Safety.SlowStartTime, h.b.settings.Safety.SlowStartShare = 1000, 0.4
	h.do(Event{Kind: EvServerList, List: ListDelta, Servers: []ServerEntry{{ID: 92, State: Ready, StartedAt: h.now}}})
	if h.b.concurrencyLimit != 44 {
		t.Errorf("room %v with a cold fifth server, want 44", h.b.concurrencyLimit)
	}
	for range 3 {
		h.b.recordOutcome(h.b.usable[0], 0, Error, 1)
	}
	if !h.b.usable[0].ejected || math.Round(h.b.concurrencyLimit) != 34 {
		t.Errorf("room %v with one server cut, want 34", h.b.concurrencyLimit)
	}
	for range trialSuccesses {
		h.b.recordOutcome(h.b.usable[0], 0, OK, 1)
	}
	if h.b.usable[0].ejected || math.Round(h.b.concurrencyLimit) != 44 {
		t.Errorf("room %v with that one back, want 44", h.b.concurrencyLimit)
	}
}

// The front must not raise its room while answers wait longer than they did, even if they are not slow yet: what is
// out already makes them slower still. Before there is a mean to hold them against, slow answers alone stop it.
func TestRoomRisesOnlyWithoutWaiting(t *testing.T) {
	for _, c := range []struct {
		typical, calm, took float64
		rises               bool
	}{
		{0.3, 0.3, 200, true}, {0.5, 0.3, 350, false},
		{0.3, math.Inf(1), 200, true}, {1.3, math.Inf(1), 910, false},
	} {
		h := start(t, plain(), ids(4)...)
		for range minWindowSamples {
			h.b.recordOutcome(h.b.usable[0], 0, OK, c.took)
		}
		h.b.meanRatio, h.b.baseRatio, h.b.concurrencyLimit, h.b.inFlight = c.typical, c.calm, 40, 40
		if h.b.updateConcurrencyLimit(); h.b.concurrencyLimit > 40 != c.rises {
			t.Errorf("%+v: room %v after 40", c, h.b.concurrencyLimit)
		}
	}
}

// The least mean is a minimum of something that varies: a copy that gets many answers, all fast against the aim, must not take chance for
// waiting, or it keeps its static part for good. A copy that gets few has no tail to go by, and slow answers stop it as before.
func TestFastAnswersRaiseADenseRoom(t *testing.T) {
	for _, c := range []struct {
		answers int
		took    float64
		rises   bool
	}{
		{minWindowSamples + 1, 200, true}, {minWindowSamples, 200, false}, {minWindowSamples + 1, 500, false}, {minWindowSamples + 1, 1200, false},
	} {
		h := start(t, plain(), ids(4)...)
		for range c.answers {
			h.b.recordOutcome(h.b.usable[0], 0, OK, c.took)
		}
		h.b.meanRatio, h.b.baseRatio, h.b.concurrencyLimit, h.b.inFlight = 0.3, 0.2, 40, 40
		if h.b.updateConcurrencyLimit(); h.b.concurrencyLimit > 40 != c.rises {
			t.Errorf("%+v: room %v after 40", c, h.b.concurrencyLimit)
		}
	}
}

// A server may hold a call and never answer. One that says nothing for long is left while there is time for another
// attempt, and that counts as a failure of its; one that answers other calls is only slow and is waited for.
func TestSilentServerIsLeft(t *testing.T) {
	for _, c := range []struct {
		name    string
		class   uint16
		answers bool
		stage   int
		cut     bool
		want    bool
	}{
		{"silent", 0, false, 0, false, true}, {"slow", 0, true, 0, false, false}, {"keyed", 1, false, 0, false, false},
		{"inner", 0, false, 1, false, false}, {"inner trial", 0, false, 1, true, true},
	} {
		set := plain()
		set.Tier, set.Tiers = c.stage, 2
		set.Limits.CanCancel = true
		h := start(t, set, ids(2)...)
		h.b.classes[c.class].meanLatency = 10
		if s := h.b.usable[0]; c.cut {
			s.ejected, s.measured, s.load, s.credit = true, true, 1, 1
		}
		sent := h.request(1, c.class)
		s := h.b.servers[sent[0].Server]
		if s.ejected != c.cut {
			t.Fatalf("%s: sent to the other server", c.name)
		}
		h.now += 40
		if c.answers {
			s.lastHeard = h.now
		}
		h.now += 10*silenceFactor - 40 + 1
		acts := h.do(Event{Kind: EvTimer, Token: h.b.timerToken})
		if off := len(acts) == 1 && acts[0].Kind == ActCancel && acts[0].Request == 1; off != c.want {
			t.Errorf("%s: %+v", c.name, acts)
		}
		if !c.want {
			continue
		}
		acts = h.do(Event{Kind: EvAttemptEnded, Request: 1, Server: s.ID, Outcome: Canceled, Elapsed: 61})
		if len(acts) != 1 || acts[0].Kind != ActSend || acts[0].Server == s.ID || s.failureRun != 1 {
			t.Errorf("%s: then %+v, a run of %v failures", c.name, acts, s.failureRun)
		}
		h.now += 1000
		if h.do(Event{Kind: EvTimer, Token: h.b.timerToken}); h.b.timerAt != 0 && len(h.b.silenceChecks) == 0 {
			t.Errorf("%s: a timer is pending for nothing", c.name)
		}
	}
}

// A cut server whose connections have gone idle must still get its trial calls while others have room, or it never
// returns; a call that may not run twice is not risked on it.
func TestCutServerGetsTrials(t *testing.T) {
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

// A waiting call behind a head with more time must still be answered in its time.
func TestCallBehindThePatientHeadIsAnswered(t *testing.T) {
	h := start(t, plain())
	h.request(1, 0)
	h.do(Event{Kind: EvRequest, Request: 2, Class: 0, Deadline: h.now + 100})
	h.now += 120
	acts := h.do(Event{Kind: EvTimer, Token: 1})
	if len(acts) != 1 || acts[0].Kind != ActReject || acts[0].Request != 2 {
		t.Errorf("want request 2 refused: %+v", acts)
	}
	h.now += 1000
	if acts = h.do(Event{Kind: EvTimer, Token: 1}); len(acts) != 1 || acts[0].Request != 1 {
		t.Errorf("want request 1 refused when its aim has passed: %+v", acts)
	}
}

// What may follow an attempt that ended without an answer, for each kind of effect.
func TestSecondAttempts(t *testing.T) {
	for _, c := range []struct {
		name    string
		class   uint16
		outcome Outcome
		want    ActionKind
		cell    bool // must stay in the cell of the first
	}{
		{"safe after an error", 0, Error, ActSend, false},
		{"safe after a reset", 0, Reset, ActSend, false},
		{"keyed after an error", 1, Error, ActSend, true},
		{"keyed after a full server", 1, NotExecuted, ActSend, false},
		{"unsafe after an error", 2, Error, ActFail, false},
		{"unsafe after a time-out", 2, Timeout, ActFail, false},
		{"unsafe after a cancel", 2, Canceled, ActFail, false},
		{"unsafe after a full server", 2, NotExecuted, ActSend, false},
		{"unsafe after a failed connect", 2, ConnectFailed, ActSend, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := start(t, plain(), ids(8)...)
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

func TestKeyedIsNotRepeatedAfterItsWindow(t *testing.T) {
	h := start(t, plain(), ids(8)...)
	first := h.request(1, 1)
	h.now += 301
	acts := h.do(Event{Kind: EvAttemptEnded, Request: 1, Server: first[0].Server, Outcome: Reset, Elapsed: 301})
	if len(acts) != 1 || acts[0].Kind != ActFail {
		t.Errorf("actions %+v, want a failure", acts)
	}
}

func TestDrainedServerGetsNothing(t *testing.T) {
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

// A restarted server must not be given its old load, nor a burst by every copy at once.
func TestColdServerIsSpared(t *testing.T) {
	firsts, sends := 0, 0
	for seed := range uint64(40) {
		set := plain()
		set.Replicas = 40
		b, _ := New(set, seed, 0)
		entries := ids(3)
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
					firsts++
				}
				b.Handle(now+10, &Event{Kind: EvAttemptEnded, Request: a.Request, Server: a.Server, Elapsed: 10, RequestEnded: true}, nil)
			}
		}
	}
	// An even third would be 0.33 of the sends; a fifth of that is its present share.
	if part := float64(firsts) / float64(sends); part > 0.2*0.33*1.5 {
		t.Errorf("the cold server got %.3f of %d sends", part, sends)
	}
}

func TestUnknownNamesChangeNothing(t *testing.T) {
	h := start(t, plain(), ids(2)...)
	h.request(1, 0)
	for _, ev := range []Event{
		{Kind: EvAttemptEnded, Request: 99, Outcome: OK},
		{Kind: EvAttemptEnded, Request: 1, Attempt: 7, Outcome: Error},
		{Kind: EvRequestAbandoned, Request: 99},
		{Kind: EvFirstByte, Request: 1, Attempt: 9},
		{Kind: EvRequest, Request: 5, Class: 44, Deadline: 5000},
		{Kind: EvRequest, Request: 1, Deadline: 5000},
		{Kind: EvTimer, Token: 12345},
		{Kind: EvProbeResult, Server: 4},
		{Kind: 200},
	} {
		if acts := h.do(ev); len(acts) != 0 {
			t.Errorf("%+v led to %+v", ev, acts)
		}
	}
	if h.b.inFlight != 1 {
		t.Errorf("%d calls out, want 1", h.b.inFlight)
	}
}

// A timer that comes a little early must not be waited for for ever.
func TestEarlyTimerIsSetAgain(t *testing.T) {
	h := start(t, plain())
	var timers []Action
	for _, a := range h.b.Handle(h.now, &Event{Kind: EvRequest, Request: 1, Class: 2, Deadline: h.now + 100}, nil) {
		if a.Kind == ActTimer {
			timers = append(timers, a)
		}
	}
	for range 40 {
		if len(timers) != 1 {
			t.Fatalf("%v: timers %+v while a call waits", h.now, timers)
		}
		h.now += timers[0].Delay - 0.0004
		token := timers[0].Token
		timers = timers[:0]
		for _, a := range h.b.Handle(h.now, &Event{Kind: EvTimer, Token: token}, nil) {
			switch a.Kind {
			case ActTimer:
				timers = append(timers, a)
			case ActReject:
				return
			}
		}
	}
	t.Error("the call was never answered")
}

func TestListIsAskedForAgain(t *testing.T) {
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
		t.Errorf("gaps between calls %v must grow and stay bounded", gaps)
	}
}

// A run of failures cuts a server between revisions; good trials bring it back.
func TestRunOfFailuresCutsAndTrialsRestore(t *testing.T) {
	h := start(t, plain(), ids(10)...)
	s := h.b.usable[0]
	for range 3 {
		h.b.recordOutcome(s, 0, Error, 1)
	}
	if !s.ejected || h.b.currentLoad(s) > 1 {
		t.Fatalf("after three failures: cut %v, load %v", s.ejected, h.b.currentLoad(s))
	}
	for range trialSuccesses {
		h.b.recordOutcome(s, 0, OK, 20)
	}
	if s.ejected || s.measured {
		t.Errorf("after good trials: cut %v, measured %v", s.ejected, s.measured)
	}
}

// When nearly all servers fail together the cause is shared, and not all are cut.
func TestSharedTroubleDoesNotCutEverything(t *testing.T) {
	h := start(t, plain(), ids(10)...)
	for range 10 {
		for _, s := range h.b.usable {
			h.b.recordOutcome(s, 0, Timeout, 500)
		}
	}
	cut := 0
	for _, s := range h.b.usable {
		if s.ejected {
			cut++
		}
	}
	if cut > 4 {
		t.Errorf("%d of 10 servers cut", cut)
	}
}

// Copies must deal the servers out completely and evenly, without talking.
func TestHomesCoverEveryServerOnce(t *testing.T) {
	for _, c := range []struct{ copies, servers int }{{1, 1}, {1, 7}, {3, 10}, {7, 3}, {80, 44}, {5, 5}} {
		total := map[uint32]float64{}
		for rank := range c.copies {
			set := plain()
			set.Replicas, set.Rank = c.copies, rank
			h := start(t, set, ids(c.servers)...)
			own := 0.0
			for _, s := range h.b.usable {
				total[s.ID] += s.homeShare
				own += s.homeShare
			}
			if want := float64(c.servers) / float64(c.copies); math.Abs(own-want) > 1e-9 {
				t.Errorf("%d copies, %d servers: rank %d owns %v, want %v", c.copies, c.servers, rank, own, want)
			}
		}
		for id, sum := range total {
			if math.Abs(sum-1) > 1e-9 {
				t.Errorf("%d copies, %d servers: server %d is dealt out %v times", c.copies, c.servers, id, sum)
			}
		}
	}
}

// Where probes are all but free a sparse copy must go by what servers hold, and must not
// wait for answers that do not come.
func TestCheapProbesChooseTheServer(t *testing.T) {
	set := plain()
	set.Limits.CanProbe, set.QueueLengthField, set.ProbeCost = true, 2, 0.001
	h := start(t, set, ids(8)...)
	h.b.meanQueueLength = 10 // most servers hold more than those asked: no second question
	probed := h.request(1, 0)
	if len(probed) < 2 || probed[0].Kind != ActProbe {
		t.Fatalf("want probes before the send: %+v", probed)
	}
	var acts []Action
	for i, p := range probed {
		held := float32(9 - i)
		acts = h.do(Event{Kind: EvProbeResult, Server: p.Server, Outcome: OK, LoadReport: [4]float32{5, held}, LoadReportLen: 2})
	}
	if least := probed[len(probed)-1].Server; len(acts) != 1 || acts[0].Kind != ActSend || acts[0].Server != least {
		t.Errorf("actions %+v, want a send to server %d, which holds least", acts, least)
	}
	h.now += 1000
	h.request(2, 0)
	h.now += probeWaitShare*set.Classes[0].LatencyTarget + 1
	if acts = h.do(Event{Kind: EvTimer}); len(acts) != 1 || acts[0].Kind != ActSend {
		t.Errorf("actions %+v, want a send though no probe came back", acts)
	}
	set.ProbeCost = 0.05
	h = start(t, set, ids(8)...)
	if acts = h.request(1, 0); len(acts) != 1 || acts[0].Kind != ActSend {
		t.Errorf("actions %+v, want no probes where they are dear", acts)
	}
}

// Where servers admit few connections, copies that use all servers by turns get none:
// beside its home a copy must keep to servers that answered it while these are idle.
func TestSpillKeepsToLinkedServers(t *testing.T) {
	set := plain()
	set.Replicas, set.Rank = 40, 3
	h := start(t, set, ids(20)...)
	met := map[uint32]bool{}
	for id := uint32(1); id <= 120; id++ {
		var out []Action
		for k := range uint32(2) { // two calls at a time need the home and one more
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
		t.Errorf("%d of 20 servers met with two calls out at a time", len(met))
	}
}

// When the own zone is lost, not all its servers may be cut, and its homes must not
// be tried again and again while another zone answers.
func TestLostZoneIsLeft(t *testing.T) {
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
		t.Errorf("%d of the last 100 calls still went to the lost zone", lost)
	}
}

// A dense copy's old credit must not outweigh calls that are out: a server that answers
// slowly would gather both.
func TestCallsOutOutweighOldCredit(t *testing.T) {
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
		t.Errorf("chose server %d with %d calls out", got.ID, got.inFlight)
	}
}

// A front that probes must not send on when every server asked holds more than the aim
// allows; it waits, asks again, and sends when one has room.
func TestProbesHoldBackWhatWouldBeLate(t *testing.T) {
	set := plain()
	set.Limits.CanProbe, set.QueueLengthField = true, 1
	h := start(t, set, ids(8)...)
	h.b.serviceTime = 150    // ms for each call held, aim 500
	h.b.meanQueueLength = 10 // most servers hold more than those asked: no second question
	answer := func(probes []Action, held float32) (acts []Action) {
		for _, p := range probes {
			acts = h.do(Event{Kind: EvProbeResult, Server: p.Server, Outcome: OK, LoadReport: [4]float32{held}, LoadReportLen: 1})
		}
		return acts
	}
	if acts := answer(h.request(1, 2), 5); len(acts) != 0 {
		t.Fatalf("sent to a server that holds five: %+v", acts)
	}
	h.now += 100
	again := h.do(Event{Kind: EvTimer, Token: h.b.timerToken})
	if len(again) == 0 || again[0].Kind != ActProbe {
		t.Fatalf("want other servers asked while the call waits: %+v", again)
	}
	if acts := answer(again, 0); len(acts) != 1 || acts[0].Kind != ActSend {
		t.Errorf("want a send to an idle server: %+v", acts)
	}
}

// A class whose aim grows with a request's work must not have heavy calls given up early.
func TestAimStretchesWithTheHint(t *testing.T) {
	set := plain()
	set.Classes[0].TargetPerWork = 2
	for hint, aim := range map[float64]float64{0: 500, 100: 700, 900: 1000} {
		h := start(t, set)
		h.do(Event{Kind: EvRequest, Request: 1, Deadline: h.now + 5000, WorkHint: hint})
		if got := h.b.requests[1].targetAt - h.now; got != aim {
			t.Errorf("hint %v: aim after %v, want %v", hint, got, aim)
		}
	}
}

// CPU is counted for each copy: the steady path must not allocate.
func TestSteadyPathDoesNotAllocate(t *testing.T) {
	h := start(t, plain(), ids(200)...)
	acts := make([]Action, 0, 16)
	id := uint32(0)
	cycle := func() {
		id++
		h.now += 5
		acts = h.b.Handle(h.now, &Event{Kind: EvRequest, Request: id, Deadline: h.now + 1000}, acts[:0])
		for _, a := range acts {
			if a.Kind == ActSend {
				h.now += 2
				acts = h.b.Handle(h.now, &Event{Kind: EvAttemptEnded, Request: id, Server: a.Server, Elapsed: 2, RequestEnded: true}, acts[:0])
				break
			}
		}
	}
	for range 3000 {
		cycle()
	}
	if got := testing.AllocsPerRun(2000, cycle); got != 0 {
		t.Errorf("%v allocations for a request and its outcome", got)
	}
}

// The module is read aloud: its size, over all files that the deploy file names, and its width are bounded.
func TestPolicySizeAndWidth(t *testing.T) {
	deploy, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	named := regexp.MustCompile(`(?m)^policy = \[(.*)\]$`).FindSubmatch(deploy)
	if named == nil {
		t.Fatal("deploy/balancer.toml names no policy")
	}
	var text []byte
	lines := 0
	for _, file := range strings.Split(string(named[1]), ", ") {
		text, err = os.ReadFile("../" + strings.Trim(file, `"`))
		if err != nil {
			t.Fatal(err)
		}
		for i, line := range bytes.Split(text, []byte("\n")) {
			if len(bytes.TrimSpace(line)) > 0 {
				lines++
			}
			if wide := utf8.RuneCount(line) + 3*bytes.Count(line, []byte("\t")); wide > 110 {
				t.Errorf("%s: line %d is %d wide", file, i+1, wide)
			}
		}
	}
	if text, err = os.ReadFile("balancer.go"); err != nil {
		t.Fatal(err)
	}
	if lines > 1200 {
		t.Errorf("%d lines that are not blank, 1200 at most", lines)
	}
	if !bytes.Contains(text[:bytes.IndexByte(text, '\n')], []byte("api.go")) {
		t.Error("the first line must name the interface file")
	}
}

func TestSameEventsGiveSameActions(t *testing.T) {
	a, b := newWorld(t, 5, 3), newWorld(t, 5, 3)
	other := newWorld(t, 6, 3)
	for range 2000 {
		a.step()
		other.step() // an instance beside it must not matter
		b.step()
	}
	if !reflect.DeepEqual(a.trace, b.trace) || len(a.trace) < 500 {
		t.Errorf("traces of %d and %d actions differ", len(a.trace), len(b.trace))
	}
}

// budgeted gives settings of a site that states a retry budget of one attempt and a tenth of the requests.
func budgeted() Settings {
	set := plain()
	set.Safety.RetryBudgetMin, set.Safety.RetryBudgetShare, set.Safety.RetryBudgetWindow = 1, 0.1, 10000
	return set
}

// Never-ran outcomes come out of a stated budget too: without the count at the one way to a server every
// full server would be followed by another try.
func TestBudgetBoundsEveryFurtherAttempt(t *testing.T) {
	h := start(t, budgeted(), ids(20)...)
	var taken, further []float64
	for id := uint32(1); id <= 400; id++ {
		h.now += 37
		taken = append(taken, h.now)
		acts := h.request(id, uint16(id%3))
		for attempt := uint16(0); len(acts) > 0 && acts[0].Kind == ActSend; attempt++ {
			if attempt > 0 {
				further = append(further, h.now)
				from, f := h.now-10000, &h.b.settings.Safety
				allowed := f.RetryBudgetMin + f.RetryBudgetShare*count(taken, from+1e-6)
				if made := count(further, from); made > allowed+1e-9 {
					t.Fatalf("%v: %v further attempts in the window, %v allowed", h.now, made, allowed)
				}
			}
			h.now++
			out := []Outcome{NotExecuted, ConnectFailed, Error}[id%3]
			acts = h.do(Event{Kind: EvAttemptEnded, Request: id, Attempt: attempt, Server: acts[0].Server, Outcome: out, Elapsed: 1})
		}
	}
	if len(further) < 20 {
		t.Errorf("only %d further attempts: the budget was not used", len(further))
	}
	if n := h.b.recentRequests.Len(); n > 1200 {
		t.Errorf("%d entries kept for a window that holds 270", n)
	}
}

// A call that waits for its second attempt while others use the budget up must be answered, and must not
// hold up those behind it.
func TestBudgetUsedUpWhileWaiting(t *testing.T) {
	h := start(t, budgeted(), ids(4)...)
	sent := map[uint32]uint32{}
	for id := uint32(1); id <= 2; id++ {
		for _, a := range h.request(id, 2) {
			sent[id] = a.Server
		}
	}
	h.b.concurrencyLimit, h.b.limitUpdateAt = 0, math.Inf(1)
	for id := uint32(1); id <= 2; id++ {
		if acts := h.do(Event{Kind: EvAttemptEnded, Request: id, Server: sent[id], Outcome: NotExecuted, Elapsed: 1}); len(acts) != 0 {
			t.Fatalf("want both to wait: %+v", acts)
		}
	}
	h.b.concurrencyLimit = 10
	acts := h.do(Event{Kind: EvTimer})
	if len(acts) != 2 || acts[0].Kind != ActSend || acts[1].Kind != ActReject {
		t.Errorf("want one sent and one refused: %+v", acts)
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

// Idle connections to a draining server are closed on the notice, after the last outcome there, and once
// more by timer on a copy that hears nothing else; never where the site has no such rule.
func TestIdleConnectionsAreClosedOnDrains(t *testing.T) {
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

// A server that is ready again before the second close keeps its connections; one that is gone does not.
func TestReadyAgainIsNotClosed(t *testing.T) {
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

// A sparse copy must be let to measure: with one call at a time it never holds the samples of a p95.
func TestSparseCopyIsNotStarved(t *testing.T) {
	set := plain()
	set.Replicas = 700
	h := start(t, set, ids(100)...)
	for id := uint32(1); id <= 2; id++ {
		if acts := h.request(id, 0); len(acts) != 1 || acts[0].Kind != ActSend {
			t.Errorf("call %d: %+v", id, acts)
		}
	}
}

// What is still out for a call that its client left is work for nobody.
func TestLeftCallIsCancelled(t *testing.T) {
	for _, may := range []bool{true, false} {
		set := plain()
		set.Limits.CanCancel = may
		h := start(t, set, ids(2)...)
		h.request(1, 0)
		acts := h.do(Event{Kind: EvRequestAbandoned, Request: 1})
		if may != (len(acts) == 1 && acts[0].Kind == ActCancel && acts[0].Request == 1) {
			t.Errorf("cancelling allowed %v: %+v", may, acts)
		}
	}
}

// A server that answers full at once must not draw the same call again while others are untried.
func TestFurtherAttemptGoesElsewhere(t *testing.T) {
	h := start(t, plain(), ids(3)...)
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

// The front must shed for waiting, not for a tail that is the work's own, nor for some silent servers.
func TestOnlyWaitingSheds(t *testing.T) {
	for _, c := range []struct {
		name string
		sick Outcome
		took float64 // of one call in ten
		slow float64 // by which all others slow down halfway
		shed bool
	}{
		{"a heavy tail", OK, 900, 1, false},
		{"silent servers", Timeout, 900, 1, false},
		{"all wait", OK, 900, 6, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := start(t, plain(), ids(4)...)
			before := 0.0
			for i := range 6000 {
				h.now += 10
				h.b.now = h.now
				s, out, took := h.b.usable[i%4], OK, 80.0
				if i > 3000 {
					took *= c.slow
				}
				if i%10 == 0 {
					out, took = c.sick, c.took
				}
				h.b.recordOutcome(s, 0, out, took)
				s.ejected, s.failureRun = false, 0
				h.b.sendRate.Add(h.now, 1, rateTimeConstant)
				h.b.inFlight = 40
				if h.now >= h.b.limitUpdateAt {
					h.b.updateConcurrencyLimit()
				}
				if i == 3000 {
					before = h.b.concurrencyLimit
				}
			}
			if shed := h.b.concurrencyLimit < before; shed != c.shed || before < 40 {
				t.Errorf("room went from %.1f to %.1f", before, h.b.concurrencyLimit)
			}
		})
	}
}

// An overload that begins soon after the start must find a least mean from before it, or the room grows with the queues of the servers:
// by the tails alone, which lag, and against a least that was taken amid the overload.
func TestOverloadSoonAfterStart(t *testing.T) {
	set := plain()
	for i := range set.Classes {
		set.Classes[i].LatencyTarget, set.Classes[i].Timeout = 4000, 8000
	}
	h := start(t, set, ids(4)...)
	began, before := h.now, 0.0
	for h.now < began+4*h.b.silenceTimeout {
		h.now += 10
		h.b.now = h.now
		took := 0.1 * h.b.silenceTimeout
		if h.now > began+1.2*h.b.silenceTimeout {
			before = cmp.Or(before, h.b.concurrencyLimit)
			took = 0.7 * h.b.silenceTimeout // in time, yet seven times the least
		}
		h.b.recordOutcome(h.b.usable[0], 0, OK, took)
		h.b.sendRate.Add(h.now, 1, rateTimeConstant)
		if h.b.inFlight = int(h.b.concurrencyLimit); h.now >= h.b.limitUpdateAt {
			h.b.updateConcurrencyLimit()
		}
	}
	if h.b.concurrencyLimit > 1.5*before {
		t.Errorf("room %.1f, %.1f before answers became slow", h.b.concurrencyLimit, before)
	}
}

// A call whose probes all tell of busy servers must ask others, a bounded number of times.
func TestBusyAnswersAreAskedAgain(t *testing.T) {
	set := plain()
	set.Limits.CanProbe, set.QueueLengthField = true, 1
	h := start(t, set, ids(30)...)
	h.b.meanQueueLength = 0.5
	acts, rounds := h.request(1, 0), 0
	for len(acts) > 0 && acts[0].Kind == ActProbe {
		rounds++
		for _, p := range acts {
			acts = h.do(Event{Kind: EvProbeResult, Server: p.Server, Outcome: OK, LoadReport: [4]float32{3}, LoadReportLen: 1})
		}
	}
	if rounds != maxProbeRounds || len(acts) != 1 || acts[0].Kind != ActSend {
		t.Errorf("asked %d times, then %+v; want %d times and a send", rounds, acts, maxProbeRounds)
	}
}

// Where new connections fail, calls keep to servers with an open one and ask only those; what guards against
// slow handshakes guards against full connection tables as well.
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
			t.Errorf("probes %v: %d of 50 calls needed a new connection", probes, astray)
		}
	}
}

// Connections close when idle: a server that answered long ago has none open.
func TestIdleConnectionsAreNotCountedOn(t *testing.T) {
	set := plain()
	set.Limits.ConnIdleTimeout, set.Limits.StreamsPerConn = 5000, 1
	h := start(t, set, ids(1)...)
	s := h.b.usable[0]
	s.connected, s.lastHeard = true, h.b.now
	if !h.b.isConnected(s) {
		t.Error("a fresh idle connection is not counted on")
	}
	if s.inFlight = 1; h.b.isConnected(s) {
		t.Error("a connection that carries one call is counted on for a second")
	}
	if s.inFlight, h.b.now = 0, h.b.now+5001; h.b.isConnected(s) {
		t.Error("a connection idle for too long is counted on")
	}
}

// A class whose mean answer came to pass the aim must not be swept for ever: with nothing sent, no answer
// could correct the mean.
func TestSlowClassIsNotStarved(t *testing.T) {
	h := start(t, plain(), ids(2)...)
	h.b.classes[2].meanLatency = 900 // the aim is 500
	if acts := h.request(1, 2); len(acts) != 1 || acts[0].Kind != ActSend {
		t.Fatalf("with a free server: %+v", acts)
	}
	h.b.concurrencyLimit, h.b.limitUpdateAt, h.b.sendRate = 1, math.Inf(1), stats.SteadyRate(20, h.now)
	if acts := h.request(2, 2); len(acts) != 0 {
		t.Errorf("want the call to wait: %+v", acts)
	}
	h.now += 20
	acts := h.do(Event{Kind: EvAttemptEnded, Request: 1, Server: h.b.requests[1].attempts[0].server.ID, Outcome: OK, RequestEnded: true})
	if len(acts) != 1 || acts[0].Kind != ActSend || acts[0].Request != 2 {
		t.Errorf("want the waiting call sent: %+v", acts)
	}
}

// A copy too sparse for a p95 must still move its room, by its mean answer.
func TestSparseCopyMovesItsRoom(t *testing.T) {
	for _, slow := range []float64{1, 8} {
		h := start(t, plain(), ids(4)...)
		s := h.b.usable[0]
		for i := range 60 {
			h.now += 1000
			h.b.now = h.now
			took := 80.0
			if i >= 30 {
				took *= slow
			}
			h.b.recordOutcome(s, 0, OK, took)
			s.ejected, s.failureRun = false, 0
			h.b.inFlight = 25
			h.b.updateConcurrencyLimit()
		}
		if rose := h.b.concurrencyLimit > h.b.initialLimit; rose != (slow == 1) {
			t.Errorf("answers %v times slower: room %.1f of %.1f at first", slow, h.b.concurrencyLimit, h.b.initialLimit)
		}
	}
}

// Servers of different speed must not get equal parts: a slow home server keeps only a part of its calls.
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
		t.Errorf("the server that is three times slower got %d of 400 calls, an even part is 100", got)
	}
}

// The one way to a server checks the rules itself, whatever was decided before.
func TestSendChecksTheRules(t *testing.T) {
	for _, c := range []struct {
		name  string
		spoil func(h *harness, req *request, s *server)
	}{
		{"the request has ended", func(_ *harness, req *request, _ *server) { req.ended = true }},
		{"a stream has begun", func(_ *harness, req *request, _ *server) { req.streaming = true }},
		{"another attempt is out", func(_ *harness, req *request, _ *server) { req.openAttempts = 1 }},
		{"past its due time", func(h *harness, req *request, _ *server) { req.deadline = h.b.now }},
		{"no attempts left", func(_ *harness, req *request, _ *server) { req.attempts = make([]attempt, 3) }},
		{"the server drains", func(_ *harness, _ *request, s *server) { s.State = Draining }},
		{"the server is off the list", func(_ *harness, _ *request, s *server) { s.listed = false }},
		{"a cold server without credit", func(_ *harness, _ *request, s *server) { s.warmingUp, s.credit = true, 0.9 }},
		{"it may have run", func(_ *harness, req *request, s *server) { req.class, req.mayHaveRun, req.firstRunServer = 2, true, s }},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := start(t, plain(), ids(2)...)
			fresh := func() *request { return &request{deadline: h.now + 900, targetAt: h.now + 500} }
			if !h.b.send(fresh(), h.b.usable[0]) {
				t.Fatal("a plain send is refused")
			}
			req := fresh()
			c.spoil(h, req, h.b.usable[1])
			before := len(h.b.actions)
			if h.b.send(req, h.b.usable[1]) || len(h.b.actions) != before {
				t.Error("sent all the same")
			}
		})
	}
}

// What a copy may send to a cold server rises with its age from the least capacity, and is a part of an even
// share of the copy's own arrivals: all copies together stay under one server's part.
func TestColdShareIsBounded(t *testing.T) {
	entries := ids(10)
	entries[9].StartedAt = 1000
	h := start(t, plain(), entries...)
	s := h.b.servers[entries[9].ID]
	h.b.arrivalRate, h.b.sendRate = stats.SteadyRate(150, h.now), stats.SteadyRate(92, h.now) // the list has 9.2 servers that serve
	h.b.measuredCount, h.b.meanLoad = 1, 1e6
	for _, age := range []float64{0, 5000, 19999} {
		h.b.now = 1000 + age
		warm := 0.2 + 0.8*age/20000
		if got, most := h.b.currentLoad(s), warmUpMaxShare*10*warm; got > most+1e-9 || got < most/2 {
			t.Errorf("age %v: load %v, want %v", age, got, most)
		}
	}
	if h.b.now = 21001; h.b.currentLoad(s) < 1e5 {
		t.Error("still bounded when warm")
	}
}

// In an overload most of what is asked for is refused: a cold server's part is of what the servers are sent, not of that. With none
// warm it is of the demand, as there is nothing else to go by, and what is not sent could never come to be sent.
func TestColdShareInAnOverload(t *testing.T) {
	entries := ids(10)
	entries[9].StartedAt = 1000
	h := start(t, plain(), entries...)
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
	h = start(t, plain(), entries...)
	h.b.arrivalRate, h.b.sendRate = stats.SteadyRate(1000, h.now), stats.SteadyRate(1, h.now)
	h.b.measuredCount, h.b.meanLoad = 1, 1e6
	s = h.b.servers[entries[9].ID]
	h.b.now = s.StartedAt
	if got, want := h.b.currentLoad(s), warmUpMaxShare*100*0.2; math.Abs(got-want) > 1e-9 {
		t.Errorf("with none warm: load %v, want %v", got, want)
	}
}

// A copy of many meets each server seldom: if it goes to a cold one only once every warm one holds a call of its, all
// copies together drive the warm ones over while the cold ones idle.
func TestColdServerGetsItsShareAheadOfWarmOnes(t *testing.T) {
	entries, set := ids(6), plain()
	set.Replicas, set.Zone = 12, 1 // no server is this copy's home
	h := start(t, set, entries...)
	for _, s := range h.b.usable {
		s.connected = true
	}
	entries[5].StartedAt = h.now
	h.do(Event{Kind: EvServerList, List: ListFull, Servers: entries})
	cold := h.b.servers[entries[5].ID]
	call := func(id uint32, credit float64) uint32 {
		cold.credit = credit
		acts := h.request(id, 0)
		if len(acts) != 1 || acts[0].Kind != ActSend {
			t.Fatalf("%+v, want a send", acts)
		}
		h.do(Event{Kind: EvAttemptEnded, Request: id, Server: acts[0].Server, Outcome: OK, Elapsed: 20, RequestEnded: true})
		return acts[0].Server
	}
	if call(1, 0.9) == cold.ID {
		t.Error("a cold server was sent a call without the credit for one")
	}
	if call(2, 1) != cold.ID {
		t.Error("a cold server with credit for a call was passed over for a warm one")
	}
	if cold.credit > 0 {
		t.Errorf("the call was to spend its credit, it has %v", cold.credit)
	}
}

// A copy's first seconds must not pass for quiet ones: its queue and the credit of its servers follow what is sent, and
// would hold a tenth of what comes.
func TestDemandOfTheFirstSeconds(t *testing.T) {
	for _, rate := range []float64{2, 20, 200} {
		a, now := stats.DecayingRate{}, 5000.0
		for range int(8 * rate) {
			a.Add(now, 1, rateTimeConstant)
			now += 1000 / rate
			if got := a.Rate(minRateWeight); now > 5000+max(500, 2000/rate) && (got < 0.7*rate || got > 1.6*rate) {
				t.Errorf("%v a second: %v after %v ms", rate, got, now-5000)
			}
		}
		if got := a.Rate(minRateWeight); got < 0.9*rate || got > 1.3*rate {
			t.Errorf("%v a second: %v in the end", rate, got)
		}
	}
}

// A copy that gets few calls has no twenty answers for seconds after its start. The few it has must move its room: while all are quick
// it is not held at the first one, beside idle servers; while they are slow it does not rise.
func TestFirstAnswersMoveTheRoom(t *testing.T) {
	for _, c := range []struct {
		name  string
		took  float64
		count int
		rises bool
	}{
		{"quick", 50, minFirstSamples, true},
		{"slow", 900, minFirstSamples, false},
		{"too few", 50, minFirstSamples - 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			set := plain()
			set.Replicas = 10
			h := start(t, set, ids(8)...)
			first := h.b.initialLimit
			for id := uint32(1); id <= uint32(c.count); id++ {
				acts := h.request(id, 0)
				h.do(Event{Kind: EvAttemptEnded, Request: id, Server: acts[0].Server, Outcome: OK, Elapsed: c.took, RequestEnded: true})
			}
			for id := uint32(101); id <= 103; id++ { // it rises only as far as it is used
				h.request(id, 0)
			}
			h.now += statsWindow
			h.request(104, 0)
			if rose := h.b.concurrencyLimit > first; rose != c.rises {
				t.Errorf("room %v after %d answers, %v at first", h.b.concurrencyLimit, c.count, first)
			}
		})
	}
}

// Calls beyond a tenant's quota must leave room for those within theirs: the head of a first-in queue is
// whoever came first, and the greedy tenant mostly did.
func TestOverQuotaLeavesRoom(t *testing.T) {
	set := plain()
	set.Tenants = []Tenant{{Quota: 1}, {Quota: 1000}}
	h := start(t, set, ids(4)...)
	h.b.concurrencyLimit, h.b.limitUpdateAt, h.b.sendRate = 20, math.Inf(1), stats.SteadyRate(1000, h.now)
	h.b.inFlight = 12
	ask := func(id uint32, tenant uint16) []Action {
		return h.do(Event{Kind: EvRequest, Request: id, Tenant: tenant, Deadline: h.now + 1000})
	}
	for id := uint32(1); id <= 2; id++ {
		ask(id, 0) // its burst
	}
	if acts := ask(3, 0); len(acts) != 1 || acts[0].Kind != ActReject || acts[0].Delay <= 0 {
		t.Errorf("beyond the quota with half of the room taken: %+v, want a refusal with a Retry-After", acts)
	}
	if acts := ask(4, 1); len(acts) != 1 || acts[0].Kind != ActSend {
		t.Errorf("within the quota: %+v, want a send", acts)
	}
}

// Fleets are replaced all day: what is kept of servers and calls must not grow with those gone for good.
func TestMemoryDoesNotGrow(t *testing.T) {
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
		t.Errorf("%d calls held, %d spare, %d taken", len(h.b.requests), len(h.b.freeRequests), h.b.recentRequests.Len())
	}
}

// A silent server deep down must not hold its caller's slot longer than an answer can be worth anything.
func TestInnerCallsAreGivenUpAtTheAim(t *testing.T) {
	for _, c := range []struct {
		stage int
		late  float64
		want  float64
	}{{1, 0, 500}, {0, 0, 1000}, {1, 0.5, 1000}} {
		set := plain()
		set.Tiers, set.Tier = 2, c.stage
		set.Classes[0].LateShare = c.late
		h := start(t, set, ids(2)...)
		if acts := h.request(1, 0); len(acts) != 1 || acts[0].Deadline != h.now+c.want {
			t.Errorf("tier %d, late worth %v: %+v, want it given up after %v", c.stage, c.late, acts, c.want)
		}
	}
}

// A call whose further attempt is allowed must not be ended because all probed servers look busy just then.
func TestFurtherAttemptSurvivesBusyAnswers(t *testing.T) {
	set := plain()
	set.Limits.CanProbe, set.QueueLengthField = true, 1
	h := start(t, set, ids(12)...)
	answer := func(acts []Action, held float32) (last []Action) {
		for _, a := range acts {
			if a.Kind == ActProbe {
				last = h.do(Event{Kind: EvProbeResult, Server: a.Server, Outcome: OK, LoadReportLen: 1, LoadReport: [4]float32{held}})
			}
		}
		return last
	}
	sent := answer(h.request(1, 0), 0)
	if len(sent) != 1 || sent[0].Kind != ActSend {
		t.Fatalf("want a send: %+v", sent)
	}
	for _, s := range h.b.usable {
		s.queueLength, s.queueLengthAt = 5, h.b.now
	}
	acts := h.do(Event{Kind: EvAttemptEnded, Request: 1, Server: sent[0].Server, Outcome: Error, Elapsed: 1})
	for range maxProbeRounds + 1 {
		for _, a := range acts {
			switch a.Kind {
			case ActReject, ActFail:
				t.Fatalf("ended: %+v", acts)
			case ActSend:
				return
			}
		}
		acts = answer(acts, 5)
	}
	t.Error("the further attempt was never sent")
}

// Figures that are no numbers must neither poison what is learned nor keep a call for ever.
func TestBadFiguresDoNoHarm(t *testing.T) {
	for _, bad := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -5} {
		h := start(t, plain(), ids(2)...)
		h.b.Handle(bad, &Event{Kind: EvTimer}, nil)
		if h.b.now != h.now {
			t.Fatalf("the clock went to %v", h.b.now)
		}
		if acts := h.do(Event{Kind: EvRequest, Request: 1, Deadline: bad}); len(acts) != 1 || acts[0].Kind != ActReject {
			t.Errorf("due %v: %+v, want a refusal", bad, acts)
		}
		acts := h.do(Event{Kind: EvRequest, Request: 2, Deadline: h.now + 1000, WorkHint: bad})
		if len(acts) != 1 || acts[0].Kind != ActSend {
			t.Fatalf("hint %v: %+v, want a send", bad, acts)
		}
		h.do(Event{Kind: EvAttemptEnded, Request: 2, Server: acts[0].Server, Outcome: OK, Elapsed: bad, RequestEnded: true})
		if b := h.b; len(b.requests) != 0 || !(b.meanRatio >= 0) || !(b.classes[0].meanLatency >= 0) || math.IsInf(b.meanRatio, 0) {
			t.Errorf("took %v: %d calls held, mean ratio %v", bad, len(b.requests), b.meanRatio)
		}
	}
}

// Backups get calls only while every other server is cut, fails in a run, or is not there; the others are tried again.
func TestBackupsWait(t *testing.T) {
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
		t.Errorf("sound: %d calls to the others and %d to the backup", primaries, backups)
	}
	failing = true
	play(20)
	if primaries, backups := play(200); backups < 200 || primaries > 40 {
		t.Errorf("the others fail: %d calls to them and %d of 200 to the backup", primaries, backups)
	}
	if primaries, _ := play(2000); primaries == 0 {
		t.Error("the others are never tried again")
	}
	failing = false
	play(3000)
	if primaries, backups := play(200); primaries != 200 || backups > 0 {
		t.Errorf("sound again: %d calls to the others and %d to the backup", primaries, backups)
	}
	h.do(Event{Kind: EvServerList, List: ListFull, Servers: servers[2:]})
	if _, backups := play(20); backups != 20 {
		t.Errorf("alone it gets %d of 20 calls", backups)
	}
}

// Until servers are measured, one of three times the weight holds about three times the calls.
func TestWeightsAreHints(t *testing.T) {
	servers := ids(2)
	servers[0].Weight, servers[1].Weight = 3, 1
	h := start(t, plain(), servers...)
	type sent struct{ id, server uint32 }
	var out []sent
	got := map[uint32]int{}
	for id := uint32(1); id <= 190; id++ { // a call takes 80 ms, and no server is revised so soon
		h.now += 10
		acts := h.request(id, 0)
		if len(out) >= 8 {
			acts = append(acts, h.do(Event{
				Kind: EvAttemptEnded, Request: out[0].id, Server: out[0].server, Outcome: OK, Elapsed: 80, RequestEnded: true,
			})...)
			out = out[1:]
		}
		for _, a := range acts {
			if a.Kind == ActSend {
				got[a.Server]++
				out = append(out, sent{a.Request, a.Server})
			}
		}
	}
	if got[100] < 2*got[101] || got[101] < 10 {
		t.Errorf("calls %v, want about three to one", got)
	}
}
