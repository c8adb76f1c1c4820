package sidecar

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"milletmast/internal/fakeserver"
)

const errorSiteText = `
[[site]]
name = "s"
[[site.error]]
codes = [502, 504]
named = "spare"
own_status = true
[[site.location]]
name = "shop"
begins = "/shop"
pool = "p"
class = "read"
other = "pay"
[[site.location]]
name = "paged"
begins = "/paged"
pool = "p"
class = "read"
other = "pay"
intercept = true
max_body = "1KiB"
[[site.location.error]]
codes = [502, 503, 504, 404]
page = "/sorry?of={path}"
[[site.location.error]]
codes = [409]
page = "/sorry"
status = 200
[[site.location]]
name = "empty"
begins = "/empty"
[[site.location.error]]
codes = [404]
page = "/sorry"
[[site.location]]
name = "sorry"
exact = "/sorry"
internal = true
pool = "pages"
class = "read"
[[site.location]]
name = "spare"
named = "spare"
pool = "spare"
class = "read"
other = "pay"
headers = [{ name = "X-Spare", value = "1" }]
`

// errorSite runs an instance with three pools of one server each, and one that counts what reached them.
func errorSite(t *testing.T, more string) (p, spare, pages *fakeserver.Server, ask func(method, text string) (*http.Response, string)) {
	s := servers(t, "p", "spare", "pages")
	i, _ := run(t, parse(t, inText, poolText("p", more, s[0]), poolText("spare", more, s[1]), poolText("pages", "", s[2]), errorSiteText))
	return s[0], s[1], s[2], func(method, text string) (*http.Response, string) {
		t.Helper()
		res, body, err := connect(t, i.Addresses()["in"]).ask(method, text)
		if err != nil {
			t.Fatal(err)
		}
		return res, body
	}
}

// fail has a server misbehave. One that refuses connections is not there at all: what is reset could have been written before.
func fail(s *fakeserver.Server, f fakeserver.Fault) {
	if s.SetFault(f); f == fakeserver.ResetConnection {
		s.Close()
	}
}

// A request goes on to a named location only as far as its class allows: what may have run goes on only if it is safe.
func TestNamedLocationWithinItsClass(t *testing.T) {
	const get, post = "GET /shop/x?q HTTP/1.1\r\nHost: h\r\n\r\n", "POST /shop/x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"
	for _, k := range []struct {
		name          string
		fault, behind fakeserver.Fault
		method, text  string
		status, spare int // attempts at the spare server
		refused       bool
	}{
		{"safe, not reached", fakeserver.ResetConnection, fakeserver.NoFault, "GET", get, 200, 1, false},
		{"safe, may have run", fakeserver.ResetAfterRequest, fakeserver.NoFault, "GET", get, 200, 1, false},
		{"unsafe, not reached", fakeserver.ResetConnection, fakeserver.NoFault, "POST", post, 200, 1, false},
		{"unsafe, certainly not run", fakeserver.NotExecuted, fakeserver.NoFault, "POST", post, 200, 1, false},
		{"unsafe, may have run", fakeserver.ResetAfterRequest, fakeserver.NoFault, "POST", post, 502, 0, false},
		{"unsafe, the spare may have run it", fakeserver.ResetConnection, fakeserver.ResetAfterRequest, "POST", post, 502, 1, false},
		{"unsafe, none reached", fakeserver.ResetConnection, fakeserver.ResetConnection, "POST", post, 503, 0, true},
		{"the server's own word stays", fakeserver.Error500, fakeserver.NoFault, "POST", post, 500, 0, false},
	} {
		t.Run(k.name, func(t *testing.T) {
			p, spare, _, ask := errorSite(t, "attempts = 2")
			fail(p, k.fault)
			fail(spare, k.behind)
			res, body := ask(k.method, k.text)
			if res.StatusCode != k.status || (res.Header.Get("Retry-After") != "") != k.refused {
				t.Errorf("status %d, Retry-After %q, %q", res.StatusCode, res.Header.Get("Retry-After"), body)
			}
			list := spare.Records()
			if len(list) != k.spare {
				t.Fatalf("%d attempts at the spare server, want %d", len(list), k.spare)
			}
			if k.spare > 0 && k.method == "POST" && list[0].BodyBytes != 2 {
				t.Errorf("%d bytes of the body came along", list[0].BodyBytes)
			}
			if k.spare > 0 && (list[0].Header.Get("X-Spare") != "1" || !strings.HasPrefix(list[0].URI, "/shop/x")) {
				t.Errorf("it got %s with %v", list[0].URI, list[0].Header)
			}
		})
	}
}

// A page stands in with the status of the error, and a refusal's time to come back; it is a GET of its own.
func TestPagesStandIn(t *testing.T) {
	p, _, pages, ask := errorSite(t, "")
	last := func() fakeserver.Record {
		list := pages.Records()
		if len(list) == 0 {
			t.Fatal("no page was asked for")
		}
		return list[len(list)-1]
	}
	for _, k := range []struct {
		fault        fakeserver.Fault
		method, text string
		status       int
		uri          string // of the page; "" for none
	}{
		{fakeserver.NoFault, "GET", "GET /paged/a HTTP/1.1\r\nHost: h\r\n\r\n", 200, ""},
		{fakeserver.NoFault, "GET", "GET /paged/a?status=404 HTTP/1.1\r\nHost: h\r\nRange: bytes=0-1\r\n\r\n", 404, "/sorry?of=/paged/a"},
		{fakeserver.NoFault, "GET", "GET /paged/a?status=404&bytes=400000 HTTP/1.1\r\nHost: h\r\n\r\n", 404, "/sorry?of=/paged/a"},
		{fakeserver.NoFault, "GET", "GET /paged/a?status=409 HTTP/1.1\r\nHost: h\r\n\r\n", 200, "/sorry"},
		{fakeserver.NoFault, "GET", "GET /paged/a?status=410 HTTP/1.1\r\nHost: h\r\n\r\n", 410, ""},
		{fakeserver.NoFault, "GET", "GET /shop/a?status=404 HTTP/1.1\r\nHost: h\r\n\r\n", 404, ""}, // not intercepted there
		{fakeserver.NoFault, "GET", "GET /sorry HTTP/1.1\r\nHost: h\r\n\r\n", 404, ""},
		{fakeserver.NoFault, "POST", "POST /empty HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi", 404, "/sorry"},
		{fakeserver.ResetAfterRequest, "POST", "POST /paged/b HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi", 502, "/sorry?of=/paged/b"},
		{fakeserver.ResetConnection, "HEAD", "HEAD /paged/c HTTP/1.1\r\nHost: h\r\n\r\n", 503, "/sorry?of=/paged/c"},
		{fakeserver.ResetConnection, "POST", "POST /paged/d HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi", 503, "/sorry?of=/paged/d"},
	} {
		fail(p, k.fault)
		before := len(pages.Records())
		res, body := ask(k.method, k.text)
		if res.StatusCode != k.status || (res.Header.Get("Retry-After") != "") != (k.status == 503) {
			t.Errorf("%q: status %d, Retry-After %q, %q", k.text, res.StatusCode, res.Header.Get("Retry-After"), body)
		}
		if got := len(pages.Records()) - before; got != min(len(k.uri), 1) {
			t.Fatalf("%q: %d pages asked for", k.text, got)
		}
		if k.uri == "" {
			continue
		}
		r := last()
		want := "GET"
		if k.method == "HEAD" {
			want = "HEAD"
		} else if !strings.HasPrefix(body, "server=pages ") {
			t.Errorf("%q: body %q", k.text, body)
		}
		if r.Method != want || r.URI != k.uri || r.BodyBytes != 0 || r.Header.Get("Range") != "" {
			t.Errorf("%q: %s %s with %d bytes, Range %q", k.text, r.Method, r.URI, r.BodyBytes, r.Header.Get("Range"))
		}
	}
	// With no page to be had the error itself is the answer, with its promise.
	pages.SetFault(fakeserver.ResetAfterRequest)
	if res, body := ask("POST", "POST /paged/e HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"); res.StatusCode != 503 || res.Header.Get("Retry-After") == "" {
		t.Errorf("status %d, %q", res.StatusCode, body)
	}
}

// Over both pools a request has four attempts at most, and what its caller said of its time.
func TestNamedLocationWithinAttemptsAndTime(t *testing.T) {
	p, spare, _, ask := errorSite(t, "attempts = 3")
	p.SetFault(fakeserver.ResetAfterRequest)
	spare.SetFault(fakeserver.ResetAfterRequest)
	if res, _ := ask("GET", "GET /shop/x HTTP/1.1\r\nHost: h\r\n\r\n"); res.StatusCode < 500 {
		t.Errorf("status %d", res.StatusCode)
	}
	if a, b := len(p.Records()), len(spare.Records()); a+b > maxTotalAttempts || b == 0 {
		t.Errorf("%d and %d attempts", a, b)
	}
	p.SetFault(fakeserver.NoResponse)
	before := len(spare.Records())
	began := time.Now()
	res, _ := ask("GET", "GET /shop/x HTTP/1.1\r\nHost: h\r\nX-Deadline: 0.4\r\n\r\n")
	if took := time.Since(began); res.StatusCode < 500 || took > time.Second {
		t.Errorf("status %d after %v", res.StatusCode, took)
	}
	for _, r := range spare.Records()[before:] {
		left := 0.0
		if _, err := fmt.Sscan(r.Header.Get("X-Deadline"), &left); err != nil || left > 0.1 {
			t.Errorf("the spare server was told %q", r.Header.Get("X-Deadline"))
		}
	}
}

// A long error of a server is not read to its end for a page. With no page to be had it is told by its status alone.
func TestLongErrorWithoutItsPage(t *testing.T) {
	_, _, pages, ask := errorSite(t, "")
	pages.SetFault(fakeserver.ResetAfterRequest)
	res, body := ask("GET", "GET /paged/a?status=404&bytes=400000 HTTP/1.1\r\nHost: h\r\n\r\n")
	if res.StatusCode != 404 || body != "" || len(pages.Records()) == 0 {
		t.Errorf("status %d, %d bytes, pages asked for %d times", res.StatusCode, len(body), len(pages.Records()))
	}
}
