package balancer

import (
	"math"

	"milletmast/internal/stats"
)

// Memory is what a balancer has learned, as plain values that another one can be given (package warmstart
// weighs them by their age first). It holds no request and no attempt.
type LearnedState struct {
	At                             float64 // clock time at which it was so
	ConcurrencyPerServer           float64 // limit for each serving server; 0 = none yet
	LatencyRatio, BaseLatencyRatio float64 // mean ratio of answers, and its least; 0 = none yet
	ArrivalRate, SendRate          float64 // calls a second
	Classes                        []LearnedClass
	Servers                        []LearnedServer
}

// ClassMemory is what was learned of a class, by its number.
type LearnedClass struct {
	MeanLatency  float64 // mean of good answers; 0 = none yet
	RequestShare float64 // of the calls
	OnTimeShare  float64 // part that is answered within the aim
}

// ServerMemory is what was learned of a server in one life of its.
type LearnedServer struct {
	ID                       uint32
	StartedAt                float64 // its life began then; 0 = long ago
	Load, MaxLoad            float64 // calls a second; 0 = not measured
	LatencyRatio, FailureRun float64
	Ejected                  bool
}

// Export gives what was learned so far.
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

// Import gives a balancer that has heard nothing yet what another one learned. Of a server it counts only in
// the life in which it was learned, and never while it is cold.
func (b *Balancer) Import(m LearnedState) {
	b.meanRatio, b.learnedConcurrency = m.LatencyRatio, m.ConcurrencyPerServer
	if m.BaseLatencyRatio > 0 {
		b.baseRatio = m.BaseLatencyRatio
	}
	b.arrivalRate, b.sendRate = stats.SteadyRate(m.ArrivalRate, b.now), stats.SteadyRate(m.SendRate, b.now)
	for i := range min(len(m.Classes), len(b.classes)) {
		k, c := &m.Classes[i], &b.classes[i]
		c.meanLatency, c.requestShare, c.onTimeShare = k.MeanLatency, k.RequestShare, k.OnTimeShare
	}
	b.learnedServers = make(map[uint32]LearnedServer, len(m.Servers))
	for _, k := range m.Servers {
		b.learnedServers[k.ID] = k
	}
}

// recall gives a server that is new to this copy what was learned of it.
func (b *Balancer) restoreLearned(s *server) {
	k, ok := b.learnedServers[s.ID]
	if delete(b.learnedServers, s.ID); !ok || k.StartedAt != s.StartedAt || s.warmingUp {
		return
	}
	s.latencyRatio, s.failureRun, s.maxLoad, s.load = k.LatencyRatio, k.FailureRun, k.MaxLoad, k.Load
	s.ejected, s.measured = k.Ejected, k.Ejected || k.Load > 0
}

// Cuts is the number of listed servers that get no more than trial calls, as they have failed too often.
func (b *Balancer) EjectedServers() int { return b.ejectedCount }

// Latency is the mean of a class's good answers in ms; 0 = none yet.
func (b *Balancer) MeanLatency(class int) float64 { return b.classes[class].meanLatency }
