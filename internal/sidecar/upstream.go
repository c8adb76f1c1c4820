package sidecar

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"whinknot"
	"whinknot/internal/budget"
	"whinknot/internal/exchange"
	"whinknot/internal/grpcfront"
	"whinknot/internal/h2"
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
	upload *upload       // what follows the body; nil for nothing
	open   bool          // it came by an operator's listener: answers of all statuses pass, and long ones stream
	bare   bool          // its answer has no body, as of HEAD
	old    bool          // its caller speaks HTTP/1.0 and knows no chunks
	bounds *bodies       // of an answer that streams
	within time.Duration // from the end of a streamed body to the answer
}

// answer is an answer for a caller, whole but for what streams.
type answer struct {
	status     int
	header     http.Header
	body       []byte
	retryAfter time.Duration
	rest       *flow            // the body goes on
	length     int64            // of a body that goes on, or that a bare answer tells; or chunked or untold
	bare       bool             // there is no body, whatever its length
	own        bool             // a server's own word of a failure, kept for when the call has failed
	tier       string           // see outcomeHeader
	notRun     bool             // the tier before is told that nothing ran
	late       bool             // it failed because its time is over
	made       bool             // by this program: a refusal or failure in its own words
	ran        bool             // when it was given, an attempt may have run or was still out
	attempts   int              // that had been made then
	rpc        *grpcfront.Reply // of a gRPC call: a server's answer
}

// endpoint is one server of the list and the idle connections to it. Its fields are guarded by upstream.mu.
type endpoint struct {
	addr    string
	uid     string // as the list names it
	started float64
	ready   bool
	idle    []*conn // the one used last is at the end
	// Of a gRPC pool:
	muxes    []*conn  // each with a mux
	dialling *muxDial // nil for none
}

// conn is a connection to an endpoint; it carries one request at a time, or with a mux many calls.
type conn struct {
	net.Conn
	reader *bufio.Reader
	home   *endpoint
	since  time.Time            // idle since then
	x      exchange.Exchange    // the one on it, or the last
	names  [carriedNames]string // of the last requests on it whose answers bear names
	named  int                  // how many there were
	mux    *h2.Conn
	// Of one with a mux, guarded by upstream.mu:
	using   int  // attempts on it
	counted bool // among the open connections
}

// carriedNames is for how many requests after it a request is not sent again on the same connection.
const carriedNames = 8

// carries notes the name of a request that the connection carries.
func (c *conn) carries(id string) {
	c.names[c.named%carriedNames] = id
	c.named++
}

// carried tells whether the connection has carried a request of a name lately: an answer to that, said once more, could not be told from
// one to the same request sent again.
func (c *conn) carried(id string) bool { return id != "" && slices.Contains(c.names[:], id) }

// upstream owns all connections to endpoints.
type upstream struct {
	dialTimeout, idleLimit time.Duration
	idleMost               time.Duration  // of the mesh, which learns the limit: the most that it grows to; 0 = not known yet
	most                   int            // connections at once
	grace                  time.Duration  // from the decision on an attempt to its first byte; 0 = any
	ledger                 *ledger        // counts the connections of all pools; nil where there is one pool
	muxes                  muxes          // of a gRPC pool; with no streams for HTTP/1.1
	running                sync.WaitGroup // connections with a mux
	written                atomic.Uint64  // attempts written whole over HTTP/1.1

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

// name notes how the list names a server.
func (u *upstream) name(id uint32, uid string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if e := u.endpoints[id]; e != nil {
		e.uid = uid
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
		c.Close()
		u.closed()
	}
	e.idle = nil
	u.retireMuxes(e)
}

// capacity is the number of requests that the connections can carry.
func (u *upstream) capacity() int { return u.most * max(u.muxes.streams, 1) }

// find returns a server's endpoint, nil if it is not listed.
func (u *upstream) find(id uint32) *endpoint {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.endpoints[id]
}

// attempt is the handle on one send of a request.
type attempt struct {
	ctx     context.Context
	cancel  context.CancelFunc
	begin   time.Time // latest time for its first byte; zero for any
	sent    time.Time
	id      string        // in traces
	context string        // of a tree, for the server; "" for none
	handed  int           // retries, to those behind
	final   bool          // the tier behind says that a further attempt is of no use; written before the attempt is closed
	began   func(*answer) // takes an answer whose body streams
	bound   func()        // is told that a call of a class of streams is with its server
	mu      sync.Mutex
	off     bool // called off
}

func newAttempt(begin time.Time) *attempt {
	a := &attempt{begin: begin, began: func(*answer) {}, bound: func() {}}
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

// carrier is a request as its attempts send it.
type carrier interface {
	// carry carries one attempt out and tells how it ended, as the module names it.
	carry(u *upstream, a *attempt, e *endpoint, until time.Time) (whinknot.Outcome, *answer)
	took(sent time.Time) time.Duration // how long an attempt has lasted, by its server's doing
	spent() bool                       // the request cannot be sent again
	endless() bool                     // how long it takes tells nothing of its server
}

// carry sends the request over HTTP/1.1.
func (out *outgoing) carry(u *upstream, a *attempt, e *endpoint, until time.Time) (whinknot.Outcome, *answer) {
	defer a.cancel()
	c, err := u.connect(a.ctx, e, until)
	if err != nil {
		if a.ctx.Err() != nil {
			return whinknot.Cancelled, nil
		}
		if u.ledger != nil && errors.Is(err, errNoRoom) {
			return whinknot.NotSent, nil // no fault of the server: another pool gives its descriptors back first
		}
		return whinknot.ConnectFailed, nil
	}
	stop := context.AfterFunc(a.ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	outcome, got, keep := u.exchange(a, c, out, until)
	if got != nil && got.rest != nil {
		outcome, keep = u.pass(a, c, got)
		got = nil // its caller has it
	}
	if !stop() || !keep {
		u.discard(c)
	} else {
		u.put(c)
	}
	return outcome, got
}

// exchange writes the request, waits for the answer and tells whether the connection can be used again.
func (u *upstream) exchange(a *attempt, c *conn, out *outgoing, until time.Time) (whinknot.Outcome, *answer, bool) {
	c.SetDeadline(until)
	var text bytes.Buffer
	text.Grow(len(out.start) + len(out.body) + 512)
	text.WriteString(out.start)
	writeHeader(&text, out.header, "X-Deadline")
	writeSeconds(&text, "X-Deadline", max(time.Until(until), 0).Seconds(), 3)
	if a.context != "" {
		text.WriteString(budget.Header + ": " + a.context + "\r\n")
	}
	switch {
	case out.upload != nil && out.upload.length == chunked:
		text.WriteString("Transfer-Encoding: chunked\r\n")
	case out.upload != nil:
		writeNumber(&text, "Content-Length", out.upload.length)
	case len(out.body) > 0 || !strings.HasPrefix(out.start, "GET "):
		writeNumber(&text, "Content-Length", int64(len(out.body)))
	}
	text.WriteString("\r\n")
	if out.upload == nil {
		text.Write(out.body)
	}
	if !a.claim() {
		c.meets(exchange.Abandoned)
		return whinknot.Cancelled, nil, c.x.Reusable()
	}
	if !a.begin.IsZero() && time.Now().After(a.begin) {
		return whinknot.ConnectFailed, nil, c.x.Reusable() // its endpoint may have been told to drain meanwhile
	}
	if up := out.upload; up != nil {
		if !up.claim() {
			return whinknot.NotSent, nil, c.x.Reusable()
		}
		c.meets(exchange.Begins)
		if err := up.send(text.Bytes(), out.body, c); up.err != nil {
			c.meets(exchange.Abandoned) // its caller's fault; what came cannot have run
			return whinknot.Cancelled, nil, false
		} else if err != nil {
			return c.broken(a, err)
		}
		if by := time.Now().Add(out.within); by.Before(until) {
			c.SetDeadline(by)
			if a.ctx.Err() != nil {
				c.meets(exchange.Abandoned)
				return whinknot.Cancelled, nil, false
			}
		}
	} else {
		c.meets(exchange.Begins)
		if _, err := c.Write(text.Bytes()); err != nil {
			return c.broken(a, err)
		}
	}
	c.meets(exchange.Written)
	u.written.Add(1)
	if out.open {
		return openAnswer(a, c, out)
	}
	return platformAnswer(a, c, out)
}

// platformAnswer reads an answer by the platform's protocol. A 200 with a long body streams from its first bytes on; what
// cannot be read whole, or not so far, may have run, whatever its head says.
func platformAnswer(a *attempt, c *conn, out *outgoing) (whinknot.Outcome, *answer, bool) {
	status, m, body, rest, err := readAnswer(c.reader)
	if err != nil {
		return c.broken(a, err)
	}
	c.meets(exchange.Owns)
	if m.length == untold && rest != nil { // its end is the connection's
		c.meets(exchange.Closes)
	}
	if rest != nil {
		c.closes(&m)
		got := &answer{status: status, length: m.length, body: body, header: endToEnd(m.header)}
		if m.length == untold {
			got.length = chunked
		}
		got.rest = newFlow(rest, a, c, out)
		return whinknot.OK, got, false
	}
	keep := c.ends(&m)
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

// openAnswer reads an answer for an operator's listener. What it says of the request is as in exchange; statuses that
// the platform's protocol does not know pass, and a long body streams once its head and first part have come.
func openAnswer(a *attempt, c *conn, out *outgoing) (whinknot.Outcome, *answer, bool) {
	status, m, err := readAnswerHead(c.reader)
	if err != nil {
		return c.broken(a, err)
	}
	c.meets(exchange.Owns)
	got := &answer{status: status, length: m.length, bare: out.bare || bodiless(status)}
	if bodiless(status) {
		got.length = untold
	}
	var rest io.Reader
	switch {
	case got.bare:
	case m.length == untold: // it may have been cut off
		err = errLength
	case m.length == chunked:
		got.body, rest, err = readFirst(newTrailed(c.reader), time.Time{})
	case m.length > maxBody:
		rest = &exactly{c.reader, m.length}
	default:
		got.body, err = readBody(c.reader, m.length)
	}
	if err != nil {
		return c.broken(a, err)
	}
	keep := false
	if rest == nil {
		keep = c.ends(&m)
	} else {
		c.closes(&m)
	}
	notRun := m.header.Get("X-Not-Run") == "1"
	word := m.header.Get(outcomeHeader)
	a.final = a.context != "" && word != ""
	got.header = endToEnd(m.header)
	if a.final && word == wordLoop && rest == nil {
		got.tier = wordLoop
		return whinknot.Cancelled, got, keep
	}
	switch {
	case notRun && (status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout):
		return whinknot.Full, nil, keep
	case status >= 500 || status == http.StatusTooManyRequests: // it may have run, whatever the status promises
		if rest != nil || status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
			return whinknot.Error, nil, keep
		}
		got.own = true
		return whinknot.Error, got, keep
	}
	if rest != nil {
		got.rest = newFlow(rest, a, c, out)
	}
	if status >= 400 && rest == nil {
		return whinknot.Cancelled, got, keep
	}
	return whinknot.OK, got, keep
}

// meets has the exchange on the connection go on.
func (c *conn) meets(e exchange.Event) { c.x = c.x.Next(e) }

// fails ends the exchange by an error: called off, out of time, or broken.
func (c *conn) fails(a *attempt, err error) {
	switch {
	case a.ctx.Err() != nil:
		c.meets(exchange.Abandoned)
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.meets(exchange.Silence)
	default:
		c.meets(exchange.Breaks)
	}
}

// broken does so, for the outcome of an attempt.
func (c *conn) broken(a *attempt, err error) (whinknot.Outcome, *answer, bool) {
	c.fails(a, err)
	return outcomeOf(c.x.Fate), nil, false
}

// closes notes whether a peer keeps the connection behind an answer.
func (c *conn) closes(m *message) {
	if !m.lasts() {
		c.meets(exchange.Closes)
	}
}

// ends notes that an answer has come whole, and tells whether the connection can be used again. Bytes behind a sound answer
// do not spoil it, but no answer read after them can be trusted.
func (c *conn) ends(m *message) bool {
	c.closes(m)
	return c.rests()
}

// rests does so where the answer's head has been heard.
func (c *conn) rests() bool {
	c.meets(exchange.Finishes)
	if c.x.Reusable() && (c.reader.Buffered() > 0 || !stillOpen(c.Conn)) {
		c.meets(exchange.Surplus)
	}
	return c.x.Reusable()
}

// outcomeOf is how the module names the end of an attempt without an answer.
func outcomeOf(f exchange.Fate) whinknot.Outcome {
	switch f {
	case exchange.NeverWritten: // whatever stopped it
		return whinknot.ConnectFailed
	case exchange.CalledOff:
		return whinknot.Cancelled
	case exchange.TooLate:
		return whinknot.Timeout
	}
	return whinknot.Reset
}

var errNoRoom = errors.New("no descriptor left for a connection")

// connect takes an idle connection that is still open, or dials.
func (u *upstream) connect(ctx context.Context, e *endpoint, until time.Time) (*conn, error) {
	for {
		c := u.take(e)
		if c == nil {
			break
		}
		if !stillOpen(c.Conn) {
			c.meets(exchange.Surplus)
		}
		if c.x.Reusable() {
			c.x = exchange.Exchange{}
			return c, nil
		}
		u.discard(c)
	}
	raw, err := u.dial(ctx, e, until)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, reader: bufio.NewReader(raw), home: e}, nil
}

// dial opens a connection and counts it, if there is room for one.
func (u *upstream) dial(ctx context.Context, e *endpoint, until time.Time) (net.Conn, error) {
	if !u.makeRoom() {
		return nil, errNoRoom
	}
	d := net.Dialer{Timeout: u.dialTimeout, Deadline: until, KeepAlive: -1}
	raw, err := d.DialContext(ctx, "tcp", e.addr)
	if err != nil {
		u.mu.Lock()
		u.closed()
		u.mu.Unlock()
		return nil, fmt.Errorf("dial: %w", err)
	}
	return raw, nil
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
	if u.open >= u.most && !u.closeOldestOfAll() {
		return false
	}
	if !u.ledger.take() && !(u.closeOldestOfAll() && u.ledger.take()) {
		return false
	}
	u.open++
	return true
}

// closeOldestOfAll closes the connection that was idle longest; false if none is.
func (u *upstream) closeOldestOfAll() bool {
	var oldest *endpoint
	for _, e := range u.endpoints {
		if len(e.idle) > 0 && (oldest == nil || e.idle[0].since.Before(oldest.idle[0].since)) {
			oldest = e
		}
	}
	if oldest != nil {
		u.closeOldest(oldest)
		return true
	}
	if c := u.idleMux(); c != nil {
		u.dropLocked(c)
		c.mux.Close()
		return true
	}
	return false
}

// resize sets another limit, and tells how many requests the connections can carry now. Idle ones over it are closed;
// others end with their requests.
func (u *upstream) resize(most int) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	for u.most = most; u.open > u.most && u.closeOldestOfAll(); {
	}
	return u.capacity()
}

// shut closes all idle connections and keeps none from now on.
func (u *upstream) shut() {
	u.mu.Lock()
	for _, e := range u.endpoints {
		e.ready = false
		u.closeIdle(e)
	}
	u.mu.Unlock()
	u.running.Wait()
}

func (u *upstream) discard(c *conn) {
	c.Close()
	u.mu.Lock()
	u.closed()
	u.mu.Unlock()
}

// closed counts one connection less.
func (u *upstream) closed() {
	u.open--
	u.ledger.give()
}

// put keeps a connection for the next request, and has idle ones looked after while there are any.
func (u *upstream) put(c *conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !c.home.ready {
		c.Close()
		u.closed()
		return
	}
	c.since = time.Now()
	c.home.idle = append(c.home.idle, c)
	u.sweepLater()
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
		for _, c := range slices.Clone(e.muxes) {
			switch {
			case c.using > 0:
			case !e.ready || now.Sub(c.since) >= u.idleLimit:
				u.dropLocked(c)
				c.mux.Close()
			case next == now || c.since.Before(next):
				next = c.since
			}
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
	u.closed()
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
