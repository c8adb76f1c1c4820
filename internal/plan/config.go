package plan

import (
	"fmt"
	"slices"
	"time"

	"milletmast/internal/emulate"
)

// File is a plan file.
type File struct {
	Scenario       string   `toml:"scenario"` // path of the scenario with demand, pool and servers, relative to the plan's directory
	Overrides      []string `toml:"set"`      // KEY=VALUE, of the scenario
	Seeds          []int    `toml:"seeds"`
	FreshSeeds     []int    `toml:"fresh"`       // seeds with which the answer is run again
	MaxEvaluations int      `toml:"evaluations"` // limit of the sizes that are tried
	Target         Target   `toml:"target"`
	Search         Search   `toml:"search"`
	Losses         []Loss   `toml:"survive"`
}

// Target is the set of requirements that have to hold with each seed. A value of 0 requires nothing.
type Target struct {
	Share   float64          `toml:"share"`   // least ratio of the offered priority weight that is earned
	Worst   float64          `toml:"worst"`   // least such ratio over any worstSeconds
	Refused float64          `toml:"refused"` // highest ratio of refused requests
	P95     emulate.Duration `toml:"p95"`     // highest 95th percentile of the latency
}

// Search is the range of sizes.
type Search struct {
	Servers []int `toml:"servers"` // lower and upper bound
	Copies  []int `toml:"copies"`  // lower and upper bound; absent for the number in the scenario
	Subset  []int `toml:"subset"`  // sizes to try, 0 for all servers; absent for the size in the scenario
	Queue   []int `toml:"queue"`   // queue lengths of a server to try; absent for the length in the scenario
}

// Loss is a loss of capacity through which a target has to hold.
type Loss struct {
	Name   string          `toml:"name"`
	Target Target          `toml:"target"` // for runs with the loss; a value of 0 is replaced by that of the plan's target
	Faults []emulate.Fault `toml:"fault"`
}

// Bounds of a plan file.
const (
	maxEvaluations = 10_000
	maxSeeds       = 100
	maxServers     = 20_000
	maxReplicas    = 10_000
	maxP95         = time.Hour
)

// SetDefaults sets the defaults: a small search.
func (f *File) SetDefaults() {
	*f = File{Seeds: []int{1, 2, 3}, FreshSeeds: []int{101, 102, 103}, MaxEvaluations: 60}
}

// reportFunc receives one error of a field.
type reportFunc = func(field, text string)

// validate reports every error of the file.
func (f *File) validate(report reportFunc) {
	if f.Scenario == "" {
		report("scenario", "is missing: the path of the scenario file with demand, pool and servers")
	}
	f.validateSeeds(report)
	if f.MaxEvaluations < 1 || f.MaxEvaluations > maxEvaluations {
		report("evaluations", fmt.Sprintf("%d is not within 1 and %d", f.MaxEvaluations, maxEvaluations))
	}
	f.Target.validate("target", report)
	if f.Target == (Target{}) {
		report("target", "has no requirement: set share, worst, refused or p95")
	}
	f.Search.validate(report)
	f.validateLosses(report)
}

func (f *File) validateSeeds(report reportFunc) {
	if len(f.Seeds) == 0 || len(f.Seeds) > maxSeeds {
		report("seeds", fmt.Sprintf("%d seeds are given: 1 to %d are allowed", len(f.Seeds), maxSeeds))
	}
	for i, seed := range f.Seeds {
		if seed < 0 {
			report(fmt.Sprintf("seeds[%d]", i), fmt.Sprintf("%d is negative", seed))
		}
		if slices.Contains(f.FreshSeeds, seed) {
			report("fresh", fmt.Sprintf("%d is one of the seeds: fresh seeds must differ from them", seed))
		}
	}
}

func (f *File) validateLosses(report reportFunc) {
	names := map[string]bool{noLoss: true}
	for i := range f.Losses {
		loss, field := &f.Losses[i], fmt.Sprintf("survive[%d]", i)
		if loss.Name == "" || names[loss.Name] {
			report(field+".name", fmt.Sprintf("%q is empty or not unique", loss.Name))
		}
		names[loss.Name] = true
		if len(loss.Faults) == 0 {
			report(field+".fault", "is missing: a loss needs at least one fault")
		}
		loss.Target.validate(field+".target", report)
	}
}

func (s *Search) validate(report reportFunc) {
	validateRange("search.servers", s.Servers, maxServers, report)
	if len(s.Copies) > 0 {
		validateRange("search.copies", s.Copies, maxReplicas, report)
	}
	validateNotNegative("search.subset", s.Subset, report)
	validateNotNegative("search.queue", s.Queue, report)
}

// validateRange reports an error unless values are a range [least, most].
func validateRange(field string, values []int, limit int, report reportFunc) {
	if len(values) != 2 || values[0] < 1 || values[1] < values[0] || values[1] > limit {
		report(field, fmt.Sprintf("%v is no range: write [least, most], within 1 and %d", values, limit))
	}
}

func validateNotNegative(field string, values []int, report reportFunc) {
	for _, value := range values {
		if value < 0 {
			report(field, fmt.Sprintf("%d is negative", value))
		}
	}
}

func (t *Target) validate(field string, report reportFunc) {
	for _, ratio := range []struct {
		name  string
		value float64
	}{{"share", t.Share}, {"worst", t.Worst}, {"refused", t.Refused}} {
		if !(ratio.value >= 0 && ratio.value <= 1) { // also for NaN
			report(field+"."+ratio.name, fmt.Sprintf("%v is not within 0 and 1", ratio.value))
		}
	}
	if time.Duration(t.P95) > maxP95 {
		report(field+".p95", fmt.Sprintf("%v is longer than the allowed %v", t.P95, maxP95))
	}
}

// withDefaults returns the target with the values of base where its own are 0.
func (t Target) withDefaults(base Target) Target {
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
