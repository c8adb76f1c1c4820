package modelcheck

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"milletmast/internal/mesh/consensus"
)

// TestQuotaStallsAreNoFailures gives every core machine and every proxy a share of a core as a quota, so that its processes stand still for
// 90 ms in every 100 ms, each machine at its own phase. Once the stores hold leases, a stall is no failure: the coordinator and the voters
// stay, no store and no control plane loses its lease, no member counts as unreachable, every proxy keeps a control plane with contact, and
// each command is acknowledged at the first attempt.
func TestQuotaStallsAreNoFailures(t *testing.T) {
	t.Parallel()
	const limited, settled, end = 3 * time.Second, 5 * time.Second, 25 * time.Second
	shortest := map[string]time.Duration{"store": leaseTime, "control plane": leaseTime} // remaining lease that was seen
	for _, c := range []struct {
		nodes int
		scale float64
	}{{3, 1}, {5, 1}, {7, 1}, {3, 0.5}, {5, 0.5}, {5, 0.3}, {3, 0.2}, {5, 0.2}} {
		for seed := range uint64(5) {
			p := Plan{Seed: seed + 1, InitialVoters: c.nodes, Nodes: c.nodes, FaultBudget: c.nodes / 2, End: end, TimeScale: c.scale, Proxies: 3, CalmDiscovery: true}
			for i := range c.nodes {
				phase := time.Duration((seed*37+uint64(i)*29)%100) * time.Millisecond
				p.Faults = append(p.Faults, Fault{Kind: "cpu_quota", At: limited + phase, Duration: end, Node: i})
			}
			for i := range 20 {
				at := settled + time.Duration(i)*950*time.Millisecond
				p.Commands = append(p.Commands,
					Command{At: at, Kind: "put", Key: "config", Number: uint64(i + 1), Body: "a", Nodes: []int{i % c.nodes}},
					Command{At: at + 470*time.Millisecond, Kind: "read", Key: "config", Nodes: []int{(i + 1) % c.nodes}})
			}
			sim := new(simulation)
			var before consensus.VoterConfig
			observed := map[string]bool{} // stores whose members have been looked at
			failed := map[string]bool{}
			fail := func(format string, args ...any) {
				if text := fmt.Sprintf(format, args...); !failed[text] {
					failed[text] = true
					t.Errorf("%+v, seed %d, at %v: %s", c, p.Seed, sim.now, text)
				}
			}
			sim.runPlan(p, hooks{states: func(uint64) {
				if sim.now < settled || sim.healedAt > 0 {
					return
				}
				if before.Epoch == 0 {
					before = *sim.newest
				}
				if sim.newest.Epoch != before.Epoch {
					fail("voter configuration %d follows %d", sim.newest.Epoch, before.Epoch)
				}
				for _, store := range sim.running() {
					observed[store.Self().DiskID] = true
					shortest["store"] = min(shortest["store"], store.LeaseRemaining(sim.time()))
					if store.LeaseRemaining(sim.time()) == 0 {
						fail("%s has lost its lease", store.Self().DiskID)
					}
					for _, peer := range store.core.(*realStateMachines).PeerStatuses() {
						if !peer.Alive(sim.time()) {
							fail("%s counts as unreachable at %s", peer.DiskID, store.Self().DiskID)
						}
					}
				}
				for _, controlPlane := range sim.discovery.controlPlanes {
					left := controlPlane.contact.ServeUntil().Sub(sim.time())
					if shortest["control plane"] = min(shortest["control plane"], left); left <= 0 {
						fail("the control plane of %s has lost its lease", controlPlane.node.addr)
					}
				}
				for _, proxy := range sim.discovery.proxies {
					if !slices.ContainsFunc(proxy.connected(), func(i int) bool { return proxy.state.HasContact(sim.nodes[i].addr) }) {
						fail("%s has no control plane with contact", proxy.name)
					}
				}
			}})
			if len(sim.report.Violations) > 0 {
				t.Errorf("%+v, seed %d: %v", c, p.Seed, sim.report.Violations)
			}
			if len(observed) != c.nodes || before.Coordinator == "" {
				t.Errorf("%+v, seed %d: %d stores were looked at, coordinator %q", c, p.Seed, len(observed), before.Coordinator)
			}
			for _, attempt := range sim.ops[:min(len(p.Commands), len(sim.ops))] {
				if attempt.result.Outcome != consensus.Committed {
					t.Errorf("%+v, seed %d: %v: %v", c, p.Seed, attempt.command, attempt.result.Outcome)
				}
			}
		}
	}
	t.Logf("shortest remaining leases: %v", shortest)
}

// TestRandomFaultsUnderQuota runs random plans in which one, some or all of the stores stand still for 90 ms in every 100 ms.
func TestRandomFaultsUnderQuota(t *testing.T) {
	testSeeds(t, func(seed uint64) Plan {
		p := Draw(seed)
		for i := range p.Nodes {
			if seed>>(i%3)&1 == 0 {
				phase := time.Duration((seed*37+uint64(i)*29)%100) * time.Millisecond
				p.Faults = append(p.Faults, Fault{Kind: "cpu_quota", At: phase, Duration: p.End, Node: i})
			}
		}
		return p
	}, *runs/5)
}
