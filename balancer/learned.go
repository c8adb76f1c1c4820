package balancer

import (
	"math"

	"milletmast/internal/stats"
)

// Memory is what a balancer has learned, as plain values that another one can be given (package warmstart
// weighs them by their age first). It holds no request and no attempt.
type Memory struct {
	At            float64 // clock time at which it was so
	Room          float64 // calls out at once for each server that serves; 0 = not bounded yet
	Typical, Calm float64 // mean ratio of answers, and its least; 0 = none yet
	Demand, Sent  float64 // calls a second
	Classes       []ClassMemory
	Servers       []ServerMemory
}

// ClassMemory is what was learned of a class, by its number.
type ClassMemory struct {
	Latency float64 // mean of good answers; 0 = none yet
	Share   float64 // of the calls
	Served  float64 // part that is answered within the aim
}

// ServerMemory is what was learned of a server in one life of its.
type ServerMemory struct {
	Server        uint32
	Started       float64 // its life began then; 0 = long ago
	Load, MaxLoad float64 // calls a second; 0 = not measured
	Pace, Run     float64
	Cut           bool
}

// Export gives what was learned so far.
func (b *Balancer) Export() Memory {
	m := Memory{At: b.now, Typical: b.typical}
	m.Demand = b.arrivals.RateAt(b.now, demandTime, demandLeast)
	m.Sent = b.sends.RateAt(b.now, demandTime, demandLeast)
	if b.serving > 0 {
		m.Room = b.room / b.serving
	}
	if !math.IsInf(b.calm, 1) {
		m.Calm = b.calm
	}
	for _, c := range b.classes {
		m.Classes = append(m.Classes, ClassMemory{c.latency, c.share, c.served})
	}
	for _, s := range b.live {
		if s.cold || !s.measured && s.pace == 0 && s.run == 0 {
			continue
		}
		k := ServerMemory{Server: s.Server, Started: s.Started, Pace: s.pace, Run: s.run, Cut: s.cut}
		if s.measured && !s.cut {
			k.Load, k.MaxLoad = s.load, s.maxLoad
		}
		m.Servers = append(m.Servers, k)
	}
	return m
}

// Import gives a balancer that has heard nothing yet what another one learned. Of a server it counts only in
// the life in which it was learned, and never while it is cold.
func (b *Balancer) Import(m Memory) {
	b.typical, b.roomEach = m.Typical, m.Room
	if m.Calm > 0 {
		b.calm = m.Calm
	}
	b.arrivals, b.sends = stats.SteadyRate(m.Demand, b.now), stats.SteadyRate(m.Sent, b.now)
	for i := range min(len(m.Classes), len(b.classes)) {
		k, c := &m.Classes[i], &b.classes[i]
		c.latency, c.share, c.served = k.Latency, k.Share, k.Served
	}
	b.remembered = make(map[uint32]ServerMemory, len(m.Servers))
	for _, k := range m.Servers {
		b.remembered[k.Server] = k
	}
}

// recall gives a server that is new to this copy what was learned of it.
func (b *Balancer) recall(s *server) {
	k, ok := b.remembered[s.Server]
	if delete(b.remembered, s.Server); !ok || k.Started != s.Started || s.cold {
		return
	}
	s.pace, s.run, s.maxLoad, s.load = k.Pace, k.Run, k.MaxLoad, k.Load
	s.cut, s.measured = k.Cut, k.Cut || k.Load > 0
}

// Cuts is the number of listed servers that get no more than trial calls, as they have failed too often.
func (b *Balancer) Cuts() int { return b.cuts }

// Latency is the mean of a class's good answers in ms; 0 = none yet.
func (b *Balancer) Latency(class int) float64 { return b.classes[class].latency }
