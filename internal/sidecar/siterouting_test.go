package sidecar

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

const siteText = `
[[site]]
name = "s"
[[site.location]]
name = "kept"
begins = "/kept/"
pool = "p"
class = "read"
other = "pay"
replace = "/v2/"
max_body = "8B"
headers = [{ name = "Host", value = "box.local" }, { name = "X-From", value = "{caller}" }, { name = "Cookie", value = "" }]
[[site.location]]
name = "raw"
begins = "/raw"
pool = "p"
class = "read"
[[site.location]]
name = "made"
regex = "^/made/(.*)$"
pool = "p"
class = "read"
headers = [{ name = "X-Made", value = "{1}" }]
target = "/m?of={1}"
[[site.location]]
name = "away"
exact = "/away"
[[site.location.step]]
status = 301
redirect = "http://{host}/kept/"
`

// Requests that no route matches are handled by the sites, with the headers, target and limits of their location. Routes have
// precedence over sites.
func TestSitesOverSockets(t *testing.T) {
	s := servers(t, "a")[0]
	i, _ := runWithoutLeakCheck(t, parse(t, inText, poolText("p", "", s), routeText("routed", "/kept/routed", "p", "read", ""), siteText))
	c := connect(t, i.Addresses()["in"])
	const head = "Host: shop.example:80\r\nCookie: a=b\r\n"
	c.must(t, "GET", "GET /kept/a%20b;v=1?q=%20 HTTP/1.1\r\n"+head+"\r\n", 200)
	c.must(t, "POST", "POST /kept/x HTTP/1.1\r\n"+head+"Content-Length: 2\r\n\r\nhi", 200)
	c.must(t, "GET", "GET /kept/routed HTTP/1.1\r\n"+head+"\r\n", 200)
	c.must(t, "GET", "GET /raw//%7E/?q HTTP/1.1\r\n"+head+"\r\n", 200)
	c.must(t, "GET", "GET /made/a%20b HTTP/1.1\r\n"+head+"\r\n", 200)
	if res, _ := c.must(t, "GET", "GET /away HTTP/1.1\r\n"+head+"\r\n", 301); res.Header.Get("Location") != "http://shop.example/kept/" {
		t.Errorf("/away redirected to %q", res.Header.Get("Location"))
	}
	c.must(t, "GET", "GET /elsewhere HTTP/1.1\r\n"+head+"\r\n", 404)
	connect(t, i.Addresses()["in"]).must(t, "POST", "POST /kept/x HTTP/1.1\r\n"+head+"Content-Length: 9\r\n\r\ntoo long.", http.StatusRequestEntityTooLarge)
	var got []string
	for _, r := range s.Records() {
		got = append(got, strings.TrimSpace(strings.Join([]string{r.Method, r.URI, r.Host, r.Header.Get("X-From"), r.Header.Get("Cookie"), r.Header.Get("X-Made")}, " ")))
	}
	want := []string{
		"GET /v2/a%20b;v=1?q=%20 box.local 127.0.0.1", "POST /v2/x box.local 127.0.0.1", "GET /kept/routed shop.example:80  a=b",
		"GET /raw//%7E/?q shop.example:80  a=b", "GET /m?of=a%20b shop.example:80  a=b a b",
	}
	if strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("the server got\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

// A backup server gets requests only once every other server of its pool refuses connections. The requests are keyed: they are retried
// like safe ones if a connection fails, but no attempt is canceled because its server was silent. Safe requests are, after six times the
// mean latency, and are then rightly retried on the backup if they have tried every other server.
func TestBackupServer(t *testing.T) {
	s := servers(t, "a", "b", "spare")
	for _, server := range s {
		server.SetWork(5 * time.Millisecond)
	}
	text := poolText("p", "", s...) + "backup = true\n"
	i, _ := runWithoutLeakCheck(t, parse(t, inText, text, routeText("r", "/", "p", "add", "")))
	c := connect(t, i.Addresses()["in"])
	sent := 0
	backupRequests := func(n int) (count int) { // of n requests that are sent
		before, _, _, _ := s[2].Counts()
		for range n {
			sent++
			c.must(t, "POST", fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nIdempotency-Key: %d\r\nContent-Length: 0\r\n\r\n", sent), 200)
		}
		after, _, _, _ := s[2].Counts()
		return after - before
	}
	if n := backupRequests(60); n != 0 {
		t.Errorf("with two other servers the backup got %d of 60 requests", n)
	}
	s[0].Close()
	if n := backupRequests(60); n != 0 {
		t.Errorf("with one other server the backup got %d of 60 requests", n)
	}
	s[1].Close()
	backupRequests(20)
	if n := backupRequests(60); n != 60 {
		t.Errorf("with no other server the backup got %d of 60 requests", n)
	}
}
