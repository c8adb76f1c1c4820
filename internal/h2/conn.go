package h2

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// Conn is one connection. Run serves it; all other methods may be called by any goroutine.
type Conn struct {
	net     net.Conn
	cfg     Config
	reader  *bufio.Reader
	framer  *http2.Framer  // used by the reading goroutine only
	decoder *hpack.Decoder // used by the reading goroutine only
	updated []*Stream      // used by the reading goroutine only: streams with new data; readers wake up after a batch of frames

	settingsReceived chan struct{} // closed when the peer's settings have been received
	wake             chan struct{} // signals the writer
	done             chan struct{} // closed when the connection has ended

	mu                  sync.Mutex
	streams             map[uint32]*Stream
	waiting             []*Stream // client only: streams whose header list has not been framed
	openStreams         int       // including those in waiting
	lastPeerStreamID    uint32    // the highest stream that the peer has opened
	nextID              uint32    // client only: ID of the next stream
	peerInitialWindow   int64     // flow control window of a new stream
	peerMaxFrameSize    int
	peerMaxStreams      uint32
	peerHeaderTableSize uint32 // dynamic table size that the peer allows for our header compression
	headerTableChanged  bool
	sendWindow          int64 // bytes that we may send
	recvWindow          int64 // bytes that the peer may send
	unsentCredit        int   // bytes consumed for which no WINDOW_UPDATE has been sent
	control             []func(*http2.Framer) error
	writable            []*Stream
	blocked             []*Stream // streams that wait for the window of the connection
	budget              budget
	drain               drainState // progress of our GOAWAY
	peerGoingAway       bool       // the peer has sent GOAWAY
	err                 error      // why the connection ended
	closeWhenWritten    bool       // the connection ends once all queued frames have been written
	goAwayWriter        sync.WaitGroup
	lastReceived        time.Time
	pingSentAt          time.Time // when the PING without a response was sent; zero for none
	keepalive           *time.Timer
}

// drainState is the progress of a graceful shutdown (RFC 9113, section 6.8).
type drainState uint8

const (
	notDraining     drainState = iota
	goAwayAnnounced            // a GOAWAY with the highest stream ID has been sent: the client should open no more streams
	goAwayFinal                // a GOAWAY with the last stream ID has been sent: later streams are ignored
)

// New returns a connection on nc. If bytes of nc have been buffered already, reader holds them; otherwise it may be nil. Run sends
// the settings.
func New(nc net.Conn, reader *bufio.Reader, cfg Config) *Conn {
	cfg.setDefaults()
	if reader == nil {
		reader = bufio.NewReader(nc)
	}
	c := &Conn{
		net: nc, cfg: cfg, reader: reader,
		settingsReceived: make(chan struct{}), wake: make(chan struct{}, 1), done: make(chan struct{}),
		streams: map[uint32]*Stream{}, nextID: 1, peerInitialWindow: initialWindow, peerMaxFrameSize: maxFrameSize, peerMaxStreams: 1<<32 - 1,
		sendWindow: initialWindow, recvWindow: int64(cfg.ConnWindow),
	}
	c.framer = http2.NewFramer(nil, c.reader)
	c.framer.SetMaxReadFrameSize(maxFrameSize)
	c.framer.SetReuseFrames()
	c.decoder = hpack.NewDecoder(4096, nil)
	c.decoder.SetMaxStringLength(4 * int(cfg.MaxHeaderListSize)) // a longer list resets its stream, but not the connection
	return c
}

// ErrPreface means that the peer does not speak HTTP/2.
var ErrPreface = errors.New("h2: the peer does not speak HTTP/2")

// Run serves the connection until it ends, and returns why; nil for a graceful end.
func (c *Conn) Run() error {
	err := c.net.SetReadDeadline(time.Now().Add(c.cfg.HandshakeTimeout))
	c.mu.Lock()
	c.lastReceived = time.Now()
	c.queuePreface()
	c.mu.Unlock()
	var writing sync.WaitGroup
	writing.Go(c.writeLoop)
	if err == nil {
		err = c.readLoop()
	}
	c.closeWith(err)
	writing.Wait()
	c.goAwayWriter.Wait()
	c.net.Close()
	if c.cfg.OnClose != nil {
		c.cfg.OnClose()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeWhenWritten && !errors.As(c.err, new(*connError)) {
		return nil
	}
	return c.err
}

const (
	goAwayTimeout = 10 * time.Millisecond  // to write the GOAWAY of a connection error
	lingerTime    = 500 * time.Millisecond // for the peer to close the connection after our last byte
)

var errDrained = errors.New("h2: all streams have ended")

// queuePreface queues our settings and the window of the connection.
func (c *Conn) queuePreface() {
	settings := []http2.Setting{
		{ID: http2.SettingInitialWindowSize, Val: c.cfg.StreamWindow}, {ID: http2.SettingMaxHeaderListSize, Val: c.cfg.MaxHeaderListSize},
	}
	if c.cfg.Client {
		settings = append(settings, http2.Setting{ID: http2.SettingEnablePush, Val: 0})
	} else {
		settings = append(settings, http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: c.cfg.MaxConcurrentStreams})
	}
	c.queueControl(func(f *http2.Framer) error { return f.WriteSettings(settings...) })
	if more := c.cfg.ConnWindow - initialWindow; c.cfg.ConnWindow > initialWindow {
		c.queueControl(func(f *http2.Framer) error { return f.WriteWindowUpdate(0, more) })
	}
}

// WaitSettings waits until the peer's settings have been received.
func (c *Conn) WaitSettings(ctx context.Context) error {
	select {
	case <-c.settingsReceived:
		return nil
	case <-c.done:
		return c.Err()
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Err returns why the connection ended; nil while it is open.
func (c *Conn) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// AvailableStreams returns how many more streams may be opened now; 0 for a connection that is shutting down.
func (c *Conn) AvailableStreams() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.availableStreams()
}

func (c *Conn) availableStreams() int {
	if c.err != nil || c.peerGoingAway || c.drain != notDraining || c.nextID > maxStreamID-2*uint32(c.openStreams+1) {
		return 0
	}
	return max(int(min(c.cfg.MaxConcurrentStreams, c.peerMaxStreams))-c.openStreams, 0)
}

// OpenStreams returns the number of open streams.
func (c *Conn) OpenStreams() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.openStreams
}

// OpenStream opens a stream of a client with a header list and first bytes of DATA, which are not modified. If end is
// set, nothing follows. If the header list cannot be sent by startBy (zero for no limit), the stream fails with ErrStartTimeout.
func (c *Conn) OpenStream(head []Field, body [][]byte, end bool, startBy time.Time) (*Stream, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return nil, fmt.Errorf("%w: %w", ErrClosed, c.err)
	}
	if c.availableStreams() == 0 {
		return nil, ErrNoCapacity
	}
	s := newStream(c)
	s.startBy = startBy
	for _, chunk := range body {
		if len(chunk) > 0 {
			s.outData = append(s.outData, chunk)
			s.outBytes += len(chunk)
		}
	}
	s.outHeaders = []headerBlock{{head, false}} // the end is sent in DATA even if there is none, as gRPC requires (its "EOS")
	s.endQueued = end
	c.openStreams++
	c.waiting = append(c.waiting, s)
	c.wakeWriter()
	c.startKeepalive()
	return s, nil
}

// The payloads of our PING frames.
var (
	drainPing     = [8]byte{'d', 'r', 'a', 'i', 'n'}
	keepalivePing = [8]byte{'a', 'l', 'i', 'v', 'e'}
)
