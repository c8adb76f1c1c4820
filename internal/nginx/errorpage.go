package nginx

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"milletmast/internal/route"
)

// pagePlan is an error_page (ngx_http_core_module).
type pagePlan struct {
	directive *Directive
	codes     []int
	lines     []string
}

// pendingPages are the error pages of one level, which may refer to named locations anywhere in the server.
type pendingPages struct {
	to    *[]pagePlan
	from  []*Directive
	scope scope
}

// addErrorPages records the error pages of a level, which importErrorPages translates later.
func (l *serverImporter) addErrorPages(to *[]pagePlan, from []*Directive, s scope) {
	l.pending = append(l.pending, pendingPages{to, from, s.clone()})
}

// importErrorPages translates the error pages. It is called when all locations are known.
func (l *serverImporter) importErrorPages() {
	names := map[string]bool{}
	for _, p := range l.server.locations {
		if p.field == fieldNamed {
			names[p.path] = true
		}
	}
	for _, p := range l.pending {
		for _, d := range p.from {
			plan, reason := newErrorPage(d, p.scope, names)
			if reason != "" {
				l.outcomes.record(d, Dropped, 0, reason)
				continue
			}
			*p.to = append(*p.to, plan)
		}
	}
}

// newErrorPage translates an error_page, or returns the reason why it is dropped. names holds the named locations.
func newErrorPage(d *Directive, s scope, names map[string]bool) (p pagePlan, reason string) {
	p.directive = d
	if len(d.Args) < 2 {
		return p, "it needs a status and a URI"
	}
	args, uri := d.Args[:len(d.Args)-1], d.Args[len(d.Args)-1].Text
	status := pageStatus{}
	if last := args[len(args)-1].Text; strings.HasPrefix(last, "=") {
		args = args[:len(args)-1]
		if status, reason = parsePageStatus(last); reason != "" {
			return p, reason
		}
		p.lines = append(p.lines, status.line())
	}
	if p.codes, reason = parseErrorCodes(args); reason != "" {
		return p, reason
	}
	line, reason := pageLine(uri, s, names, status)
	if reason != "" {
		return p, reason
	}
	p.lines = append(p.lines, line)
	return p, ""
}

// pageStatus is the status of the final response: =CODE sets it, = takes that of the page, and without either that of the error is kept.
type pageStatus struct {
	code  int
	isOwn bool
}

// parsePageStatus parses the parameter that starts with "=".
func parsePageStatus(text string) (status pageStatus, reason string) {
	if text == "=" {
		return pageStatus{isOwn: true}, ""
	}
	n, err := strconv.Atoi(text[1:])
	hasNoBody := n == http.StatusNoContent || n == http.StatusResetContent || n == http.StatusNotModified
	if err != nil || n < 200 || n > 599 || hasNoBody {
		return pageStatus{}, fmt.Sprintf("%q is not the status of a response with a body", text)
	}
	return pageStatus{code: n}, ""
}

func (s pageStatus) line() string {
	if s.isOwn {
		return "own_status = true"
	}
	return "status = " + strconv.Itoa(s.code)
}

// isRedirect reports whether a page with this status may be a URL.
func (s pageStatus) isRedirect() bool {
	return !s.isOwn && (s.code == 0 || route.IsRedirect(s.code))
}

// parseErrorCodes parses the statuses of errors.
func parseErrorCodes(args []Arg) (codes []int, reason string) {
	if len(args) == 0 {
		return nil, "it needs a status"
	}
	for _, a := range args {
		code, err := strconv.Atoi(a.Text)
		if err != nil || code < 300 || code > 599 {
			return nil, fmt.Sprintf("%q is not an error status: must be from 300 to 599", a.Text)
		}
		codes = append(codes, code)
	}
	return codes, ""
}

// pageLine returns the line of the operator file for the URI of an error_page.
func pageLine(uri string, s scope, names map[string]bool, status pageStatus) (line, reason string) {
	if name, ok := strings.CutPrefix(uri, "@"); ok {
		if !names[name] {
			return "", "there is no location " + uri + ", or it was dropped"
		}
		return "named = " + quoteTOML(name), ""
	}
	to, err := s.resolve(uri)
	if err != nil {
		return "", err.Error()
	}
	scheme, _, hasScheme := strings.Cut(uri, "://")
	switch {
	case strings.HasPrefix(uri, "/"):
		return "page = " + quoteTOML(to), ""
	case !hasScheme || strings.ContainsAny(scheme, "/?"):
		return "", fmt.Sprintf("%q is not a path, a named location or a URL", uri)
	case !status.isRedirect():
		return "", "a URL is a redirect, whose status must be 301, 302, 303, 307 or 308"
	}
	return "redirect = " + quoteTOML(to), ""
}

// writePages writes error pages.
func (t *importer) writePages(w *lineWriter, table string, list []pagePlan) {
	for _, p := range list {
		line := w.writeLine("[[%s]]", table)
		var codes []string
		isEarly := false
		for _, c := range p.codes {
			codes = append(codes, strconv.Itoa(c))
			isEarly = isEarly || c == 400 || c == 408 || c == 413 || c == 414 || c >= 494 && c <= 499
		}
		w.writeLine("codes = [%s]", strings.Join(codes, ", "))
		for _, text := range p.lines {
			w.writeLine("%s", text)
		}
		t.outcomes.record(p.directive, Translated, line, "")
		if isEarly {
			t.outcomes.record(p.directive, Differs, line, "invalid or too long requests are answered before a location is chosen")
		}
	}
}
