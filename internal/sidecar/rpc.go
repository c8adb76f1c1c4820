package sidecar

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/net/http2"

	"whinknot"
	"whinknot/internal/budget"
	"whinknot/internal/grpcfront"
	"whinknot/internal/h2"
)

// The names of package budget's header and of outcomeHeader in metadata.
var contextName, outcomeName = strings.ToLower(budget.Header), strings.ToLower(outcomeHeader)

const (
	headHold = 100 * time.Millisecond // a head without a message is held so long, for an error behind it
)

// rpc is a gRPC call as its attempts send it.
type rpc struct {
	head   []h2.Field // all but grpc-timeout
	body   [][]byte
	rest   *grpcfront.Upload // the request goes on; nil for nothing
	once   bool              // see grpcfront.Request
	stream bool              // of a class of streams
	end    time.Time         // of the call, where the time until its answer is not bounded
	total  time.Duration     // of an answer that streams
	pause  time.Duration     // of its caller
	mark   string            // see operator.Pool.NotRun

	mu      sync.Mutex
	claimed bool
}

// claim gives a request that may be sent once to an attempt.
func (r *rpc) claim() bool {
	if r.rest == nil && !r.once {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.claimed {
		return false
	}
	r.claimed = true
	return true
}

func (r *rpc) spent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.claimed
}

// endless tells whether how long it takes is the caller's doing as much as the server's.
func (r *rpc) endless() bool { return r.stream || r.rest != nil }

func (r *rpc) took(sent time.Time) time.Duration { return time.Since(sent) }

// carry sends the call as one stream to a server and waits for its answer.
func (r *rpc) carry(u *upstream, a *attempt, e *endpoint, until time.Time) (whinknot.Outcome, *answer) {
	defer a.cancel()
	if r.endless() {
		until = r.end
	}
	sent := time.Now()
	head := append(slices.Clip(r.head), grpcfront.Timeout(time.Until(until)))
	if a.context != "" {
		head = append(head, h2.Field{Name: contextName, Value: a.context})
	}
	s, c, err := u.begin(a.ctx, e, until, &stream{
		head: head, body: r.body, end: r.rest == nil, notAfter: a.begin,
		claim: func() bool { return a.claim() && r.claim() },
	})
	switch {
	case err == nil:
	case a.ctx.Err() != nil:
		return whinknot.Cancelled, nil
	case errors.Is(err, errNoRoom), errors.Is(err, errNotClaimed):
		return whinknot.NotSent, nil
	case errors.Is(err, errNoStream):
		return whinknot.Full, nil
	default:
		return whinknot.ConnectFailed, nil
	}
	a.bound()
	defer u.streamEnded(c)
	defer s.Reset(http2.ErrCodeCancel) // nothing, if it is over
	stop := context.AfterFunc(a.ctx, func() { s.Reset(http2.ErrCodeCancel) })
	defer stop()
	if r.rest != nil {
		var pumping sync.WaitGroup
		pumping.Go(func() { r.pump(a, s) })
		defer pumping.Wait()
		defer a.cancel()
	}
	ctx, cancel := context.WithDeadline(a.ctx, until)
	defer cancel()
	got, err := r.read(ctx, s)
	if err != nil {
		return r.broken(a, s, c, err, sent)
	}
	if got.Rest != nil {
		return r.pass(a, got)
	}
	if word := h2.Get(got.Head, outcomeName) + h2.Get(got.Trailers, outcomeName); a.context != "" && word != "" {
		if a.final = true; word == wordLoop && got.Trailers == nil {
			return whinknot.Cancelled, &answer{status: statusLoop, rpc: got, tier: wordLoop}
		}
	}
	return r.judge(got)
}

// pump sends a request on as it comes.
func (r *rpc) pump(a *attempt, s *h2.Stream) {
	for {
		chunk, err := r.rest.Recv(a.ctx)
		if err == io.EOF {
			s.SendEnd(nil)
			return
		}
		if err != nil { // the caller has left, or sends what is none
			s.Reset(http2.ErrCodeCancel)
			return
		}
		if s.Send(a.ctx, chunk) != nil {
			return // the answer tells
		}
	}
}

// read takes an answer: whole, if it is short and comes in one, else up to its first message. A head alone is held for a
// moment, as an error behind it could still be tried again elsewhere.
func (r *rpc) read(ctx context.Context, s *h2.Stream) (*grpcfront.Reply, error) {
	got := &grpcfront.Reply{}
	for got.Head == nil {
		fields, end, err := s.Head(ctx)
		switch {
		case err != nil:
			return nil, err
		case h2.Get(fields, ":status")[0] == '1':
			got.Interim = append(got.Interim, fields)
		case end:
			got.Head = fields
			return got, nil
		default:
			got.Head = fields
		}
	}
	var messages grpcfront.Messages
	for bytes := 0; ; {
		if !s.Ended() && (r.endless() || bytes > maxBody || messages.Over > 0) {
			break
		}
		on, cancel := ctx, func() {}
		if bytes == 0 && !s.Ready() {
			on, cancel = context.WithTimeoutCause(ctx, headHold, errHeld)
		}
		chunk, err := s.Recv(on)
		cancel()
		if err == io.EOF {
			if got.Trailers = s.Trailers(); got.Trailers == nil {
				return nil, errNoStatus
			}
			return got, nil
		}
		if err != nil && errors.Is(err, errHeld) && ctx.Err() == nil {
			break
		}
		if err != nil {
			return nil, err
		}
		if messages.Add(chunk) != nil {
			return nil, errNoStatus
		}
		got.Body = append(got.Body, chunk)
		bytes += len(chunk)
	}
	got.Rest = s
	return got, nil
}

var (
	errHeld     = errors.New("the head was held for long enough")
	errNoStatus = errors.New("the answer ended without a status")
)

// judge names the outcome of an answer that has come whole.
func (r *rpc) judge(got *grpcfront.Reply) (whinknot.Outcome, *answer) {
	last := got.Trailers
	if last == nil {
		last = got.Head
		if grpcfront.Marked(got.Head, r.mark) {
			return whinknot.Full, nil
		}
	}
	status, fate, ok := grpcfront.Judge(got.Head, last)
	if !ok {
		return whinknot.Reset, nil
	}
	if h2.Get(last, "grpc-status") == "" { // no gRPC at all: its caller could not read it
		got = &grpcfront.Reply{Status: status, Message: "the server answered with the HTTP status " + h2.Get(got.Head, ":status")}
		if fate == grpcfront.Unspoken {
			got.Status = statusFailed
		}
	} else if fate != grpcfront.Served {
		grpcfront.Failure(got, fate)
	}
	a := &answer{status: status, rpc: got}
	switch {
	case fate != grpcfront.Served:
		a.own, a.status = true, max(status, http.StatusInternalServerError) // counted as a failure
		if fate == grpcfront.Unspoken {
			a.status = statusFailed
		}
		return whinknot.Error, a
	case status != http.StatusOK || r.rest != nil && !r.stream: // how long its caller took is not the server's doing
		return whinknot.Cancelled, a
	}
	return whinknot.OK, a
}

// pass hands an answer that goes on to the loop and waits until its caller has it, or will not.
func (r *rpc) pass(a *attempt, got *grpcfront.Reply) (whinknot.Outcome, *answer) {
	done := make(chan error, 1)
	got.Ended = func(err error) { done <- err }
	got.Pause = r.pause
	if got.End = r.end; !r.endless() {
		got.End = time.Now().Add(r.total)
	}
	a.began(&answer{status: http.StatusOK, rpc: got})
	var err error
	select {
	case err = <-done:
	case <-a.ctx.Done():
		return whinknot.Cancelled, nil
	}
	switch {
	case err == nil && (r.stream || r.rest == nil):
		return whinknot.OK, nil
	case err == nil, errors.Is(err, grpcfront.ErrCaller), a.ctx.Err() != nil:
		return whinknot.Cancelled, nil
	case errors.Is(err, grpcfront.ErrLate):
		return whinknot.Timeout, nil
	}
	return whinknot.Reset, nil
}

// broken names the outcome of a stream that broke. It is exact where the protocol tells: a refused stream, one beyond the
// last that a GOAWAY names, one whose head did not go out, and a call held here of which the end did not.
func (r *rpc) broken(a *attempt, s *h2.Stream, c *conn, err error, sent time.Time) (whinknot.Outcome, *answer) {
	s.Reset(http2.ErrCodeCancel) // nothing goes out from now on, so what has gone out is known
	began, whole := s.Progress()
	if r.rest != nil {
		if fault := r.rest.Fault(); fault != nil {
			return whinknot.Cancelled, &answer{status: fault.Status, rpc: fault}
		}
	}
	switch {
	case a.ctx.Err() != nil:
		return whinknot.Cancelled, nil
	case errors.Is(err, h2.ErrRefused):
		return whinknot.Full, nil
	case errors.Is(err, h2.ErrGoAway):
		return whinknot.NotSent, nil
	case !began, !whole && !r.endless():
		return whinknot.ConnectFailed, nil
	case errors.Is(err, context.DeadlineExceeded):
		c.mux.Check(sent) // nothing at all since then: is it still there?
		return whinknot.Timeout, nil
	}
	return whinknot.Reset, nil
}

// rpcDoor is the side of an instance that a gRPC front asks.
type rpcDoor struct {
	instance *Instance
	listener *listener
}

// Route finds the pool and class of a call by the routes of the generation in force.
func (d *rpcDoor) Route(c *grpcfront.Call) (grpcfront.Plan, *grpcfront.Reply) {
	g := d.instance.acquire(d.listener)
	plan, reply := g.doors[d.listener.key].takeRPC(c)
	if reply != nil {
		d.instance.release(g)
		return nil, reply
	}
	plan.done = func() { d.instance.release(g) }
	return plan, nil
}

// Serving tells whether calls are welcome.
func (d *rpcDoor) Serving() bool { return !d.instance.away.Load() }

// rpcPlan is a call that has its pool and class.
type rpcPlan struct {
	pool    *pool
	call    *call
	wait    time.Duration
	most    int64
	arrived time.Time
	told    bool // the caller has told its own deadline
	done    func()
}

func (p *rpcPlan) Stream() bool        { return p.call.rpc.stream }
func (p *rpcPlan) Wait() time.Duration { return p.wait - time.Since(p.arrived) }
func (p *rpcPlan) Most() int64         { return p.most }
func (p *rpcPlan) Done()               { p.done() }

// takeRPC turns the head of a gRPC call into a call of a pool.
func (d *door) takeRPC(c *grpcfront.Call) (*rpcPlan, *grpcfront.Reply) {
	bad := func(status int, why string) (*rpcPlan, *grpcfront.Reply) {
		return nil, &grpcfront.Reply{Status: status, Message: why}
	}
	for _, name := range once {
		if len(c.Header[name]) > 1 {
			return bad(http.StatusBadRequest, strings.ToLower(name)+" comes twice")
		}
	}
	req, why := routeRequest(c.Method, c.Path, c.Authority, c.Header)
	if why != "" {
		return bad(http.StatusBadRequest, why)
	}
	rule := d.calls.Match(req)
	switch {
	case rule == nil:
		return bad(http.StatusNotFound, "no route")
	case rule.Answer != nil:
		return bad(rule.Answer.Status, rule.Answer.Body)
	}
	p := d.pools[rule.Pool]
	class := p.classes[rule.Class]
	own := &p.spec.Classes[class]
	if why := p.badKey(class, c.Header, "calls"); why != "" {
		return bad(http.StatusBadRequest, why)
	}
	wait, longer, total := p.times(class, c.Timeout.Seconds(), c.Told)
	if own.Stream {
		wait = longer
	}
	now := time.Now()
	var joined *tree
	if d.tiers != nil {
		t, no := d.tiers.enter(c.Header[budget.Header], d, rule, &p.set.Classes[class])
		if no != nil {
			r := &grpcfront.Reply{Status: no.status, Message: no.text}
			if no.word != "" {
				r.More = []h2.Field{{Name: outcomeName, Value: no.word}}
			}
			return nil, r
		}
		joined = t
	}
	k := &call{event: describe(class, c.Header, p.tenants), wait: lessMargin(wait), longer: lessMargin(longer)}
	k.out.open = true
	k.who = p.callerOf(c.Header, func() string { return c.Remote })
	if joined != nil {
		joined.tell(k, p)
	}
	k.rpc = &rpc{stream: own.Stream, total: total, pause: p.bounds.idle, mark: p.spec.NotRun, end: now.Add(millis(k.longer))}
	k.rpc.head = []h2.Field{
		{Name: ":method", Value: http.MethodPost}, {Name: ":scheme", Value: "http"}, {Name: ":path", Value: rule.Rewritten(req.Path)},
		{Name: ":authority", Value: c.Authority}, {Name: "te", Value: "trailers"},
	}
	forwarded := false
	for _, f := range c.Metadata {
		if joined != nil && f.Name == contextName {
			continue
		}
		if f.Name == "x-forwarded-for" && !forwarded {
			f.Value, forwarded = f.Value+", "+c.Remote, true
		}
		k.rpc.head = append(k.rpc.head, f)
	}
	if !forwarded {
		k.rpc.head = append(k.rpc.head, h2.Field{Name: "x-forwarded-for", Value: c.Remote})
	}
	if c.Header.Get("X-Request-Id") == "" {
		k.rpc.head = append(k.rpc.head, h2.Field{Name: "x-request-id", Value: newID()})
	}
	return &rpcPlan{pool: p, call: k, wait: millis(k.wait), most: d.most, arrived: now, told: c.Told}, nil
}

// Do has the pool's loop decide on the call.
func (p *rpcPlan) Do(ctx context.Context, r *grpcfront.Request) *grpcfront.Reply {
	k, loop := p.call, p.pool.loop
	k.rpc.body, k.rpc.rest, k.rpc.once = r.Body, r.Rest, r.Once
	if r.Rest != nil {
		k.wait = k.longer
	}
	k.event.Spent = r.Rest != nil || r.Once
	answered := make(chan answer, 1)
	k.reply = func(a answer) { answered <- a }
	k.event.Due = loop.clock(p.arrived) + k.wait
	loop.post(func() { loop.take(k) })
	ended := ctx.Done()
	for {
		select {
		case a := <-answered:
			return p.reply(&a)
		case <-loop.over:
			if a, ok := lastWord(answered); ok {
				return p.reply(&a)
			}
			return nil
		case <-ended:
			if errors.Is(context.Cause(ctx), grpcfront.ErrEnding) {
				ended = nil // the loop gives it up
				continue
			}
			loop.post(func() { loop.gone(k) })
			return nil
		}
	}
}

// reply is the answer to this call as its caller is told it.
func (p *rpcPlan) reply(a *answer) *grpcfront.Reply {
	r := a.reply()
	if a.status == statusRefused && p.told && time.Since(p.arrived) >= millis(p.call.wait) {
		r.Status = http.StatusGatewayTimeout // the caller's own time is over, whatever else
	}
	return r
}

// reply is the answer as a gRPC caller is told it.
func (a *answer) reply() *grpcfront.Reply {
	if a.rpc != nil {
		return a.rpc
	}
	r := &grpcfront.Reply{Status: a.status, Message: strings.TrimSuffix(string(a.body), "\n"), RetryAfter: a.retryAfter}
	if a.tier != "" {
		r.More = append(r.More, h2.Field{Name: outcomeName, Value: a.tier})
	}
	if a.notRun {
		r.More = append(r.More, h2.Field{Name: "x-not-run", Value: "1"})
	}
	if a.late && a.status == statusFailed {
		r.Status = http.StatusGatewayTimeout
	}
	return r
}
