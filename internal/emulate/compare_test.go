package emulate

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"testing"
)

// findDifference returns the difference of a metric.
func findDifference(t *testing.T, list []Difference, name string) Difference {
	t.Helper()
	for _, d := range list {
		if d.Metric == name {
			return d
		}
	}
	t.Fatalf("no difference of metric %q", name)
	return Difference{}
}

// Compare must not distinguish equal results, must detect a difference that every pair of seeds has even if the seeds vary much more
// among themselves, and must not report a difference that only some seeds have.
func TestCompare(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	var a, b, noisy []*Result
	for seed := range uint64(12) {
		share := 0.5 + 0.4*r.Float64()
		a = append(a, &Result{Seed: seed, Share: share, P95: 100})
		b = append(b, &Result{Seed: seed, Share: share + 0.01 + 0.002*r.Float64(), P95: 120})
		noisy = append(noisy, &Result{Seed: seed, Share: share + 0.1*(r.Float64()-0.5), P95: 100})
	}
	same, err := Compare(a, a)
	if err != nil || findDifference(t, same, "served worth").Verdict != notDistinguished || findDifference(t, same, "p95").Mean != 0 {
		t.Errorf("%+v, %v", same, err)
	}
	d, err := Compare(a, b)
	if err != nil {
		t.Fatal(err)
	}
	if s := findDifference(t, d, "served worth"); s.Verdict != "better" || s.Low < 0.01 || s.High > 0.012 || s.Seeds != 12 {
		t.Errorf("%+v", s)
	}
	if s := findDifference(t, d, "p95"); s.Verdict != "worse" || s.Mean != 20 {
		t.Errorf("%+v", s)
	}
	if d, err = Compare(a, noisy); err != nil || findDifference(t, d, "served worth").Verdict != notDistinguished {
		t.Errorf("%+v, %v", d, err)
	}
	again, _ := Compare(a, noisy)
	if again[0] != d[0] {
		t.Error("comparing the same results twice gives different differences")
	}
	for _, c := range []struct {
		a, b []*Result
		want string
	}{
		{a[:1], b, "two are needed"}, {a[:6], b[6:], "for 0 seeds"}, {append(a[:2:2], a[0]), b, "twice"},
		{a, []*Result{{Seed: 0, Scenario: "x"}, {Seed: 1}}, "not compared"},
	} {
		if _, err := Compare(c.a, c.b); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%v, want %q", err, c.want)
		}
	}
}

// Variants with the same seed must get the same arrivals, and a variant with too few servers must be reported as worse.
func TestCompareVariants(t *testing.T) {
	var jobs []Job
	for _, sets := range [][]string{nil, {"servers.count=3"}} {
		sc := load(t, "../../deploy/scenarios/calm.toml", append([]string{"for=8s", "warmup=2s", "demand.rate=500"}, sets...)...)
		for seed := range uint64(4) {
			jobs = append(jobs, Job{sc, strings.Join(sets, " "), seed})
		}
	}
	reported := 0
	results, err := RunAll(t.Context(), jobs, 3, func(*Result) { reported++ })
	if err != nil || reported != 8 {
		t.Fatal(err, reported)
	}
	for i, r := range results {
		if r.Seed != jobs[i].Seed || r.Variant != jobs[i].Variant {
			t.Errorf("result %d is of seed %d, variant %q", i, r.Seed, r.Variant)
		}
		if i >= 4 && r.Asked != results[i-4].Asked {
			t.Errorf("seed %d: %d and %d requests", r.Seed, results[i-4].Asked, r.Asked)
		}
	}
	d, err := Compare(results[:4], results[4:])
	if err != nil || findDifference(t, d, "served worth").Verdict != "worse" {
		t.Errorf("%+v, %v", d, err)
	}
}

// RunAll must stop when its context ends, and must return the error of a scenario that cannot be run.
func TestRunAllStops(t *testing.T) {
	sc := load(t, "../../deploy/scenarios/calm.toml", "for=600s")
	ctx, stop := context.WithCancel(t.Context())
	stop()
	if _, err := RunAll(ctx, []Job{{sc, "", 1}, {sc, "", 2}}, 2, nil); !errors.Is(err, context.Canceled) {
		t.Error(err)
	}
	bad := *load(t, "../../deploy/scenarios/calm.toml")
	bad.Pool.Classes = nil
	bad.Work = nil
	if _, err := RunAll(t.Context(), []Job{{&bad, "", 1}, {sc, "", 2}}, 1, nil); err == nil {
		t.Error("a pool without classes is run")
	}
}
