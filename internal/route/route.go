// Package route decides which pool and class a request belongs to. A Table is compiled once from rules, is immutable
// and free of I/O, and may be used by any number of goroutines.
//
// Where several routes match, the order of precedence does not depend on the order in which they were given:
//
//  1. the host: an exact name before a wildcard, a longer wildcard before a shorter one, any host last;
//  2. the path: an exact path before a regular expression, that before a prefix, a longer prefix before a shorter one;
//  3. the higher priority;
//  4. a route that names methods before one that does not;
//  5. more header conditions, then more query conditions.
//
// Two routes that are alike in all of this and could match one request are an error of the table.
package route

import (
	"cmp"
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strings"
)

// PathKind tells how a route's path is compared.
type PathKind uint8

// The kinds of path. A prefix matches whole segments: /a matches /a, /a/ and /a/b, never /ab. An expression is RE2 and
// must match the whole path.
const (
	Prefix PathKind = iota
	Exact
	Regexp
)

// Presence tells what a condition asks of a header or query parameter.
type Presence uint8

// The kinds of condition. Equals holds only if the name comes exactly once, so that no second value gets round it.
const (
	Equals Presence = iota
	Present
	Absent
)

// Condition is one on a header (names compare without case) or on a query parameter.
type Condition struct {
	Name  string
	Kind  Presence
	Value string // of Equals
}

// Rewrite says how the path changes on its way to the server.
type Rewrite struct {
	Strip   bool   // the prefix that matched is taken away
	Replace string // and this is put in its place; "" for nothing
}

// Answer is a fixed answer, given without any server.
type Answer struct {
	Status   int
	Body     string
	Location string // of a redirect; {host}, {path} and {query} stand for the request's
}

// Rule is one route as an operator writes it.
type Rule struct {
	Name     string // unique in a table
	Host     string // "" or "*" for any, "a.example.org", or "*.example.org" for the names below it
	Path     string
	Kind     PathKind
	Methods  []string // none for any
	Headers  []Condition
	Query    []Condition
	Priority int

	Pool, Class string // for the caller; not looked at here
	Rewrite     Rewrite
	Answer      *Answer // instead of a pool

	depth int // segments of a prefix, in a compiled rule
}

// Request is what a look-up sees of a request. Path is what Normalize made of its target.
type Request struct {
	Method string
	Host   string // as NormalizeHost gives it
	Path   *Path
	Query  string // raw, without the question mark
	Header http.Header
}

// Bounds of a table: what a file asks for in expressions is paid for with each request.
const (
	MaxPattern      = 1024    // bytes of one expression
	maxInstructions = 5000    // of one compiled expression
	maxAll          = 200_000 // and of all of a table together
	maxConditions   = 32      // of one route, each of headers and query
	maxMethods      = 16
)

// entry is a compiled rule.
type entry struct {
	*Rule
	index   int
	path    string // as it is compared
	pattern *regexp.Regexp
	host    string // without "*.", lower case
	wild    bool   // host is a suffix
}

// Table is a compiled set of routes.
type Table struct {
	exact map[string]*site // by host
	wild  map[string]*site // by suffix, without "*."
	any   *site
	all   []*entry
}

// site holds the routes of one host.
type site struct {
	exact    map[string][]*entry
	patterns []*entry
	prefixes *node
}

// node is a segment in the trie of prefixes.
type node struct {
	parent   *node
	children map[string]*node
	entries  []*entry // the best first
}

// Match looks a request up: the rule that it belongs to, or nil. It allocates nothing unless a query has to be decoded.
func (t *Table) Match(r *Request) *Rule {
	if s := t.exact[r.Host]; s != nil {
		if e := s.match(r); e != nil {
			return e.Rule
		}
	}
	if len(t.wild) > 0 {
		for rest := r.Host; ; {
			_, after, ok := strings.Cut(rest, ".")
			if !ok {
				break
			}
			rest = after
			if s := t.wild[rest]; s != nil {
				if e := s.match(r); e != nil {
					return e.Rule
				}
			}
		}
	}
	if t.any != nil {
		if e := t.any.match(r); e != nil {
			return e.Rule
		}
	}
	return nil
}

// Rules are the routes of the table in the order in which they were given.
func (t *Table) Rules() []*Rule {
	rules := make([]*Rule, len(t.all))
	for i, e := range t.all {
		rules[i] = e.Rule
	}
	return rules
}

func (s *site) match(r *Request) *entry {
	if e := first(s.exact[r.Path.Match], r); e != nil {
		return e
	}
	for _, e := range s.patterns {
		if e.pattern.MatchString(r.Path.Match) && e.holds(r) {
			return e
		}
	}
	at := s.prefixes
	for rest := r.Path.Match[1:]; rest != ""; {
		segment, after, _ := strings.Cut(rest, "/")
		next := at.children[segment]
		if next == nil {
			break
		}
		at, rest = next, after
	}
	for ; at != nil; at = at.parent {
		if e := first(at.entries, r); e != nil {
			return e
		}
	}
	return nil
}

func first(entries []*entry, r *Request) *entry {
	for _, e := range entries {
		if e.holds(r) {
			return e
		}
	}
	return nil
}

// holds checks all but host and path.
func (e *entry) holds(r *Request) bool {
	if len(e.Methods) > 0 && !slices.Contains(e.Methods, r.Method) {
		return false
	}
	for i := range e.Headers {
		values := r.Header[e.Headers[i].Name]
		one := ""
		if len(values) > 0 {
			one = values[0]
		}
		if !e.Headers[i].met(len(values), one) {
			return false
		}
	}
	for i := range e.Query {
		n, one := parameter(r.Query, e.Query[i].Name)
		if !e.Query[i].met(n, one) {
			return false
		}
	}
	return true
}

func (c *Condition) met(n int, value string) bool {
	switch c.Kind {
	case Equals:
		return n == 1 && value == c.Value
	case Present:
		return n > 0
	default:
		return n == 0
	}
}

// better orders the routes of one host and one exact path, prefix or set of expressions.
func better(a, b *entry) int {
	return cmp.Or(
		cmp.Compare(b.Priority, a.Priority),
		cmp.Compare(min(len(b.Methods), 1), min(len(a.Methods), 1)),
		cmp.Compare(len(b.Headers), len(a.Headers)),
		cmp.Compare(len(b.Query), len(a.Query)),
	)
}

// kindRank is higher for what goes before.
func (e *entry) kindRank() int {
	switch e.Kind {
	case Exact:
		return 2
	case Regexp:
		return 1
	}
	return 0
}

// outranks compares whole ranks: under 0 if a goes before b wherever both match.
func outranks(a, b *entry) int {
	return cmp.Or(
		cmp.Compare(b.hostRank(), a.hostRank()),
		cmp.Compare(b.kindRank(), a.kindRank()),
		cmp.Compare(b.depth, a.depth),
		better(a, b),
	)
}

// hostRank: among hosts that match one name, the higher goes first.
func (e *entry) hostRank() int {
	switch {
	case e.host == "":
		return 0
	case e.wild:
		return 1 + strings.Count(e.host, ".")
	}
	return 1 << 20
}

// RuleError is what is wrong with one rule.
type RuleError struct {
	Rule  int    // its place in the rules
	Field string // host, path, methods, headers, query, rewrite, answer or name
	Err   error
}

func (e *RuleError) Error() string { return fmt.Sprintf("route %d: %s: %v", e.Rule, e.Field, e.Err) }

// Unwrap gives the cause.
func (e *RuleError) Unwrap() error { return e.Err }
