package h2

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// writer frames queued output and writes it in batches, so that one system call carries frames of many streams.
type writer struct {
	buf       bytes.Buffer // the batch
	framer    *http2.Framer
	headerBuf bytes.Buffer
	encoder   *hpack.Encoder
	marks     []mark
	err       error     // the first error of framing
	writeBy   time.Time // earliest startBy of the header lists in the batch; zero for none
}

// mark is the position in a batch at which a stream starts or ends.
type mark struct {
	stream *Stream
	offset int // number of bytes of the batch that include this start or end
	end    bool
}

// queueControl queues a frame that belongs to no stream's output, such as SETTINGS, PING or RST_STREAM.
func (c *Conn) queueControl(frame func(*http2.Framer) error) {
	c.control = append(c.control, frame)
	c.wakeWriter()
}

// wakeWriter wakes up the writing goroutine.
func (c *Conn) wakeWriter() { signal(c.wake) }

// scheduleWrite adds a stream that can write to the writable ones.
func (c *Conn) scheduleWrite(s *Stream) {
	if !s.scheduled && !s.released && s.id != 0 && s.canWrite() {
		s.scheduled = true
		c.writable = append(c.writable, s)
		c.wakeWriter()
	}
}

// canWrite reports whether a frame of the stream could be written now, if the window of the connection allows.
func (s *Stream) canWrite() bool {
	if len(s.outHeaders) > 0 {
		return true
	}
	if len(s.outData) > 0 {
		return s.sendWindow > 0
	}
	return s.endQueued && !s.endFramed
}

// writeLoop writes batches until the connection ends.
func (c *Conn) writeLoop() {
	w := &writer{}
	w.framer = http2.NewFramer(&w.buf, nil)
	w.encoder = hpack.NewEncoder(&w.headerBuf)
	if c.cfg.Client {
		w.buf.WriteString(http2.ClientPreface)
	}
	for {
		select {
		case <-c.wake:
		case <-c.done:
			return
		}
		for {
			finished, err := c.fillBatch(w)
			if err != nil {
				c.closeWith(err)
				return
			}
			if w.buf.Len() == 0 {
				if finished {
					c.closeWriteSide()
					return
				}
				break
			}
			if err := c.flushBatch(w); err != nil {
				c.closeWith(err)
				return
			}
		}
	}
}

// closeWriteSide closes our side. A server lets its peer close the connection: a close with unread bytes resets it, and the peer
// could lose the last responses.
func (c *Conn) closeWriteSide() {
	half, ok := c.net.(interface{ CloseWrite() error })
	if c.cfg.Client || !ok || half.CloseWrite() != nil {
		c.closeWith(errDrained)
		return
	}
	if err := c.net.SetReadDeadline(time.Now().Add(lingerTime)); err != nil {
		c.closeWith(errDrained)
	}
}

// fillBatch frames a batch. finished means that nothing is left and the connection is to be closed.
func (c *Conn) fillBatch(w *writer) (finished bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return false, nil
	}
	w.writeBy = time.Time{}
	if c.headerTableChanged {
		w.encoder.SetMaxDynamicTableSizeLimit(c.peerHeaderTableSize)
		c.headerTableChanged = false
	}
	for i, frame := range c.control {
		w.recordError(frame(w.framer))
		c.control[i] = nil
	}
	c.control = c.control[:0]
	for len(c.waiting) > 0 && w.buf.Len() < batchSize {
		c.startStream(w)
	}
	for len(c.writable) > 0 && w.buf.Len() < batchSize {
		s := c.writable[0]
		c.writable[0] = nil
		c.writable = c.writable[1:]
		s.scheduled = false
		if s.released || !s.canWrite() {
			continue
		}
		if len(s.outHeaders) == 0 && len(s.outData) > 0 && c.sendWindow <= 0 {
			s.scheduled = true
			c.blocked = append(c.blocked, s)
			continue
		}
		c.writeNextFrame(w, s)
		c.scheduleWrite(s)
	}
	if len(c.writable) == 0 && cap(c.writable) > 0 {
		c.writable = nil
	}
	// From now on the bytes may have been sent; updateMarks corrects this if a write fails.
	for _, m := range w.marks {
		if m.end {
			m.stream.endMaySent = true
		} else {
			m.stream.startMaySent = true
		}
	}
	return c.closeWhenWritten && len(c.control) == 0 && len(c.writable) == 0, w.err
}

// recordError keeps the first error of framing. Frames are written to memory, so only invalid arguments cause errors.
func (w *writer) recordError(err error) {
	if w.err == nil {
		w.err = err
	}
}

// startStream frames the header list of the stream that waits longest, unless its startBy has passed.
func (c *Conn) startStream(w *writer) {
	s := c.waiting[0]
	if !s.startBy.IsZero() && time.Now().After(s.startBy) {
		c.releaseStream(s)
		s.fail(ErrStartTimeout)
		return
	}
	c.waiting[0] = nil
	c.waiting = c.waiting[1:]
	s.id = c.nextID
	c.nextID += 2
	c.streams[s.id] = s
	if !s.startBy.IsZero() && (w.writeBy.IsZero() || s.startBy.Before(w.writeBy)) {
		w.writeBy = s.startBy
	}
	w.marks = append(w.marks, mark{stream: s, offset: w.buf.Len() + 1})
	for len(s.outHeaders) > 0 || s.canWrite() && (len(s.outData) == 0 || c.sendWindow > 0) && w.buf.Len() < batchSize {
		c.writeNextFrame(w, s)
	}
	c.scheduleWrite(s)
}

// writeNextFrame frames one piece of a stream: a header list, a DATA frame or its end.
func (c *Conn) writeNextFrame(w *writer, s *Stream) {
	switch {
	case len(s.outHeaders) > 0:
		b := s.outHeaders[0]
		s.outHeaders = s.outHeaders[1:]
		if len(s.outHeaders) == 0 {
			s.outHeaders = nil
		}
		c.writeHeaderBlock(w, s, b.fields, b.end)
		if b.end {
			c.finishStream(w, s)
		}
	case len(s.outData) > 0:
		c.writeData(w, s)
	case s.endQueued && s.outTrailers != nil:
		c.writeHeaderBlock(w, s, s.outTrailers, true)
		c.finishStream(w, s)
	case s.endQueued:
		w.recordError(w.framer.WriteData(s.id, true, nil))
		c.finishStream(w, s)
	}
}

// writeData frames as much of the first chunk of a stream as the windows allow.
func (c *Conn) writeData(w *writer, s *Stream) {
	chunk := s.outData[0]
	n := int(min(int64(len(chunk)), s.sendWindow, c.sendWindow, int64(c.peerMaxFrameSize)))
	if n == len(chunk) {
		s.outData[0] = nil
		s.outData = s.outData[1:]
	} else {
		s.outData[0] = chunk[n:]
	}
	s.sendWindow -= int64(n)
	c.sendWindow -= int64(n)
	s.outBytes -= n
	c.budget.earn(2) // the peer may send a WINDOW_UPDATE for the stream and one for the connection
	last := len(s.outData) == 0 && s.endQueued && s.outTrailers == nil
	w.recordError(w.framer.WriteData(s.id, last, chunk[:n]))
	if last {
		c.finishStream(w, s)
	}
	signal(s.writeSignal)
}

// finishStream records that all of our side has been framed.
func (c *Conn) finishStream(w *writer, s *Stream) {
	w.marks = append(w.marks, mark{stream: s, offset: w.buf.Len(), end: true})
	s.endFramed = true
	if !c.cfg.Client && !s.peerEnded { // the response is complete: the rest of the request is not needed (RFC 9113, section 8.1)
		w.recordError(w.framer.WriteRSTStream(s.id, http2.ErrCodeNo))
		c.budget.earn(2)
		c.releaseStream(s)
		s.err = ErrPeerStopped
		signal(s.readSignal)
		return
	}
	c.releaseIfDone(s)
}

// writeHeaderBlock frames a header list, in as many frames as the peer's maximum frame size requires.
func (c *Conn) writeHeaderBlock(w *writer, s *Stream, fields []Field, end bool) {
	w.headerBuf.Reset()
	for _, f := range fields {
		w.recordError(w.encoder.WriteField(f))
	}
	block := w.headerBuf.Bytes()
	first := block[:min(len(block), c.peerMaxFrameSize)]
	block = block[len(first):]
	w.recordError(w.framer.WriteHeaders(http2.HeadersFrameParam{
		StreamID: s.id, BlockFragment: first, EndStream: end, EndHeaders: len(block) == 0,
	}))
	for len(block) > 0 {
		part := block[:min(len(block), c.peerMaxFrameSize)]
		block = block[len(part):]
		w.recordError(w.framer.WriteContinuation(s.id, len(block) == 0, part))
	}
}

// flushBatch writes a batch. It fails if the peer accepts nothing within the write timeout. It also fails if a header list
// cannot be sent by its startBy: the part in the socket buffers would be sent later otherwise.
func (c *Conn) flushBatch(w *writer) error {
	batch, written := w.buf.Bytes(), 0
	var err error
	for written < len(batch) && err == nil {
		select {
		case <-c.done: // closeWith has set the deadline of the last write
			return net.ErrClosed
		default:
		}
		deadline := time.Now().Add(c.cfg.WriteTimeout)
		if !w.writeBy.IsZero() && w.writeBy.Before(deadline) {
			deadline = w.writeBy
		}
		if err = c.net.SetWriteDeadline(deadline); err != nil {
			break
		}
		var n int
		n, err = c.net.Write(batch[written:])
		written += n
		makesProgress := n > 0 && written < len(batch)
		if err != nil && makesProgress && w.writeBy.IsZero() && isTimeout(err) {
			err = nil
		}
	}
	c.updateMarks(w, written)
	if err != nil {
		err = fmt.Errorf("h2: write: %w", err)
	}
	w.marks = w.marks[:0]
	if w.buf.Reset(); w.buf.Cap() > 2*batchSize {
		w.buf = bytes.Buffer{}
	}
	return err
}

// updateMarks corrects the progress of streams after a write: streams whose start or end was not written have not sent
// it, and streams whose end was written have sent it.
func (c *Conn) updateMarks(w *writer, written int) {
	if len(w.marks) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range w.marks {
		switch {
		case written >= m.offset && m.end:
			m.stream.endSent = true
			signal(m.stream.writeSignal)
		case written >= m.offset:
		case m.end:
			m.stream.endMaySent = false
		default:
			m.stream.startMaySent = false
		}
	}
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}
