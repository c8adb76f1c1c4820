// Package plan finds the smallest fleet that meets its targets, also while parts of it are lost: the number of servers and sidecars,
// the size of subsets and the queue of a server. It searches with runs of the emulator (package emulate), and also reports a lower
// bound for any fleet.
package plan

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"

	"milletmast/internal/emulate"
	"milletmast/internal/operator"
)

// noLoss is the name of the scenario without a loss.
const noLoss = "no loss"

// Size is one combination of the values that a search chooses.
type Size struct {
	Servers int `json:"servers"`
	Copies  int `json:"copies"`
	Subset  int `json:"subset"` // 0 for all servers
	Queue   int `json:"queue"`
}

// String returns the size as in the output of milletmast plan.
func (s Size) String() string {
	subset := "all"
	if s.Subset > 0 {
		subset = fmt.Sprint(s.Subset)
	}
	return fmt.Sprintf("servers=%d copies=%d subset=%s queue=%d", s.Servers, s.Copies, subset, s.Queue)
}

// Plan is a valid plan file and its scenario.
type Plan struct {
	File
	base *emulate.Scenario
}

// Load reads a plan and its scenario.
func Load(path string) (*Plan, error) {
	p := &Plan{}
	if err := operator.Decode(path, &p.File, p.validate); err != nil {
		return nil, err
	}
	operator.ResolvePath(filepath.Dir(path), &p.Scenario)
	base, err := p.loadScenario()
	if err != nil {
		return nil, err
	}
	for i, loss := range p.Losses {
		scenario := *base
		scenario.Faults = loss.Faults
		var problems []string
		scenario.CheckFaults(func(field, text string) { problems = append(problems, field+": "+text) })
		if len(problems) > 0 {
			return nil, fmt.Errorf("%s: survive[%d]: %s", path, i, strings.Join(problems, "; "))
		}
	}
	p.base = base
	return p, nil
}

// loadScenario reads the scenario with the plan's overrides and, after them, further ones.
func (p *Plan) loadScenario(overrides ...string) (*emulate.Scenario, error) {
	return emulate.Load(p.Scenario, slices.Concat(p.Overrides, overrides)...)
}

// targetedScenario is a scenario and the target that has to hold in it.
type targetedScenario struct {
	scenario *emulate.Scenario
	target   Target
}

// scenariosFor returns, for a size, the scenario without a loss and one with each loss.
func (p *Plan) scenariosFor(size Size) ([]targetedScenario, error) {
	base, err := p.loadScenario(fmt.Sprintf("servers.count=%d", size.Servers), fmt.Sprintf("copies.count=%d", size.Copies),
		fmt.Sprintf("pool.subset=%d", size.Subset), fmt.Sprintf("servers.queue=%d", size.Queue))
	if err != nil {
		return nil, err
	}
	base.Name, base.Faults = noLoss, nil
	scenarios := []targetedScenario{{base, p.Target}}
	for _, loss := range p.Losses {
		scenario := *base
		scenario.Name, scenario.Faults = loss.Name, loss.Faults
		scenarios = append(scenarios, targetedScenario{&scenario, loss.Target.withDefaults(p.Target)})
	}
	return scenarios, nil
}
