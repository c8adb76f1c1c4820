// Package meshconfig parses and validates the operators' configuration and compiles it to a routing
// table. It is pure: it turns bytes into an immutable Config.
package meshconfig

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	"github.com/mailru/easyjson"
	"github.com/mailru/easyjson/jlexer"

	"milletmast/internal/mesh/affinity"
)

var space = errorx.NewNamespace("meshconfig")

// Invalid is the type of errors of a configuration; each error names the route or service, and the
// field.
var Invalid = space.NewType("invalid")

// RouteKind says which requests of a route may be retried.
type RouteKind uint8

// The kinds of routes.
const (
	Safe     RouteKind = iota // may run more than once
	Mutating                  // at most once for each attempt of the client
	Ingest                    // as Mutating, with large bodies
)

var routeKinds = map[string]RouteKind{"safe": Safe, "mutating": Mutating, "ingest": Ingest}

func (k RouteKind) String() string { return [...]string{"safe", "mutating", "ingest"}[k] }

// WeightedTarget is a target of a route and its weight.
type WeightedTarget struct {
	Service string
	Weight  float64
}

// Route selects the requests of a host by a path prefix.
type Route struct {
	Name, Host, Prefix      string
	Kind                    RouteKind
	Deadline, TargetLatency time.Duration      // 0 for none
	Priority                int                // 0 is the highest
	MaxAttempts             int                // endpoints that may be tried for one attempt of the client
	Targets                 []WeightedTarget   // at least one with a positive weight
	Affinity                affinity.KeySource // how to identify a client that is assigned to one endpoint; the zero value for none
}

// Service is the configuration of the endpoints of a service.
type Service struct {
	Name, ProbePath string
	MaxConns        int           // 0 for no bound
	Warmup          time.Duration // slow start of an endpoint after its start
	WarmupRate      float64       // requests a second to an endpoint that is warming up; 0 for no bound
}

// Limits bound what clients may send.
type Limits struct {
	MaxHeaderBytes, MaxBodyBytes int64
	HeaderTimeout, IdleTimeout   time.Duration
}

// Config is a configuration. It is immutable.
type Config struct {
	Version  uint64
	Routes   []Route
	Services map[string]*Service
	Limits   Limits
	hosts    map[string][]*Route // longest prefix first
}

// Version parses a version, such as r12.
func Version(text string) (uint64, error) {
	digits, ok := strings.CutPrefix(text, "r")
	n, err := strconv.ParseUint(digits, 10, 63)
	if !ok || err != nil {
		return 0, Invalid.New("epoch: %q is not a version, such as r12", text)
	}
	return n, nil
}

// Parse parses and validates a configuration. The error lists everything that is wrong with it.
func Parse(text []byte) (*Config, error) {
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
	rows(&d.Services, "services", fault, func(r *row) {
		s := &Service{Name: r.text("name"), ProbePath: r.text("probe_path"), MaxConns: int(r.number("max_conns"))}
		s.Warmup, s.WarmupRate = r.seconds("warmup_s"), r.number("warmup_per_s")
		if s.Name == "" {
			r.fault("name", "is empty")
		}
		if c.Services[s.Name] != nil {
			r.fault("name", "%q is the name of another service too", s.Name)
		}
		c.Services[s.Name] = s
	})
	rows(&d.Routes, "routes", fault, func(r *row) { c.Routes = append(c.Routes, c.route(r)) })
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
	if len(faults) > 0 {
		return nil, Invalid.New("%s", strings.Join(faults, "; "))
	}
	return c, nil
}

// limits validates the limits; those that are not given have defaults.
func (c *Config) limits(l *limits, fault func(string, ...any)) {
	c.Limits = Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 64 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	if l == nil {
		return
	}
	for name, v := range map[string]float64{"max_header_bytes": float64(l.MaxHeaderBytes), "max_body_bytes": float64(l.MaxBodyBytes),
		"header_timeout_s": l.HeaderTimeout, "idle_timeout_s": l.IdleTimeout} {
		if v < 0 || v > 1e12 {
			fault("limits: %s: %v is not between 0 and 1e12", name, v)
		}
	}
	c.Limits.MaxHeaderBytes = cmp.Or(l.MaxHeaderBytes, c.Limits.MaxHeaderBytes)
	c.Limits.MaxBodyBytes = cmp.Or(l.MaxBodyBytes, c.Limits.MaxBodyBytes)
	c.Limits.HeaderTimeout = cmp.Or(seconds(l.HeaderTimeout), c.Limits.HeaderTimeout)
	c.Limits.IdleTimeout = cmp.Or(seconds(l.IdleTimeout), c.Limits.IdleTimeout)
}

// maxLatencyOverDeadline bounds the excess of the target latency of a route over its deadline: a
// target latency that is so far above it or farther is invalid.
const maxLatencyOverDeadline = time.Minute

// route validates a row of the table of routes.
func (c *Config) route(r *row) Route {
	out := Route{
		Name: r.text("name"), Host: strings.ToLower(r.text("authority")), Prefix: r.text("path_prefix"),
		Deadline: r.seconds("deadline_s"), TargetLatency: r.seconds("target_latency_s"),
		Priority: int(r.number("priority")), MaxAttempts: max(int(r.number("max_tries")), 1),
	}
	kind, ok := routeKinds[r.text("route_class")]
	if out.Kind = kind; !ok {
		r.fault("route_class", "%q is none of safe, mutating and ingest", r.text("route_class"))
	}
	if out.Host == "" {
		r.fault("authority", "is empty")
	}
	if !strings.HasPrefix(out.Prefix, "/") || !strings.HasSuffix(out.Prefix, "/") {
		r.fault("path_prefix", "%q does not begin and end with a slash", out.Prefix)
	}
	if out.Deadline > 0 && out.TargetLatency >= out.Deadline+maxLatencyOverDeadline {
		r.fault("target_latency_s", "%v is %v or more above deadline_s, %v", out.TargetLatency, maxLatencyOverDeadline, out.Deadline)
	}
	var err error
	if out.Affinity, err = affinity.ParseKeySource(r.text("affinity")); err != nil {
		r.fault("affinity", "%v", err)
	}
	out.Targets = c.targets(r)
	return out
}

// targets validates the targets of a route: weighted_targets, or else a single target.
func (c *Config) targets(r *row) (out []WeightedTarget) {
	var targets split
	if raw := r.cells["weighted_targets"]; present(raw) {
		if err := easyjson.Unmarshal(raw, &targets); err != nil {
			r.fault("weighted_targets", "%v", err)
		}
	}
	if one := r.text("target"); one != "" && len(targets) == 0 {
		targets = split{{Target: one, Weight: 1}}
	}
	sum := 0.0
	for _, t := range targets {
		if c.Services[t.Target] == nil {
			r.fault("target", "%q is no service", t.Target)
		}
		if !(t.Weight >= 0) || t.Weight > maxWeight {
			r.fault("weighted_targets", "weight %v of %q is not between 0 and %v", t.Weight, t.Target, maxWeight)
		}
		if sum += t.Weight; t.Weight > 0 {
			out = append(out, WeightedTarget{t.Target, t.Weight})
		}
	}
	if !(sum > 0) {
		r.fault("weighted_targets", "the weights sum to 0, or there is no target")
	}
	return out
}

// maxWeight bounds the weight of a target.
const maxWeight = 1e9

// row is one record of a table.
type row struct {
	cells   map[string]easyjson.RawMessage // by attribute
	context string                         // table and record, in errors
	report  func(string, ...any)
}

// rows calls each for every record of a table; name is that of the table in errors.
func rows(t *table, name string, fault func(string, ...any), each func(*row)) {
	for i, tuple := range t.Tuples {
		if len(tuple) != len(t.Attributes) {
			fault("%s: tuple %d has %d values for %d attributes", name, i+1, len(tuple), len(t.Attributes))
			continue
		}
		r := &row{cells: make(map[string]easyjson.RawMessage, len(tuple)), report: fault}
		for k, attribute := range t.Attributes {
			r.cells[attribute] = tuple[k]
		}
		r.context = fmt.Sprintf("%s: %s", name, cmp.Or(r.text("name"), "tuple "+strconv.Itoa(i+1)))
		each(r)
	}
}

// present reports whether a cell has a value.
func present(raw easyjson.RawMessage) bool { return len(raw) > 0 && string(raw) != "null" }

// fault reports an error of a field.
func (r *row) fault(field, format string, args ...any) {
	r.report("%s: %s: %s", r.context, field, fmt.Sprintf(format, args...))
}

// text returns the string in a field; empty for none.
func (r *row) text(field string) string {
	raw := r.cells[field]
	if !present(raw) {
		return ""
	}
	l := jlexer.Lexer{Data: raw}
	s := l.String()
	if l.Error() != nil {
		r.fault(field, "is not a string")
	}
	return s
}

// number returns the number in a field; 0 for none.
func (r *row) number(field string) float64 {
	raw := r.cells[field]
	if !present(raw) {
		return 0
	}
	l := jlexer.Lexer{Data: raw}
	n := l.Float64()
	if l.Error() != nil || !(n >= 0) || n > 1e9 {
		r.fault(field, "is not a number from 0 to 1e9")
		return 0
	}
	return n
}

func (r *row) seconds(field string) time.Duration { return seconds(r.number(field)) }

func seconds(s float64) time.Duration { return time.Duration(min(s, 1e9) * float64(time.Second)) }

// Match returns the route of a host and a path without its query; nil for none.
func (c *Config) Match(host, path string) *Route {
	host = strings.ToLower(host)
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, r := range c.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Pick returns the target of a route for a number in [0, 1): the targets share the range by weight.
func (r *Route) Pick(point float64) string {
	sum := 0.0
	for _, t := range r.Targets {
		sum += t.Weight
	}
	point = math.Max(point, 0) * sum
	for _, t := range r.Targets {
		if point -= t.Weight; point < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}
