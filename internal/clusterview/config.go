package clusterview

import (
	"fmt"
	"time"
)

// Config is the configuration of a Tracker.
type Config struct {
	ConfiguredReplicas int // replicas by the operator file, used while no other member is known; at least 1
	ConfiguredRank     int // rank of this replica by the operator file

	// SettleTime is how long the members must stay the same before the view is Agreed.
	SettleTime time.Duration
	// HoldTime is how long an uncertain replica keeps its last agreed position; afterwards it assumes twice as many
	// replicas. Failures with one cause must be detected within half of it.
	HoldTime time.Duration
	// MaxSuddenLoss is the share of the agreed members that may fail together; more counts as a possible partition. At most
	// MaxSuddenLossLimit.
	MaxSuddenLoss float64
	// MaxFlaps changes between alive and failed within FlapWindow are accepted of a member; with more it is damped.
	MaxFlaps   int
	FlapWindow time.Duration
}

// DefaultConfig returns a configuration for a fleet whose members detect failures within a few seconds.
func DefaultConfig() Config {
	return Config{
		ConfiguredReplicas: 1,
		SettleTime:         time.Second,
		HoldTime:           10 * time.Second,
		MaxSuddenLoss:      0.2,
		MaxFlaps:           4,
		FlapWindow:         time.Minute,
	}
}

// validate returns an error that says which values are invalid.
func (c *Config) validate() error {
	switch {
	case c.ConfiguredReplicas < 1 || c.ConfiguredRank < 0 || c.ConfiguredRank >= c.ConfiguredReplicas:
		return fmt.Errorf(
			"clusterview: rank %d of %d replicas: there must be at least 1 replica, and ranks count from 0",
			c.ConfiguredRank,
			c.ConfiguredReplicas,
		)
	case c.SettleTime <= 0 || c.HoldTime <= c.SettleTime || c.FlapWindow <= 0 || c.MaxFlaps < 2:
		return fmt.Errorf(
			"clusterview: settle time %v, hold time %v, %d flaps in %v: the hold time must exceed the settle time, and 2 flaps are the minimum",
			c.SettleTime,
			c.HoldTime,
			c.MaxFlaps,
			c.FlapWindow,
		)
	case !(c.MaxSuddenLoss > 0 && c.MaxSuddenLoss <= MaxSuddenLossLimit): // also if it is NaN
		return fmt.Errorf("clusterview: maximum sudden loss %v is not above 0 and at most %v", c.MaxSuddenLoss, MaxSuddenLossLimit)
	}
	return nil
}

// MaxSuddenLossLimit is the largest share of a fleet whose simultaneous failure may be accepted at once: with it the sum
// over the two sides of a partition stays within MaxTotalShare.
const MaxSuddenLossLimit = 0.2

// MaxTotalShare bounds the sum of the shares that all replicas take of one quota, where the whole quota is 1, whatever
// views they have during a partition into two sides.
const MaxTotalShare = 1.25
