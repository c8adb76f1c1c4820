// Package vhost decides what becomes of a request by virtual servers and locations, as nginx documents them
// (ngx_http_core_module: server_name, location; ngx_http_rewrite_module; "Server names", "How nginx processes a request").
// The order of expressions counts there, unlike in package route. A Table is compiled once, is immutable and free of I/O,
// and may be used by any number of goroutines.
//
// A server is chosen by host: an exact name, the longest wildcard that begins with *, the longest that ends with *, the first
// expression, the default. A location is chosen by path: an equal one; else the longest prefix is remembered, and within it
// the same search goes on; unless that prefix says otherwise, the first expression that matches goes before it.
package vhost

import (
	"regexp"
	"slices"
	"strings"
)

// Kind tells how a location's path is compared. A prefix is one of bytes, not of segments.
type Kind uint8

// The kinds of location.
const (
	Begins     Kind = iota // the longest prefix is remembered, expressions go before it
	BeginsOnly             // no expression of its level is looked at if this is the longest prefix (^~)
	Equals                 // ends the search (=)
	Matches                // an expression (~), not anchored
	MatchesAny             // likewise, whatever the case of letters (~*)
	Named                  // reached by error pages only; its path is its name (@)
)

func (k Kind) expression() bool { return k == Matches || k == MatchesAny }

// Then tells how a rewrite goes on.
type Then uint8

// The ways to go on behind a rewrite that has matched.
const (
	Next     Then = iota // with the next step; if the path has changed at the end, the location is chosen anew
	Last                 // the location is chosen anew at once
	Break                // the location stays, and no further step is taken
	Redirect             // the answer is 302
	Moved                // the answer is 301
)

// Step is one of those taken in order, once a server or location has been chosen. It rewrites if it has an expression,
// stops there with Stop, and else answers.
type Step struct {
	Match string // compared with the path, not anchored
	To    string // a template for the new path; what follows a ? goes ahead of the query, and one at the end drops that
	Then  Then
	Stop  bool
	Answer
}

// Answer is a fixed answer.
type Answer struct {
	Status   int
	Body     string // a template
	Location string // a template, of a redirect
}

// Header is one that is set on its way to a server of the pool; an empty value takes it away.
type Header struct{ Name, Value string } // the value is a template

// Action is what becomes of a request in a location.
type Action struct {
	Pool  string
	Class string // of safe methods (RFC 9110, 9.2.1)
	Other string // of others

	Replace string // stands for the part of the path that the location's prefix matches; "" for the path as it came
	Target  string // a template for path and query together, instead
	Headers []Header
	MaxBody int64 // bytes; 0 for no limit of its own
}

// Location is one of a server, or within another.
type Location struct {
	Name   string // unique in a server
	Kind   Kind
	Path   string
	Steps  []Step
	Do     *Action // nil where there is nothing to send to: 404
	Within []Location

	Internal  bool        // requests of the outside are answered 404 there
	Errors    []ErrorPage // instead of those around it, if there are any
	Intercept bool        // errors that servers answer are replaced too
}

// Server is a virtual server.
type Server struct {
	Name      string
	Hosts     []string // exact, *.NAME, NAME.*, .NAME for both NAME and *.NAME, or ~EXPRESSION
	Default   bool
	Steps     []Step
	Locations []Location
	Errors    []ErrorPage
}

// Request is what a decision sees of a request.
type Request struct {
	Method string
	Host   string // as route.NormalizeHost gives it
	Path   string // decoded, without empty and dot segments
	Raw    string // path and query as they came
	Query  string
	Caller string // address without port
	Scheme string
	Header func(name string) string // "" for none
}

// Outcome is what a table decides.
type Outcome struct {
	Server, Location string
	Do               *Action
	Class            string
	Target           string // path and query as they go on
	Headers          []Header
	Answer           *Answer // instead
	Method           string  // as it goes on
	Status           int     // of the final answer, whatever the server's is: 0 for that of the error, Own, or this one
	Page             bool    // a request of its own, without a body, stands in for the one that came

	at    *work // where an error page goes on; nil where there is none
	pages []page

	intercepts bool
}

// level is the locations of a server, or within a location.
type level struct {
	equal    map[string]*place
	prefixes []*place // sorted by path
	patterns []*place // in the order of the file
}

// place is a compiled location.
type place struct {
	*Location
	pattern *regexp.Regexp
	shorter *place // the longest other prefix of its level that it begins with
	within  *level
	steps   []step
	action  *action
	pages   []page // those in force here
}

// site is a compiled server.
type site struct {
	*Server
	steps  []step
	places *level
	named  map[string]*place
	pages  []page
}

// Table is a compiled set of servers.
type Table struct {
	exact       map[string]*site
	front, back map[string]*site // wildcards, by what is beside the *
	patterns    []hostPattern    // in the order of the file
	standard    *site
}

type hostPattern struct {
	*regexp.Regexp
	site *site
}

// find chooses the server of a host, with what an expression has captured.
func (t *Table) find(host string) (*site, *captures) {
	if s := t.exact[host]; s != nil {
		return s, nil
	}
	for rest := host; ; {
		_, after, ok := strings.Cut(rest, ".")
		if !ok {
			break
		}
		if s := t.front[after]; s != nil {
			return s, nil
		}
		rest = after
	}
	for rest := host; ; {
		dot := strings.LastIndexByte(rest, '.')
		if dot < 0 {
			break
		}
		if rest = rest[:dot]; t.back[rest] != nil {
			return t.back[rest], nil
		}
	}
	for _, p := range t.patterns {
		if m := p.FindStringSubmatch(host); m != nil {
			return p.site, capture(p.Regexp, m, nil)
		}
	}
	return t.standard, nil
}

// longest is the longest prefix of the level that a path begins with.
func (l *level) longest(path string) *place {
	// The last one that is not behind the path in order, or one that it begins with: what lies between a prefix of the path
	// and the path itself begins with that prefix too.
	n, found := slices.BinarySearchFunc(l.prefixes, path, func(p *place, path string) int { return strings.Compare(p.Path, path) })
	if !found {
		n--
	}
	if n < 0 {
		return nil
	}
	p := l.prefixes[n]
	for p != nil && !strings.HasPrefix(path, p.Path) {
		p = p.shorter
	}
	return p
}

// choose finds the location of a path in a level and those within; final means that no expression outside goes before it.
// What an expression captures is put into caps.
func (l *level) choose(path string, caps **captures) (found *place, final bool) {
	if l == nil {
		return nil, false
	}
	if p := l.equal[path]; p != nil {
		return p, true
	}
	remembered := l.longest(path)
	if found = remembered; remembered != nil {
		if inner, final := remembered.within.choose(path, caps); inner != nil {
			if found = inner; final {
				return found, true
			}
		}
		if remembered.Kind == BeginsOnly {
			return found, false
		}
	}
	for _, p := range l.patterns {
		m := p.pattern.FindStringSubmatch(path)
		if m == nil {
			continue
		}
		*caps = capture(p.pattern, m, *caps)
		if inner, _ := p.within.choose(path, caps); inner != nil {
			return inner, true
		}
		return p, true
	}
	return found, false
}
