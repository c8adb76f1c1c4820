package nginx

import (
	"fmt"
	"strconv"
	"strings"

	"milletmast/internal/route"
)

// importStep translates rewrite, return and break. It returns false if the directive is dropped.
func (l *serverImporter) importStep(d *Directive, s *scope) (stepPlan, bool) {
	step := stepPlan{directive: d}
	reason := ""
	switch d.Name {
	case "break":
		step.lines = []string{"stop = true"}
	case "return":
		step.lines, reason = returnLines(d, s)
	default:
		step.lines, reason = rewriteLines(d, s)
	}
	if reason != "" {
		l.drop(d, reason)
		return stepPlan{}, false
	}
	l.outcomes.record(d, Translated, 0, "")
	return step, true
}

// rewriteFlags are the flags of a rewrite. They have the same names in the operator file.
var rewriteFlags = map[string]bool{"": true, "last": true, "break": true, "redirect": true, "permanent": true}

// rewriteLines returns the lines of a rewrite, or the reason why it is dropped. It adds the captures of its expression to the scope.
func rewriteLines(d *Directive, s *scope) (lines []string, reason string) {
	if len(d.Args) < 2 || len(d.Args) > 3 {
		return nil, "it needs an expression and a replacement"
	}
	re, err := compileExpression(d.Args[0].Text)
	if err != nil {
		return nil, fmt.Sprintf("RE2 does not accept the expression: %v", err)
	}
	own := s.clone()
	own.addCaptures(re)
	replacement := d.Args[1].Text
	to, err := own.resolve(replacement)
	if err != nil {
		return nil, err.Error()
	}
	flag := ""
	if len(d.Args) == 3 {
		flag = d.Args[2].Text
	}
	if !rewriteFlags[flag] {
		return nil, fmt.Sprintf("the flag %q is unknown: must be last, break, redirect or permanent", flag)
	}
	isURL := strings.HasPrefix(replacement, "http://") || strings.HasPrefix(replacement, "https://") ||
		strings.HasPrefix(replacement, "$scheme")
	if isURL && flag != "permanent" {
		flag = "redirect"
	}
	lines = []string{"match = " + quoteTOML(d.Args[0].Text), "to = " + quoteTOML(to)}
	if flag != "" {
		lines = append(lines, "then = "+quoteTOML(flag))
	}
	s.addCaptures(re)
	return lines, ""
}

// statusNoResponse makes nginx close the connection without a response.
const statusNoResponse = 444

// returnLines returns the lines of a return, or the reason why it is dropped.
func returnLines(d *Directive, s *scope) (lines []string, reason string) {
	if len(d.Args) == 0 || len(d.Args) > 2 || d.Args[0].Text == "" {
		return nil, "it needs a code, a URL or both"
	}
	last, err := s.resolve(d.Args[len(d.Args)-1].Text)
	if err != nil {
		return nil, err.Error()
	}
	code, err := strconv.Atoi(d.Args[0].Text)
	switch {
	case err != nil && len(d.Args) == 1:
		return []string{"status = 302", "redirect = " + quoteTOML(last)}, ""
	case err != nil || code < 200 || code > 599:
		return nil, fmt.Sprintf("%q is not a response status: must be from 200 to 599", d.Args[0].Text)
	case code == statusNoResponse:
		return nil, "closing a connection without a response is not supported: return 403 or 400"
	}
	lines = []string{"status = " + strconv.Itoa(code)}
	redirect := route.IsRedirect(code)
	switch {
	case redirect && (len(d.Args) == 1 || last == ""):
		return nil, "a redirect needs a URL"
	case redirect:
		lines = append(lines, "redirect = "+quoteTOML(last))
	case len(d.Args) == 2 && last != "":
		lines = append(lines, "body = "+quoteTOML(last))
	}
	return lines, ""
}
