package controlplane

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"milletmast/internal/mesh/controlplane/wire"
	"milletmast/internal/mesh/controlstate"
	"milletmast/internal/mesh/discovery"
	discoverywire "milletmast/internal/mesh/discovery/wire"
	"milletmast/internal/mesh/outlier"
	"milletmast/internal/mesh/registry"
	"milletmast/internal/mesh/transport"
)

// Status is the status report of a control plane.
type Status struct {
	Node           string
	HasContact     bool // with a quorum of the configuration stores
	ConfigVersion  uint64
	Epoch          uint64        // of the voter configuration, at the last contact
	LeaseRemaining time.Duration // of the contact
	Evacuations    []controlstate.Evacuation
	ControlPlanes  []discovery.ControlPlane
	Proxies        []ProxyStatus
	Tallies        []outlier.Tally
	Ejections      []outlier.Ejection
}

// ProxyStatus is the status of one proxy.
type ProxyStatus struct {
	registry.ObservedRecord
	Connected     bool   // to this control plane
	ConfigVersion uint64 // version of the configuration that the proxy uses, if it is connected
	LastPushed    uint64 // sequence of the last update that was sent to it
	LastAcked     uint64 // sequence of the last update that it has acknowledged
}

// status returns the status report. It runs in the loop.
func (s *Server) status() *Status {
	report := &Status{Node: s.settings.Node, HasContact: s.hasContact(), ControlPlanes: s.reachableMachines()}
	if f := s.contact.Snapshot(); f != nil {
		report.ConfigVersion, report.Epoch, report.Evacuations, report.Ejections = f.ConfigVersion, f.Epoch, f.Evacuations, f.Ejections
		report.LeaseRemaining = max(time.Until(*s.serveUntil.Load()), 0)
	}
	sessions := map[string]*session{}
	for session := range s.proxies {
		sessions[session.node] = session
	}
	for _, known := range s.registry.All() {
		p := ProxyStatus{ObservedRecord: known}
		if session := sessions[known.Node]; session != nil {
			p.Connected, p.ConfigVersion = true, session.configVersion
			p.LastPushed, p.LastAcked = session.lastPushed, session.lastAcked
		}
		report.Proxies = append(report.Proxies, p)
	}
	var votes []outlier.Vote
	for _, vote := range s.ejector.votes {
		votes = append(votes, vote)
	}
	report.Tallies = outlier.TallyVotes(s.ejector.limits, time.Now(), s.ejector.instances(time.Now()), votes)
	return report
}

// QueryStatus asks a control plane for its status report.
func QueryStatus(addr string, timeout time.Duration) (*Status, error) {
	var s wire.Status
	if err := transport.Call(
		context.Background(),
		addr,
		timeout,
		discoverywire.FromHandshake(&discovery.Handshake{StatusQuery: true}),
		&s,
	); err != nil {
		return nil, err
	}
	return decodeStatus(&s), nil
}

// Print writes the report as text.
func (s *Status) Print(w io.Writer) {
	fmt.Fprintf(
		w,
		"controlplane %s  contact=%v  version=r%d  epoch=%d  lease=%v\n",
		s.Node,
		s.HasContact,
		s.ConfigVersion,
		s.Epoch,
		s.LeaseRemaining.Round(time.Millisecond),
	)
	for _, e := range s.Evacuations {
		if e.Active {
			fmt.Fprintf(w, "zone %s is evacuated (version %d)\n", e.Zone, e.Version.Number)
		}
	}
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "proxy\tzone\tversion\tupdate\tstate\tendpoint\tservice\tendpoint state")
	for _, p := range s.Proxies {
		version, update, state := "-", "-", "reachable"
		if p.Connected {
			version, update = fmt.Sprintf("r%d", p.ConfigVersion), fmt.Sprintf("%d/%d", p.LastAcked, p.LastPushed)
		}
		if p.Unreachable {
			state = "unreachable"
		} else if p.Draining {
			state = "draining"
		}
		id, service, endpointState := "-", "-", "-"
		if e := p.Endpoint; e != nil {
			id, service, endpointState = e.ID, e.Target, e.State.String()
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", p.Node, p.Zone, version, update, state, id, service, endpointState)
	}
	t.Flush()
	for _, c := range s.Tallies {
		fmt.Fprintf(
			w,
			"unhealthy: %s of %s: %d for, %d against, %d zones for, endpoint-proxy=%v\n",
			c.ID,
			c.Service,
			c.VotesFor,
			c.VotesAgainst,
			c.ZonesFor,
			c.EndpointProxyAgrees,
		)
	}
	for _, r := range s.Ejections {
		fmt.Fprintf(w, "ejected: %s of %s: %d times, returned=%v\n", r.InstanceID, r.Service, r.Count, r.Returned)
	}
}
