package operator

import (
	"fmt"
	"net/http"
	"slices"

	"milletmast/internal/route"
)

// compileRoutes compiles the usable routes for each listener and protocol.
func (c *checker) compileRoutes(usable []bool) {
	reported := map[string]bool{} // a route may be in the tables of several listeners
	for i := range c.cfg.Listeners {
		l := &c.cfg.Listeners[i]
		c.cfg.HTTPRoutes[l.Name] = c.compileTable(l, HTTP, usable, reported)
		c.cfg.GRPCRoutes[l.Name] = c.compileTable(l, GRPC, usable, reported)
	}
}

// compileTable compiles the routes of a listener for one protocol. A route for all listeners is only added to the
// tables of those that accept its protocol.
func (c *checker) compileTable(l *Listener, protocol string, usable []bool, reported map[string]bool) *route.Table {
	var rules []route.Rule
	var indexes []int
	for i := range c.cfg.Routes {
		r := &c.cfg.Routes[i]
		atListener := len(r.Listeners) == 0 || slices.Contains(r.Listeners, l.Name)
		if usable[i] && atListener && l.accepts(protocol) && c.protocolOf(r, protocol) == protocol {
			rules = append(rules, r.rule())
			indexes = append(indexes, i)
		}
	}
	table, errs := route.Compile(rules)
	for _, err := range errs {
		i := indexes[err.Rule]
		field := fmt.Sprintf("route[%d].%s", i, c.cfg.Routes[i].keyOf(err.Field))
		if id := field + err.Err.Error(); !reported[id] {
			reported[id] = true
			c.report(field, err.Err)
		}
	}
	return table
}

// rule converts a route of the file.
func (r *Route) rule() route.Rule {
	rule := route.Rule{
		Name: r.Name, Host: r.Host, Methods: r.Methods, Priority: r.Priority, Pool: r.Pool, Class: r.Class,
		Headers: convertConditions(r.Headers), Query: convertConditions(r.Query),
		Rewrite: route.Rewrite{Strip: r.StripPrefix || r.ReplacePrefix != "", Replace: r.ReplacePrefix},
	}
	switch r.pathKey() {
	case "exact":
		rule.Path, rule.Kind = r.Exact, route.Exact
	case "regex":
		rule.Path, rule.Kind = r.Regex, route.Regexp
	default:
		rule.Path, rule.Kind = r.Prefix, route.Prefix
	}
	if r.hasFixedAnswer() {
		status := r.Status
		if status == 0 {
			status = http.StatusFound
		}
		rule.Answer = &route.Answer{Status: status, Body: r.Body, Location: r.Redirect}
	}
	return rule
}

// hasFixedAnswer reports whether a route answers requests itself.
func (r *Route) hasFixedAnswer() bool { return r.Status != 0 || r.Redirect != "" }

func convertConditions(list []Condition) []route.Condition {
	out := make([]route.Condition, len(list))
	for i, c := range list {
		out[i] = route.Condition{Name: c.Name, Value: c.Value}
		if c.Present != nil && *c.Present {
			out[i].Kind = route.Present
		} else if c.Present != nil {
			out[i].Kind = route.Absent
		}
	}
	return out
}

// keyOf returns the key of the file for a field of a rule.
func (r *Route) keyOf(field string) string {
	switch field {
	case "path":
		return r.pathKey()
	case "rewrite":
		if r.ReplacePrefix != "" {
			return "replace_prefix"
		}
		return "strip_prefix"
	case "answer":
		if r.Redirect != "" {
			return "redirect"
		}
		return "status"
	}
	return field
}

func (r *Route) pathKey() string {
	switch {
	case r.Exact != "":
		return "exact"
	case r.Regex != "":
		return "regex"
	}
	return "prefix"
}
