package admin

import (
	"bytes"
	"fmt"
	"strings"
)

// Stats holds the counters of a sidecar since its start, and its current state.
type Stats struct {
	Classes      []Class
	Attempts     uint64 // requests written completely to endpoints
	Pending      int    // requests in progress
	Endpoints    int    // listed endpoints
	Unavailable  int    // listed endpoints that are draining, held out of service, or failing
	Held         int    // endpoints held out of service by operators
	Reloads      uint64
	ReloadErrors uint64
}

// Class holds the number of requests of one class by result.
type Class struct {
	Name                        string
	Completed, Rejected, Failed uint64
}

// metricPrefix is the prefix of all metric names.
const metricPrefix = "sidecar_"

// labelEscaper escapes label values for the Prometheus text format.
var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// Encode returns the statistics in the Prometheus text format, version 0.0.4.
func (s *Stats) Encode() []byte {
	var out bytes.Buffer
	writeHeader := func(name, kind, help string) {
		fmt.Fprintf(&out, "# HELP %s%s %s\n# TYPE %s%s %s\n", metricPrefix, name, help, metricPrefix, name, kind)
	}
	writeMetric := func(name, kind, help string, value any) {
		writeHeader(name, kind, help)
		fmt.Fprintf(&out, "%s%s %d\n", metricPrefix, name, value)
	}
	const requests = "downstream_requests_total"
	writeHeader(requests, "counter", "Requests by class and by how they ended.")
	for _, c := range s.Classes {
		for _, r := range [...]struct {
			result string
			count  uint64
		}{{"completed", c.Completed}, {"rejected", c.Rejected}, {"failed", c.Failed}} {
			fmt.Fprintf(&out, "%s%s{lane=\"%s\",result=\"%s\"} %d\n", metricPrefix, requests, labelEscaper.Replace(c.Name), r.result, r.count)
		}
	}
	writeMetric("upstream_requests_total", "counter", "Attempts written whole to endpoints.", s.Attempts)
	writeMetric("pending", "gauge", "Requests taken and not ended.", s.Pending)
	writeMetric("members", "gauge", "Endpoints on the list.", s.Endpoints)
	writeMetric("members_unavailable", "gauge", "Listed endpoints that are avoided: draining, held out or failing.", s.Unavailable)
	writeMetric("members_held", "gauge", "Endpoints held out by hand.", s.Held)
	writeMetric("config_reloads_total", "counter", "Configurations taken since the start.", s.Reloads)
	writeMetric("config_reload_errors_total", "counter", "Configurations that could not be used.", s.ReloadErrors)
	return out.Bytes()
}
