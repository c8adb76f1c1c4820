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
	clientMargin   = 50.0  // ms between the deadline of a request and its client's timeout, at most
	maxMarginShare = 0.1   // upper bound of that margin as a share of the timeout
	backstop       = 10.0  // ms after the deadline at which the sidecar responds itself if its module has not decided
	idleFraction   = 0.8   // share of the servers' idle timeout after which a sidecar closes a connection
	levelInterval  = 50.0  // ms
	subsetInterval = 1000. // ms
	drainMargin    = 350.0 // ms before its end at which a sidecar ends its open requests
)

// module is the decision module, or a wrapper of a test around it.
type module interface {
	Handle(now float64, ev *balancer.Event, actions []balancer.Action) []balancer.Action
	EjectedServers() int
	Export() balancer.LearnedState
}

// sidecar is one sidecar: the real decision module, and a model of the parts around it.
type sidecar struct {
	sim        *simulation
	rank       int
	zone       int
	up         bool
	draining   bool
	stalled    float64 // it executes nothing until this time, in ms
	cutFaults  int     // number of active faults that separate its zone from others
	listBlocks int     // number of active faults that withhold list changes from it
	starts     uint64  // number of starts and kills, its incarnation: events of an earlier one are dropped

	balancer     module
	actions      []balancer.Action
	calls        map[uint32]*call
	callOrder    []*call // in the order of arrival; ended ones are removed in bulk
	lastID       uint32
	conns        map[uint32]*serverConns
	known        map[uint32]balancer.ServerEntry // list entries that the module has
	listPosition int                             // number of list changes that it has received; -1 before its first list
	listPending  bool                            // further changes are scheduled
	usable       int
	overrides    override.Set
	sizer        *subset.Sizer         // nil if it uses all servers
	levels       *levelState           // nil without levels
	learned      balancer.LearnedState // saved for its next start
	shedder      *loadshed.Shedder     // nil if sidecars do not share load summaries
}

// start starts the sidecar. The first start has the current list of discovery at once, unless the scenario says otherwise; later ones
// receive it after the delay of discovery.
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
			learned, _ := warmstart.Decay(h.learned, w.now())
			b.Import(learned)
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
	receiveList := func() {
		h.listPosition = len(w.discovery.changes)
		h.applyFullList(balancer.ListFull)
	}
	if w.scenario.Copies.Cold || h.starts > 1 { // the list arrives after the delay of discovery
		h.later(w.listDelay(h), receiveList)
	} else {
		receiveList()
	}
}

// saveLearned saves the learned state of the module, and schedules its next call.
func (h *sidecar) saveLearned() {
	h.learned = h.balancer.Export()
	h.later(h.sim.scenario.Copies.Keep.MS(), h.saveLearned)
}

// later calls do after ms, unless the sidecar has ended by then. If it is stalled then, do is called at the end of the stall.
func (h *sidecar) later(ms float64, do func()) {
	incarnation := h.starts
	h.sim.clock.after(ms, func() { h.run(incarnation, do) })
}

// run calls do, now or at the end of a stall, if the sidecar still runs in the given incarnation.
func (h *sidecar) run(incarnation uint64, do func()) {
	switch {
	case h.starts != incarnation || !h.up:
	case h.stalled > h.sim.now():
		h.sim.clock.schedule(h.stalled, func() { h.run(incarnation, do) })
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

// replicaID returns the id of the sidecar in facts of the rules.
func (h *sidecar) replicaID() uint32 { return uint32(h.rank) + 1 }

// shutDown ends the sidecar: at once with kill, otherwise after it has finished the requests that it has accepted.
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
			h.respondOverdue(c)
		}
	})
	h.later(longest, h.kill)
	if h.sim.scenario.Copies.Keep > 0 {
		h.learned = h.balancer.Export()
	}
}

// kill ends the sidecar at once. Its connections close, and its open requests fail.
func (h *sidecar) kill() {
	w := h.sim
	h.up, h.draining = false, false
	h.starts++
	var failedCalls []*call
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
			failedCalls = append(failedCalls, c)
		}
	}
	for _, l := range h.conns { // in any order: the results do not depend on it
		l.dropAll()
	}
	w.record(&rules.Fact{Kind: rules.ReplicaKilled, Replica: h.replicaID()})
	for _, c := range failedCalls {
		w.deliverResponse(c, rules.Failed, 0)
	}
}
