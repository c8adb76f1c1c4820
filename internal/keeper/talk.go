package keeper

import (
	"bytes"
	"slices"
	"time"

	"whinknot/internal/helm"
	"whinknot/internal/muster"
	"whinknot/internal/tide"
)

// Ask is what one keeper asks of another.
type Ask struct {
	ID      uint64
	From    tide.Member  // in the first ask of a connection alone
	Set     tide.Set     // that the asker goes by; its members only if the other may not know them
	Settled []Held       // what the asker knows a majority to hold, as far as the other has not been told
	Offer   []tide.Entry // to be held
	Collect []string     // keys whose entries are asked for
	All     bool         // every entry is asked for
	Digest  uint64       // of everything the asker holds; 0 for not told
	Digests *[tide.Ranges]uint64
	Duty    *DutyAsk
}

// Held names one version.
type Held struct {
	Key   string
	Stamp tide.Stamp
}

// Tell is the answer to an Ask.
type Tell struct {
	ID      uint64
	From    tide.Member  // as in the ask: to one that says who it is
	Set     tide.Set     // its members only if the asker goes by an older one
	Differs bool         // this one's digest of everything is another
	Behind  bool         // the asker goes by an older set: nothing of this counts
	Stored  bool         // all that was offered is held as it was
	Entries []tide.Entry // what was asked for, or what is held instead
	Ranges  []int        // whose digests differ
	Duty    *DutyTell
}

// DutyAsk is about the duty of changing the set of disks (package helm).
type DutyAsk struct {
	Term    uint64
	Holder  string    // the disk that has the duty, or asks for it
	Promise bool      // it asks for it
	Accept  *tide.Set // the next set, of this term
	Succeed bool      // the one that is told is to ask for the duty now
}

// DutyTell answers it.
type DutyTell struct {
	Granted bool
	Vow     helm.Vow
}

// Order is what a lighthouse has its keeper do.
type Order struct {
	ID   uint64
	Kind OrderKind
	Body []byte // of a configuration
	// Of removals: what they are to be, if they are still those of a stamp.
	Removals []muster.Removal
	Base     tide.Stamp
	Zone     string
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
