package h2_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"runtime"
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

// testContext returns a context that ends after testTimeout.
func testContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// pair returns the two ends of a loopback connection.
func pair(t testing.TB) (a, b net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	a, err = net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if b, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { a.Close(); b.Close() })
	return a, b
}

// runConn runs a connection until the test ends. The channel receives the result of Run.
func runConn(t testing.TB, c *h2.Conn) <-chan error {
	ended := make(chan error, 1)
	var running sync.WaitGroup
	running.Go(func() { ended <- c.Run() })
	t.Cleanup(func() {
		c.Close()
		running.Wait()
	})
	return ended
}

// startServer runs a connection as a server. The peer sends and receives single frames.
func startServer(t testing.TB, cfg h2.Config) (c *h2.Conn, peer *fakeserver.FrameConn, ended <-chan error) {
	t.Helper()
	a, b := pair(t)
	c = h2.New(a, nil, cfg)
	ended = runConn(t, c)
	peer = fakeserver.NewFrameConn(b)
	_, _ = io.WriteString(b, http2.ClientPreface)
	_ = peer.WriteSettings()
	return c, peer, ended
}

// startClient runs a connection as a client and completes the handshake. The peer sends and receives single frames.
func startClient(t testing.TB, cfg h2.Config, settings ...http2.Setting) (c *h2.Conn, peer *fakeserver.FrameConn, ended <-chan error) {
	t.Helper()
	a, b := pair(t)
	cfg.Client = true
	c = h2.New(a, nil, cfg)
	ended = runConn(t, c)
	peer = fakeserver.NewFrameConn(b)
	if err := peer.ServerHandshake(settings...); err != nil {
		t.Fatal(err)
	}
	if err := c.WaitSettings(testContext(t)); err != nil {
		t.Fatal(err)
	}
	return c, peer, ended
}

// echo returns a handler that sends the DATA of each stream back, and trailers.
func echo(t testing.TB, calls *sync.WaitGroup) func(*h2.Stream, []h2.Field, bool) bool {
	ctx := testContext(t)
	return func(s *h2.Stream, head []h2.Field, ended bool) bool {
		calls.Go(func() {
			_ = s.SendHeader([]h2.Field{{Name: ":status", Value: "200"}}, false)
			for {
				chunk, err := s.Recv(ctx)
				if errors.Is(err, io.EOF) {
					_ = s.SendEnd([]h2.Field{{Name: "x-last", Value: "1"}})
					return
				}
				if err != nil || s.Send(ctx, chunk) != nil {
					return
				}
			}
		})
		return true
	}
}

var head = []h2.Field{{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"}, {Name: ":path", Value: "/a.B/C"}, {Name: ":authority", Value: "x"}}

func TestEchoRoundTrips(t *testing.T) {
	a, b := pair(t)
	var calls sync.WaitGroup
	defer calls.Wait()
	srv := h2.New(a, nil, h2.Config{OnStream: echo(t, &calls)})
	runConn(t, srv)
	cl := h2.New(b, nil, h2.Config{Client: true})
	runConn(t, cl)
	ctx := testContext(t)
	if err := cl.WaitSettings(ctx); err != nil {
		t.Fatal(err)
	}
	var all sync.WaitGroup
	for n := range 50 {
		all.Go(func() {
			want := bytes.Repeat([]byte{byte(n)}, 1+n*9001) // larger than the windows
			s, err := cl.OpenStream(append(head, h2.Field{Name: "x-long", Value: strings.Repeat("v", n*100)}), [][]byte{want[:1]}, false, time.Time{})
			if err != nil {
				t.Error(err)
				return
			}
			go func() {
				for rest := want[1:]; len(rest) > 0; {
					k := min(len(rest), 7000)
					if err := s.Send(ctx, rest[:k]); err != nil {
						t.Error(err)
						return
					}
					rest = rest[k:]
				}
				_ = s.SendEnd(nil)
			}()
			if fields, _, err := s.RecvHeader(ctx); err != nil || h2.FieldValue(fields, ":status") != "200" {
				t.Error(fields, err)
				return
			}
			var got []byte
			for {
				chunk, err := s.Recv(ctx)
				if errors.Is(err, io.EOF) {
					break
				}
				if err != nil {
					t.Error(err)
					return
				}
				got = append(got, chunk...)
			}
			if !bytes.Equal(got, want) || h2.FieldValue(s.Trailers(), "x-last") != "1" {
				t.Errorf("%d: %d of %d bytes, trailers %v", n, len(got), len(want), s.Trailers())
			}
		})
	}
	all.Wait()
	if srv.OpenStreams()+cl.OpenStreams() != 0 {
		t.Errorf("%d and %d streams are left open", srv.OpenStreams(), cl.OpenStreams())
	}
}

// TestProgressOfFailedStreams checks, for each way in which a stream can fail before its response, the error and whether the
// start and the end of the request count as sent. A request could be executed twice if either were wrong.
func TestProgressOfFailedStreams(t *testing.T) {
	window := http2.Setting{ID: http2.SettingInitialWindowSize, Val: 0}
	for _, c := range []struct {
		name           string
		settings       []http2.Setting
		act            func(p *fakeserver.FrameConn)
		err            error
		started, ended bool
	}{
		{"refused", nil, func(p *fakeserver.FrameConn) { _ = p.WriteRSTStream(1, http2.ErrCodeRefusedStream) }, h2.ErrRefused, true, true},
		{"GOAWAY with a lower stream ID", nil, func(p *fakeserver.FrameConn) { _ = p.WriteGoAway(0, http2.ErrCodeNo, nil) }, h2.ErrGoAway, true, true},
		{"GOAWAY between HEADERS and DATA", []http2.Setting{window}, func(p *fakeserver.FrameConn) { _ = p.WriteGoAway(0, http2.ErrCodeNo, nil) }, h2.ErrGoAway, true, false},
		{"GOAWAY that includes the stream, then closed", nil, func(p *fakeserver.FrameConn) { _ = p.WriteGoAway(1, http2.ErrCodeNo, nil); _ = p.Close() }, h2.ErrClosed, true, true},
		{"closed", nil, func(p *fakeserver.FrameConn) { p.Close() }, h2.ErrClosed, true, true},
		{"closed before the end was sent", []http2.Setting{window}, func(p *fakeserver.FrameConn) { p.Close() }, h2.ErrClosed, true, false},
		{"reset with NO_ERROR before the end was sent", []http2.Setting{window}, func(p *fakeserver.FrameConn) { _ = p.WriteRSTStream(1, http2.ErrCodeNo) }, nil, true, false},
		{"reset", nil, func(p *fakeserver.FrameConn) { _ = p.WriteRSTStream(1, http2.ErrCodeInternal) }, nil, true, true},
		{"refused after a header list", nil, func(p *fakeserver.FrameConn) {
			_ = p.SendHeaders(1, false, ":status", "200")
			_ = p.WriteRSTStream(1, http2.ErrCodeRefusedStream)
		}, nil, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			cl, peer, _ := startClient(t, h2.Config{}, c.settings...)
			s, err := cl.OpenStream(head, [][]byte{[]byte("body")}, true, time.Time{})
			if err != nil {
				t.Fatal(err)
			}
			requestSent := func(f fakeserver.Frame) bool {
				return f.Stream == 1 && (f.EndStream || f.Type == http2.FrameHeaders && c.settings != nil)
			}
			if _, err := peer.ReadUntil(testTimeout, requestSent); err != nil {
				t.Fatal(err)
			}
			c.act(peer)
			ctx := testContext(t)
			for err == nil {
				_, _, err = s.RecvHeader(ctx)
			}
			var reset *h2.ResetError
			if c.err != nil && !errors.Is(err, c.err) || c.err == nil && !errors.As(err, &reset) {
				t.Errorf("the stream ended with %v", err)
			}
			s.Reset(http2.ErrCodeCancel)
			if started, ended := s.Progress(); started != c.started || ended != c.ended {
				t.Errorf("started %v, ended %v; want %v, %v", started, ended, c.started, c.ended)
			}
			if cl.OpenStreams() != 0 {
				t.Errorf("%d streams are open", cl.OpenStreams())
			}
		})
	}
}

func TestNothingIsSentAfterStartByOrReset(t *testing.T) {
	cl, peer, _ := startClient(t, h2.Config{})
	late, err := cl.OpenStream(head, nil, true, time.Now().Add(-time.Millisecond))
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := late.RecvHeader(testContext(t)); !errors.Is(err, h2.ErrStartTimeout) {
		t.Error(err)
	}
	if started, _ := late.Progress(); started {
		t.Error("a byte of the late stream may have been sent")
	}
	s, err := cl.OpenStream(head, [][]byte{[]byte("x")}, false, time.Time{})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := peer.ReadUntil(testTimeout, func(f fakeserver.Frame) bool { return len(f.Data) > 0 }); err != nil {
		t.Fatal(err)
	}
	s.Reset(http2.ErrCodeCancel)
	if err := s.Send(testContext(t), []byte("y")); err == nil {
		t.Error("Send succeeded after the reset")
	}
	next, err := cl.OpenStream(head, nil, true, time.Time{})
	if err != nil {
		t.Fatal(err)
	}
	all, err := peer.ReadUntil(testTimeout, func(f fakeserver.Frame) bool { return f.Type == http2.FrameHeaders })
	if err != nil {
		t.Fatal(err)
	}
	resets := 0
	for _, f := range all {
		if f.Type == http2.FrameData {
			t.Error("DATA after the reset")
		}
		if f.Type == http2.FrameRSTStream {
			resets++
		}
	}
	if f := all[len(all)-1]; f.Stream != 3 || resets != 1 { // the late stream used no ID
		t.Errorf("stream %d after %d resets", f.Stream, resets)
	}
	next.Reset(http2.ErrCodeCancel)
}

// TestPartialFrameDelaysNoResponse sends a response and, in the same write, the start of a frame whose rest never arrives. The
// reader of the response must be notified without waiting for the rest.
func TestPartialFrameDelaysNoResponse(t *testing.T) {
	for _, rest := range []string{"\x00", "\x00\x00\x08\x00\x00\x00\x00\x00\x03abc", "\x00\x00\x01\x01\x00\x00\x00\x00\x03\x88"} {
		cl, peer, _ := startClient(t, h2.Config{})
		first, err := cl.OpenStream(head, nil, true, time.Time{})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := cl.OpenStream(head, nil, true, time.Time{}); err != nil {
			t.Fatal(err)
		}
		if _, err := peer.ReadUntil(testTimeout, func(f fakeserver.Frame) bool { return f.Stream == 3 && f.EndStream }); err != nil {
			t.Fatal(err)
		}
		var text bytes.Buffer
		f := http2.NewFramer(&text, nil)
		_ = f.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: peer.EncodeHeaders(":status", "200"), EndHeaders: true, EndStream: true})
		text.WriteString(rest)
		_, _ = peer.Write(text.Bytes())
		if _, end, err := first.RecvHeader(testContext(t)); err != nil || !end {
			t.Errorf("%q: %v, %v", rest, end, err)
		}
	}
}

func TestClientObeysMaxConcurrentStreams(t *testing.T) {
	cl, peer, _ := startClient(t, h2.Config{MaxConcurrentStreams: 10}, http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: 3})
	var open []*h2.Stream
	for cl.AvailableStreams() > 0 {
		s, err := cl.OpenStream(head, nil, true, time.Time{})
		if err != nil {
			t.Fatal(err)
		}
		open = append(open, s)
	}
	if len(open) != 3 {
		t.Errorf("%d streams were opened, want 3", len(open))
	}
	if _, err := cl.OpenStream(head, nil, true, time.Time{}); !errors.Is(err, h2.ErrNoCapacity) {
		t.Error(err)
	}
	if _, err := peer.ReadUntil(testTimeout, func(f fakeserver.Frame) bool { return f.Stream == 5 }); err != nil {
		t.Fatal(err)
	}
	_ = peer.SendHeaders(3, true, ":status", "200")
	if _, end, err := open[1].RecvHeader(testContext(t)); err != nil || !end {
		t.Error(end, err)
	}
	if cl.AvailableStreams() != 1 {
		t.Errorf("%d streams available, want 1", cl.AvailableStreams())
	}
}

// TestDrainSendsTwoGoAways opens a stream between the two GOAWAY frames of a server. It must be served like earlier ones, and a
// stream after the second GOAWAY must be ignored.
func TestDrainSendsTwoGoAways(t *testing.T) {
	var calls sync.WaitGroup
	defer calls.Wait()
	c, peer, ended := startServer(t, h2.Config{OnStream: echo(t, &calls)})
	_ = peer.SendCall(1, "/a.B/C", false)
	if _, err := peer.ReadUntil(testTimeout, func(f fakeserver.Frame) bool { return f.Type == http2.FrameHeaders }); err != nil {
		t.Fatal(err)
	}
	c.Drain()
	goAway := func(f fakeserver.Frame) bool { return f.Type == http2.FrameGoAway }
	all, err := peer.ReadUntil(testTimeout, goAway)
	if err != nil || all[len(all)-1].LastStream != 1<<31-1 {
		t.Fatal(all, err)
	}
	_ = peer.SendCall(3, "/a.B/C", false) // sent before the client received the GOAWAY
	if all, err = peer.ReadUntil(testTimeout, func(f fakeserver.Frame) bool { return f.Type == http2.FramePing }); err != nil {
		t.Fatal(err)
	}
	_ = peer.WritePing(true, [8]byte(all[len(all)-1].Data))
	if all, err = peer.ReadUntil(testTimeout, goAway); err != nil || all[len(all)-1].LastStream != 3 {
		t.Fatal(all, err)
	}
	_ = peer.SendCall(5, "/a.B/C", true) // sent after the final GOAWAY
	for _, id := range []uint32{1, 3} {
		_ = peer.WriteData(id, true, []byte("text"))
	}
	done := map[uint32]bool{}
	all, err = peer.ReadUntil(testTimeout, func(f fakeserver.Frame) bool {
		if f.EndStream {
			done[f.Stream] = true
		}
		return len(done) == 2
	})
	if err != nil || done[5] {
		t.Fatal(all, err)
	}
	if _, err := peer.ReadNext(); !errors.Is(err, io.EOF) {
		t.Error("the connection is still open: ", err)
	}
	peer.Close()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

func TestKeepaliveDetectsUnresponsiveServer(t *testing.T) {
	cl, peer, ended := startClient(t, h2.Config{ReadIdleTimeout: 50 * time.Millisecond, PingTimeout: 100 * time.Millisecond})
	s, err := cl.OpenStream(head, nil, true, time.Time{})
	if err != nil {
		t.Fatal(err)
	}
	for range 3 { // the server responds at first
		all, err := peer.ReadUntil(testTimeout, func(f fakeserver.Frame) bool { return f.Type == http2.FramePing && !f.Ack })
		if err != nil {
			t.Fatal(err)
		}
		_ = peer.WritePing(true, [8]byte(all[len(all)-1].Data))
	}
	if s.Err() != nil {
		t.Fatal(s.Err())
	}
	if _, _, err := s.RecvHeader(testContext(t)); !errors.Is(err, h2.ErrClosed) {
		t.Error(err)
	}
	if err := <-ended; err == nil {
		t.Error("the connection ended without an error")
	}
}

// TestUnreadBytesAreBounded sends as much DATA as the windows allow to a side that reads nothing, and then more. More must end
// the stream, or the connection if it is over the window of the connection.
func TestUnreadBytesAreBounded(t *testing.T) {
	opened := make(chan *h2.Stream, 100)
	_, peer, _ := startServer(t, h2.Config{StreamWindow: 20_000, ConnWindow: 100_000, OnStream: func(s *h2.Stream, _ []h2.Field, _ bool) bool {
		opened <- s
		return true
	}})
	part := make([]byte, 10_000)
	for n := range uint32(5) {
		_ = peer.SendCall(2*n+1, "/a.B/C", false)
		_ = peer.WriteData(2*n+1, false, part)
		_ = peer.WriteData(2*n+1, false, part)
	}
	var all []*h2.Stream
	for range 5 {
		all = append(all, <-opened)
	}
	_ = peer.WritePing(false, [8]byte{})
	if _, err := peer.ReadUntil(testTimeout, func(f fakeserver.Frame) bool { return f.Ack && f.Type == http2.FramePing }); err != nil {
		t.Fatal("DATA within the windows was not accepted:", err)
	}
	for n, s := range []*h2.Stream{all[0], all[0], all[1]} { // bytes that have been read open the windows again
		if chunk, err := s.Recv(testContext(t)); err != nil || len(chunk) != 10_000 {
			t.Fatal(n, len(chunk), err)
		}
	}
	if _, err := peer.ReadUntil(testTimeout, func(f fakeserver.Frame) bool { return f.Type == http2.FrameWindowUpdate && f.Stream == 0 }); err != nil {
		t.Fatal(err)
	}
	_ = peer.WriteData(1, false, part)
	if _, err := all[0].Recv(testContext(t)); err != nil {
		t.Fatal(err)
	}
	_ = peer.WriteData(3, false, part)
	_ = peer.WriteData(3, false, part) // over the window of the stream: it is reset
	if _, err := peer.ReadUntil(testTimeout, func(f fakeserver.Frame) bool {
		return f.Type == http2.FrameRSTStream && f.Stream == 3 && f.Code == http2.ErrCodeFlowControl
	}); err != nil {
		t.Fatal(err)
	}
	_, peer, ended := startServer(t, h2.Config{StreamWindow: 20_000, ConnWindow: 100_000, OnStream: func(s *h2.Stream, _ []h2.Field, _ bool) bool {
		return true
	}})
	for n := range uint32(11) { // within the windows of the streams, over that of the connection
		_ = peer.SendCall(2*n+1, "/a.B/C", false)
		_ = peer.WriteData(2*n+1, false, part)
	}
	select {
	case err := <-ended:
		if err == nil || !strings.Contains(err.Error(), "FLOW_CONTROL") {
			t.Error(err)
		}
	case <-time.After(testTimeout):
		t.Error("the connection is still open")
	}
}

// TestFloods runs attacks. Each must end its connection within a second and without much memory, while streams on another
// connection are served.
func TestFloods(t *testing.T) {
	fields := []string{":method", "POST", ":scheme", "http", ":path", "/a.B/C"}
	for name, step := range map[string]func(p *fakeserver.FrameConn, n uint32) error{
		"rapid reset": func(p *fakeserver.FrameConn, n uint32) error {
			_ = p.SendCall(2*n+1, "/a.B/C", false)
			return p.WriteRSTStream(2*n+1, http2.ErrCodeCancel)
		},
		"PING": func(p *fakeserver.FrameConn, n uint32) error { return p.WritePing(false, [8]byte{byte(n)}) },
		"SETTINGS": func(p *fakeserver.FrameConn, n uint32) error {
			return p.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: n % 1000})
		},
		"empty DATA": func(p *fakeserver.FrameConn, n uint32) error {
			if n == 0 {
				_ = p.SendCall(1, "/a.B/C", false)
			}
			return p.WriteData(1, false, nil)
		},
		"padding": func(p *fakeserver.FrameConn, n uint32) error {
			if n == 0 {
				_ = p.SendCall(1, "/a.B/C", false)
			}
			return p.WriteDataPadded(1, false, nil, make([]byte, 200))
		},
		"CONTINUATION": func(p *fakeserver.FrameConn, n uint32) error {
			if n == 0 {
				return p.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: p.EncodeHeaders(fields...)})
			}
			return p.WriteContinuation(1, false, p.EncodeHeaders(fmt.Sprint("x-", n), "y"))
		},
		"empty CONTINUATION": func(p *fakeserver.FrameConn, n uint32) error {
			if n == 0 {
				return p.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: p.EncodeHeaders(fields...)})
			}
			return p.WriteContinuation(1, false, nil)
		},
		"WINDOW_UPDATE": func(p *fakeserver.FrameConn, n uint32) error { return p.WriteWindowUpdate(0, 1) },
		"PRIORITY": func(p *fakeserver.FrameConn, n uint32) error {
			return p.WritePriority(1, http2.PriorityParam{Weight: byte(n)})
		},
		"unknown frames":  func(p *fakeserver.FrameConn, n uint32) error { return p.WriteRawFrame(99, 0, 1, nil) },
		"refused streams": func(p *fakeserver.FrameConn, n uint32) error { return p.SendCall(2*n+1, "/hold", false) },
		"window over the limit": func(p *fakeserver.FrameConn, n uint32) error {
			return p.WriteWindowUpdate(0, 1<<31-1)
		},
		"an even stream":         func(p *fakeserver.FrameConn, n uint32) error { return p.SendCall(2*n+2, "/a.B/C", false) },
		"DATA of no stream":      func(p *fakeserver.FrameConn, n uint32) error { return p.WriteData(7, false, []byte("x")) },
		"a frame over the limit": func(p *fakeserver.FrameConn, n uint32) error { return p.WriteRawFrame(0, 0, 1, make([]byte, 20_000)) },
		"invalid compression": func(p *fakeserver.FrameConn, n uint32) error {
			return p.WriteHeaders(http2.HeadersFrameParam{StreamID: 2*n + 1, BlockFragment: []byte{0xff, 0xff, 0xff, 0xff, 0xff, 0x0f}, EndHeaders: true})
		},
	} {
		t.Run(name, func(t *testing.T) {
			var calls sync.WaitGroup
			defer calls.Wait()
			ctx := testContext(t)
			a, b := pair(t)
			otherServer := h2.New(a, nil, h2.Config{OnStream: echo(t, &calls)})
			runConn(t, otherServer)
			otherClient := h2.New(b, nil, h2.Config{Client: true})
			runConn(t, otherClient)
			if err := otherClient.WaitSettings(ctx); err != nil {
				t.Fatal(err)
			}
			serve := echo(t, &calls)
			_, peer, ended := startServer(t, h2.Config{OnStream: func(s *h2.Stream, head []h2.Field, end bool) bool {
				return h2.FieldValue(head, ":path") == "/hold" || serve(s, head, end)
			}})
			go func() { _, _ = io.Copy(io.Discard, peer.Conn) }()
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			start := time.Now()
			stop := make(chan struct{})
			var attack sync.WaitGroup
			attack.Go(func() {
				for n := uint32(0); ; n++ {
					select {
					case <-stop:
						return
					default:
					}
					if step(peer, n) != nil {
						return
					}
				}
			})
			select {
			case err := <-ended:
				if took := time.Since(start); err == nil || took > time.Second {
					t.Errorf("ended after %v with %v", took, err)
				}
			case <-time.After(testTimeout):
				t.Error("the connection is still open")
			}
			close(stop)
			peer.Close()
			attack.Wait()
			runtime.GC()
			runtime.ReadMemStats(&after)
			if more := int64(after.HeapAlloc) - int64(before.HeapAlloc); more > 4<<20 {
				t.Errorf("%d KiB more are in use", more>>10)
			}
			s, err := otherClient.OpenStream(head, [][]byte{[]byte("text")}, true, time.Time{})
			if err != nil {
				t.Fatal(err)
			}
			if _, _, err := s.RecvHeader(ctx); err != nil {
				t.Error("stream on the other connection:", err)
			}
			s.Reset(http2.ErrCodeCancel)
		})
	}
}

// TestMalformedHeaderLists sends malformed header lists. Each must reset its stream and leave the connection open.
func TestMalformedHeaderLists(t *testing.T) {
	var calls sync.WaitGroup
	defer calls.Wait()
	_, peer, _ := startServer(t, h2.Config{OnStream: echo(t, &calls)})
	id := uint32(1)
	for _, pairs := range [][]string{
		{":method", "POST", ":scheme", "http"},
		{":method", "POST", ":scheme", "http", ":path", "/", ":path", "/b"},
		{":method", "POST", ":scheme", "http", ":path", "/", ":status", "200"},
		{":method", "POST", ":scheme", "http", "x", "y", ":path", "/"},
		{":method", "POST", ":scheme", "http", ":path", "/", "X-Upper", "y"},
		{":method", "POST", ":scheme", "http", ":path", "/", "connection", "close"},
		{":method", "POST", ":scheme", "http", ":path", "/", "transfer-encoding", "chunked"},
		{":method", "POST", ":scheme", "http", ":path", "/", "te", "gzip"},
		{":method", "POST", ":scheme", "http", ":path", "/", "x", "line\r\nbreak"},
		{":method", "POST", ":scheme", "http", ":path", "/", "a b", "c"},
		{":method", "POST", ":scheme", "http", ":path", "/", "x-long", strings.Repeat("x", 17<<10)},
	} {
		_ = peer.SendHeaders(id, true, pairs...)
		all, err := peer.ReadUntil(testTimeout, func(f fakeserver.Frame) bool { return f.Stream == id })
		if err != nil {
			t.Fatalf("%q: %v", pairs, err)
		}
		if f := all[len(all)-1]; f.Type != http2.FrameRSTStream || f.Code != http2.ErrCodeProtocol {
			t.Errorf("%.100q: response is %v %v", pairs, f.Type, f.Code)
		}
		id += 2
	}
	_ = peer.SendCall(id, "/a.B/C", true)
	if _, err := peer.ReadUntil(testTimeout, func(f fakeserver.Frame) bool { return f.Stream == id && f.EndStream }); err != nil {
		t.Error(err)
	}
}

func TestPeerThatReadsNothingIsDisconnected(t *testing.T) {
	c, peer, ended := startServer(t, h2.Config{WriteTimeout: 200 * time.Millisecond, OnStream: func(s *h2.Stream, _ []h2.Field, _ bool) bool {
		_ = s.SendHeader([]h2.Field{{Name: ":status", Value: "200"}}, false)
		go func() {
			for s.Send(context.Background(), make([]byte, 16<<10)) == nil {
			}
		}()
		return true
	}})
	_ = peer.SendCall(1, "/a.B/C", true)
	_ = peer.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 1<<31 - 1})
	_ = peer.WriteWindowUpdate(0, 1<<30)
	select {
	case err := <-ended:
		if err == nil {
			t.Error("the connection ended without an error")
		}
	case <-time.After(testTimeout):
		t.Error("the connection is still open")
	}
	if c.OpenStreams() != 0 && c.Err() == nil {
		t.Error(c.OpenStreams())
	}
}

func TestPeerWithoutHandshakeIsDisconnected(t *testing.T) {
	for _, text := range []string{"", "GET / HTTP/1.1\r\nHost: x\r\n\r\n", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x08\x06\x00\x00\x00\x00\x00abcdefgh"} {
		a, b := pair(t)
		c := h2.New(a, nil, h2.Config{HandshakeTimeout: 100 * time.Millisecond, OnStream: func(*h2.Stream, []h2.Field, bool) bool { return true }})
		_, _ = io.WriteString(b, text)
		if err := c.Run(); err == nil {
			t.Errorf("%q: the connection ended without an error", text)
		}
	}
}

// FuzzServe sends arbitrary bytes to a server after a valid handshake. The connection must end, and with it each stream that it
// has accepted.
func FuzzServe(f *testing.F) {
	script := func(send func(*fakeserver.FrameConn)) []byte {
		a, b := net.Pipe()
		go func() {
			send(fakeserver.NewFrameConn(a))
			a.Close()
		}()
		text, _ := io.ReadAll(b)
		return text
	}
	f.Add(script(func(p *fakeserver.FrameConn) { _ = p.SendCall(1, "/a.B/C", true) }))
	f.Add(script(func(p *fakeserver.FrameConn) {
		_ = p.SendCall(1, "/a.B/C", false)
		_ = p.WriteData(1, false, fakeserver.GRPCMessage("x"))
		_ = p.WriteRSTStream(1, http2.ErrCodeCancel)
		_ = p.SendCall(3, "/a.B/C", false)
		_ = p.SendHeaders(3, true, "x", "y")
		_ = p.WriteWindowUpdate(3, 5)
		_ = p.WriteGoAway(0, http2.ErrCodeNo, nil)
	}))
	f.Fuzz(func(t *testing.T, text []byte) {
		if len(text) > 1<<16 {
			return
		}
		a, b := net.Pipe()
		var mu sync.Mutex
		var accepted []*h2.Stream
		c := h2.New(a, nil, h2.Config{OnStream: func(s *h2.Stream, head []h2.Field, _ bool) bool {
			if h2.FieldValue(head, ":path") == "" {
				t.Error("a header list without a path was accepted")
			}
			mu.Lock()
			defer mu.Unlock()
			accepted = append(accepted, s)
			return true
		}})
		go func() { _, _ = io.Copy(io.Discard, b) }()
		go func() {
			_, _ = io.WriteString(b, http2.ClientPreface)
			_ = fakeserver.NewFrameConn(b).WriteSettings()
			_, _ = b.Write(text)
			b.Close()
		}()
		_ = c.Run()
		for _, s := range accepted {
			if s.Err() == nil {
				t.Error("a stream outlives its connection")
			}
		}
	})
}
