package nginx

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// lineWriter writes lines and counts them.
type lineWriter struct {
	out  strings.Builder
	line int
}

// writeLine writes one line and returns its number.
func (w *lineWriter) writeLine(format string, args ...any) int {
	fmt.Fprintf(&w.out, format+"\n", args...)
	w.line++
	return w.line
}

// quoteTOML returns a basic string of TOML v1.0.0.
func quoteTOML(s string) string {
	var out strings.Builder
	out.WriteByte('"')
	for _, c := range strings.ToValidUTF8(s, "\uFFFD") {
		switch {
		case c == '"' || c == '\\':
			out.WriteByte('\\')
			out.WriteRune(c)
		case c == '\n':
			out.WriteString(`\n`)
		case c == '\t':
			out.WriteString(`\t`)
		case c < ' ' || c == 0x7f:
			fmt.Fprintf(&out, `\u%04X`, c)
		default:
			out.WriteRune(c)
		}
	}
	out.WriteByte('"')
	return out.String()
}

// quoteTOMLList returns an array of strings.
func quoteTOMLList(items []string) string {
	quoted := make([]string, len(items))
	for i, s := range items {
		quoted[i] = quoteTOML(s)
	}
	return "[" + strings.Join(quoted, ", ") + "]"
}

// writeFile writes the plan as an operator file, and records for each directive the first line that holds it.
func (t *importer) writeFile() string {
	w := &lineWriter{}
	w.writeLine("# Imported from nginx. The report of the import lists what differs and what was dropped.")
	w.writeLine("# Classes: nginx has none. Requests with safe methods may be sent again, others only if they cannot have run. aim is an")
	w.writeLine("# estimate of the latency that clients need; give_up is proxy_read_timeout. Set both, and worth, as your clients need them.")
	w.writeLine("")
	t.setBodyLimits()
	// Each pool is guaranteed 16 connections, out of the 0.4 of all descriptors that are for servers.
	if n := 16*len(t.pools)*3 + 256; n > 1024 {
		w.writeLine("[limits]")
		w.writeLine("sockets = %d", n)
		w.writeLine("")
	}
	for _, l := range t.listeners {
		t.writeListener(w, l)
	}
	for _, p := range t.pools {
		t.writePool(w, p)
	}
	for _, b := range t.servers {
		t.writeSite(w, b)
	}
	return w.out.String()
}

// setBodyLimits sets the body limit of each listener to the largest one of its locations.
func (t *importer) setBodyLimits() {
	var largestBody func(list []*locationPlan) int64
	largestBody = func(list []*locationPlan) (n int64) {
		for _, p := range list {
			size := p.maxBody
			if size == 0 {
				size = unlimitedBody
			}
			if p.proxy == nil {
				size = 0
			}
			n = max(n, size, largestBody(p.locations))
		}
		return n
	}
	for _, b := range t.servers {
		n := largestBody(b.locations)
		for _, l := range b.listeners {
			l.maxBody = max(l.maxBody, n, defaultMaxBody)
		}
	}
}

// writeListener writes a listener.
func (t *importer) writeListener(w *lineWriter, l *listenerPlan) {
	line := w.writeLine("[[listener]]")
	w.writeLine("name = %s", quoteTOML(l.name))
	w.writeLine("address = %s", quoteTOML(l.address))
	w.writeLine("max_body = \"%dB\"", l.maxBody)
	if l.certificateFrom != nil {
		at := w.writeLine("certificate = %s", quoteTOML(l.certificate))
		t.outcomes.record(l.certificateFrom, Translated, at, "")
		t.outcomes.record(l.keyFrom, Translated, w.writeLine("key = %s", quoteTOML(l.key)), "")
	}
	for _, d := range l.directives {
		t.outcomes.record(d, Translated, line, "")
	}
	w.writeLine("")
}

// writePool writes a pool.
func (t *importer) writePool(w *lineWriter, p *poolPlan) {
	line := w.writeLine("[[pool]]")
	w.writeLine("name = %s", quoteTOML(p.name))
	if p.directive.Name == "upstream" { // a proxy_pass is recorded with its location instead
		t.outcomes.record(p.directive, Translated, line, "")
		if p.name != p.directive.Args[0].Text {
			t.outcomes.record(p.directive, Differs, line, "its name is not allowed for a pool: the pool is named "+p.name)
		}
	}
	if len(p.users) == 0 {
		t.outcomes.record(p.directive, Differs, line, "no location uses it")
		p.readTimeouts, p.connectTimeout, p.attempts = []time.Duration{defaultTimeout}, defaultTimeout, maxAttempts
	}
	attempts := w.writeLine("attempts = %d", p.attempts)
	// At most half of the shortest time to a response, so that another server can be tried.
	p.connectTimeout = min(p.connectTimeout, time.Minute, max(slices.Min(p.readTimeouts)/2, time.Millisecond))
	connect := w.writeLine("connect_timeout = %s", quoteTOML(p.connectTimeout.String()))
	for _, u := range p.users {
		t.recordPoolSettings(p, u, attempts, connect)
	}
	for _, readTimeout := range p.readTimeouts {
		t.writeClass(w, p, "read", "safe", readTimeout)
		t.writeClass(w, p, "write", "unsafe", readTimeout)
	}
	for i := range p.servers {
		t.writeServer(w, &p.servers[i])
	}
	w.writeLine("")
}

// writeClass writes the class of requests with a read timeout.
func (t *importer) writeClass(w *lineWriter, p *poolPlan, kind, effect string, readTimeout time.Duration) {
	w.writeLine("[[pool.class]]")
	w.writeLine("name = %s", quoteTOML(className(kind, readTimeout)))
	w.writeLine("aim = %s", quoteTOML(min(readTimeout, maxAim).String()))
	line := w.writeLine("give_up = %s", quoteTOML(min(readTimeout, time.Hour).String()))
	w.writeLine("effect = %s", quoteTOML(effect))
	for _, u := range p.users {
		if u.read != nil && u.readTime == readTimeout {
			t.outcomes.record(u.read, Differs, line,
				"it bounds the time to the response over all attempts, not the time between two reads")
		}
	}
}

// writeServer writes a server of a pool.
func (t *importer) writeServer(w *lineWriter, s *serverPlan) {
	line := w.writeLine("[[pool.server]]")
	w.writeLine("address = %s", quoteTOML(s.address))
	if s.id != "" {
		w.writeLine("id = %s", quoteTOML(s.id))
	}
	if s.weight != "" {
		w.writeLine("weight = %s", s.weight)
	}
	if s.backup {
		w.writeLine("backup = true")
	}
	if s.down {
		w.writeLine(`state = "draining"`)
	}
	if s.directive.Name == "server" {
		t.outcomes.record(s.directive, Translated, line, "")
	}
}

// recordPoolSettings records the outcome of the settings of a location that sends to a pool.
func (t *importer) recordPoolSettings(p *poolPlan, u *settings, attempts, connect int) {
	if u.connect != nil {
		t.outcomes.record(u.connect, Translated, connect, "")
		if u.connectTime != p.connectTimeout {
			t.outcomes.record(u.connect, Differs, connect,
				"a pool has one connect timeout, at most half of its shortest proxy_read_timeout: "+p.connectTimeout.String())
		}
	}
	if u.nextUpstream != nil {
		t.outcomes.record(u.nextUpstream, Differs, attempts,
			"retries depend on the class: safe requests after any failure, others only if they cannot have run")
		for _, a := range u.nextUpstream.Args {
			if a.Text == "non_idempotent" {
				t.outcomes.record(u.nextUpstream, Differs, attempts, "non_idempotent is not carried: it would repeat requests that may have run")
			}
		}
	}
	if u.tries != nil {
		t.outcomes.record(u.tries, Translated, attempts, "")
		if u.attempts != p.attempts || u.tries.Args[0].Text != fmt.Sprint(p.attempts) {
			t.outcomes.record(u.tries, Differs, attempts, fmt.Sprintf("a pool has one number of attempts, at most %d: %d", maxAttempts, p.attempts))
		}
	}
	if u.nextTimeout != nil {
		t.outcomes.record(u.nextTimeout, Differs, attempts, "new attempts are started until the give_up of the class")
	}
}

// writeSite writes a site. In the operator file a site is the default of all its listeners or of none, so a server that is the default
// of only some is written as two sites.
func (t *importer) writeSite(w *lineWriter, b *siteServer) {
	var asDefault, others []string
	for _, l := range b.listeners {
		if l.defaultServer == b {
			asDefault = append(asDefault, l.name)
		} else {
			others = append(others, l.name)
		}
	}
	if len(asDefault) > 0 {
		t.writeSiteAt(w, b, b.name, asDefault, true)
	}
	if len(others) == 0 {
		return
	}
	name := b.name
	if len(asDefault) > 0 {
		name += "-beside"
	}
	t.writeSiteAt(w, b, name, others, false)
}

// writeSiteAt writes a site for some of its listeners.
func (t *importer) writeSiteAt(w *lineWriter, b *siteServer, name string, listeners []string, isDefault bool) {
	line := w.writeLine("[[site]]")
	w.writeLine("name = %s", quoteTOML(name))
	w.writeLine("listeners = %s", quoteTOMLList(listeners))
	hosts := w.writeLine("hosts = %s", quoteTOMLList(b.hosts))
	if isDefault {
		w.writeLine("default = true")
	}
	t.outcomes.record(b.directive, Translated, line, "")
	for _, d := range b.names {
		t.outcomes.record(d, Translated, hosts, "")
	}
	t.writeSteps(w, "site.step", b.steps)
	t.writePages(w, "site.error", b.pages)
	if d := b.recursive; d != nil {
		if len(d.Args) == 1 && d.Args[0].Text == "off" {
			t.outcomes.record(d, Translated, line, "")
		} else {
			t.outcomes.record(d, Dropped, 0, "an error in an error page is not replaced by another error page")
		}
	}
	t.writeLocations(w, "site.location", b.locations)
	w.writeLine("")
}

// writeSteps writes the steps of a site or a location.
func (t *importer) writeSteps(w *lineWriter, table string, steps []stepPlan) {
	for _, s := range steps {
		line := w.writeLine("[[%s]]", table)
		for _, text := range s.lines {
			w.writeLine("%s", text)
		}
		if s.directive != nil {
			t.outcomes.record(s.directive, Translated, line, "")
		}
	}
}

// writeLocations writes locations, including the nested ones.
func (t *importer) writeLocations(w *lineWriter, table string, list []*locationPlan) {
	for _, p := range list {
		line := w.writeLine("[[%s]]", table)
		w.writeLine("name = %s", quoteTOML(p.name))
		w.writeLine("%s = %s", p.field, quoteTOML(p.path))
		if p.directive != nil {
			t.outcomes.record(p.directive, Translated, line, "")
		}
		if p.internal != nil {
			t.outcomes.record(p.internal, Translated, w.writeLine("internal = true"), "")
		}
		if p.proxy != nil {
			t.writeProxy(w, p, line)
		}
		t.writeSteps(w, table+".step", p.steps)
		t.writePages(w, table+".error", p.pages)
		t.writeLocations(w, table+".location", p.locations)
	}
}

// writeProxy writes how a location sends requests to its pool. line is the line of the location.
func (t *importer) writeProxy(w *lineWriter, p *locationPlan, line int) {
	x := p.proxy
	at := w.writeLine("pool = %s", quoteTOML(x.pool.name))
	w.writeLine("class = %s", quoteTOML(className("read", x.readTimeout)))
	w.writeLine("other = %s", quoteTOML(className("write", x.readTimeout)))
	t.outcomes.record(x.directive, Translated, at, "")
	if x.replace != "" {
		w.writeLine("replace = %s", quoteTOML(x.replace))
	}
	if x.target != "" {
		w.writeLine("target = %s", quoteTOML(x.target))
	}
	if p.maxBody > 0 {
		at = w.writeLine("max_body = \"%dB\"", p.maxBody)
	}
	if p.bodyDirective != nil {
		t.outcomes.record(p.bodyDirective, Translated, at, "")
	}
	if d := p.intercept; d != nil {
		if len(d.Args) == 1 && d.Args[0].Text == "on" {
			line = w.writeLine("intercept = true")
		}
		t.outcomes.record(d, Translated, line, "")
	}
	t.writeHeaders(w, x.headers)
}

// writeHeaders writes the headers of a location.
func (t *importer) writeHeaders(w *lineWriter, headers []headerPlan) {
	if len(headers) == 0 {
		return
	}
	w.writeLine("headers = [")
	for _, h := range headers {
		line := w.writeLine("    { name = %s, value = %s },", quoteTOML(h.name), quoteTOML(h.value))
		if h.directive != nil {
			t.outcomes.record(h.directive, Translated, line, "")
		}
	}
	w.writeLine("]")
}
