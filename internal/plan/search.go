package plan

import (
	"context"
	"errors"
	"fmt"
	"slices"
)

// Check is the result of running one size.
type Check struct {
	Size     Size    `json:"size"`
	Holds    bool    `json:"holds"`    // all targets are met
	Scenario string  `json:"scenario"` // the one with the least margin
	Figure   string  `json:"figure"`   // the one with the least margin
	Value    float64 `json:"value"`
	Target   float64 `json:"target"`
	Margin   float64 `json:"margin"` // distance from the target as a ratio of it; negative if it is missed
	Seed     uint64  `json:"seed"`
}

// String returns the result on one line.
func (c *Check) String() string {
	result := "holds"
	if !c.Holds {
		result = "fails"
	}
	return fmt.Sprintf("%v %s: %s, seed %d: %s %.4f, target %.4f (margin %+.3f)",
		c.Size, result, c.Scenario, c.Seed, c.Figure, c.Value, c.Target, c.Margin)
}

// checkFunc runs one size with all seeds.
type checkFunc func(ctx context.Context, size Size) (*Check, error)

// Errors of a search.
var (
	ErrInfeasible = errors.New("no size within the search holds")
	ErrBudget     = errors.New("the evaluations are used up")
)

// neighbours is how many sizes right below an answer are checked to fail.
const neighbours = 2

// searcher runs each size at most once.
type searcher struct {
	run       checkFunc
	results   map[Size]*Check
	inOrder   []*Check // the results in the order of their runs
	remaining int      // runs that are left
}

func newSearcher(run checkFunc, maxRuns int) *searcher {
	return &searcher{run: run, results: map[Size]*Check{}, remaining: maxRuns}
}

// check returns the result of a size, and runs it first if it is new. It returns ErrBudget if no runs are left.
func (s *searcher) check(ctx context.Context, size Size) (*Check, error) {
	if result := s.results[size]; result != nil {
		return result, nil
	}
	if s.remaining == 0 {
		return nil, ErrBudget
	}
	s.remaining--
	result, err := s.run(ctx, size)
	if err != nil {
		return nil, err
	}
	s.results[size] = result
	s.inOrder = append(s.inOrder, result)
	return result, nil
}

// dimension is one figure of a size that is searched, between least and most.
type dimension struct {
	least, most int
	sizeWith    func(n int) Size
}

// smallest returns the smallest value of the dimension that holds. It searches upward from a guess by steps that double until one holds,
// and then by bisection. It is not proved that a larger value holds if a smaller one does, so the neighbours below the answer are
// checked too, and one that holds becomes the answer. With ErrInfeasible it returns the result of the largest size.
func (s *searcher) smallest(ctx context.Context, d dimension, guess int) (int, *Check, error) {
	failing, holding, last, err := s.firstHolding(ctx, d, guess)
	if err != nil {
		return 0, last, err
	}
	if holding, err = s.bisect(ctx, d, failing, holding); err != nil {
		return 0, nil, err
	}
	for below := 1; below <= neighbours && holding-below >= d.least; below++ {
		result, err := s.check(ctx, d.sizeWith(holding-below))
		if err != nil {
			return 0, nil, err
		}
		if result.Holds {
			holding, below = holding-below, 0
		}
	}
	result, err := s.check(ctx, d.sizeWith(holding))
	return holding, result, err
}

// firstHolding searches upward from a guess by steps that double. It returns a value that holds and the one before, which fails.
func (s *searcher) firstHolding(ctx context.Context, d dimension, guess int) (failing, holding int, last *Check, err error) {
	failing = d.least - 1
	for n, step := max(min(guess, d.most), d.least), 1; ; step *= 2 {
		result, err := s.check(ctx, d.sizeWith(n))
		if err != nil {
			return 0, 0, nil, err
		}
		if result.Holds {
			return failing, n, result, nil
		}
		if n == d.most {
			return 0, 0, result, ErrInfeasible
		}
		failing = n
		n = min(n+step, d.most)
	}
}

// bisect returns a value that holds whose predecessor fails.
func (s *searcher) bisect(ctx context.Context, d dimension, failing, holding int) (int, error) {
	for holding-failing > 1 {
		middle := failing + (holding-failing)/2
		result, err := s.check(ctx, d.sizeWith(middle))
		if err != nil {
			return 0, err
		}
		if result.Holds {
			holding = middle
		} else {
			failing = middle
		}
	}
	return holding, nil
}

// search returns the size with the fewest servers, with them the fewest copies, then the smallest subset and the shortest queue of
// those to try. The order is by cost: a server costs most, a place in a queue least.
func (s *searcher) search(ctx context.Context, ranges *Search, start Size, minServers int) (Size, *Check, error) {
	best := start
	servers := dimension{ranges.Servers[0], ranges.Servers[1], func(n int) Size { size := best; size.Servers = n; return size }}
	n, result, err := s.smallest(ctx, servers, max(minServers, servers.least))
	if err != nil {
		return best, result, err
	}
	best.Servers = n
	if len(ranges.Copies) == 2 {
		copies := dimension{ranges.Copies[0], ranges.Copies[1], func(n int) Size { size := best; size.Copies = n; return size }}
		if n, result, err = s.smallest(ctx, copies, copies.least); err != nil {
			return best, result, err
		}
		best.Copies = n
	}
	withSubset := func(size Size, n int) Size { size.Subset = n; return size }
	if best, result, err = s.firstOf(ctx, ranges.Subset, best, result, withSubset); err != nil {
		return best, result, err
	}
	withQueue := func(size Size, n int) Size { size.Queue = n; return size }
	if best, result, err = s.firstOf(ctx, ranges.Queue, best, result, withQueue); err != nil {
		return best, result, err
	}
	return s.fewerServers(ctx, best, result, servers.least)
}

// firstOf returns best with the smallest of the values that holds, or best as it is if none does.
func (s *searcher) firstOf(
	ctx context.Context, values []int, best Size, result *Check, with func(Size, int) Size,
) (Size, *Check, error) {
	for _, value := range slices.SortedFunc(slices.Values(values), compareSubsets) {
		candidate := with(best, value)
		found, err := s.check(ctx, candidate)
		if err != nil {
			return best, found, err
		}
		if found.Holds {
			return candidate, found, nil
		}
	}
	return best, result, nil
}

// fewerServers removes servers from best as long as it holds: its number was the smallest for the copies, subset and queue of the
// start, and may be lower for those that were found.
func (s *searcher) fewerServers(ctx context.Context, best Size, result *Check, least int) (Size, *Check, error) {
	for best.Servers > least {
		candidate := best
		candidate.Servers--
		found, err := s.check(ctx, candidate)
		if err != nil {
			return best, found, err
		}
		if !found.Holds {
			break
		}
		best, result = candidate, found
	}
	return best, result, nil
}

// compareSubsets orders sizes of subsets. 0 stands for all servers and is the largest.
func compareSubsets(a, b int) int {
	if (a == 0) != (b == 0) {
		return b - a
	}
	return a - b
}
