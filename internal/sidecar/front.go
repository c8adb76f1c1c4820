package sidecar

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"whinknot"
)

const (
	quietTime     = 2200 * time.Millisecond // a connection may be quiet for so long, also between two parts of a body
	headTime      = 2600 * time.Millisecond // from the first byte of a head to its last
	slowest       = 16 << 10                // bytes of a body a second at least, beside that
	uploadTime    = time.Minute             // for a long body
	statusRefused = http.StatusServiceUnavailable
	statusFailed  = http.StatusBadGateway

	acceptTime = 600 * time.Millisecond  // new connections come for up to 0.4 s after SIGTERM
	finishTime = 1300 * time.Millisecond // for what was taken, from the end of taking until the rest is given up
	lastWrites = 150 * time.Millisecond  // for the answers that are given then

	emptyTime = 100 * time.Millisecond // from the last new connection, for those queued to be taken
	lastIdle  = 500 * time.Millisecond // before the rest is given up, idle connections are closed
)

// front takes requests from callers and answers them. What a request is, and which loop decides on it, is told by
// intake: one for the platform's protocol, one for the listeners of an operator file.
type front struct {
	loop     *loop // the platform's only one
	set      *whinknot.Settings
	classes  map[string]uint16
	tenants  map[string]uint16
	intake   func(*caller, *message) taken
	usable   func() bool // there is something to send requests to; nil where nobody asks for that here
	callers  *callers
	conns    sync.WaitGroup
	draining atomic.Bool   // not ready any more
	ending   atomic.Bool   // every answer closes its connection
	accept   time.Duration // from SIGTERM until no new connection is taken
	quiet    time.Duration // see quietTime
	head     time.Duration // see headTime
	uploads  bodies        // of the platform's requests
}

// taken is what an intake makes of the head of a request: a call and the loop that decides on it, or an answer.
type taken struct {
	call      *call
	loop      *loop
	status    int // with no call: the head cannot be taken, and its connection ends
	complaint string
	fixed     *answer                // or this is the answer, and the connection goes on
	streams   *bodies                // bodies over maxBody may stream, within these bounds; nil where they may not
	unread    bool                   // with fixed: whoever asked first sends no body, and the connection goes on
	done      func()                 // to be called once the request is over; may be nil
	empty     bool                   // the body is read and goes nowhere
	instead   func(*answer) *standIn // what stands in for an answer, nil for nothing; itself nil where nothing can
	serve     server                 // instead of a call: gives the answer once the body has come whole; nil for none
	most      int64                  // with serve: bytes of the body
}

// newFront makes the platform's front for at most so many callers' connections.
func newFront(l *loop, set *whinknot.Settings, most int) *front {
	f := &front{
		loop: l, set: set, accept: acceptTime, quiet: quietTime, head: headTime, callers: newCallers(most),
		uploads: bodies{most: platformBody, idle: quietTime, total: uploadTime},
	}
	f.classes, f.tenants = indexes(set)
	f.intake = f.platform
	f.usable = func() bool { return l.counts.usable.Load() > 0 }
	return f
}

// serve takes requests until the listener is closed.
func (f *front) serve(ln net.Listener) error { return f.callers.serve(ln, f.talk, &f.conns) }

// talk serves one connection: a request, its answer, and so on, while both sides keep it.
func (f *front) talk(c *caller) {
	for lasts := true; lasts; {
		c.SetReadDeadline(time.Now().Add(f.quiet))
		if skipEmpty(c.reader) != nil {
			return
		}
		c.SetReadDeadline(time.Now().Add(f.head))
		m, err := readMessage(c.reader)
		if err != nil {
			f.complain(c, err)
			return
		}
		lasts = m.lasts() && !f.ending.Load()
		if m.length == untold { // of a request: none
			m.length = 0
		}
		if f.usable != nil && m.first == "GET /-/ready HTTP/1.1" && m.length == 0 {
			if c.answer(&answer{status: f.ready()}, !lasts) != nil {
				return
			}
			continue
		}
		if !f.one(c, &m, &lasts) {
			return
		}
	}
}

// one deals with one request whose head has been read, and tells whether its connection goes on, if lasts says so too.
func (f *front) one(c *caller, m *message, lasts *bool) bool {
	waits := m.length != 0 && m.lists("Expect", "100-continue")
	t := f.intake(c, m)
	if t.done != nil {
		defer t.done()
	}
	switch {
	case t.fixed != nil && (m.length == 0 || waits):
		*lasts = *lasts && (m.length == 0 || t.unread)
		return c.answer(t.fixed, !*lasts) == nil
	case t.fixed != nil:
		c.giveAway(t.fixed)
		return false
	case t.serve != nil:
		return f.byServer(c, m, &t, waits, lasts)
	case t.call == nil:
		c.turnAway(t.status, t.complaint)
		return false
	}
	k := t.call
	if waits {
		c.invite() // one that fails shows in the body
	}
	var err error
	c.idle, c.by = f.quiet, time.Now().Add(f.quiet+time.Duration(max(m.length, 0))*time.Second/slowest)
	if t.streams != nil {
		k.out.body, k.out.upload, err = t.streams.begin(c, m.length)
	} else {
		k.out.body, err = readBody(c.reader, m.length)
	}
	c.idle = 0
	if err != nil {
		f.complain(c, err)
		return false
	}
	if t.empty {
		k.out.body = nil
	}
	a, ok := f.have(c, &t)
	if ok && t.instead != nil {
		a, ok = f.replace(c, &t, a)
	}
	if !ok {
		return false
	}
	if up := k.out.upload; up != nil && !up.whole() { // its caller still sends: nothing behind can be read
		c.giveAway(&a)
		return false
	}
	*lasts = *lasts && !f.ending.Load() && (a.status/100 != 4 || k.out.open)
	if a.rest != nil {
		err = c.pass(&a, !*lasts, k.out.old)
	} else {
		err = c.answer(&a, !*lasts)
	}
	f.callers.ends(c)
	return err == nil
}

// complain answers what cannot be read as a request. One that falls silent or breaks off is just closed.
func (f *front) complain(c *caller, err error) {
	_, broken := err.(net.Error)
	switch {
	case err == errTooLong:
		c.turnAway(http.StatusRequestEntityTooLarge, err.Error())
	case !broken && err != io.EOF && err != io.ErrUnexpectedEOF:
		c.turnAway(http.StatusBadRequest, err.Error())
	}
}

// have gets the final answer to a request that has come whole, or whose body streams; none if its caller leaves before.
func (f *front) have(c *caller, t *taken) (answer, bool) {
	k, loop := t.call, t.loop
	answered := make(chan answer, 1)
	k.reply = func(a answer) {
		c.SetReadDeadline(time.Unix(1, 0)) // ends the Peek; before the answer goes out, or it would end what is read behind it
		answered <- a
	}
	if up := k.out.upload; up != nil {
		k.reply = func(a answer) {
			answered <- a
			up.stop()
		}
	}
	k.due(loop.clock(time.Now()))
	c.SetReadDeadline(time.Time{})
	f.callers.begins(c)
	loop.post(func() { loop.take(k) })
	if up := k.out.upload; up != nil {
		if a, ok, final := f.haveUpload(c, k, loop, answered); final {
			return a, ok
		}
	}
	_, err := c.reader.Peek(1) // its caller leaves, or sends a next request already
	if a, ok := lastWord(answered); ok {
		return a, true
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		loop.post(func() { loop.gone(k) })
		return answer{}, false
	}
	select {
	case a := <-answered:
		return a, true
	case <-loop.over:
		return lastWord(answered)
	}
}

// haveUpload waits until a streamed body is through, unless the call ends before.
func (f *front) haveUpload(c *caller, k *call, loop *loop, answered chan answer) (a answer, ok, final bool) {
	up := k.out.upload
	select {
	case a = <-answered:
		loop.post(func() { loop.callOff(k) })
		if up.wait(); up.err == nil {
			return a, true, true
		}
	case <-up.done:
		switch {
		case up.err != nil:
			loop.ask(func() { loop.gone(k) })
		case !up.whole(): // its server did not take it all: the loop tells what follows
			select {
			case a = <-answered:
				return a, true, true
			case <-loop.over:
				a, ok = lastWord(answered)
				return a, ok, true
			}
		default:
			up.settle()
			return a, false, false
		}
	case <-loop.over:
		a, ok = lastWord(answered)
		return a, ok, true
	}
	f.complain(c, up.err) // what the caller sent cannot be read on
	return a, false, true
}

// ready tells by a status whether requests are welcome: the loop runs, has a list to send by and is not ending.
func (f *front) ready() int {
	if f.draining.Load() || !f.usable() {
		return http.StatusServiceUnavailable
	}
	return http.StatusOK
}

// drain ends the platform's front in order, see drainFronts.
func (f *front) drain(ln net.Listener, last time.Duration) {
	drainFronts([]gate{{front: f, listener: ln}}, f.callers, f.accept, last, func() { f.loop.post(f.loop.giveUpAll) })
}

// handOver ends the front after another process has taken over: nothing new comes to this one, and callers are told with
// each answer to connect anew. Connections that are idle stay open for as long as there is time, as a close could cross
// with a request.
func (f *front) handOver(ln net.Listener, last time.Duration) {
	begun := time.Now()
	f.draining.Store(true)
	f.ending.Store(true)
	time.Sleep(emptyTime) // what the kernel had queued for this listener is taken
	ln.Close()
	f.callers.wait(begun.Add(last - lastIdle))
	timer := time.AfterFunc(time.Until(begun.Add(last)), func() { f.loop.post(f.loop.giveUpAll) })
	defer timer.Stop()
	f.callers.drain(begun.Add(last + lastWrites))
}
