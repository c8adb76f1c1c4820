package degradation

import (
	"fmt"
	"math"
)

// Signal is a measurement of a pool.
type Signal uint8

// The signals. Ratios except P95Ratio lie between 0 and 1. Requests that a level sheds are not counted.
const (
	P95Ratio      Signal = iota // 95th percentile of latency, as a multiple of the target latency of the class
	LateRatio                   // share of the responses that took longer than the target latency
	QueueTime                   // longest recent wait of a request for a server, in seconds, also of those still waiting
	RejectedRatio               // share of the requests rejected
	FailedRatio                 // share of the requests failed
	EarnedRatio                 // priority weight of the responses on time, as a share of that of all requests that ended
	UsableRatio                 // share of the listed servers that are ready and not ejected
	WarmRatio                   // share of the capacity of the usable servers that has warmed up
	SignalCount                 // number of signals
)

// signalNames are the names in the operator file and in reports.
var signalNames = [SignalCount]string{"p95", "late", "wait", "refused", "failed", "worth", "usable", "warm"}

func (s Signal) String() string { return signalNames[s] }

// ParseSignal returns the signal of a name.
func ParseSignal(name string) (Signal, bool) {
	for s, n := range signalNames {
		if n == name {
			return Signal(s), true
		}
	}
	return 0, false
}

// isShare reports whether the signal lies between 0 and 1.
func (s Signal) isShare() bool { return s != P95Ratio && s != QueueTime }

// SignalValues are the values of all signals at one time; NaN for a signal without a measurement.
type SignalValues [SignalCount]float64

// NoSignals returns values without any measurement.
func NoSignals() SignalValues {
	var values SignalValues
	for s := range values {
		values[s] = math.NaN()
	}
	return values
}

// Condition is met while a signal is above a bound, or below it.
type Condition struct {
	Signal Signal
	Below  bool
	Bound  float64
}

// isMet reports whether the condition is met by a value; never by NaN.
func (c Condition) isMet(value float64) bool {
	if c.Below {
		return value < c.Bound
	}
	return value > c.Bound
}

func (c Condition) String() string {
	side := ">"
	if c.Below {
		side = "<"
	}
	return fmt.Sprintf("%v %s %.4g", c.Signal, side, c.Bound)
}

// inverse returns the condition by which this one counts as ended. The hysteresis separates their bounds: it is a share of the
// distance between the bound and the best value of the signal.
func (c Condition) inverse(hysteresis float64) Condition {
	out := Condition{Signal: c.Signal, Below: !c.Below, Bound: c.Bound * (1 - hysteresis)}
	if c.Below {
		out.Bound = c.Bound + (1-c.Bound)*hysteresis
	}
	return out
}

// contradicts reports whether this condition to leave a level can be met while one to enter it is.
func (c Condition) contradicts(enter Condition) bool {
	if c.Signal != enter.Signal || c.Below == enter.Below {
		return false
	}
	return enter.Below && c.Bound < enter.Bound || !enter.Below && c.Bound > enter.Bound
}
