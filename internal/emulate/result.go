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
	Worth    float64       `json:"worth"`  // of the requests, whatever comes of them
	Earned   float64       `json:"earned"` // answered in time, and of late answers the part that their class gives
	Share    float64       `json:"share"`  // earned of worth
	P50      float64       `json:"p50_ms"` // of answers, each from its try's beginning
	P95      float64       `json:"p95_ms"`
	P99      float64       `json:"p99_ms"`

	// Of the whole run:
	Attempts       int           `json:"attempts"`
	PerRequest     float64       `json:"attempts_per_request"`
	Connections    int           `json:"connections"` // opened
	Lists          int           `json:"lists"`       // given to sidecars
	Backstops      int           `json:"backstops"`   // calls that the module left unanswered
	LevelChanges   int           `json:"level_changes"`
	Overloads      int           `json:"falls"` // cold servers pushed over
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
	aims, worths, lates                                   []float64
}

// ClassResult counts the requests of a class by the end of their last try.
type ClassResult struct {
	Name    string  `json:"name"`
	Asked   int     `json:"asked"`
	InTime  int     `json:"in_time"`
	Late    int     `json:"late"`
	Refused int     `json:"refused"`
	Failed  int     `json:"failed"`
	GaveUp  int     `json:"gave_up"` // its caller left before an answer
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
	Counts bool // it came after the warmup
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
		r.aims, r.worths, r.lates = append(r.aims, c.Aim.MS()), append(r.worths, c.Worth), append(r.lates, c.Late)
	}
	return r
}

// second returns the second of a time.
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
		s.Worth += r.worths[q.Class]
	}
	if !q.Counts {
		return
	}
	r.Tries++
	if q.Number == 1 {
		c := &r.Classes[q.Class]
		c.Asked++
		c.Worth += r.worths[q.Class]
	}
}

// RecordEnd counts a try that ends. Last says that its caller does not try again.
func (r *Result) RecordEnd(q Try, answer rules.Answer, now float64, last bool) {
	r.addOpenTime(now, -1)
	took := now - q.At
	r.totalTime += took
	s := r.second(now)
	earned := 0.0
	if answer == rules.Served {
		if earned = r.worths[q.Class]; took > r.aims[q.Class] {
			earned *= r.lates[q.Class]
		}
	}
	switch {
	case answer == rules.Refused:
		s.Refused++
	case answer != rules.Served:
		s.Failed++
	case took <= r.aims[q.Class]:
		s.InTime++
	}
	s.Earned += earned
	if !q.Counts {
		return
	}
	if answer == rules.Served {
		_ = r.latencies.RecordValue(max(int64(took*1000), 1)) // fails over maxLatency: such a one is not counted
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
	case took <= r.aims[q.Class]:
		c.InTime++
	default:
		c.Late++
	}
}

// Summarize computes the totals at the end of a run.
func (r *Result) Summarize(now float64, taken uint64, checker *rules.Checker) {
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
	r.PerRequest = float64(r.Attempts) / math.Max(float64(taken), 1)
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

// WorstShare returns the least share of the worth that was earned over so many seconds in a row. Worth is earned when the response
// comes, so that a share can exceed 1 when retries succeed.
func (r *Result) WorstShare(seconds int) float64 {
	worst := math.Inf(1)
	for i := 0; i+seconds <= len(r.Seconds); i++ {
		asked, earned := 0.0, 0.0
		for _, s := range r.Seconds[i : i+seconds] {
			asked += s.Worth
			earned += s.Earned
		}
		if asked > 0 {
			worst = min(worst, earned/asked)
		}
	}
	if math.IsInf(worst, 1) {
		return r.Share
	}
	return worst
}
