package controlplane

import (
	"slices"
	"time"

	"milletmast/internal/mesh/controlstate"
	"milletmast/internal/mesh/discovery"
	"milletmast/internal/mesh/outlier"
	"milletmast/internal/mesh/registry"
)

// turnInterval is the time between the turns of two control planes to propose an ejection.
const turnInterval = 400 * time.Millisecond

// ejector collects the opinions of proxies about endpoints and proposes the ejections that they
// agree on (package outlier).
type ejector struct {
	server       *Server
	limits       outlier.Limits
	votes        map[string]outlier.Vote // by node of the proxy
	unsentVotes  map[string]bool         // by node of the proxy; votes that are not yet sent to the other control planes
	ejectedSince map[string]time.Time    // by instance, when it was first seen as ejected
	polled       []string                // instances of the last poll
	decidedAt    time.Time               // since when Decide returns changes that are not yet proposed; zero for none
	inFlight     bool                    // a proposal is in flight
}

func newEjector(server *Server) *ejector {
	return &ejector{
		server:       server,
		limits:       outlier.DefaultLimits(),
		votes:        map[string]outlier.Vote{},
		unsentVotes:  map[string]bool{},
		ejectedSince: map[string]time.Time{},
	}
}

// handleOpinions stores the opinions of a connected proxy.
func (e *ejector) handleOpinions(session *session, opinions []outlier.Opinion) {
	now := time.Now()
	if len(opinions) == 0 || e.server.stalls.JustResumed(now) { // after a stall, the opinions may be old
		return
	}
	zone := ""
	if known, ok := e.server.registry.Get(session.node); ok {
		zone = known.Zone
	}
	e.votes[session.node] = outlier.Vote{Node: session.node, Zone: zone, ReceivedAt: now, Opinions: opinions}
	e.unsentVotes[session.node] = true
}

// takeUnsentVotes returns the votes that the other control planes are to be sent.
func (e *ejector) takeUnsentVotes() []outlier.Vote {
	var out []outlier.Vote
	for node := range e.unsentVotes {
		out = append(out, e.votes[node])
	}
	clear(e.unsentVotes)
	return out
}

// instances returns the instances that the registry knows.
func (e *ejector) instances(now time.Time) []outlier.Instance {
	var out []outlier.Instance
	for _, record := range e.server.registry.All() {
		if endpoint := record.Endpoint; endpoint != nil && endpoint.State != registry.Gone {
			out = append(out, outlier.Instance{
				ID:             endpoint.ID,
				Service:        endpoint.Target,
				Zone:           record.Zone,
				Serving:        record.AcceptsRequests(),
				ProxyRestarted: now.Sub(e.server.registry.RestartedAt(record.Node)) <= e.limits.Window,
			})
		}
	}
	return out
}

// tick polls the proxies about instances that some of them find unhealthy, and proposes the
// ejections that the proxies agree on, if it is this control plane's turn.
func (e *ejector) tick(now time.Time) {
	for node, vote := range e.votes {
		if now.Sub(vote.ReceivedAt) > e.limits.Window {
			delete(e.votes, node)
		}
	}
	var ejected []outlier.Ejection
	snapshot := e.server.contact.Snapshot()
	if snapshot != nil {
		ejected = snapshot.Ejections
	}
	if len(e.votes) == 0 && len(ejected) == 0 {
		e.poll(nil)
		return
	}
	instances := e.instances(now)
	votes := make([]outlier.Vote, 0, len(e.votes))
	for _, vote := range e.votes {
		votes = append(votes, vote)
	}
	e.poll(outlier.InstancesToPoll(e.limits, instances, outlier.TallyVotes(e.limits, now, instances, votes)))
	if !e.server.hasContact() || e.server.stalls.JustResumed(now) || e.inFlight {
		return
	}
	e.trackEjected(now, ejected)
	next, changed := outlier.Decide(
		e.limits,
		now,
		instances,
		votes,
		ejected,
		func(instance string) time.Duration { return now.Sub(e.ejectedSince[instance]) },
	)
	if !changed {
		e.decidedAt = time.Time{}
		return
	}
	if e.decidedAt.IsZero() {
		e.decidedAt = now
	}
	if now.Sub(e.decidedAt) < e.server.scale(time.Duration(e.turn())*turnInterval) {
		return
	}
	e.proposeEjections(next, snapshot)
}

// trackEjected updates ejectedSince from the present ejections.
func (e *ejector) trackEjected(now time.Time, ejected []outlier.Ejection) {
	since := map[string]time.Time{}
	for _, ejection := range ejected {
		if ejection.Returned {
			continue
		}
		id := ejection.InstanceID
		if since[id] = e.ejectedSince[id]; since[id].IsZero() {
			since[id] = now
		}
	}
	e.ejectedSince = since
}

// turn returns the number of reachable control planes that sort before this one: they propose
// first.
func (e *ejector) turn() int {
	return max(
		slices.IndexFunc(e.server.reachableMachines(), func(m discovery.ControlPlane) bool { return m.IP == e.server.settings.IP }),
		0,
	)
}

// poll asks the proxies for their opinions of instances, unless the last poll was about the same instances.
func (e *ejector) poll(instances []string) {
	if slices.Equal(instances, e.polled) {
		return
	}
	e.polled = instances
	for session := range e.server.proxies {
		e.server.sendMessage(
			session,
			discovery.ControlMessage{Poll: &discovery.Poll{Present: true, Instances: instances}, HasContact: session.announcedContact},
		)
	}
}

// proposeEjections has the configuration store commit ejections.
func (e *ejector) proposeEjections(next []outlier.Ejection, snapshot *controlstate.Snapshot) {
	e.inFlight = true
	e.server.store.runCommand(
		&controlstate.Command{Kind: controlstate.SetEjections, Ejections: next, BaseVersion: snapshot.EjectionsVersion},
		time.Now(),
		func(r *controlstate.Result) {
			e.inFlight, e.decidedAt = false, time.Time{}
			log := e.server.log.Info()
			for _, ejection := range next {
				if !ejection.Returned {
					log = log.Str("instance", ejection.InstanceID)
				}
			}
			log.Int("ejections", len(next)).Int("status", int(r.Status)).Str("reason", r.Reason).Msg("propose ejections")
		},
	)
}
