// Package degradation decides how far a pool reduces its service in an overload (graceful degradation, also called brownout).
// A pool has a ladder of named levels above the normal one. A level is entered and left by conditions on the pool's own
// signals, and limits which requests are admitted, how often they are attempted and how much of their deadline they get.
//
// The level changes by one step at a time. A step is taken up again no sooner than Level.MinTimeOff after it was taken down,
// and down no sooner than Level.MinTime after it was taken up, so that the number of changes in any window is bounded
// whatever the signals do (Ladder.MaxChanges).
//
// The package has no I/O and no clock: equal inputs give equal decisions.
package degradation

import (
	"errors"
	"time"
)

// ShedRule makes a level shed requests of a class.
type ShedRule struct {
	Class    int
	Share    float64 // share of the callers that is shed, always the same ones; 1 for all
	Response Response
}

// Response is the response to requests that are shed.
type Response struct {
	Status      int           // 0 for that of a rejected request
	Body        string        // "" for that of a rejected request
	ContentType string        // "" for none
	Warning     string        // value of the header Warning (RFC 7234, section 5.5); "" for none
	RetryAfter  time.Duration // 0 for the value of the decision module
}

// Level is one level of a ladder.
type Level struct {
	Name        string
	EnterIf     []Condition   // conditions to enter, of which one must be met
	EnterAfter  time.Duration // how long it must be met
	LeaveIf     []Condition   // conditions to leave, all of which must be met; if empty, the inverse of EnterIf by Hysteresis
	LeaveAfter  time.Duration // how long they must be met
	Hysteresis  float64       // between 0 and 1
	MinTime     time.Duration // minimum time in the level
	MinTimeOff  time.Duration // minimum time after it was left before it is entered again
	RestoreTime time.Duration // time over which requests are admitted again after it was left, as far as servers are warm

	Shedding      []ShedRule
	MaxAttempts   int     // of one request; 0 for no limit
	DeadlineShare float64 // share of the deadline of a class that requests get; 0 or 1 for all of it
}

// Ladder holds the levels of a pool above the normal one, the mildest first.
type Ladder []Level

// Normal is the name of the level at which service is not reduced.
const Normal = "normal"

// Bounds of a ladder.
const (
	MaxLevels  = 8
	MaxTime    = time.Hour
	minMinTime = 100 * time.Millisecond // lower bound of MinTime and MinTimeOff
)

// ErrUnknownLevel is returned for a name that is not that of a level of the pool.
var ErrUnknownLevel = errors.New("there is no such level")

// shedRatio returns the share of the callers of a class that the level sheds.
func (l *Level) shedRatio(class int) float64 {
	for _, rule := range l.Shedding {
		if rule.Class == class {
			return rule.Share
		}
	}
	return 0
}

// deadlineShare returns DeadlineShare, or its default.
func (l *Level) deadlineShare() float64 {
	if l.DeadlineShare == 0 {
		return 1
	}
	return l.DeadlineShare
}

// leaveConditions returns the conditions that must all be met to leave the level.
func (l *Level) leaveConditions() []Condition {
	if len(l.LeaveIf) > 0 {
		return l.LeaveIf
	}
	conditions := make([]Condition, len(l.EnterIf))
	for i, c := range l.EnterIf {
		conditions[i] = c.inverse(l.Hysteresis)
	}
	return conditions
}

// MaxChanges returns the most changes that signals can cause within a window. At each step, changes up and down
// alternate, separated by MinTime and MinTimeOff in turn. Commands of operators are not counted.
func (l Ladder) MaxChanges(window time.Duration) int {
	total := 0
	for i := range l {
		on, off := l[i].MinTime, l[i].MinTimeOff
		changes := 1 + 2*int(window/(on+off))
		if window%(on+off) >= min(on, off) {
			changes++
		}
		total += changes
	}
	return total
}

// indexOf returns the number of a level: 0 for Normal, 1 for the first one of the ladder.
func (l Ladder) indexOf(name string) (int, bool) {
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

// contains reports whether a name is that of a level.
func (l Ladder) contains(name string) bool {
	_, ok := l.indexOf(name)
	return ok
}
