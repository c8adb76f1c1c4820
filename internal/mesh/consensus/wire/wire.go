// Package wire holds the encoded forms of the messages and records of package consensus.
//
// encoding/gob writes the names of struct types and fields, on disk and between processes that are upgraded one machine at a
// time, so the names in this package never change; the golden files of package compat check them. The rest of the program uses
// the types of package consensus and converts where a message is sent or received and a record is written or read.
package wire

import (
	"milletmast/internal/mesh/consensus"
	"milletmast/internal/mesh/convert"
)

// Ballot is the encoded form of consensus.Ballot.
type Ballot struct {
	Round uint64
	Disk  string
}

// FromBallot encodes a ballot.
func FromBallot(b consensus.Ballot) Ballot { return Ballot{Round: b.Round, Disk: b.Proposer} }

// Ballot decodes a ballot.
func (b Ballot) Ballot() consensus.Ballot {
	return consensus.Ballot{Round: b.Round, Proposer: b.Disk}
}

// Stamp is the encoded form of consensus.Version.
type Stamp struct {
	Number uint64
	By     string
}

// FromVersion encodes a version.
func FromVersion(s consensus.Version) Stamp { return Stamp{Number: s.Number, By: s.Proposer} }

// Version decodes a version.
func (s Stamp) Version() consensus.Version {
	return consensus.Version{Number: s.Number, Proposer: s.By}
}

// Past is the encoded form of consensus.ChosenVersion.
type Past struct{ Number, Sum uint64 }

// Value is the encoded form of consensus.Value.
type Value struct {
	Stamp Stamp
	Body  []byte
	Past  []Past
	Set   *Set
	Bare  uint64
}

// FromValue encodes a value, which may be nil.
func FromValue(v *consensus.Value) *Value {
	if v == nil {
		return nil
	}
	return &Value{
		Stamp: FromVersion(v.Version),
		Body:  v.Body,
		Past:  convert.Slice(v.History, func(p consensus.ChosenVersion) Past { return Past{Number: p.Number, Sum: p.Digest} }),
		Set:   FromVoterConfig(v.Voters),
		Bare:  v.BodyDigest,
	}
}

// Value decodes a value, which may be nil.
func (v *Value) Value() *consensus.Value {
	if v == nil {
		return nil
	}
	return &consensus.Value{
		Version: v.Stamp.Version(),
		Body:    v.Body,
		History: convert.Slice(
			v.Past,
			func(p Past) consensus.ChosenVersion { return consensus.ChosenVersion{Number: p.Number, Digest: p.Sum} },
		),
		Voters:     v.Set.VoterConfig(),
		BodyDigest: v.Bare,
	}
}

// Head is the encoded form of consensus.RegisterState.
type Head struct {
	Key                string
	Promised, Accepted Ballot
}

// FromState encodes the state of a register.
func FromState(h consensus.RegisterState) Head {
	return Head{Key: h.Key, Promised: FromBallot(h.Promised), Accepted: FromBallot(h.Accepted)}
}

// State decodes the state of a register.
func (h Head) State() consensus.RegisterState {
	return consensus.RegisterState{Key: h.Key, Promised: h.Promised.Ballot(), Accepted: h.Accepted.Ballot()}
}

// Register is the encoded form of consensus.Register.
type Register struct {
	Head
	Value Value
}

// FromRegister encodes a register.
func FromRegister(r consensus.Register) Register {
	return Register{Head: FromState(r.RegisterState), Value: *FromValue(&r.Value)}
}

// Register decodes a register.
func (r Register) Register() consensus.Register {
	return consensus.Register{RegisterState: r.State(), Value: *r.Value.Value()}
}

// Member is the encoded form of consensus.Member.
type Member struct {
	Disk   string
	Node   string
	Addr   string
	Zone   string
	Counts bool
}

// FromMember encodes a member.
func FromMember(m consensus.Member) Member {
	return Member{Disk: m.DiskID, Node: m.Node, Addr: m.Addr, Zone: m.Zone, Counts: m.InQuorum}
}

// Member decodes a member.
func (m Member) Member() consensus.Member {
	return consensus.Member{DiskID: m.Disk, Node: m.Node, Addr: m.Addr, Zone: m.Zone, InQuorum: m.Counts}
}

// FromMembers encodes a list of members.
func FromMembers(all []consensus.Member) []Member { return convert.Slice(all, FromMember) }

// Members decodes a list of members.
func Members(all []Member) []consensus.Member { return convert.Slice(all, Member.Member) }

// Set is the encoded form of consensus.VoterConfig.
type Set struct {
	Epoch   uint64
	Holder  string
	Members []Member
	Next    []Member
}

// FromVoterConfig encodes a voter configuration, which may be nil.
func FromVoterConfig(s *consensus.VoterConfig) *Set {
	if s == nil {
		return nil
	}
	return &Set{Epoch: s.Epoch, Holder: s.Coordinator, Members: FromMembers(s.Voters), Next: FromMembers(s.Incoming)}
}

// VoterConfig decodes a voter configuration, which may be nil.
func (s *Set) VoterConfig() *consensus.VoterConfig {
	if s == nil {
		return nil
	}
	return &consensus.VoterConfig{Epoch: s.Epoch, Coordinator: s.Holder, Voters: Members(s.Members), Incoming: Members(s.Next)}
}

// Ask is the encoded form of consensus.Request.
type Ask struct {
	To     string
	From   Member
	ID     uint64
	Epoch  uint64
	Set    *Set
	Query  uint8
	Key    string
	Ballot Ballot
	Have   Ballot
	Same   Ballot
	Value  *Value
	Sum    uint64
	Heads  []Head
	Keys   []string
	Body   []byte
	Leaves bool
	Apart  bool
}

// FromRequest encodes a request.
func FromRequest(a *consensus.Request) *Ask {
	return &Ask{
		To:     a.To,
		From:   FromMember(a.From),
		ID:     a.ID,
		Epoch:  a.Epoch,
		Set:    FromVoterConfig(a.Voters),
		Query:  uint8(a.Type),
		Key:    a.Key,
		Ballot: FromBallot(a.Ballot),
		Have:   FromBallot(a.Accepted),
		Same:   FromBallot(a.SameAs),
		Value:  FromValue(a.Value),
		Sum:    a.Digest,
		Heads:  convert.Slice(a.States, FromState),
		Keys:   a.Keys,
		Body:   a.Body,
		Leaves: a.Leaving,
		Apart:  a.DetachedBodies,
	}
}

// Request decodes a request.
func (a *Ask) Request() *consensus.Request {
	return &consensus.Request{
		To:             a.To,
		From:           a.From.Member(),
		ID:             a.ID,
		Epoch:          a.Epoch,
		Voters:         a.Set.VoterConfig(),
		Type:           consensus.MessageType(a.Query),
		Key:            a.Key,
		Ballot:         a.Ballot.Ballot(),
		Accepted:       a.Have.Ballot(),
		SameAs:         a.Same.Ballot(),
		Value:          a.Value.Value(),
		Digest:         a.Sum,
		States:         convert.Slice(a.Heads, Head.State),
		Keys:           a.Keys,
		Body:           a.Body,
		Leaving:        a.Leaves,
		DetachedBodies: a.Apart,
	}
}

// Tell is the encoded form of consensus.Response.
type Tell struct {
	ID       uint64
	From     Member
	Epoch    uint64
	Set      *Set
	Behind   bool
	Granted  bool
	Lacks    bool
	Wants    uint64
	Head     Head
	Value    *Value
	Same     bool
	Heads    []Head
	Hears    bool
	Register []Register
	Body     []byte
	Leaves   bool
	Apart    bool
}

// FromResponse encodes a response.
func FromResponse(t *consensus.Response) *Tell {
	return &Tell{
		ID:       t.ID,
		From:     FromMember(t.From),
		Epoch:    t.Epoch,
		Set:      FromVoterConfig(t.Voters),
		Behind:   t.StaleEpoch,
		Granted:  t.Granted,
		Lacks:    t.MissingValue,
		Wants:    t.MissingBody,
		Head:     FromState(t.State),
		Value:    FromValue(t.Value),
		Same:     t.SameStates,
		Heads:    convert.Slice(t.States, FromState),
		Hears:    t.CoordinatorAlive,
		Register: convert.Slice(t.Registers, FromRegister),
		Body:     t.Body,
		Leaves:   t.Leaving,
		Apart:    t.DetachedBodies,
	}
}

// Response decodes a response.
func (t *Tell) Response() *consensus.Response {
	return &consensus.Response{
		ID:               t.ID,
		From:             t.From.Member(),
		Epoch:            t.Epoch,
		Voters:           t.Set.VoterConfig(),
		StaleEpoch:       t.Behind,
		Granted:          t.Granted,
		MissingValue:     t.Lacks,
		MissingBody:      t.Wants,
		State:            t.Head.State(),
		Value:            t.Value.Value(),
		SameStates:       t.Same,
		States:           convert.Slice(t.Heads, Head.State),
		CoordinatorAlive: t.Hears,
		Registers:        convert.Slice(t.Register, Register.Register),
		Body:             t.Body,
		Leaving:          t.Leaves,
		DetachedBodies:   t.Apart,
	}
}
