// Package route decides which pool and class a request belongs to. A Table is compiled once from rules. It is immutable, does no I/O, and
// may be used by any number of goroutines.
//
// If several routes match, the first in this order of precedence is used. The order of the rules does not matter:
//
//  1. the host: an exact name before a wildcard, a longer wildcard before a shorter one, any host last;
//  2. the path: an exact path before a regular expression, that before a prefix, a longer prefix before a shorter one;
//  3. the higher priority;
//  4. a route that names methods before one that does not;
//  5. more header conditions, then more query conditions.
//
// It is an error of the table if two routes that are equal in all of this could match the same request.
package route

import (
	"cmp"
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strings"
)

// PathKind is how the path of a route is compared.
type PathKind uint8

// The kinds of path. A prefix matches whole segments: /a matches /a, /a/ and /a/b, but not /ab. A regular expression has the syntax of
// RE2 and must match the whole path.
const (
	Prefix PathKind = iota
	Exact
	Regexp
)

// Presence is what a condition requires of a header or query parameter.
type Presence uint8

// The kinds of condition. Equals holds only if the name occurs exactly once, so that a second value can't bypass it.
const (
	Equals Presence = iota
	Present
	Absent
)

// Condition is a condition on a header, whose name is compared without case, or on a query parameter.
type Condition struct {
	Name  string
	Kind  Presence
	Value string // of Equals
}

// Rewrite is how the path is changed before a request is sent to a server.
type Rewrite struct {
	Strip   bool   // whether the matched prefix is removed
	Replace string // path that replaces the prefix; "" for none
}

// Answer is a fixed response, for which no request is sent to a server.
type Answer struct {
	Status   int
	Body     string
	Location string // of a redirect; {host}, {path} and {query} are replaced by those of the request
}

// Rule is one route of the operator file.
type Rule struct {
	Name     string // unique in a table
	Host     string // "" or "*" for any, "a.example.org", or "*.example.org" for the names below it
	Path     string
	Kind     PathKind
	Methods  []string // empty for any method
	Headers  []Condition
	Query    []Condition
	Priority int

	Pool, Class string // not used by this package
	Rewrite     Rewrite
	Answer      *Answer // instead of a pool

	depth int // number of segments of a prefix, set by Compile
}

// Request holds the parts of a request that Match uses.
type Request struct {
	Method string
	Host   string // from NormalizeHost
	Path   *Path  // from Normalize
	Query  string // raw, without the question mark
	Header http.Header
}

// Bounds of a table. Regular expressions are matched for each request, so their size is bounded.
const (
	MaxPatternBytes      = 1024    // bytes of one regular expression
	maxInstructions      = 5000    // instructions of one compiled expression
	maxTotalInstructions = 200_000 // instructions of all compiled expressions of a table
	maxConditions        = 32      // header conditions of one route, and query conditions of one route
	maxMethods           = 16      // methods of one route
)

// compiledRoute is a Rule in normal form, with its compiled regular expression.
type compiledRoute struct {
	*Rule
	index      int    // of the rule in the table
	path       string // path that is compared
	pattern    *regexp.Regexp
	host       string // without "*.", lower case
	isWildcard bool   // whether host is a suffix
}

// Table is a compiled set of routes.
type Table struct {
	exactHosts    map[string]*hostRoutes // by host
	wildcardHosts map[string]*hostRoutes // by suffix, without "*."
	anyHost       *hostRoutes
	routes        []*compiledRoute
}

// hostRoutes holds the routes of one host.
type hostRoutes struct {
	exactPaths map[string][]*compiledRoute
	patterns   []*compiledRoute
	prefixes   *trieNode
}

// trieNode is a segment in the trie of prefixes.
type trieNode struct {
	parent   *trieNode
	children map[string]*trieNode
	entries  []*compiledRoute // in order of precedence
}

// Match returns the rule of a request, or nil. It allocates nothing unless a query has to be decoded.
func (t *Table) Match(r *Request) *Rule {
	if s := t.exactHosts[r.Host]; s != nil {
		if e := s.match(r); e != nil {
			return e.Rule
		}
	}
	if e := t.matchWildcards(r); e != nil {
		return e.Rule
	}
	if t.anyHost != nil {
		if e := t.anyHost.match(r); e != nil {
			return e.Rule
		}
	}
	return nil
}

// matchWildcards returns the route of a request among those of wildcard hosts, the longest first, or nil.
func (t *Table) matchWildcards(r *Request) *compiledRoute {
	if len(t.wildcardHosts) == 0 {
		return nil
	}
	for host := r.Host; ; {
		_, suffix, found := strings.Cut(host, ".")
		if !found {
			return nil
		}
		host = suffix
		if s := t.wildcardHosts[suffix]; s != nil {
			if e := s.match(r); e != nil {
				return e
			}
		}
	}
}

// Rules returns the rules of the table in the order in which they were given.
func (t *Table) Rules() []*Rule {
	rules := make([]*Rule, len(t.routes))
	for i, e := range t.routes {
		rules[i] = e.Rule
	}
	return rules
}

// match returns the route of a request among those of one host, or nil.
func (s *hostRoutes) match(r *Request) *compiledRoute {
	if e := firstMatching(s.exactPaths[r.Path.Match], r); e != nil {
		return e
	}
	for _, e := range s.patterns {
		if e.pattern.MatchString(r.Path.Match) && e.meetsConditions(r) {
			return e
		}
	}
	node := s.prefixes
	for rest := r.Path.Match[1:]; rest != ""; {
		segment, after, _ := strings.Cut(rest, "/")
		child := node.children[segment]
		if child == nil {
			break
		}
		node, rest = child, after
	}
	for ; node != nil; node = node.parent {
		if e := firstMatching(node.entries, r); e != nil {
			return e
		}
	}
	return nil
}

// firstMatching returns the first route whose conditions a request meets, or nil.
func firstMatching(entries []*compiledRoute, r *Request) *compiledRoute {
	for _, e := range entries {
		if e.meetsConditions(r) {
			return e
		}
	}
	return nil
}

// meetsConditions reports whether a request meets the methods and conditions of a route.
func (e *compiledRoute) meetsConditions(r *Request) bool {
	if len(e.Methods) > 0 && !slices.Contains(e.Methods, r.Method) {
		return false
	}
	for i := range e.Headers {
		values := r.Header[e.Headers[i].Name]
		firstValue := ""
		if len(values) > 0 {
			firstValue = values[0]
		}
		if !e.Headers[i].holds(len(values), firstValue) {
			return false
		}
	}
	for i := range e.Query {
		count, firstValue := queryParameter(r.Query, e.Query[i].Name)
		if !e.Query[i].holds(count, firstValue) {
			return false
		}
	}
	return true
}

// holds reports whether the condition holds for a name that occurs count times and has this first value.
func (c *Condition) holds(count int, value string) bool {
	switch c.Kind {
	case Equals:
		return count == 1 && value == c.Value
	case Present:
		return count > 0
	default:
		return count == 0
	}
}

// comparePrecedence compares routes of one host and one path, or two regular expressions of one host: negative if a takes precedence.
func comparePrecedence(a, b *compiledRoute) int {
	return cmp.Or(
		cmp.Compare(b.Priority, a.Priority),
		cmp.Compare(min(len(b.Methods), 1), min(len(a.Methods), 1)),
		cmp.Compare(len(b.Headers), len(a.Headers)),
		cmp.Compare(len(b.Query), len(a.Query)),
	)
}

// kindRank returns the precedence of the kind of path: a higher rank takes precedence.
func (e *compiledRoute) kindRank() int {
	switch e.Kind {
	case Exact:
		return 2
	case Regexp:
		return 1
	}
	return 0
}

// compareRank compares the precedence of any two routes: negative if a takes precedence wherever both match.
func compareRank(a, b *compiledRoute) int {
	return cmp.Or(
		cmp.Compare(b.hostRank(), a.hostRank()),
		cmp.Compare(b.kindRank(), a.kindRank()),
		cmp.Compare(b.depth, a.depth),
		comparePrecedence(a, b),
	)
}

// exactHostRank is higher than that of any wildcard: no host name has so many labels.
const exactHostRank = 1 << 20

// hostRank returns the precedence of the host: among hosts that match one name, a higher rank takes precedence.
func (e *compiledRoute) hostRank() int {
	switch {
	case e.host == "":
		return 0
	case e.isWildcard:
		return 1 + strings.Count(e.host, ".")
	}
	return exactHostRank
}

// RuleError is an error of one rule.
type RuleError struct {
	Rule  int    // index of the rule
	Field string // host, path, methods, headers, query, rewrite, answer or name
	Err   error
}

// Error returns the index of the rule, the field and the cause.
func (e *RuleError) Error() string { return fmt.Sprintf("route %d: %s: %v", e.Rule, e.Field, e.Err) }

// Unwrap returns the cause.
func (e *RuleError) Unwrap() error { return e.Err }
