package balancer

import (
	"math"

	"milletmast/internal/stats"
)

// LearnedState is what a balancer has learned, as plain values that another one can import (package
// warmstart decays them by their age first). It holds no request and no attempt.
type LearnedState struct {
	At                             float64 // time at which it was exported
	ConcurrencyPerServer           float64 // limit for each serving server; 0 = none yet
	LatencyRatio, BaseLatencyRatio float64 // mean ratio of latency to threshold, and its base; 0 = none yet
	ArrivalRate, SendRate          float64 // requests a second
	Classes                        []LearnedClass
	Servers                        []LearnedServer
}

// LearnedClass is what was learned about a class. Its index is the class's number.
type LearnedClass struct {
	MeanLatency  float64 // of successes; 0 = none yet
	RequestShare float64 // of all requests
	OnTimeShare  float64 // share of its requests that are completed within the latency target
}

// LearnedServer is what was learned about one incarnation of a server.
type LearnedServer struct {
	ID            uint32
	StartedAt     float64 // start of that incarnation; 0 = long ago
	Load, MaxLoad float64 // requests a second; 0 = not measured
	LatencyRatio  float64
	FailureRun    float64
	Ejected       bool
}

// Export returns what the balancer has learned so far.
func (b *Balancer) Export() LearnedState {
	m := LearnedState{At: b.now, LatencyRatio: b.meanRatio}
	m.ArrivalRate = b.arrivalRate.RateAt(b.now, rateTimeConstant, minRateWeight)
	m.SendRate = b.sendRate.RateAt(b.now, rateTimeConstant, minRateWeight)
	if b.servingCount > 0 {
		m.ConcurrencyPerServer = b.concurrencyLimit / b.servingCount
	}
	if !math.IsInf(b.baseRatio, 1) {
		m.BaseLatencyRatio = b.baseRatio
	}
	for _, c := range b.classes {
		m.Classes = append(m.Classes, LearnedClass{c.meanLatency, c.requestShare, c.onTimeShare})
	}
	for _, s := range b.usable {
		if s.warmingUp || !s.measured && s.latencyRatio == 0 && s.failureRun == 0 {
			continue
		}
		k := LearnedServer{
			ID: s.ID, StartedAt: s.StartedAt,
			LatencyRatio: s.latencyRatio, FailureRun: s.failureRun, Ejected: s.ejected,
		}
		if s.measured && !s.ejected {
			k.Load, k.MaxLoad = s.load, s.maxLoad
		}
		m.Servers = append(m.Servers, k)
	}
	return m
}

// Import sets what another balancer has learned; no event may have been handled before. What was learned
// about a server applies to that incarnation only, and never while it warms up.
func (b *Balancer) Import(m LearnedState) {
	b.meanRatio, b.learnedConcurrency = m.LatencyRatio, m.ConcurrencyPerServer
	if m.BaseLatencyRatio > 0 {
		b.baseRatio = m.BaseLatencyRatio
	}
	b.arrivalRate = stats.SteadyRate(m.ArrivalRate, b.now)
	b.sendRate = stats.SteadyRate(m.SendRate, b.now)
	for i := range min(len(m.Classes), len(b.classes)) {
		k, c := &m.Classes[i], &b.classes[i]
		c.meanLatency, c.requestShare, c.onTimeShare = k.MeanLatency, k.RequestShare, k.OnTimeShare
	}
	b.learnedServers = make(map[uint32]LearnedServer, len(m.Servers))
	for _, k := range m.Servers {
		b.learnedServers[k.ID] = k
	}
}

// restoreLearned sets the imported state of a server that is new to this instance.
func (b *Balancer) restoreLearned(s *server) {
	k, ok := b.learnedServers[s.ID]
	if delete(b.learnedServers, s.ID); !ok || k.StartedAt != s.StartedAt || s.warmingUp {
		return
	}
	s.latencyRatio, s.failureRun, s.maxLoad, s.load = k.LatencyRatio, k.FailureRun, k.MaxLoad, k.Load
	s.ejected, s.measured = k.Ejected, k.Ejected || k.Load > 0
}

// EjectedServers returns the number of listed servers that get trial requests only, after a run of failures.
func (b *Balancer) EjectedServers() int { return b.ejectedCount }

// MeanLatency returns the mean latency of a class's successes in ms; 0 = none yet.
func (b *Balancer) MeanLatency(class int) float64 { return b.classes[class].meanLatency }
