package helm

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"whinknot/internal/tide"
)

var start = time.Unix(1000, 0)

func set(n int) *tide.Set {
	s := &tide.Set{Number: 1}
	for i := range n {
		s.Members = append(s.Members, tide.Member{Disk: fmt.Sprint("d", i), Addr: fmt.Sprint("a", i), Counts: true})
	}
	return s
}

// Whoever asks when, whatever is lost on the way: no term is won by two, and a set accepted by a majority is the one that
// every later term goes on with.
func TestOneTermHasOneHolderAndADecisionStays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := set(rapid.IntRange(1, 5).Draw(t, "disks"))
		machines := make([]*Machine, len(s.Members))
		for i, m := range s.Members {
			machines[i] = New(start, m.Disk, Vow{})
		}
		winners := map[uint64]string{}
		var decided *tide.Set
		now := start
		for range rapid.IntRange(1, 25).Draw(t, "rounds") {
			now = now.Add(time.Second)
			i := rapid.IntRange(0, len(machines)-1).Draw(t, "asker")
			m := machines[i]
			if rapid.Bool().Draw(t, "restart") {
				machines[i] = New(now, s.Members[i].Disk, m.Vow()) // all that it knew is what is on its disk
				m = machines[i]
			}
			m.Lost(now, 0)
			term := m.Ask(now)
			votes := map[string]bool{s.Members[i].Disk: true}
			best := m.Vow()
			for k, other := range machines {
				if k == i || rapid.Bool().Draw(t, "lost") {
					continue
				}
				if other.Promise(now, term, s.Members[i].Disk) {
					votes[s.Members[k].Disk] = true
					if v := other.Vow(); v.In > best.In {
						best = v
					}
				}
			}
			if !s.Reached(votes) || !m.Won(term) {
				m.Lost(now, 0)
				continue
			}
			if w := winners[term]; w != "" {
				t.Fatalf("term %d is %s's and %s's", term, w, s.Members[i].Disk)
			}
			winners[term] = s.Members[i].Disk
			next := best.Accepted
			if next == nil {
				next = &tide.Set{Number: 2, Members: append(s.Members[:len(s.Members):len(s.Members)], tide.Member{Disk: fmt.Sprint("new", term)})}
			}
			accepted := map[string]bool{}
			for k, other := range machines {
				if k != i && rapid.Bool().Draw(t, "lost too") {
					continue
				}
				if other.Accept(term, next) {
					accepted[s.Members[k].Disk] = true
				}
			}
			if s.Reached(accepted) {
				if decided != nil && fmt.Sprint(*decided) != fmt.Sprint(*next) {
					t.Fatalf("decided %v, then %v", *decided, *next)
				}
				decided = next
			}
		}
	})
}

func TestAnOldTermIsRefused(t *testing.T) {
	m := New(start, "d0", Vow{})
	if !m.Promise(start, 3, "d1") || m.Promise(start, 3, "d2") || m.Promise(start, 2, "d2") {
		t.Fatal("a term is promised once, and no lower one after it")
	}
	if m.Accept(2, set(3)) || !m.Accept(3, set(3)) {
		t.Fatal("a set of an old term is accepted, or one of the promised term is not")
	}
}

func TestOnlyMembersAskAndNotTogether(t *testing.T) {
	s := set(3)
	at := map[string]time.Duration{}
	for _, m := range s.Members {
		machine := New(start, m.Disk, Vow{})
		for d := time.Duration(0); d < 10*time.Second; d += 10 * time.Millisecond {
			if machine.Due(start.Add(d), s) {
				at[m.Disk] = d
				break
			}
		}
	}
	if len(at) != 3 || at["d1"]-at["d0"] < 100*time.Millisecond || at["d2"]-at["d1"] < 100*time.Millisecond {
		t.Fatalf("members ask at %v", at)
	}
	if New(start, "stranger", Vow{}).Due(start.Add(time.Hour), s) {
		t.Fatal("a disk that does not count asks for the duty")
	}
}

func TestWhichSetIsToFollow(t *testing.T) {
	see := func(n int, change func([]Sight) []Sight) []Sight {
		var out []Sight
		for _, m := range set(n).Members {
			out = append(out, Sight{Member: m, Alive: true})
		}
		return change(out)
	}
	gone := func(s []Sight, i int, d time.Duration) []Sight {
		s[i].Alive, s[i].Absent = false, d
		return s
	}
	joiner := Sight{Member: tide.Member{Disk: "new", Addr: "b", Counts: true}, Alive: true}
	for name, c := range map[string]struct {
		n, losses int
		seen      []Sight
		want      string // the disk that leaves or comes; "" for no change
	}{
		"calm":      {5, 1, see(5, func(s []Sight) []Sight { return s }), ""},
		"one waits": {3, 1, see(3, func(s []Sight) []Sight { return append(s, joiner) }), "new"},
		"one that does not count": {3, 1, see(3, func(s []Sight) []Sight {
			return append(s, Sight{Member: tide.Member{Disk: "x", Addr: "c"}, Alive: true})
		}), ""},
		"another disk, same machine": {5, 1, see(5, func(s []Sight) []Sight { s[2].Disk = "emptied"; return s }), "d2"},
		"replaced":                   {5, 1, see(5, func(s []Sight) []Sight { return append(gone(s, 1, 2*time.Second), joiner) }), "d1"},
		"away for a moment":          {5, 1, see(5, func(s []Sight) []Sight { return gone(s, 1, 5*time.Second) }), ""},
		"away for good":              {5, 1, see(5, func(s []Sight) []Sight { return gone(s, 1, 11*time.Second) }), "d1"},
		"away for good, none spare":  {3, 1, see(3, func(s []Sight) []Sight { return gone(s, 1, time.Hour) }), ""},
		"even, one away":             {6, 1, see(6, func(s []Sight) []Sight { return gone(s, 4, 2*time.Second) }), "d4"},
	} {
		before := set(c.n)
		next := Next(before, c.seen, c.losses)
		got := ""
		if next != nil {
			if !before.Step(next) {
				t.Errorf("%s: %v is no step", name, next)
			}
			for _, m := range before.Members {
				if !next.Has(m.Disk) {
					got = m.Disk
				}
			}
			for _, m := range next.Members {
				if !before.Has(m.Disk) {
					got = m.Disk
				}
			}
		}
		if got != c.want {
			t.Errorf("%s: %q changes, want %q", name, got, c.want)
		}
	}
}
