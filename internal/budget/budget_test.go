package budget

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func sample() *Context {
	return &Context{Root: "0123456789abcdef", Attempt: "01234567", PriorityWeight: 12.5, TimeLeft: 1500 * time.Millisecond, Retries: 3, Path: []string{"aaaaaaaa", "bbbbbbbb"}}
}

func TestContextRoundTrip(t *testing.T) {
	const text = "1;root=0123456789abcdef;at=01234567;worth=12.5;ms=1500;retries=3;again=no;path=aaaaaaaa.bbbbbbbb"
	c := sample()
	if c.String() != text {
		t.Fatal(c.String())
	}
	got, err := Parse(text)
	if err != nil || fmt.Sprint(*got) != fmt.Sprint(*c) || got.Hops() != 2 || !got.Contains("bbbbbbbb") || got.Contains("cccccccc") {
		t.Fatal(got, err)
	}
	c.MayHaveExecuted, c.FirstSentAgo = true, 250*time.Millisecond
	if again, err := Parse(c.String()); err != nil || !again.MayHaveExecuted || again.FirstSentAgo != c.FirstSentAgo {
		t.Error(again, err)
	}
	for field, bad := range map[string]string{
		"unknown version":      "2" + text[1:],
		"root":                 strings.Replace(text, "0123456789abcdef", "0123456789ABCDEF", 1),
		"at":                   strings.Replace(text, "at=01234567", "at=0123456", 1),
		"worth":                strings.Replace(text, "12.5", "12.50", 1),
		"worth ":               strings.Replace(text, "12.5", "1e3", 1),
		"worth  ":              strings.Replace(text, "12.5", "9999999", 1),
		"worth   ":             strings.Replace(text, "12.5", "NaN", 1),
		"worth    ":            strings.Replace(text, "12.5", "-1", 1),
		"ms":                   strings.Replace(text, "1500", "01500", 1),
		"ms ":                  strings.Replace(text, "1500", "9999999999", 1),
		"retries":              strings.Replace(text, "retries=3", "retries=100", 1),
		"retries ":             strings.Replace(text, "retries=3", "retries=", 1),
		"again":                strings.Replace(text, "again=no", "again=yes", 1),
		"again ":               strings.Replace(text, "again=no", "again=-1", 1),
		"path":                 strings.Replace(text, "aaaaaaaa.", "aaaaaaaa..", 1),
		"path ":                text[:strings.Index(text, "path=")+5],
		"path  ":               text + strings.Repeat(".cccccccc", 15),
		"fields, not":          text + ";x=1",
		"fields, not ":         text[:strings.Index(text, ";path")],
		"is too long":          text + strings.Repeat("x", 8<<10),
		"is of an unknown ver": "",
	} {
		if c, err := Parse(bad); err == nil || !strings.Contains(err.Error(), strings.TrimSpace(field)) {
			t.Errorf("%s: %.100q gives %v, %v", field, bad, c, err)
		}
	}
}

// FuzzParse checks that a context that is parsed is written as the same text.
func FuzzParse(f *testing.F) {
	f.Add(sample().String())
	f.Add("1;root=;at=;worth=;ms=;retries=;again=;path=")
	f.Add("1;root=0123456789abcdef;at=01234567;worth=0.001;ms=0;retries=0;again=250;path=00000000")
	f.Fuzz(func(t *testing.T, text string) {
		c, err := Parse(text)
		if err != nil {
			return
		}
		if c.String() != text || c.Retries < 0 || c.Retries > MaxRetries || c.Hops() < 1 || c.Hops() > MaxHops || !(c.PriorityWeight >= 0 && c.PriorityWeight <= MaxPriorityWeight) || c.TimeLeft < 0 {
			t.Errorf("%q is read as %+v and written as %q", text, c, c.String())
		}
	})
}

// node is a call in a tree of calls. Each attempt of it causes the calls in children.
type node struct{ children []*node }

func (n *node) leaves() int {
	if len(n.children) == 0 {
		return 1
	}
	sum := 0
	for _, child := range n.children {
		sum += child.leaves()
	}
	return sum
}

// drawTree draws a random tree, and subtracts its calls from the number that remains.
func drawTree(t *rapid.T, depth int, remaining *int) *node {
	n := &node{}
	if depth == 0 {
		return n
	}
	for range rapid.IntRange(1, 8).Draw(t, "fan-out") {
		if *remaining <= 0 && len(n.children) > 0 {
			break
		}
		*remaining--
		n.children = append(n.children, drawTree(t, depth-1, remaining))
	}
	return n
}

// simulation runs a tree of calls through sidecars that use the package, and counts attempts at the last tier.
type simulation struct {
	t                *rapid.T
	tables           []*Table // by tier
	now              time.Time
	attempts         int // at all tiers
	lastTierAttempts int
	maxAttempts      int // of a call
}

// call runs one call at a tier, and reports whether it was served. Whether an attempt itself fails is drawn, so that all patterns of
// failures occur; a call may fail although all calls that it caused succeeded, as when its response is lost.
func (s *simulation) call(n *node, budget *RetryBudget, c Context, tier int) bool {
	for attempt := range s.maxAttempts {
		if attempt > 0 && !budget.Spend() {
			return false
		}
		s.attempts++
		c.Attempt = fmt.Sprintf("%08x", s.attempts)
		c.Retries = budget.Delegate()
		if rapid.IntRange(0, 4).Draw(s.t, "never executed") == 0 {
			budget.Return(c.Retries)
			continue
		}
		served := true
		if len(n.children) == 0 {
			s.lastTierAttempts++
		}
		for _, child := range n.children {
			text := c.String() // as it is sent to the next tier
			got, err := Parse(text)
			if err != nil {
				s.t.Fatal(err)
			}
			served = s.call(child, s.tables[tier+1].Get(got, s.now), *got, tier+1) && served
		}
		if served && !rapid.Bool().Draw(s.t, "fails") {
			return true
		}
	}
	return false
}

func TestAttemptsAtTheLastTierAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		remaining := 60
		root := drawTree(t, rapid.IntRange(0, 5).Draw(t, "depth"), &remaining)
		retries := rapid.IntRange(0, 12).Draw(t, "retries")
		s := &simulation{t: t, now: time.Unix(1, 0), maxAttempts: rapid.IntRange(1, 4).Draw(t, "attempts")}
		for range 7 {
			s.tables = append(s.tables, NewTable(1000))
		}
		c := *sample()
		s.call(root, NewRetryBudget(retries), c, 0)
		if bound := (1 + retries) * root.leaves(); s.lastTierAttempts > bound {
			t.Fatalf("%d attempts at the last tier, over %d = (1+%d)*%d", s.lastTierAttempts, bound, retries, root.leaves())
		}
	})
}

func TestCallsOfOneAttemptShareItsRetries(t *testing.T) {
	table, now := NewTable(2), time.Unix(1, 0)
	c := sample()
	first, second := table.Get(c, now), table.Get(c, now)
	for n := range 4 {
		if budget := []*RetryBudget{first, second}[n%2]; budget.Spend() != (n < 3) {
			t.Errorf("retry %d of 3", n+1)
		}
	}
	other := sample()
	other.Attempt = "11111111"
	if table.Get(other, now).Remaining() != 3 {
		t.Error("another attempt shares the budget")
	}
	third := sample()
	third.Attempt = "22222222"
	if table.Get(third, now).Remaining() != 0 {
		t.Error("a call gets retries from a full table")
	}
	now = now.Add(2*c.TimeLeft + time.Millisecond)
	if table.Get(third, now).Remaining() != 3 || table.Len() != 1 {
		t.Errorf("expired budgets are kept: %d", table.Len())
	}
}

func TestDelegateKeepsOneRetry(t *testing.T) {
	budget := NewRetryBudget(5)
	if budget.Delegate() != 4 || budget.Remaining() != 1 || !budget.Spend() || budget.Delegate() != 0 || budget.Spend() {
		t.Error(budget.Remaining())
	}
	if budget = NewRetryBudget(1); budget.Delegate() != 1 || budget.Spend() {
		t.Error(budget.Remaining())
	}
}
