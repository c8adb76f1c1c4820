// Package outlier is outlier ejection by quorum: proxies agree before an unhealthy instance is
// ejected for all. Each proxy has opinions from its own calls; an instance is ejected only if a
// majority of the proxies with evidence agree, from more than one zone, and never more than a given
// share of a service. The package is pure.
package outlier

import (
	"time"
)

// Limits define what is evidence, and how much of it is needed.
type Limits struct {
	Window            time.Duration // older calls are ignored
	MinCalls          int           // with fewer calls a proxy has no opinion
	MinFailures       int           // with fewer failures an instance is healthy
	MinFailureRatio   float64       // of the calls, for an unhealthy instance
	MinRelativeRatio  float64       // failure ratio relative to the others of the service: what fails everywhere has another cause
	ComparedInstances int           // other instances that it is compared with
	MinVoters         int           // proxies with an opinion
	MaxEjectedShare   float64       // of a service
	BaseEjectionTime  time.Duration // from an ejection until the instance is tried again
	MaxEjectionTime   time.Duration // bound of the ejection time, which doubles with each ejection
}

// DefaultLimits returns the limits in use.
func DefaultLimits() Limits {
	return Limits{
		Window:            4 * time.Second,
		MinCalls:          4,
		MinFailures:       2,
		MinFailureRatio:   0.25,
		MinRelativeRatio:  3,
		ComparedInstances: 4,
		MinVoters:         3,
		MaxEjectedShare:   0.34,
		BaseEjectionTime:  8 * time.Second,
		MaxEjectionTime:   time.Minute,
	}
}
