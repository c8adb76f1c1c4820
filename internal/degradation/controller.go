package degradation

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	signalTimeout    = 2 * time.Second // how long a signal keeps its last value without a new measurement
	maxStepTime      = time.Second     // most time that one update counts for, so that a condition is not taken as met during a stall
	maxBackoff       = 3               // most doublings of MinTime for a level that is entered again too soon
	backoffResetTime = 4               // multiple of MinTime after which a level that was left has its backoff reset
	maxChangesKept   = 16              // kept for Status
	notMet           = -1              // value of enterMetFor and leaveMetFor while the condition is not met
)

// Change is a change of the level.
type Change struct {
	At       time.Time
	From, To string // names of levels
	By       string // BySignals, ByOperator or ByReload
	Reason   string // with the values of the signals
}

// Causes of a change.
const (
	BySignals  = "signals"
	ByOperator = "operator"
	ByReload   = "reload"
)

// transition is the state of the step to a level from the one below it.
type transition struct {
	enteredAt, leftAt time.Time     // when the step was last taken up and down; zero for never
	enterMetFor       time.Duration // for how long a condition to enter has been met, or notMet
	backoff           int           // MinTime is multiplied by two to this power
}

// Controller is the state of the level of one pool. It is not safe for concurrent use.
type Controller struct {
	ladder Ladder
	now    time.Time // time of the last update

	level       int // 0 is Normal
	levelSince  time.Time
	changedBy   string
	reason      string
	transitions []transition  // at index i, the step to level i+1
	leaveMetFor time.Duration // for how long all conditions to leave have been met, or notMet

	demand   []float64 // priority weight of the requests that arrived, by class
	signals  SignalValues
	signalAt [SignalCount]time.Time // when each was last measured

	pinned      bool // by an operator
	pinnedUntil time.Time
	restoring   map[int]*restoration // by class
	changes     []Change             // the latest, oldest first
	changeCount uint64               // since the start
}

// NewController returns the controller of a pool at the level Normal. The ladder must be valid.
func NewController(ladder Ladder, now time.Time) *Controller {
	c := &Controller{
		ladder:      ladder,
		now:         now,
		levelSince:  now,
		changedBy:   BySignals,
		reason:      "start",
		signals:     NoSignals(),
		leaveMetFor: notMet,
		transitions: make([]transition, len(ladder)),
		restoring:   map[int]*restoration{},
	}
	for i := range c.transitions {
		c.transitions[i].enterMetFor = notMet
	}
	return c
}

// Update takes the signals at a time, and the priority weight of the requests that arrived recently by class. It reports
// whether the level has changed. It is to be called several times a second; an earlier time than the last one counts as equal.
func (c *Controller) Update(now time.Time, values SignalValues, demand []float64) bool {
	elapsed := max(now.Sub(c.now), 0)
	c.now = c.now.Add(elapsed)
	elapsed = min(elapsed, maxStepTime)
	c.demand = append(c.demand[:0], demand...)
	c.updateSignals(values)
	target := c.updateEnterConditions(elapsed)
	canLeave := c.level > 0 && len(c.blockingConditions()) == 0
	c.leaveMetFor = metFor(canLeave, c.leaveMetFor, elapsed)
	c.updateRestoring()
	if c.pinned {
		if c.now.Before(c.pinnedUntil) {
			return false
		}
		c.pinned = false // the level then counts as entered when it was pinned
	}
	switch {
	case target > c.level && c.mayEscalate():
		c.escalate(c.describe(*c.enterCondition(target - 1)))
	case target < c.level && c.leaveMetFor >= c.ladder[c.level-1].LeaveAfter && !c.now.Before(c.earliestLeave()):
		c.deescalate()
	default:
		return false
	}
	return true
}

// updateSignals stores the measured values. A signal that was not measured keeps its last value until signalTimeout.
func (c *Controller) updateSignals(values SignalValues) {
	for s, value := range values {
		if !math.IsNaN(value) {
			c.signals[s], c.signalAt[s] = value, c.now
		} else if c.now.Sub(c.signalAt[s]) > signalTimeout {
			c.signals[s] = value
		}
	}
}

// updateEnterConditions counts for how long each level's conditions have been met. It returns the highest level for which
// they have been met long enough; 0 for none.
func (c *Controller) updateEnterConditions(elapsed time.Duration) int {
	target := 0
	for i := range c.ladder {
		t := &c.transitions[i]
		t.enterMetFor = metFor(c.enterCondition(i) != nil, t.enterMetFor, elapsed)
		if t.enterMetFor != notMet && t.enterMetFor >= c.ladder[i].EnterAfter {
			target = i + 1
		}
	}
	return target
}

// metFor returns for how long a condition has been met, given that duration before and the time elapsed since.
func metFor(isMet bool, before, elapsed time.Duration) time.Duration {
	switch {
	case !isMet:
		return notMet
	case before == notMet:
		return 0
	}
	return before + elapsed
}

// enterCondition returns the first met condition to enter the level i+1; nil for none.
func (c *Controller) enterCondition(i int) *Condition {
	for k, condition := range c.ladder[i].EnterIf {
		if condition.isMet(c.signals[condition.Signal]) {
			return &c.ladder[i].EnterIf[k]
		}
	}
	return nil
}

// blockingConditions returns the conditions to leave the level that are not met. A signal without a value blocks nothing:
// without traffic there is nothing to protect.
func (c *Controller) blockingConditions() []Condition {
	var blocking []Condition
	for _, condition := range c.ladder[c.level-1].leaveConditions() {
		if value := c.signals[condition.Signal]; !math.IsNaN(value) && !condition.isMet(value) {
			blocking = append(blocking, condition)
		}
	}
	return blocking
}

// describe returns a condition and the value of its signal as text.
func (c *Controller) describe(condition Condition) string {
	if value := c.signals[condition.Signal]; !math.IsNaN(value) {
		return fmt.Sprintf("%v, is %.3g", condition, value)
	}
	return fmt.Sprintf("%v is not told", condition.Signal)
}

// describeAll returns conditions and the values of their signals as text.
func (c *Controller) describeAll(conditions []Condition) string {
	texts := make([]string, len(conditions))
	for i, condition := range conditions {
		texts[i] = c.describe(condition)
	}
	return strings.Join(texts, "; ")
}

// mayEscalate reports whether MinTimeOff of the next level has passed.
func (c *Controller) mayEscalate() bool {
	leftAt := c.transitions[c.level].leftAt
	return leftAt.IsZero() || c.now.Sub(leftAt) >= c.ladder[c.level].MinTimeOff
}

// minTime returns the minimum time in the level i+1, with its backoff.
func (c *Controller) minTime(i int) time.Duration {
	return min(c.ladder[i].MinTime<<c.transitions[i].backoff, max(MaxTime, c.ladder[i].MinTime))
}

// earliestLeave returns when the minimum time of the level has passed.
func (c *Controller) earliestLeave() time.Time {
	return c.transitions[c.level-1].enteredAt.Add(c.minTime(c.level - 1))
}

// escalate goes one level up. A level that is entered again within its minimum time was left too soon: its minimum time is
// doubled, until the level has not been entered for backoffResetTime times as long.
func (c *Controller) escalate(reason string) {
	t := &c.transitions[c.level]
	if !t.leftAt.IsZero() {
		minTime := c.minTime(c.level)
		switch sinceLeft := c.now.Sub(t.leftAt); {
		case sinceLeft < minTime:
			t.backoff = min(t.backoff+1, maxBackoff)
		case sinceLeft > backoffResetTime*minTime:
			t.backoff = 0
		}
	}
	t.enteredAt = c.now
	c.setLevel(c.level+1, BySignals, reason)
}

// deescalate goes one level down.
func (c *Controller) deescalate() {
	target := c.level - 1
	c.transitions[target].leftAt = c.now
	c.startRestoring(target)
	c.setLevel(target, BySignals, c.describeAll(c.ladder[target].leaveConditions()))
}

// setLevel changes the level.
func (c *Controller) setLevel(level int, by, reason string) {
	c.recordChange(c.levelName(c.level), level, by, reason)
}

// recordChange sets the level and records the change. from names the old level, which a new ladder may not contain.
func (c *Controller) recordChange(from string, level int, by, reason string) {
	c.level, c.levelSince, c.changedBy, c.reason = level, c.now, by, reason
	c.leaveMetFor = notMet
	c.changes = append(c.changes, Change{At: c.now, From: from, To: c.levelName(level), By: by, Reason: reason})
	if len(c.changes) > maxChangesKept {
		c.changes = slices.Clone(c.changes[1:])
	}
	c.changeCount++
}

// levelName returns the name of a level by its number.
func (c *Controller) levelName(level int) string {
	if level == 0 {
		return Normal
	}
	return c.ladder[level-1].Name
}

// advance moves the controller's time forward.
func (c *Controller) advance(now time.Time) {
	if now.After(c.now) {
		c.now = now
	}
}
