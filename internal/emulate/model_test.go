package emulate

import (
	"math"
	"slices"
	"testing"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// measureWait sends a Poisson process of work directly to a server, and returns the mean time for which requests wait for a core.
func measureWait(seed uint64, spec *ServerSpec, rate float64, f workShape, mean float64, n int) float64 {
	c := &clock{}
	s := &server{spec: spec, clock: c, speed: 1, speedFactor: 1, started: -1, onOverload: func() {}}
	r := randomStreams(seed).stream("feed")
	waited, counted, at := 0.0, 0, 0.0
	for i := range n {
		at += r.ExpFloat64() * 1000 / rate
		work := mean * f(r.Float64())
		c.schedule(at, func() {
			arrivedAt := c.now
			s.accept(&job{work: work, onEnd: func(jobOutcome) {
				if i > n/10 {
					waited += c.now - arrivedAt - work
					counted++
				}
			}})
		})
	}
	for c.next() < math.Inf(1) {
		c.step()
	}
	return waited / float64(counted)
}

// erlangC returns the share of the requests that wait for one of c cores at an offered load of a cores.
func erlangC(c int, a float64) float64 {
	b := 1.0
	for k := 1; k <= c; k++ {
		b = a * b / (float64(k) + a*b)
	}
	rho := a / float64(c)
	return b / (1 - rho + rho*b)
}

// The mean wait in the model of a server must agree with queueing theory: M/M/1, M/M/c and M/G/1 (Pollaczek and Khinchine), within the
// 99.9% interval of independent runs.
func TestServerAgainstTheory(t *testing.T) {
	for _, c := range []struct {
		name      string
		cores     int
		rate      float64
		shape     string
		deviation float64
		want      float64 // ms
	}{
		{"M/M/1 at 0.7", 1, 70, "exponential", 0, 0.7 / 0.3 * 10},
		{"M/M/4 at 0.8", 4, 320, "exponential", 0, erlangC(4, 3.2) * 10 / (4 * 0.2)},
		{"M/M/16 at 0.9", 16, 1440, "exponential", 0, erlangC(16, 14.4) * 10 / (16 * 0.1)},
		{"M/D/1 at 0.6", 1, 60, "fixed", 0, 0.6 / 0.4 * 10 / 2},
		{"M/G/1 lognormal at 0.6", 1, 60, "lognormal", 1.5, 0.6 / 0.4 * 10 * (1 + 1.5*1.5) / 2},
		{"M/G/1 uniform at 0.5", 1, 50, "uniform", 0, 0.5 / (1 - 0.5) * 10 * (1 + 1./3) / 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f, ok := newWorkShape(c.shape, c.deviation)
			if !ok {
				t.Fatal("no such shape")
			}
			const runs = 16
			var means []float64
			for i := range uint64(runs) {
				means = append(means, measureWait(i+1, &ServerSpec{Cores: c.cores, Queue: 1 << 30}, c.rate, f, 10, 30_000))
			}
			mean, deviation := stat.MeanStdDev(means, nil)
			half := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: runs - 1}.Quantile(0.9995) * deviation / math.Sqrt(runs)
			if math.Abs(mean-c.want) > half || half > 0.2*c.want {
				t.Errorf("mean wait of %.3f ms ± %.3f, want %.3f", mean, half, c.want)
			}
		})
	}
}

// A request that finds the queue full must be rejected, and a queued one whose client has left must not be started.
func TestServerQueue(t *testing.T) {
	c := &clock{}
	s := &server{spec: &ServerSpec{Cores: 1, Queue: 2}, clock: c, speed: 1, speedFactor: 1, started: -1, onOverload: func() {}}
	var outcomes []jobOutcome
	var at []float64
	jobs := make([]*job, 4)
	for i := range jobs {
		jobs[i] = &job{work: 10, onEnd: func(o jobOutcome) { outcomes, at = append(outcomes, o), append(at, c.now) }}
		s.accept(jobs[i])
	}
	jobs[1].abandoned = true
	for c.next() < math.Inf(1) {
		c.step()
	}
	if !slices.Equal(outcomes, []jobOutcome{jobFull, jobDone, jobDone}) || at[2] != 20 {
		t.Errorf("outcomes %v at %v", outcomes, at)
	}
	if s.load() != 0 {
		t.Errorf("%d requests are left", s.load())
	}
}

// A server that crashes must report each waiting and running job as lost exactly once, also after it has restarted.
func TestServerEnds(t *testing.T) {
	c := &clock{}
	s := &server{spec: &ServerSpec{Cores: 2, Queue: 9, ColdFrom: 0.5, Ramp: Duration(1e9)}, clock: c, speed: 1, speedFactor: 1, started: -1, onOverload: func() {}}
	outcomes := map[int][]jobOutcome{}
	for i := range 5 {
		s.accept(&job{work: 10, onEnd: func(o jobOutcome) { outcomes[i] = append(outcomes[i], o) }})
	}
	c.schedule(5, s.crash)
	c.schedule(6, s.restart)
	c.schedule(7, func() { s.accept(&job{work: 10, onEnd: func(o jobOutcome) { outcomes[5] = append(outcomes[5], o) }}) })
	for c.next() < math.Inf(1) {
		c.step()
	}
	for i := range 5 {
		if !slices.Equal(outcomes[i], []jobOutcome{jobLost}) {
			t.Errorf("request %d: %v", i, outcomes[i])
		}
	}
	if !slices.Equal(outcomes[5], []jobOutcome{jobDone}) || c.now < 7+10/0.51 {
		t.Errorf("after the restart: %v at %v", outcomes[5], c.now)
	}
}

// Events at the same time must run in the order in which they were scheduled, and events in the past must run at once.
func TestClockOrder(t *testing.T) {
	c := &clock{}
	const n = 5000
	var order []int
	for i := range n {
		c.schedule(float64(10-i%2*5), func() { order = append(order, i) })
	}
	c.schedule(7, func() {
		c.schedule(3, func() { order = append(order, -1) })
		c.after(math.NaN(), func() { order = append(order, -2) })
		c.schedule(10, func() { order = append(order, n) })
	})
	for c.next() < math.Inf(1) {
		c.step()
	}
	var want []int
	for i := 1; i < n; i += 2 {
		want = append(want, i)
	}
	want = append(want, -1, -2)
	for i := 0; i < n; i += 2 {
		want = append(want, i)
	}
	if want = append(want, n); !slices.Equal(order, want) {
		t.Errorf("%d events in the wrong order: %v ...", len(order), order[:10])
	}
}

// Each distribution of work must have the mean 1.
func TestShapes(t *testing.T) {
	for _, name := range []string{"fixed", "exponential", "lognormal", "uniform"} {
		f, _ := newWorkShape(name, 1.2)
		sum := 0.0
		const n = 200_000
		for i := range n {
			sum += f((float64(i) + 0.5) / n)
		}
		if sum/n < 0.995 || sum/n > 1.005 {
			t.Errorf("%s: mean %v", name, sum/n)
		}
	}
}
