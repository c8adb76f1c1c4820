package nginx

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// level translates what stands in one server: its steps and locations.
type level struct {
	*translator
	names    map[string]bool // of locations
	site     *serverBlock
	listener *listenerPlan
	pending  []pendingPages // to be translated once all locations are known
}

var locationFields = map[string]string{"": "begins", "=": "exact", "^~": "only", "~": "regex", "~*": "regex_any"}

// body reads the block of a server, or of a location within parent. Settings are those of the block itself.
func (l *level) body(d *Directive, set settings, s *scope, parent *locationPlan) (steps []stepPlan, locations []*locationPlan) {
	for _, k := range d.Body { // what set makes is known to the whole block, which it does not depend on
		if k.Name == "set" && len(k.Args) == 2 && strings.HasPrefix(k.Args[0].Text, "$") {
			value, err := s.template(k.Args[1].Text)
			if err == nil && strings.Contains(strings.ReplaceAll(value, "{{", ""), "{") {
				err = fmt.Errorf("the value is not known before a request is there")
			}
			if err != nil {
				l.drop(k, err.Error())
				continue
			}
			s.fixed[k.Args[0].Text[1:]] = strings.ReplaceAll(value, "{{", "{")
			l.marks.set(k, Differs, 0, "the value stands where the variable was used")
		}
	}
	inner := s.clone()
	for _, k := range d.Body {
		switch k.Name {
		case "rewrite", "return", "break":
			if step, ok := l.step(k, s); ok {
				steps = append(steps, step)
			}
		}
	}
	taken := map[place]bool{}
	for _, k := range d.Body {
		if k.Name != "location" || !k.Block {
			continue
		}
		p := l.location(k, set, inner.clone(), parent)
		switch {
		case p == nil:
		case !p.expression() && taken[p.place()]:
			l.drop(k, "a location of this path stands before it")
		default:
			taken[p.place()] = true
			locations = append(locations, p)
		}
	}
	locations = append(locations, l.slashes(locations, taken)...)
	for _, k := range d.Body {
		if l.marks[k] == nil && !inherits(k.Name) && k.Name != "proxy_pass" && !(k.Name == "internal" && parent != nil) {
			l.drop(k, advice(k.Name))
		}
	}
	return steps, locations
}

// place is what only one location of a level may have: an equal path or a prefix. Expressions may come again.
type place struct{ kind, path string }

func (p *locationPlan) expression() bool { return p.field == "regex" || p.field == "regex_any" }

func (p *locationPlan) place() place {
	switch p.field {
	case "begins", "only":
		return place{"prefix", p.path}
	}
	return place{p.field, p.path}
}

// inherits tells whether a directive is one that settings read: it is told where it is used.
func inherits(name string) bool {
	switch name {
	case "proxy_connect_timeout", "proxy_read_timeout", "proxy_next_upstream", "proxy_next_upstream_tries", "proxy_next_upstream_timeout",
		"client_max_body_size", "proxy_set_header", "ssl_certificate", "ssl_certificate_key",
		"error_page", "proxy_intercept_errors", "recursive_error_pages":
		return true
	}
	return false
}

// slashes are the redirects that nginx implies: a prefix that ends in a slash and sends to servers has the path without it
// answered by 301, unless that has a location of its own.
func (l *level) slashes(list []*locationPlan, taken map[place]bool) (out []*locationPlan) {
	for _, p := range list {
		bare, ok := strings.CutSuffix(p.path, "/")
		if !ok || bare == "" || p.proxy == nil || p.place().kind != "prefix" || taken[place{"exact", bare}] || taken[place{"prefix", bare}] {
			continue
		}
		to := "{scheme}://{host}" + l.port() + strings.ReplaceAll(p.path, "{", "{{") + "{?query}"
		out = append(out, &locationPlan{name: l.unique(p.name + "-slash"), field: "exact", path: bare, steps: []stepPlan{{
			lines: []string{"status = 301", "redirect = " + text(to)},
		}}})
	}
	return out
}

// port is what stands behind the host in a redirect to the listener itself.
func (l *level) port() string {
	port := l.listener.address[strings.LastIndexByte(l.listener.address, ':'):]
	if port == ":80" || port == ":443" && l.listener.cert != nil {
		return ""
	}
	return port
}

func (l *level) unique(name string) string {
	for n, base := 2, name; l.names[name]; n++ {
		name = fmt.Sprintf("%s-%d", base, n)
	}
	l.names[name] = true
	return name
}

// location reads a location; nil if it cannot be carried.
func (l *level) location(d *Directive, inherited settings, s scope, parent *locationPlan) *locationPlan {
	modifier, path := "", ""
	switch len(d.Args) {
	case 1:
		path = d.Args[0].Text
		for _, m := range []string{"=", "^~", "~*", "~"} { // they may stand without a space
			if rest, ok := strings.CutPrefix(path, m); ok && !d.Args[0].Quoted {
				modifier, path = m, rest
				break
			}
		}
	case 2:
		modifier, path = d.Args[0].Text, d.Args[1].Text
	}
	field, ok := locationFields[modifier]
	switch {
	case modifier == "" && strings.HasPrefix(path, "@"):
		if parent != nil {
			l.drop(d, "named locations stand in a server, not within a location")
			return nil
		}
		field, path = "named", path[1:]
		if path == "" {
			l.drop(d, "the location cannot be read")
			return nil
		}
	case !ok || path == "":
		l.drop(d, "the location cannot be read")
		return nil
	case parent != nil && parent.field == "named":
		l.drop(d, "a named location holds no others")
		return nil
	case strings.HasPrefix(field, "regex"):
		re, err := expression(path)
		if err != nil {
			l.drop(d, fmt.Sprintf("RE2 cannot hold the expression (%v): ITS REQUESTS GO TO OTHER LOCATIONS; write it without look-around and back-references", err))
			return nil
		}
		s.capture(re)
	case parent != nil && !strings.HasPrefix(parent.field, "regex") && !strings.HasPrefix(path, parent.path):
		l.drop(d, "it is outside of the location that holds it")
		return nil
	}
	p := &locationPlan{from: d, name: l.unique("line-" + strconv.Itoa(d.Pos.Line)), field: field, path: path}
	l.marks.set(d, Carried, 0, "")
	set := l.settings(d.Body, inherited)
	p.body, p.bodySize = set.body, set.bodySize
	p.steps, p.locations = l.body(d, set, &s, p)
	for _, k := range d.Body {
		switch k.Name {
		case "proxy_pass":
			l.proxy(p, k, &set, s)
		case "internal":
			p.internal = k
			l.marks.set(k, Carried, 0, "")
		}
	}
	p.intercept = set.intercept
	if own := named(d.Body, "error_page"); own != nil {
		l.errorPages(&p.pages, own, s)
	}
	lost := func(k *Directive) bool { return l.marks[k] != nil && l.marks[k].Fate == Dropped }
	passes := slices.ContainsFunc(d.Body, func(k *Directive) bool { return k.Name == "proxy_pass" })
	if p.proxy == nil && (passes || len(p.steps) == 0) {
		if slices.ContainsFunc(d.Body, lost) {
			l.marks.set(d, Differs, 0, "what it did was dropped: it answers 501")
			p.steps = append(p.steps, stepPlan{lines: []string{"status = 501", `body = "not carried over\n"`}})
		} else {
			l.marks.set(d, Differs, 0, "it sends to no server: it answers 404")
		}
	}
	return p
}

// step reads rewrite, return and break.
func (l *level) step(d *Directive, s *scope) (stepPlan, bool) {
	fail := func(why string) (stepPlan, bool) {
		l.drop(d, why)
		return stepPlan{}, false
	}
	out := stepPlan{from: d}
	switch d.Name {
	case "break":
		out.lines = []string{"stop = true"}
	case "return":
		lines, why := returned(d, s)
		if why != "" {
			return fail(why)
		}
		out.lines = lines
	default:
		if len(d.Args) < 2 || len(d.Args) > 3 {
			return fail("it needs an expression and a replacement")
		}
		re, err := expression(d.Args[0].Text)
		if err != nil {
			return fail(fmt.Sprintf("RE2 cannot hold the expression: %v", err))
		}
		own := s.clone()
		own.capture(re)
		to, err := own.template(d.Args[1].Text)
		if err != nil {
			return fail(err.Error())
		}
		then := ""
		if len(d.Args) == 3 {
			then = d.Args[2].Text
		}
		if then != "" && then != "last" && then != "break" && then != "redirect" && then != "permanent" {
			return fail(fmt.Sprintf("the flag %q is unknown", then))
		}
		if plain := d.Args[1].Text; strings.HasPrefix(plain, "http://") || strings.HasPrefix(plain, "https://") || strings.HasPrefix(plain, "$scheme") {
			if then != "permanent" {
				then = "redirect"
			}
		}
		out.lines = []string{"match = " + text(d.Args[0].Text), "to = " + text(to)}
		if then != "" {
			out.lines = append(out.lines, "then = "+text(then))
		}
		s.capture(re)
	}
	l.marks.set(d, Carried, 0, "")
	return out, true
}

// returned gives the lines of a return, or why it cannot be carried.
func returned(d *Directive, s *scope) (lines []string, why string) {
	if len(d.Args) == 0 || len(d.Args) > 2 || d.Args[0].Text == "" {
		return nil, "it needs a code, a URL or both"
	}
	last, err := s.template(d.Args[len(d.Args)-1].Text)
	if err != nil {
		return nil, err.Error()
	}
	code, err := strconv.Atoi(d.Args[0].Text)
	switch {
	case err != nil && len(d.Args) == 1:
		return []string{"status = 302", "redirect = " + text(last)}, ""
	case err != nil || code < 200 || code > 599:
		return nil, fmt.Sprintf("%q is no status of an answer", d.Args[0].Text)
	case code == 444:
		return nil, "callers are not left without an answer: answer 403 or 400"
	}
	lines = []string{"status = " + strconv.Itoa(code)}
	redirect := code == 301 || code == 302 || code == 303 || code == 307 || code == 308
	switch {
	case redirect && (len(d.Args) == 1 || last == ""):
		return nil, "a redirect needs a URL"
	case redirect:
		lines = append(lines, "redirect = "+text(last))
	case len(d.Args) == 2 && last != "":
		lines = append(lines, "body = "+text(last))
	}
	return lines, ""
}

// proxy reads proxy_pass.
func (l *level) proxy(p *locationPlan, d *Directive, set *settings, s scope) {
	if len(d.Args) != 1 {
		l.drop(d, "it needs one URL")
		return
	}
	rest, ok := strings.CutPrefix(d.Args[0].Text, "http://")
	if !ok {
		l.drop(d, "servers are spoken to in HTTP/1.1 without TLS: name one as http://HOST")
		return
	}
	if strings.HasPrefix(rest, "unix:") {
		l.drop(d, "Unix sockets of servers are not connected to: have the server listen on loopback")
		return
	}
	host, uri := rest, ""
	if n := strings.IndexByte(rest, '/'); n >= 0 {
		host, uri = rest[:n], rest[n:]
	}
	if strings.Contains(host, "$") {
		known, err := s.template(host)
		if err == nil && strings.Contains(strings.ReplaceAll(known, "{{", ""), "{") {
			err = fmt.Errorf("the host is not known before a request is there")
		}
		if err != nil {
			l.drop(d, err.Error()+": servers are not looked up for each request; name a pool for each")
			return
		}
		if host = strings.ReplaceAll(known, "{{", "{"); strings.Contains(host, "/") {
			n := strings.IndexByte(host, '/')
			host, uri = host[:n], host[n:]+uri
		}
	}
	out := &proxyPlan{from: d, read: set.readTime, settings: set}
	switch {
	case uri == "":
	case strings.Contains(uri, "$"):
		target, err := s.template(uri)
		if err != nil {
			l.drop(d, err.Error())
			return
		}
		out.target = target
	case strings.HasPrefix(p.field, "regex"), p.field == "named":
		l.drop(d, "a URI without variables is not allowed in a location with an expression or a name")
		return
	case strings.ContainsAny(uri, "?#"):
		l.drop(d, "the URI holds a query, which would come before the rest of the path")
		return
	default:
		out.replace = uri
	}
	pool, why := l.pool(host, d)
	if why != "" {
		l.drop(d, why)
		return
	}
	out.pool = pool
	pool.users = append(pool.users, set)
	if !slices.Contains(pool.reads, out.read) {
		pool.reads = append(pool.reads, out.read)
	}
	pool.connect = max(pool.connect, set.connectTime)
	pool.attempts = max(pool.attempts, set.attempts)
	l.marks.set(d, Carried, 0, "")
	if pool.from == d {
		l.lookedUp(d, pool.servers[0].address)
	}
	l.headers(out, set, s, host)
	p.proxy = out
}

// pool finds the pool that a host names, or makes one of it.
func (l *level) pool(host string, d *Directive) (*poolPlan, string) {
	if p := l.byName[host]; p != nil {
		return p, ""
	}
	address, err := serverAddress(host)
	if err != nil {
		return nil, err.Error()
	}
	p := &poolPlan{name: address, from: d, servers: []serverPlan{{from: d, address: address}}}
	if known := l.byName[address]; known != nil && !l.upstreams[address] {
		return known, ""
	}
	if !poolName.MatchString(p.name) {
		p.name = "pool-" + strings.Trim(strings.NewReplacer("[", "", "]", "").Replace(address), ":")
		if !poolName.MatchString(p.name) {
			p.name = "pool-" + strconv.Itoa(len(l.pools)+1)
		}
	}
	l.byName[address] = p
	l.pools = append(l.pools, p)
	return p, ""
}

// headers reads what is set on the way to a server. Without a Host of its own that is what proxy_pass names.
func (l *level) headers(out *proxyPlan, set *settings, s scope, host string) {
	s = s.clone()
	s.fixed["proxy_host"] = host
	port := "80"
	if n := strings.LastIndexByte(host, ':'); n >= 0 && !strings.HasSuffix(host, "]") {
		port = host[n+1:]
	}
	s.fixed["proxy_port"] = port
	if len(l.site.hosts) > 0 {
		s.fixed["server_name"] = l.site.hosts[0]
	}
	s.fixed["server_port"] = l.listener.address[strings.LastIndexByte(l.listener.address, ':')+1:]
	if len(l.site.listeners) > 1 {
		delete(s.fixed, "server_port")
	}
	named := false
	for _, d := range set.headers {
		name := http.CanonicalHeaderKey(d.Args[0].Text)
		switch name {
		case "Connection", "Upgrade", "Te", "Transfer-Encoding", "Content-Length", "Keep-Alive":
			l.marks.set(d, Dropped, 0, "connections and framing are the program's own; protocols are not switched")
			continue
		}
		if strings.ContainsAny(name, " \t:") || name == "" {
			l.marks.set(d, Dropped, 0, "this is no name of a header")
			continue
		}
		value, err := s.template(d.Args[1].Text)
		if err != nil {
			l.marks.set(d, Dropped, 0, err.Error())
			continue
		}
		named = named || name == "Host"
		l.marks.set(d, Carried, 0, "")
		out.headers = append(out.headers, headerPlan{from: d, name: name, value: value})
	}
	if !named {
		out.headers = append(out.headers, headerPlan{name: "Host", value: strings.ReplaceAll(host, "{", "{{")})
	}
}

// className is that of requests with a read timeout.
func className(kind string, read time.Duration) string {
	if read == defaultTimeout {
		return kind
	}
	return kind + "-" + read.String()
}
