package consensus

import (
	"bytes"
	"slices"
	"time"
)

// VoterConfigKey is the key of the register that holds the voter configuration.
const VoterConfigKey = "set"

// ChangeKind is what a change does with the value of a register.
type ChangeKind uint8

// The kinds of changes. Each may be applied again: the outcome and the value are the same.
const (
	Read           ChangeKind = iota + 1 // changes nothing
	Repropose                            // changes nothing, but has the current value accepted at a new ballot
	PutVersion                           // replaces a value that has a lower version, which the caller assigns
	Put                                  // replaces a different body, under the next version
	CompareAndSwap                       // replaces the value that has the given version
	Reconfigure                          // replaces the voter configuration by one that can follow it
)

// Change is one change of a register.
type Change struct {
	Kind     ChangeKind
	Key      string
	Version  Version // PutVersion: the version of the body; CompareAndSwap: the version to replace
	Body     []byte
	Proposer string       // the disk that assigns a version
	Voters   *VoterConfig // Reconfigure: the configuration
	// Timeout is how long the change is attempted; 0 means Settings.ProposalTimeout. It is not
	// sent to others.
	Timeout time.Duration
	// Attempted are the versions that earlier attempts of this very change assigned. Any of
	// them may have been committed without its proposer knowing, and been followed by others
	// since.
	Attempted []Version
}

// Outcome is the outcome of a change.
type Outcome uint8

// The outcomes of a change.
const (
	Committed Outcome = iota + 1
	Conflict          // another value is committed in its place; this one never will be by this change
	Unknown           // no quorum answered in time: it may be committed or not, now or later
)

// Apply returns the value that follows the current one, and the outcome of the change if that value
// is committed. A nil value is that of a register with nothing committed.
func (c *Change) Apply(current *Value) (next *Value, outcome Outcome) {
	switch c.Kind {
	case PutVersion:
		return c.putVersion(current)
	case Put:
		if c.alreadyApplied(current) || current != nil && bytes.Equal(current.Body, c.Body) {
			return current, Committed
		}
		return c.successor(current, Version{versionNumber(current) + 1, c.Proposer}), Committed
	case CompareAndSwap:
		version, nextVersion := Version{}, Version{c.Version.Number + 1, c.Proposer}
		if current != nil {
			version = current.Version
		}
		switch {
		case version == c.Version:
			return c.successor(current, nextVersion), Committed
		case version == nextVersion && bytes.Equal(current.Body, c.Body) || c.alreadyApplied(current):
			return current, Committed
		}
		return current, Conflict
	case Reconfigure:
		switch {
		case current == nil && c.Voters.Epoch > 1,
			current != nil && current.Voters.Epoch+1 == c.Voters.Epoch && c.Voters.CanFollow(current.Voters):
			return &Value{Version: Version{Number: c.Voters.Epoch}, Voters: c.Voters}, Committed
		case current != nil && current.Voters.equal(c.Voters):
			return current, Committed
		}
		return current, Conflict
	}
	return current, Committed
}

// putVersion keeps the order of the operators' version numbers: a higher number replaces the value,
// the same content is acknowledged again, other content under the same number is a conflict, and a
// lower number is acknowledged and changes nothing.
func (c *Change) putVersion(current *Value) (*Value, Outcome) {
	switch {
	case current == nil || c.Version.Number > current.Version.Number:
		return c.successor(current, c.Version), Committed
	case c.Version.Number == current.Version.Number && !bytes.Equal(c.Body, current.Body):
		return current, Conflict
	}
	return current, Committed
}

// successor returns the value with which the change replaces the current one.
func (c *Change) successor(current *Value, version Version) *Value {
	next := &Value{Version: version, Body: c.Body}
	if current != nil {
		next.History = slices.Clone(current.History[max(0, len(current.History)-maxHistory+1):])
	}
	next.History = append(next.History, c.chosenVersion(version))
	return next
}

// chosenVersion returns the history entry of the value that this change makes. Where the system
// assigns the numbers, two proposers may assign the same one, so the digest covers the proposer
// too.
func (c *Change) chosenVersion(version Version) ChosenVersion {
	if version.Proposer == "" {
		return ChosenVersion{version.Number, Digest(c.Body)}
	}
	return ChosenVersion{version.Number, Digest(slices.Concat([]byte(version.Proposer), []byte{0}, c.Body))}
}

// alreadyApplied reports whether an earlier attempt of this change was committed, whatever followed
// it. The history is bounded; no change is attempted for as long as it takes to fill it.
func (c *Change) alreadyApplied(current *Value) bool {
	return current != nil &&
		slices.ContainsFunc(c.Attempted, func(version Version) bool { return slices.Contains(current.History, c.chosenVersion(version)) })
}

func versionNumber(v *Value) uint64 {
	if v == nil {
		return 0
	}
	return v.Version.Number
}

func (c *VoterConfig) equal(other *VoterConfig) bool {
	return c.Epoch == other.Epoch && c.Coordinator == other.Coordinator && slices.Equal(c.Voters, other.Voters) &&
		slices.Equal(c.Incoming, other.Incoming)
}
