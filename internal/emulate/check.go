package emulate

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"milletmast/internal/budget"
	"milletmast/internal/operator"
)

// check checks the settings that the emulator and drills share.
func (s *Scenario) check(report func(field, text string)) {
	k := rangeChecker{report}
	checkRange, checkDuration := k.checkRange, k.checkDuration
	checkDuration("for", s.For, 100*time.Millisecond, 24*time.Hour)
	if s.Warmup >= s.For {
		report("warmup", fmt.Sprintf("%v is not shorter than the run of %v (for)", s.Warmup, s.For))
	}
	s.checkPool("pool", &s.Pool, s.Copies.Count, report)
	checkRange("copies.count", float64(s.Copies.Count), 1, maxReplicas)
	checkRange("copies.open", float64(s.Copies.Open), 1, 1e6)
	checkRange("copies.skew", s.Copies.Skew, 0, 3)
	checkRange("copies.retries", float64(s.Copies.Retries), 0, budget.MaxRetries)
	checkDuration("copies.keep", s.Copies.Keep, 0, time.Hour)
	checkDuration("copies.start", s.Copies.Start, 0, time.Duration(s.For))
	s.checkServers("servers", &s.Servers, k)
	checkDuration("network.delay", s.Network.Delay, 0, time.Second)
	checkDuration("network.jitter", s.Network.Jitter, 0, time.Second)
	checkDuration("network.across", s.Network.Across, 0, time.Second)
	checkDuration("discovery.lag", s.Discovery.Lag, 0, time.Minute)
	checkDuration("discovery.jitter", s.Discovery.Jitter, 0, time.Minute)
	checkDuration("discovery.detect", s.Discovery.Detect, 0, time.Hour)
	s.checkLoad(k)
	s.checkInner(k)
	s.CheckFaults(report)
}

// checkInner checks the second tier.
func (s *Scenario) checkInner(k rangeChecker) {
	t := &s.Inner
	if !t.IsPresent() {
		return
	}
	k.checkRange("inner.calls", float64(len(t.Calls)), 1, 16)
	s.checkPool("inner.pool", &t.Pool, s.Servers.Count, k.report)
	s.checkServers("inner.servers", &t.Servers, k)
	classes := map[string]bool{}
	for _, c := range t.Pool.Classes {
		classes[c.Name] = true
	}
	for i, c := range t.Calls {
		if !classes[c] {
			k.report(fmt.Sprintf("inner.calls[%d]", i), fmt.Sprintf("class %q does not exist in the inner pool", c))
		}
	}
	checkWork("inner.work", t.Pool.Classes, t.Work, k)
}

// checkPool checks the pool of a tier with a number of sidecars.
func (s *Scenario) checkPool(path string, p *operator.Pool, replicas int, report func(field, text string)) {
	if p.Name == "" {
		p.Name = "pool"
	}
	if len(p.Servers) > 0 {
		report(path+".server", "must be absent: the table [servers] defines the servers")
	}
	if p.Source.Type != "static" {
		report(path+".source", "must be absent: the table [servers] defines the servers")
	}
	if p.Protocol != operator.HTTP {
		report(path+".protocol", "only \"http\" can be emulated")
	}
	if p.Copies != 1 || p.Rank != 0 || p.Zone != "" {
		report(path+".copies", "copies, rank and zone must be absent: the table [copies] defines the sidecars")
	}
	p.Copies = max(min(replicas, maxReplicas), 1)
	if len(p.Zones) > 0 {
		p.Zone = p.Zones[0]
	}
	p.Check(path, report)
}

// checkServers checks the servers of a tier.
func (s *Scenario) checkServers(path string, v *ServerSpec, k rangeChecker) {
	k.checkRange(path+".count", float64(v.Count), 1, maxServers)
	k.checkRange(path+".cores", float64(v.Cores), 1, 1024)
	k.checkRange(path+".queue", float64(v.Queue), 0, 1e6)
	k.checkRange(path+".connections", float64(v.Connections), 1, 1e6)
	k.checkRange(path+".cells", float64(v.Cells), 1, 1e4)
	k.checkRange(path+".cold_from", v.ColdFrom, 0.001, 1)
	k.checkRange(path+".fall", v.Fall, 1, 1e6)
	k.checkDuration(path+".handshake", v.Handshake, 0, time.Second)
	k.checkDuration(path+".ramp", v.Ramp, 0, time.Hour)
	k.checkDuration(path+".fall_after", v.FallAfter, 0, time.Minute)
	for i, speed := range v.Speeds {
		k.checkRange(fmt.Sprintf("%s.speeds[%d]", path, i), speed, 0.001, 1000)
	}
}

// checkLoad checks the load of the fleet.
func (s *Scenario) checkLoad(k rangeChecker) {
	report, checkRange, checkDuration := k.report, k.checkRange, k.checkDuration
	checkRange("demand.rate", s.Demand.Rate, 0.001, 1e7)
	checkRange("demand.callers", float64(s.Demand.Callers), 1, 1e7)
	top, last := 1.0, Duration(-1)
	for i, c := range s.Demand.Curve {
		field := fmt.Sprintf("demand.curve[%d]", i)
		checkRange(field+".times", c.Times, 0, 1000)
		if c.At <= last {
			report(field+".at", fmt.Sprintf("%v is not after the previous point: points must be in ascending order of time", c.At))
		}
		top, last = max(top, c.Times), c.At
	}
	if n := s.Demand.Rate * top * time.Duration(s.For).Seconds(); n > maxRequests {
		report("demand.rate", fmt.Sprintf("up to %.0f requests in the run: at most %d are allowed", n, maxRequests))
	}
	parts := checkWork("work", s.Pool.Classes, s.Work, k)
	if parts <= 0 {
		report("work", "every part is 0: at least one class must have a part of the requests")
	}
	for i, w := range s.Work {
		checkRange(fmt.Sprintf("work[%d].doors", i), float64(w.Frontends), 0, float64(s.Copies.Count))
		last := Duration(-1)
		for n, m := range w.Moves {
			field := fmt.Sprintf("work[%d].move[%d]", i, n)
			if m.At <= last {
				report(field+".at", fmt.Sprintf("%v is not after the previous move: moves must be in ascending order of time", m.At))
			}
			last = m.At
			checkRange(field+".first", float64(m.First), 0, float64(s.Copies.Count-1))
			checkRange(field+".doors", float64(m.Frontends), 0, float64(s.Copies.Count))
		}
	}
	shares := 0.0
	for i, h := range s.Behaviors {
		field := fmt.Sprintf("callers[%d]", i)
		if !slices.Contains(callerBehaviors, h.Kind) {
			report(field+".habit", fmt.Sprintf("%q is unknown: allowed are %s", h.Kind, strings.Join(callerBehaviors, ", ")))
		}
		checkRange(field+".share", h.Share, 0, 1e6)
		checkRange(field+".tries", float64(h.Tries), 1, 100)
		checkRange(field+".leave", h.Leave, 0, 1)
		checkDuration(field+".wait", h.Wait, 0, time.Hour)
		shares += h.Share
	}
	if len(s.Behaviors) > 0 && shares <= 0 {
		report("callers", "every share is 0: at least one entry must have a share of the callers")
	}
}

// checkWork checks the work of classes at a server, and returns the sum of their parts of the requests.
func checkWork(path string, all []operator.Class, work []Work, k rangeChecker) (parts float64) {
	classes, worked := map[string]bool{}, map[string]bool{}
	for _, c := range all {
		classes[c.Name] = true
	}
	for i, w := range work {
		field := fmt.Sprintf("%s[%d]", path, i)
		if !classes[w.Class] {
			k.report(field+".class", fmt.Sprintf("class %q does not exist in the pool", w.Class))
		} else if worked[w.Class] {
			k.report(field+".class", fmt.Sprintf("class %q is given twice", w.Class))
		}
		worked[w.Class] = true
		k.checkRange(field+".part", w.Part, 0, 1e6)
		parts += w.Part
		k.checkDuration(field+".mean", w.Mean, time.Microsecond, time.Hour)
		k.checkRange(field+".deviation", w.Deviation, 0, 100)
		if _, ok := newWorkShape(w.Shape, w.Deviation); !ok {
			k.report(field+".shape", fmt.Sprintf("%q is unknown: fixed, exponential, lognormal or uniform", w.Shape))
		}
	}
	for _, c := range all {
		if !worked[c.Name] {
			k.report(path, fmt.Sprintf("class %q has no entry that states the work of its requests", c.Name))
		}
	}
	return parts
}

// rangeChecker reports values that are out of range.
type rangeChecker struct{ report func(field, text string) }

// checkRange reports a number that is not between two bounds, or that is NaN.
func (k rangeChecker) checkRange(field string, v, least, most float64) {
	if !(v >= least && v <= most) {
		k.report(field, fmt.Sprintf("%v is not within %v and %v", v, least, most))
	}
}

// checkDuration reports a duration that is not between two bounds.
func (k rangeChecker) checkDuration(field string, v Duration, least, most time.Duration) {
	if time.Duration(v) < least || time.Duration(v) > most {
		k.report(field, fmt.Sprintf("%v is an impossible time: from %v to %v is possible", v, least, most))
	}
}
