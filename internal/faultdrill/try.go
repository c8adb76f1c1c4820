package faultdrill

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"milletmast/internal/emulate"
	"milletmast/internal/operator"
	"milletmast/internal/rules"
	"milletmast/internal/testcluster"
)

// clientTry is one try of a request by its client.
type clientTry struct {
	load       *clientLoad
	arrival    *emulate.Arrival
	class      *operator.Class
	addr, name string // of the sidecar; "" if none is up
	id         string
	leaves     bool          // the client abandons the request early
	leavesIn   time.Duration // time until then
}

func (l *clientLoad) newTry(a *emulate.Arrival, number int) *clientTry {
	t := &clientTry{load: l, arrival: a, class: &l.run.scenario.Pool.Classes[a.Class], id: fmt.Sprintf("r%d-%d", a.Number, number)}
	t.addr, t.name = l.chooseSidecar(a.Home)
	var after float64
	after, t.leaves = l.traffic.LeavesEarly(a, number)
	t.leavesIn = time.Duration(after * float64(time.Millisecond))
	return t
}

// send sends the request, and returns its answer (0 if the client abandons it) and the Retry-After of a rejection in ms.
func (t *clientTry) send() (answer rules.Answer, retryAfter float64) {
	if t.addr == "" {
		return rules.Failed, 0
	}
	for {
		p, isNew, err := t.load.connect(t.addr)
		if err != nil {
			return rules.Failed, 0
		}
		answer, retryAfter, done := t.sendOn(p, isNew)
		if done {
			return answer, retryAfter
		}
	}
}

// deadline returns the time at which the client abandons a request that is sent now.
func (t *clientTry) deadline() time.Time {
	if t.leaves {
		return time.Now().Add(t.leavesIn)
	}
	return time.Now().Add(time.Duration(t.class.GiveUp) + clientGrace)
}

// sendOn sends the request on a connection. Done is false if an idle connection was closed: then the request has to be sent again on
// another one.
func (t *clientTry) sendOn(p *clientConn, isNew bool) (answer rules.Answer, retryAfter float64, done bool) {
	writtenAt := testcluster.Now()
	err := p.conn.SetDeadline(t.deadline())
	if err == nil {
		_, err = io.WriteString(p.conn, t.load.encodeRequest(t.arrival, t.class.Effect, t.id))
	}
	if err != nil {
		p.conn.Close()
		return rules.Failed, 0, isNew
	}
	history := t.load.run.history
	written := testcluster.Fact{
		At: writtenAt, Kind: testcluster.FactWritten, Copy: t.name, Request: t.id, Class: t.class.Name, Due: writtenAt + int64(t.class.GiveUp),
	}
	response, err := readResponse(p)
	if errors.Is(err, errClosedIdle) && !isNew {
		written.Kind, written.Text = testcluster.FactConnClosed, err.Error()
		history.Record(written)
		history.Record(testcluster.Fact{Kind: testcluster.FactConnEnded, Copy: t.name, Request: t.id})
		t.id += "b" // the links record whether the first one was received
		return 0, 0, false
	}
	history.Record(written)
	t.load.mu.Lock()
	t.load.written++
	t.load.mu.Unlock()
	if err != nil {
		p.conn.Close()
		return t.recordFailure(err), 0, true
	}
	answered := testcluster.Fact{
		Copy: t.name, Request: t.id, Class: t.class.Name, Kind: testcluster.FactAnswered, Status: response.status,
	}
	history.Record(answered)
	p.usedAt, p.lastResponse = time.Now(), answered
	if response.closes {
		p.conn.Close()
	} else {
		t.load.putIdle(t.addr, p)
	}
	answer = answerOf(response.status)
	if answer == rules.Refused {
		if seconds, err := strconv.ParseFloat(response.retryAfter, 64); err == nil {
			retryAfter = seconds * 1000
		}
	}
	return answer, retryAfter, true
}

// recordFailure records a request without a response, and returns its answer: 0 if the client has abandoned it.
func (t *clientTry) recordFailure(err error) rules.Answer {
	f := testcluster.Fact{Copy: t.name, Request: t.id, Class: t.class.Name, Kind: testcluster.FactUnanswered, Text: err.Error()}
	answer := rules.Failed
	if isTimeout(err) {
		f.Kind, answer = testcluster.FactClientLeft, 0
	}
	t.load.run.history.Record(f)
	return answer
}

// answerOf converts an HTTP status to an answer of package rules.
func answerOf(status int) rules.Answer {
	switch status {
	case http.StatusOK:
		return rules.Served
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return rules.Refused
	}
	return rules.Failed
}
