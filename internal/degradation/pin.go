package degradation

import (
	"fmt"
	"time"
)

// Pin keeps a level until a time, whatever the signals are. The only error is ErrUnknownLevel.
func (c *Controller) Pin(name string, now, until time.Time) error {
	level, ok := c.ladder.indexOf(name)
	if !ok {
		return fmt.Errorf("%w: %q", ErrUnknownLevel, name)
	}
	c.advance(now)
	c.pinned, c.pinnedUntil = true, until
	c.jumpTo(level, ByOperator, "pinned until "+until.UTC().Format(time.RFC3339))
	return nil
}

// Unpin ends a pin: the signals decide again.
func (c *Controller) Unpin(now time.Time) {
	c.advance(now)
	c.pinned = false
}

// jumpTo changes to a level at once. All steps in between count as taken now, so that MinTime and MinTimeOff apply to the next
// change by signals.
func (c *Controller) jumpTo(level int, by, reason string) {
	if level == c.level {
		return
	}
	if level < c.level {
		c.startRestoring(level)
	}
	for i := c.level; i < level; i++ {
		c.transitions[i].enteredAt = c.now
	}
	for i := level; i < c.level; i++ {
		c.transitions[i].leftAt = c.now
	}
	c.setLevel(level, by, reason)
}
