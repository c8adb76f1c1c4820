// Package level decides how much of its service a pool gives: a ladder of named levels above the normal one, entered and left
// by conditions on the pool's own signals, each with what it does to requests while it is in force. It is free of I/O and of
// clocks: signals and the time come in, a level and its reasons go out, and the same inputs give the same decisions.
//
// A change moves by one step of the ladder. The step between two neighbours is crossed upward no sooner than Off after it was
// crossed downward, and downward no sooner than Least after it was crossed upward, so the number of changes in any window is
// bounded whatever the signals do (Ladder.Bound).
package level

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// Signal is something that a pool tells of itself.
type Signal uint8

// The signals. Shares are of 1.
const (
	P95     Signal = iota // 95th percentile of the time to an answer, as a multiple of the aim of its class
	Late                  // share of answers that came after the aim of their class
	Wait                  // seconds that requests wait for a server: the longest of late, or of those that wait still
	Refused               // share of requests refused, without those that a level has shed
	Failed                // share of requests failed
	Worth                 // worth answered in time against worth ended, without what a level has shed
	Usable                // servers that are ready and not cut, of those listed
	Warm                  // capacity of the usable servers that is warm
	Signals               // how many there are
)

var signalNames = [Signals]string{"p95", "late", "wait", "refused", "failed", "worth", "usable", "warm"}

func (s Signal) String() string { return signalNames[s] }

// ParseSignal finds a signal by its name.
func ParseSignal(name string) (Signal, bool) {
	for s, n := range signalNames {
		if n == name {
			return Signal(s), true
		}
	}
	return 0, false
}

// isShare tells whether a signal lies between 0 and 1.
func (s Signal) isShare() bool { return s != P95 && s != Wait }

// Reading is the signals at one time; NaN for one that is not told, as there was nothing to measure.
type Reading [Signals]float64

// Nothing is a reading without any signal.
func Nothing() (r Reading) {
	for s := range r {
		r[s] = math.NaN()
	}
	return r
}

// Condition holds while a signal is over a bound, or under it.
type Condition struct {
	Signal Signal
	Under  bool
	Bound  float64
}

func (c Condition) holds(v float64) bool {
	if c.Under {
		return v < c.Bound
	}
	return v > c.Bound // never for NaN
}

func (c Condition) String() string {
	side := ">"
	if c.Under {
		side = "<"
	}
	return fmt.Sprintf("%v %s %.4g", c.Signal, side, c.Bound)
}

// cleared is the condition whose holding means that this one is over, by a band: a share of what lies between the bound and
// the signal's best value.
func (c Condition) cleared(band float64) Condition {
	out := Condition{Signal: c.Signal, Under: !c.Under, Bound: c.Bound * (1 - band)}
	if c.Under {
		out.Bound = c.Bound + (1-c.Bound)*band
	}
	return out
}

// Shed says that a level turns requests of a class away, all or the same share of its callers throughout.
type Shed struct {
	Class int
	Share float64 // 1 for all
	Reply Reply
}

// Reply is what callers are told that are turned away.
type Reply struct {
	Status  int           // 0 for that of a refusal
	Body    string        // "" for that of a refusal
	Type    string        // Content-Type; "" for none
	Warning string        // the header of that name (RFC 7234, 5.5); "" for none
	After   time.Duration // when to come back; 0 for what the decision module says
}

// Level is one step of a ladder.
type Level struct {
	Name  string
	Enter []Condition // any of them,
	For   time.Duration
	Leave []Condition   // all of them; none for those of Enter cleared by Band,
	Calm  time.Duration // for so long
	Band  float64
	Least time.Duration // it is not left sooner
	Off   time.Duration // nor entered again sooner after it was left
	Ramp  time.Duration // after it was left, what it shed comes back over this time, no faster than servers are warm

	Shed     []Shed
	Attempts int     // of one request, at most; 0 for no such limit
	Deadline float64 // share of the time that a class gives; 0 or 1 for all of it
}

// Ladder is the levels of a pool above the normal one, the mildest first.
type Ladder []Level

// Normal is the level at which nothing is done.
const Normal = "normal"

// Bounds of a ladder.
const (
	MaxLevels = 8
	MaxTime   = time.Hour
	leastTime = 100 * time.Millisecond // of Least and Off
)

// Error is what is wrong with one level of a ladder.
type Error struct {
	Level int
	Field string
	Err   error
}

func (e *Error) Error() string { return fmt.Sprintf("level %d: %s: %v", e.Level, e.Field, e.Err) }

// Unwrap gives the cause.
func (e *Error) Unwrap() error { return e.Err }

// Check tells all that is wrong with a ladder for a pool of so many classes.
func (l Ladder) Check(classes int) (errs []*Error) {
	complain := func(i int, field, format string, args ...any) {
		errs = append(errs, &Error{i, field, fmt.Errorf(format, args...)})
	}
	if len(l) > MaxLevels {
		complain(0, "name", "%d levels, over the %d allowed", len(l), MaxLevels)
	}
	names := map[string]bool{Normal: true}
	for i := range l {
		v := &l[i]
		if v.Name == "" || names[v.Name] {
			complain(i, "name", "%q is missing, comes twice or is that of no reduction", v.Name)
		}
		names[v.Name] = true
		if len(v.Enter) == 0 {
			complain(i, "enter", "there is no condition: the level could be entered by command only, and never be left")
		}
		for _, list := range []struct {
			field string
			of    []Condition
		}{{"enter", v.Enter}, {"leave", v.Leave}} {
			for _, c := range list.of {
				switch {
				case c.Signal >= Signals:
					complain(i, list.field, "there is no such signal")
				case !(c.Bound >= 0) || math.IsInf(c.Bound, 0):
					complain(i, list.field, "%v: the bound is no number of 0 or more", c)
				case c.Signal.isShare() && (c.Bound > 1 || !c.Under && c.Bound == 1 || c.Under && c.Bound == 0), c.Under && c.Bound == 0:
					complain(i, list.field, "%v can never hold", c)
				case list.field == "enter" && !c.Under && c.Bound == 0, list.field == "enter" && c.Under && c.Signal.isShare() && c.Bound == 1:
					complain(i, list.field, "%v leaves no room to clear it", c)
				case list.field == "enter" && c.Under && !c.Signal.isShare():
					complain(i, list.field, "%v: service is not reduced because it is quick", c)
				}
			}
		}
		for _, c := range v.Leave {
			for _, e := range v.Enter {
				if c.Signal == e.Signal && c.Under != e.Under && (e.Under && c.Bound < e.Bound || !e.Under && c.Bound > e.Bound) {
					complain(i, "leave", "%v holds already where %v does: the level would be left as it is entered", c, e)
				}
			}
		}
		if !(v.Band > 0 && v.Band < 1) {
			complain(i, "band", "%v is not within 0 and 1", v.Band)
		}
		for _, t := range []struct {
			field string
			least time.Duration
			is    time.Duration
		}{{"for", 0, v.For}, {"calm", 0, v.Calm}, {"ramp", 0, v.Ramp}, {"least", leastTime, v.Least}, {"off", leastTime, v.Off}} {
			if t.is < t.least || t.is > MaxTime {
				complain(i, t.field, "%v is not within %v and %v", t.is, t.least, MaxTime)
			}
		}
		if v.Attempts < 0 {
			complain(i, "attempts", "%d is negative", v.Attempts)
		}
		if !(v.Deadline >= 0 && v.Deadline <= 1) {
			complain(i, "deadline", "%v is not within 0 and 1", v.Deadline)
		}
		seen := map[int]bool{}
		for _, s := range v.Shed {
			switch {
			case s.Class < 0 || s.Class >= classes:
				complain(i, "shed", "there is no class %d", s.Class)
			case seen[s.Class]:
				complain(i, "shed", "class %d comes twice", s.Class)
			case !(s.Share > 0 && s.Share <= 1):
				complain(i, "shed", "a share of %v is not within 0 and 1", s.Share)
			}
			seen[s.Class] = true
			if r := s.Reply; r.Status != 0 && (r.Status < 200 || r.Status > 599 || r.Status == 204 || r.Status == 205 || r.Status == 304) {
				complain(i, "shed", "%d is no status of an answer with a body", r.Status)
			} else if r.After < 0 || r.After > MaxTime {
				complain(i, "shed", "a time to come back of %v is not within 0 and %v", r.After, MaxTime)
			}
		}
		if i > 0 {
			l.steeper(i, complain)
		}
	}
	return errs
}

// steeper checks that a level reduces no less than the one before: a step up must never let more in.
func (l Ladder) steeper(i int, complain func(int, string, string, ...any)) {
	v, under := &l[i], &l[i-1]
	for _, s := range under.Shed {
		if now := v.share(s.Class); now < s.Share {
			complain(i, "shed", "%v of class %d are shed, fewer than the %v of level %s before", now, s.Class, s.Share, under.Name)
		}
	}
	if under.Attempts > 0 && (v.Attempts == 0 || v.Attempts > under.Attempts) {
		complain(i, "attempts", "%d are more than the %d of level %s before", v.Attempts, under.Attempts, under.Name)
	}
	if under.deadline() < v.deadline() {
		complain(i, "deadline", "%v is more than the %v of level %s before", v.deadline(), under.deadline(), under.Name)
	}
}

// share is the part of the callers of a class that a level turns away.
func (v *Level) share(class int) float64 {
	for _, s := range v.Shed {
		if s.Class == class {
			return s.Share
		}
	}
	return 0
}

func (v *Level) deadline() float64 {
	if v.Deadline == 0 {
		return 1
	}
	return v.Deadline
}

// leave gives the conditions all of which must hold for the level to be left.
func (v *Level) leave() []Condition {
	if len(v.Leave) > 0 {
		return v.Leave
	}
	out := make([]Condition, len(v.Enter))
	for i, c := range v.Enter {
		out[i] = c.cleared(v.Band)
	}
	return out
}

// Bound is the most changes that signals can cause within any window: for each step, crossings alternate and are apart by
// Least and Off in turn, so n of them take no less time than the sum of n-1 of these, beginning with the shorter one.
// Commands of operators are not counted.
func (l Ladder) Bound(window time.Duration) int {
	total := 0
	for i := range l {
		least, off := l[i].Least, l[i].Off
		n := 1 + 2*int(window/(least+off))
		if window%(least+off) >= min(least, off) {
			n++
		}
		total += n
	}
	return total
}

// ErrUnknown is of a command that names no level.
var ErrUnknown = errors.New("there is no such level")

// index finds a level by its name; 0 is the normal one, and the first of the ladder 1.
func (l Ladder) index(name string) (int, bool) {
	if name == Normal {
		return 0, true
	}
	for i := range l {
		if l[i].Name == name {
			return i + 1, true
		}
	}
	return 0, false
}
