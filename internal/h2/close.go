package h2

import (
	"bytes"
	"errors"
	"fmt"
	"time"

	"golang.org/x/net/http2"
)

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

// closeIfIdle closes a connection that is shutting down once no stream is open. Queued frames are written first.
func (c *Conn) closeIfIdle() {
	if (c.drain == goAwayFinal || c.peerGoingAway) && c.openStreams == 0 && !c.closeWhenWritten {
		c.closeWhenWritten = true
		c.wakeWriter()
	}
}

// Close closes the connection at once.
func (c *Conn) Close() { c.closeWith(ErrClosed) }

// closeWith closes the connection with an error, with which its streams fail.
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

// closeWithGoAway sends a connection error to the peer, if it can be written within goAwayTimeout, and closes the connection.
func (c *Conn) closeWithGoAway(violation *connError) {
	var frame bytes.Buffer
	err := http2.NewFramer(&frame, nil).WriteGoAway(c.lastPeerStreamID, violation.code, []byte(violation.reason))
	if err == nil {
		err = c.net.SetWriteDeadline(time.Now().Add(goAwayTimeout))
	}
	c.goAwayWriter.Go(func() { // another write may be in progress: the deadline ends both writes
		defer c.net.Close()
		if err == nil {
			_, _ = c.net.Write(frame.Bytes()) // best effort: the connection has failed
		}
	})
}
