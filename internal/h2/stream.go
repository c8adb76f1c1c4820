package h2

import (
	"context"
	"errors"
	"io"
	"time"

	"golang.org/x/net/http2"
)

// Stream is one stream of a connection. One goroutine may read it while another writes it; any may call Reset.
// Its fields are guarded by the mutex of its connection.
type Stream struct {
	conn *Conn
	id   uint32 // 0 until its header list is framed

	headers        [][]Field // received header lists that have not been read
	chunks         [][]byte  // received DATA that has not been read
	trailers       []Field
	peerEnded      bool  // the peer has sent END_STREAM
	err            error // why the stream failed
	unreadBytes    int   // in chunks
	recvWindow     int64 // bytes that the peer may still send
	unsentCredit   int   // bytes consumed for which no WINDOW_UPDATE has been sent
	headerReceived bool  // the final header list has been received

	outHeaders   []headerBlock // header lists to be framed
	outData      [][]byte
	outBytes     int // in outData
	outTrailers  []Field
	endQueued    bool // the queued output is the last
	endFramed    bool // END_STREAM has been framed
	sendWindow   int64
	scheduled    bool      // the stream is in Conn.writable or Conn.blocked
	startBy      time.Time // latest time to send the header list; zero for no limit
	startMaySent bool      // a byte of the header list may have been sent
	endMaySent   bool      // END_STREAM may have been sent
	endSent      bool      // END_STREAM has been sent
	peerStopped  bool      // the peer does not read the rest of our side
	released     bool      // no longer among the open streams
	onError      func(error)

	readSignal, writeSignal chan struct{}
}

// headerBlock is a header list to send.
type headerBlock struct {
	fields []Field
	end    bool
}

func newStream(c *Conn) *Stream {
	return &Stream{
		conn: c, recvWindow: int64(c.cfg.StreamWindow), sendWindow: c.peerInitialWindow,
		readSignal: make(chan struct{}, 1), writeSignal: make(chan struct{}, 1),
	}
}

// signal wakes up the goroutine that waits for ch, or lets its next wait return at once.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// RecvHeader waits for the next header list of the peer, which may be an interim response. end means that nothing follows it.
func (s *Stream) RecvHeader(ctx context.Context) (fields []Field, end bool, err error) {
	err = s.waitUntil(ctx, func() bool {
		if len(s.headers) == 0 {
			return false
		}
		fields, s.headers = s.headers[0], s.headers[1:]
		end = s.peerEnded && len(s.headers) == 0 && len(s.chunks) == 0 && s.trailers == nil
		return true
	})
	return fields, end, err
}

// Recv waits for bytes of DATA. The flow control window is opened for them. It returns io.EOF at the end of the peer's side.
func (s *Stream) Recv(ctx context.Context) (chunk []byte, err error) {
	end := false
	err = s.waitUntil(ctx, func() bool {
		if len(s.chunks) > 0 {
			chunk, s.chunks = s.chunks[0], s.chunks[1:]
			s.unreadBytes -= len(chunk)
			s.conn.returnStreamWindow(s, len(chunk))
			return true
		}
		end = s.peerEnded
		return end
	})
	if end {
		return nil, io.EOF
	}
	return chunk, err
}

// waitUntil waits until take returns true, the stream fails or ctx ends. Frames received before a failure are still taken.
func (s *Stream) waitUntil(ctx context.Context, take func() bool) error {
	for {
		s.conn.mu.Lock()
		done, err := take(), s.err
		s.conn.mu.Unlock()
		switch {
		case done:
			return nil
		case err != nil:
			return err
		}
		select {
		case <-s.readSignal:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// Trailers returns the trailers of the peer; nil for none.
func (s *Stream) Trailers() []Field {
	s.conn.mu.Lock()
	defer s.conn.mu.Unlock()
	return s.trailers
}

// AtEOF reports whether the peer has ended its side and all of it has been received.
func (s *Stream) AtEOF() bool {
	s.conn.mu.Lock()
	defer s.conn.mu.Unlock()
	return s.peerEnded && len(s.chunks) == 0
}

// IsReadable reports whether Recv would not block.
func (s *Stream) IsReadable() bool {
	s.conn.mu.Lock()
	defer s.conn.mu.Unlock()
	return len(s.chunks) > 0 || s.peerEnded || s.err != nil
}

// Err returns why the stream failed; nil if it has not.
func (s *Stream) Err() error {
	s.conn.mu.Lock()
	defer s.conn.mu.Unlock()
	return s.err
}

// OnError has f called once when the stream fails: reset by the peer, or ended with its connection. It must not block.
func (s *Stream) OnError(f func(error)) {
	s.conn.mu.Lock()
	defer s.conn.mu.Unlock()
	if s.err != nil {
		f(s.err)
		return
	}
	s.onError = f
}

// Progress reports whether a byte of the stream may have been sent, and whether its end may have been.
func (s *Stream) Progress() (started, ended bool) {
	s.conn.mu.Lock()
	defer s.conn.mu.Unlock()
	return s.startMaySent, s.endMaySent
}

// SendHeader queues a header list.
func (s *Stream) SendHeader(fields []Field, end bool) error {
	return s.changeOutput(func() {
		s.outHeaders = append(s.outHeaders, headerBlock{fields, end})
		s.endQueued = s.endQueued || end
	})
}

// TrySend queues bytes of DATA if they fit into the send buffer now. The caller must not modify them afterwards.
func (s *Stream) TrySend(chunk []byte) bool {
	fits, err := s.trySend(chunk)
	return fits && err == nil
}

func (s *Stream) trySend(chunk []byte) (fits bool, err error) {
	err = s.changeOutput(func() {
		if fits = s.outBytes == 0 || s.outBytes+len(chunk) <= s.conn.cfg.SendBuffer; fits && len(chunk) > 0 {
			s.outData = append(s.outData, chunk)
			s.outBytes += len(chunk)
		}
	})
	return fits, err
}

// Send queues bytes of DATA like TrySend, but waits for room in the send buffer until ctx ends.
func (s *Stream) Send(ctx context.Context, chunk []byte) error {
	for {
		if fits, err := s.trySend(chunk); err != nil || fits {
			return err
		}
		select {
		case <-s.writeSignal:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// SendEnd ends our side, with trailers if there are any.
func (s *Stream) SendEnd(trailers []Field) error {
	return s.changeOutput(func() { s.outTrailers, s.endQueued = trailers, true })
}

// changeOutput changes the queued output, unless the stream has failed or our side has ended.
func (s *Stream) changeOutput(change func()) error {
	c := s.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case s.err != nil:
		return s.err
	case s.peerStopped, s.endQueued:
		return ErrPeerStopped
	}
	change()
	c.scheduleWrite(s)
	return nil
}

// WaitSent waits until our side, including its end, has been written to the connection. It fails if the peer accepts no byte
// for the timeout.
func (s *Stream) WaitSent(ctx context.Context, timeout time.Duration) error {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	lastUnsent := -1
	for {
		s.conn.mu.Lock()
		done, err, unsent := s.endSent || s.peerStopped, s.err, s.outBytes
		s.conn.mu.Unlock()
		if done {
			return nil
		}
		if err != nil && !errors.Is(err, ErrPeerStopped) {
			return err
		}
		if unsent != lastUnsent {
			lastUnsent = unsent
			timer.Reset(timeout)
		}
		select {
		case <-s.writeSignal:
		case <-timer.C:
			return context.DeadlineExceeded
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// Reset ends the stream at once: queued output is dropped, and RST_STREAM is sent if the header list has been framed. It has
// no effect on a stream that has ended.
func (s *Stream) Reset(code http2.ErrCode) {
	s.conn.mu.Lock()
	defer s.conn.mu.Unlock()
	s.conn.resetStream(s, code)
}

// fail ends a stream with an error. The mutex of the connection is held.
func (s *Stream) fail(err error) {
	if s.err == nil {
		s.err = err
	}
	s.discardOutput()
	signal(s.readSignal)
	signal(s.writeSignal)
	if f := s.onError; f != nil {
		s.onError = nil
		f(s.err)
	}
}

// discardOutput drops the queued output.
func (s *Stream) discardOutput() {
	s.outHeaders, s.outData, s.outBytes, s.outTrailers = nil, nil, 0, nil
}
