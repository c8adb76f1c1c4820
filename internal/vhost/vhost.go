// Package vhost decides on requests by virtual servers and locations, as nginx documents them (ngx_http_core_module: server_name, location;
// ngx_http_rewrite_module; "Server names", "How nginx processes a request"). The order of regular expressions counts, unlike in package
// route. A Table is compiled once. It is immutable, does no I/O, and may be used by any number of goroutines.
//
// The server is chosen by host: an exact name, the longest wildcard that begins with *, the longest that ends with *, the first regular
// expression, the default. The location is chosen by path: an equal one; else the longest prefix is remembered, and the same search
// continues within it; the first regular expression that matches replaces it, unless the kind of the prefix excludes that.
package vhost

import (
	"regexp"
	"slices"
	"strings"
)

// Kind is how the path of a location is compared. Prefixes are compared by bytes, not by segments.
type Kind uint8

// The kinds of location.
const (
	Begins     Kind = iota // a prefix; regular expressions take precedence over it
	BeginsOnly             // a prefix; no regular expression of its level takes precedence if it is the longest (^~)
	Equals                 // the path itself; ends the search (=)
	Matches                // a regular expression (~), not anchored
	MatchesAny             // a regular expression that ignores case (~*)
	Named                  // used by error pages only; its path is its name (@)
)

// isRegexp reports whether the path is a regular expression.
func (k Kind) isRegexp() bool { return k == Matches || k == MatchesAny }

// Then is how the decision continues after a rewrite.
type Then uint8

// The ways to continue after a rewrite that has matched.
const (
	Next     Then = iota // the next step runs; after the last one, the location is chosen again
	Last                 // the location is chosen again at once
	Break                // the location stays, without further steps
	Redirect             // the response has status 302
	Moved                // the response has status 301
)

// Step is one of the steps that run in order after a server or location has been chosen. A step with a regular expression rewrites the
// path, a step with Stop ends the steps, and any other step gives a fixed response.
type Step struct {
	Match string // compared with the path, not anchored
	To    string // a template for the new path; a query after ? precedes that of the request, and a ? at the end drops the latter
	Then  Then
	Stop  bool
	Answer
}

// Answer is a fixed response.
type Answer struct {
	Status   int
	Body     string // a template
	Location string // a template for the location of a redirect
}

// Header is a header that is set in the request to a server of the pool. An empty value removes it.
type Header struct{ Name, Value string } // the value is a template

// Action is what a location does with a request.
type Action struct {
	Pool  string
	Class string // class of requests with safe methods (RFC 9110, section 9.2.1)
	Other string // class of all other requests

	Replace string // replaces the part of the path that the prefix of the location matches; "" for the unchanged path
	Target  string // a template for path and query together, instead of Replace
	Headers []Header
	MaxBody int64 // bytes; 0 if the location has no limit
}

// Location is a location of a server, or within another.
type Location struct {
	Name   string // unique in a server
	Kind   Kind
	Path   string
	Steps  []Step
	Do     *Action // nil for a response with status 404
	Within []Location

	Internal  bool        // whether requests of clients get 404 here
	Errors    []ErrorPage // if there are any, they apply instead of those of the enclosing location or server
	Intercept bool        // whether error responses of servers are replaced too
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

// Request holds the parts of a request that Decide uses.
type Request struct {
	Method string
	Host   string // from route.NormalizeHost
	Path   string // decoded, without empty and dot segments
	Raw    string // path and query of the request
	Query  string
	Caller string // address without port
	Scheme string
	Header func(name string) string // returns the value of a header; "" for none
}

// Outcome is the decision on a request.
type Outcome struct {
	Server, Location string
	Do               *Action
	Class            string
	Target           string // path and query for the server
	Headers          []Header
	Answer           *Answer // instead of an action
	Method           string  // for the server
	Status           int     // of the final response; 0 for that of the error, ReplacementStatus for that of the replacement
	Page             bool    // whether a request without a body replaces that of the client

	decision *decision // from which an error page continues; nil for none
	pages    []compiledPage

	intercepts bool
}

// locationSet holds the locations of a server, or those within a location.
type locationSet struct {
	exact    map[string]*location
	prefixes []*location // in the order of their paths
	patterns []*location // in the order of the file
}

// location is a Location with its compiled expressions and templates.
type location struct {
	*Location
	pattern       *regexp.Regexp
	shorterPrefix *location // the longest other prefix of its level that this prefix begins with
	within        *locationSet
	steps         []compiledStep
	action        *compiledAction
	pages         []compiledPage // error pages that apply in the location
}

// virtualServer is a Server with its compiled steps, locations and error pages.
type virtualServer struct {
	*Server
	steps     []compiledStep
	locations *locationSet
	named     map[string]*location // named locations
	pages     []compiledPage
}

// Table is a compiled set of servers.
type Table struct {
	exactHosts                          map[string]*virtualServer
	leadingWildcards, trailingWildcards map[string]*virtualServer // wildcards, by the name without the *
	patterns                            []hostPattern             // in the order of the file
	defaultServer                       *virtualServer
}

// hostPattern is a regular expression for hosts.
type hostPattern struct {
	*regexp.Regexp
	site *virtualServer
}

// findServer returns the server of a host, and the captures of a regular expression.
func (t *Table) findServer(host string) (*virtualServer, *captureGroups) {
	if s := t.exactHosts[host]; s != nil {
		return s, nil
	}
	for rest := host; ; {
		_, after, ok := strings.Cut(rest, ".")
		if !ok {
			break
		}
		if s := t.leadingWildcards[after]; s != nil {
			return s, nil
		}
		rest = after
	}
	for rest := host; ; {
		dot := strings.LastIndexByte(rest, '.')
		if dot < 0 {
			break
		}
		if rest = rest[:dot]; t.trailingWildcards[rest] != nil {
			return t.trailingWildcards[rest], nil
		}
	}
	for _, p := range t.patterns {
		if m := p.FindStringSubmatch(host); m != nil {
			return p.site, capture(p.Regexp, m, nil)
		}
	}
	return t.defaultServer, nil
}

// longestPrefix returns the longest prefix of the level that a path begins with, or nil.
func (l *locationSet) longestPrefix(path string) *location {
	// This is the last prefix that does not sort after the path, or one that it begins with: all paths that sort between a prefix of the
	// path and the path itself begin with that prefix too.
	n, found := slices.BinarySearchFunc(l.prefixes, path, func(p *location, path string) int { return strings.Compare(p.Path, path) })
	if !found {
		n--
	}
	if n < 0 {
		return nil
	}
	p := l.prefixes[n]
	for p != nil && !strings.HasPrefix(path, p.Path) {
		p = p.shorterPrefix
	}
	return p
}

// choose returns the location of a path in a level and those within it. final means that no regular expression of an enclosing level takes
// precedence. The captures of a regular expression are stored in captures.
func (l *locationSet) choose(path string, captures **captureGroups) (found *location, final bool) {
	if l == nil {
		return nil, false
	}
	if p := l.exact[path]; p != nil {
		return p, true
	}
	remembered := l.longestPrefix(path)
	if found = remembered; remembered != nil {
		if inner, final := remembered.within.choose(path, captures); inner != nil {
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
		*captures = capture(p.pattern, m, *captures)
		if inner, _ := p.within.choose(path, captures); inner != nil {
			return inner, true
		}
		return p, true
	}
	return found, false
}
