package degradation

import (
	"slices"
	"time"
)

// SetLadder replaces the ladder, which must be valid. The present level is kept by its name. If the new ladder does not have
// it, it counts as renamed if the level in its place is new too; else the next milder level that the new ladder has is
// taken. Transitions are kept by the names of their levels.
func (c *Controller) SetLadder(ladder Ladder, now time.Time) {
	c.advance(now)
	before := c.levelName(c.level)
	level := levelAfterReload(c.ladder, ladder, c.level)
	c.transitions = transitionsAfterReload(c.ladder, ladder, c.transitions)
	c.ladder = ladder
	c.completeTransitions(level)
	for class := range c.restoring {
		if c.shedRule(class) == nil {
			delete(c.restoring, class)
		}
	}
	if c.level = level; c.levelName(level) == before {
		return
	}
	c.recordChange(before, level, ByReload, "the file in force has other levels")
	c.pinned = c.pinned && ladder.contains(before)
}

// transitionsAfterReload returns the transitions of a new ladder, with the state of the old ones.
func transitionsAfterReload(old, ladder Ladder, transitions []transition) []transition {
	next := make([]transition, len(ladder))
	for i := range next {
		next[i] = transition{enterMetFor: notMet}
		if k, ok := old.indexOf(ladder[i].Name); ok {
			next[i] = transitions[k-1]
		} else if i < len(old) && !ladder.contains(old[i].Name) { // renamed
			next[i] = transitions[i]
		}
	}
	return next
}

// levelAfterReload returns the level of a new ladder that takes the place of one of the old ladder.
func levelAfterReload(old, ladder Ladder, level int) int {
	for i := level; i > 0; i-- {
		if k, ok := ladder.indexOf(old[i-1].Name); ok {
			return k
		}
		if i == level && i <= len(ladder) && !old.contains(ladder[i-1].Name) { // renamed
			return i
		}
	}
	return 0
}

// completeTransitions makes the transitions consistent with a level: the steps up to it count as taken, the others as not.
func (c *Controller) completeTransitions(level int) {
	for i := range level {
		if c.transitions[i].enteredAt.IsZero() {
			c.transitions[i].enteredAt = c.now
		}
	}
	for i := level; i < len(c.ladder); i++ {
		if c.transitions[i].enteredAt.After(c.transitions[i].leftAt) {
			c.transitions[i].leftAt = c.now
		}
	}
}

// Clone returns a controller of the same state, for a pool that is replaced. Restorations are left out, as the new
// pool may have other classes.
func (c *Controller) Clone() *Controller {
	clone := *c
	clone.transitions, clone.changes = slices.Clone(c.transitions), slices.Clone(c.changes)
	clone.demand, clone.restoring = nil, map[int]*restoration{}
	return &clone
}
