package balancer

import (
	"math/rand/v2"
	"testing"
)

// simRequest is a request that the simulation passed to the balancer.
type simRequest struct {
	class     uint16
	deadline  float64
	responses int
	ended     bool
	attempts  []simAttempt
}

// simAttempt is an attempt that the balancer made.
type simAttempt struct {
	server     uint32
	sentAt     float64
	open       bool
	mayHaveRun bool
}

// simTimer is a timer that the balancer set.
type simTimer struct {
	at    float64
	token uint64
}

// simulation passes random valid events to one balancer and checks its actions against the rules.
type simulation struct {
	t           *testing.T
	rng         *rand.Rand
	b           *Balancer
	set         Settings
	now         float64
	nextID      uint32
	requests    map[uint32]*simRequest
	order       []uint32 // open requests, in the order of arrival
	servers     []ServerEntry
	timers      []simTimer
	trace       []Action
	arrivals    []float64          // times of requests
	retries     []float64          // times of attempts after a request's first, where the site sets a retry budget
	probes      []uint32           // servers with a pending probe
	drainEvents map[uint32]float64 // draining server -> time since which its idle connections must be closed
}

func newSimulation(t *testing.T, seed uint64, servers int) *simulation {
	t.Helper()
	sim := &simulation{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), set: testSettings(), now: 1000,
		nextID: 1, requests: map[uint32]*simRequest{}, servers: serverEntries(servers),
	}
	sim.set.Replicas, sim.set.PollsList = 1+int(seed%7), seed%2 == 0
	sim.set.Limits.CanHedge = seed%3 == 0
	sim.set.Tier, sim.set.Tiers = int(seed%2), 2
	if seed%4 < 2 {
		sim.set.Safety.RetryBudgetMin, sim.set.Safety.RetryBudgetShare, sim.set.Safety.RetryBudgetWindow = 2, 0.2, 3000
	}
	if seed%3 > 0 {
		sim.set.Safety.DrainCloseTime = 1500
	}
	sim.drainEvents = map[uint32]float64{}
	sim.set.Limits.CanCancel = seed%5 > 0
	sim.set.Limits.CanProbe, sim.set.QueueLengthField = seed%6 > 2, 1
	sim.set.Tenants = []Tenant{{Quota: 5}, {Quota: 50}}
	b, err := New(sim.set, seed, sim.now)
	if err != nil {
		t.Fatal(err)
	}
	sim.b = b
	sim.handle(Event{Kind: EvServerList, List: ListCached, Servers: sim.servers})
	return sim
}

// handle passes an event to the balancer and checks each resulting action.
func (sim *simulation) handle(ev Event) {
	sim.t.Helper()
	for _, a := range sim.b.Handle(sim.now, &ev, nil) {
		sim.trace = append(sim.trace, a)
		switch a.Kind {
		case ActSend:
			sim.checkSend(a)
		case ActReject, ActFail:
			sim.checkEnd(a)
		case ActCloseIdle:
			delete(sim.drainEvents, a.Server)
		case ActCancel:
			if !sim.set.Limits.CanCancel || int(a.Attempt) >= len(sim.requests[a.Request].attempts) {
				sim.t.Fatalf("%v: cancels attempt %d of request %d", sim.now, a.Attempt, a.Request)
			}
		case ActProbe:
			if !sim.set.Limits.CanProbe || sim.entry(a.Server) == nil {
				sim.t.Fatalf("%v: probes server %d", sim.now, a.Server)
			}
			sim.probes = append(sim.probes, a.Server)
		case ActTimer:
			sim.timers = append(sim.timers, simTimer{sim.now + max(a.Delay, 5) - 0.0004, a.Token}) // rounded down, so that it fires early
		}
	}
}

func (sim *simulation) entry(id uint32) *ServerEntry {
	for i := range sim.servers {
		if sim.servers[i].ID == id {
			return &sim.servers[i]
		}
	}
	return nil
}

func (sim *simulation) checkSend(a Action) {
	sim.t.Helper()
	c, s := sim.requests[a.Request], sim.entry(a.Server)
	switch {
	case c == nil || c.ended:
		sim.t.Fatalf("%v: send for request %d, which has ended", sim.now, a.Request)
	case s == nil || s.State != Ready:
		sim.t.Fatalf("%v: send to server %d, which is draining or removed", sim.now, a.Server)
	case len(c.attempts) >= sim.set.Limits.MaxAttempts:
		sim.t.Fatalf("%v: send of request %d after %d attempts, which are all that it may have", sim.now, a.Request, len(c.attempts))
	}
	class := sim.set.Classes[c.class]
	if len(c.attempts) > 0 && sim.set.Safety.RetryBudgetWindow > 0 {
		sim.retries = append(sim.retries, sim.now)
		from, f := sim.now-sim.set.Safety.RetryBudgetWindow, &sim.set.Safety
		if made := count(sim.retries, from); made > f.RetryBudgetMin+f.RetryBudgetShare*count(sim.arrivals, from+1e-6)+1e-9 {
			sim.t.Fatalf("%v: %v retries in the window of the budget, for %v requests", sim.now, made, count(sim.arrivals, from))
		}
	}
	first := 0.0
	for _, p := range c.attempts {
		if p.open && !sim.set.Limits.CanHedge {
			sim.t.Fatalf("%v: two attempts of request %d at once", sim.now, a.Request)
		}
		if !p.open && !p.mayHaveRun || class.Effect == Safe {
			continue
		}
		if first == 0 {
			first = p.sentAt
		}
		before := sim.entry(p.server)
		switch {
		case class.Effect == Unsafe:
			sim.t.Fatalf("%v: unsafe request %d may have run and was sent again", sim.now, a.Request)
		case sim.now >= first+class.DedupWindow:
			sim.t.Fatalf("%v: keyed request %d sent again after its window", sim.now, a.Request)
		case before.Cell != s.Cell:
			sim.t.Fatalf("%v: keyed request %d sent outside its cell", sim.now, a.Request)
		}
	}
	c.attempts = append(c.attempts, simAttempt{server: a.Server, sentAt: sim.now, open: true})
}

// count returns the number of times that are not before from.
func count(times []float64, from float64) (n float64) {
	for _, at := range times {
		if at >= from {
			n++
		}
	}
	return n
}

func (sim *simulation) checkEnd(a Action) {
	sim.t.Helper()
	c := sim.requests[a.Request]
	if c == nil || c.ended {
		sim.t.Fatalf("%v: second final action for request %d", sim.now, a.Request)
	}
	if sim.now > c.deadline+20 {
		sim.t.Fatalf("%v: late final action for request %d, deadline %v", sim.now, a.Request, c.deadline)
	}
	if a.Kind == ActReject && sim.set.Classes[c.class].Effect != Safe {
		for _, p := range c.attempts {
			if p.open || p.mayHaveRun {
				sim.t.Fatalf("%v: request %d rejected though it may have run", sim.now, a.Request)
			}
		}
	}
	sim.end(a.Request)
}

func (sim *simulation) end(id uint32) {
	c := sim.requests[id]
	c.ended = true
	c.responses++
}

// step advances the clock and runs one random event.
func (sim *simulation) step() {
	sim.t.Helper()
	sim.advance(sim.now + sim.rng.Float64()*10)
	switch p := sim.rng.Float64(); {
	case p < 0.35:
		sim.arrive()
	case p < 0.9:
		sim.finish()
	case p < 0.93:
		sim.changeServer()
	case p < 0.94 && len(sim.order) > 0:
		id := sim.order[sim.rng.IntN(len(sim.order))]
		if c := sim.requests[id]; !c.ended {
			sim.end(id)
			sim.handle(Event{Kind: EvRequestAbandoned, Request: id})
		}
	case p < 0.945 && len(sim.probes) > 0:
		ev := Event{Kind: EvProbeResult, Server: sim.probes[0], Outcome: OK, LoadReportLen: 1, LoadReport: [4]float32{sim.rng.Float32() * 9}}
		sim.probes = sim.probes[1:]
		if e := sim.entry(ev.Server); e.State == Draining && sim.set.Safety.DrainCloseTime > 0 {
			sim.drainEvents[ev.Server] = sim.now
		}
		sim.handle(ev)
	case p < 0.95 && sim.set.PollsList:
		sim.handle(Event{Kind: EvServerList, List: ListFailed})
	case p < 0.951:
		sim.advance(sim.now + 20000) // 20 s with timers and timeouts only
	}
	sim.sweep()
}

// advance moves the clock forward, with the timers and timeouts on the way in order.
func (sim *simulation) advance(to float64) {
	sim.t.Helper()
	for {
		at, timer := to, -1
		for i, t := range sim.timers {
			if t.at < at {
				at, timer = t.at, i
			}
		}
		timedOut, attempt := uint32(0), -1
		for _, id := range sim.order {
			for i, p := range sim.requests[id].attempts {
				if deadline := sim.requests[id].deadline; p.open && deadline < at {
					at, timedOut, attempt = deadline, id, i
				}
			}
		}
		sim.now = max(sim.now, at)
		switch {
		case attempt >= 0:
			sim.endAttempt(timedOut, attempt, Timeout)
		case timer >= 0:
			token := sim.timers[timer].token
			sim.timers = append(sim.timers[:timer], sim.timers[timer+1:]...)
			sim.handle(Event{Kind: EvTimer, Token: token})
		default:
			return
		}
	}
}

func (sim *simulation) arrive() {
	id := sim.nextID
	sim.nextID++
	c := &simRequest{class: uint16(sim.rng.IntN(3)), deadline: sim.now + 50 + sim.rng.Float64()*900}
	sim.requests[id] = c
	sim.order = append(sim.order, id)
	sim.arrivals = append(sim.arrivals, sim.now)
	sim.handle(Event{Kind: EvRequest, Request: id, Class: c.class, Tenant: uint16(id % 2), Deadline: c.deadline})
}

// finish ends an open attempt of a random request with a random outcome.
func (sim *simulation) finish() {
	if len(sim.order) == 0 {
		return
	}
	id := sim.order[sim.rng.IntN(len(sim.order))]
	for i, p := range sim.requests[id].attempts {
		if p.open {
			out := OK
			if sim.rng.Float64() < 0.3 {
				out = []Outcome{Error, NotExecuted, ConnectFailed, Reset, Canceled, NotSent}[sim.rng.IntN(6)]
			}
			sim.endAttempt(id, i, out)
			return
		}
	}
}

// endAttempt ends attempt i of a request.
func (sim *simulation) endAttempt(id uint32, i int, out Outcome) {
	c := sim.requests[id]
	p := &c.attempts[i]
	p.open, p.mayHaveRun = false, out != NotExecuted && out != ConnectFailed && out != NotSent
	if out == OK && !c.ended {
		sim.end(id)
	}
	if e := sim.entry(p.server); e.State == Draining && sim.set.Safety.DrainCloseTime > 0 {
		sim.drainEvents[p.server] = sim.now
	}
	sim.handle(Event{Kind: EvAttemptEnded, Request: id, Attempt: uint16(i), Server: p.server,
		Outcome: out, Elapsed: sim.now - p.sentAt, RequestEnded: c.ended})
}

// changeServer drains, removes or restarts a random server.
func (sim *simulation) changeServer() {
	e := &sim.servers[sim.rng.IntN(len(sim.servers))]
	delete(sim.drainEvents, e.ID)
	switch sim.rng.IntN(4) {
	case 0:
		if e.State != Draining && sim.set.Safety.DrainCloseTime > 0 {
			sim.drainEvents[e.ID] = sim.now
		}
		e.State = Draining
	case 1:
		e.State = Removed
	default:
		if e.State != Ready {
			e.State, e.StartedAt = Ready, sim.now
		}
	}
	sim.handle(Event{Kind: EvServerList, List: ListDelta, Servers: []ServerEntry{*e}})
}

// sweep fails the test if idle connections were not closed or a request has no final action in time, and removes
// ended requests.
func (sim *simulation) sweep() {
	for server, at := range sim.drainEvents {
		if sim.now > at+sim.set.Safety.DrainCloseTime {
			sim.t.Fatalf("%v: idle connections to draining server %d not closed since %v", sim.now, server, at)
		}
	}
	kept := sim.order[:0]
	for _, id := range sim.order {
		c := sim.requests[id]
		open := false
		for _, p := range c.attempts {
			open = open || p.open
		}
		if !c.ended && sim.now > c.deadline+20 {
			sim.t.Fatalf("%v: request %d, deadline %v, has no final action", sim.now, id, c.deadline)
		}
		if c.ended && !open {
			delete(sim.requests, id)
			continue
		}
		kept = append(kept, id)
	}
	sim.order = kept
}

// TestRulesHoldForRandomEvents: the rules hold for any valid sequence of events, with one server or many.
func TestRulesHoldForRandomEvents(t *testing.T) {
	sends := 0
	for seed := range uint64(24) {
		sim := newSimulation(t, seed, []int{1, 2, 9, 40}[seed%4])
		for range 3000 {
			sim.step()
		}
		sim.advance(sim.now + 5000)
		sim.sweep()
		for _, a := range sim.trace {
			if a.Kind == ActSend {
				sends++
			}
		}
		if len(sim.order) != 0 || len(sim.b.requests) != 0 || sim.b.inFlight != 0 {
			t.Errorf("seed %d: %d requests open in the test, %d in the balancer, %d in flight; want none", seed, len(sim.order), len(sim.b.requests), sim.b.inFlight)
		}
	}
	if sends < 5000 {
		t.Errorf("only %d sends, too few to have tested the rules", sends)
	}
}

// FuzzHandle passes arbitrary events: none may cause a panic, and no request may be held forever.
func FuzzHandle(f *testing.F) {
	f.Add([]byte{1, 0, 2, 3, 9, 5, 3, 1, 7, 3, 4, 4, 200, 1, 2, 5, 1, 1})
	f.Fuzz(func(t *testing.T, raw []byte) {
		b, err := New(testSettings(), 3, 0)
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
			t.Errorf("%d requests still queued", len(b.queue))
		}
	})
}
