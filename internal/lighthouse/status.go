package lighthouse

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"whinknot/internal/beacon"
	"whinknot/internal/keeper"
	"whinknot/internal/lamp"
	"whinknot/internal/muster"
	"whinknot/internal/signal"
)

// Status is how things are, as a lighthouse sees them.
type Status struct {
	Node    string
	Sighted bool // it has contact with a majority of the core
	Version uint64
	Epoch   uint64        // of the set of disks, as it last had contact
	Lease   time.Duration // left of its contact
	Evacs   []keeper.Evacuation
	Core    []lamp.Machine
	Pilots  []PilotStatus
	Cases   []muster.Case
	Removed []muster.Removal
}

// PilotStatus is one pilot.
type PilotStatus struct {
	beacon.Known
	Connected bool   // to this lighthouse
	Holds     uint64 // version that it goes by, if it is connected
	Pushed    uint64 // number of the last change it was sent
	Acked     uint64
}

// status tells how things are. It runs in the loop.
func (l *Lighthouse) status() *Status {
	s := &Status{Node: l.s.Node, Sighted: l.sighted(), Core: l.machines()}
	if f := l.contact.InForce(); f != nil {
		s.Version, s.Epoch, s.Evacs, s.Removed = f.Version, f.Epoch, f.Evacuations, f.Removals
		s.Lease = max(time.Until(*l.speaks.Load()), 0)
	}
	links := map[string]*link{}
	for k := range l.pilots {
		links[k.node] = k
	}
	for _, known := range l.registry.All() {
		p := PilotStatus{Known: known}
		if k := links[known.Node]; k != nil {
			p.Connected, p.Holds, p.Pushed, p.Acked = true, k.holds, k.pushed, k.acked
		}
		s.Pilots = append(s.Pilots, p)
	}
	var votes []muster.Vote
	for _, v := range l.council.votes {
		votes = append(votes, v)
	}
	s.Cases = muster.Cases(l.council.bounds, time.Now(), l.council.hosts(time.Now()), votes)
	return s
}

// AskStatus asks a lighthouse how things are.
func AskStatus(addr string, within time.Duration) (*Status, error) {
	var s Status
	return &s, signal.Query(context.Background(), addr, within, &lamp.Hello{Status: true}, &s)
}

// Print writes a status for people.
func (s *Status) Print(w io.Writer) {
	fmt.Fprintf(w, "lighthouse %s  sees-the-core=%v  version=r%d  epoch=%d  lease=%v\n", s.Node, s.Sighted, s.Version, s.Epoch, s.Lease.Round(time.Millisecond))
	for _, e := range s.Evacs {
		if e.On {
			fmt.Fprintf(w, "zone %s is evacuated (order %d)\n", e.Zone, e.Stamp.Number)
		}
	}
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "pilot\tzone\tversion\tchange\tstate\tendpoint\tservice\tendpoint state")
	for _, p := range s.Pilots {
		version, change, state := "-", "-", "here"
		if p.Connected {
			version, change = fmt.Sprintf("r%d", p.Holds), fmt.Sprintf("%d/%d", p.Acked, p.Pushed)
		}
		if p.Dark {
			state = "dark"
		} else if p.Leaving {
			state = "leaving"
		}
		id, target, es := "-", "-", "-"
		if e := p.Endpoint; e != nil {
			id, target, es = e.ID, e.Target, e.State.String()
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", p.Node, p.Zone, version, change, state, id, target, es)
	}
	t.Flush()
	for _, c := range s.Cases {
		fmt.Fprintf(w, "unwell: %s of %s: %d for, %d against, %d zones for, gate=%v\n", c.Life, c.Service, c.For, c.Against, c.Zones, c.Gate)
	}
	for _, r := range s.Removed {
		fmt.Fprintf(w, "removed: %s of %s: %d times, back=%v\n", r.Life, r.Service, r.Times, r.Back)
	}
}
