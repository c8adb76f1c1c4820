package budget

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func sample() *Context {
	return &Context{Root: "0123456789abcdef", Attempt: "01234567", Worth: 12.5, TimeLeft: 1500 * time.Millisecond, Retries: 3, Path: []string{"aaaaaaaa", "bbbbbbbb"}}
}

func TestContextIsReadAsWritten(t *testing.T) {
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

// FuzzParse reads any text. What is read is written as it came.
func FuzzParse(f *testing.F) {
	f.Add(sample().String())
	f.Add("1;root=;at=;worth=;ms=;retries=;again=;path=")
	f.Add("1;root=0123456789abcdef;at=01234567;worth=0.001;ms=0;retries=0;again=250;path=00000000")
	f.Fuzz(func(t *testing.T, text string) {
		c, err := Parse(text)
		if err != nil {
			return
		}
		if c.String() != text || c.Retries < 0 || c.Retries > MaxRetries || c.Hops() < 1 || c.Hops() > MaxHops || !(c.Worth >= 0 && c.Worth <= MaxWorth) || c.TimeLeft < 0 {
			t.Errorf("%q is read as %+v and written as %q", text, c, c.String())
		}
	})
}

// node is a call of a tree: how many calls each attempt of it causes, and how these go on.
type node struct{ below []*node }

func (n *node) leaves() int {
	if len(n.below) == 0 {
		return 1
	}
	sum := 0
	for _, b := range n.below {
		sum += b.leaves()
	}
	return sum
}

// draw makes a random tree with at most so many leaves.
func draw(t *rapid.T, depth int, room *int) *node {
	n := &node{}
	if depth == 0 {
		return n
	}
	for range rapid.IntRange(1, 8).Draw(t, "fan-out") {
		if *room <= 0 && len(n.below) > 0 {
			break
		}
		*room--
		n.below = append(n.below, draw(t, depth-1, room))
	}
	return n
}

// world plays a tree of calls through sidecars that follow the package's rules, and counts attempts at the last tier.
type world struct {
	t       *rapid.T
	ledgers []*Table // by tier
	now     time.Time
	serial  int
	last    int // attempts at the last tier
	most    int // attempts that a class allows
}

// call plays one call at a tier, and tells whether it was served. Whether an attempt fails for itself is drawn, so that any
// pattern of failures comes up; a call may fail though all below it succeeded (its answer was lost).
func (w *world) call(n *node, pool *RetryBudget, c Context, tier int) bool {
	for attempt := range w.most {
		if attempt > 0 && !pool.Spend() {
			return false
		}
		w.serial++
		c.Attempt = fmt.Sprintf("%08x", w.serial)
		c.Retries = pool.Delegate()
		if rapid.IntRange(0, 4).Draw(w.t, "never ran") == 0 {
			pool.Return(c.Retries)
			continue
		}
		served := true
		if len(n.below) == 0 {
			w.last++
		}
		for _, b := range n.below {
			text := c.String() // it crosses as text
			got, err := Parse(text)
			if err != nil {
				w.t.Fatal(err)
			}
			served = w.call(b, w.ledgers[tier+1].Get(got, w.now), *got, tier+1) && served
		}
		if served && !rapid.Bool().Draw(w.t, "fails") {
			return true
		}
	}
	return false
}

func TestAttemptsAtTheLastTierAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		room := 60
		root := draw(t, rapid.IntRange(0, 5).Draw(t, "depth"), &room)
		retries := rapid.IntRange(0, 12).Draw(t, "retries")
		w := &world{t: t, now: time.Unix(1, 0), most: rapid.IntRange(1, 4).Draw(t, "attempts")}
		for range 7 {
			w.ledgers = append(w.ledgers, NewTable(1000))
		}
		c := *sample()
		w.call(root, NewRetryBudget(retries), c, 0)
		if bound := (1 + retries) * root.leaves(); w.last > bound {
			t.Fatalf("%d attempts at the last tier, over %d = (1+%d)*%d", w.last, bound, retries, root.leaves())
		}
	})
}

func TestCallsOfOneAttemptShareItsRetries(t *testing.T) {
	l, now := NewTable(2), time.Unix(1, 0)
	c := sample()
	first, second := l.Get(c, now), l.Get(c, now)
	for n := range 4 {
		if pool := []*RetryBudget{first, second}[n%2]; pool.Spend() != (n < 3) {
			t.Errorf("retry %d of 3", n+1)
		}
	}
	other := sample()
	other.Attempt = "11111111"
	if l.Get(other, now).Remaining() != 3 {
		t.Error("another attempt has no pool of its own")
	}
	third := sample()
	third.Attempt = "22222222"
	if l.Get(third, now).Remaining() != 0 {
		t.Error("with no room a call must get nothing")
	}
	now = now.Add(2*c.TimeLeft + time.Millisecond)
	if l.Get(third, now).Remaining() != 3 || l.Len() != 1 {
		t.Errorf("pools whose time is over are kept: %d", l.Len())
	}
}

func TestHandKeepsOne(t *testing.T) {
	p := NewRetryBudget(5)
	if p.Delegate() != 4 || p.Remaining() != 1 || !p.Spend() || p.Delegate() != 0 || p.Spend() {
		t.Error(p.Remaining())
	}
	if p = NewRetryBudget(1); p.Delegate() != 1 || p.Spend() {
		t.Error(p.Remaining())
	}
}
