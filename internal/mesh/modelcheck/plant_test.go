package modelcheck

import (
	"flag"
	"testing"
	"time"

	"milletmast/internal/mesh/consensus"
)

// planted wraps the machines of one process.
type planted struct {
	core
	order  func(core, time.Time, uint64, consensus.Change) (consensus.Output, bool)
	answer func(core, time.Time, *consensus.Request) (consensus.Response, consensus.Output)
	told   func(core, time.Time, *consensus.Response) consensus.Output
	lease  func(core, time.Time) time.Duration
	tick   func(core, time.Time)
}

func (p *planted) Propose(now time.Time, id uint64, c consensus.Change) consensus.Output {
	if p.order != nil {
		if out, done := p.order(p.core, now, id, c); done {
			return out
		}
	}
	return p.core.Propose(now, id, c)
}

func (p *planted) HandleRequest(now time.Time, a *consensus.Request) (consensus.Response, consensus.Output) {
	if p.answer != nil {
		return p.answer(p.core, now, a)
	}
	return p.core.HandleRequest(now, a)
}

func (p *planted) HandleResponse(now time.Time, t *consensus.Response) consensus.Output {
	if p.told != nil {
		return p.told(p.core, now, t)
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

// held is what the disk of a process holds for a key.
func held(c core, key string) consensus.Register { return c.Acceptor().Get(key) }

// keepOnly leaves out of what is kept.
func keepOnly(yes func(me string, r *consensus.Register) bool) func(string, *consensus.Output) {
	return func(me string, out *consensus.Output) {
		var kept []consensus.Register
		for _, r := range out.Registers {
			if yes(me, &r) {
				kept = append(kept, r)
			}
		}
		out.Registers = kept
	}
}

// plants are faults in the carrier or around the machines. Each must be found.
var plants = []struct {
	name string
	draw func(uint64) Plan
	seed uint64 // the first by which it was found
	h    hooks
}{
	{"said before it is synced", Draw, 364, hooks{sendBeforeSync: true}},
	{"a write that failed taken for done", Draw, 54, hooks{ignoreWriteErrors: true}},
	{"promises forgotten at a restart", Draw, 13, hooks{restart: func(_ *consensus.VoterConfig, held []consensus.Register) []consensus.Register {
		for i := range held {
			held[i].Promised = held[i].Accepted
		}
		return held
	}}},
	{"what was accepted is not kept", Draw, 4, hooks{persist: keepOnly(func(_ string, r *consensus.Register) bool { return r.Accepted != r.Promised })}},
	{"a proposer keeps nothing, so that a ballot is used twice", Draw, 54, hooks{persist: keepOnly(func(me string, r *consensus.Register) bool {
		return r.Promised.Proposer != me
	})}},
	{"an emptied disk under its old name", Draw, 194, hooks{keepDiskID: true}},
	{"relays at the ballot promised, not accepted", Draw, 27, hooks{respond: func(_ *consensus.Request, t *consensus.Response) {
		for i := range t.Registers {
			t.Registers[i].Accepted = t.Registers[i].Promised
		}
	}}},
	{"a conflict by one disk", Draw, 165, hooks{wrap: func(c core) core {
		return &planted{core: c, order: func(c core, _ time.Time, id uint64, x consensus.Change) (consensus.Output, bool) {
			r := held(c, x.Key)
			if x.Kind != consensus.PutVersion || r.Value.Version != x.Version || string(r.Value.Body) == string(x.Body) {
				return consensus.Output{}, false
			}
			return consensus.Output{Results: []consensus.Result{{Proposal: id, Outcome: consensus.Conflict}}}, true
		}}
	}}},
	{"a reading by one disk", Draw, 64, hooks{wrap: func(c core) core {
		return &planted{core: c, order: func(c core, now time.Time, id uint64, x consensus.Change) (consensus.Output, bool) {
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
	{"an old lease believed after a freeze", Draw, 53, hooks{wrap: func(c core) core {
		var last time.Time
		return &planted{
			core:  c,
			tick:  func(_ core, now time.Time) { last = now },
			lease: func(c core, now time.Time) time.Duration { return c.LeaseRemaining(last) },
		}
	}}},
	{"the epoch of an ask not looked at", DrawStep, 16, hooks{wrap: func(c core) core {
		return &planted{core: c, answer: func(c core, now time.Time, a *consensus.Request) (consensus.Response, consensus.Output) {
			b := *a
			b.Epoch, b.Voters = c.Voters().Epoch, nil
			t, out := c.HandleRequest(now, &b)
			t.Epoch, t.Voters, t.StaleEpoch = a.Epoch, nil, false
			return t, out
		}}
	}}},
}

var bite = flag.Int("bite", 0, "runs in which each fault planted around the machines is to be found, from the first seed on; 0: the seeds that are known")

// TestPlantedFaultsAroundMachines plants faults around the machines, one at a time: each is found, by what must never be and not only by a stall.
func TestPlantedFaultsAroundMachines(t *testing.T) {
	for _, x := range plants {
		t.Run(x.name, func(t *testing.T) {
			first, last := x.seed, x.seed
			if *bite > 0 {
				first, last = 1, uint64(*bite)
			}
			for seed := first; seed <= last; seed++ {
				if r := play(x.draw(seed), x.h); len(r.Violations) > 0 && r.Kind() != "not going" && r.Kind() != "no read" {
					t.Logf("found in run %d: %.300s", seed, r.Violations[0])
					return
				}
			}
			t.Errorf("not found in the runs %d to %d", first, last)
		})
	}
}
