package fakeserver

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

// This file serves gRPC over HTTP/2 on connections that start with the HTTP/2 client preface, with the same work, faults and records as
// HTTP/1.1. Requests are unary calls. The response is one message that contains the name of the server.

const (
	maxCallBodyBytes = 16 << 20
	windowSize       = 1 << 20 // bytes
	messagePrefix    = 5       // length of the prefix of a gRPC message, in bytes
	halfMessageBytes = 9       // bytes of the message in a response that ends early
)

// http2Conn is a connection of HTTP/2.
type http2Conn struct {
	server *Server
	frames *FrameConn
	ctx    context.Context // of its calls

	mu      sync.Mutex // held during writes
	calls   map[uint32]*grpcCall
	running sync.WaitGroup
}

// grpcCall is a call whose request is being received, or that is being served.
type grpcCall struct {
	request *http.Request
	body    bytes.Buffer
	cancel  context.CancelFunc
	ctx     context.Context
}

// serveHTTP2 serves a connection whose preface has not been read.
func (s *Server) serveHTTP2(ctx context.Context, c net.Conn) {
	t := &http2Conn{server: s, frames: NewFrameConn(c), calls: map[uint32]*grpcCall{}}
	defer t.running.Wait()
	var cancel context.CancelFunc
	t.ctx, cancel = context.WithCancel(ctx)
	defer cancel()
	s.mu.Lock()
	maxStreams := s.maxStreams
	s.mu.Unlock()
	err := t.frames.ServerHandshake(
		http2.Setting{ID: http2.SettingInitialWindowSize, Val: windowSize},
		http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: maxStreams},
	)
	if err == nil {
		err = t.frames.WriteWindowUpdate(0, windowSize)
	}
	for err == nil {
		var f Frame
		if f, err = t.frames.ReadNext(); err == nil {
			err = t.handleFrame(f)
		}
	}
}

// handleFrame handles one frame. Its error ends the connection.
func (t *http2Conn) handleFrame(f Frame) error {
	call := t.calls[f.Stream]
	switch f.Type {
	case http2.FrameSettings:
		if !f.Ack {
			t.write(t.frames.WriteSettingsAck)
		}
	case http2.FramePing:
		if !f.Ack {
			t.write(func() error { return t.frames.WritePing(true, [8]byte(f.Data)) })
		}
	case http2.FrameRSTStream:
		if call != nil {
			call.cancel()
		}
	case http2.FrameHeaders:
		call = t.newCall(f)
		t.calls[f.Stream] = call
		t.serveIfComplete(f, call)
	case http2.FrameData:
		if n := uint32(len(f.Data)); n > 0 {
			t.write(
				func() error { return t.frames.WriteWindowUpdate(0, n) },
				func() error { return t.frames.WriteWindowUpdate(f.Stream, n) },
			)
		}
		if call == nil || call.body.Len()+len(f.Data) > maxCallBodyBytes {
			return fmt.Errorf("fake server: stream %d has no call, or its request is over %d bytes", f.Stream, maxCallBodyBytes)
		}
		call.body.Write(f.Data)
		t.serveIfComplete(f, call)
	}
	return nil
}

// newCall returns the call of a header frame.
func (t *http2Conn) newCall(f Frame) *grpcCall {
	call := &grpcCall{request: &http.Request{Method: http.MethodPost, URL: &url.URL{}, Header: http.Header{}}}
	call.ctx, call.cancel = context.WithCancel(t.ctx)
	for _, field := range f.Fields {
		switch field.Name {
		case ":path":
			call.request.RequestURI, call.request.URL.Path = field.Value, field.Value
		case ":authority":
			call.request.Host = field.Value
		default:
			call.request.Header.Add(field.Name, field.Value)
		}
	}
	return call
}

func (t *http2Conn) serveIfComplete(f Frame, call *grpcCall) {
	if f.EndStream {
		t.running.Go(func() { t.serveCall(f.Stream, call) })
	}
}

// write calls functions that write frames, up to the first that fails. Frames of other calls do not come between them. The error is
// ignored because the next read of the connection fails too.
func (t *http2Conn) write(frames ...func() error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, frame := range frames {
		if frame() != nil {
			return
		}
	}
}

// serveCall serves one call according to the fault of its request.
func (t *http2Conn) serveCall(id uint32, call *grpcCall) {
	defer call.cancel()
	s := t.server
	s.mu.Lock()
	choose, workTime := s.fault, s.workTime
	s.mu.Unlock()
	rec := call.record(s.Name, choose(call.request))
	s.record(rec)
	if rec.Fault != NotExecuted && rec.Fault != ResetBeforeBody {
		s.addInFlight(1)
		wait(call.ctx, workTime(""))
		s.addInFlight(-1)
	}
	t.respond(id, call, &rec)
}

// record returns the record of a call.
func (c *grpcCall) record(server string, fault Fault) Record {
	body := c.body.Bytes()
	if len(body) >= messagePrefix && int(binary.BigEndian.Uint32(body[1:messagePrefix])) == len(body)-messagePrefix {
		body = body[messagePrefix:]
	}
	hash := fnv.New64a()
	hash.Write(body)
	header := c.request.Header
	return Record{
		Server:         server,
		RequestID:      header.Get("X-Request-Id"),
		Method:         http.MethodPost,
		URI:            c.request.RequestURI,
		Host:           c.request.Host,
		IdempotencyKey: header.Get("Idempotency-Key"),
		Header:         header,
		BodyBytes:      int64(len(body)),
		BodyHash:       hash.Sum64(),
		ReceivedAt:     time.Now(),
		Executed:       fault != NotExecuted && fault != ResetBeforeBody,
		Fault:          fault,
	}
}

// respond responds according to the fault of a call.
func (t *http2Conn) respond(id uint32, call *grpcCall, rec *Record) {
	header := []string{":status", "200", "content-type", "application/grpc", "x-server", t.server.Name}
	sendHeaders := func(end bool, pairs ...string) func() error {
		return func() error { return t.frames.SendHeaders(id, end, pairs...) }
	}
	sendData := func(data []byte) func() error {
		return func() error { return t.frames.WriteData(id, false, data) }
	}
	reset := func(code http2.ErrCode) func() error {
		return func() error { return t.frames.WriteRSTStream(id, code) }
	}
	switch rec.Fault {
	case NotExecuted:
		t.write(reset(http2.ErrCodeRefusedStream))
	case ResetBeforeBody, ResetAfterRequest:
		t.write(reset(http2.ErrCodeInternal))
	case NoResponse:
		<-call.ctx.Done()
	case GarbageResponse:
		t.write(sendHeaders(true, ":status", "200", "content-type", "text/plain"))
	case Error500:
		t.write(sendHeaders(true, append(header, "grpc-status", "13", "grpc-message", "fault")...))
	case HalfResponse:
		t.write(sendHeaders(false, header...), sendData(GRPCMessage("half of it")[:halfMessageBytes]), reset(http2.ErrCodeInternal))
	default:
		status := rec.Header.Get("X-Want-Status")
		if n, err := strconv.Atoi(status); err == nil && n > 0 {
			t.write(sendHeaders(true, append(header, "grpc-status", status)...))
			return
		}
		text := fmt.Sprintf("server=%s uri=%s id=%s bytes=%d sum=%x\n", rec.Server, rec.URI, rec.RequestID, rec.BodyBytes, rec.BodyHash)
		if call.ctx.Err() == nil {
			t.write(sendHeaders(false, header...), sendData(GRPCMessage(text)), sendHeaders(true, "grpc-status", "0"))
		}
	}
}
