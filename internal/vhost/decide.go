package vhost

import (
	"net/http"
	"strings"
)

// maxCycles is how often a location may be chosen anew for one request; more is an error of the configuration.
const maxCycles = 10

// work is a request on its way through a table.
type work struct {
	*Request
	path    string // as rewritten
	query   string
	changed bool // the path or query is not as it came
	inside  bool // it was rewritten, or stands in for another
	site    *site
	caps    *captures
}

// Decide tells what becomes of a request.
func (t *Table) Decide(r *Request) Outcome {
	w := &work{Request: r, path: r.Path, query: r.Query}
	w.site, w.caps = t.find(r.Host)
	if w.site == nil {
		return Outcome{Answer: &Answer{Status: http.StatusNotFound}}
	}
	return w.visit().replaced()
}

// visit takes a request through its server from the first step on.
func (w *work) visit() Outcome {
	out := Outcome{Server: w.site.Name, Method: w.Method, at: w, pages: w.site.pages}
	if out.Answer, _ = w.take(w.site.steps); out.Answer != nil {
		return out
	}
	return w.locate(out)
}

// locate chooses the location of a request, anew each time that rewrites lead elsewhere.
func (w *work) locate(out Outcome) Outcome {
	for range maxCycles + 1 {
		p, _ := w.site.places.choose(w.path, &w.caps)
		if p == nil || p.Internal && !w.inside {
			out.Answer = &Answer{Status: http.StatusNotFound}
			return out
		}
		if w.enter(&out, p) {
			return out
		}
		w.inside = true
	}
	out.Answer = &Answer{Status: http.StatusInternalServerError}
	return out
}

// enter takes a request into a location; false means that the location is to be chosen anew.
func (w *work) enter(out *Outcome, p *place) bool {
	out.Location, out.pages, out.intercepts = p.Name, p.pages, p.Intercept
	before := w.path
	answer, again := w.take(p.steps)
	switch {
	case answer != nil:
		out.Answer = answer
	case again:
		return false
	case p.action == nil:
		out.Answer = &Answer{Status: http.StatusNotFound}
	default:
		w.send(out, p, before != w.path)
	}
	return true
}

// take takes steps in order; again means that the location is to be chosen anew.
func (w *work) take(steps []step) (answer *Answer, again bool) {
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
		w.caps = capture(s.pattern, m, w.caps)
		if s.Then == Redirect || s.Then == Moved {
			status := http.StatusFound
			if s.Then == Moved {
				status = http.StatusMovedPermanently
			}
			return &Answer{Status: status, Location: withQuery(s.to.expandURL(w), w.query)}, false
		}
		w.path, w.query = split(s.to.expand(w), w.query)
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

// split gives the path and query of a replacement: its own query goes ahead of the one that came, and a ? at the end drops
// that.
func split(to, query string) (string, string) {
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

func withQuery(to, query string) string {
	path, query := split(to, query)
	if query == "" {
		return path
	}
	return path + "?" + query
}

// send fills in how a request goes on to a pool.
func (w *work) send(out *Outcome, p *place, rewritten bool) {
	a := p.action
	out.Do, out.Class = a.Action, a.Class
	if !safe(w.Method) {
		out.Class = a.Other
	}
	switch {
	case a.target != nil:
		out.Target = a.target.expandURL(w)
		if out.Target == "" || out.Target[0] != '/' {
			out.Target = "/" + out.Target
		}
	case a.Replace != "" && !rewritten:
		out.Target = withQuery(a.Replace+Escape(w.path[len(p.Path):]), w.query)
	case w.changed:
		out.Target = withQuery(Escape(w.path), w.query)
	default:
		out.Target = w.Raw
	}
	for i, h := range a.Headers {
		out.Headers = append(out.Headers, Header{h.Name, a.headers[i].expand(w)})
	}
}

// safe tells whether a method is safe (RFC 9110, 9.2.1).
func safe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions || method == http.MethodTrace
}

// Escape percent-encodes those bytes of a decoded path that may not stand in one (RFC 3986, 3.3).
func Escape(path string) string {
	const hex = "0123456789ABCDEF"
	var out strings.Builder
	for i := 0; i < len(path); i++ {
		switch c := path[i]; {
		case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9', strings.IndexByte("-._~!$&'()*+,;=:@/", c) >= 0:
			out.WriteByte(c)
		default:
			out.WriteByte('%')
			out.WriteByte(hex[c>>4])
			out.WriteByte(hex[c&15])
		}
	}
	return out.String()
}
