package loadshed

import (
	"cmp"
	"math"
	"slices"
)

// The admission level is one number for all classes of a pool. With the classes in the order of their weight per cost, the
// level is the sum of their admitted ratios: at 2.5 the two best classes are admitted in full, half of the third one, and
// nothing of the others.

// classOrder returns the classes in descending order of their weight per cost.
func classOrder(weights, costs []float64) []int {
	order := make([]int, len(costs))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(weights[b]/costs[b], weights[a]/costs[a]) })
	return order
}

// admitRatios returns the admitted ratio of each class at a level.
func admitRatios(level float64, order []int) []float64 {
	ratios := make([]float64, len(order))
	for place, class := range order {
		ratios[class] = min(max(level-float64(place), 0), 1)
	}
	return ratios
}

// moveLevel returns the level at which work more is admitted, or less if it is negative. Demand is the work that arrives of
// each class, in the same unit.
func moveLevel(level, work float64, order []int, demand []float64) float64 {
	for place := int(level); work > 0 && place < len(order); place++ {
		classDemand, left := demand[order[place]], float64(place+1)-level
		if classDemand*left > work {
			return level + work/classDemand
		}
		work -= classDemand * left
		level = float64(place + 1)
	}
	for place := int(math.Ceil(level)) - 1; work < 0 && place >= 0; place-- {
		classDemand, left := demand[order[place]], level-float64(place)
		if classDemand*left > -work {
			return level + work/classDemand
		}
		work += classDemand * left
		level = float64(place)
	}
	return level
}

// fullyAdmitted returns the classes that a level admits in full, or all but the marginal one.
func fullyAdmitted(level float64, order []int) []int {
	return order[:max(int(math.Ceil(level))-1, 0)]
}
