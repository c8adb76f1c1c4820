package sidecar

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"milletmast/internal/fakeserver"
	"milletmast/internal/operator"
)

// poolText is a pool of an operator file with a class of each effect.
func poolText(name, more string, servers ...*fakeserver.Server) string {
	text := fmt.Sprintf(`
[[pool]]
name = %q
%s
[[pool.class]]
name = "read"
aim = "1s"
give_up = "2s"
effect = "safe"
[[pool.class]]
name = "pay"
aim = "1s"
give_up = "2s"
effect = "unsafe"
[[pool.class]]
name = "add"
aim = "1s"
give_up = "2s"
effect = "keyed"
group = "cell"
window = "10s"
`, name, more)
	for _, s := range servers {
		text += fmt.Sprintf("[[pool.server]]\naddress = %q\n", s.Addr())
	}
	return text
}

// routeText is a route of an operator file.
func routeText(name, prefix, pool, class, more string) string {
	return fmt.Sprintf("\n[[route]]\nname = %q\nprefix = %q\npool = %q\nclass = %q\n%s\n", name, prefix, pool, class, more)
}

const inText = "\n[[listener]]\nname = \"in\"\naddress = \"127.0.0.1:0\"\nmax_body = \"4MiB\"\n"

func parse(t testing.TB, parts ...string) *operator.Config {
	t.Helper()
	cfg, err := operator.Parse(filepath.Join(t.TempDir(), "operator.toml"), []byte(strings.Join(parts, "")))
	if err != nil {
		t.Fatal(err)
	}
	cfg.Path = "operator.toml"
	if cfg.Limits.Drain == operator.Duration(5*time.Second) { // no client is left when a test ends
		cfg.Limits.Drain = operator.Duration(50 * time.Millisecond)
	}
	return cfg
}

func servers(t testing.TB, names ...string) []*fakeserver.Server {
	t.Helper()
	var list []*fakeserver.Server
	for _, n := range names {
		s, err := fakeserver.NewServer(n)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		list = append(list, s)
	}
	return list
}

// run starts an instance. When the test ends, the instance must end too and leave no goroutine.
func run(t testing.TB, cfg *operator.Config) (i *Instance, stop func()) {
	t.Helper()
	before := goleak.IgnoreCurrent()
	i, end := runWithoutLeakCheck(t, cfg)
	stop = sync.OnceFunc(func() {
		end()
		if err := goleak.Find(before, goleak.IgnoreAnyFunction("milletmast/internal/fakeserver.(*Server).serve"),
			goleak.IgnoreAnyFunction("milletmast/internal/fakeserver.(*Server).accept"),
			goleak.IgnoreAnyFunction("milletmast/internal/fakeserver.(*two).call"), goleak.IgnoreAnyFunction("milletmast/internal/sidecar.(*scriptedRPCServer).serve"),
			goleak.IgnoreAnyFunction("net/http.(*persistConn).readLoop"), goleak.IgnoreAnyFunction("net/http.(*persistConn).writeLoop")); err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(stop)
	return i, stop
}

// runWithoutLeakCheck starts an instance without the check for goroutines, for tests that run several instances at a time.
func runWithoutLeakCheck(t testing.TB, cfg *operator.Config) (i *Instance, stop func()) {
	t.Helper()
	i, err := NewInstance(cfg, nil)
	if err != nil {
		t.Fatal(err)
	}
	i.mu.Lock()
	for _, l := range i.listeners {
		l.frontend.acceptTime = 0
	}
	i.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if err := i.Run(ctx); err != nil {
			t.Error(err)
		}
	}()
	stop = sync.OnceFunc(func() {
		cancel()
		<-ended
		if n := i.serverConns.used.Load(); n != 0 {
			t.Errorf("%d connections to servers are counted after the end", n)
		}
		if i.clients.open != 0 || len(i.pools) != 0 {
			t.Errorf("%d client connections and %d pools are left", i.clients.open, len(i.pools))
		}
	})
	t.Cleanup(stop)
	return i, stop
}

// peer is a raw connection of a client.
type peer struct {
	net.Conn
	reader *bufio.Reader
}

func connect(t testing.TB, addr string) *peer {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &peer{c, bufio.NewReader(c)}
}

// ask sends a request as given and reads the complete response.
func (p *peer) ask(method, text string) (*http.Response, string, error) {
	_ = p.SetDeadline(time.Now().Add(testTimeout))
	if _, err := io.WriteString(p, text); err != nil {
		return nil, "", err
	}
	return p.read(method)
}

func (p *peer) read(method string) (*http.Response, string, error) {
	res, err := http.ReadResponse(p.reader, &http.Request{Method: method})
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(res.Body)
	return res, string(body), err
}

// must is ask for a request whose response must have the status.
func (p *peer) must(t testing.TB, method, text string, status int) (*http.Response, string) {
	t.Helper()
	res, body, err := p.ask(method, text)
	if err != nil {
		t.Fatal(err)
	}
	if res.StatusCode != status {
		t.Fatalf("%.60q: status %d %q, want %d", text, res.StatusCode, body, status)
	}
	return res, body
}

// until waits for a condition.
func until(t testing.TB, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting until ", what)
		}
	}
}

func TestOperatorListener(t *testing.T) {
	s := servers(t, "a", "b")
	i, _ := run(t, parse(t, inText, poolText("one", "", s[0]), poolText("two", "", s[1]),
		routeText("one", "/", "one", "read", ""),
		routeText("two", "/two", "two", "pay", "methods = [\"POST\", \"PUT\"]\nstrip_prefix = true"),
		routeText("host", "/", "two", "read", "host = \"*.two.org\""),
		routeText("add", "/add", "one", "add", ""),
		"\n[[route]]\nname = \"old\"\nprefix = \"/old\"\nredirect = \"http://{host}/new{path}{query}\"\nstatus = 308\n",
	))
	in := i.Addresses()["in"]
	c := connect(t, in)
	for _, k := range []struct {
		name, text string
		status     int
		body       string // prefix
	}{
		{"plain", "GET /x/../y?q=%2F HTTP/1.1\r\nHost: h\r\n\r\n", 200, "server=a method=GET uri=/y?q=%2F id="},
		{"id from the client", "GET /x HTTP/1.1\r\nHost: h\r\nX-Request-Id: mine\r\n\r\n", 200, "server=a method=GET uri=/x id=mine "},
		{"body and prefix", "POST /two/z HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc", 200, "server=b method=POST uri=/z "},
		{"chunked", "PUT /two HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", 200, "server=b method=PUT uri=/ "},
		{"encoded spelling of the prefix", "POST /./%74wo;x/z HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", 200, "server=b method=POST uri=/z "},
		{"host", "GET /x HTTP/1.1\r\nHost: A.TWO.org.:80\r\n\r\n", 200, "server=b "},
		{"absolute form", "GET http://a.two.org/x?y HTTP/1.1\r\nHost: other\r\n\r\n", 200, "server=b method=GET uri=/x?y "},
		{"absolute form with no path", "GET http://a.two.org?y HTTP/1.1\r\nHost: other\r\n\r\n", 200, "server=b method=GET uri=/?y "},
		{"the server's 404", "GET /x?status=404 HTTP/1.1\r\nHost: h\r\n\r\n", 404, "server=a "},
		{"the server's 302", "GET /x?status=302 HTTP/1.1\r\nHost: h\r\n\r\n", 302, "server=a "},
		{"no content", "GET /x?status=204 HTTP/1.1\r\nHost: h\r\n\r\n", 204, ""},
		{"redirect", "GET /old/x?y HTTP/1.1\r\nHost: H\r\n\r\n", 308, ""},
		{"head", "HEAD /x HTTP/1.1\r\nHost: h\r\n\r\n", 200, ""},
		{"keyed with a key", "POST /add HTTP/1.1\r\nHost: h\r\nIdempotency-Key: k\r\nContent-Length: 1\r\n\r\nx", 200, "server=a "},
	} {
		method, _, _ := strings.Cut(k.text, " ")
		res, body := c.must(t, method, k.text, k.status) // all on one connection
		if !strings.HasPrefix(body, k.body) || res.Close {
			t.Errorf("%s: body %q, want %q; closes: %v", k.name, body, k.body, res.Close)
		}
		if k.name == "redirect" && res.Header.Get("Location") != "http://h/new/old/x?y" {
			t.Errorf("location %q", res.Header.Get("Location"))
		}
		if k.name == "head" && res.ContentLength <= 0 {
			t.Errorf("the response to HEAD has no length: %+v", res)
		}
	}
	for _, r := range s[0].Records() {
		if r.RequestID == "" || r.Header.Get("X-Forwarded-For") != "127.0.0.1" || r.Header.Get("X-Deadline") == "" {
			t.Errorf("%s %s was received with %v", r.Method, r.URI, r.Header)
		}
	}
	before, _, _, _ := s[0].Counts()
	for text, status := range map[string]int{
		"GET /a%2fb HTTP/1.1\r\nHost: h\r\n\r\n":                                 400,
		"GET /a\\b HTTP/1.1\r\nHost: h\r\n\r\n":                                  400,
		"GET /x HTTP/1.1\r\n\r\n":                                                400,
		"GET /x HTTP/1.1\r\nHost: h\r\nHost: h\r\n\r\n":                          400,
		"GET /x HTTP/1.1\r\nHost: a/b\r\n\r\n":                                   400,
		"GET ftp://h/x HTTP/1.1\r\nHost: h\r\n\r\n":                              400,
		"GET x HTTP/1.1\r\nHost: h\r\n\r\n":                                      400,
		"GET /x HTTP/2.0\r\nHost: h\r\n\r\n":                                     400,
		"get /x HTTP/1.1\r\nHost: h\r\n\r\n":                                     400,
		"CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n":                               405,
		"GET /x HTTP/1.1\r\nHost: h\r\nX-Deadline: soon\r\n\r\n":                 400,
		"POST /add HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx":            400,
		"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4194305\r\n\r\n":         413,
		"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1, 1\r\n\r\nx":           400,
		"GET /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n": 400,
	} {
		connect(t, in).must(t, "GET", text, status)
	}
	if after, _, _, _ := s[0].Counts(); after != before {
		t.Errorf("%d invalid requests reached the server", after-before)
	}
	connect(t, in).must(t, "GET", "GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n", 200)
}

// The outcome of the attempts determines the response, as with the platform's protocol: a call is rejected with 503 only if a retry by
// the client is harmless, and a 5xx of a server is forwarded, except for those that would promise that a retry is harmless.
func TestOutcomesOfOperatorCalls(t *testing.T) {
	for _, k := range []struct {
		name     string
		fault    fakeserver.Fault
		route    string
		query    string
		status   int
		attempts int
	}{
		{"not executed is rejected", fakeserver.NotExecuted, "/pay", "", 503, 3},
		{"an unsafe reset has failed", fakeserver.ResetAfterRequest, "/pay", "", 502, 1},
		{"a keyed reset outside the group has failed", fakeserver.ResetAfterRequest, "/add", "", 502, 3},
		{"a server's 500 is passed on", fakeserver.Error500, "/pay", "", 500, 1},
		{"a 503 without the mark is no rejection", fakeserver.NoFault, "/pay", "?status=503", 502, 1},
		{"a 429 without the mark is no rejection", fakeserver.NoFault, "/pay", "?status=429", 502, 1},
		{"garbage has failed", fakeserver.GarbageResponse, "/pay", "", 502, 1},
		{"refused connections", fakeserver.ResetConnection, "/pay", "", 503, 0},
	} {
		t.Run(k.name, func(t *testing.T) {
			s := servers(t, "a", "b", "c")
			i, _ := run(t, parse(t, inText, poolText("p", "", s...), routeText("pay", "/pay", "p", "pay", ""), routeText("add", "/add", "p", "add", "")))
			for _, one := range s {
				if one.SetFault(k.fault); k.fault == fakeserver.ResetConnection {
					one.Close()
				}
			}
			c := connect(t, i.Addresses()["in"])
			res, body := c.must(t, "POST", "POST "+k.route+k.query+" HTTP/1.1\r\nHost: h\r\nIdempotency-Key: k\r\nContent-Length: 2\r\n\r\nhi", k.status)
			n := 0
			for _, one := range s {
				n += len(one.Records())
			}
			if n != k.attempts {
				t.Errorf("%d attempts reached servers, want %d", n, k.attempts)
			}
			if (res.Header.Get("Retry-After") != "") != (k.status == 503) {
				t.Errorf("status %d with Retry-After %q", k.status, res.Header.Get("Retry-After"))
			}
			if k.fault == fakeserver.Error500 && body != "fault\n" {
				t.Errorf("body %q, want the server's", body)
			}
		})
	}
}

func TestStreamedBodies(t *testing.T) {
	s := servers(t, "a")
	i, _ := run(t, parse(t, inText, poolText("p", "stream_time = \"5s\"\nstream_idle = \"2s\"", s[0]),
		routeText("pay", "/pay", "p", "pay", ""), routeText("read", "/read", "p", "read", "")))
	in := i.Addresses()["in"]
	c := connect(t, in)
	body := string(fakeserver.Body(3 << 20))
	want := fmt.Sprintf("bytes=%d", len(body))
	_, got := c.must(t, "POST", fmt.Sprintf("POST /pay HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body), 200)
	if !strings.Contains(got, want) {
		t.Errorf("response %q, want %s", got, want)
	}
	var chunks strings.Builder
	for rest := body; rest != ""; {
		n := min(len(rest), 70_001)
		fmt.Fprintf(&chunks, "%x;ext=1\r\n%s\r\n", n, rest[:n])
		rest = rest[n:]
	}
	_, again := c.must(t, "POST", "POST /pay HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n"+chunks.String()+"0\r\nX-T: 1\r\n\r\n", 100)
	if again != "" {
		t.Errorf("body %q of an interim response", again)
	}
	if _, got, err := c.read("POST"); err != nil || !strings.Contains(got, want) {
		t.Errorf("chunked: response %q, %v, want %s", got, err, want)
	}
	records := s[0].Records()
	if records[0].BodyHash != records[1].BodyHash || records[0].BodyHash == 0 || len(records) != 2 {
		t.Errorf("records %+v, want two of one body", records)
	}
	for _, query := range []string{"?bytes=5000000", "?bytes=5000000&chunked=1", "?bytes=70000&chunked=1", "?bytes=60000&chunked=1", "?bytes=65536", "?bytes=65537"} {
		_, got := c.must(t, "GET", "GET /read"+query+" HTTP/1.1\r\nHost: h\r\n\r\n", 200)
		n := 0
		_, _ = fmt.Sscanf(query, "?bytes=%d", &n)
		if got != string(fakeserver.Body(n)) {
			t.Errorf("%s: %d bytes that differ from those of the server", query, len(got))
		}
	}
	if _, _, _, conns := s[0].Counts(); conns != 1 {
		t.Errorf("%d connections to the server, want the one kept throughout", conns)
	}
	// A client of HTTP/1.0 does not support chunked encoding.
	old := connect(t, in)
	if res, got := old.must(t, "GET", "GET /read?bytes=200000&chunked=1 HTTP/1.0\r\n\r\n", 200); got != string(fakeserver.Body(200_000)) || len(res.TransferEncoding) > 0 {
		t.Errorf("HTTP/1.0: %d bytes, %v", len(got), res.TransferEncoding)
	}
	s[0].SetFault(fakeserver.HalfResponse)
	if _, got, err := connect(t, in).ask("GET", "GET /read?bytes=400000&chunked=1 HTTP/1.0\r\n\r\n"); err == nil {
		t.Errorf("HTTP/1.0: %d bytes of a response that broke off, and no error", len(got))
	}
	s[0].SetFault(fakeserver.NoFault)
	ran := len(s[0].Records())
	// Bodies that are too long, with and without an announced length.
	connect(t, in).must(t, "POST", "POST /pay HTTP/1.1\r\nHost: h\r\nContent-Length: 5000000\r\n\r\n", 413)
	endless := connect(t, in)
	_ = endless.SetDeadline(time.Now().Add(testTimeout))
	go func() {
		_, _ = io.WriteString(endless, "POST /pay HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
		for range 500 {
			if _, err := fmt.Fprintf(endless, "4000\r\n%s\r\n", body[:0x4000]); err != nil {
				return
			}
		}
	}()
	if res, _, err := endless.read("POST"); err != nil || res.StatusCode != 413 {
		t.Errorf("a body that does not end: %v, %v, want 413", res, err)
	}
	// A client that disconnects in the middle of its body leaves no open call, and its request is not executed.
	half := connect(t, in)
	_, _ = io.WriteString(half, "POST /pay HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n"+body[:200_000])
	until(t, "the upload has started", func() bool { return i.Status().Pools[0].Open > 0 })
	half.Close()
	until(t, "its call is removed", func() bool { return i.Status().Pools[0].Open == 0 })
	if n := len(s[0].Records()); n != ran {
		t.Errorf("%d incomplete requests were executed", n-ran)
	}
}

// A streamed request must be sent once. It must be rejected with 503 only if that is harmless, else fail with 502.
func TestStreamedRequestIsSentOnce(t *testing.T) {
	body := string(fakeserver.Body(300_000))
	text := func(class string) string {
		return fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", class, len(body), body)
	}
	for _, k := range []struct {
		fault    fakeserver.Fault
		class    string
		status   int
		attempts int
	}{
		{fakeserver.NotExecuted, "pay", 503, 1},
		{fakeserver.ResetAfterRequest, "pay", 502, 1},
		{fakeserver.ResetAfterRequest, "read", 503, 1},
		{fakeserver.ResetConnection, "pay", 503, 0},
	} {
		t.Run(string(k.fault)+" "+k.class, func(t *testing.T) {
			s := servers(t, "a", "b")
			i, _ := run(t, parse(t, inText, poolText("p", "", s...), routeText("pay", "/pay", "p", "pay", ""), routeText("read", "/read", "p", "read", "")))
			for _, one := range s {
				if one.SetFault(k.fault); k.fault == fakeserver.ResetConnection {
					one.Close()
				}
			}
			connect(t, i.Addresses()["in"]).must(t, "POST", text(k.class), k.status)
			if n := len(s[0].Records()) + len(s[1].Records()); n != k.attempts {
				t.Errorf("%d attempts, want %d", n, k.attempts)
			}
		})
	}
	// As long as no byte of it was sent, another server may be tried.
	s := servers(t, "a", "b")
	i, _ := run(t, parse(t, inText, poolText("p", "", s...), routeText("pay", "/pay", "p", "pay", "")))
	s[0].Close()
	defer func() {
		if err := s[0].Restart(); err != nil {
			t.Error(err)
		}
	}()
	for range 4 {
		_, got := connect(t, i.Addresses()["in"]).must(t, "POST", text("pay"), 200)
		if !strings.Contains(got, "server=b") {
			t.Errorf("response %q", got)
		}
	}
}

// A client must be able to detect that a streamed response broke off.
func TestTruncatedStreamIsDetectable(t *testing.T) {
	s := servers(t, "a")
	i, _ := run(t, parse(t, inText, poolText("p", "stream_idle = \"100ms\"", s[0]), routeText("read", "/", "p", "read", "")))
	s[0].SetFault(fakeserver.HalfResponse)
	for _, query := range []string{"?bytes=400000", "?bytes=400000&chunked=1"} {
		res, body, err := connect(t, i.Addresses()["in"]).ask("GET", "GET /"+query+" HTTP/1.1\r\nHost: h\r\n\r\n")
		if err == nil || res == nil {
			t.Errorf("%s: %d bytes and no error, of a response that broke off", query, len(body))
		}
	}
	until(t, "its calls are removed", func() bool { return i.Status().Pools[0].Open == 0 })
	// The response to a client that reads nothing is abandoned after a while, and with it the connection to the server.
	s[0].SetFault(fakeserver.NoFault)
	nonReading := connect(t, i.Addresses()["in"])
	_, _ = io.WriteString(nonReading, "GET /?bytes=100000000 HTTP/1.1\r\nHost: h\r\n\r\n")
	until(t, "the stream has begun", func() bool { return i.Status().Pools[0].Open > 0 })
	until(t, "the stream is abandoned", func() bool { return i.Status().Pools[0].Open == 0 })
}

// A pool without servers must reject requests at once with a Retry-After, without affecting other pools.
func TestEmptyPoolRejectsAtOnce(t *testing.T) {
	s := servers(t, "a")
	i, _ := run(t, parse(t, inText, poolText("none", ""), poolText("one", "", s[0]),
		routeText("none", "/none", "none", "read", ""), routeText("one", "/", "one", "read", "")))
	c := connect(t, i.Addresses()["in"])
	for range 5 {
		begun := time.Now()
		res, _ := c.must(t, "GET", "GET /none HTTP/1.1\r\nHost: h\r\n\r\n", 503)
		if took := time.Since(begun); took > time.Second || res.Header.Get("Retry-After") == "" {
			t.Errorf("rejected after %v with Retry-After %q", took, res.Header.Get("Retry-After"))
		}
		c.must(t, "GET", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", 200)
	}
}

// During a hundred reloads under load, each request must get one response, from a server of the pool to which one generation routes
// it, and must be executed once. The route, its pool and its rewritten path change together with every reload, so that a mix of two
// generations is detected.
func TestReloadsUnderLoad(t *testing.T) {
	const reloads, conns = 100, 64
	s := servers(t, "p0", "p1", "p2")
	file := func(k int) *operator.Config {
		j := k % 3
		name := fmt.Sprint("p", j)
		text := inText + poolText(name, "", s[j]) + routeText("r", "/x", name, "pay", fmt.Sprintf("replace_prefix = \"/gen%d\"", j))
		if k%2 == 1 { // a pool in every other generation
			text += poolText("beside", "", s[(j+1)%3]) + routeText("beside", "/beside", "beside", "read", "")
		}
		if k%5 == 4 { // a listener in every fifth generation
			text += "\n[[listener]]\nname = \"more\"\naddress = \"127.0.0.1:0\"\n"
		}
		return parse(t, text, fmt.Sprintf("# %d\n", k))
	}
	i, stop := run(t, file(0))
	in := i.Addresses()["in"]
	stopClients := make(chan struct{})
	type result struct {
		id, body string
		status   int
	}
	results := make([][]result, conns)
	var clients sync.WaitGroup
	for n := range conns {
		clients.Go(func() {
			var p *peer
			for k := 0; ; k++ {
				select {
				case <-stopClients:
					return
				default:
				}
				if p == nil {
					p = connect(t, in)
				}
				id := fmt.Sprintf("c%d-%d", n, k)
				res, body, err := p.ask("POST", "POST /x/y HTTP/1.1\r\nHost: h\r\nX-Request-Id: "+id+"\r\nContent-Length: 1\r\n\r\nx")
				if err != nil {
					t.Errorf("%s was lost: %v", id, err)
					return
				}
				results[n] = append(results[n], result{id, body, res.StatusCode})
				if res.Close {
					p.Close()
					p = nil
				}
			}
		})
	}
	total := func() (n int) {
		for j := range s {
			reached, _, _, _ := s[j].Counts()
			n += reached
		}
		return n
	}
	for k := 1; k <= reloads; k++ {
		number, err := i.Reload(file(k))
		if err != nil || number != uint64(k+1) {
			t.Errorf("reload %d: generation %d, %v", k, number, err)
		}
		if used, most := i.serverConns.used.Load(), i.serverConns.limit.Load(); used > most {
			t.Errorf("%d connections to servers, over the %d allowed", used, most)
		}
		from := total()
		until(t, "requests are served by the new generation", func() bool { return total() > from+conns/2 })
	}
	close(stopClients)
	clients.Wait()
	ran := map[string]string{}
	for j := range s {
		for _, r := range s[j].Records() {
			if r.Method != "POST" {
				continue
			}
			if at, twice := ran[r.RequestID]; twice {
				t.Errorf("%s ran at %s and %s", r.RequestID, at, r.Server)
			}
			ran[r.RequestID] = r.Server
			if want := fmt.Sprintf("/gen%d/y", j); r.URI != want {
				t.Errorf("%s reached %s with %s: the route of one generation and the pool of another", r.RequestID, r.Server, r.URI)
			}
		}
	}
	served := 0
	for _, list := range results {
		for _, r := range list {
			at, did := ran[r.id]
			switch {
			case r.status == 200:
				served++
				if !did || !strings.HasPrefix(r.body, "server="+at+" ") || !strings.Contains(r.body, "id="+r.id+" ") {
					t.Errorf("%s got the response %q, but ran at %q", r.id, r.body, at)
				}
			case did:
				t.Errorf("%s ran at %s and got status %d", r.id, at, r.status)
			case r.status != 503:
				t.Errorf("%s got status %d", r.id, r.status)
			}
			delete(ran, r.id)
		}
	}
	if len(ran) > 0 {
		t.Errorf("%d requests were executed and got no response", len(ran))
	}
	if all := served; all < reloads*conns/2 {
		t.Errorf("only %d were served", all)
	}
	until(t, "the pools of old generations have ended", func() bool { return len(i.Status().Pools) <= 2 })
	stop()
}

// If a reload removes a pool with open requests, they must be served; then the pool must end.
func TestReloadRemovesBusyPool(t *testing.T) {
	const open = 200
	names := []string{"b"}
	for n := range 1 + open/4 { // a replica without measurements has at most five open calls at a server
		names = append(names, fmt.Sprint("a", n))
	}
	s := servers(t, names...)
	held := make(chan struct{})
	release := sync.OnceFunc(func() { close(held) })
	t.Cleanup(release)
	for _, one := range s[1:] {
		one.SetFaultFunc(func(r *http.Request) fakeserver.Fault {
			if r != nil {
				<-held
			}
			return fakeserver.NoFault
		})
	}
	pools := poolText("gone", "connections = { weight = 9 }\n", s[1:]...)
	stays := poolText("stays", "", s[0]) + routeText("stays", "/stays", "stays", "read", "")
	i, _ := run(t, parse(t, inText, pools, stays, routeText("gone", "/", "gone", "pay", ""), "[limits]\nsockets = 4096\n"))
	in := i.Addresses()["in"]
	peers := make([]*peer, open)
	for n := range peers {
		peers[n] = connect(t, in)
		_ = peers[n].SetDeadline(time.Now().Add(testTimeout))
		_, _ = io.WriteString(peers[n], "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
		until(t, "the request is open", func() bool { return i.Status().Pools[0].Open == n+1 })
	}
	if _, err := i.Reload(parse(t, inText, stays, "[limits]\nsockets = 4096\n")); err != nil {
		t.Fatal(err)
	}
	c := connect(t, in)
	c.must(t, "GET", "GET /stays HTTP/1.1\r\nHost: h\r\n\r\n", 200)
	c.must(t, "GET", "GET /x HTTP/1.1\r\nHost: h\r\n\r\n", 404)
	if st := i.Status(); len(st.Pools) != 2 || !st.Pools[1].Ending || st.Pools[1].Open != open {
		t.Errorf("status %+v, want the old pool to finish its %d requests", st, open)
	}
	release()
	for n, p := range peers {
		if res, _, err := p.read("POST"); err != nil || res.StatusCode != 200 {
			t.Fatalf("request %d: %v, %v", n, res, err)
		}
	}
	until(t, "the pool has ended", func() bool { return len(i.Status().Pools) == 1 })
}

// A reload that fails because an address is in use must change nothing.
func TestReloadWithTakenPort(t *testing.T) {
	s := servers(t, "a")
	base := inText + poolText("p", "", s[0])
	i, _ := run(t, parse(t, base, routeText("r", "/", "p", "read", "")))
	taken := listen(t)
	before := i.Status()
	_, err := i.Reload(parse(t, base, routeText("r", "/other", "p", "read", ""), poolText("q", "", s[0]),
		fmt.Sprintf("\n[[listener]]\nname = \"x\"\naddress = \"127.0.0.1:0\"\n[[listener]]\nname = \"b\"\naddress = %q\n", taken.Addr())))
	if !errors.Is(err, syscall.EADDRINUSE) || !strings.Contains(fmt.Sprint(err), "listener b") {
		t.Errorf("error %v, want one of listener b", err)
	}
	after := i.Status()
	if after.Generation != before.Generation || after.Config != before.Config || len(after.Pools) != 1 || len(i.listeners) != 1 {
		t.Errorf("status %+v after a failed reload, before %+v", after, before)
	}
	connect(t, i.Addresses()["in"]).must(t, "GET", "GET /x HTTP/1.1\r\nHost: h\r\n\r\n", 200)
	if number, err := i.Reload(parse(t, base, routeText("r", "/", "p", "read", ""))); err != nil || number != before.Generation {
		t.Errorf("the same file again: generation %d, %v", number, err)
	}
}

// A pool that a reload does not change, or of which it changes only the servers, must keep its decision module and connections.
func TestReloadKeepsPools(t *testing.T) {
	s := servers(t, "a", "b")
	file := func(prefix string, more ...*fakeserver.Server) *operator.Config {
		return parse(t, inText, poolText("p", "", more...), routeText("r", prefix, "p", "read", ""))
	}
	i, _ := run(t, file("/", s[0]))
	c := connect(t, i.Addresses()["in"]) // kept over all generations
	c.must(t, "GET", "GET /x HTTP/1.1\r\nHost: h\r\n\r\n", 200)
	p := i.current.pools["p"]
	for _, cfg := range []*operator.Config{file("/x", s[0]), file("/x", s[0], s[1]), file("/x", s[1])} {
		if _, err := i.Reload(cfg); err != nil {
			t.Fatal(err)
		}
		c.must(t, "GET", "GET /x HTTP/1.1\r\nHost: h\r\n\r\n", 200)
		if i.current.pools["p"] != p {
			t.Error("the pool was replaced")
		}
	}
	if s[0].ConnsOpened() != 1 {
		t.Errorf("%d connections to the server that was kept, want one", s[0].ConnsOpened())
	}
	until(t, "connections to the removed server are closed", func() bool { _, _, _, n := s[0].Counts(); return n == 0 })
	from, _, _, _ := s[0].Counts()
	for range 20 {
		c.must(t, "GET", "GET /x HTTP/1.1\r\nHost: h\r\n\r\n", 200)
	}
	if n, _, _, _ := s[0].Counts(); n != from {
		t.Errorf("%d requests went to a server that was removed", n-from)
	}
	if _, err := i.Reload(parse(t, inText, poolText("p", "attempts = 2", s[1]), routeText("r", "/x", "p", "read", ""))); err != nil {
		t.Fatal(err)
	}
	c.must(t, "GET", "GET /x HTTP/1.1\r\nHost: h\r\n\r\n", 200)
	if i.current.pools["p"] == p {
		t.Error("a pool with other settings kept its decision module")
	}
}

// A request must stay in its pool: its second attempt must go to the servers of that pool, even if a reload has changed its route
// meanwhile.
func TestRouteChangesBetweenAttempts(t *testing.T) {
	s := servers(t, "a1", "a2", "b")
	held, release := make(chan struct{}, 2), make(chan struct{})
	freed := sync.OnceFunc(func() { close(release) })
	t.Cleanup(freed)
	var first atomic.Bool
	for _, one := range s[:2] {
		one.SetFaultFunc(func(r *http.Request) fakeserver.Fault {
			if r != nil && first.CompareAndSwap(false, true) {
				held <- struct{}{}
				<-release
				return fakeserver.NotExecuted
			}
			return fakeserver.NoFault
		})
	}
	a, b := poolText("a", "", s[0], s[1]), poolText("b", "", s[2])
	i, _ := run(t, parse(t, inText, a, b, routeText("r", "/", "a", "pay", "")))
	c := connect(t, i.Addresses()["in"])
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	_, _ = io.WriteString(c, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
	<-held
	if _, err := i.Reload(parse(t, inText, b, routeText("r", "/", "b", "pay", ""))); err != nil {
		t.Fatal(err)
	}
	freed()
	if res, body, err := c.read("POST"); err != nil || res.StatusCode != 200 || !strings.HasPrefix(body, "server=a") {
		t.Errorf("response %q, %v, want one of pool a", body, err)
	}
	if _, body := c.must(t, "POST", "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", 200); !strings.HasPrefix(body, "server=b ") {
		t.Errorf("the next request on the connection got %q, want one of pool b", body)
	}
}

// A listener that a reload removes must end gracefully: accepted connections are served by its last routes. A later reload must be able
// to open its address again at once.
func TestListenerIsRemovedAndReopened(t *testing.T) {
	s := servers(t, "a")
	free := listen(t)
	addr := free.Addr().String()
	free.Close()
	base := inText + poolText("p", "", s[0]) + routeText("r", "/", "p", "read", "")
	more := fmt.Sprintf("\n[[listener]]\nname = \"more\"\naddress = %q\n", addr)
	i, _ := run(t, parse(t, base, more))
	used, silent := connect(t, addr), connect(t, addr)
	used.must(t, "GET", "GET /x HTTP/1.1\r\nHost: h\r\n\r\n", 200)
	until(t, "both are accepted", func() bool { return i.Status().ClientConns == 2 })
	if _, err := i.Reload(parse(t, base)); err != nil {
		t.Fatal(err)
	}
	for _, p := range []*peer{used, silent} {
		if res, _ := p.must(t, "GET", "GET /x HTTP/1.1\r\nHost: h\r\n\r\n", 200); !res.Close {
			t.Error("a connection of a removed listener stays open after its response")
		}
	}
	if _, err := i.Reload(parse(t, base, more, "#\n")); err != nil { // at once
		t.Fatal(err)
	}
	connect(t, addr).must(t, "GET", "GET /x HTTP/1.1\r\nHost: h\r\n\r\n", 200)
	if _, err := i.Reload(parse(t, base, "##\n")); err != nil {
		t.Fatal(err)
	}
	until(t, "connections to its address are refused", func() bool {
		c, err := net.Dial("tcp", addr)
		if err == nil {
			c.Close()
		}
		return err != nil
	})
}

// Concurrent reloads must be done one after the other, and a reload during the shutdown must be done completely or fail.
func TestConcurrentReloads(t *testing.T) {
	s := servers(t, "a")
	file := func(k int) *operator.Config {
		return parse(t, inText, poolText("p", fmt.Sprintf("attempts = %d", 1+k%3), s[0]), routeText("r", "/", "p", "read", ""), fmt.Sprintf("# %d\n", k))
	}
	i, stop := run(t, file(0))
	var all sync.WaitGroup
	for k := range 6 {
		cfg := file(k + 1)
		all.Go(func() {
			if _, err := i.Reload(cfg); err != nil {
				t.Error(err)
			}
		})
	}
	all.Wait()
	if st := i.Status(); st.Generation != 7 {
		t.Errorf("generation %d after six reloads, want 7", st.Generation)
	}
	connect(t, i.Addresses()["in"]).must(t, "GET", "GET /x HTTP/1.1\r\nHost: h\r\n\r\n", 200)
	begun := make(chan struct{})
	for k := range 50 {
		cfg := file(k + 10)
		all.Go(func() {
			if k == 25 {
				close(begun)
			}
			if _, err := i.Reload(cfg); err != nil && !errors.Is(err, errShuttingDown) {
				t.Error(err)
			}
		})
	}
	<-begun
	stop()
	all.Wait()
	if _, err := i.Reload(file(99)); !errors.Is(err, errShuttingDown) {
		t.Errorf("a reload after the end: %v", err)
	}
}

// At a shutdown with a stalled server, its calls must be answered before the end, and a stream that is still open must be cut off so
// that its client can detect that.
func TestInstanceDrainEnds(t *testing.T) {
	s := servers(t, "a")
	i, stop := run(t, parse(t, inText, poolText("p", "", s[0]), routeText("r", "/", "p", "pay", ""), routeText("s", "/s", "p", "read", ""),
		"\n[limits]\ndrain = \"300ms\"\n"))
	stream := connect(t, i.Addresses()["in"])
	_ = stream.SetDeadline(time.Now().Add(testTimeout))
	_, _ = io.WriteString(stream, "GET /s?bytes=50000000 HTTP/1.1\r\nHost: h\r\n\r\n")
	begun, err := http.ReadResponse(stream.reader, nil)
	if err != nil || begun.StatusCode != 200 {
		t.Fatalf("the stream does not start: %v, %v", begun, err)
	}
	s[0].SetFault(fakeserver.NoResponse)
	c := connect(t, i.Addresses()["in"])
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	_, _ = io.WriteString(c, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nX-Deadline: 60\r\n\r\n")
	until(t, "the request has reached the server", func() bool { n, _, _, _ := s[0].Counts(); return n == 2 })
	ended := make(chan struct{})
	go func() { stop(); close(ended) }()
	if res, _, err := c.read("POST"); err != nil || res.StatusCode != 502 {
		t.Errorf("response %v, %v, want a failure", res, err)
	}
	<-ended
	if n, err := io.Copy(io.Discard, begun.Body); err == nil {
		t.Errorf("a truncated stream of %d bytes ended as if it were complete", n)
	}
}

// An outage of one pool under high load must not affect the success and the latency of another pool.
func TestOutageStaysInItsPool(t *testing.T) {
	s := servers(t, "sick1", "sick2", "well")
	s[2].SetWork(2 * time.Millisecond)
	i, _ := run(t, parse(t, inText, poolText("sick", "", s[0], s[1]), poolText("well", "", s[2]),
		routeText("sick", "/sick", "sick", "read", ""), routeText("well", "/well", "well", "read", ""), "[limits]\nsockets = 256\n"))
	in := i.Addresses()["in"]
	measure := func() (p99 time.Duration) {
		var mu sync.Mutex
		var took []time.Duration
		var clients sync.WaitGroup
		for range 4 {
			p := connect(t, in)
			clients.Go(func() {
				for range 100 {
					begun := time.Now()
					res, body, err := p.ask("GET", "GET /well HTTP/1.1\r\nHost: h\r\n\r\n")
					if err != nil || res.StatusCode != 200 {
						t.Errorf("%v %q, %v: all are to be served", res, body, err)
						return
					}
					mu.Lock()
					took = append(took, time.Since(begun))
					mu.Unlock()
				}
			})
		}
		clients.Wait()
		if t.Failed() {
			t.FailNow()
		}
		slices.Sort(took)
		return took[len(took)*99/100]
	}
	before := measure()
	for _, one := range s[:2] {
		one.SetFault(fakeserver.NoResponse)
	}
	stop := make(chan struct{})
	var sick sync.WaitGroup
	for range 60 {
		sick.Go(func() {
			var p *peer
			for {
				select {
				case <-stop:
					return
				default:
				}
				if p == nil {
					p = connect(t, in)
				}
				res, _, err := p.ask("GET", "GET /sick HTTP/1.1\r\nHost: h\r\nX-Deadline: 0.3\r\n\r\n")
				if err != nil || res.Close {
					p.Close()
					p = nil
				}
			}
		})
	}
	until(t, "the outage is on", func() bool { st := i.Status().Pools[0]; return st.Open > 20 && st.Refused+st.Failed > 60 })
	during := measure()
	close(stop)
	sick.Wait()
	if during > 5*before+100*time.Millisecond {
		t.Errorf("p99 %v while the other pool is out, %v before", during, before)
	}
	t.Logf("p99 %v before, %v during the outage", before, during)
	st := i.Status()
	if sum := st.Pools[0].MaxConnections + st.Pools[1].MaxConnections; int64(sum) != i.serverConns.limit.Load() {
		t.Errorf("shares sum to %d of %d", sum, i.serverConns.limit.Load())
	}
}

// If a watched server file changes, an added server must get requests and a server that is marked as draining must get no new ones. An
// invalid file must change nothing.
func TestServerFileIsWatched(t *testing.T) {
	s := servers(t, "a", "b")
	path := filepath.Join(t.TempDir(), "servers.toml")
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
	}
	line := func(s *fakeserver.Server, state string) string {
		return fmt.Sprintf("[[server]]\naddress = %q\nstate = %q\n", s.Addr(), state)
	}
	write(line(s[0], "ready"))
	i, _ := run(t, parse(t, inText, poolText("p", fmt.Sprintf("source = { type = \"file\", path = %q, every = \"10ms\" }", path)), routeText("r", "/", "p", "read", "")))
	c := connect(t, i.Addresses()["in"])
	ask := func() string {
		_, body := c.must(t, "GET", "GET /x HTTP/1.1\r\nHost: h\r\n\r\n", 200)
		return body[:len("server=a")]
	}
	if got := ask(); got != "server=a" {
		t.Errorf("%s responded, want a", got)
	}
	write(line(s[0], "ready") + line(s[1], "ready"))
	until(t, "b gets requests", func() bool { return ask() == "server=b" })
	write(line(s[0], "draining") + line(s[1], "ready"))
	until(t, "a is not usable", func() bool { return i.Status().Pools[0].Usable == 1 })
	from, _, _, _ := s[0].Counts()
	write("[[server]]\naddress = 7\n")
	for range 50 {
		ask()
	}
	if n, _, _, _ := s[0].Counts(); n != from {
		t.Errorf("%d requests went to a draining server", n-from)
	}
	if st := i.Status().Pools[0]; st.Servers != 2 {
		t.Errorf("%d servers after an invalid file, want the 2 from before", st.Servers)
	}
}

// Lists from discovery must be applied to a pool in the same way as with the platform's protocol.
func TestPoolFollowsDiscovery(t *testing.T) {
	s := servers(t, "a")
	lists := make(chan List, 2)
	addr := discover(t, func(_ string, send func(List), beat func()) {
		for l := range lists {
			send(l)
		}
	})
	i, _ := run(t, parse(t, inText, poolText("p", fmt.Sprintf("source = { type = \"discovery\", address = %q }", addr)), routeText("r", "/", "p", "read", "")))
	c := connect(t, i.Addresses()["in"])
	c.must(t, "GET", "GET /x HTTP/1.1\r\nHost: h\r\n\r\n", 503)
	lists <- List{Rev: 1, Full: true, Targets: []Target{{UID: "s-1", Endpoint: s[0].Addr(), State: "Ready"}}}
	until(t, "the list is applied", func() bool { return i.Status().Pools[0].Usable == 1 })
	c.must(t, "GET", "GET /x HTTP/1.1\r\nHost: h\r\n\r\n", 200)
	lists <- List{Rev: 2, Targets: []Target{{UID: "s-1", Endpoint: s[0].Addr(), State: "Gone"}}}
	until(t, "the server is removed", func() bool { return i.Status().Pools[0].Servers == 0 })
	c.must(t, "GET", "GET /x HTTP/1.1\r\nHost: h\r\n\r\n", 503)
	close(lists)
}

// Bodies of different lengths from the fake server must differ, so that tests detect a mix-up.
func TestFakeServerBodies(t *testing.T) {
	if bytes.Equal(fakeserver.Body(100)[:50], fakeserver.Body(101)[:50]) {
		t.Error("bodies of 100 and 101 bytes start with the same 50 bytes")
	}
}
