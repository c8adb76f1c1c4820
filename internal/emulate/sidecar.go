package emulate

import (
	"container/list"
	"slices"
	"time"

	"milletmast/balancer"
	"milletmast/internal/degradation"
	"milletmast/internal/loadshed"
	"milletmast/internal/override"
	"milletmast/internal/rules"
	"milletmast/internal/subset"
	"milletmast/internal/warmstart"
)

// Constants of a sidecar. Times are in ms.
const (
	clientMargin   = 50.0  // ms before its client gives up at which a request is to be answered, at most
	maxMarginShare = 0.1   // and at most this share of its time
	backstop       = 10.0  // ms after that until the sidecar itself answers what its module has left unanswered
	idleFraction   = 0.8   // of the servers' idle limit at which a sidecar closes a connection
	levelInterval  = 50.0  // ms
	subsetInterval = 1000. // ms
	drainMargin    = 350.0 // ms before its end at which a sidecar gives up its open requests
)

// module is the decision module, or what a test puts around it.
type module interface {
	Handle(now float64, ev *balancer.Event, actions []balancer.Action) []balancer.Action
	EjectedServers() int
	Export() balancer.LearnedState
}

// sidecar is one sidecar: the real decision module, and a model of what surrounds it.
type sidecar struct {
	sim        *simulation
	rank       int
	zone       int
	up         bool
	draining   bool
	stalled    float64 // it does nothing until this time, in ms
	cutFaults  int     // faults that cut its zone off
	listBlocks int     // faults that keep changes of the list from it
	starts     uint64  // counts its starts: events of an earlier one are dropped

	balancer     module
	actions      []balancer.Action
	calls        map[uint32]*call
	callOrder    []*call // in the order taken; ended ones are dropped in bulk
	lastID       uint32
	conns        map[uint32]*serverConns
	known        map[uint32]balancer.ServerEntry // as the module knows them
	listPosition int                             // changes of the list that it has got; -1 before its first list
	listPending  bool                            // further ones are on their way
	usable       int
	overrides    override.Set
	sizer        *subset.Sizer         // nil where it sends to all
	levels       *levelState           // nil for none
	learned      balancer.LearnedState // kept for its next start
	shedder      *loadshed.Shedder     // nil where sidecars do not share load reports
}

// start starts the sidecar with the present list of discovery, or without a list.
func (h *sidecar) start() {
	w := h.sim
	h.starts++
	h.up, h.draining, h.stalled = true, false, 0
	h.calls, h.callOrder, h.lastID = map[uint32]*call{}, nil, 0
	h.conns, h.known, h.usable = map[uint32]*serverConns{}, map[uint32]balancer.ServerEntry{}, 0
	set := w.scenario.Pool.Settings()
	set.Replicas, set.Rank, set.Zone = w.scenario.Copies.Count, h.rank, h.zone
	set.Limits.MaxRequests = w.scenario.Copies.Open
	seed := uint64(w.random.uniform(drawList, uint64(h.rank), h.starts) * (1 << 53))
	b, err := balancer.New(set, seed, w.now())
	if err != nil {
		w.setError(err)
		return
	}
	h.balancer = b
	if every := w.scenario.Copies.Keep.MS(); every > 0 {
		if h.starts > 1 {
			memory, _ := warmstart.Decay(h.learned, w.now())
			b.Import(memory)
		}
		h.later(every*w.random.uniform(drawList, uint64(h.rank), h.starts<<32), h.saveLearned)
	}
	if w.wrapModule != nil {
		h.balancer = w.wrapModule(h, b)
	}
	if w.scenario.Pool.Subset > 0 {
		h.sizer = &subset.Sizer{Spec: subset.Spec{
			Replicas: w.scenario.Copies.Count, Rank: h.rank, Zones: len(w.scenario.Pool.Zones), Zone: h.zone,
			Size: w.scenario.Pool.Subset, SpareReplicas: w.scenario.Pool.SubsetSpare,
		}}
		h.later(subsetInterval, h.updateSubset)
	}
	h.levels = nil
	if ladder := w.scenario.Pool.Ladder(); len(ladder) > 0 {
		now := w.wallTime()
		h.levels = &levelState{
			controller: degradation.NewController(ladder, now),
			meter:      degradation.NewMeter(time.Duration(w.scenario.Pool.LevelWindow), len(w.scenario.Pool.Classes), now),
			waiting:    list.New(),
		}
		h.later(levelInterval, h.updateLevels)
	}
	h.startFleetShedding()
	h.listPending, h.listPosition = false, -1
	first := func() {
		h.listPosition = len(w.discovery.changes)
		h.applyFullList(balancer.ListFull)
	}
	if w.scenario.Copies.Cold || h.starts > 1 { // the list takes discovery's lag
		h.later(w.listDelay(h), first)
	} else {
		first()
	}
}

// saveLearned saves what the module has learned, and schedules itself.
func (h *sidecar) saveLearned() {
	h.learned = h.balancer.Export()
	h.later(h.sim.scenario.Copies.Keep.MS(), h.saveLearned)
}

// later has the sidecar do something after a time, unless it has ended by then. While it is stalled, it waits.
func (h *sidecar) later(ms float64, do func()) {
	life := h.starts
	h.sim.clock.after(ms, func() { h.run(life, do) })
}

// run has the sidecar do something in one of its lives, now or when its stall is over.
func (h *sidecar) run(life uint64, do func()) {
	switch {
	case h.starts != life || !h.up:
	case h.stalled > h.sim.now():
		h.sim.clock.schedule(h.stalled, func() { h.run(life, do) })
	default:
		do()
	}
}

// handle gives the module an event and executes its actions.
func (h *sidecar) handle(ev *balancer.Event) {
	mine := h.actions
	h.actions = nil // an action may lead to a further event
	mine = h.balancer.Handle(h.sim.now(), ev, mine[:0])
	for i := range mine {
		h.execute(&mine[i])
	}
	h.actions = mine
}

// execute executes an action of the module.
func (h *sidecar) execute(a *balancer.Action) {
	c := h.calls[a.Request]
	switch a.Kind {
	case balancer.ActSend:
		if c != nil {
			h.startAttempt(c, a.Server, a.Deadline)
		}
	case balancer.ActReject:
		if c != nil {
			h.finish(c, rules.Refused, c.retryAfter(a.Delay))
		}
	case balancer.ActFail:
		if c != nil {
			h.finish(c, rules.Failed, 0)
		}
	case balancer.ActCancel:
		if c != nil && int(a.Attempt) < len(c.attempts) {
			t := c.attempts[a.Attempt]
			h.later(0, func() { t.end(balancer.Canceled) })
		}
	case balancer.ActTimer:
		token := a.Token
		h.later(a.Delay, func() { h.handle(&balancer.Event{Kind: balancer.EvTimer, Token: token}) })
	case balancer.ActCloseIdle:
		if l := h.conns[a.Server]; l != nil {
			l.closeOldest(len(l.idle))
		}
	}
}

// copyID returns the number of the sidecar to the rules.
func (h *sidecar) copyID() uint32 { return uint32(h.rank) + 1 }

// shutDown ends the sidecar gracefully, with the requests that it has accepted, or at once.
func (h *sidecar) shutDown(kill bool) {
	w := h.sim
	if !h.up || h.draining {
		return
	}
	if kill {
		h.kill()
		return
	}
	h.draining = true
	longest := 0.0
	for i := range w.scenario.Pool.Classes {
		longest = max(longest, w.scenario.Pool.Classes[i].GiveUp.MS())
	}
	h.later(longest-drainMargin, func() {
		for _, c := range slices.Clone(h.callOrder) {
			h.answerOverdue(c)
		}
	})
	h.later(longest, h.kill)
	if h.sim.scenario.Copies.Keep > 0 {
		h.learned = h.balancer.Export()
	}
}

// kill ends the sidecar at once. Its connections close, and its clients see theirs break.
func (h *sidecar) kill() {
	w := h.sim
	h.up, h.draining = false, false
	h.starts++
	var callers []*call
	for _, c := range h.callOrder {
		for _, a := range c.attempts {
			if a.open {
				a.open = false
				if a.job != nil {
					a.job.abandoned = true
				}
			}
		}
		if !c.ended {
			c.ended = true
			callers = append(callers, c)
		}
	}
	for _, l := range h.conns { // the order is nothing to them
		l.forgetAll()
	}
	w.record(&rules.Fact{Kind: rules.ReplicaKilled, Copy: h.copyID()})
	for _, c := range callers {
		w.deliverAnswer(c, rules.Failed, 0)
	}
}
