package balancer

import "math"

// This file is the interface of the decision module, with settings.go: the events that it handles, and the
// actions that it answers with. Times are milliseconds.

// ServerState is the state of a server by the list.
type ServerState uint8

// The states.
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

// EventKind says which fields of an Event count.
type EventKind uint8

// The kinds of events, and their fields.
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

// ListKind says how a list event is to be read.
type ListKind uint8

// The kinds of list events.
const (
	ListFailed ListKind = iota // a poll failed; the last list holds
	ListCached                 // complete, as last known, and maybe out of date
	ListDelta                  // changed entries only
	ListFull                   // complete: other servers are removed
)

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes. NotExecuted, ConnectFailed and NotSent prove that the server executed nothing.
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

// Event is something that a balancer handles.
type Event struct {
	Kind             EventKind
	List             ListKind
	Outcome          Outcome
	RequestEnded     bool // the request has its final response, by this outcome or before
	Shed             bool // of a request: the degradation level of the sidecar rejects it
	NotRepeatable    bool // of a request: it can be sent once; of an outcome: it cannot be sent again, as its body is gone
	LongLived        bool // the response is a stream that may be long: it is not counted as in flight
	MaxRequests      int  // limit of requests that have not ended, from now on; 0 = none
	Class            uint16
	Tenant           uint16
	Attempt          uint16
	Request          uint32
	Server           uint32
	Key              uint64
	PreferredServers []uint32 // of a request, the first is preferred most; while they do not fail
	Token            uint64
	Deadline         float64    // when the client gives the request up
	WorkHint         float64    // expected work; 0 = not known
	PriorityWeight   float64    // of this request; 0 = its class's
	Replicas         int        // that send to these servers from now on; 0 = as before
	Rank             int        // of this one among them from now on, from 1; 0 = as before
	MaxAttempts      int        // of this request, if less than the limit; 0 = as the limit
	Elapsed          float64    // since the attempt or the probe was sent
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
	// ActReject ends a request; trying again is harmless, and best after Delay: Request, Delay.
	ActReject
	// ActFail ends a request; nothing is certain of its execution: Request.
	ActFail
	// ActCancel stops to wait for an attempt: Request, Attempt.
	ActCancel
	// ActTimer asks for an EvTimer: Delay, Token.
	ActTimer
	// ActSubscribe polls the server list, or subscribes to its changes.
	ActSubscribe
	// ActProbe asks a server for a load report: Server.
	ActProbe
	// ActLog writes a line to the log: Text.
	ActLog
	// ActCloseIdle closes idle connections to a server: Server.
	ActCloseIdle
)

// Action is something that a balancer asks its caller to do. Actions are to be taken in their order.
type Action struct {
	Kind     ActionKind
	Attempt  uint16
	Request  uint32
	Server   uint32
	Token    uint64
	Deadline float64 // time at which the attempt is to be given up
	Delay    float64 // from now
	Text     string
}
