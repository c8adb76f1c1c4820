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
	Node, Disk string
	Counts     bool // its disk counts
	Set        tide.Set
	Alive      map[string]bool // by disk, as this keeper sees them
	Duty       string          // following, asking, holding or changing
	Lease      time.Duration   // for which what it tells is in force; 0 for none
	Mute       bool            // its disk failed
	Entries    []EntryStatus
}

// EntryStatus is one key.
type EntryStatus struct {
	Key     string
	Stamp   tide.Stamp
	Bytes   int
	Ballot  tide.Ballot // it was accepted at
	Settled bool        // it is known to be chosen
}

// status tells how things are. It runs in the loop.
func (k *Keeper) status() *Status {
	now, set, me := time.Now(), k.replica.Set(), k.replica.Me()
	s := &Status{
		Node: me.Node, Disk: me.Disk, Counts: set.Has(me.Disk), Set: set, Alive: map[string]bool{me.Disk: true},
		Duty: k.duty.State().String(), Lease: k.lease(now), Mute: k.mute,
	}
	for _, o := range k.replica.Others() {
		if o.Alive(now) {
			s.Alive[o.Disk] = true
		}
	}
	for _, r := range k.replica.Acceptor().All() {
		if r.Key == tide.SetKey {
			continue
		}
		v, ok := k.replica.Get(r.Key)
		s.Entries = append(s.Entries, EntryStatus{r.Key, r.Value.Stamp, len(r.Value.Body), r.Accepted, ok && v.Stamp == r.Value.Stamp})
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
	fmt.Fprintf(w, "keeper %s  disk %s  counts=%v  lease=%v  mute=%v  duty=%s  holder=%s\n", s.Node, s.Disk, s.Counts, s.Lease.Round(time.Millisecond), s.Mute, s.Duty, s.Set.Holder)
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	members := func(title string, all []tide.Member) {
		fmt.Fprintf(t, "%s\tzone\taddress\tanswers\n", title)
		for _, m := range all {
			fmt.Fprintf(t, "%s\t%s\t%s\t%v\n", m.Disk, m.Zone, m.Addr, s.Alive[m.Disk])
		}
	}
	members(fmt.Sprint("epoch ", s.Set.Epoch), s.Set.Members)
	if s.Set.Joint() {
		members("next", s.Set.Next)
	}
	fmt.Fprintf(t, "\nkey\tnumber\tby\tbytes\tballot\tchosen\n")
	for _, e := range s.Entries {
		fmt.Fprintf(t, "%s\t%d\t%s\t%d\t%d %s\t%v\n", e.Key, e.Stamp.Number, e.Stamp.By, e.Bytes, e.Ballot.Round, e.Ballot.Disk, e.Settled)
	}
	t.Flush()
}
