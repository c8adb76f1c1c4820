package sidecar

import (
	"container/heap"
	"container/list"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net/http"
	"time"

	"milletmast/balancer"
	"milletmast/internal/degradation"
	"milletmast/internal/operator"
	"milletmast/internal/state"
)

const (
	levelInterval = 100 * time.Millisecond // between two updates of a pool's level
	maxPinTime    = 24 * time.Hour
)

// levelState is the state of a pool with levels of reduced service (package degradation). The event loop owns it.
type levelState struct {
	pool       string
	controller *degradation.Controller
	meter      *degradation.Meter
	waiting    *list.List // calls that have not been sent yet, the oldest first
	coldStarts []float64  // start times of the ready servers that may be cold
}

// setLevels applies the levels of a pool. If it had none, previous is the controller of the pool that this one replaces; nil for
// none.
func (l *eventLoop) setLevels(p *operator.Pool, previous *degradation.Controller) {
	ladder, now := p.Ladder(), time.Now()
	if len(ladder) == 0 {
		if s := l.levels; s != nil {
			for e := s.waiting.Front(); e != nil; e = e.Next() {
				e.Value.(*call).queueElement = nil
			}
		}
		l.levels = nil
		l.setCallerHeader(p)
		return
	}
	l.setCallerHeader(p)
	window := time.Duration(p.LevelWindow)
	if s := l.levels; s != nil {
		s.controller.SetLadder(ladder, now)
		s.meter = degradation.NewMeter(window, len(p.Classes), now)
		return
	}
	s := &levelState{pool: p.Name, meter: degradation.NewMeter(window, len(p.Classes), now), waiting: list.New()}
	if previous != nil {
		s.controller = previous
		s.controller.SetLadder(ladder, now)
	} else {
		s.controller = degradation.NewController(ladder, now)
	}
	l.levels = s
	l.recordColdServers()
	l.updateLevels()
}

// setCallerHeader enables or disables the distinction of callers. Levels need it, and use the address if no header is set. The
// shedding together with other replicas uses it only if a header is set.
func (l *eventLoop) setCallerHeader(p *operator.Pool) {
	l.callerHeader.Store(nil)
	if len(p.Levels) > 0 || p.Allot && p.LevelCaller != "" {
		l.callerHeader.Store(&p.LevelCaller)
	}
}

// updateLevels updates the level by the signals, and schedules its next run.
func (l *eventLoop) updateLevels() {
	s := l.levels
	if s == nil {
		return
	}
	now := time.Now()
	r := s.meter.Read(now, l.longestWait())
	usable := float64(max(l.usable-l.balancer.EjectedServers(), 0))
	if len(l.listed) > 0 {
		r[degradation.UsableRatio] = usable / float64(len(l.listed))
	}
	if usable > 0 {
		r[degradation.WarmRatio] = max(0, usable-l.warmUpShortfall()) / usable
	}
	if s.controller.Update(now, r, s.meter.Demand(now)) {
		st := s.controller.Status(0)
		c := st.Changes[len(st.Changes)-1]
		slog.Warn("change degradation level", "pool", s.pool, "from", c.From, "to", c.To, "by", c.By, "reason", c.Reason)
	}
	heap.Push(&l.timers, &timedTask{at: l.now() + inMillis(levelInterval), run: l.updateLevels, onlyFor: s})
}

// longestWait returns for how long the oldest call that has not been sent has waited.
func (l *eventLoop) longestWait() time.Duration {
	if e := l.levels.waiting.Front(); e != nil {
		return millis(l.now() - e.Value.(*call).arrivedAt)
	}
	return 0
}

// recordColdServers records the start times of the servers that may be cold.
func (l *eventLoop) recordColdServers() {
	s := l.levels
	if s == nil {
		return
	}
	s.coldStarts = s.coldStarts[:0]
	ramp := l.settings.Safety.SlowStartTime
	for _, t := range l.targets {
		t = l.withOverride(t)
		if serverStates[t.State] == balancer.Ready && l.now()-t.BootMS < ramp {
			s.coldStarts = append(s.coldStarts, t.BootMS)
		}
	}
}

// warmUpShortfall returns the capacity that cold servers lack, as a number of servers. Like the decision module, it assumes that a
// server warms up linearly.
func (l *eventLoop) warmUpShortfall() float64 {
	s, f := l.levels, &l.settings.Safety
	cold, kept := 0.0, s.coldStarts[:0]
	for _, began := range s.coldStarts {
		if age := l.now() - began; age < f.SlowStartTime {
			cold += (1 - f.SlowStartShare) * (1 - max(age, 0)/f.SlowStartTime)
			kept = append(kept, began)
		}
	}
	s.coldStarts = kept
	return cold
}

// admitByLevel applies the current level to a new call: it is shed, or its attempts and its deadline are reduced.
func (l *eventLoop) admitByLevel(c *call) {
	s := l.levels
	now := time.Now()
	c.arrivedAt = l.now()
	s.meter.CountArrival(now, int(c.event.Class), l.weightOf(c))
	v := s.controller.Admit(int(c.event.Class), c.callerHash)
	if v.Shed != nil {
		c.shedRule, c.event.Shed = v.Shed, true
		return
	}
	if v.MaxAttempts > 0 && (c.event.MaxAttempts == 0 || c.event.MaxAttempts > v.MaxAttempts) {
		c.event.MaxAttempts = v.MaxAttempts
	}
	if v.DeadlineShare < 1 && !c.sender().isUnbounded() {
		cut := c.timeout * (1 - v.DeadlineShare)
		c.timeout -= cut
		c.event.Deadline -= cut
		c.http.responseTimeout = min(c.http.responseTimeout, millis(c.timeout))
	}
	c.queueElement = s.waiting.PushBack(c)
}

// weightOf returns the priority weight of a call: that of its call context, or of its class.
func (l *eventLoop) weightOf(c *call) float64 {
	if c.event.PriorityWeight > 0 {
		return c.event.PriorityWeight
	}
	return l.settings.Classes[c.event.Class].PriorityWeight
}

// dequeue removes a call from those that have not been sent.
func (s *levelState) dequeue(c *call) {
	if c.queueElement != nil {
		s.waiting.Remove(c.queueElement)
		c.queueElement = nil
	}
}

// recordFirstSend records that a call is being sent for the first time.
func (l *eventLoop) recordFirstSend(c *call) {
	if s := l.levels; s != nil && c.queueElement != nil {
		s.dequeue(c)
		s.meter.RecordQueueTime(time.Now(), millis(l.now()-c.arrivedAt))
	}
}

// recordLevelResult records the end of a call for the signals of the levels.
func (l *eventLoop) recordLevelResult(c *call, status int) {
	s := l.levels
	if s == nil || c.shedRule != nil || c.arrivedAt == 0 {
		return
	}
	s.dequeue(c)
	took, r := math.NaN(), degradation.Served
	switch {
	case isRejection(status):
		r = degradation.Rejected
	case status >= 500:
		r = degradation.Failed
	case !c.sender().isUnbounded() && c.http.upload == nil:
		took = (l.now() - c.arrivedAt) / l.settings.Classes[c.event.Class].LatencyTarget
	}
	s.meter.CountResult(time.Now(), r, l.weightOf(c), took)
}

// callerOf returns the hash of a caller: of the header that the pool sets, or of its address. It is 0 if callers are not
// distinguished.
func (p *pool) callerOf(h http.Header, remote func() string) uint64 {
	by := p.loop.callerHeader.Load()
	if by == nil {
		return 0
	}
	name := ""
	if *by != "" {
		name = h.Get(*by)
	}
	if name == "" {
		name = remote()
	}
	return degradation.HashCaller(name)
}

// Errors of commands on levels.
var (
	ErrUnknownPool = errors.New("there is no such pool")
	ErrNoLevels    = errors.New("the pool has no levels")
)

// Pin keeps a pool at a level for a time, regardless of its signals. The error is degradation.ErrUnknownLevel, ErrUnknownPool,
// ErrNoLevels, or that of an invalid time.
func (i *Instance) Pin(pool, name string, ttl time.Duration) error {
	if err := i.pin(pool, name, ttl); err != nil {
		return err
	}
	return i.savePin(pool, &state.DegradationPin{Level: name, Until: time.Now().Add(ttl)})
}

func (i *Instance) pin(pool, name string, ttl time.Duration) error {
	if ttl <= 0 || ttl > maxPinTime {
		return fmt.Errorf("a level is pinned for up to %v, not %v", maxPinTime, ttl)
	}
	return i.withLevels(pool, func(m *degradation.Controller) error {
		now := time.Now()
		if err := m.Pin(name, now, now.Add(ttl)); err != nil {
			return err
		}
		slog.Warn("pin degradation level", "pool", pool, "level", name, "ttl", ttl)
		return nil
	})
}

// Unpin ends a pin: the signals of the pool decide again.
func (i *Instance) Unpin(pool string) error {
	if err := i.withLevels(pool, func(m *degradation.Controller) error {
		m.Unpin(time.Now())
		slog.Warn("unpin degradation level", "pool", pool)
		return nil
	}); err != nil {
		return err
	}
	return i.savePin(pool, nil)
}

// withLevels calls do with the controller of a pool of the current generation.
func (i *Instance) withLevels(name string, do func(*degradation.Controller) error) error {
	i.mu.Lock()
	p := i.current.pools[name]
	i.mu.Unlock()
	if p == nil {
		return fmt.Errorf("%w: %q", ErrUnknownPool, name)
	}
	err := fmt.Errorf("%w: %q", ErrUnknownPool, name) // returned if the pool has just ended
	p.loop.do(func() {
		if p.loop.levels == nil {
			err = fmt.Errorf("%w: %q", ErrNoLevels, name)
		} else {
			err = do(p.loop.levels.controller)
		}
	})
	return err
}

// levelStatus returns the status of the levels; nil for none. It is called by the event loop.
func (l *eventLoop) levelStatus() *degradation.Status {
	if l.levels == nil {
		return nil
	}
	st := l.levels.controller.Status(len(l.settings.Classes))
	return &st
}

// cloneLevels returns a copy of the controller of a pool for the pool that replaces it; nil for none.
func (p *pool) cloneLevels() (m *degradation.Controller) {
	p.loop.do(func() {
		if p.loop.levels != nil {
			m = p.loop.levels.controller.Clone()
		}
	})
	return m
}
