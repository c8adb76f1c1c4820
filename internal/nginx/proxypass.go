package nginx

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// importProxyPass translates proxy_pass in a location.
func (l *serverImporter) importProxyPass(p *locationPlan, d *Directive, set *settings, s scope) {
	host, uri, reason := parseProxyPass(d, s)
	out := &proxyPlan{directive: d, readTimeout: set.readTime, settings: set}
	if reason == "" {
		reason = out.setTarget(p, uri, s)
	}
	if reason == "" {
		out.pool, reason = l.poolFor(host, d)
	}
	if reason != "" {
		l.drop(d, reason)
		return
	}
	out.pool.addUser(set)
	l.outcomes.record(d, Translated, 0, "")
	if out.pool.directive == d {
		l.recordHostLookup(d, out.pool.servers[0].address)
	}
	l.importHeaders(out, set, s, host)
	p.proxy = out
}

// parseProxyPass returns the host and the URI of a proxy_pass, or the reason why it is dropped.
func parseProxyPass(d *Directive, s scope) (host, uri, reason string) {
	if len(d.Args) != 1 {
		return "", "", "it needs one URL"
	}
	rest, ok := strings.CutPrefix(d.Args[0].Text, "http://")
	if !ok {
		return "", "", "the URL must be http://HOST: requests to servers use HTTP/1.1 without TLS"
	}
	if strings.HasPrefix(rest, "unix:") {
		return "", "", unixSocketReason
	}
	host, uri = splitHost(rest)
	if !strings.Contains(host, "$") {
		return host, uri, ""
	}
	resolved, err := s.resolve(host)
	if err == nil && !isConstant(resolved) {
		err = fmt.Errorf("the host depends on the request")
	}
	if err != nil {
		return "", "", err.Error() + ": servers are not looked up for each request; use a location and a pool for each host"
	}
	host, path := splitHost(constantText(resolved))
	return host, path + uri, ""
}

// splitHost splits a URL without its scheme into the host and the rest.
func splitHost(url string) (host, uri string) {
	if n := strings.IndexByte(url, '/'); n >= 0 {
		return url[:n], url[n:]
	}
	return url, ""
}

// setTarget sets the target for the URI of a proxy_pass, or returns the reason why it is dropped.
func (out *proxyPlan) setTarget(p *locationPlan, uri string, s scope) (reason string) {
	switch {
	case uri == "":
	case strings.Contains(uri, "$"):
		target, err := s.resolve(uri)
		if err != nil {
			return err.Error()
		}
		out.target = target
	case strings.HasPrefix(p.field, "regex"), p.field == fieldNamed:
		return "a URI without variables is not allowed in a location with an expression or a name"
	case strings.ContainsAny(uri, "?#"):
		return "the URI has a query, which would come before the rest of the path"
	default:
		out.replace = uri
	}
	return ""
}

// addUser adds the settings of a location that sends to the pool.
func (p *poolPlan) addUser(set *settings) {
	p.users = append(p.users, set)
	if !slices.Contains(p.readTimeouts, set.readTime) {
		p.readTimeouts = append(p.readTimeouts, set.readTime)
	}
	p.connectTimeout = max(p.connectTimeout, set.connectTime)
	p.attempts = max(p.attempts, set.attempts)
}

// poolFor returns the pool for a host. It adds a pool if there is none yet, or returns the reason why the host cannot be used.
func (l *serverImporter) poolFor(host string, d *Directive) (*poolPlan, string) {
	if p := l.poolsByName[host]; p != nil {
		return p, ""
	}
	address, reason := serverAddress(host)
	if reason != "" {
		return nil, reason
	}
	p := &poolPlan{name: address, directive: d, servers: []serverPlan{{directive: d, address: address}}}
	if known := l.poolsByName[address]; known != nil && !l.upstreams[address] {
		return known, ""
	}
	if !poolNamePattern.MatchString(p.name) {
		p.name = "pool-" + strings.Trim(strings.NewReplacer("[", "", "]", "").Replace(address), ":")
		if !poolNamePattern.MatchString(p.name) {
			p.name = "pool-" + strconv.Itoa(len(l.pools)+1)
		}
	}
	l.poolsByName[address] = p
	l.pools = append(l.pools, p)
	return p, ""
}

// importHeaders translates the headers that are set in requests to a server. If Host is not set, it is the host of proxy_pass.
func (l *serverImporter) importHeaders(out *proxyPlan, set *settings, s scope, host string) {
	s = s.clone()
	s.constants["proxy_host"] = host
	port := "80"
	if n := strings.LastIndexByte(host, ':'); n >= 0 && !strings.HasSuffix(host, "]") {
		port = host[n+1:]
	}
	s.constants["proxy_port"] = port
	if len(l.server.hosts) > 0 {
		s.constants["server_name"] = l.server.hosts[0]
	}
	s.constants["server_port"] = l.listener.address[strings.LastIndexByte(l.listener.address, ':')+1:]
	if len(l.server.listeners) > 1 {
		delete(s.constants, "server_port")
	}
	setsHost := false
	for _, d := range set.headers {
		name := http.CanonicalHeaderKey(d.Args[0].Text)
		switch name {
		case "Connection", "Upgrade", "Te", "Transfer-Encoding", "Content-Length", "Keep-Alive":
			l.outcomes.record(d, Dropped, 0, "connections and framing are handled by the proxy; protocol upgrades are not supported")
			continue
		}
		if strings.ContainsAny(name, " \t:") || name == "" {
			l.outcomes.record(d, Dropped, 0, fmt.Sprintf("%q is not a valid header name", name))
			continue
		}
		value, err := s.resolve(d.Args[1].Text)
		if err != nil {
			l.outcomes.record(d, Dropped, 0, err.Error())
			continue
		}
		setsHost = setsHost || name == "Host"
		l.outcomes.record(d, Translated, 0, "")
		out.headers = append(out.headers, headerPlan{directive: d, name: name, value: value})
	}
	if !setsHost {
		out.headers = append(out.headers, headerPlan{name: "Host", value: strings.ReplaceAll(host, "{", "{{")})
	}
}

// className returns the name of the class of requests with a read timeout.
func className(kind string, read time.Duration) string {
	if read == defaultTimeout {
		return kind
	}
	return kind + "-" + read.String()
}
