package clusterview

import (
	"slices"
	"time"
)

// State is the state of a member, as the membership protocol reports it.
type State uint8

// The states of a member.
const (
	Alive   State = iota + 1
	Suspect       // it has not answered a probe, and others are asked to probe it
	Failed        // it did not answer for the time-out of the protocol
	Left          // it announced that it leaves
)

func (s State) String() string {
	return [...]string{"unknown", "alive", "suspected", "failed", "left"}[s]
}

// Member is a replica as another replica sees it.
type Member struct {
	Name        string
	Incarnation uint64 // number of its process; a later process has a higher one
	Version     string // of its program
	State       State
	Since       time.Time // of State
	Damped      bool      // it has changed too often, and counts as present until it stays failed for Config.FlapWindow
}

// Event is a change of a member that the membership protocol reports.
type Event struct {
	Name        string
	Incarnation uint64
	Version     string
	State       State
}

// memberState is a member with its recent history.
type memberState struct {
	Member
	changes []time.Time // of State, within the last Config.FlapWindow
}

// isCounted reports whether the member may still send requests. A damped member may have failed only apparently.
func (m *memberState) isCounted() bool {
	return m.State == Alive || m.State == Suspect || m.Damped && m.State == Failed
}

// isGone reports whether the member has failed or left.
func (m *memberState) isGone() bool { return m.State == Failed || m.State == Left }

// recordChange records a change of State, and damps a member that changes too often.
func (m *memberState) recordChange(now time.Time, config *Config) {
	m.changes = append(m.changes, now)
	m.expireChanges(now, config)
	m.Damped = m.Damped || len(m.changes) > config.MaxFlaps
}

// expireChanges forgets changes that are older than Config.FlapWindow. Damping ends with the last one.
func (m *memberState) expireChanges(now time.Time, config *Config) {
	m.changes = slices.DeleteFunc(m.changes, func(t time.Time) bool { return now.Sub(t) > config.FlapWindow })
	if len(m.changes) == 0 {
		m.Damped = false
	}
}
