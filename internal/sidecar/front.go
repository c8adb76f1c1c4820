package sidecar

import (
	"context"
	"errors"
	"hash/fnv"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"whinknot"
)

const (
	maxBody       = 64 << 10
	readTime      = 5 * time.Second // for a request to come whole
	writeTime     = time.Minute     // from there to the end of its answer
	callerIdle    = 2 * time.Minute
	statusRefused = http.StatusServiceUnavailable
	statusFailed  = http.StatusBadGateway

	acceptTime = 600 * time.Millisecond // new connections come for up to 0.4 s after SIGTERM
	idleTime   = 600 * time.Millisecond // from then until connections between requests are closed
)

// front takes requests from callers and answers them.
type front struct {
	loop     *loop
	set      *whinknot.Settings
	classes  map[string]uint16
	tenants  map[string]uint16
	server   *http.Server
	callers  callers
	draining atomic.Bool
	accept   time.Duration // from SIGTERM until no new connection is taken
}

// newFront makes a front for at most so many callers' connections.
func newFront(l *loop, set *whinknot.Settings, most int) *front {
	f := &front{
		loop: l, set: set, classes: map[string]uint16{}, tenants: map[string]uint16{}, accept: acceptTime,
		callers: callers{most: most, quiet: map[net.Conn]time.Time{}},
	}
	for i, c := range set.Classes {
		f.classes[c.Name] = uint16(i)
	}
	for i, t := range set.Tenants {
		f.tenants[t.Name] = uint16(i)
	}
	f.server = &http.Server{
		Handler: f, ReadTimeout: readTime, WriteTimeout: writeTime, IdleTimeout: callerIdle, MaxHeaderBytes: maxBody,
		ErrorLog:  slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
		ConnState: f.callers.change,
	}
	return f
}

func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == "/-/ready" {
		f.ready(w)
		return
	}
	c, status, complaint := f.parse(w, r)
	if c == nil {
		http.Error(w, complaint, status)
		return
	}
	f.loop.post(func() { f.loop.take(c) })
	select {
	case a := <-c.reply:
		write(w, &a)
	case <-r.Context().Done():
		f.loop.post(func() { f.loop.gone(c) })
		panic(http.ErrAbortHandler) // a plain return would be answered 200, with an empty body
	}
}

// ready tells whether requests are welcome: the loop runs, has a list to send by and is not ending.
func (f *front) ready(w http.ResponseWriter) {
	usable := 0
	f.loop.ask(func() { usable = f.loop.usable })
	if usable == 0 || f.draining.Load() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// parse reads a request whole and checks its form; of one that cannot be taken it tells why.
func (f *front) parse(w http.ResponseWriter, r *http.Request) (c *call, status int, complaint string) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	arrived := time.Now()
	if err != nil {
		if tooLong := (*http.MaxBytesError)(nil); errors.As(err, &tooLong) {
			return nil, http.StatusRequestEntityTooLarge, "the body is over 64 KiB"
		}
		return nil, http.StatusBadRequest, "the body did not come whole"
	}
	first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	name := r.Header.Get("X-Class")
	index, ok := f.classes[name]
	if !ok || first != name {
		return nil, http.StatusNotFound, "X-Class and the path name no class"
	}
	class := &f.set.Classes[index]
	key := r.Header.Get("Idempotency-Key")
	method := http.MethodPost
	if class.Effect == whinknot.Safe {
		method = http.MethodGet
	}
	switch {
	case r.Method != method:
		return nil, http.StatusMethodNotAllowed, "requests of this class are " + method
	case class.Effect == whinknot.Keyed && key == "":
		return nil, http.StatusBadRequest, "Idempotency-Key is missing"
	case r.Header.Get("X-Request-Id") == "":
		return nil, http.StatusBadRequest, "X-Request-Id is missing"
	}
	wait := class.GiveUp / 1000
	if text := r.Header.Get("X-Deadline"); text != "" {
		left, err := strconv.ParseFloat(text, 64)
		if err != nil || !(left >= 0) || math.IsInf(left, 0) {
			return nil, http.StatusBadRequest, "X-Deadline is no time"
		}
		wait = min(wait, left)
	}
	hint, err := strconv.ParseFloat(r.Header.Get("X-Cost-Hint"), 64)
	if err != nil {
		hint = 0
	}
	tenant, ok := f.tenants[r.Header.Get("X-Tenant")]
	if !ok {
		tenant = uint16(len(f.tenants)) // one without a quota
	}
	c = &call{
		event: whinknot.Event{
			Class: index, Tenant: tenant, Hint: hint / 1000,
			Due: f.loop.clock(arrived) + 1000*wait - min(float64(margin.Milliseconds()), 1000*marginPart*wait),
		},
		out:   outgoing{method: r.Method, uri: r.RequestURI, host: r.Host, header: endToEnd(r.Header), body: body},
		reply: make(chan answer, 1),
	}
	if c.out.header.Get("User-Agent") == "" {
		c.out.header.Set("User-Agent", "") // none, rather than the library's
	}
	if cookie, err := r.Cookie("obj"); err == nil {
		h := fnv.New64a()
		io.WriteString(h, cookie.Value)
		c.event.Key = h.Sum64()
	}
	return c, 0, ""
}

// write sends the final answer. The length goes first, so that a body that breaks off shows.
func write(w http.ResponseWriter, a *answer) {
	h := w.Header()
	for name, values := range a.header {
		h[name] = values
	}
	if a.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', -1, 64))
	}
	h.Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)
	w.Write(a.body)
}

// drain ends the front in order: it goes on taking requests while new connections may come, lets callers use
// the ones they have a little longer, then finishes what was taken. What is left at last is given up.
func (f *front) drain(ln net.Listener, last time.Duration) error {
	begun := time.Now()
	f.draining.Store(true)
	time.Sleep(f.accept)
	ln.Close()
	time.Sleep(time.Until(begun.Add(min(f.accept+idleTime, last))))
	timer := time.AfterFunc(time.Until(begun.Add(last)), func() { f.loop.post(f.loop.giveUpAll) })
	defer timer.Stop()
	ctx, cancel := context.WithDeadline(context.Background(), begun.Add(last+lastWrites))
	defer cancel()
	if err := f.server.Shutdown(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return nil
}

// lastWrites is the time for the answers that are given at the very end.
const lastWrites = 150 * time.Millisecond

// callers counts callers' connections. Near the limit, those between requests give way, the one quiet
// longest first: such a close loses no request, and callers that hold connections for nothing keep none out.
type callers struct {
	most  int
	mu    sync.Mutex
	open  int
	quiet map[net.Conn]time.Time // since when no request was under way
}

// spareCallers is how many below the limit quiet connections start to give way.
const spareCallers = 8

// change hears from the server what a connection does.
func (cs *callers) change(c net.Conn, state http.ConnState) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	switch state {
	case http.StateNew:
		cs.open++
		if cs.open > cs.most-spareCallers {
			cs.closeQuietest()
		}
		cs.quiet[c] = time.Now()
	case http.StateIdle:
		cs.quiet[c] = time.Now()
	case http.StateActive:
		delete(cs.quiet, c)
	case http.StateClosed:
		delete(cs.quiet, c)
		cs.open--
	}
}

func (cs *callers) closeQuietest() {
	var quietest net.Conn
	for c, since := range cs.quiet {
		if quietest == nil || since.Before(cs.quiet[quietest]) {
			quietest = c
		}
	}
	if quietest != nil {
		delete(cs.quiet, quietest)
		quietest.Close()
	}
}

// limited is a listener that accepts no more than so many connections at once.
type limited struct {
	net.Listener
	slots chan struct{}
}

func (l *limited) Accept() (net.Conn, error) {
	l.slots <- struct{}{}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: c, free: sync.OnceFunc(func() { <-l.slots })}, nil
}

type limitedConn struct {
	net.Conn
	free func()
}

func (c *limitedConn) Close() error {
	defer c.free()
	return c.Conn.Close()
}
