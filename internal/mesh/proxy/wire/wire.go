// Package wire holds the encoded forms of the messages that proxies exchange and of the status report of a proxy.
//
// encoding/gob writes the names of struct types and fields between processes that are upgraded one machine at a time, so the
// names in this package never change; the golden files of package compat check them. Package proxy converts between them and its own types.
package wire

import (
	"time"

	consensuswire "milletmast/internal/mesh/consensus/wire"
	controlstatewire "milletmast/internal/mesh/controlstate/wire"
	discoverywire "milletmast/internal/mesh/discovery/wire"
)

// Talk is the encoded form of proxy.PeerMessage.
type Talk struct {
	Question *Question
	Gossip   *Gossip
}

// Question is the encoded form of proxy.StatusQuery.
type Question struct{ Request string }

// Gossip is the encoded form of proxy.Gossip.
type Gossip struct {
	Version uint64
	Zones   uint64
	Removed consensuswire.Stamp
	Cut     bool
	Unsure  bool
	InForce *controlstatewire.InForce
	Nodes   []discoverywire.Node
}

// Status is the encoded form of proxy.Status.
type Status struct {
	Node, Zone      string
	Version         uint64
	Ready           bool
	Standing        string
	Lighthouses     []string
	Endpoint        string
	EndpointState   string
	Inside, Waiting int
	Slots           int
	Services        []ServiceStatus
	Story           []Event
}

// ServiceStatus is the encoded form of proxy.ServiceStatus.
type ServiceStatus struct {
	Name  string
	Lives []LifeStatus
}

// LifeStatus is the encoded form of proxy.InstanceStatus.
type LifeStatus struct {
	ID, Zone string
	Takes    bool
}

// Event is the encoded form of eventlog.Event.
type Event struct {
	At   time.Time
	ID   string
	What string
}
