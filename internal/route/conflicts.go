package route

import (
	"fmt"
	"regexp/syntax"
	"slices"
	"strings"
)

// findConflicts reports routes of equal rank that could match the same request, and routes that never match. Only routes whose hosts and
// paths can match the same request are compared, so that large tables load fast.
func (c *compiler) findConflicts() {
	type key struct {
		host       string
		isWildcard bool
	}
	hosts := map[key]*conflictIndex{}
	for _, e := range c.routes {
		k := key{e.host, e.isWildcard}
		if hosts[k] == nil {
			hosts[k] = &conflictIndex{paths: map[string][]*compiledRoute{}}
		}
		hosts[k].add(e)
	}
	for _, e := range c.routes {
		routes := hosts[key{e.host, e.isWildcard}]
		for _, other := range routes.sameRank(e) {
			if other.index < e.index && compareRank(e, other) == 0 && canOverlap(e, other) {
				c.addError(e.index, "priority", fmt.Errorf(
					"route %q could match the same request and nothing decides between them: give one a higher priority", other.Name))
				break
			}
		}
		// A more specific host takes precedence but matches fewer requests, so only routes of the same host can hide this one.
		for _, other := range routes.mayCover(e) {
			if other != e && compareRank(other, e) < 0 && covers(other, e) {
				c.addError(e.index, "path", fmt.Errorf(
					"is unreachable: route %q matches all that this one does, and goes first", other.Name))
				break
			}
		}
	}
}

// conflictIndex holds the routes of one host by their paths, to find conflicts.
type conflictIndex struct {
	paths        map[string][]*compiledRoute // exact and prefix routes by path
	patterns     []*compiledRoute
	widePatterns []*compiledRoute // patterns that may cover a prefix or other patterns
}

func (m *conflictIndex) add(e *compiledRoute) {
	if e.Kind != Regexp {
		m.paths[e.path] = append(m.paths[e.path], e)
		return
	}
	m.patterns = append(m.patterns, e)
	if _, ok := e.matchedPrefix(); ok {
		m.widePatterns = append(m.widePatterns, e)
	}
}

// sameRank returns the routes that could have the same rank.
func (m *conflictIndex) sameRank(e *compiledRoute) []*compiledRoute {
	if e.Kind == Regexp {
		return m.patterns
	}
	return m.paths[e.path]
}

// mayCover returns the routes that might match all requests that a route matches.
func (m *conflictIndex) mayCover(e *compiledRoute) []*compiledRoute {
	switch e.Kind {
	case Exact:
		return m.paths[e.path] // an exact path takes precedence over expressions and prefixes
	case Regexp:
		return m.patterns
	}
	return slices.Concat(m.paths[e.path], m.widePatterns)
}

// matchedPrefix returns a prefix for which the regular expression certainly matches every path, and whether there is one.
func (e *compiledRoute) matchedPrefix() (string, bool) {
	re, err := syntax.Parse(e.Path, syntax.Perl)
	if err != nil {
		return "", false
	}
	re = re.Simplify()
	parts := []*syntax.Regexp{re}
	if re.Op == syntax.OpConcat {
		parts = re.Sub
	}
	prefix := "/" // every path begins with it
	for i, p := range parts {
		switch {
		case p.Op == syntax.OpBeginText || p.Op == syntax.OpBeginLine:
		case p.Op == syntax.OpLiteral && p.Flags&syntax.FoldCase == 0 && i == len(parts)-2:
			prefix = string(p.Rune)
		case p.Op == syntax.OpStar && i == len(parts)-1:
			return prefix, p.Sub[0].Op == syntax.OpAnyChar || p.Sub[0].Op == syntax.OpAnyCharNotNL
		default:
			return "", false
		}
	}
	return "", false
}

// covers reports whether a certainly matches all requests that b, a route of the same host, matches.
func covers(a, b *compiledRoute) bool {
	if len(a.Methods) > 0 {
		if len(b.Methods) == 0 || slices.ContainsFunc(b.Methods, func(m string) bool { return !slices.Contains(a.Methods, m) }) {
			return false
		}
	}
	if !implies(a.Headers, b.Headers) || !implies(a.Query, b.Query) {
		return false
	}
	if a.Kind != Regexp {
		return a.Kind == b.Kind && a.path == b.path
	}
	if b.Kind == Regexp && a.path == b.path {
		return true
	}
	prefixA, ok := a.matchedPrefix()
	if !ok {
		return false
	}
	if b.Kind == Regexp {
		prefixB, ok := b.matchedPrefix()
		return ok && strings.HasPrefix(prefixB, prefixA)
	}
	return b.Kind == Prefix && (prefixA == "/" || strings.HasPrefix(b.path, prefixA))
}

// implies reports whether each condition of a follows from those of b.
func implies(a, b []Condition) bool {
	for _, x := range a {
		if !slices.ContainsFunc(b, func(y Condition) bool {
			return x.Name == y.Name && (x == y || x.Kind == Present && y.Kind == Equals)
		}) {
			return false
		}
	}
	return true
}

// canOverlap reports whether two routes of the same host and path could match one request.
func canOverlap(a, b *compiledRoute) bool {
	if len(a.Methods) > 0 && len(b.Methods) > 0 &&
		!slices.ContainsFunc(a.Methods, func(m string) bool { return slices.Contains(b.Methods, m) }) {
		return false
	}
	return !contradict(a.Headers, b.Headers) && !contradict(a.Query, b.Query)
}

// contradict reports whether no request can meet both sets of conditions.
func contradict(a, b []Condition) bool {
	for _, x := range a {
		for _, y := range b {
			if x.Name != y.Name {
				continue
			}
			if (x.Kind == Absent) != (y.Kind == Absent) || x.Kind == Equals && y.Kind == Equals && x.Value != y.Value {
				return true
			}
		}
	}
	return false
}
