package proxy

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"time"

	"milletmast/internal/exchange"
	"milletmast/internal/mesh/admission"
	"milletmast/internal/sidecar"
)

// inboundRequest is a request for the endpoint beside this proxy.
type inboundRequest struct {
	instanceID       string
	priority         int
	nonRepeatable    bool
	waitDuringWarmup bool
	deadline         time.Time
	queueTime        time.Duration
	id               string
	body             []byte
	method           string
	writeHead        func(*bytes.Buffer)
}

// parseInbound reads the headers that another proxy has set; ok is false if the remaining time is
// missing or invalid.
func parseInbound(incoming *sidecar.IncomingRequest) (req *inboundRequest, ok bool) {
	header := incoming.Header
	left, given, ok := sidecar.Deadline(header, deadlineHeader)
	if !given || !ok {
		return nil, false
	}
	req = &inboundRequest{
		instanceID:       header.Get(targetHeader),
		nonRepeatable:    header.Get(nonRepeatableHeader) != "",
		waitDuringWarmup: header.Get(waitDuringWarmupHeader) != "",
		deadline:         incoming.ReceivedAt.Add(left - localLatency),
		id:               header.Get(idHeader),
		body:             incoming.Body,
		method:           incoming.Method,
	}
	req.queueTime, _, _ = sidecar.Deadline(header, queueTimeHeader)
	req.priority, _ = strconv.Atoi(header.Get(priorityHeader))
	return req, true
}

// Open handles the head of a request of another proxy. A request with a large body is admitted
// before its body is sent. Open returns the largest body to accept, in bytes, or the response that
// rejects the request.
func (ep *inboundEndpoint) Open(incoming *sidecar.IncomingRequest) (int64, *sidecar.Reply) {
	limit, rejected := ep.proxy.bodies.reserve(incoming, maxBodyBytes)
	if rejected != nil {
		rejected.Header = http.Header{outcomeHeader: {outcomeRejectedPrefix + admission.Full.String()}}
		return limit, rejected
	}
	if incoming.Header.Get(admitFirstHeader) == "" {
		return limit, nil
	}
	req, ok := parseInbound(incoming)
	if !ok {
		return limit, nil // Serve rejects it
	}
	ticket, outcome := ep.admit(ep.proxy.ctx, req)
	if ticket == nil {
		reply := outcomeReply(http.StatusServiceUnavailable, outcome, "")
		reply.BodyUnread = true
		return 0, &reply
	}
	release := incoming.Release
	incoming.Release = func() {
		ep.release(ticket)
		if release != nil {
			release()
		}
	}
	incoming.Admitted = ticket
	return limit, nil
}

// Serve forwards a request of another proxy to the endpoint.
func (ep *inboundEndpoint) Serve(ctx context.Context, incoming *sidecar.IncomingRequest) sidecar.Reply {
	req, ok := parseInbound(incoming)
	if !ok {
		return outcomeReply(http.StatusBadRequest, outcomeNeverReached, "the remaining time is missing")
	}
	header := incoming.Header
	header.Del(deadlineHeader)
	stripMeshHeaders(header)
	req.writeHead = func(b *bytes.Buffer) {
		b.WriteString(incoming.Method + " " + incoming.URI + " HTTP/1.1\r\nHost: " + incoming.Host + "\r\n")
		sidecar.WriteLines(b, header)
	}
	var outcome string
	var reply *sidecar.Reply
	if ticket, ok := incoming.Admitted.(*admission.Ticket); ok {
		if outcome = ep.recheck(ticket); outcome == "" {
			outcome, reply = ep.forward(ctx, req, ticket)
		}
	} else {
		outcome, reply = ep.handle(ctx, req)
	}
	if reply == nil {
		return outcomeReply(http.StatusServiceUnavailable, outcome, "")
	}
	reply.Header.Set(outcomeHeader, outcome)
	return *reply
}

// handle admits a request and forwards it to the endpoint. It returns the outcome, and the response
// if there is one.
func (ep *inboundEndpoint) handle(ctx context.Context, req *inboundRequest) (outcome string, reply *sidecar.Reply) {
	ticket, outcome := ep.admit(ctx, req)
	if ticket == nil {
		return outcome, nil
	}
	return ep.forward(ctx, req, ticket)
}

// admit requests admission and waits in the queue for at most the queue time of the request. It
// returns the ticket of an admitted request, or the outcome of a rejected one.
func (ep *inboundEndpoint) admit(ctx context.Context, req *inboundRequest) (*admission.Ticket, string) {
	now := time.Now()
	queueUntil := now.Add(req.queueTime)
	if queueUntil.After(req.deadline) {
		queueUntil = req.deadline
	}
	ep.mu.Lock()
	ticket, decision := ep.controller.Admit(now, admission.Request{
		InstanceID:       req.instanceID,
		Priority:         req.priority,
		NonRepeatable:    req.nonRepeatable,
		WaitDuringWarmup: req.waitDuringWarmup,
		Deadline:         queueUntil,
	})
	var queueOutcome chan admission.Decision
	if decision == admission.Queue {
		queueOutcome = make(chan admission.Decision, 1)
		ep.queued[ticket] = queueOutcome
		ep.processQueueLocked()
	}
	ep.mu.Unlock()
	if decision == admission.Queue {
		select {
		case decision = <-queueOutcome:
		case <-ctx.Done():
			ep.release(ticket)
			return nil, outcomeNeverReached
		}
	}
	if decision != admission.Admit {
		ep.proxy.recordRejected(req, decision)
		return nil, outcomeRejectedPrefix + decision.String()
	}
	return ticket, ""
}

// forward sends an admitted request to the endpoint, and releases its ticket once the exchange has ended.
func (ep *inboundEndpoint) forward(
	ctx context.Context,
	req *inboundRequest,
	ticket *admission.Ticket,
) (outcome string, reply *sidecar.Reply) {
	defer ep.release(ticket)
	startedAt := time.Now()
	exchangeOutcome, reply := ep.pool.RoundTrip(ctx, &sidecar.Exchange{
		Body: req.body, OmitLength: omitsLength(req.method), IsHead: req.method == http.MethodHead, ID: req.id, MaxReplyBytes: maxBodyBytes,
		Head: func(left time.Duration) []byte {
			var b bytes.Buffer
			req.writeHead(&b)
			sidecar.WriteLine(&b, deadlineHeader, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
			return b.Bytes()
		},
	}, req.deadline)
	if exchangeOutcome == exchange.Completed && reply.AfterOtherResponse && isMarkedNotExecuted(reply) {
		exchangeOutcome, reply = exchange.ConnectionFailed, nil
	}
	ep.mu.Lock()
	if exchangeOutcome == exchange.NotWritten {
		ep.connectFailures++
	} else {
		ep.connectFailures = 0
	}
	suspect, service := ep.connectFailures > 1, ep.service
	ep.mu.Unlock()
	if suspect {
		ep.probe()
	}
	if exchangeOutcome == exchange.Completed {
		stripMeshHeaders(reply.Header)
		if reply.Status >= http.StatusInternalServerError && ep.proxy.failedSince(startedAt) {
			reply.Header.Set(indirectFailureHeader, "1")
		}
	}
	ep.proxy.recordForwarded(req, exchangeOutcome)
	if result, isKnown := classifyResult(exchangeOutcome, reply); isKnown {
		ep.proxy.observer.recordInbound(service, req.instanceID, result)
	}
	switch exchangeOutcome {
	case exchange.Completed:
		return outcomeAnswered, reply
	case exchange.NotWritten:
		return outcomeNeverReached, nil
	case exchange.TimedOut:
		return outcomeTimedOut, nil
	}
	return outcomeLost, nil
}

// recheck decides again on a request that was admitted before its body arrived; it returns the
// outcome if it is rejected.
func (ep *inboundEndpoint) recheck(ticket *admission.Ticket) (outcome string) {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	if decision := ep.controller.Recheck(time.Now(), ticket); decision != admission.Admit {
		ep.processQueueLocked()
		return outcomeRejectedPrefix + decision.String()
	}
	return ""
}

// release ends a request that was admitted or queued, unless it has ended.
func (ep *inboundEndpoint) release(ticket *admission.Ticket) {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	delete(ep.queued, ticket)
	ep.controller.Release(ticket)
	ep.processQueueLocked()
}
