package vhost

import (
	"errors"
	"fmt"
	"net/http"
	"regexp"
	"regexp/syntax"
	"slices"
	"strings"
)

// Bounds of a table.
const (
	MaxPattern = 1024 // bytes of one expression
	maxSteps   = 64   // of one server or location
	maxHeaders = 64
	maxWithin  = 16 // locations within each other
)

// Error is what is wrong with one server or location.
type Error struct {
	Server   int
	Location []int // places from the outermost on; none for the server itself
	Field    string
	Err      error
}

func (e *Error) Error() string {
	return fmt.Sprintf("server %d, location %v: %s: %v", e.Server, e.Location, e.Field, e.Err)
}

// Unwrap gives the cause.
func (e *Error) Unwrap() error { return e.Err }

type step struct {
	*Step
	pattern            *regexp.Regexp
	to, body, location template
}

type action struct {
	*Action
	target  template
	headers []template
}

type compiler struct {
	server int
	site   *site
	refs   []reference // to named locations of the site
	errs   []*Error
}

// Compile makes a table; all that is wrong is told.
func Compile(servers []Server) (*Table, []*Error) {
	c := &compiler{}
	t := &Table{exact: map[string]*site{}, front: map[string]*site{}, back: map[string]*site{}}
	names := map[string]bool{}
	for i := range servers {
		s := &servers[i]
		c.server = i
		if s.Name == "" || names[s.Name] {
			c.complain(nil, "name", fmt.Errorf("%q is missing or comes twice", s.Name))
		}
		names[s.Name] = true
		own := &site{Server: s, steps: c.steps(nil, s.Steps), named: map[string]*place{}}
		c.site, own.pages = own, c.pages(nil, s.Errors)
		own.places = c.level(nil, s.Locations, map[string]bool{}, own.pages)
		c.reachable()
		c.hosts(t, own)
		if s.Default && t.standard != nil && t.standard.Default {
			c.complain(nil, "default", fmt.Errorf("%q is the default already", t.standard.Name))
		}
		if t.standard == nil || s.Default && !t.standard.Default {
			t.standard = own
		}
	}
	if len(c.errs) > 0 {
		return nil, c.errs
	}
	return t, nil
}

func (c *compiler) complain(at []int, field string, err error) {
	c.errs = append(c.errs, &Error{Server: c.server, Location: slices.Clone(at), Field: field, Err: err})
}

// hosts enters a server under its names. The first server of a name has it.
func (c *compiler) hosts(t *Table, s *site) {
	enter := func(m map[string]*site, name, host string) {
		if name == "" || strings.ContainsAny(name, "*/ ") {
			c.complain(nil, "hosts", fmt.Errorf("%q is no host name", host))
		} else if m[name] == nil {
			m[name] = s
		} else {
			c.complain(nil, "hosts", fmt.Errorf("%q belongs to server %q already", host, m[name].Name))
		}
	}
	for _, host := range s.Hosts {
		name := strings.ToLower(host)
		if text, ok := strings.CutPrefix(host, "~"); ok {
			if re := c.pattern(nil, "hosts", text, false); re != nil {
				t.patterns = append(t.patterns, hostPattern{re, s})
			}
		} else if rest, ok := strings.CutPrefix(name, "*."); ok {
			enter(t.front, rest, host)
		} else if rest, ok := strings.CutSuffix(name, ".*"); ok {
			enter(t.back, rest, host)
		} else if rest, ok := strings.CutPrefix(name, "."); ok {
			enter(t.exact, rest, host)
			enter(t.front, rest, host)
		} else {
			enter(t.exact, strings.TrimSuffix(name, "."), host)
		}
	}
}

func (c *compiler) pattern(at []int, field, text string, any bool) *regexp.Regexp {
	if len(text) > MaxPattern {
		c.complain(at, field, fmt.Errorf("the expression has %d bytes, over the %d allowed", len(text), MaxPattern))
		return nil
	}
	if _, err := syntax.Parse(text, syntax.Perl); err != nil {
		c.complain(at, field, err)
		return nil
	}
	if any {
		text = "(?i:" + text + ")"
	}
	re, err := regexp.Compile(text)
	if err != nil {
		c.complain(at, field, err)
	}
	return re
}

func (c *compiler) template(at []int, field, text string) template {
	t, err := parseTemplate(text)
	if err != nil {
		c.complain(at, field, err)
	}
	return t
}

func (c *compiler) steps(at []int, list []Step) []step {
	if len(list) > maxSteps {
		c.complain(at, "step", fmt.Errorf("%d of them, over the %d allowed", len(list), maxSteps))
		return nil
	}
	steps := make([]step, len(list))
	for i := range list {
		s := &list[i]
		field := fmt.Sprintf("step[%d]", i)
		steps[i] = step{
			Step: s, to: c.template(at, field, s.To), body: c.template(at, field, s.Body), location: c.template(at, field, s.Location),
		}
		switch {
		case s.Match != "":
			steps[i].pattern = c.pattern(at, field, s.Match, false)
			if s.Status != 0 || s.Stop {
				c.complain(at, field, errors.New("it rewrites, stops or answers, not several of these"))
			}
		case s.Stop:
		case s.Status < 200 || s.Status > 599:
			c.complain(at, field, fmt.Errorf("%d is no status of an answer", s.Status))
		case (s.Location != "") != redirects(s.Status):
			c.complain(at, field, fmt.Errorf("status %d and a location of %q do not go together", s.Status, s.Location))
		}
	}
	return steps
}

func redirects(status int) bool {
	return status == 301 || status == 302 || status == 303 || status == 307 || status == 308
}

// level compiles the locations of a server, or those within one.
func (c *compiler) level(at []int, list []Location, names map[string]bool, around []page) *level {
	if len(list) == 0 {
		return nil
	}
	if len(at) >= maxWithin {
		c.complain(at, "within", fmt.Errorf("locations are more than %d deep", maxWithin))
		return nil
	}
	l := &level{equal: map[string]*place{}}
	prefixes := map[string]bool{}
	for i := range list {
		spec := &list[i]
		here := append(slices.Clip(at), i)
		if spec.Name == "" || names[spec.Name] {
			c.complain(here, "name", fmt.Errorf("%q is missing or comes twice", spec.Name))
		}
		names[spec.Name] = true
		p := &place{Location: spec, steps: c.steps(here, spec.Steps), action: c.action(here, spec), pages: around}
		if len(spec.Errors) > 0 {
			p.pages = c.pages(here, spec.Errors)
		}
		p.within = c.level(here, spec.Within, names, p.pages)
		switch {
		case spec.Kind.expression():
			if p.pattern = c.pattern(here, "path", spec.Path, spec.Kind == MatchesAny); p.pattern != nil {
				l.patterns = append(l.patterns, p)
			}
		case spec.Path == "":
			c.complain(here, "path", errors.New("is missing"))
		case spec.Kind == Named:
			c.named(here, p)
		case spec.Kind == Equals && l.equal[spec.Path] != nil, spec.Kind != Equals && prefixes[spec.Path]:
			c.complain(here, "path", fmt.Errorf("%q has a location already", spec.Path))
		case spec.Kind == Equals:
			l.equal[spec.Path] = p
		default:
			prefixes[spec.Path] = true
			l.prefixes = append(l.prefixes, p)
		}
	}
	slices.SortFunc(l.prefixes, func(a, b *place) int { return strings.Compare(a.Path, b.Path) })
	for i, p := range l.prefixes {
		if i > 0 {
			q := l.prefixes[i-1]
			for q != nil && !strings.HasPrefix(p.Path, q.Path) {
				q = q.shorter
			}
			p.shorter = q
		}
	}
	return l
}

func (c *compiler) action(at []int, l *Location) *action {
	a := l.Do
	if a == nil {
		return nil
	}
	out := &action{Action: a}
	if a.Target != "" {
		out.target = c.template(at, "target", a.Target)
	}
	switch {
	case a.Replace != "" && a.Target != "":
		c.complain(at, "replace", errors.New("there is a target already"))
	case a.Replace != "" && l.Kind.expression():
		c.complain(at, "replace", errors.New("an expression has no prefix to replace"))
	case a.Replace != "" && a.Replace[0] != '/':
		c.complain(at, "replace", fmt.Errorf("%q does not begin with /", a.Replace))
	}
	if len(a.Headers) > maxHeaders {
		c.complain(at, "headers", fmt.Errorf("%d of them, over the %d allowed", len(a.Headers), maxHeaders))
		return out
	}
	for i, h := range a.Headers {
		if h.Name == "" || strings.ContainsAny(h.Name, " \t:\r\n") || http.CanonicalHeaderKey(h.Name) != h.Name {
			c.complain(at, fmt.Sprintf("headers[%d]", i), fmt.Errorf("%q is no name of a header in its usual spelling", h.Name))
		}
		out.headers = append(out.headers, c.template(at, fmt.Sprintf("headers[%d]", i), h.Value))
	}
	return out
}
