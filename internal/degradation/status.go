package degradation

import (
	"slices"
	"time"
)

// Status is the state of a controller, for operators.
type Status struct {
	Level         string
	Since         time.Time
	By, Reason    string    // of the last change
	PinnedUntil   time.Time // zero if the level is not pinned
	Shedding      []Shedding
	Restored      float64   // lowest restored share of a class that is being restored; 1 if there is none
	EarliestLeave time.Time // if the conditions to leave are met from now on; zero at Normal
	BlockedBy     string    // unmet conditions to leave, with the values of their signals
	Signals       SignalValues
	Changes       []Change // the latest, oldest first
	ChangeCount   uint64   // since the start
	LevelNames    []string // of all levels, from Normal up
}

// Shedding is the ratio of the callers of a class that is shed.
type Shedding struct {
	Class int
	Share float64
}

// Status returns the state of the controller of a pool with a number of classes.
func (c *Controller) Status(classes int) Status {
	s := Status{
		Level:       c.levelName(c.level),
		Since:       c.levelSince,
		By:          c.changedBy,
		Reason:      c.reason,
		Restored:    1,
		Signals:     c.signals,
		Changes:     slices.Clone(c.changes),
		ChangeCount: c.changeCount,
	}
	for level := range len(c.ladder) + 1 {
		s.LevelNames = append(s.LevelNames, c.levelName(level))
	}
	if c.pinned {
		s.PinnedUntil = c.pinnedUntil
	}
	for _, r := range c.restoring {
		s.Restored = min(s.Restored, r.restored)
	}
	for class := range classes {
		if ratio := c.shedRatio(class); ratio > 0 {
			s.Shedding = append(s.Shedding, Shedding{class, ratio})
		}
	}
	if c.level == 0 {
		return s
	}
	s.BlockedBy = c.describeAll(c.blockingConditions())
	s.EarliestLeave = c.earliestLeave()
	if leaveAt := c.now.Add(c.ladder[c.level-1].LeaveAfter - max(c.leaveMetFor, 0)); leaveAt.After(s.EarliestLeave) {
		s.EarliestLeave = leaveAt
	}
	if c.pinned && c.pinnedUntil.After(s.EarliestLeave) {
		s.EarliestLeave = c.pinnedUntil
	}
	return s
}
