package modelcheck

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Draw draws a run from a seed: one to eleven machines, mostly three or five.
func Draw(seed uint64) Plan {
	lot := rand.New(rand.NewPCG(seed, 1))
	p := Plan{Seed: seed, InitialVoters: []int{1, 3, 3, 3, 3, 3, 3, 5, 5, 7}[lot.IntN(10)]}
	p.Machines = p.InitialVoters + []int{0, 0, 0, 1, 1, 2, 4}[lot.IntN(7)]
	p.FaultBudget = (p.InitialVoters - 1) / 2
	p.End = time.Duration(3+lot.IntN(6)) * time.Second
	// in every other run, most events happen within a few moments and to few machines
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
		p.Faults = append(p.Faults, Fault{Kind: "link_slow", At: max(0, hot[0]-within), Duration: 2 * time.Second})
	}
	for range lot.IntN(9) {
		t := Fault{Kind: faultKinds[lot.IntN(len(faultKinds))], At: moment(), Machine: who(), Count: 1 + lot.IntN(p.FaultBudget+1)}
		if h := faultModes[t.Kind]; h != nil {
			t.Mode = h[lot.IntN(len(h))]
		}
		t.Duration = min([]time.Duration{2, 20, 200, 1000, 3000}[lot.IntN(5)]*time.Millisecond/2*time.Duration(1+lot.IntN(2)), p.End-t.At)
		p.Faults = append(p.Faults, t)
	}
	if lot.IntN(6) == 0 {
		p.rollingOutage(lot)
	}
	p.Commands = drawCommands(lot, p, moment)
	for i := range p.Commands {
		if p.Commands[i].Machines[0] = lot.IntN(p.Machines); lot.IntN(3) == 0 {
			p.Commands[i].Machines[0] = target
		}
	}
	return p
}

// rollingOutage takes one machine after the other away for long, so that others replace them, and
// then kills all of them at once.
func (p *Plan) rollingOutage(lot *rand.Rand) {
	p.End = time.Duration(9+lot.IntN(6)) * time.Second
	p.Machines = p.InitialVoters + 2
	at, long := time.Second, p.End/2+time.Duration(lot.Int64N(int64(p.End/2)))
	for _, i := range lot.Perm(p.Machines) {
		t := Fault{
			Kind:    []string{"node_cut", "core_cut", "pair_cut", "node_freeze", "node_kill", "node_wipe", "replace_core"}[lot.IntN(7)],
			At:      at,
			Machine: i,
			Count:   1,
		}
		if t.Duration = min(long, p.End-t.At); t.Kind == "node_wipe" || t.Kind == "replace_core" {
			t.Duration = 500 * time.Millisecond
		}
		if at += time.Duration(1500+lot.IntN(2500)) * time.Millisecond; at > p.End-time.Second {
			break
		}
		p.Faults = append(p.Faults, t)
	}
	if lot.IntN(2) == 0 {
		p.Faults = append(
			p.Faults,
			Fault{
				Kind:     "herd_kill",
				Mode:     []string{"", "power"}[lot.IntN(2)],
				At:       p.End - 500*time.Millisecond,
				Duration: 100 * time.Millisecond,
			},
		)
	}
}

// drawCommands draws the commands of operators: configurations with rising versions, two with one
// version, older ones again; evacuations; ejections; reads.
func drawCommands(lot *rand.Rand, p Plan, moment func() time.Duration) []Command {
	var out []Command
	add := func(at time.Duration, kind, key string, number uint64, body string) {
		o := Command{At: at, Kind: kind, Key: key, Number: number, Body: body}
		for range 1 + lot.IntN(4) {
			o.Machines = append(o.Machines, lot.IntN(p.Machines))
		}
		out = append(out, o)
	}
	number := uint64(0)
	var times []time.Duration
	for range 2 + lot.IntN(12) {
		times = append(times, moment())
	}
	if lot.IntN(6) == 0 { // many at once
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
		case 0, 1: // two with the same version
			add(at+time.Duration(lot.Int64N(int64(20*time.Millisecond))), "put", "config", number, fmt.Sprintf("r%d/B", number))
		case 2: // the same again, later
			add(at+time.Duration(lot.Int64N(int64(2*time.Second))), "put", "config", number, fmt.Sprintf("r%d/A", number))
		case 3: // an older one
			add(
				at+time.Duration(lot.Int64N(int64(time.Second))),
				"put",
				"config",
				1+uint64(lot.IntN(int(number))),
				fmt.Sprintf("late/%d", number),
			)
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
	for i := range lot.IntN(3) { // a new key, by several callers at once
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
