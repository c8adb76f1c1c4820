// Package modelcheck checks the state machines of the control state by deterministic simulation:
// the real state machines of packages consensus, membership, lease and discovery run in virtual time over
// a simulated network and simulated disks, under faults and commands drawn from a seed. It checks
// the answers to operators, the snapshots that are served and the committed values. The same seed gives the same run.
package modelcheck

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Plan is a run: its nodes, faults and commands.
type Plan struct {
	Seed               uint64
	InitialVoters      int // nodes whose disks are voters at first; odd
	Nodes              int // number of nodes at first
	FaultBudget        int // disks that may be lost at once
	End                time.Duration
	LinkBytesPerSecond int     // of each link in each direction, to the end of the run; 0 for no limit
	Proxies            int     // 0 for a run without proxies and control planes
	CalmDiscovery      bool    // control planes and proxies have no random faults of their own, and heartbeats no random intervals
	TimeScale          float64 // consensus.Settings.TimeScale; 0 means 1
	Faults             []Fault
	Commands           []Command
}

// Fault is a fault of one or several nodes.
type Fault struct {
	Kind      string // by the names of the bench
	Mode      string
	At        time.Duration
	Duration  time.Duration
	Node      int  // index of the node
	Count     int  // number of nodes; for a link_cut the index of the node at the other end
	AfterStep bool // At counts from a change of the voter configuration; each change starts one such fault
}

// Command is a command of an operator, which is retried at other nodes while its outcome is unknown.
type Command struct {
	At     time.Duration
	Kind   string // put, read, assign or swap
	Key    string
	Number uint64
	Body   string
	Nodes  []int  // one attempt each
	Defect string // name of the defect of an invalid configuration; empty for a valid one
}

func (t Fault) String() string {
	at := t.At.String()
	if t.AfterStep {
		at += " after a step of the voter configuration"
	}
	return fmt.Sprintf("%s %s %s node=%d count=%d for=%v", at, t.Kind, t.Mode, t.Node, t.Count, t.Duration)
}

func (o Command) String() string {
	text := fmt.Sprintf("%v %s %s number=%d body=%s to=%v", o.At, o.Kind, o.Key, o.Number, o.Body, o.Nodes)
	if o.Defect != "" {
		text += " invalid: " + o.Defect
	}
	return text
}

func (p Plan) String() string {
	var b strings.Builder
	fmt.Fprintf(
		&b,
		"seed %d: %d nodes, %d initial voters, %d disks may be lost at once, faults end at %v\n",
		p.Seed,
		p.Nodes,
		p.InitialVoters,
		p.FaultBudget,
		p.End,
	)
	for _, t := range p.Faults {
		fmt.Fprintf(&b, "  fault %v\n", t)
	}
	for _, o := range p.Commands {
		fmt.Fprintf(&b, "  command %v\n", o)
	}
	return b.String()
}

// Report is the result of a run.
type Report struct {
	Violations       []string // empty if all checks have passed
	RecoveredAfter   time.Duration
	Epochs           uint64
	Events           int
	Answered         int // attempts with a known outcome
	Refused          int // attempts of invalid configurations that were refused
	Attempts         int
	CheckedHistories int             // by porcupine, one for each key
	SkippedHistories int             // because of too many attempts without an answer, or a timeout of porcupine
	MaxBacklog       time.Duration   // the longest time that a message waited for a link with a rate limit
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

// Shrink removes faults, commands and nodes from a plan as long as the plan still fails.
func Shrink(p Plan, fails func(Plan) bool) Plan {
	for shrunk := true; shrunk; {
		shrunk = false
		for i := len(p.Faults) - 1; i >= 0; i-- {
			less := p
			less.Faults = slices.Delete(slices.Clone(p.Faults), i, i+1)
			if fails(less) {
				p, shrunk = less, true
			}
		}
		for i := len(p.Commands) - 1; i >= 0; i-- {
			less := p
			less.Commands = slices.Delete(slices.Clone(p.Commands), i, i+1)
			if fails(less) {
				p, shrunk = less, true
			}
		}
		for less := p; less.Nodes > less.InitialVoters; {
			if less.Nodes--; !fails(less) {
				break
			}
			p, shrunk = less, true
		}
	}
	return p
}
