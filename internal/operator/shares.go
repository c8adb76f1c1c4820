package operator

import "math"

const (
	// LeastSockets is the smallest descriptor limit that leaves some for callers and for servers.
	LeastSockets = 64
	callerPart   = 0.6 // of the descriptors that are not reserved; servers get the rest
)

// Divide tells how many connections callers may hold and how many there may be to servers, under a limit of descriptors.
// Some are reserved: for the runtime, standard streams, a listener, a source and what is on its way, and those beside.
func Divide(sockets, beside int) (callers, servers int) {
	free := max(sockets-16-sockets/32-beside, 0)
	callers = int(callerPart * float64(free))
	return callers, free - callers
}

// Descriptors divides those of a file, all its listeners and pools together.
func (c *Config) Descriptors() (callers, servers int) {
	return Divide(c.Limits.Sockets, len(c.Listeners)+2*len(c.Pools))
}

// Allocate deals n descriptors out to pools: each gets its least, and the rest goes by weight. The shares sum to n, or to
// less where no pool has a weight; a pool whose promise cannot be kept has to be refused before.
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
	// Largest remainders, the first of equal ones: every pool's part is within one of its due.
	left := rest
	remainders := make([]float64, len(pools))
	for i, p := range pools {
		due := float64(rest) * p.Weight / weights
		whole := math.Floor(due)
		shares[i] += int(whole)
		left -= int(whole)
		remainders[i] = due - whole
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
