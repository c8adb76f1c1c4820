package vhost

import (
	"net/http"
	"strings"

	"milletmast/internal/route"
)

// maxCycles is how often a location may be chosen again for one request. More indicates a rewrite loop in the configuration.
const maxCycles = 10

// decision is the state of the decision on a request.
type decision struct {
	*Request
	path       string // after rewrites
	query      string
	changed    bool // whether the path or query differs from the request's
	isInternal bool // whether the request was rewritten, or replaces another one
	site       *virtualServer
	captures   *captureGroups
}

// Decide returns the outcome of a request.
func (t *Table) Decide(r *Request) Outcome {
	w := &decision{Request: r, path: r.Path, query: r.Query}
	w.site, w.captures = t.findServer(r.Host)
	if w.site == nil {
		return Outcome{Answer: &Answer{Status: http.StatusNotFound}}
	}
	return w.decideServer().withErrorPage()
}

// decideServer runs the steps of the server of a request, and then those of its location.
func (w *decision) decideServer() Outcome {
	out := Outcome{Server: w.site.Name, Method: w.Method, decision: w, pages: w.site.pages}
	if out.Answer, _ = w.runSteps(w.site.steps); out.Answer != nil {
		return out
	}
	return w.decideLocation(out)
}

// decideLocation chooses the location of a request, again after each rewrite that requires it.
func (w *decision) decideLocation(out Outcome) Outcome {
	for range maxCycles + 1 {
		p, _ := w.site.locations.choose(w.path, &w.captures)
		if p == nil || p.Internal && !w.isInternal {
			out.Answer = &Answer{Status: http.StatusNotFound}
			return out
		}
		if w.enterLocation(&out, p) {
			return out
		}
		w.isInternal = true
	}
	out.Answer = &Answer{Status: http.StatusInternalServerError}
	return out
}

// enterLocation runs the steps and the action of a location. It returns false if the location has to be chosen again.
func (w *decision) enterLocation(out *Outcome, p *location) bool {
	out.Location, out.pages, out.intercepts = p.Name, p.pages, p.Intercept
	before := w.path
	answer, again := w.runSteps(p.steps)
	switch {
	case answer != nil:
		out.Answer = answer
	case again:
		return false
	case p.action == nil:
		out.Answer = &Answer{Status: http.StatusNotFound}
	default:
		w.setTarget(out, p, before != w.path)
	}
	return true
}

// runSteps runs steps in order. again means that the location of the request has to be chosen again.
func (w *decision) runSteps(steps []compiledStep) (answer *Answer, again bool) {
	for i := range steps {
		s := &steps[i]
		switch {
		case s.Stop:
			return nil, false
		case s.pattern == nil:
			return &Answer{Status: s.Status, Body: s.body.expand(w), Location: s.location.expandURL(w)}, false
		}
		m := s.pattern.FindStringSubmatch(w.path)
		if m == nil {
			continue
		}
		w.captures = capture(s.pattern, m, w.captures)
		if s.Then == Redirect || s.Then == Moved {
			status := http.StatusFound
			if s.Then == Moved {
				status = http.StatusMovedPermanently
			}
			return &Answer{Status: status, Location: withQuery(s.to.expandURL(w), w.query)}, false
		}
		w.path, w.query = splitTarget(s.to.expand(w), w.query)
		w.changed = true
		switch s.Then {
		case Last:
			return nil, true
		case Break:
			return nil, false
		}
		again = true
	}
	return nil, again
}

// splitTarget returns the path and query of a replacement. Its own query precedes the query of the request, and a ? at the end drops the
// latter.
func splitTarget(to, query string) (string, string) {
	path, own, ok := strings.Cut(to, "?")
	switch {
	case !ok:
		return path, query
	case strings.HasSuffix(to, "?"):
		return path, strings.TrimSuffix(own, "?")
	case query == "":
		return path, own
	}
	return path, own + "&" + query
}

// withQuery returns a replacement with the query of the request, joined as in splitTarget.
func withQuery(to, query string) string {
	path, query := splitTarget(to, query)
	if query == "" {
		return path
	}
	return path + "?" + query
}

// setTarget sets the action, class, target and headers with which a request is sent to a pool.
func (w *decision) setTarget(out *Outcome, p *location, pathRewritten bool) {
	a := p.action
	out.Do, out.Class = a.Action, a.Class
	if !isSafeMethod(w.Method) {
		out.Class = a.Other
	}
	switch {
	case a.target != nil:
		out.Target = a.target.expandURL(w)
		if out.Target == "" || out.Target[0] != '/' {
			out.Target = "/" + out.Target
		}
	case a.Replace != "" && !pathRewritten:
		out.Target = withQuery(a.Replace+route.EscapePath(w.path[len(p.Path):]), w.query)
	case w.changed:
		out.Target = withQuery(route.EscapePath(w.path), w.query)
	default:
		out.Target = w.Raw
	}
	for i, h := range a.Headers {
		out.Headers = append(out.Headers, Header{h.Name, a.headers[i].expand(w)})
	}
}

// isSafeMethod reports whether a method is safe (RFC 9110, section 9.2.1).
func isSafeMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions || method == http.MethodTrace
}
