package sidecar

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"milletmast/internal/route"
	"milletmast/internal/vhost"
)

// siteRequest returns a request for the sites of a listener, or the reason why it is invalid. Its path keeps its parameters, which
// sites match too.
func siteRequest(req *route.Request, t requestTarget, caller, scheme string) (*vhost.Request, string) {
	raw, _, _ := strings.Cut(t.uri, "?")
	path, err := route.NormalizeWhole(raw)
	if err != nil {
		return nil, err.Error()
	}
	return &vhost.Request{
		Method: req.Method, Host: req.Host, Path: path, Raw: t.uri, Query: t.query, Caller: caller, Scheme: scheme,
		Header: func(name string) string { return strings.Join(req.Header.Values(name), ", ") },
	}, ""
}

// routeBySite makes a call of the head of a request that no route matches, by the sites.
func (d *listenerRouter) routeBySite(c *clientConn, m *message, req *route.Request, t requestTarget) intakeResult {
	scheme := "http"
	if d.tls != nil {
		scheme = "https"
	}
	v, why := siteRequest(req, t, c.host(), scheme)
	if why != "" {
		return intakeResult{status: http.StatusBadRequest, reason: why}
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
	r.head.header = m.header.Clone() // the call changes it
	first := d.callForSite(c, m, &out, t.host, maxBody)
	if first.call != nil {
		r.effect, r.firstCall = d.effectOf(&out), first.call
		first.replace = r.replace
	}
	return first
}

// callForSite makes the call that a site has decided on.
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

// explainSite is explain for a request that sites decide on.
func explainSite(t *vhost.Table, req *route.Request, own requestTarget) string {
	v, why := siteRequest(req, own, "127.0.0.1", "http")
	if why != "" {
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
