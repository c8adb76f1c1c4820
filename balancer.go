// The interface of this module, its Settings, Events and Actions, is in api.go.

// Package whinknot decides, for one copy of a balancer, which server gets which call. It is sans-I/O: New
// makes a Balancer and Handle turns each event into actions. The mechanism is SMACE's (Kim and Schulzrinne)
// with our additions; docs/design.md tells the two apart.
package whinknot

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"whinknot/internal/spread"
)

const ( // times are milliseconds, shares have no unit
	revisePeriod  = 10000.0 // paper, VI-C: the load of a server is revised every 10 s
	cutTo         = 0.9     // paper, VI-C: over threshold, load becomes this share of goodput
	windowTime    = 1000.0  // paper, IV-A: latency statistics cover one second
	windowSamples = 20      // fewest samples whose second largest is a p95
	firstSamples  = 5       // fewest while there have been no more at all: the largest stands in for it
	ringSize      = 32      // samples kept for each server; a little over a window
	poolSize      = 128     // samples kept of the tier, to fill sparse windows
	tail          = 0.95    // paper, IV-A: the percentile that is held under the threshold
	thresholdPart = 0.7     // threshold as a share of the class aim; leaves room for waiting
	creditTime    = 100.0   // credit is kept for this time: with more, old credit outweighs calls out
	headroom      = 2.0     // load over the demand or goodput that was seen; room for bursts
	floorPart     = 0.05    // a cut server keeps this share of the mean load, for trial calls
	failRatio     = 2.0     // how far over threshold a failure counts
	runLimit      = 2.5     // failures in a run, goods leaking away, that cut a server at once
	runLeak       = 0.25    // one good answer takes this much of a run away
	trialGoods    = 3       // good trial calls in a row that make a cut server unmeasured
	shedOver      = 1.2     // ratio of p95 to threshold at which the front sheds: tails alone pass 1
	sharedPart    = 0.4     // part of the tier in trouble from which the cause is held to be shared
	coldPart      = 0.7     // part of its present share that a cold server is given at most
	demandTime    = 2000.0  // time constant of the demand average
	demandLeast   = 0.2     // part of it that counts as seen at the least
	queuePart     = 0.3     // longest wait in the queue, as a share of the mean aim
	overRoom      = 0.5     // part of the room that a dense copy's calls beyond a quota may find taken
	quotaBurst    = 2000.0  // a tenant may run ahead of its quota by this time's worth
	repeatShare   = 0.1     // retry budget where none is told: repeats of what may have run, per request
	repeatFree    = 5.0     // and how many more of them
	repeatWindow  = 10000.0 // within this time
	latencyGain   = 0.05    // weight of a new answer in a class's mean latency
	servedGain    = 0.005   // and of a call in the served part of its class, which the goal counts by the day
	paceWeight    = 12.0    // a server's mean answer over the tier's, against its share of credit left
	patience      = 6.0     // mean answers of its class that a call waits for a server that says nothing
	probeCount    = 3       // servers asked for each call where probes are all but free
	probePrice    = 0.02    // dearest: points of the goal for a probe of each choice at every tier
	askMost       = 3       // times that a call asks, while those asked hold more than the mean
	lostPart      = 0.05    // part of attempts without a connection past which open ones are kept to
	lostTries     = 20      // draws for a server with an open connection to ask
	probeWait     = 0.05    // share of its threshold that a call waits for answers, and they count
	probeAgain    = 0.15    // share of the longest threshold after which a waiting call asks others
	heldHome      = 2.0     // calls that a server's own copies have out there before they go elsewhere
	heldFirst     = 5.0     // calls a server is taken to hold at once, over all copies, till measured
	heldLeast     = 2.0     // and a copy at least: with one call at a time a sparse copy measures nothing
	waitOver      = 1.3     // the front sheds only for waiting: answers take so many times the least mean
	calmDrift     = 0.005   // and that least mean forgets by this share a second
	fastPart      = 0.5     // a dense copy whose tail is under this part of that goes by it, not by the means
	wakeLeast     = 5.0     // shortest timer, so that waiting calls cost little CPU
	wakeMost      = 20.0    // longest timer while calls wait
	askSpread     = 0.3     // first call to the list is spread over this share of AskEvery
	topFade       = 0.01    // at each call of a class, of the most that its calls were worth
	streamWeight  = 5.0     // of a stream that is bound, against others in the rank of a class of streams
	askBackoff    = 1000.0  // first wait after a failed call to the list; doubles, with jitter
)

// sample is one outcome at a server: latency as a ratio to its class's threshold.
type sample struct{ at, ratio float64 }

// server is what this copy knows of one server, from its list and its own calls.
type server struct {
	ServerEntry
	listed            bool
	linked            bool    // it answered since a connection last failed
	asked             bool    // a probe is out
	held, heldAt      float64 // calls it holds, as it told a probe, and when
	home              float64 // part of this server that is this copy's own
	order             uint64  // its place in that in which all copies deal servers out
	inLive, inHomes   bool    // it is in those lists
	leaving           bool    // and in that of servers that no list named
	cold              bool
	measured          bool // has a load of its own; others take the mean
	cut               bool // at the floor since a run of failures
	out               int  // attempts sent and not answered, without streams that are bound
	streams           int  // those
	load, maxLoad     float64
	credit, accruedAt float64
	lastSent          float64
	heard             float64 // last answer, or first send since none was out
	closeAt           float64 // it drains: idle connections are closed once more then; 0 = not
	reviseAt, since   float64 // next revision, and since when good is counted
	run               float64 // failures in a run
	good, goods       int     // good answers since then, and in a row since the cut
	samples           [ringSize]sample
	count             int     // samples ever taken
	pace              float64 // mean ratio of its answers; 0 = none yet
}

func (s *server) ready() bool { return s.listed && s.State == Ready }

// attempt is one send of a request.
type attempt struct {
	server *server
	sentAt float64
	held   float64 // calls the server held with it, as far as told
	open   bool
	silent bool // it was called off, as its server said nothing
	bound  bool // it is a stream that takes no room
}

// doubt is an attempt that may have gone to a server that is silent, and when to look.
type doubt struct {
	at      float64
	request uint32
	attempt uint16
}

// request is one call that this copy has taken.
type request struct {
	id                uint32
	class, tenant     uint16
	ended             bool // a final answer was given or the client left
	inTime            bool // it was served within its aim
	queued, streaming bool
	once, shed        bool // it can be sent once; its host turns it away
	prefer            []uint32
	worth             float64 // against its class's
	most              int     // attempts that it may have, if it is told; 0 = not
	mayRun            bool    // some closed attempt may have run
	aimAt, due        float64
	backAt            float64 // held back until then; 0 = not
	readyAt           float64 // answers to its probes are waited for until then
	asks              int     // times it asked
	open              int
	attempts          []attempt
	firstRun          float64 // send time of the earliest attempt that may have run
	runServer         *server // the server of that attempt
}

// classState is what this copy has learned of a class.
type classState struct {
	threshold float64
	latency   float64 // mean of good answers
	share     float64 // of the calls that come
	served    float64 // part of its calls that are answered within the aim
	top       float64 // most that calls of late were worth, against the class's worth
}

// bucket is a tenant's local quota.
type bucket struct{ tokens, at, rate, most float64 }

// Balancer is one copy. It is not safe for concurrent use.
type Balancer struct {
	set             Settings
	rng             uint64
	now             float64
	acts            []Action
	byID            map[uint32]*server
	live            []*server // listed and ready, in the order heard of
	asked           int       // probes out
	heldMean        float64   // mean of what servers told
	turn            float64   // time that a call takes for each call its server held, where probes tell
	probing         bool
	leaving         []*server // no list names them; forgotten once nothing of theirs is out
	homes           []*server // of the own zone, in the order in which all copies deal them out
	requests        map[uint32]*request
	queue, spare    []*request
	sweepAt         float64 // when the first waiting call is to be given up
	classes         []classState
	tenants         []bucket
	pool            [poolSize]sample
	pooled          int
	backups         bool    // some server is a backup
	meanWeight      float64 // of the servers that have one
	measured, cuts  int     // servers with a load of their own; those of them that are cut
	meanLoad        float64 // mean load of those that are not
	sends, arrivals average
	meanAim         float64
	taken, further  tally     // requests, and attempts that the retry budget counts
	doubts          []doubt   // of attempts of safe classes, the next one first
	closing         []*server // draining, and to be closed once more
	budgetTold      bool      // the site states the retry budget
	out             int       // calls out at servers that are not cut
	room            float64   // most calls out at once; 0 = not bounded yet
	firstRoom       float64   // its start: all copies together must not overrun a tier that none has measured
	serving         float64   // servers that room is for: ready and not cut, a cold one in part
	warm            bool      // one of them is warm
	roomAt          float64   // next revision of room
	typical, calm   float64   // mean ratio of answers, and its least: together they tell of waiting
	calmFrom        float64
	connLost        float64 // part of late attempts that found no connection
	scratch         []float64
	silence         float64 // time without an answer after which a server with calls out is over threshold
	wakeAt          float64 // when the pending timer is due; 0 = none
	timer           uint64  // its number
	askAt           float64 // when the list is to be asked; 0 = not
	backoff         float64
	roomEach        float64                 // imported, for each server that serves
	remembered      map[uint32]ServerMemory // imported, of servers that no list has named yet
}

// New returns a balancer for one copy. The seed makes its random numbers.
func New(set Settings, seed uint64, now float64) (*Balancer, error) {
	if err := set.check(); err != nil {
		return nil, fmt.Errorf("whinknot: %w", err)
	}
	b := &Balancer{
		set: set, rng: seed ^ 0x9e3779b97f4a7c15, now: now, sweepAt: math.Inf(1), calm: math.Inf(1),
		byID: map[uint32]*server{}, requests: map[uint32]*request{},
	}
	if f := &b.set.Safety; f.BudgetWindow > 0 {
		b.budgetTold = true
	} else {
		f.BudgetFree, f.BudgetShare, f.BudgetWindow = repeatFree, repeatShare, repeatWindow
	}
	for _, c := range set.Classes {
		state := classState{threshold: c.Aim * thresholdPart, share: 1 / float64(len(set.Classes)), served: 1}
		state.threshold *= float64(set.Stages-set.Stage) / float64(set.Stages) // the tiers still ahead
		b.classes = append(b.classes, state)
		b.silence = max(b.silence, state.threshold)
		b.meanAim += c.Aim / float64(len(set.Classes))
	}
	cheap := set.ProbePrice*probeCount*float64(set.Stages) <= probePrice
	b.probing = set.Limits.Probes && set.HeldField > 0 && cheap
	for _, t := range set.Tenants {
		rate := t.Quota / float64(set.Copies)
		most := max(rate*quotaBurst/1000, 1)
		b.tenants = append(b.tenants, bucket{tokens: most, at: now, rate: rate, most: most})
	}
	if set.ListOnRequest {
		b.backoff = askBackoff
		b.askAt = now + b.random()*askSpread*set.Safety.AskEvery
	}
	b.calmFrom = now + b.silence
	return b, nil
}

// Import gives a balancer that has heard nothing yet what another one learned. Of a server it counts only in
// the life in which it was learned, and never while it is cold.
func (b *Balancer) Import(m Memory) {
	b.typical, b.roomEach = m.Typical, m.Room
	if m.Calm > 0 {
		b.calm = m.Calm
	}
	b.arrivals, b.sends = average{m.Demand, b.now, 1}, average{m.Sent, b.now, 1}
	for i := range min(len(m.Classes), len(b.classes)) {
		k, c := &m.Classes[i], &b.classes[i]
		c.latency, c.share, c.served = k.Latency, k.Share, k.Served
	}
	b.remembered = make(map[uint32]ServerMemory, len(m.Servers))
	for _, k := range m.Servers {
		b.remembered[k.Server] = k
	}
}

// recall gives a server that is new to this copy what was learned of it.
func (b *Balancer) recall(s *server) {
	k, ok := b.remembered[s.Server]
	if delete(b.remembered, s.Server); !ok || k.Started != s.Started || s.cold {
		return
	}
	s.pace, s.run, s.maxLoad, s.load = k.Pace, k.Run, k.MaxLoad, k.Load
	s.cut, s.measured = k.Cut, k.Cut || k.Load > 0
}

// Handle takes one event and appends the actions that answer it.
func (b *Balancer) Handle(now float64, ev *Event, actions []Action) []Action {
	clean := ev.cleaned()
	b.now, b.acts, ev = later(b.now, now), actions, &clean
	switch ev.Kind {
	case EvRequest:
		b.arrive(ev)
	case EvFirst:
		b.first(ev)
	case EvOutcome:
		b.outcome(ev)
	case EvGone:
		if q := b.requests[ev.Request]; q != nil {
			for i := range q.attempts { // servers whose work stops must do none for nobody
				if q.attempts[i].open && b.set.Limits.Cancel && !q.streaming {
					b.acts = append(b.acts, Action{Kind: ActCancel, Request: q.id, Attempt: uint16(i)})
				}
			}
			b.forget(q)
		}
	case EvList:
		b.list(ev)
	case EvProbe:
		if s := b.byID[ev.Server]; s != nil && s.asked {
			s.asked = false
			b.asked--
			b.closeIdle(s)
			if f := b.set.HeldField; ev.Outcome == OK && f > 0 && f <= min(ev.Values, len(ev.Report)) {
				s.held, s.heldAt = float64(ev.Report[f-1]), b.now
				b.heldMean += latencyGain * (s.held - b.heldMean)
			}
		}
	case EvLimit:
		b.set.Limits.MaxOpen = max(ev.MaxOpen, 0)
	case EvTimer:
		if ev.Token == b.timer {
			b.wakeAt = 0 // known by its number: a host's clock may round it to come early
		}
		b.closeAgain()
	}
	b.callOffSilent()
	b.dispatch()
	b.wake()
	return b.acts
}

// --- A call arrives, waits in the queue and is sent.

// arrive takes a new call: it is queued, or ended at once when the queue is full for it.
func (b *Balancer) arrive(ev *Event) {
	if b.requests[ev.Request] != nil || int(ev.Class) >= len(b.classes) {
		return
	}
	q := b.newRequest()
	q.id, q.class, q.tenant, q.due = ev.Request, ev.Class, ev.Tenant, ev.Due
	q.once, q.shed, q.prefer = ev.Spent, ev.Shed, ev.Prefer
	b.requests[q.id] = q
	if q.shed { // it says nothing of the demand on the servers, and earns no repeats
		b.end(q)
		return
	}
	c := &b.set.Classes[q.class]
	if q.worth, q.most = 1, ev.Attempts; ev.Worth > 0 && c.Worth > 0 {
		q.worth = ev.Worth / c.Worth
	}
	state := &b.classes[q.class]
	state.top = max(q.worth, state.top-topFade*state.top)
	q.aimAt = b.now + min(c.GiveUp, c.Aim+c.AimStretch*ev.Hint)
	if b.set.Stage > 0 && c.LateWorth == 0 {
		q.due = min(q.due, q.aimAt) // past the aim its caller's answer is worth nothing, but holds a slot
	}
	for i := range b.classes {
		b.classes[i].share -= servedGain * b.classes[i].share
	}
	b.classes[q.class].share += servedGain
	b.arrivals.add(b.now, 1)
	b.taken.since(b.now - b.set.Safety.BudgetWindow)
	b.taken.add(b.now)
	// queue_length: as many calls as were sent of late in the longest wait; unbounded with no server.
	over := b.overQuota(q)
	bound := (1 + queuePart*b.meanAim/1000*b.sends.rate()) * b.valueShare(q, over)
	full, most := len(b.live) > 0 && len(b.queue) > int(bound), b.set.Limits.MaxOpen
	full = full || b.mustNotWait()
	full = full || over && b.firstRoom > heldLeast && float64(b.out) >= overRoom*b.room
	if full || most > 0 && len(b.requests) > most {
		b.end(q)
		return
	}
	b.enqueue(q, len(b.queue))
	b.probe(q)
}

// mustNotWait tells whether a call is to be ended at once for want of any server, where the host wishes that.
func (b *Balancer) mustNotWait() bool { return b.set.Limits.RefuseEmpty && len(b.live) == 0 }

// probe asks some servers what they hold, for a call that has just come. It acts where a
// probe costs next to nothing: a copy with few calls learns so what all copies have sent.
func (b *Balancer) probe(q *request) {
	if !b.probing || len(b.live) == 0 {
		return
	}
	q.asks++
	q.readyAt = b.now + probeWait*b.classes[q.class].threshold
	for range probeCount {
		s := b.live[int(b.random()*float64(len(b.live)))]
		for try := 0; try < lostTries && b.connLost > lostPart && !b.linked(s); try++ {
			s = b.live[int(b.random()*float64(len(b.live)))]
		}
		if !s.asked && !s.cut {
			s.asked = true
			b.asked++
			b.acts = append(b.acts, Action{Kind: ActProbe, Server: s.Server})
		}
	}
}

// enqueue puts a call into the queue, new ones at its end.
func (b *Balancer) enqueue(q *request, place int) {
	q.queued = true
	b.queue = slices.Insert(b.queue, place, q)
	b.sweepAt = min(b.sweepAt, b.lastStart(q))
}

// valueShare is the part of the queue that a call may fill: its worth for each unit of work against the best
// class's, so that cheap calls are refused first while the order stays first-in.
func (b *Balancer) valueShare(q *request, over bool) float64 {
	best := 0.0
	for i := range b.classes {
		best = max(best, b.value(i)*cmp.Or(b.classes[i].top, 1))
	}
	share := b.value(int(q.class)) * q.worth / max(best, 1e-9)
	if over {
		share *= b.set.OverShareWorth
	}
	return share
}

// value is what a call of a class adds to the goal for each unit of work; the aim stands in till that is
// measured. Where the goal counts the worst-served class by itself, a call of that class adds to that too.
func (b *Balancer) value(class int) float64 {
	c, state := &b.set.Classes[class], &b.classes[class]
	worth := c.Worth
	if b.set.Stage == 0 && b.worstServed() == class {
		mean := 0.0
		for i := range b.classes {
			mean += b.classes[i].share * b.set.Classes[i].Worth
		}
		worth += b.set.WorstClass * mean / max(state.share, latencyGain)
	}
	if b.set.WorthByWork || state.latency == 0 {
		return worth / c.Aim
	}
	return worth / state.latency
}

// worstServed is the class of which the smallest part is served within its aim; -1 if there is just one.
func (b *Balancer) worstServed() int {
	worst := -1
	for i := range b.classes {
		if len(b.classes) > 1 && (worst < 0 || b.classes[i].served < b.classes[worst].served) {
			worst = i
		}
	}
	return worst
}

// overQuota takes a call off its tenant's local quota and tells whether that was used up.
func (b *Balancer) overQuota(q *request) bool {
	if b.set.Stage > 0 || int(q.tenant) >= len(b.tenants) || b.tenants[q.tenant].rate <= 0 {
		return false
	}
	t := &b.tenants[q.tenant]
	t.tokens = min(t.most, t.tokens+(b.now-t.at)/1000*t.rate)
	t.at = b.now
	if t.tokens < 1 {
		return true
	}
	t.tokens--
	return false
}

// dispatch sends from the head of the queue while a server has credit for it.
func (b *Balancer) dispatch() {
	if b.now >= b.sweepAt {
		b.sweep()
	}
	if b.now >= b.roomAt {
		b.reviseRoom()
	}
	taken := 0
	for _, q := range b.queue {
		if !q.ended && !b.mayTry(q) {
			b.end(q) // the retry budget was used up while it waited
		}
		if !q.ended {
			if q.backAt > 0 && b.now >= q.backAt {
				q.backAt = 0
				b.probe(q) // held back before: old figures must not let it go blind
			}
			crowded := b.set.Stage == 0 && float64(b.out) >= b.room
			if crowded || b.now < q.backAt || b.asked > 0 && b.now < q.readyAt {
				break
			}
			if s := b.choose(q); s == nil || !b.send(q, s) {
				break
			}
		}
		q.queued = false
		b.release(q)
		taken++
	}
	if taken > 0 {
		b.queue = slices.Delete(b.queue, 0, taken)
	}
}

// sweep ends every waiting call that cannot be answered usefully any more, also behind the head.
func (b *Balancer) sweep() {
	b.sweepAt = math.Inf(1)
	for _, q := range b.queue {
		if at := b.lastStart(q); !q.ended && (b.now >= at || b.mustNotWait()) {
			b.end(q)
		} else if !q.ended {
			b.sweepAt = min(b.sweepAt, at)
		}
	}
	b.queue = slices.DeleteFunc(b.queue, func(q *request) bool {
		q.queued = !q.ended
		b.release(q)
		return q.ended
	})
}

// lastStart is the latest time at which sending is of use: at the front an answer past the aim is worthless.
// Past thresholdPart of the aim the mean answer does not count: a class never sent is never measured again.
func (b *Balancer) lastStart(q *request) float64 {
	until := q.due
	if b.set.Stage == 0 {
		until = min(until, q.aimAt)
	}
	return until - min(b.classes[q.class].latency, thresholdPart*b.set.Classes[q.class].Aim)
}

// choose returns the server with most credit left that the call may go to, or nil.
func (b *Balancer) choose(q *request) *server {
	if !b.mayTry(q) {
		return nil
	}
	var best *server
	bestRank, spare := math.Inf(-1), b.spareBackups(q)
	for _, s := range b.live {
		if spare && s.Backup {
			continue
		}
		if b.now >= s.reviseAt {
			b.revise(s)
		}
		most := b.accrue(s)
		left := s.credit - float64(s.out)
		if s.cold && s.credit < 1 || s.cut && left < 1 {
			continue
		}
		rank := left/most - paceWeight*s.pace/max(b.typical, 1e-9) // of like servers the quicker one
		if b.set.Classes[q.class].Stream {
			rank -= streamWeight * float64(s.streams) // they last: share them evenly
		}
		if s.cut && b.set.Classes[q.class].Effect == Safe {
			rank += 50 // a trial call: its floor is small, and without one it never returns
		} else if b.told(s) {
			rank += 1000 - 10*(s.held+s.run) // each failure in a run weighs like a call held
		} else if s.out > 0 && b.now-s.heard > b.silence {
			rank -= 40 // calls out and no answer for too long: over threshold already
		} else if i := slices.Index(q.prefer, s.Server); i >= 0 && s.run <= runLimit {
			rank += 900 - 100*float64(i) // those that its host would rather have, in that order
		} else if s.cold && s.credit >= 1 {
			rank += 45 // its part, due now: as the last resort of each copy it would idle
		} else if s.home > 0 && b.atHome(s) {
			rank += 40
		} else if own := int(s.Zone) == b.set.Zone; own && b.linked(s) {
			rank += 30 // connections cost both ends and are few: open another only at need
		} else if b.linked(s) {
			rank += 20
		} else if own && left >= 1 && s.run < 1 {
			rank += 10
		} else {
			rank -= s.run
		}
		if b.connLost > lostPart && !b.linked(s) {
			rank -= 2000 // new connections fail: keep to the open ones
		}
		if q.tried(s) {
			rank -= 2000 // it did not help the last time: any other server first
		}
		if rank < bestRank || rank == bestRank && s.lastSent >= best.lastSent || !b.legal(q, s) {
			continue
		}
		best, bestRank = s, rank
	}
	if best != nil && b.told(best) && best.held > b.heldMean && q.asks < askMost {
		b.probe(q) // all those asked hold more than most servers do
		return nil
	}
	if best != nil && b.set.Stage == 0 && b.told(best) && b.now+b.turn*(best.held+1) > q.aimAt {
		q.backAt = b.now + probeAgain*b.silence
		return nil // even the least of those asked holds too many for the aim
	}
	return best
}

// atHome tells whether a home server takes this call: it has few out and, if slower than the tier, keeps only
// a part of its calls by chance. Without it, servers of all speeds are loaded alike.
func (b *Balancer) atHome(s *server) bool {
	few := s.run <= runLimit && float64(s.out) < heldHome*s.home/(1+s.run)
	return few && (s.pace <= b.typical || b.random()*s.pace*s.pace < b.typical*b.typical)
}

// linked tells whether a call finds an open connection there, as far as known.
func (b *Balancer) linked(s *server) bool {
	l := &b.set.Limits
	return s.linked && s.out < max(l.Streams, 1) && (l.ConnIdle <= 0 || b.now-s.heard < l.ConnIdle)
}

// told tells whether what a server holds was heard just now.
func (b *Balancer) told(s *server) bool { return s.heldAt > 0 && b.now-s.heldAt < probeWait*b.silence }

// send is the one way to a server. It checks the rules, whatever was decided before.
func (b *Balancer) send(q *request, s *server) bool {
	if !b.mayTry(q) || !b.legal(q, s) {
		return false
	}
	b.sends.add(b.now, 1)
	if b.counted(q) {
		b.further.add(b.now)
	}
	s.credit = max(s.credit-1, -heldHome) // what is borrowed is bounded
	b.count(s, 1)
	s.lastSent = b.now
	if s.held++; !b.told(s) {
		s.held = 0 // an old figure says nothing of this call's wait
	}
	q.open++
	q.attempts = append(q.attempts, attempt{server: s, sentAt: b.now, held: s.held, open: true})
	if wait := b.patience(q, s); wait > 0 {
		b.doubt(doubt{b.now + wait, q.id, uint16(len(q.attempts) - 1)})
	}
	b.acts = append(b.acts, Action{Kind: ActSend, Request: q.id, Server: s.Server, Until: q.due})
	return true
}

// patience is how long a call waits for a server that says nothing; 0 = to its end. An inner copy hears of
// each server too seldom to tell, but for a cut one, and a call that may not run twice is not sent twice.
func (b *Balancer) patience(q *request, s *server) float64 {
	if b.set.Stage > 0 && !s.cut || !b.set.Limits.Cancel || b.set.Classes[q.class].Effect != Safe || q.once {
		return 0
	}
	return patience * b.classes[q.class].latency
}

// doubt notes when to look after an attempt.
func (b *Balancer) doubt(d doubt) {
	later := func(o, d doubt) int { return cmp.Compare(o.at, d.at) }
	place, _ := slices.BinarySearchFunc(b.doubts, d, later)
	b.doubts = slices.Insert(b.doubts, place, d)
}

// callOffSilent calls off attempts at servers that have said nothing since, while there is time for others.
// One that answers other calls is only slow: a further attempt would add to its load.
func (b *Balancer) callOffSilent() {
	for len(b.doubts) > 0 && b.doubts[0].at <= b.now {
		d := b.doubts[0]
		b.doubts = slices.Delete(b.doubts, 0, 1)
		q := b.requests[d.request]
		if q == nil || q.ended || q.streaming || !q.attempts[d.attempt].open {
			continue
		}
		a := &q.attempts[d.attempt]
		if at := max(a.sentAt, a.server.heard) + b.patience(q, a.server); at > b.now {
			b.doubt(doubt{at, d.request, d.attempt})
		} else if b.now < b.lastStart(q) && len(q.attempts) < b.mostAttempts(q) {
			a.silent = true
			b.acts = append(b.acts, Action{Kind: ActCancel, Request: q.id, Attempt: d.attempt})
		}
	}
}

// count notes that a call went out to a server or came back.
func (b *Balancer) count(s *server, calls int) {
	if calls < 0 || s.out == 0 {
		s.heard = b.now
	}
	s.out += calls
	if !s.cut && s.ready() {
		b.out += calls
	}
}

// mayTry tells whether the rules let this call have an attempt now, at any server.
func (b *Balancer) mayTry(q *request) bool {
	if q.ended || q.streaming || q.open > 0 || b.now >= q.due || len(q.attempts) >= b.mostAttempts(q) {
		return false
	}
	return !b.counted(q) || b.budgetLeft() >= 1
}

// mostAttempts is how many attempts a call may have.
func (b *Balancer) mostAttempts(q *request) int {
	if most := b.set.Limits.MaxAttempts; q.most <= 0 || q.most > most {
		return most
	}
	return q.most
}

// counted tells whether the next attempt comes out of the retry budget. Where the site states one,
// every attempt but the first does, also after an outcome that proves that nothing ran.
func (b *Balancer) counted(q *request) bool {
	return len(q.attempts) > 0 && (b.budgetTold || q.mayRun)
}

// budgetLeft is how many further attempts may be made now. The window is exact: a bucket that refills
// lets a full one and its refill through within one window.
func (b *Balancer) budgetLeft() float64 {
	f := &b.set.Safety
	taken, made := b.taken.since(b.now-f.BudgetWindow), b.further.since(b.now-f.BudgetWindow)
	return f.BudgetFree + f.BudgetShare*float64(taken) - float64(made)
}

// tally counts what happened within a sliding window. Entries that have left it are dropped in bulk.
type tally struct {
	times []float64
	first int
}

func (t *tally) add(now float64) { t.times = append(t.times, now) }

// since counts the entries from a time on, which must not go back, and forgets older ones.
func (t *tally) since(from float64) int {
	for t.first < len(t.times) && t.times[t.first] < from {
		t.first++
	}
	if t.first > len(t.times)/2 {
		t.times = t.times[:copy(t.times, t.times[t.first:])]
		t.first = 0
	}
	return len(t.times) - t.first
}

// tried tells whether the call has had an attempt at a server.
func (q *request) tried(s *server) bool {
	return slices.ContainsFunc(q.attempts, func(a attempt) bool { return a.server == s })
}

// spareBackups tells whether backups get nothing of a call, as some other server can take it: one that it has
// not tried, and that is not cut and has not failed in a run, or is due to be tried again.
func (b *Balancer) spareBackups(q *request) bool {
	return b.backups && slices.ContainsFunc(b.live, func(s *server) bool {
		able := s.run <= runLimit || b.now-s.lastSent > revisePeriod
		return able && !s.Backup && !s.cut && !q.tried(s)
	})
}

// legal tells whether the rules let a call that may have an attempt have it at this server.
func (b *Balancer) legal(q *request, s *server) bool {
	if !s.ready() || s.cold && s.credit < 1 {
		return false
	}
	c := &b.set.Classes[q.class]
	if !q.mayRun || c.Effect == Safe {
		return true
	}
	return c.Effect == Keyed && b.now < q.firstRun+c.Window && sameGroup(c.Group, q.runServer, s)
}

func sameGroup(g Group, a, s *server) bool {
	return g == GroupAll || g == GroupZone && a.Zone == s.Zone || g == GroupCell && a.Cell == s.Cell
}

// end is the one way to a final answer of our own: refused where a repeat is harmless, else failed.
func (b *Balancer) end(q *request) {
	c := &b.set.Classes[q.class]
	harmless := c.Effect == Safe || q.open == 0 && !q.mayRun || c.Effect == Keyed && c.Group == GroupAll
	kind := ActFail
	if harmless {
		kind = ActRefuse
	}
	b.acts = append(b.acts, Action{Kind: kind, Request: q.id, After: windowTime})
	b.forget(q)
}

// forget marks a call as ended; its record stays until its last attempt closes.
func (b *Balancer) forget(q *request) {
	if c := &b.classes[q.class]; !q.ended && !q.shed {
		c.served -= servedGain * c.served
		if q.inTime {
			c.served += servedGain
		}
	}
	q.ended = true
	b.release(q)
}

func (b *Balancer) release(q *request) {
	if q.ended && q.open == 0 && !q.queued {
		delete(b.requests, q.id)
		b.spare = append(b.spare, q)
	}
}

func (b *Balancer) newRequest() *request {
	if len(b.spare) == 0 {
		return &request{}
	}
	q := b.spare[len(b.spare)-1]
	b.spare = b.spare[:len(b.spare)-1]
	*q = request{attempts: q.attempts[:0]}
	return q
}

// first notes that a stream has begun: the attempt belongs to the client now.
func (b *Balancer) first(ev *Event) {
	q := b.requests[ev.Request]
	if q == nil || int(ev.Attempt) >= len(q.attempts) || q.streaming {
		return
	}
	q.streaming = true
	a := &q.attempts[ev.Attempt]
	if !ev.Bound {
		b.learn(a.server, int(q.class), OK, ev.Took)
	} else if a.open {
		a.bound, q.inTime = true, b.now <= q.aimAt
		b.count(a.server, -1)
		a.server.streams++
	}
}

// outcome closes an attempt, learns from it and decides what follows for the call.
func (b *Balancer) outcome(ev *Event) {
	q := b.requests[ev.Request]
	if q == nil || int(ev.Attempt) >= len(q.attempts) || !q.attempts[ev.Attempt].open {
		return
	}
	a := &q.attempts[ev.Attempt]
	a.open = false
	if a.bound {
		a.server.streams--
	} else {
		b.count(a.server, -1)
	}
	b.closeIdle(a.server)
	q.open--
	if a.silent && ev.Outcome == Cancelled {
		ev.Outcome = Timeout
	}
	if a.bound && ev.Outcome == OK {
		b.sound(a.server) // its time tells nothing
	} else if !q.streaming || a.bound {
		b.learn(a.server, int(q.class), ev.Outcome, ev.Took)
	}
	if b.probing && ev.Outcome == OK && a.held >= 1 {
		b.turn += max(latencyGain, 1/float64(b.pooled)) * (ev.Took/a.held - b.turn)
	}
	neverRan := ev.Outcome == Full || ev.Outcome == ConnectFailed || ev.Outcome == NotSent
	if !neverRan && !q.mayRun { // attempts follow each other, so the first that may have run is the earliest
		q.mayRun, q.firstRun, q.runServer = true, a.sentAt, a.server
	}
	if ev.Outcome == OK && b.now <= q.aimAt {
		q.inTime = true
	}
	switch {
	case q.ended || ev.Done || ev.Outcome == OK:
		b.forget(q)
	case ev.Spent || b.now >= b.lastStart(q) || b.mustNotWait():
		b.end(q)
	case b.mayTry(q) && (!q.mayRun || b.set.Classes[q.class].Effect == Safe):
		b.enqueue(q, 0)
	default: // it may have run: once more only where the rules allow, and at once, not to block the head
		if s := b.choose(q); s == nil || !b.send(q, s) {
			b.end(q)
		}
	}
}

// sound notes that a server did well.
func (b *Balancer) sound(s *server) {
	s.run = max(0, s.run-runLeak)
	if s.goods++; s.cut && s.goods >= trialGoods {
		b.unmeasure(s)
	}
}

// learn puts an outcome into the server's window and the tier's pool.
func (b *Balancer) learn(s *server, class int, out Outcome, took float64) {
	if out == Cancelled || out == NotSent {
		return
	}
	ratio := failRatio
	if c := &b.classes[class]; out == OK {
		ratio = took / c.threshold
		s.pace += max(2*latencyGain, 1/float64(s.count+1)) * (min(ratio, failRatio) - s.pace)
		if c.latency == 0 {
			c.latency = took
		}
		c.latency += latencyGain * (took - c.latency)
		b.typical += max(latencyGain, 1/float64(b.pooled+1)) * (min(ratio, failRatio) - b.typical)
		if b.now > b.calmFrom { // the first answers are the quick ones
			b.calm = min(b.calm, b.typical)
		}
	}
	s.linked = out == OK || s.linked && out != ConnectFailed
	b.connLost -= latencyGain * b.connLost
	if out == ConnectFailed {
		b.connLost += latencyGain
	}
	sm := sample{b.now, ratio}
	s.samples[s.count%ringSize] = sm
	s.count++
	if (out == OK || out == Full) && !s.cut { // others tell of one server, not of the load
		b.pool[b.pooled%poolSize] = sm
		b.pooled++
	}
	if ratio <= 1 {
		s.good++
		b.sound(s)
		return
	}
	s.goods = 0
	s.run++
	more := float64(b.cuts+1) <= max(1, sharedPart*float64(len(b.live)))
	if s.run > runLimit && !s.cut && s.ready() && more {
		b.out -= s.out
		s.cut, s.measured = true, true
		s.load = b.floor()
		b.recount()
	}
}

// accrue refills a server's credit for the time gone by and returns its most.
func (b *Balancer) accrue(s *server) float64 {
	load := b.loadOf(s)
	most := max(1, load*creditTime/1000)
	s.credit = min(most, s.credit+load*(b.now-s.accruedAt)/1000)
	s.accruedAt = b.now
	return most
}

// loadOf is the load a server is given now, in calls a second of this copy.
func (b *Balancer) loadOf(s *server) float64 {
	load := s.load
	if s.cut {
		load = max(load, b.floor()) // it was cut when little was known of the others, perhaps
	}
	if !s.measured {
		load = b.usualLoad()
		if s.Weight > 0 && b.meanWeight > 0 {
			load *= s.Weight / b.meanWeight // a hint, until there is a measurement
		}
	}
	if s.cold {
		age := b.now - s.Started
		if age < b.set.Safety.Ramp {
			from, share := b.set.Safety.ColdFrom, b.evenShare()
			return min(load, coldPart*share*(from+(1-from)*max(age, 0)/b.set.Safety.Ramp))
		}
		s.cold = false
		b.warm = b.warm || !s.cut && b.serving > 0
	}
	return load
}

// evenShare is what a server that serves is sent, cold ones counted by their least; with none warm the demand
// on each. Demand counts what is refused too: in an overload its part fills a cold server to the brim.
func (b *Balancer) evenShare() float64 {
	if !b.warm {
		return b.arrivals.rate() / float64(max(len(b.live), 1))
	}
	return b.sends.rate() / b.serving
}

// usualLoad is the mean of those measured; before any is, what demand asks of each.
func (b *Balancer) usualLoad() float64 {
	if b.measured == 0 {
		return headroom * b.sends.rate() / float64(max(len(b.live), 1))
	}
	return b.meanLoad
}

// floor is the least load of a server, so that trial calls still reach it.
func (b *Balancer) floor() float64 { return max(floorPart*b.usualLoad(), 1000/revisePeriod) }

// reviseRoom applies the paper's rule to the calls that may be out at once, each second: ten are too long
// for an overload. Only the front sheds: an inner error would waste upstream work. Two signs tell of waiting:
// slow answers, and a mean well over its least. It sheds when both do, and rises by the mean (by slow answers
// till there is a least): either lags behind the calls that are out, and servers once driven over stay slow
// for long. The least mean is from a quieter time, or chance: a copy that sees much and gets fast answers
// goes by its tail, so that it reaches what others leave unused; its part is where it begins, not its bound.
func (b *Balancer) reviseRoom() {
	out := float64(b.out)
	b.roomAt = b.now + windowTime
	if b.set.Stage > 0 {
		return
	}
	b.room = max(cmp.Or(b.room, b.firstRoom), b.set.Limits.LeastRoom*b.serving)
	p95, ok := b.p95(nil)
	waits, slow := b.typical/(waitOver*b.calm), p95/shedOver
	if math.IsInf(b.calm, 1) {
		waits = slow
	}
	b.calm *= 1 + calmDrift
	if slow < fastPart && len(b.scratch) > windowSamples {
		waits = min(waits, slow)
	}
	switch {
	case len(b.scratch) == 0 || !ok && math.IsInf(b.calm, 1): // nothing measured
	case waits > 1 && (slow > 1 || !ok):
		good, _ := slices.BinarySearch(b.scratch, shedOver)
		part := float64(good) / float64(len(b.scratch))
		b.room = max(b.firstRoom, cutTo*part*min(b.room, max(out, b.room/headroom)))
	default:
		rise := math.Sqrt(1 + max(0, 1-waits*waits))
		b.room = min(b.room*rise, max(b.room, b.firstRoom, headroom*(out+1)))
	}
}

// revise is the paper's rule, every 10 s for each server.
func (b *Balancer) revise(s *server) {
	goodput := float64(s.good) * 1000 / max(b.now-s.since, 1)
	s.reviseAt, s.since, s.good = b.now+revisePeriod, b.now, 0
	p95, ok := b.p95(s)
	if !ok || s.cut {
		return
	}
	s.load, s.measured = revised(b.loadOf(s), goodput, p95, b.floor(), max(s.maxLoad, b.meanLoad)), true
	if p95 <= 1 {
		s.maxLoad = max(s.maxLoad, 2*headroom*goodput)
	}
	b.recount()
}

// revised gives the next load by the two formulas of the paper's section VI, held between floor and most.
func revised(load, goodput, p95, floor, most float64) float64 {
	if p95 > 1 {
		return max(floor, cutTo*goodput)
	}
	next := load * math.Sqrt(1+(1-p95))
	if most > 0 {
		next = min(next, max(most, load))
	}
	return max(floor, next)
}

// p95 is the ratio that 95 in 100 calls stay under: over the last second, over a
// longer window until it holds enough samples, and filled up from the tier's.
func (b *Balancer) p95(s *server) (float64, bool) {
	b.scratch = b.scratch[:0]
	if s != nil {
		b.window(s.samples[:], s.count)
		if len(b.scratch) == 0 {
			return 0, false
		}
	}
	if len(b.scratch) < windowSamples {
		b.window(b.pool[:], b.pooled)
	}
	if len(b.scratch) < min(windowSamples, max(firstSamples, b.pooled)) {
		return 0, false
	}
	slices.Sort(b.scratch)
	return b.scratch[int(math.Ceil(tail*float64(len(b.scratch))))-1], true
}

// window adds the samples of the last second, and older ones while too few are held.
func (b *Balancer) window(ring []sample, count int) {
	for i := 0; i < min(count, len(ring)); i++ {
		sm := ring[(count-1-i)%len(ring)]
		if sm.at < b.now-revisePeriod || sm.at < b.now-windowTime && len(b.scratch) >= windowSamples {
			return
		}
		b.scratch = append(b.scratch, sm.ratio)
	}
}

// unmeasure lets a server take the others' mean again, as after a good run of trials.
func (b *Balancer) unmeasure(s *server) {
	if s.cut && s.ready() {
		b.out += s.out
	}
	s.measured, s.cut, s.run, s.goods, s.count, s.good = false, false, 0, 0, 0, 0
	s.since, s.reviseAt = b.now, b.now+revisePeriod
	b.recount()
}

// recount renews what depends on the servers that serve: the mean load of the measured ones, and the room.
// The room follows them both ways: those left hold no more than they did, and one that comes or is taken
// back gets as much as each of them, less while cold. Taking alone would add up: servers replaced one by one,
// a zone that flaps or a late list would leave no room beside idle servers. With the room of all, those left
// by cuts are driven over. It does harm where a cut is wrong, or the list names servers that cannot serve:
// their share jams the rest till the next revision.
func (b *Balancer) recount() {
	sum, n, cuts, serving := 0.0, 0, 0, 0.0
	b.warm = false
	for _, s := range b.live {
		if s.cut {
			cuts++
		} else if s.measured {
			sum += s.load
			n++
		}
		if s.ready() && !s.cut && s.cold {
			serving += b.set.Safety.ColdFrom
		} else if s.ready() && !s.cut {
			serving++
			b.warm = true
		}
	}
	b.cuts, b.measured, b.meanLoad = cuts, n, sum/float64(max(n, 1))
	if b.serving == 0 && b.roomEach > 0 {
		b.room = b.roomEach * serving // what was imported
	}
	if serving > 0 {
		b.room *= serving / cmp.Or(b.serving, serving)
		b.serving = serving
	}
	b.firstRoom = max(heldLeast, heldFirst*serving/float64(b.set.Copies))
}

// average is a rate a second that forgets with demandTime. Weight is the part of that time that it has
// seen: without it the first seconds of a copy would pass for quiet ones.
type average struct{ sum, at, weight float64 }

func (a *average) add(now, n float64) {
	kept := 0.0
	if a.at > 0 {
		kept = math.Exp((a.at - now) / demandTime)
		a.weight = 1 - kept + kept*a.weight
	}
	a.sum, a.at = kept*a.sum+n*1000/demandTime, now
}

// now is the rate as it has faded since the last entry.
func (a *average) now(at float64) float64 {
	return a.rate() * math.Exp(min(0, (a.at-at)/demandTime))
}

func (a *average) rate() float64 { return a.sum / max(a.weight, demandLeast) }

// --- The list of servers.

func (b *Balancer) list(ev *Event) {
	if ev.List == ListFailed {
		if b.set.ListOnRequest && b.askAt == 0 {
			b.askAt = b.now + b.backoff*(0.5+b.random())
			b.backoff = min(2*b.backoff, max(askBackoff, b.set.Safety.AskEvery))
		}
		return
	}
	b.backoff = askBackoff
	b.set.Copies = cmp.Or(max(ev.Copies, 0), b.set.Copies)
	b.set.Rank = cmp.Or(max(ev.Rank, 0), b.set.Rank+1) - 1
	if ev.List != ListDelta {
		for _, s := range b.byID {
			s.listed = false
			b.leave(s)
		}
	}
	for i := range ev.Servers {
		if s := b.entry(&ev.Servers[i]); s.listed && !s.inLive {
			s.inLive = true
			b.live = append(b.live, s)
		}
	}
	b.live = slices.DeleteFunc(b.live, func(s *server) bool {
		b.closeIdle(s)
		s.inLive = s.ready()
		return !s.inLive
	})
	if b.mustNotWait() {
		b.sweepAt = b.now // what waits is not to wait any longer
	}
	b.out, b.meanWeight = 0, 0
	for _, s := range b.live {
		b.meanWeight += max(s.Weight, 0) / float64(len(b.live))
		if !s.cut {
			b.out += s.out
		}
	}
	// Servers come and go for as long as a copy runs: what is gone for good must not be kept.
	b.leaving = slices.DeleteFunc(b.leaving, func(s *server) bool {
		done := !s.listed && s.out+s.streams == 0 && !s.asked
		if done {
			delete(b.byID, s.Server)
		}
		s.leaving = !s.listed && !done
		return !s.leaving
	})
	b.backups = slices.ContainsFunc(b.live, func(s *server) bool { return s.Backup })
	b.recount()
	b.assignHomes()
}

// closeIdle closes the idle connections to a server that drains: on the notice, after each outcome and probe
// there, and once more later, for one that was still being opened. A quiet copy would hold the drain up.
func (b *Balancer) closeIdle(s *server) {
	if s.ready() || b.set.Safety.DrainClose <= 0 {
		return
	}
	if s.closeAt == 0 {
		b.closing = append(b.closing, s)
	}
	s.closeAt = b.now + b.set.Safety.DrainClose/2
	b.acts = append(b.acts, Action{Kind: ActClose, Server: s.Server},
		Action{Kind: ActTimer, After: b.set.Safety.DrainClose / 2})
}

// closeAgain does so for those whose time has come, give or take what a host rounds off a timer.
func (b *Balancer) closeAgain() {
	b.closing = slices.DeleteFunc(b.closing, func(s *server) bool {
		due := b.now >= s.closeAt-1
		if due {
			s.closeAt = 0
		}
		if due && !s.ready() {
			b.acts = append(b.acts, Action{Kind: ActClose, Server: s.Server})
		}
		return due
	})
}

// assignHomes deals the zone's servers out over the copies: an even stretch each of one order that all know.
// A copy sees only its own calls, so without this each server is loaded by chance.
func (b *Balancer) assignHomes() {
	zones := 1
	b.homes = slices.DeleteFunc(b.homes, func(s *server) bool {
		s.inHomes = s.inLive && int(s.Zone) == b.set.Zone
		return !s.inHomes
	})
	for _, s := range b.live {
		s.home = 0
		zones = max(zones, int(s.Zone)+1)
		if int(s.Zone) == b.set.Zone && !s.inHomes {
			s.inHomes = true
			b.homes = append(b.homes, s)
		}
	}
	// Those that stay are in order, so a few new ones cost a linear pass.
	slices.SortFunc(b.homes, func(a, c *server) int { return cmp.Compare(a.order, c.order) })
	copies := max(b.set.Copies/zones, 1)
	each := float64(len(b.homes)) / float64(copies)
	from := each * float64(b.set.Rank/zones%copies)
	for i, s := range b.homes {
		s.home = max(0, min(from+each, float64(i+1))-max(from, float64(i)))
	}
}

// entry takes one line of the list; a fresh start time makes the server new and cold.
func (b *Balancer) entry(e *ServerEntry) *server {
	s := b.byID[e.Server]
	if s == nil {
		s = &server{accruedAt: b.now, lastSent: -b.random(), since: b.now}
		s.order = spread.Mix(uint64(e.Server))
		s.reviseAt = b.now + revisePeriod*(0.2+0.8*b.random())
		b.byID[e.Server] = s
	}
	fresh := e.Started > s.Started
	s.ServerEntry = *e
	if fresh {
		b.unmeasure(s)
		s.maxLoad, s.pace, s.linked = 0, 0, false
		if b.now-s.Started < b.set.Safety.Ramp { // credit by chance: copies must not all send at once
			s.cold, s.credit, s.accruedAt = true, b.random(), b.now
		}
	}
	if s.listed = e.State != Gone; !s.listed {
		b.leave(s)
	} else if len(b.remembered) > 0 {
		b.recall(s)
	}
	return s
}

// leave notes a server that may be gone for good.
func (b *Balancer) leave(s *server) {
	if !s.leaving {
		s.leaving = true
		b.leaving = append(b.leaving, s)
	}
}

// wake asks for the list when that is due, and keeps one timer pending while calls wait or it is to be asked.
func (b *Balancer) wake() {
	if b.askAt != 0 && b.now >= b.askAt {
		b.askAt = 0
		b.acts = append(b.acts, Action{Kind: ActWatch})
	}
	at := b.askAt
	if len(b.queue) > 0 {
		next := max(b.now+wakeLeast, min(b.sweepAt, b.now+wakeMost))
		if at == 0 || next < at {
			at = next
		}
	}
	if len(b.doubts) > 0 && (at == 0 || b.doubts[0].at < at) {
		at = b.doubts[0].at
	}
	if at == 0 || b.wakeAt != 0 && b.wakeAt <= at {
		return
	}
	b.wakeAt, b.timer = at, b.timer+1
	b.acts = append(b.acts, Action{Kind: ActTimer, After: max(at-b.now, 0), Token: b.timer})
}

// random gives the next number in [0, 1) of the seed's stream (splitmix64).
func (b *Balancer) random() float64 {
	b.rng += 0x9e3779b97f4a7c15
	return float64(spread.Mix(b.rng)>>11) / (1 << 53)
}
