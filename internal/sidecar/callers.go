package sidecar

import (
	"bufio"
	"bytes"
	"container/list"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"sync"
	"time"
)

const (
	writeTime    = 3 * time.Second // for an answer to be taken
	lingerTime   = 500 * time.Millisecond
	lingerBytes  = 256 << 10 // read and dropped of a caller that still sends, for an error to reach it
	acceptPause  = 5 * time.Millisecond
	spareCallers = 8 // so many below the limit, quiet connections start to give way
)

// caller is one connection of a caller.
type caller struct {
	net.Conn
	reader *bufio.Reader
	home   *callers
	quiet  *list.Element // its place among those without an open request
	known  bool          // it has carried a request
	leaves bool          // it ends by itself when the front drains
	// While a body is read by the connection's own goroutine: time between two parts, and for all; with no idle none.
	idle time.Duration
	by   time.Time
}

// Read reads from the caller. While no request is open, one that still sends counts as quiet for a shorter time.
func (c *caller) Read(p []byte) (int, error) {
	if c.idle > 0 {
		by := time.Now().Add(c.idle)
		if by.After(c.by) {
			by = c.by
		}
		c.SetReadDeadline(by)
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.home.heard(c)
	}
	return n, err
}

// host is the caller's address without the port.
func (c *caller) host() string {
	text := c.RemoteAddr().String()
	if host, _, err := net.SplitHostPort(text); err == nil {
		return host
	}
	return text
}

// CloseWrite tells the peer that nothing more comes, where the connection can.
func (c *caller) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// callers holds the callers' connections. Near the limit those without an open request give way, the one quiet
// longest first, and those that have never carried a request before others: callers that hold connections for nothing, or
// stop in the middle of a request, keep none out.
type callers struct {
	most  int
	mu    sync.Mutex
	open  int
	fresh *list.List       // those that have carried no request yet, the one quiet longest first
	quiet *list.List       // others without an open request, likewise
	all   map[*caller]bool // nil where nobody has to close them all
}

func newCallers(most int) *callers { return &callers{most: most, fresh: list.New(), quiet: list.New()} }

// place is the list that a connection without an open request is in. cs.mu is held.
func (cs *callers) place(c *caller) *list.List {
	if c.known {
		return cs.quiet
	}
	return cs.fresh
}

// heard notes that a caller has sent something.
func (cs *callers) heard(c *caller) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.place(c).MoveToBack(c.quiet) // none while a request is open
}

// giveWay closes the connection that can be spared best, if there is one. cs.mu is held.
func (cs *callers) giveWay() bool {
	for _, l := range []*list.List{cs.fresh, cs.quiet} {
		if e := l.Front(); e != nil {
			l.Remove(e).(*caller).Close()
			return true
		}
	}
	return false
}

// serve accepts connections until the listener is closed; each is served by talk.
func (cs *callers) serve(ln net.Listener, talk func(*caller), conns *sync.WaitGroup) error {
	for {
		conn, err := ln.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil: // no descriptor is left, or the caller has gone already
			time.Sleep(acceptPause)
			continue
		}
		if c := cs.add(conn); c != nil {
			conns.Go(func() {
				defer cs.remove(c)
				talk(c)
			})
		}
	}
}

// add takes a connection in; with no room for it, it is closed, which its caller can tell from a lost request.
func (cs *callers) add(conn net.Conn) *caller {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.open > cs.most-spareCallers && cs.giveWay() {
		cs.mu.Unlock()
		runtime.Gosched() // its descriptor is free once its goroutine has run
		cs.mu.Lock()
	}
	if cs.open >= cs.most {
		conn.Close()
		return nil
	}
	c := &caller{Conn: conn, home: cs}
	c.reader = bufio.NewReader(c)
	c.quiet = cs.fresh.PushBack(c)
	cs.open++
	if cs.all != nil {
		cs.all[c] = true
	}
	return c
}

// closeAll closes every connection, whatever is open on it.
func (cs *callers) closeAll() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for c := range cs.all {
		c.Close()
	}
}

func (cs *callers) remove(c *caller) {
	c.Close()
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.open--
	delete(cs.all, c)
	cs.place(c).Remove(c.quiet)
}

// begins marks a connection as one with an open request; ends, as one without.
func (cs *callers) begins(c *caller) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.place(c).Remove(c.quiet)
	c.known = true
}

func (cs *callers) ends(c *caller) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	c.quiet = cs.quiet.PushBack(c)
}

// busy does so for a connection that carries many calls: it has its first open one, or none any more.
func (cs *callers) busy(n net.Conn, busy bool) {
	if c := n.(*caller); busy {
		cs.begins(c)
	} else {
		cs.ends(c)
	}
}

// resize sets another limit; what is over it gives way or ends by itself.
func (cs *callers) resize(most int) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.most = most
}

// invite tells a caller that asked first to send its body.
func (c *caller) invite() error {
	c.SetWriteDeadline(time.Now().Add(writeTime)) // that of the answer before may be over
	_, err := io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
	return err
}

// answer writes a final answer. The length goes first, so that a body that breaks off shows.
func (c *caller) answer(a *answer, last bool) error {
	length := int64(len(a.body))
	if a.bare {
		length = a.length
	}
	head := a.head(length, last)
	c.SetWriteDeadline(time.Now().Add(writeTime))
	_, err := (&net.Buffers{head.Bytes(), a.body}).WriteTo(c.Conn)
	return err
}

// head is the head of an answer with a body of a length, chunked, or untold for one that has none by its status.
func (a *answer) head(length int64, last bool) *bytes.Buffer {
	head := &bytes.Buffer{}
	head.Grow(512)
	head.WriteString("HTTP/1.1 ")
	head.Write(strconv.AppendInt(head.AvailableBuffer(), int64(a.status), 10))
	head.WriteString(" ")
	head.WriteString(http.StatusText(a.status))
	head.WriteString("\r\n")
	switch {
	case length >= 0:
		writeNumber(head, "Content-Length", length)
	case length == chunked:
		head.WriteString("Transfer-Encoding: chunked\r\n")
	}
	if a.retryAfter > 0 {
		writeSeconds(head, "Retry-After", a.retryAfter.Seconds(), -1)
	}
	if last {
		head.WriteString("Connection: close\r\n")
	}
	if a.tier != "" {
		head.WriteString(outcomeHeader + ": " + a.tier + "\r\n")
	}
	if a.notRun {
		head.WriteString("X-Not-Run: 1\r\n")
	}
	writeHeader(head, a.header, "")
	head.WriteString("\r\n")
	return head
}

// turnAway answers what cannot be taken and ends the connection: nothing behind it can be read for sure. What its
// caller still sends is dropped for a while, as a close with bytes unread could overtake the answer.
func (c *caller) turnAway(status int, complaint string) {
	c.giveAway(&answer{status: status, body: []byte(complaint + "\n")})
}

// giveAway gives an answer to a caller that may still send, and ends the connection likewise.
func (c *caller) giveAway(a *answer) {
	if c.answer(a, true) != nil {
		return
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.CloseWrite()
	}
	c.SetReadDeadline(time.Now().Add(lingerTime))
	io.CopyN(io.Discard, c.reader, lingerBytes)
}
