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

// maxUpdated bounds the streams that are notified together.
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
	const head = 9 // bytes (RFC 9113, section 4.1)
	n := c.reader.Buffered()
	if n < head {
		return false
	}
	h, err := c.reader.Peek(head)
	return err == nil && n >= head+(int(h[0])<<16|int(h[1])<<8|int(h[2]))
}

// readError converts an error of reading a frame.
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

// notifyUpdated wakes up the readers of the streams that got something in the last batch of frames.
func (c *Conn) notifyUpdated() {
	for i, s := range c.updated {
		signal(s.readSignal)
		c.updated[i] = nil
	}
	c.updated = c.updated[:0]
}

// handleFrame handles one frame.
func (c *Conn) handleFrame(f http2.Frame) error {
	if h, ok := f.(*http2.HeadersFrame); ok { // reads more frames, so without the mutex
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

// spendBudget counts frames that cause work without progress. The mutex is held.
func (c *Conn) spendBudget(n float64) error {
	if !c.budget.spend(c.lastReceived, n) {
		return newConnError(http2.ErrCodeEnhanceYourCalm, "too many frames that bring nothing")
	}
	return nil
}

// handleHeaders reads a header list to its end: a request, a response or trailers.
func (c *Conn) handleHeaders(f *http2.HeadersFrame) error {
	id, ended := f.StreamID, f.StreamEnded()
	if !f.HeadersEnded() {
		c.notifyUpdated() // the rest may take long to arrive
	}
	fields, err := c.readHeaderBlock(f) // also for unknown streams, as the compression has a state
	if err != nil {
		var known *connError
		if !errors.As(err, &known) {
			err = c.readError(err, false)
		}
		return err
	}
	c.mu.Lock()
	c.lastReceived = time.Now()
	s := c.streams[id]
	if s == nil {
		if c.cfg.Client || id <= c.lastPeerStreamID {
			defer c.mu.Unlock()
			if id%2 == 0 || c.isIdleStream(id) {
				return newConnError(http2.ErrCodeProtocol, "HEADERS of a stream that nobody opened")
			}
			return c.spendBudget(1) // of a stream that has been reset
		}
		return c.acceptStream(id, fields, ended)
	}
	defer c.mu.Unlock()
	if s.peerEnded {
		return newConnError(http2.ErrCodeStreamClosed, "HEADERS behind the end of a stream")
	}
	if !c.addHeaders(s, fields, ended) {
		c.resetStream(s, http2.ErrCodeProtocol)
		return nil
	}
	c.updated = append(c.updated, s)
	c.releaseIfDone(s)
	return nil
}

// maxInterim bounds the interim responses of a stream that have not been read.
const maxInterim = 17

// addHeaders adds the header list of a response, or trailers, to a stream. It returns false if the list is malformed.
func (c *Conn) addHeaders(s *Stream, fields []Field, ended bool) bool {
	isTrailers := !c.cfg.Client || s.headerReceived
	if fields == nil || !areFieldsValid(fields, false, isTrailers) {
		return false
	}
	if isTrailers {
		if !ended {
			return false
		}
		s.trailers, s.peerEnded = fields, true
		return true
	}
	status := FieldValue(fields, ":status")
	interim := status[0] == '1'
	if interim && (ended || status == "101" || len(s.headers) >= maxInterim) {
		return false
	}
	s.headerReceived, s.peerEnded = !interim, ended
	s.headers = append(s.headers, fields)
	return true
}

// acceptStream accepts a stream that the peer opens, or refuses it. The mutex is held, and unlocked here.
func (c *Conn) acceptStream(id uint32, fields []Field, ended bool) error {
	if c.err != nil { // the writer has closed the connection; nobody would end the stream
		defer c.mu.Unlock()
		return c.err
	}
	if id%2 == 0 {
		c.mu.Unlock()
		return newConnError(http2.ErrCodeProtocol, "an even stream is a server's")
	}
	if c.drain == goAwayFinal { // the final GOAWAY has told the client that the stream is ignored
		defer c.mu.Unlock()
		return c.spendBudget(1)
	}
	c.lastPeerStreamID = id
	if c.openStreams >= int(c.cfg.MaxConcurrentStreams) {
		defer c.mu.Unlock()
		c.queueControl(func(f *http2.Framer) error { return f.WriteRSTStream(id, http2.ErrCodeRefusedStream) })
		return c.spendBudget(1)
	}
	s := newStream(c)
	s.id, s.headerReceived, s.peerEnded, s.startMaySent = id, true, ended, true
	c.streams[id] = s
	c.openStreams++
	if fields == nil || !areFieldsValid(fields, true, false) {
		defer c.mu.Unlock()
		c.resetStream(s, http2.ErrCodeProtocol)
		return c.spendBudget(1)
	}
	c.mu.Unlock()
	if !c.cfg.OnStream(s, fields, ended) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.resetStream(s, http2.ErrCodeRefusedStream)
		return c.spendBudget(1)
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

// handleSettings applies the settings of the peer and acknowledges them.
func (c *Conn) handleSettings(f *http2.SettingsFrame) error {
	if f.IsAck() {
		return nil
	}
	if f.NumSettings() > maxSettings {
		return newConnError(http2.ErrCodeEnhanceYourCalm, "too many settings")
	}
	if err := f.ForeachSetting(c.applySetting); err != nil {
		return err
	}
	c.queueControl(func(f *http2.Framer) error { return f.WriteSettingsAck() })
	return c.spendBudget(2)
}

const (
	maxSettings        = 32   // in one frame
	maxHeaderTableSize = 4096 // bytes; the initial value of RFC 9113, section 6.5.2
)

func (c *Conn) applySetting(setting http2.Setting) error {
	if err := setting.Valid(); err != nil {
		return newConnError(http2.ErrCodeProtocol, "a setting cannot be")
	}
	switch setting.ID {
	case http2.SettingInitialWindowSize:
		return c.setInitialWindow(int64(setting.Val))
	case http2.SettingMaxFrameSize:
		c.peerMaxFrameSize = int(min(setting.Val, maxFrameSize))
	case http2.SettingMaxConcurrentStreams:
		c.peerMaxStreams = setting.Val
	case http2.SettingHeaderTableSize:
		c.peerHeaderTableSize, c.headerTableChanged = min(setting.Val, maxHeaderTableSize), true
	}
	return nil
}

// setInitialWindow changes the window of new streams, and those of open ones by the difference (RFC 9113, section 6.9.2).
func (c *Conn) setInitialWindow(size int64) error {
	difference := size - c.peerInitialWindow
	c.peerInitialWindow = size
	for _, s := range c.streams {
		if s.sendWindow += difference; s.sendWindow > maxWindow {
			return newConnError(http2.ErrCodeFlowControl, "a window is over the limit")
		}
		c.scheduleWrite(s)
	}
	for _, s := range c.waiting {
		s.sendWindow += difference
	}
	return nil
}

// handleWindowUpdate opens the window of a stream or of the connection.
func (c *Conn) handleWindowUpdate(f *http2.WindowUpdateFrame) error {
	if f.StreamID == 0 {
		if c.sendWindow += int64(f.Increment); c.sendWindow > maxWindow {
			return newConnError(http2.ErrCodeFlowControl, "a window is over the limit")
		}
		c.writable = append(c.writable, c.blocked...)
		c.blocked = c.blocked[:0]
		c.wakeWriter()
	} else if s := c.streams[f.StreamID]; s != nil {
		if s.sendWindow += int64(f.Increment); s.sendWindow > maxWindow {
			c.resetStream(s, http2.ErrCodeFlowControl)
			return c.spendBudget(1)
		}
		c.scheduleWrite(s)
	} else if c.isIdleStream(f.StreamID) {
		return newConnError(http2.ErrCodeProtocol, "WINDOW_UPDATE of a stream that nobody opened")
	}
	return c.spendBudget(1)
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
	if s.peerEnded && c.cfg.Client { // the response is complete: the peer only wants no more of the request
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
		return nil // a client decides itself how many streams there are to reset
	}
	return c.spendBudget(1)
}

// handlePing answers a PING, or notes the response to ours.
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
