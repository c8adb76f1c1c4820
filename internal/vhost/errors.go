package vhost

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
)

// ErrorPage says what stands in for an error (ngx_http_core_module: error_page): a page, a named location or a redirect. An
// error is an answer of a step or of this program without a body, or where the location intercepts, any of a server.
type ErrorPage struct {
	Codes    []int
	Page     string // a template for path and query: a GET for them stands in for the request
	Named    string // a location of the server, to which the request goes on as it is
	Redirect string // a template for a URL
	Status   int    // of the final answer: 0 for that of the error (of a redirect: 302), Own, or this one
}

// Own is the status of what stands in for an error, whatever that was.
const Own = -1

const maxPages = 64 // of one server or location

type page struct {
	*ErrorPage
	path, redirect template
}

// reference is one of an error page to a named location.
type reference struct {
	at    []int
	field string
	name  string
}

func (c *compiler) pages(at []int, list []ErrorPage) []page {
	if len(list) > maxPages {
		c.complain(at, "error", fmt.Errorf("%d of them, over the %d allowed", len(list), maxPages))
		return nil
	}
	out := make([]page, len(list))
	for i := range list {
		e, field := &list[i], fmt.Sprintf("error[%d]", i)
		out[i] = page{ErrorPage: e, path: c.template(at, field, e.Page), redirect: c.template(at, field, e.Redirect)}
		ways := 0
		for _, way := range []string{e.Page, e.Named, e.Redirect} {
			if way != "" {
				ways++
			}
		}
		switch {
		case ways != 1:
			c.complain(at, field, errors.New("it needs one of a page, a named location and a redirect"))
		case e.Page != "" && e.Page[0] != '/' && e.Page[0] != '{':
			c.complain(at, field, fmt.Errorf("the page %q does not begin with /", e.Page))
		case e.Redirect != "" && e.Status != 0 && !redirects(e.Status):
			c.complain(at, field, fmt.Errorf("%d is no status of a redirect", e.Status))
		case e.Redirect == "" && e.Status != 0 && e.Status != Own && (e.Status < 200 || e.Status > 599 || bodiless(e.Status)):
			c.complain(at, field, fmt.Errorf("%d is no status of an answer with a body", e.Status))
		}
		if len(e.Codes) == 0 {
			c.complain(at, field, errors.New("it names no status"))
		}
		for _, code := range e.Codes {
			if code < 300 || code > 599 {
				c.complain(at, field, fmt.Errorf("%d is no status of an error", code))
			}
		}
		if e.Named != "" {
			c.refs = append(c.refs, reference{slices.Clone(at), field, e.Named})
		}
	}
	return out
}

func bodiless(status int) bool {
	return status == http.StatusNoContent || status == http.StatusResetContent || status == http.StatusNotModified
}

// named enters a location under its name.
func (c *compiler) named(at []int, p *place) {
	switch {
	case len(at) > 1:
		c.complain(at, "path", errors.New("named locations stand in a server, not within a location"))
	case c.site.named[p.Path] != nil:
		c.complain(at, "path", fmt.Errorf("a location is named %q already", p.Path))
	case len(p.Within) > 0:
		c.complain(at, "within", errors.New("a named location holds no others"))
	case p.Do != nil && p.Do.Replace != "":
		c.complain(at, "replace", errors.New("a named location has no prefix to replace"))
	default:
		c.site.named[p.Path] = p
	}
}

// reachable checks the references of a site once its locations are known.
func (c *compiler) reachable() {
	for _, r := range c.refs {
		if c.site.named[r.name] == nil {
			c.complain(r.at, r.field, fmt.Errorf("there is no location named %q", r.name))
		}
	}
	c.refs = nil
}

// Replaces tells whether an error in place of an answer may be replaced.
func (o *Outcome) Replaces() bool { return o.at != nil && len(o.pages) > 0 }

// Intercepts tells whether errors that servers answer are replaced too.
func (o *Outcome) Intercepts() bool { return o.intercepts }

// Recover tells what stands in for an error of a request that was sent on: the page of the first of the statuses that has
// one. What stands in is not replaced in its turn (recursive_error_pages off).
func (o *Outcome) Recover(statuses ...int) (Outcome, bool) {
	if o.at == nil {
		return Outcome{}, false
	}
	for _, status := range statuses {
		for i := range o.pages {
			if p := &o.pages[i]; slices.Contains(p.Codes, status) {
				return o.follow(p, status)
			}
		}
	}
	return Outcome{}, false
}

// replaced gives what stands in for an answer of the table's own, where that is an error without a body.
func (o Outcome) replaced() Outcome {
	if a := o.Answer; a != nil && a.Status >= 300 && a.Body == "" && a.Location == "" {
		if other, ok := o.Recover(a.Status); ok {
			if other.Answer == nil && other.Status == 0 {
				other.Status = a.Status
			}
			return other
		}
	}
	if len(o.pages) == 0 {
		o.at = nil // keeps the request no longer than it has to
	}
	return o
}

// follow goes where an error page leads.
func (o *Outcome) follow(p *page, status int) (out Outcome, ok bool) {
	w := *o.at
	w.inside = true
	switch {
	case p.Redirect != "":
		a := &Answer{Status: http.StatusFound, Location: p.redirect.expandURL(&w)}
		if p.Status != 0 {
			a.Status = p.Status
		}
		return Outcome{Server: o.Server, Location: o.Location, Method: w.Method, Answer: a}, true
	case p.Named != "":
		out = Outcome{Server: o.Server, Method: w.Method}
		if !w.enter(&out, w.site.named[p.Named]) { // its rewrites lead to another location
			out = w.locate(out)
		}
	default:
		request := *w.Request
		if !safe(request.Method) || request.Method == http.MethodOptions {
			request.Method = http.MethodGet
		}
		w.Request = &request
		w.path, w.query = split(p.path.expand(&w), "")
		w.changed = true
		out = w.visit()
		out.Page = true
	}
	out.at, out.pages, out.Status = nil, nil, p.Status
	if a := out.Answer; a != nil {
		out.Status = 0
		if p.Status == 0 && a.Body == "" && a.Location == "" && a.Status >= 400 {
			return Outcome{}, false // nothing better than the error itself
		}
		if p.Status != Own && a.Location == "" {
			own := *a
			if own.Status = p.Status; p.Status == 0 {
				own.Status = status
			}
			out.Answer = &own
		}
	}
	return out, true
}
