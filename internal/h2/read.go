package h2

import (
	"bytes"
	"errors"
	"io"
	"time"

	"golang.org/x/net/http2"
)

// readLoop handles frames until the connection ends.
func (c *Conn) readLoop() error {
	if err := c.readPreface(); err != nil {
		return err
	}
	for {
		f, err := c.framer.ReadFrame()
		if err != nil {
			return c.readError(err, false)
		}
		if err := c.handleFrame(f); err != nil {
			return err
		}
		if len(c.updated) >= maxUpdated || !c.nextFrameBuffered() {
			c.notifyUpdated()
		}
	}
}

// maxUpdated is the number of updated streams at which their readers are notified early.
const maxUpdated = 64

// readPreface reads the preface of a client, and the settings of either peer (RFC 9113, section 3.4).
func (c *Conn) readPreface() error {
	if !c.cfg.Client {
		preface := make([]byte, len(http2.ClientPreface))
		if _, err := io.ReadFull(c.reader, preface); err != nil {
			return err
		}
		if !bytes.Equal(preface, []byte(http2.ClientPreface)) {
			return ErrPreface
		}
	}
	f, err := c.framer.ReadFrame()
	if err != nil {
		return c.readError(err, true)
	}
	if s, ok := f.(*http2.SettingsFrame); !ok || s.IsAck() {
		return newConnError(http2.ErrCodeProtocol, "the first frame is not SETTINGS")
	}
	if err := c.handleFrame(f); err != nil {
		return err
	}
	if err := c.net.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	close(c.settingsReceived)
	return nil
}

// nextFrameBuffered reports whether reading the next frame does not block.
func (c *Conn) nextFrameBuffered() bool {
	const headerSize = 9 // bytes (RFC 9113, section 4.1)
	n := c.reader.Buffered()
	if n < headerSize {
		return false
	}
	header, err := c.reader.Peek(headerSize)
	return err == nil && n >= headerSize+(int(header[0])<<16|int(header[1])<<8|int(header[2]))
}

// readError converts an error of the Framer. first means that it occurred in the first frame of the connection.
func (c *Conn) readError(err error, first bool) error {
	var conn http2.ConnectionError
	switch {
	case first && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
		return errors.Join(ErrPreface, err)
	case errors.As(err, &conn):
		return newConnError(http2.ErrCode(conn), "a frame breaks the protocol")
	case errors.Is(err, http2.ErrFrameTooLarge):
		return newConnError(http2.ErrCodeFrameSize, "a frame is over the size allowed")
	}
	var stream http2.StreamError
	if errors.As(err, &stream) { // the Framer may not be able to read the next frame
		return newConnError(stream.Code, "a frame breaks the protocol")
	}
	return err
}

// notifyUpdated wakes up the readers of the streams that have received frames since the last call.
func (c *Conn) notifyUpdated() {
	for i, s := range c.updated {
		signal(s.readSignal)
		c.updated[i] = nil
	}
	c.updated = c.updated[:0]
}

// handleFrame handles one frame.
func (c *Conn) handleFrame(f http2.Frame) error {
	if h, ok := f.(*http2.HeadersFrame); ok { // may read more frames, so the mutex is not held
		return c.handleHeaders(h)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastReceived = time.Now()
	switch f := f.(type) {
	case *http2.DataFrame:
		return c.handleData(f)
	case *http2.SettingsFrame:
		return c.handleSettings(f)
	case *http2.WindowUpdateFrame:
		return c.handleWindowUpdate(f)
	case *http2.RSTStreamFrame:
		return c.handleReset(f)
	case *http2.PingFrame:
		return c.handlePing(f)
	case *http2.GoAwayFrame:
		c.handleGoAway(f)
	case *http2.PushPromiseFrame:
		return newConnError(http2.ErrCodeProtocol, "a push that we have not allowed")
	case *http2.ContinuationFrame:
		return newConnError(http2.ErrCodeProtocol, "CONTINUATION without HEADERS")
	default: // PRIORITY is deprecated (RFC 9113, section 5.3.2); unknown frames are ignored
		return c.spendBudget(1)
	}
	return nil
}

// isIdleStream reports whether a stream of the client is idle: it has not been opened yet (RFC 9113, section 5.1).
func (c *Conn) isIdleStream(id uint32) bool {
	if c.cfg.Client {
		return id >= c.nextID
	}
	return id > c.lastPeerStreamID
}

// spendBudget charges n tokens for frames that cause work without progress. The mutex is held.
func (c *Conn) spendBudget(n float64) error {
	if !c.budget.spend(c.lastReceived, n) {
		return newConnError(http2.ErrCodeEnhanceYourCalm, "too many frames that bring nothing")
	}
	return nil
}

// handleData adds the bytes of a DATA frame to their stream.
func (c *Conn) handleData(f *http2.DataFrame) error {
	length := int(f.Length) // with padding, which counts against the windows
	if c.recvWindow -= int64(length); c.recvWindow < 0 {
		return newConnError(http2.ErrCodeFlowControl, "more DATA than the connection's window allows")
	}
	s := c.streams[f.StreamID]
	if s == nil {
		if c.isIdleStream(f.StreamID) || f.StreamID%2 == 0 {
			return newConnError(http2.ErrCodeProtocol, "DATA of a stream that nobody opened")
		}
		c.returnConnWindow(length)
		return c.spendBudget(1)
	}
	if s.peerEnded {
		return newConnError(http2.ErrCodeStreamClosed, "DATA behind the end of a stream")
	}
	if s.recvWindow -= int64(length); s.recvWindow < 0 {
		c.returnConnWindow(length)
		c.resetStream(s, http2.ErrCodeFlowControl)
		return c.spendBudget(1)
	}
	if !s.headerReceived {
		c.returnConnWindow(length)
		c.resetStream(s, http2.ErrCodeProtocol)
		return c.spendBudget(1)
	}
	data := f.Data()
	if pad := length - len(data); pad > 0 {
		c.returnStreamWindow(s, pad)
	}
	ended := f.StreamEnded()
	if len(data) > 0 {
		s.unreadBytes += len(data)
		s.appendData(data, ended)
	}
	if s.peerEnded = ended; len(data) > 0 || ended {
		c.updated = append(c.updated, s)
	}
	c.releaseIfDone(s)
	if len(data) == 0 && !ended {
		return c.spendBudget(1)
	}
	return nil
}

// appendData buffers bytes. Small frames share a chunk, so that they take no more memory than their bytes.
func (s *Stream) appendData(data []byte, last bool) {
	if n := len(s.chunks) - 1; n >= 0 {
		if chunk := s.chunks[n]; cap(chunk)-len(chunk) >= len(data) {
			s.chunks[n] = append(chunk, data...)
			return
		}
	}
	capacity := len(data)
	if !last && len(s.chunks) > 0 {
		capacity = max(capacity, smallChunkSize)
	}
	s.chunks = append(s.chunks, append(make([]byte, 0, capacity), data...))
}

// handleReset ends a stream that the peer has reset.
func (c *Conn) handleReset(f *http2.RSTStreamFrame) error {
	s := c.streams[f.StreamID]
	if s == nil {
		if c.isIdleStream(f.StreamID) {
			return newConnError(http2.ErrCodeProtocol, "RST_STREAM of a stream that nobody opened")
		}
		return c.spendBudget(1)
	}
	c.releaseStream(s)
	if s.peerEnded && c.cfg.Client { // the response is complete: the peer only stops reading the request
		s.peerStopped = true
		s.discardOutput()
		signal(s.writeSignal)
	} else {
		var err error = &ResetError{Code: f.ErrCode, Remote: true}
		if f.ErrCode == http2.ErrCodeRefusedStream && c.cfg.Client && len(s.headers) == 0 && !s.headerReceived {
			err = ErrRefused
		}
		s.fail(err)
	}
	c.updated = append(c.updated, s)
	if c.cfg.Client {
		return nil // no flood: only streams that this client has opened can be reset
	}
	return c.spendBudget(1)
}

// handlePing responds to a PING, or handles the response to ours.
func (c *Conn) handlePing(f *http2.PingFrame) error {
	if f.IsAck() {
		if f.Data == drainPing && c.drain == goAwayAnnounced {
			go c.sendFinalGoAway()
		}
		return nil
	}
	data := f.Data
	c.queueControl(func(f *http2.Framer) error { return f.WritePing(true, data) })
	return c.spendBudget(1)
}

// handleGoAway fails the streams that the peer has not processed and will not (RFC 9113, section 6.8); the others continue.
func (c *Conn) handleGoAway(f *http2.GoAwayFrame) {
	c.peerGoingAway = true
	if c.cfg.Client {
		for id, s := range c.streams {
			if id > f.LastStreamID {
				c.releaseStream(s)
				s.fail(ErrGoAway)
			}
		}
		for _, s := range append([]*Stream(nil), c.waiting...) {
			c.releaseStream(s)
			s.fail(ErrGoAway)
		}
	}
	c.closeIfIdle()
}
