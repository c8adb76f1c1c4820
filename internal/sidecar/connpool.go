package sidecar

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"time"

	"milletmast/internal/exchange"
)

// closeIdleConns closes the idle connections to a server.
func (u *upstream) closeIdleConns(id uint32) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if e := u.endpoints[id]; e != nil {
		u.closeIdleLocked(e)
	}
}

// closeIdleLocked closes the idle connections to a server. u.mu is held.
func (u *upstream) closeIdleLocked(e *endpoint) {
	for _, c := range e.idle {
		c.Close()
		u.releaseConn()
	}
	e.idle = nil
	u.retireMuxes(e)
}

// errNoDescriptor is returned if all connections are in use.
var errNoDescriptor = errors.New("no descriptor left for a connection")

// connect returns an idle connection that is still open, or a new one.
func (u *upstream) connect(ctx context.Context, e *endpoint, deadline time.Time) (*conn, error) {
	for {
		c := u.takeIdle(e)
		if c == nil {
			break
		}
		if !isOpen(c.Conn) {
			c.apply(exchange.UnexpectedBytes)
		}
		if c.exchange.Reusable() {
			c.exchange = exchange.Exchange{}
			return c, nil
		}
		u.discard(c)
	}
	raw, err := u.dial(ctx, e, deadline)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, reader: bufio.NewReader(raw), endpoint: e}, nil
}

// dial opens a connection within the limits on connections. The error is errNoDescriptor if they are reached.
func (u *upstream) dial(ctx context.Context, e *endpoint, deadline time.Time) (net.Conn, error) {
	if !u.reserveConn() {
		return nil, errNoDescriptor
	}
	d := net.Dialer{Timeout: u.dialTimeout, Deadline: deadline, KeepAlive: -1}
	raw, err := d.DialContext(ctx, "tcp", e.addr)
	if err != nil {
		u.mu.Lock()
		u.releaseConn()
		u.mu.Unlock()
		return nil, fmt.Errorf("dial: %w", err)
	}
	return raw, nil
}

// takeIdle returns the connection that was used last, so that the others expire; nil if there is none.
func (u *upstream) takeIdle(e *endpoint) *conn {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := len(e.idle) - 1
	if n < 0 {
		return nil
	}
	c := e.idle[n]
	e.idle[n], e.idle = nil, e.idle[:n]
	if time.Since(c.idleSince) > u.idleLimit { // the others are older and have expired too
		e.idle = append(e.idle, c)
		u.closeIdleLocked(e)
		return nil
	}
	return c
}

// reserveConn counts one more connection. At a limit it closes the one that was idle longest; false if there is none.
func (u *upstream) reserveConn() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.openConns >= u.maxConns && !u.closeOldestIdle() {
		return false
	}
	if !u.budget.reserve() && (!u.closeOldestIdle() || !u.budget.reserve()) {
		return false
	}
	u.openConns++
	return true
}

// closeOldestIdle closes the connection that was idle longest; false if there is none. u.mu is held.
func (u *upstream) closeOldestIdle() bool {
	var oldest *endpoint
	for _, e := range u.endpoints {
		if len(e.idle) > 0 && (oldest == nil || e.idle[0].idleSince.Before(oldest.idle[0].idleSince)) {
			oldest = e
		}
	}
	if oldest != nil {
		u.closeOldestOf(oldest)
		return true
	}
	if c := u.idleMux(); c != nil {
		u.dropMuxLocked(c)
		c.mux.Close()
		return true
	}
	return false
}

// setMaxConns changes the limit and returns how many requests the connections can carry now. Idle connections over it are
// closed; others end with their requests.
func (u *upstream) setMaxConns(maxConns int) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.maxConns = maxConns
	for u.openConns > u.maxConns && u.closeOldestIdle() {
	}
	return u.capacity()
}

// close closes all idle connections, stops keeping connections idle, and waits for connections with a mux.
func (u *upstream) close() {
	u.mu.Lock()
	for _, e := range u.endpoints {
		e.ready = false
		u.closeIdleLocked(e)
	}
	u.mu.Unlock()
	u.goroutines.Wait()
}

// giveBack ends the use of a connection by one request: it is kept for the next one, or closed.
func (u *upstream) giveBack(c *conn, keep bool) {
	if keep {
		u.putIdle(c)
	} else {
		u.discard(c)
	}
}

// discard closes a connection.
func (u *upstream) discard(c *conn) {
	c.Close()
	u.mu.Lock()
	u.releaseConn()
	u.mu.Unlock()
}

// releaseConn counts one connection less. u.mu is held.
func (u *upstream) releaseConn() {
	u.openConns--
	u.budget.release()
}

// putIdle keeps a connection for the next request until it expires.
func (u *upstream) putIdle(c *conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !c.endpoint.ready {
		c.Close()
		u.releaseConn()
		return
	}
	c.idleSince = time.Now()
	c.endpoint.idle = append(c.endpoint.idle, c)
	u.scheduleSweep()
}

// closeExpired closes the connections that were idle for too long, and schedules itself for the next one.
func (u *upstream) closeExpired() {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	next := now
	for _, e := range u.endpoints {
		for len(e.idle) > 0 && now.Sub(e.idle[0].idleSince) >= u.idleLimit {
			u.closeOldestOf(e)
		}
		if len(e.idle) > 0 && (next.Equal(now) || e.idle[0].idleSince.Before(next)) {
			next = e.idle[0].idleSince
		}
		for _, c := range slices.Clone(e.muxes) {
			switch {
			case c.inUse > 0:
			case !e.ready || now.Sub(c.idleSince) >= u.idleLimit:
				u.dropMuxLocked(c)
				c.mux.Close()
			case next.Equal(now) || c.idleSince.Before(next):
				next = c.idleSince
			}
		}
	}
	u.sweepScheduled = !next.Equal(now)
	if u.sweepScheduled {
		time.AfterFunc(u.idleLimit-now.Sub(next), u.closeExpired)
	}
}

// closeOldestOf closes the connection of an endpoint that was idle longest. u.mu is held.
func (u *upstream) closeOldestOf(e *endpoint) {
	e.idle[0].Close()
	e.idle = slices.Delete(e.idle, 0, 1)
	u.releaseConn()
}
