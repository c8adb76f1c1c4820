package modelcheck

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// stepFaults are the faults that are injected within a change of the voter configuration.
var stepFaults = []string{
	"node_kill", "node_kill", "node_freeze", "node_freeze", "node_wipe", "core_cut", "link_cut", "link_cut",
	"reset_conns", "disk_stall", "link_slow",
	"link_loss", "herd_kill", "after_ack_wipe", "pair_cut", "replace_core",
}

// DrawStep draws a plan with faults at changes of the voter configuration. One node is partitioned from some others, so that a learner
// replaces it, while it keeps proposing to those that it reaches. Further faults follow shortly after each change. Configurations have
// up to eleven voters.
func DrawStep(seed uint64) Plan {
	rng := rand.New(rand.NewPCG(seed, 2))
	randomBelow := func(d time.Duration) time.Duration { return time.Duration(rng.Int64N(int64(d))) }
	p := Plan{Seed: seed, InitialVoters: []int{3, 3, 3, 3, 3, 3, 3, 3, 5, 5, 5, 7, 9, 11}[rng.IntN(14)]}
	p.Nodes = p.InitialVoters + 1 + rng.IntN(2)
	p.FaultBudget = (p.InitialVoters - 1) / 2
	p.End = time.Duration(6+rng.IntN(4)) * time.Second
	partitioned, startAt := rng.IntN(p.InitialVoters), 500*time.Millisecond+randomBelow(time.Second)
	others := rng.Perm(p.Nodes)
	others = slices.DeleteFunc(others, func(i int) bool { return i == partitioned })
	for _, i := range others[:1+rng.IntN(len(others))] {
		p.Faults = append(
			p.Faults,
			Fault{Kind: "link_cut", At: startAt, Duration: 2*time.Second + randomBelow(5*time.Second), Node: partitioned, Count: i},
		)
	}
	// The replacement is partitioned from some nodes too, so that the two may not receive each other's proposals.
	if replacement := p.InitialVoters; rng.IntN(2) == 0 {
		for _, i := range []int{partitioned, rng.IntN(p.Nodes)} {
			if i != replacement {
				p.Faults = append(p.Faults, Fault{Kind: "link_cut", At: startAt, Duration: p.End - startAt, Node: replacement, Count: i})
			}
		}
	}
	maxDelay := []time.Duration{5, 30, 100, 300}[rng.IntN(4)] * time.Millisecond
	for range 1 + rng.IntN(4) {
		t := Fault{
			Kind: stepFaults[rng.IntN(len(stepFaults))], AfterStep: true, At: randomBelow(maxDelay),
			Node: rng.IntN(p.Nodes), Count: rng.IntN(p.Nodes),
		}
		if h := faultModes[t.Kind]; h != nil {
			t.Mode = h[rng.IntN(len(h))]
		}
		if t.Kind == "after_ack_wipe" {
			t.Count = 1
		}
		t.Duration = []time.Duration{20, 200, 1000, 2500}[rng.IntN(4)] * time.Millisecond
		p.Faults = append(p.Faults, t)
	}
	if rng.IntN(3) == 0 {
		p.Faults = append(p.Faults, Fault{Kind: "link_slow", At: startAt, Duration: p.End - startAt})
	}
	body := ""
	if rng.IntN(8) == 0 { // large configurations: a link needs a fifth of a second for each
		p.LinkBytesPerSecond, body = 1_000_000, "*200000"
	}
	p.steadyCommands(rng, partitioned, startAt, body)
	p.addInvalidCommands()
	return p
}

// steadyCommands adds commands a few milliseconds apart, half of them to the node that is partitioned.
func (p *Plan) steadyCommands(rng *rand.Rand, partitioned int, startAt time.Duration, large string) {
	keys := []string{"config", "evacuation/z0", "evacuation/z1", "removals", "evacuation/z2", "evacuation/z3"}[:1+rng.IntN(6)]
	number, from := uint64(0), startAt+time.Second+time.Duration(rng.Int64N(int64(time.Second)))
	gap := time.Duration(5+rng.IntN(60)) * time.Millisecond
	for at, i := from, 0; i < 36 && at < p.End; i++ {
		to := []int{partitioned, partitioned, p.InitialVoters, rng.IntN(p.Nodes)}[rng.IntN(4)]
		o := Command{At: at, Kind: "assign", Key: keys[rng.IntN(len(keys))], Body: fmt.Sprintf("o%d", i), Nodes: []int{to}}
		switch {
		case rng.IntN(5) == 0:
			o.Kind, o.Body = "read", ""
		case o.Key == "config":
			number += 1 + uint64(rng.IntN(2))
			o.Kind, o.Number, o.Body = "put", number, fmt.Sprintf("r%d/A%s", number, large)
		case o.Key == "removals":
			o.Kind = "swap"
		}
		for range rng.IntN(3) {
			o.Nodes = append(o.Nodes, rng.IntN(p.Nodes))
		}
		p.Commands = append(p.Commands, o)
		at += gap/2 + time.Duration(rng.Int64N(int64(gap)))
	}
}
