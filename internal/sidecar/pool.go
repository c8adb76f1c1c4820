package sidecar

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"reflect"
	"time"

	"milletmast/balancer"
	"milletmast/internal/degradation"
	"milletmast/internal/operator"
	"milletmast/internal/wire"
)

// pool is one pool of an operator file. It has its own decision module, event loop, connections and source of servers, so that
// pools do not affect each other.
type pool struct {
	name     string
	spec     operator.Pool // of the latest file
	loop     *eventLoop
	upstream *upstream
	classes  map[string]uint16
	tenants  map[string]uint16
	settings balancer.Settings
	bounds   streamLimits // of streamed bodies; maxBytes of a request is set by its listener
	source   *serverSource
	holders  int // number of generations that use the pool; guarded by Instance.mu
}

// newPool returns a pool with at most maxConns connections, which count against the budget conns. The pool is idle until start.
func newPool(spec *operator.Pool, maxConns int, conns *connBudget) (*pool, error) {
	p := &pool{
		name: spec.Name, spec: *spec, settings: spec.Settings(),
		bounds: streamLimits{idleTimeout: time.Duration(spec.StreamIdle), totalTime: time.Duration(spec.StreamTime)},
	}
	p.upstream = newUpstream(p.settings.Limits, p.settings.Safety.DrainGrace, maxConns)
	p.upstream.budget = conns
	if spec.Protocol == operator.GRPC {
		p.upstream.muxes = muxConfig{maxStreams: spec.Streams, pingAfter: time.Duration(spec.PingAfter)}
	}
	var err error
	p.loop, err = newEventLoop(&Config{Seed: rand.Uint64(), Site: wire.Site{Settings: p.settings, Zones: spec.Zones}}, p.upstream)
	if err != nil {
		return nil, fmt.Errorf("pool %s: %w", spec.Name, err)
	}
	p.loop.subset = newServerSubset(spec)
	p.classes, p.tenants = nameIndexes(&p.settings)
	return p, nil
}

// start starts the loop and the source. Servers are the servers that the file lists. Levels is the degradation controller of the
// pool that this pool replaces; nil for none.
func (p *pool) start(servers []operator.Server, levels *degradation.Controller) {
	go p.loop.run()
	spec := p.spec // copied, because a reload may change p.spec
	p.loop.post(func() {
		p.loop.setLevels(&spec, levels)
		if p.loop.subset != nil {
			p.loop.updateSubset()
		}
	})
	p.setServers(servers)
	p.source = newServerSource(p, &p.spec)
}

// setReplicas sets the number of replicas and the rank of this replica, if the pool takes them from the membership.
func (p *pool) setReplicas(replicas, rank int) {
	if p.spec.ByMembers {
		p.loop.post(func() { p.loop.setReplicas(replicas, rank) })
	}
}

// setServers replaces the list of servers.
func (p *pool) setServers(servers []operator.Server) {
	list := targets(servers)
	p.loop.post(func() { p.loop.applyList(list, balancer.ListFull) })
}

// update applies the spec of a new file, which may differ in the servers, their source and the levels only.
func (p *pool) update(spec *operator.Pool, servers []operator.Server) {
	old := p.spec
	p.spec = *spec
	if !reflect.DeepEqual(old.Source, spec.Source) {
		p.source.stop()
		p.source = newServerSource(p, &p.spec)
	}
	if !old.SameLevels(spec) {
		p.loop.post(func() { p.loop.setLevels(spec, nil) })
	}
	if spec.Source.Type != operator.SourceDiscovery {
		p.setServers(servers)
	}
}

// setMaxConns changes the limit of connections and notifies the decision module of the resulting limit of open requests.
func (p *pool) setMaxConns(maxConns int) {
	open := p.upstream.setMaxConns(maxConns)
	p.loop.post(func() { p.loop.handle(&balancer.Event{Kind: balancer.EvMaxRequests, MaxRequests: open}) })
}

// openRequests returns the number of open requests; 0 once the pool has ended.
func (p *pool) openRequests() int {
	n := 0
	p.loop.do(func() { n = len(p.loop.calls) })
	return n
}

// stop ends a pool that has no open requests, and returns once its goroutines have ended.
func (p *pool) stop() {
	p.source.stop()
	p.loop.do(func() {
		for _, c := range p.loop.calls {
			p.loop.abortAttempts(c)
		}
	})
	close(p.loop.stop)
	<-p.loop.stopped
	p.loop.attempts.Wait()
	p.upstream.close()
	slog.Info("close pool", "pool", p.name)
}

// targets converts servers of an operator file to a list for the loop.
func targets(servers []operator.Server) List {
	l := List{Full: true, Targets: make([]Target, len(servers))}
	for i, s := range servers {
		state := stateReady
		if s.State == operator.ServerDraining {
			state = stateTerminating
		}
		l.Targets[i] = Target{
			UID:      s.ID,
			Endpoint: s.Address,
			Zone:     s.Zone,
			Cell:     uint16(s.Cell),
			State:    state,
			Weight:   s.Weight,
			BootMS:   s.StartedMS(),
			Backup:   s.Backup,
		}
	}
	return l
}
