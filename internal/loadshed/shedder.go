package loadshed

import "time"

// Shedder admits the requests of a pool at one replica: it counts them, exchanges summaries and applies the latest decision.
// It is not safe for concurrent use.
type Shedder struct {
	*Controller
	meter    *Meter
	current  Decision
	sequence uint64 // of summaries
}

// NewShedder returns the shedder of a pool, or an error that says which value is invalid.
func NewShedder(config Config) (*Shedder, error) {
	controller, err := NewController(config)
	if err != nil {
		return nil, err
	}
	return &Shedder{Controller: controller, meter: NewMeter(len(config.Weights))}, nil
}

// Current returns the latest decision.
func (s *Shedder) Current() Decision { return s.current }

// Admit reports whether a request of a caller is admitted, and counts it. The caller is a uniform hash.
func (s *Shedder) Admit(class int, caller uint64) bool {
	admitted := s.current.Admits(class, caller)
	s.meter.CountArrival(class, admitted)
	return admitted
}

// RecordResult records the result of an admitted request: rejected, on time, or neither.
func (s *Shedder) RecordResult(class int, rejected, onTime bool) {
	s.meter.CountResult(class, rejected, onTime)
}

// Update makes the next decision, and returns the summary for the other replicas of the requests that were counted under the last one. It
// is to be called every Interval. The incarnation is of this process; costOf returns the known cost of a class in ms, or 0.
func (s *Shedder) Update(incarnation uint64, costOf func(class int) float64, now time.Time) Summary {
	s.sequence++
	summary := Summary{
		From: s.config.Name, Incarnation: incarnation, Sequence: s.sequence, Classes: s.meter.Rotate(costOf), Level: s.current.Level,
	}
	s.current = s.Decide(summary.Classes, now)
	return summary
}
