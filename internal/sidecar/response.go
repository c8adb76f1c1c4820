package sidecar

import (
	"io"
	"net/http"
	"time"

	"milletmast/balancer"
	"milletmast/internal/exchange"
	"milletmast/internal/grpcfront"
)

// response is the response for a client, complete but for a body that is streamed.
type response struct {
	status          int
	header          http.Header
	body            []byte
	retryAfter      time.Duration
	stream          *responseStream     // the rest of a streamed body; nil for none
	length          int64               // of a streamed body, or in the head of a response without one; or lengthChunked or lengthUnknown
	noBody          bool                // there is no body, whatever the length is
	isServerFailure bool                // a failure response of a server, used if no later attempt succeeds
	callOutcome     string              // see outcomeHeader
	notExecuted     bool                // reports to the previous tier that nothing was executed
	timedOut        bool                // it failed by its deadline
	isLocal         bool                // the sidecar's own rejection or failure
	mayHaveExecuted bool                // an attempt may have been executed, or was open, at that time
	attempts        int                 // until then
	grpc            *grpcfront.Response // response of a server to a gRPC call
}

// readPlatformResponse reads a response of the platform's protocol. A 200 with a long body is streamed. If the response is
// unreadable, the request may have been executed whatever the head says.
func readPlatformResponse(a *attempt, c *conn, out *httpRequest) (balancer.Outcome, *response, bool) {
	status, m, body, rest, err := readResponse(c.reader)
	if err != nil {
		return c.fail(a, err)
	}
	c.apply(exchange.ResponseStarted)
	if m.length == lengthUnknown && rest != nil { // it ends with the connection
		c.apply(exchange.PeerClosing)
	}
	if rest != nil {
		c.noteConnectionClose(&m)
		got := &response{status: status, length: m.length, body: body, header: endToEnd(m.header)}
		if m.length == lengthUnknown {
			got.length = lengthChunked
		}
		got.stream = newResponseStream(rest, a, c, out)
		return balancer.OK, got, false
	}
	keep := c.completeResponse(&m)
	switch {
	case status == http.StatusOK:
		return balancer.OK, &response{status: status, header: endToEnd(m.header), body: body}, keep
	case (status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout) && m.header.Get("X-Not-Run") == "1":
		return balancer.NotExecuted, nil, keep
	case status/100 == 4: // an error of the client: every endpoint would give it
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
	case status >= 500 || status == http.StatusTooManyRequests: // it may have been executed, whatever the status says
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

// readListenerBody reads the body of a response, or its first part and returns the rest.
func readListenerBody(c *conn, m *message, r *response) (rest io.Reader, err error) {
	switch {
	case r.noBody:
	case m.length == lengthUnknown: // its end could not be told from a connection that broke
		return nil, errBadLength
	case m.length == lengthChunked:
		r.body, rest, err = readFirst(newTrailerReader(c.reader), time.Time{})
	case m.length > maxBufferedBody:
		rest = &exactReader{c.reader, m.length}
	default:
		r.body, err = readBody(c.reader, m.length)
	}
	return rest, err
}

// outcomeOf returns the outcome of an attempt without a response for the decision module.
func outcomeOf(f exchange.Outcome) balancer.Outcome {
	switch f {
	case exchange.NotWritten: // for whatever reason
		return balancer.ConnectFailed
	case exchange.Canceled:
		return balancer.Canceled
	case exchange.TimedOut:
		return balancer.Timeout
	}
	return balancer.Reset
}
