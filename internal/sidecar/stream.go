package sidecar

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"whinknot"
	"whinknot/internal/exchange"
)

// Bodies of over maxBody are not held: they stream through a buffer of bounded size, once. A request whose body streams
// cannot be sent again once its server may have had a byte of it, and the module is told so.

const (
	streamPart = 32 << 10               // bytes held of a streamed body, each way
	holdTime   = 100 * time.Millisecond // an answer of untold length is held for so long, in case that it is short
)

// bodies are the bounds within which bodies stream.
type bodies struct {
	most        int64         // bytes of a request's body
	idle, total time.Duration // between two parts, and for a whole body
}

// begin reads a body, if it is short, or the first part of one that streams.
func (b *bodies) begin(c *caller, length int64) ([]byte, *upload, error) {
	if length > b.most {
		return nil, nil, errTooLong
	}
	if length >= 0 && length <= maxBody {
		body, err := readBody(c.reader, length)
		return body, nil, err
	}
	up := &upload{c: c, bounds: b, length: length, end: time.Now().Add(b.total), done: make(chan struct{})}
	if length >= 0 {
		up.from = &exactly{c.reader, length}
		first := make([]byte, firstPart) // what is announced but never comes goes to no server
		n, err := up.Read(first)
		return first[:n], up, err
	}
	up.from = newTrailed(c.reader)
	first, rest, err := readFirst(up, time.Time{})
	if rest == nil {
		up = nil // it has come whole, or cannot be read
	}
	return first, up, err
}

// readAnswer reads an endpoint's final answer, whole but for what streams, and tells its status.
func readAnswer(r *bufio.Reader) (status int, m message, body []byte, rest io.Reader, err error) {
	status, m, err = readAnswerHead(r)
	switch {
	case err != nil || bodiless(status):
	case status == http.StatusOK:
		body, rest, err = beginAnswer(r, &m)
	case m.length == untold:
		err = errLength
	default:
		body, err = readBody(r, m.length)
	}
	return status, m, body, rest, err
}

// beginAnswer reads the body of an answer whole, if it is short, or its first part and gives the rest. A body whose length
// is told no other way ends with its connection, where its server has said that it would (RFC 9112, 6.3).
func beginAnswer(r *bufio.Reader, m *message) (first []byte, rest io.Reader, err error) {
	switch {
	case m.length > platformBody:
		return nil, nil, errTooLong
	case m.length > maxBody:
		_, err = r.Peek(1)
		return nil, &exactly{r, m.length}, err
	case m.length >= 0:
		first, err = readBody(r, m.length)
		return first, nil, err
	case m.length == chunked:
		return readFirst(newTrailed(r), time.Now().Add(holdTime))
	case m.lasts():
		return nil, nil, errLength
	}
	return readFirst(r, time.Now().Add(holdTime))
}

// newFlow is what streams of an answer.
func newFlow(rest io.Reader, a *attempt, c *conn, out *outgoing) *flow {
	return &flow{
		from: rest, conn: c, attempt: a, idle: out.bounds.idle, end: time.Now().Add(out.bounds.total), done: make(chan error, 1),
	}
}

// readFirst reads a body whole, if it is short, or its first part and gives the rest. Past a time (zero for none) what has
// come counts as the first part.
func readFirst(body io.Reader, by time.Time) (first []byte, rest io.Reader, err error) {
	first = make([]byte, 0, firstPart)
	for len(first) < maxBody {
		if len(first) == cap(first) {
			first = append(make([]byte, 0, min(4*cap(first), maxBody)), first...)
		}
		n, err := body.Read(first[len(first):cap(first)])
		first = first[:len(first)+n]
		if err == io.EOF {
			return first, nil, nil
		}
		if err != nil {
			return nil, nil, err
		}
		if n > 0 && !by.IsZero() && time.Now().After(by) {
			break
		}
	}
	return first, body, nil
}

// trailed reads a chunked body and the trailers behind it, which nobody asked for.
type trailed struct {
	body  io.Reader
	lines *bufio.Reader
}

func newTrailed(r *bufio.Reader) *trailed { return &trailed{newChunkReader(r), r} }

func (t *trailed) Read(p []byte) (int, error) {
	n, err := t.body.Read(p)
	if err == io.EOF {
		if _, bad := readLines(t.lines); bad != nil {
			return n, bad
		}
	}
	return n, err
}

// exactly reads so many bytes; an end before is an error.
type exactly struct {
	from io.Reader
	left int64
}

func (e *exactly) Read(p []byte) (int, error) {
	if e.left == 0 {
		return 0, io.EOF
	}
	n, err := e.from.Read(p[:min(int64(len(p)), e.left)])
	if e.left -= int64(n); err == io.EOF && e.left > 0 {
		err = io.ErrUnexpectedEOF
	}
	if e.left == 0 {
		err = nil
	}
	return n, err
}

// upload is a request's body that streams from its caller to one server. One attempt may claim it.
type upload struct {
	c      *caller
	bounds *bodies
	from   io.Reader
	length int64 // or chunked
	end    time.Time
	done   chan struct{} // closed once nothing reads from the caller any more
	// The next three are written before done is closed.
	err     error // the caller did not send it whole
	through bool  // it was read whole and written whole
	ended   time.Time

	mu      sync.Mutex
	read    int64
	claimed bool
	stopped bool // nothing of it is wanted any more
}

var errStopped = errors.New("the call has ended")

// Read reads on from the caller, within the bounds.
func (up *upload) Read(p []byte) (int, error) {
	up.mu.Lock()
	if up.stopped {
		up.mu.Unlock()
		return 0, errStopped
	}
	if by := time.Now().Add(up.bounds.idle); by.Before(up.end) {
		up.c.SetReadDeadline(by)
	} else {
		up.c.SetReadDeadline(up.end)
	}
	up.mu.Unlock()
	n, err := up.from.Read(p)
	if up.read += int64(n); up.read > up.bounds.most {
		return n, errTooLong
	}
	return n, err
}

// claim gives the body to an attempt; false if it had been claimed, or is not wanted any more.
func (up *upload) claim() bool {
	up.mu.Lock()
	defer up.mu.Unlock()
	if up.claimed || up.stopped {
		return false
	}
	up.claimed = true
	return true
}

func (up *upload) isClaimed() bool {
	up.mu.Lock()
	defer up.mu.Unlock()
	return up.claimed
}

// stop ends the reading: the call has its answer, or its caller is to be left.
func (up *upload) stop() {
	up.mu.Lock()
	defer up.mu.Unlock()
	up.stopped = true
	up.c.SetReadDeadline(time.Unix(1, 0))
}

// settle lifts the deadline that reading has set, unless the answer is there already.
func (up *upload) settle() {
	up.mu.Lock()
	defer up.mu.Unlock()
	if !up.stopped {
		up.c.SetReadDeadline(time.Time{})
	}
}

// wait waits until nothing reads from the caller any more.
func (up *upload) wait() {
	if up.isClaimed() {
		<-up.done
	}
}

// whole tells whether the body has been read and written to its end.
func (up *upload) whole() bool {
	select {
	case <-up.done:
		return up.through
	default:
		return false
	}
}

// send writes head and body to a server. The error is the server's; the caller's is in up.err.
func (up *upload) send(head []byte, first []byte, to io.Writer) (err error) {
	defer func() {
		up.through, up.ended = err == nil && up.err == nil, time.Now()
		close(up.done)
	}()
	if _, err := to.Write(head); err != nil {
		return err
	}
	body := to
	if up.length == chunked {
		body = &chunkWriter{to}
	}
	if len(first) > 0 {
		if _, err := body.Write(first); err != nil {
			return err
		}
	}
	part := make([]byte, streamPart)
	for {
		n, bad := up.Read(part)
		if n > 0 && (bad == nil || bad == io.EOF) {
			if _, err := body.Write(part[:n]); err != nil {
				return err
			}
		}
		if bad == io.EOF {
			break
		}
		if bad != nil {
			if bad != errStopped {
				up.err = bad
			}
			return fmt.Errorf("body: %w", bad)
		}
	}
	if up.length == chunked {
		_, err = io.WriteString(to, "0\r\n\r\n")
	}
	return err
}

// flow is the rest of an answer's body that streams from a server to the caller.
type flow struct {
	from    io.Reader
	conn    *conn
	attempt *attempt
	idle    time.Duration
	end     time.Time
	done    chan error // what became of it: nil, an error of the server's, or errCaller
}

var errCaller = errors.New("the caller does not take it")

// Read reads on from the server, within the bounds.
func (f *flow) Read(p []byte) (int, error) {
	by := time.Now().Add(f.idle)
	if by.After(f.end) {
		by = f.end
	}
	f.conn.SetReadDeadline(by)
	if f.attempt.ctx.Err() != nil { // called off meanwhile
		return 0, os.ErrDeadlineExceeded
	}
	return f.from.Read(p)
}

// pass writes an answer whose body streams; an error means that the caller can tell that it is not whole. One of
// HTTP/1.0 is told the end of a body of untold length by that of the connection, which a cut must not look like: there
// the connection is reset.
func (c *caller) pass(a *answer, last, old bool) error {
	if old && a.length == chunked {
		a.length = untold
		err := c.pass(a, true, false)
		if tcp, ok := c.Conn.(*net.TCPConn); ok && err != nil {
			tcp.SetLinger(0)
		}
		return err
	}
	c.SetWriteDeadline(time.Now().Add(a.rest.idle))
	head := a.head(a.length, last)
	body := io.Writer(c.Conn)
	_, err := c.Write(head.Bytes())
	if a.length == chunked {
		body = &chunkWriter{c.Conn}
	}
	if err == nil && len(a.body) > 0 {
		_, err = body.Write(a.body)
	}
	part := make([]byte, streamPart)
	for err == nil {
		n, bad := a.rest.Read(part)
		if n > 0 {
			c.SetWriteDeadline(time.Now().Add(a.rest.idle))
			_, err = body.Write(part[:n])
		}
		if bad == io.EOF && err == nil {
			if a.length == chunked {
				_, err = io.WriteString(c.Conn, "0\r\n\r\n")
			}
			a.rest.done <- nil
			return err
		}
		if bad != nil {
			a.rest.done <- bad
			return bad
		}
	}
	a.rest.done <- errCaller
	return err
}

// pass hands an answer that streams to the loop and waits until its caller has it, or will not.
func (u *upstream) pass(a *attempt, c *conn, got *answer) (whinknot.Outcome, bool) {
	a.began(got)
	select {
	case err := <-got.rest.done:
		switch {
		case err == nil:
			return whinknot.OK, c.rests()
		case err == errCaller:
			c.meets(exchange.Abandoned)
		default:
			c.fails(a, err)
		}
	case <-a.ctx.Done():
		c.meets(exchange.Abandoned)
	}
	return outcomeOf(c.x.Fate), false
}
