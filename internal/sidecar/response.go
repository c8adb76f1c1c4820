package sidecar

import (
	"io"
	"net/http"
	"time"

	"milletmast/balancer"
	"milletmast/internal/exchange"
	"milletmast/internal/grpcfront"
)

// response is a response for a client. It is complete unless its body is streamed.
type response struct {
	status          int
	header          http.Header
	body            []byte
	retryAfter      time.Duration
	stream          *responseStream     // the rest of a streamed body; nil for none
	length          int64               // of a streamed body, or in the head of a response without one; or lengthChunked or lengthUnknown
	noBody          bool                // no body is sent, whatever length says
	isServerFailure bool                // a failure response of a server, used if no later attempt succeeds
	callOutcome     string              // see outcomeHeader
	notExecuted     bool                // reports to the previous tier that nothing was executed
	timedOut        bool                // the request failed because its deadline passed
	isLocal         bool                // the sidecar's own rejection or failure
	mayHaveExecuted bool                // an attempt may have been executed, or was open, when the response was created
	attempts        int                 // made before the response was created
	grpc            *grpcfront.Response // response of a server to a gRPC call
}

// omitBody leaves out the body, and its length.
func (r *response) omitBody() { r.noBody, r.length, r.body = true, lengthUnknown, nil }

// readPlatformResponse reads a response of the platform's protocol. A 200 with a long body is streamed. If the response is
// unreadable, the request may have been executed, even if the head says that it was not.
func readPlatformResponse(a *attempt, c *conn, request *httpRequest) (balancer.Outcome, *response, bool) {
	status, m, body, rest, err := readResponse(c.reader)
	if err != nil {
		return c.fail(a, err)
	}
	c.apply(exchange.ResponseStarted)
	if m.length == lengthUnknown && rest != nil { // the body ends with the connection
		c.apply(exchange.PeerClosing)
	}
	if rest != nil {
		c.noteConnectionClose(&m)
		r := &response{status: status, length: m.length, body: body, header: endToEnd(m.header)}
		if m.length == lengthUnknown {
			r.length = lengthChunked
		}
		r.stream = newResponseStream(rest, a, c, request)
		return balancer.OK, r, false
	}
	keep := c.completeResponse(&m)
	switch {
	case status == http.StatusOK:
		return balancer.OK, &response{status: status, header: endToEnd(m.header), body: body}, keep
	case (status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout) && m.header.Get("X-Not-Run") == "1":
		return balancer.NotExecuted, nil, keep
	case status/100 == 4: // a client error, which every endpoint would return
		return balancer.Canceled, &response{status: status}, keep
	}
	return balancer.Error, nil, keep
}

// readListenerResponse reads a response for a listener of an operator file. Statuses that the platform's protocol does not have are
// passed on, and a long body is streamed once its head and first part have been received.
func readListenerResponse(a *attempt, c *conn, request *httpRequest) (balancer.Outcome, *response, bool) {
	status, m, err := readResponseHead(c.reader)
	if err != nil {
		return c.fail(a, err)
	}
	c.apply(exchange.ResponseStarted)
	r := &response{status: status, length: m.length, noBody: request.noBody || hasNoBody(status)}
	if hasNoBody(status) {
		r.length = lengthUnknown
	}
	rest, err := readListenerBody(c, &m, r)
	if err != nil {
		return c.fail(a, err)
	}
	reusable := false
	if rest == nil {
		reusable = c.completeResponse(&m)
	} else {
		c.noteConnectionClose(&m)
	}
	notExecuted := m.header.Get("X-Not-Run") == "1"
	callOutcome := m.header.Get(outcomeHeader)
	a.final = a.context != "" && callOutcome != ""
	r.header = endToEnd(m.header)
	if a.final && callOutcome == outcomeLoop && rest == nil {
		r.callOutcome = outcomeLoop
		return balancer.Canceled, r, reusable
	}
	switch {
	case notExecuted && (isRejection(status) || status == http.StatusGatewayTimeout):
		return balancer.NotExecuted, nil, reusable
	case status >= 500 || status == http.StatusTooManyRequests: // the request may have been executed, whatever the status
		if rest != nil || isRejection(status) {
			return balancer.Error, nil, reusable
		}
		r.isServerFailure = true
		return balancer.Error, r, reusable
	}
	if rest != nil {
		r.stream = newResponseStream(rest, a, c, request)
	}
	if status >= 400 && rest == nil {
		return balancer.Canceled, r, reusable
	}
	return balancer.OK, r, reusable
}

// readListenerBody reads the body of a response. If the body is long, it reads the first part and returns a reader of the rest.
func readListenerBody(c *conn, m *message, r *response) (rest io.Reader, err error) {
	switch {
	case r.noBody:
	case m.length == lengthUnknown: // the body ends with the connection (RFC 9112, section 6.3)
		c.apply(exchange.PeerClosing)
		r.length = lengthChunked
		r.body, rest, err = readFirst(c.reader, time.Time{})
	case m.length == lengthChunked:
		r.body, rest, err = readFirst(newTrailerReader(c.reader), time.Time{})
	case m.length > maxBufferedBody:
		rest = &exactReader{c.reader, m.length}
	default:
		r.body, err = readBody(c.reader, m.length)
	}
	return rest, err
}

// outcomeOf converts the outcome of an exchange without a response to the outcome for the decision module.
func outcomeOf(f exchange.Outcome) balancer.Outcome {
	switch f {
	case exchange.NotWritten: // nothing was sent, whatever the reason
		return balancer.ConnectFailed
	case exchange.Canceled:
		return balancer.Canceled
	case exchange.TimedOut:
		return balancer.Timeout
	}
	return balancer.Reset
}
