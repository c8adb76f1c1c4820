// Package membership changes the set of voters. Only one process does so at a time, the coordinator.
// Its disk is part of the voter configuration, so each coordinator has epochs of its own, and the
// register of the voters rejects a change by a process that is no longer the coordinator (fencing by
// epoch). A coordinator that shuts down hands the role to a successor; a coordinator from which a
// quorum receives no messages is replaced. The package does no I/O.
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
	Campaigning                // this process has proposed itself as the coordinator
	Coordinating               // this process is the coordinator
	Reconfiguring              // this process is the coordinator and has proposed a configuration
)

func (s State) String() string {
	return [...]string{"following", "campaigning", "coordinating", "reconfiguring"}[s]
}

const (
	coordinatorTimeout   = time.Second             // after the last message of the coordinator, until it is replaced
	campaignStagger      = 450 * time.Millisecond  // between the campaigns of two candidates: longer than a quorum read takes
	campaignJitterMillis = 300                     // by epoch and disk, so that two candidates do not collide repeatedly
	stepInterval         = 25 * time.Millisecond   // between two steps of a reconfiguration
	stepTimeout          = 800 * time.Millisecond  // after which a step is retried
	jointTimeout         = 4 * time.Second         // after which a joint configuration is abandoned
	replaceAfter         = 1500 * time.Millisecond // unreachable time after which a learner replaces a voter
	removeAfter          = 10 * time.Second        // unreachable time after which a voter is removed without replacement
	inSyncFor            = 2 * time.Second         // how long an observation that a member is in sync is valid
)

// Coordinator is the state machine of the coordinator role in one process. It is not safe for
// concurrent use.
type Coordinator struct {
	replica          *consensus.Replica
	faultBudget      int // disks that may be lost at once
	state            State
	epoch            uint64    // of the configuration at the last step
	stateSince       time.Time // start of the state or of the epoch
	coordinatorSince time.Time // when this process adopted the epoch, whose configuration names the coordinator
	startedAt        time.Time // when the process started; no message of a member was received before
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

// Tick runs the work that is due, for the coordinator role first and for the replica second: the
// replica may start another quorum read, which discards the results of the last one.
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
	if c.replica.LeaseRemaining(now) == 0 { // a replica without a lease may not be up to date
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
	voters := c.replica.Voters()
	if soon := now.Add(stepInterval); voters.Epoch != c.epoch || voters.IsJoint() && c.state == Coordinating && soon.Before(due) {
		return soon
	}
	return due
}

// propose proposes a configuration and enters a state.
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

// successor returns the disk of the alive voter with the latest message; empty for none.
func (c *Coordinator) successor(now time.Time, voters *consensus.VoterConfig) string {
	best := consensus.PeerStatus{}
	for _, o := range c.replica.PeerStatuses() {
		if o.Alive(now) && !o.Leaving && voters.Contains(o.DiskID) && o.LastReceived.After(best.LastReceived) {
			best = o
		}
	}
	return best.DiskID
}

// shouldCampaign reports whether this process is to propose itself now: no message was received from
// the coordinator for a while, and it is this disk's turn.
func (c *Coordinator) shouldCampaign(now time.Time, voters *consensus.VoterConfig) bool {
	self := c.replica.Self().DiskID
	turn := slices.IndexFunc(voters.Voters, func(x consensus.Member) bool { return x.DiskID == self })
	if turn < 0 || c.replica.IsLeaving() {
		return false
	}
	lastReceived := c.startedAt
	if c.stateSince.After(lastReceived) && (voters.Coordinator == "" || !voters.Contains(voters.Coordinator)) {
		lastReceived = c.stateSince
	}
	if c.coordinatorSince.After(lastReceived) { // a quorum committed the coordinator then
		lastReceived = c.coordinatorSince
	}
	for _, o := range c.replica.PeerStatuses() {
		if o.DiskID != "" && o.DiskID == voters.Coordinator && o.LastReceived.After(lastReceived) {
			lastReceived = o.LastReceived
		}
	}
	jitter := namehash.Hash(fmt.Sprint(self, voters.Epoch)) % campaignJitterMillis
	timeout := coordinatorTimeout + time.Duration(turn)*campaignStagger + time.Duration(jitter)*time.Millisecond
	return now.Sub(lastReceived) > c.replica.Scale(timeout)
}

// MemberView is the last known status of a member, in the view of the coordinator.
type MemberView struct {
	consensus.Member
	Alive          bool
	UnreachableFor time.Duration // since its last message, at a time scale of 1
	InSync         bool          // it has accepted all committed registers
	Leaving        bool          // it has announced that it shuts down
}

// memberViews returns the views that this process has of all members, including itself.
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
				float64(now.Sub(cmp.Or(o.LastReceived, c.startedAt))) * float64(time.Second) / float64(c.replica.Scale(time.Second)),
			)
		}
		out = append(out, s)
	}
	return out
}

// NextVoters returns the voters that are to replace the present voters, or nil if these are to stay.
// FaultBudget is how many disks may be lost at once.
//
// In one step, unreachable voters are replaced by learners that are in sync, and as many more
// learners are added as keep the number of voters odd. A voter whose machine reports another disk is lost
// permanently. A voter that announces its shutdown is replaced while it still serves. A voter that
// does not respond is replaced after replaceAfter; without an available learner it is removed only
// after removeAfter, and never below 2*faultBudget+1 voters.
func NextVoters(voters []consensus.Member, views []MemberView, faultBudget int) []consensus.Member {
	var retained, learners []consensus.Member
	var lost []lostVoter
	for _, s := range views {
		if s.Alive && s.InQuorum && s.InSync && !s.Leaving && !consensus.ContainsDisk(voters, s.DiskID) {
			learners = append(learners, s.Member)
		}
	}
	for _, x := range voters {
		if d := unreachableFor(x, views); d >= replaceAfter {
			lost = append(lost, lostVoter{x, d})
		} else {
			retained = append(retained, x)
		}
	}
	slices.SortStableFunc(lost, func(a, b lostVoter) int { return cmp.Compare(b.unreachableFor, a.unreachableFor) })
	replaced := min(len(lost), len(learners))
	next := append(slices.Clone(retained), learners[:replaced]...)
	learners, lost = learners[replaced:], lost[replaced:]
	minimum := 2*faultBudget + 1
	for _, v := range lost {
		if v.unreachableFor < removeAfter || len(next)+len(lost) <= minimum || len(next) < minimum {
			next = append(next, v.Member)
		}
	}
	if count := len(next) + len(learners); len(learners) > 0 {
		next = append(next, learners[:len(learners)-(1-count%2)]...)
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

// makeOdd removes the voter that has been unreachable the longest; the last if all are reachable.
func makeOdd(next []consensus.Member, views []MemberView) []consensus.Member {
	removed := len(next) - 1
	for i, x := range next {
		if unreachableFor(x, views) > unreachableFor(next[removed], views) {
			removed = i
		}
	}
	return slices.Delete(next, removed, removed+1)
}

// lostVoter is a voter that is to be replaced or removed.
type lostVoter struct {
	consensus.Member
	unreachableFor time.Duration
}

// unreachableFor returns for how long no message was received from a member; the maximum if its
// machine reports another disk.
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
