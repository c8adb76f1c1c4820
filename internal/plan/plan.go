// Package plan finds how many servers and copies, which subset and which queue of a server hold what is asked of a fleet, also while
// parts of it are lost. It searches over the emulator (package emulate); a bound that any fleet obeys stands beside its answer.
package plan

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"whinknot/internal/emulate"
	"whinknot/internal/operator"
)

// File is a plan as it is asked for.
type File struct {
	Scenario string    `toml:"scenario"` // demand, pool and what servers are like; a path from the plan's folder
	Set      []string  `toml:"set"`      // figures of it set anew, as emulate run --set
	Seeds    []int     `toml:"seeds"`
	Fresh    []int     `toml:"fresh"`       // the answer is played again on these
	Most     int       `toml:"evaluations"` // combinations that are tried at most
	Target   Target    `toml:"target"`
	Search   Search    `toml:"search"`
	Survive  []Survive `toml:"survive"`
}

// Target is what has to hold on each seed. A figure of 0 asks for nothing.
type Target struct {
	Share   float64          `toml:"share"`   // of the worth asked for, least
	Worst   float64          `toml:"worst"`   // that over the worst 5 s
	Refused float64          `toml:"refused"` // share of the requests, most
	P95     emulate.Duration `toml:"p95"`     // of answers, most
}

// Search is what can be chosen.
type Search struct {
	Servers []int `toml:"servers"` // the least and the most
	Copies  []int `toml:"copies"`  // likewise; absent: the scenario's
	Subset  []int `toml:"subset"`  // sizes to try, 0 for all servers; absent: the scenario's
	Queue   []int `toml:"queue"`   // places at a server to try; absent: the scenario's
}

// Survive is a loss that has to be survived.
type Survive struct {
	Name   string          `toml:"name"`
	Target Target          `toml:"target"` // while it befalls the fleet; a figure of 0 is the plan's own
	Faults []emulate.Fault `toml:"fault"`
}

// SetDefaults is a small search.
func (f *File) SetDefaults() {
	*f = File{Seeds: []int{1, 2, 3}, Fresh: []int{101, 102, 103}, Most: 60}
}

// maxEvaluations bounds what a plan may take.
const maxEvaluations = 10_000

// Load reads a plan and its scenario.
func Load(path string) (*Plan, error) {
	f := &File{}
	if err := operator.Decode(path, f, f.check); err != nil {
		return nil, err
	}
	operator.Under(filepath.Dir(path), &f.Scenario)
	p := &Plan{File: *f, load: func(sets ...string) (*emulate.Scenario, error) {
		return emulate.Load(f.Scenario, append(slices.Clone(f.Set), sets...)...)
	}}
	base, err := p.load()
	if err != nil {
		return nil, err
	}
	for i, s := range f.Survive {
		sc := *base
		sc.Faults = s.Faults
		var wrong []string
		sc.CheckFaults(func(field, text string) { wrong = append(wrong, field+": "+text) })
		if len(wrong) > 0 {
			return nil, fmt.Errorf("%s: survive[%d]: %s", path, i, strings.Join(wrong, "; "))
		}
	}
	p.base = base
	return p, nil
}

func (f *File) check(complain func(field, text string)) {
	if f.Scenario == "" {
		complain("scenario", "is missing: the file that tells demand and servers")
	}
	if len(f.Seeds) == 0 || len(f.Seeds) > 100 {
		complain("seeds", fmt.Sprintf("%d of them; 1 to 100 can be played", len(f.Seeds)))
	}
	for i, s := range f.Seeds {
		if s < 0 {
			complain(fmt.Sprintf("seeds[%d]", i), fmt.Sprintf("%d is negative", s))
		}
		if slices.Contains(f.Fresh, s) {
			complain("fresh", fmt.Sprintf("%d is one of the seeds: it shows nothing new", s))
		}
	}
	if f.Most < 1 || f.Most > maxEvaluations {
		complain("evaluations", fmt.Sprintf("%d is not within 1 and %d", f.Most, maxEvaluations))
	}
	f.Target.check("target", complain)
	if f.Target == (Target{}) {
		complain("target", "asks for nothing")
	}
	span := func(field string, v []int, needed bool, most int) {
		if len(v) == 0 && !needed {
			return
		}
		if len(v) != 2 || v[0] < 1 || v[1] < v[0] || v[1] > most {
			complain(field, fmt.Sprintf("%v is no range: write [least, most], within 1 and %d", v, most))
		}
	}
	span("search.servers", f.Search.Servers, true, 20_000)
	span("search.copies", f.Search.Copies, false, 10_000)
	for _, n := range f.Search.Subset {
		if n < 0 {
			complain("search.subset", fmt.Sprintf("%d is negative", n))
		}
	}
	for _, n := range f.Search.Queue {
		if n < 0 {
			complain("search.queue", fmt.Sprintf("%d is negative", n))
		}
	}
	names := map[string]bool{calm: true}
	for i := range f.Survive {
		s, at := &f.Survive[i], fmt.Sprintf("survive[%d]", i)
		if s.Name == "" || names[s.Name] {
			complain(at+".name", fmt.Sprintf("%q is empty or taken", s.Name))
		}
		names[s.Name] = true
		if len(s.Faults) == 0 {
			complain(at+".fault", "is missing: what befalls the fleet?")
		}
		s.Target.check(at+".target", complain)
	}
}

func (t *Target) check(field string, complain func(field, text string)) {
	for _, c := range []struct {
		name string
		v    float64
	}{{"share", t.Share}, {"worst", t.Worst}, {"refused", t.Refused}} {
		if !(c.v >= 0 && c.v <= 1) {
			complain(field+"."+c.name, fmt.Sprintf("%v is not within 0 and 1", c.v))
		}
	}
	if time.Duration(t.P95) > time.Hour {
		complain(field+".p95", fmt.Sprintf("%v is over an hour", t.P95))
	}
}

// over is a target with what it leaves open taken from another.
func (t Target) over(base Target) Target {
	if t.Share == 0 {
		t.Share = base.Share
	}
	if t.Worst == 0 {
		t.Worst = base.Worst
	}
	if t.Refused == 0 {
		t.Refused = base.Refused
	}
	if t.P95 == 0 {
		t.P95 = base.P95
	}
	return t
}

// calm is the name of the scenario without a loss.
const calm = "no loss"

// Size is one combination of what can be chosen.
type Size struct {
	Servers int `json:"servers"`
	Copies  int `json:"copies"`
	Subset  int `json:"subset"` // 0 for all servers
	Queue   int `json:"queue"`
}

func (s Size) String() string {
	subset := "all"
	if s.Subset > 0 {
		subset = fmt.Sprint(s.Subset)
	}
	return fmt.Sprintf("servers=%d copies=%d subset=%s queue=%d", s.Servers, s.Copies, subset, s.Queue)
}

// Plan is a plan that can be searched.
type Plan struct {
	File
	base *emulate.Scenario
	load func(sets ...string) (*emulate.Scenario, error)
}

// scenarios are the one without a loss and those with each, at a size.
func (p *Plan) scenarios(s Size) ([]*emulate.Scenario, []Target, error) {
	base, err := p.load(fmt.Sprintf("servers.count=%d", s.Servers), fmt.Sprintf("copies.count=%d", s.Copies),
		fmt.Sprintf("pool.subset=%d", s.Subset), fmt.Sprintf("servers.queue=%d", s.Queue))
	if err != nil {
		return nil, nil, err
	}
	base.Name = calm
	base.Faults = nil
	list, targets := []*emulate.Scenario{base}, []Target{p.Target}
	for _, v := range p.Survive {
		sc := *base
		sc.Name, sc.Faults = v.Name, v.Faults
		list, targets = append(list, &sc), append(targets, v.Target.over(p.Target))
	}
	return list, targets, nil
}
