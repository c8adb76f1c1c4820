package h2

import (
	"golang.org/x/net/http2"
)

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

// releaseStream removes a stream from the open ones. Its unread bytes can still be read; the window of the connection is
// opened for them now.
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

// releaseIfDone releases a stream if both of its sides have ended.
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
