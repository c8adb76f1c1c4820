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
	debug.SetGCPercent(1000) // many small runs, one after the other
	os.Exit(m.Run())
}

// TestCalm: three machines, no trouble: orders are acknowledged, everybody has a lease; then five machines, by a joint step.
func TestNoFaults(t *testing.T) {
	for _, n := range []int{1, 3, 5} {
		p := Plan{Seed: 1, InitialVoters: min(n, 3), Machines: n, FaultBudget: 1, End: 4 * time.Second}
		for i := range 5 {
			p.Commands = append(p.Commands, Command{At: time.Duration(i+1) * 500 * time.Millisecond, Kind: "put", Key: "config", Number: uint64(i + 1), Body: "a", Machines: []int{i % n}})
		}
		r := Play(p)
		if len(r.Violations) > 0 {
			t.Fatalf("%d machines: %v", n, r.Violations)
		}
		t.Logf("%d machines: going after %v, epoch %d, %d events, %d orders", n, r.RecoveredAfter, r.Epochs, r.Events, r.Answered)
	}
}

var (
	runs   = flag.Int("runs", 1000, "runs that are played")
	steps  = flag.Int("steps", 125, "of those that aim at changes of the set")
	first  = flag.Uint64("first", 1, "the seed of the first")
	shrink = flag.Bool("shrink", true, "make a run that fails smaller")
)

// TestRandomFaults plays runs drawn from seeds.
func TestRandomFaults(t *testing.T) { huntFrom(t, Draw, *runs) }

// TestFaultsAtSteps plays runs drawn from seeds that aim at changes of the set.
func TestFaultsAtSteps(t *testing.T) { huntFrom(t, DrawStep, *steps) }

func huntFrom(t *testing.T, draw func(uint64) Plan, runs int) {
	began := time.Now()
	all, failed := hunt(draw, *first, runs)
	took := time.Since(began)
	t.Logf("%d runs in %v: %.0f a second, %d events, %d answers, %d histories searched, %d not; slowest (seed %d) going after %v",
		runs, took, float64(runs)/took.Seconds(), all.Events, all.Answered, all.CheckedHistories, all.SkippedHistories, all.Epochs, all.RecoveredAfter)
	for _, p := range failed {
		fails := play(p, hooks{})
		if *shrink {
			kind := fails.Kind()
			p = Shrink(p, func(p Plan) bool { return play(p, hooks{}).Kind() == kind })
			fails = play(p, hooks{})
		}
		t.Errorf("%v%s", p, strings.Join(fails.Violations, "\n"))
	}
}

// hunt plays runs, a few at a time, until some have failed.
func hunt(draw func(uint64) Plan, first uint64, runs int) (all Report, failed []Plan) {
	var mu sync.Mutex
	var workers sync.WaitGroup
	next := first
	for range min(4, runtime.GOMAXPROCS(0)) {
		workers.Go(func() {
			for {
				mu.Lock()
				seed := next
				next++
				over := seed >= first+uint64(runs) || len(failed) >= 3
				mu.Unlock()
				if over {
					return
				}
				p := draw(seed)
				p.Proxies = int(seed % 4) // the stores of a run are the same with them and without
				r := play(p, hooks{})
				mu.Lock()
				all.Events += r.Events
				all.Answered += r.Answered
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

// BenchmarkRuns plays one run after the other, and counts the states that were reached.
func BenchmarkRuns(b *testing.B) {
	states := map[uint64]bool{}
	events, seed := 0, *first
	for b.Loop() {
		r := play(Draw(seed), hooks{states: func(d uint64) { states[d] = true }})
		if len(r.Violations) > 0 {
			b.Fatalf("seed %d: %v", seed, r.Violations)
		}
		events += r.Events
		seed++
	}
	b.ReportMetric(float64(events)/float64(b.N), "events/op")
	b.ReportMetric(float64(len(states)), "states")
}
