package h2

import (
	"errors"
	"time"

	"golang.org/x/net/http2"
)

// handleHeaders reads a header list to its end: a request, a response or trailers.
func (c *Conn) handleHeaders(f *http2.HeadersFrame) error {
	id, ended := f.StreamID, f.StreamEnded()
	if !f.HeadersEnded() {
		c.notifyUpdated() // the rest of the header block may take long to arrive
	}
	fields, err := c.readHeaderBlock(f) // also for unknown streams, to keep the compression state in sync
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
			return c.spendBudget(1) // the stream has been reset
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

// maxInterim is the number of unread interim responses that a stream may hold.
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

// acceptStream accepts a stream that the peer opens, or refuses it. The caller holds the mutex; acceptStream unlocks it.
func (c *Conn) acceptStream(id uint32, fields []Field, ended bool) error {
	if c.err != nil { // the writer has closed the connection: the stream would never end
		defer c.mu.Unlock()
		return c.err
	}
	if id%2 == 0 {
		c.mu.Unlock()
		return newConnError(http2.ErrCodeProtocol, "an even stream is a server's")
	}
	if c.drain == goAwayFinal { // the final GOAWAY announces that the stream is ignored
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
