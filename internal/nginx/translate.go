package nginx

import (
	"fmt"
	"net"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"whinknot/internal/vhost"
)

// File is what Load reads: the tree, with what is included in the place of each include, and these.
type File struct {
	Directives []*Directive
	Includes   []*Directive
}

// Defaults of nginx (ngx_http_proxy_module, ngx_http_core_module).
const (
	defaultTimeout = time.Minute
	defaultBody    = 1 << 20
	mostAttempts   = 4
	mostAim        = time.Second
	noLimit        = 1 << 39 // bytes of a body, for no limit
)

// settings are what servers and locations inherit, each with the directive that says so.
type settings struct {
	connect, read, body   *Directive
	next, tries, nextTime *Directive
	headers               []*Directive // proxy_set_header: those of the innermost level that has any
	connectTime, readTime time.Duration
	bodySize              int64
	attempts              int
	certificate, key      *Directive
	pages                 []*Directive // error_page: those of the innermost level that has any
	intercept, recursive  *Directive
}

type poolPlan struct {
	name     string
	from     *Directive // the upstream, or the first proxy_pass
	servers  []serverPlan
	reads    []time.Duration // read timeouts of its users, in the order of their coming
	connect  time.Duration
	attempts int
	users    []*settings
}

type serverPlan struct {
	from         *Directive
	address, id  string
	weight       string
	backup, down bool
}

type listenerPlan struct {
	name, address    string
	from             []*Directive
	certificate, key string
	cert, keyFrom    *Directive
	body             int64
	first            *serverBlock // the default
}

type serverBlock struct {
	from      *Directive
	name      string
	names     []*Directive
	hosts     []string
	listeners []*listenerPlan
	steps     []stepPlan
	pages     []pagePlan
	recursive *Directive
	locations []*locationPlan
}

type stepPlan struct {
	from  *Directive
	lines []string
}

type locationPlan struct {
	from      *Directive // nil for one that nginx implies
	name      string
	field     string
	path      string
	steps     []stepPlan
	proxy     *proxyPlan
	body      *Directive
	bodySize  int64
	locations []*locationPlan

	pages               []pagePlan
	intercept, internal *Directive
}

type proxyPlan struct {
	from            *Directive
	pool            *poolPlan
	read            time.Duration
	replace, target string
	headers         []headerPlan
	settings        *settings
}

type headerPlan struct {
	from        *Directive // nil for Host where nothing sets it
	name, value string
}

// translator turns a tree into a plan.
type translator struct {
	marks     marks
	pools     []*poolPlan
	byName    map[string]*poolPlan
	upstreams map[string]bool
	listeners []*listenerPlan
	servers   []*serverBlock
	siteNames map[string]bool
	wild      map[string]bool // ports at which some server listens at all addresses
}

// Import translates a file into the text of an operator file, with a report of every directive.
func Import(f *File) (string, *Report) {
	t := &translator{marks: marks{}, byName: map[string]*poolPlan{}, upstreams: map[string]bool{}, siteNames: map[string]bool{}, wild: map[string]bool{}}
	s := scope{fixed: map[string]string{}, maps: map[string]*Directive{}, captures: map[string]bool{}}
	var all []*Directive
	for _, d := range f.Directives {
		if d.Name == "http" && d.Block {
			t.marks.set(d, Carried, 1, "")
			all = append(all, d.Body...)
		} else {
			all = append(all, d)
		}
	}
	t.http(all, s)
	out := t.emit()
	Walk(f.Directives, func(d *Directive) {
		if t.marks[d] == nil && inherits(d.Name) {
			t.marks.set(d, Differs, 0, "nothing that was carried over uses it")
		}
	})
	return out, t.marks.report(f)
}

func (t *translator) drop(d *Directive, note string) {
	t.marks.set(d, Dropped, 0, note)
	Walk(d.Body, func(inner *Directive) {
		t.marks.set(inner, Dropped, 0, fmt.Sprintf("it is within %s of line %d, which was dropped", d.Name, d.Pos.Line))
	})
}

// http translates what stands in the block http, or in a file that is included there.
func (t *translator) http(list []*Directive, s scope) {
	for _, d := range list {
		switch {
		case d.Name == "upstream" && d.Block && len(d.Args) == 1:
			t.upstream(d)
		case d.Name == "map" && d.Block && len(d.Args) == 2 && strings.HasPrefix(d.Args[1].Text, "$"):
			s.maps[d.Args[1].Text[1:]] = d
		}
	}
	for _, d := range list {
		if d.Name == "server" && d.Block {
			for _, k := range named(d.Body, "listen") {
				if len(k.Args) > 0 {
					if host, port, err := listenAddress(k.Args[0].Text); err == nil && host == "" {
						t.wild[port] = true
					}
				}
			}
		}
	}
	set := t.settings(list, settings{connectTime: defaultTimeout, readTime: defaultTimeout, bodySize: defaultBody, attempts: mostAttempts})
	for _, d := range list {
		if d.Name == "server" && d.Block && len(d.Args) == 0 {
			t.server(d, set, s.clone())
		}
	}
	for _, d := range s.maps {
		t.marks.set(d, Differs, 0, "it is looked up now, where a variable that it makes is used")
		for _, line := range d.Body {
			t.marks.set(line, Differs, 0, "it is looked up now")
		}
	}
	for _, d := range list {
		if t.marks[d] == nil && !inherits(d.Name) {
			t.drop(d, advice(d.Name))
		}
	}
}

// settings reads what a level sets, over what it inherits.
func (t *translator) settings(list []*Directive, s settings) settings {
	var headers, pages []*Directive
	for _, d := range list {
		value := ""
		if len(d.Args) > 0 {
			value = d.Args[0].Text
		}
		timeOf := func(to *time.Duration, by **Directive) {
			if v, err := parseTime(value); err != nil || len(d.Args) != 1 || v <= 0 {
				t.drop(d, "the time cannot be read")
			} else {
				*to, *by = v, d
			}
		}
		switch d.Name {
		case "proxy_connect_timeout":
			timeOf(&s.connectTime, &s.connect)
		case "proxy_read_timeout":
			timeOf(&s.readTime, &s.read)
		case "proxy_next_upstream":
			s.next = d
			if s.attempts = mostAttempts; value == "off" {
				s.attempts = 1
			}
		case "proxy_next_upstream_tries":
			n, err := strconv.Atoi(value)
			if err != nil || n < 0 || len(d.Args) != 1 {
				t.drop(d, "the number cannot be read")
				continue
			}
			s.tries = d
			if s.attempts = min(n, mostAttempts); n == 0 {
				s.attempts = mostAttempts
			}
		case "proxy_next_upstream_timeout":
			s.nextTime = d
		case "client_max_body_size":
			n, err := parseSize(value)
			if err != nil || len(d.Args) != 1 {
				t.drop(d, "the size cannot be read")
				continue
			}
			s.body, s.bodySize = d, n
		case "proxy_set_header":
			if len(d.Args) != 2 {
				t.drop(d, "it needs a name and a value")
				continue
			}
			headers = append(headers, d)
		case "error_page":
			pages = append(pages, d)
		case "proxy_intercept_errors":
			s.intercept = d
		case "recursive_error_pages":
			s.recursive = d
		case "ssl_certificate":
			s.certificate = d
		case "ssl_certificate_key":
			s.key = d
		}
	}
	if headers != nil {
		s.headers = headers
	}
	if pages != nil {
		s.pages = pages
	}
	return s
}

func (t *translator) upstream(d *Directive) {
	name := d.Args[0].Text
	if t.byName[name] != nil {
		t.drop(d, "an upstream of this name stands before it")
		return
	}
	t.marks.set(d, Carried, 0, "")
	p := &poolPlan{name: name, from: d}
	if !poolName.MatchString(name) {
		p.name = "pool-" + strconv.Itoa(len(t.pools)+1)
	}
	ids := map[string]int{}
	for _, k := range d.Body {
		switch k.Name {
		case "server":
			t.upstreamServer(p, k, ids)
		case "keepalive", "keepalive_timeout", "keepalive_requests", "keepalive_time":
			t.marks.set(k, Differs, 0, "idle connections are kept within the pool's idle_timeout and share of descriptors")
		case "zone":
			t.marks.set(k, Differs, 0, "the servers of a pool are known to the whole process without it")
		case "least_conn", "random", "least_time":
			t.marks.set(k, Differs, 0, "servers are chosen by credits, which take into account what each has out")
		case "hash", "ip_hash", "sticky":
			t.drop(k, "requests are not tied to servers by a key: make the servers share their state")
		default:
			t.drop(k, advice(k.Name))
		}
	}
	t.pools = append(t.pools, p)
	t.byName[name] = p
	t.upstreams[name] = true
}

var poolName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,63}$`)

func (t *translator) upstreamServer(p *poolPlan, d *Directive, ids map[string]int) {
	if len(d.Args) == 0 {
		t.drop(d, "it names no address")
		return
	}
	address, err := serverAddress(d.Args[0].Text)
	if err != nil {
		t.drop(d, err.Error())
		return
	}
	s := serverPlan{from: d, address: address}
	if ids[address]++; ids[address] > 1 {
		s.id = fmt.Sprintf("%s-%d", address, ids[address])
	}
	t.marks.set(d, Carried, 0, "")
	t.lookedUp(d, address)
	for _, a := range d.Args[1:] {
		key, value, _ := strings.Cut(a.Text, "=")
		switch key {
		case "weight":
			if n, err := strconv.Atoi(value); err != nil || n < 1 {
				t.marks.set(d, Dropped, 0, a.Text+" cannot be read")
				continue
			}
			s.weight = value
			t.marks.set(d, Differs, 0, "weight is a hint until the server is measured: shares then follow what it can take")
		case "backup":
			s.backup = true
		case "down":
			s.down = true
		case "max_fails", "fail_timeout":
			t.marks.set(d, Differs, 0, a.Text+": a failing server is cut by the pool's own measurements, and tried again by single requests")
		case "max_conns":
			t.marks.set(d, Differs, 0, a.Text+": what a server has out is bounded by what it is measured to take")
		default:
			t.marks.set(d, Differs, 0, a.Text+" has no counterpart")
		}
	}
	p.servers = append(p.servers, s)
}

// lookedUp tells of a server whose address is a name.
func (t *translator) lookedUp(d *Directive, address string) {
	if host, _, err := net.SplitHostPort(address); err == nil && net.ParseIP(host) == nil {
		t.marks.set(d, Differs, 0, host+" is looked up for each connection, not once at the start")
	}
}

// serverAddress reads an address of a server; without a port it has 80.
func serverAddress(text string) (string, error) {
	switch {
	case strings.HasPrefix(text, "unix:"):
		return "", fmt.Errorf("Unix sockets of servers are not connected to: have the server listen on loopback")
	case strings.Contains(text, "$"):
		return "", fmt.Errorf("the address holds a variable")
	}
	host, port, err := net.SplitHostPort(text)
	if err != nil {
		host, port = strings.Trim(text, "[]"), "80"
	}
	if n, err := strconv.Atoi(port); err != nil || n < 1 || n > 65535 || host == "" || strings.ContainsAny(host, "/[] ") {
		return "", fmt.Errorf("%q is no address of a server", text)
	}
	return net.JoinHostPort(host, port), nil
}

func (t *translator) server(d *Directive, inherited settings, s scope) {
	b := &serverBlock{from: d}
	t.marks.set(d, Carried, 0, "")
	set := t.settings(d.Body, inherited)
	listens := named(d.Body, "listen")
	for _, k := range listens {
		t.listen(b, k, &set)
	}
	switch {
	case len(b.listeners) > 0:
	case len(listens) > 0:
		t.drop(d, "it listens nowhere: none of its addresses could be carried over")
		return
	default:
		t.listenAt(b, ":80", false, nil)
	}
	for _, k := range d.Body {
		if k.Name == "server_name" {
			t.names(b, k, &s)
		}
	}
	b.name = "site-" + strconv.Itoa(len(t.servers)+1)
	if len(b.hosts) > 0 && poolName.MatchString(b.hosts[0]) {
		b.name = b.hosts[0]
	}
	for n, base := 2, b.name; t.siteNames[b.name]; n++ {
		b.name = fmt.Sprintf("%s-%d", base, n)
	}
	t.siteNames[b.name] = true
	t.servers = append(t.servers, b)
	l := &level{translator: t, names: map[string]bool{}, site: b, listener: b.listeners[0]}
	own := s.clone()
	b.steps, b.locations = l.body(d, set, &s, nil)
	l.errorPages(&b.pages, set.pages, own)
	b.recursive = set.recursive
	l.settle()
}

// named are the directives of a name.
func named(list []*Directive, name string) (out []*Directive) {
	for _, d := range list {
		if d.Name == name {
			out = append(out, d)
		}
	}
	return out
}

// listenAddress reads the host and port of a listen; host is "" for all addresses.
func listenAddress(text string) (host, port string, err error) {
	if _, err := strconv.Atoi(text); err == nil {
		text = ":" + text
	}
	if host, port, err = net.SplitHostPort(text); err != nil {
		host, port = strings.Trim(text, "[]"), "80"
	}
	if n, err := strconv.Atoi(port); err != nil || n < 1 || n > 65535 || strings.ContainsAny(host, "/[] $") {
		return "", "", fmt.Errorf("%q is no address", text)
	}
	if host == "*" || host == "0.0.0.0" || host == "::" {
		host = ""
	}
	return host, port, nil
}

// listen reads an address to listen on.
func (t *translator) listen(b *serverBlock, d *Directive, set *settings) {
	if len(d.Args) == 0 {
		t.drop(d, "it names no address")
		return
	}
	text := d.Args[0].Text
	if strings.HasPrefix(text, "unix:") {
		t.drop(d, "Unix sockets are not listened on: use a loopback address")
		return
	}
	host, port, err := listenAddress(text)
	switch {
	case err != nil:
		t.drop(d, err.Error())
		return
	case host != "" && t.wild[port]:
		t.drop(d, "another server listens at all addresses of this port, and takes what comes here: give them ports of their own")
		return
	}
	t.marks.set(d, Carried, 0, "")
	if strings.HasPrefix(text, "[::]") {
		t.marks.set(d, Differs, 0, "one listener takes IPv4 and IPv6 at this port")
	}
	isDefault, tls := false, false
	for _, a := range d.Args[1:] {
		switch key, _, _ := strings.Cut(a.Text, "="); key {
		case "default_server", "default":
			isDefault = true
		case "ssl":
			tls = true
		case "ipv6only", "backlog", "rcvbuf", "sndbuf", "reuseport", "deferred", "so_keepalive", "bind", "fastopen", "setfib", "http2":
			t.marks.set(d, Differs, 0, a.Text+" has no counterpart; requests are answered without it")
		default:
			t.marks.set(d, Dropped, 0, a.Text+" has no counterpart: callers that rely on it are not understood")
		}
	}
	address := net.JoinHostPort(host, port)
	if host == "" {
		address = ":" + port
	}
	l := t.listenAt(b, address, isDefault, d)
	if tls && l.cert == nil {
		if set.certificate == nil || set.key == nil || len(set.certificate.Args) != 1 || len(set.key.Args) != 1 {
			t.marks.set(d, Dropped, 0, "ssl: there is no certificate and key, so this listener speaks plain HTTP")
			return
		}
		l.cert, l.certificate = set.certificate, set.certificate.Args[0].Text
		l.keyFrom, l.key = set.key, set.key.Args[0].Text
	} else if tls && set.certificate != nil && set.certificate.Args[0].Text != l.certificate {
		t.marks.set(set.certificate, Dropped, 0, "a listener has one certificate: that of the first server at "+address)
	}
}

func (t *translator) listenAt(b *serverBlock, address string, isDefault bool, d *Directive) *listenerPlan {
	i := slices.IndexFunc(t.listeners, func(l *listenerPlan) bool { return l.address == address })
	if i < 0 {
		t.listeners = append(t.listeners, &listenerPlan{
			name: "listen-" + strings.Trim(strings.NewReplacer(":", "-", "[", "", "]", "").Replace(address), "-"), address: address,
			body: 1, first: b,
		})
		i = len(t.listeners) - 1
	}
	l := t.listeners[i]
	if isDefault {
		l.first = b
	}
	if d != nil {
		l.from = append(l.from, d)
	}
	if !slices.Contains(b.listeners, l) {
		b.listeners = append(b.listeners, l)
	}
	return l
}

// names reads the names of a server. A name that another server of one of its listeners has is that one's.
func (t *translator) names(b *serverBlock, d *Directive, s *scope) {
	t.marks.set(d, Carried, 0, "")
	b.names = append(b.names, d)
	var names []string
	for _, a := range d.Args {
		if rest, ok := strings.CutPrefix(a.Text, "."); ok && rest != "" { // the name and those below it
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
			t.marks.set(d, Differs, 0, `"": requests without a host go to the default server`)
			continue
		case strings.HasPrefix(name, "~"):
			re, err := expression(name[1:])
			if err != nil {
				t.marks.set(d, Dropped, 0, fmt.Sprintf("%s: %v", name, err))
				continue
			}
			s.capture(re)
		case strings.Contains(name, "$"):
			t.marks.set(d, Dropped, 0, name+" holds a variable")
			continue
		case strings.Contains(strings.TrimSuffix(strings.TrimPrefix(name, "*."), ".*"), "*") || strings.ContainsAny(name, "/ "):
			t.marks.set(d, Dropped, 0, name+" is no name that nginx knows")
			continue
		default:
			name = strings.TrimSuffix(strings.ToLower(name), ".")
		}
		if other := t.owner(b, name); other != nil {
			t.marks.set(d, Dropped, 0, fmt.Sprintf("%s belongs to the server of line %d already, as nginx warns", name, other.from.Pos.Line))
			continue
		}
		b.hosts = append(b.hosts, name)
	}
}

func (t *translator) owner(b *serverBlock, name string) *serverBlock {
	if slices.Contains(b.hosts, name) {
		return b
	}
	for _, other := range t.servers {
		if slices.Contains(other.hosts, name) && slices.ContainsFunc(other.listeners, func(l *listenerPlan) bool { return slices.Contains(b.listeners, l) }) {
			return other
		}
	}
	return nil
}

// expression compiles one that a table can hold.
func expression(text string) (*regexp.Regexp, error) {
	if len(text) > vhost.MaxPattern {
		return nil, fmt.Errorf("it has %d bytes, over the %d allowed", len(text), vhost.MaxPattern)
	}
	return regexp.Compile(text)
}

// capture notes what an expression captures.
func (s *scope) capture(re *regexp.Regexp) {
	s.numbers = s.numbers || re.NumSubexp() > 0
	for _, name := range re.SubexpNames() {
		if name != "" {
			s.captures[name] = true
		}
	}
}

// parseTime reads a time of nginx ("Configuration file measurement units"): 30, 30s, 500ms, 1h 30m.
func parseTime(text string) (time.Duration, error) {
	var total time.Duration
	units := map[string]time.Duration{
		"": time.Second, "ms": time.Millisecond, "s": time.Second, "m": time.Minute, "h": time.Hour, "d": 24 * time.Hour, "w": 7 * 24 * time.Hour,
	}
	for rest := strings.ReplaceAll(text, " ", ""); ; {
		n := 0
		for n < len(rest) && rest[n] >= '0' && rest[n] <= '9' {
			n++
		}
		value, err := strconv.ParseInt(rest[:n], 10, 32)
		if err != nil {
			return 0, fmt.Errorf("%q is no time", text)
		}
		rest = rest[n:]
		m := 0
		for m < len(rest) && (rest[m] < '0' || rest[m] > '9') {
			m++
		}
		unit, ok := units[rest[:m]]
		if !ok {
			return 0, fmt.Errorf("%q is no time", text)
		}
		total += time.Duration(value) * unit
		if rest = rest[m:]; rest == "" {
			return total, nil
		}
	}
}

// parseSize reads a size of nginx: 8k, 1m, 1g or bytes.
func parseSize(text string) (int64, error) {
	unit := int64(1)
	if n := len(text); n > 0 {
		switch text[n-1] {
		case 'k', 'K':
			unit = 1 << 10
		case 'm', 'M':
			unit = 1 << 20
		case 'g', 'G':
			unit = 1 << 30
		}
	}
	if unit > 1 {
		text = text[:len(text)-1]
	}
	n, err := strconv.ParseInt(text, 10, 41)
	if err != nil || n < 0 || n > (1<<40)/unit {
		return 0, fmt.Errorf("%q is no size", text)
	}
	return n * unit, nil
}

// advice tells why a directive was dropped and what to do.
func advice(name string) string {
	switch {
	case strings.HasPrefix(name, "limit_req"), strings.HasPrefix(name, "limit_conn"):
		return "limits by key have no counterpart: set quotas of tenants, or weigh classes by their worth"
	case strings.HasPrefix(name, "ssl_"):
		return "TLS has no settings but certificate and key"
	case strings.Contains(name, "lua"), strings.HasPrefix(name, "perl"), strings.HasPrefix(name, "js_"):
		return "code is not run: move it to a server of a pool"
	case name == "root", name == "alias", name == "index", name == "try_files", name == "autoindex", name == "expires":
		return "files are not served: put a file server into a pool and send these paths there"
	case name == "add_header", strings.HasPrefix(name, "proxy_hide_"), strings.HasPrefix(name, "proxy_pass_header"), strings.HasPrefix(name, "proxy_cookie_"), name == "proxy_redirect":
		return "headers of answers are passed on as servers give them"
	case name == "if":
		return "conditions are not decided on: use routes with methods, headers or query"
	case strings.HasPrefix(name, "auth_"), name == "allow", name == "deny", name == "satisfy":
		return "ACCESS IS NOT CHECKED: keep it at a server in front, or these paths are open"
	case strings.HasPrefix(name, "proxy_cache"), strings.HasPrefix(name, "proxy_buffer"), name == "proxy_max_temp_file_size", name == "proxy_request_buffering":
		return "answers are neither cached nor spooled: long ones stream"
	case strings.HasSuffix(name, "_log"), name == "log_format":
		return "logging is the program's own"
	case name == "events", name == "user", name == "pid", strings.HasPrefix(name, "worker_"):
		return "the process is set up by [limits] and its supervisor"
	case name == "proxy_http_version":
		return "servers are always spoken to in HTTP/1.1"
	case name == "proxy_send_timeout", name == "send_timeout", name == "client_body_timeout", name == "client_header_timeout", name == "keepalive_timeout":
		return "the program bounds these times by itself"
	}
	return "it has no counterpart"
}
