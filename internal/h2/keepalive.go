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

// sendPing sends a keepalive PING and starts the timer for its response.
func (c *Conn) sendPing() {
	c.pingSentAt = time.Now()
	c.queueControl(func(f *http2.Framer) error { return f.WritePing(false, keepalivePing) })
	if c.keepalive != nil {
		c.keepalive.Stop()
	}
	c.keepalive = time.AfterFunc(c.cfg.PingTimeout, c.keepaliveExpired)
}

// startKeepalive starts the keepalive timer, which runs while streams are open.
func (c *Conn) startKeepalive() {
	if c.cfg.ReadIdleTimeout > 0 && c.keepalive == nil && c.err == nil {
		c.keepalive = time.AfterFunc(c.cfg.ReadIdleTimeout, c.keepaliveExpired)
	}
}

var errPingTimeout = errors.New("h2: the peer does not respond to PING")

// keepaliveExpired handles the expiry of the keepalive timer: it sends a PING, or closes the connection if the last one had no response.
func (c *Conn) keepaliveExpired() {
	c.mu.Lock()
	c.keepalive = nil
	now := time.Now()
	switch sinceReceived := now.Sub(c.lastReceived); {
	case c.err != nil:
	case !c.pingSentAt.IsZero() && c.lastReceived.After(c.pingSentAt):
		c.pingSentAt = time.Time{} // any frame shows that the peer is alive
		if c.openStreams > 0 {
			c.startKeepalive()
		}
	case !c.pingSentAt.IsZero():
		c.mu.Unlock()
		c.closeWith(errPingTimeout)
		return
	case c.openStreams == 0 || c.cfg.ReadIdleTimeout == 0:
	case sinceReceived >= c.cfg.ReadIdleTimeout:
		c.sendPing()
	default:
		c.keepalive = time.AfterFunc(c.cfg.ReadIdleTimeout-sinceReceived, c.keepaliveExpired)
	}
	c.mu.Unlock()
}
