package nginx

import (
	"fmt"
	"strings"
)

// serverImporter translates the steps and locations of one server.
type serverImporter struct {
	*importer
	locationNames map[string]bool
	server        *siteServer
	listener      *listenerPlan  // the first one of the server
	pending       []pendingPages // error pages, which are translated once all locations are known
}

// importBlock translates the block of a server, or of a location within parent. set holds the settings of this block.
func (l *serverImporter) importBlock(
	d *Directive, set settings, s *scope, parent *locationPlan,
) (steps []stepPlan, locations []*locationPlan) {
	l.importSets(d, s)
	inner := s.clone()
	for _, k := range d.Body {
		switch k.Name {
		case "rewrite", "return", "break":
			if step, ok := l.importStep(k, s); ok {
				steps = append(steps, step)
			}
		}
	}
	locations = l.importLocations(d, set, inner, parent)
	for _, k := range d.Body {
		isHandled := l.outcomes[k] != nil || isInherited(k.Name) || k.Name == "proxy_pass" || k.Name == "internal" && parent != nil
		if !isHandled {
			l.drop(k, dropReason(k.Name))
		}
	}
	return steps, locations
}

// importSets reads the set directives, whose variables apply to the whole block.
func (l *serverImporter) importSets(d *Directive, s *scope) {
	for _, k := range directivesNamed(d.Body, "set") {
		if len(k.Args) != 2 || !strings.HasPrefix(k.Args[0].Text, "$") {
			continue
		}
		value, err := s.resolve(k.Args[1].Text)
		if err == nil && !isConstant(value) {
			err = fmt.Errorf("the value depends on the request")
		}
		if err != nil {
			l.drop(k, err.Error())
			continue
		}
		s.constants[k.Args[0].Text[1:]] = constantText(value)
		l.outcomes.record(k, Differs, 0, "the variable is replaced by its value wherever it is used")
	}
}

// isConstant reports whether a template has no placeholders.
func isConstant(template string) bool {
	return !strings.Contains(strings.ReplaceAll(template, "{{", ""), "{")
}

// constantText returns the text of a template without placeholders.
func constantText(template string) string { return strings.ReplaceAll(template, "{{", "{") }

// importLocations translates the locations of a block, and adds the redirects that nginx adds implicitly.
func (l *serverImporter) importLocations(d *Directive, set settings, s scope, parent *locationPlan) (locations []*locationPlan) {
	taken := map[locationKey]bool{}
	for _, k := range directivesNamed(d.Body, "location") {
		if !k.Block {
			continue
		}
		p := l.importLocation(k, set, s.clone(), parent)
		switch {
		case p == nil:
		case !p.isExpression() && taken[p.key()]:
			l.drop(k, "an earlier location has the same path")
		default:
			taken[p.key()] = true
			locations = append(locations, p)
		}
	}
	return append(locations, l.slashRedirects(locations, taken)...)
}

// locationKey is an exact path or a prefix, which only one location of a level may have. Expressions may be repeated.
type locationKey struct{ kind, path string }

func (p *locationPlan) isExpression() bool { return p.field == "regex" || p.field == "regex_any" }

func (p *locationPlan) key() locationKey {
	switch p.field {
	case "begins", "only":
		return locationKey{"prefix", p.path}
	}
	return locationKey{p.field, p.path}
}

// slashRedirects returns the redirects that nginx adds implicitly: for a prefix that ends in a slash and is proxied, the path without
// the slash is answered with 301, unless it has a location of its own.
func (l *serverImporter) slashRedirects(list []*locationPlan, taken map[locationKey]bool) (out []*locationPlan) {
	for _, p := range list {
		path, ok := strings.CutSuffix(p.path, "/")
		isPrefix := p.key().kind == "prefix"
		isTaken := taken[locationKey{"exact", path}] || taken[locationKey{"prefix", path}]
		if !ok || path == "" || p.proxy == nil || !isPrefix || isTaken {
			continue
		}
		to := "{scheme}://{host}" + l.redirectPort() + strings.ReplaceAll(p.path, "{", "{{") + "{?query}"
		step := stepPlan{lines: []string{"status = 301", "redirect = " + quoteTOML(to)}}
		out = append(out, &locationPlan{name: l.uniqueName(p.name + "-slash"), field: "exact", path: path, steps: []stepPlan{step}})
	}
	return out
}

// redirectPort returns the port, with its colon, in a redirect to the listener itself; "" for the default port.
func (l *serverImporter) redirectPort() string {
	port := l.listener.address[strings.LastIndexByte(l.listener.address, ':'):]
	if port == ":80" || port == ":443" && l.listener.certificateFrom != nil {
		return ""
	}
	return port
}

// uniqueName returns a name that no other location has.
func (l *serverImporter) uniqueName(name string) string {
	for n, base := 2, name; l.locationNames[name]; n++ {
		name = fmt.Sprintf("%s-%d", base, n)
	}
	l.locationNames[name] = true
	return name
}
