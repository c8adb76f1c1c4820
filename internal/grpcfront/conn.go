package grpcfront

import (
	"net"
	"sync"
	"time"

	"milletmast/internal/h2"
)

// clientConn is one connection from a caller.
type clientConn struct {
	server     *Server
	net        net.Conn
	conn       *h2.Conn
	remoteHost string
	idleTimer  *time.Timer
	calls      sync.WaitGroup

	mu        sync.Mutex
	openCalls int
}

// acceptCall starts a goroutine for a call, and counts the call while it is open. It returns false if the process has too many calls.
func (c *clientConn) acceptCall(stream *h2.Stream, header []h2.Field, ended bool) bool {
	if !c.server.options.AcquireCall() {
		return false
	}
	c.addOpenCalls(1)
	c.calls.Go(func() {
		defer c.server.options.ReleaseCall()
		defer c.addOpenCalls(-1)
		c.server.handleCall(stream, header, ended, c.remoteHost)
	})
	return true
}

// addOpenCalls adds n to the open calls. The idle timer runs while there are none.
func (c *clientConn) addOpenCalls(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.openCalls += n
	switch {
	case n > 0 && c.openCalls == 1:
		c.idleTimer.Stop()
		c.server.options.OnBusyChange(c.net, true)
	case c.openCalls == 0:
		c.idleTimer.Reset(c.server.options.IdleTimeout)
		c.server.options.OnBusyChange(c.net, false)
	}
}
