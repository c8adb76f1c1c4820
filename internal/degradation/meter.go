package degradation

import (
	"math"
	"slices"
	"time"

	"milletmast/internal/namehash"
)

// Result is the result of a request.
type Result uint8

// The results.
const (
	Served Result = iota
	Rejected
	Failed
)

const (
	windowSlots      = 10 // of the sliding window
	latenciesPerSlot = 64 // kept as a sample: enough for a percentile over the window
	minSamples       = 10 // ended requests, or responses, that a ratio or percentile needs
)

// slot holds the counts of a part of the window.
type slot struct {
	ended, rejected, failed int
	responses, late         int
	weight, earnedWeight    float64
	demand                  []float64 // priority weight by class
	queueTime               float64   // the longest, in seconds
	latencies               [latenciesPerSlot]float32
	latencyCount            int // number of latencies, of which latencies holds a sample
}

// add adds the counts of another slot, except demand and latencies.
func (s *slot) add(other *slot) {
	s.ended += other.ended
	s.rejected += other.rejected
	s.failed += other.failed
	s.responses += other.responses
	s.late += other.late
	s.weight += other.weight
	s.earnedWeight += other.earnedWeight
	s.queueTime = max(s.queueTime, other.queueTime)
}

// addLatency adds a latency to the sample, by deterministic reservoir sampling.
func (s *slot) addLatency(latency float64) {
	s.latencyCount++
	if s.latencyCount <= latenciesPerSlot {
		s.latencies[s.latencyCount-1] = float32(latency)
		return
	}
	if i := int(namehash.Mix(uint64(s.latencyCount)) % uint64(s.latencyCount)); i < latenciesPerSlot {
		s.latencies[i] = float32(latency)
	}
}

// Meter measures the signals of a pool over a sliding window. Requests that a level sheds are counted by CountArrival only:
// their rejections would otherwise keep the level in force. It is not safe for concurrent use.
type Meter struct {
	slotTime    time.Duration
	slotStart   time.Time
	currentSlot int
	slots       [windowSlots]slot
	scratch     []float32
	classes     int
}

// NewMeter returns a meter for a pool with a number of classes.
func NewMeter(window time.Duration, classes int, now time.Time) *Meter {
	m := &Meter{slotTime: max(window/windowSlots, time.Millisecond), slotStart: now, classes: classes}
	for i := range m.slots {
		m.slots[i].demand = make([]float64, classes)
	}
	return m
}

// advance returns the slot of a time, and clears the slots that have left the window.
func (m *Meter) advance(now time.Time) *slot {
	for cleared := 0; now.Sub(m.slotStart) >= m.slotTime; cleared++ {
		if cleared == windowSlots { // nothing happened for longer than the window
			m.slotStart = now.Add(-m.slotTime / 2)
			break
		}
		m.slotStart = m.slotStart.Add(m.slotTime)
		m.currentSlot = (m.currentSlot + 1) % windowSlots
		s := &m.slots[m.currentSlot]
		clear(s.demand)
		*s = slot{demand: s.demand}
	}
	return &m.slots[m.currentSlot]
}

// CountArrival counts a request of a class that arrived, also one that is shed.
func (m *Meter) CountArrival(now time.Time, class int, weight float64) {
	m.advance(now).demand[class] += weight
}

// Demand returns the priority weight of the requests that arrived in the window, by class.
func (m *Meter) Demand(now time.Time) []float64 {
	m.advance(now)
	demand := make([]float64, m.classes)
	for i := range m.slots {
		for class, weight := range m.slots[i].demand {
			demand[class] += weight
		}
	}
	return demand
}

// RecordQueueTime records for how long a request has waited for its first server.
func (m *Meter) RecordQueueTime(now time.Time, queueTime time.Duration) {
	s := m.advance(now)
	s.queueTime = max(s.queueTime, queueTime.Seconds())
}

// CountResult counts the result of a request. The latency is that of its response as a multiple of the target latency; NaN if
// it does not count.
func (m *Meter) CountResult(now time.Time, result Result, weight, latency float64) {
	s := m.advance(now)
	s.ended++
	s.weight += weight
	switch {
	case result == Rejected:
		s.rejected++
		return
	case result == Failed:
		s.failed++
		return
	case math.IsNaN(latency):
		s.earnedWeight += weight
		return
	}
	s.responses++
	if latency <= 1 {
		s.earnedWeight += weight
	} else {
		s.late++
	}
	s.addLatency(latency)
}

// Read returns the signals at a time, except those of servers. longestWait is that of the requests that are still waiting for
// their first server; 0 for none.
func (m *Meter) Read(now time.Time, longestWait time.Duration) SignalValues {
	m.advance(now)
	values := NoSignals()
	var window slot
	m.scratch = m.scratch[:0]
	for i := range m.slots {
		s := &m.slots[i]
		window.add(s)
		m.scratch = append(m.scratch, s.latencies[:min(s.latencyCount, latenciesPerSlot)]...)
	}
	if window.ended > 0 || longestWait > 0 {
		values[QueueTime] = max(window.queueTime, longestWait.Seconds())
	}
	if window.ended >= minSamples {
		values[RejectedRatio] = float64(window.rejected) / float64(window.ended)
		values[FailedRatio] = float64(window.failed) / float64(window.ended)
		if window.weight > 0 {
			values[EarnedRatio] = window.earnedWeight / window.weight
		}
	}
	if window.responses >= minSamples {
		values[LateRatio] = float64(window.late) / float64(window.responses)
		slices.Sort(m.scratch)
		values[P95Ratio] = float64(m.scratch[(len(m.scratch)*95+99)/100-1])
	}
	return values
}
