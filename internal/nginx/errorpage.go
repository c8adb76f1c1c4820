package nginx

import (
	"fmt"
	"strconv"
	"strings"
)

// pagePlan is an error_page (ngx_http_core_module).
type pagePlan struct {
	from  *Directive
	codes []int
	lines []string
}

// pendingPages are error pages of one level, which may lead to named locations anywhere in the server.
type pendingPages struct {
	to    *[]pagePlan
	from  []*Directive
	scope scope
}

// errorPages notes the error pages of a level for settle.
func (l *level) errorPages(to *[]pagePlan, from []*Directive, s scope) {
	l.pending = append(l.pending, pendingPages{to, from, s.clone()})
}

// settle translates error pages, once all locations are known.
func (l *level) settle() {
	names := map[string]bool{}
	for _, p := range l.site.locations {
		if p.field == "named" {
			names[p.path] = true
		}
	}
	for _, p := range l.pending {
		for _, d := range p.from {
			plan, why := errorPage(d, p.scope, names)
			if why != "" {
				l.marks.set(d, Dropped, 0, why)
				continue
			}
			*p.to = append(*p.to, plan)
		}
	}
}

// errorPage reads one, or tells why it cannot be carried.
func errorPage(d *Directive, s scope, names map[string]bool) (pagePlan, string) {
	p := pagePlan{from: d}
	if len(d.Args) < 2 {
		return p, "it needs a status and a URI"
	}
	args, uri := d.Args[:len(d.Args)-1], d.Args[len(d.Args)-1].Text
	if last := args[len(args)-1].Text; strings.HasPrefix(last, "=") {
		args = args[:len(args)-1]
		if last == "=" {
			p.lines = append(p.lines, "own_status = true")
		} else if n, err := strconv.Atoi(last[1:]); err != nil || n < 200 || n > 599 || n == 204 || n == 205 || n == 304 {
			return p, fmt.Sprintf("%q is no status of an answer with a body", last)
		} else {
			p.lines = append(p.lines, "status = "+strconv.Itoa(n))
		}
	}
	if len(args) == 0 {
		return p, "it needs a status"
	}
	for _, a := range args {
		code, err := strconv.Atoi(a.Text)
		if err != nil || code < 300 || code > 599 {
			return p, fmt.Sprintf("%q is no status of an error", a.Text)
		}
		p.codes = append(p.codes, code)
	}
	if name, ok := strings.CutPrefix(uri, "@"); ok {
		if !names[name] {
			return p, "there is no location " + uri + " that was carried over"
		}
		p.lines = append(p.lines, "named = "+text(name))
		return p, ""
	}
	to, err := s.template(uri)
	if err != nil {
		return p, err.Error()
	}
	if scheme, _, ok := strings.Cut(uri, "://"); ok && !strings.HasPrefix(uri, "/") && !strings.ContainsAny(scheme, "/?") {
		for _, line := range p.lines {
			code := strings.TrimPrefix(line, "status = ")
			if n, err := strconv.Atoi(code); err == nil && n != 301 && n != 302 && n != 303 && n != 307 && n != 308 || line == "own_status = true" {
				return p, "a URL is a redirect, with one of the statuses 301, 302, 303, 307 and 308"
			}
		}
		p.lines = append(p.lines, "redirect = "+text(to))
		return p, ""
	}
	if !strings.HasPrefix(uri, "/") {
		return p, fmt.Sprintf("%q is no path, name or URL", uri)
	}
	p.lines = append(p.lines, "page = "+text(to))
	return p, ""
}

// pages writes error pages.
func (t *translator) pages(w *writer, table string, list []pagePlan) {
	for _, p := range list {
		line := w.put("[[%s]]", table)
		var codes []string
		early := false
		for _, c := range p.codes {
			codes = append(codes, strconv.Itoa(c))
			early = early || c == 400 || c == 408 || c == 413 || c == 414 || c >= 494 && c <= 499
		}
		w.put("codes = [%s]", strings.Join(codes, ", "))
		for _, text := range p.lines {
			w.put("%s", text)
		}
		t.marks.set(p.from, Carried, line, "")
		if early {
			t.marks.set(p.from, Differs, line, "requests that cannot be read or are too long are answered before a location is chosen")
		}
	}
}
