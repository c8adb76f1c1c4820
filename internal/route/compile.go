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

// Compile compiles a table of rules. It returns all errors: invalid rules, two routes of equal precedence that could match the same
// request, and routes that never match because another one always takes precedence.
func Compile(rules []Rule) (*Table, []*RuleError) {
	c := compiler{names: map[string]int{}, buckets: map[string][]*compiledRoute{}}
	for i := range rules {
		if e := c.compileRule(i, &rules[i]); e != nil {
			c.routes = append(c.routes, e)
		}
	}
	c.findConflicts()
	if len(c.ruleErrors) > 0 {
		slices.SortStableFunc(c.ruleErrors, func(a, b *RuleError) int { return cmp.Compare(a.Rule, b.Rule) })
		return nil, c.ruleErrors
	}
	t := &Table{exactHosts: map[string]*hostRoutes{}, wildcardHosts: map[string]*hostRoutes{}, routes: c.routes}
	for _, e := range c.routes {
		t.hostRoutesOf(e).add(e)
	}
	for _, s := range t.exactHosts {
		s.sort()
	}
	for _, s := range t.wildcardHosts {
		s.sort()
	}
	if t.anyHost != nil {
		t.anyHost.sort()
	}
	return t, nil
}

// errHostCondition is reported for a condition on the header Host.
var errHostCondition = errors.New("use the host of the route to match the header Host")

// compiler collects the compiled routes of a table and the errors of its rules.
type compiler struct {
	names        map[string]int
	routes       []*compiledRoute
	ruleErrors   []*RuleError
	instructions int
	buckets      map[string][]*compiledRoute // routes by host and path, to find conflicts
}

// addError adds an error of a rule.
func (c *compiler) addError(rule int, field string, err error) {
	c.ruleErrors = append(c.ruleErrors, &RuleError{Rule: rule, Field: field, Err: err})
}

// compileRule validates and compiles one rule. It returns nil if the rule is invalid.
func (c *compiler) compileRule(i int, r *Rule) *compiledRoute {
	errorsBefore := len(c.ruleErrors)
	ruleCopy := *r // later changes by the caller must not affect the table
	e := &compiledRoute{Rule: &ruleCopy, index: i}
	if first, ok := c.names[r.Name]; r.Name == "" {
		c.addError(i, "name", errors.New("is missing"))
	} else if ok {
		c.addError(i, "name", fmt.Errorf("%q is already the name of route %d", r.Name, first))
	} else {
		c.names[r.Name] = i
	}
	c.compileHost(e)
	c.compilePath(e)
	c.compileConditions(e)
	c.validateOutcome(e)
	if len(c.ruleErrors) > errorsBefore {
		return nil
	}
	return e
}

// compileHost normalizes the host of a route.
func (c *compiler) compileHost(e *compiledRoute) {
	host := e.Host
	if host == "" || host == "*" {
		return
	}
	if rest, ok := strings.CutPrefix(host, "*."); ok {
		e.isWildcard, host = true, rest
	}
	name, err := NormalizeHost(host)
	switch {
	case err != nil || name == "":
		c.addError(e.index, "host", fmt.Errorf("%q is not a host name", e.Host))
	case strings.Contains(host, ":") && !strings.Contains(name, ":"):
		c.addError(e.index, "host", fmt.Errorf("%q contains a port: a route applies to all ports", e.Host))
	}
	e.host = name
}

// compilePath normalizes the path of a route, or compiles its regular expression.
func (c *compiler) compilePath(e *compiledRoute) {
	if e.Kind == Regexp {
		c.compilePattern(e)
		return
	}
	if e.Path == "" && e.Kind == Prefix {
		e.Path = "/"
	}
	p, err := Normalize(e.Path)
	switch {
	case err != nil:
		c.addError(e.index, "path", err)
		return
	case strings.Contains(e.Path, ";"):
		c.addError(e.index, "path", errors.New("path parameters after ; are not allowed: they are not compared"))
		return
	}
	if e.path = p.Match; e.Kind == Prefix {
		e.path = strings.TrimSuffix(p.Match, "/")
		e.depth = strings.Count(e.path, "/")
	}
}

// compilePattern compiles a regular expression, which has to match the whole path, and checks its size.
func (c *compiler) compilePattern(e *compiledRoute) {
	if len(e.Path) > MaxPatternBytes {
		c.addError(e.index, "path", fmt.Errorf("the expression has %d bytes, over the %d allowed", len(e.Path), MaxPatternBytes))
		return
	}
	anchored := `^(?:` + e.Path + `)$`
	parsed, err := syntax.Parse(e.Path, syntax.Perl) // parsed alone first: it must not close the group around it
	if err == nil {
		parsed, err = syntax.Parse(anchored, syntax.Perl)
	}
	if err != nil {
		c.addError(e.index, "path", err)
		return
	}
	program, err := syntax.Compile(parsed.Simplify())
	if err != nil {
		c.addError(e.index, "path", err)
		return
	}
	size := len(program.Inst)
	if c.instructions += size; size > maxInstructions {
		c.addError(e.index, "path", fmt.Errorf("the expression compiles to %d instructions, over the %d allowed", size, maxInstructions))
		return
	}
	if c.instructions > maxTotalInstructions {
		c.addError(e.index, "path", fmt.Errorf(
			"all expressions up to here compile to %d instructions, over the %d allowed", c.instructions, maxTotalInstructions))
		return
	}
	e.pattern, err = regexp.Compile(anchored)
	if err != nil {
		c.addError(e.index, "path", err)
	}
	e.path = e.Path
}

// compileConditions validates the methods and conditions of a route. The route gets copies of them, as later changes by the
// caller must not affect the table.
func (c *compiler) compileConditions(e *compiledRoute) {
	c.compileMethods(e)
	c.compileHeaders(e)
	e.Query = slices.Clone(e.Query)
	c.validateConditions(e, "headers", e.Headers)
	c.validateConditions(e, "query", e.Query)
}

// compileMethods copies and validates the methods of a route.
func (c *compiler) compileMethods(e *compiledRoute) {
	if len(e.Methods) > maxMethods {
		c.addError(e.index, "methods", fmt.Errorf("%d methods, over the %d allowed", len(e.Methods), maxMethods))
	}
	e.Methods = slices.Clone(e.Methods)
	for i, method := range e.Methods {
		if !isMethod(method) {
			c.addError(e.index, "methods", fmt.Errorf("%q is not a method: use capital letters", method))
		}
		if slices.Contains(e.Methods[:i], method) {
			c.addError(e.index, "methods", fmt.Errorf("%s is listed twice", method))
		}
	}
}

// isMethod reports whether a text is a method in capital letters. VERSION-CONTROL is the only registered method with another
// character.
func isMethod(text string) bool {
	isOther := func(r rune) bool { return r < 'A' || r > 'Z' }
	return text != "" && (!strings.ContainsFunc(text, isOther) || text == "VERSION-CONTROL")
}

// compileHeaders copies the header conditions of a route and brings their names into canonical form.
func (c *compiler) compileHeaders(e *compiledRoute) {
	e.Headers = slices.Clone(e.Headers)
	for i := range e.Headers {
		header := &e.Headers[i]
		header.Name = http.CanonicalHeaderKey(header.Name)
		if header.Name == "" || strings.ContainsAny(header.Name, " :\t\r\n") {
			c.addError(e.index, "headers", fmt.Errorf("%q is not a valid header name", header.Name))
		}
		if header.Name == "Host" {
			c.addError(e.index, "headers", errHostCondition)
		}
	}
}

// validateConditions reports invalid conditions of one field.
func (c *compiler) validateConditions(e *compiledRoute, field string, conditions []Condition) {
	if len(conditions) > maxConditions {
		c.addError(e.index, field, fmt.Errorf("%d conditions, over the %d allowed", len(conditions), maxConditions))
	}
	for i, condition := range conditions {
		if condition.Name == "" {
			c.addError(e.index, field, errors.New("a condition has no name"))
		}
		if slices.ContainsFunc(conditions[:i], func(earlier Condition) bool { return condition.Name == earlier.Name }) {
			c.addError(e.index, field, fmt.Errorf("two conditions on %s", condition.Name))
		}
	}
}

// validateOutcome reports errors of the rewrite and the fixed answer of a route.
func (c *compiler) validateOutcome(e *compiledRoute) {
	rewrite := e.Rewrite
	switch {
	case (rewrite.Strip || rewrite.Replace != "") && e.Kind != Prefix:
		c.addError(e.index, "rewrite", errors.New("only the path of a prefix route can be rewritten"))
	case rewrite.Replace != "" && !rewrite.Strip:
		c.addError(e.index, "rewrite", errors.New("a replacement needs the prefix to be stripped"))
	case rewrite.Replace != "":
		if p, err := Normalize(rewrite.Replace); err != nil || p.Raw != rewrite.Replace {
			c.addError(e.index, "rewrite", fmt.Errorf("%q is not a path in its normal spelling", rewrite.Replace))
		}
	}
	answer := e.Answer
	switch {
	case answer == nil:
		return
	case e.Pool != "" || e.Class != "":
		c.addError(e.index, "answer", errors.New("a route gives a fixed answer or names a pool, not both"))
	case rewrite != Rewrite{}:
		c.addError(e.index, "rewrite", errors.New("a fixed answer has no path to rewrite"))
	default:
		if err := answer.validate(); err != nil {
			c.addError(e.index, "answer", err)
		}
	}
}

// validate returns an error if the answer is not a valid response.
func (a *Answer) validate() error {
	switch {
	case a.Status < 200 || a.Status > 599:
		return fmt.Errorf("%d is not a valid response status", a.Status)
	case (a.Location != "") != IsRedirect(a.Status):
		return fmt.Errorf("status %d with location %q: only a redirect has a location, and it needs one", a.Status, a.Location)
	case strings.ContainsAny(a.Location, "\r\n\x00") || hasUnknownPlaceholder(a.Location):
		return fmt.Errorf("location %q: {host}, {path} and {query} are the only placeholders", a.Location)
	case a.Body != "" && (a.Status == http.StatusNoContent || a.Status == http.StatusNotModified):
		return fmt.Errorf("status %d has no body", a.Status)
	}
	return nil
}

// IsRedirect reports whether responses with a status have a location.
func IsRedirect(status int) bool {
	switch status {
	case http.StatusMovedPermanently, http.StatusFound, http.StatusSeeOther, http.StatusTemporaryRedirect, http.StatusPermanentRedirect:
		return true
	}
	return false
}

// hasUnknownPlaceholder reports whether the location of a redirect has braces that belong to no placeholder.
func hasUnknownPlaceholder(location string) bool {
	for _, placeholder := range [...]string{"{host}", "{path}", "{query}"} {
		location = strings.ReplaceAll(location, placeholder, "")
	}
	return strings.ContainsAny(location, "{}")
}

// hostRoutesOf returns the routes of the host of a route, and creates them if the host is new.
func (t *Table) hostRoutesOf(e *compiledRoute) *hostRoutes {
	hosts := t.exactHosts
	switch {
	case e.host == "":
		if t.anyHost == nil {
			t.anyHost = newHostRoutes()
		}
		return t.anyHost
	case e.isWildcard:
		hosts = t.wildcardHosts
	}
	if hosts[e.host] == nil {
		hosts[e.host] = newHostRoutes()
	}
	return hosts[e.host]
}

func newHostRoutes() *hostRoutes {
	return &hostRoutes{exactPaths: map[string][]*compiledRoute{}, prefixes: &trieNode{}}
}

// add adds a route to those of its host.
func (s *hostRoutes) add(e *compiledRoute) {
	switch e.Kind {
	case Exact:
		s.exactPaths[e.path] = append(s.exactPaths[e.path], e)
	case Regexp:
		s.patterns = append(s.patterns, e)
	default:
		node := s.prefixes
		for rest := strings.TrimPrefix(e.path, "/"); rest != ""; {
			var segment string
			segment, rest, _ = strings.Cut(rest, "/")
			node = node.child(segment)
		}
		node.entries = append(node.entries, e)
	}
}

// child returns the child for a segment, and creates it if there is none.
func (n *trieNode) child(segment string) *trieNode {
	if found := n.children[segment]; found != nil {
		return found
	}
	if n.children == nil {
		n.children = map[string]*trieNode{}
	}
	added := &trieNode{parent: n}
	n.children[segment] = added
	return added
}

// sort sorts the routes of each path, and all regular expressions, by precedence.
func (s *hostRoutes) sort() {
	slices.SortStableFunc(s.patterns, comparePrecedence)
	for _, list := range s.exactPaths {
		slices.SortStableFunc(list, comparePrecedence)
	}
	s.prefixes.sort()
}

func (n *trieNode) sort() {
	slices.SortStableFunc(n.entries, comparePrecedence)
	for _, child := range n.children {
		child.sort()
	}
}
