package keeper

import (
	"bytes"
	"slices"
	"time"

	"whinknot/internal/muster"
	"whinknot/internal/tide"
)

// Order is what a lighthouse has its keeper do.
type Order struct {
	ID   uint64
	Kind OrderKind
	Body []byte // of a configuration
	// Of removals: what they are to be, if they are still those of a stamp.
	Removals []muster.Removal
	Base     tide.Stamp
	Zone     string
	Within   time.Duration // it is tried for so long; 0 for as long as any
}

// OrderKind says what is ordered.
type OrderKind uint8

// The orders.
const (
	PutConfig OrderKind = iota + 1
	ReadConfig
	BeginEvacuation
	FinishEvacuation
	SetRemovals
	Beat // says nothing
)

// Result is what became of an order.
type Result struct {
	ID     uint64
	Status End
	Why    string
	Body   []byte
}

// End says how an order ended.
type End uint8

// The ends of an order.
const (
	Done     End = iota + 1
	Refused      // it is invalid
	Conflict     // another content has that number
	Absent       // there is none yet
	Unclear      // no majority could be asked: it may be in force or not
)

// Word is what a keeper says to a lighthouse: a result, and what is in force if that has changed.
type Word struct {
	Result  *Result
	InForce *InForce
	Core    []tide.Member // the keepers known
	Beat    uint64        // the beat that is answered; 0 for none
	Lease   time.Duration // left of the keeper's lease as it answered the beat: what it has told is in force until then
}

// InForce is what operators have ordered, as far as a majority holds it.
type InForce struct {
	Config      []byte // empty for none yet
	Version     uint64
	Evacuations []Evacuation // by zone
	Removals    []muster.Removal
	Removed     tide.Stamp // of the removals
	Settled     bool       // the keeper holds a lease by a majority's word
	Epoch       uint64     // of the set of disks by which that is so
}

// Evacuation is the newest order about a zone.
type Evacuation struct {
	Zone  string
	Stamp tide.Stamp
	On    bool
}

// Same tells whether the same is in force.
func (f *InForce) Same(o *InForce) bool {
	if f == nil || o == nil {
		return f == o
	}
	return f.Version == o.Version && f.Settled == o.Settled && f.Epoch == o.Epoch && bytes.Equal(f.Config, o.Config) && slices.Equal(f.Evacuations, o.Evacuations) && f.Removed == o.Removed
}
