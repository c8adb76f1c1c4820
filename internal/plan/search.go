package plan

import (
	"context"
	"errors"
	"fmt"
	"slices"
)

// Check is what was found of one size.
type Check struct {
	Size     Size    `json:"size"`
	Holds    bool    `json:"holds"`
	Scenario string  `json:"scenario"` // the one with the least margin, or the one that fails
	Figure   string  `json:"figure"`   // of it
	Value    float64 `json:"value"`
	Target   float64 `json:"target"`
	Margin   float64 `json:"margin"` // least distance from a target, as a share of it; negative where it fails
	Seed     uint64  `json:"seed"`
}

func (c *Check) String() string {
	word := "holds"
	if !c.Holds {
		word = "fails"
	}
	return fmt.Sprintf("%v %s: %s, seed %d: %s %.4f, target %.4f (margin %+.3f)", c.Size, word, c.Scenario, c.Seed, c.Figure, c.Value, c.Target, c.Margin)
}

// Evaluate tells of one size whether it holds, on all seeds.
type Evaluate func(ctx context.Context, s Size) (*Check, error)

// Errors of a search.
var (
	ErrInfeasible = errors.New("no size within the search holds")
	ErrBudget     = errors.New("the evaluations are used up")
)

// searcher asks for each size once.
type searcher struct {
	evaluate Evaluate
	known    map[Size]*Check
	order    []*Check
	left     int
}

func (s *searcher) check(ctx context.Context, size Size) (*Check, error) {
	if c := s.known[size]; c != nil {
		return c, nil
	}
	if s.left == 0 {
		return nil, ErrBudget
	}
	s.left--
	c, err := s.evaluate(ctx, size)
	if err != nil {
		return nil, err
	}
	s.known[size] = c
	s.order = append(s.order, c)
	return c, nil
}

// least finds the fewest within a range that hold: upward from a guess by steps that double till one holds, then by halves. That more
// never harms is not proved, so both neighbours below the answer are checked too; one of them that holds becomes the answer.
func (s *searcher) least(ctx context.Context, from, to, guess int, size func(n int) Size) (int, *Check, error) {
	failed, held := from-1, 0
	var last *Check
	for n, step := max(min(guess, to), from), 1; ; step *= 2 {
		c, err := s.check(ctx, size(n))
		if err != nil {
			return 0, nil, err
		}
		if c.Holds {
			held = n
			break
		}
		failed, last = n, c
		if n == to {
			return 0, last, ErrInfeasible
		}
		n = min(n+step, to)
	}
	for held-failed > 1 {
		n := failed + (held-failed)/2
		c, err := s.check(ctx, size(n))
		if err != nil {
			return 0, nil, err
		}
		if c.Holds {
			held = n
		} else {
			failed = n
		}
	}
	for below := 1; below <= neighbours && held-below >= from; below++ {
		c, err := s.check(ctx, size(held-below))
		if err != nil {
			return 0, nil, err
		}
		if c.Holds {
			held, below = held-below, 0
		}
	}
	c, err := s.check(ctx, size(held))
	return held, c, err
}

// neighbours is how many sizes right below an answer are known to fail.
const neighbours = 2

// search finds the fewest servers, then with them the fewest copies, then the smallest subset and the shortest queue of those to be
// tried. The order is the price: a server costs most, a place in a queue least.
func (s *searcher) search(ctx context.Context, p *Search, start Size, bound int) (Size, *Check, error) {
	best := start
	n, c, err := s.least(ctx, p.Servers[0], p.Servers[1], max(bound, p.Servers[0]), func(n int) Size { at := best; at.Servers = n; return at })
	if err != nil {
		return best, c, err
	}
	best.Servers = n
	if len(p.Copies) == 2 {
		if n, c, err = s.least(ctx, p.Copies[0], p.Copies[1], p.Copies[0], func(n int) Size { at := best; at.Copies = n; return at }); err != nil {
			return best, c, err
		}
		best.Copies = n
	}
	for _, list := range []struct {
		values []int
		set    func(*Size, int)
	}{
		{p.Subset, func(at *Size, n int) { at.Subset = n }},
		{p.Queue, func(at *Size, n int) { at.Queue = n }},
	} {
		for _, v := range slices.SortedFunc(slices.Values(list.values), allLast) {
			at := best
			list.set(&at, v)
			got, err := s.check(ctx, at)
			if err != nil {
				return best, got, err
			}
			if got.Holds {
				best, c = at, got
				break
			}
		}
	}
	for best.Servers > p.Servers[0] { // it was the fewest with the copies, subset and queue of before
		at := best
		at.Servers--
		got, err := s.check(ctx, at)
		if err != nil {
			return best, got, err
		}
		if !got.Holds {
			break
		}
		best, c = at, got
	}
	return best, c, nil
}

// allLast sorts sizes, with 0 for all servers as the largest.
func allLast(a, b int) int {
	if (a == 0) != (b == 0) {
		return b - a
	}
	return a - b
}
