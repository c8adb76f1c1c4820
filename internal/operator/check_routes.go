package operator

import (
	"errors"
	"fmt"
	"slices"
)

// maxRoutes bounds the routes of a file.
const maxRoutes = 20_000

// routeChecker checks routes against the listeners and pools of the file.
type routeChecker struct {
	*checker
	listeners map[string]bool            // by name
	classes   map[string]map[string]bool // by pool and name
}

func (c *checker) checkRoutes() {
	list := c.cfg.Routes
	if c.checkCount("route", len(list), maxRoutes) {
		return
	}
	rc := c.newRouteChecker()
	seen := map[string]string{}
	usable := make([]bool, len(list))
	for i := range list {
		path, faults := fmt.Sprintf("route[%d]", i), len(c.errs)
		c.checkUniqueName(path, list[i].Name, seen)
		rc.checkRoute(path, &list[i])
		usable[i] = len(c.errs) == faults
	}
	c.compileRoutes(usable)
}

func (c *checker) newRouteChecker() *routeChecker {
	rc := &routeChecker{checker: c, listeners: map[string]bool{}, classes: map[string]map[string]bool{}}
	for _, l := range c.cfg.Listeners {
		rc.listeners[l.Name] = true
	}
	c.protocols = map[string]string{}
	for _, p := range c.cfg.Pools {
		c.protocols[p.Name] = p.Protocol
		rc.classes[p.Name] = map[string]bool{}
		for _, class := range p.Classes {
			rc.classes[p.Name][class.Name] = true
		}
	}
	return rc
}

func (c *routeChecker) checkRoute(path string, r *Route) {
	for i, name := range r.Listeners {
		if !c.listeners[name] {
			c.reportf(fmt.Sprintf("%s.listeners[%d]", path, i), "there is no listener %q", name)
		}
	}
	c.checkMatch(path, r)
	if r.hasFixedAnswer() {
		if r.Redirect != "" {
			c.checkListenersAccept(path, r)
		}
		if r.Pool != "" || r.Class != "" {
			c.report(path+".pool", errors.New("a route gives a fixed answer or names a pool, not both"))
		}
		return
	}
	if r.Body != "" {
		c.report(path+".body", errors.New("needs a status: only a fixed answer has a body"))
	}
	c.checkDestination(path, r)
	c.checkListenersAccept(path, r)
}

// checkMatch checks the path and the conditions by which a route is chosen.
func (c *routeChecker) checkMatch(path string, r *Route) {
	given := 0
	for _, s := range [...]string{r.Exact, r.Prefix, r.Regex} {
		if s != "" {
			given++
		}
	}
	if given != 1 {
		c.report(path, errors.New("needs exactly one of exact, prefix and regex"))
	}
	for field, list := range map[string][]Condition{"headers": r.Headers, "query": r.Query} {
		for i, condition := range list {
			if condition.Present != nil && condition.Value != "" {
				c.report(fmt.Sprintf("%s.%s[%d]", path, field, i), errors.New("has a value or present, not both"))
			}
		}
	}
}

// checkDestination checks the pool and the class of a route without a fixed answer.
func (c *routeChecker) checkDestination(path string, r *Route) {
	known, ok := c.classes[r.Pool]
	switch {
	case r.Pool == "":
		c.report(path+".pool", errors.New("is missing: a route needs a pool, a status or a redirect"))
	case !ok:
		c.reportf(path+".pool", "there is no pool %q", r.Pool)
	case r.Class == "":
		c.report(path+".class", errors.New("is missing"))
	case !known[r.Class]:
		c.reportf(path+".class", "pool %q has no class %q", r.Pool, r.Class)
	}
}

// checkListenersAccept checks that the listeners of a route accept the protocol of its pool: gRPC calls cannot be forwarded to
// HTTP/1.1 servers, and HTTP/1.1 requests cannot be forwarded to gRPC servers.
func (c *routeChecker) checkListenersAccept(path string, r *Route) {
	protocol := c.protocolOf(r, "")
	if protocol != HTTP && protocol != GRPC {
		return
	}
	displayName := map[string]string{HTTP: "HTTP/1.1", GRPC: "gRPC"}[protocol]
	anyAccepts := false
	for i := range c.cfg.Listeners {
		l := &c.cfg.Listeners[i]
		accepts := l.accepts(protocol)
		anyAccepts = anyAccepts || accepts
		if n := slices.Index(r.Listeners, l.Name); n >= 0 && !accepts {
			c.reportf(fmt.Sprintf("%s.listeners[%d]", path, n), "listener %q (front %q) does not take %s, which the route needs",
				l.Name, l.Front, displayName)
		}
	}
	if len(r.Listeners) == 0 && !anyAccepts {
		c.reportf(path+".pool", "no listener takes %s, which the route needs", displayName)
	}
}

// protocolOf returns the protocol that a route needs: HTTP/1.1 for a redirect, the protocol of the pool for a route with a pool.
// Other fixed answers work over every protocol; for those it returns fallback.
func (c *checker) protocolOf(r *Route, fallback string) string {
	if r.Redirect != "" {
		return HTTP
	}
	if protocol, ok := c.protocols[r.Pool]; ok {
		return protocol
	}
	return fallback
}
