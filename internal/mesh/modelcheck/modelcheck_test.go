package modelcheck

import (
	"flag"
	"os"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"
)

func TestMain(m *testing.M) {
	debug.SetGCPercent(1000) // there are many short runs with little live memory
	os.Exit(m.Run())
}

// TestNoFaults runs one, three and five nodes without faults: commands are acknowledged, and all stores recover with a lease. Five
// nodes start with three voters, so that a joint configuration is used.
func TestNoFaults(t *testing.T) {
	for _, n := range []int{1, 3, 5} {
		p := Plan{Seed: 1, InitialVoters: min(n, 3), Nodes: n, FaultBudget: 1, End: 4 * time.Second}
		for i := range 5 {
			p.Commands = append(p.Commands, Command{At: time.Duration(i+1) * 500 * time.Millisecond, Kind: "put", Key: "config", Number: uint64(i + 1), Body: "a", Nodes: []int{i % n}})
		}
		r := Run(p)
		if len(r.Violations) > 0 {
			t.Fatalf("%d nodes: %v", n, r.Violations)
		}
		t.Logf("%d nodes: recovered after %v, epoch %d, %d events, %d answers", n, r.RecoveredAfter, r.Epochs, r.Events, r.Answered)
	}
}

var (
	runs   = flag.Int("runs", 1000, "number of random runs")
	steps  = flag.Int("steps", 125, "number of random runs with faults at changes of the voter configuration")
	first  = flag.Uint64("first", 1, "seed of the first run")
	shrink = flag.Bool("shrink", true, "remove what is not needed from a plan that fails")
)

// TestRandomFaults runs plans that are drawn from seeds.
func TestRandomFaults(t *testing.T) { testSeeds(t, Draw, *runs) }

// TestFaultsAtSteps runs plans with faults at changes of the voter configuration.
func TestFaultsAtSteps(t *testing.T) { testSeeds(t, DrawStep, *steps) }

func testSeeds(t *testing.T, draw func(uint64) Plan, runs int) {
	began := time.Now()
	all, failed := runSeeds(draw, *first, runs)
	took := time.Since(began)
	t.Logf("%d runs in %v: %.0f a second, %d events, %d answers, %d invalid configurations refused, %d histories checked, %d skipped; slowest (seed %d) recovered after %v",
		runs, took, float64(runs)/took.Seconds(), all.Events, all.Answered, all.Refused, all.CheckedHistories, all.SkippedHistories, all.Epochs, all.RecoveredAfter)
	for _, p := range failed {
		fails := runPlan(p, hooks{})
		if *shrink {
			kind := fails.Kind()
			p = Shrink(p, func(p Plan) bool { return runPlan(p, hooks{}).Kind() == kind })
			fails = runPlan(p, hooks{})
		}
		t.Errorf("%v%s", p, strings.Join(fails.Violations, "\n"))
	}
}

// runSeeds runs the plans of consecutive seeds, a few at a time, until all have run or three have failed.
func runSeeds(draw func(uint64) Plan, first uint64, runs int) (all Report, failed []Plan) {
	var mu sync.Mutex
	var workers sync.WaitGroup
	next := first
	for range min(4, runtime.GOMAXPROCS(0)) {
		workers.Go(func() {
			for {
				mu.Lock()
				seed := next
				next++
				done := seed >= first+uint64(runs) || len(failed) >= 3
				mu.Unlock()
				if done {
					return
				}
				p := draw(seed)
				p.Proxies = int(seed % 4) // proxies do not change what the stores of a run do
				r := runPlan(p, hooks{})
				mu.Lock()
				all.Events += r.Events
				all.Answered += r.Answered
				all.Refused += r.Refused
				all.CheckedHistories += r.CheckedHistories
				all.SkippedHistories += r.SkippedHistories
				all.RepairTimes = append(all.RepairTimes, r.RepairTimes...)
				if r.RecoveredAfter > all.RecoveredAfter {
					all.RecoveredAfter, all.Epochs = r.RecoveredAfter, seed
				}
				if len(r.Violations) > 0 {
					failed = append(failed, p)
				}
				mu.Unlock()
			}
		})
	}
	workers.Wait()
	return all, failed
}

// BenchmarkRuns runs one plan after the other and counts the distinct states that were reached.
func BenchmarkRuns(b *testing.B) {
	states := map[uint64]bool{}
	events, seed := 0, *first
	for b.Loop() {
		r := runPlan(Draw(seed), hooks{states: func(d uint64) { states[d] = true }})
		if len(r.Violations) > 0 {
			b.Fatalf("seed %d: %v", seed, r.Violations)
		}
		events += r.Events
		seed++
	}
	b.ReportMetric(float64(events)/float64(b.N), "events/op")
	b.ReportMetric(float64(len(states)), "states")
}
