package modelcheck

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"milletmast/internal/mesh/consensus"
)

// TestWhole: from the loss of a disk to a set without it, as large as before, it takes well under the four seconds that a machine may need
// to catch up, and under half of that where the settings leave half; a second loss right after is no worse. Nothing that was acknowledged is lost on the way.
func TestRepairTimes(t *testing.T) {
	for _, c := range []struct {
		name     string
		seeds    int
		machines int
		troubles []Fault
		pace     float64
	}{
		{"emptied, back after 0.5 s", 3, 3, []Fault{{Kind: "node_wipe", At: 3 * time.Second, Duration: 500 * time.Millisecond}}, 1},
		{"emptied, of five", 5, 5, []Fault{{Kind: "node_wipe", At: 3 * time.Second, Duration: 500 * time.Millisecond}}, 1},
		{"replaced at another address after 1 s", 3, 3, []Fault{{Kind: "replace_core", At: 3 * time.Second, Duration: 2 * time.Second}}, 1},
		{"replaced as planned", 3, 3, []Fault{{Kind: "replace_core", Mode: "planned", At: 3 * time.Second, Duration: 2 * time.Second}}, 1},
		{"emptied twice, four seconds apart", 3, 3, []Fault{
			{Kind: "node_wipe", At: 3 * time.Second, Duration: 500 * time.Millisecond}, {Kind: "node_wipe", At: 7 * time.Second, Duration: 500 * time.Millisecond, Machine: 1},
		}, 1},
		{"emptied, back after 0.3 s, half the time", 3, 3, []Fault{{Kind: "node_wipe", At: 3 * time.Second, Duration: 300 * time.Millisecond}}, 0.5},
		{"replaced at another address after 0.5 s, half the time", 3, 3, []Fault{{Kind: "replace_core", At: 3 * time.Second, Duration: time.Second}}, 0.5},
	} {
		var took []time.Duration
		for seed := range uint64(60) {
			p := Plan{Seed: seed, TimeScale: c.pace, InitialVoters: c.seeds, Machines: c.machines, FaultBudget: c.seeds / 2, End: 12 * time.Second, Faults: slices.Clone(c.troubles)}
			for i := range p.Faults {
				p.Faults[i].Machine = (p.Faults[i].Machine + int(seed)) % c.seeds
			}
			for i := range 20 {
				p.Commands = append(p.Commands, Command{
					At: time.Duration(i+1) * 500 * time.Millisecond, Kind: "put", Key: "config", Number: uint64(i + 1), Body: fmt.Sprint(i), Machines: []int{i % 3, (i + 1) % 3},
				})
			}
			r := Play(p)
			if len(r.Violations) > 0 {
				t.Fatalf("%v%v", p, r.Violations)
			}
			if len(r.RepairTimes) != len(c.troubles) {
				t.Fatalf("%v: whole again %d times", p, len(r.RepairTimes))
			}
			took = append(took, r.RepairTimes...)
		}
		slices.Sort(took)
		t.Logf("%s: median %v, worst %v", c.name, took[len(took)/2], took[len(took)-1])
		if worst := took[len(took)-1]; worst > time.Duration(c.pace*float64(4*time.Second)) {
			t.Errorf("%s: %v", c.name, worst)
		}
	}
}

// TestAloneThenOthers: one content under a number, sent to a disk that is alone, then another content acknowledged by the others: that one,
// sent again to the first, is acknowledged, and the one that was never chosen is refused everywhere.
func TestSingleVoterThenMore(t *testing.T) {
	p := Plan{Seed: 1, InitialVoters: 3, Machines: 3, FaultBudget: 1, End: 10 * time.Second}
	p.Faults = []Fault{
		{Kind: "node_kill", At: 2 * time.Second, Duration: 3 * time.Second, Machine: 1}, {Kind: "node_kill", At: 2 * time.Second, Duration: 3 * time.Second, Machine: 2},
		{Kind: "node_kill", At: 4500 * time.Millisecond, Duration: 3 * time.Second, Machine: 0},
	}
	put := func(at time.Duration, body string, to int) {
		p.Commands = append(p.Commands, Command{At: at, Kind: "put", Key: "config", Number: 5, Body: body, Machines: []int{to}})
	}
	put(2500*time.Millisecond, "A", 0)
	put(6500*time.Millisecond, "B", 1)
	put(8500*time.Millisecond, "B", 0)
	put(9*time.Second, "A", 2)
	w := new(simulation)
	r := w.begin(p, hooks{})
	if len(r.Violations) > 0 {
		t.Fatal(r.Violations)
	}
	for i, want := range []consensus.Outcome{0, consensus.Committed, consensus.Committed, consensus.Conflict} {
		if o := w.ops[i]; o.result.Outcome != want {
			t.Errorf("%v: outcome %d, want %d", o.command, o.result.Outcome, want)
		}
	}
}
