package pilot

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"whinknot/internal/beacon"
	"whinknot/internal/chart"
	"whinknot/internal/exchange"
	"whinknot/internal/keeper"
	"whinknot/internal/lamp"
	"whinknot/internal/muster"
	"whinknot/internal/orders"
	"whinknot/internal/pier"
	"whinknot/internal/sidecar"
)

// The headers that pilots say things to each other in. None of them comes from a client or goes to an endpoint.
const (
	wordHeader     = "Pilot-Word"
	patienceHeader = "Pilot-Patience" // ms that a request may wait at the gate
	rankHeader     = "Pilot-Rank"
	onceHeader     = "Pilot-Once"   // it may run once only
	staysHeader    = "Pilot-Stays"  // it waits at a cold endpoint too
	asksHeader     = "Pilot-Asks"   // its body follows once the gate has let it in
	behindHeader   = "Pilot-Behind" // of an answer: a call of the endpoint's own may be what failed
	ownPrefix      = "Pilot-"

	idHeader       = "X-Attempt-Id"
	deadlineHeader = "X-Deadline-Remaining"
	targetHeader   = "X-Target-Instance"
	callerHeader   = "X-Caller-Service"
	sealHeader     = "X-Server-Seal"
	notRunHeader   = "X-Not-Executed"
	lifeHeader     = "X-Responding-Instance"
	coldHeader     = "X-Warmup-Remaining"
)

// The words of a gate, with what is certain. A refusal of the gate is "turned " and the verdict.
const (
	wordAnswer = "answer" // this is the endpoint's answer
	wordNever  = "never"  // nothing of it reached the endpoint
	wordLost   = "lost"   // it was handed to the endpoint, and there was no sound answer
	wordLate   = "late"   // it was handed to the endpoint, and there was no answer in time
	wordTurned = "turned "
)

const (
	mostBody      = 64 << 20
	probeTime     = time.Second
	probeEvery    = 300 * time.Millisecond // while the endpoint does not answer
	wharfIdle     = 8 * time.Second
	localLatency  = 5 * time.Millisecond
	unknownWarmup = time.Minute // above it a figure is taken for milliseconds
)

// quay is the endpoint beside this pilot: its gate and the connections to it.
type quay struct {
	p     *Pilot
	wharf *sidecar.Wharf

	mu      sync.Mutex
	gate    *pier.Gate
	waiting map[*pier.Ticket]chan pier.Verdict
	timer   *time.Timer
	probe   string // path
	seqs    map[string]uint64
	fails   int // crossings in a row that did not reach the endpoint
	probing bool
	probed  time.Time
	lives   float64 // number of lives met
	target  string
	changed bool // of the last evacuation
	out     bool // its endpoint is removed
}

func newQuay(p *Pilot) *quay {
	q := &quay{p: p, waiting: map[*pier.Ticket]chan pier.Verdict{}, seqs: map[string]uint64{}}
	q.gate = pier.New(q.bounds(nil))
	q.wharf = sidecar.NewWharf(p.s.Descriptors/4, wharfIdle)
	q.timer = time.AfterFunc(time.Hour, q.decide)
	return q
}

// bounds are what the gate goes by.
func (q *quay) bounds(c *chart.Chart) pier.Bounds {
	b := &q.p.s.Bounds
	out := pier.Bounds{Drain: b.Drain, WarmupExcess: b.WarmupExcess, WarmupSlack: b.WarmupSlack}
	if c != nil {
		if s := c.Services[q.p.service()]; s != nil {
			out.WarmupRate, out.MaxConns = s.WarmupRate, s.MaxConns
		}
	}
	return out
}

// ordered takes what operators have ordered.
func (q *quay) ordered(order keeper.Evacuation, c *chart.Chart) {
	q.mu.Lock()
	q.gate.Bound(q.bounds(c))
	q.gate.Evacuate(order.Stamp.Number, order.On)
	evacuated := q.gate.Evacuated()
	if c != nil {
		if s := c.Services[q.p.service()]; s != nil {
			q.probe = s.Probe
		}
	}
	if q.changed && !evacuated {
		q.probed = time.Time{}
	}
	q.changed = evacuated
	state, _ := q.gate.State()
	q.mu.Unlock()
	q.decide()
	if state == pier.Unknown || !evacuated {
		q.ask()
	}
}

// removal takes that the endpoint was taken back after a removal: it is tried as if it were cold.
func (q *quay) removal(room *lamp.Chartroom) {
	q.mu.Lock()
	defer q.mu.Unlock()
	_, life := q.gate.State()
	r, ok := room.Removal(life)
	if ok && r.Back && q.out {
		q.gate.Doubt()
	}
	q.out = ok && !r.Back
}

// beat takes what the endpoint says of itself. It is acknowledged once the gate goes by it.
func (q *quay) beat(h *orders.Heartbeat) {
	e := h.Endpoint
	q.mu.Lock()
	if last, ok := q.seqs[e.ID]; ok && h.Sequence < last {
		q.mu.Unlock()
		return // a late one
	}
	if len(q.seqs) > 64 {
		clear(q.seqs)
	}
	q.seqs[e.ID] = h.Sequence
	state := pier.Serving
	if e.State == beacon.Draining {
		state = pier.Draining
	}
	changed := q.enter(e.ID, state)
	if _, life := q.gate.State(); life == e.ID {
		was := q.gate.ColdLeft(time.Now())
		changed = changed || e.Cold > was+lookEvery || q.gate.Capacity() != e.Capacity
		q.gate.Said(time.Now(), e.Capacity, e.Cold)
		q.target = e.Target
	}
	q.mu.Unlock()
	q.decide()
	if changed {
		q.publish()
	}
}

// enter changes the state of a life, and moors at a new one. q.mu is held.
func (q *quay) enter(life string, to pier.State) bool {
	_, before := q.gate.State()
	changed := q.gate.Enter(time.Now(), life, to)
	if _, now := q.gate.State(); now != before {
		q.lives++
		q.wharf.Moor(q.p.s.LocalApp, q.lives)
		q.fails = 0
	}
	if changed {
		q.p.log.Info().Str("endpoint", life).Str("state", to.String()).Msg("endpoint")
	}
	return changed
}

// gone takes that a life has ended.
func (q *quay) gone(id string) {
	q.mu.Lock()
	changed := q.enter(id, pier.Gone)
	q.mu.Unlock()
	q.decide()
	if changed {
		q.publish()
	}
}

// publish has the mesh told what is known of the endpoint. It runs in the pilot's loop.
func (q *quay) publish() {
	q.mu.Lock()
	state, life := q.gate.State()
	e := &beacon.Endpoint{ID: life, Target: q.target, Capacity: q.gate.Capacity(), Cold: q.gate.ColdLeft(time.Now())}
	q.mu.Unlock()
	switch state {
	case pier.Unknown:
		e = nil
	case pier.Serving:
		e.State = beacon.Serving
	case pier.Draining:
		e.State = beacon.Draining
	default:
		e.State = beacon.Gone
	}
	q.p.sheet.Endpoint = e
	q.p.say()
}

// guess takes from what others tell how many slots the endpoint is likely to have: what this pilot's process before told of the same
// life, or else the fewest that an endpoint of its service has. It runs in the pilot's loop.
func (q *quay) guess(nodes []lamp.Node) {
	q.mu.Lock()
	defer q.mu.Unlock()
	_, life := q.gate.State()
	few := 0
	for i := range nodes {
		e := nodes[i].Endpoint
		switch {
		case e == nil || e.Capacity <= 0:
		case e.ID == life:
			q.gate.Guess(e.Capacity)
			return
		case e.Target == q.p.service() && (few == 0 || e.Capacity < few):
			few = e.Capacity
		}
	}
	if few > 0 {
		q.gate.Guess(few)
	}
}

// leave says that this pilot ends.
func (q *quay) leave(from time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.gate.Leave(from)
}

// decide tells those that wait what became of them.
func (q *quay) decide() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.decideLocked()
}

func (q *quay) decideLocked() {
	out, at := q.gate.Next(time.Now())
	for _, d := range out {
		q.waiting[d.Ticket] <- d.Verdict
		delete(q.waiting, d.Ticket)
	}
	if !at.IsZero() {
		q.timer.Reset(time.Until(at))
	}
}

// look asks an endpoint that is not known, or does not answer, how it is.
func (q *quay) look() {
	q.mu.Lock()
	state, _ := q.gate.State()
	warm := q.gate.ColdLeft(time.Now()) == 0
	q.mu.Unlock()
	if state == pier.Unknown || state == pier.Down {
		q.ask()
	}
	if e := q.p.sheet.Endpoint; e != nil && e.Cold > 0 && warm {
		q.publish() // who comes later is not to take it for cold
	}
}

// ask probes the endpoint, if it has not just been probed.
func (q *quay) ask() {
	q.mu.Lock()
	ok := q.probe != "" && !q.probing && time.Since(q.probed) > probeEvery
	path := q.probe
	if ok {
		q.probing, q.probed = true, time.Now()
		if q.lives == 0 {
			q.wharf.Moor(q.p.s.LocalApp, 0)
		}
	}
	q.mu.Unlock()
	if !ok {
		return
	}
	q.p.running.Go(func() {
		head := func(time.Duration) []byte {
			return []byte("GET " + path + " HTTP/1.1\r\nHost: " + q.p.s.LocalApp + "\r\n")
		}
		fate, r := q.wharf.Cross(q.p.ctx, &sidecar.Hop{Head: head, Bare: true, Most: 64 << 10}, time.Now().Add(probeTime))
		q.p.loop.Post(func() { q.health(fate, r) })
	})
}

// health takes the answer to a probe.
func (q *quay) health(fate exchange.Fate, r *sidecar.Reply) {
	q.mu.Lock()
	q.probing = false
	state, life := q.gate.State()
	changed := false
	switch {
	case fate == exchange.NeverWritten:
		if state == pier.Serving {
			changed = q.enter(life, pier.Down)
		}
	case fate == exchange.Whole && r.Header.Get(lifeHeader) != "":
		id := r.Header.Get(lifeHeader)
		if r.Status == http.StatusOK && (state == pier.Unknown || state == pier.Down || id != life) {
			changed = q.enter(id, pier.Serving)
		}
		if _, now := q.gate.State(); now == id {
			if q.target == "" {
				q.target = q.p.service()
			}
			cold, told := coldLeft(r.Header)
			if told {
				changed = changed || cold > q.gate.ColdLeft(time.Now())+lookEvery
				q.gate.Said(time.Now(), q.gate.Capacity(), cold)
			}
		}
		q.fails = 0
	}
	q.mu.Unlock()
	q.decide()
	if changed {
		q.publish()
	}
}

// coldLeft reads how long an endpoint is cold. What would be over a minute as seconds is taken for milliseconds.
func coldLeft(h http.Header) (time.Duration, bool) {
	n, err := strconv.ParseFloat(h.Get(coldHeader), 64)
	if err != nil || !(n >= 0) || n > 1e9 {
		return 0, err == nil
	}
	if d := time.Duration(n * float64(time.Second)); d <= unknownWarmup {
		return d, true
	}
	return time.Duration(n * float64(time.Millisecond)), true
}

// Open sees the head of a request that another pilot sends. One with a large body asks at the gate first.
func (q *quay) Open(e *sidecar.Errand) (int64, *sidecar.Reply) {
	most, no := q.p.bulk.take(e, mostBody)
	if no != nil {
		no.Header = http.Header{wordHeader: {wordTurned + pier.Full.String()}}
		return most, no
	}
	if e.Header.Get(asksHeader) == "" {
		return most, nil
	}
	p, ok := passengerOf(e)
	if !ok {
		return most, nil // Serve says so
	}
	t, word := q.admit(q.p.ctx, p)
	if t == nil {
		r := worded(http.StatusServiceUnavailable, word, "")
		r.Unread = true
		return 0, &r
	}
	release := e.Release
	e.Release = func() {
		q.leaves(t)
		if release != nil {
			release()
		}
	}
	e.Admitted = t
	return most, nil
}

// passengerOf reads what another pilot says of a request; ok is false if it does not tell the time left.
func passengerOf(e *sidecar.Errand) (p *passenger, ok bool) {
	h := e.Header
	left, told, ok := sidecar.Deadline(h, deadlineHeader)
	if !told || !ok {
		return nil, false
	}
	p = &passenger{
		life: h.Get(targetHeader), once: h.Get(onceHeader) != "", stays: h.Get(staysHeader) != "", until: e.Came.Add(left - localLatency),
		id: h.Get(idHeader), body: e.Body, bare: e.Method == http.MethodGet,
	}
	p.patience, _, _ = sidecar.Deadline(h, patienceHeader)
	p.rank, _ = strconv.Atoi(h.Get(rankHeader))
	return p, true
}

// Serve takes a request of another pilot to the endpoint.
func (q *quay) Serve(ctx context.Context, e *sidecar.Errand) sidecar.Reply {
	p, ok := passengerOf(e)
	if !ok {
		return worded(http.StatusBadRequest, wordNever, "the time left is not told")
	}
	h := e.Header
	h.Del(deadlineHeader)
	stripOwn(h)
	p.head = func(b *bytes.Buffer) {
		b.WriteString(e.Method + " " + e.URI + " HTTP/1.1\r\nHost: " + e.Host + "\r\n")
		sidecar.WriteLines(b, h)
	}
	var word string
	var r *sidecar.Reply
	if t, ok := e.Admitted.(*pier.Ticket); ok {
		if word = q.goes(t); word == "" {
			word, r = q.carry(ctx, p, t)
		}
	} else {
		word, r = q.take(ctx, p)
	}
	if r == nil {
		return worded(http.StatusServiceUnavailable, word, "")
	}
	r.Header.Set(wordHeader, word)
	return *r
}

// goes tells whether a request that was let in when its body had not come may go to the endpoint now; the word if not.
func (q *quay) goes(t *pier.Ticket) (word string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if v := q.gate.Goes(time.Now(), t); v != pier.Pass {
		q.decideLocked()
		return wordTurned + v.String()
	}
	return ""
}

// leaves has a request leave the gate, if it has not.
func (q *quay) leaves(t *pier.Ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.waiting, t)
	q.gate.Leaves(t)
	q.decideLocked()
}

func worded(status int, word, text string) sidecar.Reply {
	return sidecar.Reply{Status: status, Header: http.Header{wordHeader: {word}}, Body: []byte(text)}
}

// stripOwn takes out what only pilots say to each other.
func stripOwn(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, ownPrefix) {
			h.Del(name)
		}
	}
}

// passenger is one request at the gate.
type passenger struct {
	life     string
	rank     int
	once     bool
	stays    bool
	until    time.Time
	patience time.Duration
	id       string
	body     []byte
	bare     bool
	head     func(*bytes.Buffer)
}

// notRun tells whether an endpoint's answer says that the request has not run and will not. A success cannot say so.
func notRun(r *sidecar.Reply) bool {
	return r.Status >= http.StatusBadRequest && r.Header.Get(notRunHeader) != "" || r.Status == http.StatusMisdirectedRequest
}

// inside is what a call that was let in tells of the endpoint.
func inside(fate exchange.Fate, r *sidecar.Reply) (k muster.Kind, tells bool) {
	switch {
	case fate == exchange.CalledOff, fate == exchange.Whole && r.Header.Get(behindHeader) != "":
		return 0, false
	case fate != exchange.Whole || r.Status >= 500 && r.Header.Get(notRunHeader) == "" || r.Status < 300 && r.Header.Get(sealHeader) == "":
		return muster.Failed, true
	}
	return muster.Good, true
}

// take takes a request through the gate to the endpoint, and tells what is certain of it, with the endpoint's answer if
// there is one.
func (q *quay) take(ctx context.Context, p *passenger) (word string, r *sidecar.Reply) {
	t, word := q.admit(ctx, p)
	if t == nil {
		return word, nil
	}
	return q.carry(ctx, p, t)
}

// admit asks at the gate, and waits there for as long as the request may. It gives the ticket of what was let in, or the word.
func (q *quay) admit(ctx context.Context, p *passenger) (*pier.Ticket, string) {
	now := time.Now()
	wait := now.Add(p.patience)
	if wait.After(p.until) {
		wait = p.until
	}
	q.mu.Lock()
	t, v := q.gate.Ask(now, pier.Ask{Life: p.life, Priority: p.rank, Once: p.once, Stays: p.stays, Until: wait})
	var verdict chan pier.Verdict
	if v == pier.Wait {
		verdict = make(chan pier.Verdict, 1)
		q.waiting[t] = verdict
		q.decideLocked()
	}
	q.mu.Unlock()
	if v == pier.Wait {
		select {
		case v = <-verdict:
		case <-ctx.Done():
			q.leaves(t)
			return nil, wordNever
		}
	}
	if v != pier.Pass {
		q.p.note(p.id, "event=turned life="+p.life+" why="+v.String())
		return nil, wordTurned + v.String()
	}
	return t, ""
}

// carry takes a request that was let in to the endpoint.
func (q *quay) carry(ctx context.Context, p *passenger, t *pier.Ticket) (word string, r *sidecar.Reply) {
	begun := time.Now()
	fate, r := q.wharf.Cross(ctx, &sidecar.Hop{
		Body: p.body, Bare: p.bare, ID: p.id, Most: mostBody,
		Head: func(left time.Duration) []byte {
			var b bytes.Buffer
			p.head(&b)
			sidecar.WriteLine(&b, deadlineHeader, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
			return b.Bytes()
		},
	}, p.until)
	if fate == exchange.Whole && r.Doubtful && notRun(r) {
		fate, r = exchange.Broken, nil
	}
	q.mu.Lock()
	q.gate.Leaves(t)
	if fate == exchange.NeverWritten {
		q.fails++
	} else {
		q.fails = 0
	}
	suspect, target := q.fails > 1, q.target
	q.decideLocked()
	q.mu.Unlock()
	if suspect {
		q.ask()
	}
	if fate == exchange.Whole {
		stripOwn(r.Header)
		if r.Status >= http.StatusInternalServerError && q.p.failedSince(begun) {
			r.Header.Set(behindHeader, "1")
		}
	}
	q.p.note(p.id, "event=crossed life="+p.life+" fate="+strconv.Itoa(int(fate)))
	if kind, tells := inside(fate, r); tells {
		q.p.witness.sawInside(target, p.life, kind)
	}
	switch fate {
	case exchange.Whole:
		return wordAnswer, r
	case exchange.NeverWritten:
		return wordNever, nil
	case exchange.TooLate:
		return wordLate, nil
	}
	return wordLost, nil
}
