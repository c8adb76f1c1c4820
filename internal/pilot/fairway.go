package pilot

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"whinknot"
	"whinknot/internal/beacon"
	"whinknot/internal/chart"
	"whinknot/internal/exchange"
	"whinknot/internal/lamp"
	"whinknot/internal/moorings"
	"whinknot/internal/muster"
	"whinknot/internal/pier"
	"whinknot/internal/sidecar"
)

const (
	aimPart       = 0.25 // of its aim that a request may wait at a gate without having been offered
	usualAim      = 500 * time.Millisecond
	usualTime     = 5 * time.Second
	moreTries     = 5 // attempts beyond those that may reach an endpoint: gates turn some away
	backPart      = 0.25
	chartPart     = 0.1 // of its time that a request waits for the first configuration, and for so long at most
	chartMost     = 250 * time.Millisecond
	lateWorth     = 0.3
	retireTime    = 30 * time.Second
	pilotIdle     = 15 * time.Second
	topWorth      = 4.0
	leastPatience = 60 * time.Millisecond
	deadlinePart  = 0.7                    // of its route's deadline is what the module takes for a request's aim at least: a late answer earns something too
	leastRoom     = 5                      // calls out at once for each endpoint that a pilot always lets out: the gates know how many are too many
	nearLooks     = 5                      // endpoints of the own zone that a request is shown to: at all but the last it does not wait, one may be free
	asksTime      = 500 * time.Millisecond // beyond its patience, for the word of the gate to come
	asksFrom      = 8 << 10                // bytes of a body that is not sent before the gate has let the request in
	senders       = 1                      // copies that the module takes to send: the gates count exactly, and none need keep to its part of a server
	manyStreams   = 1024                   // connections between pilots are opened as they are needed: the gate counts those to endpoints
)

// fairway is the way to one service: its decision module, and the endpoints that it is told of.
type fairway struct {
	p    *Pilot
	name string

	mu     sync.Mutex
	ways   [2]way // for usual requests, and for those with large bodies
	pilots int    // that are there
	berths []sidecar.Berth
	nodes  *moorings.Table  // those that somebody may keep to; replaced whole
	lives  map[string]abode // by name of the life
	near   int              // of them that take requests, in the own zone
	warmAt time.Time        // the first endpoint that takes requests is warm then; zero if there is none
	ration pier.Ration
}

// abode is where a life of an endpoint is: beside this pilot, in its zone, or elsewhere.
type abode struct{ own, near bool }

// way is a decision module and the classes that it knows.
type way struct {
	service *sidecar.Service
	classes []classKey
}

// The ways of a fairway. What has a large body goes to the own zone as long as any endpoint there can take it.
const (
	usualWay = iota
	heavyWay
)

// wayOf is the way of a route.
func wayOf(r *chart.Route) int {
	if r.Kind == chart.Ingest {
		return heavyWay
	}
	return usualWay
}

// classKey is what makes requests alike to the decision module.
type classKey struct {
	safe     bool
	aim      time.Duration
	priority int
}

func newFairway(p *Pilot, name string) *fairway {
	b := &p.s.Bounds
	return &fairway{p: p, name: name, pilots: 1, lives: map[string]abode{}, nodes: moorings.NewTable(nil), ration: pier.Ration{Window: b.RetryWindow, Ratio: b.RetryRatio}}
}

func keyOf(r *chart.Route) classKey {
	k := classKey{safe: r.Kind == chart.Safe, aim: r.Aim, priority: r.Priority}
	if k.aim == 0 {
		k.aim = usualAim
	}
	k.aim = max(k.aim, time.Duration(deadlinePart*float64(r.Deadline)))
	return k
}

// chart takes the configuration: classes that are new need a module that knows them.
func (f *fairway) chart(c *chart.Chart) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for n := range f.ways {
		w := &f.ways[n]
		classes := slices.Clone(w.classes)
		for i := range c.Routes {
			for _, part := range c.Routes[i].Parts {
				if k := keyOf(&c.Routes[i]); part.Service == f.name && wayOf(&c.Routes[i]) == n && !slices.Contains(classes, k) {
					classes = append(classes, k)
				}
			}
		}
		if len(classes) > len(w.classes) {
			w.classes = classes
			f.renew(n)
		}
	}
}

// renew puts a module in the place of the one so far, with what that has learned. f.mu is held.
func (f *fairway) renew(n int) {
	w := &f.ways[n]
	s := f.p.s
	zones := f.zones()
	set := whinknot.Settings{
		Copies: senders, Zone: slices.Index(zones, s.Zone),
		Limits: whinknot.Limits{MaxAttempts: moreTries + 2, RetryAfter: true, Streams: manyStreams, LeastRoom: leastRoom, ConnIdle: float64(pilotIdle.Milliseconds())},
	}
	for _, k := range w.classes {
		c := whinknot.Class{Name: "class", Worth: topWorth / float64(int(1)<<min(max(k.priority, 0), 16)), LateWorth: lateWorth,
			Aim: float64(k.aim.Milliseconds()), GiveUp: float64(usualTime.Milliseconds())}
		c.GiveUp = max(c.GiveUp, c.Aim)
		if !k.safe {
			c.Effect = whinknot.Unsafe
		}
		set.Classes = append(set.Classes, c)
	}
	var learned *whinknot.Memory
	old := w.service
	if old != nil {
		m := old.Learned()
		learned = &m
	}
	next, err := sidecar.NewService(set, zones, rand.Uint64(), s.Descriptors/4, learned)
	if err != nil {
		f.p.log.Error().Err(err).Str("service", f.name).Msg("module cannot be made")
		return
	}
	w.service = next
	next.Servers(f.berthsOf(n), senders, 0)
	if old != nil {
		f.p.running.Go(func() { old.Retire(f.p.ctx, time.Now().Add(retireTime)) })
	}
}

// giveUp has everything answered that is under way.
func (f *fairway) giveUp() {
	f.each((*sidecar.Service).GiveUp)
}

// end ends the service; what it still has is answered.
func (f *fairway) end() {
	f.each(func(s *sidecar.Service) { s.Retire(f.p.ctx, time.Now()) })
}

// each does something with every module there is.
func (f *fairway) each(do func(*sidecar.Service)) {
	f.mu.Lock()
	ways := f.ways
	f.mu.Unlock()
	for _, w := range ways {
		if w.service != nil {
			do(w.service)
		}
	}
}

// berthsOf are the endpoints as one way is told of them. f.mu is held.
func (f *fairway) berthsOf(n int) []sidecar.Berth {
	if n != heavyWay {
		return f.berths
	}
	out := slices.Clone(f.berths)
	for i := range out {
		out[i].Backup = out[i].Zone != f.p.s.Zone
	}
	return out
}

// zones are the names of all zones, in the order that the module numbers them in.
func (f *fairway) zones() []string {
	var out []string
	for zone := range f.p.s.Zones {
		out = append(out, zone)
	}
	slices.Sort(out)
	return out
}

// list tells the module the endpoints of the service. It runs in the pilot's loop.
func (f *fairway) list(nodes []lamp.Node) {
	p := f.p
	lives := map[string]abode{}
	var berths []sidecar.Berth
	var steady []moorings.Node
	pilots, near := 0, 0
	var warmAt time.Time
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range nodes {
		n := &nodes[i]
		if !n.Dark {
			pilots++
		}
		e := n.Endpoint
		if e == nil || e.Target != f.name || e.State == beacon.Gone {
			continue
		}
		lives[e.ID] = abode{own: n.Node == p.s.Node, near: n.Zone == p.s.Zone}
		b := sidecar.Berth{Name: e.ID, Addr: n.Inbound, Zone: n.Zone}
		b.Draining = !n.Takes() || p.room.Evacuated(n.Zone) || !p.shunned[e.ID].IsZero()
		if r, ok := p.room.Removal(e.ID); ok && !r.Back {
			b.Draining = true
		}
		berths = append(berths, b)
		if !b.Draining {
			if lives[e.ID].near {
				near++
			}
			steady = append(steady, moorings.Node{Name: e.ID, Weight: e.Capacity})
			if at := n.Since.Add(e.Cold); warmAt.IsZero() || at.Before(warmAt) {
				warmAt = at
			}
		}
	}
	f.lives, f.berths, f.nodes = lives, berths, moorings.NewTable(steady)
	f.pilots, f.near, f.warmAt = max(pilots, 1), near, warmAt
	for n, w := range f.ways {
		if w.service != nil {
			w.service.Servers(f.berthsOf(n), senders, 0)
		}
	}
}

// harbour takes requests that begin on this machine.
type harbour struct{ p *Pilot }

// Open sees the head of a request.
func (h *harbour) Open(e *sidecar.Errand) (int64, *sidecar.Reply) {
	v := h.p.view.Load()
	if v.chart == nil {
		v = h.p.awaitChart(e)
	}
	if v.chart == nil {
		return 0, &sidecar.Reply{Status: http.StatusServiceUnavailable, RetryAfter: 200 * time.Millisecond, Body: []byte("no configuration yet\n")}
	}
	path, _, _ := strings.Cut(e.URI, "?")
	if v.chart.Match(e.Host, path) == nil {
		return 0, &sidecar.Reply{Status: http.StatusNotFound, Body: []byte("no route\n")}
	}
	if _, _, ok := sidecar.Deadline(e.Header, deadlineHeader); !ok {
		return 0, &sidecar.Reply{Status: http.StatusBadRequest, Body: []byte(deadlineHeader + " is no time\n")}
	}
	if e.Length > v.chart.Limits.MaxBody {
		return 0, &sidecar.Reply{Status: http.StatusRequestEntityTooLarge, Body: []byte("the body is over the limit\n")}
	}
	return h.p.bulk.take(e, v.chart.Limits.MaxBody)
}

// timeOf is the time that a request had when it came.
func timeOf(e *sidecar.Errand) time.Duration {
	left, told, _ := sidecar.Deadline(e.Header, deadlineHeader)
	if !told {
		return usualTime
	}
	return left
}

// awaitChart waits for the first configuration, for a small part of the time that a request has: a pilot that has just started gets
// it in a moment.
func (p *Pilot) awaitChart(e *sidecar.Errand) *view {
	timer := time.NewTimer(min(time.Duration(chartPart*float64(timeOf(e))), chartMost))
	defer timer.Stop()
	select {
	case <-p.charted:
	case <-timer.C:
	case <-p.ctx.Done():
	}
	return p.view.Load()
}

// Serve has a request served by the service of its route, by the configuration in force once it has come whole.
func (h *harbour) Serve(ctx context.Context, e *sidecar.Errand) sidecar.Reply {
	v := h.p.view.Load()
	path, _, _ := strings.Cut(e.URI, "?")
	r := v.chart.Match(e.Host, path)
	if r == nil {
		return sidecar.Reply{Status: http.StatusNotFound, Body: []byte("no route\n")}
	}
	reply := v.services[r.Pick(rand.Float64())].serve(ctx, e, r)
	if reply.Status >= http.StatusInternalServerError {
		h.p.failed.Store(time.Now().UnixNano())
	}
	return reply
}

// failedSince tells whether a request that began on this machine has failed since a time: where the endpoint answered with a failure
// meanwhile, that may be a call of its own, and its failure no fault of its own.
func (p *Pilot) failedSince(at time.Time) bool { return p.failed.Load() >= at.UnixNano() }

// serve has one request served.
func (f *fairway) serve(ctx context.Context, e *sidecar.Errand, r *chart.Route) sidecar.Reply {
	now := time.Now()
	due := e.Came.Add(timeOf(e))
	if by := e.Came.Add(r.Deadline); r.Deadline > 0 && by.Before(due) {
		due = by
	}
	due = due.Add(-min(50*time.Millisecond, due.Sub(now)/10))
	key := keyOf(r)
	f.mu.Lock()
	w := &f.ways[wayOf(r)]
	service, class := w.service, slices.Index(w.classes, key)
	f.ration.Request(now)
	f.mu.Unlock()
	if service == nil || class < 0 {
		return sidecar.Reply{Status: http.StatusServiceUnavailable, RetryAfter: 100 * time.Millisecond}
	}
	stripOwn(e.Header)
	e.Header.Del(deadlineHeader)
	e.Header.Del(targetHeader)
	e.Header.Del(callerHeader)
	t := &trip{f: f, e: e, r: r, patience: max(time.Duration(aimPart*float64(r.Aim)), leastPatience)}
	id := e.Header.Get(idHeader)
	f.p.note(id, "event=taken route="+r.Name+" service="+f.name+" version=r"+strconv.FormatUint(f.p.view.Load().chart.Version, 10))
	reply, ok := service.Do(ctx, &sidecar.Job{
		Class: uint16(class), Due: due, Attempts: r.Tries + moreTries, Cross: t.cross, Prefer: f.moored(e, r),
	})
	if !ok {
		f.p.note(id, "event=left")
		return sidecar.Reply{Status: http.StatusBadGateway}
	}
	f.p.note(id, "event=answered status="+strconv.Itoa(reply.Status)+" attempts="+strconv.Itoa(int(t.sent.Load()))+" arrived="+strconv.Itoa(int(t.arrived.Load())))
	if reply.Header == nil {
		reply.Header = http.Header{}
	}
	stripOwn(reply.Header)
	if reply.RetryAfter > 0 {
		reply.RetryAfter = min(reply.RetryAfter, time.Duration(backPart*float64(time.Until(due))))
		reply.RetryAfter = max(reply.RetryAfter, time.Millisecond).Round(time.Millisecond)
	}
	return reply
}

// moored are the endpoints that somebody keeps to, by the route's affinity; none where it has none.
func (f *fairway) moored(e *sidecar.Errand, r *chart.Route) []string {
	path, _, _ := strings.Cut(e.URI, "?")
	who, ok := r.Affinity.Of(e.Header, path, e.From)
	if !ok {
		return nil
	}
	f.mu.Lock()
	nodes := f.nodes
	f.mu.Unlock()
	return nodes.Order(who, mooringsDeep)
}

// mooringsDeep is how many endpoints of somebody's own order are gone through before any other is as good.
const mooringsDeep = 3

// promises tells whether a status says that the request has not run and never will.
func promises(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable ||
		status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
}

// trip is one request on its way, over its attempts.
type trip struct {
	f        *fairway
	e        *sidecar.Errand
	r        *chart.Route
	patience time.Duration
	sent     atomic.Int32 // attempts
	near     int          // attempts in the own zone
	arrived  atomic.Int32 // attempts that reached an endpoint; one may still be out when the request has its answer
}

// head is the head of the request as it goes to an endpoint, but for the time left.
func (t *trip) head(b *bytes.Buffer, life string) {
	b.WriteString(t.e.Method + " " + t.e.URI + " HTTP/1.1\r\nHost: " + t.e.Host + "\r\n")
	sidecar.WriteLines(b, t.e.Header)
	sidecar.WriteLine(b, targetHeader, life)
	sidecar.WriteLine(b, callerHeader, t.f.p.service())
}

// cross carries one attempt to the pilot beside an endpoint. Attempts of one request follow each other.
func (t *trip) cross(x *sidecar.Crossing) sidecar.Word {
	f := t.f
	t.sent.Add(1)
	f.mu.Lock()
	at, known := f.lives[x.Server]
	patience := t.patience
	if at.near {
		if t.near++; t.near < min(f.near, nearLooks) {
			patience = 0
		}
	}
	stays := time.Now().Before(f.warmAt)
	arrived := int(t.arrived.Load())
	may := arrived == 0
	if known && arrived > 0 && arrived < t.r.Tries {
		may = f.ration.Repeat(time.Now(), f.p.s.Bounds.RetrySlack/float64(f.pilots))
	}
	f.mu.Unlock()
	if !known {
		return sidecar.Word{Outcome: whinknot.NotSent}
	}
	if !may {
		return sidecar.Word{Outcome: whinknot.NotSent, Final: true}
	}
	var word string
	var got *sidecar.Reply
	if at.own {
		word, got = f.p.quay.take(x.Ctx, &passenger{
			life: x.Server, rank: t.r.Priority, once: t.r.Kind != chart.Safe, stays: stays, until: x.Until, patience: patience, id: t.e.Header.Get(idHeader), body: t.e.Body,
			bare: t.e.Method == http.MethodGet, head: func(b *bytes.Buffer) { t.head(b, x.Server) },
		})
	} else {
		asks := time.Duration(0)
		if len(t.e.Body) >= asksFrom {
			asks = patience + asksTime
		}
		fate, r := x.Over(&sidecar.Hop{
			Body: t.e.Body, Bare: t.e.Method == http.MethodGet, ID: t.e.Header.Get(idHeader), Own: true, Most: mostBody, Asks: asks,
			Head: func(left time.Duration) []byte {
				var b bytes.Buffer
				t.head(&b, x.Server)
				sidecar.WriteLine(&b, deadlineHeader, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
				if patience > 0 {
					sidecar.WriteLine(&b, patienceHeader, strconv.FormatInt(max(patience.Milliseconds(), 1), 10))
				}
				sidecar.WriteLine(&b, rankHeader, strconv.Itoa(t.r.Priority))
				if t.r.Kind != chart.Safe {
					sidecar.WriteLine(&b, onceHeader, "1")
				}
				if asks > 0 {
					sidecar.WriteLine(&b, asksHeader, "1")
				}
				if stays {
					sidecar.WriteLine(&b, staysHeader, "1")
				}
				return b.Bytes()
			},
		})
		switch fate {
		case exchange.NeverWritten:
			f.p.witness.saw(f.name, x.Server, muster.Silent)
			return sidecar.Word{Outcome: whinknot.ConnectFailed}
		case exchange.CalledOff:
			return sidecar.Word{Outcome: whinknot.Cancelled}
		case exchange.TooLate:
			word = wordLate
		case exchange.Whole:
			word, got = r.Header.Get(wordHeader), r
			r.Header.Del(wordHeader)
		}
	}
	w := t.meaning(word, got, x.Server)
	f.p.note(t.e.Header.Get(idHeader), "event=attempt life="+x.Server+" at="+x.Addr+" word="+strconv.Quote(word)+" outcome="+strconv.Itoa(int(w.Outcome)))
	t.tell(w, x.Server)
	return w
}

// tell has the witness note what an attempt that reached an endpoint tells of that.
func (t *trip) tell(w sidecar.Word, life string) {
	switch w.Outcome {
	case whinknot.Cancelled:
		if w.Reply != nil && !w.Own {
			t.f.p.witness.saw(t.f.name, life, muster.Good)
		}
	case whinknot.OK:
		t.f.p.witness.saw(t.f.name, life, muster.Good)
	case whinknot.Error, whinknot.Reset:
		t.f.p.witness.saw(t.f.name, life, muster.Failed)
	case whinknot.Timeout, whinknot.ConnectFailed:
		t.f.p.witness.saw(t.f.name, life, muster.Silent)
	}
}

// meaning turns what is certain of an attempt into what the module is told.
func (t *trip) meaning(word string, r *sidecar.Reply, life string) sidecar.Word {
	if v, ok := strings.CutPrefix(word, wordTurned); ok {
		if v == pier.Full.String() || v == pier.Cold.String() { // it is at work, not ill
			return sidecar.Word{Outcome: whinknot.NotSent}
		}
		t.f.p.loop.Post(func() { t.f.p.shun(life) })
		return sidecar.Word{Outcome: whinknot.NotSent}
	}
	if word == wordNever {
		return sidecar.Word{Outcome: whinknot.ConnectFailed}
	}
	t.arrived.Add(1)
	switch {
	case word == wordLate:
		return sidecar.Word{Outcome: whinknot.Timeout}
	case word != wordAnswer || r == nil || !exchange.Belongs(t.e.Header.Get(idHeader), r.Header[idHeader], false):
		return sidecar.Word{Outcome: whinknot.Reset}
	case notRun(r):
		if r.Status == http.StatusMisdirectedRequest {
			t.f.p.loop.Post(func() { t.f.p.shun(life) })
		}
		return sidecar.Word{Outcome: whinknot.Full}
	case r.Status < 300 && (r.Header.Get(sealHeader) == "" || r.Header.Get("Content-Encoding") != "" || r.Header.Get(notRunHeader) != ""):
		return sidecar.Word{Outcome: whinknot.Reset}
	case r.Status < 300:
		return sidecar.Word{Outcome: whinknot.OK, Reply: r}
	case promises(r.Status): // the endpoint did not say that it has not run: the status must not say so either
		return sidecar.Word{Outcome: whinknot.Error}
	case r.Status < 500:
		return sidecar.Word{Outcome: whinknot.Cancelled, Reply: r}
	}
	if r.Header.Get(behindHeader) != "" { // it tells nothing of the endpoint
		return sidecar.Word{Outcome: whinknot.Cancelled, Reply: r, Own: true}
	}
	return sidecar.Word{Outcome: whinknot.Error, Reply: r, Own: true}
}
