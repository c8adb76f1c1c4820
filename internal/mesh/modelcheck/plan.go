// Package modelcheck checks the state machines of the control state by deterministic simulation:
// the real machines of packages consensus, membership, lease and discovery run in virtual time over
// a simulated network and simulated disks, under faults and commands drawn from a seed. It checks
// the history as it is seen from outside: what operators were answered, and what was served. The
// same seed gives the same run.
package modelcheck

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Plan is a run: its machines, faults and commands.
type Plan struct {
	Seed               uint64
	InitialVoters      int // machines whose disks are voters at first; odd
	Machines           int // all machines at first
	FaultBudget        int // disks that may be lost at once
	End                time.Duration
	LinkBytesPerSecond int     // of each link in each direction, to the end of the run; 0 for no limit
	Proxies            int     // beside control planes on all machines; 0 for neither
	TimeScale          float64 // of the machines; 0 means 1
	Faults             []Fault
	Commands           []Command
}

// Fault is a fault of one or several machines.
type Fault struct {
	Kind      string // by the names of the bench
	Mode      string
	At        time.Duration
	Duration  time.Duration
	Machine   int  // index of the machine
	Count     int  // number of machines; of a link_cut the machine at the other end
	AfterStep bool // At counts from the next step of the voter configuration that no other fault waits for
}

// Command is a command of an operator, who retries it at other machines while its outcome is
// unknown.
type Command struct {
	At       time.Duration
	Kind     string // put, read, assign or swap
	Key      string
	Number   uint64
	Body     string
	Machines []int // one attempt each
}

func (t Fault) String() string {
	at := t.At.String()
	if t.AfterStep {
		at += " after a step of the set"
	}
	return fmt.Sprintf("%s %s %s who=%d count=%d for=%v", at, t.Kind, t.Mode, t.Machine, t.Count, t.Duration)
}

func (o Command) String() string {
	return fmt.Sprintf("%v %s %s number=%d body=%s to=%v", o.At, o.Kind, o.Key, o.Number, o.Body, o.Machines)
}

func (p Plan) String() string {
	var b strings.Builder
	fmt.Fprintf(
		&b,
		"seed %d: %d machines, %d count at first, %d disks may be lost, trouble ends at %v\n",
		p.Seed,
		p.Machines,
		p.InitialVoters,
		p.FaultBudget,
		p.End,
	)
	for _, t := range p.Faults {
		fmt.Fprintf(&b, "  trouble %v\n", t)
	}
	for _, o := range p.Commands {
		fmt.Fprintf(&b, "  order %v\n", o)
	}
	return b.String()
}

// Report is the result of a run.
type Report struct {
	Violations       []string // of the rules; empty if all hold
	RecoveredAfter   time.Duration
	Epochs           uint64
	Events           int
	Answered         int // attempts with a known outcome
	Attempts         int
	CheckedHistories int             // histories of a key that porcupine checked
	SkippedHistories int             // those with too many attempts without a response
	MaxBacklog       time.Duration   // the longest wait of a message for a slow link
	RepairTimes      []time.Duration // from each loss of a voter's disk to a configuration without it, as large as before
}

// Kind returns the kind of the first violation, without its details.
func (r *Report) Kind() string {
	if len(r.Violations) == 0 {
		return ""
	}
	kind, _, _ := strings.Cut(r.Violations[0], ":")
	return kind
}

// Shrink removes what it can from a plan that fails, such that it still fails.
func Shrink(p Plan, fails func(Plan) bool) Plan {
	for again := true; again; {
		again = false
		for i := len(p.Faults) - 1; i >= 0; i-- {
			less := p
			less.Faults = slices.Delete(slices.Clone(p.Faults), i, i+1)
			if fails(less) {
				p, again = less, true
			}
		}
		for i := len(p.Commands) - 1; i >= 0; i-- {
			less := p
			less.Commands = slices.Delete(slices.Clone(p.Commands), i, i+1)
			if fails(less) {
				p, again = less, true
			}
		}
		for less := p; less.Machines > less.InitialVoters; {
			if less.Machines--; !fails(less) {
				break
			}
			p, again = less, true
		}
	}
	return p
}
