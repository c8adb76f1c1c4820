package route

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// newRequest returns a request from a line "METHOD host/path?query" and headers.
func newRequest(t testing.TB, line string, headers ...string) *Request {
	t.Helper()
	method, rest, _ := strings.Cut(line, " ")
	target, query, _ := strings.Cut(rest, "?")
	host, path, _ := strings.Cut(target, "/")
	name, err := NormalizeHost(host)
	if err != nil {
		t.Fatalf("%s: %v", line, err)
	}
	p, err := Normalize("/" + path)
	if err != nil {
		t.Fatalf("%s: %v", line, err)
	}
	r := &Request{Method: method, Host: name, Path: &p, Query: query, Header: http.Header{}}
	for _, h := range headers {
		k, v, _ := strings.Cut(h, ": ")
		r.Header.Add(k, v)
	}
	return r
}

// compile compiles rules, and fails the test if there are errors.
func compile(t testing.TB, rules ...Rule) *Table {
	t.Helper()
	table, errs := Compile(rules)
	for _, err := range errs {
		t.Error(err)
	}
	if t.Failed() {
		t.FailNow()
	}
	return table
}

func TestPrecedence(t *testing.T) {
	rules := []Rule{
		{Name: "root", Path: "/"},
		{Name: "api", Path: "/api"},
		{Name: "api-v1", Path: "/api/v1"},
		{Name: "api-get", Path: "/api", Methods: []string{"GET"}},
		{Name: "api-beta", Path: "/api", Headers: []Condition{{Name: "x-beta", Value: "1"}}},
		{Name: "exact", Path: "/api/v1/only", Kind: Exact},
		{Name: "numbers", Path: `/api/v1/[0-9]+`, Kind: Regexp},
		{Name: "numbers-first", Path: `/api/v1/1.*`, Kind: Regexp, Priority: 1},
		{Name: "wild", Host: "*.example.org", Path: "/"},
		{Name: "wilder", Host: "*.shop.example.org", Path: "/"},
		{Name: "host", Host: "Shop.Example.org", Path: "/"},
		{Name: "host-api", Host: "shop.example.org", Path: "/api", Query: []Condition{{Name: "v", Value: "2"}}},
		{Name: "traced", Path: "/q", Query: []Condition{{Name: "trace", Kind: Present}}},
		{Name: "untraced", Path: "/q", Query: []Condition{{Name: "trace", Kind: Absent}}},
	}
	reversed := make([]Rule, len(rules))
	for i, r := range rules {
		reversed[len(rules)-1-i] = r
	}
	for i, table := range []*Table{compile(t, rules...), compile(t, reversed...)} {
		for _, c := range []struct {
			want, line string
			headers    []string
		}{
			{"root", "GET x/", nil},
			{"root", "GET x/apis", nil},
			{"api-get", "GET x/api", nil},
			{"api-get", "GET x/api/", nil},
			{"api-get", "GET x/%61pi", nil},
			{"api-get", "GET x/api;v=1/x", nil},
			{"api-get", "GET x//api//x", nil},
			{"api-get", "GET x/other/../api/x", nil},
			{"api-get", "GET x/other/..;a=b/api/x", nil},
			{"api-get", "GET x/%2e%2E/api", nil},
			{"api", "POST x/api", nil},
			{"api-beta", "POST x/api", []string{"X-Beta: 1"}},
			{"api-get", "GET x/api", []string{"X-Beta: 1"}},
			{"api", "POST x/api", []string{"X-Beta: 1", "X-Beta: 1"}},
			{"api-v1", "GET x/api/v1/x", nil},
			{"exact", "GET x/api/v1/only", nil},
			{"api-v1", "GET x/api/v1/only/", nil},
			{"numbers", "GET x/api/v1/23", nil},
			{"api-v1", "GET x/api/v1/23/4", nil},
			{"numbers-first", "GET x/api/v1/13", nil},
			{"wild", "GET a.example.org:8080/api", nil},
			{"wilder", "GET a.b.shop.example.org/api", nil},
			{"root", "GET example.org/", nil},
			{"host", "GET SHOP.example.org.:443/api", nil},
			{"host-api", "GET shop.example.org/api/x?a=1&v=%32", nil},
			{"host", "GET shop.example.org/api/x?v=2&v=2", nil},
			{"traced", "GET x/q?trace", nil},
			{"untraced", "GET x/q?a=b", nil},
		} {
			got := table.Match(newRequest(t, c.line, c.headers...))
			if got == nil || got.Name != c.want {
				t.Errorf("table %d: %s %v matches %v, want %s", i, c.line, c.headers, got, c.want)
			}
		}
	}
	if got := compile(t, Rule{Name: "a", Path: "/a"}).Match(newRequest(t, "GET x/b")); got != nil {
		t.Errorf("a path without a route matches %s", got.Name)
	}
}

// Compile must report all errors, each with its route and field.
func TestCompileReportsAllErrors(t *testing.T) {
	eq := func(name, value string) []Condition { return []Condition{{Name: name, Value: value}} }
	for _, c := range []struct {
		name  string
		rules []Rule
		want  []string // route, field and a part of the text
	}{
		{"no name", []Rule{{}}, []string{"0 name missing"}},
		{"name twice", []Rule{{Name: "a"}, {Name: "a", Path: "/b"}}, []string{"1 name already"}},
		{"host", []Rule{{Name: "a", Host: "a b"}, {Name: "b", Host: "x:80"}, {Name: "c", Host: "*.*.x"}},
			[]string{"0 host name", "1 host port", "2 host name"}},
		{"path", []Rule{{Name: "a", Path: "b"}, {Name: "b", Path: "/%zz"}, {Name: "c", Path: "/x;y"}},
			[]string{"0 path begin", "1 path percent", "2 path ;"}},
		{"expression", []Rule{{Name: "a", Path: "(", Kind: Regexp}, {Name: "b", Path: ")|(", Kind: Regexp}}, []string{"0 path missing", "1 path unexpected"}},
		{"long expression", []Rule{{Name: "a", Path: strings.Repeat("a", MaxPatternBytes+1), Kind: Regexp}}, []string{"0 path bytes"}},
		{"expression with too many instructions", []Rule{{Name: "a", Path: strings.Repeat("[a-z]{0,900}", 8), Kind: Regexp}, {Name: "b", Path: "/ok"}}, []string{"0 path instructions"}},
		{"method", []Rule{{Name: "a", Methods: []string{"get"}}, {Name: "b", Path: "/b", Methods: []string{"GET", "GET"}}},
			[]string{"0 methods capital", "1 methods twice"}},
		{"conditions", []Rule{{Name: "a", Headers: append(eq("x", "1"), eq("X", "2")...)}, {Name: "b", Path: "/b", Headers: eq("Host", "x")},
			{Name: "c", Path: "/c", Query: eq("", "x")}}, []string{"0 headers two", "1 headers Host", "2 query name"}},
		{"rewrite", []Rule{{Name: "a", Path: "/a", Kind: Exact, Rewrite: Rewrite{Strip: true}}, {Name: "b", Path: "/b", Rewrite: Rewrite{Replace: "/x"}},
			{Name: "c", Path: "/c", Rewrite: Rewrite{Strip: true, Replace: "/a/../b"}}}, []string{"0 rewrite prefix", "1 rewrite needs", "2 rewrite spelling"}},
		{"answer", []Rule{{Name: "a", Pool: "p", Answer: &Answer{Status: 200}}, {Name: "b", Path: "/b", Answer: &Answer{Status: 99}},
			{Name: "c", Path: "/c", Answer: &Answer{Status: 301}}, {Name: "d", Path: "/d", Answer: &Answer{Status: 302, Location: "/{x}"}},
			{Name: "e", Path: "/e", Answer: &Answer{Status: 204, Body: "x"}}},
			[]string{"0 answer not both", "1 answer 99", "2 answer location", "3 answer placeholders", "4 answer no body"}},
		{"equal precedence", []Rule{{Name: "a", Path: "/a"}, {Name: "b", Path: "/a/"}}, []string{"1 priority decides"}},
		{"equal precedence with overlapping methods", []Rule{{Name: "a", Path: "/a", Methods: []string{"GET", "PUT"}}, {Name: "b", Path: "/a", Methods: []string{"PUT"}}}, []string{"1 priority decides"}},
		{"equal precedence with different conditions", []Rule{{Name: "a", Headers: eq("x", "1")}, {Name: "b", Headers: eq("y", "1")}}, []string{"1 priority decides"}},
		{"expressions", []Rule{{Name: "a", Path: "/a.*", Kind: Regexp}, {Name: "b", Path: "/.*b", Kind: Regexp}}, []string{"1 priority decides"}},
		{"hidden by priority", []Rule{{Name: "a", Path: "/a", Methods: []string{"GET"}}, {Name: "b", Path: "/a", Priority: 1}}, []string{"0 path unreachable"}},
		{"hidden by an expression", []Rule{{Name: "a", Path: "/a/b"}, {Name: "b", Path: "/a.*", Kind: Regexp}, {Name: "c", Path: "/b"}}, []string{"0 path unreachable"}},
		{"hidden expression", []Rule{{Name: "a", Path: "/a/b.*", Kind: Regexp}, {Name: "b", Path: "/a.*", Kind: Regexp, Priority: 2}}, []string{"0 path unreachable"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, errs := Compile(c.rules)
			if len(errs) != len(c.want) {
				t.Fatalf("errors %v, want %q", errs, c.want)
			}
			for i, err := range errs {
				index, word, _ := strings.Cut(c.want[i], " ")
				field, word, _ := strings.Cut(word, " ")
				if fmt.Sprint(err.Rule) != index || err.Field != field || !strings.Contains(err.Error(), word) {
					t.Errorf("error %v, want %q", err, c.want[i])
				}
			}
		})
	}
	// Rules that look like conflicts but are not.
	compile(t,
		Rule{Name: "a", Path: "/a", Headers: eq("x", "1")}, Rule{Name: "b", Path: "/a", Headers: eq("x", "2")},
		Rule{Name: "c", Path: "/a", Methods: []string{"GET"}}, Rule{Name: "d", Path: "/a", Methods: []string{"PUT"}},
		Rule{Name: "e", Path: "/a", Host: "*.b.c"}, Rule{Name: "f", Path: "/a", Host: "*.c"}, Rule{Name: "g", Path: "/.*x", Kind: Regexp, Methods: []string{"PUT"}},
	)
}

func TestNormalize(t *testing.T) {
	for _, c := range []struct {
		raw, match, out string
		err             error
	}{
		{"/", "/", "/", nil},
		{"/a/b/", "/a/b/", "/a/b/", nil},
		{"//a///b", "/a/b", "/a/b", nil},
		{"/a/./b/../c/.", "/a/c/", "/a/c/", nil},
		{"/../../a/..", "/", "/", nil},
		{"/a/..b/.c/...", "/a/..b/.c/...", "/a/..b/.c/...", nil},
		{"/%7Euser/%41%e4%bc%9a", "/~user/A会", "/~user/A%E4%BC%9A", nil},
		{"/会 x", "/会 x", "/%E4%BC%9A%20x", nil},
		{"/a;p=1/b;q", "/a/b", "/a;p=1/b;q", nil},
		{"/a%3Bp/b", "/a/b", "/a%3Bp/b", nil},
		{"/a/..;p/b", "/b", "/b", nil},
		{"/a/%2e%2e/b", "/b", "/b", nil},
		{"/100%25", "/100%", "/100%25", nil},
		{"/%252e%252e/x", "/%2e%2e/x", "/%252e%252e/x", nil},
		{"/a%2Fb", "", "", ErrPathSlash},
		{"/a%5cb", "", "", ErrPathSlash},
		{`/a\..\b`, "", "", ErrPathSlash},
		{"/a%", "", "", ErrPathEscape},
		{"/%g1", "", "", ErrPathEscape},
		{"/a%00b", "", "", ErrPathControl},
		{"/a\x7f", "", "", ErrPathControl},
		{"/;x/a", "", "", ErrPathForm},
		{"a", "", "", ErrPathForm},
		{"", "", "", ErrPathForm},
	} {
		p, err := Normalize(c.raw)
		if p.Match != c.match || p.Raw != c.out || !errors.Is(err, c.err) {
			t.Errorf("%q: %+v, %v, want %q, %q, %v", c.raw, p, err, c.match, c.out, c.err)
		}
	}
	for host, want := range map[string]string{"A.b:80": "a.b", "a.": "a", "[::1]:8": "::1", "127.0.0.1": "127.0.0.1", "": ""} {
		if got, err := NormalizeHost(host); got != want || err != nil {
			t.Errorf("host %q: %q, %v, want %q", host, got, err, want)
		}
	}
	for _, host := range []string{"a b", "a:b", "a:123456", "[::1", "[x]", "a..b", ".a", "a/b", "a@b", "[::1]x"} {
		if got, err := NormalizeHost(host); err == nil {
			t.Errorf("host %q: %q, want an error", host, got)
		}
	}
}

func TestRewrite(t *testing.T) {
	for _, c := range []struct{ prefix, replace, raw, want string }{
		{"/a", "", "/a", "/"},
		{"/a", "", "/a/", "/"},
		{"/a", "", "/a/b;p/c", "/b;p/c"},
		{"/a/", "/x", "/a/b", "/x/b"},
		{"/a/b", "/x/", "/a/b/c", "/x/c"},
		{"/a/b", "/x", "/a;q/b/c/", "/x/c/"},
		{"/a", "/x/y", "/a", "/x/y"},
		{"/", "/x", "/a", "/x/a"},
	} {
		table := compile(t, Rule{Name: "r", Path: c.prefix, Rewrite: Rewrite{Strip: true, Replace: c.replace}})
		r := newRequest(t, "GET x"+c.raw)
		if got := table.Match(r).Rewritten(r.Path); got != c.want {
			t.Errorf("%s -> %q of %s: %s, want %s", c.prefix, c.replace, c.raw, got, c.want)
		}
	}
	a := Answer{Status: 301, Location: "https://{host}{path}{query}"}
	if got := a.Redirect(newRequest(t, "GET X.org/a/../b?c=d")); got != "https://x.org/b?c=d" {
		t.Errorf("location %s", got)
	}
}

// FuzzNormalize checks that the normal form is stable, that Match has no dot segments or empty segments, and that Raw has only
// bytes that may be in a path.
func FuzzNormalize(f *testing.F) {
	for _, s := range []string{"/", "/a//b/./../c;x=1/%2e%2e;/d%20", "/%3b", "/a%2fb", "/é/..", "/a;/..;x/", "/%25", "//"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, raw string) {
		p, err := Normalize(raw)
		if err != nil {
			return
		}
		again, err := Normalize(p.Raw)
		if err != nil || again != p {
			t.Fatalf("%q -> %+v -> %+v, %v", raw, p, again, err)
		}
		if len(p.Raw) > 3*len(raw)+1 || len(p.Match) > len(raw)+1 {
			t.Fatalf("%q grows to %+v", raw, p)
		}
		segments := strings.Split(p.Match[1:], "/")
		for i, s := range segments {
			if s == "." || s == ".." || s == "" && i < len(segments)-1 {
				t.Fatalf("%q -> %+v has the segment %q", raw, p, s)
			}
		}
		for _, c := range []byte(p.Raw) {
			if c <= ' ' || c >= 0x7f || c == '\\' || c == '?' || c == '#' {
				t.Fatalf("%q -> %+v has the byte %q", raw, p, c)
			}
		}
	})
}
