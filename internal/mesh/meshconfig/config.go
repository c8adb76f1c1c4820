// Package meshconfig parses and validates the operators' configuration and compiles it to a routing
// table. It is pure: it turns bytes into an immutable Config.
package meshconfig

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"

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

// HasTarget reports whether the route sends requests to a service.
func (r *Route) HasTarget(service string) bool {
	return slices.ContainsFunc(r.Targets, func(target WeightedTarget) bool { return target.Service == service })
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

// Match returns the route of a host and a path without its query; nil for none.
func (c *Config) Match(host, path string) *Route {
	host = withoutPort(strings.ToLower(host))
	for _, r := range c.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// withoutPort returns the host of an authority, which may be an IPv6 address in brackets.
func withoutPort(authority string) string {
	if i := strings.LastIndexByte(authority, ':'); i >= 0 && !strings.HasSuffix(authority, "]") {
		return authority[:i]
	}
	return authority
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
