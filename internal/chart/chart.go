// Package chart is the operator's configuration: its reading and checking, its order of versions, and the routes that it
// compiles to. It is pure: bytes in, an immutable Chart out.
package chart

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

	"whinknot/internal/moorings"
)

var space = errorx.NewNamespace("chart")

// Invalid is the type of errors about a configuration; each names the route or service, and the field.
var Invalid = space.NewType("invalid")

// Kind says what may be repeated.
type Kind uint8

// The kinds of route.
const (
	Safe     Kind = iota // may run more than once
	Mutating             // at most once for each try
	Ingest               // large bodies, else as Mutating
)

var kinds = map[string]Kind{"safe": Safe, "mutating": Mutating, "ingest": Ingest}

func (k Kind) String() string { return [...]string{"safe", "mutating", "ingest"}[k] }

// Part is one target of a route and its share of it, by weight.
type Part struct {
	Service string
	Weight  float64
}

// Route is where requests of a host go whose path begins so.
type Route struct {
	Name, Host, Prefix string
	Kind               Kind
	Deadline, Aim      time.Duration // 0 for none told
	Priority           int           // 0 is the highest
	Tries              int           // endpoints that one try may be sent to
	Parts              []Part        // at least one, of a weight over 0
	Affinity           moorings.Key  // who somebody is that keeps to one endpoint; the zero value for nobody
}

// Service is what is told of the endpoints of a name.
type Service struct {
	Name, Probe string
	MaxConns    int           // 0 for no bound
	Warmup      time.Duration // how long an endpoint is cold after a start
	WarmupRate  float64       // requests a second that a cold one bears; 0 for no bound
}

// Limits bound what clients may send.
type Limits struct {
	MaxHeader, MaxBody int64
	HeaderTime, Idle   time.Duration
}

// Chart is one configuration. It is immutable.
type Chart struct {
	Version  uint64
	Routes   []Route
	Services map[string]*Service
	Limits   Limits
	hosts    map[string][]*Route // longest prefix first
}

// Version reads the name of a version, as r12.
func Version(text string) (uint64, error) {
	digits, ok := strings.CutPrefix(text, "r")
	n, err := strconv.ParseUint(digits, 10, 63)
	if !ok || err != nil {
		return 0, Invalid.New("epoch: %q is not r and a number", text)
	}
	return n, nil
}

// Parse reads and checks a configuration. The error tells all that is wrong with it.
func Parse(text []byte) (*Chart, error) {
	var d document
	if err := easyjson.Unmarshal(text, &d); err != nil {
		return nil, Invalid.Wrap(err, "it cannot be read whole")
	}
	version, err := Version(d.Epoch)
	if err != nil {
		return nil, err
	}
	c := &Chart{Version: version, Services: map[string]*Service{}, hosts: map[string][]*Route{}}
	var faults []string
	fault := func(format string, args ...any) { faults = append(faults, fmt.Sprintf(format, args...)) }
	c.limits(d.Limits, fault)
	rows(&d.Services, "services", fault, func(r *row) {
		s := &Service{Name: r.text("name"), Probe: r.text("probe_path"), MaxConns: int(r.number("max_conns"))}
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

func (c *Chart) limits(l *limits, fault func(string, ...any)) {
	c.Limits = Limits{MaxHeader: 16 << 10, MaxBody: 64 << 20, HeaderTime: 3 * time.Second, Idle: 15 * time.Second}
	if l == nil {
		return
	}
	for name, v := range map[string]float64{"max_header_bytes": float64(l.MaxHeaderBytes), "max_body_bytes": float64(l.MaxBodyBytes),
		"header_timeout_s": l.HeaderTimeout, "idle_timeout_s": l.IdleTimeout} {
		if v < 0 || v > 1e12 {
			fault("limits: %s: %v is out of bounds", name, v)
		}
	}
	c.Limits.MaxHeader = cmp.Or(l.MaxHeaderBytes, c.Limits.MaxHeader)
	c.Limits.MaxBody = cmp.Or(l.MaxBodyBytes, c.Limits.MaxBody)
	c.Limits.HeaderTime = cmp.Or(seconds(l.HeaderTimeout), c.Limits.HeaderTime)
	c.Limits.Idle = cmp.Or(seconds(l.IdleTimeout), c.Limits.Idle)
}

// mostOver is how far a route's aim may lie above its deadline; with as much it is invalid.
const mostOver = time.Minute

func (c *Chart) route(r *row) Route {
	out := Route{
		Name: r.text("name"), Host: strings.ToLower(r.text("authority")), Prefix: r.text("path_prefix"),
		Deadline: r.seconds("deadline_s"), Aim: r.seconds("target_latency_s"),
		Priority: int(r.number("priority")), Tries: max(int(r.number("max_tries")), 1),
	}
	kind, ok := kinds[r.text("route_class")]
	if out.Kind = kind; !ok {
		r.fault("route_class", "%q is none of safe, mutating and ingest", r.text("route_class"))
	}
	if out.Host == "" {
		r.fault("authority", "is empty")
	}
	if !strings.HasPrefix(out.Prefix, "/") || !strings.HasSuffix(out.Prefix, "/") {
		r.fault("path_prefix", "%q does not begin and end with a slash", out.Prefix)
	}
	if out.Deadline > 0 && out.Aim >= out.Deadline+mostOver {
		r.fault("target_latency_s", "lies a minute or more above deadline_s")
	}
	var err error
	if out.Affinity, err = moorings.ParseKey(r.text("affinity")); err != nil {
		r.fault("affinity", "%v", err)
	}
	var parts split
	if raw := r.cells["weighted_targets"]; present(raw) {
		if err := easyjson.Unmarshal(raw, &parts); err != nil {
			r.fault("weighted_targets", "%v", err)
		}
	}
	if one := r.text("target"); one != "" && len(parts) == 0 {
		parts = split{{Target: one, Weight: 1}}
	}
	sum := 0.0
	for _, p := range parts {
		if c.Services[p.Target] == nil {
			r.fault("target", "%q is no service", p.Target)
		}
		if !(p.Weight >= 0) || p.Weight > 1e9 {
			r.fault("weighted_targets", "weight %v is out of bounds", p.Weight)
		}
		if sum += p.Weight; p.Weight > 0 {
			out.Parts = append(out.Parts, Part{p.Target, p.Weight})
		}
	}
	if !(sum > 0) {
		r.fault("weighted_targets", "the weights sum to 0, or there is no target")
	}
	return out
}

// row is one record of a table.
type row struct {
	cells map[string]easyjson.RawMessage
	of    string
	tell  func(string, ...any)
}

func rows(t *table, of string, fault func(string, ...any), each func(*row)) {
	for i, tuple := range t.Tuples {
		if len(tuple) != len(t.Attributes) {
			fault("%s: tuple %d has %d values for %d attributes", of, i+1, len(tuple), len(t.Attributes))
			continue
		}
		r := &row{cells: make(map[string]easyjson.RawMessage, len(tuple)), tell: fault}
		for k, name := range t.Attributes {
			r.cells[name] = tuple[k]
		}
		r.of = fmt.Sprintf("%s: %s", of, cmp.Or(r.text("name"), "tuple "+strconv.Itoa(i+1)))
		each(r)
	}
}

func present(raw easyjson.RawMessage) bool { return len(raw) > 0 && string(raw) != "null" }

func (r *row) fault(field, format string, args ...any) {
	r.tell("%s: %s: %s", r.of, field, fmt.Sprintf(format, args...))
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

// Match is the route of a host's path, nil for none. The path is without its query.
func (c *Chart) Match(host, path string) *Route {
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

// Pick is the target of a route for a number in [0, 1).
func (r *Route) Pick(at float64) string {
	sum := 0.0
	for _, p := range r.Parts {
		sum += p.Weight
	}
	at = math.Max(at, 0) * sum
	for _, p := range r.Parts {
		if at -= p.Weight; at < 0 {
			return p.Service
		}
	}
	return r.Parts[len(r.Parts)-1].Service
}
