package grpcfront

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"golang.org/x/net/http2"

	"milletmast/internal/fakeserver"
	"milletmast/internal/h2"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testTimeout = 10 * time.Second

func TestTimeouts(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"0n": 0, "1n": 1, "10u": 10 * time.Microsecond, "250m": 250 * time.Millisecond, "3S": 3 * time.Second, "2M": 2 * time.Minute,
		"1H": time.Hour, "99999999H": math.MaxInt64, "99999999S": 99999999 * time.Second,
	} {
		if got, err := parseTimeout(text); err != nil || got != want {
			t.Errorf("%s: %v, %v", text, got, err)
		}
	}
	for _, text := range []string{"", "5", "n", "-1n", "+1n", "1.5S", "100000000n", "1h", "1s", " 1S", "1 S", "0x1S"} {
		if got, err := parseTimeout(text); err == nil {
			t.Errorf("%q is parsed as %v", text, got)
		}
	}
	for _, d := range []time.Duration{-5, 0, 1, 99_999_999, 100_000_000, time.Second, 3*time.Hour + 7, 100 * 24 * time.Hour, math.MaxInt64} {
		f := TimeoutField(d)
		got, err := parseTimeout(f.Value)
		if err != nil || got > max(d, 0) || float64(got) < 0.99*float64(min(d, 99_999_999*time.Second)) {
			t.Errorf("%v is sent as %s, which is %v, %v", d, f.Value, got, err)
		}
	}
}

// TestStatusMapping checks that the table has each code once, and that no response to a call that may have been executed allows
// the caller to retry.
func TestStatusMapping(t *testing.T) {
	for c := OK; c <= Unauthenticated; c++ {
		n := 0
		for _, m := range mappings {
			if m.code == c {
				n++
			}
		}
		status, outcome := StatusOf(c)
		if n != 1 {
			t.Errorf("code %d is %d times in the table", c, n)
		}
		if back := CodeOf(status); back != c && (httpStatusOf(back) != status) {
			t.Errorf("code %d is %d, which is code %d", c, status, back)
		}
		if c == OK || outcome == Served {
			continue
		}
		got := WithoutRetryHints(&Response{Header: []h2.Field{{Name: ":status", Value: "200"}, {Name: "grpc-status", Value: strconv.Itoa(int(c))}, {Name: "grpc-retry-pushback-ms", Value: "5"}}}, outcome)
		if h2.FieldValue(got.Header, "grpc-retry-pushback-ms") != "-1" || h2.FieldValue(got.Header, "grpc-status") == strconv.Itoa(int(Unavailable)) {
			t.Errorf("the response with a server's code %d becomes %v", c, got.Header)
		}
	}
	if status, outcome := StatusOf(4711); status != http.StatusBadGateway || outcome != Failed {
		t.Error(status, outcome)
	}
	for status, want := range map[int]Code{200: OK, 400: InvalidArgument, 404: Unimplemented, 413: ResourceExhausted, 500: Internal, 502: Unknown, 503: Unavailable, 504: DeadlineExceeded, 302: InvalidArgument, 418: InvalidArgument, 599: Unknown} {
		if got := CodeOf(status); got != want {
			t.Errorf("%d is code %d", status, got)
		}
	}
	for _, w := range []struct {
		response Response
		pushback string
	}{
		{Response{Status: 503, RetryAfter: 1500 * time.Millisecond}, "1500"}, {Response{Status: 503}, ""}, {Response{Status: 502}, "-1"},
		{Response{Status: 504}, "-1"}, {Response{Status: 400}, ""},
	} {
		fields := w.response.statusTrailers()
		if got := h2.FieldValue(fields, "grpc-retry-pushback-ms"); got != w.pushback {
			t.Errorf("%+v: pushback %q", w.response, got)
		}
		if after := h2.FieldValue(fields, "retry-after"); w.response.RetryAfter > 0 && after != "1.5" {
			t.Error(after)
		}
	}
}

// httpStatusOf returns the HTTP status of a code.
func httpStatusOf(c Code) int {
	status, _ := StatusOf(c)
	return status
}

func TestStatusMessageIsPercentEncoded(t *testing.T) {
	if got := encodeStatusMessage("50% of ä\n~"); got != "50%25 of %C3%A4%0A~" {
		t.Error(got)
	}
}

func TestClassify(t *testing.T) {
	for _, c := range []struct {
		http, grpc string
		status     int
		outcome    Outcome
		ok         bool
	}{
		{"200", "0", 200, Served, true}, {"200", "5", 404, Served, true}, {"200", "14", 503, FailedRetriable, true}, {"200", "13", 500, Failed, true},
		{"200", "", 0, Failed, false}, {"200", "x", 0, Failed, false}, {"503", "", 503, FailedRetriable, true}, {"404", "", 404, Served, true},
		{"200", "77", 502, Failed, true}, {"", "", 0, Failed, false}, {"429", "", 503, FailedRetriable, true},
	} {
		head := []h2.Field{{Name: ":status", Value: c.http}}
		last := head
		if c.grpc != "" {
			last = []h2.Field{{Name: "grpc-status", Value: c.grpc}}
		}
		if status, outcome, ok := Classify(head, last); status != c.status || outcome != c.outcome || ok != c.ok {
			t.Errorf("HTTP %s, gRPC %s: %d, %d, %v", c.http, c.grpc, status, outcome, ok)
		}
	}
	mark := []h2.Field{{Name: "grpc-status", Value: "14"}, {Name: "x-not-run", Value: "1"}}
	if !IsMarkedNotExecuted(mark, "x-not-run") || IsMarkedNotExecuted(mark, "") || IsMarkedNotExecuted(mark, "x-other") || IsMarkedNotExecuted([]h2.Field{{Name: "grpc-status", Value: "13"}, {Name: "x-not-run", Value: "1"}}, "x-not-run") {
		t.Error("IsMarkedNotExecuted returned a wrong result")
	}
}

// FuzzMessages adds a body in pieces of one size. The result must not depend on the size, and must agree with a simple parser.
func FuzzMessages(f *testing.F) {
	f.Add([]byte{}, 1)
	f.Add(fakeserver.GRPCMessage("hello"), 2)
	f.Add(append(fakeserver.GRPCMessage(""), fakeserver.GRPCMessage("x")...), 1)
	f.Add([]byte{2, 0, 0, 0, 1, 7}, 1)
	f.Add([]byte{0, 0xff, 0xff, 0xff, 0xff, 7}, 3)
	f.Fuzz(func(t *testing.T, body []byte, step int) {
		if step < 1 || len(body) > 1<<12 {
			return
		}
		atOnce, pieces := MessageFraming{MaxBytes: 1000}, MessageFraming{MaxBytes: 1000}
		want := atOnce.Add(body)
		var got error
		for rest := body; len(rest) > 0 && got == nil; {
			n := min(step, len(rest))
			got = pieces.Add(rest[:n])
			rest = rest[n:]
		}
		if fmt.Sprint(want) != fmt.Sprint(got) || want == nil && pieces != atOnce {
			t.Fatalf("%v and %v, %+v and %+v", want, got, atOnce, pieces)
		}
		if want == nil { // count the messages with a simple parser
			n, at := 0, 0
			for at+5 <= len(body) {
				length := int(body[at+1])<<24 | int(body[at+2])<<16 | int(body[at+3])<<8 | int(body[at+4])
				if at+5+length > len(body) {
					break
				}
				n, at = n+1, at+5+length
			}
			if atOnce.Completed != n || atOnce.AtBoundary() != (at == len(body)) {
				t.Fatalf("%d messages, want %d; at a boundary: %v", atOnce.Completed, n, atOnce.AtBoundary())
			}
		}
	})
}

// FuzzTimeout checks that a parsed timeout never becomes longer when it is sent again.
func FuzzTimeout(f *testing.F) {
	for _, s := range []string{"0n", "1H", "99999999H", "12345678m", "x", "1"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		d, err := parseTimeout(text)
		if err != nil {
			return
		}
		if again, err := parseTimeout(TimeoutField(d).Value); err != nil || again > d {
			t.Errorf("%q is %v and is sent as %v, %v", text, d, again, err)
		}
	})
}

// fakeRouter responds to each call with response, or accepts it as a copy of call if response is nil.
type fakeRouter struct {
	call       fakeCall
	response   *Response
	notServing bool
	mu         sync.Mutex
}

func (c *fakeRouter) Route(*Call) (RoutedCall, *Response) {
	if c.response != nil {
		return nil, c.response
	}
	call := c.call
	return &call, nil
}

func (c *fakeRouter) IsServing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.notServing
}

// fakeCall is a RoutedCall that is executed by a function.
type fakeCall struct {
	streaming      bool
	requestTimeout time.Duration
	execute        func(ctx context.Context, r *Request) *Response
}

func (p *fakeCall) IsStreaming() bool                                 { return p.streaming }
func (p *fakeCall) RequestTimeout() time.Duration                     { return p.requestTimeout }
func (p *fakeCall) MaxMessageBytes() int64                            { return 100_000 }
func (p *fakeCall) Execute(ctx context.Context, r *Request) *Response { return p.execute(ctx, r) }
func (p *fakeCall) Close()                                            {}

// serve runs a server on one connection, and returns the caller's side of it.
func serve(t testing.TB, c Router, opt Options) (*Server, *fakeserver.FrameConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	peer, err := fakeserver.DialFrameConn(ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	nc, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	f := New(c, opt)
	var running sync.WaitGroup
	running.Go(func() { _ = f.Serve(nc, nil) })
	t.Cleanup(func() {
		f.CancelStreams()
		peer.Close()
		running.Wait()
	})
	return f, peer
}

// streamEnds returns a condition that holds for the last frame of a stream.
func streamEnds(id uint32) func(fakeserver.Frame) bool {
	return func(f fakeserver.Frame) bool {
		return f.Stream == id && (f.EndStream || f.Type == http2.FrameRSTStream)
	}
}

func TestInvalidCallHeaders(t *testing.T) {
	_, peer := serve(t, &fakeRouter{response: &Response{Status: 404}}, Options{})
	for n, c := range []struct {
		pairs        []string
		status, code string
	}{
		{[]string{":method", "GET", ":scheme", "http", ":path", "/a.B/C", "content-type", "application/grpc"}, "405", ""},
		{[]string{":method", "POST", ":scheme", "http", ":path", "/a.B/C", "content-type", "text/plain"}, "415", ""},
		{[]string{":method", "POST", ":scheme", "http", ":path", "/a.B/C", "content-type", "application/grpcx"}, "415", ""},
		{[]string{":method", "POST", ":scheme", "http", ":path", "/a.B/C", "content-type", "application/grpc+proto"}, "200", "12"},
		{[]string{":method", "POST", ":scheme", "http", ":path", "/a.B/C", "content-type", "application/grpc", "grpc-timeout", "0n"}, "200", "4"},
		{[]string{":method", "POST", ":scheme", "http", ":path", "/a.B/C", "content-type", "application/grpc", "grpc-timeout", "1x"}, "200", "3"},
		{[]string{":method", "POST", ":scheme", "http", ":path", "/a.B/C", "content-type", "application/grpc", "grpc-timeout", "1S", "grpc-timeout", "2S"}, "200", "3"},
	} {
		id := uint32(2*n + 1)
		_ = peer.SendHeaders(id, true, c.pairs...)
		all, err := peer.ReadUntil(testTimeout, streamEnds(id))
		if err != nil {
			t.Fatal(c.pairs, err)
		}
		if s, g := fakeserver.FieldValue(all, id, ":status"), fakeserver.FieldValue(all, id, "grpc-status"); s != c.status || g != c.code {
			t.Errorf("%q: status %s, code %s", c.pairs, s, g)
		}
	}
}

// TestRequestBuffering sends requests in pieces, and checks which of them the router gets complete.
func TestRequestBuffering(t *testing.T) {
	type received struct {
		bytes                   int
		streamed, notRepeatable bool
	}
	got := make(chan received, 1)
	router := &fakeRouter{call: fakeCall{requestTimeout: testTimeout, execute: func(ctx context.Context, r *Request) *Response {
		s := received{streamed: r.Stream != nil, notRepeatable: r.NotRepeatable}
		for _, chunk := range r.Body {
			s.bytes += len(chunk)
		}
		got <- s
		return &Response{Status: 502}
	}}}
	_, peer := serve(t, router, Options{})
	long := fakeserver.GRPCMessage(strings.Repeat("x", 90_000))
	id := uint32(1)
	for name, c := range map[string]struct {
		send func()
		want received
	}{
		"one message with the end": {func() { _ = peer.WriteData(id, true, fakeserver.GRPCMessage("hello")) }, received{10, false, false}},
		"no message":               {func() { _ = peer.WriteData(id, true, nil) }, received{0, false, false}},
		"in pieces, slowly": {func() {
			for n, b := range fakeserver.GRPCMessage("hello") {
				_ = peer.WriteData(id, n == 9, []byte{b})
				time.Sleep(2 * endOfRequestTimeout)
			}
		}, received{10, false, false}},
		"two messages at once": {func() {
			_ = peer.WriteData(id, true, append(fakeserver.GRPCMessage("a"), fakeserver.GRPCMessage("b")...))
		}, received{12, false, true}},
		"one message, and no end":        {func() { _ = peer.WriteData(id, false, fakeserver.GRPCMessage("hello")) }, received{10, true, false}},
		"a header list and nothing more": {func() {}, received{0, true, false}},
		"more than is buffered":          {func() { send(peer, id, long, false) }, received{0, true, false}},
	} {
		_ = peer.SendCall(id, "/a.B/C", false)
		c.send()
		select {
		case s := <-got:
			if name == "more than is buffered" {
				if s.bytes <= maxBufferedBytes || s.bytes > maxBufferedBytes+16<<10 {
					t.Errorf("%d bytes were buffered", s.bytes)
				}
				s.bytes = 0
			}
			if s != c.want {
				t.Errorf("%s: %+v", name, s)
			}
		case <-time.After(testTimeout):
			t.Fatal(name, "was not executed")
		}
		if _, err := peer.ReadUntil(testTimeout, streamEnds(id)); err != nil {
			t.Fatal(name, err)
		}
		id += 2
	}
}

// send writes a long body in several frames. It waits between them instead of tracking flow control windows.
func send(peer *fakeserver.FrameConn, id uint32, body []byte, end bool) {
	for len(body) > 0 {
		n := min(len(body), 10_000)
		_ = peer.WriteData(id, end && n == len(body), body[:n])
		body = body[n:]
		time.Sleep(time.Millisecond) // so that windows are opened meanwhile
	}
}

func TestMalformedMessages(t *testing.T) {
	executed := make(chan struct{}, 10)
	router := &fakeRouter{call: fakeCall{requestTimeout: testTimeout, execute: func(ctx context.Context, r *Request) *Response {
		executed <- struct{}{}
		return &Response{Status: 502}
	}}}
	_, peer := serve(t, router, Options{})
	id := uint32(1)
	for _, k := range []struct {
		body []byte
		code string
	}{
		{fakeserver.GRPCMessage("hello")[:8], "3"},    // the body is shorter than the prefix says
		{[]byte{0, 0, 0}, "3"},                        // half a prefix
		{[]byte{7, 0, 0, 0, 1, 'x'}, "3"},             // an unknown flag
		{[]byte{0, 0x7f, 0xff, 0xff, 0xff, 'x'}, "8"}, // over the limit
	} {
		_ = peer.SendCall(id, "/a.B/C", false)
		_ = peer.WriteData(id, true, k.body)
		all, err := peer.ReadUntil(testTimeout, streamEnds(id))
		if err != nil {
			t.Fatal(k.body, err)
		}
		if code := fakeserver.FieldValue(all, id, "grpc-status"); code != k.code {
			t.Errorf("%v: code %s", k.body, code)
		}
		id += 2
	}
	if len(executed) != 0 {
		t.Error("a malformed request was executed")
	}
	router.call.requestTimeout = 50 * time.Millisecond
	_ = peer.SendCall(id, "/a.B/C", false)
	_ = peer.WriteData(id, false, []byte{0, 0}) // the rest never arrives
	all, err := peer.ReadUntil(testTimeout, streamEnds(id))
	if code := fakeserver.FieldValue(all, id, "grpc-status"); err != nil || code != "4" {
		t.Error(code, err)
	}
}

func TestResetByCallerCancelsCall(t *testing.T) {
	cause := make(chan error, 1)
	router := &fakeRouter{call: fakeCall{requestTimeout: testTimeout, execute: func(ctx context.Context, r *Request) *Response {
		<-ctx.Done()
		cause <- context.Cause(ctx)
		return nil
	}}}
	_, peer := serve(t, router, Options{})
	_ = peer.SendCall(1, "/a.B/C", false)
	_ = peer.WriteData(1, true, fakeserver.GRPCMessage("x"))
	_ = peer.WriteRSTStream(1, http2.ErrCodeCancel)
	var reset *h2.ResetError
	if err := <-cause; !errors.As(err, &reset) || reset.Code != http2.ErrCodeCancel {
		t.Error(err)
	}
}

// TestUnreadResponsesAreDropped opens many calls and reads none of the responses. Each call must be reset soon after the flush
// timeout, so that it holds no memory and no slot of the connection.
func TestUnreadResponsesAreDropped(t *testing.T) {
	big := make([]byte, 60_000)
	router := &fakeRouter{call: fakeCall{requestTimeout: testTimeout, execute: func(ctx context.Context, r *Request) *Response {
		return &Response{Status: 200, Header: []h2.Field{{Name: ":status", Value: "200"}}, Body: [][]byte{big}, Trailers: []h2.Field{{Name: "grpc-status", Value: "0"}}}
	}}}
	_, peer := serve(t, router, Options{MaxConcurrentCalls: 1000, FlushTimeout: 200 * time.Millisecond})
	for n := range uint32(1000) {
		_ = peer.SendCall(2*n+1, "/a.B/C", false)
		_ = peer.WriteData(2*n+1, true, fakeserver.GRPCMessage("x"))
	}
	start := time.Now()
	ended := map[uint32]bool{}
	_, err := peer.ReadUntil(testTimeout, func(f fakeserver.Frame) bool {
		if f.Type == http2.FrameRSTStream {
			ended[f.Stream] = true
		}
		return len(ended) >= 999 // the first response may have fitted into the window
	})
	if took := time.Since(start); err != nil || took > time.Second {
		t.Error(len(ended), took, err)
	}
}

func TestHealth(t *testing.T) {
	router := &fakeRouter{}
	f, peer := serve(t, router, Options{})
	check := func(id uint32, request string) (message, code string) {
		_ = peer.SendCall(id, healthPrefix+"Check", false)
		_ = peer.WriteData(id, true, fakeserver.GRPCMessage(request))
		all, err := peer.ReadUntil(testTimeout, streamEnds(id))
		if err != nil {
			t.Fatal(err)
		}
		for _, fr := range all {
			if fr.Stream == id && len(fr.Data) > 0 {
				message = string(fr.Data)
			}
		}
		return message, fakeserver.FieldValue(all, id, "grpc-status")
	}
	if m, code := check(1, ""); m != "\x00\x00\x00\x00\x02\x08\x01" || code != "0" {
		t.Errorf("%q, %s", m, code)
	}
	if _, code := check(3, "\x0a\x01x"); code != "5" {
		t.Error(code)
	}
	if _, code := check(5, "\x0a\x05x"); code != "3" {
		t.Error(code)
	}
	if _, code := check(7, "\xff\xff"); code != "3" {
		t.Error(code)
	}
	_ = peer.SendCall(9, healthPrefix+"Watch", false)
	_ = peer.WriteData(9, true, fakeserver.GRPCMessage(""))
	message := func(want string) func(fakeserver.Frame) bool {
		return func(f fakeserver.Frame) bool {
			return f.Stream == 9 && string(f.Data) == "\x00\x00\x00\x00\x02\x08"+want
		}
	}
	if _, err := peer.ReadUntil(testTimeout, message("\x01")); err != nil {
		t.Fatal(err)
	}
	router.mu.Lock()
	router.notServing = true
	router.mu.Unlock()
	f.HealthChanged()
	if _, err := peer.ReadUntil(testTimeout, message("\x02")); err != nil {
		t.Fatal(err)
	}
	if m, _ := check(11, ""); !strings.HasSuffix(m, "\x02") {
		t.Errorf("%q", m)
	}
	f.CancelStreams()
	all, err := peer.ReadUntil(testTimeout, streamEnds(9))
	if code := fakeserver.FieldValue(all, 9, "grpc-status"); err != nil || code != "2" {
		t.Error(code, err)
	}
}

// TestIdleConnectionIsDrained checks that a connection without calls gets a GOAWAY and is closed.
func TestIdleConnectionIsDrained(t *testing.T) {
	_, peer := serve(t, &fakeRouter{response: &Response{Status: 404}}, Options{IdleTimeout: 50 * time.Millisecond})
	if _, err := peer.ReadUntil(testTimeout, func(f fakeserver.Frame) bool { return f.Type == http2.FrameGoAway && f.Code == http2.ErrCodeNo }); err != nil {
		t.Fatal(err)
	}
	if _, err := peer.ReadUntil(testTimeout, func(f fakeserver.Frame) bool { return false }); !errors.Is(err, io.EOF) {
		t.Error(err)
	}
}
