package level

import (
	"math"
	"testing"
	"time"

	"whinknot/internal/spread"
)

func TestMeterReads(t *testing.T) {
	m := NewMeter(time.Second, 2, epoch)
	if r := m.Read(epoch, 0); !math.IsNaN(r[Wait]) || !math.IsNaN(r[Refused]) || !math.IsNaN(r[P95]) {
		t.Errorf("of nothing: %v", r)
	}
	now := epoch
	for i := range 100 {
		now = epoch.Add(time.Duration(i) * 10 * time.Millisecond)
		m.Asked(now, i%2, float64(1+i%2*11))
		m.Sent(now, time.Duration(i)*time.Millisecond)
		switch {
		case i < 10:
			m.Ended(now, Refusal, 1, math.NaN())
		case i < 30:
			m.Ended(now, Failure, 1, math.NaN())
		case i < 40:
			m.Ended(now, Served, 12, 1.5)
		default:
			m.Ended(now, Served, 1, 0.5)
		}
	}
	r := m.Read(now, 0)
	for s, want := range map[Signal]float64{Refused: 0.1, Failed: 0.2, Late: 10.0 / 70, P95: 1.5, Wait: 0.099, Worth: 60.0 / 210} {
		if math.Abs(r[s]-want) > 1e-6 {
			t.Errorf("%v: %v, want %v", s, r[s], want)
		}
	}
	if w := m.Worths(now); w[0] != 50 || w[1] != 600 {
		t.Errorf("asked %v", w)
	}
	if r := m.Read(now, time.Minute); r[Wait] != 60 {
		t.Errorf("one that waits still: %v", r[Wait])
	}
	if r := m.Read(now.Add(500*time.Millisecond), 0); r[Refused] != 0 || r[Failed] != 0 {
		t.Errorf("half a second later: %v", r)
	}
	if r := m.Read(now.Add(1200*time.Millisecond), 0); !math.IsNaN(r[Refused]) || !math.IsNaN(r[Wait]) {
		t.Errorf("a window later: %v", r)
	}
	now = now.Add(time.Hour)
	m.Ended(now, Served, 1, 2)
	if r := m.Read(now, 0); !math.IsNaN(r[Late]) || r[Wait] != 0 {
		t.Errorf("one answer is taken for a share: %v", r)
	}
}

// A window of many answers costs no more than one of some, and its percentile is near the true one.
func TestMeterIsBounded(t *testing.T) {
	m := NewMeter(time.Second, 1, epoch)
	now := epoch
	for i := range 200_000 {
		now = epoch.Add(time.Duration(i) * 5 * time.Microsecond)
		m.Ended(now, Served, 1, float64(spread.Mix(uint64(i))%1000)/1000)
	}
	if r := m.Read(now, 0); math.Abs(r[P95]-0.95) > 0.03 || r[Late] != 0 {
		t.Errorf("p95 %v, late %v", r[P95], r[Late])
	}
	if n := testing.AllocsPerRun(100, func() { m.Ended(now, Served, 1, 0.5); m.Asked(now, 0, 1) }); n != 0 {
		t.Errorf("%v allocations", n)
	}
}

func BenchmarkAdmit(b *testing.B) {
	m := New(ladder(), epoch)
	for i := range 20 {
		m.Step(epoch.Add(time.Duration(i)*tick), with(Refused, 0.9), []float64{10, 5, 5})
	}
	who := Caller("10.1.2.3")
	b.ReportAllocs()
	for b.Loop() {
		m.Admit(1, who)
	}
}
