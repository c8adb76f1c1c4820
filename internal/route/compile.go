package route

import (
	"cmp"
	"errors"
	"fmt"
	"net/http"
	"regexp"
	"regexp/syntax"
	"slices"
	"strings"
)

// Compile makes a table of rules. All that is wrong is told, each as a *RuleError: what cannot be used, two routes that
// could match one request with nothing to decide between them, and routes that never match as another always goes first.
func Compile(rules []Rule) (*Table, []*RuleError) {
	c := compiler{names: map[string]int{}, buckets: map[string][]*entry{}}
	for i := range rules {
		if e := c.entry(i, &rules[i]); e != nil {
			c.all = append(c.all, e)
		}
	}
	c.findConflicts()
	if len(c.errs) > 0 {
		slices.SortStableFunc(c.errs, func(a, b *RuleError) int { return cmp.Compare(a.Rule, b.Rule) })
		return nil, c.errs
	}
	t := &Table{exact: map[string]*site{}, wild: map[string]*site{}, all: c.all}
	for _, e := range c.all {
		t.site(e).add(e)
	}
	for _, s := range t.exact {
		s.sort()
	}
	for _, s := range t.wild {
		s.sort()
	}
	if t.any != nil {
		t.any.sort()
	}
	return t, nil
}

type compiler struct {
	names        map[string]int
	all          []*entry
	errs         []*RuleError
	instructions int
	buckets      map[string][]*entry // entries by host and path, for the search for conflicts
}

func (c *compiler) complain(rule int, field string, err error) {
	c.errs = append(c.errs, &RuleError{Rule: rule, Field: field, Err: err})
}

// entry checks one rule and compiles it; nil if it cannot be used.
func (c *compiler) entry(i int, r *Rule) *entry {
	bad := len(c.errs)
	own := *r // the table keeps a copy: what the caller does with its rules must not reach it
	e := &entry{Rule: &own, index: i}
	if first, ok := c.names[r.Name]; r.Name == "" {
		c.complain(i, "name", errors.New("is missing"))
	} else if ok {
		c.complain(i, "name", fmt.Errorf("%q names route %d already", r.Name, first))
	} else {
		c.names[r.Name] = i
	}
	c.host(e)
	c.path(e)
	c.conditions(e)
	c.outcome(e)
	if len(c.errs) > bad {
		return nil
	}
	return e
}

func (c *compiler) host(e *entry) {
	host := e.Host
	if host == "" || host == "*" {
		return
	}
	if rest, ok := strings.CutPrefix(host, "*."); ok {
		e.wild, host = true, rest
	}
	name, err := NormalizeHost(host)
	switch {
	case err != nil || name == "":
		c.complain(e.index, "host", fmt.Errorf("%q is no host name", e.Host))
	case strings.Contains(host, ":") && !strings.Contains(name, ":"):
		c.complain(e.index, "host", fmt.Errorf("%q names a port: routes are for all ports", e.Host))
	}
	e.host = name
}

func (c *compiler) path(e *entry) {
	if e.Kind == Regexp {
		c.pattern(e)
		return
	}
	if e.Path == "" && e.Kind == Prefix {
		e.Rule.Path = "/"
	}
	p, err := Normalize(e.Path)
	switch {
	case err != nil:
		c.complain(e.index, "path", err)
		return
	case strings.Contains(e.Path, ";"):
		c.complain(e.index, "path", errors.New("parameters behind ; are not compared"))
		return
	}
	if e.path = p.Match; e.Kind == Prefix {
		e.path = strings.TrimSuffix(p.Match, "/")
		e.depth = strings.Count(e.path, "/")
	}
}

// pattern compiles an expression within the bounds. It has to match the whole path.
func (c *compiler) pattern(e *entry) {
	if len(e.Path) > MaxPattern {
		c.complain(e.index, "path", fmt.Errorf("the expression has %d bytes, over the %d allowed", len(e.Path), MaxPattern))
		return
	}
	whole := `^(?:` + e.Path + `)$`
	parsed, err := syntax.Parse(e.Path, syntax.Perl) // by itself: it must not end the group that it is put into
	if err == nil {
		parsed, err = syntax.Parse(whole, syntax.Perl)
	}
	if err != nil {
		c.complain(e.index, "path", err)
		return
	}
	program, err := syntax.Compile(parsed.Simplify())
	if err != nil {
		c.complain(e.index, "path", err)
		return
	}
	size := len(program.Inst)
	if c.instructions += size; size > maxInstructions {
		c.complain(e.index, "path", fmt.Errorf("the expression compiles to %d instructions, over the %d allowed", size, maxInstructions))
		return
	}
	if c.instructions > maxAll {
		c.complain(e.index, "path", fmt.Errorf("all expressions up to here compile to %d instructions, over the %d allowed", c.instructions, maxAll))
		return
	}
	e.pattern, err = regexp.Compile(whole)
	if err != nil {
		c.complain(e.index, "path", err)
	}
	e.path = e.Path
}

func (c *compiler) conditions(e *entry) {
	if len(e.Methods) > maxMethods {
		c.complain(e.index, "methods", fmt.Errorf("%d methods, over the %d allowed", len(e.Methods), maxMethods))
	}
	e.Methods = slices.Clone(e.Methods)
	for i, m := range e.Methods {
		if m == "" || strings.ContainsFunc(m, func(r rune) bool { return r < 'A' || r > 'Z' }) && m != "VERSION-CONTROL" {
			c.complain(e.index, "methods", fmt.Errorf("%q is no method: they are in capital letters", m))
		}
		if slices.Contains(e.Methods[:i], m) {
			c.complain(e.index, "methods", fmt.Errorf("%s comes twice", m))
		}
	}
	e.Headers, e.Query = slices.Clone(e.Headers), slices.Clone(e.Query)
	for i := range e.Headers {
		h := &e.Headers[i]
		if h.Name = http.CanonicalHeaderKey(h.Name); h.Name == "" || strings.ContainsAny(h.Name, " :\t\r\n") {
			c.complain(e.index, "headers", fmt.Errorf("%q is no name of a header", h.Name))
		}
		if h.Name == "Host" {
			c.complain(e.index, "headers", errors.New("Host is compared by the route's host"))
		}
	}
	for _, set := range [...]struct {
		field string
		of    []Condition
	}{{"headers", e.Headers}, {"query", e.Query}} {
		if len(set.of) > maxConditions {
			c.complain(e.index, set.field, fmt.Errorf("%d conditions, over the %d allowed", len(set.of), maxConditions))
		}
		for i, a := range set.of {
			if a.Name == "" {
				c.complain(e.index, set.field, errors.New("a condition has no name"))
			}
			if slices.ContainsFunc(set.of[:i], func(b Condition) bool { return a.Name == b.Name }) {
				c.complain(e.index, set.field, fmt.Errorf("two conditions on %s", a.Name))
			}
		}
	}
}

func (c *compiler) outcome(e *entry) {
	w := e.Rewrite
	switch {
	case (w.Strip || w.Replace != "") && e.Kind != Prefix:
		c.complain(e.index, "rewrite", errors.New("only the path of a prefix route can be rewritten"))
	case w.Replace != "" && !w.Strip:
		c.complain(e.index, "rewrite", errors.New("a replacement needs the prefix to be stripped"))
	case w.Replace != "":
		if p, err := Normalize(w.Replace); err != nil || p.Raw != w.Replace {
			c.complain(e.index, "rewrite", fmt.Errorf("%q is no path in its one spelling", w.Replace))
		}
	}
	a := e.Answer
	switch {
	case a == nil:
		return
	case e.Pool != "" || e.Class != "":
		c.complain(e.index, "answer", errors.New("a route gives a fixed answer or names a pool, not both"))
	case w != Rewrite{}:
		c.complain(e.index, "rewrite", errors.New("a fixed answer has no path to rewrite"))
	case a.Status < 200 || a.Status > 599:
		c.complain(e.index, "answer", fmt.Errorf("%d is no status of an answer", a.Status))
	case (a.Location != "") != (a.Status == 301 || a.Status == 302 || a.Status == 303 || a.Status == 307 || a.Status == 308):
		c.complain(e.index, "answer", fmt.Errorf("status %d and a location of %q do not go together", a.Status, a.Location))
	case strings.ContainsAny(a.Location, "\r\n\x00") || checkLocation(a.Location) != nil:
		c.complain(e.index, "answer", fmt.Errorf("location %q: {host}, {path} and {query} are the only placeholders", a.Location))
	case a.Body != "" && (a.Status == 204 || a.Status == 304):
		c.complain(e.index, "answer", fmt.Errorf("status %d has no body", a.Status))
	}
}

// checkLocation checks the placeholders of a redirect.
func checkLocation(s string) error {
	for _, name := range [...]string{"{host}", "{path}", "{query}"} {
		s = strings.ReplaceAll(s, name, "")
	}
	if strings.ContainsAny(s, "{}") {
		return errors.New("unknown placeholder")
	}
	return nil
}

// findConflicts looks for routes that are alike in rank and could match one request, and for those that never match.
// Only routes whose hosts and paths can meet are compared, so that large tables stay quick to load.
func (c *compiler) findConflicts() {
	type key struct {
		host string
		wild bool
	}
	hosts := map[key]*meeting{}
	for _, e := range c.all {
		k := key{e.host, e.wild}
		if hosts[k] == nil {
			hosts[k] = &meeting{paths: map[string][]*entry{}}
		}
		hosts[k].add(e)
	}
	for _, e := range c.all {
		own := hosts[key{e.host, e.wild}]
		for _, other := range own.alike(e) {
			if other.index < e.index && outranks(e, other) == 0 && compatible(e, other) {
				c.complain(e.index, "priority", fmt.Errorf("route %q could match the same request and nothing decides between them: give one a higher priority", other.Name))
				break
			}
		}
		// A more specific host goes first but matches less, so only routes of the same host can hide this one.
		for _, other := range own.above(e) {
			if other != e && outranks(other, e) < 0 && covers(other, e) {
				c.complain(e.index, "path", fmt.Errorf("is unreachable: route %q matches all that this one does, and goes first", other.Name))
				break
			}
		}
	}
}

// meeting holds the routes of one host by what their paths are.
type meeting struct {
	paths    map[string][]*entry // exact and prefix routes by path
	patterns []*entry
	wide     []*entry // patterns that may cover a prefix or other patterns
}

func (m *meeting) add(e *entry) {
	if e.Kind != Regexp {
		m.paths[e.path] = append(m.paths[e.path], e)
		return
	}
	m.patterns = append(m.patterns, e)
	if _, ok := e.everythingUnder(); ok {
		m.wide = append(m.wide, e)
	}
}

// alike are the routes that could be of the same rank.
func (m *meeting) alike(e *entry) []*entry {
	if e.Kind == Regexp {
		return m.patterns
	}
	return m.paths[e.path]
}

// above are the routes that might hide this one.
func (m *meeting) above(e *entry) []*entry {
	switch e.Kind {
	case Exact:
		return m.paths[e.path] // expressions and prefixes come after an exact path
	case Regexp:
		return m.patterns
	}
	return slices.Concat(m.paths[e.path], m.wide)
}

// everythingUnder tells that an expression matches every path that begins with a text.
func (e *entry) everythingUnder() (string, bool) {
	re, err := syntax.Parse(e.Path, syntax.Perl)
	if err != nil {
		return "", false
	}
	re = re.Simplify()
	parts := []*syntax.Regexp{re}
	if re.Op == syntax.OpConcat {
		parts = re.Sub
	}
	text := "/" // every path begins with it
	for i, p := range parts {
		switch {
		case p.Op == syntax.OpBeginText || p.Op == syntax.OpBeginLine:
		case p.Op == syntax.OpLiteral && p.Flags&syntax.FoldCase == 0 && i == len(parts)-2:
			text = string(p.Rune)
		case p.Op == syntax.OpStar && i == len(parts)-1:
			return text, p.Sub[0].Op == syntax.OpAnyChar || p.Sub[0].Op == syntax.OpAnyCharNotNL
		default:
			return "", false
		}
	}
	return "", false
}

// covers tells, for certain, that a matches whatever b of the same host does.
func covers(a, b *entry) bool {
	if len(a.Methods) > 0 {
		if len(b.Methods) == 0 || slices.ContainsFunc(b.Methods, func(m string) bool { return !slices.Contains(a.Methods, m) }) {
			return false
		}
	}
	if !implied(a.Headers, b.Headers) || !implied(a.Query, b.Query) {
		return false
	}
	if a.Kind != Regexp {
		return a.Kind == b.Kind && a.path == b.path
	}
	if b.Kind == Regexp && a.path == b.path {
		return true
	}
	under, ok := a.everythingUnder()
	if !ok {
		return false
	}
	if b.Kind == Regexp {
		own, ok := b.everythingUnder()
		return ok && strings.HasPrefix(own, under)
	}
	return b.Kind == Prefix && (under == "/" || strings.HasPrefix(b.path, under))
}

// implied tells whether each condition of a follows from those of b.
func implied(a, b []Condition) bool {
	for _, x := range a {
		if !slices.ContainsFunc(b, func(y Condition) bool {
			return x.Name == y.Name && (x == y || x.Kind == Present && y.Kind == Equals)
		}) {
			return false
		}
	}
	return true
}

// compatible tells whether two routes of like host and path could match one request.
func compatible(a, b *entry) bool {
	if len(a.Methods) > 0 && len(b.Methods) > 0 &&
		!slices.ContainsFunc(a.Methods, func(m string) bool { return slices.Contains(b.Methods, m) }) {
		return false
	}
	return !exclude(a.Headers, b.Headers) && !exclude(a.Query, b.Query)
}

// exclude tells whether no request can meet both sets of conditions.
func exclude(a, b []Condition) bool {
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

func (t *Table) site(e *entry) *site {
	hosts := t.exact
	switch {
	case e.host == "":
		if t.any == nil {
			t.any = newSite()
		}
		return t.any
	case e.wild:
		hosts = t.wild
	}
	if hosts[e.host] == nil {
		hosts[e.host] = newSite()
	}
	return hosts[e.host]
}

func newSite() *site { return &site{exact: map[string][]*entry{}, prefixes: &node{}} }

func (s *site) add(e *entry) {
	switch e.Kind {
	case Exact:
		s.exact[e.path] = append(s.exact[e.path], e)
	case Regexp:
		s.patterns = append(s.patterns, e)
	default:
		at := s.prefixes
		for rest := strings.TrimPrefix(e.path, "/"); rest != ""; {
			var segment string
			segment, rest, _ = strings.Cut(rest, "/")
			next := at.children[segment]
			if next == nil {
				next = &node{parent: at}
				if at.children == nil {
					at.children = map[string]*node{}
				}
				at.children[segment] = next
			}
			at = next
		}
		at.entries = append(at.entries, e)
	}
}

func (s *site) sort() {
	slices.SortStableFunc(s.patterns, better)
	for _, list := range s.exact {
		slices.SortStableFunc(list, better)
	}
	s.prefixes.sort()
}

func (n *node) sort() {
	slices.SortStableFunc(n.entries, better)
	for _, child := range n.children {
		child.sort()
	}
}
