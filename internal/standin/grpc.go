package standin

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"golang.org/x/net/http2"
)

// The same server speaks gRPC over HTTP/2 to those who begin with its preface: the same work, faults and records, each
// fault in the words of that protocol. Requests are unary calls; the answer is one message that says who served it.

const (
	maxCallBody = 16 << 20
	wideWindow  = 1 << 20
)

// two is a connection of HTTP/2.
type two struct {
	server *Server
	frames *Frames
	ctx    context.Context

	mu    sync.Mutex // of writes
	calls map[uint32]*twoCall
}

// twoCall is a call that comes.
type twoCall struct {
	request *http.Request
	body    bytes.Buffer
	gone    context.CancelFunc
	ctx     context.Context
}

// serveTwo serves a connection whose preface has not been read.
func (s *Server) serveTwo(ctx context.Context, c net.Conn) {
	t := &two{server: s, frames: NewFrames(c), calls: map[uint32]*twoCall{}}
	var running sync.WaitGroup
	defer running.Wait()
	var cancel context.CancelFunc
	t.ctx, cancel = context.WithCancel(ctx)
	defer cancel()
	s.mu.Lock()
	streams := s.streams
	s.mu.Unlock()
	if t.frames.Greet(http2.Setting{ID: http2.SettingInitialWindowSize, Val: wideWindow},
		http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: streams}) != nil {
		return
	}
	t.frames.WriteWindowUpdate(0, wideWindow)
	for {
		f, err := t.frames.Next()
		if err != nil {
			return
		}
		switch f.Type {
		case http2.FrameSettings:
			if !f.Ack {
				t.write(func() { t.frames.WriteSettingsAck() })
			}
		case http2.FramePing:
			if !f.Ack {
				t.write(func() { t.frames.WritePing(true, [8]byte(f.Data)) })
			}
		case http2.FrameRSTStream:
			if call := t.calls[f.Stream]; call != nil {
				call.gone()
			}
		case http2.FrameHeaders:
			call := &twoCall{request: &http.Request{Method: "POST", URL: &url.URL{}, Header: http.Header{}}}
			call.ctx, call.gone = context.WithCancel(t.ctx)
			for _, h := range f.Fields {
				switch h.Name {
				case ":path":
					call.request.RequestURI, call.request.URL.Path = h.Value, h.Value
				case ":authority":
					call.request.Host = h.Value
				default:
					call.request.Header.Add(h.Name, h.Value)
				}
			}
			t.calls[f.Stream] = call
			if f.Ended {
				running.Go(func() { t.call(f.Stream, call) })
			}
		case http2.FrameData:
			call := t.calls[f.Stream]
			if n := uint32(len(f.Data)); n > 0 {
				t.write(func() {
					t.frames.WriteWindowUpdate(0, n)
					t.frames.WriteWindowUpdate(f.Stream, n)
				})
			}
			if call == nil || call.body.Len()+len(f.Data) > maxCallBody {
				return
			}
			call.body.Write(f.Data)
			if f.Ended {
				running.Go(func() { t.call(f.Stream, call) })
			}
		}
	}
}

func (t *two) write(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f()
}

// call serves one call, by the fault that its request is given.
func (t *two) call(id uint32, call *twoCall) {
	defer call.gone()
	s, h := t.server, call.request.Header
	s.mu.Lock()
	choose, work := s.fault, s.work
	s.mu.Unlock()
	body := call.body.Bytes()
	if len(body) >= 5 && int(binary.BigEndian.Uint32(body[1:5])) == len(body)-5 {
		body = body[5:]
	}
	sum := fnv.New64a()
	sum.Write(body)
	fault := choose(call.request)
	rec := Record{
		Server: s.Name, ID: h.Get("X-Request-Id"), Method: "POST", URI: call.request.RequestURI, Host: call.request.Host,
		Key: h.Get("Idempotency-Key"), Header: h, Bytes: int64(len(body)), Sum: sum.Sum64(), At: time.Now(),
		Ran: fault != NotRun && fault != ResetBefore, Fault: fault,
	}
	s.note(rec)
	if fault == NotRun {
		t.write(func() { t.frames.WriteRSTStream(id, http2.ErrCodeRefusedStream) })
		return
	}
	if fault != ResetBefore {
		s.flight(1)
		pause(call.ctx, work(""))
		s.flight(-1)
	}
	head := []string{":status", "200", "content-type", "application/grpc", "x-server", s.Name}
	switch fault {
	case ResetBefore, ResetAfter:
		t.write(func() { t.frames.WriteRSTStream(id, http2.ErrCodeInternal) })
	case Stall:
		<-call.ctx.Done()
	case Garbage:
		t.write(func() { t.frames.Headers(id, true, ":status", "200", "content-type", "text/plain") })
	case Error500:
		t.write(func() { t.frames.Headers(id, true, append(head, "grpc-status", "13", "grpc-message", "fault")...) })
	case HalfAnswer:
		t.write(func() {
			t.frames.Headers(id, false, head...)
			t.frames.WriteData(id, false, Message("half of it")[:9])
			t.frames.WriteRSTStream(id, http2.ErrCodeInternal)
		})
	default:
		status := h.Get("X-Want-Status")
		if n, err := strconv.Atoi(status); err == nil && n > 0 {
			t.write(func() { t.frames.Headers(id, true, append(head, "grpc-status", status)...) })
			return
		}
		text := fmt.Sprintf("server=%s uri=%s id=%s bytes=%d sum=%x\n", s.Name, rec.URI, rec.ID, rec.Bytes, rec.Sum)
		if call.ctx.Err() == nil {
			t.write(func() {
				t.frames.Headers(id, false, head...)
				t.frames.WriteData(id, false, Message(text))
				t.frames.Headers(id, true, "grpc-status", "0")
			})
		}
	}
}
