package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"text/tabwriter"
	"time"

	"milletmast/internal/mesh/eventlog"
	"milletmast/internal/mesh/process"
	"milletmast/internal/mesh/proxy/wire"
	"milletmast/internal/mesh/transport"
)

const (
	maxEvents       = 4096 // kept in memory; a request causes two to six
	peerConnTimeout = 4 * time.Second
)

// PeerMessage is a message to a proxy: a status query of an operator, or gossip of another proxy.
type PeerMessage struct {
	StatusQuery *StatusQuery
	Gossip      *Gossip
}

// StatusQuery requests the status report, with the events of a request if its id is given.
type StatusQuery struct{ RequestID string }

// Status is the status report of a proxy.
type Status struct {
	Node, Zone       string
	Version          uint64
	Ready            bool
	Trust            string   // trust level of the control state: waiting, uncertain or certain
	ControlPlanes    []string // addresses of the connected ones
	Endpoint         string
	EndpointState    string
	InFlight, Queued int // requests at the endpoint, and requests that wait for it
	Capacity         int
	Services         []ServiceStatus
	Events           []eventlog.Event
}

// ServiceStatus is the status of a service that this proxy sends requests to.
type ServiceStatus struct {
	Name      string
	Instances []InstanceStatus
}

// InstanceStatus is the status of an instance.
type InstanceStatus struct {
	ID, Zone        string
	AcceptsRequests bool
}

// servePeerConn serves a connection of another proxy or of an operator.
func (p *Proxy) servePeerConn(raw net.Conn) {
	conn, err := transport.New(p.ctx, raw, peerConnTimeout)
	if err != nil {
		return
	}
	defer conn.Close()
	for {
		var encoded wire.Talk
		if conn.Receive(&encoded) != nil {
			return
		}
		t := decodePeerMessage(&encoded)
		switch {
		case t.StatusQuery != nil:
			p.sendStatus(conn, t.StatusQuery)
			return
		case t.Gossip != nil:
			g, ok := process.Call(p.loop, func() *Gossip { return p.replyTo(t.Gossip) })
			if !ok || conn.Send(g.Encode()) != nil {
				return
			}
		default:
			return
		}
	}
}

// sendStatus sends the status report that an operator has requested.
func (p *Proxy) sendStatus(conn *transport.Conn, q *StatusQuery) {
	s, ok := process.Call(p.loop, p.status)
	if !ok {
		return
	}
	if q.RequestID != "" {
		s.Events = p.events.ForRequest(q.RequestID)
	}
	_ = conn.Send(s.Encode()) // the operator may have disconnected
}

// status returns the status report. It runs in the loop.
func (p *Proxy) status() *Status {
	_, version := p.state.Config()
	s := &Status{
		Node:    p.settings.Node,
		Zone:    p.settings.Zone,
		Version: version,
		Ready:   !p.draining.Load() && p.routing.Load().config != nil,
		Trust:   p.state.Trust().String(),
	}
	for ip, link := range p.controlPlanes.active {
		if link.conn != nil {
			s.ControlPlanes = append(s.ControlPlanes, ip)
		}
	}
	p.inbound.mu.Lock()
	state, instanceID := p.inbound.controller.State()
	s.Endpoint, s.EndpointState = instanceID, state.String()
	s.InFlight, s.Queued, s.Capacity = p.inbound.controller.InFlight(), p.inbound.controller.Queued(), p.inbound.controller.Capacity()
	p.inbound.mu.Unlock()
	for name, service := range p.services {
		v := ServiceStatus{Name: name}
		service.mu.Lock()
		for _, e := range service.endpoints {
			v.Instances = append(v.Instances, InstanceStatus{e.Name, e.Zone, !e.Draining})
		}
		service.mu.Unlock()
		s.Services = append(s.Services, v)
	}
	return s
}

// QueryStatus requests the status report of a proxy.
func QueryStatus(addr string, q StatusQuery, timeout time.Duration) (*Status, error) {
	var s wire.Status
	if err := transport.Call(context.Background(), addr, timeout, (&PeerMessage{StatusQuery: &q}).Encode(), &s); err != nil {
		return nil, err
	}
	return decodeStatus(&s), nil
}

// Print writes the report as text.
func (s *Status) Print(w io.Writer) {
	fmt.Fprintf(
		w,
		"proxy %s  zone %s  version=r%d  ready=%v  trust=%s  controlplanes=%v\n",
		s.Node,
		s.Zone,
		s.Version,
		s.Ready,
		s.Trust,
		s.ControlPlanes,
	)
	fmt.Fprintf(w, "endpoint %s  %s  in-flight=%d of %d  queued=%d\n", s.Endpoint, s.EndpointState, s.InFlight, s.Capacity, s.Queued)
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	for _, v := range s.Services {
		for _, l := range v.Instances {
			fmt.Fprintf(t, "%s\t%s\t%s\taccepts=%v\n", v.Name, l.ID, l.Zone, l.AcceptsRequests)
		}
	}
	t.Flush()
}

// PrintEvents writes the events of a request as text.
func (s *Status) PrintEvents(w io.Writer) {
	if len(s.Events) == 0 {
		fmt.Fprintf(w, "proxy %s has no events of it\n", s.Node)
	}
	for _, e := range s.Events {
		fmt.Fprintf(w, "%s proxy=%s %s\n", e.At.UTC().Format(time.RFC3339Nano), s.Node, e.Detail)
	}
}
