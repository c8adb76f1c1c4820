package emulate

import (
	"context"
	"errors"
	"fmt"
	"sync"
)

// Run runs a scenario. The same scenario and seed give the same result on every machine.
func Run(sc *Scenario, seed uint64) (*Result, error) { return RunUntil(context.Background(), sc, seed) }

// RunUntil is Run, but it stops with the error of ctx when ctx ends.
func RunUntil(ctx context.Context, sc *Scenario, seed uint64) (*Result, error) {
	w := newSimulation(sc, seed)
	w.isStopped = func() bool { return ctx.Err() != nil }
	w.run()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if w.err != nil {
		return nil, fmt.Errorf("%w: %w", ErrScenario, w.err)
	}
	return w.result, nil
}

// Job is one run of a scenario.
type Job struct {
	Scenario *Scenario
	Variant  string
	Seed     uint64
}

// RunAll runs jobs, several at once, and returns their results in the order of the jobs. OnResult is called with each result, by one
// goroutine at a time; it may be nil. It stops at the first error or when ctx ends.
func RunAll(ctx context.Context, jobs []Job, concurrency int, onResult func(*Result)) ([]*Result, error) {
	results, errs := make([]*Result, len(jobs)), make([]error, len(jobs))
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	next := make(chan int)
	var mu sync.Mutex
	var workers sync.WaitGroup
	for range max(min(concurrency, len(jobs)), 1) {
		workers.Go(func() {
			for i := range next {
				r, err := RunUntil(ctx, jobs[i].Scenario, jobs[i].Seed)
				if err != nil {
					errs[i] = err
					stop()
					continue
				}
				r.Variant = jobs[i].Variant
				results[i] = r
				if onResult != nil {
					mu.Lock()
					onResult(r)
					mu.Unlock()
				}
			}
		})
	}
	for i := range jobs {
		if ctx.Err() != nil {
			break
		}
		next <- i
	}
	close(next)
	workers.Wait()
	for _, err := range errs {
		if err != nil && !errors.Is(err, context.Canceled) {
			return nil, err
		}
	}
	return results, ctx.Err()
}
