package fleet

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
)

// Plan describes a rollout. Agents store it as JSON so that another tool can continue the rollout; its encoded names must
// not change. Times are milliseconds.
type Plan struct {
	ID             string
	Target         string   // content hash of the configuration
	Instances      []string // in the order in which they are changed
	CanarySize     int      `json:"Canary"`  // instances of the first wave; default 1
	WaveShare      float64  `json:"Share"`   // fraction of all instances in each later wave; default 0.25
	MaxUnavailable int      `json:"MaxAway"` // instances that are being changed or unreachable at once; default 1
	MaxFailed      int      // instances that may refuse or be unreachable before the rollout stops
	SettleTime     float64  `json:"Settle"`  // time between the end of a wave and its gate
	ChangeTimeout  float64  `json:"Timeout"` // time for one change to be confirmed; default 30,000
	MaxAttempts    int      `json:"Tries"`   // maximum number of changes sent to one instance; default 3
	TotalTimeout   float64  `json:"Limit"`   // time for the whole rollout; default one hour
	Gate           Gate

	// RollBackOnFailure rolls back where the rollout would pause or stop otherwise: at a gate, or with too many failures.
	RollBackOnFailure bool `json:"Rollback"`
}

// Gate is the health that the instances of a wave must keep for the next wave to start. A bound of 0 is not checked.
type Gate struct {
	MaxRefusedIncrease float64 `json:"Refused"`  // increase of the fraction of requests that are refused
	MaxFailedIncrease  float64 `json:"Failed"`   // increase of the fraction of requests that fail
	MaxP99Ratio        float64 `json:"P99"`      // p99 latency, as a multiple of that before the change
	MinRequests        uint64  `json:"Requests"` // an instance with fewer requests since its change is not checked
}

// Health holds an instance's request counts since its start, and its recent p99 latency in ms.
type Health struct {
	Served, Refused, Failed uint64
	P99                     float64
}

// Defaults of a plan.
const (
	defaultWaveShare     = 0.25
	defaultMaxAttempts   = 3
	defaultChangeTimeout = 30_000    // ms
	defaultTotalTimeout  = 3_600_000 // ms
)

// validate sets defaults, and returns an error that says which part of the plan is invalid.
func (p *Plan) validate() error {
	p.CanarySize = cmp.Or(p.CanarySize, 1)
	p.MaxUnavailable = cmp.Or(p.MaxUnavailable, 1)
	p.MaxAttempts = cmp.Or(p.MaxAttempts, defaultMaxAttempts)
	p.WaveShare = cmp.Or(p.WaveShare, defaultWaveShare)
	p.ChangeTimeout = cmp.Or(p.ChangeTimeout, defaultChangeTimeout)
	p.TotalTimeout = cmp.Or(p.TotalTimeout, defaultTotalTimeout)
	// Conditions on floats are negated so that NaN is invalid too.
	switch {
	case p.ID == "" || p.Target == "":
		return fmt.Errorf("a rollout needs an id and a target, but has id %q and target %q", p.ID, p.Target)
	case len(p.Instances) == 0:
		return errors.New("no instance is selected")
	case p.CanarySize < 1 || p.MaxUnavailable < 1 || p.MaxAttempts < 1 || p.MaxFailed < 0:
		return fmt.Errorf(
			"canary (%d), away (%d) and tries (%d) must be at least 1, and failed (%d) at least 0",
			p.CanarySize,
			p.MaxUnavailable,
			p.MaxAttempts,
			p.MaxFailed,
		)
	case !(p.WaveShare > 0 && p.WaveShare <= 1):
		return fmt.Errorf("share %v must be above 0 and at most 1", p.WaveShare)
	case !(p.ChangeTimeout > 0) || !(p.TotalTimeout > 0) || !(p.SettleTime >= 0):
		return fmt.Errorf(
			"timeout (%v ms) and limit (%v ms) must be above 0, and settle (%v ms) at least 0",
			p.ChangeTimeout,
			p.TotalTimeout,
			p.SettleTime,
		)
	case !(p.Gate.MaxRefusedIncrease >= 0) || !(p.Gate.MaxFailedIncrease >= 0) || !(p.Gate.MaxP99Ratio >= 0):
		return fmt.Errorf(
			"the gate's bounds must be at least 0: refused %v, failed %v, p99 %v",
			p.Gate.MaxRefusedIncrease,
			p.Gate.MaxFailedIncrease,
			p.Gate.MaxP99Ratio,
		)
	}
	names := slices.Sorted(slices.Values(p.Instances))
	for i := 1; i < len(names); i++ {
		if names[i] == names[i-1] {
			return fmt.Errorf("instance %s is selected twice", names[i])
		}
	}
	return nil
}
