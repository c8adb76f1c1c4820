package nginx

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// writer writes lines and knows their numbers.
type writer struct {
	out  strings.Builder
	line int
}

// put writes one line and gives its number.
func (w *writer) put(format string, args ...any) int {
	fmt.Fprintf(&w.out, format+"\n", args...)
	w.line++
	return w.line
}

// text is a basic string of TOML (v1.0.0).
func text(s string) string {
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

func list(items []string) string {
	quoted := make([]string, len(items))
	for i, s := range items {
		quoted[i] = text(s)
	}
	return "[" + strings.Join(quoted, ", ") + "]"
}

// emit writes the plan and marks each directive with the first line that holds it.
func (t *translator) emit() string {
	w := &writer{}
	w.put("# Imported from nginx. The report of the import tells what differs and what was dropped.")
	w.put("# Classes: nginx has none. Requests of safe methods may be sent again, others only where none can have run. aim is a")
	w.put("# guess: the time in which an answer is wanted; give_up is proxy_read_timeout. Set both, and worth, by what you know.")
	w.put("")
	t.limits()
	if n := 16*len(t.pools)*3 + 256; n > 1024 { // each pool has 16 connections for itself, of the 0.4 that servers get
		w.put("[limits]")
		w.put("sockets = %d", n)
		w.put("")
	}
	for _, l := range t.listeners {
		t.listener(w, l)
	}
	for _, p := range t.pools {
		t.pool(w, p)
	}
	for _, b := range t.servers {
		t.site(w, b)
	}
	return w.out.String()
}

// limits gives each listener the largest body of its locations.
func (t *translator) limits() {
	var most func(list []*locationPlan) int64
	most = func(list []*locationPlan) (n int64) {
		for _, p := range list {
			size := p.bodySize
			if size == 0 {
				size = noLimit
			}
			if p.proxy == nil {
				size = 0
			}
			n = max(n, size, most(p.locations))
		}
		return n
	}
	for _, b := range t.servers {
		n := most(b.locations)
		for _, l := range b.listeners {
			l.body = max(l.body, n, defaultBody)
		}
	}
}

func (t *translator) listener(w *writer, l *listenerPlan) {
	line := w.put("[[listener]]")
	w.put("name = %s", text(l.name))
	w.put("address = %s", text(l.address))
	w.put("max_body = \"%dB\"", l.body)
	if l.cert != nil {
		at := w.put("certificate = %s", text(l.certificate))
		t.marks.set(l.cert, Carried, at, "")
		t.marks.set(l.keyFrom, Carried, w.put("key = %s", text(l.key)), "")
	}
	for _, d := range l.from {
		t.marks.set(d, Carried, line, "")
	}
	w.put("")
}

func (t *translator) pool(w *writer, p *poolPlan) {
	line := w.put("[[pool]]")
	w.put("name = %s", text(p.name))
	if p.from.Name == "upstream" { // a proxy_pass stands where its location does
		t.marks.set(p.from, Carried, line, "")
	}
	if p.from.Name == "upstream" && p.name != p.from.Args[0].Text {
		t.marks.set(p.from, Differs, line, "its name is none of a pool: the pool is "+p.name)
	}
	if len(p.users) == 0 {
		t.marks.set(p.from, Differs, line, "no location sends to it")
		p.reads, p.connect, p.attempts = []time.Duration{defaultTimeout}, defaultTimeout, mostAttempts
	}
	attempts := w.put("attempts = %d", p.attempts)
	// No longer than half of the shortest time to an answer, so that another server can be tried.
	p.connect = min(p.connect, time.Minute, max(slices.Min(p.reads)/2, time.Millisecond))
	connect := w.put("connect_timeout = %s", text(p.connect.String()))
	for _, u := range p.users {
		t.used(p, u, attempts, connect)
	}
	for _, read := range p.reads {
		for _, kind := range []struct{ name, effect string }{{"read", "safe"}, {"write", "unsafe"}} {
			w.put("[[pool.class]]")
			w.put("name = %s", text(className(kind.name, read)))
			w.put("aim = %s", text(min(read, mostAim).String()))
			at := w.put("give_up = %s", text(min(read, time.Hour).String()))
			w.put("effect = %s", text(kind.effect))
			for _, u := range p.users {
				if u.read != nil && u.readTime == read {
					t.marks.set(u.read, Differs, at, "it bounds the time to the answer, of all attempts together, not the time between two reads")
				}
			}
		}
	}
	for _, s := range p.servers {
		at := w.put("[[pool.server]]")
		w.put("address = %s", text(s.address))
		if s.id != "" {
			w.put("id = %s", text(s.id))
		}
		if s.weight != "" {
			w.put("weight = %s", s.weight)
		}
		if s.backup {
			w.put("backup = true")
		}
		if s.down {
			w.put(`state = "draining"`)
		}
		if s.from.Name == "server" {
			t.marks.set(s.from, Carried, at, "")
		}
	}
	w.put("")
}

// used marks the settings of a user of a pool.
func (t *translator) used(p *poolPlan, u *settings, attempts, connect int) {
	if u.connect != nil {
		t.marks.set(u.connect, Carried, connect, "")
		if u.connectTime != p.connect {
			t.marks.set(u.connect, Differs, connect, "a pool has one, half of its shortest proxy_read_timeout at most: "+p.connect.String())
		}
	}
	if u.next != nil {
		t.marks.set(u.next, Differs, attempts, "what may be sent again follows the class: safe requests after any failure, others only where none can have run")
		for _, a := range u.next.Args {
			if a.Text == "non_idempotent" {
				t.marks.set(u.next, Differs, attempts, "non_idempotent is not carried: it would send again what may have run")
			}
		}
	}
	if u.tries != nil {
		t.marks.set(u.tries, Carried, attempts, "")
		if u.attempts != p.attempts || u.tries.Args[0].Text != fmt.Sprint(p.attempts) {
			t.marks.set(u.tries, Differs, attempts, fmt.Sprintf("a pool has one number of attempts, %d at most: %d", mostAttempts, p.attempts))
		}
	}
	if u.nextTime != nil {
		t.marks.set(u.nextTime, Differs, attempts, "attempts are begun while the class's give_up allows")
	}
}

func (t *translator) site(w *writer, b *serverBlock) {
	// A site is the default of all its listeners or of none: one that is both is written twice.
	beside := slices.ContainsFunc(b.listeners, func(l *listenerPlan) bool { return l.first == b })
	for _, first := range []bool{true, false} {
		var names []string
		for _, l := range b.listeners {
			if (l.first == b) == first {
				names = append(names, l.name)
			}
		}
		if len(names) == 0 {
			continue
		}
		line := w.put("[[site]]")
		name := b.name
		if !first && beside {
			name += "-beside"
		}
		w.put("name = %s", text(name))
		w.put("listeners = %s", list(names))
		hosts := w.put("hosts = %s", list(b.hosts))
		if first {
			w.put("default = true")
		}
		t.marks.set(b.from, Carried, line, "")
		for _, d := range b.names {
			t.marks.set(d, Carried, hosts, "")
		}
		t.steps(w, "site.step", b.steps)
		t.pages(w, "site.error", b.pages)
		if d := b.recursive; d != nil {
			if len(d.Args) == 1 && d.Args[0].Text == "off" {
				t.marks.set(d, Carried, line, "")
			} else {
				t.marks.set(d, Dropped, 0, "what stands in for an error is not replaced in its turn")
			}
		}
		t.locations(w, "site.location", b.locations)
		w.put("")
	}
}

func (t *translator) steps(w *writer, table string, steps []stepPlan) {
	for _, s := range steps {
		line := w.put("[[%s]]", table)
		for _, text := range s.lines {
			w.put("%s", text)
		}
		if s.from != nil {
			t.marks.set(s.from, Carried, line, "")
		}
	}
}

func (t *translator) locations(w *writer, table string, list []*locationPlan) {
	for _, p := range list {
		line := w.put("[[%s]]", table)
		w.put("name = %s", text(p.name))
		w.put("%s = %s", p.field, text(p.path))
		if p.from != nil {
			t.marks.set(p.from, Carried, line, "")
		}
		if p.internal != nil {
			t.marks.set(p.internal, Carried, w.put("internal = true"), "")
		}
		if x := p.proxy; x != nil {
			at := w.put("pool = %s", text(x.pool.name))
			w.put("class = %s", text(className("read", x.read)))
			w.put("other = %s", text(className("write", x.read)))
			t.marks.set(x.from, Carried, at, "")
			if x.replace != "" {
				w.put("replace = %s", text(x.replace))
			}
			if x.target != "" {
				w.put("target = %s", text(x.target))
			}
			if p.bodySize > 0 {
				at = w.put("max_body = \"%dB\"", p.bodySize)
			}
			if p.body != nil {
				t.marks.set(p.body, Carried, at, "")
			}
			if d := p.intercept; d != nil {
				at := line
				if len(d.Args) == 1 && d.Args[0].Text == "on" {
					at = w.put("intercept = true")
				}
				t.marks.set(d, Carried, at, "")
			}
			for i, h := range x.headers {
				if i == 0 {
					w.put("headers = [")
				}
				at := w.put("    { name = %s, value = %s },", text(h.name), text(h.value))
				if h.from != nil {
					t.marks.set(h.from, Carried, at, "")
				}
			}
			if len(x.headers) > 0 {
				w.put("]")
			}
		}
		t.steps(w, table+".step", p.steps)
		t.pages(w, table+".error", p.pages)
		t.locations(w, table+".location", p.locations)
	}
}
