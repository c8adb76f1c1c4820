// Package clusterview decides how far a replica trusts the events that a membership protocol reports of its fleet. It derives
// a View from them: the members, a hash by which two replicas compare their views, and the position of the replica among
// all, by which it takes its share of quotas.
//
// The invariant is a bound on the sum over all replicas: whatever views they have while a fleet is partitioned in two, their
// shares of one quota add up to at most MaxTotalShare. docs/design/members.md has the argument.
//
// The package has no I/O and no clock: times are arguments.
package clusterview

import (
	"errors"
	"slices"
	"time"
)

// forgetAfterWindows is the number of Config.FlapWindow after which a member that is gone is forgotten.
const forgetAfterWindows = 10

// Tracker keeps the view of one replica. It is not safe for concurrent use.
type Tracker struct {
	config  Config
	self    string
	members map[string]*memberState // by name

	agreedMembers []string // names of the counted members when the view was last Agreed; none before
	position      Position
	confidence    Confidence
	since         time.Time // of confidence
	epoch         uint64

	membersChangedAt time.Time // when the set of counted members last changed
	lastFailureAt    time.Time // when a counted member last failed
	lastUncertainAt  time.Time // when the view was last Uncertain
	lossStartedAt    time.Time // since when too many agreed members are missing; zero if they are not
	lostQuorum       bool      // no quorum of the agreed members was left at the last update
}

// NewTracker returns the tracker of a replica with a name and the incarnation and version of its process. It is Alone until
// an event reports another member.
func NewTracker(config Config, self string, incarnation uint64, version string, now time.Time) (*Tracker, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	if self == "" {
		return nil, errors.New("clusterview: the name of this replica is empty")
	}
	t := &Tracker{
		config:           config,
		self:             self,
		members:          map[string]*memberState{},
		confidence:       Alone,
		since:            now,
		membersChangedAt: now,
		epoch:            1,
	}
	t.members[self] = &memberState{Member: Member{Name: self, Incarnation: incarnation, Version: version, State: Alive, Since: now}}
	t.position = t.configuredPosition("the file's: nobody else was heard of")
	return t, nil
}

// HandleEvent applies an event and reports whether it changed anything. Events of an earlier incarnation of a member are
// ignored, and so are events of the replica itself.
func (t *Tracker) HandleEvent(event Event, now time.Time) bool {
	if event.Name == "" || event.State < Alive || event.State > Left || event.Name == t.self {
		return false
	}
	member := t.members[event.Name]
	switch {
	case member == nil && event.State != Alive && event.State != Suspect:
		return false // it has never been a member here
	case member == nil:
		member = &memberState{Member: Member{Name: event.Name}}
		t.members[event.Name] = member
	case event.Incarnation < member.Incarnation:
		return false
	case event.Incarnation == member.Incarnation && event.State == member.State && event.Version == member.Version:
		return false
	}
	wasCounted := member.isCounted()
	if member.State != event.State || member.Incarnation != event.Incarnation {
		member.recordChange(now, &t.config)
		member.Since = now
	}
	member.Incarnation, member.Version, member.State = event.Incarnation, event.Version, event.State
	if event.State == Left {
		member.Damped, member.changes = false, nil
	}
	if member.isCounted() != wasCounted {
		t.membersChangedAt = now
		if event.State == Failed {
			t.lastFailureAt = now
		}
	}
	t.Tick(now)
	return true
}

// countedMembers returns the sorted names of the counted members.
func (t *Tracker) countedMembers() []string {
	var names []string
	for name, member := range t.members {
		if member.isCounted() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Tick updates the view to the time now. It returns when the view may change next without an event; zero for never.
func (t *Tracker) Tick(now time.Time) (next time.Time) {
	wake := &wakeTime{now: now}
	t.updateMembers(now, wake)
	t.updateView(now, wake)
	return wake.next
}

// wakeTime collects the earliest of several times after now; zero if there is none.
type wakeTime struct{ now, next time.Time }

func (w *wakeTime) add(t time.Time) {
	if t.After(w.now) && (w.next.IsZero() || t.Before(w.next)) {
		w.next = t
	}
}

// updateMembers ends the damping of members and forgets those that have been gone for long.
func (t *Tracker) updateMembers(now time.Time, wake *wakeTime) {
	for name, member := range t.members {
		wasDamped := member.Damped
		member.expireChanges(now, &t.config)
		if wasDamped && !member.Damped && member.State == Failed {
			t.membersChangedAt = now
		}
		if len(member.changes) > 0 {
			wake.add(member.changes[0].Add(t.config.FlapWindow + time.Millisecond))
		}
		if member.isGone() && name != t.self && now.Sub(member.Since) > forgetAfterWindows*t.config.FlapWindow {
			delete(t.members, name)
		}
	}
}

// updateView derives confidence and position from the members.
func (t *Tracker) updateView(now time.Time, wake *wakeTime) {
	counted := t.countedMembers()
	hold := t.config.HoldTime
	switch {
	case len(counted) == 1 && len(t.agreedMembers) <= 1:
		t.setView(Alone, now, t.configuredPosition("the file's: nobody else is there"))
	case t.updateLoss(now):
		t.lastUncertainAt = now
		position := t.uncertainPosition(len(counted), now)
		if t.confidence == Uncertain { // the other side has to detect first that this replica is back
			position.Replicas = max(position.Replicas, t.position.Replicas)
		}
		t.setView(Uncertain, now, position)
		wake.add(t.lossStartedAt.Add(hold))
		wake.add(t.lossStartedAt.Add(2 * hold))
	case now.Sub(t.membersChangedAt) < t.config.SettleTime || now.Sub(t.lastUncertainAt) < hold/2 || now.Sub(t.lastFailureAt) < hold/2:
		// A partition shows as one failure after the other: the first ones alone must not be agreed on. After a partition
		// other replicas may detect later that this one is back; until then it takes no larger share.
		t.setView(Changing, now, t.changingPosition(counted))
		wake.add(t.membersChangedAt.Add(t.config.SettleTime))
		wake.add(t.lastUncertainAt.Add(hold / 2))
		wake.add(t.lastFailureAt.Add(hold / 2))
	case t.countMissing() > 0 && t.hasSuspects():
		// More failures with the same cause may be about to be detected.
		t.setView(Changing, now, t.changingPosition(counted))
	case len(t.agreedMembers) == 0 && len(counted) < t.config.ConfiguredReplicas && now.Sub(t.membersChangedAt) < hold:
		// Of many replicas that start at once each sees only some at first.
		t.setView(Changing, now, t.changingPosition(counted))
		wake.add(t.membersChangedAt.Add(hold))
	default:
		t.lossStartedAt = time.Time{}
		t.agreedMembers = counted
		t.setView(Agreed, now, Position{len(counted), rankOf(counted, t.self), "members seen"})
	}
}

// setView sets confidence and position. The epoch counts the changes, except those of the reason alone.
func (t *Tracker) setView(confidence Confidence, now time.Time, position Position) {
	if t.confidence != confidence {
		t.confidence, t.since = confidence, now
		t.epoch++
	} else if t.position.Replicas != position.Replicas || t.position.Rank != position.Rank {
		t.epoch++
	}
	t.position = position
}
