package explore

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Draw draws a run from a seed: from one machine to eleven, mostly three or five.
func Draw(seed uint64) Plan {
	lot := rand.New(rand.NewPCG(seed, 1))
	p := Plan{Seed: seed, Seeds: []int{1, 3, 3, 3, 3, 3, 3, 5, 5, 7}[lot.IntN(10)]}
	p.Machines = p.Seeds + []int{0, 0, 0, 1, 1, 2, 4}[lot.IntN(7)]
	p.Losses = (p.Seeds - 1) / 2
	p.End = time.Duration(3+lot.IntN(6)) * time.Second
	// In every other run, most of what happens happens within a few moments, and to few machines.
	upTo := func(d time.Duration) time.Duration { return time.Duration(lot.Int64N(int64(d))) }
	hot := make([]time.Duration, lot.IntN(2)*(1+lot.IntN(3)))
	for i := range hot {
		hot[i] = upTo(p.End - 300*time.Millisecond)
	}
	within := []time.Duration{10, 50, 200}[lot.IntN(3)] * time.Millisecond
	moment := func() time.Duration {
		if len(hot) > 0 && lot.IntN(4) > 0 {
			return hot[lot.IntN(len(hot))] + upTo(within)
		}
		return upTo(p.End)
	}
	target := lot.IntN(p.Machines)
	who := func() int {
		if len(hot) > 0 && lot.IntN(2) == 0 {
			return target
		}
		return lot.IntN(p.Machines)
	}
	if len(hot) > 0 && lot.IntN(2) == 0 {
		p.Troubles = append(p.Troubles, Trouble{Kind: "link_slow", At: max(0, hot[0]-within), For: 2 * time.Second})
	}
	for range lot.IntN(9) {
		t := Trouble{Kind: kinds[lot.IntN(len(kinds))], At: moment(), Who: who(), Count: 1 + lot.IntN(p.Losses+1)}
		if h := hows[t.Kind]; h != nil {
			t.How = h[lot.IntN(len(h))]
		}
		t.For = min([]time.Duration{2, 20, 200, 1000, 3000}[lot.IntN(5)]*time.Millisecond/2*time.Duration(1+lot.IntN(2)), p.End-t.At)
		p.Troubles = append(p.Troubles, t)
	}
	if lot.IntN(6) == 0 {
		p.roll(lot)
	}
	p.Orders = orders(lot, p, moment)
	for i := range p.Orders {
		if p.Orders[i].To[0] = lot.IntN(p.Machines); lot.IntN(3) == 0 {
			p.Orders[i].To[0] = target
		}
	}
	return p
}

// roll has one machine after the other away for long, so that others take their places, and then all of them killed at once.
func (p *Plan) roll(lot *rand.Rand) {
	p.End = time.Duration(9+lot.IntN(6)) * time.Second
	p.Machines = p.Seeds + 2
	at, long := time.Second, p.End/2+time.Duration(lot.Int64N(int64(p.End/2)))
	for _, i := range lot.Perm(p.Machines) {
		t := Trouble{Kind: []string{"node_cut", "core_cut", "pair_cut", "node_freeze", "node_kill", "node_wipe", "replace_core"}[lot.IntN(7)], At: at, Who: i, Count: 1}
		if t.For = min(long, p.End-t.At); t.Kind == "node_wipe" || t.Kind == "replace_core" {
			t.For = 500 * time.Millisecond
		}
		if at += time.Duration(1500+lot.IntN(2500)) * time.Millisecond; at > p.End-time.Second {
			break
		}
		p.Troubles = append(p.Troubles, t)
	}
	if lot.IntN(2) == 0 {
		p.Troubles = append(p.Troubles, Trouble{Kind: "herd_kill", How: []string{"", "power"}[lot.IntN(2)], At: p.End - 500*time.Millisecond, For: 100 * time.Millisecond})
	}
}

// orders draws what operators order: configurations whose numbers rise, two on one number, older ones again; evacuations; removals;
// readings.
func orders(lot *rand.Rand, p Plan, moment func() time.Duration) []Order {
	var out []Order
	add := func(at time.Duration, kind, key string, number uint64, body string) {
		o := Order{At: at, Kind: kind, Key: key, Number: number, Body: body}
		for range 1 + lot.IntN(4) {
			o.To = append(o.To, lot.IntN(p.Machines))
		}
		out = append(out, o)
	}
	number := uint64(0)
	var times []time.Duration
	for range 2 + lot.IntN(12) {
		times = append(times, moment())
	}
	if lot.IntN(6) == 0 { // a storm
		at := moment()
		for i := range 15 {
			times = append(times, at+time.Duration(i*lot.IntN(30))*time.Millisecond)
		}
	}
	slices.Sort(times)
	for _, at := range times {
		number += 1 + uint64(lot.IntN(2))
		add(at, "put", "config", number, fmt.Sprintf("r%d/A", number))
		switch lot.IntN(6) {
		case 0, 1: // a race
			add(at+time.Duration(lot.Int64N(int64(20*time.Millisecond))), "put", "config", number, fmt.Sprintf("r%d/B", number))
		case 2: // again, later
			add(at+time.Duration(lot.Int64N(int64(2*time.Second))), "put", "config", number, fmt.Sprintf("r%d/A", number))
		case 3: // a late one
			add(at+time.Duration(lot.Int64N(int64(time.Second))), "put", "config", 1+uint64(lot.IntN(int(number))), fmt.Sprintf("late/%d", number))
		}
	}
	for i := range lot.IntN(10) {
		zone := fmt.Sprintf("evacuation/z%d", lot.IntN(2))
		body := fmt.Sprintf("o%d", i)
		if lot.IntN(3) == 0 {
			body = []string{"on", "off"}[lot.IntN(2)]
		}
		add(moment(), "assign", zone, 0, body)
	}
	for i := range lot.IntN(3) { // a new key, all at once
		at, key := moment(), fmt.Sprintf("evacuation/y%d", i)
		for j := range 2 + lot.IntN(5) {
			kind := []string{"assign", "read", "swap"}[lot.IntN(3)]
			add(at+time.Duration(lot.Int64N(int64(100*time.Millisecond))), kind, key, 0, fmt.Sprintf("y%d", j))
		}
	}
	for i := range lot.IntN(6) {
		add(moment(), "swap", "removals", 0, fmt.Sprintf("s%d", i))
	}
	for range 2 + lot.IntN(10) {
		add(moment(), "read", []string{"config", "config", "evacuation/z0", "removals"}[lot.IntN(4)], 0, "")
	}
	return out
}
