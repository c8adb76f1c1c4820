// Package wire holds the encoded forms of the handshake and of the status report of a configuration store.
//
// encoding/gob writes the names of struct types and fields between processes that are upgraded one machine at a time, so the
// names in this package never change; the golden files of package compat check them. Package configstore converts where a message
// is sent or received.
package wire

import (
	"time"

	consensuswire "milletmast/internal/mesh/consensus/wire"
)

// Hello is the encoded form of configstore.Handshake.
type Hello struct {
	Keeper     bool
	Lighthouse string
	Status     bool
}

// Status is the encoded form of configstore.Status.
type Status struct {
	Node, Disk string
	Counts     bool
	Set        consensuswire.Set
	Alive      map[string]bool
	Duty       string
	Lease      time.Duration
	Mute       bool
	Entries    []EntryStatus
}

// EntryStatus is the encoded form of configstore.RegisterStatus.
type EntryStatus struct {
	Key     string
	Stamp   consensuswire.Stamp
	Bytes   int
	Ballot  consensuswire.Ballot
	Settled bool
}
