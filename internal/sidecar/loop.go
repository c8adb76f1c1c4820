package sidecar

import (
	"container/heap"
	"container/list"
	"context"
	"errors"
	"log/slog"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"whinknot"
	"whinknot/internal/hold"
	"whinknot/internal/level"
)

const (
	// A request must be answered this long before its client gives up, at most: it pays for the way there and
	// back and for waiting for the core. Answers as late as that are past the class's aim anyhow.
	margin     = 50 * time.Millisecond
	marginPart = 0.1 // and this share of the time that the client gives, at most
	// backstop is how long after that the loop answers what the module has left unanswered.
	backstop   = 10 * time.Millisecond
	retryAfter = time.Second // told with a refusal of the loop's own
)

// call is one request that the sidecar has taken. The loop owns it.
type call struct {
	event    whinknot.Event // as the module hears of it
	id       string         // its client's
	wait     float64        // ms from its arrival in which it must be answered
	longer   float64        // and if its body streams
	out      outgoing
	rpc      *rpc         // instead, of a gRPC call
	passage  *passage     // instead, of a request within a mesh
	reply    func(answer) // takes the one final answer
	backstop *due
	ended    bool
	passing  bool      // its answer streams: how it ends shows when its attempt closes
	mayRun   bool      // an attempt that is over may have run
	firstRun time.Time // the first such was sent then
	open     int       // attempts out
	attempts []*attempt
	failure  *answer // what a server said of a failure, last
	late     bool    // the last attempt ended with its time
	tree     *tree   // the tree of calls over several tiers that it is part of; nil for none
	// Of a pool with levels:
	who   uint64        // its caller
	came  float64       // when it arrived
	shed  *level.Shed   // the level that was in force turns it away; nil if not
	waits *list.Element // its place among those without a server; nil for none
	// Of a pool with allot:
	passed bool // let through by what all copies decide together
}

// carrier is the request as its attempts send it.
func (c *call) carrier() carrier {
	if c.rpc != nil {
		return c.rpc
	}
	if c.passage != nil {
		return c.passage
	}
	return &c.out
}

// due tells the call when it arrived.
func (c *call) due(arrived float64) {
	if c.out.upload != nil {
		c.wait, c.event.Spent = c.longer, true
	}
	c.event.Due = arrived + c.wait
}

// lessMargin is the time in ms in which a request must be answered whose client waits so many seconds.
func lessMargin(wait float64) float64 {
	return 1000*wait - min(float64(margin.Milliseconds()), 1000*marginPart*wait)
}

// due is one thing to do at a time: a timer of the module's, the backstop of a call, or a look at the levels.
type due struct {
	at    float64
	token uint64
	call  *call   // nil for a timer
	then  func()  // instead
	of    *levels // then counts while these are in force; nil for always
	place int     // in the agenda; -1 once it is out
}

// agenda is a heap of them, the next one first.
type agenda []*due

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].at < a[j].at }
func (a agenda) Swap(i, j int) {
	a[i], a[j] = a[j], a[i]
	a[i].place, a[j].place = i, j
}
func (a *agenda) Push(x any) {
	d := x.(*due)
	d.place = len(*a)
	*a = append(*a, d)
}
func (a *agenda) Pop() any {
	old := *a
	last := old[len(old)-1]
	last.place = -1
	old[len(old)-1] = nil
	*a = old[:len(old)-1]
	return last
}

// loop owns the Balancer and all state of requests: one goroutine runs it, the rest post to it.
// It never waits for a socket.
type loop struct {
	start     time.Time
	startMS   float64 // the same as Unix time
	balancer  *whinknot.Balancer
	actions   []whinknot.Action
	mail      chan func()
	ended     chan struct{}  // closed by the owner: the loop is to end
	over      chan struct{}  // closed once it has: nothing that was posted runs any more
	sending   sync.WaitGroup // attempts
	up        *upstream
	watch     func() // asks for the list to be watched
	calls     map[uint32]*call
	ids       map[string]bool // of their clients
	lastID    uint32
	agenda    agenda
	timer     *time.Timer
	armed     float64 // when the timer is due
	directory *directory
	listed    map[uint32]bool   // servers of the list, and whether they are ready
	usable    int               // those that are
	told      map[string]Target // the list as it was told, by uid
	held      hold.Set          // servers that operators hold out
	counts    *counts
	settings  *whinknot.Settings
	levels    *levels                // nil for none
	portion   *portion               // nil where all servers are sent to
	copies    int                    // that send to these servers, as members agree on; 0 for what the settings tell
	rank      int                    // this one's, with copies
	allotted  *allotted              // nil where copies do not decide together
	callerBy  atomic.Pointer[string] // the header that names a caller to them; nil without levels

	served, refused, failures uint64    // calls by their final answer
	recent                    []float32 // times in ms of operators' calls served last, a ring
	timed                     int
}

func newLoop(cfg *Config, up *upstream) (*loop, error) {
	now := time.Now()
	l := &loop{
		start: now, startMS: float64(now.UnixMicro()) / 1000,
		mail: make(chan func(), 256), ended: make(chan struct{}), over: make(chan struct{}), up: up, watch: func() {},
		calls: map[uint32]*call{}, ids: map[string]bool{}, timer: time.NewTimer(time.Hour), armed: math.Inf(1),
		directory: newDirectory(cfg.Site.Zones, cfg.Site.Kinds), listed: map[uint32]bool{}, told: map[string]Target{},
		counts: newCounts(len(cfg.Site.Settings.Classes)),
	}
	set := cfg.Site.Settings
	l.settings = &set
	set.Limits.Probes = false // this sidecar sends none
	set.Limits.ConnIdle = inMillis(up.idleLimit)
	if most := up.capacity(); set.Limits.MaxOpen == 0 || set.Limits.MaxOpen > most {
		set.Limits.MaxOpen = most // each open request may need a connection, or its part of one
	}
	var err error
	l.balancer, err = whinknot.New(set, cfg.Seed, l.now())
	return l, err
}

// post has the loop run f, unless it ends before; it waits while the loop is behind. Nobody may take from its return that
// f has run or will.
func (l *loop) post(f func()) {
	select {
	case l.mail <- f:
	case <-l.over:
	}
}

// try has the loop run f soon, unless it is so busy that its mail is full.
func (l *loop) try(f func()) {
	select {
	case l.mail <- f:
	default:
	}
}

// ask has the loop run f and waits until it has, or never will as the loop is over, and tells which. Told to end, a loop may
// still take f: only over says that it does not run.
func (l *loop) ask(f func()) bool { return l.askWithin(context.Background(), f) == nil }

// errOver is what a loop was asked too late.
var errOver = errors.New("it has ended")

// askWithin does so until ctx ends. What was asked then may be done all the same, only later: what f writes is not to be read.
func (l *loop) askWithin(ctx context.Context, f func()) error {
	done := make(chan struct{})
	select {
	case l.mail <- func() { f(); close(done) }:
	case <-l.over:
		return errOver
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-l.over:
	case <-ctx.Done():
		return ctx.Err()
	}
	select { // the last thing that it did, or never
	case <-done:
		return nil
	default:
		return errOver
	}
}

// lastWord is the answer that is given once the loop is over, or has just been: both may be so at once.
func lastWord(answered <-chan answer) (answer, bool) {
	select {
	case a := <-answered:
		return a, true
	default:
		return answer{}, false
	}
}

// The module's clock is Unix time in milliseconds, as endpoints tell their start, and runs on monotonically.
func (l *loop) now() float64 { return l.startMS + float64(time.Since(l.start).Microseconds())/1000 }
func (l *loop) clock(t time.Time) float64 {
	return l.startMS + float64(t.Sub(l.start).Microseconds())/1000
}
func (l *loop) time(ms float64) time.Time { return l.start.Add(millis(ms - l.startMS)) }

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// run is the loop's goroutine, until ended is closed.
func (l *loop) run() {
	defer close(l.over)
	for {
		select {
		case <-l.ended:
			return
		case f := <-l.mail:
			f()
		case <-l.timer.C:
			l.armed = math.Inf(1)
		}
		l.expire()
		if len(l.agenda) > 0 && l.agenda[0].at < l.armed {
			l.armed = l.agenda[0].at
			l.timer.Reset(time.Until(l.time(l.armed)))
		}
	}
}

// expire does what is due.
func (l *loop) expire() {
	for len(l.agenda) > 0 && l.agenda[0].at <= l.now() {
		d := heap.Pop(&l.agenda).(*due)
		switch {
		case d.then != nil:
			if d.of == nil || d.of == l.levels {
				d.then()
			}
		case d.call == nil:
			l.handle(&whinknot.Event{Kind: whinknot.EvTimer, Token: d.token})
		default:
			l.giveUp(d.call)
		}
	}
}

// handle gives the module an event and carries its actions out.
func (l *loop) handle(ev *whinknot.Event) {
	l.actions = l.balancer.Handle(l.now(), ev, l.actions[:0])
	for i := range l.actions {
		l.carryOut(&l.actions[i])
	}
	l.counts.avoided.Store(int64(len(l.listed) - l.usable + l.balancer.Cuts()))
}

func (l *loop) carryOut(a *whinknot.Action) {
	c := l.calls[a.Request]
	switch a.Kind {
	case whinknot.ActSend:
		if c != nil {
			l.send(c, a.Server, a.Until)
		}
	case whinknot.ActRefuse:
		if c != nil {
			l.finish(c, c.refused(a.After))
		}
	case whinknot.ActFail:
		l.finish(c, c.failed())
	case whinknot.ActCancel:
		if c != nil && int(a.Attempt) < len(c.attempts) {
			c.attempts[a.Attempt].callOff()
		}
	case whinknot.ActTimer:
		heap.Push(&l.agenda, &due{at: l.now() + a.After, token: a.Token})
	case whinknot.ActWatch:
		l.watch()
	case whinknot.ActClose:
		l.up.closeAll(a.Server)
	case whinknot.ActLog:
		slog.Info(a.Text)
	}
}

// take begins a request that has come whole.
func (l *loop) take(c *call) {
	if l.ids[c.id] {
		c.reply(answer{status: http.StatusConflict, body: []byte("a request with this X-Request-Id is open\n")})
		return
	}
	if c.id != "" {
		l.ids[c.id] = true
	}
	l.lastID++
	c.event.Kind, c.event.Request = whinknot.EvRequest, l.lastID
	l.calls[l.lastID] = c
	l.counts.pending.Add(1)
	if l.levels != nil {
		l.admit(c) // it may cut the time
	}
	l.letThrough(c)
	c.backstop = &due{at: c.event.Due + float64(backstop.Milliseconds()), call: c}
	heap.Push(&l.agenda, c.backstop)
	l.handle(&c.event)
}

// send starts an attempt; its goroutine posts the outcome.
func (l *loop) send(c *call, server uint32, until float64) {
	sent, begin := time.Now(), time.Time{}
	if l.up.grace > 0 {
		begin = sent.Add(l.up.grace)
	}
	a, e, number := newAttempt(begin), l.up.find(server), len(c.attempts)
	a.sent = sent
	c.attempts = append(c.attempts, a)
	c.open++
	l.sentFirst(c)
	if c.tree != nil {
		if !c.tree.send(a, number, time.Until(l.time(until)), c.firstRun) {
			a.final = true
			l.sending.Go(func() { // from this goroutine it could wait for itself
				l.post(func() { l.closed(c, number, server, whinknot.NotSent, nil, 0) })
			})
			return
		}
	}
	if c.out.open || c.out.bounds != nil {
		a.began = func(got *answer) {
			took := c.carrier().took(sent)
			l.post(func() { l.began(c, number, server, got, took) })
		}
	}
	if c.rpc != nil && c.rpc.stream {
		a.bound = func() { l.post(func() { l.bound(c, number, server) }) }
	}
	l.sending.Go(func() {
		outcome, got := whinknot.NotSent, (*answer)(nil)
		if e != nil {
			outcome, got = c.carrier().carry(l.up, a, e, l.time(until))
		}
		took := c.carrier().took(sent)
		l.post(func() { l.closed(c, number, server, outcome, got, took) })
	})
}

// closed hears how an attempt ended, with the final answer where it gives one.
func (l *loop) closed(c *call, number int, server uint32, o whinknot.Outcome, got *answer, took time.Duration) {
	c.open--
	if c.passing {
		c.passing = false
		end := failed
		if o == whinknot.OK {
			end = completed
		}
		l.counts.end(c.event.Class, end)
	}
	c.late = o == whinknot.Timeout
	neverRan := o == whinknot.Full || o == whinknot.ConnectFailed || o == whinknot.NotSent
	if neverRan && c.tree != nil {
		c.tree.budget.Return(c.attempts[number].handed)
	}
	if !c.mayRun && !neverRan {
		c.mayRun, c.firstRun = true, c.attempts[number].sent
	}
	if c.tree != nil && c.tree.traced {
		addr := ""
		if e := l.up.find(server); e != nil {
			addr = e.addr
		}
		c.tree.note(c.attempts[number], number, addr, o, took)
	}
	if got != nil && got.own {
		c.failure = got
	} else if got != nil {
		l.finish(c, *got)
	}
	l.handle(&whinknot.Event{
		Kind: whinknot.EvOutcome, Request: c.event.Request, Attempt: uint16(number), Server: server,
		Outcome: o, Took: inMillis(took), Done: c.ended, Spent: c.carrier().spent() || c.attempts[number].final,
	})
	l.release(c)
}

// began hears that an answer has begun whose body streams: the attempt belongs to its caller now. One that was called off
// meanwhile is over: what it had begun would break off, and the module goes on without it.
func (l *loop) began(c *call, number int, server uint32, got *answer, took time.Duration) {
	if c.ended || !c.attempts[number].claim() {
		c.attempts[number].callOff()
		return
	}
	if !c.carrier().endless() {
		l.handle(&whinknot.Event{
			Kind: whinknot.EvFirst, Request: c.event.Request, Attempt: uint16(number), Server: server,
			Took: inMillis(took),
		})
	}
	l.finish(c, *got)
}

// bound hears that a stream is with its server: it may last, and how long tells nothing.
func (l *loop) bound(c *call, number int, server uint32) {
	l.handle(&whinknot.Event{
		Kind: whinknot.EvFirst, Request: c.event.Request, Attempt: uint16(number), Server: server, Bound: true,
	})
}

// took is how long an attempt has lasted; the time that its caller took to send a streamed body is not the server's.
func (out *outgoing) took(sent time.Time) time.Duration {
	if up := out.upload; up != nil {
		select {
		case <-up.done:
			return time.Since(up.ended)
		default:
		}
	}
	return time.Since(sent)
}

// spent tells whether the request cannot be sent again.
func (out *outgoing) spent() bool { return out.upload != nil && out.upload.isClaimed() }

// endless is none of HTTP/1.1: its answers begin when their server has them.
func (out *outgoing) endless() bool { return false }

// failed is the final answer of a call that has failed: the word of a server, where there is one.
func (c *call) failed() answer {
	if c != nil && c.failure != nil {
		return *c.failure
	}
	return answer{status: statusFailed, late: c != nil && c.late, made: true}
}

// finish gives the one final answer.
func (l *loop) finish(c *call, a answer) {
	if c == nil || c.ended {
		return
	}
	c.ended = true
	l.measure(c, a.status)
	l.countPassed(c, a.status)
	if c.passing = a.rest != nil; !c.passing {
		l.counts.end(c.event.Class, resultOf(a.status))
	}
	if c.tree != nil {
		a.header.Del(outcomeHeader)
		if a.status >= 500 && a.tier == "" {
			a.tier = c.tree.outcome(c.mayRun)
			a.notRun = c.tree.inner && a.status == statusRefused && !c.mayRun && c.open == 0
		}
	}
	switch {
	case a.status == statusRefused || a.status == http.StatusTooManyRequests:
		l.refused++
	case a.status >= 500:
		l.failures++
	default:
		l.served++
		if c.out.open && !c.carrier().endless() {
			l.note(float32(l.now() - (c.event.Due - c.wait)))
		}
	}
	a.ran, a.attempts = c.mayRun || c.open > 0, len(c.attempts)
	c.reply(a)
	l.release(c)
}

const recentCalls = 512

// note keeps the time that a call took.
func (l *loop) note(ms float32) {
	if len(l.recent) < recentCalls {
		l.recent = append(l.recent, ms)
	} else {
		l.recent[l.timed%recentCalls] = ms
	}
	l.timed++
}

// release forgets a call once nothing more can be heard of it. Its body must not stay in the agenda till its time.
func (l *loop) release(c *call) {
	if !c.ended || c.open > 0 {
		return
	}
	delete(l.calls, c.event.Request)
	delete(l.ids, c.id)
	if c.backstop != nil && c.backstop.place >= 0 {
		heap.Remove(&l.agenda, c.backstop.place)
	}
}

// gone hears that the client has left: nothing more is owed, and nothing more goes out.
func (l *loop) gone(c *call) {
	if c.ended {
		l.callOff(c) // its answer may have been streaming
		return
	}
	c.ended = true
	l.measure(c, statusFailed)
	l.counts.end(c.event.Class, failed)
	l.handle(&whinknot.Event{Kind: whinknot.EvGone, Request: c.event.Request})
	l.callOff(c)
	l.release(c)
}

// callOff ends the attempts of a call that has ended, also where the module may not cancel.
func (l *loop) callOff(c *call) {
	for _, a := range c.attempts {
		a.callOff()
	}
}

// giveUp is the backstop: it answers a call that the module has left unanswered, with a refusal only
// if nothing of it can have run.
func (l *loop) giveUp(c *call) {
	if c.ended {
		return
	}
	a := c.failed()
	if !c.mayRun && c.open == 0 {
		a = answer{status: statusRefused, retryAfter: retryAfter, made: true}
	}
	l.callOff(c)
	l.finish(c, a)
	l.handle(&whinknot.Event{Kind: whinknot.EvGone, Request: c.event.Request})
}

// giveUpAll does so for every call, as the program must end now.
func (l *loop) giveUpAll() {
	for _, c := range l.calls {
		l.giveUp(c)
	}
}

// list hears what discovery tells.
func (l *loop) list(list List, kind whinknot.ListKind) {
	ev := whinknot.Event{Kind: whinknot.EvList, List: kind}
	whole := kind != whinknot.ListDelta
	if l.portion != nil {
		list = l.portion.narrow(list, whole)
		ev.Copies, ev.Rank = l.portion.copies(), l.portion.keeper.Rank+1
	} else if l.copies > 0 {
		ev.Copies, ev.Rank = l.copies, l.rank+1
	}
	before := l.listed
	if whole {
		l.listed = make(map[uint32]bool, len(list.Targets))
		l.told = make(map[string]Target, len(list.Targets))
	}
	for _, told := range list.Targets {
		if l.told[told.UID] = told; states[told.State] == whinknot.Gone {
			delete(l.told, told.UID)
		}
		t := l.overridden(told)
		e := l.directory.entry(&t)
		ev.Servers = append(ev.Servers, e)
		l.up.list(e.Server, t.Endpoint, e.Started, e.State)
		l.up.name(e.Server, t.UID)
		if e.State == whinknot.Gone {
			delete(l.listed, e.Server)
		} else {
			l.listed[e.Server] = e.State == whinknot.Ready
		}
	}
	if whole {
		for id := range before {
			if _, ok := l.listed[id]; !ok {
				l.up.list(id, "", 0, whinknot.Gone)
			}
		}
	}
	l.directory.forget(func(id uint32) bool { _, ok := l.listed[id]; return ok })
	l.usable = 0
	for _, ready := range l.listed {
		if ready {
			l.usable++
		}
	}
	l.remember()
	l.counts.members.Store(int64(len(l.listed)))
	l.counts.usable.Store(int64(l.usable))
	l.handle(&ev)
}

// setCopies has the pool go by another number of copies that send to its servers, and by this one's rank among them: its subset, the
// servers that are its own, its first room and its part of a cold server follow.
func (l *loop) setCopies(copies, rank int) {
	l.copies, l.rank = copies, rank
	if l.portion != nil {
		l.portion.keeper.Copies, l.portion.keeper.Rank = copies, rank
	}
	l.list(List{}, whinknot.ListDelta)
}

// listFailed hears that a call to discovery failed or its watch broke.
func (l *loop) listFailed() {
	l.handle(&whinknot.Event{Kind: whinknot.EvList, List: whinknot.ListFailed})
}
