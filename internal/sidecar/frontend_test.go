package sidecar

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"
)

// startWithCountingServer runs a sidecar with one server, and returns a channel of the ids of the requests that reach the server.
func startWithCountingServer(t *testing.T, change func(*Sidecar)) (*Sidecar, chan string) {
	t.Helper()
	requestIDs := make(chan string, 1000)
	s, err := New(config(t, scriptedServer(t, func(n int, c net.Conn, r *http.Request) bool {
		requestIDs <- r.Header.Get("X-Request-Id")
		return echo(n, c, r)
	}).Addr().String()))
	if err != nil {
		t.Fatal(err)
	}
	if change != nil {
		change(s)
	}
	go func() { _ = s.Run(t.Context()) }()
	return s, requestIDs
}

// readToEnd waits for the sidecar to close a connection and returns all that it wrote.
func (c *client) readToEnd(t *testing.T) string {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(testTimeout))
	text, err := io.ReadAll(c.reader)
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		t.Fatalf("the connection stays open, after %q", text)
	}
	return string(text)
}

// A request that is ambiguous or invalid must be rejected, must not be forwarded, and must end its connection: the bytes after it may
// be taken for a request that no client sent (request smuggling).
func TestInvalidRequestEndsConnection(t *testing.T) {
	s, requestIDs := startWithCountingServer(t, nil)
	hidden := "GET /read/x HTTP/1.1\r\nHost: b\r\nX-Class: read\r\nX-Request-Id: hidden\r\n\r\n"
	pay := "POST /pay/x HTTP/1.1\r\nHost: b\r\nX-Class: pay\r\nX-Request-Id: 1\r\n"
	for name, c := range map[string]struct {
		text string
		want int
	}{
		"length and chunks":  {pay + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden, 400},
		"chunks and length":  {pay + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n" + hidden, 400},
		"space before colon": {pay + "Content-Length : 5\r\n\r\n" + hidden, 400},
		"two codings":        {pay + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" + hidden, 400},
		"huge length":        {pay + "Content-Length: 99999999999999999999\r\n\r\n" + hidden, 400},
		"long length":        {pay + "Content-Length: 60000000\r\n\r\n" + hidden, 413},
		"invalid chunks":     {pay + "Transfer-Encoding: chunked\r\n\r\nzz\r\n" + hidden, 400},
		"a TLS record":       {"\x16\x03\x01\x00\xa5\r\n\r\n" + hidden, 400},
		"head without end":   {pay + strings.Repeat("X-Pad: p\r\n", maxHeadBytes/10+1), 413},
		"another protocol":   {"GET /read/x HTTP/2.0\r\nHost: b\r\nX-Class: read\r\nX-Request-Id: 1\r\n\r\n" + hidden, 400},
		"no class":           {"GET /nothing HTTP/1.1\r\nHost: b\r\nX-Request-Id: 1\r\n\r\n" + hidden, 404},
	} {
		k := dial(t, s)
		_, _ = io.WriteString(k, c.text)
		if got := k.readToEnd(t); !strings.HasPrefix(got, fmt.Sprint("HTTP/1.1 ", c.want)) || strings.Count(got, "HTTP/1.1") != 1 {
			t.Errorf("%s: response %q, want one with status %d", name, got, c.want)
		}
	}
	if len(requestIDs) > 0 {
		t.Errorf("request %q reached the server", <-requestIDs)
	}
}

// An error response must reach a client that is still sending its body, and the connection must be closed so that the client stops.
func TestErrorReachesSendingClient(t *testing.T) {
	s, _ := startWithCountingServer(t, nil)
	c := dial(t, s)
	go func() {
		fmt.Fprint(c, "POST /pay/x HTTP/1.1\r\nHost: b\r\nX-Class: pay\r\nX-Request-Id: 1\r\nContent-Length: 60000000\r\n\r\n")
		for block := make([]byte, 1<<20); ; {
			if _, err := c.Write(block); err != nil {
				return
			}
		}
	}()
	_ = c.SetReadDeadline(time.Now().Add(testTimeout))
	if res, err := http.ReadResponse(c.reader, nil); err != nil || res.StatusCode != 413 {
		t.Errorf("response %v, error %v", res, err)
	}
}

// Connections on which a client sends nothing or half a request, and connections that stay idle after a response, must be closed
// after the idle timeout.
func TestIdleConnectionsEnd(t *testing.T) {
	s, requestIDs := startWithCountingServer(t, func(s *Sidecar) { s.frontend.idleTimeout = 20 * time.Millisecond })
	for name, text := range map[string]string{
		"silent":    "",
		"half head": "POST /pay/x HTTP/1.1\r\nHost:",
		"half body": "POST /pay/x HTTP/1.1\r\nHost: b\r\nX-Class: pay\r\nX-Request-Id: 1\r\nContent-Length: 9\r\n\r\nhalf",
	} {
		c := dial(t, s)
		_, _ = io.WriteString(c, text)
		if got := c.readToEnd(t); got != "" {
			t.Errorf("%s: response %q", name, got)
		}
	}
	if len(requestIDs) > 0 {
		t.Error("half a request was forwarded")
	}
	c := dial(t, s)
	c.send("GET", "read", "")
	if res, _ := c.readResponse(t); res.StatusCode != 200 {
		t.Errorf("status %d", res.StatusCode)
	}
	c.readToEnd(t)
	s.frontend.clients.mu.Lock()
	defer s.frontend.clients.mu.Unlock()
	if n := s.frontend.clients.idleUsed.Len(); n > s.frontend.clients.open {
		t.Errorf("%d connections are listed as idle, but only %d are open", n, s.frontend.clients.open)
	}
}

// A request with the id of an open request must be rejected without affecting the open one.
func TestIDOfOpenRequest(t *testing.T) {
	release, requests := make(chan struct{}), make(chan struct{}, 10)
	s := start(t, config(t, scriptedServer(t, func(n int, c net.Conn, r *http.Request) bool {
		requests <- struct{}{}
		<-release
		return echo(n, c, r)
	}).Addr().String()))
	first, second := dial(t, s), dial(t, s)
	first.send("GET", "read", "")
	<-requests
	second.send("GET", "read", "")
	if res, _ := second.readResponse(t); res.StatusCode != http.StatusConflict || !res.Close {
		t.Errorf("status %d, close %v", res.StatusCode, res.Close)
	}
	close(release)
	if res, _ := first.readResponse(t); res.StatusCode != 200 {
		t.Errorf("status %d for the first", res.StatusCode)
	}
	first.send("GET", "read", "") // the id can be used again
	if res, _ := first.readResponse(t); res.StatusCode != 200 {
		t.Errorf("status %d for the same id after the first", res.StatusCode)
	}
}

// A request that a server rejects with 400 must not be retried: on other servers it would cause work and make each of them look
// faulty.
func TestUnusableRequestIsTriedOnce(t *testing.T) {
	requests := make(chan struct{}, 10)
	unusable := scriptedServer(t, func(_ int, c net.Conn, _ *http.Request) bool {
		requests <- struct{}{}
		_, _ = io.WriteString(c, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	s := start(t, config(t, unusable.Addr().String()))
	for range 5 {
		c := dial(t, s)
		c.send("GET", "read", "")
		if res, _ := c.readResponse(t); res.StatusCode != 400 || !res.Close {
			t.Errorf("status %d, close %v", res.StatusCode, res.Close)
		}
	}
	if len(requests) != 5 {
		t.Errorf("%d attempts for 5 requests", len(requests))
	}
}

// Ended calls must be removed at once. If they were kept until their deadlines, their bodies would use memory for seconds.
func TestEndedCallsAreForgotten(t *testing.T) {
	s, _ := startWithCountingServer(t, nil)
	c := dial(t, s)
	for range 20 {
		c.send("POST", "pay", "body")
		c.readResponse(t)
	}
	for left, end := 1, time.Now().Add(testTimeout); left > 0; {
		s.loop.do(func() {
			left = len(s.loop.calls) + len(s.loop.openIDs)
			for _, d := range s.loop.timers {
				if d.call != nil {
					left++
				}
			}
		})
		if time.Now().After(end) {
			t.Fatalf("%d calls, ids and timers are left", left)
		}
	}
}

// A client that sends Expect: 100-continue must get the interim response.
func TestExpectContinue(t *testing.T) {
	s, _ := startWithCountingServer(t, nil)
	c := dial(t, s)
	fmt.Fprint(c, "POST /pay/x HTTP/1.1\r\nHost: b\r\nX-Class: pay\r\nX-Request-Id: 1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	_ = c.SetReadDeadline(time.Now().Add(testTimeout))
	if line, _ := c.reader.ReadString('\n'); !strings.HasPrefix(line, "HTTP/1.1 100") {
		t.Fatalf("%q", line)
	}
	_, _ = c.reader.ReadString('\n')
	_, _ = io.WriteString(c, "hi")
	if res, _ := c.readResponse(t); res.StatusCode != 200 {
		t.Errorf("status %d", res.StatusCode)
	}
}

// net/http must read the same body from every message that readMessage accepts, so that no request can be hidden in it.
func FuzzReadMessage(f *testing.F) {
	for _, text := range []string{
		"GET /a HTTP/1.1\r\nHost: b\r\n\r\n", "POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc",
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", "A / HTTP/1.1\nB: c\n d\n\n",
		"A / HTTP/1.1\r\nB : c\r\n\r\n", "\r\n\r\n", "A\r\n:\r\n\r\n", "A / HTTP/1.1\r\nContent-Length: +1\r\n\r\nx",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		r := bufio.NewReader(strings.NewReader(string(text)))
		m, err := readMessage(r)
		if err != nil || !strings.HasSuffix(m.startLine, " HTTP/1.1") || !strings.HasPrefix(m.startLine, "POST / ") {
			return
		}
		if m.length == lengthUnknown {
			m.length = 0
		}
		body, err := readBody(r, m.length)
		if len(body) > maxBufferedBody+1 {
			t.Errorf("body of %d bytes", len(body))
		}
		if err != nil {
			return
		}
		req, err := http.ReadRequest(bufio.NewReader(strings.NewReader(string(text))))
		if err != nil {
			return // net/http is stricter
		}
		want, err := io.ReadAll(req.Body)
		if err != nil || string(want) != string(body) {
			t.Errorf("body %q, net/http reads %q, %v", body, want, err)
		}
	})
}

// Where parseCommonHead succeeds, parseHead must return the same, also for the head as writeHeader writes it.
func FuzzParseCommonHead(f *testing.F) {
	for _, text := range []string{
		"GET / HTTP/1.1\r\nHost: a\r\nX-y:  b \t\r\nx-Y: c\r\n\r\n", "A\r\nB: c\n d\r\n\r\n", "A\n\n", "\r\n", "A\r\n: x\r\n\r\n",
		"A\r\nB : c\r\n\r\n", "A\r\n B: c\r\n\r\n", "A\r\nB: c\x00\r\n\r\n", "A\rB\r\nC: \r\n\r\n", "A\r\nB: \xff\xc3\r\n\r\n", "A\r\nB\r\n\r\n",
		"A\r\nContent-length: 1\r\ncontent-Length: 1\r\n\r\n", "A\r\nB: c\rd\r\n\r\n", "A\r\nB: c\r\n\r\nD: e\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		lines, err := readLines(bufio.NewReader(bytes.NewReader(text)))
		if err != nil {
			return
		}
		first, header, ok := parseCommonHead(lines)
		if !ok {
			return
		}
		slowFirst, slow, err := parseHead(lines)
		if err != nil || first != slowFirst || !maps.EqualFunc(header, slow, slices.Equal) {
			t.Fatalf("%q: %q %q, want %q %q, %v", lines, first, header, slowFirst, slow, err)
		}
		var again bytes.Buffer
		again.WriteString(first + "\r\n")
		writeHeader(&again, header, "")
		again.WriteString("\r\n")
		if f2, h2, err := parseHead(again.Bytes()); err != nil || f2 != first || !maps.EqualFunc(h2, header, slices.Equal) {
			t.Fatalf("%q is read again as %q %q, %v", again.Bytes(), f2, h2, err)
		}
	})
}

func BenchmarkReadMessage(b *testing.B) {
	text := "GET /items/7?a=b HTTP/1.1\r\nHost: shop.example.org\r\nUser-Agent: app/1.2\r\nAccept: application/json\r\n" +
		"X-Request-Id: 0123456789abcdef\r\nX-Tenant: cairo\r\nX-Deadline: 1.250\r\nCookie: obj=17\r\n\r\n"
	source := strings.NewReader(text)
	r := bufio.NewReader(source)
	b.ReportAllocs()
	for b.Loop() {
		source.Reset(text)
		r.Reset(source)
		if _, err := readMessage(r); err != nil {
			b.Fatal(err)
		}
	}
}

// Whatever a server sends, the first part of its response must not exceed the buffer limit, and a response whose end is not defined
// must not be accepted.
func FuzzReadResponse(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", "HTTP/1.1 103 E\r\n\r\nHTTP/1.1 204 N\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", "HTTP/1.1 2x0\r\n\r\n", "ICY 200 OK\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		status, m, body, _, err := readResponse(bufio.NewReader(strings.NewReader(string(text))))
		if err != nil {
			return
		}
		if len(body) > maxBufferedBody || status < 200 || status > 999 || m.length == lengthUnknown && len(body) > 0 && m.keepsAlive() {
			t.Errorf("status %d, %d bytes, head %v", status, len(body), m)
		}
	})
}
