package sidecar

import (
	"slices"
	"time"

	"milletmast/internal/degradation"
	"milletmast/internal/loadshed"
	"milletmast/internal/operator"
)

// PoolStatus is the status of a pool.
type PoolStatus struct {
	Name                              string
	Ending                            bool // the pool only completes its open requests
	Servers, Usable                   int
	Open, Connections, MaxConnections int
	Served, Refused, Failed           uint64
	Level                             *degradation.Status // nil for none
	FleetShedding                     *loadshed.Decision  // nil for none
	Classes                           []string            // by the numbers that Level and FleetShedding use
}

// Status is the status of an instance.
type Status struct {
	Generation              uint64
	Config                  *operator.Config // the current file
	Draining                bool
	ClientConns             int
	Pools                   []PoolStatus
	Served, Refused, Failed uint64        // since the start, of all pools
	P99                     float64       // ms, of the latest requests that were served
	StartKind               string        // StartCold or StartWarm
	LearnedAge              time.Duration // age of the learned state at the start, if warm
}

// Status returns the status of the instance and of all its pools.
func (i *Instance) Status() Status {
	i.mu.Lock()
	g := i.current
	s := Status{
		Generation: g.number,
		Config:     g.cfg,
		Draining:   i.draining || i.notReady.Load(),
		Served:     i.endedPools.Served,
		Refused:    i.endedPools.Refused,
		Failed:     i.endedPools.Failed,
		StartKind:  StartCold,
	}
	if i.startedWarm.Load() {
		s.StartKind, s.LearnedAge = StartWarm, time.Duration(i.learnedAge.Load())
	}
	pools := i.poolsInOrder()
	i.mu.Unlock()
	i.clients.mu.Lock()
	s.ClientConns = i.clients.open
	i.clients.mu.Unlock()
	var latencies []float32
	for _, p := range pools {
		status, recent := p.status()
		status.Ending = g.pools[p.name] != p
		latencies = append(latencies, recent...)
		s.Served, s.Refused, s.Failed = s.Served+status.Served, s.Refused+status.Refused, s.Failed+status.Failed
		s.Pools = append(s.Pools, status)
	}
	if slices.Sort(latencies); len(latencies) > 0 {
		s.P99 = float64(latencies[len(latencies)*99/100])
	}
	return s
}

// poolsInOrder returns the pools of the current generation in the order of the file, followed by the pools that are ending. The
// caller holds the mutex.
func (i *Instance) poolsInOrder() (pools []*pool) {
	g := i.current
	for _, spec := range g.cfg.Pools {
		pools = append(pools, g.pools[spec.Name])
	}
	for p := range i.pools {
		if g.pools[p.name] != p {
			pools = append(pools, p)
		}
	}
	return pools
}

// status returns the status of a pool and its latest latencies, in ms.
func (p *pool) status() (s PoolStatus, latencies []float32) {
	s.Name = p.name
	for _, c := range p.settings.Classes {
		s.Classes = append(s.Classes, c.Name)
	}
	read := func() {
		l := p.loop
		s.Servers, s.Usable, s.Open = len(l.listed), l.usable, len(l.calls)
		s.Served, s.Refused, s.Failed = l.served, l.refused, l.failures
		s.Level = l.levelStatus()
		if l.fleetShedding != nil {
			decision := l.fleetShedding.shedder.Current()
			s.FleetShedding = &decision
		}
		latencies = append(latencies, l.recentLatencies...)
	}
	if !p.loop.do(read) {
		read() // the loop has stopped, so nothing writes these fields any more
	}
	p.upstream.mu.Lock()
	defer p.upstream.mu.Unlock()
	s.Connections, s.MaxConnections = p.upstream.openConns, p.upstream.maxConns
	return s, latencies
}
