package balancer

import (
	"slices"

	"milletmast/internal/stats"
)

// This file measures latencies and decides nothing.

// recordLatency updates the mean latencies of a server, of a class and of the tier with a success.
func (b *Balancer) recordLatency(s *server, c *classState, elapsed, ratio float64) {
	weight := max(2*latencySmoothing, 1/float64(s.sampleCount+1))
	s.latencyRatio += weight * (ratio - s.latencyRatio)
	if c.meanLatency == 0 {
		c.meanLatency = elapsed
	}
	c.meanLatency += latencySmoothing * (elapsed - c.meanLatency)
	weight = max(latencySmoothing, 1/float64(b.tierSampleCount+1))
	b.meanRatio += weight * (ratio - b.meanRatio)
	if b.now > b.baseRatioFrom {
		b.baseRatio = min(b.baseRatio, b.meanRatio)
	}
}

func (b *Balancer) recordConnection(s *server, outcome Outcome) {
	s.connected = outcome == OK || s.connected && outcome != ConnectFailed
	b.connectFailures -= latencySmoothing * b.connectFailures
	if outcome == ConnectFailed {
		b.connectFailures += latencySmoothing
	}
}

// latencyP95 returns the 95th percentile of a server's latency ratios (of the tier's, if it is nil) over the
// last second: over a longer time until there are enough samples, and supplemented from the tier's. It
// leaves the ratios in sortedRatios, and returns false if there are too few samples.
func (b *Balancer) latencyP95(s *server) (float64, bool) {
	b.sortedRatios = b.sortedRatios[:0]
	w := stats.RecentWindow{From: b.now - statsWindow, OldestFrom: b.now - loadUpdateInterval}
	w.MinSamples = minWindowSamples
	if s != nil {
		b.sortedRatios = stats.AppendRecent(b.sortedRatios, s.samples[:], s.sampleCount, w)
		if len(b.sortedRatios) == 0 {
			return 0, false
		}
	}
	if len(b.sortedRatios) < minWindowSamples {
		b.sortedRatios = stats.AppendRecent(b.sortedRatios, b.tierWindow[:], b.tierSampleCount, w)
	}
	if len(b.sortedRatios) < min(minWindowSamples, max(minFirstSamples, b.tierSampleCount)) {
		return 0, false
	}
	slices.Sort(b.sortedRatios)
	return stats.Percentile(b.sortedRatios, latencyPercentile), true
}

// goodShare returns the share of sortedRatios that is below sheddingRatio.
func (b *Balancer) goodShare() float64 {
	good, _ := slices.BinarySearch(b.sortedRatios, sheddingRatio)
	return float64(good) / float64(len(b.sortedRatios))
}
