package meshconfig

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/mailru/easyjson"

	"milletmast/internal/decimal"
	"milletmast/internal/mesh/affinity"
)

// Parse parses and validates a configuration. The error lists everything that is wrong with it.
func Parse(text []byte) (*Config, error) {
	if !json.Valid(text) { // the lexer of easyjson also reads numbers and separators that are not JSON
		return nil, Invalid.New("the configuration is not JSON of the expected form: it is cut off or malformed")
	}
	var d document
	if err := easyjson.Unmarshal(text, &d); err != nil {
		return nil, Invalid.Wrap(err, "the configuration is not JSON of the expected form")
	}
	version, err := Version(d.Epoch)
	if err != nil {
		return nil, err
	}
	c := &Config{Version: version, Services: map[string]*Service{}, hosts: map[string][]*Route{}}
	var faults []string
	fault := func(format string, args ...any) { faults = append(faults, fmt.Sprintf(format, args...)) }
	c.limits(d.Limits, fault)
	rows(d.Services, "services", fault, c.addService)
	rows(d.Routes, "routes", fault, func(r *row) { c.Routes = append(c.Routes, c.route(r)) })
	c.indexHosts(fault)
	if len(faults) > 0 {
		return nil, Invalid.New("%s", strings.Join(faults, "; "))
	}
	return c, nil
}

// indexHosts fills the index of routes by host.
func (c *Config) indexHosts(fault func(string, ...any)) {
	prefixes := map[[2]string]bool{} // by host and prefix
	for i := range c.Routes {
		r := &c.Routes[i]
		if key := [2]string{r.Host, r.Prefix}; prefixes[key] {
			fault("routes: %s: path_prefix: %s%s belongs to another route too", r.Name, r.Host, r.Prefix)
		} else {
			prefixes[key] = true
		}
		c.hosts[r.Host] = append(c.hosts[r.Host], r)
	}
	for _, routes := range c.hosts {
		slices.SortFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
}

// limits validates the limits; those that are not given, or are 0, have defaults.
func (c *Config) limits(given limits, fault func(string, ...any)) {
	r := &row{cells: given, context: "limits", report: fault}
	c.Limits = Limits{
		MaxHeaderBytes: cmp.Or(r.integer("max_header_bytes"), defaultMaxHeaderBytes),
		MaxBodyBytes:   cmp.Or(r.integer("max_body_bytes"), defaultMaxBodyBytes),
		HeaderTimeout:  cmp.Or(r.seconds("header_timeout_s"), defaultHeaderTimeout),
		IdleTimeout:    cmp.Or(r.seconds("idle_timeout_s"), defaultIdleTimeout),
	}
}

// Limits of a configuration that gives none.
const (
	defaultMaxHeaderBytes = 16 << 10
	defaultMaxBodyBytes   = 64 << 20
	defaultHeaderTimeout  = 3 * time.Second
	defaultIdleTimeout    = 15 * time.Second
)

// addService validates a row of the table of services.
func (c *Config) addService(r *row) {
	s := &Service{
		Name: r.text("name"), ProbePath: r.text("probe_path"), MaxConns: r.maximum("max_conns"),
		Warmup: r.seconds("warmup_s"), WarmupRate: r.rate("warmup_per_s"),
	}
	if s.Name == "" {
		r.fault("name", "is empty")
	}
	if c.Services[s.Name] != nil {
		r.fault("name", "%q is the name of another service too", s.Name)
	}
	c.Services[s.Name] = s
}

// maxLatencyOverDeadline bounds the excess of the target latency of a route over its deadline, in
// seconds: a target latency that is so far above it or farther is invalid.
const maxLatencyOverDeadline = 60

// route validates a row of the table of routes.
func (c *Config) route(r *row) Route {
	deadline, targetLatency := r.number("deadline_s"), r.number("target_latency_s")
	out := Route{
		Name: r.text("name"), Host: strings.ToLower(r.text("authority")), Prefix: r.text("path_prefix"),
		Deadline: boundedSeconds(deadline), TargetLatency: boundedSeconds(targetLatency),
		Priority: r.count("priority"), MaxAttempts: max(r.count("max_tries"), 1),
	}
	kind, ok := routeKinds[r.text("route_class")]
	if out.Kind = kind; !ok {
		r.fault("route_class", "%q is none of safe, mutating and ingest", r.text("route_class"))
	}
	if withoutPort(strings.TrimSpace(out.Host)) == "" {
		r.fault("authority", "is empty")
	}
	if !strings.HasPrefix(out.Prefix, "/") || !strings.HasSuffix(out.Prefix, "/") {
		r.fault("path_prefix", "%q does not begin and end with a slash", out.Prefix)
	}
	r.checkTargetLatency(deadline, targetLatency)
	var err error
	if out.Affinity, err = affinity.ParseKeySource(r.text("affinity")); err != nil {
		r.fault("affinity", "%v", err)
	}
	out.Targets = c.targets(r)
	return out
}

// checkTargetLatency compares the target latency of a route with its deadline, as they are written: a
// difference below a nanosecond counts too. A route without one of them has no such bound.
func (r *row) checkTargetLatency(deadline, targetLatency decimal.Number) {
	if !present(r.cells["deadline_s"]) || !present(r.cells["target_latency_s"]) {
		return
	}
	if bound := deadline.Add(decimal.FromInt(maxLatencyOverDeadline)); targetLatency.Compare(bound) >= 0 {
		r.fault("target_latency_s", "%s is %d s or more above deadline_s, %s",
			r.cells["target_latency_s"], maxLatencyOverDeadline, r.cells["deadline_s"])
	}
}

// targets validates the targets of a route: weighted_targets, or else a single target. A service that
// either names has to exist.
func (c *Config) targets(r *row) (out []WeightedTarget) {
	var targets split
	if raw := r.cells["weighted_targets"]; present(raw) {
		if err := easyjson.Unmarshal(raw, &targets); err != nil {
			r.fault("weighted_targets", "%v", err)
		}
	}
	single := r.text("target")
	if single != "" {
		c.checkTarget(r, single)
	}
	if single != "" && len(targets) == 0 {
		return []WeightedTarget{{single, 1}}
	}
	for _, t := range targets {
		c.checkTarget(r, t.Target)
		weight := r.nonNegative("weighted_targets", t.Weight)
		if weight.Sign() > 0 {
			out = append(out, WeightedTarget{t.Target, min(weight.Float64(), maxWeight)})
		}
	}
	if len(out) == 0 {
		r.fault("weighted_targets", "the weights sum to 0, or there is no target")
	}
	return out
}

func (c *Config) checkTarget(r *row, service string) {
	if c.Services[service] == nil {
		r.fault("target", "%q is no service", service)
	}
}

// maxWeight is the greatest weight of a target, so that the sum of all is finite; a greater one counts as this.
const maxWeight = 1e300
