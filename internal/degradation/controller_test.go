package degradation

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"milletmast/internal/namehash"
)

var epoch = time.Date(2026, 11, 1, 0, 0, 0, 0, time.UTC)

const tick = 100 * time.Millisecond

// ladder returns the ladder of most tests: two levels for the classes 0 (highest weight), 1 and 2.
func ladder() Ladder {
	return Ladder{
		{
			Name:        "lean",
			EnterIf:     []Condition{{Signal: QueueTime, Bound: 0.2}, {Signal: UsableRatio, Below: true, Bound: 0.6}},
			EnterAfter:  300 * time.Millisecond,
			LeaveAfter:  time.Second,
			Hysteresis:  0.5,
			MinTime:     4 * time.Second,
			MinTimeOff:  2 * time.Second,
			RestoreTime: 2 * time.Second,
			Shedding:    []ShedRule{{Class: 1, Share: 0.5}},
			MaxAttempts: 3,
		},
		{
			Name: "essential", EnterIf: []Condition{{Signal: RejectedRatio, Bound: 0.3}}, EnterAfter: 200 * time.Millisecond,
			LeaveAfter: time.Second, Hysteresis: 0.5, MinTime: 4 * time.Second, MinTimeOff: 2 * time.Second, RestoreTime: 4 * time.Second,
			Shedding: []ShedRule{{Class: 1, Share: 1}, {Class: 2, Share: 0.6}}, MaxAttempts: 1, DeadlineShare: 0.5,
		},
	}
}

// testController is a controller with a clock.
type testController struct {
	*Controller
	clock  time.Time
	demand []float64
}

func newTestController(l Ladder) *testController {
	return &testController{NewController(l, epoch), epoch, []float64{10, 5, 5}}
}

// signalsWith returns values of some signals; the others are those of a pool without load.
func signalsWith(pairs ...any) SignalValues {
	r := SignalValues{EarnedRatio: 1, UsableRatio: 1, WarmRatio: 1}
	for i := 0; i < len(pairs); i += 2 {
		switch v := pairs[i+1].(type) {
		case int:
			r[pairs[i].(Signal)] = float64(v)
		case float64:
			r[pairs[i].(Signal)] = v
		}
	}
	return r
}

// hold calls Update with the same values for a time.
func (r *testController) hold(d time.Duration, s SignalValues) {
	for end := r.clock.Add(d); r.clock.Before(end); {
		r.clock = r.clock.Add(tick)
		r.Update(r.clock, s, r.demand)
	}
}

func (r *testController) level() string { return r.Status(3).Level }

// Each case is a list of steps of a duration, signals and a level: the signals are held for the duration, and the level is checked at its end.
func TestLadderByScript(t *testing.T) {
	idle, waiting, rejected := signalsWith(), signalsWith(QueueTime, 0.5), signalsWith(RejectedRatio, 0.5)
	for _, k := range []struct {
		name  string
		steps []any // duration in ms, signals, level
	}{
		{"a short burst is ignored", []any{200, waiting, Normal, 500, idle, Normal, 200, waiting, Normal}},
		{"left after MinTime and LeaveAfter", []any{400, waiting, "lean", 3600, idle, "lean", 600, idle, Normal}},
		{"a higher level is reached step by step", []any{200, rejected, Normal, 200, rejected, "essential", 4000, idle, "lean", 900, idle, "lean", 400, idle, Normal}},
		{"hysteresis keeps the level", []any{400, waiting, "lean", 8000, signalsWith(QueueTime, 0.15), "lean", 2000, signalsWith(QueueTime, 0.09), Normal}},
		{"an interruption restarts LeaveAfter", []any{400, waiting, "lean", 4500, waiting, "lean", 800, idle, "lean", 200, waiting, "lean", 800, idle, "lean", 300, idle, Normal}},
		{"not entered again before MinTimeOff", []any{400, waiting, "lean", 4300, idle, Normal, 1500, waiting, Normal, 700, waiting, "lean"}},
		{"one condition is enough to enter", []any{400, signalsWith(UsableRatio, 0.5), "lean", 6000, signalsWith(UsableRatio, 0.7), "lean", 1200, signalsWith(UsableRatio, 0.85), Normal}},
		{"left without any signals", []any{400, waiting, "lean", 8000, NoSignals(), Normal}},
		{"a missing signal keeps its value until signalTimeout", []any{400, signalsWith(QueueTime, 0.5), "lean", 4000, signalsWith(QueueTime, 0.5), "lean",
			1500, signalsWith(QueueTime, math.NaN()), "lean", 1800, signalsWith(QueueTime, math.NaN()), Normal}},
	} {
		t.Run(k.name, func(t *testing.T) {
			r := newTestController(ladder())
			for i := 0; i < len(k.steps); i += 3 {
				r.hold(time.Duration(k.steps[i].(int))*time.Millisecond, k.steps[i+1].(SignalValues))
				if got := r.level(); got != k.steps[i+2] {
					t.Fatalf("step %d: level %s, want %s", i/3, got, k.steps[i+2])
				}
			}
		})
	}
}

// A level that is entered again soon after it was left is kept for twice as long each time, up to a limit and until it has not
// been entered for long.
func TestMinTimeBackoff(t *testing.T) {
	r := newTestController(ladder())
	var held []time.Duration
	for range 5 {
		for r.level() == Normal {
			r.hold(tick, signalsWith(QueueTime, 0.5))
		}
		from := r.clock
		for r.level() != Normal {
			r.hold(tick, signalsWith())
		}
		held = append(held, r.clock.Sub(from).Round(time.Second))
	}
	if fmt.Sprint(held) != "[4s 8s 16s 32s 32s]" {
		t.Errorf("held for %v", held)
	}
	r.hold(5*32*time.Second, signalsWith())
	r.hold(400*time.Millisecond, signalsWith(QueueTime, 0.5))
	r.hold(4500*time.Millisecond, signalsWith())
	if r.level() != Normal {
		t.Error("the minimum time is still longer after a long time at normal")
	}
}

// Signals that oscillate with the period of the minimum time, or around a threshold, cause at most MaxChanges.
func TestOscillatingSignals(t *testing.T) {
	for name, signal := range map[string]func(n int) float64{
		"sawtooth":       func(n int) float64 { return 0.4 * float64(n%40) / 40 },
		"square":         func(n int) float64 { return float64(n / 20 % 2) },
		"noise":          func(n int) float64 { return 0.2 + 0.1*(float64(namehash.Mix(uint64(n))%1000)/500-1) },
		"every tick":     func(n int) float64 { return float64(n % 2) },
		"just over, off": func(n int) float64 { return 0.0999 + 0.11*float64(n/50%2) },
	} {
		r := newTestController(ladder())
		var at []time.Time
		for n := range 36_000 { // an hour
			r.clock = r.clock.Add(tick)
			if r.Update(r.clock, signalsWith(QueueTime, signal(n), RejectedRatio, signal(n)), r.demand) {
				at = append(at, r.clock)
			}
		}
		checkMaxChanges(t, name, ladder(), at)
	}
}

// checkMaxChanges checks that times of changes respect MaxChanges in windows of many lengths.
func checkMaxChanges(t interface{ Errorf(string, ...any) }, name string, l Ladder, at []time.Time) {
	for _, w := range []time.Duration{0, time.Second, 3 * time.Second, 6 * time.Second, 10 * time.Second, time.Minute, 10 * time.Minute} {
		for i, j := 0, 0; i < len(at); i++ {
			for ; j < len(at) && at[j].Sub(at[i]) <= w; j++ {
			}
			if j-i > l.MaxChanges(w) {
				t.Errorf("%s: %d changes within %v, at most %d", name, j-i, w, l.MaxChanges(w))
				return
			}
		}
	}
}

func TestMaxChanges(t *testing.T) {
	l := ladder()[:1] // 4 s and 2 s
	for w, want := range map[time.Duration]int{0: 1, 1999 * time.Millisecond: 1, 2 * time.Second: 2, 5 * time.Second: 2, 6 * time.Second: 3, 8 * time.Second: 4, time.Minute: 21} {
		if got := l.MaxChanges(w); got != want {
			t.Errorf("%v: %d, want %d", w, got, want)
		}
	}
}

// While servers warm up, shed requests are admitted again no faster than the warm capacity grows.
func TestRestoreFollowsWarmup(t *testing.T) {
	r := newTestController(ladder())
	r.hold(time.Second, signalsWith(RejectedRatio, 0.9, UsableRatio, 0.5))
	for r.level() == "essential" {
		r.hold(tick, signalsWith(WarmRatio, 0.4))
	}
	last := 1.0
	for n := range 200 {
		warm := min(0.4+0.005*float64(n), 1)
		r.hold(tick, signalsWith(WarmRatio, warm))
		share := 0.0
		for _, s := range r.Status(3).Shedding {
			if s.Class == 2 {
				share = s.Share
			}
		}
		if share > last+1e-9 {
			t.Fatalf("the share of class 2 rises from %v to %v", last, share)
		}
		if restored := 1 - share/0.6; restored > max(warm, float64(n+2)*0.1/16)+1e-9 && warm < warmEnough {
			t.Fatalf("%v of the callers are restored with %v of the capacity warm", restored, warm)
		}
		last = share
	}
	if last != 0 {
		t.Errorf("%v are shed in the end", last)
	}
	// Servers that never warm up delay restoring to at most maxRestoreFactor times RestoreTime.
	r = newTestController(ladder())
	r.hold(400*time.Millisecond, signalsWith(QueueTime, 1))
	for r.level() != Normal {
		r.hold(tick, signalsWith(WarmRatio, 0))
	}
	r.hold(maxRestoreFactor*2*time.Second-200*time.Millisecond, signalsWith(WarmRatio, 0))
	if s := r.Status(3); len(s.Shedding) == 0 || s.Restored >= 1 {
		t.Errorf("everything is restored without a warm server: %+v", s)
	}
	r.hold(300*time.Millisecond, signalsWith(WarmRatio, 0))
	if s := r.Status(3); len(s.Shedding) != 0 || s.Restored != 1 {
		t.Errorf("not everything is restored: %+v", s)
	}
}

// The same callers stay shed: those of a lower ratio are among those of a higher one.
func TestSameCallersAreShed(t *testing.T) {
	r := newTestController(ladder())
	r.hold(400*time.Millisecond, signalsWith(QueueTime, 0.5))
	const n = 20_000
	first := map[int]bool{}
	for i := range n {
		if r.Admit(1, HashCaller(fmt.Sprint("10.0.", i/250, ".", i%250))).Shed != nil {
			first[i] = true
		}
		if r.Admit(0, uint64(i)<<40).Shed != nil || r.Admit(2, uint64(i)<<40).Shed != nil {
			t.Fatal("another class is shed")
		}
	}
	if ratio := float64(len(first)) / n; math.Abs(ratio-0.5) > 0.01 {
		t.Errorf("the shed ratio is %v", ratio)
	}
	shed := func() (out map[int]bool) {
		out = map[int]bool{}
		for i := range n {
			if r.Admit(1, HashCaller(fmt.Sprint("10.0.", i/250, ".", i%250))).Shed != nil {
				out[i] = true
			}
		}
		return out
	}
	for i := range shed() {
		if !first[i] {
			t.Fatalf("caller %d is shed only in the second round", i)
		}
	}
	for before := first; r.level() != Normal || len(before) > 0; {
		r.hold(tick, signalsWith())
		now := shed()
		for i := range now {
			if !before[i] {
				t.Fatalf("caller %d is shed again while the share falls", i)
			}
		}
		before = now
	}
	if v := r.Admit(1, 0); v.Shed != nil || v.MaxAttempts != 0 || v.DeadlineShare != 1 {
		t.Errorf("at the normal level %+v", v)
	}
	r.hold(500*time.Millisecond, signalsWith(RejectedRatio, 0.5))
	if v := r.Admit(0, 0); v.Shed != nil || v.MaxAttempts != 1 || v.DeadlineShare != 0.5 {
		t.Errorf("at the top level %+v", v)
	}
}

// The only class with demand is not shed, as there is no other one to protect.
func TestSingleClassIsNotShed(t *testing.T) {
	r := newTestController(ladder())
	r.demand = []float64{0, 7, 0}
	r.hold(600*time.Millisecond, signalsWith(RejectedRatio, 0.5))
	if s := r.Status(3); s.Level != "essential" || len(s.Shedding) != 0 || r.Admit(1, 0).Shed != nil {
		t.Errorf("%+v", s)
	}
	r.demand = []float64{0.2, 7, 0} // little demand to protect, so little is shed
	r.hold(tick, signalsWith(RejectedRatio, 0.5))
	if s := r.Status(3); len(s.Shedding) != 2 || s.Shedding[0].Share < 0.2 || s.Shedding[0].Share > 0.3 {
		t.Errorf("%+v", s.Shedding)
	}
}

func TestPin(t *testing.T) {
	r := newTestController(ladder())
	if err := r.Pin("none", r.clock, r.clock.Add(time.Minute)); err == nil || !strings.Contains(err.Error(), "none") {
		t.Errorf("%v", err)
	}
	if err := r.Pin("essential", r.clock, r.clock.Add(10*time.Second)); err != nil {
		t.Fatal(err)
	}
	r.hold(9900*time.Millisecond, signalsWith())
	if s := r.Status(3); s.Level != "essential" || s.By != ByOperator || s.PinnedUntil.IsZero() || len(s.Shedding) != 2 {
		t.Errorf("pinned: %+v", s)
	}
	// The pin ends during an overload: the level stays, as its conditions are met.
	r.hold(time.Second, signalsWith(RejectedRatio, 0.5))
	if s := r.Status(3); s.Level != "essential" || !s.PinnedUntil.IsZero() || s.ChangeCount != 1 {
		t.Errorf("after the pin: %+v", s)
	}
	// Normal is pinned during an overload: the level is normal until the pin ends, and then rises step by step.
	if err := r.Pin(Normal, r.clock, r.clock.Add(5*time.Second)); err != nil {
		t.Fatal(err)
	}
	r.hold(4900*time.Millisecond, signalsWith(RejectedRatio, 0.5))
	if s := r.Status(3); s.Level != Normal {
		t.Errorf("pinned: %+v", s)
	}
	r.hold(400*time.Millisecond, signalsWith(RejectedRatio, 0.5))
	if s := r.Status(3); s.Level != "essential" || s.By != BySignals {
		t.Errorf("after the pin: %+v", s)
	}
	// Unpinned without load: MinTime counts from the pin.
	if err := r.Pin("essential", r.clock, r.clock.Add(time.Hour)); err != nil {
		t.Fatal(err)
	}
	r.hold(8*time.Second, signalsWith())
	r.Unpin(r.clock)
	r.hold(200*time.Millisecond, signalsWith())
	if s := r.Status(3); s.Level != "lean" {
		t.Errorf("after Unpin: %+v", s)
	}
}

func TestSetLadder(t *testing.T) {
	atTopLevel := func() *testController {
		r := newTestController(ladder())
		r.hold(600*time.Millisecond, signalsWith(RejectedRatio, 0.5))
		if r.level() != "essential" {
			t.Fatalf("level %s, want essential", r.level())
		}
		return r
	}
	renamed, moved := ladder(), append(ladder(), ladder()[1])
	renamed[1].Name = "plan-save-only"
	moved[1].Name, moved[1].MaxAttempts, moved[1].DeadlineShare = "half", 2, 1
	for _, k := range []struct {
		name  string
		to    Ladder
		level string
		count uint64
	}{
		{"the same", ladder(), "essential", 2},
		{"renamed", renamed, "plan-save-only", 3},
		{"moved", moved, "essential", 2},
		{"removed", ladder()[:1], "lean", 3},
		{"the mildest removed", ladder()[1:], "essential", 2},
		{"all removed", nil, Normal, 3},
	} {
		r := atTopLevel()
		r.SetLadder(k.to, r.clock)
		if s := r.Status(3); s.Level != k.level || s.ChangeCount != k.count {
			t.Errorf("%s: %s after %d changes", k.name, s.Level, s.ChangeCount)
		}
		r.hold(200*time.Millisecond, signalsWith(RejectedRatio, 0.5)) // the new ladder is usable
		r.hold(time.Minute, signalsWith())
		if s := r.Status(3); s.Level != Normal || len(s.Shedding) != 0 {
			t.Errorf("%s: the level does not return to normal: %+v", k.name, s)
		}
	}
	// A reload keeps the times of the levels that stay: it neither restarts MinTime nor shortens MinTimeOff.
	r := atTopLevel()
	r.hold(4200*time.Millisecond, signalsWith(RejectedRatio, 0.5))
	r.SetLadder(ladder(), r.clock)
	r.hold(1200*time.Millisecond, signalsWith())
	if r.level() == "essential" {
		t.Error("the reload restarts MinTime")
	}
	r = atTopLevel()
	for r.level() != Normal {
		r.hold(tick, signalsWith())
	}
	r.SetLadder(ladder(), r.clock)
	r.hold(1500*time.Millisecond, signalsWith(RejectedRatio, 0.5))
	if r.level() != Normal {
		t.Error("the reload shortens MinTimeOff")
	}
	// A clone is independent of the original.
	c := atTopLevel()
	d := c.Clone()
	d.SetLadder(nil, c.clock)
	if c.level() != "essential" || d.Status(3).Level != Normal {
		t.Error("a clone shares state with its original")
	}
}

// Time that goes back is ignored, and a condition does not count as met during a stall.
func TestTimeJumps(t *testing.T) {
	r := newTestController(ladder())
	r.Update(epoch.Add(tick), signalsWith(QueueTime, 1), nil)
	r.Update(epoch.Add(-time.Hour), signalsWith(QueueTime, 1), nil)
	if s := r.Status(3); s.Level != Normal {
		t.Errorf("time goes back: %s", s.Level)
	}
	r.Update(epoch.Add(24*time.Hour), signalsWith(QueueTime, 1), nil)
	if s := r.Status(3); s.Level != "lean" {
		t.Errorf("a day later: %s", s.Level)
	}
	r.Update(epoch.Add(48*time.Hour), signalsWith(), nil)
	if s := r.Status(3); s.Level != "lean" {
		t.Errorf("idle at one update only: %s", s.Level)
	}
	r.Update(epoch.Add(48*time.Hour+2*time.Second), signalsWith(), nil)
	if s := r.Status(3); s.Level != Normal {
		t.Errorf("idle for LeaveAfter: %s", s.Level)
	}
}

func TestStatus(t *testing.T) {
	r := newTestController(ladder())
	r.hold(600*time.Millisecond, signalsWith(RejectedRatio, 0.5))
	s := r.Status(3)
	if !strings.Contains(s.Reason, "refused > 0.3, is 0.5") || !strings.Contains(s.BlockedBy, "refused < 0.15, is 0.5") ||
		!s.EarliestLeave.After(r.clock.Add(3*time.Second)) {
		t.Errorf("%+v", s)
	}
	r.hold(3*time.Second, signalsWith())
	if s := r.Status(3); s.BlockedBy != "" || !s.EarliestLeave.Equal(s.Since.Add(4*time.Second)) {
		t.Errorf("earliest leave %v, since %v, blocked by %q", s.EarliestLeave, s.Since, s.BlockedBy)
	}
	for range 40 {
		r.hold(time.Second, signalsWith(RejectedRatio, 0.5))
		r.hold(time.Minute, signalsWith())
	}
	if s := r.Status(3); len(s.Changes) != maxChangesKept || s.ChangeCount < 100 || s.Changes[maxChangesKept-1].To != Normal || !s.EarliestLeave.IsZero() {
		t.Errorf("%d changes kept of %d", len(s.Changes), s.ChangeCount)
	}
}

func drawLadder(t *rapid.T) Ladder {
	millis := func(name string, from, to int) time.Duration {
		return time.Duration(rapid.IntRange(from, to).Draw(t, name)) * time.Millisecond
	}
	var l Ladder
	share := 0.0
	for i := range rapid.IntRange(1, 4).Draw(t, "levels") {
		v := Level{
			Name:        fmt.Sprint("l", i),
			EnterAfter:  millis("for", 0, 2000),
			LeaveAfter:  millis("calm", 0, 3000),
			Hysteresis:  rapid.Float64Range(0.05, 0.95).Draw(t, "band"),
			MinTime:     millis("least", 100, 8000),
			MinTimeOff:  millis("off", 100, 8000),
			RestoreTime: millis("ramp", 0, 5000),
		}
		for range rapid.IntRange(1, 3).Draw(t, "conditions") {
			c := Condition{
				Signal: Signal(rapid.IntRange(0, int(SignalCount)-1).Draw(t, "signal")),
				Bound:  rapid.Float64Range(0.05, 0.95).Draw(t, "bound"),
			}
			c.Below = c.Signal.isShare() && c.Signal >= EarnedRatio
			v.EnterIf = append(v.EnterIf, c)
		}
		share = min(1, share+rapid.Float64Range(0.01, 0.5).Draw(t, "share"))
		v.Shedding = []ShedRule{{Class: 1, Share: share}}
		l = append(l, v)
	}
	if errs := l.Validate(3); len(errs) > 0 {
		t.Fatalf("%v", errs)
	}
	return l
}

// With random ladders and signals, changes stay within MaxChanges and shed ratios within 0 and 1. Once the pool is idle or has no signals,
// every level is left and every class restored within a time that follows from the ladder.
func TestRandomSignals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := drawLadder(t)
		r := newTestController(l)
		var at []time.Time
		step := func(d time.Duration, s SignalValues) {
			r.clock = r.clock.Add(d)
			if r.Update(r.clock, s, r.demand) {
				at = append(at, r.clock)
			}
			if share := r.shedRatio(1); !(share >= 0 && share <= 1) || r.shedRatio(0) != 0 {
				t.Fatalf("shares %v and %v", share, r.shedRatio(0))
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "phases") {
			var s SignalValues
			for k := range s {
				if s[k] = rapid.Float64Range(0, 1.2).Draw(t, "value"); rapid.IntRange(0, 4).Draw(t, "measured") == 0 {
					s[k] = math.NaN()
				}
			}
			alternative, period := signalsWith(), rapid.IntRange(1, 60).Draw(t, "period")
			d := time.Duration(rapid.SampledFrom([]int{10, 50, 100, 100, 100, 1000, 30_000}).Draw(t, "tick")) * time.Millisecond
			for n := range rapid.IntRange(1, 500).Draw(t, "ticks") {
				if n/period%2 == 0 {
					step(d, s)
				} else {
					step(d, alternative)
				}
			}
		}
		checkMaxChanges(t, "random", l, at)
		settleTime := 10 * time.Second
		for _, v := range l {
			settleTime += v.MinTime<<maxBackoff + v.LeaveAfter + maxRestoreFactor*v.RestoreTime + time.Second
		}
		s := signalsWith()
		if rapid.Bool().Draw(t, "no signals") {
			s = NoSignals()
		}
		for end := r.clock.Add(settleTime); r.clock.Before(end); {
			step(tick, s)
		}
		if st := r.Status(3); st.Level != Normal || len(st.Shedding) > 0 {
			t.Fatalf("after %v without load: %s, shedding %v", settleTime, st.Level, st.Shedding)
		}
		checkMaxChanges(t, "random", l, at)
	})
}

func TestInvalidLadders(t *testing.T) {
	for want, change := range map[string]func(Ladder){
		"comes twice":                    func(l Ladder) { l[1].Name = "lean" },
		"that of no reduction":           func(l Ladder) { l[0].Name = Normal },
		"there is no condition":          func(l Ladder) { l[0].EnterIf = nil },
		"no such signal":                 func(l Ladder) { l[0].EnterIf[0].Signal = SignalCount },
		"no number of 0 or more":         func(l Ladder) { l[0].EnterIf[0].Bound = math.NaN() },
		"can never hold":                 func(l Ladder) { l[1].EnterIf[0].Bound = 1 },
		"no room to clear":               func(l Ladder) { l[0].EnterIf[0].Bound = 0 },
		"because it is quick":            func(l Ladder) { l[0].EnterIf[0].Below = true },
		"left as it is entered":          func(l Ladder) { l[0].LeaveIf = []Condition{{Signal: QueueTime, Below: true, Bound: 0.3}} },
		"band":                           func(l Ladder) { l[0].Hysteresis = 1 },
		"least: 1ms is not within 100ms": func(l Ladder) { l[0].MinTime = time.Millisecond },
		"off: 2h0m0s":                    func(l Ladder) { l[0].MinTimeOff = 2 * time.Hour },
		"attempts: -1":                   func(l Ladder) { l[0].MaxAttempts = -1 },
		"deadline":                       func(l Ladder) { l[0].DeadlineShare = 2 },
		"no class 3":                     func(l Ladder) { l[0].Shedding[0].Class = 3 },
		"class 1 comes twice":            func(l Ladder) { l[0].Shedding = append(l[0].Shedding, l[0].Shedding[0]) },
		"a share of 0":                   func(l Ladder) { l[0].Shedding[0].Share = 0 },
		"status of an answer":            func(l Ladder) { l[0].Shedding[0].Response.Status = 204 },
		"time to come back":              func(l Ladder) { l[0].Shedding[0].Response.RetryAfter = -1 },
		"fewer than the 0.5":             func(l Ladder) { l[1].Shedding = l[1].Shedding[1:] },
		"more than the 3":                func(l Ladder) { l[1].MaxAttempts = 0 },
		"more than the 0.4":              func(l Ladder) { l[0].DeadlineShare = 0.4 },
	} {
		l := ladder()
		change(l)
		got := ""
		for _, e := range l.Validate(3) {
			got += e.Error() + "\n"
		}
		if !strings.Contains(got, want) {
			t.Errorf("want %q, got %q", want, got)
		}
	}
	if errs := ladder().Validate(3); len(errs) != 0 {
		t.Errorf("%v", errs)
	}
	if errs := make(Ladder, MaxLevels+1).Validate(3); !strings.Contains(errs[0].Error(), "over the 8") {
		t.Errorf("%v", errs[0])
	}
}
