// Package membership changes the set of voters. One process does so at a time, the coordinator. Its
// disk is named in the voter configuration itself, so each coordinator has epochs of its own, and a
// change by a process that no longer is the coordinator is refused by the register of the voters
// (fencing by epoch). A coordinator that shuts down names its successor; one that a quorum no
// longer hears is replaced. The package is pure.
package membership

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"milletmast/internal/mesh/consensus"
	"milletmast/internal/namehash"
)

// State is the state of a process with respect to the coordinator role.
type State uint8

// The states. setState is the one function that changes them.
const (
	Following     State = iota // another process is the coordinator, or none is
	Campaigning                // it has proposed itself
	Coordinating               // it is the coordinator
	Reconfiguring              // it is the coordinator and has proposed a configuration
)

func (s State) String() string {
	return [...]string{"following", "campaigning", "coordinating", "reconfiguring"}[s]
}

const (
	coordinatorTimeout   = time.Second            // after which a coordinator that is not heard is replaced
	campaignStagger      = 450 * time.Millisecond // between two candidates: longer than a quorum read takes
	campaignJitterMillis = 300                    // by epoch and disk: two that campaigned at once do not do so again
	stepInterval         = 25 * time.Millisecond  // between two steps of a reconfiguration
	stepTimeout          = 800 * time.Millisecond // after which a step is retried
	jointTimeout         = 4 * time.Second        // after which a joint configuration is given up
	replaceAfter         = 1500 * time.Millisecond
	removeAfter          = 10 * time.Second
	inSyncFor            = 2 * time.Second // how long an observation that a member is in sync is valid
)

// Coordinator is the state machine of one process. It is not safe for concurrent use.
type Coordinator struct {
	replica          *consensus.Replica
	faultBudget      int // disks that may be lost at once
	state            State
	epoch            uint64    // of the configuration, when last looked at
	stateSince       time.Time // start of that epoch or of the state
	coordinatorSince time.Time // when this process adopted that epoch, which names its coordinator
	startedAt        time.Time // when the process started: no member was heard before
	jointSince       time.Time // since when the configuration is joint; zero if it is not
}

// New returns the state machine over a replica.
func New(now time.Time, r *consensus.Replica, faultBudget int) *Coordinator {
	return &Coordinator{replica: r, faultBudget: faultBudget, stateSince: now, startedAt: now, epoch: r.Voters().Epoch}
}

// State returns the state.
func (c *Coordinator) State() State { return c.state }

// setState is the one function that changes the state.
func (c *Coordinator) setState(now time.Time, to State) { c.state, c.stateSince = to, now }

// Tick does what is due, first here and then in the replica: the replica may start another quorum
// read, which discards the last one.
func (c *Coordinator) Tick(now time.Time) consensus.Output {
	out := c.step(now)
	out.Append(c.replica.Tick(now))
	return out
}

func (c *Coordinator) step(now time.Time) (out consensus.Output) {
	voters, self := c.replica.Voters(), c.replica.Self().DiskID
	if voters.Epoch != c.epoch {
		c.epoch, c.coordinatorSince = voters.Epoch, now
		next := Following
		if voters.Coordinator == self {
			next = Coordinating
		}
		c.setState(now, next)
	}
	switch {
	case !voters.IsJoint():
		c.jointSince = time.Time{}
	case c.jointSince.IsZero():
		c.jointSince = now
	}
	if c.replica.LeaseRemaining(now) == 0 { // a replica without a lease is not up to date
		return out
	}
	switch c.state {
	case Following:
		if voters.Coordinator == self {
			c.setState(now, Coordinating)
		} else if c.shouldCampaign(now, &voters) {
			read, lost := c.replica.CoordinatorLost(now)
			if out.Append(read); lost {
				voters.Epoch, voters.Coordinator = voters.Epoch+1, self
				out.Append(c.propose(now, voters, Campaigning))
			}
		}
	case Campaigning:
		if now.Sub(c.stateSince) > c.replica.Scale(stepTimeout) {
			c.setState(now, Following)
		}
	case Coordinating:
		out.Append(c.coordinate(now, voters))
	case Reconfiguring:
		if now.Sub(c.stateSince) > c.replica.Scale(stepTimeout) {
			c.setState(now, Coordinating)
		}
	}
	return out
}

// NextTick returns when Tick is to be called next: soon while the configuration is joint.
func (c *Coordinator) NextTick(now time.Time) time.Time {
	due := c.replica.NextTick(now)
	set := c.replica.Voters()
	if soon := now.Add(stepInterval); set.Epoch != c.epoch || set.IsJoint() && c.state == Coordinating && soon.Before(due) {
		return soon
	}
	return due
}

// propose proposes a configuration.
func (c *Coordinator) propose(now time.Time, next consensus.VoterConfig, to State) consensus.Output {
	c.setState(now, to)
	return c.replica.Propose(now, 0, consensus.Change{Kind: consensus.Reconfigure, Key: consensus.VoterConfigKey, Voters: &next})
}

// coordinate continues a reconfiguration, or starts one.
func (c *Coordinator) coordinate(now time.Time, voters consensus.VoterConfig) consensus.Output {
	voters.Epoch++
	if !voters.IsJoint() {
		views := c.memberViews(now)
		if voters.Incoming = NextVoters(voters.Voters, views, c.faultBudget); voters.Incoming == nil {
			return consensus.Output{}
		}
		return c.propose(now, voters, Reconfiguring)
	}
	switch {
	case c.replica.ReproposedInJoint():
		voters.Voters, voters.Incoming = voters.Incoming, nil
		if !voters.Contains(voters.Coordinator) {
			voters.Coordinator = c.successor(now, &voters)
		}
		return c.propose(now, voters, Reconfiguring)
	case now.Sub(c.jointSince) > c.replica.Scale(jointTimeout):
		voters.Incoming = nil
		return c.propose(now, voters, Reconfiguring)
	}
	return c.replica.ReproposeInJoint(now)
}

// Resign hands the coordinator role to a successor, if this process has it.
func (c *Coordinator) Resign(now time.Time) (out consensus.Output, successor string) {
	voters := c.replica.Voters()
	if voters.Coordinator != c.replica.Self().DiskID {
		return out, ""
	}
	if voters.Coordinator = c.successor(now, &voters); voters.Coordinator == "" {
		return out, ""
	}
	voters.Epoch++
	return c.propose(now, voters, Following), voters.Coordinator
}

// successor returns the disk of the voter that was heard from last; empty for none.
func (c *Coordinator) successor(now time.Time, voters *consensus.VoterConfig) string {
	best := consensus.PeerStatus{}
	for _, o := range c.replica.PeerStatuses() {
		if o.Alive(now) && !o.Leaving && voters.Contains(o.DiskID) && o.LastHeard.After(best.LastHeard) {
			best = o
		}
	}
	return best.DiskID
}

// shouldCampaign reports whether this process is to propose itself now: the coordinator was not
// heard for a while, and it is this disk's turn.
func (c *Coordinator) shouldCampaign(now time.Time, voters *consensus.VoterConfig) bool {
	self := c.replica.Self().DiskID
	turn := slices.IndexFunc(voters.Voters, func(x consensus.Member) bool { return x.DiskID == self })
	if turn < 0 || c.replica.IsLeaving() {
		return false
	}
	lastHeard := c.startedAt
	if c.stateSince.After(lastHeard) && (voters.Coordinator == "" || !voters.Contains(voters.Coordinator)) {
		lastHeard = c.stateSince
	}
	if c.coordinatorSince.After(lastHeard) { // a quorum agreed on it then
		lastHeard = c.coordinatorSince
	}
	for _, o := range c.replica.PeerStatuses() {
		if o.DiskID != "" && o.DiskID == voters.Coordinator && o.LastHeard.After(lastHeard) {
			lastHeard = o.LastHeard
		}
	}
	jitter := namehash.Hash(fmt.Sprint(self, voters.Epoch)) % campaignJitterMillis
	timeout := coordinatorTimeout + time.Duration(turn)*campaignStagger + time.Duration(jitter)*time.Millisecond
	return now.Sub(lastHeard) > c.replica.Scale(timeout)
}

// MemberView is a member as the coordinator sees it.
type MemberView struct {
	consensus.Member
	Alive          bool
	UnreachableFor time.Duration // since its last message, at a time scale of 1
	InSync         bool          // it has accepted all that is committed
	Leaving        bool          // it has announced that it shuts down
}

// memberViews returns all members as this process sees them, itself included.
func (c *Coordinator) memberViews(now time.Time) []MemberView {
	out := []MemberView{{Member: c.replica.Self(), Alive: true, InSync: true, Leaving: c.replica.IsLeaving()}}
	for _, o := range c.replica.PeerStatuses() {
		s := MemberView{
			Member:  o.Member,
			Alive:   o.Alive(now),
			InSync:  now.Sub(o.LastInSync) < c.replica.Scale(inSyncFor),
			Leaving: o.Leaving,
		}
		if !s.Alive {
			s.UnreachableFor = time.Duration(
				float64(now.Sub(cmp.Or(o.LastHeard, c.startedAt))) * float64(time.Second) / float64(c.replica.Scale(time.Second)),
			)
		}
		out = append(out, s)
	}
	return out
}

// NextVoters returns the voters that are to replace the present ones, or nil if these are to stay.
// FaultBudget is how many disks may be lost at once.
//
// In one step, unreachable voters are replaced by learners that are in sync, and as many more
// learners join as leave the number odd. A voter whose machine reports another disk is lost for
// certain. One that announces its shutdown is replaced while it still serves. One that does not
// answer is replaced soon; where no learner waits it is removed only after long, and never below
// 2*faultBudget+1 voters.
func NextVoters(voters []consensus.Member, views []MemberView, faultBudget int) []consensus.Member {
	var staying, waiting []consensus.Member
	var leaving []unreachable
	for _, s := range views {
		if s.Alive && s.InQuorum && s.InSync && !s.Leaving && !consensus.ContainsDisk(voters, s.DiskID) {
			waiting = append(waiting, s.Member)
		}
	}
	for _, x := range voters {
		if d := unreachableFor(x, views); d >= replaceAfter {
			leaving = append(leaving, unreachable{x, d})
		} else {
			staying = append(staying, x)
		}
	}
	slices.SortStableFunc(leaving, func(a, b unreachable) int { return cmp.Compare(b.since, a.since) })
	replaced := min(len(leaving), len(waiting))
	next := append(slices.Clone(staying), waiting[:replaced]...)
	waiting, leaving = waiting[replaced:], leaving[replaced:]
	minimum := 2*faultBudget + 1
	for _, g := range leaving {
		if g.since < removeAfter || len(next)+len(leaving) <= minimum || len(next) < minimum {
			next = append(next, g.Member)
		}
	}
	if count := len(next) + len(waiting); len(waiting) > 0 {
		next = append(next, waiting[:len(waiting)-(1-count%2)]...)
	}
	if len(next)%2 == 0 && len(next) > minimum {
		next = makeOdd(next, views)
	}
	alive := 0
	for _, x := range next {
		if unreachableFor(x, views) < replaceAfter {
			alive++
		}
	}
	if alive < consensus.Majority(next) || consensus.SameMembers(next, voters) {
		return nil
	}
	return next
}

// makeOdd removes the voter that is unreachable for longest, or else the last.
func makeOdd(next []consensus.Member, views []MemberView) []consensus.Member {
	out := len(next) - 1
	for i, x := range next {
		if unreachableFor(x, views) > unreachableFor(next[out], views) {
			out = i
		}
	}
	return slices.Delete(next, out, out+1)
}

type unreachable struct {
	consensus.Member
	since time.Duration
}

// unreachableFor returns for how long a member has not answered; for ever if its machine reports
// another disk.
func unreachableFor(member consensus.Member, views []MemberView) time.Duration {
	for _, s := range views {
		switch {
		case s.Addr != member.Addr:
		case s.DiskID == member.DiskID && s.Leaving:
			return max(s.UnreachableFor, replaceAfter)
		case s.DiskID == member.DiskID || s.DiskID == "":
			return s.UnreachableFor
		case s.Alive:
			return 1 << 62
		default:
			return max(s.UnreachableFor, removeAfter)
		}
	}
	return removeAfter
}
