package loadshed

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newTestController(t testing.TB, name string, members []string, weights ...float64) *Controller {
	t.Helper()
	m, err := NewController(DefaultConfig(name, weights))
	if err != nil {
		t.Fatal(err)
	}
	m.SetMembers(members)
	return m
}

// With random summaries, a class with a higher weight per cost is never admitted less than one with a lower, and a single replica
// admits everything. Replicas with the same summaries decide the same, whatever their order.
func TestDecisionInvariants(t *testing.T) {
	rate := rapid.Float64Range(0, 1000)
	rapid.Check(t, func(t *rapid.T) {
		classes, replicas := rapid.IntRange(1, 4).Draw(t, "classes"), rapid.IntRange(1, 6).Draw(t, "replicas")
		weights := rapid.SliceOfN(rapid.Float64Range(0.1, 100), classes, classes).Draw(t, "weights")
		var names []string
		for i := range replicas {
			names = append(names, fmt.Sprint("c", i))
		}
		a, err := NewController(DefaultConfig("c0", weights))
		if err != nil {
			t.Fatal(err)
		}
		b, _ := NewController(DefaultConfig("c0", weights))
		a.SetMembers(names)
		b.SetMembers(names)
		for round := range 20 {
			now := start.Add(time.Duration(round) * Interval)
			var all []Summary
			for i := range replicas {
				s := Summary{From: names[i], Incarnation: 1, Sequence: uint64(round + 1)}
				for range classes {
					arrived := rate.Draw(t, "arrived")
					admitted := arrived * rapid.Float64Range(0, 1).Draw(t, "admitted")
					s.Classes = append(s.Classes, ClassRates{
						Arrived: arrived, Admitted: admitted, Rejected: admitted * rapid.Float64Range(0, 1).Draw(t, "rejected"),
						Cost: rapid.Float64Range(0, 100).Draw(t, "cost"),
					})
				}
				all = append(all, s)
			}
			for _, s := range all[1:] {
				a.HandleSummary(s, now)
			}
			slices.Reverse(all[1:])
			for _, s := range all[1:] {
				b.HandleSummary(s, now)
			}
			d, e := a.Decide(all[0].Classes, now), b.Decide(all[0].Classes, now)
			for i := range weights {
				if !(d.AdmitRatio[i] >= 0 && d.AdmitRatio[i] <= 1) || math.Abs(d.AdmitRatio[i]-e.AdmitRatio[i]) > 1e-6 {
					t.Fatalf("admit ratios %v and %v", d.AdmitRatio, e.AdmitRatio)
				}
				cost := max(a.costs.lowest[i], 1e-9)
				for k := range weights {
					if a.costs.lowest[i] > 0 && a.costs.lowest[k] > 0 && weights[i]/cost > weights[k]/a.costs.lowest[k] && d.AdmitRatio[i] < d.AdmitRatio[k] {
						t.Fatalf("weights %v, costs %v, admit ratios %v", weights, a.costs.lowest, d.AdmitRatio)
					}
				}
			}
			if math.Abs(d.Level-sumOf(d.AdmitRatio)) > 1e-6 || replicas == 1 && !d.AdmitsAll() {
				t.Fatalf("%+v with %d replicas", d, replicas)
			}
		}
	})
}

func sumOf(v []float64) (sum float64) {
	for _, x := range v {
		sum += x
	}
	return sum
}

// simulatedFleet is a fleet over servers of a given capacity, beyond which requests of all classes are rejected alike.
type simulatedFleet struct {
	t           testing.TB
	controllers []*Controller
	arrivals    [][]float64 // by replica and class
	costs       []float64
	weights     []float64
	now         time.Time
	decisions   []Decision
	falsify     func(replica int, c []ClassRates) // makes the report of a replica false; nil for none
	partitioned bool                              // no summary arrives
}

func newSimulatedFleet(t testing.TB, arrivals [][]float64, costs, weights []float64) *simulatedFleet {
	f := &simulatedFleet{t: t, arrivals: arrivals, costs: costs, weights: weights, now: start, decisions: make([]Decision, len(arrivals))}
	var names []string
	for i := range arrivals {
		names = append(names, fmt.Sprint("c", i))
	}
	for i := range arrivals {
		f.controllers = append(f.controllers, newTestController(t, names[i], names, weights...))
	}
	return f
}

// step runs one interval with a capacity in seconds of work per second, and returns the served ratio of the weights.
func (f *simulatedFleet) step(number int, capacity float64) float64 {
	f.now = f.now.Add(Interval)
	sent := 0.0
	now := make([][]ClassRates, len(f.arrivals))
	for i, arrivals := range f.arrivals {
		for c, rate := range arrivals {
			ratio := 1.0
			if p := f.decisions[i].AdmitRatio; p != nil {
				ratio = p[c]
			}
			now[i] = append(now[i], ClassRates{Arrived: rate, Admitted: rate * ratio, Cost: f.costs[c]})
			sent += rate * ratio * f.costs[c] / 1000
		}
	}
	servedRatio := min(1, capacity/sent)
	served, total := 0.0, 0.0
	for i := range now {
		for c := range now[i] {
			k := &now[i][c]
			k.OnTime, k.Rejected = k.Admitted*servedRatio, k.Admitted*(1-servedRatio)
			served += k.OnTime * f.weights[c]
			total += k.Arrived * f.weights[c]
		}
	}
	for i := range now {
		reported := slices.Clone(now[i])
		if f.falsify != nil {
			f.falsify(i, reported)
		}
		for k, m := range f.controllers {
			if k != i && !f.partitioned {
				m.HandleSummary(Summary{From: fmt.Sprint("c", i), Incarnation: 1, Sequence: uint64(number), Classes: reported, Level: f.decisions[i].Level}, f.now)
			}
		}
	}
	for i, m := range f.controllers {
		f.decisions[i] = m.Decide(now[i], f.now)
	}
	return served / total
}

// unevenFleet has a demand of twice the capacity of 16, of which a quarter has the weight 12 and arrives at three of twelve
// replicas.
func unevenFleet(t testing.TB) *simulatedFleet {
	arrivals := make([][]float64, 12)
	for i := range arrivals {
		arrivals[i] = []float64{100, 0}
		if i < 3 {
			arrivals[i][1] = 133.3
		}
	}
	return newSimulatedFleet(t, arrivals, []float64{20, 20}, []float64{1, 12})
}

func (f *simulatedFleet) mean(from, to int, capacity float64) float64 {
	sum := 0.0
	for n := from; n < to; n++ {
		sum += f.step(n+1, capacity)
	}
	return sum / float64(to-from)
}

// Replicas without summaries serve about half of the weight that is possible. With summaries they serve almost as much as one replica
// that sees all requests, within two seconds, also with half of the capacity, and within five seconds after it is restored.
func TestConverges(t *testing.T) {
	f := unevenFleet(t)
	settled := int(settleTime/Interval) + 1
	if before := f.mean(0, settled, 16); before > 0.55 {
		t.Fatalf("served %.3f of the weight before any replica sheds load", before)
	}
	f.mean(settled, settled+8, 16)
	if got := f.mean(settled+8, settled+48, 16); got < 0.84 { // of 0.867
		t.Errorf("served %.3f of the weight", got)
	}
	f.mean(100, 120, 8)
	if got := f.mean(120, 140, 8); got < 0.75 { // of 0.8
		t.Errorf("served %.3f of the weight at half of the capacity", got)
	}
	f.mean(140, 160, 16)
	if got := f.mean(160, 180, 16); got < 0.83 {
		t.Errorf("served %.3f of the weight with the capacity restored", got)
	}
	f.mean(180, 208, 40)
	if d := f.decisions[0]; !d.AdmitsAll() {
		t.Errorf("load is shed with enough capacity for all: %+v", d)
	}
}

// One replica with false reports costs at most 0.02 of the weights. With all partitioned off everything is admitted.
func TestFalseSummariesAndPartitions(t *testing.T) {
	baseline := unevenFleet(t)
	baseline.mean(0, 40, 16)
	want := baseline.mean(40, 120, 16)
	for name, falsify := range map[string]func(c []ClassRates){
		"reports excess arrivals":      func(c []ClassRates) { c[1].Arrived = 1e6 },
		"reports that all is served":   func(c []ClassRates) { c[1] = ClassRates{Arrived: 5000, Admitted: 5000, OnTime: 5000, Cost: 20} },
		"reports that all is rejected": func(c []ClassRates) { c[1] = ClassRates{Arrived: 5000, Admitted: 5000, Rejected: 5000, Cost: 20} },
		"reports no requests":          func(c []ClassRates) { clear(c) },
		"reports false costs":          func(c []ClassRates) { c[0].Cost, c[1].Cost = 1e-6, 1e6 },
	} {
		f := unevenFleet(t)
		f.falsify = func(replica int, c []ClassRates) {
			if replica == 11 {
				falsify(c)
			}
		}
		f.mean(0, 40, 16)
		if got := f.mean(40, 120, 16); got < want-0.02 {
			t.Errorf("a replica %s: served %.3f, %.3f without it", name, got, want)
		}
	}
	f := unevenFleet(t)
	f.mean(0, 40, 16)
	f.partitioned = true
	f.mean(40, 50, 16)
	for i, d := range f.decisions {
		if !d.AdmitsAll() || d.Replicas != 1 {
			t.Errorf("c%d, partitioned off: %+v", i, d)
		}
	}
}

// Summaries of replicas that are not members, out-of-date ones and impossible ones are ignored.
func TestIgnoredSummaries(t *testing.T) {
	m := newTestController(t, "a", []string{"a", "b"}, 1, 2)
	good := func() Summary {
		return Summary{From: "b", Incarnation: 5, Sequence: 7, Classes: []ClassRates{{Arrived: 3, Admitted: 2, Rejected: 1}, {}}}
	}
	if !m.HandleSummary(good(), start) {
		t.Fatal("a valid summary is ignored")
	}
	for name, change := range map[string]func(s *Summary){
		"itself":              func(s *Summary) { s.From = "a" },
		"not a member":        func(s *Summary) { s.From = "c" },
		"received before":     func(s *Summary) {},
		"earlier incarnation": func(s *Summary) { s.Incarnation, s.Sequence = 4, 9 },
		"too few classes":     func(s *Summary) { s.Sequence, s.Classes = 8, s.Classes[:1] },
		"not a number":        func(s *Summary) { s.Sequence, s.Classes[0].Arrived = 8, math.NaN() },
		"more admitted":       func(s *Summary) { s.Sequence, s.Classes[0].Admitted = 8, 4 },
		"more rejected":       func(s *Summary) { s.Sequence, s.Classes[0].Rejected = 8, 2.5 },
		"infinite":            func(s *Summary) { s.Sequence, s.Classes[1].Cost = 8, math.Inf(1) },
		"level too high":      func(s *Summary) { s.Sequence, s.Level = 8, 3 },
		"negative":            func(s *Summary) { s.Sequence, s.Classes[1].OnTime = 8, -1 },
		"rate too high":       func(s *Summary) { s.Sequence, s.Classes[1].Arrived = 8, 1e9 },
	} {
		s := good()
		change(&s)
		if m.HandleSummary(s, start) {
			t.Errorf("accepted: %s", name)
		}
	}
	s := good()
	s.Incarnation, s.Sequence = 6, 1
	if !m.HandleSummary(s, start) {
		t.Error("a summary of a later incarnation is ignored")
	}
	if d := m.Decide(make([]ClassRates, 2), start.Add(m.config.MaxAge+time.Millisecond)); d.Replicas != 1 {
		t.Errorf("%d replicas count after MaxAge", d.Replicas)
	}
	if _, err := NewController(Config{Name: "a", Weights: []float64{1}, MaxAge: Interval - 1, MaxMembers: 1}); err == nil {
		t.Error("an invalid configuration is accepted")
	}
}

func TestWire(t *testing.T) {
	s := Summary{From: "c1", Incarnation: 1 << 60, Sequence: 12, Level: 1.5, Classes: []ClassRates{{1, 0.5, 0.25, 0, 20}, {}, {Arrived: 1e6}}}
	b := s.Marshal("box")
	b = protowire.AppendString(protowire.AppendTag(b, 99, protowire.BytesType), "of a later program")
	pool, got, err := Unmarshal(b)
	if err != nil || pool != "box" || fmt.Sprint(got) != fmt.Sprint(s) {
		t.Errorf("%q %+v, %v", pool, got, err)
	}
	many := Summary{From: "c", Classes: make([]ClassRates, MaxClasses+1)}
	later := protowire.AppendVarint(protowire.AppendTag(s.Marshal("box"), 1, protowire.VarintType), 2)
	none := Summary{}
	for name, b := range map[string][]byte{
		"nothing": nil, "truncated": b[:25], "too many classes": many.Marshal("p"), "another version": later, "no name": none.Marshal("p"), "too long": make([]byte, 2000),
	} {
		if _, _, err := Unmarshal(b); err == nil {
			t.Errorf("decoded: %s", name)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		_, _, _ = Unmarshal(rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "bytes")) // must not panic
	})
}

func TestMeter(t *testing.T) {
	m := NewMeter(2)
	for range 8 {
		m.CountArrival(0, true)
		m.CountArrival(0, false)
		m.CountResult(0, true, false)
		m.CountResult(1, false, true)
	}
	for range windowSlots - 1 {
		m.Rotate(func(int) float64 { return 5 })
	}
	got := m.Rotate(func(int) float64 { return 5 })
	if want := []ClassRates{{Arrived: 16, Admitted: 8, Rejected: 8, Cost: 5}, {OnTime: 8, Cost: 5}}; !slices.Equal(got, want) {
		t.Errorf("%+v, want %+v", got, want)
	}
	if got = m.Rotate(func(int) float64 { return 0 }); got[0].Arrived != 0 {
		t.Errorf("%+v after a second", got)
	}
	d := Decision{AdmitRatio: []float64{0.25, 1, 0}}
	admitted := [3]int{}
	for caller := range uint64(1000) {
		for class := range admitted {
			if d.Admits(class, caller<<54) {
				admitted[class]++
			}
		}
	}
	if admitted[0] < 230 || admitted[0] > 270 || admitted[1] != 1000 || admitted[2] > 1 {
		t.Errorf("%v of 1000 callers are admitted", admitted)
	}
}
