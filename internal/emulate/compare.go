package emulate

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"

	"gonum.org/v1/gonum/stat"
)

// Variant is a scenario with some of its figures set anew.
type Variant struct {
	Name string
	Sets []string // see Load
}

// Job is one run to be played.
type Job struct {
	Scenario *Scenario
	Variant  string
	Seed     uint64
}

// Play plays runs, so many at once, and gives their results in the order of the jobs. Each is told as it ends, from one goroutine at
// a time; heard may be nil. It stops at the first error or when ctx ends.
func Play(ctx context.Context, jobs []Job, atOnce int, heard func(*Result)) ([]*Result, error) {
	results, errs := make([]*Result, len(jobs)), make([]error, len(jobs))
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	next := make(chan int)
	var mu sync.Mutex
	var workers sync.WaitGroup
	for range max(min(atOnce, len(jobs)), 1) {
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
				if heard != nil {
					mu.Lock()
					heard(r)
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

// Metric is a figure of a result.
type Metric struct {
	Name   string
	Unit   string
	Better int // 1 where more is better, -1 where less is
	Of     func(*Result) float64
}

// Metrics are what a comparison tells.
func Metrics() []Metric {
	lost := func(pick func(*ClassResult) int) func(*Result) float64 {
		return func(r *Result) float64 {
			n := 0
			for i := range r.Classes {
				n += pick(&r.Classes[i])
			}
			return float64(n) / math.Max(float64(r.Asked), 1)
		}
	}
	return []Metric{
		{"served worth", "share", 1, func(r *Result) float64 { return r.Share }},
		{"worst 5 s", "share", 1, func(r *Result) float64 { return r.Worst(5) }},
		{"refused", "share", -1, lost(func(c *ClassResult) int { return c.Refused })},
		{"failed or left", "share", -1, lost(func(c *ClassResult) int { return c.Failed + c.GaveUp })},
		{"late", "share", -1, lost(func(c *ClassResult) int { return c.Late })},
		{"p95", "ms", -1, func(r *Result) float64 { return r.P95 }},
		{"p99", "ms", -1, func(r *Result) float64 { return r.P99 }},
		{"attempts a request", "", -1, func(r *Result) float64 { return r.PerRequest }},
		{"connections opened", "", -1, func(r *Result) float64 { return float64(r.Connections) }},
		{"rules broken", "", -1, func(r *Result) float64 { return float64(r.BreakCount) }},
		{"cold servers pushed over", "", -1, func(r *Result) float64 { return float64(r.Falls) }},
	}
}

// Worst is the least share of the worth that was earned over so many seconds in a row. What is earned is counted when it is, so a
// share can pass 1 as retries come back.
func (r *Result) Worst(seconds int) float64 {
	worst := math.Inf(1)
	for i := 0; i+seconds <= len(r.Course); i++ {
		asked, earned := 0.0, 0.0
		for _, s := range r.Course[i : i+seconds] {
			asked += s.Worth
			earned += s.Earned
		}
		if asked > 0 {
			worst = min(worst, earned/asked)
		}
	}
	if math.IsInf(worst, 1) {
		return r.Share
	}
	return worst
}

// Difference is that of one metric between a variant and the one it is compared with, over the seeds that both have.
type Difference struct {
	Metric  string  `json:"metric"`
	Unit    string  `json:"unit"`
	Base    float64 `json:"base"`  // mean
	Other   float64 `json:"other"` // mean
	Mean    float64 `json:"difference"`
	Low     float64 `json:"low"` // of the interval that holds the mean difference with 95% confidence
	High    float64 `json:"high"`
	Seeds   int     `json:"seeds"`
	Verdict string  `json:"verdict"` // better, worse or not told apart
}

// notTold is the verdict where the interval holds 0: the seeds do not tell the variants apart.
const notTold = "not told apart"

const (
	resamples  = 10_000
	confidence = 0.95
)

// Compare tells how results differ, pair by pair of equal seeds. Both have to be of one scenario.
func Compare(base, other []*Result) ([]Difference, error) {
	type pair struct{ a, b *Result }
	bySeed := map[uint64]*Result{}
	for _, r := range base {
		if bySeed[r.Seed] != nil {
			return nil, fmt.Errorf("seed %d comes twice", r.Seed)
		}
		bySeed[r.Seed] = r
	}
	var pairs []pair
	for _, r := range other {
		a := bySeed[r.Seed]
		if a == nil {
			continue
		}
		if a.Scenario != r.Scenario {
			return nil, fmt.Errorf("scenarios %q and %q are not compared", a.Scenario, r.Scenario)
		}
		pairs = append(pairs, pair{a, r})
	}
	if len(pairs) < 2 {
		return nil, fmt.Errorf("there are results of both for %d seeds: two are needed at least", len(pairs))
	}
	var out []Difference
	for _, m := range Metrics() {
		var a, b, d []float64
		for _, p := range pairs {
			a, b = append(a, m.Of(p.a)), append(b, m.Of(p.b))
			d = append(d, m.Of(p.b)-m.Of(p.a))
		}
		low, high := bootstrap(d)
		out = append(out, Difference{
			Metric: m.Name, Unit: m.Unit, Base: stat.Mean(a, nil), Other: stat.Mean(b, nil), Mean: stat.Mean(d, nil),
			Low: low, High: high, Seeds: len(pairs), Verdict: verdict(low, high, m.Better),
		})
	}
	return out, nil
}

func verdict(low, high float64, better int) string {
	switch {
	case low <= 0 && high >= 0:
		return notTold
	case (low > 0) == (better > 0):
		return "better"
	}
	return "worse"
}

// bootstrap is the interval of the mean by percentiles of resamples (Efron and Tibshirani). The draws are always the same.
func bootstrap(d []float64) (low, high float64) {
	r := rand.New(rand.NewPCG(1, uint64(len(d))))
	means := make([]float64, resamples)
	for i := range means {
		sum := 0.0
		for range d {
			sum += d[r.IntN(len(d))]
		}
		means[i] = sum / float64(len(d))
	}
	slices.Sort(means)
	tail := (1 - confidence) / 2
	return stat.Quantile(tail, stat.Empirical, means, nil), stat.Quantile(1-tail, stat.Empirical, means, nil)
}
