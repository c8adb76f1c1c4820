package testcluster

import (
	"bytes"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	maxChunkSize     = 32 << 10 // bytes
	maxQueuedChunks  = 256      // in one direction of a connection; its sender waits while the queue is full
	acceptRetryDelay = time.Millisecond
)

// halfCloser is a connection whose write side can be closed separately.
type halfCloser interface {
	net.Conn
	CloseWrite() error
}

// relayedConn is one connection through a link.
type relayedConn struct {
	id     uint64
	client halfCloser
	reset  chan struct{} // closed when both ends are to be reset

	mu     sync.Mutex
	server halfCloser // nil until the target has accepted the connection
	ended  bool
}

// resetBoth resets the connections to the client and to the server.
func (c *relayedConn) resetBoth() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return
	}
	c.ended = true
	close(c.reset)
	resetConn(c.client)
	resetConn(c.server)
}

// closeBoth closes both connections after all data was relayed.
func (c *relayedConn) closeBoth() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return
	}
	c.ended = true
	c.client.Close()
	c.server.Close()
}

// setServer sets the connection to the server. It returns false if the client's connection was reset meanwhile.
func (c *relayedConn) setServer(server halfCloser) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		resetConn(server)
		return false
	}
	c.server = server
	return true
}

// resetConn closes a connection. A TCP connection is reset.
func resetConn(c halfCloser) {
	if c == nil {
		return
	}
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // fails on a closed connection only
	}
	c.Close()
}

// dial opens a connection to a target.
func dial(target string) (halfCloser, error) {
	network := "tcp4"
	if path, ok := strings.CutPrefix(target, unixPrefix); ok {
		network, target = "unix", path
	}
	c, err := net.DialTimeout(network, target, dialTimeout)
	if err != nil {
		return nil, err
	}
	return c.(halfCloser), nil
}

// accept accepts connections while the mode is Accepting, until the link is closed.
func (l *Link) accept() {
	for {
		l.mu.Lock()
		mode, changed, closed := l.mode, l.changed, l.closed
		l.mu.Unlock()
		if closed {
			return
		}
		if mode != Accepting {
			<-changed
			continue
		}
		_ = l.listener.SetDeadline(time.Time{}) // fails on a closed listener only
		raw, err := l.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		if c := l.add(raw.(halfCloser)); c != nil {
			l.goroutines.Go(func() {
				l.relay(c)
				l.remove(c)
			})
		}
	}
}

// add adds a connection; nil if the link is closed.
func (l *Link) add(client halfCloser) *relayedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		resetConn(client)
		return nil
	}
	l.next++
	c := &relayedConn{id: l.next, client: client, reset: make(chan struct{})}
	l.conns[c.id] = c
	return c
}

func (l *Link) remove(c *relayedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c.id)
}

// relay relays the data of one connection in both directions.
func (l *Link) relay(c *relayedConn) {
	if l.observer.OnOpen != nil {
		l.observer.OnOpen(c.id)
	}
	l.mu.Lock()
	target := l.target
	l.mu.Unlock()
	// The client is read and reported before there is a connection to the target: a server that has just been started may be slow to
	// accept.
	var running sync.WaitGroup
	requests := l.read(c, Forward, c.client, &running)
	server, err := dial(target)
	if err != nil {
		// The connection was accepted here before the target was known to be reachable. A reset is the closest to a refusal; a drill
		// that ends a process sets the mode of its links to Refusing.
		l.waitUnblocked(c, Backward)
		l.reportEnd(c)
		c.resetBoth()
		running.Wait()
		return
	}
	if !c.setServer(server) {
		running.Wait()
		return
	}
	responses := l.read(c, Backward, c.server, &running)
	running.Go(func() { l.write(c, Forward, requests, c.server) })
	running.Go(func() { l.write(c, Backward, responses, c.client) })
	running.Wait()
	c.closeBoth()
}

// reportEnd reports that the end of the connection is passed on to the client.
func (l *Link) reportEnd(c *relayedConn) {
	if l.observer.OnEnd != nil {
		l.observer.OnEnd(c.id)
	}
}

// reportClientClosed reports that the client has closed its side, or that the connection was reset before everything was relayed.
// The reader of the client calls it once, however it ends.
func (l *Link) reportClientClosed(c *relayedConn, d Direction, at ReadTime) {
	if d == Forward && l.observer.OnClientClosed != nil {
		l.observer.OnClientClosed(c.id, at)
	}
}

// chunk is data that was read and not yet written. The last chunk of a direction has no data.
type chunk struct {
	receivedAt time.Time
	data       []byte
	last       bool
	isReset    bool // the direction ended by a reset
}

// read starts to read one side, and returns the queue of what is received.
func (l *Link) read(c *relayedConn, d Direction, from halfCloser, running *sync.WaitGroup) <-chan chunk {
	queue := make(chan chunk, maxQueuedChunks)
	running.Go(func() {
		defer close(queue)
		buffer := make([]byte, maxChunkSize)
		for {
			at := ReadTime{PolledAt: Now()}
			n, err := from.Read(buffer)
			now := time.Now()
			at.ReadAt = Now()
			if n > 0 && !l.enqueue(c, d, queue, chunk{receivedAt: now, data: bytes.Clone(buffer[:n])}, at) {
				l.reportClientClosed(c, d, ReadTime{PolledAt: at.PolledAt, ReadAt: Now()})
				return
			}
			if err != nil {
				l.reportClientClosed(c, d, at)
				l.enqueue(c, d, queue, chunk{receivedAt: now, last: true, isReset: !errors.Is(err, io.EOF)}, at)
				return
			}
		}
	})
	return queue
}

// enqueue reports and queues a chunk; false if the connection is reset before there is room.
func (l *Link) enqueue(c *relayedConn, d Direction, queue chan<- chunk, k chunk, at ReadTime) bool {
	if d == Forward && len(k.data) > 0 && l.observer.OnReceived != nil {
		l.observer.OnReceived(c.id, k.data, at)
	}
	select {
	case queue <- k:
		return true
	case <-c.reset:
		return false
	}
}

// write writes the queued chunks to the other side, under the conditions of the direction.
func (l *Link) write(c *relayedConn, d Direction, queue <-chan chunk, to halfCloser) {
	var due time.Time
	for k := range queue {
		conditions := l.Conditions(d)
		if at := k.receivedAt.Add(conditions.Delay + l.drawJitter(conditions.Jitter)); at.After(due) {
			due = at
		}
		if !sleepUntil(due, c.reset) || !l.waitUnblocked(c, d) {
			return
		}
		if !l.forward(c, d, k, to) {
			c.resetBoth()
			return
		}
		if !k.last && conditions.Rate > 0 {
			due = time.Now().Add(time.Duration(float64(len(k.data)) / float64(conditions.Rate) * float64(time.Second)))
		}
	}
}

// forward writes a chunk, or ends the direction with its last one. It returns false if the connection has to be reset.
func (l *Link) forward(c *relayedConn, d Direction, k chunk, to halfCloser) bool {
	if !k.last {
		if d == Backward && l.observer.OnSent != nil {
			l.observer.OnSent(c.id, k.data)
		}
		_, err := to.Write(k.data)
		return err == nil
	}
	if d == Backward {
		l.reportEnd(c)
	}
	if k.isReset {
		return false
	}
	_ = to.CloseWrite() // fails on a closed connection only
	return true
}

// drawJitter draws a delay below a maximum.
func (l *Link) drawJitter(maxJitter time.Duration) time.Duration {
	if maxJitter <= 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.random.Int64N(int64(maxJitter)))
}

// waitUnblocked waits while a direction is blocked; false if the connection is reset.
func (l *Link) waitUnblocked(c *relayedConn, d Direction) bool {
	for {
		l.mu.Lock()
		blocked, changed := l.conditions[d].Blocked && !l.closed, l.changed
		l.mu.Unlock()
		if !blocked {
			return true
		}
		select {
		case <-changed:
		case <-c.reset:
			return false
		}
	}
}

// sleepUntil waits until a time; false if the connection is reset before.
func sleepUntil(at time.Time, reset <-chan struct{}) bool {
	d := time.Until(at)
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-reset:
		return false
	}
}
