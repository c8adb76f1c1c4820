package plan

import (
	"context"
	"errors"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"milletmast/internal/emulate"
	"milletmast/internal/operator"
)

// ErlangC must agree with published values.
func TestErlangC(t *testing.T) {
	for _, c := range []struct {
		c       int
		a, want float64
	}{{1, 0.5, 0.5}, {2, 1, 1. / 3}, {5, 4, 0.5541}, {10, 8, 0.4092}, {20, 15, 0.1604}, {3, 3, 1}, {3, 7, 1}, {4, 0, 0}} {
		if got := ErlangC(c.c, c.a); math.Abs(got-c.want) > 5e-5 {
			t.Errorf("C(%d, %v) = %.5f, want %.4f", c.c, c.a, got, c.want)
		}
	}
	if got := ErlangC(4000, 3999); !(got > 0.9 && got < 1) {
		t.Errorf("C(4000, 3999) = %v", got)
	}
}

func loadScenario(t *testing.T, sets ...string) *emulate.Scenario {
	t.Helper()
	sc, err := emulate.Load("../../deploy/scenarios/calm.toml", append([]string{"demand.curve=[]", "demand.rate=1000"}, sets...)...)
	if err != nil {
		t.Fatal(err)
	}
	return sc
}

// The bound must count the classes with the highest priority weight per work first, and must rise with the loss of a zone.
func TestBound(t *testing.T) {
	sc := loadScenario(t) // 700 browse of 30 ms and weight 1, 100 save of 60 ms and 12, 200 add of 40 ms and 2: weight 2300
	for _, c := range []struct{ share, want float64 }{{1, 35_000}, {0, 0}, {1200. / 2300, 6000}, {1600. / 2300, 14_000}, {1950. / 2300, 24_500}} {
		if got := leastWork(sc, 1000, c.share); math.Abs(got-c.want) > 1e-6 {
			t.Errorf("share %.3f: %v ms a second, want %v", c.share, got, c.want)
		}
	}
	p := &Plan{base: sc, File: File{Target: Target{Share: 1}}}
	if b := p.bound(); b.Servers != 9 || b.Erlang < 9 || b.Erlang > 12 { // 35,000 ms a second on four cores each
		t.Errorf("%+v", b)
	}
	p.Losses = []Loss{{Name: "a zone", Faults: []emulate.Fault{{Kind: "zone", Zone: "a", At: 0, For: sc.For}}}}
	if b := p.bound(); b.Servers != 14 || !strings.Contains(b.Why, "a zone") { // two thirds of them can work
		t.Errorf("%+v", b)
	}
	if n := serversFor(loadScenario(t, "servers.speeds=[1.0, 0.5]"), 35_000, 0); n != 12 {
		t.Errorf("%d servers of mean speed 0.75", n)
	}
}

// newFakeSearcher returns a searcher that evaluates sizes by a function instead of the emulator, and the number of its evaluations.
func newFakeSearcher(holds func(Size) bool) (*searcher, *int) {
	evaluations := 0
	return newSearcher(func(_ context.Context, s Size) (*Check, error) {
		evaluations++
		return &Check{Size: s, Holds: holds(s), Scenario: "x"}, nil
	}, 200), &evaluations
}

// The search must find the smallest size with a limited number of evaluations, also if a larger size fails.
func TestSearch(t *testing.T) {
	for _, c := range []struct {
		name   string
		search Search
		guess  int
		holds  func(Size) bool
		want   Size
		most   int
	}{
		{"servers", Search{Servers: []int{1, 1000}}, 1, func(s Size) bool { return s.Servers >= 137 }, Size{137, 9, 0, 64}, 22},
		{"guess above the answer", Search{Servers: []int{1, 1000}}, 500, func(s Size) bool { return s.Servers >= 137 }, Size{137, 9, 0, 64}, 22},
		{"all hold", Search{Servers: []int{3, 10}}, 7, func(Size) bool { return true }, Size{3, 9, 0, 64}, 8},
		{"a size above the answer fails", Search{Servers: []int{1, 100}}, 1, func(s Size) bool { return s.Servers >= 40 && s.Servers != 41 }, Size{40, 9, 0, 64}, 20},
		{"copies", Search{Servers: []int{1, 50}, Copies: []int{2, 9}}, 1, func(s Size) bool { return s.Servers >= 8 && s.Copies >= 4 }, Size{8, 4, 0, 64}, 25},
		{"subset and queue", Search{Servers: []int{1, 50}, Subset: []int{0, 12, 3, 6}, Queue: []int{64, 4, 16}}, 1,
			func(s Size) bool { return s.Servers >= 8 && (s.Subset == 0 || s.Subset >= 6) && s.Queue >= 16 }, Size{8, 9, 6, 16}, 25},
		{"fewer servers with fewer copies", Search{Servers: []int{1, 50}, Copies: []int{1, 9}}, 1, func(s Size) bool { return s.Servers >= 10+s.Copies }, Size{11, 1, 0, 64}, 40},
	} {
		s, evaluations := newFakeSearcher(c.holds)
		got, _, err := s.search(t.Context(), &c.search, Size{0, 9, 0, 64}, c.guess)
		if err != nil || got != c.want || *evaluations > c.most {
			t.Errorf("%s: %v after %d, %v; want %v", c.name, got, *evaluations, err, c.want)
		}
	}
	s, _ := newFakeSearcher(func(Size) bool { return false })
	if _, c, err := s.search(t.Context(), &Search{Servers: []int{1, 90}}, Size{0, 9, 0, 64}, 1); !errors.Is(err, ErrInfeasible) || c == nil || c.Size.Servers != 90 {
		t.Errorf("%v, %v", c, err)
	}
	s, _ = newFakeSearcher(func(s Size) bool { return s.Servers > 900 })
	s.remaining = 5
	if _, _, err := s.search(t.Context(), &Search{Servers: []int{1, 1000}}, Size{}, 1); !errors.Is(err, ErrBudget) {
		t.Error(err)
	}
}

// The answer of a plan must hold on seeds that the search did not use, and one server less must not hold.
func TestPlanHolds(t *testing.T) {
	p, err := Load("../../deploy/plans/zone.toml")
	if err != nil {
		t.Fatal(err)
	}
	p.Seeds, p.FreshSeeds = []int{1, 2}, []int{11, 12, 13}
	a, err := p.Solve(t.Context(), 4, nil)
	if err != nil {
		t.Fatal(err)
	}
	if !a.Fresh.Holds || a.Size.Servers < a.Bound.Servers {
		t.Errorf("%+v, fresh %v", a, a.Fresh)
	}
	less := a.Size
	less.Servers--
	c, err := p.Check(t.Context(), less, []int{1, 2, 11, 12, 13}, 4)
	if err != nil || c.Holds {
		t.Errorf("one server less: %v, %v", c, err)
	}
}

// A target that no size meets must give ErrInfeasible with the limiting figure: if the bound alone exceeds the range, before anything is
// run, and otherwise after the search.
func TestInfeasible(t *testing.T) {
	p, err := Load("../../deploy/plans/zone.toml")
	if err != nil {
		t.Fatal(err)
	}
	p.Seeds, p.Losses = []int{1}, nil
	p.Search = Search{Servers: []int{1, 2}}
	p.base = loadScenario(t)
	if _, err := p.Solve(t.Context(), 4, nil); !errors.Is(err, ErrInfeasible) || !strings.Contains(err.Error(), "9 servers are needed at least, and 2 are allowed") {
		t.Error(err)
	}
	p.Search = Search{Servers: []int{1, 12}}
	p.Target.P95 = emulate.Duration(20e6) // under the mean work
	if _, err := p.Solve(t.Context(), 4, nil); !errors.Is(err, ErrInfeasible) || !strings.Contains(err.Error(), "p95 ms") || !strings.Contains(err.Error(), "servers=12") {
		t.Error(err)
	}
}

const minimalPlan = "scenario = \"calm.toml\"\n[target]\nshare = 0.9\n[search]\nservers = [1, 9]\n"

// A mistake in a plan must be reported with its line and field.
func TestBadPlans(t *testing.T) {
	dir := t.TempDir()
	text, err := os.ReadFile("../../deploy/scenarios/calm.toml")
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, "calm.toml"), text, 0o600); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, "p.toml")
	loadText := func(text string) error {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := Load(path)
		return err
	}
	if err := loadText(minimalPlan); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ from, to, want string }{
		{`scenario = "calm.toml"`, ``, "scenario: is missing"},
		{`calm.toml`, `none.toml`, "no such file"},
		{`share = 0.9`, `share = 1.9`, "p.toml:3: target.share: 1.9 is not within 0 and 1"},
		{`share = 0.9`, ``, "target: has no requirement"},
		{`share = 0.9`, `p95 = "2h"`, "p.toml:3: target.p95"},
		{`[1, 9]`, `[9, 1]`, "p.toml:5: search.servers: [9 1] is no range"},
		{`[1, 9]`, `[1]`, "no range"},
		{`[1, 9]`, "[1, 9]\ncopies = [0, 3]", "p.toml:6: search.copies"},
		{`[1, 9]`, "[1, 9]\nsubset = [-1]", "p.toml:6: search.subset"},
		{`[target]`, "seeds = []\n[target]", "seeds: 0 seeds are given"},
		{`[target]`, "fresh = [2]\n[target]", "p.toml:2: fresh: 2 is one of the seeds"},
		{`[target]`, "evaluations = 0\n[target]", "p.toml:2: evaluations"},
		{`[target]`, "set = [\"copies.count\"]\n[target]", "sets nothing"},
		{`[1, 9]`, "[1, 9]\n[[survive]]\nname = \"x\"", "survive[0].fault: is missing"},
		{`[1, 9]`, "[1, 9]\n[[survive]]\nname = \"no loss\"\n[[survive.fault]]\nkind = \"zone\"", "p.toml:7: survive[0].name"},
		{`[1, 9]`, "[1, 9]\n[[survive]]\nname = \"x\"\n[[survive.fault]]\nkind = \"zone\"", "fault[0].zone: is missing"},
	} {
		if err := loadText(strings.Replace(minimalPlan, c.from, c.to, 1)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q for %q: %v, want %q", c.to, c.from, err, c.want)
		}
	}
}

// Decoding must reject any plan whose ranges cannot be searched.
func FuzzFile(f *testing.F) {
	f.Add([]byte(minimalPlan))
	text, err := os.ReadFile("../../deploy/plans/zone.toml")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Fuzz(func(t *testing.T, text []byte) {
		p := &File{}
		if operator.DecodeText("p", text, p, nil, p.validate) != nil {
			return
		}
		if s := p.Search.Servers; len(s) != 2 || s[0] < 1 || s[1] < s[0] || p.MaxEvaluations < 1 || len(p.Seeds) == 0 {
			t.Errorf("accepted: %+v", p)
		}
	})
}
