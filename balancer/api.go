package balancer

import (
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
type Group uint8

// The groups of a keyed class.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Class describes one class of requests.
type Class struct {
	Name       string
	Worth      float64 // of one request answered in time; default 1
	LateWorth  float64 // share of Worth that an answer after Aim still earns
	Aim        float64 // wanted within
	AimStretch float64 // the aim grows by this multiple of the request's own work
	GiveUp     float64 // given up after
	Effect     Effect
	Group      Group   // keyed only
	Window     float64 // keyed only: how long the group remembers a request
	Stream     bool
}

// Tenant is one of those who share the service.
type Tenant struct {
	Name  string
	Quota float64 // requests a second over all copies; 0 = no quota
}

// Limits are what the site permits.
type Limits struct {
	MaxAttempts    int // per request; default 1
	MaxOpen        int // open requests per copy; 0 = no bound
	Cancel         bool
	SecondCopies   bool
	Probes         bool
	RetryAfter     bool
	MaxRetryAfter  float64
	ConnectTimeout float64
	ConnIdle       float64 // an idle connection closes after this; 0 = not told
	Streams        int     // attempts that one connection carries at once; default 1
	LeastRoom      float64 // calls out at once for each server that serves that are always let out; the servers refuse what is too much
	RefuseEmpty    bool    // with no server to send to, calls are ended at once instead of waiting for one
}

// Safety holds the figures of the four rules.
type Safety struct {
	AnswerSlack  float64 // a final answer is valid so long after the due time
	DrainGrace   float64
	ColdFrom     float64 // a cold server starts with at least this share of its capacity
	Ramp         float64 // and is warm after this time at the latest
	FallMultiple float64
	FallAfter    float64
	AskEvery     float64 // on-request lists: ask at least so often
	DrainClose   float64 // idle connections to a draining server are closed within this; 0 = no such rule
	BudgetFree   float64 // within any BudgetWindow, attempts beyond each request's first may number this
	BudgetShare  float64 // plus this share of the requests taken
	BudgetWindow float64 // 0 = no such rule
}

// Settings is everything a balancer copy is told at start. Absent figures take
// the defaults that the fields name.
type Settings struct {
	Copies         int // copies that balance for this tier; default 1
	Rank           int // number of this copy among them
	Stage, Stages  int // the tier this copy sends to, of how many; 0 is the front
	Zone           int // where this copy runs
	ListOnRequest  bool
	WorthByWork    bool
	ProbePrice     float64 // points of the goal for one probe a request
	HeldField      int     // place of the requests a server holds in a load report, from 1; 0 = not told
	WorstClass     float64 // weight of the worst-served class in the goal, over that of all worth
	OverShareWorth float64 // worth of a request beyond its tenant's quota, as a share
	Classes        []Class
	Tenants        []Tenant
	Limits         Limits
	Safety         Safety
}

// check fills defaults in and names the first setting that cannot be used.
func (set *Settings) check() error {
	set.Copies, set.Stages = max(set.Copies, 1), max(set.Stages, 1)
	set.Limits.MaxAttempts = max(set.Limits.MaxAttempts, 1)
	if len(set.Classes) == 0 {
		return fmt.Errorf("Classes is empty")
	}
	if set.Stage < 0 || set.Stage >= set.Stages {
		return fmt.Errorf("Stage %d is outside the %d stages", set.Stage, set.Stages)
	}
	for i, c := range set.Classes {
		if c.Effect > Unsafe {
			return fmt.Errorf("Classes[%d].Effect %d is unknown", i, c.Effect)
		}
		if !(c.GiveUp > 0) || !(c.Aim > 0) || c.Window < 0 || c.Worth < 0 {
			return fmt.Errorf("Classes[%d]: GiveUp %v, Aim %v, Window %v or Worth %v is not a time or worth",
				i, c.GiveUp, c.Aim, c.Window, c.Worth)
		}
	}
	f := &set.Safety
	names := [...]string{"AnswerSlack", "DrainGrace", "ColdFrom", "Ramp", "AskEvery", "DrainClose",
		"BudgetFree", "BudgetShare", "BudgetWindow"}
	for i, v := range [...]float64{f.AnswerSlack, f.DrainGrace, f.ColdFrom, f.Ramp, f.AskEvery, f.DrainClose,
		f.BudgetFree, f.BudgetShare, f.BudgetWindow} {
		if !(v >= 0) || math.IsInf(v, 0) {
			return fmt.Errorf("Safety.%s %v is negative or no number", names[i], v)
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
	Gone
)

// ServerEntry is one line of a server list.
type ServerEntry struct {
	Server  uint32
	Zone    uint8
	Kind    uint16
	Cell    uint16
	State   ServerState
	Weight  float64
	Started float64 // clock time of the last start; 0 = long ago
	Backup  bool    // it gets calls only while no other server can take them
}

// EventKind tells which fields of an Event count.
type EventKind uint8

// The events a balancer handles.
const (
	EvRequest EventKind = iota + 1 // Request, Class, Tenant, Key, Due, Hint, Spent, Shed, Worth, Attempts, Prefer
	EvFirst                        // Request, Attempt, Server, Took, Bound
	EvOutcome                      // Request, Attempt, Server, Outcome, Took, Done, Spent
	EvGone                         // Request
	EvList                         // List, Servers, Copies, Rank
	EvTimer                        // Token
	EvProbe                        // Server, Outcome, Took, Report, Values
	EvLimit                        // MaxOpen: the host's own limit is another from now on
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
	Full
	Timeout
	ConnectFailed
	Reset
	Cancelled
	NotSent
)

// Event is one thing a balancer hears. Events of one instant come one by one.
type Event struct {
	Kind     EventKind
	List     ListKind
	Outcome  Outcome
	Done     bool // the request has ended, by this outcome or before
	Shed     bool // of a request: the host's level of service turns it away
	Spent    bool // of a request: it can be sent once; of an outcome: it cannot be sent again, its bytes are gone
	Bound    bool // the stream is its server's and may last: from now on it takes no room
	MaxOpen  int  // open requests from now on; 0 = no bound
	Class    uint16
	Tenant   uint16
	Attempt  uint16
	Request  uint32
	Server   uint32
	Key      uint64
	Prefer   []uint32 // of a request: servers that it is to go to first, while they do not fail, in that order
	Token    uint64
	Due      float64    // the client gives this try up
	Hint     float64    // expected work; 0 = none told
	Worth    float64    // of this request; 0 = its class's
	Copies   int        // that send to these servers, from now on; 0 = as before
	Rank     int        // this copy\'s among them, from 1, from now on; 0 = as before
	Attempts int        // for this request, if less than the limit; 0 = not told
	Took     float64    // since the attempt or probe was sent
	Report   [4]float32 // load report of the server
	Values   int        // how many figures of it are told; 0 = no report
	Servers  []ServerEntry
}

// cleaned is the event with every figure that is negative or no number taken for 0: one such figure would
// stay in the averages for good, or keep a call for ever. A due time of 0 has passed.
func (ev *Event) cleaned() Event {
	e := *ev
	for _, f := range [...]*float64{&e.Due, &e.Hint, &e.Took, &e.Worth} {
		if !(*f >= 0) || math.IsInf(*f, 0) {
			*f = 0
		}
	}
	for _, v := range e.Report {
		if !(v >= 0) || math.IsInf(float64(v), 0) {
			e.Values = 0
		}
	}
	return e
}

// later is the new clock time, unless that is no number or before the old one.
func later(old, now float64) float64 {
	if now > old && !math.IsInf(now, 0) {
		return now
	}
	return old
}

// ActionKind tells which fields of an Action count.
type ActionKind uint8

// The actions a balancer asks for.
const (
	ActSend   ActionKind = iota + 1 // Request, Server, Until: start an attempt
	ActRefuse                       // Request, After: final; trying again is harmless, best after that time
	ActFail                         // Request: final; promises nothing
	ActCancel                       // Request, Attempt: stop waiting for an attempt
	ActTimer                        // After, Token
	ActWatch                        // subscribe to list changes
	ActProbe                        // Server: ask it for a load report
	ActLog                          // Text
	ActClose                        // Server: close the idle connections to it
)

// Action is one thing a balancer asks its host to do, in the order given.
type Action struct {
	Kind    ActionKind
	Attempt uint16
	Request uint32
	Server  uint32
	Token   uint64
	Until   float64 // clock time at which the attempt is given up
	After   float64 // time from now
	Text    string
}
