// The interface of this module, its Settings, Events and Actions, is in api.go.

// Package balancer decides, for one copy of a balancer, which server gets which call. It is sans-I/O: New
// makes a Balancer and Handle turns each event into actions. The mechanism is SMACE's (Kim and Schulzrinne)
// with our additions; docs/design.md tells the two apart.
package balancer

import (
	"fmt"
	"math"

	"milletmast/internal/namehash"
	"milletmast/internal/stats"
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
	sends, arrivals stats.DecayingRate
	meanAim         float64
	taken, further  stats.SlidingCounter // requests, and attempts that the retry budget counts
	doubts          []doubt              // of attempts of safe classes, the next one first
	closing         []*server            // draining, and to be closed once more
	budgetTold      bool                 // the site states the retry budget
	out             int                  // calls out at servers that are not cut
	room            float64              // most calls out at once; 0 = not bounded yet
	firstRoom       float64              // its start: replicas together must not overrun an unmeasured tier
	serving         float64              // servers that room is for: ready and not cut, a cold one in part
	warm            bool                 // one of them is warm
	roomAt          float64              // next revision of room
	typical, calm   float64              // mean ratio of answers, and its least: they show queueing
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
		return nil, fmt.Errorf("balancer: %w", err)
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
	b.arrivals, b.sends = stats.SteadyRate(m.Demand, b.now), stats.SteadyRate(m.Sent, b.now)
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
	return float64(namehash.Mix(b.rng)>>11) / (1 << 53)
}
