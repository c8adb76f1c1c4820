package balancer

import (
	"testing"

	"milletmast/internal/stats"
)

func TestLatencyP95ExtendsItsWindow(t *testing.T) {
	h := newHarness(t, testSettings(), serverEntries(2)...)
	s := h.b.usable[0]
	add := func(age, ratio float64) {
		s.samples[s.sampleCount%serverSamples] = stats.Sample{At: h.b.now - age, Value: ratio}
		s.sampleCount++
	}
	if _, ok := h.b.latencyP95(s); ok {
		t.Error("a server without samples counts as measured")
	}
	for range 18 {
		add(5000, 0.5)
	}
	add(4000, 3)
	add(3000, 4)
	if got, ok := h.b.latencyP95(s); !ok || got != 3 {
		t.Errorf("p95 of 20 samples over five seconds is %v, %v; want the second largest, 3", got, ok)
	}
	for range 20 {
		add(100, 0.25)
	}
	if got, _ := h.b.latencyP95(s); got != 0.25 {
		t.Errorf("p95 %v, want that of the last second alone, 0.25", got)
	}
}
