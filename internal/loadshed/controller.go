// Package loadshed is load shedding by priority over a whole fleet. For each class of a pool it decides which ratio of the
// requests a replica admits to its decision module, so that in an overload all replicas together serve what one replica that
// saw every request would: the classes with the highest weight per cost.
//
// Replicas send each other summaries. Each decides for itself, and those that have the same summaries decide the same. A
// replica that receives no summaries admits everything, and its own queue decides.
//
// The package has no I/O and no clock. docs/design/overload.md compares it with other approaches.
package loadshed

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Interval is the time between two summaries, and between two decisions.
const Interval = 250 * time.Millisecond

// Config is the configuration of a Controller.
type Config struct {
	Name       string        // of this replica
	Weights    []float64     // priority weight of a request, by class
	MaxAge     time.Duration // up to which a summary counts; at least Interval
	MaxMembers int           // most replicas whose summaries are kept; at least 1
}

// Defaults of a Config.
const (
	defaultMaxAge     = 4 * Interval
	defaultMaxMembers = 10_000
)

// DefaultConfig returns the configuration for summaries that are sent every Interval.
func DefaultConfig(name string, weights []float64) Config {
	return Config{Name: name, Weights: weights, MaxAge: defaultMaxAge, MaxMembers: defaultMaxMembers}
}

const (
	toleratedRejection = 0.02            // ratio of admitted work that may be rejected: bursts alone cause that much
	overloadThreshold  = 0.05            // ratio of admitted work from which rejections count as an overload
	firstIncrease      = 0.005           // of the admitted work, at the first decision without rejections; then twice that, and so on
	maxIncrease        = 0.05            // of the admitted work, at one decision
	maxDecrease        = 0.1             // of the admitted work, at one decision, for rejections of fully admitted classes
	minDemandShare     = 0.05            // of all demand, that a class counts for at least, so that a small one is not switched on and off
	settleTime         = 2 * time.Second // after the start, until windows are full here and elsewhere
	msPerSecond        = 1000
)

// Decision is the share of the requests that a replica admits until the next decision.
type Decision struct {
	AdmitRatio         []float64 // admitted ratio of the callers, by class; nil for all
	Level              float64   // sum of the ratios; the number of classes if all are admitted
	MinWeightPerSecond float64   // weight per second of work below which a class is not admitted in full; 0 if all are
	Demand             float64   // seconds of work per second that arrive at all replicas
	RejectedRatio      float64   // of the admitted work
	Replicas           int       // replicas whose reports count, this one included
}

// AdmitsAll reports whether all requests are admitted.
func (d *Decision) AdmitsAll() bool { return d.MinWeightPerSecond == 0 }

// Controller decides for one pool at one replica. It is not safe for concurrent use.
type Controller struct {
	config    Config
	summaries map[string]*receivedSummary // by name of the replica
	members   map[string]bool             // names whose summaries count; nil for none
	costs     costEstimator

	level          float64   // of the last decision
	sinceRejection float64   // decisions since the last one with rejections
	sinceDecrease  int       // decisions since the level was decreased, here or at most replicas
	startedAt      time.Time // time of the first decision
}

// NewController returns the controller of a pool, or an error that says which value is invalid.
func NewController(config Config) (*Controller, error) {
	classes := len(config.Weights)
	if classes == 0 || config.MaxAge < Interval || config.MaxMembers < 1 {
		return nil, fmt.Errorf(
			"loadshed: classes %d, summary age %v, members %d: the minimums are 1, %v and 1", classes, config.MaxAge, config.MaxMembers, Interval,
		)
	}
	return &Controller{
		config: config, summaries: map[string]*receivedSummary{}, costs: costEstimator{make([]float64, classes)}, level: float64(classes),
	}, nil
}

// SetMembers sets the replicas whose summaries count from now on; none while the members of the fleet are unknown.
func (c *Controller) SetMembers(names []string) {
	c.members = make(map[string]bool, len(names))
	for _, name := range names {
		c.members[name] = true
	}
	for name := range c.summaries {
		if !c.members[name] {
			delete(c.summaries, name)
		}
	}
}

// HandleSummary keeps a summary of another replica and reports whether it counts. Summaries of replicas that are not
// members, out-of-date ones and impossible ones do not.
func (c *Controller) HandleSummary(summary Summary, now time.Time) bool {
	if summary.From == c.config.Name || !c.members[summary.From] || !c.isValid(&summary) {
		return false
	}
	latest := c.summaries[summary.From]
	if latest == nil && len(c.summaries) >= c.config.MaxMembers || latest != nil && !summary.isNewerThan(&latest.Summary) {
		return false
	}
	c.summaries[summary.From] = &receivedSummary{summary, now}
	return true
}

// isValid reports whether a summary has the classes of the pool and values within their bounds.
func (c *Controller) isValid(summary *Summary) bool {
	classes := len(c.config.Weights)
	if len(summary.Classes) != classes || !(summary.Level >= 0 && summary.Level <= float64(classes)) {
		return false
	}
	for i := range summary.Classes {
		if !summary.Classes[i].isValid() {
			return false
		}
	}
	return true
}

// load is the load of a pool over all replicas, in ms of work per second.
type load struct {
	reports  [][]ClassRates // this replica's own first
	costs    []float64      // ms, by class
	order    []int          // classes by weight per cost
	demand   []float64      // work that arrives, by class
	total    float64        // of demand, before its lower bound
	admitted float64
	rejected float64
}

// Decide decides from the rates of this replica and the recent summaries of others. Every replica starts from the median of
// all levels and changes it by the same rule, so that a replica that is new or was partitioned off agrees with the others
// at once, and one with false reports has little effect on the others.
func (c *Controller) Decide(own []ClassRates, now time.Time) Decision {
	if c.startedAt.IsZero() {
		c.startedAt = now
	}
	reports, levels := c.recentReports(own, now)
	l := c.measure(reports)
	rejectedRatio := min(l.rejected/max(l.admitted, 1e-9), 1)
	c.sinceRejection++
	if rejectedRatio > toleratedRejection {
		c.sinceRejection = 0
	}
	slices.Sort(levels)
	level := levels[len(levels)/2]
	if c.sinceDecrease++; level < c.level { // others have decreased theirs
		c.sinceDecrease = 0
	}
	c.level = c.nextLevel(level, rejectedRatio, l, now)
	decision := Decision{
		AdmitRatio: admitRatios(
			c.level,
			l.order,
		),
		Level:         c.level,
		Demand:        l.total / msPerSecond,
		RejectedRatio: rejectedRatio,
		Replicas:      len(reports),
	}
	for _, class := range l.order {
		if decision.AdmitRatio[class] < 1 {
			decision.MinWeightPerSecond = msPerSecond * c.config.Weights[class] / l.costs[class]
			break
		}
	}
	return decision
}

// recentReports returns the rates and levels of all replicas, this one first, and drops summaries over MaxAge.
func (c *Controller) recentReports(own []ClassRates, now time.Time) (reports [][]ClassRates, levels []float64) {
	reports, levels = [][]ClassRates{own}, []float64{c.level}
	for _, name := range slices.Sorted(maps.Keys(c.summaries)) { // in one order everywhere, as sums of floats depend on it
		summary := c.summaries[name]
		if now.Sub(summary.receivedAt) > c.config.MaxAge {
			delete(c.summaries, name)
			continue
		}
		reports = append(reports, summary.Classes)
		if summary.Level > 0 {
			levels = append(levels, summary.Level)
		}
	}
	return reports, levels
}

// measure adds the reports up to the load of the pool.
func (c *Controller) measure(reports [][]ClassRates) *load {
	l := &load{reports: reports, costs: c.costs.update(reports)}
	l.order = classOrder(c.config.Weights, l.costs)
	l.demand = make([]float64, len(l.costs))
	admitted := make([]float64, len(l.costs))
	for i, cost := range l.costs {
		l.demand[i] = robustSum(reports, func(report []ClassRates) float64 { return report[i].Arrived * cost })
		admitted[i] = robustSum(reports, func(report []ClassRates) float64 { return report[i].Admitted * cost })
		l.total += l.demand[i]
	}
	for i := range l.demand {
		l.demand[i] = max(l.demand[i], minDemandShare*l.total, admitted[i])
	}
	l.admitted = l.sumOf(func(rates *ClassRates) float64 { return rates.Admitted })
	l.rejected = l.sumOf(func(rates *ClassRates) float64 { return rates.Rejected })
	return l
}

// sumOf returns the work of a rate over all classes and replicas.
func (l *load) sumOf(rateOf func(*ClassRates) float64) float64 {
	return robustSum(l.reports, func(report []ClassRates) float64 { return totalCost(report, l.costs, rateOf) })
}

// nextLevel returns the level that follows from the median level of all replicas.
func (c *Controller) nextLevel(level, rejectedRatio float64, l *load, now time.Time) float64 {
	maxLevel := float64(len(l.costs))
	switch {
	case len(l.reports) == 1 || now.Sub(c.startedAt) < settleTime:
		return maxLevel // alone: its own queue decides
	case rejectedRatio > overloadThreshold || rejectedRatio > toleratedRejection && level < maxLevel:
		return moveLevel(level, -c.decrease(level, l), l.order, l.demand)
	case level < maxLevel:
		increase := min(maxIncrease, firstIncrease*c.sinceRejection) * max(l.admitted, minDemandShare*l.total)
		return moveLevel(level, increase, l.order, l.demand)
	}
	return level
}

// decrease returns how much less work is to be admitted.
func (c *Controller) decrease(level float64, l *load) float64 {
	rejectedAbove := l.rejectedOf(fullyAdmitted(level, l.order))
	decrease := min(rejectedAbove, maxDecrease*l.admitted)
	if c.sinceDecrease >= windowSlots { // rejections of one window are counted once: the next decisions still see them
		decrease += max(l.rejected-rejectedAbove, 0)
		c.sinceDecrease = 0
	}
	return decrease
}

// rejectedOf returns the rejected work of some classes. Rejections of classes that are admitted in full mean that
// the marginal class still takes capacity that they need at the replicas where they arrive.
func (l *load) rejectedOf(classes []int) float64 {
	return robustSum(l.reports, func(report []ClassRates) float64 {
		rejected := 0.0
		for _, class := range classes {
			rejected += report[class].Rejected * l.costs[class]
		}
		return rejected
	})
}
