package degradation

import (
	"math"
	"testing"
	"time"

	"milletmast/internal/namehash"
)

func TestMeterRead(t *testing.T) {
	m := NewMeter(time.Second, 2, epoch)
	if r := m.Read(epoch, 0); !math.IsNaN(r[QueueTime]) || !math.IsNaN(r[RejectedRatio]) || !math.IsNaN(r[P95Ratio]) {
		t.Errorf("without requests: %v", r)
	}
	now := epoch
	for i := range 100 {
		now = epoch.Add(time.Duration(i) * 10 * time.Millisecond)
		m.CountArrival(now, i%2, float64(1+i%2*11))
		m.RecordQueueTime(now, time.Duration(i)*time.Millisecond)
		switch {
		case i < 10:
			m.CountResult(now, Rejected, 1, math.NaN())
		case i < 30:
			m.CountResult(now, Failed, 1, math.NaN())
		case i < 40:
			m.CountResult(now, Served, 12, 1.5)
		default:
			m.CountResult(now, Served, 1, 0.5)
		}
	}
	r := m.Read(now, 0)
	for s, want := range map[Signal]float64{RejectedRatio: 0.1, FailedRatio: 0.2, LateRatio: 10.0 / 70, P95Ratio: 1.5, QueueTime: 0.099, EarnedRatio: 60.0 / 210} {
		if math.Abs(r[s]-want) > 1e-6 {
			t.Errorf("%v: %v, want %v", s, r[s], want)
		}
	}
	if w := m.Demand(now); w[0] != 50 || w[1] != 600 {
		t.Errorf("demand %v", w)
	}
	if r := m.Read(now, time.Minute); r[QueueTime] != 60 {
		t.Errorf("a request that still waits: %v", r[QueueTime])
	}
	if r := m.Read(now.Add(500*time.Millisecond), 0); r[RejectedRatio] != 0 || r[FailedRatio] != 0 {
		t.Errorf("half a second later: %v", r)
	}
	if r := m.Read(now.Add(1200*time.Millisecond), 0); !math.IsNaN(r[RejectedRatio]) || !math.IsNaN(r[QueueTime]) {
		t.Errorf("a window later: %v", r)
	}
	now = now.Add(time.Hour)
	m.CountResult(now, Served, 1, 2)
	if r := m.Read(now, 0); !math.IsNaN(r[LateRatio]) || r[QueueTime] != 0 {
		t.Errorf("one response is enough for a ratio: %v", r)
	}
}

// The sample of latencies is bounded, and its percentile is near the true one.
func TestMeterSampleIsBounded(t *testing.T) {
	m := NewMeter(time.Second, 1, epoch)
	now := epoch
	for i := range 200_000 {
		now = epoch.Add(time.Duration(i) * 5 * time.Microsecond)
		m.CountResult(now, Served, 1, float64(namehash.Mix(uint64(i))%1000)/1000)
	}
	if r := m.Read(now, 0); math.Abs(r[P95Ratio]-0.95) > 0.03 || r[LateRatio] != 0 {
		t.Errorf("p95 %v, late %v", r[P95Ratio], r[LateRatio])
	}
	if n := testing.AllocsPerRun(100, func() { m.CountResult(now, Served, 1, 0.5); m.CountArrival(now, 0, 1) }); n != 0 {
		t.Errorf("%v allocations", n)
	}
}

func BenchmarkAdmit(b *testing.B) {
	m := NewController(ladder(), epoch)
	for i := range 20 {
		m.Update(epoch.Add(time.Duration(i)*tick), signalsWith(RejectedRatio, 0.9), []float64{10, 5, 5})
	}
	caller := HashCaller("10.1.2.3")
	b.ReportAllocs()
	for b.Loop() {
		m.Admit(1, caller)
	}
}
