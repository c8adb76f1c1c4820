// Package wire holds the encoded form of the status report of a control plane.
//
// encoding/gob writes the names of struct types and fields between processes that are upgraded one machine at a time, so the
// names in this package never change; the golden files of package compat check them. Package controlplane converts at the edge.
package wire

import (
	"time"

	controlstatewire "milletmast/internal/mesh/controlstate/wire"
	discoverywire "milletmast/internal/mesh/discovery/wire"
	outlierwire "milletmast/internal/mesh/outlier/wire"
	registrywire "milletmast/internal/mesh/registry/wire"
)

// Status is the encoded form of controlplane.Status.
type Status struct {
	Node    string
	Sighted bool
	Version uint64
	Epoch   uint64
	Lease   time.Duration
	Evacs   []controlstatewire.Evacuation
	Core    []discoverywire.Machine
	Pilots  []PilotStatus
	Cases   []outlierwire.Case
	Removed []outlierwire.Removal
}

// PilotStatus is the encoded form of controlplane.ProxyStatus.
type PilotStatus struct {
	registrywire.Known
	Connected bool
	Holds     uint64
	Pushed    uint64
	Acked     uint64
}
