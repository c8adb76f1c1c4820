package admin

import (
	"bytes"
	"fmt"
	"strings"
)

// Stats are the counters of a sidecar since its start, and its present state.
type Stats struct {
	Classes      []Class
	Attempts     uint64 // requests written in full to endpoints
	Pending      int    // requests in progress
	Endpoints    int    // listed endpoints
	Unavailable  int    // of these: draining, held out of service, or failing
	Held         int    // endpoints held out of service by operators
	Reloads      uint64
	ReloadErrors uint64
}

// Class are the requests of one class by their result.
type Class struct {
	Name                        string
	Completed, Rejected, Failed uint64
}

// metricPrefix begins the name of each metric.
const metricPrefix = "sidecar_"

// labelEscaper escapes the value of a label, as the Prometheus text format requires.
var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// Encode returns the statistics in the Prometheus text format, version 0.0.4.
func (f *Stats) Encode() []byte {
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
	for _, c := range f.Classes {
		for _, r := range [...]struct {
			result string
			count  uint64
		}{{"completed", c.Completed}, {"rejected", c.Rejected}, {"failed", c.Failed}} {
			fmt.Fprintf(&out, "%s%s{lane=\"%s\",result=\"%s\"} %d\n", metricPrefix, requests, labelEscaper.Replace(c.Name), r.result, r.count)
		}
	}
	writeMetric("upstream_requests_total", "counter", "Attempts written whole to endpoints.", f.Attempts)
	writeMetric("pending", "gauge", "Requests taken and not ended.", f.Pending)
	writeMetric("members", "gauge", "Endpoints on the list.", f.Endpoints)
	writeMetric("members_unavailable", "gauge", "Listed endpoints that are avoided: draining, held out or failing.", f.Unavailable)
	writeMetric("members_held", "gauge", "Endpoints held out by hand.", f.Held)
	writeMetric("config_reloads_total", "counter", "Configurations taken since the start.", f.Reloads)
	writeMetric("config_reload_errors_total", "counter", "Configurations that could not be used.", f.ReloadErrors)
	return out.Bytes()
}
