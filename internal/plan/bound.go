package plan

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"milletmast/internal/emulate"
)

// Bound is a lower bound on the number of servers of any fleet, for any decisions of its sidecars.
type Bound struct {
	Servers int    `json:"servers"` // least number of servers
	Why     string `json:"why"`
	// Erlang is how many servers a single queue over all cores would need if it rejected nothing and the target's ratio of its requests
	// had to wait no longer than their latency target allows (M/M/c, Erlang C). It is no bound: a fleet may reject requests, and its
	// work need not be exponentially distributed.
	Erlang int `json:"erlang"`
}

// msPerSecond converts work in seconds per second to milliseconds per second.
const msPerSecond = 1000

// rounding is the tolerance for rounding errors of sums.
const rounding = 1e-9

// bound computes the bound from the mean rate of requests over the measured time.
func (p *Plan) bound() Bound {
	rate := meanRate(p.base)
	work := leastWork(p.base, rate, p.Target.Share)
	bound := Bound{
		Servers: serversFor(p.base, work, 0),
		Why:     fmt.Sprintf("%.0f ms of work a second earn a share of %.3f at least", work, p.Target.Share),
		Erlang:  erlangServers(p.base, rate, p.Target.Share),
	}
	for i := range p.Losses {
		loss := &p.Losses[i]
		work := leastWork(p.base, rate, loss.Target.withDefaults(p.Target).Share)
		for j := range loss.Faults {
			lost := lostCapacity(p.base, &loss.Faults[j])
			if lost == 0 {
				continue
			}
			if n := serversFor(p.base, work, lost); n > bound.Servers {
				bound.Servers = n
				bound.Why = fmt.Sprintf("with %s a part of %.2f of all capacity is lost over the run", loss.Name, lost)
			}
		}
	}
	return bound
}

// lostCapacity returns the ratio of the capacity over the measured time that is lost with a fault.
func lostCapacity(scenario *emulate.Scenario, fault *emulate.Fault) float64 {
	return lostServers(scenario, fault) * measuredOverlap(scenario, fault) / measuredTime(scenario)
}

// measuredTime returns the time after the warm-up in milliseconds.
func measuredTime(scenario *emulate.Scenario) float64 {
	return scenario.For.MS() - scenario.Warmup.MS()
}

// measuredOverlap returns how long a fault lasts within the measured time, in milliseconds.
func measuredOverlap(scenario *emulate.Scenario, fault *emulate.Fault) float64 {
	from := max(fault.At.MS(), scenario.Warmup.MS())
	to := min(fault.At.MS()+fault.For.MS(), scenario.For.MS())
	return max(to-from, 0)
}

// lostServers returns the ratio of the servers that are down in a fault. It returns 0 for a fault that only slows servers or separates
// sidecars from them, as that gives no bound for all fleets.
func lostServers(scenario *emulate.Scenario, fault *emulate.Fault) float64 {
	zones := float64(max(len(scenario.Pool.Zones), 1))
	switch fault.Kind {
	case "zone":
		return 1 / zones
	case "crash":
		share := fault.Share
		if fault.Share == 0 && fault.Count == 0 {
			share = 1
		}
		if fault.Zone != "" {
			share /= zones
		}
		return share
	}
	return 0
}

// meanRate returns the mean rate of requests over the measured time, per second.
func meanRate(scenario *emulate.Scenario) float64 {
	const steps = 1000
	sum := 0.0
	for i := range steps {
		at := scenario.Warmup.MS() + measuredTime(scenario)*(float64(i)+0.5)/steps
		sum += scenario.Demand.RateFactor(at)
	}
	return scenario.Demand.Rate * sum / steps
}

// leastWork returns the least work in milliseconds per second by which a share of the priority weight can be earned. It takes the
// classes with the highest weight per work first (the fractional knapsack problem).
func leastWork(scenario *emulate.Scenario, rate, share float64) float64 {
	type demand struct{ weight, work float64 } // per second
	var demands []demand
	parts, weight := totalParts(scenario), 0.0
	for _, w := range scenario.Work {
		for _, class := range scenario.Pool.Classes {
			if class.Name == w.Class {
				classRate := rate * w.Part / parts
				demands = append(demands, demand{classRate * class.Worth, classRate * w.Mean.MS()})
				weight += classRate * class.Worth
			}
		}
	}
	slices.SortFunc(demands, func(a, b demand) int { return cmp.Compare(b.weight*a.work, a.weight*b.work) })
	needed, work := share*weight, 0.0
	for _, d := range demands {
		if d.weight <= 0 || needed <= 0 {
			continue
		}
		taken := min(1, needed/d.weight)
		work += taken * d.work
		needed -= taken * d.weight
	}
	return work
}

// totalParts returns the sum of the parts of all classes: the share of a class of the requests is its part divided by the sum.
func totalParts(scenario *emulate.Scenario) float64 {
	sum := 0.0
	for _, w := range scenario.Work {
		sum += w.Part
	}
	return sum
}

// meanSpeed returns the mean of the servers' speeds.
func meanSpeed(scenario *emulate.Scenario) float64 {
	speeds := scenario.Servers.Speeds
	if len(speeds) == 0 {
		return 1
	}
	sum := 0.0
	for _, speed := range speeds {
		sum += speed
	}
	return sum / float64(len(speeds))
}

// serversFor returns the fewest servers that can do some work, in milliseconds per second, with a ratio of their capacity lost.
func serversFor(scenario *emulate.Scenario, work, lost float64) int {
	capacity := msPerSecond * float64(scenario.Servers.Cores) * meanSpeed(scenario) * (1 - lost)
	return max(int(math.Ceil(work/capacity-rounding)), 1)
}
