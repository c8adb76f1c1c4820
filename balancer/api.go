package balancer

import (
	"errors"
	"fmt"
	"math"
)

// This file is the whole interface of the decision module: what it is told at
// start (Settings), what it hears (Event) and what it answers (Action). The
// decisions themselves are in balancer.go and the files beside it. All times are milliseconds.

// Effect says how far a request of a class may be repeated.
type Effect uint8

// The three kinds of effect.
const (
	Safe   Effect = iota // may be repeated freely
	Keyed                // repeats are dropped within a group of servers, for a while
	Unsafe               // must never run twice
)

// Group is the set of servers that drop repeats of a keyed request.
type DedupGroup uint8

// The groups of a keyed class.
const (
	DedupAll DedupGroup = iota
	DedupZone
	DedupCell
)

// Class describes one class of requests.
type Class struct {
	Name           string
	PriorityWeight float64 // of one request answered in time; default 1
	LateShare      float64 // share of Worth that an answer after Aim still earns
	LatencyTarget  float64 // wanted within
	TargetPerWork  float64 // the aim grows by this multiple of the request's own work
	Timeout        float64 // given up after
	Effect         Effect
	DedupGroup     DedupGroup // keyed only
	DedupWindow    float64    // keyed only: how long the group remembers a request
	Streaming      bool
}

// Tenant is one of those who share the service.
type Tenant struct {
	Name  string
	Quota float64 // requests a second over all copies; 0 = no quota
}

// Limits are what the site permits.
type Limits struct {
	MaxAttempts             int // per request; default 1
	MaxRequests             int // open requests per copy; 0 = no bound
	CanCancel               bool
	CanHedge                bool
	CanProbe                bool
	RetryAfter              bool
	MaxRetryAfter           float64
	ConnectTimeout          float64
	ConnIdleTimeout         float64 // an idle connection closes after this; 0 = not told
	StreamsPerConn          int     // attempts that one connection carries at once; default 1
	MinConcurrencyPerServer float64 // calls out at once for each server that serves that are always let out; the servers refuse what is too much
	RejectWithoutServers    bool    // with no server to send to, calls are ended at once instead of waiting for one
}

// Safety holds the figures of the four rules.
type Safety struct {
	ResponseSlack     float64 // a final answer is valid so long after the due time
	DrainGrace        float64
	SlowStartShare    float64 // a cold server starts with at least this share of its capacity
	SlowStartTime     float64 // and is warm after this time at the latest
	OverloadMultiple  float64
	OverloadTime      float64
	ListInterval      float64 // on-request lists: ask at least so often
	DrainCloseTime    float64 // idle connections to a draining server are closed within this; 0 = no such rule
	RetryBudgetMin    float64 // within any BudgetWindow, attempts beyond each request's first may number this
	RetryBudgetShare  float64 // plus this share of the requests taken
	RetryBudgetWindow float64 // 0 = no such rule
}

// Settings is everything a balancer copy is told at start. Absent figures take
// the defaults that the fields name.
type Settings struct {
	Replicas         int // copies that balance for this tier; default 1
	Rank             int // number of this copy among them
	Tier, Tiers      int // the tier this copy sends to, of how many; 0 is the front
	Zone             int // where this copy runs
	PollsList        bool
	WeightByWork     bool
	ProbeCost        float64 // points of the goal for one probe a request
	QueueLengthField int     // place of the requests a server holds in a load report, from 1; 0 = not told
	WorstClassWeight float64 // weight of the worst-served class in the goal, over that of all worth
	OverQuotaShare   float64 // worth of a request beyond its tenant's quota, as a share
	Classes          []Class
	Tenants          []Tenant
	Limits           Limits
	Safety           Safety
}

// normalize fills in defaults, and returns an error that names the first setting that cannot be used.
func (set *Settings) normalize() error {
	set.Replicas, set.Tiers = max(set.Replicas, 1), max(set.Tiers, 1)
	set.Limits.MaxAttempts = max(set.Limits.MaxAttempts, 1)
	if len(set.Classes) == 0 {
		return errors.New("settings: Classes is empty")
	}
	if set.Tier < 0 || set.Tier >= set.Tiers {
		return fmt.Errorf("settings: Tier %d is outside the %d tiers", set.Tier, set.Tiers)
	}
	for i := range set.Classes {
		if err := set.Classes[i].validate(); err != nil {
			return fmt.Errorf("settings: Classes[%d]: %w", i, err)
		}
	}
	return set.Safety.validate()
}

func (c *Class) validate() error {
	if c.Effect > Unsafe {
		return fmt.Errorf("Effect %d is unknown", c.Effect)
	}
	if !(c.Timeout > 0) || !(c.LatencyTarget > 0) || c.DedupWindow < 0 || c.PriorityWeight < 0 {
		return fmt.Errorf("Timeout %v, LatencyTarget %v, DedupWindow %v or PriorityWeight %v is out of range",
			c.Timeout, c.LatencyTarget, c.DedupWindow, c.PriorityWeight)
	}
	return nil
}

func (f *Safety) validate() error {
	for _, setting := range []struct {
		name  string
		value float64
	}{
		{"ResponseSlack", f.ResponseSlack}, {"DrainGrace", f.DrainGrace},
		{"SlowStartShare", f.SlowStartShare}, {"SlowStartTime", f.SlowStartTime},
		{"ListInterval", f.ListInterval}, {"DrainCloseTime", f.DrainCloseTime},
		{"RetryBudgetMin", f.RetryBudgetMin}, {"RetryBudgetShare", f.RetryBudgetShare},
		{"RetryBudgetWindow", f.RetryBudgetWindow},
	} {
		if !(setting.value >= 0) || math.IsInf(setting.value, 0) {
			return fmt.Errorf("settings: Safety.%s %v is negative or not a number", setting.name, setting.value)
		}
	}
	return nil
}

// ServerState is what the list says of a server.
type ServerState uint8

// The states a list can tell.
const (
	Ready ServerState = iota
	Draining
	Removed
)

// ServerEntry is one line of a server list.
type ServerEntry struct {
	ID        uint32
	Zone      uint8
	Kind      uint16
	Cell      uint16
	State     ServerState
	Weight    float64
	StartedAt float64 // clock time of the last start; 0 = long ago
	Backup    bool    // it gets calls only while no other server can take them
}

// EventKind tells which fields of an Event count.
type EventKind uint8

// The events a balancer handles.
const (
	EvRequest          EventKind = iota + 1 // Request, Class, Tenant, Key, Due, Hint, Spent, Shed, Worth, Attempts, Prefer
	EvFirstByte                             // Request, Attempt, Server, Took, Bound
	EvAttemptEnded                          // Request, Attempt, Server, Outcome, Took, Done, Spent
	EvRequestAbandoned                      // Request
	EvServerList                            // List, Servers, Copies, Rank
	EvTimer                                 // Token
	EvProbeResult                           // Server, Outcome, Took, Report, Values
	EvMaxRequests                           // MaxOpen: the host's own limit is another from now on
)

// ListKind tells how a list event is to be read.
type ListKind uint8

// The kinds of list event.
const (
	ListFailed ListKind = iota // a call to the list failed; the old list stays
	ListCached                 // whole, as last held; may be outdated
	ListDelta                  // changed entries only
	ListFull                   // whole: what is absent is gone
)

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes. Full, ConnectFailed and NotSent prove that nothing ran.
const (
	OK Outcome = iota
	Error
	NotExecuted
	Timeout
	ConnectFailed
	Reset
	Canceled
	NotSent
)

// Event is one thing a balancer hears. Events of one instant come one by one.
type Event struct {
	Kind             EventKind
	List             ListKind
	Outcome          Outcome
	RequestEnded     bool // the request has ended, by this outcome or before
	Shed             bool // of a request: the host's level of service turns it away
	NotRepeatable    bool // of a request: it can be sent once; of an outcome: it cannot be sent again, its bytes are gone
	LongLived        bool // the stream is its server's and may last: from now on it takes no room
	MaxRequests      int  // open requests from now on; 0 = no bound
	Class            uint16
	Tenant           uint16
	Attempt          uint16
	Request          uint32
	Server           uint32
	Key              uint64
	PreferredServers []uint32 // of a request: servers that it is to go to first, while they do not fail, in that order
	Token            uint64
	Deadline         float64    // the client gives this try up
	WorkHint         float64    // expected work; 0 = none told
	PriorityWeight   float64    // of this request; 0 = its class's
	Replicas         int        // that send to these servers, from now on; 0 = as before
	Rank             int        // this copy\'s among them, from 1, from now on; 0 = as before
	MaxAttempts      int        // for this request, if less than the limit; 0 = not told
	Elapsed          float64    // since the attempt or probe was sent
	LoadReport       [4]float32 // load report of the server
	LoadReportLen    int        // how many figures of it are told; 0 = no report
	Servers          []ServerEntry
}

// cleaned is the event with every figure that is negative or no number taken for 0: one such figure would
// stay in the averages for good, or keep a call for ever. A due time of 0 has passed.
func (ev *Event) sanitized() Event {
	e := *ev
	for _, f := range [...]*float64{&e.Deadline, &e.WorkHint, &e.Elapsed, &e.PriorityWeight} {
		if !(*f >= 0) || math.IsInf(*f, 0) {
			*f = 0
		}
	}
	for _, v := range e.LoadReport {
		if !(v >= 0) || math.IsInf(float64(v), 0) {
			e.LoadReportLen = 0
		}
	}
	return e
}

// later is the new clock time, unless that is no number or before the old one.
func advanceClock(old, now float64) float64 {
	if now > old && !math.IsInf(now, 0) {
		return now
	}
	return old
}

// ActionKind tells which fields of an Action count.
type ActionKind uint8

// The actions a balancer asks for.
const (
	ActSend      ActionKind = iota + 1 // Request, Server, Until: start an attempt
	ActReject                          // Request, After: final; trying again is harmless, best after that time
	ActFail                            // Request: final; promises nothing
	ActCancel                          // Request, Attempt: stop waiting for an attempt
	ActTimer                           // After, Token
	ActSubscribe                       // subscribe to list changes
	ActProbe                           // Server: ask it for a load report
	ActLog                             // Text
	ActCloseIdle                       // Server: close the idle connections to it
)

// Action is one thing a balancer asks its host to do, in the order given.
type Action struct {
	Kind     ActionKind
	Attempt  uint16
	Request  uint32
	Server   uint32
	Token    uint64
	Deadline float64 // clock time at which the attempt is given up
	Delay    float64 // time from now
	Text     string
}
