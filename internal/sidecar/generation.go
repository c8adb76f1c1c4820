package sidecar

import (
	"fmt"
	"log/slog"

	"milletmast/internal/degradation"
	"milletmast/internal/operator"
)

// generation is one loaded file. All fields except refs are immutable.
type generation struct {
	number    uint64
	cfg       *operator.Config
	callTrees *callTrees // nil if calls carry no context
	pools     map[string]*pool
	routers   map[string]*listenerRouter // by the key of the listener
	refs      int                        // requests, connections of removed listeners, and 1 while current; guarded by Instance.mu
}

// pendingGeneration is a generation that is being built, with the resources that are released if that fails.
type pendingGeneration struct {
	*generation
	previous *generation          // nil at the start
	opened   map[string]*listener // listeners that the previous generation does not have, by key
	newPools []*pool              // pools that the previous generation does not have; not started
}

// install builds a generation and replaces the current one. Every step that can fail comes before the replacement. The reload mutex is
// held.
func (i *Instance) install(cfg *operator.Config) error {
	next, err := i.buildGeneration(cfg)
	if err != nil {
		return err
	}
	for _, p := range next.newPools {
		i.startPool(p, next)
	}
	removed := i.replaceGeneration(next)
	i.applyConfig(next)
	i.updateConnShares()
	for _, l := range next.opened {
		i.startAccepting(l)
	}
	for _, l := range removed {
		i.background.Go(func() { i.retireListener(l) })
	}
	if next.previous != nil {
		i.releaseGeneration(next.previous)
	}
	slog.Info("apply generation", "number", next.number, "file", cfg.Path, "hash", cfg.Hash[:12],
		"listeners", len(next.routers), "pools", len(next.pools), "routes", len(cfg.Routes))
	return nil
}

// buildGeneration opens the new listeners of a file and makes its pools. If it fails, it releases all of them.
func (i *Instance) buildGeneration(cfg *operator.Config) (*pendingGeneration, error) {
	next := &pendingGeneration{
		generation: &generation{number: 1, cfg: cfg, pools: map[string]*pool{}, routers: map[string]*listenerRouter{}, refs: 1},
		previous:   i.current,
		opened:     map[string]*listener{},
	}
	var previousTrees *callTrees
	if next.previous != nil {
		next.number = next.previous.number + 1
		previousTrees = next.previous.callTrees
	}
	var err error
	if next.callTrees, err = newCallTrees(cfg, previousTrees); err != nil {
		return nil, err
	}
	if err = i.openListeners(next); err == nil {
		err = i.makePools(next)
	}
	if err != nil {
		for _, l := range next.opened {
			l.listener.Close()
		}
		next.callTrees.close(previousTrees)
		return nil, err
	}
	return next, nil
}

// openListeners opens the listeners of a generation that are not open yet.
func (i *Instance) openListeners(next *pendingGeneration) error {
	cfg := next.cfg
	for n := range cfg.Listeners {
		spec := &cfg.Listeners[n]
		key := listenerKey(spec)
		next.routers[key] = &listenerRouter{
			front:             spec.Front,
			tls:               cfg.Certificates[spec.Name],
			httpRoutes:        cfg.HTTPRoutes[spec.Name],
			grpcRoutes:        cfg.GRPCRoutes[spec.Name],
			sites:             cfg.SiteTables[spec.Name],
			pools:             next.pools,
			maxBody:           int64(spec.MaxBody),
			callTrees:         next.callTrees,
			trustsContexts:    spec.Inner,
			maxPriorityWeight: spec.MaxWorth,
		}
		if i.listeners[key] != nil {
			continue
		}
		ln, err := i.listen(spec.Address)
		if err != nil {
			return fmt.Errorf("listener %s: %w", spec.Name, err)
		}
		next.opened[key] = i.newListener(key, ln)
	}
	return nil
}

// makePools makes the pools of a generation, or reuses those of the previous one whose decision module has the same settings.
func (i *Instance) makePools(next *pendingGeneration) error {
	cfg := next.cfg
	_, servers := cfg.DivideDescriptors()
	shares := allocateConns(cfg, servers)
	for n := range cfg.Pools {
		spec := &cfg.Pools[n]
		if previous := next.previousPool(spec.Name); previous != nil && previous.spec.SameModule(spec) {
			next.pools[spec.Name] = previous
			continue
		}
		p, err := newPool(spec, shares[spec.Name], i.serverConns)
		if err != nil {
			return err
		}
		next.pools[spec.Name] = p
		next.newPools = append(next.newPools, p)
	}
	return nil
}

// previousPool returns the pool of a name in the previous generation; nil for none.
func (g *pendingGeneration) previousPool(name string) *pool {
	if g.previous == nil {
		return nil
	}
	return g.previous.pools[name]
}

// startPool starts a new pool with the state learned by the pool that it replaces, or by an earlier process.
func (i *Instance) startPool(p *pool, next *pendingGeneration) {
	var levels *degradation.Controller
	replaced := next.previousPool(p.name)
	if replaced != nil {
		levels = replaced.cloneLevels()
	}
	i.restoreLearned(p, replaced)
	p.start(fileServers(next.cfg, &p.spec), levels)
	if i.replicas > 0 {
		p.setReplicas(i.replicas, i.rank)
	}
	if i.fleet != nil {
		p.setFleet(i.fleet)
	}
}

// replaceGeneration makes a generation the current one, and returns the listeners that it does not have.
func (i *Instance) replaceGeneration(next *pendingGeneration) (removed []*listener) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for key, l := range i.listeners {
		if next.routers[key] == nil {
			removed = append(removed, l)
			l.lastGeneration = next.previous
			next.previous.refs++
			i.retiring[l] = true
			delete(i.listeners, key)
		}
	}
	for key, l := range next.opened {
		i.listeners[key] = l
	}
	for _, p := range next.pools {
		p.holders++
		i.pools[p] = true
	}
	i.current = next.generation
	return removed
}

// applyConfig applies the limits of a file, and its settings for listeners and pools that were there before.
func (i *Instance) applyConfig(next *pendingGeneration) {
	cfg := next.cfg
	if i.applyLimits != nil {
		i.applyLimits(cfg.Limits)
	}
	maxClients, maxServerConns := cfg.DivideDescriptors()
	i.clients.setLimit(maxClients)
	i.serverConns.limit.Store(int64(maxServerConns))
	i.openCalls.limit.Store(int64(cfg.Limits.MaxCalls()))
	for n := range cfg.Listeners {
		if l := i.listeners[listenerKey(&cfg.Listeners[n])]; l != nil {
			l.grpc.SetMaxConcurrentCalls(uint32(cfg.Listeners[n].Streams))
		}
	}
	for n := range cfg.Pools {
		spec := &cfg.Pools[n]
		if p := next.pools[spec.Name]; next.previousPool(spec.Name) == p {
			p.update(spec, fileServers(cfg, spec))
			if i.fleet != nil {
				p.setFleet(i.fleet)
			}
		}
	}
}

// fileServers returns the servers of a pool that the loaded file lists.
func fileServers(cfg *operator.Config, p *operator.Pool) []operator.Server {
	if p.Source.Type == operator.SourceFile {
		return cfg.FileServers[p.Name]
	}
	return p.Servers
}

// allocateConns divides n connections among the pools of a file, by name.
func allocateConns(cfg *operator.Config, n int) map[string]int {
	shares := make([]operator.Share, len(cfg.Pools))
	for k, p := range cfg.Pools {
		shares[k] = p.Connections
	}
	out := map[string]int{}
	for k, conns := range operator.Allocate(n, shares) {
		out[cfg.Pools[k].Name] = conns
	}
	return out
}

// updateConnShares gives each pool its share of the connections. A pool that only finishes its requests keeps a connection for
// each of them; the others share the rest.
func (i *Instance) updateConnShares() {
	i.shareMu.Lock()
	defer i.shareMu.Unlock()
	i.mu.Lock()
	g := i.current
	var ending, staying []*pool
	for p := range i.pools {
		if g.pools[p.name] == p {
			staying = append(staying, p)
		} else {
			ending = append(ending, p)
		}
	}
	i.mu.Unlock()
	_, available := g.cfg.DivideDescriptors()
	for _, p := range ending {
		n := p.openRequests()
		p.setMaxConns(max(n, 1))
		available -= n
	}
	guaranteed := 0
	for _, p := range g.cfg.Pools {
		guaranteed += p.Connections.Least
	}
	shares := allocateConns(g.cfg, max(available, guaranteed))
	for _, p := range staying {
		p.setMaxConns(shares[p.name])
	}
}

// acquireGeneration returns the generation that a request of a listener belongs to. It is kept until it is released.
func (i *Instance) acquireGeneration(l *listener) *generation {
	i.mu.Lock()
	defer i.mu.Unlock()
	g := i.current
	if l.lastGeneration != nil {
		g = l.lastGeneration
	}
	g.refs++
	return g
}

// releaseGeneration releases a generation. The last release ends the pools that no other generation uses.
func (i *Instance) releaseGeneration(g *generation) {
	i.mu.Lock()
	g.refs--
	var unused []*pool
	if g.refs == 0 {
		var currentTrees *callTrees
		if i.current != g {
			currentTrees = i.current.callTrees
		}
		i.background.Go(func() { g.callTrees.close(currentTrees) })
		for _, p := range g.pools {
			if p.holders--; p.holders == 0 {
				unused = append(unused, p)
			}
		}
	}
	i.mu.Unlock()
	if len(unused) == 0 {
		return
	}
	i.background.Go(func() {
		for _, p := range unused {
			i.stopPool(p)
		}
		i.updateConnShares()
	})
}

// stopPool ends a pool and keeps its counts for the status.
func (i *Instance) stopPool(p *pool) {
	p.stop()
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.pools, p) // under the same lock as the counts, or a status could miss them
	i.endedPools.Served += p.loop.served
	i.endedPools.Refused += p.loop.refused
	i.endedPools.Failed += p.loop.failures
}
