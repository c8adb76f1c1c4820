package plan

import (
	"context"
	"fmt"
	"math"

	"milletmast/internal/emulate"
)

// worstSeconds is the length of the window of Target.Worst.
const worstSeconds = 5

// Answer is the result of a search.
type Answer struct {
	Size        Size     `json:"size"`
	Binds       *Check   `json:"binds"` // the result with the least margin at that size
	Below       []*Check `json:"below"` // the sizes with fewer servers that were tried
	Fresh       *Check   `json:"fresh"` // the same size with seeds that the search has not used
	Bound       Bound    `json:"bound"`
	Evaluations int      `json:"evaluations"`
	Seeds       []int    `json:"seeds"`
}

// Solve searches for the smallest size. It runs concurrency runs at once and calls onCheck, which may be nil, after each size. An error
// that wraps ErrInfeasible names the figure that misses its target.
func (p *Plan) Solve(ctx context.Context, concurrency int, onCheck func(*Check)) (*Answer, error) {
	bound := p.bound()
	if most := p.Search.Servers[1]; bound.Servers > most {
		return nil, fmt.Errorf("%w: %s, so %d servers are needed at least, and %d are allowed", ErrInfeasible, bound.Why, bound.Servers, most)
	}
	searcher := newSearcher(func(ctx context.Context, size Size) (*Check, error) {
		result, err := p.Check(ctx, size, p.Seeds, concurrency)
		if err == nil && onCheck != nil {
			onCheck(result)
		}
		return result, err
	}, p.MaxEvaluations)
	start := Size{Copies: p.base.Copies.Count, Subset: p.base.Pool.Subset, Queue: p.base.Servers.Queue}
	if len(p.Search.Copies) == 2 {
		start.Copies = p.Search.Copies[1]
	}
	size, result, err := searcher.search(ctx, &p.Search, start, bound.Servers)
	if err != nil {
		if result != nil {
			return nil, fmt.Errorf("%w: %v", err, result)
		}
		return nil, err
	}
	answer := &Answer{Size: size, Binds: result, Bound: bound, Evaluations: len(searcher.inOrder), Seeds: p.Seeds}
	for _, tried := range searcher.inOrder {
		if tried.Size.Servers < size.Servers {
			answer.Below = append(answer.Below, tried)
		}
	}
	if len(p.FreshSeeds) > 0 {
		if answer.Fresh, err = p.Check(ctx, size, p.FreshSeeds, concurrency); err != nil {
			return nil, err
		}
	}
	return answer, nil
}

// Check runs a size in all scenarios and with all seeds. It returns the figure with the least margin.
func (p *Plan) Check(ctx context.Context, size Size, seeds []int, concurrency int) (*Check, error) {
	scenarios, err := p.scenariosFor(size)
	if err != nil {
		return nil, err
	}
	var jobs []emulate.Job
	var targets []Target
	for _, s := range scenarios {
		for _, seed := range seeds {
			jobs = append(jobs, emulate.Job{Scenario: s.scenario, Seed: uint64(seed)})
			targets = append(targets, s.target)
		}
	}
	results, err := emulate.RunAll(ctx, jobs, concurrency, nil)
	if err != nil {
		return nil, err
	}
	worst := &Check{Size: size, Margin: math.Inf(1)}
	for i, result := range results {
		for _, figure := range targets[i].figures(result) {
			if figure.Margin < worst.Margin {
				figure.Size, figure.Scenario, figure.Seed = size, result.Scenario, result.Seed
				worst = &figure
			}
		}
	}
	worst.Holds = worst.Margin >= 0
	return worst, nil
}

// figures returns the figures of a result that the target requires, with their margins. A broken rule has the lowest margin.
func (t Target) figures(result *emulate.Result) []Check {
	var figures []Check
	if result.ViolationCount > 0 {
		figures = append(figures, Check{Figure: "rules broken", Value: float64(result.ViolationCount), Margin: -1})
	}
	atLeast := func(name string, value, target float64) {
		if target > 0 {
			figures = append(figures, Check{Figure: name, Value: value, Target: target, Margin: (value - target) / target})
		}
	}
	atMost := func(name string, value, target float64) {
		if target > 0 {
			figures = append(figures, Check{Figure: name, Value: value, Target: target, Margin: (target - value) / target})
		}
	}
	atLeast("served worth", result.Share, t.Share)
	atLeast("worst 5 s", result.WorstShare(worstSeconds), t.Worst)
	atMost("refused", refusedRatio(result), t.Refused)
	atMost("p95 ms", result.P95, t.P95.MS())
	return figures
}

// refusedRatio returns the ratio of the requests that were refused.
func refusedRatio(result *emulate.Result) float64 {
	refused := 0
	for _, class := range result.Classes {
		refused += class.Refused
	}
	return float64(refused) / math.Max(float64(result.Asked), 1)
}
