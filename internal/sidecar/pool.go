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

// pool is one pool of an operator file: a decision module with a loop, connections and a source of servers of its own, so that
// pools do not affect each other.
type pool struct {
	name     string
	spec     operator.Pool // of the latest file
	loop     *eventLoop
	upstream *upstream
	classes  map[string]uint16
	tenants  map[string]uint16
	settings balancer.Settings
	bounds   streamLimits // of streamed bodies; that of a request's length is its listener's
	source   *serverSource
	holders  int // generations that use it; guarded by Instance.mu
}

// newPool returns a pool with at most maxConns connections, which conns counts. It does nothing before start.
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

// start starts the loop and the source. Servers are those that the file lists. Levels is the controller of the levels of the pool
// that this one replaces; nil for none.
func (p *pool) start(servers []operator.Server, levels *degradation.Controller) {
	go p.loop.run()
	spec := p.spec // a reload may change that of the pool
	p.loop.post(func() {
		p.loop.setLevels(&spec, levels)
		if p.loop.subset != nil {
			p.loop.updateSubset()
		}
	})
	p.setServers(servers)
	p.source = newServerSource(p, &p.spec)
}

// setReplicas sets the number of replicas and the rank of this one, if the pool goes by members.
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

// update applies the spec of a new file, in which only servers, their source and levels may differ.
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

// setMaxConns changes the limit of connections.
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

// stop ends a pool that has no request left, and returns once its goroutines have ended.
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
