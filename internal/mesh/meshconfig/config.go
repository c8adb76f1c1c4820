// Package meshconfig parses and validates the operators' configuration and compiles it to a routing
// table. It is pure: bytes in, an immutable Config out.
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

// Invalid is the type of errors of a configuration; each names the route or service, and the field.
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
	MaxAttempts             int                // endpoints that one attempt of the client may reach
	Targets                 []WeightedTarget   // at least one with a positive weight
	Affinity                affinity.KeySource // how a client is recognized that keeps to one endpoint; the zero value for none
}

// Service is the configuration of the endpoints of a service.
type Service struct {
	Name, ProbePath string
	MaxConns        int           // 0 for no bound
	Warmup          time.Duration // how long an endpoint warms up after its start
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
		return 0, Invalid.New("epoch: %q is not r and a number", text)
	}
	return n, nil
}

// Parse parses and validates a configuration. The error lists everything that is wrong with it.
func Parse(text []byte) (*Config, error) {
	var d document
	if err := easyjson.Unmarshal(text, &d); err != nil {
		return nil, Invalid.Wrap(err, "it cannot be read whole")
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
			r.fault("name", "%q comes twice", s.Name)
		}
		c.Services[s.Name] = s
	})
	rows(&d.Routes, "routes", fault, func(r *row) { c.Routes = append(c.Routes, c.route(r)) })
	places := map[[2]string]bool{}
	for i := range c.Routes {
		r := &c.Routes[i]
		if place := [2]string{r.Host, r.Prefix}; places[place] {
			fault("routes: %s: path_prefix: %s%s comes twice", r.Name, r.Host, r.Prefix)
		} else {
			places[place] = true
		}
		c.hosts[r.Host] = append(c.hosts[r.Host], r)
	}
	for _, of := range c.hosts {
		slices.SortFunc(of, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	if len(faults) > 0 {
		return nil, Invalid.New("%s", strings.Join(faults, "; "))
	}
	return c, nil
}

func (c *Config) limits(l *limits, fault func(string, ...any)) {
	c.Limits = Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 64 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	if l == nil {
		return
	}
	for name, v := range map[string]float64{"max_header_bytes": float64(l.MaxHeaderBytes), "max_body_bytes": float64(l.MaxBodyBytes),
		"header_timeout_s": l.HeaderTimeout, "idle_timeout_s": l.IdleTimeout} {
		if v < 0 || v > 1e12 {
			fault("limits: %s: %v is out of bounds", name, v)
		}
	}
	c.Limits.MaxHeaderBytes = cmp.Or(l.MaxHeaderBytes, c.Limits.MaxHeaderBytes)
	c.Limits.MaxBodyBytes = cmp.Or(l.MaxBodyBytes, c.Limits.MaxBodyBytes)
	c.Limits.HeaderTimeout = cmp.Or(seconds(l.HeaderTimeout), c.Limits.HeaderTimeout)
	c.Limits.IdleTimeout = cmp.Or(seconds(l.IdleTimeout), c.Limits.IdleTimeout)
}

// maxLatencyOverDeadline bounds how far the target latency of a route may exceed its deadline; from
// there on it is invalid.
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
		r.fault("target_latency_s", "lies a minute or more above deadline_s")
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
			r.fault("weighted_targets", "weight %v is out of bounds", t.Weight)
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
	cells   map[string]easyjson.RawMessage
	context string
	report  func(string, ...any)
}

func rows(t *table, of string, fault func(string, ...any), each func(*row)) {
	for i, tuple := range t.Tuples {
		if len(tuple) != len(t.Attributes) {
			fault("%s: tuple %d has %d values for %d attributes", of, i+1, len(tuple), len(t.Attributes))
			continue
		}
		r := &row{cells: make(map[string]easyjson.RawMessage, len(tuple)), report: fault}
		for k, name := range t.Attributes {
			r.cells[name] = tuple[k]
		}
		r.context = fmt.Sprintf("%s: %s", of, cmp.Or(r.text("name"), "tuple "+strconv.Itoa(i+1)))
		each(r)
	}
}

func present(raw easyjson.RawMessage) bool { return len(raw) > 0 && string(raw) != "null" }

func (r *row) fault(field, format string, args ...any) {
	r.report("%s: %s: %s", r.context, field, fmt.Sprintf(format, args...))
}

func (r *row) text(field string) string {
	raw := r.cells[field]
	if !present(raw) {
		return ""
	}
	l := jlexer.Lexer{Data: raw}
	s := l.String()
	if l.Error() != nil {
		r.fault(field, "is no text")
	}
	return s
}

func (r *row) number(field string) float64 {
	raw := r.cells[field]
	if !present(raw) {
		return 0
	}
	l := jlexer.Lexer{Data: raw}
	n := l.Float64()
	if l.Error() != nil || !(n >= 0) || n > 1e9 {
		r.fault(field, "is no number from 0 on")
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

// Pick returns the target of a route for a number in [0, 1).
func (r *Route) Pick(at float64) string {
	sum := 0.0
	for _, p := range r.Targets {
		sum += p.Weight
	}
	at = math.Max(at, 0) * sum
	for _, p := range r.Targets {
		if at -= p.Weight; at < 0 {
			return p.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}
