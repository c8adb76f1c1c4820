package sidecar

import (
	"container/list"
	"net/http"
	"time"

	"milletmast/balancer"
	"milletmast/internal/degradation"
)

const (
	// A request must be answered clientMargin before its client times out, as the response also has to reach the client and the
	// event loop may be busy. For short timeouts the margin is maxMarginShare of the timeout of the client.
	clientMargin   = 50 * time.Millisecond
	maxMarginShare = 0.1
	// backstop is how long after its deadline the event loop answers a request that the decision module has left unanswered.
	backstop = 10 * time.Millisecond
	// retryAfter is the Retry-After of the event loop's own rejections.
	retryAfter = time.Second
)

// call is one request that the sidecar has accepted. The event loop owns it. Times are in ms of the event loop's clock.
type call struct {
	event         balancer.Event // for the decision module
	id            string         // the client's, or ""
	timeout       float64        // from its arrival until it must be answered
	streamTimeout float64        // the same if its body is streamed
	// The request in the form of its protocol; http is used if the others are nil.
	http      httpRequest
	grpc      *grpcRequest
	forwarded *forwardedRequest

	respond         func(response) // receives the one final response
	backstop        *timedTask
	ended           bool      // it has its final response, or its client has disconnected
	isStreaming     bool      // its response is streamed: the end of its attempt is that of the call
	mayHaveExecuted bool      // an attempt that has ended may have been executed
	firstExecutedAt time.Time // when the first such attempt was sent
	openAttempts    int
	attempts        []*attempt
	serverFailure   *response // the latest failure response of a server
	timedOut        bool      // the latest attempt ended by its deadline
	lostModule      bool      // the decision module that had it was replaced
	tree            *treeCall // its part in a tree of calls over several tiers; nil for none
	// Used by pools with levels of reduced service:
	callerHash   uint64
	arrivedAt    float64
	shedRule     *degradation.ShedRule // the rule by which a level rejects it; nil for none
	queueElement *list.Element         // in the list of calls without a server; nil for none
	// Used by pools whose replicas shed load together:
	admittedByFleet bool
}

// sender returns the request in the form that its attempts send.
func (c *call) sender() sender {
	if c.grpc != nil {
		return c.grpc
	}
	if c.forwarded != nil {
		return c.forwarded
	}
	return &c.http
}

// setDue sets the deadline of a call that arrived at arrivedAt.
func (c *call) setDue(arrivedAt float64) {
	if c.http.upload != nil {
		c.timeout, c.event.NotRepeatable = c.streamTimeout, true
	}
	c.event.Deadline = arrivedAt + c.timeout
}

// withoutMargin returns, in ms, the time within which a request must be answered whose client waits for the given seconds.
func withoutMargin(seconds float64) float64 {
	return 1000*seconds - min(float64(clientMargin.Milliseconds()), 1000*maxMarginShare*seconds)
}

// failureResponse returns the final response of a call that has failed: that of a server, if there is one.
func (c *call) failureResponse() response {
	if c != nil && c.serverFailure != nil {
		return *c.serverFailure
	}
	return response{status: statusFailed, timedOut: c != nil && c.timedOut, isLocal: true}
}

// rejection returns the response to a call that the decision module rejects. If a level sheds the call, its rule decides.
func (c *call) rejection(after float64) response {
	r := response{status: statusRefused, retryAfter: millis(after), isLocal: true}
	if c.shedRule == nil {
		return r
	}
	rule := &c.shedRule.Response
	if rule.RetryAfter > 0 {
		r.retryAfter = rule.RetryAfter
	}
	r.header = http.Header{}
	if rule.Warning != "" {
		r.header.Set("Warning", rule.Warning)
	}
	if rule.ContentType != "" {
		r.header.Set("Content-Type", rule.ContentType)
	}
	if rule.Status != 0 || rule.Body != "" {
		r.isLocal = false // no error page replaces it
		r.body = []byte(rule.Body)
		if rule.Status != 0 {
			r.status = rule.Status
		}
	}
	return r
}
