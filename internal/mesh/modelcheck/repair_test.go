package modelcheck

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"milletmast/internal/mesh/consensus"
)

// TestRepairTimes measures the time from the loss of a disk to a voter configuration without it that is as large as before. A node may
// need four seconds to catch up, and half of that with a time scale of 0.5; the repair must not take longer, also if another loss
// follows. Acknowledged commands must not be lost meanwhile.
func TestRepairTimes(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name      string
		voters    int
		nodes     int
		faults    []Fault
		timeScale float64
	}{
		{"wiped, back after 0.5 s", 3, 3, []Fault{{Kind: "node_wipe", At: 3 * time.Second, Duration: 500 * time.Millisecond}}, 1},
		{"wiped, one of five", 5, 5, []Fault{{Kind: "node_wipe", At: 3 * time.Second, Duration: 500 * time.Millisecond}}, 1},
		{"replaced at another address after 1 s", 3, 3, []Fault{{Kind: "replace_core", At: 3 * time.Second, Duration: 2 * time.Second}}, 1},
		{"replaced as planned", 3, 3, []Fault{{Kind: "replace_core", Mode: "planned", At: 3 * time.Second, Duration: 2 * time.Second}}, 1},
		{"two wiped, four seconds apart", 3, 3, []Fault{
			{Kind: "node_wipe", At: 3 * time.Second, Duration: 500 * time.Millisecond}, {Kind: "node_wipe", At: 7 * time.Second, Duration: 500 * time.Millisecond, Node: 1},
		}, 1},
		{"wiped, back after 0.3 s, time scale 0.5", 3, 3, []Fault{{Kind: "node_wipe", At: 3 * time.Second, Duration: 300 * time.Millisecond}}, 0.5},
		{"replaced at another address after 0.5 s, time scale 0.5", 3, 3, []Fault{{Kind: "replace_core", At: 3 * time.Second, Duration: time.Second}}, 0.5},
	} {
		var took []time.Duration
		for seed := range uint64(60) {
			p := Plan{Seed: seed, TimeScale: c.timeScale, InitialVoters: c.voters, Nodes: c.nodes, FaultBudget: c.voters / 2, End: 12 * time.Second, Faults: slices.Clone(c.faults)}
			for i := range p.Faults {
				p.Faults[i].Node = (p.Faults[i].Node + int(seed)) % c.voters
			}
			for i := range 20 {
				p.Commands = append(p.Commands, Command{
					At: time.Duration(i+1) * 500 * time.Millisecond, Kind: "put", Key: "config", Number: uint64(i + 1), Body: fmt.Sprint(i), Nodes: []int{i % 3, (i + 1) % 3},
				})
			}
			r := Run(p)
			if len(r.Violations) > 0 {
				t.Fatalf("%v%v", p, r.Violations)
			}
			if len(r.RepairTimes) != len(c.faults) {
				t.Fatalf("%v: %d losses were repaired, want %d", p, len(r.RepairTimes), len(c.faults))
			}
			took = append(took, r.RepairTimes...)
		}
		slices.Sort(took)
		t.Logf("%s: median %v, worst %v", c.name, took[len(took)/2], took[len(took)-1])
		if worst := took[len(took)-1]; worst > time.Duration(c.timeScale*float64(4*time.Second)) {
			t.Errorf("%s: the slowest repair took %v", c.name, worst)
		}
	}
}

// TestSameVersionAtLoneNode puts content A of a version at a node that is alone, so that it is not committed, and content B of the
// same version at the others, which commit it. Then B must be acknowledged at the first node too, and A must conflict.
func TestSameVersionAtLoneNode(t *testing.T) {
	p := Plan{Seed: 1, InitialVoters: 3, Nodes: 3, FaultBudget: 1, End: 10 * time.Second}
	p.Faults = []Fault{
		{Kind: "node_kill", At: 2 * time.Second, Duration: 3 * time.Second, Node: 1}, {Kind: "node_kill", At: 2 * time.Second, Duration: 3 * time.Second, Node: 2},
		{Kind: "node_kill", At: 4500 * time.Millisecond, Duration: 3 * time.Second, Node: 0},
	}
	put := func(at time.Duration, body string, to int) {
		p.Commands = append(p.Commands, Command{At: at, Kind: "put", Key: "config", Number: 5, Body: body, Nodes: []int{to}})
	}
	put(2500*time.Millisecond, "A", 0)
	put(6500*time.Millisecond, "B", 1)
	put(8500*time.Millisecond, "B", 0)
	put(9*time.Second, "A", 2)
	w := new(simulation)
	r := w.runPlan(p, hooks{})
	if len(r.Violations) > 0 {
		t.Fatal(r.Violations)
	}
	for i, want := range []consensus.Outcome{0, consensus.Committed, consensus.Committed, consensus.Conflict} {
		if o := w.ops[i]; o.result.Outcome != want {
			t.Errorf("%v: outcome %d, want %d", o.command, o.result.Outcome, want)
		}
	}
}
