package plan

import (
	"context"
	"fmt"
	"math"

	"whinknot/internal/emulate"
)

// Answer is what a search has found.
type Answer struct {
	Size        Size     `json:"size"`
	Binds       *Check   `json:"binds"` // what has the least margin at that size
	Below       []*Check `json:"below"` // the sizes with fewer servers that were tried
	Fresh       *Check   `json:"fresh"` // the same size on seeds that the search has not seen
	Bound       Bound    `json:"bound"`
	Evaluations int      `json:"evaluations"`
	Seeds       []int    `json:"seeds"`
}

// Solve searches. An error that wraps ErrInfeasible names what binds. Told hears of each size that was tried; it may be nil.
func (p *Plan) Solve(ctx context.Context, atOnce int, told func(*Check)) (*Answer, error) {
	b := p.bound()
	if b.Servers > p.Search.Servers[1] {
		return nil, fmt.Errorf("%w: %s, so %d servers are needed at least, and %d are allowed", ErrInfeasible, b.Why, b.Servers, p.Search.Servers[1])
	}
	s := &searcher{known: map[Size]*Check{}, left: p.Most, evaluate: func(ctx context.Context, size Size) (*Check, error) {
		c, err := p.evaluate(ctx, size, p.Seeds, atOnce)
		if err == nil && told != nil {
			told(c)
		}
		return c, err
	}}
	start := Size{Copies: p.base.Copies.Count, Subset: p.base.Pool.Subset, Queue: p.base.Servers.Queue}
	if len(p.Search.Copies) == 2 {
		start.Copies = p.Search.Copies[1]
	}
	size, c, err := s.search(ctx, &p.Search, start, b.Servers)
	if err != nil {
		if c != nil {
			return nil, fmt.Errorf("%w: %v", err, c)
		}
		return nil, err
	}
	a := &Answer{Size: size, Binds: c, Bound: b, Evaluations: len(s.order), Seeds: p.Seeds}
	for _, k := range s.order {
		if k.Size.Servers < size.Servers {
			a.Below = append(a.Below, k)
		}
	}
	if len(p.Fresh) > 0 {
		if a.Fresh, err = p.evaluate(ctx, size, p.Fresh, atOnce); err != nil {
			return nil, err
		}
	}
	return a, nil
}

// Check plays one size on seeds.
func (p *Plan) Check(ctx context.Context, size Size, seeds []int, atOnce int) (*Check, error) {
	return p.evaluate(ctx, size, seeds, atOnce)
}

// evaluate plays a size in all scenarios and on all seeds, and tells what is nearest to its target, or furthest beyond.
func (p *Plan) evaluate(ctx context.Context, size Size, seeds []int, atOnce int) (*Check, error) {
	scenarios, targets, err := p.scenarios(size)
	if err != nil {
		return nil, err
	}
	var jobs []emulate.Job
	var aims []Target
	for i, sc := range scenarios {
		for _, seed := range seeds {
			jobs, aims = append(jobs, emulate.Job{Scenario: sc, Seed: uint64(seed)}), append(aims, targets[i])
		}
	}
	results, err := emulate.Play(ctx, jobs, atOnce, nil)
	if err != nil {
		return nil, err
	}
	worst := &Check{Size: size, Margin: math.Inf(1)}
	for i, r := range results {
		for _, m := range aims[i].margins(r) {
			if m.Margin < worst.Margin {
				m.Size, m.Scenario, m.Seed = size, r.Scenario, r.Seed
				worst = &m
			}
		}
	}
	worst.Holds = worst.Margin >= 0
	return worst, nil
}

// margins are the distances of a result from each target, as shares of it. A rule that breaks is the worst of all.
func (t Target) margins(r *emulate.Result) []Check {
	var out []Check
	if r.BreakCount > 0 {
		out = append(out, Check{Figure: "rules broken", Value: float64(r.BreakCount), Margin: -1})
	}
	if t.Share > 0 {
		out = append(out, Check{Figure: "served worth", Value: r.Share, Target: t.Share, Margin: (r.Share - t.Share) / t.Share})
	}
	if t.Worst > 0 {
		w := r.Worst(worstSeconds)
		out = append(out, Check{Figure: "worst 5 s", Value: w, Target: t.Worst, Margin: (w - t.Worst) / t.Worst})
	}
	if t.Refused > 0 {
		n := 0
		for _, c := range r.Classes {
			n += c.Refused
		}
		share := float64(n) / math.Max(float64(r.Asked), 1)
		out = append(out, Check{Figure: "refused", Value: share, Target: t.Refused, Margin: (t.Refused - share) / t.Refused})
	}
	if ms := t.P95.MS(); ms > 0 {
		out = append(out, Check{Figure: "p95 ms", Value: r.P95, Target: ms, Margin: (ms - r.P95) / ms})
	}
	return out
}

const worstSeconds = 5
