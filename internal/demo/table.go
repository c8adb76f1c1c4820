package demo

import (
	"fmt"
	"io"
	"strings"
	"time"

	"milletmast/internal/sidecar"
)

// formatTable returns a table of the pools and of the servers. Request rates are since the last table.
func formatTable(status sidecar.Status, servers []*server, interval time.Duration) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-8s %8s %6s %12s %9s %9s %9s\n", "pool", "usable", "open", "connections", "served", "refused", "failed")
	for _, p := range status.Pools {
		fmt.Fprintf(&b, "%-8s %4d of %d %6d %5d of %3d %9d %9d %9d\n",
			p.Name, p.Usable, p.Servers, p.Open, p.Connections, p.MaxConnections, p.Served, p.Refused, p.Failed)
	}
	fmt.Fprintf(&b, "%-8s %-8s %10s %10s %12s  %s\n", "server", "pool", "a second", "in flight", "connections", "")
	for _, s := range servers {
		requests, _, inFlight, conns := s.Counts()
		rate := float64(requests-s.requestsBefore) / interval.Seconds()
		fmt.Fprintf(&b, "%-8s %-8s %10.0f %10d %12d  %s\n", s.Name, s.pool, rate, inFlight, conns, s.behavior)
		s.requestsBefore = requests
	}
	return b.String() + "\n"
}

// printSummary prints the outcomes of the load's requests.
func printSummary(out io.Writer, took time.Duration, results resultsByRoute) {
	fmt.Fprintf(out, "ended after %.1f s\n", took.Seconds())
	for _, route := range []string{browsePool, plansPool} {
		r := results[route]
		r.mu.Lock()
		mean := time.Duration(0)
		if r.served > 0 {
			mean = r.total / time.Duration(r.served)
		}
		fmt.Fprintf(out, "%-8s served=%d refused=%d failed=%d mean=%v longest=%v\n", route, r.served, r.refused, r.failed,
			mean.Round(100*time.Microsecond), r.longest.Round(100*time.Microsecond))
		r.mu.Unlock()
	}
}
