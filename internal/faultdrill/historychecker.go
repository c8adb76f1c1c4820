package faultdrill

import (
	"fmt"
	"time"

	"milletmast/internal/emulate"
	"milletmast/internal/operator"
	"milletmast/internal/rules"
	"milletmast/internal/testcluster"
)

// Relays and clients observe an event some time after it has happened, depending on scheduling. The result must not depend on the order
// of two events of different processes within observationDelay plus the longest stall of the process of the drill.
const (
	observationDelay = 100 * time.Millisecond
	relayDelay       = 2 * time.Millisecond // between two events that a relay reads in succession, besides its measured lateness
	informedShare    = 2. / 3               // share of the work overloading a cold server that comes from replicas with its start time
	maxViolations    = 20                   // violations that are described, besides those of the rules checker
)

// TierResult is the result of checking the rules for a tier.
type TierResult struct {
	Tier           string        `json:"tier"`
	Violations     []string      `json:"breaks"`
	ViolationCount int           `json:"count"`
	Margins        rules.Margins `json:"margins"`

	Requests int `json:"tried"`    // requests with at least one attempt
	Attempts int `json:"attempts"` // attempts of these requests; the ratio to Requests is the added load of retries

	checker *rules.Checker
}

// ServerPlace is the zone and the cell of a server.
type ServerPlace struct{ Zone, Cell int }

// attempt is an attempt that links have observed. Times are in ns.
type attempt struct {
	replica, server string
	sentAt, endedAt int64
	mayHaveExecuted bool
	polledAt        int64 // when the link began to wait for the end; 0 if it did not
	ended           bool
	answered        bool // ended by a response of the server
}

// timeSpan is a time span in which a replica was suspended, in ns.
type timeSpan struct{ from, to int64 }

// idTable assigns numbers from 1 to names.
type idTable map[string]uint64

func (n idTable) of(name string) uint64 {
	if n[name] == 0 {
		n[name] = uint64(len(n) + 1)
	}
	return n[name]
}

// name returns the name of a number; "-" for an unknown one.
func (n idTable) name(number uint64) string {
	for name, v := range n {
		if v == number {
			return name
		}
	}
	return "-"
}

// historyChecker checks the facts of a tier.
type historyChecker struct {
	delay     time.Duration // the longest assumed delay of an observation
	stalls    testcluster.Stalls
	result    *TierResult
	pool      *operator.Pool
	servers   map[string]ServerPlace
	start     float64 // of the history, in ms
	replicas  idTable
	serverIDs idTable
	requests  idTable
	classes   map[string]int

	written        map[string]*testcluster.Fact // by request
	attempts       map[string][]*attempt        // by request
	ends           map[string]int64             // by request: time of the final response, or when the client left
	suspensions    map[string][]timeSpan        // by replica
	killed         map[string]bool              // by replica; open requests of a killed one get no response
	lostOnIdleConn map[string]bool              // by request; received on an idle connection that was closed
}

func ms(d time.Duration) float64 { return d.Seconds() * 1000 }

// startOf returns the time of the first fact, in ms.
func startOf(facts []testcluster.Fact) float64 {
	if len(facts) == 0 {
		return 0
	}
	return float64(facts[0].At) / 1e6
}

// checkHistory checks the facts of a tier. Start is the start of the history in ms, stalls are those of this process.
func checkHistory(
	tier string, pool *operator.Pool, spec *emulate.ServerSpec, servers map[string]ServerPlace,
	facts []testcluster.Fact, start float64, stalls testcluster.Stalls,
) *TierResult {
	delay := observationDelay + stalls.Longest()
	v := &TierResult{Tier: tier, Violations: []string{}}
	v.checker = rules.NewChecker(rules.Limits{
		Classes:            pool.Settings().Classes,
		MaxAttempts:        pool.Attempts,
		AnswerSlack:        ms(clientGrace),
		DrainGrace:         pool.DrainGrace.MS() + ms(listPollInterval+delay),
		ColdOverloadRatio:  spec.Fall,
		ColdOverloadWindow: spec.FallAfter.MS(),
		InformedShare:      informedShare,
	})
	h := &historyChecker{
		delay:          delay,
		stalls:         stalls,
		result:         v,
		pool:           pool,
		servers:        servers,
		start:          start,
		replicas:       idTable{},
		serverIDs:      idTable{},
		requests:       idTable{},
		classes:        map[string]int{},
		written:        map[string]*testcluster.Fact{},
		attempts:       map[string][]*attempt{},
		ends:           map[string]int64{},
		suspensions:    map[string][]timeSpan{},
		killed:         map[string]bool{},
		lostOnIdleConn: map[string]bool{},
	}
	for i, c := range pool.Classes {
		h.classes[c.Name] = i
	}
	h.index(facts)
	h.replay(facts)
	h.addViolations()
	v.Margins, v.Requests = v.checker.Margins, len(h.attempts)
	for _, attempts := range h.attempts {
		v.Attempts += len(attempts)
	}
	return v
}

// addViolations adds the violations that the rules checker has found to the result.
func (h *historyChecker) addViolations() {
	v := h.result
	v.ViolationCount += v.checker.ViolationCount
	for _, b := range v.checker.Violations {
		v.Violations = append(v.Violations, fmt.Sprintf("rule %d at %.3f s: %s, %s, %s: %s", b.Rule, (b.At-h.start)/1000,
			h.replicas.name(uint64(b.Replica)), h.serverIDs.name(uint64(b.Server)), h.requests.name(b.Request), b.Text))
	}
}

// violate adds a violation that the rules checker does not check for.
func (h *historyChecker) violate(rule int, at int64, format string, args ...any) {
	v := h.result
	v.ViolationCount++
	if len(v.Violations) < maxViolations {
		seconds := (float64(at)/1e6 - h.start) / 1000
		v.Violations = append(v.Violations, fmt.Sprintf("rule %d at %.3f s: %s", rule, seconds, fmt.Sprintf(format, args...)))
	}
}

// attemptKey identifies an attempt that is open on a connection.
type attemptKey struct {
	request, server string
	conn            uint64
}

// index collects the facts by request and by replica.
func (h *historyChecker) index(facts []testcluster.Fact) {
	open := map[attemptKey]*attempt{}
	for i := range facts {
		f := &facts[i]
		switch f.Kind {
		case testcluster.FactWritten:
			h.written[f.Request] = f
		case testcluster.FactAnswered, testcluster.FactClientLeft, testcluster.FactUnanswered:
			if h.ends[f.Request] == 0 {
				h.ends[f.Request] = f.At
			}
		case testcluster.FactSent:
			a := &attempt{replica: f.Copy, server: f.Server, sentAt: f.At}
			h.attempts[f.Request] = append(h.attempts[f.Request], a)
			open[attemptKey{f.Request, f.Server, f.Conn}] = a
		case testcluster.FactAttemptEnded:
			if a := open[attemptKey{f.Request, f.Server, f.Conn}]; a != nil && !a.ended {
				a.ended, a.endedAt, a.polledAt, a.mayHaveExecuted, a.answered = true, f.At, f.Polled, !f.NotRun, f.Status != 0
			}
		case testcluster.FactKilled:
			h.killed[f.Copy] = true
		case testcluster.FactSuspended:
			h.indexSuspension(f)
		}
	}
	h.indexClosedConns(facts)
	for request, attempts := range h.attempts {
		h.orderAttempts(attempts, h.ends[request])
	}
}

func (h *historyChecker) indexSuspension(f *testcluster.Fact) {
	if !f.Serves {
		h.suspensions[f.Copy] = append(h.suspensions[f.Copy], timeSpan{f.At, f.At})
	} else if spans := h.suspensions[f.Copy]; len(spans) > 0 {
		spans[len(spans)-1].to = f.At
	}
}

// indexClosedConns finds the requests that were received on an idle connection that was closed without a response: an attempt shows
// that the request was received before the connection was closed.
func (h *historyChecker) indexClosedConns(facts []testcluster.Fact) {
	for i := range facts {
		f := &facts[i]
		if f.Kind == testcluster.FactConnClosed && len(h.attempts[f.Request]) > 0 {
			h.written[f.Request] = f
			h.lostOnIdleConn[f.Request] = true
		}
	}
}

// orderAttempts corrects the times of attempts that were observed late, so that causes precede their effects. End is the end of the
// request; 0 for none. A response is observed before it is relayed, so its time is not late. The end of a connection by the sidecar is
// observed only when the relay reads it.
func (h *historyChecker) orderAttempts(attempts []*attempt, end int64) {
	delay := int64(h.delay)
	var before *attempt // the latest one that is not moved
	for i, a := range attempts {
		isAborted := a.ended && !a.answered
		if before != nil && isAborted && h.mayHaveEndedUnread(a) && a.sentAt < before.endedAt && a.sentAt-before.sentAt <= delay {
			// The attempt was written and aborted before the link read it.
			a.sentAt, a.endedAt = before.sentAt-1, before.sentAt-1
		} else {
			before = a
		}
		if i+1 < len(attempts) && isAborted {
			if next := attempts[i+1]; a.endedAt > next.sentAt && a.endedAt-next.sentAt <= delay {
				a.endedAt = next.sentAt - 1
			}
		}
		if end > 0 && a.sentAt > end && a.sentAt-end <= delay {
			a.sentAt = end - 1
			a.endedAt = max(a.endedAt, end)
		}
	}
}

// mayHaveEndedUnread reports whether an attempt may have ended before the link read it: the end was there as soon as the link polled for
// it, or the process of the link was stalled meanwhile. Both are measured at the two events, so that a link that was on time is not
// excused.
func (h *historyChecker) mayHaveEndedUnread(a *attempt) bool {
	waited := time.Duration(a.endedAt - max(a.sentAt, a.polledAt))
	return waited < relayDelay+h.stalls.LongestWithin(a.sentAt, a.endedAt)
}

// knownAt returns the latest time at which a replica has received what was sent to it at a time: a suspended one receives it after its
// resumption.
func (h *historyChecker) knownAt(replica string, at int64) int64 {
	for _, s := range h.suspensions[replica] {
		if at >= s.from-int64(h.delay) && at <= s.to {
			at = s.to + int64(h.delay)
		}
	}
	return at
}

// wasSuspended reports whether a replica was suspended at some time between from and to, so that it could not respond.
func (h *historyChecker) wasSuspended(replica string, from, to int64) bool {
	for _, s := range h.suspensions[replica] {
		if s.from <= to && s.to+int64(h.delay) >= from {
			return true
		}
	}
	return false
}

// dueAt returns when the response to a request is due. A replica that is suspended cannot respond before it is resumed.
func (h *historyChecker) dueAt(written *testcluster.Fact) int64 {
	due := written.Due
	for _, s := range h.suspensions[written.Copy] {
		if s.from <= due && s.to >= written.At {
			due = max(due, s.to+int64(h.delay))
		}
	}
	return due
}
