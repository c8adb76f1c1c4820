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
	FreshSeeds     []int    `toml:"fresh"`       // on which the answer is run again
	MaxEvaluations int      `toml:"evaluations"` // sizes that are tried
	Target         Target   `toml:"target"`
	Search         Search   `toml:"search"`
	Losses         []Loss   `toml:"survive"`
}

// Target is what has to hold with each seed. A value of 0 requires nothing.
type Target struct {
	Share   float64          `toml:"share"`   // least ratio of the offered worth that is served
	Worst   float64          `toml:"worst"`   // least such ratio over any worstSeconds
	Refused float64          `toml:"refused"` // highest ratio of refused requests
	P95     emulate.Duration `toml:"p95"`     // highest of the responses
}

// Search is the range of sizes.
type Search struct {
	Servers []int `toml:"servers"` // the least and the most
	Copies  []int `toml:"copies"`  // the least and the most; absent for those of the scenario
	Subset  []int `toml:"subset"`  // sizes to try, 0 for all servers; absent for that of the scenario
	Queue   []int `toml:"queue"`   // places at a server to try; absent for those of the scenario
}

// Loss is a loss of capacity through which a target has to hold.
type Loss struct {
	Name   string          `toml:"name"`
	Target Target          `toml:"target"` // of the runs with the loss; values of 0 are those of the plan's target
	Faults []emulate.Fault `toml:"fault"`
}

// Bounds of a plan file.
const (
	maxEvaluations = 10_000
	maxSeeds       = 100
	maxServers     = 20_000
	maxCopies      = 10_000
	maxP95         = time.Hour
)

// SetDefaults sets the defaults: a small search.
func (f *File) SetDefaults() {
	*f = File{Seeds: []int{1, 2, 3}, FreshSeeds: []int{101, 102, 103}, MaxEvaluations: 60}
}

// complainFunc receives one error of a field.
type complainFunc = func(field, text string)

// validate reports every error of the file.
func (f *File) validate(complain complainFunc) {
	if f.Scenario == "" {
		complain("scenario", "is missing: the file that tells demand and servers")
	}
	f.validateSeeds(complain)
	if f.MaxEvaluations < 1 || f.MaxEvaluations > maxEvaluations {
		complain("evaluations", fmt.Sprintf("%d is not within 1 and %d", f.MaxEvaluations, maxEvaluations))
	}
	f.Target.validate("target", complain)
	if f.Target == (Target{}) {
		complain("target", "asks for nothing")
	}
	f.Search.validate(complain)
	f.validateLosses(complain)
}

func (f *File) validateSeeds(complain complainFunc) {
	if len(f.Seeds) == 0 || len(f.Seeds) > maxSeeds {
		complain("seeds", fmt.Sprintf("%d of them; 1 to %d can be played", len(f.Seeds), maxSeeds))
	}
	for i, seed := range f.Seeds {
		if seed < 0 {
			complain(fmt.Sprintf("seeds[%d]", i), fmt.Sprintf("%d is negative", seed))
		}
		if slices.Contains(f.FreshSeeds, seed) {
			complain("fresh", fmt.Sprintf("%d is one of the seeds: it shows nothing new", seed))
		}
	}
}

func (f *File) validateLosses(complain complainFunc) {
	names := map[string]bool{noLoss: true}
	for i := range f.Losses {
		loss, field := &f.Losses[i], fmt.Sprintf("survive[%d]", i)
		if loss.Name == "" || names[loss.Name] {
			complain(field+".name", fmt.Sprintf("%q is empty or taken", loss.Name))
		}
		names[loss.Name] = true
		if len(loss.Faults) == 0 {
			complain(field+".fault", "is missing: what befalls the fleet?")
		}
		loss.Target.validate(field+".target", complain)
	}
}

func (s *Search) validate(complain complainFunc) {
	validateRange("search.servers", s.Servers, maxServers, complain)
	if len(s.Copies) > 0 {
		validateRange("search.copies", s.Copies, maxCopies, complain)
	}
	validateNotNegative("search.subset", s.Subset, complain)
	validateNotNegative("search.queue", s.Queue, complain)
}

// validateRange reports an error unless values are a range [least, most].
func validateRange(field string, values []int, limit int, complain complainFunc) {
	if len(values) != 2 || values[0] < 1 || values[1] < values[0] || values[1] > limit {
		complain(field, fmt.Sprintf("%v is no range: write [least, most], within 1 and %d", values, limit))
	}
}

func validateNotNegative(field string, values []int, complain complainFunc) {
	for _, value := range values {
		if value < 0 {
			complain(field, fmt.Sprintf("%d is negative", value))
		}
	}
}

func (t *Target) validate(field string, complain complainFunc) {
	for _, ratio := range []struct {
		name  string
		value float64
	}{{"share", t.Share}, {"worst", t.Worst}, {"refused", t.Refused}} {
		if !(ratio.value >= 0 && ratio.value <= 1) { // also for NaN
			complain(field+"."+ratio.name, fmt.Sprintf("%v is not within 0 and 1", ratio.value))
		}
	}
	if time.Duration(t.P95) > maxP95 {
		complain(field+".p95", fmt.Sprintf("%v is over an hour", t.P95))
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
