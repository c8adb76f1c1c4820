package proxy

import (
	"bytes"
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"milletmast/balancer"
	"milletmast/internal/exchange"
	"milletmast/internal/mesh/admission"
	"milletmast/internal/mesh/meshconfig"
	"milletmast/internal/mesh/outlier"
	"milletmast/internal/sidecar"
)

// serve forwards one request to an endpoint of the service and returns the response.
func (u *upstreamService) serve(ctx context.Context, req *sidecar.IncomingRequest, route *meshconfig.Route) sidecar.Reply {
	now := time.Now()
	deadline := req.ReceivedAt.Add(timeLeft(req))
	if routeDeadline := req.ReceivedAt.Add(route.Deadline); route.Deadline > 0 && routeDeadline.Before(deadline) {
		deadline = routeDeadline
	}
	deadline = deadline.Add(-min(50*time.Millisecond, deadline.Sub(now)/10))
	lane, class := u.acquireLane(now, route)
	if class < 0 {
		return sidecar.Reply{Status: http.StatusServiceUnavailable, RetryAfter: 100 * time.Millisecond}
	}
	defer lane.requests.Done()
	stripMeshHeaders(req.Header)
	req.Header.Del(deadlineHeader)
	req.Header.Del(targetHeader)
	req.Header.Del(callerHeader)
	out := &outboundRequest{
		service:   u,
		request:   req,
		route:     route,
		queueTime: min(max(time.Duration(queueTimeFraction*float64(route.TargetLatency)), minQueueTime), max(deadline.Sub(now), 0)),
	}
	id := req.Header.Get(idHeader)
	u.proxy.recordReceived(id, route, u.name)
	reply, ok := lane.service.Do(ctx, &sidecar.ServiceRequest{
		Class:            uint16(class),
		Deadline:         deadline,
		MaxAttempts:      route.MaxAttempts + extraAttempts,
		Attempt:          out.attempt,
		PreferredServers: u.affinityOrder(req, route),
	})
	if !ok {
		u.proxy.recordClientGone(id)
		return sidecar.Reply{Status: http.StatusBadGateway}
	}
	u.proxy.recordAnswered(id, reply.Status, out)
	if reply.Header == nil {
		reply.Header = http.Header{}
	}
	stripMeshHeaders(reply.Header)
	if reply.RetryAfter > 0 {
		reply.RetryAfter = min(reply.RetryAfter, time.Duration(retryAfterFraction*float64(time.Until(deadline))))
		reply.RetryAfter = max(reply.RetryAfter, time.Millisecond).Round(time.Millisecond)
	}
	return reply
}

// acquireLane returns the lane of a route and the number of its class there, and counts a request of both the lane and the retry budget.
// The class is negative, and the lane is not counted, if the route has no class there.
func (u *upstreamService) acquireLane(now time.Time, route *meshconfig.Route) (used lane, class int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.retryBudget.CountRequest(now)
	used = u.lanes[laneOf(route)]
	if class = slices.Index(used.classes, classOf(route)); class >= 0 {
		used.requests.Add(1)
	}
	return used, class
}

// affinityOrder returns the preferred endpoints of the client, by the affinity of the route; nil if
// it has none.
func (u *upstreamService) affinityOrder(req *sidecar.IncomingRequest, route *meshconfig.Route) []string {
	path, _, _ := strings.Cut(req.URI, "?")
	clientKey, ok := route.Affinity.Extract(req.Header, path, req.ClientAddr)
	if !ok {
		return nil
	}
	u.mu.Lock()
	table := u.affinityTable
	u.mu.Unlock()
	return table.Rank(clientKey, affinityDepth)
}

// omitsLength reports whether an empty body of a method is sent without a length, as such a request has no body.
func omitsLength(method string) bool { return method == http.MethodGet || method == http.MethodHead }

// affinityDepth is the number of preferred endpoints; the order of the others does not depend on the
// client.
const affinityDepth = 3

// statusMeansNotExecuted reports whether clients read a status as a statement that the request was not
// executed and never will be.
func statusMeansNotExecuted(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable ||
		status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
}

// outboundRequest is a request of a client, with the state that its attempts share.
type outboundRequest struct {
	service       *upstreamService
	request       *sidecar.IncomingRequest
	route         *meshconfig.Route
	queueTime     time.Duration
	attempts      atomic.Int32 // all attempts
	localAttempts int          // attempts in the own zone
	reached       atomic.Int32 // attempts that reached an endpoint; one may still be in flight when the request has its response
}

// writeHead writes the head of the request for an instance, except for the remaining time.
func (out *outboundRequest) writeHead(b *bytes.Buffer, instanceID string) {
	b.WriteString(out.request.Method + " " + out.request.URI + " HTTP/1.1\r\nHost: " + out.request.Host + "\r\n")
	sidecar.WriteLines(b, out.request.Header)
	sidecar.WriteLine(b, targetHeader, instanceID)
	sidecar.WriteLine(b, callerHeader, out.service.proxy.serviceName())
}

// attempt makes one attempt through the proxy beside an endpoint. The attempts of a request do not
// overlap.
func (out *outboundRequest) attempt(attempt *sidecar.ServiceAttempt) sidecar.AttemptResult {
	out.attempts.Add(1)
	plan := out.plan(attempt.Server)
	if !plan.known {
		return sidecar.AttemptResult{Outcome: balancer.NotSent}
	}
	if !plan.allowed {
		return sidecar.AttemptResult{Outcome: balancer.NotSent, Final: true}
	}
	isTooShort := time.Until(attempt.Deadline) < minJudgedTime
	var outcome string
	var reply *sidecar.Reply
	if plan.locality.sameNode {
		outcome, reply = out.attemptLocal(attempt, plan)
	} else {
		exchangeOutcome, response := attempt.RoundTrip(out.exchange(attempt.Server, plan))
		switch exchangeOutcome {
		case exchange.NotWritten:
			return out.judge(sidecar.AttemptResult{Outcome: balancer.ConnectFailed}, attempt.Server, isTooShort)
		case exchange.Canceled:
			return sidecar.AttemptResult{Outcome: balancer.Canceled}
		case exchange.TimedOut:
			outcome = outcomeTimedOut
		case exchange.Completed:
			outcome, reply = response.Header.Get(outcomeHeader), response
			response.Header.Del(outcomeHeader)
		}
	}
	result := out.judge(out.interpret(outcome, reply, attempt.Server), attempt.Server, isTooShort)
	out.service.proxy.recordAttempt(out.request.Header.Get(idHeader), attempt, outcome, result.Outcome)
	return result
}

// judge records what the result of an attempt shows of the endpoint, and returns the result for the decision module. A failure of an
// attempt that was too short shows nothing.
func (out *outboundRequest) judge(result sidecar.AttemptResult, instanceID string, isTooShort bool) sidecar.AttemptResult {
	if isTooShort {
		result.Outcome = withoutJudgment(result.Outcome)
	}
	out.recordResult(result, instanceID)
	return result
}

// minJudgedTime is the time of an attempt below which its failure shows nothing of the endpoint: a route may allow less time than any
// endpoint needs.
const minJudgedTime = 50 * time.Millisecond

// withoutJudgment replaces a failure in time by an outcome that does not count against the endpoint. Whether the request may have been
// executed stays as it is.
func withoutJudgment(outcome balancer.Outcome) balancer.Outcome {
	switch outcome {
	case balancer.Timeout:
		return balancer.Canceled
	case balancer.ConnectFailed:
		return balancer.NotSent
	}
	return outcome
}

// plan returns the limits of the next attempt, and takes a retry off the budget if the attempt needs
// one: only an attempt after one that reached an endpoint is a retry.
func (out *outboundRequest) plan(instanceID string) (plan attemptPlan) {
	service := out.service
	service.mu.Lock()
	defer service.mu.Unlock()
	plan.locality, plan.known = service.instances[instanceID]
	plan.queueTime = out.queueTime
	if plan.locality.sameZone {
		if out.localAttempts++; out.localAttempts < min(service.localCount, maxLocalAttempts) {
			plan.queueTime = 0
		}
	}
	plan.waitDuringWarmup = time.Now().Before(service.warmAt)
	reached := int(out.reached.Load())
	plan.allowed = reached == 0
	if plan.known && reached > 0 && reached < out.route.MaxAttempts {
		plan.allowed = service.retryBudget.TakeRetry(time.Now(), service.proxy.settings.Bounds.RetrySlack/float64(service.proxies))
	}
	return plan
}

// attemptLocal makes an attempt at the endpoint beside this proxy.
func (out *outboundRequest) attemptLocal(attempt *sidecar.ServiceAttempt, plan attemptPlan) (outcome string, reply *sidecar.Reply) {
	return out.service.proxy.inbound.handle(attempt.Ctx, &inboundRequest{
		instanceID:       attempt.Server,
		priority:         out.route.Priority,
		nonRepeatable:    out.route.Kind != meshconfig.Safe,
		waitDuringWarmup: plan.waitDuringWarmup,
		deadline:         attempt.Deadline,
		queueTime:        plan.queueTime,
		id:               out.request.Header.Get(idHeader),
		body:             out.request.Body,
		method:           out.request.Method,
		writeHead:        func(b *bytes.Buffer) { out.writeHead(b, attempt.Server) },
	})
}

// exchange returns the exchange with the proxy beside an endpoint.
func (out *outboundRequest) exchange(instanceID string, plan attemptPlan) *sidecar.Exchange {
	admitTimeLeft := time.Duration(0)
	if len(out.request.Body) >= admitFirstBytes {
		admitTimeLeft = plan.queueTime + admitTimeout
	}
	return &sidecar.Exchange{
		Body:            out.request.Body,
		OmitLength:      omitsLength(out.request.Method),
		IsHead:          out.request.Method == http.MethodHead,
		ID:              out.request.Header.Get(idHeader),
		PeerIsProxy:     true,
		MaxReplyBytes:   maxBodyBytes,
		ContinueTimeout: admitTimeLeft,
		Head: func(left time.Duration) []byte {
			var b bytes.Buffer
			out.writeHead(&b, instanceID)
			sidecar.WriteLine(&b, deadlineHeader, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
			if plan.queueTime > 0 {
				sidecar.WriteLine(&b, queueTimeHeader, strconv.FormatInt(max(plan.queueTime.Milliseconds(), 1), 10))
			}
			sidecar.WriteLine(&b, priorityHeader, strconv.Itoa(out.route.Priority))
			if out.route.Kind != meshconfig.Safe {
				sidecar.WriteLine(&b, nonRepeatableHeader, "1")
			}
			if admitTimeLeft > 0 {
				sidecar.WriteLine(&b, admitFirstHeader, "1")
			}
			if plan.waitDuringWarmup {
				sidecar.WriteLine(&b, waitDuringWarmupHeader, "1")
			}
			return b.Bytes()
		},
	}
}

// recordResult records the result of an attempt for outlier detection.
func (out *outboundRequest) recordResult(result sidecar.AttemptResult, instanceID string) {
	switch result.Outcome {
	case balancer.Canceled:
		if result.Reply != nil && !result.ServerFailure {
			out.service.proxy.observer.recordOutbound(out.service.name, instanceID, outlier.Succeeded)
		}
	case balancer.OK:
		out.service.proxy.observer.recordOutbound(out.service.name, instanceID, outlier.Succeeded)
	case balancer.Error, balancer.Reset:
		out.service.proxy.observer.recordOutbound(out.service.name, instanceID, outlier.Failed)
	case balancer.Timeout, balancer.ConnectFailed:
		out.service.proxy.observer.recordOutbound(out.service.name, instanceID, outlier.TimedOut)
	}
}

// interpret translates the outcome of an attempt for the decision module, which counts NotSent and Canceled
// neither as a success nor as a failure of the endpoint.
func (out *outboundRequest) interpret(outcome string, reply *sidecar.Reply, instanceID string) sidecar.AttemptResult {
	if reason, ok := strings.CutPrefix(outcome, outcomeRejectedPrefix); ok {
		if reason == admission.Full.String() || reason == admission.WarmingUp.String() { // the endpoint is busy, not unhealthy
			return sidecar.AttemptResult{Outcome: balancer.NotSent}
		}
		out.service.proxy.loop.Post(func() { out.service.proxy.avoid(instanceID) })
		return sidecar.AttemptResult{Outcome: balancer.NotSent}
	}
	if outcome == outcomeNeverReached {
		return sidecar.AttemptResult{Outcome: balancer.ConnectFailed}
	}
	out.reached.Add(1)
	switch {
	case outcome == outcomeTimedOut:
		return sidecar.AttemptResult{Outcome: balancer.Timeout}
	case outcome != outcomeAnswered || reply == nil || !out.isAnsweredBy(reply):
		return sidecar.AttemptResult{Outcome: balancer.Reset}
	case isMarkedNotExecuted(reply):
		if reply.Status == http.StatusMisdirectedRequest {
			out.service.proxy.loop.Post(func() { out.service.proxy.avoid(instanceID) })
		}
		return sidecar.AttemptResult{Outcome: balancer.NotExecuted}
	case reply.Status < 300 && !isIntact(reply):
		return sidecar.AttemptResult{Outcome: balancer.Reset}
	case reply.Status < 300:
		return sidecar.AttemptResult{Outcome: balancer.OK, Reply: reply}
	case statusMeansNotExecuted(reply.Status): // the endpoint did not set notExecutedHeader, so the client must not get this status
		return sidecar.AttemptResult{Outcome: balancer.Error}
	case reply.Status < 500:
		return sidecar.AttemptResult{Outcome: balancer.Canceled, Reply: reply}
	}
	if reply.Header.Get(indirectFailureHeader) != "" { // a service that the endpoint called may have failed
		return sidecar.AttemptResult{Outcome: balancer.Canceled, Reply: reply, ServerFailure: true}
	}
	return sidecar.AttemptResult{Outcome: balancer.Error, Reply: reply, ServerFailure: true}
}

// isAnsweredBy reports whether a response carries the id of this request.
func (out *outboundRequest) isAnsweredBy(reply *sidecar.Reply) bool {
	return exchange.ResponseMatches(out.request.Header.Get(idHeader), reply.Header[idHeader], false)
}

// isIntact reports whether a successful response is as the endpoint sent it: sealed, not encoded, and without a claim that
// the request was not executed.
func isIntact(reply *sidecar.Reply) bool {
	return reply.Header.Get(sealHeader) != "" && reply.Header.Get("Content-Encoding") == "" && reply.Header.Get(notExecutedHeader) == ""
}

// attemptPlan holds the limits of one attempt of a request.
type attemptPlan struct {
	locality         locality
	queueTime        time.Duration // for which it may be queued at the endpoint
	waitDuringWarmup bool          // no endpoint is known to be warm
	known            bool          // the instance is known
	allowed          bool          // no attempt has reached an endpoint yet, or the route and the retry budget allow a retry
}
