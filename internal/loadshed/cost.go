package loadshed

import "slices"

// costDrift is the factor by which the lowest cost of a class rises at each decision, so that an old minimum expires.
const costDrift = 1.0025

// costEstimator estimates the cost of a request of each class: the lowest recent median of the replicas' reports. The
// median ignores single false reports, the lowest value ignores times of high load.
type costEstimator struct {
	lowest []float64 // ms, by class; 0 if unknown
}

// update takes the reports of one decision and returns the costs in ms. A class of unknown cost gets the mean of the others.
func (e *costEstimator) update(reports [][]ClassRates) []float64 {
	costs := make([]float64, len(e.lowest))
	sum, known := 0.0, 0
	for class := range e.lowest {
		e.lowest[class] *= costDrift
		if median := medianCost(reports, class); median > 0 && (e.lowest[class] == 0 || median < e.lowest[class]) {
			e.lowest[class] = median
		}
		if costs[class] = e.lowest[class]; costs[class] > 0 {
			sum += costs[class]
			known++
		}
	}
	for class, cost := range costs {
		if cost == 0 {
			costs[class] = max(sum/float64(max(known, 1)), 1)
		}
	}
	return costs
}

// medianCost returns the lower median of the known costs of a class; 0 if none is known.
func medianCost(reports [][]ClassRates, class int) float64 {
	var costs []float64
	for _, report := range reports {
		if cost := report[class].Cost; cost > 0 {
			costs = append(costs, cost)
		}
	}
	if len(costs) == 0 {
		return 0
	}
	slices.Sort(costs)
	return costs[(len(costs)-1)/2]
}
