package modelcheck

import (
	"testing"
	"time"

	"milletmast/internal/mesh/consensus"
)

// TestInvalidConfigurations sends a valid configuration, then an invalid one to every store in turn, and then a valid one with the same
// version, for each defect. Every store refuses the invalid one, and both valid ones are acknowledged.
func TestInvalidConfigurations(t *testing.T) {
	const stores = 3
	for _, d := range defects {
		t.Run(d.name, func(t *testing.T) {
			everywhere := []int{1, 2, 0}
			p := Plan{Seed: 1, InitialVoters: stores, Nodes: stores, FaultBudget: 1, Proxies: 2, End: 6 * time.Second, Commands: []Command{
				{At: 2 * time.Second, Kind: "put", Key: "config", Number: 5, Body: "r5/A", Nodes: []int{0}},
				{At: 3 * time.Second, Kind: "put", Key: "config", Number: 9, Body: "r9/invalid", Nodes: everywhere, Defect: d.name},
				{At: 4 * time.Second, Kind: "read", Key: "config", Nodes: []int{2}},
				{At: 5 * time.Second, Kind: "put", Key: "config", Number: 9, Body: "r9/A", Nodes: []int{1}},
			}}
			sim := new(simulation)
			r := sim.runPlan(p, hooks{})
			if len(r.Violations) > 0 {
				t.Fatal(r.Violations)
			}
			if r.Refused != stores {
				t.Errorf("%d attempts were refused, want %d", r.Refused, stores)
			}
			read := ""
			for _, x := range sim.ops {
				if x.command.Kind == "read" && x.command.At == 4*time.Second && x.result.Value != nil {
					read = string(x.result.Value.Body)
				}
				if x.command.Body == "r9/A" && x.result.Outcome != consensus.Committed {
					t.Errorf("the valid configuration of the same version: outcome %v, want an acknowledgement", x.result.Outcome)
				}
			}
			if read != "r5/A" {
				t.Errorf("%q was read after the invalid configuration, want r5/A", read)
			}
			if got := sim.contentOf["config"][consensus.Version{Number: 9}]; got != "r9/A" {
				t.Errorf("version 9 was %q, want r9/A", got)
			}
		})
	}
}

// Every drawn plan has invalid configurations whose versions are above those that operators have sent before, and a plan is the same as
// without them otherwise.
func TestDrawnPlansHaveInvalidConfigurations(t *testing.T) {
	found := map[string]int{}
	for seed := range uint64(200) {
		for _, p := range []Plan{Draw(seed), DrawStep(seed)} {
			invalid := 0
			for _, o := range p.Commands {
				if o.Defect == "" {
					continue
				}
				invalid++
				found[o.Defect]++
				for _, valid := range p.Commands {
					if valid.Defect == "" && valid.Key == o.Key && valid.At <= o.At && valid.Number >= o.Number {
						t.Errorf("seed %d: %v is not above %v", seed, o, valid)
					}
				}
			}
			if invalid == 0 {
				t.Errorf("seed %d: no invalid configuration", seed)
			}
		}
	}
	for _, d := range defects {
		if found[d.name] == 0 {
			t.Errorf("no drawn plan has a configuration with the defect %q", d.name)
		}
	}
}

// The text of each defect must differ from the valid one, as its replaced part occurs once.
func TestConfigText(t *testing.T) {
	valid := Command{Number: 9, Body: "r9/A"}
	for _, d := range defects {
		invalid := valid
		invalid.Defect = d.name
		if string(configText(invalid)) == string(configText(valid)) {
			t.Errorf("%s: %q is not in the valid text", d.name, d.old)
		}
	}
}
