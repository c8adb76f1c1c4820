package sidecar

import (
	"container/list"
	"net"
	"time"

	"milletmast/internal/grpcfront"
)

const drainPollInterval = 5 * time.Millisecond

// drainingListener is a listener that is being drained, with the servers of its connections.
type drainingListener struct {
	frontend *frontend
	listener net.Listener
	grpc     *grpcfront.Server // nil for none
}

// drainFrontends ends listeners gracefully. New connections are accepted for acceptTime. Requests are accepted on the open
// connections for as long as there is time to finish them, and then only those that are open are finished. After drainTime
// answerAll is called to answer the remaining requests. Both times count from the call of drainFrontends.
func drainFrontends(listeners []drainingListener, clients *clientConns, acceptTime, drainTime time.Duration, answerAll func()) {
	startedAt := time.Now()
	for _, l := range listeners {
		l.frontend.draining.Store(true)
	}
	time.Sleep(acceptTime)
	for _, l := range listeners {
		l.listener.Close()
		if l.grpc != nil {
			l.grpc.Drain()
		}
	}
	time.Sleep(time.Until(startedAt.Add(drainTime - platformFinishTime)))
	for _, l := range listeners {
		l.frontend.closing.Store(true)
	}
	timer := time.AfterFunc(time.Until(startedAt.Add(drainTime)), answerAll)
	defer timer.Stop()
	clients.drain(startedAt.Add(drainTime + finalWriteTime))
}

// wait waits until no connection is left, or until a time.
func (cs *clientConns) wait(until time.Time) {
	for time.Now().Before(until) {
		cs.mu.Lock()
		left := cs.open
		cs.mu.Unlock()
		if left == 0 {
			return
		}
		time.Sleep(drainPollInterval)
	}
}

// drain closes connections without an open request, until none is left or until a time.
func (cs *clientConns) drain(until time.Time) {
	for left := 1; left > 0 && time.Now().Before(until); {
		left = cs.closeIdle()
		time.Sleep(drainPollInterval)
	}
}

// closeIdle closes the connections without an open request, except those that the gRPC server ends. It returns how many
// connections are open.
func (cs *clientConns) closeIdle() (open int) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for _, l := range []*list.List{cs.idleUnused, cs.idleUsed} {
		for e := l.Front(); e != nil; {
			next := e.Next()
			if c := e.Value.(*clientConn); !c.drainsItself {
				l.Remove(e)
				c.Close()
			}
			e = next
		}
	}
	return cs.open
}
