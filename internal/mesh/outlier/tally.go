package outlier

import (
	"cmp"
	"slices"
	"time"

	"milletmast/internal/namehash"
)

// Vote is the opinions of one proxy, and when they were received.
type Vote struct {
	Node, Zone string
	ReceivedAt time.Time
	Opinions   []Opinion
}

// Instance is an instance of a service, as the registry knows it.
type Instance struct {
	ID, Service, Zone string
	Serving           bool // it accepts requests, and its proxy is reachable
	ProxyRestarted    bool // within the window: the restart may be the cause of failures
}

// Tally is the count of the votes on one instance.
type Tally struct {
	Instance
	VotesFor, VotesAgainst int
	EndpointProxyAgrees    bool // the proxy beside the endpoint finds it unhealthy
	ZonesFor               int  // number of zones of the proxies that find it unhealthy
	ZonesVoting            int  // number of zones of all proxies with an opinion
	Calls, Failures        int  // of all callers
	OtherCalls             int  // of all callers to the other instances of its service
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
	services := map[string]int{} // instances to compare with, by service of a tally
	for _, t := range tallies {
		out = append(out, t.ID)
		services[t.Service] = 0
	}
	byHash := slices.SortedFunc(
		slices.Values(instances),
		func(a, b Instance) int { return cmp.Compare(namehash.Hash(a.ID), namehash.Hash(b.ID)) },
	)
	for _, instance := range byHash {
		n, ok := services[instance.Service]
		if ok && instance.Serving && n < limits.ComparedInstances && !slices.Contains(out, instance.ID) {
			services[instance.Service]++
			out = append(out, instance.ID)
		}
	}
	slices.Sort(out)
	return out
}

// worseThanOthers reports whether an instance fails more often than the others of its service, by
// MinRelativeRatio. Without enough calls to the others it reports false.
func (l *Limits) worseThanOthers(t *Tally) bool {
	if t.OtherCalls < l.MinCalls {
		return false
	}
	return float64(t.Failures*t.OtherCalls) >= l.MinRelativeRatio*float64(t.OtherFailures*t.Calls)
}

// QuorumAgrees reports whether the votes suffice to eject an instance: a majority, and either
// enough proxies from more than one zone, as a broken link of one zone must not eject an instance
// that serves the others, or the proxy beside the endpoint and another one, which is the rule for
// instances with few callers. An instance that fails no more often than the others of its service
// is not ejected: a common cause is assumed, such as a shared dependency or an overload.
func (l *Limits) QuorumAgrees(t *Tally) bool {
	if 2*t.VotesFor <= t.VotesFor+t.VotesAgainst || !l.worseThanOthers(t) {
		return false
	}
	return t.EndpointProxyAgrees && t.VotesFor > 1 || t.VotesFor+t.VotesAgainst >= l.MinVoters && t.ZonesFor > 1
}
