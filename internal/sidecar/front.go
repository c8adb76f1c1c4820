package sidecar

import (
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"whinknot"
)

const (
	quietTime     = 2200 * time.Millisecond // a connection may be quiet for so long, and a request take to come whole
	statusRefused = http.StatusServiceUnavailable
	statusFailed  = http.StatusBadGateway

	acceptTime = 600 * time.Millisecond  // new connections come for up to 0.4 s after SIGTERM
	finishTime = 1300 * time.Millisecond // for what was taken, from the end of taking until the rest is given up
	lastWrites = 150 * time.Millisecond  // for the answers that are given then
)

// front takes requests from callers and answers them.
type front struct {
	loop     *loop
	set      *whinknot.Settings
	classes  map[string]uint16
	tenants  map[string]uint16
	callers  *callers
	draining atomic.Bool   // not ready any more
	ending   atomic.Bool   // every answer closes its connection
	accept   time.Duration // from SIGTERM until no new connection is taken
	quiet    time.Duration // see quietTime
}

// newFront makes a front for at most so many callers' connections.
func newFront(l *loop, set *whinknot.Settings, most int) *front {
	f := &front{
		loop: l, set: set, classes: map[string]uint16{}, tenants: map[string]uint16{}, accept: acceptTime,
		quiet: quietTime, callers: newCallers(most),
	}
	for i, c := range set.Classes {
		f.classes[c.Name] = uint16(i)
	}
	for i, t := range set.Tenants {
		f.tenants[t.Name] = uint16(i)
	}
	return f
}

// serve takes requests until the listener is closed.
func (f *front) serve(ln net.Listener) error { return f.callers.serve(ln, f.talk) }

// talk serves one connection: a request, its answer, and so on, while both sides keep it.
func (f *front) talk(c *caller) {
	for first, lasts := true, true; lasts; first = false {
		c.SetReadDeadline(time.Now().Add(f.quiet))
		if !first {
			if _, err := c.reader.Peek(1); err != nil {
				return
			}
			c.SetReadDeadline(time.Now().Add(f.quiet))
		}
		m, err := readMessage(c.reader)
		if err != nil {
			f.complain(c, err)
			return
		}
		lasts = m.lasts() && !f.ending.Load()
		if m.length == untold { // of a request: none
			m.length = 0
		}
		if m.first == "GET /-/ready HTTP/1.1" {
			if c.answer(&answer{status: f.ready()}, !lasts) != nil {
				return
			}
			continue
		}
		waits := m.length != 0 && m.lists("Expect", "100-continue")
		k, status, complaint := f.parse(m)
		if k == nil {
			c.turnAway(status, complaint)
			return
		}
		if waits {
			io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n") // one that fails shows in the body
		}
		if k.out.body, err = readBody(c.reader, m.length); err != nil {
			f.complain(c, err)
			return
		}
		a, ok := f.have(c, k)
		lasts = lasts && !f.ending.Load() && a.status/100 != 4
		if !ok || c.answer(&a, !lasts) != nil {
			return
		}
		f.callers.ends(c)
	}
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

// have gets the final answer to a request that has come whole; none if its caller leaves before.
func (f *front) have(c *caller, k *call) (answer, bool) {
	answered := make(chan answer, 1)
	k.reply = func(a answer) {
		answered <- a
		c.SetReadDeadline(time.Unix(1, 0)) // ends the Peek
	}
	k.due(f.loop.clock(time.Now()))
	c.SetReadDeadline(time.Time{})
	f.callers.begins(c)
	f.loop.post(func() { f.loop.take(k) })
	_, err := c.reader.Peek(1) // its caller leaves, or sends a next request already
	select {
	case a := <-answered:
		return a, true
	default:
	}
	if err != nil {
		f.loop.post(func() { f.loop.gone(k) })
		return answer{}, false
	}
	select {
	case a := <-answered:
		return a, true
	case <-f.loop.ended:
		return answer{}, false
	}
}

// ready tells by a status whether requests are welcome: the loop runs, has a list to send by and is not ending.
func (f *front) ready() int {
	usable := 0
	f.loop.ask(func() { usable = f.loop.usable })
	if usable == 0 || f.draining.Load() {
		return http.StatusServiceUnavailable
	}
	return http.StatusOK
}

// single are the headers that a request is understood by; with two of one kind it could be read in two ways.
var single = []string{"Host", "X-Request-Id", "X-Class", "X-Tenant", "X-Deadline", "Idempotency-Key", "Expect"}

// parse checks the head of a request; of one that cannot be taken it tells why.
func (f *front) parse(m message) (k *call, status int, complaint string) {
	method, rest, _ := strings.Cut(m.first, " ")
	uri, version, _ := strings.Cut(rest, " ")
	path, _, _ := strings.Cut(strings.TrimPrefix(uri, "/"), "?")
	first, _, _ := strings.Cut(path, "/")
	if version != "HTTP/1.1" && version != "HTTP/1.0" || !strings.HasPrefix(uri, "/") || hasControl(uri) {
		return nil, http.StatusBadRequest, "the request line cannot be read"
	}
	h := m.header
	for _, name := range single {
		if len(h[name]) > 1 {
			return nil, http.StatusBadRequest, name + " comes twice"
		}
	}
	name := h.Get("X-Class")
	index, ok := f.classes[name]
	if !ok || first != name {
		return nil, http.StatusNotFound, "X-Class and the path name no class"
	}
	class := &f.set.Classes[index]
	want := http.MethodPost
	if class.Effect == whinknot.Safe {
		want = http.MethodGet
	}
	switch {
	case method != want:
		return nil, http.StatusMethodNotAllowed, "requests of this class are " + want
	case class.Effect == whinknot.Keyed && h.Get("Idempotency-Key") == "":
		return nil, http.StatusBadRequest, "Idempotency-Key is missing"
	case h.Get("X-Request-Id") == "":
		return nil, http.StatusBadRequest, "X-Request-Id is missing"
	case m.length > maxBody:
		return nil, http.StatusRequestEntityTooLarge, "the body is over 64 KiB"
	}
	wait := class.GiveUp / 1000
	if text := h.Get("X-Deadline"); text != "" {
		left, err := strconv.ParseFloat(text, 64)
		if err != nil || !(left > 0) || math.IsInf(left, 0) {
			return nil, http.StatusBadRequest, "X-Deadline is no time"
		}
		wait = min(wait, left)
	}
	hint, err := strconv.ParseFloat(h.Get("X-Cost-Hint"), 64)
	if err != nil {
		hint = 0
	}
	tenant, ok := f.tenants[h.Get("X-Tenant")]
	if !ok {
		tenant = uint16(len(f.tenants)) // one without a quota
	}
	k = &call{
		event: whinknot.Event{Class: index, Tenant: tenant, Hint: hint / 1000},
		wait:  1000*wait - min(float64(margin.Milliseconds()), 1000*marginPart*wait),
		id:    h.Get("X-Request-Id"),
	}
	if cookie, err := (&http.Request{Header: h}).Cookie("obj"); err == nil {
		sum := fnv.New64a()
		io.WriteString(sum, cookie.Value)
		k.event.Key = sum.Sum64()
	}
	k.out = outgoing{start: fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n", method, uri, h.Get("Host")), header: endToEnd(h)}
	h.Del("Host")
	return k, 0, ""
}

// drain ends the front in order: it goes on taking requests while new connections may come, and on those that it has
// for as long as what comes there can be finished; then it finishes what was taken. What is left at last is given up.
func (f *front) drain(ln net.Listener, last time.Duration) {
	begun := time.Now()
	f.draining.Store(true)
	time.Sleep(f.accept)
	ln.Close()
	time.Sleep(time.Until(begun.Add(last - finishTime)))
	f.ending.Store(true)
	timer := time.AfterFunc(time.Until(begun.Add(last)), func() { f.loop.post(f.loop.giveUpAll) })
	defer timer.Stop()
	f.callers.drain(begun.Add(last + lastWrites))
}
