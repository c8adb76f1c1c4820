package consensus

import (
	"bytes"
	"slices"
	"time"
)

// VoterConfigKey is the key of the register that holds the voter configuration. Disks and messages contain
// it, so it does not change.
const VoterConfigKey = "set"

// ChangeKind is the effect of a change on the value of a register.
type ChangeKind uint8

// The kinds of changes. Each may be applied again: the outcome and the value are the same.
const (
	Read           ChangeKind = iota + 1 // leaves the value as it is
	Repropose                            // has the current value accepted at a new ballot
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
	Proposer string       // the disk that assigns the version
	Voters   *VoterConfig // Reconfigure: the new configuration
	// Timeout is how long the change is attempted; 0 means Settings.ProposalTimeout. It is not
	// sent to peers.
	Timeout time.Duration
	// Attempted holds the versions that earlier attempts of this change assigned. Any of them may
	// have been committed without an acknowledgement to the proposer, and later versions may have
	// followed it.
	Attempted []Version
}

// Outcome is the outcome of a change.
type Outcome uint8

// The outcomes of a change.
const (
	Committed Outcome = iota + 1
	Conflict          // another value is committed instead; this change will not be committed
	Unknown           // no quorum responded in time: the change may or may not be committed, now or later
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

// putVersion enforces the order of the operators' version numbers: a higher number replaces the
// value, the same number with the same content is acknowledged again, the same number with different
// content is a conflict, and a lower number is acknowledged without effect.
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

// chosenVersion returns the history entry of the value that this change produces. Where the system
// assigns the numbers, two proposers may assign the same number, so the digest covers the proposer
// too.
func (c *Change) chosenVersion(version Version) ChosenVersion {
	if version.Proposer == "" {
		return ChosenVersion{version.Number, Digest(c.Body)}
	}
	return ChosenVersion{version.Number, Digest(slices.Concat([]byte(version.Proposer), []byte{0}, c.Body))}
}

// alreadyApplied reports whether an earlier attempt of this change was committed, even if other
// changes followed it. The history is bounded: attempts of a change end before later versions can
// displace its entry.
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
