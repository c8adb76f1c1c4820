package modelcheck

import (
	"flag"
	"strings"
	"testing"
	"time"

	"milletmast/internal/mesh/consensus"
)

// planted wraps the state machines of one process and replaces some of their methods.
type planted struct {
	core
	propose        func(core, time.Time, uint64, consensus.Change) (consensus.Output, bool)
	handleRequest  func(core, time.Time, *consensus.Request) (consensus.Response, consensus.Output)
	handleResponse func(core, time.Time, *consensus.Response) consensus.Output
	lease          func(core, time.Time) time.Duration
	tick           func(core, time.Time)
}

func (p *planted) Propose(now time.Time, id uint64, c consensus.Change) consensus.Output {
	if p.propose != nil {
		if out, done := p.propose(p.core, now, id, c); done {
			return out
		}
	}
	return p.core.Propose(now, id, c)
}

func (p *planted) HandleRequest(now time.Time, a *consensus.Request) (consensus.Response, consensus.Output) {
	if p.handleRequest != nil {
		return p.handleRequest(p.core, now, a)
	}
	return p.core.HandleRequest(now, a)
}

func (p *planted) HandleResponse(now time.Time, t *consensus.Response) consensus.Output {
	if p.handleResponse != nil {
		return p.handleResponse(p.core, now, t)
	}
	return p.core.HandleResponse(now, t)
}

func (p *planted) LeaseRemaining(now time.Time) time.Duration {
	if p.lease != nil {
		return p.lease(p.core, now)
	}
	return p.core.LeaseRemaining(now)
}

func (p *planted) Tick(now time.Time) consensus.Output {
	if p.tick != nil {
		p.tick(p.core, now)
	}
	return p.core.Tick(now)
}

// held returns the register that a process holds for a key.
func held(c core, key string) consensus.Register { return c.Acceptor().Get(key) }

// persistOnly returns a hook that persists only the registers for which isKept holds.
func persistOnly(isKept func(me string, r *consensus.Register) bool) func(string, *consensus.Output) {
	return func(me string, out *consensus.Output) {
		var kept []consensus.Register
		for _, r := range out.Registers {
			if isKept(me, &r) {
				kept = append(kept, r)
			}
		}
		out.Registers = kept
	}
}

// plantedFault is a fault in the code around the state machines.
type plantedFault struct {
	name string
	draw func(uint64) Plan
	seed uint64 // the first seed that finds it
	h    hooks
}

// finds reports whether a run has found the fault: by a safety violation, and by one about invalid configurations if they are accepted.
func (x *plantedFault) finds(r *Report) bool {
	if x.h.acceptInvalid != nil {
		return strings.HasPrefix(r.Kind(), "invalid ")
	}
	return len(r.Violations) > 0 && r.Kind() != "not recovered" && r.Kind() != "no read"
}

// plantedFaults are faults in the validation, storage or network code around the state machines. Each must be found.
var plantedFaults = []plantedFault{
	{"configurations are not validated", Draw, 1, hooks{acceptInvalid: func(string) bool { return true }}},
	{"a target latency a minute above the deadline is accepted if a binary fraction is below it", Draw, 3, hooks{acceptInvalid: func(defect string) bool {
		return defect == "target latency a minute above the deadline, in fractions"
	}}},
	{"configurations whose weights sum to 0 are accepted", DrawStep, 12, hooks{acceptInvalid: func(defect string) bool {
		return defect == "weights that sum to 0"
	}}},
	{"sent before the disk has synced", Draw, 364, hooks{sendBeforeSync: true}},
	{"a failed write counts as done", Draw, 54, hooks{ignoreWriteErrors: true}},
	{"promises lost at a restart", Draw, 13, hooks{restart: func(_ *consensus.VoterConfig, held []consensus.Register) []consensus.Register {
		for i := range held {
			held[i].Promised = held[i].Accepted
		}
		return held
	}}},
	{"accepted values are not persisted", Draw, 4, hooks{persist: persistOnly(func(_ string, r *consensus.Register) bool { return r.Accepted != r.Promised })}},
	{"a proposer does not persist its promises, so that a ballot is used twice", Draw, 54, hooks{persist: persistOnly(func(me string, r *consensus.Register) bool {
		return r.Promised.Proposer != me
	})}},
	{"a wiped disk keeps its identity", Draw, 194, hooks{keepDiskID: true}},
	{"values reported at the promised ballot, not the accepted one", Draw, 27, hooks{respond: func(_ *consensus.Request, t *consensus.Response) {
		for i := range t.Registers {
			t.Registers[i].Accepted = t.Registers[i].Promised
		}
	}}},
	{"a conflict decided by one disk", Draw, 165, hooks{wrap: func(c core) core {
		return &planted{core: c, propose: func(c core, _ time.Time, id uint64, x consensus.Change) (consensus.Output, bool) {
			r := held(c, x.Key)
			if x.Kind != consensus.PutVersion || r.Value.Version != x.Version || string(r.Value.Body) == string(x.Body) {
				return consensus.Output{}, false
			}
			return consensus.Output{Results: []consensus.Result{{Proposal: id, Outcome: consensus.Conflict}}}, true
		}}
	}}},
	{"a read decided by one disk", Draw, 64, hooks{wrap: func(c core) core {
		return &planted{core: c, propose: func(c core, now time.Time, id uint64, x consensus.Change) (consensus.Output, bool) {
			if x.Kind != consensus.Read {
				return consensus.Output{}, false
			}
			res := consensus.Result{Proposal: id, Outcome: consensus.Committed}
			if r := held(c, x.Key); r.Accepted != (consensus.Ballot{}) {
				res.Value = &r.Value
			}
			return consensus.Output{Results: []consensus.Result{res}}, true
		}}
	}}},
	{"an expired lease used after a freeze", Draw, 53, hooks{wrap: func(c core) core {
		var last time.Time
		return &planted{
			core:  c,
			tick:  func(_ core, now time.Time) { last = now },
			lease: func(c core, now time.Time) time.Duration { return c.LeaseRemaining(last) },
		}
	}}},
	{"the epoch of a request is ignored", DrawStep, 16, hooks{wrap: func(c core) core {
		return &planted{core: c, handleRequest: func(c core, now time.Time, a *consensus.Request) (consensus.Response, consensus.Output) {
			b := *a
			b.Epoch, b.Voters = c.Voters().Epoch, nil
			t, out := c.HandleRequest(now, &b)
			t.Epoch, t.Voters, t.StaleEpoch = a.Epoch, nil, false
			return t, out
		}}
	}}},
}

var plantRuns = flag.Int("bite", 0, "number of runs, from seed 1, within which each fault planted around the state machines has to be found; 0: only the known seeds")

// TestPlantedFaultsAroundStateMachines plants one fault at a time around the state machines. Each must be found by a safety violation;
// a lack of progress is not enough.
func TestPlantedFaultsAroundStateMachines(t *testing.T) {
	for _, x := range plantedFaults {
		t.Run(x.name, func(t *testing.T) {
			first, last := x.seed, x.seed
			if *plantRuns > 0 {
				first, last = 1, uint64(*plantRuns)
			}
			for seed := first; seed <= last; seed++ {
				if r := runPlan(x.draw(seed), x.h); x.finds(r) {
					t.Logf("found in run %d: %.300s", seed, r.Violations[0])
					return
				}
			}
			t.Errorf("not found in the runs %d to %d", first, last)
		})
	}
}
