package admission

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// maxPriorityInversion is the share by which a class of requests may be admitted less often than a less urgent one.
const maxPriorityInversion = 0.05

// testClass is a class of requests that arrive at one endpoint.
type testClass struct {
	priority      int
	perSecond     float64
	queueTime     time.Duration // of each attempt
	nonRepeatable bool
}

// overload draws the arrivals of some classes at one endpoint.
type overload struct {
	controller  *Controller
	classes     []testClass
	random      *rand.Rand
	serviceTime time.Duration // mean
	attempts    int           // of each request
	waiting     map[*Ticket]attempt
	processing  map[*Ticket]time.Time // until when
	arrived     []int                 // by class
	admitted    []int                 // by class
}

// attempt is one attempt of a request of a class.
type attempt struct{ class, number int }

func newOverload(c *Controller, serviceTime time.Duration, seed uint64, attempts int, classes []testClass) *overload {
	return &overload{
		controller: c, classes: classes, serviceTime: serviceTime, random: rand.New(rand.NewPCG(seed, 0)), attempts: attempts,
		waiting: map[*Ticket]attempt{}, processing: map[*Ticket]time.Time{},
		arrived: make([]int, len(classes)), admitted: make([]int, len(classes)),
	}
}

// run lets requests arrive over a window, in steps of two milliseconds, and then lets the queue empty.
func (o *overload) run(window time.Duration) {
	const step = 2 * time.Millisecond
	for now := start; now.Before(start.Add(2*window)) && (now.Before(start.Add(window)) || o.controller.Queued() > 0); now = now.Add(step) {
		o.releaseEnded(now)
		if now.Before(start.Add(window)) {
			for _, class := range o.random.Perm(len(o.classes)) {
				if o.random.Float64() < o.classes[class].perSecond*step.Seconds() {
					o.arrived[class]++
					o.attempt(now, attempt{class, 1})
				}
			}
		}
		o.processQueue(now)
	}
}

func (o *overload) releaseEnded(now time.Time) {
	for ticket, until := range o.processing {
		if !now.Before(until) {
			o.controller.Release(ticket)
			delete(o.processing, ticket)
		}
	}
}

func (o *overload) attempt(now time.Time, a attempt) {
	class := &o.classes[a.class]
	ticket, decision := o.controller.Admit(now, Request{
		InstanceID: testInstance, Priority: class.priority, NonRepeatable: class.nonRepeatable,
		WaitDuringWarmup: true, Deadline: now.Add(class.queueTime),
	})
	switch decision {
	case Admit:
		o.admit(now, ticket, a.class)
	case Queue:
		o.waiting[ticket] = a
		o.processQueue(now)
	}
}

// processQueue delivers the outcomes of the queue. A request that has waited in vain is attempted again; one that found the queue full, or
// was displaced, is not.
func (o *overload) processQueue(now time.Time) {
	outcomes, _ := o.controller.ProcessQueue(now)
	for _, outcome := range outcomes {
		a := o.waiting[outcome.Ticket]
		delete(o.waiting, outcome.Ticket)
		switch expired := !now.Before(outcome.Ticket.Deadline); {
		case outcome.Decision == Admit:
			o.admit(now, outcome.Ticket, a.class)
		case expired && a.number < o.attempts:
			o.attempt(now, attempt{a.class, a.number + 1})
		}
	}
}

func (o *overload) admit(now time.Time, ticket *Ticket, class int) {
	o.admitted[class]++
	o.processing[ticket] = now.Add(time.Duration(2 * o.random.Float64() * float64(o.serviceTime)))
}

func (o *overload) share(class int) float64 {
	return float64(o.admitted[class]) / float64(max(o.arrived[class], 1))
}

// checkNoInversion fails the test if a class was admitted less often than a less urgent one.
func (o *overload) checkNoInversion(t *testing.T) {
	t.Helper()
	for urgent := range o.classes {
		for other := range o.classes {
			if o.classes[urgent].priority < o.classes[other].priority && o.share(urgent) < o.share(other)-maxPriorityInversion {
				t.Errorf("priority %d is admitted to %.3f, priority %d to %.3f",
					o.classes[urgent].priority, o.share(urgent), o.classes[other].priority, o.share(other))
			}
		}
	}
}

// overloadCase is a mix of classes that overload an endpoint of capacity 9 and warm-up rate 9.3.
type overloadCase struct {
	name     string
	attempts int // of each request
	classes  []testClass
}

// run draws the arrivals in several windows, at an endpoint that is warming up and at a warm one. The shares are those
// of all windows: in one, the rarest class has about forty requests, whose share varies by more than the bound.
func (oc *overloadCase) run(t *testing.T, serviceTimeWarm time.Duration) {
	const (
		window = 20 * time.Second
		seeds  = 20 // one window each
	)
	for warmup, serviceTime := range map[time.Duration]time.Duration{0: serviceTimeWarm, time.Hour: 300 * time.Millisecond} {
		t.Run(oc.name+", warm-up "+warmup.String(), func(t *testing.T) {
			total := &overload{classes: oc.classes, arrived: make([]int, len(oc.classes)), admitted: make([]int, len(oc.classes))}
			for seed := range uint64(seeds) {
				c := newTestController(Limits{WarmupRate: 9.3, WarmupExcess: 2, WarmupSlack: 5})
				c.Report(start, 9, warmup)
				o := newOverload(c, serviceTime, seed, oc.attempts, oc.classes)
				o.run(window)
				for class := range oc.classes {
					total.arrived[class] += o.arrived[class]
					total.admitted[class] += o.admitted[class]
				}
			}
			total.checkNoInversion(t)
			for class := range oc.classes {
				t.Logf("priority %d is admitted to %.3f", oc.classes[class].priority, total.share(class))
			}
		})
	}
}

// A class of requests is never admitted less often than a less urgent one by over five in a hundred, at an overloaded endpoint that is
// warming up or warm, if all wait equally long.
func TestNoPriorityInversionUnderOverload(t *testing.T) {
	t.Parallel()
	const wait = 150 * time.Millisecond
	for _, oc := range []overloadCase{
		{"alike", 1, []testClass{{0, 10, wait, false}, {1, 10, wait, false}, {2, 10, wait, false}}},
		{"less urgent are many", 1, []testClass{{0, 2, wait, false}, {1, 4, wait, true}, {2, 200, wait, false}}},
		{"less urgent are not repeatable", 1, []testClass{{0, 6, wait, false}, {1, 10, wait, true}, {2, 30, wait, true}}},
		{"urgent alone are too many", 1, []testClass{{0, 25, wait, false}, {1, 10, wait, true}, {2, 10, wait, true}}},
	} {
		oc.run(t, time.Second)
	}
}

// The same holds if the less urgent requests wait longer at each attempt, as their target latency is longer, but all are attempted again
// as often as the proxies do.
func TestNoPriorityInversionOfImpatientRequests(t *testing.T) {
	t.Parallel()
	const attempts = 6
	for _, oc := range []overloadCase{
		{"two classes", attempts, []testClass{{1, 6, 150 * time.Millisecond, true}, {2, 20, 500 * time.Millisecond, false}}},
		{"three classes", attempts, []testClass{
			{0, 3, 125 * time.Millisecond, true}, {1, 5, 150 * time.Millisecond, true}, {2, 30, 500 * time.Millisecond, false},
		}},
		{"flood", attempts, []testClass{
			{0, 2, 125 * time.Millisecond, false}, {1, 4, 150 * time.Millisecond, false}, {2, 200, 500 * time.Millisecond, false},
		}},
	} {
		oc.run(t, time.Second)
	}
}

// A request displaces the last request of a lower priority from a full queue, but none of its own or a higher priority.
func TestDisplaceLowerPriority(t *testing.T) {
	c := newTestController(Limits{MaxConns: 2})
	later := start.Add(time.Second)
	request := func(priority int) (*Ticket, Decision) {
		return c.Admit(start, Request{InstanceID: testInstance, Priority: priority, Deadline: later})
	}
	for range 2 {
		request(1)
	}
	request(2)
	lastLow, _ := request(2)
	if _, decision := request(2); decision != Full {
		t.Fatalf("a request of the same priority: %v", decision)
	}
	urgent, decision := request(1)
	if decision != Queue || c.Queued() != 2 {
		t.Fatalf("a more urgent request: %v, %d queued", decision, c.Queued())
	}
	outcomes, _ := c.ProcessQueue(start)
	if want := []QueueOutcome{{lastLow, Full}}; !slices.Equal(outcomes, want) {
		t.Fatalf("outcomes %v, want %v", outcomes, want)
	}
	c.Release(urgent)
	if outcomes, _ = c.ProcessQueue(start); len(outcomes) != 0 || c.Queued() != 1 {
		t.Fatalf("after its release: %v, %d queued", outcomes, c.Queued())
	}
}

// A request that goes before all queued ones is admitted at once if the endpoint can take one more, even if it does not wait.
func TestUrgentRequestNeedNotQueue(t *testing.T) {
	c := newTestController(Limits{MaxConns: 1})
	later := start.Add(time.Second)
	first, _ := c.Admit(start, Request{InstanceID: testInstance, Deadline: later})
	c.Admit(start, Request{InstanceID: testInstance, Priority: 2, Deadline: later})
	c.Release(first)
	if _, decision := c.Admit(start, Request{InstanceID: testInstance, Priority: 1, Deadline: start}); decision != Admit {
		t.Fatalf("%v", decision)
	}
}
