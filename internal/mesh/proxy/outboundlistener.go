package proxy

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"milletmast/internal/sidecar"
)

// outboundListener serves the requests of clients on this machine.
type outboundListener struct{ proxy *Proxy }

// Open handles the head of a request. It returns the largest body to accept, in bytes, or the response that
// rejects the request.
func (l *outboundListener) Open(req *sidecar.IncomingRequest) (int64, *sidecar.Reply) {
	current := l.proxy.routing.Load()
	if current.config == nil {
		current = l.proxy.awaitConfig(req)
	}
	if current.config == nil {
		return 0, &sidecar.Reply{
			Status:     http.StatusServiceUnavailable,
			RetryAfter: 200 * time.Millisecond,
			Body:       []byte("no configuration yet\n"),
		}
	}
	path, _, _ := strings.Cut(req.URI, "?")
	if current.config.Match(req.Host, path) == nil {
		return 0, &sidecar.Reply{Status: http.StatusNotFound, Body: []byte("no route\n")}
	}
	if _, _, ok := sidecar.Deadline(req.Header, deadlineHeader); !ok {
		return 0, &sidecar.Reply{Status: http.StatusBadRequest, Body: []byte(deadlineHeader + " is no time\n")}
	}
	if req.Length > current.config.Limits.MaxBodyBytes {
		return 0, &sidecar.Reply{Status: http.StatusRequestEntityTooLarge, Body: []byte("the body is over the limit\n")}
	}
	return l.proxy.bodies.reserve(req, current.config.Limits.MaxBodyBytes)
}

// Serve forwards a request to the service of its route, by the configuration in use once the
// request has arrived.
func (l *outboundListener) Serve(ctx context.Context, req *sidecar.IncomingRequest) sidecar.Reply {
	current := l.proxy.routing.Load()
	path, _, _ := strings.Cut(req.URI, "?")
	route := current.config.Match(req.Host, path)
	if route == nil {
		return sidecar.Reply{Status: http.StatusNotFound, Body: []byte("no route\n")}
	}
	reply := current.services[route.Pick(rand.Float64())].serve(ctx, req, route)
	if reply.Status >= http.StatusInternalServerError {
		l.proxy.lastFailure.Store(time.Now().UnixNano())
	}
	return reply
}

// timeLeft returns the time until the deadline of a request, as of when the request was received:
// defaultDeadline if the request gives none.
func timeLeft(req *sidecar.IncomingRequest) time.Duration {
	left, given, _ := sidecar.Deadline(req.Header, deadlineHeader)
	if !given {
		return defaultDeadline
	}
	return left
}

// awaitConfig waits for the first configuration, for a fraction of the remaining time of a request: a
// proxy that has just started receives it soon.
func (p *Proxy) awaitConfig(req *sidecar.IncomingRequest) *routing {
	timer := time.NewTimer(min(time.Duration(configWaitFraction*float64(timeLeft(req))), maxConfigWait))
	defer timer.Stop()
	select {
	case <-p.configured:
	case <-timer.C:
	case <-p.ctx.Done():
	}
	return p.routing.Load()
}

// failedSince reports whether a request of a client on this machine has failed since a time. The
// endpoint may have made that request while it served another: if it fails the other too, the failed
// call may be the cause, and not the endpoint.
func (p *Proxy) failedSince(at time.Time) bool { return p.lastFailure.Load() >= at.UnixNano() }
