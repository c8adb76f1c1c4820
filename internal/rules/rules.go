// Package rules checks the four rules of the sidecar over a stream of facts about what sidecars, servers and clients did. It does
// not depend on how they decide or how they are modelled. Facts are recorded in the order of their times.
//
// Rule 1: each request gets exactly one answer, before its client's deadline. Rule 2: a draining server gets no new request.
// Rule 3: a cold server is not overloaded. Rule 4: a request that may have been executed is not sent again unless that is safe.
package rules

import (
	"fmt"
	"maps"
	"slices"

	"milletmast/balancer"
)

// Kind is the kind of a fact.
type Kind uint8

// The kinds of fact, with the fields that each uses.
const (
	RequestReceived Kind = iota + 1 // Replica, Request, Class, Due: a sidecar has accepted a request whose client times out at Due
	ClientLeft                      // Replica, Request: its client has disconnected
	AttemptSent                     // Replica, Request, Attempt, Server: an attempt is sent
	AttemptEnded                    // Replica, Request, Attempt, MayRun: it has ended, and may have been executed or certainly was not
	RequestAnswered                 // Replica, Request, Answer: the client gets its final answer
	ReplicaKilled                   // Replica: the sidecar was killed; its open requests are not checked for an answer
	ServerStarted                   // Server, Zone, Cell, Cold: it has started, cold or warm
	ServerListed                    // Replica, Server, Serves: by the sidecar's server list a server serves, or drains or is gone
	WorkArrived                     // Server, Replica, Work, Capacity: work of a sidecar has reached a server, which has this capacity then
	RunEnded                        // the end of the run: open requests get no answer
)

// Answer is a final answer.
type Answer uint8

// The final answers.
const (
	Served Answer = iota + 1
	Refused
	Failed
)

// String returns the answer in lower case.
func (a Answer) String() string { return [...]string{"none", "served", "refused", "failed"}[a] }

// Fact is one event. Times are in milliseconds, work is in milliseconds of one server at its full capacity.
type Fact struct {
	At       float64
	Kind     Kind
	Answer   Answer
	Serves   bool
	Cold     bool
	MayRun   bool
	Attempt  uint16
	Class    uint16
	Cell     uint16
	Zone     uint8
	Replica  uint32 // number of the sidecar
	Server   uint32
	Request  uint64
	Due      float64
	Work     float64
	Capacity float64 // milliseconds of work a second
}

// Limits are the limits that the rules check.
type Limits struct {
	Classes            []balancer.Class
	MaxAttempts        int
	AnswerSlack        float64 // ms after the client's deadline within which an answer counts
	DrainGrace         float64 // ms after a sidecar's list reports a server as draining, for new requests to it
	ColdOverloadRatio  float64 // highest ratio of the work that reaches a cold server to its capacity
	ColdOverloadWindow float64 // ms over which that ratio is measured
	InformedShare      float64 // lowest ratio of that work from sidecars whose lists had the server, for a violation
}

// Violation is one violation of a rule.
type Violation struct {
	Rule    int     // 1 to 4
	At      float64 // ms
	Replica uint32  // number of the sidecar
	Server  uint32
	Request uint64
	Text    string
}

// String returns the violation on one line.
func (v Violation) String() string {
	return fmt.Sprintf("rule %d at %.3f ms: copy %d, server %d, request %d: %s", v.Rule, v.At, v.Replica, v.Server, v.Request, v.Text)
}

// maxViolations bounds the violations that are kept; all are counted.
const maxViolations = 100

// Margins are the highest observed values of the quantities that Limits bounds.
type Margins struct {
	Drain  float64 // ms from when a list reported a server as draining or gone to the last new request to it
	Answer float64 // ms from a client's deadline to its answer
	Cold   float64 // ratio of the work that reached a cold server to its capacity, over ColdOverloadWindow
}

// request is the state of an open request.
type request struct {
	class       uint16
	replica     uint32
	due         float64
	answered    bool
	abandoned   bool        // by its client
	open        int         // attempts that have not ended
	attempts    int         // attempts sent
	mayRun      bool        // whether an ended attempt may have been executed
	firstRun    float64     // time at which the first such attempt was sent
	firstServer uint32      // its server
	sent        [4]struct { // the last attempts, by number
		at     float64
		server uint32
	}
}

// server is the state of a server since its start.
type server struct {
	zone         uint8
	cell         uint16
	cold         bool
	overloaded   bool
	arrivals     []arrival // work of the last ColdOverloadWindow, from index first on
	first        int
	work         float64
	informedWork float64 // the part of work that is informed
}

// arrival is one arrival of work at a server.
type arrival struct {
	at, work float64
	informed bool // whether the list of its sidecar had the server
}

// replicaServer is a sidecar and a server.
type replicaServer struct{ copy, server uint32 }

// Checker checks a stream of facts. Use NewChecker to make one.
type Checker struct {
	limits        Limits
	requests      map[uint64]*request
	servers       map[uint32]*server
	drainingSince map[replicaServer]float64 // when the sidecar's list first reported the server as draining or gone
	wasListed     map[replicaServer]bool    // whether the sidecar's list has had the server
	byReplica     map[uint32]map[uint64]bool

	Violations     []Violation
	ViolationCount int // of all violations, also those not kept
	Margins        Margins
}

// NewChecker returns a checker that has seen no facts.
func NewChecker(l Limits) *Checker {
	return &Checker{
		limits: l, requests: map[uint64]*request{}, servers: map[uint32]*server{},
		drainingSince: map[replicaServer]float64{}, wasListed: map[replicaServer]bool{},
		byReplica: map[uint32]map[uint64]bool{},
	}
}

// OpenRequests returns the number of requests without a final answer or with an open attempt.
func (c *Checker) OpenRequests() int { return len(c.requests) }

// recordViolation records a violation.
func (c *Checker) recordViolation(rule int, f *Fact, format string, args ...any) {
	c.ViolationCount++
	if len(c.Violations) < maxViolations {
		c.Violations = append(c.Violations, Violation{rule, f.At, f.Replica, f.Server, f.Request, fmt.Sprintf(format, args...)})
	}
}

// Record checks the next fact.
func (c *Checker) Record(f *Fact) {
	switch f.Kind {
	case RequestReceived:
		c.requestReceived(f)
	case ClientLeft:
		if q := c.requests[f.Request]; q != nil {
			q.abandoned = true
			c.removeIfDone(f.Request, q)
		}
	case AttemptSent:
		c.checkAttempt(f)
	case AttemptEnded:
		c.attemptEnded(f)
	case RequestAnswered:
		c.checkAnswer(f)
	case ReplicaKilled:
		c.replicaKilled(f)
	case ServerStarted:
		c.servers[f.Server] = &server{zone: f.Zone, cell: f.Cell, cold: f.Cold}
	case ServerListed:
		c.serverListed(f)
	case WorkArrived:
		c.checkColdServer(f)
	case RunEnded:
		c.runEnded(f)
	}
}

func (c *Checker) requestReceived(f *Fact) {
	if c.requests[f.Request] != nil {
		c.recordViolation(1, f, "received twice")
		return
	}
	c.requests[f.Request] = &request{class: f.Class, replica: f.Replica, due: f.Due}
	if c.byReplica[f.Replica] == nil {
		c.byReplica[f.Replica] = map[uint64]bool{}
	}
	c.byReplica[f.Replica][f.Request] = true
}

func (c *Checker) replicaKilled(f *Fact) {
	for id := range c.byReplica[f.Replica] {
		delete(c.requests, id)
	}
	delete(c.byReplica, f.Replica)
}

func (c *Checker) serverListed(f *Fact) {
	p := replicaServer{f.Replica, f.Server}
	c.wasListed[p] = true
	if f.Serves {
		delete(c.drainingSince, p)
	} else if _, draining := c.drainingSince[p]; !draining {
		c.drainingSince[p] = f.At
	}
}

// runEnded checks that no request is overdue.
func (c *Checker) runEnded(f *Fact) {
	for _, id := range slices.Sorted(maps.Keys(c.requests)) {
		q := c.requests[id]
		if !q.answered && !q.abandoned && f.At > q.due+c.limits.AnswerSlack {
			c.recordViolation(1, &Fact{At: f.At, Replica: q.replica, Request: id}, "no final answer %.1f ms past its client's deadline", f.At-q.due)
		}
	}
}

// checkAttempt checks an attempt against rules 1, 2 and 4.
func (c *Checker) checkAttempt(f *Fact) {
	if since, ok := c.drainingSince[replicaServer{f.Replica, f.Server}]; ok {
		c.Margins.Drain = max(c.Margins.Drain, f.At-since)
		if f.At-since > c.limits.DrainGrace {
			c.recordViolation(2, f, "sent %.1f ms after the server list reported that the server takes nothing new", f.At-since)
		}
	}
	q := c.requests[f.Request]
	if q == nil {
		c.recordViolation(1, f, "an attempt of a request that is over or was never received")
		return
	}
	if q.answered || q.abandoned {
		c.recordViolation(1, f, "an attempt after the final answer")
	}
	if q.open > 0 {
		c.recordViolation(4, f, "a second attempt beside one that is out")
	}
	if q.attempts++; q.attempts > c.limits.MaxAttempts {
		c.recordViolation(4, f, "attempt %d of %d", q.attempts, c.limits.MaxAttempts)
	}
	if q.mayRun {
		c.checkRetry(f, q)
	}
	q.open++
	n := int(f.Attempt) % len(q.sent)
	q.sent[n].at, q.sent[n].server = f.At, f.Server
}

// checkRetry checks rule 4 for an attempt after one that may have run.
func (c *Checker) checkRetry(f *Fact, q *request) {
	class := &c.limits.Classes[q.class]
	switch class.Effect {
	case balancer.Unsafe:
		c.recordViolation(4, f, "an unsafe request that may have run is sent again")
	case balancer.Keyed:
		if f.At >= q.firstRun+class.DedupWindow {
			c.recordViolation(4, f, "a keyed request is sent again %.1f ms after the first attempt, past the window", f.At-q.firstRun)
		}
		a, b := c.servers[q.firstServer], c.servers[f.Server]
		if a == nil || b == nil {
			return
		}
		if class.DedupGroup == balancer.DedupZone && a.zone != b.zone || class.DedupGroup == balancer.DedupCell && a.cell != b.cell {
			c.recordViolation(4, f, "a keyed request is sent again to a server that does not remember the first attempt")
		}
	}
}

// attemptEnded records the end of an attempt.
func (c *Checker) attemptEnded(f *Fact) {
	q := c.requests[f.Request]
	if q == nil {
		return
	}
	if q.open--; q.open < 0 {
		c.recordViolation(1, f, "an attempt ended twice")
		q.open = 0
	}
	if f.MayRun && !q.mayRun {
		sent := q.sent[int(f.Attempt)%len(q.sent)]
		q.mayRun, q.firstRun, q.firstServer = true, sent.at, sent.server
	}
	c.removeIfDone(f.Request, q)
}

// checkAnswer checks a final answer against rules 1 and 4.
func (c *Checker) checkAnswer(f *Fact) {
	q := c.requests[f.Request]
	if q == nil || q.answered {
		c.recordViolation(1, f, "a second final answer (%v)", f.Answer)
		return
	}
	q.answered = true
	lateness := f.At - q.due
	if !q.abandoned {
		c.Margins.Answer = max(c.Margins.Answer, lateness)
	}
	if lateness > c.limits.AnswerSlack && !q.abandoned {
		c.recordViolation(1, f, "answered (%v) %.1f ms past its client's deadline", f.Answer, lateness)
	}
	class := &c.limits.Classes[q.class]
	deduplicated := class.Effect == balancer.Keyed && class.DedupGroup == balancer.DedupAll
	if f.Answer == Refused && class.Effect != balancer.Safe && !deduplicated && (q.mayRun || q.open > 0) {
		c.recordViolation(4, f, "refused though an attempt may have run")
	}
	c.removeIfDone(f.Request, q)
}

// removeIfDone removes a request that is answered or abandoned and has no open attempt.
func (c *Checker) removeIfDone(id uint64, q *request) {
	if (q.answered || q.abandoned) && q.open == 0 {
		delete(c.requests, id)
		delete(c.byReplica[q.replica], id)
	}
}

// checkColdServer checks rule 3: a cold server that gets too much work for too long, most of it from informed sidecars.
func (c *Checker) checkColdServer(f *Fact) {
	s := c.servers[f.Server]
	if s == nil || !s.cold || s.overloaded {
		return
	}
	informed := c.wasListed[replicaServer{f.Replica, f.Server}]
	s.arrivals = append(s.arrivals, arrival{f.At, f.Work, informed})
	s.work += f.Work
	if informed {
		s.informedWork += f.Work
	}
	for s.arrivals[s.first].at < f.At-c.limits.ColdOverloadWindow {
		s.work -= s.arrivals[s.first].work
		if s.arrivals[s.first].informed {
			s.informedWork -= s.arrivals[s.first].work
		}
		s.first++
	}
	if s.first > len(s.arrivals)/2 {
		s.arrivals = s.arrivals[:copy(s.arrivals, s.arrivals[s.first:])]
		s.first = 0
	}
	ratio := s.work / max(f.Capacity*c.limits.ColdOverloadWindow/1000, 1e-9)
	c.Margins.Cold = max(c.Margins.Cold, ratio)
	if ratio <= c.limits.ColdOverloadRatio {
		return
	}
	s.overloaded = true
	if s.informedWork >= c.limits.InformedShare*s.work {
		c.recordViolation(3, f, "%.2f times the capacity of the cold server reached it within %.0f ms", ratio, c.limits.ColdOverloadWindow)
	}
}

// IsOverloaded reports whether a cold server has been overloaded, by any sidecars.
func (c *Checker) IsOverloaded(server uint32) bool {
	s := c.servers[server]
	return s != nil && s.overloaded
}

// MarkWarm ends the check of rule 3 for a server, which is warm from now on.
func (c *Checker) MarkWarm(server uint32) {
	if s := c.servers[server]; s != nil {
		s.cold, s.arrivals, s.first, s.work, s.informedWork = false, nil, 0, 0, 0
	}
}
