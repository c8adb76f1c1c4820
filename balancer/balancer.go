// The interface of this module, its Settings, Events and Actions, is in settings.go and api.go.

// Package balancer decides, for one instance of a load balancer, which server gets which request, whether to
// retry, and what to reject. It is sans-I/O: New makes a Balancer, and Handle turns each event into actions.
// The mechanism is SMACE's (Kim and Schulzrinne) with additions; docs/design.md says which part is which.
//
// Invariants: a request has one final outcome, one attempt at a time and a server that the rules allow
// (send); a request that may have been executed is sent again only if its class permits (isAllowed).
package balancer

import (
	"fmt"
	"math"

	"milletmast/internal/namehash"
	"milletmast/internal/stats"
)

// New returns a balancer for one instance. The seed determines its random numbers. The error for an
// invalid setting names that setting.
func New(set Settings, seed uint64, now float64) (*Balancer, error) {
	if err := set.normalize(); err != nil {
		return nil, fmt.Errorf("balancer: %w", err)
	}
	b := &Balancer{
		settings: set, rng: seed ^ weyl, now: now,
		expireAt: math.Inf(1), baseRatio: math.Inf(1),
		servers: map[uint32]*server{}, requests: map[uint32]*request{},
	}
	b.setRetryBudget()
	for _, c := range set.Classes {
		b.addClass(&c)
	}
	cost := set.ProbeCost * probesPerRequest * float64(set.Tiers)
	b.probesEnabled = set.Limits.CanProbe && set.QueueLengthField > 0 && cost <= maxProbeCost
	for _, t := range set.Tenants {
		quota := t.Quota / float64(set.Replicas)
		b.tenantQuotas = append(b.tenantQuotas, stats.NewTokenBucket(quota, quotaBurstTime, now))
	}
	if set.PollsList {
		b.pollBackoff = minPollBackoff
		b.pollAt = now + b.random()*pollSpread*set.Safety.ListInterval
	}
	b.baseRatioFrom = now + b.silenceTimeout // the first responses come from fast requests
	return b, nil
}

// setRetryBudget sets the default retry budget if the site sets none.
func (b *Balancer) setRetryBudget() {
	f := &b.settings.Safety
	if f.RetryBudgetWindow > 0 {
		b.hasSiteBudget = true
		return
	}
	f.RetryBudgetMin, f.RetryBudgetShare = defaultRetryMin, defaultRetryShare
	f.RetryBudgetWindow = defaultRetryWindow
}

func (b *Balancer) addClass(c *Class) {
	tiers, classes := float64(b.settings.Tiers), float64(len(b.settings.Classes))
	state := classState{requestShare: 1 / classes, onTimeShare: 1}
	state.threshold = c.LatencyTarget * thresholdShare
	state.threshold *= (tiers - float64(b.settings.Tier)) / tiers // the tiers still ahead
	b.classes = append(b.classes, state)
	b.silenceTimeout = max(b.silenceTimeout, state.threshold)
	b.meanTarget += c.LatencyTarget / classes
}

// Handle handles one event and appends the actions that follow from it. If the time is before that of the
// last event, the time of the last event is used.
func (b *Balancer) Handle(now float64, ev *Event, actions []Action) []Action {
	clean := ev.sanitized()
	b.now, b.actions, ev = advanceClock(b.now, now), actions, &clean
	switch ev.Kind {
	case EvRequest:
		b.handleRequest(ev)
	case EvFirstByte:
		b.handleFirstByte(ev)
	case EvAttemptEnded:
		b.handleAttemptEnded(ev)
	case EvRequestAbandoned:
		b.handleRequestAbandoned(ev)
	case EvServerList:
		b.handleServerList(ev)
	case EvProbeResult:
		b.handleProbeResult(ev)
	case EvMaxRequests:
		b.settings.Limits.MaxRequests = max(ev.MaxRequests, 0)
	case EvTimer:
		if ev.Token == b.timerToken {
			b.timerAt = 0 // by its token, not its time, which the sidecar may have rounded
		}
		b.closeDueIdleConns()
	}
	b.cancelSilentAttempts()
	b.dispatch()
	b.updateTimer()
	return b.actions
}

// updateTimer polls the server list when that is due, and keeps one timer pending for what is due next.
func (b *Balancer) updateTimer() {
	if b.pollAt != 0 && b.now >= b.pollAt {
		b.pollAt = 0
		b.actions = append(b.actions, Action{Kind: ActSubscribe})
	}
	at := b.pollAt
	if len(b.queue) > 0 {
		next := max(b.now+minTimerDelay, min(b.expireAt, b.now+maxTimerDelay))
		if at == 0 || next < at {
			at = next
		}
	}
	if len(b.silenceChecks) > 0 && (at == 0 || b.silenceChecks[0].at < at) {
		at = b.silenceChecks[0].at
	}
	if at == 0 || b.timerAt != 0 && b.timerAt <= at {
		return
	}
	b.timerAt, b.timerToken = at, b.timerToken+1
	b.actions = append(b.actions, Action{Kind: ActTimer, Delay: max(at-b.now, 0), Token: b.timerToken})
}

// weyl is the increment of splitmix64.
const weyl = 0x9e3779b97f4a7c15

// random returns the next number in [0, 1) of the seed's stream (splitmix64).
func (b *Balancer) random() float64 {
	b.rng += weyl
	return float64(namehash.Mix(b.rng)>>11) / (1 << 53)
}
