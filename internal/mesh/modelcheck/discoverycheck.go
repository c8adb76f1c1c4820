package modelcheck

import (
	"fmt"
	"slices"

	"milletmast/internal/mesh/configstore"
	"milletmast/internal/mesh/consensus"
	"milletmast/internal/mesh/controlstate"
	"milletmast/internal/mesh/discovery"
)

// checkServed checks that what a control plane serves under a lease is not older than what was acknowledged leaseTime before.
func (sim *simulation) checkServed(l *simControlPlane, f *controlstate.Snapshot) {
	versions := map[string]uint64{"config": f.ConfigVersion, "removals": f.EjectionsVersion.Number}
	for _, e := range f.Evacuations {
		versions["evacuation/"+e.Zone] = e.Version.Number
	}
	for key, fs := range sim.acked {
		i := len(fs) - 1
		for i >= 0 && fs[i].at > sim.now-leaseTime {
			i--
		}
		if i >= 0 && versions[key] < fs[i].number {
			sim.violation(
				"old snapshot: the control plane of m%d serves %s version %d, but version %d was acknowledged at %v",
				l.node.index,
				key,
				versions[key],
				fs[i].number,
				fs[i].at,
			)
		}
	}
}

// checkProxy checks that a proxy never uses an older version than before in the same incarnation, and that each version has one
// content.
func (sim *simulation) checkProxy(p *simProxy) {
	body, version := p.state.Config()
	if version < p.configVersion {
		sim.violation("proxy went back: %s uses configuration %d after %d", p.name, version, p.configVersion)
	}
	p.configVersion = version
	if version > 0 {
		sim.checkContent("config", &consensus.Value{Version: consensus.Version{Number: version}, Body: body}, p.name)
	}
	for _, e := range p.state.Snapshot().Evacuations {
		if e.Version.Compare(p.evacuations[e.Zone]) < 0 {
			sim.violation("proxy went back: %s uses %v of the evacuation of %s after %v", p.name, e.Version, e.Zone, p.evacuations[e.Zone])
		}
		p.evacuations[e.Zone] = e.Version
	}
}

// allCurrent reports whether all proxies use what the stores serve, with trust level Certain.
func (s *discoverySim) allCurrent(now []consensus.Register) bool {
	f, _ := configstore.SnapshotOf(true, 0, now)
	for _, p := range s.proxies {
		g := p.state.Snapshot()
		if p.state.Trust() != discovery.Certain || g.ConfigVersion != f.ConfigVersion || g.EjectionsVersion != f.EjectionsVersion ||
			!slices.Equal(g.Evacuations, f.Evacuations) {
			return false
		}
	}
	return true
}

// describeState describes the state of the proxies.
func (s *discoverySim) describeState() (all string) {
	for _, p := range s.proxies {
		_, version := p.state.Config()
		all += fmt.Sprintf(
			" %s incarnation=%d %v version=%d frozen=%d connected=%v;",
			p.name,
			p.incarnation,
			p.state.Trust(),
			version,
			p.frozen,
			p.connectedTo,
		)
	}
	return all
}

// heal ends the faults of control planes and proxies.
func (s *discoverySim) heal() {
	for _, l := range s.controlPlanes {
		l.frozenAlone, l.freezeAfterHeartbeat = 0, 0
	}
	for _, p := range s.proxies {
		clear(p.cut)
		for p.frozen > 0 {
			s.thaw(p)
		}
		if p.state == nil {
			s.restartProxy(p)
		}
	}
}
