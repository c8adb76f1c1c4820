package admin

import (
	"container/list"
	"net"
	"sync"
)

// boundedListener is a listener with at most maxConns open connections. A further one closes the oldest: complete requests
// are handled within milliseconds, so the oldest connection is idle.
type boundedListener struct {
	net.Listener
	maxConns int

	mu   sync.Mutex
	open list.List // of *countedConn, oldest first
}

func (b *boundedListener) Accept() (net.Conn, error) {
	raw, err := b.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &countedConn{Conn: raw, listener: b}
	b.mu.Lock()
	var oldest *countedConn
	if b.open.Len() >= b.maxConns {
		oldest = b.open.Remove(b.open.Front()).(*countedConn)
		oldest.element = nil
	}
	c.element = b.open.PushBack(c)
	b.mu.Unlock()
	if oldest != nil {
		oldest.Conn.Close()
	}
	return c, nil
}

// countedConn is a connection that counts against maxConns of its listener until it is closed.
type countedConn struct {
	net.Conn
	listener *boundedListener
	element  *list.Element // nil once the connection was closed; guarded by listener.mu
}

func (c *countedConn) Close() error {
	c.listener.mu.Lock()
	if c.element != nil {
		c.listener.open.Remove(c.element)
		c.element = nil
	}
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
