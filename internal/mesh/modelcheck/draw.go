package modelcheck

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Draw draws a plan from a seed: one to eleven nodes, mostly three or five.
func Draw(seed uint64) Plan {
	rng := rand.New(rand.NewPCG(seed, 1))
	p := Plan{Seed: seed, InitialVoters: []int{1, 3, 3, 3, 3, 3, 3, 5, 5, 7}[rng.IntN(10)]}
	p.Nodes = p.InitialVoters + []int{0, 0, 0, 1, 1, 2, 4}[rng.IntN(7)]
	p.FaultBudget = (p.InitialVoters - 1) / 2
	p.End = time.Duration(3+rng.IntN(6)) * time.Second
	// In every other run, most events happen in short bursts and many of them to one node.
	randomBelow := func(d time.Duration) time.Duration { return time.Duration(rng.Int64N(int64(d))) }
	burstTimes := make([]time.Duration, rng.IntN(2)*(1+rng.IntN(3)))
	for i := range burstTimes {
		burstTimes[i] = randomBelow(p.End - 300*time.Millisecond)
	}
	burstLength := []time.Duration{10, 50, 200}[rng.IntN(3)] * time.Millisecond
	drawTime := func() time.Duration {
		if len(burstTimes) > 0 && rng.IntN(4) > 0 {
			return burstTimes[rng.IntN(len(burstTimes))] + randomBelow(burstLength)
		}
		return randomBelow(p.End)
	}
	target := rng.IntN(p.Nodes)
	drawNode := func() int {
		if len(burstTimes) > 0 && rng.IntN(2) == 0 {
			return target
		}
		return rng.IntN(p.Nodes)
	}
	if len(burstTimes) > 0 && rng.IntN(2) == 0 {
		p.Faults = append(p.Faults, Fault{Kind: "link_slow", At: max(0, burstTimes[0]-burstLength), Duration: 2 * time.Second})
	}
	for range rng.IntN(9) {
		t := Fault{Kind: faultKinds[rng.IntN(len(faultKinds))], At: drawTime(), Node: drawNode(), Count: 1 + rng.IntN(p.FaultBudget+1)}
		if h := faultModes[t.Kind]; h != nil {
			t.Mode = h[rng.IntN(len(h))]
		}
		t.Duration = min([]time.Duration{2, 20, 200, 1000, 3000}[rng.IntN(5)]*time.Millisecond/2*time.Duration(1+rng.IntN(2)), p.End-t.At)
		p.Faults = append(p.Faults, t)
	}
	if rng.IntN(6) == 0 {
		p.rollingOutage(rng)
	}
	p.Commands = drawCommands(rng, p, drawTime)
	for i := range p.Commands {
		if p.Commands[i].Nodes[0] = rng.IntN(p.Nodes); rng.IntN(3) == 0 {
			p.Commands[i].Nodes[0] = target
		}
	}
	p.addInvalidCommands()
	return p
}

// rollingOutage adds long faults of one node after the other, so that others replace them as voters. In half of the runs all nodes
// are then killed at once.
func (p *Plan) rollingOutage(rng *rand.Rand) {
	p.End = time.Duration(9+rng.IntN(6)) * time.Second
	p.Nodes = p.InitialVoters + 2
	at, long := time.Second, p.End/2+time.Duration(rng.Int64N(int64(p.End/2)))
	for _, i := range rng.Perm(p.Nodes) {
		t := Fault{
			Kind:  []string{"node_cut", "core_cut", "pair_cut", "node_freeze", "node_kill", "node_wipe", "replace_core"}[rng.IntN(7)],
			At:    at,
			Node:  i,
			Count: 1,
		}
		if t.Duration = min(long, p.End-t.At); t.Kind == "node_wipe" || t.Kind == "replace_core" {
			t.Duration = 500 * time.Millisecond
		}
		if at += time.Duration(1500+rng.IntN(2500)) * time.Millisecond; at > p.End-time.Second {
			break
		}
		p.Faults = append(p.Faults, t)
	}
	if rng.IntN(2) == 0 {
		p.Faults = append(
			p.Faults,
			Fault{
				Kind:     "herd_kill",
				Mode:     []string{"", "power"}[rng.IntN(2)],
				At:       p.End - 500*time.Millisecond,
				Duration: 100 * time.Millisecond,
			},
		)
	}
}

// drawCommands draws the commands of operators: configurations with rising versions, with the same version and with older ones,
// evacuations, ejections and reads.
func drawCommands(rng *rand.Rand, p Plan, drawTime func() time.Duration) []Command {
	var out []Command
	add := func(at time.Duration, kind, key string, number uint64, body string) {
		o := Command{At: at, Kind: kind, Key: key, Number: number, Body: body}
		for range 1 + rng.IntN(4) {
			o.Nodes = append(o.Nodes, rng.IntN(p.Nodes))
		}
		out = append(out, o)
	}
	number := uint64(0)
	var times []time.Duration
	for range 2 + rng.IntN(12) {
		times = append(times, drawTime())
	}
	if rng.IntN(6) == 0 { // many within a short time
		at := drawTime()
		for i := range 15 {
			times = append(times, at+time.Duration(i*rng.IntN(30))*time.Millisecond)
		}
	}
	slices.Sort(times)
	for _, at := range times {
		number += 1 + uint64(rng.IntN(2))
		add(at, "put", "config", number, fmt.Sprintf("r%d/A", number))
		switch rng.IntN(6) {
		case 0, 1: // another content with the same version
			add(at+time.Duration(rng.Int64N(int64(20*time.Millisecond))), "put", "config", number, fmt.Sprintf("r%d/B", number))
		case 2: // the same content again, later
			add(at+time.Duration(rng.Int64N(int64(2*time.Second))), "put", "config", number, fmt.Sprintf("r%d/A", number))
		case 3: // an older version
			add(
				at+time.Duration(rng.Int64N(int64(time.Second))),
				"put",
				"config",
				1+uint64(rng.IntN(int(number))),
				fmt.Sprintf("late/%d", number),
			)
		}
	}
	for i := range rng.IntN(10) {
		zone := fmt.Sprintf("evacuation/z%d", rng.IntN(2))
		body := fmt.Sprintf("o%d", i)
		if rng.IntN(3) == 0 {
			body = []string{"on", "off"}[rng.IntN(2)]
		}
		add(drawTime(), "assign", zone, 0, body)
	}
	for i := range rng.IntN(3) { // a new key, by several callers at once
		at, key := drawTime(), fmt.Sprintf("evacuation/y%d", i)
		for j := range 2 + rng.IntN(5) {
			kind := []string{"assign", "read", "swap"}[rng.IntN(3)]
			add(at+time.Duration(rng.Int64N(int64(100*time.Millisecond))), kind, key, 0, fmt.Sprintf("y%d", j))
		}
	}
	for i := range rng.IntN(6) {
		add(drawTime(), "swap", "removals", 0, fmt.Sprintf("s%d", i))
	}
	for range 2 + rng.IntN(10) {
		add(drawTime(), "read", []string{"config", "config", "evacuation/z0", "removals"}[rng.IntN(4)], 0, "")
	}
	return out
}
