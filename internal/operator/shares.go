package operator

import "math"

const (
	// MinSockets is the smallest descriptor limit that leaves descriptors for client and for server connections.
	MinSockets = 64
	// clientShare is the share of client connections in the descriptors that are not reserved. Server connections get the rest.
	clientShare = 0.6
	// reservedDescriptors are reserved for the runtime, the standard streams and connections that are being accepted.
	reservedDescriptors = 16
	// reservedPart is the divisor of the limit for a further reserve: one descriptor in 32.
	reservedPart = 32
)

// DivideDescriptors returns the maximum numbers of connections from clients and to servers for a limit of descriptors. inUse is the
// number of descriptors that listeners and other files use.
func DivideDescriptors(limit, inUse int) (clients, servers int) {
	free := max(limit-reservedDescriptors-limit/reservedPart-inUse, 0)
	clients = int(clientShare * float64(free))
	return clients, free - clients
}

// DivideDescriptors divides the descriptors of a file among client and server connections. Each pool uses two descriptors for its
// source in addition to its connections.
func (c *Config) DivideDescriptors() (clients, servers int) {
	return DivideDescriptors(c.Limits.Sockets, len(c.Listeners)+2*len(c.Pools))
}

// Allocate divides n descriptors among pools: each gets its guaranteed number, and the rest is divided by weight. The shares
// sum to n, or to less if no pool has a weight. The caller must reject guarantees of more than n.
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
	// Largest remainder method; the first of equal remainders wins. The share of each pool differs from its exact share by less than 1.
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
