package loadshed

import "time"

// ClassRates are the rates of one class of requests, per second over the last window of a second.
type ClassRates struct {
	Arrived  float64
	Admitted float64 // of those that arrived
	Rejected float64 // of those admitted, rejected by the decision module
	OnTime   float64 // responses within the target latency
	Cost     float64 // ms that a response takes at a server that is not busy; 0 if unknown
}

// isValid reports whether the rates are possible. NaN fails each comparison.
func (r *ClassRates) isValid() bool {
	for _, rate := range [...]float64{r.Arrived, r.Admitted, r.Rejected, r.OnTime} {
		if !(rate >= 0 && rate <= maxRate) {
			return false
		}
	}
	return r.Cost >= 0 && r.Cost <= maxCost && r.Admitted <= r.Arrived && r.Rejected <= r.Admitted
}

// Summary reports the load of a pool at one replica to the others.
type Summary struct {
	From        string  // name of the replica
	Incarnation uint64  // of its process
	Sequence    uint64  // counts the summaries of one process
	Level       float64 // of its Decision; 0 before the first
	Classes     []ClassRates
}

// isNewerThan reports whether a summary was sent after another one of the same replica.
func (s *Summary) isNewerThan(other *Summary) bool {
	if s.Incarnation != other.Incarnation {
		return s.Incarnation > other.Incarnation
	}
	return s.Sequence > other.Sequence
}

// receivedSummary is the latest summary of a replica.
type receivedSummary struct {
	Summary
	receivedAt time.Time
}

// Bounds of the values of a summary.
const (
	maxRate = 1e7 // requests per second
	maxCost = 1e7 // ms
)

// minReportsForOutlier is the number of reports from which the highest one is ignored.
const minReportsForOutlier = 5

// robustSum returns the sum of a value over the reports of all replicas. With minReportsForOutlier or more the highest value
// of another replica is left out, so that one replica with false reports cannot make all others shed load. The first
// report is this replica's own.
func robustSum(reports [][]ClassRates, valueOf func([]ClassRates) float64) float64 {
	sum, highest := 0.0, 0.0
	for i, report := range reports {
		value := valueOf(report)
		sum += value
		if i > 0 {
			highest = max(highest, value)
		}
	}
	if len(reports) >= minReportsForOutlier {
		sum -= highest
	}
	return max(sum, 0)
}

// totalCost returns the sum of a rate over all classes, weighted by their costs: ms of work per second.
func totalCost(classes []ClassRates, costs []float64, rateOf func(*ClassRates) float64) float64 {
	total := 0.0
	for i := range classes {
		total += rateOf(&classes[i]) * costs[i]
	}
	return total
}
