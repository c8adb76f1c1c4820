package sidecar

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"whinknot"
)

// http.Transport would send a GET, or a POST with an Idempotency-Key, once more by itself when a reused
// connection breaks: an attempt that the module never decided on. So the pool is our own.

const (
	idlePart    = 0.8 // an idle connection is retired after this share of the idle limit
	gracePart   = 0.6 // an attempt whose first byte is not out after this share of the drain grace stays in
	defaultIdle = 5 * time.Second
	defaultDial = 250 * time.Millisecond
)

// outgoing is what every attempt of a request sends, but for the time left.
type outgoing struct {
	start  string // request line and Host
	header http.Header
	body   []byte
}

// answer is a whole answer for a caller.
type answer struct {
	status     int
	header     http.Header
	body       []byte
	retryAfter time.Duration
}

// endpoint is one server of the list and the idle connections to it. Its fields are guarded by upstream.mu.
type endpoint struct {
	addr    string
	started float64
	ready   bool
	idle    []*conn // the one used last is at the end
}

// conn is a connection to an endpoint; it carries one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	home   *endpoint
	since  time.Time // idle since then
}

// upstream owns all connections to endpoints.
type upstream struct {
	dialTimeout, idleLimit time.Duration
	most                   int           // connections at once
	grace                  time.Duration // from the decision on an attempt to its first byte; 0 = any

	mu        sync.Mutex
	endpoints map[uint32]*endpoint
	open      int  // connections, and dials under way
	sweeping  bool // a sweep of idle connections is due
}

// newUpstream makes a pool of at most so many connections.
func newUpstream(l whinknot.Limits, drainGrace float64, most int) *upstream {
	u := &upstream{
		dialTimeout: defaultDial, idleLimit: defaultIdle, most: most, grace: millis(gracePart * drainGrace),
		endpoints: map[uint32]*endpoint{},
	}
	if l.ConnectTimeout > 0 {
		u.dialTimeout = millis(l.ConnectTimeout)
	}
	if l.ConnIdle > 0 {
		u.idleLimit = millis(idlePart * l.ConnIdle)
	}
	return u
}

// list notes where a server is and whether it wants requests. Idle connections to one that
// does not, that moved or that started anew are of no more use.
func (u *upstream) list(id uint32, addr string, started float64, state whinknot.ServerState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	e := u.endpoints[id]
	if e == nil || e.addr != addr || e.started != started {
		if e != nil {
			e.ready = false
			u.closeIdle(e)
		}
		e = &endpoint{addr: addr, started: started}
		u.endpoints[id] = e
	}
	e.ready = state == whinknot.Ready
	if !e.ready {
		u.closeIdle(e)
	}
	if state == whinknot.Gone {
		delete(u.endpoints, id)
	}
}

// closeAll closes the idle connections to one server.
func (u *upstream) closeAll(id uint32) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if e := u.endpoints[id]; e != nil {
		u.closeIdle(e)
	}
}

func (u *upstream) closeIdle(e *endpoint) {
	for _, c := range e.idle {
		u.open--
		c.Close()
	}
	e.idle = nil
}

// find returns a server's endpoint, nil if it is not listed.
func (u *upstream) find(id uint32) *endpoint {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.endpoints[id]
}

// attempt is the handle on one send of a request.
type attempt struct {
	ctx    context.Context
	cancel context.CancelFunc
	begin  time.Time // latest time for its first byte; zero for any
	mu     sync.Mutex
	off    bool // called off
}

func newAttempt(begin time.Time) *attempt {
	a := &attempt{begin: begin}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	return a
}

// callOff ends the attempt: nothing is written for it any more and its connection is closed.
func (a *attempt) callOff() {
	a.mu.Lock()
	a.off = true
	a.mu.Unlock()
	a.cancel()
}

// claim tells whether the request may be written now.
func (a *attempt) claim() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.off
}

// do carries one attempt out and tells how it ended, as the module names it.
func (u *upstream) do(a *attempt, e *endpoint, out *outgoing, until time.Time) (whinknot.Outcome, *answer) {
	defer a.cancel()
	c, err := u.connect(a.ctx, e, until)
	if err != nil {
		if a.ctx.Err() != nil {
			return whinknot.Cancelled, nil
		}
		return whinknot.ConnectFailed, nil
	}
	stop := context.AfterFunc(a.ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	outcome, got, keep := exchange(a, c, out, until)
	if !stop() || !keep {
		u.discard(c)
	} else {
		u.put(c)
	}
	return outcome, got
}

// exchange writes the request, waits for the answer and tells whether the connection can be used again.
func exchange(a *attempt, c *conn, out *outgoing, until time.Time) (whinknot.Outcome, *answer, bool) {
	c.SetDeadline(until)
	var text bytes.Buffer
	text.Grow(len(out.start) + len(out.body) + 512)
	text.WriteString(out.start)
	out.header.WriteSubset(&text, map[string]bool{"X-Deadline": true})
	fmt.Fprintf(&text, "X-Deadline: %.3f\r\n", max(time.Until(until), 0).Seconds())
	if len(out.body) > 0 || !strings.HasPrefix(out.start, "GET ") {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(out.body))
	}
	text.WriteString("\r\n")
	text.Write(out.body)
	if !a.claim() {
		return whinknot.Cancelled, nil, false
	}
	if !a.begin.IsZero() && time.Now().After(a.begin) {
		return whinknot.ConnectFailed, nil, true // its endpoint may have been told to drain meanwhile
	}
	if n, err := c.Write(text.Bytes()); n < text.Len() {
		return brokenOff(a, err, whinknot.ConnectFailed), nil, false
	}
	// What cannot be read whole may have run, whatever its head says.
	status, m, body, err := readAnswer(c.reader)
	if err != nil {
		return brokenOff(a, err, whinknot.Reset), nil, false
	}
	// Bytes behind a sound answer do not spoil it, but no answer read after them can be trusted.
	keep := m.lasts() && c.reader.Buffered() == 0 && stillOpen(c.Conn)
	switch {
	case status == http.StatusOK:
		return whinknot.OK, &answer{status: status, header: endToEnd(m.header), body: body}, keep
	case (status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout) && m.header.Get("X-Not-Run") == "1":
		return whinknot.Full, nil, keep
	case status/100 == 4: // the request's own fault: no other endpoint would serve it, and this one is sound
		return whinknot.Cancelled, &answer{status: status}, keep
	}
	return whinknot.Error, nil, keep
}

// brokenOff names the outcome of an exchange that ended with an error: called off, out of time, or broken.
// A request that was not written whole never ran, whatever stopped it.
func brokenOff(a *attempt, err error, broken whinknot.Outcome) whinknot.Outcome {
	switch {
	case a.ctx.Err() != nil:
		return whinknot.Cancelled
	case broken == whinknot.Reset && errors.Is(err, os.ErrDeadlineExceeded):
		return whinknot.Timeout
	}
	return broken
}

var errNoRoom = errors.New("no descriptor left for a connection")

// connect takes an idle connection that is still open, or dials.
func (u *upstream) connect(ctx context.Context, e *endpoint, until time.Time) (*conn, error) {
	for {
		c := u.take(e)
		if c == nil {
			break
		}
		if stillOpen(c.Conn) {
			return c, nil
		}
		u.discard(c)
	}
	if !u.makeRoom() {
		return nil, errNoRoom
	}
	d := net.Dialer{Timeout: u.dialTimeout, Deadline: until, KeepAlive: -1}
	raw, err := d.DialContext(ctx, "tcp", e.addr)
	if err != nil {
		u.mu.Lock()
		u.open--
		u.mu.Unlock()
		return nil, fmt.Errorf("dial: %w", err)
	}
	return &conn{Conn: raw, reader: bufio.NewReader(raw), home: e}, nil
}

// take pops the connection used last, so that the others can grow old.
func (u *upstream) take(e *endpoint) *conn {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := len(e.idle) - 1
	if n < 0 {
		return nil
	}
	c := e.idle[n]
	e.idle[n], e.idle = nil, e.idle[:n]
	if time.Since(c.since) > u.idleLimit { // so are all the others: they are older
		e.idle = append(e.idle, c)
		u.closeIdle(e)
		return nil
	}
	return c
}

// makeRoom counts one more connection; at the limit, the one that was idle longest gives way.
func (u *upstream) makeRoom() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.open >= u.most {
		var oldest *endpoint
		for _, e := range u.endpoints {
			if len(e.idle) > 0 && (oldest == nil || e.idle[0].since.Before(oldest.idle[0].since)) {
				oldest = e
			}
		}
		if oldest == nil {
			return false
		}
		u.closeOldest(oldest)
	}
	u.open++
	return true
}

func (u *upstream) discard(c *conn) {
	c.Close()
	u.mu.Lock()
	u.open--
	u.mu.Unlock()
}

// put keeps a connection for the next request, and has idle ones looked after while there are any.
func (u *upstream) put(c *conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !c.home.ready {
		c.Close()
		u.open--
		return
	}
	c.since = time.Now()
	c.home.idle = append(c.home.idle, c)
	if !u.sweeping {
		u.sweeping = true
		time.AfterFunc(u.idleLimit, u.sweep)
	}
}

// sweep closes the connections that have been idle for too long and comes back when the next one will have been.
func (u *upstream) sweep() {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	next := now
	for _, e := range u.endpoints {
		for len(e.idle) > 0 && now.Sub(e.idle[0].since) >= u.idleLimit {
			u.closeOldest(e)
		}
		if len(e.idle) > 0 && (next == now || e.idle[0].since.Before(next)) {
			next = e.idle[0].since
		}
	}
	if u.sweeping = next != now; u.sweeping {
		time.AfterFunc(u.idleLimit-now.Sub(next), u.sweep)
	}
}

// closeOldest closes the connection of an endpoint that has been idle longest.
func (u *upstream) closeOldest(e *endpoint) {
	e.idle[0].Close()
	e.idle = slices.Delete(e.idle, 0, 1)
	u.open--
}

// stillOpen looks, without waiting, whether the peer has closed an idle connection or sent what nobody asked for.
func stillOpen(c net.Conn) bool {
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
