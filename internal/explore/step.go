package explore

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// struck are the troubles that strike within a change of the set.
var struck = []string{
	"node_kill", "node_kill", "node_freeze", "node_freeze", "node_wipe", "core_cut", "link_cut", "link_cut", "reset_conns", "disk_stall", "link_slow",
	"link_loss", "herd_kill", "after_ack_wipe", "pair_cut", "replace_core",
}

// DrawStep draws a run that aims at changes of the set: one machine is out of some others' sight, so that another takes its place, while it
// goes on proposing to those that it reaches; then troubles strike within milliseconds of each step. Sets of up to eleven.
func DrawStep(seed uint64) Plan {
	lot := rand.New(rand.NewPCG(seed, 2))
	upTo := func(d time.Duration) time.Duration { return time.Duration(lot.Int64N(int64(d))) }
	p := Plan{Seed: seed, Seeds: []int{3, 3, 3, 3, 3, 3, 3, 3, 5, 5, 5, 7, 9, 11}[lot.IntN(14)]}
	p.Machines = p.Seeds + 1 + lot.IntN(2)
	p.Losses = (p.Seeds - 1) / 2
	p.End = time.Duration(6+lot.IntN(4)) * time.Second
	gone, began := lot.IntN(p.Seeds), 500*time.Millisecond+upTo(time.Second)
	others := lot.Perm(p.Machines)
	others = slices.DeleteFunc(others, func(i int) bool { return i == gone })
	for _, i := range others[:1+lot.IntN(len(others))] {
		p.Troubles = append(p.Troubles, Trouble{Kind: "link_cut", At: began, For: 2*time.Second + upTo(5*time.Second), Who: gone, Count: i})
	}
	if comes := p.Seeds; lot.IntN(2) == 0 { // the one that takes its place reaches some and not others, either: what one proposes the other does not see
		for _, i := range []int{gone, lot.IntN(p.Machines)} {
			if i != comes {
				p.Troubles = append(p.Troubles, Trouble{Kind: "link_cut", At: began, For: p.End - began, Who: comes, Count: i})
			}
		}
	}
	within := []time.Duration{5, 30, 100, 300}[lot.IntN(4)] * time.Millisecond
	for range 1 + lot.IntN(4) {
		t := Trouble{Kind: struck[lot.IntN(len(struck))], Step: true, At: upTo(within), Who: lot.IntN(p.Machines), Count: lot.IntN(p.Machines)}
		if h := hows[t.Kind]; h != nil {
			t.How = h[lot.IntN(len(h))]
		}
		if t.Kind == "after_ack_wipe" {
			t.Count = 1
		}
		t.For = []time.Duration{20, 200, 1000, 2500}[lot.IntN(4)] * time.Millisecond
		p.Troubles = append(p.Troubles, t)
	}
	if lot.IntN(3) == 0 {
		p.Troubles = append(p.Troubles, Trouble{Kind: "link_slow", At: began, For: p.End - began})
	}
	body := ""
	if lot.IntN(8) == 0 { // large configurations, over links that take a fifth of a second for one
		p.Rate, body = 1_000_000, "*200000"
	}
	p.steady(lot, gone, began, body)
	return p
}

// steady has orders come all the while, a few milliseconds apart, half of them by way of the machine that is out of sight.
func (p *Plan) steady(lot *rand.Rand, gone int, began time.Duration, large string) {
	keys := []string{"config", "evacuation/z0", "evacuation/z1", "removals", "evacuation/z2", "evacuation/z3"}[:1+lot.IntN(6)]
	number, from := uint64(0), began+time.Second+time.Duration(lot.Int64N(int64(time.Second)))
	gap := time.Duration(5+lot.IntN(60)) * time.Millisecond
	for at, i := from, 0; i < 36 && at < p.End; i++ {
		to := []int{gone, gone, p.Seeds, lot.IntN(p.Machines)}[lot.IntN(4)]
		o := Order{At: at, Kind: "assign", Key: keys[lot.IntN(len(keys))], Body: fmt.Sprintf("o%d", i), To: []int{to}}
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
			o.To = append(o.To, lot.IntN(p.Machines))
		}
		p.Orders = append(p.Orders, o)
		at += gap/2 + time.Duration(lot.Int64N(int64(gap)))
	}
}
