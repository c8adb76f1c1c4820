// Package wire holds the encoded forms of the records of package registry.
//
// encoding/gob writes the names of struct types and fields between processes that are upgraded one machine at a time, so the
// names in this package never change; the golden files of package compat check them. Each type is converted at the edge, where
// it is sent or received.
package wire

import (
	"time"

	"milletmast/internal/mesh/registry"
)

// Endpoint is the encoded form of registry.Endpoint.
type Endpoint struct {
	ID, Target string
	State      uint8
	Capacity   int
	Cold       time.Duration
}

// FromEndpoint encodes an endpoint, which may be nil.
func FromEndpoint(e *registry.Endpoint) *Endpoint {
	if e == nil {
		return nil
	}
	return &Endpoint{ID: e.ID, Target: e.Target, State: uint8(e.State), Capacity: e.Capacity, Cold: e.WarmupLeft}
}

// Endpoint decodes an endpoint, which may be nil.
func (e *Endpoint) Endpoint() *registry.Endpoint {
	if e == nil {
		return nil
	}
	return &registry.Endpoint{ID: e.ID, Target: e.Target, State: registry.State(e.State), Capacity: e.Capacity, WarmupLeft: e.Cold}
}

// Sheet is the encoded form of registry.NodeRecord.
type Sheet struct {
	Node, Zone string
	Life       uint64
	Number     uint64
	Inbound    string
	Talk       string
	Leaving    bool
	Endpoint   *Endpoint
}

// FromNodeRecord encodes the record of a node.
func FromNodeRecord(r registry.NodeRecord) Sheet {
	return Sheet{
		Node:     r.Node,
		Zone:     r.Zone,
		Life:     r.Incarnation,
		Number:   r.Sequence,
		Inbound:  r.InboundAddr,
		Talk:     r.PeerAddr,
		Leaving:  r.Draining,
		Endpoint: FromEndpoint(r.Endpoint),
	}
}

// NodeRecord decodes the record of a node.
func (s Sheet) NodeRecord() registry.NodeRecord {
	return registry.NodeRecord{
		Node:        s.Node,
		Zone:        s.Zone,
		Incarnation: s.Life,
		Sequence:    s.Number,
		InboundAddr: s.Inbound,
		PeerAddr:    s.Talk,
		Draining:    s.Leaving,
		Endpoint:    s.Endpoint.Endpoint(),
	}
}

// Known is the encoded form of registry.ObservedRecord.
type Known struct {
	Sheet
	Dark bool
}

// FromObservedRecord encodes an observed record.
func FromObservedRecord(k registry.ObservedRecord) Known {
	return Known{Sheet: FromNodeRecord(k.NodeRecord), Dark: k.Unreachable}
}

// ObservedRecord decodes an observed record.
func (k Known) ObservedRecord() registry.ObservedRecord {
	return registry.ObservedRecord{NodeRecord: k.NodeRecord(), Unreachable: k.Dark}
}
