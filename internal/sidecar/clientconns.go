package sidecar

import (
	"bufio"
	"container/list"
	"errors"
	"net"
	"runtime"
	"sync"
	"time"
)

const (
	acceptRetryDelay = 5 * time.Millisecond // after accepting a connection failed
	evictionMargin   = 8                    // with fewer free connections than this, idle ones are closed for new ones
)

// clientConn is one connection of a client.
type clientConn struct {
	net.Conn
	reader       *bufio.Reader
	conns        *clientConns
	idleElement  *list.Element // in a list of idle connections, while no request is open
	hasCarried   bool          // it has carried a request
	drainsItself bool          // the gRPC server ends it when the frontend drains
	// While a body is read by the goroutine of the connection:
	bodyIdleTimeout time.Duration // between two parts; 0 while no body is read
	bodyDeadline    time.Time
}

// setReadDeadline sets the deadline for reading. It only fails on a closed connection, which the next read reports.
func (c *clientConn) setReadDeadline(deadline time.Time) { _ = c.SetReadDeadline(deadline) }

// setWriteDeadline sets the deadline for writing. It only fails on a closed connection, which the next write reports.
func (c *clientConn) setWriteDeadline(deadline time.Time) { _ = c.SetWriteDeadline(deadline) }

// setDeadline sets the deadlines for reading and writing.
func (c *clientConn) setDeadline(deadline time.Time) { _ = c.SetDeadline(deadline) }

// startBody sets the limits for reading a body of a length; negative if it is unknown.
func (c *clientConn) startBody(idleTimeout time.Duration, length int64) {
	c.bodyIdleTimeout = idleTimeout
	c.bodyDeadline = time.Now().Add(idleTimeout + time.Duration(max(length, 0))*time.Second/minBodyRate)
}

// endBody lifts the limits of startBody.
func (c *clientConn) endBody() { c.bodyIdleTimeout = 0 }

// Read reads from the client. A connection without an open request counts as used when the client sends.
func (c *clientConn) Read(p []byte) (int, error) {
	if c.bodyIdleTimeout > 0 {
		deadline := time.Now().Add(c.bodyIdleTimeout)
		if deadline.After(c.bodyDeadline) {
			deadline = c.bodyDeadline
		}
		c.setReadDeadline(deadline)
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.conns.touch(c)
	}
	return n, err
}

// host returns the address of the client without the port.
func (c *clientConn) host() string {
	text := c.RemoteAddr().String()
	if host, _, err := net.SplitHostPort(text); err == nil {
		return host
	}
	return text
}

// CloseWrite closes the sending side, if the connection supports half-close.
func (c *clientConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// clientConns holds the connections of clients. Near the limit, connections without an open request are closed for new ones:
// first those that never carried a request, and among them those that were idle longest. So clients that hold connections
// without using them, or stop in the middle of a request, do not lock out others.
type clientConns struct {
	maxConns   int
	mu         sync.Mutex
	open       int
	idleUnused *list.List           // connections that carried no request yet, the one idle longest first
	idleUsed   *list.List           // other connections without an open request, the one idle longest first
	all        map[*clientConn]bool // nil if closeAll is not needed
}

func newClientConns(maxConns int) *clientConns {
	return &clientConns{maxConns: maxConns, idleUnused: list.New(), idleUsed: list.New()}
}

// idleListOf returns the list that a connection without an open request is in. The mutex is held.
func (cs *clientConns) idleListOf(c *clientConn) *list.List {
	if c.hasCarried {
		return cs.idleUsed
	}
	return cs.idleUnused
}

// touch records that a client has sent something.
func (cs *clientConns) touch(c *clientConn) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.idleListOf(c).MoveToBack(c.idleElement) // no effect while a request is open
}

// evict closes the connection that was idle longest, one that carried no request if possible; false if there is none. The mutex is
// held.
func (cs *clientConns) evict() bool {
	for _, l := range []*list.List{cs.idleUnused, cs.idleUsed} {
		if e := l.Front(); e != nil {
			l.Remove(e).(*clientConn).Close()
			return true
		}
	}
	return false
}

// serve accepts connections until the listener is closed. Each is served by serveConn, in a goroutine that conns counts.
func (cs *clientConns) serve(ln net.Listener, serveConn func(*clientConn), conns *sync.WaitGroup) {
	for {
		conn, err := ln.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil: // no descriptor is free, or the client has disconnected already
			time.Sleep(acceptRetryDelay)
			continue
		}
		if c := cs.add(conn); c != nil {
			conns.Go(func() {
				defer cs.remove(c)
				serveConn(c)
			})
		}
	}
}

// add adds a connection. Over the limit it is closed before a request is read, so that its client knows that none was lost.
func (cs *clientConns) add(conn net.Conn) *clientConn {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.open > cs.maxConns-evictionMargin && cs.evict() {
		cs.mu.Unlock()
		runtime.Gosched() // the descriptor is free once the goroutine of the evicted connection has run
		cs.mu.Lock()
	}
	if cs.open >= cs.maxConns {
		conn.Close()
		return nil
	}
	c := &clientConn{Conn: conn, conns: cs}
	c.reader = bufio.NewReader(c)
	c.idleElement = cs.idleUnused.PushBack(c)
	cs.open++
	if cs.all != nil {
		cs.all[c] = true
	}
	return c
}

// closeAll closes every connection, also those with an open request.
func (cs *clientConns) closeAll() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for c := range cs.all {
		c.Close()
	}
}

func (cs *clientConns) remove(c *clientConn) {
	c.Close()
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.open--
	delete(cs.all, c)
	cs.idleListOf(c).Remove(c.idleElement)
}

// requestStarted records that a connection has an open request.
func (cs *clientConns) requestStarted(c *clientConn) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.idleListOf(c).Remove(c.idleElement)
	c.hasCarried = true
}

// requestEnded records that a connection has no open request any more.
func (cs *clientConns) requestEnded(c *clientConn) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	c.idleElement = cs.idleUsed.PushBack(c)
}

// setBusy records for a connection of HTTP/2 whether it has open calls.
func (cs *clientConns) setBusy(conn net.Conn, busy bool) {
	if c := conn.(*clientConn); busy {
		cs.requestStarted(c)
	} else {
		cs.requestEnded(c)
	}
}

// setLimit changes the limit. Connections over it are evicted for new ones, or end by themselves.
func (cs *clientConns) setLimit(maxConns int) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.maxConns = maxConns
}
