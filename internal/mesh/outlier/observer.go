package outlier

import (
	"maps"
	"slices"
	"time"
)

// CallResult is the result of a call, as far as the instance is responsible for it.
type CallResult uint8

// The results of calls.
const (
	Succeeded CallResult = iota
	Failed               // the instance failed, or its answer was broken or wrong
	TimedOut             // no answer in time, or no connection to the proxy beside it: the network may be the cause
)

// Opinion is what one proxy has observed of one instance.
type Opinion struct {
	InstanceID        string
	Service           string
	Calls             int // within the window
	Failures          int
	FromEndpointProxy bool // it comes from the proxy beside the endpoint, which sees every call, and not over the network
}

// Observer records the calls of one proxy. It is not safe for concurrent use.
type Observer struct {
	limits    Limits
	instances map[string]*history
}

type history struct {
	service string
	calls   []call
}

type call struct {
	at     time.Time
	result CallResult
}

const maxCallsPerInstance = 64 // bounds the history of an instance

// NewObserver returns an observer without calls.
func NewObserver(b Limits) *Observer { return &Observer{limits: b, instances: map[string]*history{}} }

// Record records the result of a call.
func (obs *Observer) Record(now time.Time, service, instance string, result CallResult) {
	s := obs.instances[instance]
	if s == nil {
		s = &history{service: service}
		obs.instances[instance] = s
	}
	s.calls = append(s.calls, call{now, result})
	if len(s.calls) > maxCallsPerInstance {
		s.calls = append(s.calls[:0], s.calls[len(s.calls)-maxCallsPerInstance:]...)
	}
}

// Opinions returns the present opinions, sorted by instance, and forgets old calls. A proxy that
// times out at most instances that it calls is itself the unhealthy one, or its link is: it has no
// opinions.
func (obs *Observer) Opinions(now time.Time) []Opinion {
	var out []Opinion
	timingOut, known := 0, 0
	for _, instance := range slices.Sorted(maps.Keys(obs.instances)) {
		s := obs.instances[instance]
		s.calls = slices.DeleteFunc(s.calls, func(c call) bool { return now.Sub(c.at) > obs.limits.Window })
		if len(s.calls) == 0 {
			delete(obs.instances, instance)
			continue
		}
		o := Opinion{InstanceID: instance, Service: s.service, Calls: len(s.calls)}
		timeouts := 0
		for _, c := range s.calls {
			if c.result != Succeeded {
				o.Failures++
			}
			if c.result == TimedOut {
				timeouts++
			}
		}
		if known++; 2*timeouts > len(s.calls) {
			timingOut++
		}
		if o.Calls >= obs.limits.MinCalls {
			out = append(out, o)
		}
	}
	if known > 1 && 2*timingOut > known {
		return nil
	}
	return out
}

// IsUnhealthy reports whether an opinion finds an instance unhealthy.
func (l *Limits) IsUnhealthy(o *Opinion) bool {
	return o.Failures >= l.MinFailures && float64(o.Failures) >= l.MinFailureRatio*float64(o.Calls)
}
