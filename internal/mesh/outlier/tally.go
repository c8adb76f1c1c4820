package outlier

import (
	"cmp"
	"slices"
	"time"

	"milletmast/internal/namehash"
)

// Vote is the opinions of one proxy, as they were received.
type Vote struct {
	Node, Zone string
	ReceivedAt time.Time
	Opinions   []Opinion
}

// Instance is an instance of a service, as the registry knows it.
type Instance struct {
	ID, Service, Zone string
	Serving           bool // it accepts requests, and its proxy is reachable
	ProxyRestarted    bool // within the window: failures may be those of the proxy's restart
}

// Tally is the count of the votes on one instance.
type Tally struct {
	Instance
	VotesFor, VotesAgainst int
	EndpointProxyAgrees    bool // the proxy beside the endpoint finds it unhealthy
	ZonesFor               int  // of the proxies that find it unhealthy
	ZonesVoting            int  // of all proxies with an opinion
	Calls, Failures        int  // of all callers
	OtherCalls             int  // at the other instances of its service
	OtherFailures          int
}

// TallyVotes returns a tally for each instance that some proxy finds unhealthy.
func TallyVotes(limits Limits, now time.Time, instances []Instance, votes []Vote) []Tally {
	var out []Tally
	calls, failures := map[string]int{}, map[string]int{} // by service
	for _, instance := range instances {
		t := limits.tally(now, instance, votes)
		calls[instance.Service] += t.Calls
		failures[instance.Service] += t.Failures
		if t.VotesFor > 0 {
			out = append(out, t)
		}
	}
	for i := range out {
		t := &out[i]
		t.OtherCalls, t.OtherFailures = calls[t.Service]-t.Calls, failures[t.Service]-t.Failures
	}
	return out
}

// tally counts the votes on one instance.
func (l *Limits) tally(now time.Time, instance Instance, votes []Vote) Tally {
	t := Tally{Instance: instance}
	zonesFor, zonesVoting := map[string]bool{}, map[string]bool{}
	for _, v := range votes {
		if now.Sub(v.ReceivedAt) > l.Window {
			continue
		}
		for i := range v.Opinions {
			o := &v.Opinions[i]
			if o.InstanceID != instance.ID {
				continue
			}
			unhealthy := l.IsUnhealthy(o)
			t.add(o, unhealthy)
			if !o.FromEndpointProxy {
				zonesVoting[v.Zone] = true
				if unhealthy {
					zonesFor[v.Zone] = true
				}
			}
		}
	}
	t.ZonesFor, t.ZonesVoting = len(zonesFor), len(zonesVoting)
	return t
}

// add counts one opinion.
func (t *Tally) add(o *Opinion, unhealthy bool) {
	if o.FromEndpointProxy {
		t.EndpointProxyAgrees = unhealthy
	} else {
		t.Calls += o.Calls
		t.Failures += o.Failures
	}
	if unhealthy {
		t.VotesFor++
	} else {
		t.VotesAgainst++
	}
}

// InstancesToPoll returns the instances about which proxies are to be polled: those with a tally,
// and some others of each service for comparison.
func InstancesToPoll(limits Limits, instances []Instance, tallies []Tally) []string {
	var out []string
	services := map[string]int{}
	for _, c := range tallies {
		out = append(out, c.ID)
		services[c.Service] = 0
	}
	spreadOut := slices.SortedFunc(
		slices.Values(instances),
		func(a, limits Instance) int { return cmp.Compare(namehash.Hash(a.ID), namehash.Hash(limits.ID)) },
	)
	for _, h := range spreadOut {
		if n, ok := services[h.Service]; ok && h.Serving && n < limits.ComparedInstances && !slices.Contains(out, h.ID) {
			services[h.Service]++
			out = append(out, h.ID)
		}
	}
	slices.Sort(out)
	return out
}

// worseThanOthers reports whether an instance does worse than the others of its service, of which
// there must be enough calls.
func (l *Limits) worseThanOthers(c *Tally) bool {
	if c.OtherCalls < l.MinCalls {
		return false
	}
	return float64(c.Failures*c.OtherCalls) >= l.MinRelativeRatio*float64(c.OtherFailures*c.Calls)
}

// QuorumAgrees reports whether the votes suffice to eject an instance: a majority, and either
// enough proxies from more than one zone, as a broken link of one zone must not eject an instance
// that serves the others, or the proxy beside the endpoint and another one, which is the rule for
// instances with few callers. An instance that does no worse than the others of its service stays:
// their calls fail for a common cause, such as a shared dependency or an overload.
func (l *Limits) QuorumAgrees(c *Tally) bool {
	if 2*c.VotesFor <= c.VotesFor+c.VotesAgainst || !l.worseThanOthers(c) {
		return false
	}
	return c.EndpointProxyAgrees && c.VotesFor > 1 || c.VotesFor+c.VotesAgainst >= l.MinVoters && c.ZonesFor > 1
}
