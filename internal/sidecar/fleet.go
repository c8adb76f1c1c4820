package sidecar

import (
	"container/heap"
	"log/slog"
	"math/rand/v2"
	"time"

	"milletmast/internal/loadshed"
	"milletmast/internal/operator"
)

// fleetView holds what pools need to shed load together with the other replicas (package loadshed).
type fleetView struct {
	name        string
	incarnation uint64
	broadcast   func(pool string, s loadshed.Summary) // must not block
	members     []string                              // replicas whose summaries are used; nil while the replicas have not agreed on them
}

// JoinFleet makes the pools with the setting allot shed load together with the other replicas. Broadcast sends a summary to them and
// must not block. JoinFleet also applies to the pools of files that are loaded later.
func (i *Instance) JoinFleet(name string, incarnation uint64, broadcast func(pool string, s loadshed.Summary)) {
	i.reloadMu.Lock()
	defer i.reloadMu.Unlock()
	i.fleet = &fleetView{name: name, incarnation: incarnation, broadcast: broadcast}
	for _, p := range i.current.pools {
		p.setFleet(i.fleet)
	}
}

// SetMembers sets the members whose summaries are used from now on; none if names is empty.
func (i *Instance) SetMembers(names []string) {
	i.reloadMu.Lock()
	defer i.reloadMu.Unlock()
	if i.fleet == nil {
		return
	}
	f := *i.fleet
	f.members = names
	i.fleet = &f
	for _, p := range i.current.pools {
		p.setFleet(i.fleet)
	}
}

// HandleSummary handles the summary of another replica for a pool. It does not block: a pool that is too busy drops the summary.
func (i *Instance) HandleSummary(pool string, s loadshed.Summary) {
	i.mu.Lock()
	p := i.current.pools[pool]
	i.mu.Unlock()
	if p == nil {
		return
	}
	p.loop.tryPost(func() {
		if a := p.loop.fleetShedding; a != nil {
			a.shedder.HandleSummary(s, time.Now())
		}
	})
}

// setFleet sets the fleet, or its current members.
func (p *pool) setFleet(f *fleetView) {
	spec := p.spec
	p.loop.post(func() { p.loop.setFleetShedding(&spec, f) })
}

// fleetShedding is the state of a pool in the load shedding of all replicas. The event loop owns it.
type fleetShedding struct {
	pool     string
	fleet    *fleetView
	shedder  *loadshed.Shedder
	loggedAt time.Time // when isActive was logged
	isActive bool      // calls are being shed
}

// setFleetShedding starts or ends load shedding with the other replicas, or sets their members.
func (l *eventLoop) setFleetShedding(p *operator.Pool, f *fleetView) {
	a := l.fleetShedding
	l.setCallerHeader(p)
	if !p.Allot || f == nil {
		l.fleetShedding = nil
		return
	}
	if a == nil {
		var weights []float64
		for _, c := range l.settings.Classes {
			weights = append(weights, c.PriorityWeight)
		}
		shedder, err := loadshed.NewShedder(loadshed.DefaultConfig(f.name, weights))
		if err != nil {
			slog.Error("create load shedder", "pool", p.Name, "err", err) // cannot happen for a file that was validated
			return
		}
		a = &fleetShedding{pool: p.Name, shedder: shedder}
		l.fleetShedding = a
		// Replicas that start together do not all send their summaries at the same time.
		l.scheduleExchange(a, time.Duration(rand.Int64N(int64(loadshed.Interval))))
	}
	a.fleet = f
	a.shedder.SetMembers(f.members)
}

// scheduleExchange schedules exchangeSummaries, which runs only if a is still the state in use.
func (l *eventLoop) scheduleExchange(a *fleetShedding, after time.Duration) {
	heap.Push(&l.timers, &timedTask{at: l.now() + inMillis(after), run: func() {
		if l.fleetShedding == a {
			l.exchangeSummaries()
		}
	}})
}

// exchangeSummaries sends the summary of this replica to the others, and decides which calls are shed from now on.
func (l *eventLoop) exchangeSummaries() {
	a, now := l.fleetShedding, time.Now()
	s := a.shedder.Update(a.fleet.incarnation, l.balancer.MeanLatency, now)
	if len(a.fleet.members) > 0 {
		a.fleet.broadcast(a.pool, s)
	}
	d := a.shedder.Current()
	if ended := d.AdmitsAll(); ended == a.isActive && now.Sub(a.loggedAt) >= minShedLogInterval {
		a.isActive, a.loggedAt = !ended, now
		slog.Warn("change fleet overload", "pool", a.pool, "ended", ended, "min_weight", d.MinWeightPerSecond, "level", d.Level,
			"demand", d.Demand, "rejected", d.RejectedRatio, "replicas", d.Replicas, "admit", d.AdmitRatio)
	}
	l.scheduleExchange(a, loadshed.Interval)
}

// minShedLogInterval is the minimum time between two log lines on the shedding of a pool.
const minShedLogInterval = time.Second

// admitByFleet applies the decision of all replicas to a call that no level has shed. A call without a caller gets a random one.
func (l *eventLoop) admitByFleet(c *call) {
	a := l.fleetShedding
	if a == nil || c.event.Shed {
		return
	}
	caller := c.callerHash
	if caller == 0 {
		caller = rand.Uint64()
	}
	c.admittedByFleet = a.shedder.Admit(int(c.event.Class), caller)
	c.event.Shed = !c.admittedByFleet
}

// recordFleetResult records the end of a call that was admitted.
func (l *eventLoop) recordFleetResult(c *call, status int) {
	if l.fleetShedding == nil || !c.admittedByFleet {
		return
	}
	class := int(c.event.Class)
	rejected := isRejection(status)
	took := l.now() - (c.event.Deadline - c.timeout)
	l.fleetShedding.shedder.RecordResult(class, rejected, !rejected && status < 500 && took <= l.settings.Classes[class].LatencyTarget)
}
