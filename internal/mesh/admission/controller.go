// Package admission is the admission control beside an endpoint. Every request reaches the endpoint
// through it, so it enforces the rules of the endpoint exactly: no request after a drain, into an
// evacuated zone or for another instance, no more requests a second than an endpoint that is warming
// up can take, and no more requests at once than its capacity. A rejected request never reached the
// endpoint. The package reads no clock and does no I/O: callers pass the time and get decisions.
package admission

import (
	"cmp"
	"time"
)

// State is the last known state of the endpoint.
type State uint8

// The states. SetState is the one function that changes them.
const (
	Unknown  State = iota // no instance is known
	Serving               // it accepts requests
	Draining              // its departure was acknowledged: for a while, requests in transit are still admitted
	Down                  // it does not respond
	Gone                  // it has ended
)

func (s State) String() string {
	return [...]string{"unknown", "serving", "draining", "down", "gone"}[s]
}

// Decision is the decision on a request. All but Admit and Queue mean that the request never reached
// the endpoint. Proxies send the text of a decision to each other, so the texts do not change.
type Decision uint8

// The decisions.
const (
	Admit Decision = iota
	Queue
	NoInstance    // no instance is known, or it does not respond, or it has ended
	OtherInstance // the request is for another instance
	ShuttingDown  // the endpoint drains, or this proxy shuts down
	Evacuated     // the zone is evacuated
	WarmingUp     // the endpoint is warming up and has received its share of this second
	Full          // the endpoint and the queue are full
)

func (d Decision) String() string {
	return [...]string{"pass", "wait", "nolife", "otherlife", "leaving", "evacuated", "cold", "full"}[d]
}

// Limits are the limits that admission control enforces.
type Limits struct {
	Drain        time.Duration // from the acknowledgment of a departure to the last request that may reach the endpoint
	WarmupExcess float64       // factor of WarmupRate that any second may reach
	WarmupSlack  float64       // requests that any second may have beyond that
	WarmupRate   float64       // requests a second to an endpoint that is warming up; 0 for no limit
	MaxConns     int           // 0 for no limit
}

const (
	drainFraction        = 0.5         // of the drain time, in which requests in transit are still admitted
	warmupWindow         = time.Second // over which requests to an endpoint that is warming up are counted
	warmupRateFraction   = 1.0         // of WarmupRate
	warmupExcessFraction = 0.6         // of what WarmupExcess and WarmupSlack allow
	defaultCapacity      = 6           // if neither the endpoint nor another proxy has reported the capacity
)

// Request is a request for admission.
type Request struct {
	InstanceID       string // the instance that the request is for
	Priority         int    // a lower number goes first in the queue
	NonRepeatable    bool   // it may run once only: during a warm-up it goes before repeatable requests of its priority
	WaitDuringWarmup bool   // it may be queued at an endpoint that is warming up, as its sender knows no warm one
	Deadline         time.Time
}

// Controller is the admission control of one endpoint. It is not safe for concurrent use.
type Controller struct {
	limits           Limits
	state            State
	instanceID       string
	ended            endedInstances
	capacity         int
	guessedCapacity  int // until the endpoint reports its capacity
	warmAt           time.Time
	closeAt          time.Time // with Draining: no request is admitted from then on
	shutdownAt       time.Time // when this proxy stops admitting; zero for never
	evacuated        bool
	evacuationNumber uint64 // version of the evacuation order that is applied
	evacuationKnown  bool   // until then no request is admitted
	warmupUncertain  bool   // the endpoint may be warming up without having reported it
	inFlight         int
	queue            []*Ticket
	displaced        []QueueOutcome // of requests that others have displaced from the queue since the last ProcessQueue
	admissions       []time.Time    // within the last warmupWindow
	firstAdmission   time.Time      // when the first request was admitted
	lastSequence     uint64
}

// New returns a controller without an instance.
func New(limits Limits) *Controller {
	return &Controller{limits: limits}
}

// SetLimits replaces the limits.
func (c *Controller) SetLimits(limits Limits) { c.limits = limits }

// State returns the state and the id of the instance.
func (c *Controller) State() (State, string) { return c.state, c.instanceID }

// InFlight returns the number of requests that the endpoint is processing.
func (c *Controller) InFlight() int { return c.inFlight }

// Queued returns the number of requests that wait for the endpoint.
func (c *Controller) Queued() int { return len(c.queue) }

// Capacity returns the number of requests that the endpoint processes at once, as it last reported.
func (c *Controller) Capacity() int { return c.capacity }

// GuessCapacity sets the likely capacity, which is used until the endpoint reports its own.
func (c *Controller) GuessCapacity(capacity int) { c.guessedCapacity = capacity }

// SetState sets the state of an instance; no other method changes the state. It reports whether
// anything changed. An instance that has ended stays so, and one that drains never
// serves again.
func (c *Controller) SetState(now time.Time, instanceID string, to State) bool {
	isNew := instanceID != c.instanceID
	switch {
	case c.ended.contains(instanceID) && to != Gone:
		return false
	case instanceID != c.instanceID:
		if to == Gone {
			c.ended.add(instanceID)
			return false
		}
		if c.instanceID != "" {
			c.ended.add(c.instanceID)
		}
		c.instanceID, c.warmAt, c.warmupUncertain, c.capacity = instanceID, time.Time{}, false, 0
	case to == c.state:
		return false
	case c.state == Draining && (to == Serving || to == Down):
		return false
	}
	first := c.state == Unknown || isNew
	c.state = to
	switch to {
	case Draining:
		if c.closeAt = now; !first { // first seen draining: an earlier process may have acknowledged its departure long ago
			c.closeAt = now.Add(time.Duration(drainFraction * float64(c.limits.Drain)))
		}
	case Gone:
		c.ended.add(instanceID)
	}
	return true
}

// Report records the capacity and the remaining warm-up time that the endpoint reports.
func (c *Controller) Report(now time.Time, capacity int, warmup time.Duration) {
	c.capacity, c.warmupUncertain = capacity, false
	if until := now.Add(warmup); warmup > 0 && until.After(c.warmAt) {
		c.warmAt = until
	}
}

// Shutdown rejects all requests from a time on, as this proxy shuts down.
func (c *Controller) Shutdown(from time.Time) { c.shutdownAt = from }

// SetEvacuation starts or ends an evacuation. After the end, the endpoint is treated as warming up
// until it reports its warm-up time. An order with a lower number than the applied one changes
// nothing. Number 0 means that the zone had no order.
func (c *Controller) SetEvacuation(number uint64, on bool) {
	if number < c.evacuationNumber {
		return
	}
	if c.evacuated && !on {
		c.warmupUncertain = true
	}
	c.evacuationNumber, c.evacuated, c.evacuationKnown = number, on, true
}

// IsEvacuated reports whether the zone is evacuated.
func (c *Controller) IsEvacuated() bool { return c.evacuated }

// rejection returns the reason to reject all requests for an instance now, or Admit if there is none.
func (c *Controller) rejection(now time.Time, instanceID string) Decision {
	switch {
	case instanceID != c.instanceID && c.instanceID != "":
		return OtherInstance
	case !c.evacuationKnown || c.state == Unknown || c.state == Down || c.state == Gone:
		return NoInstance
	case c.evacuated:
		return Evacuated
	case c.state == Draining && !now.Before(c.closeAt), !c.shutdownAt.IsZero() && !now.Before(c.shutdownAt):
		return ShuttingDown
	}
	return Admit
}

// maxInFlight returns the number of requests that may be in flight at once.
func (c *Controller) maxInFlight() int {
	n := cmp.Or(c.capacity, c.guessedCapacity, defaultCapacity)
	if c.limits.MaxConns > 0 {
		n = min(n, c.limits.MaxConns)
	}
	return n
}

// capacityDecision returns whether the endpoint can take one more request now: Admit, Full or WarmingUp.
func (c *Controller) capacityDecision(now time.Time) Decision {
	if c.inFlight >= c.maxInFlight() {
		return Full
	}
	if c.isWarmingUp(now) && c.nextWarmupSlot(now).After(now) {
		return WarmingUp
	}
	return Admit
}
