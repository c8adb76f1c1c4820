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

// DrawStep draws a run that aims at changes of the voter configuration: one machine is out of sight
// of some others, so that a learner replaces it, while it goes on proposing to those that it
// reaches; then faults follow within milliseconds of each step. Configurations have up to eleven
// voters.
func DrawStep(seed uint64) Plan {
	lot := rand.New(rand.NewPCG(seed, 2))
	upTo := func(d time.Duration) time.Duration { return time.Duration(lot.Int64N(int64(d))) }
	p := Plan{Seed: seed, InitialVoters: []int{3, 3, 3, 3, 3, 3, 3, 3, 5, 5, 5, 7, 9, 11}[lot.IntN(14)]}
	p.Machines = p.InitialVoters + 1 + lot.IntN(2)
	p.FaultBudget = (p.InitialVoters - 1) / 2
	p.End = time.Duration(6+lot.IntN(4)) * time.Second
	gone, began := lot.IntN(p.InitialVoters), 500*time.Millisecond+upTo(time.Second)
	others := lot.Perm(p.Machines)
	others = slices.DeleteFunc(others, func(i int) bool { return i == gone })
	for _, i := range others[:1+lot.IntN(len(others))] {
		p.Faults = append(
			p.Faults,
			Fault{Kind: "link_cut", At: began, Duration: 2*time.Second + upTo(5*time.Second), Machine: gone, Count: i},
		)
	}
	// Its replacement reaches some and not others, too: the two do not see each other's proposals.
	if comes := p.InitialVoters; lot.IntN(2) == 0 {
		for _, i := range []int{gone, lot.IntN(p.Machines)} {
			if i != comes {
				p.Faults = append(p.Faults, Fault{Kind: "link_cut", At: began, Duration: p.End - began, Machine: comes, Count: i})
			}
		}
	}
	within := []time.Duration{5, 30, 100, 300}[lot.IntN(4)] * time.Millisecond
	for range 1 + lot.IntN(4) {
		t := Fault{
			Kind: stepFaults[lot.IntN(len(stepFaults))], AfterStep: true, At: upTo(within),
			Machine: lot.IntN(p.Machines), Count: lot.IntN(p.Machines),
		}
		if h := faultModes[t.Kind]; h != nil {
			t.Mode = h[lot.IntN(len(h))]
		}
		if t.Kind == "after_ack_wipe" {
			t.Count = 1
		}
		t.Duration = []time.Duration{20, 200, 1000, 2500}[lot.IntN(4)] * time.Millisecond
		p.Faults = append(p.Faults, t)
	}
	if lot.IntN(3) == 0 {
		p.Faults = append(p.Faults, Fault{Kind: "link_slow", At: began, Duration: p.End - began})
	}
	body := ""
	if lot.IntN(8) == 0 { // large configurations, over links that need a fifth of a second for one
		p.LinkBytesPerSecond, body = 1_000_000, "*200000"
	}
	p.steadyCommands(lot, gone, began, body)
	return p
}

// steadyCommands adds commands a few milliseconds apart, half of them through the machine that is
// out of sight.
func (p *Plan) steadyCommands(lot *rand.Rand, gone int, began time.Duration, large string) {
	keys := []string{"config", "evacuation/z0", "evacuation/z1", "removals", "evacuation/z2", "evacuation/z3"}[:1+lot.IntN(6)]
	number, from := uint64(0), began+time.Second+time.Duration(lot.Int64N(int64(time.Second)))
	gap := time.Duration(5+lot.IntN(60)) * time.Millisecond
	for at, i := from, 0; i < 36 && at < p.End; i++ {
		to := []int{gone, gone, p.InitialVoters, lot.IntN(p.Machines)}[lot.IntN(4)]
		o := Command{At: at, Kind: "assign", Key: keys[lot.IntN(len(keys))], Body: fmt.Sprintf("o%d", i), Machines: []int{to}}
		switch {
		case lot.IntN(5) == 0:
			o.Kind, o.Body = "read", ""
		case o.Key == "config":
			number += 1 + uint64(lot.IntN(2))
			o.Kind, o.Number, o.Body = "put", number, fmt.Sprintf("r%d/A%s", number, large)
		case o.Key == "removals":
			o.Kind = "swap"
		}
		for range lot.IntN(3) {
			o.Machines = append(o.Machines, lot.IntN(p.Machines))
		}
		p.Commands = append(p.Commands, o)
		at += gap/2 + time.Duration(lot.Int64N(int64(gap)))
	}
}
