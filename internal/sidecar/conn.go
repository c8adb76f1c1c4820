package sidecar

import (
	"bufio"
	"bytes"
	"errors"
	"net"
	"os"
	"slices"
	"syscall"
	"time"

	"milletmast/balancer"
	"milletmast/internal/exchange"
	"milletmast/internal/h2"
)

// conn is a connection to an endpoint. It carries one request at a time, or with a mux many calls.
type conn struct {
	net.Conn
	reader       *bufio.Reader
	endpoint     *endpoint
	idleSince    time.Time             // zero if it has not been idle
	exchange     exchange.Exchange     // the current one, or the last
	recentIDs    [recentIDCount]string // of the latest requests
	requestCount int                   // requests carried so far
	mux          *h2.Conn
	// Of a connection with a mux, guarded by upstream.mu:
	inUse   int  // attempts that use it
	counted bool // it is counted among the open connections
}

// recentIDCount is the number of request ids that are remembered. A request may be sent again over the same connection only after
// this many others.
const recentIDCount = 8

// recordID records the id of a request that the connection carries.
func (c *conn) recordID(id string) {
	c.recentIDs[c.requestCount%recentIDCount] = id
	c.requestCount++
}

// hasCarried reports whether the connection has carried a request of this id recently: a repeated response to it could not be
// distinguished from the response to the request sent again.
func (c *conn) hasCarried(id string) bool { return id != "" && slices.Contains(c.recentIDs[:], id) }

// apply applies an event to the exchange.
func (c *conn) apply(e exchange.Event) { c.exchange = c.exchange.Next(e) }

// applyError ends the exchange by an error of reading or writing: canceled, timed out, or broken.
func (c *conn) applyError(a *attempt, err error) {
	switch {
	case a.ctx.Err() != nil:
		c.apply(exchange.RequestCanceled)
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.apply(exchange.DeadlineExceeded)
	default:
		c.apply(exchange.ConnectionBroken)
	}
}

// fail ends the exchange by an error, and returns the outcome of the attempt.
func (c *conn) fail(a *attempt, err error) (balancer.Outcome, *response, bool) {
	c.applyError(a, err)
	return outcomeOf(c.exchange.Outcome), nil, false
}

// noteConnectionClose records whether the peer announced that it closes the connection after a response.
func (c *conn) noteConnectionClose(m *message) {
	if !m.keepsAlive() {
		c.apply(exchange.PeerClosing)
	}
}

// completeResponse records that a response was received in full, and reports whether the connection can be reused.
func (c *conn) completeResponse(m *message) bool {
	c.noteConnectionClose(m)
	return c.completeBody()
}

// completeBody is completeResponse for a response whose head was recorded before. Bytes after a valid response do not invalidate
// it, but no response that is read after them can be trusted.
func (c *conn) completeBody() bool {
	c.apply(exchange.ResponseCompleted)
	if c.exchange.Reusable() && (c.reader.Buffered() > 0 || !isOpen(c.Conn)) {
		c.apply(exchange.UnexpectedBytes)
	}
	return c.exchange.Reusable()
}

// writeRequest writes a head and a body, in one write if the body is short. It records that the server may begin once it has the head,
// unless the server is a proxy of the mesh.
func (c *conn) writeRequest(head *bytes.Buffer, body []byte, peerIsProxy bool) error {
	headLength := head.Len()
	if len(body) < maxBufferedBody {
		head.Write(body)
		body = nil
	}
	n, err := c.Write(head.Bytes())
	if n >= headLength && !peerIsProxy {
		c.apply(exchange.HeadWritten)
	}
	if err == nil && len(body) > 0 {
		_, err = c.Write(body)
	}
	return err
}

// isOpen checks, without blocking, that the peer has neither closed an idle connection nor sent anything.
func isOpen(c net.Conn) bool {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}
