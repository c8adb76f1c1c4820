package sidecar

import (
	"crypto/tls"
	"net/http"
	"strings"
	"time"

	"milletmast/internal/budget"
	"milletmast/internal/decimal"
	"milletmast/internal/route"
	"milletmast/internal/vhost"
)

// listenerRouter routes the requests of a listener of an operator file, for one generation of the configuration.
type listenerRouter struct {
	front      string           // see operator.Listener
	tls        *tls.Certificate // nil for none
	httpRoutes *route.Table     // of HTTP/1.1 requests
	grpcRoutes *route.Table     // of gRPC calls
	sites      *vhost.Table     // of requests that no route matches; nil for none
	pools      map[string]*pool
	maxBody    int64 // limit of the body of a request or of a gRPC message, in bytes

	callTrees         *callTrees // nil if calls carry no context
	trustsContexts    bool       // the contexts of incoming calls are used
	maxPriorityWeight float64    // largest priority weight that an incoming context may set
}

// route creates a call from the head of a request, by the first matching route or else by the sites.
func (d *listenerRouter) route(c *clientConn, m *message) intakeResult {
	req, target, status, reason := readTarget(m)
	if status != 0 {
		return intakeResult{status: status, reason: reason}
	}
	rule := d.httpRoutes.Match(req)
	switch {
	case rule == nil && d.sites != nil:
		return d.routeBySite(c, m, req, target)
	case rule == nil:
		return intakeResult{response: &response{status: http.StatusNotFound, body: []byte("no route\n")}}
	case rule.Answer != nil:
		return intakeResult{response: fixedResponse(rule.Answer.Status, rule.Answer.Body, rule.Answer.Redirect(req), req.Method)}
	}
	return d.dispatch(c, m, rule, d.maxBody, req.Method, func(k *call) string {
		uri := rule.Rewritten(req.Path)
		if target.query != "" {
			uri += "?" + target.query
		}
		k.http.header["X-Forwarded-For"] = []string{strings.Join(append(k.http.header["X-Forwarded-For"], c.host()), ", ")}
		return req.Method + " " + uri + " HTTP/1.1\r\nHost: " + target.host + "\r\n"
	})
}

// fixedResponse returns a response that is configured in the file, for a request with a method. Location is "" unless it redirects.
func fixedResponse(status int, body, location, method string) *response {
	a := &response{status: status, body: []byte(body), header: http.Header{}}
	if location != "" {
		a.header.Set("Location", location)
	}
	return a.withoutBodyFor(method)
}

// withoutBodyFor removes the body if the request's method or the response's status allows none.
func (a *response) withoutBodyFor(method string) *response {
	if a.noBody = method == http.MethodHead || hasNoBody(a.status); a.noBody {
		a.length = int64(len(a.body))
		if a.body = nil; hasNoBody(a.status) {
			a.length = lengthUnknown
		}
	}
	return a
}

// dispatch creates a call of the class and pool of a rule. MaxBody is in bytes. Start completes the headers of the call and returns
// the request line and the Host header.
func (d *listenerRouter) dispatch(
	c *clientConn, m *message, rule *route.Rule, maxBody int64, method string, start func(*call) string,
) intakeResult {
	p := d.pools[rule.Pool]
	limits := p.bounds
	limits.maxBytes = maxBody
	k, status, reason := p.newHTTPCall(p.classes[rule.Class], m, &limits)
	if k == nil {
		return intakeResult{status: status, reason: reason}
	}
	k.callerHash = p.callerOf(m.header, c.host)
	if d.callTrees != nil {
		t, rejection := d.callTrees.enter(m.header[budget.Header], d, rule, &p.settings.Classes[p.classes[rule.Class]])
		if rejection != nil {
			body := []byte(rejection.text + "\n")
			return intakeResult{response: &response{status: rejection.status, body: body, callOutcome: rejection.outcome}}
		}
		t.apply(k, p)
		k.http.header.Del(budget.Header)
		k.http.responseTimeout = min(k.http.responseTimeout, millis(k.timeout))
	}
	if m.length > maxBody {
		return intakeResult{status: http.StatusRequestEntityTooLarge, reason: "the body is over the limit"}
	}
	k.http.start = start(k)
	k.http.noBody = method == http.MethodHead
	k.http.http10 = strings.HasSuffix(m.startLine, "HTTP/1.0")
	return intakeResult{call: k, loop: p.loop, streamBounds: &limits}
}

// newHTTPCall creates a call of a class, or returns the status and the reason of a rejection. It sets the total time of a streamed
// response in limits.
func (p *pool) newHTTPCall(class uint16, m *message, limits *streamLimits) (k *call, status int, reason string) {
	h := m.header
	if reason = p.keyError(class, h, "requests"); reason != "" {
		return nil, http.StatusBadRequest, reason
	}
	left, given, ok := parseDeadline(h)
	if !ok {
		return nil, http.StatusBadRequest, badDeadlineMessage
	}
	timeout, streamTimeout, responseTime := p.times(class, left, given)
	limits.totalTime = responseTime
	k = &call{
		event: newRequestEvent(class, h, p.tenants), timeout: withoutMargin(timeout), streamTimeout: withoutMargin(streamTimeout),
		http: httpRequest{fromListener: true, streamBounds: limits, responseTimeout: millis(withoutMargin(timeout))},
	}
	id := h.Get("X-Request-Id")
	k.http.header = endToEnd(h)
	k.http.header.Del("Host")
	if id == "" {
		k.http.header["X-Request-Id"] = []string{newID()}
	}
	return k, 0, ""
}

// maxSeconds is the longest duration that seconds returns, in s; it prevents an overflow of time.Duration.
const maxSeconds = 1e6

// seconds converts a number of seconds to a duration of at most maxSeconds.
func seconds(s float64) time.Duration {
	return decimal.Duration(min(s, maxSeconds), time.Second)
}

// requestTarget is the target of a request in the form that is forwarded to a server.
type requestTarget struct{ host, uri, query string }

// singleHeaders are the headers that must not be repeated on a listener of an operator file, as the request would be ambiguous.
var singleHeaders = []string{"Host", "X-Request-Id", "X-Tenant", "X-Deadline", "Idempotency-Key", "Expect"}

// readTarget parses the request line and the Host header (RFC 9112, section 3). If the request is invalid, it returns the status and
// the reason of the rejection.
func readTarget(m *message) (req *route.Request, target requestTarget, status int, reason string) {
	reject := func(reason string) (*route.Request, requestTarget, int, string) {
		return nil, requestTarget{}, http.StatusBadRequest, reason
	}
	method, rest, _ := strings.Cut(m.startLine, " ")
	uri, version, _ := strings.Cut(rest, " ")
	if version != "HTTP/1.1" && version != "HTTP/1.0" || hasControl(uri) || !isToken(method) {
		return reject("the request line cannot be read")
	}
	if method == http.MethodConnect || method == http.MethodTrace {
		return nil, requestTarget{}, http.StatusMethodNotAllowed, method + " is not served"
	}
	for _, name := range singleHeaders {
		if len(m.header[name]) > 1 {
			return reject(name + " comes twice")
		}
	}
	target.host = m.header.Get("Host")
	if len(m.header["Host"]) == 0 && version == "HTTP/1.1" {
		return reject("Host is missing")
	}
	if scheme, after, ok := strings.Cut(uri, "://"); ok && !strings.HasPrefix(uri, "/") {
		if target.host, uri, reason = splitAbsolute(scheme, after); reason != "" {
			return reject(reason)
		}
	}
	target.uri = uri
	_, target.query, _ = strings.Cut(uri, "?")
	req, reason = routeRequest(method, uri, target.host, m.header)
	if reason != "" {
		return reject(reason)
	}
	return req, target, 0, ""
}

// splitAbsolute splits a target in absolute form, which contains the host (RFC 9112, section 3.2.2).
func splitAbsolute(scheme, after string) (host, uri, reason string) {
	if !strings.EqualFold(scheme, "http") && !strings.EqualFold(scheme, "https") {
		return "", "", "the target is of another scheme"
	}
	end := strings.IndexAny(after, "/?")
	if end < 0 {
		end = len(after)
	}
	host, uri = after[:end], after[end:]
	if host == "" {
		return "", "", "the target names no host"
	}
	if !strings.HasPrefix(uri, "/") {
		uri = "/" + uri
	}
	return host, uri, ""
}

// routeRequest returns a request for a route table, or the reason why it is invalid.
func routeRequest(method, uri, host string, header http.Header) (req *route.Request, reason string) {
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

// isToken reports whether s is a method name in capital letters, as all registered methods are.
func isToken(s string) bool {
	return s != "" && !strings.ContainsFunc(s, func(r rune) bool { return (r < 'A' || r > 'Z') && r != '-' && r != '_' })
}
