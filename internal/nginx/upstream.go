package nginx

import (
	"fmt"
	"net"
	"regexp"
	"strconv"
	"strings"
)

// importUpstream translates an upstream into a pool.
func (t *importer) importUpstream(d *Directive) {
	name := d.Args[0].Text
	if t.poolsByName[name] != nil {
		t.drop(d, "an earlier upstream has the same name")
		return
	}
	t.outcomes.record(d, Translated, 0, "")
	p := &poolPlan{name: name, directive: d}
	if !poolNamePattern.MatchString(name) {
		p.name = "pool-" + strconv.Itoa(len(t.pools)+1)
	}
	ids := map[string]int{}
	for _, k := range d.Body {
		switch k.Name {
		case "server":
			t.importUpstreamServer(p, k, ids)
		case "keepalive", "keepalive_timeout", "keepalive_requests", "keepalive_time":
			t.outcomes.record(k, Differs, 0, "idle connections are kept within the pool's idle_timeout and share of descriptors")
		case "zone":
			t.outcomes.record(k, Differs, 0, "the servers of a pool are shared by the whole process anyway")
		case "least_conn", "random", "least_time":
			t.outcomes.record(k, Differs, 0, "servers are chosen by credits, which take into account the open requests of each")
		case "hash", "ip_hash", "sticky":
			t.drop(k, "requests are not tied to servers by a key: make the servers share their state")
		default:
			t.drop(k, dropReason(k.Name))
		}
	}
	t.pools = append(t.pools, p)
	t.poolsByName[name] = p
	t.upstreams[name] = true
}

// poolNamePattern matches the names that a pool may have.
var poolNamePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,63}$`)

// importUpstreamServer translates a server of an upstream.
func (t *importer) importUpstreamServer(p *poolPlan, d *Directive, ids map[string]int) {
	if len(d.Args) == 0 {
		t.drop(d, "the address is missing")
		return
	}
	address, reason := serverAddress(d.Args[0].Text)
	if reason != "" {
		t.drop(d, reason)
		return
	}
	s := serverPlan{directive: d, address: address}
	if ids[address]++; ids[address] > 1 {
		s.id = fmt.Sprintf("%s-%d", address, ids[address])
	}
	t.outcomes.record(d, Translated, 0, "")
	t.recordHostLookup(d, address)
	for _, a := range d.Args[1:] {
		key, value, _ := strings.Cut(a.Text, "=")
		switch key {
		case "weight":
			if n, err := strconv.Atoi(value); err != nil || n < 1 {
				t.outcomes.record(d, Dropped, 0, a.Text+": the weight must be an integer of 1 or more")
				continue
			}
			s.weight = value
			t.outcomes.record(d, Differs, 0, "the weight applies until the server is measured: shares then follow its capacity")
		case "backup":
			s.backup = true
		case "down":
			s.down = true
		case "max_fails", "fail_timeout":
			t.outcomes.record(d, Differs, 0, a.Text+": the pool ejects a failing server by its own measurements, and probes it with single requests")
		case "max_conns":
			t.outcomes.record(d, Differs, 0, a.Text+": the open requests of a server are bounded by its measured capacity")
		default:
			t.outcomes.record(d, Differs, 0, a.Text+" has no counterpart")
		}
	}
	p.servers = append(p.servers, s)
}

// recordHostLookup records the difference for a server whose address is a name.
func (t *importer) recordHostLookup(d *Directive, address string) {
	if host, _, err := net.SplitHostPort(address); err == nil && net.ParseIP(host) == nil {
		t.outcomes.record(d, Differs, 0, host+" is looked up for each connection, not once at the start")
	}
}

// unixSocketReason is the reason why a server at a Unix socket is dropped.
const unixSocketReason = "servers at Unix sockets are not supported: have the server listen on a loopback address"

// serverAddress parses the address of a server, or returns the reason why it cannot be used. The default port is 80.
func serverAddress(text string) (address, reason string) {
	switch {
	case strings.HasPrefix(text, "unix:"):
		return "", unixSocketReason
	case strings.Contains(text, "$"):
		return "", "the address contains a variable"
	}
	host, port, err := net.SplitHostPort(text)
	if err != nil {
		host, port = strings.Trim(text, "[]"), "80"
	}
	if n, err := strconv.Atoi(port); err != nil || n < 1 || n > 65535 || host == "" || strings.ContainsAny(host, "/[] ") {
		return "", fmt.Sprintf("%q is not a server address: must be host or host:port", text)
	}
	return net.JoinHostPort(host, port), ""
}
