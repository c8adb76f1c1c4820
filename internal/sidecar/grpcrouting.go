package sidecar

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"milletmast/internal/budget"
	"milletmast/internal/grpcfront"
	"milletmast/internal/h2"
	"milletmast/internal/route"
)

// grpcRouter routes the gRPC calls of a listener (grpcfront.Router).
type grpcRouter struct {
	instance *Instance
	listener *listener
}

// Route decides on a call by the routes of the current generation.
func (d *grpcRouter) Route(c *grpcfront.Call) (grpcfront.RoutedCall, *grpcfront.Response) {
	g := d.instance.acquireGeneration(d.listener)
	routed, final := g.routers[d.listener.key].routeGRPC(c)
	if final != nil {
		d.instance.releaseGeneration(g)
		return nil, final
	}
	routed.release = func() { d.instance.releaseGeneration(g) }
	return routed, nil
}

// IsServing reports whether the instance is ready for calls.
func (d *grpcRouter) IsServing() bool { return !d.instance.notReady.Load() }

// routedCall is a call with its pool and class (grpcfront.RoutedCall).
type routedCall struct {
	pool       *pool
	call       *call
	timeout    time.Duration
	maxMessage int64 // bytes
	arrivedAt  time.Time
	hasTimeout bool // the client has set one
	release    func()
}

// IsStreaming reports whether the class of the call is for streams.
func (p *routedCall) IsStreaming() bool { return p.call.grpc.isStreaming }

// RequestTimeout returns the time that is left for the request.
func (p *routedCall) RequestTimeout() time.Duration { return p.timeout - time.Since(p.arrivedAt) }

// MaxMessageBytes returns the limit of a message of the request.
func (p *routedCall) MaxMessageBytes() int64 { return p.maxMessage }

// Close releases the generation of the call.
func (p *routedCall) Close() { p.release() }

// routeGRPC creates a call from the header list of a gRPC call, or returns its final response.
func (d *listenerRouter) routeGRPC(c *grpcfront.Call) (*routedCall, *grpcfront.Response) {
	req, rule, final := d.matchGRPC(c)
	if final != nil {
		return nil, final
	}
	p := d.pools[rule.Pool]
	class := p.classes[rule.Class]
	spec := &p.spec.Classes[class]
	if reason := p.keyError(class, c.Header, "calls"); reason != "" {
		return nil, invalidCall(reason)
	}
	timeout, streamTimeout, responseTime := p.times(class, c.Timeout.Seconds(), c.HasTimeout)
	if spec.Stream {
		timeout = streamTimeout
	}
	arrivedAt := time.Now()
	var joined *treeCall
	if d.callTrees != nil {
		var rejection *contextError
		if joined, rejection = d.callTrees.enter(c.Header[budget.Header], d, rule, &p.settings.Classes[class]); rejection != nil {
			return nil, rejection.toGRPC()
		}
	}
	k := &call{
		event:         newRequestEvent(class, c.Header, p.tenants),
		timeout:       withoutMargin(timeout),
		streamTimeout: withoutMargin(streamTimeout),
	}
	k.http.fromListener = true
	k.callerHash = p.callerOf(c.Header, func() string { return c.RemoteHost })
	if joined != nil {
		joined.apply(k, p)
	}
	k.grpc = &grpcRequest{
		header:          forwardedHeader(c, rule.Rewritten(req.Path), joined != nil),
		isStreaming:     spec.Stream,
		streamTime:      responseTime,
		stallTimeout:    p.bounds.idleTimeout,
		notExecutedMark: p.spec.NotRun,
		deadline:        arrivedAt.Add(millis(k.streamTimeout)),
	}
	return &routedCall{
		pool: p, call: k, timeout: millis(k.timeout), maxMessage: d.maxBody, arrivedAt: arrivedAt, hasTimeout: c.HasTimeout,
	}, nil
}

func invalidCall(reason string) *grpcfront.Response {
	return &grpcfront.Response{Status: http.StatusBadRequest, Message: reason}
}

// matchGRPC returns the route of a call, or its final response.
func (d *listenerRouter) matchGRPC(c *grpcfront.Call) (*route.Request, *route.Rule, *grpcfront.Response) {
	for _, name := range singleHeaders {
		if len(c.Header[name]) > 1 {
			return nil, nil, invalidCall(strings.ToLower(name) + " comes twice")
		}
	}
	req, reason := routeRequest(c.Method, c.Path, c.Authority, c.Header)
	if reason != "" {
		return nil, nil, invalidCall(reason)
	}
	rule := d.grpcRoutes.Match(req)
	switch {
	case rule == nil:
		return nil, nil, &grpcfront.Response{Status: http.StatusNotFound, Message: "no route"}
	case rule.Answer != nil:
		return nil, nil, &grpcfront.Response{Status: rule.Answer.Status, Message: rule.Answer.Body}
	}
	return req, rule, nil
}

// toGRPC returns the final response to a call that is rejected because of its context.
func (e *contextError) toGRPC() *grpcfront.Response {
	r := &grpcfront.Response{Status: e.status, Message: e.text}
	if e.outcome != "" {
		r.ExtraTrailers = []h2.Field{{Name: outcomeName, Value: e.outcome}}
	}
	return r
}

// forwardedHeader returns the header list of a call for its server. The call context is left out if it is set by each attempt.
func forwardedHeader(c *grpcfront.Call, path string, withoutContext bool) []h2.Field {
	header := []h2.Field{
		{Name: ":method", Value: http.MethodPost},
		{Name: ":scheme", Value: "http"},
		{Name: ":path", Value: path},
		{Name: ":authority", Value: c.Authority},
		{Name: "te", Value: "trailers"},
	}
	forwardedFor := false
	for _, f := range c.Metadata {
		if withoutContext && f.Name == contextName {
			continue
		}
		if f.Name == "x-forwarded-for" && !forwardedFor {
			f.Value, forwardedFor = f.Value+", "+c.RemoteHost, true
		}
		header = append(header, f)
	}
	if !forwardedFor {
		header = append(header, h2.Field{Name: "x-forwarded-for", Value: c.RemoteHost})
	}
	if c.Header.Get("X-Request-Id") == "" {
		header = append(header, h2.Field{Name: "x-request-id", Value: newID()})
	}
	return header
}

// Execute executes the call in the event loop of its pool.
func (p *routedCall) Execute(ctx context.Context, r *grpcfront.Request) *grpcfront.Response {
	k, loop := p.call, p.pool.loop
	k.grpc.body, k.grpc.stream, k.grpc.notRepeatable = r.Body, r.Stream, r.NotRepeatable
	if r.Stream != nil {
		k.timeout = k.streamTimeout
	}
	k.event.NotRepeatable = r.Stream != nil || r.NotRepeatable
	responded := make(chan response, 1)
	k.respond = func(r response) { responded <- r }
	k.event.Deadline = loop.toMillis(p.arrivedAt) + k.timeout
	loop.post(func() { loop.startCall(k) })
	ended := ctx.Done()
	for {
		select {
		case r := <-responded:
			return p.responseFor(&r)
		case <-loop.stopped:
			if r, ok := pollResponse(responded); ok {
				return p.responseFor(&r)
			}
			return nil
		case <-ended:
			if errors.Is(context.Cause(ctx), grpcfront.ErrShuttingDown) {
				ended = nil // the loop answers the call
				continue
			}
			loop.post(func() { loop.clientLeft(k) })
			return nil
		}
	}
}

// responseFor returns the response to this call. A rejection after the client's own deadline is DEADLINE_EXCEEDED.
func (p *routedCall) responseFor(r *response) *grpcfront.Response {
	out := r.toGRPC()
	if r.status == statusRefused && p.hasTimeout && time.Since(p.arrivedAt) >= millis(p.call.timeout) {
		out.Status = http.StatusGatewayTimeout
	}
	return out
}

// toGRPC returns the response as one to a gRPC call.
func (r *response) toGRPC() *grpcfront.Response {
	if r.grpc != nil {
		return r.grpc
	}
	out := &grpcfront.Response{Status: r.status, Message: strings.TrimSuffix(string(r.body), "\n"), RetryAfter: r.retryAfter}
	if r.callOutcome != "" {
		out.ExtraTrailers = append(out.ExtraTrailers, h2.Field{Name: outcomeName, Value: r.callOutcome})
	}
	if r.notExecuted {
		out.ExtraTrailers = append(out.ExtraTrailers, h2.Field{Name: "x-not-run", Value: "1"})
	}
	if r.timedOut && r.status == statusFailed {
		out.Status = http.StatusGatewayTimeout
	}
	return out
}
