// Package outlier is outlier ejection by quorum: proxies agree before an unhealthy instance is
// ejected for all. Each proxy has opinions from its own calls; an instance is ejected only if a
// majority of the proxies with evidence agree, from more than one zone, and never more than a given
// share of a service. The package is pure.
package outlier

import (
	"time"
)

// Limits define which calls make an instance unhealthy for a proxy, how many proxies must agree to
// eject it, and for how long.
type Limits struct {
	Window            time.Duration // older calls are ignored
	MinCalls          int           // fewer calls of a proxy give no opinion
	MinFailures       int           // fewer failures leave an instance healthy
	MinFailureRatio   float64       // of the calls, for an unhealthy instance
	MinRelativeRatio  float64       // failure ratio relative to the other instances of the service, to exclude common causes
	ComparedInstances int           // other instances of the service that are polled for the comparison
	MinVoters         int           // least number of proxies with an opinion
	MaxEjectedShare   float64       // of a service
	BaseEjectionTime  time.Duration // from the first ejection of an instance until its return
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
