package sidecar

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"milletmast/internal/fakeserver"
	"milletmast/internal/freeport"
	"milletmast/internal/operator"
	"milletmast/internal/pki"
)

// rpcPool is the text of a gRPC pool with the classes of poolText and one of streams.
func rpcPool(name, more string, servers ...*fakeserver.Server) string {
	text := poolText(name, "protocol = \"grpc\"\n"+more, servers...)
	return text + "\n[[pool.class]]\nname = \"stream\"\naim = \"1s\"\ngive_up = \"2s\"\neffect = \"unsafe\"\nstream = true\n"
}

const rpcText = "\n[[listener]]\nname = \"in\"\naddress = \"127.0.0.1:0\"\nfront = \"grpc\"\nmax_body = \"4MiB\"\n"

// raw is a gRPC codec that passes messages as bytes.
type raw struct{}

func (raw) Marshal(v any) ([]byte, error) { return *v.(*[]byte), nil }
func (raw) Unmarshal(data []byte, v any) error {
	*v.(*[]byte) = append([]byte(nil), data...)
	return nil
}
func (raw) Name() string { return "raw" }

func dialRPC(t testing.TB, addr string, more ...grpc.DialOption) *grpc.ClientConn {
	t.Helper()
	cc, err := grpc.NewClient("passthrough:///"+addr, append([]grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithDisableRetry(), grpc.WithDefaultCallOptions(grpc.ForceCodec(raw{})),
	}, more...)...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cc.Close() })
	return cc
}

func unary(cc *grpc.ClientConn, method, text string, opts ...grpc.CallOption) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	in, out := []byte(text), []byte(nil)
	err := cc.Invoke(ctx, method, &in, &out, opts...)
	return string(out), err
}

const callTimeout = 10 * time.Second

// rpcRoutes returns routes to the classes of a pool, chosen by the first part of the method.
func rpcRoutes(pool string) string {
	text := ""
	for _, class := range []string{"read", "pay", "add", "stream"} {
		text += routeText(pool+"-"+class, "/"+class+".S", pool, class, "")
	}
	return text
}

// scriptedRPCServer is a server whose frames a test writes. It calls onCall with the number of the call, from 1, for each call that it
// has received completely, or with early as soon as it has received the headers.
type scriptedRPCServer struct {
	ln     net.Listener
	early  bool
	onCall func(p *fakeserver.FrameConn, id uint32, n int)

	writing sync.Mutex // held while frames are written and while onCall runs

	mu     sync.Mutex
	calls  int
	heads  []fakeserver.Frame
	frames []fakeserver.Frame
	conns  []net.Conn
	opened int
	wake   chan struct{}
}

// newScript starts a scriptedRPCServer.
func newScript(
	t testing.TB, early bool, onCall func(p *fakeserver.FrameConn, id uint32, n int), settings ...http2.Setting,
) *scriptedRPCServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedRPCServer{ln: ln, early: early, onCall: onCall, wake: make(chan struct{}, 1)}
	var running sync.WaitGroup
	running.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns = append(s.conns, c)
			s.opened++
			s.mu.Unlock()
			running.Go(func() { s.serve(c, settings) })
		}
	})
	t.Cleanup(func() {
		ln.Close()
		s.mu.Lock()
		for _, c := range s.conns {
			c.Close()
		}
		s.mu.Unlock()
		running.Wait()
	})
	return s
}

func (s *scriptedRPCServer) serve(c net.Conn, settings []http2.Setting) {
	p := fakeserver.NewFrameConn(c)
	if p.ServerHandshake(settings...) != nil {
		return
	}
	for {
		f, err := p.ReadNext()
		if err != nil {
			return
		}
		if f.Type == http2.FrameSettings && !f.Ack {
			s.write(func() { _ = p.WriteSettingsAck() })
		}
		s.mu.Lock()
		s.frames = append(s.frames, f)
		if f.Type == http2.FrameHeaders && len(f.Fields) > 0 && f.Fields[0].Name == ":method" {
			s.heads = append(s.heads, f)
		}
		due := s.early && f.Type == http2.FrameHeaders || !s.early && f.EndStream
		if due {
			s.calls++
		}
		n := s.calls
		s.mu.Unlock()
		select {
		case s.wake <- struct{}{}:
		default:
		}
		if due {
			s.write(func() { s.onCall(p, f.Stream, n) })
		}
	}
}

// write calls f, which writes frames, while no other frames are written.
func (s *scriptedRPCServer) write(f func()) {
	s.writing.Lock()
	defer s.writing.Unlock()
	f()
}

// until waits for a frame for which match returns true.
func (s *scriptedRPCServer) until(t testing.TB, what string, match func(fakeserver.Frame) bool) {
	t.Helper()
	for end := time.After(callTimeout); ; {
		s.mu.Lock()
		found := slices.ContainsFunc(s.frames, match)
		s.mu.Unlock()
		if found {
			return
		}
		select {
		case <-s.wake:
		case <-end:
			t.Fatal("not received: ", what)
		}
	}
}

func (s *scriptedRPCServer) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *scriptedRPCServer) server() string {
	return fmt.Sprintf("[[pool.server]]\naddress = %q\n", s.ln.Addr())
}

// respondOK responds to a call with one message.
func respondOK(p *fakeserver.FrameConn, id uint32) {
	_ = p.SendHeaders(id, false, ":status", "200", "content-type", "application/grpc")
	_ = p.WriteData(id, false, fakeserver.GRPCMessage("well"))
	_ = p.SendHeaders(id, true, "grpc-status", "0")
}

// trailersOnly responds to a call with a status and no message.
func trailersOnly(p *fakeserver.FrameConn, id uint32, pairs ...string) {
	_ = p.SendHeaders(id, true, append([]string{":status", "200", "content-type", "application/grpc"}, pairs...)...)
}

// For each way in which an attempt can end, for unsafe and for safe calls, the number of attempts and the status and retry pushback
// that the client receives must be right: a call that may have been executed must not be retried unless it is safe.
func TestRPCOutcomes(t *testing.T) {
	const never, may = true, false
	noWindow := []http2.Setting{{ID: http2.SettingInitialWindowSize, Val: 0}}
	for _, c := range []struct {
		name     string
		settings []http2.Setting
		onCall   func(p *fakeserver.FrameConn, id uint32)
		ran      bool       // never: the protocol proves that the call was not executed
		code     codes.Code // of an unsafe call that may have run
	}{
		{"refused stream", nil, func(p *fakeserver.FrameConn, id uint32) { _ = p.WriteRSTStream(id, http2.ErrCodeRefusedStream) }, never, 0},
		{"GOAWAY that excludes the stream", nil, func(p *fakeserver.FrameConn, id uint32) { _ = p.WriteGoAway(id-1, http2.ErrCodeNo, nil) }, never, 0},
		{"GOAWAY between HEADERS and DATA", noWindow, func(p *fakeserver.FrameConn, id uint32) { _ = p.WriteGoAway(id-1, http2.ErrCodeNo, nil) }, never, 0},
		{"closed before the request was complete", noWindow, func(p *fakeserver.FrameConn, id uint32) { p.Close() }, never, 0},
		{"reset NO_ERROR before the request was complete", noWindow, func(p *fakeserver.FrameConn, id uint32) { _ = p.WriteRSTStream(id, http2.ErrCodeNo) }, never, 0},
		{"marked not run", nil, func(p *fakeserver.FrameConn, id uint32) { trailersOnly(p, id, "grpc-status", "14", "x-not-run", "1") }, never, 0},
		{"marked, with another code", nil, func(p *fakeserver.FrameConn, id uint32) { trailersOnly(p, id, "grpc-status", "13", "x-not-run", "1") }, may, codes.Internal},
		{"marked in trailers", nil, func(p *fakeserver.FrameConn, id uint32) {
			_ = p.SendHeaders(id, false, ":status", "200", "content-type", "application/grpc")
			_ = p.SendHeaders(id, true, "grpc-status", "14", "x-not-run", "1")
		}, may, codes.Unknown},
		{"UNAVAILABLE", nil, func(p *fakeserver.FrameConn, id uint32) {
			trailersOnly(p, id, "grpc-status", "14", "grpc-message", "busy")
		}, may, codes.Unknown},
		{"reset INTERNAL", nil, func(p *fakeserver.FrameConn, id uint32) { _ = p.WriteRSTStream(id, http2.ErrCodeInternal) }, may, codes.Unknown},
		{"reset CANCEL", nil, func(p *fakeserver.FrameConn, id uint32) { _ = p.WriteRSTStream(id, http2.ErrCodeCancel) }, may, codes.Unknown},
		{"refused after headers", nil, func(p *fakeserver.FrameConn, id uint32) {
			_ = p.SendHeaders(id, false, ":status", "200", "content-type", "application/grpc")
			_ = p.WriteRSTStream(id, http2.ErrCodeRefusedStream)
		}, may, codes.Unknown},
		{"closed", nil, func(p *fakeserver.FrameConn, id uint32) { p.Close() }, may, codes.Unknown},
		{"GOAWAY that includes the stream, then closed", nil, func(p *fakeserver.FrameConn, id uint32) { _ = p.WriteGoAway(id, http2.ErrCodeNo, nil); _ = p.Close() }, may, codes.Unknown},
		{"no status", nil, func(p *fakeserver.FrameConn, id uint32) { trailersOnly(p, id) }, may, codes.Unknown},
		{"ends after its message", nil, func(p *fakeserver.FrameConn, id uint32) {
			_ = p.SendHeaders(id, false, ":status", "200", "content-type", "application/grpc")
			_ = p.WriteData(id, true, fakeserver.GRPCMessage("well"))
		}, may, codes.Unknown},
		{"an empty HTTP status", nil, func(p *fakeserver.FrameConn, id uint32) { _ = p.SendHeaders(id, true, ":status", "") }, may, codes.Unknown},
		{"half an HTTP status", nil, func(p *fakeserver.FrameConn, id uint32) { _ = p.SendHeaders(id, false, ":status", "1") }, may, codes.Unknown},
		{"HTTP 503", nil, func(p *fakeserver.FrameConn, id uint32) { _ = p.SendHeaders(id, true, ":status", "503") }, may, codes.Unknown},
		{"HTTP 500", nil, func(p *fakeserver.FrameConn, id uint32) { _ = p.SendHeaders(id, true, ":status", "500") }, may, codes.Internal},
		{"INTERNAL", nil, func(p *fakeserver.FrameConn, id uint32) { trailersOnly(p, id, "grpc-status", "13") }, may, codes.Internal},
		{"INTERNAL after headers", nil, func(p *fakeserver.FrameConn, id uint32) {
			_ = p.SendHeaders(id, false, ":status", "200", "content-type", "application/grpc")
			_ = p.SendHeaders(id, true, "grpc-status", "13", "x-more", "1")
		}, may, codes.Internal},
		{"DATA_LOSS", nil, func(p *fakeserver.FrameConn, id uint32) { trailersOnly(p, id, "grpc-status", "15") }, may, codes.DataLoss},
		{"RESOURCE_EXHAUSTED", nil, func(p *fakeserver.FrameConn, id uint32) { trailersOnly(p, id, "grpc-status", "8") }, may, codes.ResourceExhausted},
		{"an unknown code", nil, func(p *fakeserver.FrameConn, id uint32) { trailersOnly(p, id, "grpc-status", "99") }, may, codes.Code(99)},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, class := range []string{"pay", "read"} {
				s := newScript(t, c.settings != nil, func(p *fakeserver.FrameConn, id uint32, n int) { c.onCall(p, id) }, c.settings...)
				i, stop := run(t, parse(t, rpcText, rpcPool("p", "attempts = 3\nnot_run = \"x-not-run\"\n"), s.server(), rpcRoutes("p")))
				cc := dialRPC(t, i.Addresses()["in"])
				var trailer metadata.MD
				_, err := unary(cc, "/"+class+".S/M", "x", grpc.Trailer(&trailer))
				pushback := strings.Join(trailer.Get("grpc-retry-pushback-ms"), ",")
				if class == "read" || c.ran == never {
					if ms, bad := strconv.Atoi(pushback); status.Code(err) != codes.Unavailable || bad != nil || ms <= 0 || s.count() != 3 {
						t.Errorf("%s: %v after %d attempts, pushback %q", class, err, s.count(), pushback)
					}
				} else if status.Code(err) != c.code || s.count() != 1 || pushback != "-1" {
					t.Errorf("%s: %v after %d attempts, pushback %q", class, err, s.count(), pushback)
				}
				cc.Close()
				stop()
			}
		})
	}
}

// Statuses of a server that blame the client's request must be forwarded unchanged, after one attempt.
func TestRPCServerStatusIsForwarded(t *testing.T) {
	var code int
	s := newScript(t, false, func(p *fakeserver.FrameConn, id uint32, n int) {
		trailersOnly(p, id, "grpc-status", strconv.Itoa(code), "grpc-message", "a%20word", "x-bin", "AAEC")
	})
	i, _ := run(t, parse(t, rpcText, rpcPool("p", ""), s.server(), rpcRoutes("p")))
	cc := dialRPC(t, i.Addresses()["in"])
	for _, code = range []int{1, 3, 5, 6, 7, 9, 10, 11, 12, 16} {
		before := s.count()
		var trailer metadata.MD
		_, err := unary(cc, "/read.S/M", "x", grpc.Trailer(&trailer))
		if st := status.Convert(err); int(st.Code()) != code || st.Message() != "a word" || s.count() != before+1 {
			t.Errorf("code %d: %v after %d attempts", code, err, s.count()-before)
		}
		if got := trailer.Get("x-bin"); len(got) != 1 || got[0] != "\x00\x01\x02" {
			t.Errorf("code %d: trailers %v", code, trailer)
		}
	}
}

// If a server never responds, a call must fail at its deadline, not much earlier or later.
func TestRPCUnresponsiveServer(t *testing.T) {
	s := newScript(t, false, func(p *fakeserver.FrameConn, id uint32, n int) {})
	i, _ := run(t, parse(t, rpcText, rpcPool("p", ""), s.server(), rpcRoutes("p")))
	cc := dialRPC(t, i.Addresses()["in"])
	for _, c := range []struct {
		timeout time.Duration // that the client sets
		longest time.Duration // the longest timeout that the server may receive: the lesser of timeout and the class's 2 s
	}{{300 * time.Millisecond, 300 * time.Millisecond}, {time.Minute, 2 * time.Second}} {
		begun := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
		in, out := []byte("x"), []byte(nil)
		err := cc.Invoke(ctx, "/pay.S/M", &in, &out)
		cancel()
		took := time.Since(begun)
		if status.Code(err) != codes.DeadlineExceeded || took < c.longest*8/10 || took > c.longest+500*time.Millisecond {
			t.Errorf("%v: %v after %v", c.timeout, err, took)
		}
		s.mu.Lock()
		head := s.heads[len(s.heads)-1]
		s.mu.Unlock()
		left := fakeserver.FieldValue([]fakeserver.Frame{head}, head.Stream, "grpc-timeout")
		if d := rpcTimeout(t, left); d > c.longest || d < c.longest*8/10 {
			t.Errorf("the server received grpc-timeout %q", left)
		}
	}
	s.until(t, "the reset of a call that timed out", func(f fakeserver.Frame) bool {
		return f.Type == http2.FrameRSTStream && f.Code == http2.ErrCodeCancel
	})
}

// rpcTimeout parses a grpc-timeout in the units that the sidecar sends.
func rpcTimeout(t testing.TB, text string) time.Duration {
	t.Helper()
	units := map[string]time.Duration{"n": 1, "u": time.Microsecond, "m": time.Millisecond, "S": time.Second}
	n, err := strconv.Atoi(text[:len(text)-1])
	if err != nil || units[text[len(text)-1:]] == 0 {
		t.Fatalf("timeout %q", text)
	}
	return time.Duration(n) * units[text[len(text)-1:]]
}

// If either side resets a stream, the other side must be notified at once.
func TestRPCCancel(t *testing.T) {
	s := newScript(t, true, func(p *fakeserver.FrameConn, id uint32, n int) {
		_ = p.SendHeaders(id, false, ":status", "200", "content-type", "application/grpc")
		if n == 2 {
			_ = p.WriteRSTStream(id, http2.ErrCodeCancel)
		}
	})
	i, _ := run(t, parse(t, rpcText, rpcPool("p", ""), s.server(), rpcRoutes("p")))
	cc := dialRPC(t, i.Addresses()["in"])
	both := &grpc.StreamDesc{ClientStreams: true, ServerStreams: true}
	ctx, cancel := context.WithCancel(context.Background())
	stream, err := cc.NewStream(ctx, both, "/stream.S/M")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := stream.Header(); err != nil {
		t.Fatal(err)
	}
	cancel()
	s.until(t, "the client's reset", func(f fakeserver.Frame) bool { return f.Type == http2.FrameRSTStream && f.Code == http2.ErrCodeCancel })

	ctx, cancel = context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	begun := time.Now()
	if stream, err = cc.NewStream(ctx, both, "/stream.S/M"); err != nil {
		t.Fatal(err)
	}
	var m []byte
	if err := stream.RecvMsg(&m); status.Code(err) != codes.Unknown || time.Since(begun) > time.Second {
		t.Errorf("%v after %v", err, time.Since(begun))
	}
	for end := time.Now().Add(callTimeout); i.Status().Pools[0].Open != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("a call stays open")
		}
	}
}

// A stream must stay with its server while that drains, even if the client has closed its side and only the server still sends. New
// calls must go to the other server.
func TestRPCHalfClosedWhenItsServerDrains(t *testing.T) {
	drained := make(chan struct{})
	var a *scriptedRPCServer
	a = newScript(t, false, func(p *fakeserver.FrameConn, id uint32, n int) {
		if n > 1 {
			respondOK(p, id)
			return
		}
		_ = p.SendHeaders(id, false, ":status", "200", "content-type", "application/grpc")
		_ = p.WriteData(id, false, fakeserver.GRPCMessage("first"))
		go func() {
			<-drained
			a.write(func() {
				_ = p.WriteData(id, false, fakeserver.GRPCMessage("last"))
				_ = p.SendHeaders(id, true, "grpc-status", "0", "x-end", "yes")
			})
		}()
	})
	b := newScript(t, false, func(p *fakeserver.FrameConn, id uint32, n int) { respondOK(p, id) })
	file := filepath.Join(t.TempDir(), "servers.toml")
	list := func(state string) {
		writeFile(t, file, fmt.Sprintf("[[server]]\nid = \"a\"\naddress = %q\nstate = %q\n", a.ln.Addr(), state)+
			fmt.Sprintf("[[server]]\nid = \"b\"\naddress = %q\nstate = %q\n", b.ln.Addr(), map[string]string{"ready": "draining", "draining": "ready"}[state]))
	}
	list("ready")
	i, _ := run(t, parse(t, rpcText, rpcPool("p", ""), fmt.Sprintf("[pool.source]\ntype = \"file\"\npath = %q\nevery = \"10ms\"\n", file), rpcRoutes("p")))
	cc := dialRPC(t, i.Addresses()["in"])
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	stream, err := cc.NewStream(ctx, &grpc.StreamDesc{ClientStreams: true, ServerStreams: true}, "/stream.S/M")
	if err != nil {
		t.Fatal(err)
	}
	m := []byte("x")
	if err := stream.SendMsg(&m); err != nil {
		t.Fatal(err)
	}
	_ = stream.CloseSend()
	if err := stream.RecvMsg(&m); err != nil || string(m) != "first" {
		t.Fatal(string(m), err)
	}
	list("draining")
	for end := time.Now().Add(callTimeout); b.count() == 0; {
		if text, err := unary(cc, "/read.S/M", "x"); err != nil || text != "well" || time.Now().After(end) {
			t.Fatal(text, err)
		}
	}
	before := a.count()
	for range 20 {
		if text, err := unary(cc, "/read.S/M", "x"); err != nil || text != "well" {
			t.Error(text, err)
		}
	}
	if a.count() != before {
		t.Error("the draining server got a new call")
	}
	close(drained)
	if err := stream.RecvMsg(&m); err != nil || string(m) != "last" {
		t.Error(string(m), err)
	}
	if err := stream.RecvMsg(&m); !errors.Is(err, io.EOF) || stream.Trailer().Get("x-end") == nil {
		t.Error(err, stream.Trailer())
	}
}

// If an instance is stopped with open calls, it must send GOAWAY twice, let streams end in time, and send the others one final status
// when the drain time is over.
func TestRPCDrain(t *testing.T) {
	finish := make(chan struct{})
	var s *scriptedRPCServer
	s = newScript(t, true, func(p *fakeserver.FrameConn, id uint32, n int) {
		_ = p.SendHeaders(id, false, ":status", "200", "content-type", "application/grpc")
		_ = p.WriteData(id, false, fakeserver.GRPCMessage("first"))
		if n == 1 {
			go func() {
				<-finish
				s.write(func() { _ = p.SendHeaders(id, true, "grpc-status", "0") })
			}()
		}
	})
	cfg := parse(t, "[limits]\ndrain = \"3s\"\n", rpcText, rpcPool("p", ""), s.server(), rpcRoutes("p"))
	i, stop := run(t, cfg)
	peer, err := fakeserver.DialFrameConn(i.Addresses()["in"])
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	for _, id := range []uint32{1, 3, 5} {
		path := "/stream.S/M"
		if id == 5 {
			path = "/pay.S/M" // not forwarded before its message is received, which never happens
		}
		_ = peer.SendCall(id, path, false)
	}
	first := 0
	if _, err := peer.ReadUntil(callTimeout, func(f fakeserver.Frame) bool {
		if len(f.Data) > 0 {
			first++
		}
		return first == 2
	}); err != nil {
		t.Fatal(err)
	}
	begun := time.Now()
	go stop()
	goAway := func(f fakeserver.Frame) bool { return f.Type == http2.FrameGoAway }
	all, err := peer.ReadUntil(callTimeout, goAway)
	if err != nil || all[len(all)-1].LastStream != 1<<31-1 {
		t.Fatal(all, err)
	}
	all, err = peer.ReadUntil(callTimeout, func(f fakeserver.Frame) bool { return f.Type == http2.FramePing })
	if err != nil {
		t.Fatal(err)
	}
	_ = peer.WritePing(true, [8]byte(all[len(all)-1].Data))
	if all, err = peer.ReadUntil(callTimeout, goAway); err != nil || all[len(all)-1].LastStream != 5 {
		t.Fatal(all, err)
	}
	close(finish)
	ended := map[uint32]string{}
	if _, err = peer.ReadUntil(callTimeout, func(f fakeserver.Frame) bool {
		if f.EndStream || f.Type == http2.FrameRSTStream {
			if _, ok := ended[f.Stream]; ok && f.EndStream {
				t.Errorf("stream %d ended twice", f.Stream)
			}
			if f.EndStream {
				ended[f.Stream] = fakeserver.FieldValue([]fakeserver.Frame{f}, f.Stream, "grpc-status")
			}
		}
		return len(ended) == 3
	}); err != nil {
		t.Fatal(ended, err)
	}
	if took := time.Since(begun); took < 2*time.Second || took > 4*time.Second {
		t.Errorf("ended after %v", took)
	}
	if one, other := min(ended[1], ended[3]), max(ended[1], ended[3]); one != "0" || other != "2" || ended[5] != "2" {
		t.Errorf("final statuses %v", ended)
	}
}

// A listener with front = "auto" must serve both protocols on one port, without and with TLS.
func TestRPCAutoAndTLS(t *testing.T) {
	list := servers(t, "a")
	dir := t.TempDir()
	if err := pki.Init(dir); err != nil {
		t.Fatal(err)
	}
	if err := pki.Agent(dir, "localhost"); err != nil {
		t.Fatal(err)
	}
	certificate, key := filepath.Join(dir, "localhost.pem"), filepath.Join(dir, "localhost.key")
	pool := poolText("h", "", list...)
	i, _ := run(t, parse(t, strings.Replace(rpcText, "\"grpc\"", "\"auto\"", 1),
		"\n[[listener]]\nname = \"tls\"\naddress = \"127.0.0.1:0\"\nfront = \"auto\"\n", fmt.Sprintf("certificate = %q\nkey = %q\n", certificate, key),
		pool, rpcPool("g", "", list...), routeText("h", "/", "h", "read", ""), routeText("g", "/", "g", "read", "")))
	secure := &tls.Config{InsecureSkipVerify: true}
	for name, addr := range i.Addresses() {
		creds, scheme, transport := insecure.NewCredentials(), "http", &http.Transport{}
		if name == "tls" {
			creds, scheme, transport = credentials.NewTLS(secure), "https", &http.Transport{TLSClientConfig: secure}
		}
		cc := dialRPC(t, addr, grpc.WithTransportCredentials(creds))
		if text, err := unary(cc, "/x.Y/Z", "hello"); err != nil || !strings.Contains(text, "uri=/x.Y/Z") {
			t.Error(name, text, err)
		}
		res, err := (&http.Client{Transport: transport}).Get(scheme + "://" + addr + "/x")
		if err != nil {
			t.Fatal(name, err)
		}
		text, _ := io.ReadAll(res.Body)
		res.Body.Close()
		transport.CloseIdleConnections()
		if res.StatusCode != 200 || !strings.Contains(string(text), "method=GET uri=/x") {
			t.Error(name, res.StatusCode, string(text))
		}
	}
}

// Streams that stay open must not count against the decision module's limit of open requests, only against the limit of the process.
func TestRPCManyStreams(t *testing.T) {
	a := newScript(t, true, func(p *fakeserver.FrameConn, id uint32, n int) {
		_ = p.SendHeaders(id, false, ":status", "200", "content-type", "application/grpc")
	}, http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: 1000})
	b := newScript(t, true, a.onCall, http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: 1000})
	const most = 400
	i, _ := run(t, parse(t, fmt.Sprintf("[limits]\nstreams = %d\n", most), rpcText, "streams = 1000\n", rpcPool("p", "streams = 1000\n"), a.server(), b.server(), rpcRoutes("p")))
	cc := dialRPC(t, i.Addresses()["in"])
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	for n := range most {
		stream, err := cc.NewStream(ctx, &grpc.StreamDesc{ClientStreams: true, ServerStreams: true}, "/stream.S/M")
		if err != nil {
			t.Fatal(err)
		}
		if _, err := stream.Header(); err != nil {
			t.Fatal(n, err)
		}
	}
	if a.count()+b.count() != most || a.count() < most/3 || b.count() < most/3 {
		t.Errorf("%d and %d streams", a.count(), b.count())
	}
	// One more is over the limit of the process. It must be refused as a stream that was not executed.
	peer, err := fakeserver.DialFrameConn(i.Addresses()["in"])
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	_ = peer.SendCall(1, "/stream.S/M", false)
	if all, err := peer.ReadUntil(callTimeout, func(f fakeserver.Frame) bool { return f.Stream == 1 }); err != nil || all[len(all)-1].Code != http2.ErrCodeRefusedStream {
		t.Error(all, err)
	}
}

// A streamed request must reach one server once, whatever its outcome, and a request with invalid message framing must be reset.
func TestRPCUploadIsSentOnce(t *testing.T) {
	s := newScript(t, true, func(p *fakeserver.FrameConn, id uint32, n int) {})
	i, _ := run(t, parse(t, rpcText, rpcPool("p", ""), s.server(), rpcRoutes("p")))
	peer, err := fakeserver.DialFrameConn(i.Addresses()["in"])
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	_ = peer.SendCall(1, "/read.S/M", false, "x-a-bin", "AAEC", "x-a-bin", "AwQF")
	_ = peer.WriteData(1, false, fakeserver.GRPCMessage("first"))
	s.until(t, "the first message", func(f fakeserver.Frame) bool { return strings.Contains(string(f.Data), "first") })
	_ = peer.WriteData(1, false, append(fakeserver.GRPCMessage("second"), 9, 0, 0, 0, 1))
	all, err := peer.ReadUntil(callTimeout, func(f fakeserver.Frame) bool { return f.Stream == 1 && f.EndStream })
	if code := fakeserver.FieldValue(all, 1, "grpc-status"); err != nil || code != "3" {
		t.Error(code, err)
	}
	s.until(t, "the reset of the invalid request", func(f fakeserver.Frame) bool { return f.Type == http2.FrameRSTStream })
	if s.count() != 1 {
		t.Errorf("%d attempts", s.count())
	}
	bins := []string{}
	for _, f := range s.heads[0].Fields {
		if f.Name == "x-a-bin" {
			bins = append(bins, f.Value)
		}
	}
	if !slices.Equal(bins, []string{"AAEC", "AwQF"}) {
		t.Error(bins)
	}
}

// If a server reports an error after its headers were sent to the client, its trailers must be forwarded unchanged and the call must
// not be retried.
func TestRPCErrorAfterHeaders(t *testing.T) {
	later := make(chan struct{})
	var s *scriptedRPCServer
	s = newScript(t, false, func(p *fakeserver.FrameConn, id uint32, n int) {
		_ = p.SendHeaders(id, false, ":status", "200", "content-type", "application/grpc", "x-head", "1")
		go func() {
			<-later
			s.write(func() { _ = p.SendHeaders(id, true, "grpc-status", "14", "grpc-message", "later", "x-last", "1") })
		}()
	})
	i, _ := run(t, parse(t, rpcText, rpcPool("p", ""), s.server(), rpcRoutes("p")))
	cc := dialRPC(t, i.Addresses()["in"])
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	stream, err := cc.NewStream(ctx, &grpc.StreamDesc{ServerStreams: true}, "/read.S/M")
	if err != nil {
		t.Fatal(err)
	}
	m := []byte("x")
	if err := stream.SendMsg(&m); err != nil {
		t.Fatal(err)
	}
	_ = stream.CloseSend()
	if head, err := stream.Header(); err != nil || head.Get("x-head") == nil {
		t.Fatal(head, err)
	}
	close(later)
	err = stream.RecvMsg(&m)
	if st := status.Convert(err); st.Code() != codes.Unavailable || st.Message() != "later" || stream.Trailer().Get("x-last") == nil || s.count() != 1 {
		t.Errorf("%v, %v after %d attempts", err, stream.Trailer(), s.count())
	}
}

// Interim responses must be forwarded, and a response that is complete before its request must be, too.
func TestRPCInterimAndEarlyResponses(t *testing.T) {
	s := newScript(t, true, func(p *fakeserver.FrameConn, id uint32, n int) {
		_ = p.SendHeaders(id, false, ":status", "103", "link", "</a>")
		respondOK(p, id)
		_ = p.WriteRSTStream(id, http2.ErrCodeNo) // the server needs no more of the request
	})
	i, _ := run(t, parse(t, rpcText, rpcPool("p", ""), s.server(), rpcRoutes("p")))
	peer, err := fakeserver.DialFrameConn(i.Addresses()["in"])
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	id := uint32(1)
	for _, class := range []string{"stream", "pay"} {
		_ = peer.SendCall(id, "/"+class+".S/M", false)
		_ = peer.WriteData(id, class == "pay", fakeserver.GRPCMessage("x"))
		all, err := peer.ReadUntil(callTimeout, func(f fakeserver.Frame) bool { return f.Stream == id && f.EndStream })
		if err != nil {
			t.Fatal(class, all, err)
		}
		var heads []string
		text := ""
		for _, f := range all {
			if f.Stream != id {
				continue
			}
			text += string(f.Data)
			if f.Type == http2.FrameHeaders {
				heads = append(heads, f.Fields[0].Value)
			}
		}
		if !slices.Equal(heads, []string{"103", "200", "0"}) || text != string(fakeserver.GRPCMessage("well")) {
			t.Errorf("%s: heads %v, text %q", class, heads, text)
		}
		if class == "stream" { // the client is notified of that too (RFC 9113, 8.1)
			if all, err = peer.ReadUntil(callTimeout, func(f fakeserver.Frame) bool { return f.Stream == id }); err != nil || all[len(all)-1].Code != http2.ErrCodeNo {
				t.Error(all, err)
			}
		}
		id += 2
	}
}

// A client that opens calls with long responses and reads none of them, whose requests the server does not read either, must not
// block other calls on the same connection to the server.
func TestRPCSlowClientBlocksNoOthers(t *testing.T) {
	s := newScript(t, true, func(p *fakeserver.FrameConn, id uint32, n int) {
		if n > 40 {
			_ = p.SendHeaders(id, false, ":status", "200", "content-type", "application/grpc")
			_ = p.WriteData(id, false, fakeserver.GRPCMessage("well"))
			_ = p.SendHeaders(id, true, "grpc-status", "0")
			return
		}
		_ = p.SendHeaders(id, false, ":status", "200", "content-type", "application/grpc")
		for range 4 { // all that the window of a call allows
			_ = p.WriteData(id, false, make([]byte, 16<<10-1))
		}
	}, http2.Setting{ID: http2.SettingInitialWindowSize, Val: 0})
	i, _ := run(t, parse(t, rpcText, rpcPool("p", ""), s.server(), rpcRoutes("p")))
	peer, err := fakeserver.DialFrameConn(i.Addresses()["in"], http2.Setting{ID: http2.SettingInitialWindowSize, Val: 0})
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	for n := range uint32(40) {
		_ = peer.SendCall(2*n+1, "/stream.S/M", false)
		_ = peer.WriteData(2*n+1, false, fakeserver.GRPCMessage("never read"))
		for end := time.Now().Add(callTimeout); s.count() <= int(n); time.Sleep(time.Millisecond) { // a burst would be rejected in part
			if time.Now().After(end) {
				t.Fatal(s.count())
			}
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	stream, err := dialRPC(t, i.Addresses()["in"]).NewStream(ctx, &grpc.StreamDesc{ServerStreams: true}, "/stream.S/M")
	if err != nil {
		t.Fatal(err)
	}
	var m []byte
	if err := stream.RecvMsg(&m); err != nil || string(m) != "well" {
		t.Error(string(m), err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.opened != 1 {
		t.Errorf("%d connections to the server, want 1 that the other call shares", s.opened)
	}
}

// A keyed class must require exactly one value of the metadata that it names as its key.
func TestRPCKeys(t *testing.T) {
	s := newScript(t, false, func(p *fakeserver.FrameConn, id uint32, n int) { respondOK(p, id) })
	pool := strings.Replace(rpcPool("p", ""), "effect = \"keyed\"", "effect = \"keyed\"\nkey = \"x-key\"", 1)
	i, _ := run(t, parse(t, rpcText, pool, s.server(), rpcRoutes("p")))
	cc := dialRPC(t, i.Addresses()["in"])
	in, out := []byte("x"), []byte(nil)
	for _, c := range []struct {
		pairs []string
		code  codes.Code
	}{{nil, codes.InvalidArgument}, {[]string{"x-key", "1"}, codes.OK}, {[]string{"x-key", "1", "x-key", "2"}, codes.InvalidArgument}, {[]string{"idempotency-key", "1"}, codes.InvalidArgument}} {
		ctx, cancel := context.WithTimeout(metadata.NewOutgoingContext(context.Background(), metadata.Pairs(c.pairs...)), callTimeout)
		if err := cc.Invoke(ctx, "/add.S/M", &in, &out); status.Code(err) != c.code {
			t.Errorf("%v: %v", c.pairs, err)
		}
		cancel()
	}
	if s.count() != 1 {
		t.Errorf("%d calls reached the server", s.count())
	}
}

// The same seeded calls over HTTP/1.1 and over gRPC, to the same servers with the same faults by the number of the call and of the
// attempt, must have the same outcomes and numbers of attempts.
func TestHTTPAndGRPCOutcomesAreEqual(t *testing.T) {
	const calls = 300
	list := servers(t, "a", "b", "c", "d", "e", "f")
	faults := []fakeserver.Fault{fakeserver.NoFault, fakeserver.NoFault, fakeserver.NoFault, fakeserver.NoFault, fakeserver.NoFault, fakeserver.NoFault, fakeserver.NotExecuted, fakeserver.NotExecuted, fakeserver.Error500, fakeserver.ResetAfterRequest, fakeserver.GarbageResponse, fakeserver.HalfResponse}
	var mu sync.Mutex
	attemptsOf := map[string]int{} // by call
	for _, s := range list {
		s.SetWork(40 * time.Millisecond) // long against the delays of a busy machine, so that no server looks unresponsive
		s.SetFaultFunc(func(r *http.Request) fakeserver.Fault {
			if r == nil {
				return fakeserver.NoFault
			}
			id := r.Header.Get("X-Call")
			mu.Lock()
			attemptsOf[id]++
			n := attemptsOf[id]
			mu.Unlock()
			seed, _ := strconv.ParseUint(id[1:], 10, 64) // without the framing
			return faults[rand.New(rand.NewPCG(seed, uint64(n))).IntN(len(faults))]
		})
	}
	more := "attempts = 4\nretry_window = \"1s\"\nretry_free = 100000\n"
	i, _ := run(t, parse(t, strings.Replace(rpcText, "\"grpc\"", "\"auto\"", 1), poolText("h", more, list...), rpcPool("g", more, list...),
		routeText("hr", "/read.S", "h", "read", ""), routeText("hp", "/pay.S", "h", "pay", ""), routeText("ha", "/add.S", "h", "add", ""), rpcRoutes("g")))
	addr := i.Addresses()["in"]
	cc := dialRPC(t, addr)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	outcomes := map[string]map[string]int{"h": {}, "g": {}}
	count := func(framing, class, outcome string) {
		mu.Lock()
		defer mu.Unlock()
		outcomes[framing][class+" "+outcome]++
	}
	r := rand.New(rand.NewPCG(1, 2))
	var all sync.WaitGroup
	for n := range calls {
		class := []string{"read", "pay", "add"}[r.IntN(3)]
		time.Sleep(time.Duration(r.ExpFloat64() * float64(5*time.Millisecond)))
		all.Go(func() {
			request, _ := http.NewRequest("POST", "http://"+addr+"/"+class+".S/M", strings.NewReader("x"))
			request.Header.Set("X-Call", fmt.Sprint("h", n))
			request.Header.Set("Idempotency-Key", fmt.Sprint("h", n))
			res, err := client.Do(request)
			if err != nil {
				t.Error(err)
				return
			}
			res.Body.Close()
			switch res.StatusCode {
			case 200:
				count("h", class, "served")
			case 503:
				count("h", class, "refused")
			default:
				count("h", class, "failed")
			}
		})
		all.Go(func() {
			ctx, cancel := context.WithTimeout(metadata.AppendToOutgoingContext(context.Background(), "x-call", fmt.Sprint("g", n), "idempotency-key", fmt.Sprint("g", n)), callTimeout)
			defer cancel()
			in, out := []byte("x"), []byte(nil)
			switch err := cc.Invoke(ctx, "/"+class+".S/M", &in, &out); status.Code(err) {
			case codes.OK:
				count("g", class, "served")
			case codes.Unavailable:
				count("g", class, "refused")
			default:
				count("g", class, "failed")
			}
		})
	}
	all.Wait()
	attempts := map[byte]int{}
	for id, n := range attemptsOf {
		attempts[id[0]] += n
		if other := map[byte]string{'h': "g", 'g': "h"}[id[0]] + id[1:]; attemptsOf[other] != n {
			t.Errorf("call %s: %d attempts, the other framing %d", id, n, attemptsOf[other])
		}
	}
	t.Logf("%d calls of each framing, attempts %d and %d, outcomes %v", calls, attempts['h'], attempts['g'], outcomes["h"])
	if fmt.Sprint(outcomes["h"]) != fmt.Sprint(outcomes["g"]) {
		t.Errorf("HTTP/1.1: %v\ngRPC: %v", outcomes["h"], outcomes["g"])
	}
	var seen [2]PoolStatus
	for _, p := range i.Status().Pools {
		seen[map[string]int{"h": 0, "g": 1}[p.Name]] = p
	}
	if h, g := seen[0], seen[1]; h.Served != g.Served || h.Refused != g.Refused || h.Failed != g.Failed || h.Open+g.Open != 0 {
		t.Errorf("the pools count %+v and %+v", h, g)
	}
	if outcomes["h"]["read served"] == 0 || outcomes["h"]["pay failed"] == 0 || outcomes["h"]["pay served"] == 0 || attempts['h'] <= calls {
		t.Error("the faults did not affect the calls")
	}
}

// While a client abuses the protocol, the calls of another one must be served in their usual time, and the abusive client's connection
// must be closed.
func TestRPCAbusiveClients(t *testing.T) {
	list := servers(t, "a", "b")
	i, _ := run(t, parse(t, rpcText, rpcPool("p", "", list[0]), rpcRoutes("p"), rpcPool("q", "", list[1]), routeText("q", "/bad.S", "q", "read", "")))
	addr := i.Addresses()["in"]
	cc := dialRPC(t, addr)
	for name, attack := range map[string]func(p *fakeserver.FrameConn, n uint32) error{
		"rapid reset": func(p *fakeserver.FrameConn, n uint32) error {
			_ = p.SendCall(2*n+1, "/bad.S/M", false)
			_ = p.WriteData(2*n+1, true, fakeserver.GRPCMessage("x"))
			return p.WriteRSTStream(2*n+1, http2.ErrCodeCancel)
		},
		"streams that the client never reads": func(p *fakeserver.FrameConn, n uint32) error {
			_ = p.SendCall(2*n+1, "/bad.S/M", false)
			return p.WriteData(2*n+1, true, fakeserver.GRPCMessage("x"))
		},
		"CONTINUATION": func(p *fakeserver.FrameConn, n uint32) error {
			if n == 0 {
				return p.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: p.EncodeHeaders(":method", "POST")})
			}
			return p.WriteContinuation(1, false, p.EncodeHeaders("x", strings.Repeat("y", 1000)))
		},
		"PING": func(p *fakeserver.FrameConn, n uint32) error { return p.WritePing(false, [8]byte{}) },
	} {
		t.Run(name, func(t *testing.T) {
			peer, err := fakeserver.DialFrameConn(addr)
			if err != nil {
				t.Fatal(err)
			}
			defer peer.Close()
			ended := make(chan time.Duration, 1)
			begun := time.Now()
			go func() {
				for n := uint32(0); ; n++ {
					if attack(peer, n) != nil {
						ended <- time.Since(begun)
						return
					}
				}
			}()
			go func() { // reads what the sidecar sends, except in the case of the client that never reads
				if name != "streams that the client never reads" {
					_, _ = io.Copy(io.Discard, peer.Conn)
				}
			}()
			var times []time.Duration
			for range 100 {
				at := time.Now()
				if _, err := unary(cc, "/read.S/M", "hello"); err != nil {
					t.Fatal("another client: ", err)
				}
				times = append(times, time.Since(at))
			}
			select {
			case took := <-ended:
				if took > 2*time.Second { // one second, and the time until writing into a full buffer fails
					t.Errorf("the abusive connection was closed after %v, want at most 2s", took)
				}
			case <-time.After(callTimeout):
				t.Error("the abusive connection is still open")
			}
			slices.Sort(times)
			if p99 := times[98]; p99 > 250*time.Millisecond {
				t.Errorf("p99 %v for another client, want at most 250ms", p99)
			}
		})
	}
}

func TestRPCReload(t *testing.T) {
	list := servers(t, "a", "b")
	old := parse(t, strings.Replace(rpcText, "127.0.0.1:0", freeport.AddressForTest(t), 1), rpcPool("p", "", list[0]), rpcRoutes("p"))
	i, _ := run(t, old)
	cc := dialRPC(t, i.Addresses()["in"])
	if text, err := unary(cc, "/read.S/M", "x"); err != nil || !strings.Contains(text, "server=a") {
		t.Fatal(text, err)
	}
	next := parse(t, strings.Replace(strings.Replace(string(old.Text), list[0].Addr(), list[1].Addr(), 1), "front =", "streams = 7\nfront =", 1))
	if _, err := i.Reload(next); err != nil {
		t.Fatal(err)
	}
	for range 20 {
		if text, err := unary(cc, "/read.S/M", "x"); err != nil || !strings.Contains(text, "server=b") {
			t.Fatal(text, err)
		}
	}
	peer, err := fakeserver.DialFrameConn(i.Addresses()["in"])
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	if all, err := peer.ReadUntil(callTimeout, func(f fakeserver.Frame) bool { return f.Type == http2.FrameSettings && !f.Ack }); err != nil || all[len(all)-1].Values[http2.SettingMaxConcurrentStreams] != 7 {
		t.Error(all, err)
	}
	gone := parse(t, inText, poolText("h", "", list...), routeText("r", "/", "h", "read", ""))
	if _, err := i.Reload(gone); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(callTimeout); ; { // calls are still served until the connection is closed
		text, err := unary(cc, "/read.S/M", "x")
		if status.Code(err) == codes.Unavailable {
			break
		}
		if err != nil || !strings.Contains(text, "server=b") || time.Now().After(end) {
			t.Fatal(text, err)
		}
	}
}

func TestRPCConfigErrors(t *testing.T) {
	pool := rpcPool("g", "") + "[[pool.server]]\naddress = \"127.0.0.1:1\"\n"
	plain := poolText("h", "") + "[[pool.server]]\naddress = \"127.0.0.1:1\"\n"
	only := "listeners = [\"in\"]"
	for name, c := range map[string]struct{ text, want string }{
		"gRPC client, HTTP/1.1 pool":  {rpcText + plain + routeText("r", "/", "h", "read", only), "route[0].listeners[0]: listener \"in\" (front \"grpc\") does not take HTTP/1.1"},
		"HTTP/1.1 client, gRPC pool":  {inText + pool + routeText("r", "/", "g", "read", only), "does not take gRPC"},
		"no listener accepts gRPC":    {inText + pool + routeText("r", "/", "g", "read", ""), "route[0].pool: no listener takes gRPC"},
		"a redirect of gRPC clients":  {rpcText + pool + "\n[[route]]\nname = \"x\"\nprefix = \"/\"\nredirect = \"https://x/\"\n" + only, "does not take HTTP/1.1"},
		"stream class of HTTP/1.1":    {inText + plain + "[[pool.class]]\nname = \"s\"\naim = \"1s\"\ngive_up = \"2s\"\neffect = \"safe\"\nstream = true\n", "pool[0].class[3].stream"},
		"not_run of HTTP/1.1":         {inText + strings.Replace(plain, "name = \"h\"", "name = \"h\"\nnot_run = \"x\"", 1), "pool[0].not_run"},
		"unknown front":               {strings.Replace(rpcText, "grpc", "h3", 1) + pool, "listener[0].front"},
		"unknown protocol":            {rpcText + strings.Replace(pool, "\"grpc\"", "\"spdy\"", 1), "pool[0].protocol"},
		"a key of an unsafe class":    {rpcText + strings.Replace(pool, "effect = \"unsafe\"", "effect = \"unsafe\"\nkey = \"x\"", 1), ".key: only a keyed class"},
		"certificate without its key": {rpcText + "certificate = \"c.pem\"\n" + pool, "listener[0].certificate"},
		"no such certificate":         {rpcText + "certificate = \"c.pem\"\nkey = \"k.pem\"\n" + pool, "listener[0].certificate"},
		"streams out of bounds":       {rpcText + "streams = 0\n" + pool, "listener[0].streams"},
	} {
		_, err := operator.Parse("f.toml", []byte(c.text))
		var all operator.Errors
		if !errors.As(err, &all) || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func writeFile(t testing.TB, path, text string) {
	t.Helper()
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
}
