package vhost

import (
	"errors"
	"fmt"
	"net/http"
	"regexp"
	"regexp/syntax"
	"slices"
	"strings"

	"milletmast/internal/route"
)

// Bounds of a table.
const (
	MaxPatternBytes = 1024 // bytes of one regular expression
	maxSteps        = 64   // steps of one server or location
	maxHeaders      = 64   // headers of one location
	maxDepth        = 16   // depth of nested locations
)

// Error is an error of one server or location.
type Error struct {
	Server   int   // index of the server
	Location []int // indexes from the outermost location on; none for the server itself
	Field    string
	Err      error
}

// Error returns the server, the location, the field and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("server %d, location %v: %s: %v", e.Server, e.Location, e.Field, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// compiledStep is a Step with its compiled expression and templates.
type compiledStep struct {
	*Step
	pattern            *regexp.Regexp
	to, body, location template
}

// compiledAction is an Action with its compiled templates.
type compiledAction struct {
	*Action
	target  template
	headers []template
}

// compiler collects the errors of a table and the references within one server.
type compiler struct {
	server      int
	current     *virtualServer // the server that is compiled
	references  []reference    // uses of named locations of the current server
	tableErrors []*Error
}

// Compile compiles a table. It returns all errors.
func Compile(servers []Server) (*Table, []*Error) {
	c := &compiler{}
	t := &Table{
		exactHosts: map[string]*virtualServer{}, leadingWildcards: map[string]*virtualServer{}, trailingWildcards: map[string]*virtualServer{},
	}
	names := map[string]bool{}
	for i := range servers {
		s := &servers[i]
		c.server = i
		if s.Name == "" || names[s.Name] {
			c.addError(nil, "name", fmt.Errorf("%q is empty or used twice", s.Name))
		}
		names[s.Name] = true
		compiled := &virtualServer{Server: s, steps: c.compileSteps(nil, s.Steps), named: map[string]*location{}}
		c.current, compiled.pages = compiled, c.compilePages(nil, s.Errors)
		compiled.locations = c.compileLocations(nil, s.Locations, map[string]bool{}, compiled.pages)
		c.checkReferences()
		c.addHosts(t, compiled)
		if s.Default && t.defaultServer != nil && t.defaultServer.Default {
			c.addError(nil, "default", fmt.Errorf("server %q is already the default", t.defaultServer.Name))
		}
		if t.defaultServer == nil || s.Default && !t.defaultServer.Default {
			t.defaultServer = compiled
		}
	}
	if len(c.tableErrors) > 0 {
		return nil, c.tableErrors
	}
	return t, nil
}

// addError adds an error of a server or location.
func (c *compiler) addError(at []int, field string, err error) {
	c.tableErrors = append(c.tableErrors, &Error{Server: c.server, Location: slices.Clone(at), Field: field, Err: err})
}

// addHosts adds the names of a server to the table. A name belongs to the first server that has it.
func (c *compiler) addHosts(t *Table, s *virtualServer) {
	addHost := func(m map[string]*virtualServer, name, host string) {
		if name == "" || strings.ContainsAny(name, "*/ ") {
			c.addError(nil, "hosts", fmt.Errorf("%q is not a host name", host))
		} else if m[name] == nil {
			m[name] = s
		} else {
			c.addError(nil, "hosts", fmt.Errorf("%q already belongs to server %q", host, m[name].Name))
		}
	}
	for _, host := range s.Hosts {
		name := strings.ToLower(host)
		if text, ok := strings.CutPrefix(host, "~"); ok {
			if re := c.compilePattern(nil, "hosts", text, false); re != nil {
				t.patterns = append(t.patterns, hostPattern{re, s})
			}
		} else if rest, ok := strings.CutPrefix(name, "*."); ok {
			addHost(t.leadingWildcards, rest, host)
		} else if rest, ok := strings.CutSuffix(name, ".*"); ok {
			addHost(t.trailingWildcards, rest, host)
		} else if rest, ok := strings.CutPrefix(name, "."); ok {
			addHost(t.exactHosts, rest, host)
			addHost(t.leadingWildcards, rest, host)
		} else {
			addHost(t.exactHosts, strings.TrimSuffix(name, "."), host)
		}
	}
}

// compilePattern compiles a regular expression. It returns nil after an error.
func (c *compiler) compilePattern(at []int, field, text string, ignoreCase bool) *regexp.Regexp {
	if len(text) > MaxPatternBytes {
		c.addError(at, field, fmt.Errorf("the expression has %d bytes, over the %d allowed", len(text), MaxPatternBytes))
		return nil
	}
	if _, err := syntax.Parse(text, syntax.Perl); err != nil {
		c.addError(at, field, err)
		return nil
	}
	if ignoreCase {
		text = "(?i:" + text + ")"
	}
	re, err := regexp.Compile(text)
	if err != nil {
		c.addError(at, field, err)
	}
	return re
}

// compileTemplate compiles a template.
func (c *compiler) compileTemplate(at []int, field, text string) template {
	t, err := parseTemplate(text)
	if err != nil {
		c.addError(at, field, err)
	}
	return t
}

// compileSteps compiles the steps of a server or location.
func (c *compiler) compileSteps(at []int, specs []Step) []compiledStep {
	if len(specs) > maxSteps {
		c.addError(at, "step", fmt.Errorf("%d steps, over the %d allowed", len(specs), maxSteps))
		return nil
	}
	steps := make([]compiledStep, len(specs))
	for i := range specs {
		s := &specs[i]
		field := fmt.Sprintf("step[%d]", i)
		steps[i] = compiledStep{
			Step: s, to: c.compileTemplate(at, field, s.To),
			body: c.compileTemplate(at, field, s.Body), location: c.compileTemplate(at, field, s.Location),
		}
		switch {
		case s.Match != "":
			steps[i].pattern = c.compilePattern(at, field, s.Match, false)
			if s.Status != 0 || s.Stop {
				c.addError(at, field, errors.New("a step must do one of these only: rewrite, stop or answer"))
			}
		case s.Stop:
		case s.Status < 200 || s.Status > 599:
			c.addError(at, field, fmt.Errorf("%d is not a valid response status", s.Status))
		case (s.Location != "") != route.IsRedirect(s.Status):
			c.addError(at, field, fmt.Errorf("status %d with location %q: only a redirect has a location, and it needs one", s.Status, s.Location))
		}
	}
	return steps
}

// compileLocations compiles the locations of a server, or those within a location. names holds the names used in the server so far,
// enclosingPages the error pages that locations without their own inherit.
func (c *compiler) compileLocations(at []int, specs []Location, names map[string]bool, enclosingPages []compiledPage) *locationSet {
	if len(specs) == 0 {
		return nil
	}
	if len(at) >= maxDepth {
		c.addError(at, "within", fmt.Errorf("locations are nested more than %d deep", maxDepth))
		return nil
	}
	l := &locationSet{exact: map[string]*location{}}
	prefixes := map[string]bool{}
	for i := range specs {
		spec := &specs[i]
		here := append(slices.Clip(at), i)
		if spec.Name == "" || names[spec.Name] {
			c.addError(here, "name", fmt.Errorf("%q is empty or used twice", spec.Name))
		}
		names[spec.Name] = true
		p := &location{Location: spec, steps: c.compileSteps(here, spec.Steps), action: c.compileAction(here, spec), pages: enclosingPages}
		if len(spec.Errors) > 0 {
			p.pages = c.compilePages(here, spec.Errors)
		}
		p.within = c.compileLocations(here, spec.Within, names, p.pages)
		c.addLocation(l, here, p, prefixes)
	}
	l.sortPrefixes()
	return l
}

// addLocation adds a compiled location to its level. prefixes holds the prefixes that the level has so far.
func (c *compiler) addLocation(l *locationSet, at []int, p *location, prefixes map[string]bool) {
	switch {
	case p.Kind.isRegexp():
		if p.pattern = c.compilePattern(at, "path", p.Path, p.Kind == MatchesAny); p.pattern != nil {
			l.patterns = append(l.patterns, p)
		}
	case p.Path == "":
		c.addError(at, "path", errors.New("is missing"))
	case p.Kind == Named:
		c.addNamedLocation(at, p)
	case p.Kind == Equals && l.exact[p.Path] != nil, p.Kind != Equals && prefixes[p.Path]:
		c.addError(at, "path", fmt.Errorf("there is already a location for %q", p.Path))
	case p.Kind == Equals:
		l.exact[p.Path] = p
	default:
		prefixes[p.Path] = true
		l.prefixes = append(l.prefixes, p)
	}
}

// sortPrefixes sorts the prefixes of a level and links each to the longest other prefix that it begins with.
func (l *locationSet) sortPrefixes() {
	slices.SortFunc(l.prefixes, func(a, b *location) int { return strings.Compare(a.Path, b.Path) })
	for i, p := range l.prefixes {
		if i == 0 {
			continue
		}
		shorter := l.prefixes[i-1]
		for shorter != nil && !strings.HasPrefix(p.Path, shorter.Path) {
			shorter = shorter.shorterPrefix
		}
		p.shorterPrefix = shorter
	}
}

// compileAction compiles the action of a location; nil if it has none.
func (c *compiler) compileAction(at []int, l *Location) *compiledAction {
	a := l.Do
	if a == nil {
		return nil
	}
	out := &compiledAction{Action: a}
	if a.Target != "" {
		out.target = c.compileTemplate(at, "target", a.Target)
	}
	switch {
	case a.Replace != "" && a.Target != "":
		c.addError(at, "replace", errors.New("replace and target cannot both be set"))
	case a.Replace != "" && l.Kind.isRegexp():
		c.addError(at, "replace", errors.New("an expression has no prefix to replace"))
	case a.Replace != "" && a.Replace[0] != '/':
		c.addError(at, "replace", fmt.Errorf("%q does not begin with /", a.Replace))
	}
	if len(a.Headers) > maxHeaders {
		c.addError(at, "headers", fmt.Errorf("%d headers, over the %d allowed", len(a.Headers), maxHeaders))
		return out
	}
	for i, h := range a.Headers {
		if h.Name == "" || strings.ContainsAny(h.Name, " \t:\r\n") || http.CanonicalHeaderKey(h.Name) != h.Name {
			c.addError(at, fmt.Sprintf("headers[%d]", i), fmt.Errorf("%q is not a header name in canonical form", h.Name))
		}
		out.headers = append(out.headers, c.compileTemplate(at, fmt.Sprintf("headers[%d]", i), h.Value))
	}
	return out
}
