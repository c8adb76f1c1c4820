package sidecar

import (
	"crypto/tls"
	"net/http"
	"strings"
	"time"

	"whinknot/internal/budget"
	"whinknot/internal/route"
	"whinknot/internal/vhost"
)

// door is how one listener of an operator file takes requests in one generation.
type door struct {
	front string           // see operator.Listener
	tls   *tls.Certificate // nil for none
	table *route.Table     // of HTTP/1.1 requests
	calls *route.Table     // of gRPC calls
	sites *vhost.Table     // of requests that no route matches; nil for none
	pools map[string]*pool
	most  int64 // bytes of a request's body, or of a message

	tiers    *tiers  // nil where calls carry no context
	inner    bool    // contexts that come are believed
	maxWorth float64 // up to this worth
}

// take turns a head into a call of a pool, by the routes.
func (d *door) take(c *caller, m *message) taken {
	req, target, status, complaint := readTarget(m)
	if status != 0 {
		return taken{status: status, complaint: complaint}
	}
	rule := d.table.Match(req)
	switch {
	case rule == nil && d.sites != nil:
		return d.takeBySite(c, m, req, target)
	case rule == nil:
		return taken{fixed: &answer{status: http.StatusNotFound, body: []byte("no route\n")}}
	case rule.Answer != nil:
		return taken{fixed: fixedAnswer(rule.Answer.Status, rule.Answer.Body, rule.Answer.Redirect(req), req.Method)}
	}
	return d.dispatch(c, m, rule, d.most, req.Method, func(k *call) string {
		uri := rule.Rewritten(req.Path)
		if target.query != "" {
			uri += "?" + target.query
		}
		k.out.header["X-Forwarded-For"] = []string{strings.Join(append(k.out.header["X-Forwarded-For"], c.host()), ", ")}
		return req.Method + " " + uri + " HTTP/1.1\r\nHost: " + target.host + "\r\n"
	})
}

// fixedAnswer is an answer to a method that the file gives; location is "" for one that redirects nowhere.
func fixedAnswer(status int, body, location, method string) *answer {
	a := &answer{status: status, body: []byte(body), header: http.Header{}}
	if location != "" {
		a.header.Set("Location", location)
	}
	return a.bareFor(method)
}

// bareFor leaves out the body that an answer to a method, or of its status, does not have.
func (a *answer) bareFor(method string) *answer {
	if a.bare = method == http.MethodHead || bodiless(a.status); a.bare {
		a.length = int64(len(a.body))
		if a.body = nil; bodiless(a.status) {
			a.length = untold
		}
	}
	return a
}

// dispatch makes a call of the class and pool that a rule or location has chosen, with a body of so many bytes at most; start
// finishes its headers and gives its first lines.
func (d *door) dispatch(c *caller, m *message, rule *route.Rule, most int64, method string, start func(*call) string) taken {
	p := d.pools[rule.Pool]
	bounds := p.bounds
	bounds.most = most
	k, status, complaint := p.call(p.classes[rule.Class], m, &bounds)
	if k == nil {
		return taken{status: status, complaint: complaint}
	}
	k.who = p.callerOf(m.header, c.host)
	if d.tiers != nil {
		t, no := d.tiers.enter(m.header[budget.Header], d, rule, &p.set.Classes[p.classes[rule.Class]])
		if no != nil {
			return taken{fixed: &answer{status: no.status, body: []byte(no.text + "\n"), tier: no.word}}
		}
		t.tell(k, p)
		k.out.header.Del(budget.Header)
		k.out.within = min(k.out.within, millis(k.wait))
	}
	if m.length > most {
		return taken{status: http.StatusRequestEntityTooLarge, complaint: "the body is over the limit"}
	}
	k.out.start = start(k)
	k.out.bare = method == http.MethodHead
	k.out.old = strings.HasSuffix(m.first, "HTTP/1.0")
	return taken{call: k, loop: p.loop, streams: &bounds}
}

// call makes a call of a class. Its route has chosen the class; what is left to check is what the class needs.
func (p *pool) call(class uint16, m *message, bounds *bodies) (k *call, status int, complaint string) {
	h := m.header
	if complaint = p.badKey(class, h, "requests"); complaint != "" {
		return nil, http.StatusBadRequest, complaint
	}
	left, told, ok := deadline(h)
	if !ok {
		return nil, http.StatusBadRequest, badDeadline
	}
	wait, longer, total := p.times(class, left, told)
	bounds.total = total
	k = &call{
		event: describe(class, h, p.tenants), wait: lessMargin(wait), longer: lessMargin(longer),
		out: outgoing{open: true, bounds: bounds, within: millis(lessMargin(wait))},
	}
	id := h.Get("X-Request-Id")
	k.out.header = endToEnd(h)
	k.out.header.Del("Host")
	if id == "" {
		k.out.header["X-Request-Id"] = []string{newID()}
	}
	return k, 0, ""
}

func seconds(s float64) time.Duration { return time.Duration(min(s, 1e6) * float64(time.Second)) }

// target is what a request asks for, as it goes on to a server.
type target struct{ host, uri, query string }

// once are the headers that may come only once on an operator's listener: with two, a request could be read in two ways.
var once = []string{"Host", "X-Request-Id", "X-Tenant", "X-Deadline", "Idempotency-Key", "Expect"}

// readTarget reads the request line and Host (RFC 9112, 3). An absolute-form target names the host by itself.
func readTarget(m *message) (*route.Request, target, int, string) {
	bad := func(why string) (*route.Request, target, int, string) {
		return nil, target{}, http.StatusBadRequest, why
	}
	method, rest, _ := strings.Cut(m.first, " ")
	uri, version, _ := strings.Cut(rest, " ")
	if version != "HTTP/1.1" && version != "HTTP/1.0" || hasControl(uri) || !isToken(method) {
		return bad("the request line cannot be read")
	}
	if method == http.MethodConnect || method == http.MethodTrace {
		return nil, target{}, http.StatusMethodNotAllowed, method + " is not served"
	}
	for _, name := range once {
		if len(m.header[name]) > 1 {
			return bad(name + " comes twice")
		}
	}
	t := target{host: m.header.Get("Host")}
	if len(m.header["Host"]) == 0 && version == "HTTP/1.1" {
		return bad("Host is missing")
	}
	if scheme, after, ok := strings.Cut(uri, "://"); ok && !strings.HasPrefix(uri, "/") {
		if !strings.EqualFold(scheme, "http") && !strings.EqualFold(scheme, "https") {
			return bad("the target is of another scheme")
		}
		end := strings.IndexAny(after, "/?")
		if end < 0 {
			end = len(after)
		}
		t.host, uri = after[:end], after[end:]
		if t.host == "" {
			return bad("the target names no host")
		}
		if !strings.HasPrefix(uri, "/") {
			uri = "/" + uri
		}
	}
	t.uri = uri
	_, t.query, _ = strings.Cut(uri, "?")
	req, why := routeRequest(method, uri, t.host, m.header)
	if why != "" {
		return bad(why)
	}
	return req, t, 0, ""
}

// routeRequest is what the routes see of a request; why tells what cannot be read.
func routeRequest(method, uri, host string, header http.Header) (req *route.Request, why string) {
	if strings.IndexByte(uri, '#') >= 0 {
		return nil, "the target holds a fragment"
	}
	raw, query, _ := strings.Cut(uri, "?")
	path, err := route.Normalize(raw)
	if err != nil {
		return nil, err.Error()
	}
	if host, err = route.NormalizeHost(host); err != nil {
		return nil, err.Error()
	}
	return &route.Request{Method: method, Host: host, Path: &path, Query: query, Header: header}, ""
}

// isToken tells whether a method is one in capital letters, as all registered ones are.
func isToken(s string) bool {
	return s != "" && !strings.ContainsFunc(s, func(r rune) bool { return (r < 'A' || r > 'Z') && r != '-' && r != '_' })
}
