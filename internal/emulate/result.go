package emulate

import (
	"fmt"
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"

	"milletmast/internal/rules"
)

// Result is the result of a run. Counts are of requests after the warmup with all their tries, unless a field says otherwise.
type Result struct {
	Scenario string        `json:"scenario"`
	Variant  string        `json:"variant,omitempty"`
	Seed     uint64        `json:"seed"`
	Classes  []ClassResult `json:"classes"`
	Asked    int           `json:"asked"`
	Tries    int           `json:"tries"`
	Worth    float64       `json:"worth"`  // priority weight of all requests
	Earned   float64       `json:"earned"` // priority weight of responses in time, and of late responses the share that their class gives
	Share    float64       `json:"share"`  // Earned divided by Worth
	P50      float64       `json:"p50_ms"` // of responses, each from the start of its try
	P95      float64       `json:"p95_ms"`
	P99      float64       `json:"p99_ms"`

	// The fields below are over the whole run, with the warm-up.
	Attempts       int           `json:"attempts"`
	PerRequest     float64       `json:"attempts_per_request"`
	Connections    int           `json:"connections"` // opened
	Lists          int           `json:"lists"`       // list updates given to sidecars
	Backstops      int           `json:"backstops"`   // calls that ended without a decision of the module
	LevelChanges   int           `json:"level_changes"`
	Overloads      int           `json:"falls"` // cold servers that failed from overload
	Violations     []string      `json:"breaks"`
	ViolationCount int           `json:"break_count"`
	Margins        rules.Margins `json:"margins"`
	Little         LittlesLaw    `json:"little"`
	Seconds        []Second      `json:"course"`
	Events         uint64        `json:"events"`
	Hash           string        `json:"hash"` // of all facts in their order: equal for equal runs

	attempts, connections, lists, backstops, levelChanges int
	start                                                 float64 // ms on the run's clock
	latencies                                             *hdrhistogram.Histogram
	last                                                  float64
	open                                                  int
	totalTime                                             float64
	latencyTargets, weights, lateShares                   []float64 // by class
}

// ClassResult counts the requests of a class by the end of their last try.
type ClassResult struct {
	Name    string  `json:"name"`
	Asked   int     `json:"asked"`
	InTime  int     `json:"in_time"`
	Late    int     `json:"late"`
	Refused int     `json:"refused"`
	Failed  int     `json:"failed"`
	GaveUp  int     `json:"gave_up"` // its caller left before a response
	Worth   float64 `json:"worth"`
	Earned  float64 `json:"earned"`
}

// LittlesLaw compares both sides of Little's law over the whole run: the mean number of open tries, and their rate times their mean
// time. They are counted independently, so that a difference is an error of the emulator.
type LittlesLaw struct {
	Inside float64 `json:"inside"`
	RateBy float64 `json:"rate_by_time"`
	area   float64
}

// Second counts one second of the run, also of the warmup.
type Second struct {
	At      float64 `json:"at_s"`
	Tries   int     `json:"tries"`
	InTime  int     `json:"in_time"`
	Refused int     `json:"refused"`
	Failed  int     `json:"failed"` // and left
	Worth   float64 `json:"worth"`
	Earned  float64 `json:"earned"`
}

// Try is one try of a request for a result. Times are in ms of the run.
type Try struct {
	At     float64
	Class  int
	Number int
	Counts bool // its request arrived after the warm-up
}

// maxLatency is the longest latency that is recorded, in µs.
const maxLatency = 3_600_000_000

// NewResult returns the result of a run that starts at a time.
func NewResult(sc *Scenario, seed uint64, start float64) *Result {
	r := &Result{
		Scenario: sc.Name, Seed: seed, start: start, last: start, latencies: hdrhistogram.New(1, maxLatency, 3), Violations: []string{},
	}
	for _, c := range sc.Pool.Classes {
		r.Classes = append(r.Classes, ClassResult{Name: c.Name})
		r.latencyTargets, r.weights, r.lateShares = append(r.latencyTargets, c.Aim.MS()), append(r.weights, c.Worth), append(r.lateShares, c.Late)
	}
	return r
}

// second returns the counts of the second that contains a time.
func (r *Result) second(at float64) *Second {
	n := max(int((at-r.start)/1000), 0)
	for len(r.Seconds) <= n {
		r.Seconds = append(r.Seconds, Second{At: float64(len(r.Seconds))})
	}
	return &r.Seconds[n]
}

// addOpenTime adds the time since the last change of the number of open tries, and changes that number.
func (r *Result) addOpenTime(now float64, change int) {
	r.Little.area += float64(r.open) * (now - r.last)
	r.last = now
	r.open += change
}

// RecordTry counts a try that starts.
func (r *Result) RecordTry(q Try) {
	r.addOpenTime(q.At, 1)
	s := r.second(q.At)
	s.Tries++
	if q.Number == 1 {
		s.Worth += r.weights[q.Class]
	}
	if !q.Counts {
		return
	}
	r.Tries++
	if q.Number == 1 {
		c := &r.Classes[q.Class]
		c.Asked++
		c.Worth += r.weights[q.Class]
	}
}

// RecordEnd counts a try that ends. Last means that its caller does not retry.
func (r *Result) RecordEnd(q Try, answer rules.Answer, now float64, last bool) {
	r.addOpenTime(now, -1)
	took := now - q.At
	r.totalTime += took
	s := r.second(now)
	earned := 0.0
	if answer == rules.Served {
		if earned = r.weights[q.Class]; took > r.latencyTargets[q.Class] {
			earned *= r.lateShares[q.Class]
		}
	}
	switch {
	case answer == rules.Refused:
		s.Refused++
	case answer != rules.Served:
		s.Failed++
	case took <= r.latencyTargets[q.Class]:
		s.InTime++
	}
	s.Earned += earned
	if !q.Counts {
		return
	}
	if answer == rules.Served {
		_ = r.latencies.RecordValue(max(int64(took*1000), 1)) // fails over maxLatency: such a latency is not counted
	}
	if !last {
		return
	}
	c := &r.Classes[q.Class]
	c.Earned += earned
	switch {
	case answer == rules.Refused:
		c.Refused++
	case answer == rules.Failed:
		c.Failed++
	case answer == 0:
		c.GaveUp++
	case took <= r.latencyTargets[q.Class]:
		c.InTime++
	default:
		c.Late++
	}
}

// Summarize computes the totals at the end of a run.
func (r *Result) Summarize(now float64, accepted uint64, checker *rules.Checker) {
	for i := range r.Classes {
		c := &r.Classes[i]
		r.Asked += c.Asked
		r.Worth += c.Worth
		r.Earned += c.Earned
	}
	r.Share = r.Earned / max(r.Worth, 1e-9)
	at := func(q float64) float64 { return float64(r.latencies.ValueAtQuantile(q)) / 1000 }
	if r.latencies.TotalCount() > 0 {
		r.P50, r.P95, r.P99 = at(50), at(95), at(99)
	}
	r.PerRequest = float64(r.Attempts) / math.Max(float64(accepted), 1)
	for _, b := range checker.Violations {
		b.At -= r.start
		r.Violations = append(r.Violations, b.String())
	}
	r.ViolationCount, r.Margins = checker.ViolationCount, checker.Margins
	r.addOpenTime(now, 0)
	if span := now - r.start; span > 0 {
		r.Little.Inside, r.Little.RateBy = r.Little.area/span, r.totalTime/span
	}
}

// finish computes the totals of an emulated run.
func (r *Result) finish(w *simulation) {
	r.Attempts, r.Connections, r.Lists, r.Backstops, r.LevelChanges = r.attempts, r.connections, r.lists, r.backstops, r.levelChanges
	r.Summarize(w.now(), w.requestCount, w.checker)
	r.Events, r.Hash = w.clock.executed, fmt.Sprintf("%016x", w.hash.Sum64())
}

// WorstShare returns the lowest share of the priority weight that was earned over any window of some seconds. The weight counts as
// offered at the first try and as earned at the response, so that a share can exceed 1 when retries succeed.
func (r *Result) WorstShare(seconds int) float64 {
	worst := math.Inf(1)
	for i := 0; i+seconds <= len(r.Seconds); i++ {
		offered, earned := 0.0, 0.0
		for _, s := range r.Seconds[i : i+seconds] {
			offered += s.Worth
			earned += s.Earned
		}
		if offered > 0 {
			worst = min(worst, earned/offered)
		}
	}
	if math.IsInf(worst, 1) {
		return r.Share
	}
	return worst
}
