// Package explore plays the machines that keep control state (internal/tide, internal/helm), and those by which lighthouses and pilots go
// by it (internal/lease, internal/lamp), in virtual time: the very machines, over a carrier, disks and a network that are made up, under
// troubles and orders drawn from a seed. What it checks it takes from the history
// alone: what operators were answered, and what keepers handed out. The same seed gives the same run.
package explore

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Plan is a run: the machines, what befalls them, and what is ordered.
type Plan struct {
	Seed     uint64
	Seeds    int // machines whose disks count at first; odd
	Machines int // all at first
	Losses   int // disks that may be lost at once
	End      time.Duration
	Rate     int     // bytes a second of each link, one way, to the very end; 0 for links that carry any number at once
	Pilots   int     // beside lighthouses on all machines; 0 for neither
	Pace     float64 // of the machines; 0 for 1
	Troubles []Trouble
	Orders   []Order
}

// Trouble is what befalls a machine, or several.
type Trouble struct {
	Kind  string // by the names of the bench
	How   string
	At    time.Duration
	For   time.Duration
	Who   int  // a machine, by its place
	Count int  // machines that are struck; of a link_cut the machine at its other end
	Step  bool // it strikes so long after the next step of the set that no other waits for, not after the beginning
}

// Order is one that an operator sends, and sends again elsewhere while its outcome is unclear.
type Order struct {
	At     time.Duration
	Kind   string // put, read, assign, swap
	Key    string
	Number uint64
	Body   string
	To     []int // machines, one try each
}

func (t Trouble) String() string {
	at := t.At.String()
	if t.Step {
		at += " after a step of the set"
	}
	return fmt.Sprintf("%s %s %s who=%d count=%d for=%v", at, t.Kind, t.How, t.Who, t.Count, t.For)
}

func (o Order) String() string {
	return fmt.Sprintf("%v %s %s number=%d body=%s to=%v", o.At, o.Kind, o.Key, o.Number, o.Body, o.To)
}

func (p Plan) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d machines, %d count at first, %d disks may be lost, trouble ends at %v\n", p.Seed, p.Machines, p.Seeds, p.Losses, p.End)
	for _, t := range p.Troubles {
		fmt.Fprintf(&b, "  trouble %v\n", t)
	}
	for _, o := range p.Orders {
		fmt.Fprintf(&b, "  order %v\n", o)
	}
	return b.String()
}

// Report is what became of a run.
type Report struct {
	Faults           []string // what must not be; empty if all held
	Going            time.Duration
	Epochs           uint64
	Events           int
	Orders           int // with an outcome
	Tries            int
	Judged, Unjudged int             // histories of a key that were searched for a linear order, and those that had too many tries without an answer
	Backlog          time.Duration   // the longest that a message had to wait for a thin link, its own bytes included
	Whole            []time.Duration // from each loss of a disk that counted to a set without it, as large as before
}

// Kind is the first fault's, without its figures.
func (r *Report) Kind() string {
	if len(r.Faults) == 0 {
		return ""
	}
	kind, _, _ := strings.Cut(r.Faults[0], ":")
	return kind
}

// Shrink makes a plan that fails smaller: what can be left out so that it still fails is.
func Shrink(p Plan, fails func(Plan) bool) Plan {
	for again := true; again; {
		again = false
		for i := len(p.Troubles) - 1; i >= 0; i-- {
			less := p
			less.Troubles = slices.Delete(slices.Clone(p.Troubles), i, i+1)
			if fails(less) {
				p, again = less, true
			}
		}
		for i := len(p.Orders) - 1; i >= 0; i-- {
			less := p
			less.Orders = slices.Delete(slices.Clone(p.Orders), i, i+1)
			if fails(less) {
				p, again = less, true
			}
		}
		for less := p; less.Machines > less.Seeds; {
			if less.Machines--; !fails(less) {
				break
			}
			p, again = less, true
		}
	}
	return p
}
