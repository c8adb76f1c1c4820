package balancer

import (
	"math/rand/v2"
	"testing"
)

// request is what the world knows of a request that it gave to the balancer.
type call struct {
	class    uint16
	due      float64
	answers  int
	over     bool
	attempts []try
}

type try struct {
	server uint32
	sentAt float64
	open   bool
	maybe  bool // may have run
}

// pending is a timer that the balancer set.
type pending struct {
	at    float64
	token uint64
}

// world feeds one balancer random legal events and checks the rules on what it asks.
type world struct {
	t       *testing.T
	rng     *rand.Rand
	b       *Balancer
	set     Settings
	now     float64
	nextID  uint32
	calls   map[uint32]*call
	order   []uint32 // open requests, in the order of arrival
	servers []ServerEntry
	timers  []pending
	trace   []Action
	taken   []float64          // arrivals, where a budget is stated
	further []float64          // attempts beyond a request's first
	probes  []uint32           // out
	used    map[uint32]float64 // last notice, send or outcome at a server that drains
}

func newWorld(t *testing.T, seed uint64, servers int) *world {
	t.Helper()
	w := &world{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), set: plain(), now: 1000,
		nextID: 1, calls: map[uint32]*call{}, servers: ids(servers),
	}
	w.set.Replicas, w.set.PollsList = 1+int(seed%7), seed%2 == 0
	w.set.Limits.CanHedge = seed%3 == 0
	w.set.Tier, w.set.Tiers = int(seed%2), 2
	if seed%4 < 2 {
		w.set.Safety.RetryBudgetMin, w.set.Safety.RetryBudgetShare, w.set.Safety.RetryBudgetWindow = 2, 0.2, 3000
	}
	if seed%3 > 0 {
		w.set.Safety.DrainCloseTime = 1500
	}
	w.used = map[uint32]float64{}
	w.set.Limits.CanCancel = seed%5 > 0
	w.set.Limits.CanProbe, w.set.QueueLengthField = seed%6 > 2, 1
	w.set.Tenants = []Tenant{{Quota: 5}, {Quota: 50}}
	b, err := New(w.set, seed, w.now)
	if err != nil {
		t.Fatal(err)
	}
	w.b = b
	w.hand(Event{Kind: EvServerList, List: ListCached, Servers: w.servers})
	return w
}

// hand gives the balancer an event and checks each action.
func (w *world) hand(ev Event) {
	w.t.Helper()
	for _, a := range w.b.Handle(w.now, &ev, nil) {
		w.trace = append(w.trace, a)
		switch a.Kind {
		case ActSend:
			w.checkSend(a)
		case ActReject, ActFail:
			w.checkEnd(a)
		case ActCloseIdle:
			delete(w.used, a.Server)
		case ActCancel:
			if !w.set.Limits.CanCancel || int(a.Attempt) >= len(w.calls[a.Request].attempts) {
				w.t.Fatalf("%v: cancels attempt %d of request %d", w.now, a.Attempt, a.Request)
			}
		case ActProbe:
			if !w.set.Limits.CanProbe || w.entry(a.Server) == nil {
				w.t.Fatalf("%v: probes server %d", w.now, a.Server)
			}
			w.probes = append(w.probes, a.Server)
		case ActTimer:
			w.timers = append(w.timers, pending{w.now + max(a.Delay, 5) - 0.0004, a.Token}) // rounded to early
		}
	}
}

func (w *world) entry(id uint32) *ServerEntry {
	for i := range w.servers {
		if w.servers[i].ID == id {
			return &w.servers[i]
		}
	}
	return nil
}

func (w *world) checkSend(a Action) {
	w.t.Helper()
	c, s := w.calls[a.Request], w.entry(a.Server)
	switch {
	case c == nil || c.over:
		w.t.Fatalf("%v: send for request %d, which is over", w.now, a.Request)
	case s == nil || s.State != Ready:
		w.t.Fatalf("%v: send to server %d, which drains or is gone", w.now, a.Server)
	case len(c.attempts) >= w.set.Limits.MaxAttempts:
		w.t.Fatalf("%v: attempt %d of request %d", w.now, len(c.attempts), a.Request)
	}
	class := w.set.Classes[c.class]
	if len(c.attempts) > 0 && w.set.Safety.RetryBudgetWindow > 0 {
		w.further = append(w.further, w.now)
		from, f := w.now-w.set.Safety.RetryBudgetWindow, &w.set.Safety
		if made := count(w.further, from); made > f.RetryBudgetMin+f.RetryBudgetShare*count(w.taken, from+1e-6)+1e-9 {
			w.t.Fatalf("%v: %v retries, %v requests taken", w.now, made, count(w.taken, from))
		}
	}
	first := 0.0
	for _, p := range c.attempts {
		if p.open && !w.set.Limits.CanHedge {
			w.t.Fatalf("%v: two attempts of request %d at once", w.now, a.Request)
		}
		if !p.open && !p.maybe || class.Effect == Safe {
			continue
		}
		if first == 0 {
			first = p.sentAt
		}
		before := w.entry(p.server)
		switch {
		case class.Effect == Unsafe:
			w.t.Fatalf("%v: unsafe request %d may have run and was sent again", w.now, a.Request)
		case w.now >= first+class.DedupWindow:
			w.t.Fatalf("%v: keyed request %d sent again after its window", w.now, a.Request)
		case before.Cell != s.Cell:
			w.t.Fatalf("%v: keyed request %d sent outside its cell", w.now, a.Request)
		}
	}
	c.attempts = append(c.attempts, try{server: a.Server, sentAt: w.now, open: true})
}

// count returns how many times are not before from.
func count(times []float64, from float64) (n float64) {
	for _, at := range times {
		if at >= from {
			n++
		}
	}
	return n
}

func (w *world) checkEnd(a Action) {
	w.t.Helper()
	c := w.calls[a.Request]
	if c == nil || c.over {
		w.t.Fatalf("%v: second answer for request %d", w.now, a.Request)
	}
	if w.now > c.due+20 {
		w.t.Fatalf("%v: answer for request %d, due at %v", w.now, a.Request, c.due)
	}
	if a.Kind == ActReject && w.set.Classes[c.class].Effect != Safe {
		for _, p := range c.attempts {
			if p.open || p.maybe {
				w.t.Fatalf("%v: request %d rejected though it may have run", w.now, a.Request)
			}
		}
	}
	w.over(a.Request)
}

func (w *world) over(id uint32) {
	c := w.calls[id]
	c.over = true
	c.answers++
}

// step advances the clock and plays one random event.
func (w *world) step() {
	w.t.Helper()
	w.advance(w.now + w.rng.Float64()*10)
	switch p := w.rng.Float64(); {
	case p < 0.35:
		w.arrive()
	case p < 0.9:
		w.finish()
	case p < 0.93:
		w.change()
	case p < 0.94 && len(w.order) > 0:
		id := w.order[w.rng.IntN(len(w.order))]
		if c := w.calls[id]; !c.over {
			w.over(id)
			w.hand(Event{Kind: EvRequestAbandoned, Request: id})
		}
	case p < 0.945 && len(w.probes) > 0:
		ev := Event{Kind: EvProbeResult, Server: w.probes[0], Outcome: OK, LoadReportLen: 1, LoadReport: [4]float32{w.rng.Float32() * 9}}
		w.probes = w.probes[1:]
		if e := w.entry(ev.Server); e.State == Draining && w.set.Safety.DrainCloseTime > 0 {
			w.used[ev.Server] = w.now
		}
		w.hand(ev)
	case p < 0.95 && w.set.PollsList:
		w.hand(Event{Kind: EvServerList, List: ListFailed})
	case p < 0.951:
		w.advance(w.now + 20000) // many seconds in which only timers and time-outs come
	}
	w.sweep()
}

// advance moves the clock on; timers and time-outs come in their order on the way.
func (w *world) advance(to float64) {
	w.t.Helper()
	for {
		at, timer := to, -1
		for i, t := range w.timers {
			if t.at < at {
				at, timer = t.at, i
			}
		}
		late, attempt := uint32(0), -1
		for _, id := range w.order {
			for i, p := range w.calls[id].attempts {
				if due := w.calls[id].due; p.open && due < at {
					at, late, attempt = due, id, i
				}
			}
		}
		w.now = max(w.now, at)
		switch {
		case attempt >= 0:
			w.close(late, attempt, Timeout)
		case timer >= 0:
			token := w.timers[timer].token
			w.timers = append(w.timers[:timer], w.timers[timer+1:]...)
			w.hand(Event{Kind: EvTimer, Token: token})
		default:
			return
		}
	}
}

func (w *world) arrive() {
	id := w.nextID
	w.nextID++
	c := &call{class: uint16(w.rng.IntN(3)), due: w.now + 50 + w.rng.Float64()*900}
	w.calls[id] = c
	w.order = append(w.order, id)
	w.taken = append(w.taken, w.now)
	w.hand(Event{Kind: EvRequest, Request: id, Class: c.class, Tenant: uint16(id % 2), Deadline: c.due})
}

// finish closes a random open attempt with a random outcome.
func (w *world) finish() {
	if len(w.order) == 0 {
		return
	}
	id := w.order[w.rng.IntN(len(w.order))]
	for i, p := range w.calls[id].attempts {
		if p.open {
			out := OK
			if w.rng.Float64() < 0.3 {
				out = []Outcome{Error, NotExecuted, ConnectFailed, Reset, Canceled, NotSent}[w.rng.IntN(6)]
			}
			w.close(id, i, out)
			return
		}
	}
}

func (w *world) close(id uint32, i int, out Outcome) {
	c := w.calls[id]
	p := &c.attempts[i]
	p.open, p.maybe = false, out != NotExecuted && out != ConnectFailed && out != NotSent
	if out == OK && !c.over {
		w.over(id)
	}
	if e := w.entry(p.server); e.State == Draining && w.set.Safety.DrainCloseTime > 0 {
		w.used[p.server] = w.now
	}
	w.hand(Event{Kind: EvAttemptEnded, Request: id, Attempt: uint16(i), Server: p.server,
		Outcome: out, Elapsed: w.now - p.sentAt, RequestEnded: c.over})
}

// change drains, removes, restarts or adds a server.
func (w *world) change() {
	e := &w.servers[w.rng.IntN(len(w.servers))]
	delete(w.used, e.ID)
	switch w.rng.IntN(4) {
	case 0:
		if e.State != Draining && w.set.Safety.DrainCloseTime > 0 {
			w.used[e.ID] = w.now
		}
		e.State = Draining
	case 1:
		e.State = Removed
	default:
		if e.State != Ready {
			e.State, e.StartedAt = Ready, w.now
		}
	}
	w.hand(Event{Kind: EvServerList, List: ListDelta, Servers: []ServerEntry{*e}})
}

// sweep fails the test for a request without a final answer, and forgets ended ones.
func (w *world) sweep() {
	for server, at := range w.used {
		if w.now > at+w.set.Safety.DrainCloseTime {
			w.t.Fatalf("%v: connections to server %d, which drains, not closed since %v", w.now, server, at)
		}
	}
	kept := w.order[:0]
	for _, id := range w.order {
		c := w.calls[id]
		open := false
		for _, p := range c.attempts {
			open = open || p.open
		}
		if !c.over && w.now > c.due+20 {
			w.t.Fatalf("%v: request %d, due at %v, has no response", w.now, id, c.due)
		}
		if c.over && !open {
			delete(w.calls, id)
			continue
		}
		kept = append(kept, id)
	}
	w.order = kept
}

// TestRulesHoldForRandomEvents: the rules hold for any legal order of events, with one server or several.
func TestRulesHoldForRandomEvents(t *testing.T) {
	sends := 0
	for seed := range uint64(24) {
		w := newWorld(t, seed, []int{1, 2, 9, 40}[seed%4])
		for range 3000 {
			w.step()
		}
		w.advance(w.now + 5000)
		w.sweep()
		for _, a := range w.trace {
			if a.Kind == ActSend {
				sends++
			}
		}
		if len(w.order) != 0 || len(w.b.requests) != 0 || w.b.inFlight != 0 {
			t.Errorf("seed %d: %d requests open, %d held, %d out", seed, len(w.order), len(w.b.requests), w.b.inFlight)
		}
	}
	if sends < 5000 {
		t.Errorf("only %d sends, too few to have tested the rules", sends)
	}
}

// FuzzHandle feeds raw events; none may panic, and no request may be held for ever.
func FuzzHandle(f *testing.F) {
	f.Add([]byte{1, 0, 2, 3, 9, 5, 3, 1, 7, 3, 4, 4, 200, 1, 2, 5, 1, 1})
	f.Fuzz(func(t *testing.T, raw []byte) {
		b, err := New(plain(), 3, 0)
		if err != nil {
			t.Fatal(err)
		}
		now := 0.0
		for ; len(raw) >= 6; raw = raw[6:] {
			now += float64(raw[5])
			b.Handle(now, &Event{
				Kind: EventKind(raw[0] % 9), List: ListKind(raw[1] % 5), Outcome: Outcome(raw[1] % 9),
				Class: uint16(raw[2] % 5), Request: uint32(raw[3] % 16), Attempt: uint16(raw[2] % 3),
				Server: uint32(raw[4] % 8), Deadline: now + float64(raw[4]), Elapsed: float64(raw[5]), RequestEnded: raw[1] > 99,
				Servers: []ServerEntry{{ID: uint32(raw[4] % 8), State: ServerState(raw[2] % 3), StartedAt: float64(raw[1])}},
			}, nil)
		}
		b.Handle(now+1e6, &Event{Kind: EvTimer}, nil)
		if len(b.queue) != 0 {
			t.Errorf("%d requests still wait", len(b.queue))
		}
	})
}
