package nginx

import (
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
)

// importServer translates a server block into a site and its listeners.
func (t *importer) importServer(d *Directive, inherited settings, s scope) {
	b := &siteServer{directive: d}
	t.outcomes.record(d, Translated, 0, "")
	set := t.readSettings(d.Body, inherited)
	listens := directivesNamed(d.Body, "listen")
	for _, k := range listens {
		t.importListen(b, k, &set)
	}
	switch {
	case len(b.listeners) > 0:
	case len(listens) > 0:
		t.drop(d, "none of its listen addresses could be carried over")
		return
	default:
		t.addListener(b, ":80", false, nil)
	}
	for _, k := range d.Body {
		if k.Name == "server_name" {
			t.importNames(b, k, &s)
		}
	}
	b.name = "site-" + strconv.Itoa(len(t.servers)+1)
	if len(b.hosts) > 0 && poolNamePattern.MatchString(b.hosts[0]) {
		b.name = b.hosts[0]
	}
	for n, base := 2, b.name; t.siteNames[b.name]; n++ {
		b.name = fmt.Sprintf("%s-%d", base, n)
	}
	t.siteNames[b.name] = true
	t.servers = append(t.servers, b)
	l := &serverImporter{importer: t, locationNames: map[string]bool{}, server: b, listener: b.listeners[0]}
	own := s.clone()
	b.steps, b.locations = l.importBlock(d, set, &s, nil)
	l.addErrorPages(&b.pages, set.pages, own)
	b.recursive = set.recursive
	l.importErrorPages()
}

// listenAddress parses the address of a listen directive. The host is "" for all addresses.
func listenAddress(text string) (host, port string, err error) {
	if _, err := strconv.Atoi(text); err == nil {
		text = ":" + text
	}
	if host, port, err = net.SplitHostPort(text); err != nil {
		host, port = strings.Trim(text, "[]"), "80"
	}
	if n, err := strconv.Atoi(port); err != nil || n < 1 || n > 65535 || strings.ContainsAny(host, "/[] $") {
		return "", "", fmt.Errorf("%q is not a listen address: must be a port, a host or host:port", text)
	}
	if host == "*" || host == "0.0.0.0" || host == "::" {
		host = ""
	}
	return host, port, nil
}

// importListen translates a listen directive of a server.
func (t *importer) importListen(b *siteServer, d *Directive, set *settings) {
	if len(d.Args) == 0 {
		t.drop(d, "the address is missing")
		return
	}
	text := d.Args[0].Text
	if strings.HasPrefix(text, "unix:") {
		t.drop(d, "listening on Unix sockets is not supported: use a loopback address")
		return
	}
	host, port, err := listenAddress(text)
	switch {
	case err != nil:
		t.drop(d, err.Error())
		return
	case host != "" && t.wildcardPorts[port]:
		t.drop(d, "another server listens on all addresses of this port and gets these requests too: use different ports")
		return
	}
	t.outcomes.record(d, Translated, 0, "")
	if strings.HasPrefix(text, "[::]") {
		t.outcomes.record(d, Differs, 0, "one listener accepts both IPv4 and IPv6 on this port")
	}
	isDefault, tls := false, false
	for _, a := range d.Args[1:] {
		switch key, _, _ := strings.Cut(a.Text, "="); key {
		case "default_server", "default":
			isDefault = true
		case "ssl":
			tls = true
		case "ipv6only", "backlog", "rcvbuf", "sndbuf", "reuseport", "deferred", "so_keepalive", "bind", "fastopen", "setfib", "http2":
			t.outcomes.record(d, Differs, 0, a.Text+" has no counterpart; requests are served without it")
		default:
			t.outcomes.record(d, Dropped, 0, a.Text+" has no counterpart: clients that rely on it are not served")
		}
	}
	address := net.JoinHostPort(host, port)
	if host == "" {
		address = ":" + port
	}
	l := t.addListener(b, address, isDefault, d)
	if tls && l.certificateFrom == nil {
		if set.certificate == nil || set.key == nil || len(set.certificate.Args) != 1 || len(set.key.Args) != 1 {
			t.outcomes.record(d, Dropped, 0, "ssl: there is no certificate and key, so this listener speaks plain HTTP")
			return
		}
		l.certificateFrom, l.certificate = set.certificate, set.certificate.Args[0].Text
		l.keyFrom, l.key = set.key, set.key.Args[0].Text
	} else if tls && set.certificate != nil && set.certificate.Args[0].Text != l.certificate {
		t.outcomes.record(set.certificate, Dropped, 0, "a listener has one certificate, that of the first server at "+address)
	}
}

// addListener adds an address to a server, and returns its listener, which other servers may share.
func (t *importer) addListener(b *siteServer, address string, isDefault bool, d *Directive) *listenerPlan {
	i := slices.IndexFunc(t.listeners, func(l *listenerPlan) bool { return l.address == address })
	if i < 0 {
		t.listeners = append(t.listeners, &listenerPlan{
			name:          "listen-" + strings.Trim(strings.NewReplacer(":", "-", "[", "", "]", "").Replace(address), "-"),
			address:       address,
			maxBody:       1,
			defaultServer: b,
		})
		i = len(t.listeners) - 1
	}
	l := t.listeners[i]
	if isDefault {
		l.defaultServer = b
	}
	if d != nil {
		l.directives = append(l.directives, d)
	}
	if !slices.Contains(b.listeners, l) {
		b.listeners = append(b.listeners, l)
	}
	return l
}

// importNames translates the names of a server. A name that an earlier server has at one of the same listeners is dropped.
func (t *importer) importNames(b *siteServer, d *Directive, s *scope) {
	t.outcomes.record(d, Translated, 0, "")
	b.names = append(b.names, d)
	var names []string
	for _, a := range d.Args {
		if rest, ok := strings.CutPrefix(a.Text, "."); ok && rest != "" { // .NAME stands for NAME and *.NAME
			names = append(names, rest, "*"+a.Text)
		} else {
			names = append(names, a.Text)
		}
	}
	for _, name := range names {
		switch {
		case name == "_":
			continue
		case name == "":
			t.outcomes.record(d, Differs, 0, `"": requests without a host go to the default server`)
			continue
		case strings.HasPrefix(name, "~"):
			re, err := compileExpression(name[1:])
			if err != nil {
				t.outcomes.record(d, Dropped, 0, fmt.Sprintf("%s: %v", name, err))
				continue
			}
			s.addCaptures(re)
		case strings.Contains(name, "$"):
			t.outcomes.record(d, Dropped, 0, name+" contains a variable")
			continue
		case strings.Contains(strings.TrimSuffix(strings.TrimPrefix(name, "*."), ".*"), "*") || strings.ContainsAny(name, "/ "):
			t.outcomes.record(d, Dropped, 0, name+" is not a valid server name: a wildcard must be the first or the last label")
			continue
		default:
			name = strings.TrimSuffix(strings.ToLower(name), ".")
		}
		if other := t.ownerOfName(b, name); other != nil {
			line := other.directive.Pos.Line
			t.outcomes.record(d, Dropped, 0, fmt.Sprintf("%s already belongs to the server of line %d; nginx warns of this too", name, line))
			continue
		}
		b.hosts = append(b.hosts, name)
	}
}

// ownerOfName returns the server that has a name at one of the listeners of b; nil for none.
func (t *importer) ownerOfName(b *siteServer, name string) *siteServer {
	if slices.Contains(b.hosts, name) {
		return b
	}
	for _, other := range t.servers {
		sharesListener := slices.ContainsFunc(other.listeners, func(l *listenerPlan) bool { return slices.Contains(b.listeners, l) })
		if sharesListener && slices.Contains(other.hosts, name) {
			return other
		}
	}
	return nil
}
