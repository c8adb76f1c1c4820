package plan

import (
	"math"

	"milletmast/internal/emulate"
)

// ErlangC returns the probability that a request has to wait in an M/M/c queue, for a number of servers and an offered load in servers.
// It is 1 if the load is at least the number of servers.
func ErlangC(servers int, load float64) float64 {
	if load >= float64(servers) {
		return 1
	}
	blocking := 1.0 // Erlang B by its recursion, which is numerically stable
	for n := 1; n <= servers; n++ {
		blocking = load * blocking / (float64(n) + load*blocking)
	}
	utilization := load / float64(servers)
	return blocking / (1 - utilization*(1-blocking))
}

// erlangServers returns the fewest servers whose cores, as a single queue, let a share of the requests wait no longer than their
// latency target allows. It returns 0 if no number up to maxServers does.
func erlangServers(scenario *emulate.Scenario, rate, share float64) int {
	const tolerance = 1e-12
	parts, meanWork, slack := totalParts(scenario), 0.0, math.Inf(1) // ms; slack is the longest wait within the latency target of every class
	for _, w := range scenario.Work {
		work := w.Mean.MS() / meanSpeed(scenario)
		meanWork += w.Part / parts * work
		for _, class := range scenario.Pool.Classes {
			if class.Name == w.Class {
				slack = min(slack, class.Aim.MS()-work)
			}
		}
	}
	if slack <= 0 {
		return 0
	}
	load := rate * meanWork / msPerSecond
	for n := 1; n <= maxServers; n++ {
		cores := n * scenario.Servers.Cores
		if load >= float64(cores) {
			continue
		}
		// The wait of those requests that have to wait is exponentially distributed, with the unused capacity as its rate.
		late := ErlangC(cores, load) * math.Exp(-(float64(cores)-load)*slack/meanWork)
		if late <= 1-share+tolerance {
			return n
		}
	}
	return 0
}
