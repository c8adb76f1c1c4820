package sidecar

import (
	"sync"
	"sync/atomic"
	"time"

	"milletmast/balancer"
)

// This package has its own connection pool because http.Transport retries a GET, or a POST with an Idempotency-Key, by itself when a
// reused connection breaks. The decision module has to decide on every attempt.

const (
	idleLimitFraction  = 0.8 // of the idle limit of the settings, after which an idle connection is closed
	sendGraceFraction  = 0.6 // of the drain grace, after which the first byte of an attempt is not written any more
	defaultIdleLimit   = 5 * time.Second
	defaultDialTimeout = 250 * time.Millisecond
)

// endpoint is one listed server and the idle connections to it. Its fields are guarded by upstream.mu.
type endpoint struct {
	addr    string
	uid     string // name in the list
	started float64
	ready   bool
	idle    []*conn // the most recently used one is last
	// Used in a gRPC pool:
	muxes    []*conn      // each with a mux
	dialling *pendingDial // nil for none
}

// upstream owns all connections to endpoints.
type upstream struct {
	dialTimeout, idleLimit time.Duration
	maxIdleLimit           time.Duration  // upper bound of the learned idle limit, for exchanges of the mesh; 0 until it is known
	maxConns               int            // open at once
	sendGrace              time.Duration  // from the decision on an attempt to its first byte; 0 for any time
	budget                 *connBudget    // shared by all pools; nil if there is one pool
	muxes                  muxConfig      // of a gRPC pool; zero for HTTP/1.1
	goroutines             sync.WaitGroup // connections with a mux
	written                atomic.Uint64  // requests written in full over HTTP/1.1

	mu             sync.Mutex
	endpoints      map[uint32]*endpoint
	openConns      int  // including those being dialed
	sweepScheduled bool // closeExpired is scheduled
}

// newUpstream returns an upstream with at most maxConns connections. The drain grace is in ms.
func newUpstream(limits balancer.Limits, drainGrace float64, maxConns int) *upstream {
	u := &upstream{
		dialTimeout: defaultDialTimeout,
		idleLimit:   defaultIdleLimit,
		maxConns:    maxConns,
		sendGrace:   millis(sendGraceFraction * drainGrace),
		endpoints:   map[uint32]*endpoint{},
	}
	if limits.ConnectTimeout > 0 {
		u.dialTimeout = millis(limits.ConnectTimeout)
	}
	if limits.ConnIdleTimeout > 0 {
		u.idleLimit = millis(idleLimitFraction * limits.ConnIdleTimeout)
	}
	return u
}

// setEndpoint sets the address, the start and the state of a server. Idle connections to a server that has moved, restarted or is
// not ready are closed.
func (u *upstream) setEndpoint(id uint32, addr string, started float64, state balancer.ServerState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	e := u.endpoints[id]
	if e == nil || e.addr != addr || e.started != started {
		if e != nil {
			e.ready = false
			u.closeIdleLocked(e)
		}
		e = &endpoint{addr: addr, started: started}
		u.endpoints[id] = e
	}
	e.ready = state == balancer.Ready
	if !e.ready {
		u.closeIdleLocked(e)
	}
	if state == balancer.Removed {
		delete(u.endpoints, id)
	}
}

// setEndpointID sets the name of a server in the list.
func (u *upstream) setEndpointID(id uint32, uid string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if e := u.endpoints[id]; e != nil {
		e.uid = uid
	}
}

// capacity returns the maximum number of concurrent requests.
func (u *upstream) capacity() int { return u.maxConns * max(u.muxes.maxStreams, 1) }

// endpointOf returns the endpoint of a server; nil if it is not listed.
func (u *upstream) endpointOf(id uint32) *endpoint {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.endpoints[id]
}
