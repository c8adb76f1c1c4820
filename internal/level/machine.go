package level

import (
	"fmt"
	"math"
	"strings"
	"time"
)

const (
	staleTime  = 2 * time.Second // a signal that is not told any more counts with its last value for so long
	maxBackoff = 3               // Least grows up to 2 to this power times, where a level was left too soon again and again
	slowest    = 4               // a ramp takes this multiple of its time at most, however cold servers are
	warmEnough = 0.95            // of the usable capacity, for a ramp to end
	kept       = 16              // changes kept for operators
	mostStep   = time.Second     // a stall is not taken for a condition that held: no step counts for more
	protects   = 0.1             // of the worth that is asked for, so that the rest is shed in full
)

// Change is one that has been made.
type Change struct {
	At       time.Time
	From, To string
	By       string // Signals, Operator or Reload
	Why      string // with the figures
}

// Who makes a change.
const (
	BySignals  = "signals"
	ByOperator = "operator"
	ByReload   = "reload"
)

// step is what is kept of the step below a level.
type step struct {
	up, down time.Time     // last crossed; zero for never
	since    time.Duration // how long the conditions to enter the level have held; -1 for not at all
	backoff  int           // the level is held for Least times two to this power
}

// Machine is the level of one pool. It is not safe for concurrent use.
type Machine struct {
	ladder Ladder
	now    time.Time
	at     int // 0 is the normal level
	since  time.Time
	why    string
	by     string
	steps  []step        // that below level i+1
	calm   time.Duration // how long the conditions to leave have held; -1 for not at all

	asked []float64 // worth by class
	last  Reading
	heard [Signals]time.Time // when each was told last

	pinned  bool
	until   time.Time
	release map[int]*release // by class
	changes []Change
	count   uint64 // changes since the start
}

// release is the way back of a class once a level that shed it has been left. It goes on, whatever levels are left or entered
// meanwhile: what is shed is the larger of it and of the level in force.
type release struct {
	share   float64 // that was shed
	begun   time.Time
	over    time.Duration
	reached float64 // the part that is back
}

// New makes the machine of a pool, at the normal level. The ladder has passed Check.
func New(l Ladder, now time.Time) *Machine {
	m := &Machine{ladder: l, now: now, since: now, by: BySignals, why: "start", last: Nothing(), calm: -1, steps: make([]step, len(l)), release: map[int]*release{}}
	for i := range m.steps {
		m.steps[i].since = -1
	}
	return m
}

// Step takes the signals at a time, and the worth that was asked for of late by class, and tells whether the level has changed. It
// is to be called several times a second; time that goes back is taken for none.
func (m *Machine) Step(now time.Time, r Reading, asked []float64) bool {
	passed := max(now.Sub(m.now), 0)
	m.now = m.now.Add(passed)
	passed = min(passed, mostStep)
	m.asked = append(m.asked[:0], asked...)
	for s, v := range r {
		if !math.IsNaN(v) {
			m.last[s], m.heard[s] = v, m.now
		} else if m.now.Sub(m.heard[s]) > staleTime {
			m.last[s] = v
		}
	}
	wanted := 0
	for i := range m.ladder {
		s := &m.steps[i]
		if m.entering(i) == nil {
			s.since = -1
			continue
		}
		if s.since < 0 {
			s.since = 0
		} else {
			s.since += passed
		}
		if s.since >= m.ladder[i].For {
			wanted = i + 1
		}
	}
	if m.at == 0 || len(m.holding()) > 0 {
		m.calm = -1
	} else if m.calm < 0 {
		m.calm = 0
	} else {
		m.calm += passed
	}
	m.ramp()
	if m.pinned {
		if m.now.Before(m.until) {
			return false
		}
		m.pinned = false // what follows is decided as if the level had been entered when it was pinned
	}
	switch {
	case wanted > m.at && m.mayClimb():
		m.climb(m.reading(*m.entering(wanted - 1)))
	case wanted < m.at && m.calm >= m.ladder[m.at-1].Calm && !m.now.Before(m.earliest()):
		m.descend()
	default:
		return false
	}
	return true
}

// entering is the first condition of a level that holds now; nil for none.
func (m *Machine) entering(i int) *Condition {
	for k, c := range m.ladder[i].Enter {
		if c.holds(m.last[c.Signal]) {
			return &m.ladder[i].Enter[k]
		}
	}
	return nil
}

// reading is a condition with the figure of its signal.
func (m *Machine) reading(c Condition) string {
	if v := m.last[c.Signal]; !math.IsNaN(v) {
		return fmt.Sprintf("%v, is %.3g", c, v)
	}
	return fmt.Sprintf("%v is not told", c.Signal)
}

// holding are the conditions to leave the level that do not hold. What is not told holds no level: without traffic there is
// nothing to protect.
func (m *Machine) holding() (out []Condition) {
	for _, c := range m.ladder[m.at-1].leave() {
		if v := m.last[c.Signal]; !math.IsNaN(v) && !c.holds(v) {
			out = append(out, c)
		}
	}
	return out
}

// readings are those of several conditions.
func (m *Machine) readings(list []Condition) string {
	out := make([]string, len(list))
	for i, c := range list {
		out[i] = m.reading(c)
	}
	return strings.Join(out, "; ")
}

// mayClimb tells whether the step up may be crossed so soon after it was crossed downward.
func (m *Machine) mayClimb() bool {
	s := &m.steps[m.at]
	return s.down.IsZero() || m.now.Sub(s.down) >= m.ladder[m.at].Off
}

// least is how long the level of a step is held.
func (m *Machine) least(i int) time.Duration {
	return min(m.ladder[i].Least<<m.steps[i].backoff, max(MaxTime, m.ladder[i].Least))
}

// earliest is when the step down may be crossed.
func (m *Machine) earliest() time.Time { return m.steps[m.at-1].up.Add(m.least(m.at - 1)) }

// climb goes one step up. A level that was left too soon is held longer: each time that it is entered again within the time it
// was held, until it has been out of force for four times that.
func (m *Machine) climb(why string) {
	s := &m.steps[m.at]
	if held := m.least(m.at); !s.down.IsZero() {
		switch out := m.now.Sub(s.down); {
		case out < held:
			s.backoff = min(s.backoff+1, maxBackoff)
		case out > 4*held:
			s.backoff = 0
		}
	}
	s.up = m.now
	m.move(m.at+1, BySignals, why)
}

// descend goes one step down.
func (m *Machine) descend() {
	i := m.at - 1
	m.steps[i].down = m.now
	m.bringBack(i)
	m.move(i, BySignals, m.readings(m.ladder[i].leave()))
}

// move puts another level in force.
func (m *Machine) move(to int, by, why string) { m.changed(m.name(m.at), to, by, why) }

// changed puts a level in force in place of one of a name.
func (m *Machine) changed(from string, to int, by, why string) {
	m.at, m.since, m.by, m.why, m.calm = to, m.now, by, why, -1
	if m.changes = append(m.changes, Change{At: m.now, From: from, To: m.name(to), By: by, Why: why}); len(m.changes) > kept {
		m.changes = append([]Change(nil), m.changes[1:]...)
	}
	m.count++
}

func (m *Machine) name(i int) string {
	if i == 0 {
		return Normal
	}
	return m.ladder[i-1].Name
}

// bringBack begins the way back of what a milder level does not shed.
func (m *Machine) bringBack(to int) {
	for i := to; i < m.at; i++ {
		for _, s := range m.ladder[i].Shed {
			now, left, over := m.nominal(s.Class), 0.0, m.ladder[m.at-1].Ramp
			if to > 0 {
				left = m.ladder[to-1].share(s.Class)
			}
			if r := m.release[s.Class]; r != nil {
				r.over = max(r.over, over)
			} else if now > left && over > 0 {
				m.release[s.Class] = &release{share: now, begun: m.now, over: over}
			}
		}
	}
}

// ramp brings back what levels that were left have shed: over its time, and no further than servers are warm, but within a
// bound, as a tier in which some server always starts would otherwise never serve all.
func (m *Machine) ramp() {
	warm := m.last[Warm]
	for class, r := range m.release {
		gone := m.now.Sub(r.begun)
		part := float64(gone) / float64(r.over)
		if !math.IsNaN(warm) && warm < warmEnough {
			part = min(part, max(warm, part/slowest))
		}
		if r.reached = max(r.reached, part); r.reached >= 1 {
			delete(m.release, class)
		}
	}
}

// Pin keeps a level in force until a time, whatever the signals.
func (m *Machine) Pin(name string, now, until time.Time) error {
	i, ok := m.ladder.index(name)
	if !ok {
		return fmt.Errorf("%w: %q", ErrUnknown, name)
	}
	m.advance(now)
	m.pinned, m.until = true, until
	m.jump(i, ByOperator, "pinned until "+until.UTC().Format(time.RFC3339))
	return nil
}

// Release ends a pin: from now on the signals decide.
func (m *Machine) Release(now time.Time) {
	m.advance(now)
	m.pinned = false
}

func (m *Machine) advance(now time.Time) {
	if now.After(m.now) {
		m.now = now
	}
}

// jump goes to a level at once. The steps between count as crossed now, so that signals move on from there no sooner than they
// may.
func (m *Machine) jump(to int, by, why string) {
	if to == m.at {
		return
	}
	if to < m.at {
		m.bringBack(to)
	}
	for i := m.at; i < to; i++ {
		m.steps[i].up = m.now
	}
	for i := to; i < m.at; i++ {
		m.steps[i].down = m.now
	}
	m.move(to, by, why)
}

// Reload puts another ladder in force. A level stays in force by its name. One that the new ladder does not name is taken for
// renamed if the level in its place is new too; else the nearest milder one that stays is in force. Of steps the new ladder
// knows by the name of their level it is still known when they were crossed.
func (m *Machine) Reload(l Ladder, now time.Time) {
	m.advance(now)
	old, steps, at := m.ladder, m.steps, m.at
	next := make([]step, len(l))
	for i := range next {
		next[i] = step{since: -1}
		if k, ok := old.index(l[i].Name); ok {
			next[i] = steps[k-1]
		} else if i < len(old) && !l.has(old[i].Name) {
			next[i] = steps[i]
		}
	}
	to := 0
	for i := at; i > 0; i-- {
		if k, ok := l.index(old[i-1].Name); ok {
			to = k
			break
		}
		if i == at && i <= len(l) && !old.has(l[i-1].Name) {
			to = i
			break
		}
	}
	was := m.name(at)
	m.ladder, m.steps = l, next
	for i := range to { // steps that were not crossed count as crossed now
		if m.steps[i].up.IsZero() {
			m.steps[i].up = m.now
		}
	}
	for i := to; i < len(l); i++ {
		if m.steps[i].up.After(m.steps[i].down) { // it is no more in force
			m.steps[i].down = m.now
		}
	}
	for class := range m.release {
		if m.shed(class) == nil {
			delete(m.release, class)
		}
	}
	if m.at = to; m.name(to) == was {
		return
	}
	m.changed(was, to, ByReload, "the file in force has other levels")
	m.pinned = m.pinned && l.has(was)
}

func (l Ladder) has(name string) bool {
	_, ok := l.index(name)
	return ok
}

// Clone is a machine of the same state, for a pool that is made anew; what comes back from a level that was left is not taken over,
// as the classes may be others.
func (m *Machine) Clone() *Machine {
	c := *m
	c.steps, c.changes, c.asked = append([]step(nil), m.steps...), append([]Change(nil), m.changes...), nil
	c.release = map[int]*release{}
	return &c
}
