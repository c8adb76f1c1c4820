package h2

import (
	"errors"
	"time"

	"golang.org/x/net/http2"
)

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
