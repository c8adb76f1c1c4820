package balancer

import "math"

// This file and settings.go are the interface of the decision module: the events that it handles and the
// actions that it returns. Times are in milliseconds.

// ServerState is the state that the server list gives for a server.
type ServerState uint8

// The states of a server.
const (
	Ready ServerState = iota
	Draining
	Removed
)

// ServerEntry is an entry of a server list.
type ServerEntry struct {
	ID        uint32
	Zone      uint8
	Kind      uint16
	Cell      uint16
	State     ServerState
	Weight    float64 // relative load until the server is measured; 0 = none
	StartedAt float64 // last start; 0 = long ago
	Backup    bool    // it gets requests only while no other server can take them
}

// EventKind is the kind of an Event. It determines which fields of the Event are used.
type EventKind uint8

// The kinds of events, each with the fields that it uses.
const (
	// EvRequest: Request, Class, Tenant, Key, Deadline, WorkHint, NotRepeatable, Shed, PriorityWeight,
	// MaxAttempts, PreferredServers.
	EvRequest EventKind = iota + 1
	// EvFirstByte: Request, Attempt, Server, Elapsed, LongLived.
	EvFirstByte
	// EvAttemptEnded: Request, Attempt, Server, Outcome, Elapsed, RequestEnded, NotRepeatable.
	EvAttemptEnded
	// EvRequestAbandoned: Request.
	EvRequestAbandoned
	// EvServerList: List, Servers, Replicas, Rank.
	EvServerList
	// EvTimer: Token.
	EvTimer
	// EvProbeResult: Server, Outcome, Elapsed, LoadReport, LoadReportLen.
	EvProbeResult
	// EvMaxRequests: MaxRequests.
	EvMaxRequests
)

// ListKind is the kind of an EvServerList event: what its Servers stand for.
type ListKind uint8

// The kinds of list events.
const (
	ListFailed ListKind = iota // a poll failed; the last list stays in effect
	ListCached                 // complete, from a cache, and possibly out of date
	ListDelta                  // changed entries only
	ListFull                   // complete: other servers are removed
)

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes. NotExecuted, ConnectFailed and NotSent prove that the server executed nothing.
const (
	OK            Outcome = iota
	Error                 // the server responded that it failed
	NotExecuted           // the server responded that it did not execute the request
	Timeout               // no response in time
	ConnectFailed         // no connection, so that nothing was written
	Reset                 // the connection broke, or the response was invalid
	Canceled              // the attempt was canceled, or its response says nothing about the server
	NotSent               // the request did not reach the server, which says nothing about the server
)

// Event is an input of a balancer.
type Event struct {
	Kind             EventKind
	List             ListKind
	Outcome          Outcome
	RequestEnded     bool // the request has its final response, by this outcome or before
	Shed             bool // of a request: the degradation level of the sidecar sheds it
	NotRepeatable    bool // of a request: it can be sent once; of an outcome: it cannot be sent again, as its body is gone
	LongLived        bool // the response is a stream that may be long: it is not counted as in flight
	MaxRequests      int  // new limit of requests that have not ended; 0 = none
	Class            uint16
	Tenant           uint16
	Attempt          uint16
	Request          uint32
	Server           uint32
	Key              uint64
	PreferredServers []uint32 // of a request: used while they do not fail, the first before the others
	Token            uint64
	Deadline         float64    // when the request's client stops waiting
	WorkHint         float64    // expected work; 0 = unknown
	PriorityWeight   float64    // of this request; 0 = that of its class
	Replicas         int        // replicas that send to these servers from now on; 0 = unchanged
	Rank             int        // rank of this replica among them from now on, starting at 1; 0 = unchanged
	MaxAttempts      int        // of this request, if fewer than the limit; 0 = the limit
	Elapsed          float64    // time since the attempt or the probe was sent
	LoadReport       [4]float32 // of the server
	LoadReportLen    int        // number of its values; 0 = no report
	Servers          []ServerEntry
}

// sanitized returns the event with numbers that are negative, infinite or not numbers replaced by 0: such a
// number would stay in averages for good, or keep a request for ever. A deadline of 0 has passed.
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

// advanceClock returns the new time, or the old one if the new one is earlier or not a number.
func advanceClock(old, now float64) float64 {
	if now > old && !math.IsInf(now, 0) {
		return now
	}
	return old
}

// ActionKind says which fields of an Action count.
type ActionKind uint8

// The kinds of actions, and their fields.
const (
	// ActSend sends a request to a server: Request, Server, Deadline.
	ActSend ActionKind = iota + 1
	// ActReject ends a request that its client may safely retry, preferably after Delay: Request, Delay.
	ActReject
	// ActFail ends a request that may have been executed: Request.
	ActFail
	// ActCancel cancels an attempt: Request, Attempt.
	ActCancel
	// ActTimer requests an EvTimer after Delay: Delay, Token.
	ActTimer
	// ActSubscribe polls the server list, or subscribes to its changes.
	ActSubscribe
	// ActProbe requests a load report from a server: Server.
	ActProbe
	// ActLog writes a line to the log: Text.
	ActLog
	// ActCloseIdle closes idle connections to a server: Server.
	ActCloseIdle
)

// Action is an instruction of a balancer to its caller, which must carry actions out in order.
type Action struct {
	Kind     ActionKind
	Attempt  uint16
	Request  uint32
	Server   uint32
	Token    uint64
	Deadline float64 // time at which the attempt times out
	Delay    float64 // from now
	Text     string
}
