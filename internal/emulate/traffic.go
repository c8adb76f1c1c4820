package emulate

import (
	"fmt"
	"math"
	"math/rand/v2"

	"milletmast/internal/degradation"
	"milletmast/internal/rules"
)

// Caller is one of the callers.
type Caller struct {
	Hash     uint64 // hash of its name, by which levels choose callers to shed
	Behavior *CallerBehavior
	Home     int // rank of its home sidecar
}

// Arrival is one request of a caller.
type Arrival struct {
	Number uint64  // from 1
	At     float64 // ms from the start, of the first try
	Class  int
	Caller *Caller
	Home   int     // rank of the sidecar at which it enters
	Work   float64 // ms on one core of a server of speed 1
}

// Traffic generates the requests of a scenario: the same ones for the same seed, in the emulator and in drills.
type Traffic struct {
	scenario         *Scenario
	random           randomStreams
	arrivals         *rand.Rand
	at, maxRate      float64
	count            uint64
	callers          []Caller
	shapes           []workShape
	cumulativeShares []float64 // for each class the sum of the parts up to it
	meanWork         []float64 // ms
	entries          [][]Move  // sidecars at which requests enter, by class; the first entry applies from the start
}

// NewTraffic returns the traffic of a scenario and a seed.
func NewTraffic(sc *Scenario, seed uint64) *Traffic {
	t := &Traffic{scenario: sc, random: newStreams(seed), maxRate: 1}
	t.arrivals = t.random.stream("arrivals")
	byClass := map[string]*Work{}
	for i := range sc.Work {
		byClass[sc.Work[i].Class] = &sc.Work[i]
	}
	sum := 0.0
	for _, c := range sc.Pool.Classes {
		k := byClass[c.Name]
		f, _ := newWorkShape(k.Shape, k.Deviation)
		sum += k.Part
		t.shapes = append(t.shapes, f)
		t.cumulativeShares = append(t.cumulativeShares, sum)
		t.meanWork = append(t.meanWork, k.Mean.MS())
		t.entries = append(t.entries, append([]Move{{Frontends: k.Frontends}}, k.Moves...))
	}
	for _, p := range sc.Demand.Curve {
		t.maxRate = max(t.maxRate, p.Times)
	}
	t.drawCallers()
	return t
}

// drawCallers draws the callers, each with a behavior and a sidecar.
func (t *Traffic) drawCallers() {
	r := t.random.stream("callers")
	behaviors := t.scenario.Behaviors
	if len(behaviors) == 0 {
		defaults := CallerBehavior{}
		defaults.SetDefaults()
		behaviors = []CallerBehavior{defaults}
	}
	homes, total := make([]float64, t.scenario.Copies.Count), 0.0 // for each sidecar the sum of the shares of callers up to it
	for i := range homes {
		total += math.Pow(float64(i+1), -t.scenario.Copies.Skew)
		homes[i] = total
	}
	sum := 0.0
	for i := range behaviors {
		sum += behaviors[i].Share
	}
	t.callers = make([]Caller, t.scenario.Demand.Callers)
	for i := range t.callers {
		u := r.Float64() * sum
		n := 0
		for u >= behaviors[n].Share && n < len(behaviors)-1 {
			u -= behaviors[n].Share
			n++
		}
		draw, home := r.Float64()*total, 0
		for home < len(homes)-1 && homes[home] <= draw {
			home++
		}
		t.callers[i] = Caller{Hash: degradation.HashCaller(fmt.Sprint("c", i)), Behavior: &behaviors[n], Home: home}
	}
}

// Next returns the next request; false after the last one.
func (t *Traffic) Next() (Arrival, bool) {
	d := &t.scenario.Demand
	for {
		t.at += t.arrivals.ExpFloat64() * 1000 / (d.Rate * t.maxRate)
		accept, class, caller := t.arrivals.Float64(), t.arrivals.Float64(), t.arrivals.IntN(len(t.callers))
		if t.at >= t.scenario.For.MS() {
			return Arrival{}, false
		}
		if accept*t.maxRate >= d.RateFactor(t.at) {
			continue
		}
		t.count++
		a := Arrival{Number: t.count, At: t.at, Class: t.classAt(class), Caller: &t.callers[caller]}
		a.Work = t.meanWork[a.Class] * t.shapes[a.Class](t.random.uniform(drawWork, a.Number, 0))
		a.Home = t.entryFor(a.Caller, a.Class)
		return a, true
	}
}

// entryFor returns the sidecar at which a request of a class enters now.
func (t *Traffic) entryFor(c *Caller, class int) int {
	var now Move
	for _, m := range t.entries[class] {
		if t.at >= m.At.MS() {
			now = m
		}
	}
	if now.Frontends == 0 {
		return c.Home
	}
	return (now.First + c.Home%now.Frontends) % t.scenario.Copies.Count
}

// classAt returns the class for a uniform number in [0, 1).
func (t *Traffic) classAt(u float64) int {
	u *= t.cumulativeShares[len(t.cumulativeShares)-1]
	for i, sum := range t.cumulativeShares {
		if u < sum {
			return i
		}
	}
	return len(t.cumulativeShares) - 1
}

// LeavesEarly reports whether a client abandons a try before its response, and after how many ms.
func (t *Traffic) LeavesEarly(a *Arrival, try int) (float64, bool) {
	leave := a.Caller.Behavior.Leave
	if leave <= 0 || t.random.uniform(drawLeave, a.Number, uint64(try)) >= leave {
		return 0, false
	}
	u := t.random.uniform(drawLeave, a.Number, uint64(try)+1<<32)
	return u * t.scenario.Pool.Classes[a.Class].GiveUp.MS(), true
}

// RetryAfter reports whether a caller retries after a try that ended with an answer (0 for none), and after how many ms. After is the
// Retry-After of a rejection, in ms.
func (t *Traffic) RetryAfter(a *Arrival, try int, answer rules.Answer, after float64) (wait float64, again bool) {
	behavior := a.Caller.Behavior
	if answer == rules.Served || try >= behavior.Tries || behavior.Kind == behaviorNone {
		return 0, false
	}
	if answer != rules.Refused && t.scenario.Pool.Classes[a.Class].Effect != "safe" && !behavior.Unsafe {
		return 0, false // it may have run
	}
	u := t.random.uniform(drawRetry, a.Number, uint64(try))
	wait = behavior.Wait.MS()
	switch behavior.Kind {
	case behaviorBackoff:
		wait *= u * math.Pow(2, float64(try-1))
	case behaviorRetryAfter:
		if answer == rules.Refused {
			wait = after * (1 + u/2)
		}
	}
	return wait, true
}

// InnerWork returns the work in ms of one of the calls that a request makes to the second tier.
func (t *Traffic) InnerWork(in *Inner, number uint64, call int) float64 {
	for i := range in.Work {
		if w := &in.Work[i]; w.Class == in.Calls[call] {
			f, _ := newWorkShape(w.Shape, w.Deviation)
			return w.Mean.MS() * f(t.random.uniform(drawInnerWork, number, uint64(call)))
		}
	}
	return 0
}

// RateFactor returns the factor of the rate at a time in ms from the start.
func (d *Demand) RateFactor(at float64) float64 {
	if len(d.Curve) == 0 {
		return 1
	}
	last := Point{Times: d.Curve[0].Times}
	for _, p := range d.Curve {
		if from, to := last.At.MS(), p.At.MS(); at < to {
			return last.Times + (p.Times-last.Times)*(at-from)/max(to-from, 1e-9)
		}
		last = p
	}
	return last.Times
}
