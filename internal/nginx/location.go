package nginx

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// locationFields maps a modifier of nginx to the key of the path of a location in the operator file.
var locationFields = map[string]string{"": "begins", "=": "exact", "^~": "only", "~": "regex", "~*": "regex_any"}

// fieldNamed is the key of a named location.
const fieldNamed = "named"

// importLocation translates a location. It returns nil if the location is dropped.
func (l *serverImporter) importLocation(d *Directive, inherited settings, s scope, parent *locationPlan) *locationPlan {
	field, path, ok := locationPath(d)
	if !ok {
		l.drop(d, "the location needs a path, with no modifier or one of =, ^~, ~ and ~*")
		return nil
	}
	if reason := checkLocation(field, path, parent, &s); reason != "" {
		l.drop(d, reason)
		return nil
	}
	p := &locationPlan{directive: d, name: l.uniqueName("line-" + strconv.Itoa(d.Pos.Line)), field: field, path: path}
	l.outcomes.record(d, Translated, 0, "")
	set := l.readSettings(d.Body, inherited)
	p.bodyDirective, p.maxBody = set.body, set.bodySize
	p.steps, p.locations = l.importBlock(d, set, &s, p)
	for _, k := range d.Body {
		switch k.Name {
		case "proxy_pass":
			l.importProxyPass(p, k, &set, s)
		case "internal":
			p.internal = k
			l.outcomes.record(k, Translated, 0, "")
		}
	}
	p.intercept = set.intercept
	if own := directivesNamed(d.Body, "error_page"); own != nil {
		l.addErrorPages(&p.pages, own, s)
	}
	l.checkHasAction(p, d)
	return p
}

// locationPath returns the key and the path of a location. A modifier may be written without a space before the path.
func locationPath(d *Directive) (field, path string, ok bool) {
	modifier := ""
	switch len(d.Args) {
	case 1:
		path = d.Args[0].Text
		for _, m := range []string{"=", "^~", "~*", "~"} {
			if rest, found := strings.CutPrefix(path, m); found && !d.Args[0].Quoted {
				modifier, path = m, rest
				break
			}
		}
	case 2:
		modifier, path = d.Args[0].Text, d.Args[1].Text
	}
	if name, found := strings.CutPrefix(path, "@"); found && modifier == "" {
		return fieldNamed, name, true
	}
	field, ok = locationFields[modifier]
	return field, path, ok && path != ""
}

// checkLocation returns the reason why a location is dropped; "" if it is not. It adds the captures of its expression to the scope.
func checkLocation(field, path string, parent *locationPlan, s *scope) (reason string) {
	switch {
	case field == fieldNamed:
		if parent != nil {
			return "a named location must be in a server, not within a location"
		}
		if path == "" {
			return "the named location has no name after @"
		}
	case parent != nil && parent.field == fieldNamed:
		return "a named location must not contain other locations"
	case strings.HasPrefix(field, "regex"):
		re, err := compileExpression(path)
		if err != nil {
			return fmt.Sprintf("RE2 does not accept the expression (%v): ITS REQUESTS GO TO OTHER LOCATIONS; "+
				"write it without look-around and back-references", err)
		}
		s.addCaptures(re)
	case parent != nil && !strings.HasPrefix(parent.field, "regex") && !strings.HasPrefix(path, parent.path):
		return "its path does not begin with that of the location around it"
	}
	return ""
}

// checkHasAction records the difference for a location without a server to send to. It responds with 404, or with 501 if directives in
// it were dropped.
func (l *serverImporter) checkHasAction(p *locationPlan, d *Directive) {
	if p.proxy != nil || len(p.steps) > 0 && len(directivesNamed(d.Body, "proxy_pass")) == 0 {
		return
	}
	isDropped := func(k *Directive) bool { return l.outcomes[k] != nil && l.outcomes[k].Outcome == Dropped }
	if slices.ContainsFunc(d.Body, isDropped) {
		l.outcomes.record(d, Differs, 0, "directives in it were dropped: it responds with 501")
		p.steps = append(p.steps, stepPlan{lines: []string{"status = 501", `body = "not carried over\n"`}})
		return
	}
	l.outcomes.record(d, Differs, 0, "it sends to no server: it responds with 404")
}
