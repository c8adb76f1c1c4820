package sidecar

import (
	"fmt"
	"net/http"

	"milletmast/internal/route"
	"milletmast/internal/vhost"
)

// Explain says in one line where a request is sent by a table of routes, and by sites (nil for none) if no route matches:
// pool=NAME class=NAME route=NAME path=PATH, with site=NAME location=NAME in place of the route if a site decides, or
// status=CODE, with location=URL for a redirect. It parses the target like a listener.
func Explain(t *route.Table, sites *vhost.Table, method, target string, h http.Header) string {
	req, own, status, _ := readTarget(&message{startLine: method + " " + target + " " + versionFor(h), header: h})
	if status != 0 {
		return fmt.Sprintf("status=%d", status)
	}
	if sites != nil && t.Match(req) == nil {
		return explainSite(sites, req, own)
	}
	return explain(t, req)
}

// versionFor returns a version of HTTP that allows the head to have no Host if it has none.
func versionFor(h http.Header) string {
	if h.Get("Host") == "" {
		return "HTTP/1.0"
	}
	return "HTTP/1.1"
}

// ExplainGRPC is Explain for a gRPC call of a method, as /package.Service/Method, by a table of gRPC routes.
func ExplainGRPC(t *route.Table, method string, h http.Header) string {
	req, why := routeRequest(http.MethodPost, method, h.Get("Host"), h)
	if why != "" {
		return fmt.Sprintf("status=%d", http.StatusBadRequest)
	}
	return explain(t, req)
}

func explain(t *route.Table, req *route.Request) string {
	rule := t.Match(req)
	switch {
	case rule == nil:
		return fmt.Sprintf("status=%d", http.StatusNotFound)
	case rule.Answer == nil:
		return fmt.Sprintf("pool=%s class=%s route=%s path=%s", rule.Pool, rule.Class, rule.Name, rule.Rewritten(req.Path))
	case rule.Answer.Location != "":
		return fmt.Sprintf("status=%d location=%s", rule.Answer.Status, rule.Answer.Redirect(req))
	}
	return fmt.Sprintf("status=%d", rule.Answer.Status)
}
