package vhost

import (
	"fmt"
	"regexp"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Reference implementation: follows the documentation of nginx step by step, without indexes.

func referenceServer(servers []Server, host string) *Server {
	longest := func(matches func(name string) bool) *Server {
		var best *Server
		length := -1
		for i := range servers {
			for _, n := range servers[i].Hosts {
				if len(n) > length && matches(n) {
					best, length = &servers[i], len(n)
				}
			}
		}
		return best
	}
	if s := longest(func(n string) bool { return n == host }); s != nil { // 1. the exact name
		return s
	}
	if s := longest(func(n string) bool { // 2. the longest wildcard name starting with an asterisk
		return strings.HasPrefix(n, "*.") && strings.HasSuffix(host, n[1:])
	}); s != nil {
		return s
	}
	if s := longest(func(n string) bool { // 3. the longest wildcard name ending with an asterisk
		return strings.HasSuffix(n, ".*") && strings.HasPrefix(host, n[:len(n)-1])
	}); s != nil {
		return s
	}
	for i := range servers { // 4. the first regular expression, in order of appearance
		for _, n := range servers[i].Hosts {
			if n[0] == '~' && regexp.MustCompile(n[1:]).MatchString(host) {
				return &servers[i]
			}
		}
	}
	for i := range servers {
		if servers[i].Default {
			return &servers[i]
		}
	}
	return &servers[0]
}

func referenceLocation(list []Location, path string) *Location {
	l, _ := searchReference(list, path)
	return l
}

func searchReference(list []Location, path string) (found *Location, final bool) {
	for i := range list {
		if list[i].Kind == Equals && list[i].Path == path {
			return &list[i], true
		}
	}
	var remembered *Location
	for i := range list {
		l := &list[i]
		if (l.Kind == Begins || l.Kind == BeginsOnly) && strings.HasPrefix(path, l.Path) && (remembered == nil || len(l.Path) > len(remembered.Path)) {
			remembered = l
		}
	}
	found = remembered
	if remembered != nil {
		if inner, final := searchReference(remembered.Within, path); inner != nil {
			if found = inner; final {
				return found, true
			}
		}
		if remembered.Kind == BeginsOnly {
			return found, false
		}
	}
	for i := range list {
		l := &list[i]
		text := l.Path
		if l.Kind == MatchesAny {
			text = "(?i)" + text
		}
		if l.Kind.isRegexp() && regexp.MustCompile(text).MatchString(path) {
			if inner, _ := searchReference(l.Within, path); inner != nil {
				return inner, true
			}
			return l, true
		}
	}
	return found, false
}

// mustCompile compiles servers, and fails the test if there are errors.
func mustCompile(t interface{ Fatalf(string, ...any) }, servers []Server) *Table {
	table, errs := Compile(servers)
	if len(errs) > 0 {
		t.Fatalf("%v", errs)
	}
	return table
}

// decideGET returns the outcome of a GET request.
func decideGET(t *Table, host, path string) Outcome {
	return t.Decide(&Request{Method: "GET", Host: host, Path: path, Raw: path, Header: func(string) string { return "" }})
}

var pieces = []string{"/", "a", "b", "/a", "/b", "ab", ".gif", "A"}

func drawPath(t *rapid.T) string {
	return "/" + strings.Join(rapid.SliceOfN(rapid.SampledFrom(pieces), 0, 5).Draw(t, "path"), "")
}

func drawLocations(t *rapid.T, depth int, number *int, enclosing string) []Location {
	var list []Location
	seen := map[string]bool{}
	for range rapid.IntRange(0, 6-depth).Draw(t, "locations") {
		*number++
		l := Location{Name: fmt.Sprint("l", *number), Kind: Kind(rapid.IntRange(0, 4).Draw(t, "kind")), Do: &Action{Pool: "p"}}
		switch {
		case l.Kind.isRegexp():
			l.Path = rapid.SampledFrom([]string{`\.gif$`, `^/a`, `b`, `^/(a|b)/`, `A`, `/a/b$`}).Draw(t, "expression")
		default:
			l.Path = enclosing + strings.TrimPrefix(drawPath(t), "/")
			if enclosing == "" {
				l.Path = "/" + l.Path
			}
			kind := fmt.Sprint(l.Kind == Equals, l.Path)
			if seen[kind] {
				continue
			}
			seen[kind] = true
		}
		if l.Kind != Equals && depth < 3 {
			prefix := enclosing
			if !l.Kind.isRegexp() {
				prefix = l.Path
			}
			l.Within = drawLocations(t, depth+1, number, prefix)
		}
		list = append(list, l)
	}
	return list
}

func TestLocationsAgainstReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		number := 0
		servers := []Server{{Name: "s", Locations: drawLocations(t, 0, &number, "")}}
		table := mustCompile(t, servers)
		for range 20 {
			path := drawPath(t)
			want := ""
			if l := referenceLocation(servers[0].Locations, path); l != nil {
				want = l.Name
			}
			if got := decideGET(table, "h", path).Location; got != want {
				t.Fatalf("%q: %q, want %q of %+v", path, got, want, servers[0].Locations)
			}
		}
	})
}

func TestServersAgainstReference(t *testing.T) {
	labels := []string{"a", "b", "c", "example", "org"}
	rapid.Check(t, func(t *rapid.T) {
		host := func(most int) string {
			return strings.Join(rapid.SliceOfN(rapid.SampledFrom(labels), 1, most).Draw(t, "host"), ".")
		}
		seen := map[string]bool{}
		var servers []Server
		for i := range rapid.IntRange(1, 6).Draw(t, "servers") {
			s := Server{Name: fmt.Sprint("s", i), Default: i == 1}
			for range rapid.IntRange(0, 4).Draw(t, "names") {
				name := host(3)
				switch rapid.IntRange(0, 3).Draw(t, "form") {
				case 1:
					name = "*." + name
				case 2:
					name += ".*"
				case 3:
					name = rapid.SampledFrom([]string{`~^a\.`, `~b`, `~\.org$`, `~^(?<label>.+)\.example$`}).Draw(t, "expression")
				}
				if !seen[name] {
					seen[name] = true
					s.Hosts = append(s.Hosts, name)
				}
			}
			servers = append(servers, s)
		}
		table := mustCompile(t, servers)
		for range 20 {
			name := host(4)
			if got, want := decideGET(table, name, "/").Server, referenceServer(servers, name).Name; got != want {
				t.Fatalf("%q: %q, want %q of %+v", name, got, want, servers)
			}
		}
	})
}

// The examples in the documentation of nginx for location, and examples of nested locations.
func TestDocumentedLocations(t *testing.T) {
	table := mustCompile(t, []Server{{Name: "s", Locations: []Location{
		{Name: "A", Kind: Equals, Path: "/"},
		{Name: "B", Kind: Begins, Path: "/"},
		{Name: "C", Kind: Begins, Path: "/documents/", Within: []Location{
			{Name: "C-gif", Kind: Matches, Path: `\.gif$`},
			{Name: "C-deep", Kind: Begins, Path: "/documents/deep/"},
		}},
		{Name: "D", Kind: BeginsOnly, Path: "/images/", Within: []Location{{Name: "D-png", Kind: Matches, Path: `\.png$`}}},
		{Name: "E", Kind: MatchesAny, Path: `\.(gif|jpg|jpeg)$`, Within: []Location{{Name: "E-x", Kind: Matches, Path: "^/x/"}}},
	}}})
	for path, want := range map[string]string{
		"/": "A", "/index.html": "B", "/documents/document.html": "C", "/images/1.gif": "D", "/documents/1.jpg": "E",
		"/documents/1.gif": "C-gif", "/documents/1.GIF": "E", "/documents/deep/x": "C-deep", "/documents/deep/1.jpg": "E",
		"/images/1.png": "D-png", "/x/1.jpg": "E-x", "/documents": "B",
	} {
		if got := decideGET(table, "h", path).Location; got != want {
			t.Errorf("%s: %q, want %q", path, got, want)
		}
	}
}

// Checks the target of requests that are sent to a server, and the fixed responses of others.
func TestOutcomes(t *testing.T) {
	table := mustCompile(t, []Server{{
		Name: "s", Hosts: []string{`~^(?<shop>\w+)\.example$`},
		Steps: []Step{
			{Match: "^/old/(.*)$", To: "/new/{1}", Then: Moved},
			{Match: "^/moved/(.*)$", To: "/kept/{1}?from=moved", Then: Last},
			{Match: "^/bare/", To: "/kept/?", Then: Last},
			{Match: "^/circle", To: "/spin/a", Then: Last},
		},
		Locations: []Location{
			{Name: "kept", Path: "/kept/", Do: &Action{Pool: "p", Class: "read", Other: "write", Replace: "/v2/"}},
			{Name: "as it came", Path: "/raw/", Do: &Action{Pool: "p", Headers: []Header{{"X-Shop", "{shop}"}, {"X-Forwarded-For", "{forwarded}"}, {"Via", ""}}}},
			{Name: "captured", Kind: Matches, Path: `^/item/(\d+)/(.*)$`, Do: &Action{Pool: "p", Target: "/i/{2}/{1}{?query}"}},
			{Name: "spins", Path: "/spin/", Steps: []Step{{Match: "^/spin/(.*)$", To: "/spin/{1}a", Then: Last}}, Do: &Action{Pool: "p"}},
			{Name: "breaks", Path: "/break/", Steps: []Step{{Match: "^/break/(.*)$", To: "/done/{1}", Then: Break}, {Answer: Answer{Status: 500}}}, Do: &Action{Pool: "p", Replace: "/unused/"}},
			{Name: "stops", Path: "/stop/", Steps: []Step{{Stop: true}, {Answer: Answer{Status: 500}}}, Do: &Action{Pool: "p"}},
			{Name: "answers", Path: "/gone/", Steps: []Step{{Answer: Answer{Status: 410, Body: "no {path} at {host}, {{sorry}"}}}},
			{Name: "redirects", Path: "/away/", Steps: []Step{{Answer: Answer{Status: 307, Location: "https://{host}{raw}"}}}},
			{Name: "nothing", Path: "/nothing/"},
		},
	}})
	for _, c := range []struct{ method, path, raw, query, want string }{
		{"GET", "/kept/a b;c", "/kept/a%20b;c", "", "p read /v2/a%20b;c"},
		{"POST", "/kept/x", "/kept/x?q=1", "q=1", "p write /v2/x?q=1"},
		{"GET", "/moved/x", "/moved/x?q=1", "q=1", "p read /v2/x?from=moved&q=1"},
		{"GET", "/bare/x", "/bare/x?q=1", "q=1", "p read /v2/"},
		{"GET", "/old/a b", "/old/a%20b?q", "q", "301 /new/a%20b?q"},
		{"GET", "/raw/a", "/raw//%61?q=%20", "q=%20", "p  /raw//%61?q=%20 X-Shop=deli X-Forwarded-For=1.2.3.4, 9.9.9.9 Via="},
		{"GET", "/item/7/a ?b", "/item/7/a%20%3Fb?q=1", "q=1", "p  /i/a%20%3Fb/7?q=1"},
		{"GET", "/circle", "/circle", "", "500 "},
		{"GET", "/break/x", "/break/x", "", "p  /done/x"},
		{"GET", "/stop/x", "/stop/x", "", "p  /stop/x"},
		{"GET", "/gone/x", "/gone/x", "", "410  no /gone/x at deli.example, {sorry}"},
		{"GET", "/away/x", "/away/x?a", "a", "307 https://deli.example/away/x?a"},
		{"GET", "/nothing/", "/nothing/", "", "404 "},
		{"GET", "/elsewhere", "/elsewhere", "", "404 "},
	} {
		out := table.Decide(&Request{
			Method: c.method, Host: "deli.example", Path: c.path, Raw: c.raw, Query: c.query, Caller: "9.9.9.9", Scheme: "http",
			Header: func(name string) string { return map[string]string{"X-Forwarded-For": "1.2.3.4"}[name] },
		})
		got := ""
		if a := out.Answer; a != nil {
			got = fmt.Sprint(a.Status, " ", a.Location)
			if a.Body != "" {
				got += " " + a.Body
			}
		} else {
			got = fmt.Sprint(out.Do.Pool, " ", out.Class, " ", out.Target)
			for _, h := range out.Headers {
				got += " " + h.Name + "=" + h.Value
			}
		}
		if got != c.want {
			t.Errorf("%s %s: %q, want %q", c.method, c.raw, got, c.want)
		}
	}
}

func TestCompileErrors(t *testing.T) {
	for _, c := range []struct {
		want    string
		servers []Server
	}{
		{"name", []Server{{Name: "s"}, {Name: "s"}}},
		{"name", []Server{{Name: "s", Locations: []Location{{Name: "l", Path: "/"}, {Name: "l", Path: "/b"}}}}},
		{"path", []Server{{Name: "s", Locations: []Location{{Name: "a", Path: "/"}, {Name: "b", Kind: BeginsOnly, Path: "/"}}}}},
		{"path", []Server{{Name: "s", Locations: []Location{{Name: "a"}}}}},
		{"path", []Server{{Name: "s", Locations: []Location{{Name: "a", Kind: Matches, Path: `(?=x)`}}}}},
		{"path", []Server{{Name: "s", Locations: []Location{{Name: "a", Kind: Matches, Path: strings.Repeat("x", MaxPatternBytes+1)}}}}},
		{"hosts", []Server{{Name: "s", Hosts: []string{"a"}}, {Name: "t", Hosts: []string{"A"}}}},
		{"hosts", []Server{{Name: "s", Hosts: []string{"a.*.b"}}}},
		{"hosts", []Server{{Name: "s", Hosts: []string{`~(`}}}},
		{"default", []Server{{Name: "s", Default: true}, {Name: "t", Default: true}}},
		{"step[0]", []Server{{Name: "s", Steps: []Step{{Match: "("}}}}},
		{"step[0]", []Server{{Name: "s", Steps: []Step{{}}}}},
		{"step[0]", []Server{{Name: "s", Steps: []Step{{Match: "x", To: "{nosuch:}"}}}}},
		{"step[0]", []Server{{Name: "s", Steps: []Step{{Answer: Answer{Status: 301}}}}}},
		{"replace", []Server{{Name: "s", Locations: []Location{{Name: "a", Kind: Matches, Path: "x", Do: &Action{Replace: "/"}}}}}},
		{"replace", []Server{{Name: "s", Locations: []Location{{Name: "a", Path: "/", Do: &Action{Replace: "x"}}}}}},
		{"target", []Server{{Name: "s", Locations: []Location{{Name: "a", Path: "/", Do: &Action{Target: "{"}}}}}},
		{"headers[0]", []Server{{Name: "s", Locations: []Location{{Name: "a", Path: "/", Do: &Action{Headers: []Header{{"x-y", ""}}}}}}}},
	} {
		if table, errs := Compile(c.servers); len(errs) != 1 || errs[0].Field != c.want || table != nil {
			t.Errorf("%+v: %v, want one error of field %s", c.servers, errs, c.want)
		}
	}
}

// BenchmarkDecide measures how the cost of a decision depends on the number of locations. It should hardly depend on it.
func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{10, 1000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var list []Location
			for i := range n {
				list = append(list, Location{Name: fmt.Sprint("l", i), Path: fmt.Sprintf("/shop/%d/items/", i), Do: &Action{Pool: "p"}})
			}
			table := mustCompile(b, []Server{{Name: "s", Locations: list}})
			r := &Request{Method: "GET", Host: "h", Path: fmt.Sprintf("/shop/%d/items/x", n/2), Raw: "/", Header: func(string) string { return "" }}
			b.ReportAllocs()
			for b.Loop() {
				if table.Decide(r).Location == "" {
					b.Fatal("no location")
				}
			}
		})
	}
}
