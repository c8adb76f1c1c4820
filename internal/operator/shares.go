package operator

import "math"

const (
	// MinSockets is the smallest descriptor limit that leaves some for callers and for servers.
	MinSockets = 64
	// callerShare is the callers' share of the descriptors that are not reserved; servers get the rest.
	callerShare = 0.6
	// reservedDescriptors are for the runtime, the standard streams and what is being accepted,
	reservedDescriptors = 16
	// as is one of so many of all.
	reservedPart = 32
)

// DivideDescriptors returns how many connections callers may hold and how many there may be to servers, under a limit of
// descriptors of which inUse are taken by listeners and the like.
func DivideDescriptors(limit, inUse int) (callers, servers int) {
	free := max(limit-reservedDescriptors-limit/reservedPart-inUse, 0)
	callers = int(callerShare * float64(free))
	return callers, free - callers
}

// DivideDescriptors divides the descriptors of a file for all its listeners and pools together. A pool uses two beside its
// connections, for its source.
func (c *Config) DivideDescriptors() (callers, servers int) {
	return DivideDescriptors(c.Limits.Sockets, len(c.Listeners)+2*len(c.Pools))
}

// Allocate divides n descriptors among pools: each gets its guaranteed number, and the rest is divided by weight. The shares
// sum to n, or to less if no pool has a weight. Guarantees of more than n have to be refused before.
func Allocate(n int, pools []Share) []int {
	shares := make([]int, len(pools))
	weights, rest := 0.0, n
	for i, p := range pools {
		shares[i] = p.Least
		rest -= p.Least
		weights += p.Weight
	}
	if rest <= 0 || weights <= 0 {
		return shares
	}
	// The largest remainder method, the first of equal ones: the share of each pool is within one of its exact part.
	left := rest
	remainders := make([]float64, len(pools))
	for i, p := range pools {
		exact := float64(rest) * p.Weight / weights
		whole := math.Floor(exact)
		shares[i] += int(whole)
		left -= int(whole)
		remainders[i] = exact - whole
	}
	for ; left > 0; left-- {
		best := 0
		for i := range remainders {
			if remainders[i] > remainders[best] {
				best = i
			}
		}
		shares[best]++
		remainders[best] = -1
	}
	return shares
}
