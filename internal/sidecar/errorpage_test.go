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

// errorSite runs an instance with three pools of one server each.
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

// fail sets the fault of a server. For ResetConnection the server is closed, as a request on a connection that is reset may have
// been written before.
func fail(s *fakeserver.Server, f fakeserver.Fault) {
	if s.SetFault(f); f == fakeserver.ResetConnection {
		s.Close()
	}
}

// A request may be sent to a named location only as its class allows: once it may have been executed, only if it is safe.
func TestNamedLocationRespectsClass(t *testing.T) {
	const get, post = "GET /shop/x?q HTTP/1.1\r\nHost: h\r\n\r\n", "POST /shop/x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"
	for _, k := range []struct {
		name              string
		fault, spareFault fakeserver.Fault
		method, text      string
		status, spare     int // spare counts the attempts at the spare server
		rejected          bool
	}{
		{"safe, not reached", fakeserver.ResetConnection, fakeserver.NoFault, "GET", get, 200, 1, false},
		{"safe, may have run", fakeserver.ResetAfterRequest, fakeserver.NoFault, "GET", get, 200, 1, false},
		{"unsafe, not reached", fakeserver.ResetConnection, fakeserver.NoFault, "POST", post, 200, 1, false},
		{"unsafe, certainly not run", fakeserver.NotExecuted, fakeserver.NoFault, "POST", post, 200, 1, false},
		{"unsafe, may have run", fakeserver.ResetAfterRequest, fakeserver.NoFault, "POST", post, 502, 0, false},
		{"unsafe, the spare may have run it", fakeserver.ResetConnection, fakeserver.ResetAfterRequest, "POST", post, 502, 1, false},
		{"unsafe, none reached", fakeserver.ResetConnection, fakeserver.ResetConnection, "POST", post, 503, 0, true},
		{"the response of the server is kept", fakeserver.Error500, fakeserver.NoFault, "POST", post, 500, 0, false},
	} {
		t.Run(k.name, func(t *testing.T) {
			p, spare, _, ask := errorSite(t, "attempts = 2")
			fail(p, k.fault)
			fail(spare, k.spareFault)
			res, body := ask(k.method, k.text)
			if res.StatusCode != k.status || (res.Header.Get("Retry-After") != "") != k.rejected {
				t.Errorf("status %d, Retry-After %q, %q", res.StatusCode, res.Header.Get("Retry-After"), body)
			}
			list := spare.Records()
			if len(list) != k.spare {
				t.Fatalf("%d attempts at the spare server, want %d", len(list), k.spare)
			}
			if k.spare > 0 && k.method == "POST" && list[0].BodyBytes != 2 {
				t.Errorf("the spare server received %d bytes of the body", list[0].BodyBytes)
			}
			if k.spare > 0 && (list[0].Header.Get("X-Spare") != "1" || !strings.HasPrefix(list[0].URI, "/shop/x")) {
				t.Errorf("the spare server received %s with %v", list[0].URI, list[0].Header)
			}
		})
	}
}

// An error page must replace the body of an error and keep its status, and the Retry-After of a rejection. It must be requested by a
// separate GET.
func TestErrorPages(t *testing.T) {
	p, _, pages, ask := errorSite(t, "")
	last := func() fakeserver.Record {
		list := pages.Records()
		if len(list) == 0 {
			t.Fatal("no page was requested")
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
			t.Fatalf("%q: %d pages requested", k.text, got)
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
	// If the page cannot be obtained, the error itself is the response, with its Retry-After.
	pages.SetFault(fakeserver.ResetAfterRequest)
	if res, body := ask("POST", "POST /paged/e HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"); res.StatusCode != 503 || res.Header.Get("Retry-After") == "" {
		t.Errorf("status %d, %q", res.StatusCode, body)
	}
}

// The limit of four attempts and the deadline that the client has sent must hold over both pools.
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
			t.Errorf("the spare server received X-Deadline %q", r.Header.Get("X-Deadline"))
		}
	}
}

// A long error response of a server must not be read to its end for a page. If the page cannot be obtained, the response consists of
// the status only.
func TestLongErrorWithoutItsPage(t *testing.T) {
	_, _, pages, ask := errorSite(t, "")
	pages.SetFault(fakeserver.ResetAfterRequest)
	res, body := ask("GET", "GET /paged/a?status=404&bytes=400000 HTTP/1.1\r\nHost: h\r\n\r\n")
	if res.StatusCode != 404 || body != "" || len(pages.Records()) == 0 {
		t.Errorf("status %d, %d bytes, pages requested %d times", res.StatusCode, len(body), len(pages.Records()))
	}
}
