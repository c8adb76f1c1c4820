package fakeserver

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// FrameConn is one side of an HTTP/2 connection (RFC 9113) on which a test sends and reads single frames, also frames that a valid peer
// would not send.
type FrameConn struct {
	net.Conn
	*http2.Framer
	headerBuf bytes.Buffer
	encoder   *hpack.Encoder
	decoder   *hpack.Decoder
}

// Frame is a frame that was read. Unlike a frame of package http2 it stays valid after the next read.
type Frame struct {
	Type       http2.FrameType
	Stream     uint32
	EndStream  bool
	Ack        bool
	Fields     []hpack.HeaderField
	Data       []byte
	Code       http2.ErrCode
	LastStream uint32 // of a GOAWAY
	Increment  uint32 // of a WINDOW_UPDATE
	Values     map[http2.SettingID]uint32
}

// NewFrameConn returns a FrameConn on a connection. Frames are written without buffering.
func NewFrameConn(c net.Conn) *FrameConn {
	f := &FrameConn{Conn: c, Framer: http2.NewFramer(c, c)}
	f.AllowIllegalWrites = true
	f.SetMaxReadFrameSize(1 << 20)
	f.encoder = hpack.NewEncoder(&f.headerBuf)
	f.decoder = hpack.NewDecoder(4096, nil)
	return f
}

// DialFrameConn connects to an HTTP/2 server and sends the client preface and settings.
func DialFrameConn(addr string, settings ...http2.Setting) (*FrameConn, error) {
	c, err := net.DialTimeout("tcp", addr, 5*time.Second)
	if err != nil {
		return nil, err
	}
	f := NewFrameConn(c)
	if _, err := io.WriteString(c, http2.ClientPreface); err != nil {
		return nil, err
	}
	return f, f.WriteSettings(settings...)
}

// ServerHandshake reads the client preface, and sends the settings of a server.
func (f *FrameConn) ServerHandshake(settings ...http2.Setting) error {
	preface := make([]byte, len(http2.ClientPreface))
	if _, err := io.ReadFull(f.Conn, preface); err != nil {
		return err
	}
	if string(preface) != http2.ClientPreface {
		return errors.New("fake server: the connection does not start with the HTTP/2 client preface")
	}
	return f.WriteSettings(settings...)
}

// SendHeaders sends a header list. Pairs are alternating names and values.
func (f *FrameConn) SendHeaders(stream uint32, end bool, pairs ...string) error {
	return f.WriteHeaders(http2.HeadersFrameParam{
		StreamID: stream, BlockFragment: f.EncodeHeaders(pairs...), EndHeaders: true, EndStream: end,
	})
}

// EncodeHeaders encodes a header list.
func (f *FrameConn) EncodeHeaders(pairs ...string) []byte {
	f.headerBuf.Reset()
	for i := 0; i+1 < len(pairs); i += 2 {
		_ = f.encoder.WriteField(hpack.HeaderField{Name: pairs[i], Value: pairs[i+1]}) // writing to memory does not fail
	}
	return bytes.Clone(f.headerBuf.Bytes())
}

// SendCall sends the header list of a gRPC call.
func (f *FrameConn) SendCall(stream uint32, path string, end bool, pairs ...string) error {
	return f.SendHeaders(stream, end, append([]string{
		":method", "POST", ":scheme", "http", ":path", path, ":authority", "example.org",
		"content-type", "application/grpc", "te", "trailers",
	}, pairs...)...)
}

// GRPCMessage returns a gRPC message with its length prefix.
func GRPCMessage(text string) []byte {
	n := len(text)
	return append([]byte{0, byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)}, text...)
}

// ReadNext reads a frame. The frames that continue a header block are included.
func (f *FrameConn) ReadNext() (Frame, error) {
	raw, err := f.ReadFrame()
	if err != nil {
		return Frame{}, err
	}
	h := raw.Header()
	out := Frame{Type: h.Type, Stream: h.StreamID}
	switch raw := raw.(type) {
	case *http2.HeadersFrame:
		out.EndStream = raw.StreamEnded()
		text := bytes.Clone(raw.HeaderBlockFragment())
		for ended := raw.HeadersEnded(); !ended; {
			next, err := f.ReadFrame()
			if err != nil {
				return out, err
			}
			more, ok := next.(*http2.ContinuationFrame)
			if !ok {
				return out, fmt.Errorf("fake server: %v within a header block", next.Header().Type)
			}
			text = append(text, more.HeaderBlockFragment()...)
			ended = more.HeadersEnded()
		}
		out.Fields, err = f.decoder.DecodeFull(text)
		return out, err
	case *http2.DataFrame:
		out.EndStream, out.Data = raw.StreamEnded(), bytes.Clone(raw.Data())
	case *http2.RSTStreamFrame:
		out.Code = raw.ErrCode
	case *http2.GoAwayFrame:
		out.Code, out.LastStream, out.Data = raw.ErrCode, raw.LastStreamID, bytes.Clone(raw.DebugData())
	case *http2.PingFrame:
		out.Ack, out.Data = raw.IsAck(), bytes.Clone(raw.Data[:])
	case *http2.WindowUpdateFrame:
		out.Increment = raw.Increment
	case *http2.SettingsFrame:
		out.Ack, out.Values = raw.IsAck(), map[http2.SettingID]uint32{}
		err = raw.ForeachSetting(func(s http2.Setting) error {
			out.Values[s.ID] = s.Val
			return nil
		})
	}
	return out, err
}

// ReadUntil reads up to a frame that matches, and returns all frames up to that one. It fails after the timeout.
func (f *FrameConn) ReadUntil(timeout time.Duration, matches func(Frame) bool) ([]Frame, error) {
	if err := f.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return nil, err
	}
	defer func() { _ = f.SetReadDeadline(time.Time{}) }() // fails on a closed connection, as does the next read
	var all []Frame
	for {
		next, err := f.ReadNext()
		if err != nil {
			return all, err
		}
		if next.Type == http2.FrameSettings && !next.Ack {
			if err := f.WriteSettingsAck(); err != nil {
				return all, err
			}
		}
		if all = append(all, next); matches(next) {
			return all, nil
		}
	}
}

// FieldValue returns the first value of a name in the header lists of a stream; "" for none.
func FieldValue(frames []Frame, stream uint32, name string) string {
	for _, f := range frames {
		for _, h := range f.Fields {
			if f.Stream == stream && h.Name == name {
				return h.Value
			}
		}
	}
	return ""
}
