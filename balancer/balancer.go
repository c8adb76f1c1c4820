// The interface of this module, its Settings, Events and Actions, is in api.go.

// Package balancer decides, for one copy of a balancer, which server gets which call. It is sans-I/O: New
// makes a Balancer and Handle turns each event into actions. The mechanism is SMACE's (Kim and Schulzrinne)
// with our additions; docs/design.md tells the two apart.
package balancer

import (
	"fmt"
	"math"

	"milletmast/internal/namehash"
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
