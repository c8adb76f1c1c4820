// Package warmstart decays the learned state of a decision module by its age, so that a new module can start from it. It has no
// I/O and no clock. The rules:
//
//   - State that is as old as MaxAge, or that lies in the future because a clock was set, is dropped.
//   - The load and latency ratio of a server move linearly with age to the mean of all servers, so that old differences fade.
//   - A server that was ejected stays so for half of MaxAge; after that it counts as not measured.
//   - The concurrency limit, and the base latency that it is derived from, are kept for MaxCapacityAge only: they describe a load,
//     not servers.
//
// Which incarnation of a server a measurement belongs to, and that a server that warms up has none, are rules of the module.
package warmstart

import (
	"math"
	"time"

	"milletmast/balancer"
	"milletmast/internal/decimal"
)

// The ages from which learned values are dropped.
const (
	MaxAge         = 60 * time.Second
	MaxCapacityAge = 15 * time.Second
)

// Decay returns a learned state decayed to the time now, in ms, and its age. The result is empty if the age is out of range.
// Impossible values count as not learned.
func Decay(m balancer.LearnedState, now float64) (balancer.LearnedState, time.Duration) {
	age := now - m.At
	none := balancer.LearnedState{At: now}
	if !(age >= 0) || age >= ms(MaxAge) {
		return none, 0
	}
	decayed := balancer.LearnedState{At: now, ArrivalRate: positive(m.ArrivalRate), SendRate: positive(m.SendRate)}
	fade := math.Exp(-age / rateDecayTime)
	decayed.ArrivalRate *= fade
	decayed.SendRate *= fade
	if age < ms(MaxCapacityAge) {
		decayed.ConcurrencyPerServer = positive(m.ConcurrencyPerServer)
		decayed.LatencyRatio = positive(m.LatencyRatio)
		decayed.BaseLatencyRatio = positive(m.BaseLatencyRatio)
	}
	for _, c := range m.Classes {
		decayed.Classes = append(
			decayed.Classes,
			balancer.LearnedClass{MeanLatency: positive(c.MeanLatency), RequestShare: ratio(c.RequestShare), OnTimeShare: ratio(c.OnTimeShare)},
		)
	}
	trust := 1 - age/ms(MaxAge)
	load, latencyRatio := meanLoadAndLatencyRatio(m.Servers)
	for _, s := range m.Servers {
		server := balancer.LearnedServer{
			ID: s.ID, StartedAt: positive(s.StartedAt),
			Load: moveToward(load, positive(s.Load), trust), MaxLoad: positive(s.MaxLoad) * trust,
			LatencyRatio: moveToward(latencyRatio, positive(s.LatencyRatio), trust), FailureRun: positive(s.FailureRun) * trust,
		}
		if server.Ejected = s.Ejected && trust > 0.5; s.Ejected && !server.Ejected {
			server = balancer.LearnedServer{ID: server.ID, StartedAt: server.StartedAt, FailureRun: server.FailureRun}
		}
		decayed.Servers = append(decayed.Servers, server)
	}
	return decayed, decimal.Duration(age, time.Millisecond)
}

// rateDecayTime is the time constant in ms with which a rate decays, as in the module.
const rateDecayTime = 2000.0

// ms returns a duration in milliseconds.
func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// moveToward returns a learned value moved to the mean as trust falls from 1 to 0; 0 if it was not learned.
func moveToward(mean, value, trust float64) float64 {
	if value == 0 {
		return 0
	}
	return mean + (value-mean)*trust
}

// meanLoadAndLatencyRatio returns the mean load and the mean latency ratio of the servers for which they were learned.
func meanLoadAndLatencyRatio(list []balancer.LearnedServer) (load, latencyRatio float64) {
	loads, ratios := 0.0, 0.0
	for _, s := range list {
		if v := positive(s.Load); v > 0 {
			load += v
			loads++
		}
		if v := positive(s.LatencyRatio); v > 0 {
			latencyRatio += v
			ratios++
		}
	}
	return load / math.Max(loads, 1), latencyRatio / math.Max(ratios, 1)
}

// maxValue is above any value that a module learns.
const maxValue = 1e15

// positive returns a value, or 0 if it is negative, too large or NaN.
func positive(v float64) float64 {
	if v > 0 && v < maxValue {
		return v
	}
	return 0
}

// ratio returns a value between 0 and 1.
func ratio(v float64) float64 { return min(positive(v), 1) }
