// Package wire holds the encoded forms of the messages and records of package outlier.
//
// encoding/gob writes the names of struct types and fields, on disk and between processes that are upgraded one machine at a
// time, so the names in this package never change; the golden files of package compat check them. Each type is converted at the
// edge, where it is read or written.
package wire

import (
	"time"

	"milletmast/internal/mesh/convert"
	"milletmast/internal/mesh/outlier"
)

// Opinion is the encoded form of outlier.Opinion.
type Opinion struct {
	Life    string
	Service string
	Calls   int
	Bad     int
	Gate    bool
}

// FromOpinion encodes an opinion.
func FromOpinion(o outlier.Opinion) Opinion {
	return Opinion{Life: o.InstanceID, Service: o.Service, Calls: o.Calls, Bad: o.Failures, Gate: o.FromEndpointProxy}
}

// Opinion decodes an opinion.
func (o Opinion) Opinion() outlier.Opinion {
	return outlier.Opinion{InstanceID: o.Life, Service: o.Service, Calls: o.Calls, Failures: o.Bad, FromEndpointProxy: o.Gate}
}

// FromOpinions encodes a list of opinions.
func FromOpinions(all []outlier.Opinion) []Opinion { return convert.Slice(all, FromOpinion) }

// Opinions decodes a list of opinions.
func Opinions(all []Opinion) []outlier.Opinion { return convert.Slice(all, Opinion.Opinion) }

// Vote is the encoded form of outlier.Vote.
type Vote struct {
	Pilot, Zone string
	Heard       time.Time
	Opinions    []Opinion
}

// FromVote encodes a vote.
func FromVote(v outlier.Vote) Vote {
	return Vote{Pilot: v.Node, Zone: v.Zone, Heard: v.ReceivedAt, Opinions: FromOpinions(v.Opinions)}
}

// Vote decodes a vote.
func (v Vote) Vote() outlier.Vote {
	return outlier.Vote{Node: v.Pilot, Zone: v.Zone, ReceivedAt: v.Heard, Opinions: Opinions(v.Opinions)}
}

// FromVotes encodes a list of votes.
func FromVotes(all []outlier.Vote) []Vote { return convert.Slice(all, FromVote) }

// Votes decodes a list of votes.
func Votes(all []Vote) []outlier.Vote { return convert.Slice(all, Vote.Vote) }

// Removal is the encoded form of outlier.Ejection.
type Removal struct {
	Life, Service string
	Times         int
	Back          bool
}

// FromEjection encodes an ejection.
func FromEjection(e outlier.Ejection) Removal {
	return Removal{Life: e.InstanceID, Service: e.Service, Times: e.Count, Back: e.Returned}
}

// Ejection decodes an ejection.
func (r Removal) Ejection() outlier.Ejection {
	return outlier.Ejection{InstanceID: r.Life, Service: r.Service, Count: r.Times, Returned: r.Back}
}

// FromEjections encodes a list of ejections.
func FromEjections(all []outlier.Ejection) []Removal { return convert.Slice(all, FromEjection) }

// Ejections decodes a list of ejections.
func Ejections(all []Removal) []outlier.Ejection { return convert.Slice(all, Removal.Ejection) }

// Host is the encoded form of outlier.Instance.
type Host struct {
	Life, Service, Zone string
	Serving             bool
	Anew                bool
}

// Case is the encoded form of outlier.Tally.
type Case struct {
	Host
	For, Against int
	Gate         bool
	Zones        int
	Of           int
	Calls, Bad   int
	OthersCalls  int
	OthersBad    int
}

// FromTally encodes a tally.
func FromTally(t outlier.Tally) Case {
	return Case{
		Host:        Host{Life: t.ID, Service: t.Service, Zone: t.Zone, Serving: t.Serving, Anew: t.ProxyRestarted},
		For:         t.VotesFor,
		Against:     t.VotesAgainst,
		Gate:        t.EndpointProxyAgrees,
		Zones:       t.ZonesFor,
		Of:          t.ZonesVoting,
		Calls:       t.Calls,
		Bad:         t.Failures,
		OthersCalls: t.OtherCalls,
		OthersBad:   t.OtherFailures,
	}
}

// Tally decodes a tally.
func (c Case) Tally() outlier.Tally {
	return outlier.Tally{
		Instance:            outlier.Instance{ID: c.Life, Service: c.Service, Zone: c.Zone, Serving: c.Serving, ProxyRestarted: c.Anew},
		VotesFor:            c.For,
		VotesAgainst:        c.Against,
		EndpointProxyAgrees: c.Gate,
		ZonesFor:            c.Zones,
		ZonesVoting:         c.Of,
		Calls:               c.Calls,
		Failures:            c.Bad,
		OtherCalls:          c.OthersCalls,
		OtherFailures:       c.OthersBad,
	}
}

// FromTallies encodes a list of tallies.
func FromTallies(all []outlier.Tally) []Case { return convert.Slice(all, FromTally) }

// Tallies decodes a list of tallies.
func Tallies(all []Case) []outlier.Tally { return convert.Slice(all, Case.Tally) }
