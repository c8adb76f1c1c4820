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
	clock time.Time
	asked []float64
}

func begin(l Ladder) *testController {
	return &testController{NewController(l, epoch), epoch, []float64{10, 5, 5}}
}

// with returns values of some signals; the others are those of a pool without load.
func with(pairs ...any) SignalValues {
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

// hold feeds values for a time.
func (r *testController) hold(d time.Duration, s SignalValues) {
	for end := r.clock.Add(d); r.clock.Before(end); {
		r.clock = r.clock.Add(tick)
		r.Update(r.clock, s, r.asked)
	}
}

func (r *testController) level() string { return r.Status(3).Level }

// A script is lines of "TIME SIGNALS LEVEL": the signals have their values for the time, and the level is reached at its end.
func TestLadderByScript(t *testing.T) {
	calm, wait, refused := with(), with(QueueTime, 0.5), with(RejectedRatio, 0.5)
	for _, k := range []struct {
		name  string
		lines []any // time in ms, reading, level
	}{
		{"a short burst is none", []any{200, wait, Normal, 500, calm, Normal, 200, wait, Normal}},
		{"up, and down after least and calm", []any{400, wait, "lean", 3600, calm, "lean", 600, calm, Normal}},
		{"a higher level is reached step by step", []any{200, refused, Normal, 200, refused, "essential", 4000, calm, "lean", 900, calm, "lean", 400, calm, Normal}},
		{"the band holds it", []any{400, wait, "lean", 8000, with(QueueTime, 0.15), "lean", 2000, with(QueueTime, 0.09), Normal}},
		{"calm must be unbroken", []any{400, wait, "lean", 4500, wait, "lean", 800, calm, "lean", 200, wait, "lean", 800, calm, "lean", 300, calm, Normal}},
		{"not entered again at once", []any{400, wait, "lean", 4300, calm, Normal, 1500, wait, Normal, 700, wait, "lean"}},
		{"any condition enters", []any{400, with(UsableRatio, 0.5), "lean", 6000, with(UsableRatio, 0.7), "lean", 1200, with(UsableRatio, 0.85), Normal}},
		{"nothing told falls to normal", []any{400, wait, "lean", 8000, NoSignals(), Normal}},
		{"a signal that stops coming counts for a while", []any{400, with(QueueTime, 0.5), "lean", 4000, with(QueueTime, 0.5), "lean",
			1500, with(QueueTime, math.NaN()), "lean", 1800, with(QueueTime, math.NaN()), Normal}},
	} {
		t.Run(k.name, func(t *testing.T) {
			r := begin(ladder())
			for i := 0; i < len(k.lines); i += 3 {
				r.hold(time.Duration(k.lines[i].(int))*time.Millisecond, k.lines[i+1].(SignalValues))
				if got := r.level(); got != k.lines[i+2] {
					t.Fatalf("line %d: level %s, want %s", i/3, got, k.lines[i+2])
				}
			}
		})
	}
}

// A level that is entered again soon after it was left is kept for longer each time, until it has not been entered for long.
func TestMinTimeBackoff(t *testing.T) {
	r := begin(ladder())
	var held []time.Duration
	for range 5 {
		for r.level() == Normal {
			r.hold(tick, with(QueueTime, 0.5))
		}
		from := r.clock
		for r.level() != Normal {
			r.hold(tick, with())
		}
		held = append(held, r.clock.Sub(from).Round(time.Second))
	}
	if fmt.Sprint(held) != "[4s 8s 16s 32s 32s]" {
		t.Errorf("held for %v", held)
	}
	r.hold(5*32*time.Second, with())
	r.hold(400*time.Millisecond, with(QueueTime, 0.5))
	r.hold(4500*time.Millisecond, with())
	if r.level() != Normal {
		t.Error("it is still held for longer after a long time without")
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
		r := begin(ladder())
		var at []time.Time
		for n := range 36_000 { // an hour
			r.clock = r.clock.Add(tick)
			if r.Update(r.clock, with(QueueTime, signal(n), RejectedRatio, signal(n)), r.asked) {
				at = append(at, r.clock)
			}
		}
		within(t, name, ladder(), at)
	}
}

// within checks MaxChanges in windows of many lengths.
func within(t interface{ Errorf(string, ...any) }, name string, l Ladder, at []time.Time) {
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

// While servers warm up, what was shed is admitted again no faster than they do.
func TestRestoreFollowsWarmup(t *testing.T) {
	r := begin(ladder())
	r.hold(time.Second, with(RejectedRatio, 0.9, UsableRatio, 0.5))
	for r.level() == "essential" {
		r.hold(tick, with(WarmRatio, 0.4))
	}
	last := 1.0
	for n := range 200 {
		warm := min(0.4+0.005*float64(n), 1)
		r.hold(tick, with(WarmRatio, warm))
		share := 0.0
		for _, s := range r.Status(3).Shedding {
			if s.Class == 2 {
				share = s.Share
			}
		}
		if share > last+1e-9 {
			t.Fatalf("the share of class 2 rises from %v to %v", last, share)
		}
		if back := 1 - share/0.6; back > max(warm, float64(n+2)*0.1/16)+1e-9 && warm < warmEnough {
			t.Fatalf("%v of the callers are back with %v of the capacity warm", back, warm)
		}
		last = share
	}
	if last != 0 {
		t.Errorf("%v are shed in the end", last)
	}
	// Servers that never get warm hold it up for four times the ramp at most.
	r = begin(ladder())
	r.hold(400*time.Millisecond, with(QueueTime, 1))
	for r.level() != Normal {
		r.hold(tick, with(WarmRatio, 0))
	}
	r.hold(maxRestoreFactor*2*time.Second-200*time.Millisecond, with(WarmRatio, 0))
	if s := r.Status(3); len(s.Shedding) == 0 || s.Restored >= 1 {
		t.Errorf("all is back with nothing warm: %+v", s)
	}
	r.hold(300*time.Millisecond, with(WarmRatio, 0))
	if s := r.Status(3); len(s.Shedding) != 0 || s.Restored != 1 {
		t.Errorf("not all is back: %+v", s)
	}
}

// The same callers stay shed: those of a lower ratio are among those of a higher one.
func TestSameCallersAreShed(t *testing.T) {
	r := begin(ladder())
	r.hold(400*time.Millisecond, with(QueueTime, 0.5))
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
	if part := float64(len(first)) / n; math.Abs(part-0.5) > 0.01 {
		t.Errorf("%v are shed", part)
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
			t.Fatalf("caller %d is shed later than others", i)
		}
	}
	for before := first; r.level() != Normal || len(before) > 0; {
		r.hold(tick, with())
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
	r.hold(500*time.Millisecond, with(RejectedRatio, 0.5))
	if v := r.Admit(0, 0); v.Shed != nil || v.MaxAttempts != 1 || v.DeadlineShare != 0.5 {
		t.Errorf("at the top level %+v", v)
	}
}

// A single class is not shed: there is nothing to protect.
func TestSingleClassIsNotShed(t *testing.T) {
	r := begin(ladder())
	r.asked = []float64{0, 7, 0}
	r.hold(600*time.Millisecond, with(RejectedRatio, 0.5))
	if s := r.Status(3); s.Level != "essential" || len(s.Shedding) != 0 || r.Admit(1, 0).Shed != nil {
		t.Errorf("%+v", s)
	}
	r.asked = []float64{0.2, 7, 0} // a little to protect, a little is shed
	r.hold(tick, with(RejectedRatio, 0.5))
	if s := r.Status(3); len(s.Shedding) != 2 || s.Shedding[0].Share < 0.2 || s.Shedding[0].Share > 0.3 {
		t.Errorf("%+v", s.Shedding)
	}
}

func TestPin(t *testing.T) {
	r := begin(ladder())
	if err := r.Pin("none", r.clock, r.clock.Add(time.Minute)); err == nil || !strings.Contains(err.Error(), "none") {
		t.Errorf("%v", err)
	}
	if err := r.Pin("essential", r.clock, r.clock.Add(10*time.Second)); err != nil {
		t.Fatal(err)
	}
	r.hold(9900*time.Millisecond, with())
	if s := r.Status(3); s.Level != "essential" || s.By != ByOperator || s.PinnedUntil.IsZero() || len(s.Shedding) != 2 {
		t.Errorf("pinned: %+v", s)
	}
	// It ends in overload: the level stays, as its conditions hold.
	r.hold(time.Second, with(RejectedRatio, 0.5))
	if s := r.Status(3); s.Level != "essential" || !s.PinnedUntil.IsZero() || s.ChangeCount != 1 {
		t.Errorf("after the pin: %+v", s)
	}
	// Normal is pinned in overload: nothing is done until it ends, then the steps follow as the ladder has them.
	if err := r.Pin(Normal, r.clock, r.clock.Add(5*time.Second)); err != nil {
		t.Fatal(err)
	}
	r.hold(4900*time.Millisecond, with(RejectedRatio, 0.5))
	if s := r.Status(3); s.Level != Normal {
		t.Errorf("pinned: %+v", s)
	}
	r.hold(400*time.Millisecond, with(RejectedRatio, 0.5))
	if s := r.Status(3); s.Level != "essential" || s.By != BySignals {
		t.Errorf("after the pin: %+v", s)
	}
	// A release in calm: the level is held for its least time from the pin on.
	if err := r.Pin("essential", r.clock, r.clock.Add(time.Hour)); err != nil {
		t.Fatal(err)
	}
	r.hold(8*time.Second, with())
	r.Unpin(r.clock)
	r.hold(200*time.Millisecond, with())
	if s := r.Status(3); s.Level != "lean" {
		t.Errorf("after the release: %+v", s)
	}
}

func TestSetLadder(t *testing.T) {
	high := func() *testController {
		r := begin(ladder())
		r.hold(600*time.Millisecond, with(RejectedRatio, 0.5))
		if r.level() != "essential" {
			t.Fatal("not there")
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
		r := high()
		r.SetLadder(k.to, r.clock)
		if s := r.Status(3); s.Level != k.level || s.ChangeCount != k.count {
			t.Errorf("%s: %s after %d changes", k.name, s.Level, s.ChangeCount)
		}
		r.hold(200*time.Millisecond, with(RejectedRatio, 0.5)) // whatever is left of it works
		r.hold(time.Minute, with())
		if s := r.Status(3); s.Level != Normal || len(s.Shedding) != 0 {
			t.Errorf("%s: does not end: %+v", k.name, s)
		}
	}
	// A level that stays was entered when it was: a reload does not hold it for longer, nor let it be entered again sooner.
	r := high()
	r.hold(4200*time.Millisecond, with(RejectedRatio, 0.5))
	r.SetLadder(ladder(), r.clock)
	r.hold(1200*time.Millisecond, with())
	if r.level() == "essential" {
		t.Error("held anew")
	}
	r = high()
	for r.level() != Normal {
		r.hold(tick, with())
	}
	r.SetLadder(ladder(), r.clock)
	r.hold(1500*time.Millisecond, with(RejectedRatio, 0.5))
	if r.level() != Normal {
		t.Error("entered too soon")
	}
	// A copy goes its own way.
	c := high()
	d := c.Clone()
	d.SetLadder(nil, c.clock)
	if c.level() != "essential" || d.Status(3).Level != Normal {
		t.Error("a copy shares its state")
	}
}

// Time that jumps or goes back does no harm, and a stall does not count as a condition that was met.
func TestTimeJumps(t *testing.T) {
	r := begin(ladder())
	r.Update(epoch.Add(tick), with(QueueTime, 1), nil)
	r.Update(epoch.Add(-time.Hour), with(QueueTime, 1), nil)
	if s := r.Status(3); s.Level != Normal {
		t.Errorf("back: %s", s.Level)
	}
	r.Update(epoch.Add(24*time.Hour), with(QueueTime, 1), nil)
	if s := r.Status(3); s.Level != "lean" {
		t.Errorf("a day on: %s", s.Level)
	}
	r.Update(epoch.Add(48*time.Hour), with(), nil)
	if s := r.Status(3); s.Level != "lean" {
		t.Errorf("calm for no time: %s", s.Level)
	}
	r.Update(epoch.Add(48*time.Hour+2*time.Second), with(), nil)
	if s := r.Status(3); s.Level != Normal {
		t.Errorf("calm: %s", s.Level)
	}
}

func TestStatus(t *testing.T) {
	r := begin(ladder())
	r.hold(600*time.Millisecond, with(RejectedRatio, 0.5))
	s := r.Status(3)
	if !strings.Contains(s.Reason, "refused > 0.3, is 0.5") || !strings.Contains(s.BlockedBy, "refused < 0.15, is 0.5") ||
		!s.EarliestLeave.After(r.clock.Add(3*time.Second)) {
		t.Errorf("%+v", s)
	}
	r.hold(3*time.Second, with())
	if s := r.Status(3); s.BlockedBy != "" || !s.EarliestLeave.Equal(s.Since.Add(4*time.Second)) {
		t.Errorf("forecast %v since %v, waits for %q", s.EarliestLeave, s.Since, s.BlockedBy)
	}
	for range 40 {
		r.hold(time.Second, with(RejectedRatio, 0.5))
		r.hold(time.Minute, with())
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

// Whatever the signals and the clock do for hours: the bound on changes holds, shares stay shares, and once all is calm or silent
// every level is left and every class is back, in a time that the settings tell.
func TestRandomSignals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := drawLadder(t)
		r := begin(l)
		var at []time.Time
		step := func(d time.Duration, s SignalValues) {
			r.clock = r.clock.Add(d)
			if r.Update(r.clock, s, r.asked) {
				at = append(at, r.clock)
			}
			if share := r.shedRatio(1); !(share >= 0 && share <= 1) || r.shedRatio(0) != 0 {
				t.Fatalf("shares %v and %v", share, r.shedRatio(0))
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "phases") {
			var s SignalValues
			for k := range s {
				if s[k] = rapid.Float64Range(0, 1.2).Draw(t, "value"); rapid.IntRange(0, 4).Draw(t, "told") == 0 {
					s[k] = math.NaN()
				}
			}
			other, every := with(), rapid.IntRange(1, 60).Draw(t, "every")
			d := time.Duration(rapid.SampledFrom([]int{10, 50, 100, 100, 100, 1000, 30_000}).Draw(t, "tick")) * time.Millisecond
			for n := range rapid.IntRange(1, 500).Draw(t, "ticks") {
				if n/every%2 == 0 {
					step(d, s)
				} else {
					step(d, other)
				}
			}
		}
		within(t, "random", l, at)
		most := 10 * time.Second
		for _, v := range l {
			most += v.MinTime<<maxBackoff + v.LeaveAfter + maxRestoreFactor*v.RestoreTime + time.Second
		}
		s := with()
		if rapid.Bool().Draw(t, "silence") {
			s = NoSignals()
		}
		for end := r.clock.Add(most); r.clock.Before(end); {
			step(tick, s)
		}
		if st := r.Status(3); st.Level != Normal || len(st.Shedding) > 0 {
			t.Fatalf("after %v of calm: %s, shedding %v", most, st.Level, st.Shedding)
		}
		within(t, "random", l, at)
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
		told := ""
		for _, e := range l.Validate(3) {
			told += e.Error() + "\n"
		}
		if !strings.Contains(told, want) {
			t.Errorf("want %q, told %q", want, told)
		}
	}
	if errs := ladder().Validate(3); len(errs) != 0 {
		t.Errorf("%v", errs)
	}
	if errs := make(Ladder, MaxLevels+1).Validate(3); !strings.Contains(errs[0].Error(), "over the 8") {
		t.Errorf("%v", errs[0])
	}
}
