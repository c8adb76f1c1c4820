package keeper

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"whinknot/internal/signal"
	"whinknot/internal/tide"
)

// Status is how things are at a keeper.
type Status struct {
	Node, Disk      string
	Counts          bool // its disk counts
	Set             tide.Set
	Alive           map[string]bool // by disk, as this keeper sees them
	Duty            string          // following, asking or holding
	Term            uint64
	Holder          string
	Entries         []EntryStatus
	MajorityInSight bool
}

// EntryStatus is one key.
type EntryStatus struct {
	Key     string
	Stamp   tide.Stamp
	Bytes   int
	Settled bool // a majority is known to hold it
}

// status tells how things are. It runs in the loop.
func (k *Keeper) status() *Status {
	s := &Status{
		Node: k.me.Node, Disk: k.me.Disk, Counts: k.set.Has(k.me.Disk), Set: k.set, Alive: map[string]bool{k.me.Disk: true},
		Duty: k.duty.State().String(), Term: k.duty.Term(), Holder: k.duty.Holder(), MajorityInSight: k.inSight(),
	}
	for _, p := range k.peers {
		if p.alive() {
			s.Alive[p.member.Disk] = true
		}
	}
	for _, e := range k.copy.All() {
		stamp, ok := k.settled[e.Key]
		s.Entries = append(s.Entries, EntryStatus{e.Key, e.Stamp, len(e.Body), ok && stamp == e.Stamp})
	}
	return s
}

// AskStatus asks a keeper how things are.
func AskStatus(addr string, within time.Duration) (*Status, error) {
	var s Status
	return &s, signal.Query(context.Background(), addr, within, &Hello{Status: true}, &s)
}

// Print writes a status for people.
func (s *Status) Print(w io.Writer) {
	fmt.Fprintf(w, "keeper %s  disk %s  counts=%v  majority-in-sight=%v  duty=%s term=%d holder=%s\n",
		s.Node, s.Disk, s.Counts, s.MajorityInSight, s.Duty, s.Term, s.Holder)
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintf(t, "set %d\tzone\taddress\tanswers\n", s.Set.Number)
	for _, m := range s.Set.Members {
		fmt.Fprintf(t, "%s\t%s\t%s\t%v\n", m.Disk, m.Zone, m.Addr, s.Alive[m.Disk])
	}
	fmt.Fprintf(t, "\nkey\tnumber\tby\tbytes\tmajority\n")
	for _, e := range s.Entries {
		fmt.Fprintf(t, "%s\t%d\t%s\t%d\t%v\n", e.Key, e.Stamp.Number, e.Stamp.By, e.Bytes, e.Settled)
	}
	t.Flush()
}
