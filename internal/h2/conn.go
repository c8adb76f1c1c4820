package h2

import (
	"bufio"
	"bytes"
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
	framer  *http2.Framer  // of the reading goroutine
	decoder *hpack.Decoder // likewise
	updated []*Stream      // likewise: streams with new data, whose readers wake up once a batch of frames has been handled

	settingsReceived chan struct{} // closed when the peer's settings have been received
	wake             chan struct{} // signals the writer
	done             chan struct{} // closed when the connection has ended

	mu                  sync.Mutex
	streams             map[uint32]*Stream
	waiting             []*Stream // of a client: streams whose header list has not been framed
	openStreams         int       // including those that wait to be framed
	lastPeerStreamID    uint32    // the highest stream that the peer has opened
	nextID              uint32    // of a client
	peerInitialWindow   int64     // flow control window of a new stream
	peerMaxFrameSize    int
	peerMaxStreams      uint32
	peerHeaderTableSize uint32 // of the compression of our headers
	headerTableChanged  bool
	sendWindow          int64 // bytes that we may send
	recvWindow          int64 // bytes that the peer may send
	unsentCredit        int   // bytes consumed for which no WINDOW_UPDATE has been sent
	control             []func(*http2.Framer) error
	writable            []*Stream
	blocked             []*Stream // that wait for the window of the connection
	budget              budget
	drain               drainState // progress of our GOAWAY
	peerGoingAway       bool       // the peer has sent GOAWAY
	err                 error      // why it ended
	closeWhenWritten    bool       // the connection ends once all that is queued has been written
	goAwayWriter        sync.WaitGroup
	lastReceived        time.Time
	pingSentAt          time.Time // of the PING without a response; zero for none
	keepalive           *time.Timer
}

// drainState is the progress of a graceful shutdown (RFC 9113, section 6.8).
type drainState uint8

const (
	notDraining     drainState = iota
	goAwayAnnounced            // a GOAWAY with the highest stream ID has been sent: the client should open no more streams
	goAwayFinal                // a GOAWAY with the last stream ID has been sent: later streams are ignored
)

// New returns a connection on nc, from which reader may have read already; it may be nil. Run sends the settings.
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

// ErrPreface is a peer that does not speak HTTP/2.
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
	goAwayTimeout = 10 * time.Millisecond  // for the GOAWAY of a connection error
	lingerTime    = 500 * time.Millisecond // from our last byte until the peer has to close
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

// OpenStream opens a stream of a client with a header list and first bytes of DATA, which are not modified. End says that
// nothing follows. The header list is not sent after startBy (zero for any time): then the stream fails with ErrStartTimeout.
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
	s.outHeaders = []headerBlock{{head, false}} // the end is sent in DATA even if there is none, as gRPC asks (its "EOS")
	s.endQueued = end
	c.openStreams++
	c.waiting = append(c.waiting, s)
	c.wakeWriter()
	c.startKeepalive()
	return s, nil
}

// Drain shuts the connection down gracefully: no new stream is accepted, and it closes when the last one has ended. A server
// sends GOAWAY twice, so that no stream that is being opened meanwhile is lost (RFC 9113, section 6.8).
func (c *Conn) Drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.drain != notDraining || c.err != nil {
		return
	}
	c.drain = goAwayAnnounced
	if c.cfg.Client {
		c.drain = goAwayFinal
		c.closeIfIdle()
		return
	}
	c.queueControl(func(f *http2.Framer) error { return f.WriteGoAway(maxStreamID, http2.ErrCodeNo, nil) })
	c.queueControl(func(f *http2.Framer) error { return f.WritePing(false, drainPing) })
	time.AfterFunc(c.cfg.PingTimeout, c.sendFinalGoAway) // in case the peer does not respond to the PING
}

// The payloads of our PING frames.
var (
	drainPing     = [8]byte{'d', 'r', 'a', 'i', 'n'}
	keepalivePing = [8]byte{'a', 'l', 'i', 'v', 'e'}
)

// sendFinalGoAway is the second step of Drain.
func (c *Conn) sendFinalGoAway() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.drain != goAwayAnnounced || c.err != nil {
		return
	}
	c.drain = goAwayFinal
	last := c.lastPeerStreamID
	c.queueControl(func(f *http2.Framer) error { return f.WriteGoAway(last, http2.ErrCodeNo, nil) })
	c.closeIfIdle()
}

// closeIfIdle closes a connection that is shutting down once no stream is open. What is queued is written before.
func (c *Conn) closeIfIdle() {
	if (c.drain == goAwayFinal || c.peerGoingAway) && c.openStreams == 0 && !c.closeWhenWritten {
		c.closeWhenWritten = true
		c.wakeWriter()
	}
}

// Close closes the connection at once.
func (c *Conn) Close() { c.closeWith(ErrClosed) }

// Probe sends a PING if no frame has been received since a time. A peer that does not respond within PingTimeout is
// disconnected.
func (c *Conn) Probe(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil && c.lastReceived.Before(since) && c.pingSentAt.IsZero() {
		c.sendPing()
	}
}

// sendPing sends the PING of the keepalive and expects its response within PingTimeout.
func (c *Conn) sendPing() {
	c.pingSentAt = time.Now()
	c.queueControl(func(f *http2.Framer) error { return f.WritePing(false, keepalivePing) })
	if c.keepalive != nil {
		c.keepalive.Stop()
	}
	c.keepalive = time.AfterFunc(c.cfg.PingTimeout, c.keepaliveExpired)
}

// startKeepalive starts the timer of the keepalive, which runs while streams are open.
func (c *Conn) startKeepalive() {
	if c.cfg.ReadIdleTimeout > 0 && c.keepalive == nil && c.err == nil {
		c.keepalive = time.AfterFunc(c.cfg.ReadIdleTimeout, c.keepaliveExpired)
	}
}

var errPingTimeout = errors.New("h2: the peer does not answer")

// keepaliveExpired is called by the timer of the keepalive.
func (c *Conn) keepaliveExpired() {
	c.mu.Lock()
	c.keepalive = nil
	now := time.Now()
	switch silent := now.Sub(c.lastReceived); {
	case c.err != nil:
	case !c.pingSentAt.IsZero() && c.lastReceived.After(c.pingSentAt):
		c.pingSentAt = time.Time{} // any frame is a response
		if c.openStreams > 0 {
			c.startKeepalive()
		}
	case !c.pingSentAt.IsZero():
		c.mu.Unlock()
		c.closeWith(errPingTimeout)
		return
	case c.openStreams == 0 || c.cfg.ReadIdleTimeout == 0:
	case silent >= c.cfg.ReadIdleTimeout:
		c.sendPing()
	default:
		c.keepalive = time.AfterFunc(c.cfg.ReadIdleTimeout-silent, c.keepaliveExpired)
	}
	c.mu.Unlock()
}

// closeWith closes the connection with an error; its streams fail.
func (c *Conn) closeWith(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return
	}
	c.err = err
	var violation *connError
	if errors.As(err, &violation) {
		c.closeWithGoAway(violation)
	} else {
		c.net.Close()
	}
	if c.keepalive != nil {
		c.keepalive.Stop()
	}
	broken := fmt.Errorf("%w: %w", ErrClosed, err)
	for _, s := range c.streams {
		s.fail(broken)
	}
	for _, s := range c.waiting {
		s.fail(broken)
	}
	c.waiting, c.writable, c.blocked, c.control = nil, nil, nil, nil
	close(c.done)
}

// closeWithGoAway tells the peer of a connection error, if it can be told soon, and closes the connection.
func (c *Conn) closeWithGoAway(violation *connError) {
	var frame bytes.Buffer
	err := http2.NewFramer(&frame, nil).WriteGoAway(c.lastPeerStreamID, violation.code, []byte(violation.reason))
	if err == nil {
		err = c.net.SetWriteDeadline(time.Now().Add(goAwayTimeout))
	}
	c.goAwayWriter.Go(func() { // another write may be in progress; the deadline ends both
		defer c.net.Close()
		if err == nil {
			_, _ = c.net.Write(frame.Bytes()) // best effort: the connection has failed
		}
	})
}

// resetStream resets a stream from our side.
func (c *Conn) resetStream(s *Stream, code http2.ErrCode) {
	if s.released {
		return
	}
	if id := s.id; id != 0 && c.err == nil { // otherwise the peer does not know the stream
		c.queueControl(func(f *http2.Framer) error { return f.WriteRSTStream(id, code) })
	}
	c.releaseStream(s)
	s.fail(&ResetError{Code: code})
}

// releaseStream removes a stream from the open ones. Bytes that are unread can still be received; the window of the connection
// is opened for them now.
func (c *Conn) releaseStream(s *Stream) {
	if s.released {
		return
	}
	s.released = true
	c.openStreams--
	if s.id == 0 {
		for i, w := range c.waiting {
			if w == s {
				c.waiting = append(c.waiting[:i], c.waiting[i+1:]...)
				break
			}
		}
	} else {
		delete(c.streams, s.id)
	}
	c.returnConnWindow(s.unreadBytes)
	c.closeIfIdle()
}

// releaseIfDone releases a stream of which both sides have ended.
func (c *Conn) releaseIfDone(s *Stream) {
	if s.peerEnded && s.endFramed {
		c.budget.earn(2)
		c.releaseStream(s)
	}
}

// returnStreamWindow opens the windows for n bytes of a stream that have been consumed.
func (c *Conn) returnStreamWindow(s *Stream, n int) {
	if s.released {
		return // the window was opened when the stream was released
	}
	c.returnConnWindow(n)
	if s.unsentCredit += n; s.unsentCredit >= int(c.cfg.StreamWindow)/4 && !s.peerEnded && s.err == nil {
		more, id := uint32(s.unsentCredit), s.id
		s.recvWindow += int64(s.unsentCredit)
		s.unsentCredit = 0
		c.queueControl(func(f *http2.Framer) error { return f.WriteWindowUpdate(id, more) })
	}
}

// returnConnWindow opens the window of the connection for n bytes.
func (c *Conn) returnConnWindow(n int) {
	if c.unsentCredit += n; c.unsentCredit >= int(c.cfg.ConnWindow)/4 && c.err == nil {
		more := uint32(c.unsentCredit)
		c.recvWindow += int64(c.unsentCredit)
		c.unsentCredit = 0
		c.queueControl(func(f *http2.Framer) error { return f.WriteWindowUpdate(0, more) })
	}
}
