package emulate

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Variant is a scenario with some of its fields overridden.
type Variant struct {
	Name      string
	Overrides []string // see Load
}

// Metric is a number that is computed from a result.
type Metric struct {
	Name   string
	Unit   string
	Better int // 1 if a higher value is better, -1 if a lower one is
	Of     func(*Result) float64
}

// Metrics returns the metrics of a comparison.
func Metrics() []Metric {
	ratio := func(pick func(*ClassResult) int) func(*Result) float64 {
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
		{"worst 5 s", "share", 1, func(r *Result) float64 { return r.WorstShare(5) }},
		{"refused", "share", -1, ratio(func(c *ClassResult) int { return c.Refused })},
		{"failed or left", "share", -1, ratio(func(c *ClassResult) int { return c.Failed + c.GaveUp })},
		{"late", "share", -1, ratio(func(c *ClassResult) int { return c.Late })},
		{"p95", "ms", -1, func(r *Result) float64 { return r.P95 }},
		{"p99", "ms", -1, func(r *Result) float64 { return r.P99 }},
		{"attempts a request", "", -1, func(r *Result) float64 { return r.PerRequest }},
		{"connections opened", "", -1, func(r *Result) float64 { return float64(r.Connections) }},
		{"rules broken", "", -1, func(r *Result) float64 { return float64(r.ViolationCount) }},
		{"cold servers pushed over", "", -1, func(r *Result) float64 { return float64(r.Overloads) }},
	}
}

// Difference is the difference of a metric between a variant and its base, over the seeds that both have.
type Difference struct {
	Metric  string  `json:"metric"`
	Unit    string  `json:"unit"`
	Base    float64 `json:"base"`  // mean
	Other   float64 `json:"other"` // mean
	Mean    float64 `json:"difference"`
	Low     float64 `json:"low"` // of the interval that holds the mean difference with 95% confidence
	High    float64 `json:"high"`
	Seeds   int     `json:"seeds"`
	Verdict string  `json:"verdict"` // better, worse or notDistinguished
}

// notDistinguished is the Verdict if the interval contains 0.
const notDistinguished = "not told apart"

// Parameters of the bootstrap.
const (
	resamples  = 10_000
	confidence = 0.95
)

// Compare compares results of one scenario, pair by pair of equal seeds.
func Compare(base, other []*Result) ([]Difference, error) {
	type pair struct{ a, b *Result }
	bySeed := map[uint64]*Result{}
	for _, r := range base {
		if bySeed[r.Seed] != nil {
			return nil, fmt.Errorf("seed %d occurs twice in the results to compare with", r.Seed)
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
			return nil, fmt.Errorf("scenarios %q and %q differ: results of different scenarios are not compared", a.Scenario, r.Scenario)
		}
		pairs = append(pairs, pair{a, r})
	}
	if len(pairs) < 2 {
		return nil, fmt.Errorf("both have results for %d seeds: two are needed at least", len(pairs))
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
			Low: low, High: high, Seeds: len(pairs), Verdict: classify(low, high, m.Better),
		})
	}
	return out, nil
}

// classify returns whether an interval of differences means better, worse or notDistinguished.
func classify(low, high float64, better int) string {
	switch {
	case low <= 0 && high >= 0:
		return notDistinguished
	case (low > 0) == (better > 0):
		return "better"
	}
	return "worse"
}

// bootstrap returns the percentile interval of the mean (Efron and Tibshirani). Its random numbers have a fixed seed, so that equal
// input gives equal output.
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
