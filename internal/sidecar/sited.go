package sidecar

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"whinknot/internal/route"
	"whinknot/internal/vhost"
)

// visit describes a request for the sites of a listener. Its path keeps its parameters, which count there.
func visit(req *route.Request, t target, caller, scheme string) (*vhost.Request, string) {
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

// takeBySite turns a head that no route matches into a call of a pool, by the sites.
func (d *door) takeBySite(c *caller, m *message, req *route.Request, t target) taken {
	scheme := "http"
	if d.tls != nil {
		scheme = "https"
	}
	v, why := visit(req, t, c.host(), scheme)
	if why != "" {
		return taken{status: http.StatusBadRequest, complaint: why}
	}
	out := d.sites.Decide(v)
	if a := out.Answer; a != nil {
		return taken{fixed: fixedAnswer(a.Status, a.Body, a.Location, req.Method)}
	}
	for _, h := range out.Headers {
		if strings.ContainsFunc(h.Value, func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }) {
			return taken{status: http.StatusBadRequest, complaint: "a header made of this request would hold a control character"}
		}
	}
	most := d.most
	if out.Do.MaxBody > 0 {
		most = min(most, out.Do.MaxBody)
	}
	if !out.Replaces() && out.Status == 0 {
		return d.toSite(c, m, &out, t.host, most)
	}
	r := &replacing{door: d, caller: c, came: time.Now(), head: *m, host: t.host, most: most, out: out}
	r.head.header = m.header.Clone() // the call makes its own of it
	first := d.toSite(c, m, &out, t.host, most)
	if first.call != nil {
		r.class, r.body = d.effect(&out), first.call
		first.instead = r.instead
	}
	return first
}

// toSite makes the call of a pool that a site has decided on.
func (d *door) toSite(c *caller, m *message, out *vhost.Outcome, host string, most int64) taken {
	rule := &route.Rule{Name: out.Location, Pool: out.Do.Pool, Class: out.Class}
	t := d.dispatch(c, m, rule, most, out.Method, func(k *call) string {
		for _, h := range out.Headers {
			switch {
			case h.Name == "Host" && h.Value != "":
				host = h.Value
			case h.Value == "":
				k.out.header.Del(h.Name)
			default:
				k.out.header[h.Name] = []string{h.Value}
			}
		}
		if out.Page {
			asPage(k.out.header)
		}
		return out.Method + " " + out.Target + " HTTP/1.1\r\nHost: " + host + "\r\n"
	})
	if out.Page && t.call != nil {
		t.empty, t.streams = true, nil
	}
	return t
}

// explainSite is explain for what sites decide.
func explainSite(t *vhost.Table, req *route.Request, own target) string {
	v, why := visit(req, own, "127.0.0.1", "http")
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
