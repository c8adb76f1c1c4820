package faultdrill

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"milletmast/internal/emulate"
	"milletmast/internal/operator"
	"milletmast/internal/testcluster"
)

// tier is a group of sidecars and the servers to which they send requests.
type tier struct {
	run         *drillRun
	isInner     bool
	pool        *operator.Pool
	spec        *emulate.ServerSpec
	sidecars    []*sidecar
	servers     []*server // the present servers, by slot
	allServers  []*server // including those that were replaced
	serverCount int       // number of server names in use
}

func newTier(d *drillRun, isInner bool, pool *operator.Pool, spec *emulate.ServerSpec, sidecars int) *tier {
	t := &tier{run: d, isInner: isInner, pool: pool, spec: spec}
	for i := range sidecars {
		c := &sidecar{tier: t, index: i, links: map[*server]*testcluster.Link{}, listed: map[string]bool{}, omitted: map[string]bool{}}
		if n := len(pool.Zones); n > 0 {
			c.zone = pool.Zones[i%n]
		}
		t.sidecars = append(t.sidecars, c)
	}
	return t
}

// prefixes returns the prefixes of the names of sidecars and servers.
func (t *tier) prefixes() (sidecars, servers string) {
	if t.isInner {
		return "i", "t"
	}
	return "c", "s"
}

// addServer starts a server in a slot, and the links of all sidecars to it. Started is zero for a warm server.
func (t *tier) addServer(ctx context.Context, slot int, started time.Time) (*server, error) {
	t.run.mu.Lock()
	number := t.serverCount // several servers may be replaced at once
	t.serverCount++
	t.run.mu.Unlock()
	_, prefix := t.prefixes()
	s := &server{
		tier:    t,
		name:    fmt.Sprint(prefix, number),
		slot:    slot,
		started: started,
		cell:    slot % t.spec.Cells,
		state:   operator.ServerReady,
		faults:  testcluster.ServerState{SpeedFactor: 1},
	}
	if n := len(t.pool.Zones); n > 0 {
		s.zone = t.pool.Zones[slot%n]
	}
	if err := s.start(ctx); err != nil {
		return nil, err
	}
	for _, c := range t.sidecars {
		if err := c.connect(s); err != nil {
			return nil, err
		}
	}
	t.run.mu.Lock()
	defer t.run.mu.Unlock()
	t.allServers = append(t.allServers, s)
	if slot == len(t.servers) {
		t.servers = append(t.servers, s)
	} else {
		t.servers[slot] = s
	}
	return s, nil
}

// setNetworkConditions sets the network conditions of the scenario on a link. Delays below a millisecond are not added, as loopback and
// the relay have delays of their own. The jitter is uniform with the mean of the scenario, hence the factor 2.
func (t *tier) setNetworkConditions(l *testcluster.Link) {
	conditions := testcluster.Conditions{}
	if d := time.Duration(t.run.scenario.Network.Delay); d >= time.Millisecond {
		conditions.Delay = d
		conditions.Jitter = 2 * time.Duration(t.run.scenario.Network.Jitter)
	}
	l.SetConditions(testcluster.Forward, conditions)
	l.SetConditions(testcluster.Backward, conditions)
}

// sidecarBeside returns the sidecar of the inner tier beside the server in a slot; nil for none.
func (t *tier) sidecarBeside(slot int) *sidecar {
	if t.run.innerTier == nil || t.isInner {
		return nil
	}
	return t.run.innerTier.sidecars[slot]
}

// startBeside starts the sidecar beside the server in a slot, if there is one.
func (t *tier) startBeside(ctx context.Context, slot int) error {
	if c := t.sidecarBeside(slot); c != nil {
		return c.start(ctx)
	}
	return nil
}

// setListed changes the state of a server in the server lists of discovery; "" removes it. Each sidecar receives the change after a
// random delay.
func (t *tier) setListed(s *server, state string) {
	discovery := &t.run.scenario.Discovery
	t.run.mu.Lock()
	s.state = state
	delays := make([]time.Duration, len(t.sidecars))
	for i := range delays {
		delays[i] = time.Duration(discovery.Lag) + time.Duration(t.run.random.ExpFloat64()*float64(discovery.Jitter))
	}
	t.run.mu.Unlock()
	for i, c := range t.sidecars {
		time.AfterFunc(delays[i], c.writeList)
	}
}

// chooseServers draws the servers of a fault, in a random order.
func (t *tier) chooseServers(f *emulate.Fault, r *rand.Rand) []*server {
	t.run.mu.Lock()
	defer t.run.mu.Unlock()
	return choose(t.servers, f, r, func(s *server) string { return s.zone })
}

// chooseSidecars draws the sidecars of a fault, in a random order.
func (t *tier) chooseSidecars(f *emulate.Fault, r *rand.Rand) []*sidecar {
	return choose(t.sidecars, f, r, func(c *sidecar) string { return c.zone })
}

// choose draws random candidates in the zone of a fault, as many as the fault affects.
func choose[T any](candidates []T, f *emulate.Fault, r *rand.Rand, zoneOf func(T) string) (chosen []T) {
	var inZone []T
	for _, c := range candidates {
		if f.Zone == "" || zoneOf(c) == f.Zone {
			inZone = append(inZone, c)
		}
	}
	for _, i := range r.Perm(len(inZone))[:f.Number(len(inZone))] {
		chosen = append(chosen, inZone[i])
	}
	return chosen
}
