package vhost

import (
	"errors"
	"fmt"
	"net/http"
	"slices"

	"milletmast/internal/route"
)

// ErrorPage replaces an error by a page, a named location or a redirect (ngx_http_core_module: error_page). An error is a response without
// a body from a step or from this program, or, in a location that intercepts, any error response of a server.
type ErrorPage struct {
	Codes    []int
	Page     string // a template for the path and query of a GET that replaces the request
	Named    string // a named location that gets the request unchanged
	Redirect string // a template for a URL
	Status   int    // of the final response; 0 for that of the error (302 for a redirect), ReplacementStatus for that of the replacement
}

// ReplacementStatus is the value of ErrorPage.Status that keeps the status of the replacement.
const ReplacementStatus = -1

const maxPages = 64 // error pages of one server or location

// compiledPage is an ErrorPage with its compiled templates.
type compiledPage struct {
	*ErrorPage
	path, redirect template
}

// reference is the use of a named location by an error page.
type reference struct {
	at    []int
	field string
	name  string
}

// compilePages compiles the error pages of a server or location.
func (c *compiler) compilePages(at []int, specs []ErrorPage) []compiledPage {
	if len(specs) > maxPages {
		c.addError(at, "error", fmt.Errorf("%d error pages, over the %d allowed", len(specs), maxPages))
		return nil
	}
	pages := make([]compiledPage, len(specs))
	for i := range specs {
		errorPage, field := &specs[i], fmt.Sprintf("error[%d]", i)
		pages[i] = compiledPage{
			ErrorPage: errorPage, path: c.compileTemplate(at, field, errorPage.Page), redirect: c.compileTemplate(at, field, errorPage.Redirect),
		}
		if err := errorPage.validateTarget(); err != nil {
			c.addError(at, field, err)
		}
		c.validateCodes(at, field, errorPage.Codes)
		if errorPage.Named != "" {
			c.references = append(c.references, reference{slices.Clone(at), field, errorPage.Named})
		}
	}
	return pages
}

// validateTarget returns an error unless the error page has exactly one target and a status that is valid for it.
func (e *ErrorPage) validateTarget() error {
	targets := 0
	for _, target := range []string{e.Page, e.Named, e.Redirect} {
		if target != "" {
			targets++
		}
	}
	switch {
	case targets != 1:
		return errors.New("it needs one of a page, a named location and a redirect")
	case e.Page != "" && e.Page[0] != '/' && e.Page[0] != '{':
		return fmt.Errorf("the page %q does not begin with /", e.Page)
	case e.Status == 0:
		return nil
	case e.Redirect != "" && !route.IsRedirect(e.Status):
		return fmt.Errorf("%d is no status of a redirect", e.Status)
	case e.Redirect == "" && e.Status != ReplacementStatus && (e.Status < 200 || e.Status > 599 || hasNoBody(e.Status)):
		return fmt.Errorf("%d is no status of an answer with a body", e.Status)
	}
	return nil
}

// validateCodes reports statuses that are not those of errors.
func (c *compiler) validateCodes(at []int, field string, codes []int) {
	if len(codes) == 0 {
		c.addError(at, field, errors.New("it names no status"))
	}
	for _, code := range codes {
		if code < 300 || code > 599 {
			c.addError(at, field, fmt.Errorf("%d is no status of an error", code))
		}
	}
}

// hasNoBody reports whether responses with a status have no body.
func hasNoBody(status int) bool {
	return status == http.StatusNoContent || status == http.StatusResetContent || status == http.StatusNotModified
}

// addNamedLocation adds a named location to its server.
func (c *compiler) addNamedLocation(at []int, p *location) {
	switch {
	case len(at) > 1:
		c.addError(at, "path", errors.New("named locations stand in a server, not within a location"))
	case c.current.named[p.Path] != nil:
		c.addError(at, "path", fmt.Errorf("a location is named %q already", p.Path))
	case len(p.Within) > 0:
		c.addError(at, "within", errors.New("a named location holds no others"))
	case p.Do != nil && p.Do.Replace != "":
		c.addError(at, "replace", errors.New("a named location has no prefix to replace"))
	default:
		c.current.named[p.Path] = p
	}
}

// checkReferences reports error pages of a server whose named location doesn't exist.
func (c *compiler) checkReferences() {
	for _, r := range c.references {
		if c.current.named[r.name] == nil {
			c.addError(r.at, r.field, fmt.Errorf("there is no location named %q", r.name))
		}
	}
	c.references = nil
}

// Replaces reports whether an error response may be replaced.
func (o *Outcome) Replaces() bool { return o.decision != nil && len(o.pages) > 0 }

// Intercepts reports whether error responses of servers are replaced too.
func (o *Outcome) Intercepts() bool { return o.intercepts }

// Recover returns the replacement of an error of a request that was sent to a pool: the error page of the first status that has one. The
// replacement isn't replaced in turn (recursive_error_pages off).
func (o *Outcome) Recover(statuses ...int) (Outcome, bool) {
	if o.decision == nil {
		return Outcome{}, false
	}
	for _, status := range statuses {
		for i := range o.pages {
			if p := &o.pages[i]; slices.Contains(p.Codes, status) {
				return o.errorPageOutcome(p, status)
			}
		}
	}
	return Outcome{}, false
}

// withErrorPage returns the replacement of an outcome that is an error without a body and has an error page; otherwise the outcome.
func (o Outcome) withErrorPage() Outcome {
	if a := o.Answer; a != nil && a.Status >= 300 && a.Body == "" && a.Location == "" {
		if replaced, ok := o.Recover(a.Status); ok {
			if replaced.Answer == nil && replaced.Status == 0 {
				replaced.Status = a.Status
			}
			return replaced
		}
	}
	if len(o.pages) == 0 {
		o.decision = nil // the request isn't needed anymore
	}
	return o
}

// errorPageOutcome returns the outcome of an error page; false if that is an error without a body too.
func (o *Outcome) errorPageOutcome(p *compiledPage, status int) (out Outcome, ok bool) {
	w := *o.decision
	w.isInternal = true
	switch {
	case p.Redirect != "":
		a := &Answer{Status: http.StatusFound, Location: p.redirect.expandURL(&w)}
		if p.Status != 0 {
			a.Status = p.Status
		}
		return Outcome{Server: o.Server, Location: o.Location, Method: w.Method, Answer: a}, true
	case p.Named != "":
		out = Outcome{Server: o.Server, Method: w.Method}
		if !w.enterLocation(&out, w.site.named[p.Named]) { // its rewrites lead to another location
			out = w.decideLocation(out)
		}
	default:
		request := *w.Request
		if !isSafeMethod(request.Method) || request.Method == http.MethodOptions {
			request.Method = http.MethodGet
		}
		w.Request = &request
		w.path, w.query = splitTarget(p.path.expand(&w), "")
		w.changed = true
		out = w.decideServer()
		out.Page = true
	}
	out.decision, out.pages, out.Status = nil, nil, p.Status
	if a := out.Answer; a != nil {
		out.Status = 0
		if p.Status == 0 && a.Body == "" && a.Location == "" && a.Status >= 400 {
			return Outcome{}, false // an error without a body does not replace another
		}
		if p.Status != ReplacementStatus && a.Location == "" {
			own := *a
			if own.Status = p.Status; p.Status == 0 {
				own.Status = status
			}
			out.Answer = &own
		}
	}
	return out, true
}
