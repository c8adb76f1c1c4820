package warmstart

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"milletmast/balancer"
)

func sample() balancer.LearnedState {
	return balancer.LearnedState{
		At: 1e6, ConcurrencyPerServer: 3, LatencyRatio: 0.4, BaseLatencyRatio: 0.3, ArrivalRate: 100, SendRate: 90, Classes: []balancer.LearnedClass{{MeanLatency: 30, RequestShare: 1, OnTimeShare: 0.9}},
		Servers: []balancer.LearnedServer{{ID: 1, Load: 100, MaxLoad: 200, LatencyRatio: 0.2}, {ID: 2, Load: 20, LatencyRatio: 0.6, FailureRun: 2}, {ID: 3, StartedAt: 5, Ejected: true, FailureRun: 4}},
	}
}

func TestDecay(t *testing.T) {
	m := sample()
	now, age := Decay(m, m.At)
	if age != 0 || now.ConcurrencyPerServer != 3 || now.ArrivalRate != 100 || now.Servers[0] != m.Servers[0] || now.Servers[1] != m.Servers[1] || now.Servers[2] != m.Servers[2] {
		t.Errorf("at age 0: %+v, %v", now, age)
	}
	half, _ := Decay(m, m.At+29_000)
	if half.ConcurrencyPerServer != 0 || half.BaseLatencyRatio != 0 || half.Servers[0].Load >= 100 || half.Servers[0].Load <= 60 || half.Servers[1].Load <= 20 || !half.Servers[2].Ejected {
		t.Errorf("after 29 s: %+v", half)
	}
	late, _ := Decay(m, m.At+40_000)
	if s := late.Servers[2]; s.Ejected || s.Load != 0 || s.FailureRun == 0 || s.FailureRun >= 4 || s.StartedAt != 5 {
		t.Errorf("an ejected server after 40 s: %+v", s)
	}
	for _, at := range []float64{m.At - 1, m.At - 86_400_000, m.At + 60_000, m.At + 3e10, math.NaN(), math.Inf(1)} {
		if none, age := Decay(m, at); len(none.Servers) > 0 || len(none.Classes) > 0 || none.ConcurrencyPerServer != 0 || none.ArrivalRate != 0 || age != 0 {
			t.Errorf("at %v: %+v, %v", at, none, age)
		}
	}
}

// The age of a state is exact to the nanosecond if its times are.
func TestAgeIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := time.Duration(rapid.Int64Range(0, int64(MaxAge)-1).Draw(t, "ns"))
		now := float64(want) / float64(time.Millisecond)
		if _, age := Decay(balancer.LearnedState{}, now); age != want {
			t.Fatalf("at %v ms: age %v, want %v", now, age, want)
		}
	})
}

// Trust in a value only falls with age, and no result is negative or not finite, whatever the input.
func TestTrustOnlyFalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := sample()
		value := rapid.SampledFrom([]float64{0, 1, -3, 1e300, math.NaN(), math.Inf(1), math.Inf(-1), 50})
		for i := range m.Servers {
			m.Servers[i].Load, m.Servers[i].LatencyRatio, m.Servers[i].FailureRun = value.Draw(t, "load"), value.Draw(t, "latency ratio"), value.Draw(t, "run")
			m.Servers[i].Ejected = rapid.Bool().Draw(t, "ejected")
		}
		m.ConcurrencyPerServer, m.ArrivalRate, m.Classes[0].RequestShare = value.Draw(t, "concurrency"), value.Draw(t, "arrival rate"), value.Draw(t, "share")
		a := rapid.Float64Range(0, 70_000).Draw(t, "age")
		b := a + rapid.Float64Range(0, 30_000).Draw(t, "more")
		young, _ := Decay(m, m.At+a)
		old, _ := Decay(m, m.At+b)
		if old.ConcurrencyPerServer > young.ConcurrencyPerServer || old.ArrivalRate > young.ArrivalRate || len(old.Servers) > len(young.Servers) {
			t.Fatalf("%+v grew to %+v", young, old)
		}
		load, latencyRatio := meanLoadAndLatencyRatio(m.Servers)
		for i, o := range old.Servers {
			y := young.Servers[i]
			if o.Ejected && !y.Ejected || o.FailureRun > y.FailureRun || o.MaxLoad > y.MaxLoad {
				t.Fatalf("server %+v became %+v", y, o)
			}
			if o.Load > 0 && math.Abs(o.Load-load) > math.Abs(y.Load-load)+1e-6 || o.LatencyRatio > 0 && math.Abs(o.LatencyRatio-latencyRatio) > math.Abs(y.LatencyRatio-latencyRatio)+1e-6 {
				t.Fatalf("server %+v is trusted more as %+v", y, o)
			}
		}
		for _, k := range []balancer.LearnedState{young, old} {
			for _, s := range k.Servers {
				for _, v := range []float64{k.ConcurrencyPerServer, k.ArrivalRate, k.SendRate, s.Load, s.MaxLoad, s.LatencyRatio, s.FailureRun, s.StartedAt} {
					if !(v >= 0) || math.IsInf(v, 0) {
						t.Fatalf("%+v", k)
					}
				}
			}
		}
	})
}
