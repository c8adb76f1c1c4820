package route

import (
	"fmt"
	"math"
	"net/http"
	"net/url"
	"regexp"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// referenceMatch is the reference implementation of Match: it compares the ranks of all rules that match, by the order of
// precedence in the documentation of the package. It returns the name of the rule.
func referenceMatch(rules []Rule, r *Request) string {
	best, bestRank := "", []float64(nil)
	for i := range rules {
		if rank := rankOf(&rules[i], r); rank != nil && (bestRank == nil || slices.Compare(rank, bestRank) > 0) {
			best, bestRank = rules[i].Name, rank
		}
	}
	return best
}

// rankOf returns the precedence of a rule for a request; nil if it does not match.
func rankOf(rule *Rule, r *Request) []float64 {
	rank := []float64{}
	host := strings.ToLower(rule.Host)
	switch {
	case host == "" || host == "*":
		rank = append(rank, 0)
	case strings.HasPrefix(host, "*."):
		if !strings.HasSuffix(r.Host, host[1:]) {
			return nil
		}
		rank = append(rank, float64(strings.Count(host, ".")))
	case host != r.Host:
		return nil
	default:
		rank = append(rank, math.Inf(1))
	}
	switch path := strings.TrimSuffix(rule.Path, "/"); rule.Kind {
	case Exact:
		if r.Path.Match != rule.Path {
			return nil
		}
		rank = append(rank, 2, 0)
	case Regexp:
		if !regexp.MustCompile(`\A(` + rule.Path + `)\z`).MatchString(r.Path.Match) {
			return nil
		}
		rank = append(rank, 1, 0)
	default:
		if r.Path.Match != path && !strings.HasPrefix(r.Path.Match, path+"/") {
			return nil
		}
		rank = append(rank, 0, float64(len(path)))
	}
	rank = append(rank, float64(rule.Priority))
	if len(rule.Methods) > 0 && !slices.Contains(rule.Methods, r.Method) {
		return nil
	}
	query, _ := url.ParseQuery(r.Query)
	for _, c := range rule.Headers {
		if !meets(c, r.Header.Values(c.Name)) {
			return nil
		}
	}
	for _, c := range rule.Query {
		if !meets(c, query[c.Name]) {
			return nil
		}
	}
	return append(rank, math.Min(float64(len(rule.Methods)), 1), float64(len(rule.Headers)), float64(len(rule.Query)))
}

// meets reports whether the values of a name meet a condition.
func meets(c Condition, values []string) bool {
	switch c.Kind {
	case Equals:
		return len(values) == 1 && values[0] == c.Value
	case Present:
		return len(values) > 0
	}
	return len(values) == 0
}

// conditions generates up to two conditions on different names.
func conditions(names ...string) *rapid.Generator[[]Condition] {
	one := rapid.Custom(func(t *rapid.T) Condition {
		c := Condition{Name: rapid.SampledFrom(names).Draw(t, "name"), Kind: Presence(rapid.IntRange(0, 2).Draw(t, "kind"))}
		if c.Kind == Equals {
			c.Value = rapid.SampledFrom([]string{"1", "2"}).Draw(t, "value")
		}
		return c
	})
	return rapid.SliceOfNDistinct(one, 0, 2, func(c Condition) string { return c.Name })
}

// A table that Compile accepts must also be accepted with its rules in another order, and both tables must match the same rules
// as the reference implementation.
func TestTableAgreesWithReference(t *testing.T) {
	paths := []string{"/", "/a", "/a/b", "/a/b/c", "/b", "/b/a", "/ab"}
	patterns := []string{"/a.*", "/.*/b", "/[ab]+", "/a/.*c", "/(a|b)/?"}
	hosts := []string{"", "*", "x.org", "*.org", "*.x.org", "a.x.org", "*.a.x.org"}
	accepted, matched := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		rule := rapid.Custom(func(t *rapid.T) Rule {
			r := Rule{
				Host: rapid.SampledFrom(hosts).Draw(t, "host"), Kind: PathKind(rapid.IntRange(0, 2).Draw(t, "kind")),
				Priority: rapid.IntRange(-1, 2).Draw(t, "priority"),
				Methods:  rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"GET", "PUT", "POST"}), 0, 2, rapid.ID[string]).Draw(t, "methods"),
				Headers:  conditions("X-A", "X-B").Draw(t, "headers"), Query: conditions("q", "r").Draw(t, "query"),
			}
			r.Path = rapid.SampledFrom(paths).Draw(t, "path")
			if r.Kind == Regexp {
				r.Path = rapid.SampledFrom(patterns).Draw(t, "pattern")
			}
			return r
		})
		var rules []Rule
		var table *Table
		for _, r := range rapid.SliceOfN(rule, 1, 24).Draw(t, "rules") { // keep those that cause no error
			r.Name = fmt.Sprint("r", len(rules))
			if next, errs := Compile(append(slices.Clone(rules), r)); len(errs) == 0 {
				rules, table = append(rules, r), next
			}
		}
		if table == nil {
			t.Skip("no rule is valid")
		}
		accepted++
		order := rapid.Permutation(rules).Draw(t, "order")
		permuted, errs := Compile(order)
		if len(errs) > 0 {
			t.Fatalf("the same rules in another order: %v", errs)
		}
		for range 20 {
			req := &Request{
				Method: rapid.SampledFrom([]string{"GET", "PUT", "POST", "HEAD"}).Draw(t, "method"),
				Host:   rapid.SampledFrom([]string{"x.org", "org", "a.x.org", "b.a.x.org", "y", ""}).Draw(t, "host"),
				Path:   &Path{Match: rapid.SampledFrom(append(paths, "/a/", "/b/c", "/a/b/", "/ab/c", "/bb")).Draw(t, "path")},
				Query:  rapid.SampledFrom([]string{"", "q=1", "q=2&r=1", "r", "q=1&q=1", "&&r=%31"}).Draw(t, "query"),
				Header: http.Header{},
			}
			for _, name := range []string{"X-A", "X-B"} {
				for range rapid.IntRange(0, 2).Draw(t, "values") {
					req.Header.Add(name, rapid.SampledFrom([]string{"1", "2"}).Draw(t, "value"))
				}
			}
			want := referenceMatch(rules, req)
			for _, tab := range []*Table{table, permuted} {
				got := ""
				if r := tab.Match(req); r != nil {
					got = r.Name
					matched++
				}
				if got != want {
					t.Fatalf("%+v %s: table %q, reference %q, of %+v", req, req.Path.Match, got, want, rules)
				}
			}
		}
	})
	if accepted < 50 || matched < 200 {
		t.Errorf("only %d tables and %d matches: the generator covers too few cases", accepted, matched)
	}
}

// manyRoutes returns a table of n routes with different paths, and a request that the last one matches.
func manyRoutes(t testing.TB, n int) (*Table, *Request) {
	rules := make([]Rule, n)
	for i := range rules {
		rules[i] = Rule{Name: fmt.Sprint(i), Path: fmt.Sprintf("/svc%d/v%d/items", i/3, i%3)}
	}
	return compile(t, rules...), newRequest(t, fmt.Sprintf("GET x/svc%d/v%d/items/17", (n-1)/3, (n-1)%3))
}

func TestMatchAllocatesNothing(t *testing.T) {
	table, req := manyRoutes(t, 1000)
	if n := testing.AllocsPerRun(100, func() { table.Match(req) }); n != 0 {
		t.Errorf("%v allocations per match", n)
	}
}

func BenchmarkMatch(b *testing.B) {
	for _, n := range []int{10, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table, req := manyRoutes(b, n)
			b.ReportAllocs()
			for b.Loop() {
				if table.Match(req) == nil {
					b.Fatal("no route")
				}
			}
		})
	}
}

func BenchmarkCompile(b *testing.B) {
	for _, n := range []int{1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				manyRoutes(b, n)
			}
		})
	}
}
