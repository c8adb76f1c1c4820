package sidecar

import (
	"context"
	"time"

	"milletmast/balancer"
	"milletmast/internal/exchange"
)

// SingleServerPool holds the connections to one server, whose address may change.
type SingleServerPool struct{ upstream *upstream }

// singleServer is the id of the server.
const singleServer = 1

// NewSingleServerPool returns a pool of at most maxConns connections. Connections that have been idle for the given time are closed.
func NewSingleServerPool(maxConns int, idle time.Duration) *SingleServerPool {
	limits := balancer.Limits{ConnIdleTimeout: inMillis(idle) / idleLimitFraction}
	return &SingleServerPool{newUpstream(limits, 0, maxConns)}
}

// SetServer sets the address and the incarnation of the server. Connections to an earlier address or incarnation are closed once
// they are idle.
func (p *SingleServerPool) SetServer(addr string, incarnation float64) {
	p.upstream.setEndpoint(singleServer, addr, incarnation, balancer.Ready)
}

// RoundTrip sends a request to the server and returns the outcome, and the response of a completed exchange.
func (p *SingleServerPool) RoundTrip(ctx context.Context, ex *Exchange, deadline time.Time) (exchange.Outcome, *Reply) {
	server := p.upstream.endpointOf(singleServer)
	if server == nil {
		return exchange.NotWritten, nil
	}
	attempt := newAttempt(time.Time{})
	stop := context.AfterFunc(ctx, attempt.abort)
	defer stop()
	return p.upstream.roundTrip(attempt, server, ex, deadline)
}

// Close closes the idle connections.
func (p *SingleServerPool) Close() { p.upstream.close() }
