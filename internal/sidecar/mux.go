package sidecar

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"milletmast/internal/h2"
)

// Calls are sent to the servers of a gRPC pool as HTTP/2 streams (RFC 9113) that share connections. Each stream is an attempt that
// the decision module has decided on; a connection never opens or retries a stream by itself.

// muxConfig configures the connections of a gRPC pool.
type muxConfig struct {
	maxStreams int           // per connection; the server may allow fewer
	pingAfter  time.Duration // see h2.Config
}

// pendingDial is a connection that is being dialed. Calls wait for it, so that a burst does not open a connection for each.
type pendingDial struct {
	done    chan struct{}
	waiting int
	err     error
}

// streamRequest is a stream that an attempt opens.
type streamRequest struct {
	header  []h2.Field
	body    [][]byte
	end     bool
	startBy time.Time
	claim   func() bool // called last; false if the stream must not be opened any more
}

// openStream opens a stream to a server, on a connection with a free stream or on a new connection.
func (u *upstream) openStream(ctx context.Context, e *endpoint, until time.Time, st *streamRequest) (*h2.Stream, *conn, error) {
	s, c, err := u.tryOpenStream(ctx, e, until, st)
	if err != nil {
		u.mu.Lock()
		defer u.mu.Unlock()
		if !e.ready { // connections that were dialed in the meantime are not needed
			u.retireMuxes(e)
		}
	}
	return s, c, err
}

// tryOpenStream is openStream without the cleanup: if it fails, a connection to a server that is not ready any more may remain.
func (u *upstream) tryOpenStream(ctx context.Context, e *endpoint, until time.Time, st *streamRequest) (*h2.Stream, *conn, error) {
	for {
		u.mu.Lock()
		for _, c := range e.muxes {
			if c.mux.AvailableStreams() == 0 {
				continue
			}
			if s, err := u.openStreamOn(c, st); !errors.Is(err, h2.ErrNoCapacity) && !errors.Is(err, h2.ErrClosed) {
				u.mu.Unlock()
				return s, c, err
			}
		}
		d := e.dialling
		if d == nil || d.waiting >= u.muxes.maxStreams {
			d = &pendingDial{done: make(chan struct{})}
			e.dialling = d
			u.mu.Unlock()
			return u.dialAndOpen(ctx, e, until, st, d)
		}
		d.waiting++
		u.mu.Unlock()
		select {
		case <-d.done:
		case <-ctx.Done():
			return nil, nil, context.Cause(ctx)
		}
		if d.err != nil && !errors.Is(d.err, context.Canceled) { // a dial that another call canceled does not fail this call
			return nil, nil, d.err
		}
	}
}

// dialAndOpen dials a connection, opens the first stream on it, and wakes up the calls that wait for it.
func (u *upstream) dialAndOpen(
	ctx context.Context, e *endpoint, until time.Time, st *streamRequest, d *pendingDial,
) (s *h2.Stream, c *conn, err error) {
	c, d.err = u.dialMux(ctx, e, until)
	u.mu.Lock()
	defer u.mu.Unlock()
	if d.err == nil {
		if s, err = u.openStreamOn(c, st); errors.Is(err, h2.ErrNoCapacity) {
			d.err = errNoStream // not even the first stream of a connection
		}
		if c.idleSince = time.Now(); c.counted { // otherwise the connection has been closed already
			e.muxes = append(e.muxes, c)
			u.scheduleSweep()
		}
	}
	if e.dialling == d {
		e.dialling = nil
	}
	close(d.done)
	if d.err != nil {
		err = d.err
	}
	return s, c, err
}

// openStreamOn opens a stream on a connection, if the attempt may still be sent. The caller holds the mutex.
func (u *upstream) openStreamOn(c *conn, st *streamRequest) (*h2.Stream, error) {
	if c.mux.AvailableStreams() == 0 {
		return nil, h2.ErrNoCapacity // checked before the claim, which is valid for one connection only
	}
	if !st.claim() {
		return nil, errAttemptCanceled
	}
	s, err := c.mux.OpenStream(st.header, st.body, st.end, st.startBy)
	if err == nil {
		c.inUse++
	}
	return s, err
}

var (
	errAttemptCanceled = errors.New("the attempt was canceled before its stream was opened")
	errNoStream        = errors.New("the server allows no stream on a new connection")
)

// dialMux dials a connection and waits for the settings of the server, which limit the number of streams. A server that does not
// speak HTTP/2 is treated as unreachable.
func (u *upstream) dialMux(ctx context.Context, e *endpoint, until time.Time) (*conn, error) {
	deadline := time.Now().Add(u.dialTimeout) // for the dial and the settings together
	if until.Before(deadline) {
		deadline = until
	}
	limited, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	raw, err := u.dial(limited, e, deadline)
	if err != nil {
		return nil, dialError(ctx, err)
	}
	c := &conn{Conn: raw, endpoint: e, counted: true}
	c.mux = h2.New(raw, nil, h2.Config{
		Client:               true,
		MaxConcurrentStreams: uint32(u.muxes.maxStreams),
		HandshakeTimeout:     u.dialTimeout,
		ReadIdleTimeout:      u.muxes.pingAfter,
		OnClose:              func() { u.dropMux(c) },
	})
	u.goroutines.Go(func() {
		if err := c.mux.Run(); err != nil {
			slog.Debug("close server connection", "server", e.addr, "cause", err)
		}
	})
	if err := c.mux.WaitSettings(limited); err != nil {
		c.mux.Close()
		u.dropMux(c)
		return nil, dialError(ctx, fmt.Errorf("dial: %w", err))
	}
	return c, nil
}

// dialError returns context.Canceled if the dial was canceled, so that other calls that wait for it are not failed.
func dialError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Canceled
	}
	return err
}

// dropMux removes a connection from the list and the count of open connections.
func (u *upstream) dropMux(c *conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.dropMuxLocked(c)
}

// dropMuxLocked is dropMux for a caller that holds the mutex.
func (u *upstream) dropMuxLocked(c *conn) {
	if !c.counted {
		return
	}
	c.counted = false
	if n := slices.Index(c.endpoint.muxes, c); n >= 0 {
		c.endpoint.muxes = slices.Delete(c.endpoint.muxes, n, n+1)
	}
	u.releaseConn()
}

// streamEnded records the end of a stream that openStream returned.
func (u *upstream) streamEnded(c *conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if c.inUse--; c.inUse > 0 {
		return
	}
	c.idleSince = time.Now()
	if !c.endpoint.ready {
		c.mux.Drain()
		return
	}
	u.scheduleSweep()
}

// scheduleSweep schedules closeExpired unless it is scheduled already. The caller holds the mutex.
func (u *upstream) scheduleSweep() {
	if !u.sweepScheduled {
		u.sweepScheduled = true
		time.AfterFunc(u.idleLimit, u.closeExpired)
	}
}

// retireMuxes drains the connections to an endpoint: no new call is sent on them, and each is closed after its last call. The
// caller holds the mutex.
func (u *upstream) retireMuxes(e *endpoint) {
	for _, c := range slices.Clone(e.muxes) {
		if c.inUse == 0 {
			u.dropMuxLocked(c)
			c.mux.Close()
			continue
		}
		c.mux.Drain()
	}
}

// idleMux returns the connection that has been idle longest; nil if none is idle. The caller holds the mutex.
func (u *upstream) idleMux() *conn {
	var oldest *conn
	for _, e := range u.endpoints {
		for _, c := range e.muxes {
			if c.inUse == 0 && (oldest == nil || c.idleSince.Before(oldest.idleSince)) {
				oldest = c
			}
		}
	}
	return oldest
}
