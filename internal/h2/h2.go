// Package h2 implements one HTTP/2 connection (RFC 9113) of a client or a server, on top of the framing and the header compression of
// golang.org/x/net.
//
// Invariants: the package never opens, retries or moves a stream by itself. It reports exactly how much of a stream may have
// been sent (Stream.Progress). The memory that a peer can occupy is bounded by its flow control windows, and a peer whose
// frames cause work without progress is disconnected (budget.go).
//
// A goroutine reads frames (read.go) and one writes them in batches (write.go). All state of a connection and its streams is
// guarded by the mutex of the connection.
package h2

import (
	"errors"
	"fmt"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// Field is one entry of a header list. Lists keep the order in which they are sent.
type Field = hpack.HeaderField

// Config configures a connection. A number or duration of zero means the default that its comment gives.
type Config struct {
	Client               bool
	MaxConcurrentStreams uint32        // streams that a server allows its peer, or that a client opens at most; default 100
	StreamWindow         uint32        // bytes of one stream that are buffered unread; default 64 KiB
	ConnWindow           uint32        // bytes of all streams that are buffered unread; default: enough for all streams to fill theirs
	SendBuffer           int           // bytes of a stream that are queued before Send blocks; default 32 KiB
	MaxHeaderListSize    uint32        // bytes as RFC 9113, section 6.5.2, counts them; default 16 KiB
	HandshakeTimeout     time.Duration // for the peer's preface and settings; default 2.2 s
	WriteTimeout         time.Duration // a peer that accepts no byte within it is disconnected; default 1 s
	ReadIdleTimeout      time.Duration // without a frame for it, a PING is sent if streams are open; 0 = never
	PingTimeout          time.Duration // for the response to a PING; default 1 s

	// OnStream handles a stream that a client opens, with its header list. It must not block. If it returns false, the stream
	// is refused (REFUSED_STREAM), which means to the client that the request was not processed.
	OnStream func(s *Stream, head []Field, ended bool) bool
	// OnClose is called once, when the connection has ended.
	OnClose func()
}

func (cfg *Config) setDefaults() {
	for _, f := range [...]struct {
		field *uint32
		value uint32
	}{{&cfg.MaxConcurrentStreams, 100}, {&cfg.StreamWindow, 64 << 10}, {&cfg.MaxHeaderListSize, 16 << 10}} {
		if *f.field == 0 {
			*f.field = f.value
		}
	}
	if cfg.ConnWindow == 0 {
		cfg.ConnWindow = uint32(min(max(uint64(cfg.MaxConcurrentStreams)*uint64(cfg.StreamWindow), initialWindow), 1<<30))
	}
	for _, f := range [...]struct {
		field *time.Duration
		value time.Duration
	}{{&cfg.HandshakeTimeout, 2200 * time.Millisecond}, {&cfg.WriteTimeout, time.Second}, {&cfg.PingTimeout, time.Second}} {
		if *f.field == 0 {
			*f.field = f.value
		}
	}
	if cfg.SendBuffer == 0 {
		cfg.SendBuffer = 32 << 10
	}
}

const (
	maxFrameSize          = 16 << 10 // bytes of a frame that is read or written; the smallest limit that RFC 9113 allows
	batchSize             = 16 << 10 // bytes that are framed before they are written
	maxContinuationFrames = 16       // CONTINUATION frames of one header block
	maxWindow             = 1<<31 - 1
	maxStreamID           = 1<<31 - 1
	smallChunkSize        = 512 // capacity of a chunk for small DATA frames, so that many of them take no more memory than their bytes
	initialWindow         = 65_535
)

// Errors of streams. The first three prove that the request was not processed.
var (
	ErrRefused      = errors.New("h2: the peer refused the stream")
	ErrGoAway       = errors.New("h2: the peer sent GOAWAY and has not processed the stream")
	ErrStartTimeout = errors.New("h2: the header list could not be sent in time")
	ErrNoCapacity   = errors.New("h2: the connection has no room for another stream")
	ErrClosed       = errors.New("h2: the connection has ended")
	ErrPeerStopped  = errors.New("h2: the peer does not read the rest of the stream")
)

// ResetError means that one side has reset the stream (RFC 9113, section 6.4).
type ResetError struct {
	Code   http2.ErrCode
	Remote bool // the peer has reset it
}

func (e *ResetError) Error() string {
	if e.Remote {
		return fmt.Sprintf("h2: the peer reset the stream: %v", e.Code)
	}
	return fmt.Sprintf("h2: the stream was reset: %v", e.Code)
}

// connError is a connection error (RFC 9113, section 5.4.1). Its code is sent to the peer in a GOAWAY frame.
type connError struct {
	code   http2.ErrCode
	reason string
}

func (e *connError) Error() string { return fmt.Sprintf("h2: %s (%v)", e.reason, e.code) }

func newConnError(code http2.ErrCode, reason string) error { return &connError{code, reason} }
