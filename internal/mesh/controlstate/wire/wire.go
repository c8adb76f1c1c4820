// Package wire holds the encoded forms of the messages of package controlstate.
//
// encoding/gob writes the names of struct types and fields between processes that are upgraded one machine at a time, so the
// names in this package never change; the golden files of package compat check them. Each type is converted at the edge, where
// it is sent or received.
package wire

import (
	"time"

	consensuswire "milletmast/internal/mesh/consensus/wire"
	"milletmast/internal/mesh/controlstate"
	"milletmast/internal/mesh/convert"
	outlierwire "milletmast/internal/mesh/outlier/wire"
)

// Order is the encoded form of controlstate.Command.
type Order struct {
	ID       uint64
	Kind     uint8
	Body     []byte
	Removals []outlierwire.Removal
	Base     consensuswire.Stamp
	Zone     string
	Within   time.Duration
}

// FromCommand encodes a command.
func FromCommand(c *controlstate.Command) *Order {
	return &Order{
		ID:       c.ID,
		Kind:     uint8(c.Kind),
		Body:     c.Body,
		Removals: outlierwire.FromEjections(c.Ejections),
		Base:     consensuswire.FromVersion(c.BaseVersion),
		Zone:     c.Zone,
		Within:   c.Timeout,
	}
}

// Command decodes a command.
func (o *Order) Command() *controlstate.Command {
	return &controlstate.Command{
		ID:          o.ID,
		Kind:        controlstate.CommandKind(o.Kind),
		Body:        o.Body,
		Ejections:   outlierwire.Ejections(o.Removals),
		BaseVersion: o.Base.Version(),
		Zone:        o.Zone,
		Timeout:     o.Within,
	}
}

// Result is the encoded form of controlstate.Result.
type Result struct {
	ID     uint64
	Status uint8
	Why    string
	Body   []byte
}

// FromResult encodes a result, which may be nil.
func FromResult(r *controlstate.Result) *Result {
	if r == nil {
		return nil
	}
	return &Result{ID: r.ID, Status: uint8(r.Status), Why: r.Reason, Body: r.Body}
}

// Result decodes a result, which may be nil.
func (r *Result) Result() *controlstate.Result {
	if r == nil {
		return nil
	}
	return &controlstate.Result{ID: r.ID, Status: controlstate.ResultStatus(r.Status), Reason: r.Why, Body: r.Body}
}

// Word is the encoded form of controlstate.Update.
type Word struct {
	Result  *Result
	InForce *InForce
	Core    []consensuswire.Member
	Beat    uint64
	Lease   time.Duration
}

// FromUpdate encodes an update.
func FromUpdate(u *controlstate.Update) *Word {
	return &Word{
		Result:  FromResult(u.Result),
		InForce: FromSnapshot(u.Snapshot),
		Core:    consensuswire.FromMembers(u.Members),
		Beat:    u.HeartbeatID,
		Lease:   u.LeaseRemaining,
	}
}

// Update decodes an update.
func (w *Word) Update() *controlstate.Update {
	return &controlstate.Update{
		Result:         w.Result.Result(),
		Snapshot:       w.InForce.Snapshot(),
		Members:        consensuswire.Members(w.Core),
		HeartbeatID:    w.Beat,
		LeaseRemaining: w.Lease,
	}
}

// InForce is the encoded form of controlstate.Snapshot.
type InForce struct {
	Config      []byte
	Version     uint64
	Evacuations []Evacuation
	Removals    []outlierwire.Removal
	Removed     consensuswire.Stamp
	Settled     bool
	Epoch       uint64
}

// FromSnapshot encodes a snapshot, which may be nil.
func FromSnapshot(s *controlstate.Snapshot) *InForce {
	if s == nil {
		return nil
	}
	return &InForce{
		Config:      s.Config,
		Version:     s.ConfigVersion,
		Evacuations: FromEvacuations(s.Evacuations),
		Removals:    outlierwire.FromEjections(s.Ejections),
		Removed:     consensuswire.FromVersion(s.EjectionsVersion),
		Settled:     s.Confirmed,
		Epoch:       s.Epoch,
	}
}

// Snapshot decodes a snapshot, which may be nil.
func (f *InForce) Snapshot() *controlstate.Snapshot {
	if f == nil {
		return nil
	}
	return &controlstate.Snapshot{
		Config:           f.Config,
		ConfigVersion:    f.Version,
		Evacuations:      Evacuations(f.Evacuations),
		Ejections:        outlierwire.Ejections(f.Removals),
		EjectionsVersion: f.Removed.Version(),
		Confirmed:        f.Settled,
		Epoch:            f.Epoch,
	}
}

// Evacuation is the encoded form of controlstate.Evacuation.
type Evacuation struct {
	Zone  string
	Stamp consensuswire.Stamp
	On    bool
}

// FromEvacuations encodes a list of evacuations.
func FromEvacuations(all []controlstate.Evacuation) []Evacuation {
	return convert.Slice(all, func(e controlstate.Evacuation) Evacuation {
		return Evacuation{Zone: e.Zone, Stamp: consensuswire.FromVersion(e.Version), On: e.Active}
	})
}

// Evacuations decodes a list of evacuations.
func Evacuations(all []Evacuation) []controlstate.Evacuation {
	return convert.Slice(all, func(e Evacuation) controlstate.Evacuation {
		return controlstate.Evacuation{Zone: e.Zone, Version: e.Stamp.Version(), Active: e.On}
	})
}
