package degradation

import (
	"math"
	"time"
)

const (
	warmEnough       = 0.95 // WarmRatio from which warming up does not slow restoring down
	maxRestoreFactor = 4    // most that restoring takes, as a multiple of RestoreTime, however few servers are warm
)

// restoration gradually admits a class again after a level that shed it was left. It continues when levels are left or entered
// meanwhile: the class is shed by the larger of its ratio and that of the present level.
type restoration struct {
	share     float64 // ratio that was shed at the start
	startedAt time.Time
	duration  time.Duration
	restored  float64 // share that is admitted again, from 0 to 1
}

// startRestoring starts to restore the classes that a lower level sheds less.
func (c *Controller) startRestoring(target int) {
	duration := c.ladder[c.level-1].RestoreTime
	for i := target; i < c.level; i++ {
		for _, rule := range c.ladder[i].Shedding {
			present, remaining := c.nominalRatio(rule.Class), 0.0
			if target > 0 {
				remaining = c.ladder[target-1].shedRatio(rule.Class)
			}
			if r := c.restoring[rule.Class]; r != nil {
				r.duration = max(r.duration, duration)
			} else if present > remaining && duration > 0 {
				c.restoring[rule.Class] = &restoration{share: present, startedAt: c.now, duration: duration}
			}
		}
	}
}

// updateRestoring continues to restore: linearly with time, and no further than WarmRatio. That delay is bounded by
// maxRestoreFactor, as a pool in which some server always warms up would never be restored otherwise.
func (c *Controller) updateRestoring() {
	warm := c.signals[WarmRatio]
	for class, r := range c.restoring {
		progress := float64(c.now.Sub(r.startedAt)) / float64(r.duration)
		if !math.IsNaN(warm) && warm < warmEnough {
			progress = min(progress, max(warm, progress/maxRestoreFactor))
		}
		if r.restored = max(r.restored, progress); r.restored >= 1 {
			delete(c.restoring, class)
		}
	}
}
