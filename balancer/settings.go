package balancer

import (
	"errors"
	"fmt"
	"math"
)

// Effect says whether a request of a class may be executed more than once.
type Effect uint8

// The effects of a request.
const (
	Safe   Effect = iota // may be repeated
	Keyed                // repeats are recognized by a key, within a group of servers and for a time
	Unsafe               // must never be executed twice
)

// DedupGroup is the set of servers that recognize repeats of a keyed request.
type DedupGroup uint8

// The groups of servers.
const (
	DedupAll DedupGroup = iota
	DedupZone
	DedupCell
)

// Class describes a class of requests.
type Class struct {
	Name           string
	PriorityWeight float64 // weight in the goal of a request that is completed in time; default 1
	LateShare      float64 // share of PriorityWeight that a response after the target counts
	LatencyTarget  float64
	TargetPerWork  float64 // added to the target for each unit of a request's WorkHint
	Timeout        float64
	Effect         Effect
	DedupGroup     DedupGroup // keyed only
	DedupWindow    float64    // keyed only: for how long the group recognizes a request
	Streaming      bool
}

// Tenant is a group of clients that has a quota of its own.
type Tenant struct {
	Name  string
	Quota float64 // requests a second over all replicas; 0 = no quota
}

// Limits are what the site permits. Those for the caller are not used by this package.
type Limits struct {
	MaxAttempts             int // of a request; default 1
	MaxRequests             int // requests that have not ended, at each replica; 0 = no limit
	CanCancel               bool
	CanHedge                bool // for the caller
	CanProbe                bool
	RetryAfter              bool    // for the caller
	MaxRetryAfter           float64 // for the caller
	ConnectTimeout          float64 // for the caller
	ConnIdleTimeout         float64 // idle time after which connections are closed; 0 = unknown
	StreamsPerConn          int     // attempts that a connection carries at once; default 1
	MinConcurrencyPerServer float64 // least concurrency limit for each serving server; servers reject the excess
	RejectWithoutServers    bool    // requests end at once while no server is usable, and do not wait for one
}

// Safety holds the parameters of the safety rules.
type Safety struct {
	ResponseSlack     float64 // for the caller
	DrainGrace        float64 // for the caller
	SlowStartShare    float64 // share of its capacity that a server has at its start, at least
	SlowStartTime     float64 // time after which it has its full capacity, at the latest
	OverloadMultiple  float64 // for the caller
	OverloadTime      float64 // for the caller
	ListInterval      float64 // longest interval between polls of the list
	DrainCloseTime    float64 // time within which idle connections to a draining server are closed; 0 = they are not
	RetryBudgetMin    float64 // retries that are always allowed within a RetryBudgetWindow
	RetryBudgetShare  float64 // retries allowed beyond these, as a share of the requests in the window
	RetryBudgetWindow float64 // 0 = the site sets no budget
}

// Settings configure an instance of the module at its start. Times are in milliseconds.
type Settings struct {
	Replicas         int // instances that send to this tier; default 1
	Rank             int // rank of this instance among them, from 0
	Tier, Tiers      int // the tier that this instance sends to, and their number; 0 is the first
	Zone             int
	PollsList        bool    // the server list is polled, not pushed
	WeightByWork     bool    // the goal counts requests by their work
	ProbeCost        float64 // cost of one probe for each request, as a share of the goal
	QueueLengthField int     // position of the queue length in a load report, from 1; 0 = none
	WorstClassWeight float64 // weight of the worst-served class in the goal, relative to that of all
	OverQuotaShare   float64 // share of its priority weight that a request beyond its tenant's quota has
	Classes          []Class
	Tenants          []Tenant
	Limits           Limits
	Safety           Safety
}

// normalize fills in defaults, and returns an error that names the first invalid setting.
func (set *Settings) normalize() error {
	set.Replicas, set.Tiers = max(set.Replicas, 1), max(set.Tiers, 1)
	set.Limits.MaxAttempts = max(set.Limits.MaxAttempts, 1)
	if len(set.Classes) == 0 {
		return errors.New("settings: Classes is empty: at least one class is required")
	}
	if set.Tier < 0 || set.Tier >= set.Tiers {
		return fmt.Errorf("settings: Tier %d is not between 0 and %d", set.Tier, set.Tiers-1)
	}
	for i := range set.Classes {
		if err := set.Classes[i].validate(); err != nil {
			return fmt.Errorf("settings: Classes[%d]: %w", i, err)
		}
	}
	return set.Safety.validate()
}

func (c *Class) validate() error {
	if c.Effect > Unsafe {
		return fmt.Errorf("Effect %d is unknown: it must be at most %d", c.Effect, Unsafe)
	}
	if !(c.Timeout > 0) || !(c.LatencyTarget > 0) || c.DedupWindow < 0 || c.PriorityWeight < 0 {
		return fmt.Errorf("out of range: Timeout %v and LatencyTarget %v must be positive, "+
			"DedupWindow %v and PriorityWeight %v must not be negative",
			c.Timeout, c.LatencyTarget, c.DedupWindow, c.PriorityWeight)
	}
	return nil
}

func (f *Safety) validate() error {
	for _, setting := range []struct {
		name  string
		value float64
	}{
		{"ResponseSlack", f.ResponseSlack}, {"DrainGrace", f.DrainGrace},
		{"SlowStartShare", f.SlowStartShare}, {"SlowStartTime", f.SlowStartTime},
		{"ListInterval", f.ListInterval}, {"DrainCloseTime", f.DrainCloseTime},
		{"RetryBudgetMin", f.RetryBudgetMin}, {"RetryBudgetShare", f.RetryBudgetShare},
		{"RetryBudgetWindow", f.RetryBudgetWindow},
	} {
		if !(setting.value >= 0) || math.IsInf(setting.value, 0) {
			return fmt.Errorf("settings: Safety.%s %v is negative or not a finite number", setting.name, setting.value)
		}
	}
	return nil
}
