package plan

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"whinknot/internal/emulate"
)

// Bound is what no fleet can do without, whatever it decides.
type Bound struct {
	Servers int    `json:"servers"` // at least
	Why     string `json:"why"`
	// Erlang is how many servers one queue over all cores would need that refuses nothing, for the share of its requests that wait no
	// longer than their aim leaves (M/M/c, Erlang C). It is a guide and no bound: a fleet may refuse, and its work need not be exponential.
	Erlang int `json:"erlang"`
}

// bound reckons with the mean rate of the time that counts.
func (p *Plan) bound() Bound {
	sc := p.base
	rate := meanRate(sc)
	need := leastWork(sc, rate, p.Target.Share) // ms a second
	b := Bound{Servers: serversFor(sc, need, 0), Why: fmt.Sprintf("%.0f ms of work a second earn a share of %.3f at least", need, p.Target.Share)}
	for _, v := range p.Survive {
		t := v.Target.over(p.Target)
		for _, f := range v.Faults {
			part := lostPart(sc, &f)
			if part == 0 {
				continue
			}
			// Only while it lasts: the rest of the time all servers can work.
			all, gone := played(sc), overlap(sc, &f)
			if gone <= 0 {
				continue
			}
			n := serversFor(sc, leastWork(sc, rate, t.Share), part*gone/all)
			if n > b.Servers {
				b.Servers, b.Why = n, fmt.Sprintf("with %s a part of %.2f of all capacity is lost over the run", v.Name, part*gone/all)
			}
		}
	}
	b.Erlang = erlangServers(sc, rate, p.Target.Share)
	return b
}

// played is the time in ms that counts.
func played(sc *emulate.Scenario) float64 { return sc.For.MS() - sc.Warmup.MS() }

// overlap is the part of a fault's time in ms that counts.
func overlap(sc *emulate.Scenario, f *emulate.Fault) float64 {
	from, to := max(f.At.MS(), sc.Warmup.MS()), min(f.At.MS()+f.For.MS(), sc.For.MS())
	return max(to-from, 0)
}

// lostPart is the part of the servers that are away in a fault. What only slows them, or keeps copies from them, is no bound for all.
func lostPart(sc *emulate.Scenario, f *emulate.Fault) float64 {
	zones := float64(max(len(sc.Pool.Zones), 1))
	switch f.Kind {
	case "zone":
		return 1 / zones
	case "crash":
		part := f.Share
		if f.Share == 0 && f.Count == 0 {
			part = 1
		}
		if f.Zone != "" {
			part /= zones
		}
		return part
	}
	return 0
}

// meanRate is the mean rate of requests in the time that counts.
func meanRate(sc *emulate.Scenario) float64 {
	const steps = 1000
	sum := 0.0
	for i := range steps {
		at := sc.Warmup.MS() + played(sc)*(float64(i)+0.5)/steps
		sum += sc.Demand.Times(at)
	}
	return sc.Demand.Rate * sum / steps
}

// leastWork is the work in ms a second without which a share of the worth cannot be earned: of the classes with most worth for
// their work first (the fractional knapsack).
func leastWork(sc *emulate.Scenario, rate, share float64) float64 {
	type part struct{ worth, work float64 }
	var list []part
	parts, worth := 0.0, 0.0
	for _, w := range sc.Work {
		parts += w.Part
	}
	for _, w := range sc.Work {
		for _, c := range sc.Pool.Classes {
			if c.Name == w.Class {
				p := part{rate * w.Part / parts * c.Worth, rate * w.Part / parts * w.Mean.MS()}
				list = append(list, p)
				worth += p.worth
			}
		}
	}
	slices.SortFunc(list, func(a, b part) int { return cmp.Compare(b.worth*a.work, a.worth*b.work) })
	left, work := share*worth, 0.0
	for _, p := range list {
		if p.worth <= 0 || left <= 0 {
			continue
		}
		taken := min(1, left/p.worth)
		work += taken * p.work
		left -= taken * p.worth
	}
	return work
}

// speed is the mean of the servers' speeds.
func speed(sc *emulate.Scenario) float64 {
	if len(sc.Servers.Speeds) == 0 {
		return 1
	}
	sum := 0.0
	for _, s := range sc.Servers.Speeds {
		sum += s
	}
	return sum / float64(len(sc.Servers.Speeds))
}

// serversFor is the fewest servers that can do so much work a second with a part of their time lost.
func serversFor(sc *emulate.Scenario, work, lost float64) int {
	each := 1000 * float64(sc.Servers.Cores) * speed(sc) * (1 - lost)
	return max(int(math.Ceil(work/each-1e-9)), 1)
}

// ErlangC is the part of the requests that wait, with c servers and an offered load of a (in servers); 1 where a is c or more.
func ErlangC(c int, a float64) float64 {
	if a >= float64(c) {
		return 1
	}
	b := 1.0 // Erlang B by its recursion, which is stable
	for k := 1; k <= c; k++ {
		b = a * b / (float64(k) + a*b)
	}
	rho := a / float64(c)
	return b / (1 - rho*(1-b))
}

// erlangServers is the fewest servers whose cores, as one queue, let a share of the requests wait no longer than their aim leaves.
func erlangServers(sc *emulate.Scenario, rate, share float64) int {
	parts, mean, slack := 0.0, 0.0, math.Inf(1)
	for _, w := range sc.Work {
		parts += w.Part
	}
	for _, w := range sc.Work {
		work := w.Mean.MS() / speed(sc)
		mean += w.Part / parts * work
		for _, c := range sc.Pool.Classes {
			if c.Name == w.Class {
				slack = min(slack, c.Aim.MS()-work)
			}
		}
	}
	if slack <= 0 {
		return 0
	}
	load := rate * mean / 1000
	for n := 1; n <= 20_000; n++ {
		c := n * sc.Servers.Cores
		if load >= float64(c) {
			continue
		}
		// The wait of those who wait is exponential with the rate that is left.
		if late := ErlangC(c, load) * math.Exp(-(float64(c)-load)*slack/mean); late <= 1-share+1e-12 {
			return n
		}
	}
	return 0
}
