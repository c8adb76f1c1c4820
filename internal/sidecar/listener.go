package sidecar

import (
	"net"
	"time"

	"milletmast/internal/grpcfront"
	"milletmast/internal/operator"
)

// retireDelay is how long a listener that a reload removes still accepts the connections that are queued for it.
const retireDelay = 100 * time.Millisecond

// listener is a listening socket. It is kept over generations while its address stays the same.
type listener struct {
	key            string
	listener       net.Listener
	frontend       *frontend
	grpc           *grpcfront.Server // of gRPC clients, if the listener accepts any
	acceptDone     chan struct{}     // closed when no more connections are accepted
	closed         chan struct{}     // closed when the address is free again
	lastGeneration *generation       // the last one with the listener, set when a reload removes it; guarded by Instance.mu
}

// listenerKey returns the key that identifies a listener across files: its address, with its name if any port is allowed.
func listenerKey(l *operator.Listener) string {
	if _, port, _ := net.SplitHostPort(l.Address); port == "0" {
		return l.Name + "@" + l.Address
	}
	return l.Address
}

// newListener returns a listener whose requests the current generation routes.
func (i *Instance) newListener(key string, ln net.Listener) *listener {
	l := &listener{key: key, listener: ln, acceptDone: make(chan struct{}), closed: make(chan struct{})}
	l.grpc = grpcfront.New(&grpcRouter{i, l}, grpcfront.Options{
		AcquireCall:  i.openCalls.reserve,
		ReleaseCall:  i.openCalls.release,
		OnBusyChange: i.clients.setBusy,
	})
	l.frontend = &frontend{
		acceptTime:  acceptTime,
		idleTimeout: defaultIdleTimeout,
		headTimeout: defaultHeadTimeout,
		clients:     i.clients,
		isUsable:    func() bool { return !i.notReady.Load() },
	}
	l.frontend.intake = func(c *clientConn, m *message) intakeResult {
		g := i.acquireGeneration(l)
		t := g.routers[l.key].route(c, m)
		t.release = func() { i.releaseGeneration(g) }
		return t
	}
	return l
}

// listen opens an address. If it is in use, it may belong to a listener that an earlier reload has removed, so that listen waits for
// these to close.
func (i *Instance) listen(address string) (net.Listener, error) {
	ln, err := net.Listen("tcp", address)
	if err == nil {
		return ln, nil
	}
	i.mu.Lock()
	var retiring []*listener
	for l := range i.retiring {
		retiring = append(retiring, l)
	}
	i.mu.Unlock()
	for _, l := range retiring {
		<-l.closed
	}
	if len(retiring) > 0 {
		return net.Listen("tcp", address)
	}
	return nil, err
}

// startAccepting starts the goroutine that accepts connections. It ends when the listener is closed.
func (i *Instance) startAccepting(l *listener) {
	go func() {
		defer close(l.acceptDone)
		i.clients.serve(l.listener, func(c *clientConn) { i.serveConn(l, c) }, &l.frontend.conns)
	}()
}

// retireListener ends a listener that a reload has removed. Connections that are queued are accepted, and connections end after
// their next response or when they have been idle for the usual time, all under the last generation with this listener.
func (i *Instance) retireListener(l *listener) {
	l.frontend.closing.Store(true)
	l.grpc.Drain()
	select {
	case <-time.After(retireDelay):
	case <-i.drained:
	}
	l.listener.Close()
	<-l.acceptDone // the descriptor may be closed after Close has returned
	close(l.closed)
	i.mu.Lock()
	delete(i.retiring, l)
	i.mu.Unlock()
	l.frontend.conns.Wait()
	i.releaseGeneration(l.lastGeneration)
}

// Addresses returns where each listener listens, by its name in the current file.
func (i *Instance) Addresses() map[string]string {
	i.mu.Lock()
	defer i.mu.Unlock()
	out := map[string]string{}
	for n := range i.current.cfg.Listeners {
		spec := &i.current.cfg.Listeners[n]
		if l := i.listeners[listenerKey(spec)]; l != nil {
			out[spec.Name] = l.listener.Addr().String()
		}
	}
	return out
}
