package sidecar

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"whinknot"
	"whinknot/internal/exchange"
	"whinknot/internal/wire"
)

// hop is what one exchange sends, and what it takes for the answer.
type hop struct {
	head func(left time.Duration) []byte // lines without the length and the empty line
	body []byte
	get  bool          // no length is told for an empty body
	id   string        // answers name it in X-Attempt-Id: see exchange.Belongs
	own  bool          // the peer is a program of our own
	most int64         // bytes of an answer's body
	asks time.Duration // the body follows once the server has said that it takes it, within this time; 0 for at once
}

// cross carries a hop to a server and back.
func (u *upstream) cross(a *attempt, e *endpoint, h *hop, until time.Time) (exchange.Fate, *Reply) {
	defer a.cancel()
	c, err := u.connect(a.ctx, e, until)
	for err == nil && !h.own && c.carried(h.id) {
		u.discard(c)
		c, err = u.connect(a.ctx, e, until)
	}
	if err != nil {
		return exchange.NeverWritten, nil
	}
	rested := time.Duration(0) // it was idle for so long before
	if !c.since.IsZero() {
		rested = time.Since(c.since)
	}
	stop := context.AfterFunc(a.ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	fate, got, keep := u.over(a, c, h, until)
	u.learnIdle(rested, fate)
	if !stop() || !keep {
		u.discard(c)
	} else {
		u.put(c)
	}
	return fate, got
}

const (
	idleLeast = 100 * time.Millisecond
	idleGrows = 1.02 // by each connection that was still good near the limit
)

// learnIdle learns how long connections may be idle: one that broke off after a rest was forgotten by its server, perhaps, and a
// request that may have run is the price.
func (u *upstream) learnIdle(rested time.Duration, f exchange.Fate) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.idleMost == 0 {
		u.idleMost = u.idleLimit
	}
	switch {
	case f == exchange.Broken && rested > idleLeast:
		u.idleLimit = max(min(u.idleLimit, time.Duration(idlePart*float64(rested))), idleLeast)
	case f == exchange.Whole && rested > time.Duration(idlePart*float64(u.idleLimit)):
		u.idleLimit = min(time.Duration(idleGrows*float64(u.idleLimit)), u.idleMost)
	}
}

// told takes the time that a server keeps idle connections for.
func (u *upstream) told(h http.Header) {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if s, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") && s > 0 {
			most := time.Duration(idlePart * float64(s) * float64(time.Second))
			u.mu.Lock()
			u.idleMost = min(max(u.idleMost, u.idleLimit), most)
			u.idleLimit = min(u.idleLimit, most)
			u.mu.Unlock()
		}
	}
}

// over does so on a connection, and tells whether it can be used again.
func (u *upstream) over(a *attempt, c *conn, h *hop, until time.Time) (exchange.Fate, *Reply, bool) {
	got := u.through(a, c, h, until)
	return c.x.Fate, got, c.x.Reusable()
}

// through carries a hop over a connection; its fate is the connection's then. It gives the answer of one that ended whole.
func (u *upstream) through(a *attempt, c *conn, h *hop, until time.Time) *Reply {
	c.SetDeadline(until)
	var text bytes.Buffer
	text.Write(h.head(max(time.Until(until), 0)))
	if len(h.body) > 0 || !h.get {
		writeNumber(&text, "Content-Length", int64(len(h.body)))
	}
	if h.asks > 0 {
		text.WriteString("Expect: 100-continue\r\n")
	}
	text.WriteString("\r\n")
	if !a.claim() {
		c.meets(exchange.Abandoned)
		return nil
	}
	c.meets(exchange.Begins)
	c.carries(h.id)
	if h.asks == 0 {
		if err := writeBoth(c, &text, h.body); err == nil {
			u.whole(c)
		} else if !mayHaveAnswered(a, err) {
			c.fails(a, err)
			return nil
		}
	} else {
		if _, err := c.Write(text.Bytes()); err != nil {
			c.fails(a, err)
			return nil
		}
		c.meets(exchange.Asks)
		if by := time.Now().Add(h.asks); by.Before(until) {
			c.readBy(a, by)
		}
	}
	got, err := u.hear(a, c, h, until)
	if err != nil {
		c.fails(a, err)
		return nil
	}
	return got
}

// readBy bounds what is read from now on, unless the attempt was called off.
func (c *conn) readBy(a *attempt, by time.Time) {
	if c.SetReadDeadline(by); a.ctx.Err() != nil {
		c.SetReadDeadline(time.Unix(1, 0))
	}
}

// whole notes that all of a request has left.
func (u *upstream) whole(c *conn) {
	c.meets(exchange.Written)
	u.written.Add(1)
}

// mayHaveAnswered tells whether a peer that takes no more of a request may have answered it before: its answer is still to be read then.
func mayHaveAnswered(a *attempt, err error) bool {
	return a.ctx.Err() == nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// hear reads up to the request's own final answer, and writes its body on the way if it waits for the word that it is taken. There is
// no answer where the exchange is over before.
func (u *upstream) hear(a *attempt, c *conn, h *hop, until time.Time) (*Reply, error) {
	for interims := 0; c.x.Stage != exchange.Over; {
		if _, err := c.reader.Peek(1); err != nil {
			return nil, err
		}
		writing := c.x.Stage == exchange.Writing
		r, err := u.hearOne(a, c, h, until)
		switch {
		case err != nil && writing:
			c.meets(exchange.Mumbles)
			return nil, err
		case err != nil || r != nil && r.Status >= http.StatusOK:
			return r, err
		case r == nil:
			continue
		}
		if interims++; interims > maxInterim {
			return nil, errTooLong
		}
		if r.Status == http.StatusContinue && c.x.Stage == exchange.Asking {
			c.readBy(a, until)
			c.meets(exchange.Invited)
			if _, err := c.Write(h.body); err != nil {
				return nil, err
			}
			u.whole(c)
		}
	}
	return nil, nil
}

// hearOne reads one answer, interim or final; none if it is another request's.
func (u *upstream) hearOne(a *attempt, c *conn, h *hop, until time.Time) (*Reply, error) {
	m, err := readMessage(c.reader)
	if err != nil {
		return nil, err
	}
	status, err := m.status()
	if err != nil || status < http.StatusOK {
		return &Reply{Status: status}, err
	}
	own := exchange.Belongs(h.id, m.header["X-Attempt-Id"], h.own)
	if c.x.Stage == exchange.Asking {
		c.readBy(a, until)
	}
	if own {
		c.meets(exchange.Owns)
	}
	var body []byte
	if !bodiless(status) {
		if m.length == untold {
			return nil, errLength
		}
		if body, err = readWhole(c.reader, m.length, h.most); err != nil {
			return nil, err
		}
	}
	if !own {
		c.meets(exchange.Stray)
		return nil, nil
	}
	c.ends(&m)
	u.told(m.header)
	return &Reply{Status: status, Header: endToEnd(m.header), Body: body, Doubtful: c.x.Doubtful()}, nil
}

// writeBoth writes a head and a body, together where that is cheap.
func writeBoth(c *conn, head *bytes.Buffer, body []byte) error {
	if len(body) < maxBody {
		head.Write(body)
		body = nil
	}
	_, err := c.Write(head.Bytes())
	if err == nil && len(body) > 0 {
		_, err = c.Write(body)
	}
	return err
}

// Hop is one exchange with a peer: the lines of its head, with what is left of the time, and its body.
type Hop struct {
	Head func(left time.Duration) []byte // without a length and the empty line
	Body []byte
	Bare bool   // an empty body has no length told
	ID   string // the peer's answer names it in X-Attempt-Id; what names another, or none, is no answer to this
	Own  bool   // the peer is a program of our own: its answers come in turn, and may name none
	Most int64  // bytes of the answer's body
	// Asks is how long to wait for the peer's word that it takes the body, which is sent only then: without it nothing has run. 0 for not
	// to ask.
	Asks time.Duration
}

func (h *Hop) hop() *hop {
	out := &hop{head: h.Head, body: h.Body, get: h.Bare, id: h.ID, own: h.Own, most: h.Most}
	if len(h.Body) > 0 {
		out.asks = h.Asks
	}
	return out
}

// Wharf holds the connections to one server that can change its address.
type Wharf struct{ up *upstream }

// wharfServer is the only server of a Wharf.
const wharfServer = 1

// NewWharf makes one of at most so many connections; idle ones are closed after a time.
func NewWharf(most int, idle time.Duration) *Wharf {
	l := whinknot.Limits{ConnIdle: inMillis(idle) / idlePart}
	return &Wharf{newUpstream(l, 0, most)}
}

// Moor tells the address of the server and a number of its life; connections to an earlier one are closed once idle.
func (w *Wharf) Moor(addr string, life float64) {
	w.up.list(wharfServer, addr, life, whinknot.Ready)
}

// Cross carries a hop to the server.
func (w *Wharf) Cross(ctx context.Context, h *Hop, until time.Time) (exchange.Fate, *Reply) {
	e := w.up.find(wharfServer)
	if e == nil {
		return exchange.NeverWritten, nil
	}
	a := newAttempt(time.Time{})
	stop := context.AfterFunc(ctx, a.callOff)
	defer stop()
	return w.up.cross(a, e, h.hop(), until)
}

// Close closes the idle connections.
func (w *Wharf) Close() { w.up.shut() }

// Word is what a crossing to one of a service's servers came to, for the decision module.
type Word struct {
	Outcome whinknot.Outcome
	Reply   *Reply // for the caller; nil for none
	Own     bool   // it is the server's word of a failure, used if nothing better comes
	Final   bool   // the request is not to be sent again
}

// Job is one request that a Service is to have served.
type Job struct {
	Class    uint16
	Due      time.Time // the answer is owed by then
	Attempts int       // at most; 0 for the settings' limit
	Worth    float64
	Prefer   []string // names of servers that it is to go to first, in that order
	// Cross has the request carried to a server; through is the way to a remote one.
	Cross func(a *Crossing) Word
}

// Crossing is one attempt of a job.
type Crossing struct {
	Ctx    context.Context
	Server string // its name in the list
	Addr   string
	Number int // of the attempts before
	Until  time.Time
	up     *upstream
	a      *attempt
	e      *endpoint
}

// Over carries a hop to the server.
func (x *Crossing) Over(h *Hop) (exchange.Fate, *Reply) {
	return x.up.cross(x.a, x.e, h.hop(), x.Until)
}

// passage is a request that a job's own crossing carries.
type passage struct {
	job      *Job
	attempts int
	final    bool
}

func (p *passage) carry(u *upstream, a *attempt, e *endpoint, until time.Time) (whinknot.Outcome, *answer) {
	defer a.cancel()
	u.mu.Lock()
	uid := e.uid
	u.mu.Unlock()
	n := p.attempts
	p.attempts++
	w := p.job.Cross(&Crossing{Ctx: a.ctx, Server: uid, Addr: e.addr, Number: n, Until: until, up: u, a: a, e: e})
	p.final = p.final || w.Final
	if w.Reply == nil {
		return w.Outcome, nil
	}
	got := w.Reply.answer()
	got.own = w.Own
	return w.Outcome, got
}

func (p *passage) took(sent time.Time) time.Duration { return time.Since(sent) }
func (p *passage) spent() bool                       { return p.final }
func (p *passage) endless() bool                     { return false }

// Service is a decision module with its loop, for the servers of one service.
type Service struct {
	loop *loop
	up   *upstream
}

// Berth is one server of a service.
type Berth struct {
	Name, Addr, Zone string
	Draining         bool
	Backup           bool // it gets requests only that no other can take
	Weight           float64
	Started          time.Time // its life began then; zero for long ago
}

// NewService makes one that sends by the settings, of at most so many connections, for servers in zones.
func NewService(set whinknot.Settings, zones []string, seed uint64, most int, learned *whinknot.Memory) (*Service, error) {
	s := &Service{up: newUpstream(set.Limits, 0, most)}
	var err error
	if s.loop, err = newLoop(&Config{Seed: seed, Site: wire.Site{Settings: set, Zones: zones}}, s.up); err != nil {
		return nil, fmt.Errorf("service: %w", err)
	}
	if learned != nil {
		s.loop.balancer.Import(*learned)
	}
	go s.loop.run()
	return s, nil
}

// Servers tells all servers; copies and rank are of those that send to them.
func (s *Service) Servers(berths []Berth, copies, rank int) {
	list := List{All: true}
	for _, b := range berths {
		t := Target{UID: b.Name, Endpoint: b.Addr, Zone: b.Zone, State: "Ready", Weight: b.Weight, Backup: b.Backup}
		if b.Draining {
			t.State = "Terminating"
		}
		if !b.Started.IsZero() {
			t.BootMS = float64(b.Started.UnixMicro()) / 1000
		}
		list.Targets = append(list.Targets, t)
	}
	s.loop.post(func() {
		s.loop.copies, s.loop.rank = copies, rank
		s.loop.list(list, whinknot.ListFull)
	})
}

// Do has a job served and returns the one final answer; ok is false if ctx ended before.
func (s *Service) Do(ctx context.Context, job *Job) (r Reply, ok bool) {
	answered := make(chan answer, 1)
	c := &call{passage: &passage{job: job}, reply: func(a answer) { answered <- a }}
	c.out.open = true
	now := time.Now()
	c.wait = inMillis(job.Due.Sub(now))
	c.event = whinknot.Event{Class: job.Class, Attempts: job.Attempts, Worth: job.Worth}
	c.due(s.loop.clock(now))
	s.loop.post(func() {
		for _, name := range job.Prefer {
			c.event.Prefer = append(c.event.Prefer, s.loop.directory.id(name))
		}
		s.loop.take(c)
	})
	select {
	case a := <-answered:
		return *replyOf(&a), true
	case <-ctx.Done():
		s.loop.post(func() { s.loop.gone(c) })
		return Reply{}, false
	case <-s.loop.over:
		a, ok := lastWord(answered)
		return *replyOf(&a), ok
	}
}

func replyOf(a *answer) *Reply {
	return &Reply{Status: a.status, Header: a.header, Body: a.body, RetryAfter: a.retryAfter}
}

// Learned is what the service has learned of its servers.
func (s *Service) Learned() (m whinknot.Memory) {
	s.loop.ask(func() { m = s.loop.balancer.Export() })
	return m
}

// GiveUp gives every request of the service its final answer at once: a refusal to what has not run and never will.
func (s *Service) GiveUp() { s.loop.ask(s.loop.giveUpAll) }

// Retire ends the service once it has no request left, at a time, or with ctx; it returns then.
func (s *Service) Retire(ctx context.Context, by time.Time) {
	done := make(chan struct{})
	var look func()
	look = func() {
		if len(s.loop.calls) == 0 || time.Now().After(by) || ctx.Err() != nil {
			s.loop.giveUpAll()
			close(done)
			return
		}
		time.AfterFunc(retirePoll, func() { s.loop.post(look) })
	}
	s.loop.post(look)
	<-done
	close(s.loop.ended)
	<-s.loop.over
	s.loop.sending.Wait()
	s.up.shut()
	slog.Debug("service ended")
}

const retirePoll = 50 * time.Millisecond

// WriteLine adds a header line to a head, which is kept to one line whatever it holds.
func WriteLine(b *bytes.Buffer, name, value string) {
	writeHeader(b, http.Header{name: {value}}, "")
}

// WriteLines adds headers to a head.
func WriteLines(b *bytes.Buffer, h http.Header) { writeHeader(b, h, "") }

// Deadline reads a header that tells how many milliseconds are left; ok is false where that is no time.
func Deadline(h http.Header, name string) (left time.Duration, told, ok bool) {
	text := h.Get(name)
	if text == "" {
		return 0, false, true
	}
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || !(ms > 0) || ms > 1e9 {
		return 0, true, false
	}
	return millis(ms), true, true
}
