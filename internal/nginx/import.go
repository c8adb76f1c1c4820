package nginx

import (
	"fmt"
	"strings"
	"time"
)

// File is a configuration in which each include is replaced by the included directives.
type File struct {
	Directives []*Directive
	Includes   []*Directive
}

// Defaults of nginx (ngx_http_proxy_module, ngx_http_core_module).
const (
	defaultTimeout = time.Minute
	defaultMaxBody = 1 << 20
	maxAttempts    = 4
	maxAim         = time.Second
	unlimitedBody  = 1 << 39 // bytes; used for a body without a limit
)

// importer translates a tree into a plan, and writes the plan as an operator file.
type importer struct {
	outcomes      outcomes
	pools         []*poolPlan
	poolsByName   map[string]*poolPlan
	upstreams     map[string]bool
	listeners     []*listenerPlan
	servers       []*siteServer
	siteNames     map[string]bool
	wildcardPorts map[string]bool // ports at which a server listens on all addresses
}

// Import translates a file into the text of an operator file, with a report of every directive.
func Import(f *File) (string, *Report) {
	t := &importer{
		outcomes:      outcomes{},
		poolsByName:   map[string]*poolPlan{},
		upstreams:     map[string]bool{},
		siteNames:     map[string]bool{},
		wildcardPorts: map[string]bool{},
	}
	s := scope{constants: map[string]string{}, maps: map[string]*Directive{}, captures: map[string]bool{}}
	var all []*Directive
	for _, d := range f.Directives {
		if d.Name == "http" && d.Block {
			t.outcomes.record(d, Translated, 1, "")
			all = append(all, d.Body...)
		} else {
			all = append(all, d)
		}
	}
	t.importHTTP(all, s)
	out := t.writeFile()
	Walk(f.Directives, func(d *Directive) {
		if t.outcomes[d] == nil && isInherited(d.Name) {
			t.outcomes.record(d, Differs, 0, "no directive that was carried over uses it")
		}
	})
	return out, t.outcomes.newReport(f)
}

// drop records that a directive and its block are dropped.
func (t *importer) drop(d *Directive, note string) {
	t.outcomes.record(d, Dropped, 0, note)
	Walk(d.Body, func(inner *Directive) {
		t.outcomes.record(inner, Dropped, 0, fmt.Sprintf("it is within %s of line %d, which was dropped", d.Name, d.Pos.Line))
	})
}

// importHTTP translates the directives of the block http.
func (t *importer) importHTTP(list []*Directive, s scope) {
	for _, d := range list {
		switch {
		case d.Name == "upstream" && d.Block && len(d.Args) == 1:
			t.importUpstream(d)
		case d.Name == "map" && d.Block && len(d.Args) == 2 && strings.HasPrefix(d.Args[1].Text, "$"):
			s.maps[d.Args[1].Text[1:]] = d
		}
	}
	t.findWildcardPorts(list)
	defaults := settings{connectTime: defaultTimeout, readTime: defaultTimeout, bodySize: defaultMaxBody, attempts: maxAttempts}
	set := t.readSettings(list, defaults)
	for _, d := range list {
		if d.Name == "server" && d.Block && len(d.Args) == 0 {
			t.importServer(d, set, s.clone())
		}
	}
	for _, d := range s.maps {
		t.outcomes.record(d, Differs, 0, "it is evaluated at import, where its variable is used")
		for _, line := range d.Body {
			t.outcomes.record(line, Differs, 0, "it is evaluated at import")
		}
	}
	for _, d := range list {
		if t.outcomes[d] == nil && !isInherited(d.Name) {
			t.drop(d, dropReason(d.Name))
		}
	}
}

// findWildcardPorts finds the ports at which a server listens on all addresses.
func (t *importer) findWildcardPorts(list []*Directive) {
	for _, d := range directivesNamed(list, "server") {
		for _, listen := range directivesNamed(d.Body, "listen") {
			if len(listen.Args) == 0 {
				continue
			}
			if host, port, err := listenAddress(listen.Args[0].Text); err == nil && host == "" {
				t.wildcardPorts[port] = true
			}
		}
	}
}

// directivesNamed returns the directives with this name.
func directivesNamed(list []*Directive, name string) (out []*Directive) {
	for _, d := range list {
		if d.Name == name {
			out = append(out, d)
		}
	}
	return out
}
