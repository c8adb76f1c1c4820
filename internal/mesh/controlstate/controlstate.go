// Package controlstate has the messages between control planes and configuration stores: commands, results, and snapshots of the
// state that operators and proxies have agreed on.
package controlstate

import (
	"bytes"
	"slices"
	"time"

	"milletmast/internal/mesh/consensus"
	"milletmast/internal/mesh/outlier"
)

// Command is a command that a control plane sends to its configuration store.
type Command struct {
	ID   uint64
	Kind CommandKind
	Body []byte // PutConfig: the configuration
	// SetEjections: the ejections that replace those of version BaseVersion.
	Ejections   []outlier.Ejection
	BaseVersion consensus.Version
	Zone        string
	Timeout     time.Duration // how long the command is attempted; 0 for the default
}

// CommandKind is the kind of a command.
type CommandKind uint8

// The kinds of commands.
const (
	PutConfig CommandKind = iota + 1
	ReadConfig
	BeginEvacuation
	FinishEvacuation
	SetEjections
	Heartbeat // requests the remaining lease
)

// Result is the result of a command.
type Result struct {
	ID     uint64
	Status ResultStatus
	Reason string
	Body   []byte
}

// ResultStatus is the status of a result.
type ResultStatus uint8

// The statuses of a result.
const (
	Completed ResultStatus = iota + 1
	Rejected               // the command is invalid
	Conflict               // another content is committed under the same version
	NotFound               // no configuration is committed yet
	Unknown                // without the responses of a quorum: the command may take effect or not
)

// Update is a message of a configuration store to a control plane: the result of a command, and the
// snapshot if it has changed.
type Update struct {
	Result         *Result
	Snapshot       *Snapshot
	Members        []consensus.Member // the stores that are reachable
	HeartbeatID    uint64             // the heartbeat that this acknowledges; 0 for none
	LeaseRemaining time.Duration      // of the store's read lease when it acknowledged the heartbeat
}

// Snapshot is the committed control state: the configuration and evacuations of the operators, and
// the ejections that proxies have agreed on.
type Snapshot struct {
	Config           []byte // empty for none yet
	ConfigVersion    uint64
	Evacuations      []Evacuation // sorted by zone
	Ejections        []outlier.Ejection
	EjectionsVersion consensus.Version
	Confirmed        bool   // the store held a read lease when it sent the snapshot
	Epoch            uint64 // of the voter configuration of that lease
}

// Evacuation is the newest command to begin or finish the evacuation of a zone.
type Evacuation struct {
	Zone    string
	Version consensus.Version
	Active  bool // begun and not finished
}

// Equal reports whether two snapshots, which may be nil, have the same content.
func (s *Snapshot) Equal(other *Snapshot) bool {
	if s == nil || other == nil {
		return s == other
	}
	return s.ConfigVersion == other.ConfigVersion && s.Confirmed == other.Confirmed && s.Epoch == other.Epoch &&
		bytes.Equal(s.Config, other.Config) &&
		slices.Equal(s.Evacuations, other.Evacuations) &&
		s.EjectionsVersion == other.EjectionsVersion
}
