package sidecar

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"milletmast/internal/route"
	"milletmast/internal/vhost"
)

// siteRequest returns a request for the sites of a listener, or the reason why it is invalid. Its path keeps the path parameters,
// because sites match them too.
func siteRequest(req *route.Request, t requestTarget, caller, scheme string) (*vhost.Request, string) {
	raw, _, _ := strings.Cut(t.uri, "?")
	path, err := route.NormalizeWithParameters(raw)
	if err != nil {
		return nil, err.Error()
	}
	return &vhost.Request{
		Method: req.Method, Host: req.Host, Path: path, Raw: t.uri, Query: t.query, Caller: caller, Scheme: scheme,
		Header: func(name string) string { return strings.Join(req.Header.Values(name), ", ") },
	}, ""
}

// routeBySite creates a call from the head of a request that no route matches, as the sites decide.
func (d *listenerRouter) routeBySite(c *clientConn, m *message, req *route.Request, t requestTarget) intakeResult {
	scheme := "http"
	if d.tls != nil {
		scheme = "https"
	}
	v, reason := siteRequest(req, t, c.host(), scheme)
	if reason != "" {
		return intakeResult{status: http.StatusBadRequest, reason: reason}
	}
	out := d.sites.Decide(v)
	if a := out.Answer; a != nil {
		return intakeResult{response: fixedResponse(a.Status, a.Body, a.Location, req.Method)}
	}
	for _, h := range out.Headers {
		if strings.ContainsFunc(h.Value, func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }) {
			return intakeResult{status: http.StatusBadRequest, reason: "a header made of this request would hold a control character"}
		}
	}
	maxBody := d.maxBody
	if out.Do.MaxBody > 0 {
		maxBody = min(maxBody, out.Do.MaxBody)
	}
	if !out.Replaces() && out.Status == 0 {
		return d.callForSite(c, m, &out, t.host, maxBody)
	}
	r := &errorPageHandler{router: d, client: c, arrivedAt: time.Now(), head: *m, host: t.host, maxBody: maxBody, outcome: out}
	r.head.header = m.header.Clone() // the call modifies the original
	first := d.callForSite(c, m, &out, t.host, maxBody)
	if first.call != nil {
		r.effect, r.firstCall = d.effectOf(&out), first.call
		first.replace = r.replace
	}
	return first
}

// callForSite creates the call that a site has decided on.
func (d *listenerRouter) callForSite(c *clientConn, m *message, out *vhost.Outcome, host string, maxBody int64) intakeResult {
	rule := &route.Rule{Name: out.Location, Pool: out.Do.Pool, Class: out.Class}
	t := d.dispatch(c, m, rule, maxBody, out.Method, func(k *call) string {
		for _, h := range out.Headers {
			switch {
			case h.Name == "Host" && h.Value != "":
				host = h.Value
			case h.Value == "":
				k.http.header.Del(h.Name)
			default:
				k.http.header[h.Name] = []string{h.Value}
			}
		}
		if out.Page {
			removeRequestFields(k.http.header)
		}
		return out.Method + " " + out.Target + " HTTP/1.1\r\nHost: " + host + "\r\n"
	})
	if out.Page && t.call != nil {
		t.dropBody, t.streamBounds = true, nil
	}
	return t
}

// explainSite describes how the sites handle a request that no route matches.
func explainSite(t *vhost.Table, req *route.Request, target requestTarget) string {
	v, reason := siteRequest(req, target, "127.0.0.1", "http")
	if reason != "" {
		return fmt.Sprintf("status=%d", http.StatusBadRequest)
	}
	out := t.Decide(v)
	switch a := out.Answer; {
	case a == nil:
		return fmt.Sprintf("pool=%s class=%s site=%s location=%s path=%s", out.Do.Pool, out.Class, out.Server, out.Location, out.Target)
	case a.Location != "":
		return fmt.Sprintf("status=%d location=%s", a.Status, a.Location)
	default:
		return fmt.Sprintf("status=%d", a.Status)
	}
}
