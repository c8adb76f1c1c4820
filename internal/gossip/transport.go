package gossip

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

// maxBurst bounds the tokens that may accumulate: the bucket holds rate * maxBurst bytes.
const maxBurst = time.Second

// boundedTransport is a transport that sends at most rate bytes per second, by a token bucket. Datagrams over the bound are
// dropped, as a network may do anyway; connections over it are closed or not opened.
type boundedTransport struct {
	*memberlist.NetTransport
	rate       float64             // bytes per second
	translate  func(string) string // see Config.TranslateAddress
	streams    chan net.Conn
	stopped    chan struct{}
	goroutines sync.WaitGroup

	mu         sync.Mutex
	available  float64 // tokens: bytes that may be sent now
	refilledAt time.Time
	sent       uint64 // bytes
	dropped    uint64 // bytes
}

var errByteLimit = errors.New("members: limit of bytes per second reached")

// newBoundedTransport bounds a transport to rate bytes per second. Shutdown ends it.
func newBoundedTransport(inner *memberlist.NetTransport, rate int, translate func(string) string) *boundedTransport {
	if translate == nil {
		translate = func(address string) string { return address }
	}
	t := &boundedTransport{
		NetTransport: inner,
		rate:         float64(rate),
		translate:    translate,
		available:    float64(rate) * maxBurst.Seconds(),
		refilledAt:   time.Now(),
		streams:      make(chan net.Conn),
		stopped:      make(chan struct{}),
	}
	t.goroutines.Go(t.countStreams)
	return t
}

// countStreams forwards the connections that others open, wrapped so that bytes sent on them count, until Shutdown.
func (t *boundedTransport) countStreams() {
	for {
		select {
		case conn := <-t.NetTransport.StreamCh():
			select {
			case t.streams <- &countedConn{Conn: conn, transport: t}:
			case <-t.stopped:
				conn.Close()
				return
			}
		case <-t.stopped:
			return
		}
	}
}

// StreamCh returns the connections that others have opened. Bytes that are sent on them count too.
func (t *boundedTransport) StreamCh() <-chan net.Conn { return t.streams }

// Shutdown closes the transport.
func (t *boundedTransport) Shutdown() error {
	close(t.stopped)
	t.goroutines.Wait()
	return t.NetTransport.Shutdown()
}

// take takes n bytes from the bucket, and reports whether it held them.
func (t *boundedTransport) take(n int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refill(time.Now())
	if t.available < float64(n) {
		t.dropped += uint64(n)
		return false
	}
	t.available -= float64(n)
	t.sent += uint64(n)
	return true
}

// hasSpare reports whether half of the bucket would be left after n bytes.
func (t *boundedTransport) hasSpare(n int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refill(time.Now())
	return t.available-float64(n) >= t.rate*maxBurst.Seconds()/2
}

// refill adds the tokens of the time since the last refill.
func (t *boundedTransport) refill(now time.Time) {
	t.available = min(t.rate*maxBurst.Seconds(), t.available+now.Sub(t.refilledAt).Seconds()*t.rate)
	t.refilledAt = now
}

// byteCounts returns how many bytes were sent and dropped.
func (t *boundedTransport) byteCounts() (sent, dropped uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sent, t.dropped
}

// WriteTo sends a datagram, or drops it if it is over the bound.
func (t *boundedTransport) WriteTo(p []byte, addr string) (time.Time, error) {
	return t.WriteToAddress(p, memberlist.Address{Addr: addr})
}

// WriteToAddress sends a datagram, or drops it if it is over the bound.
func (t *boundedTransport) WriteToAddress(p []byte, a memberlist.Address) (time.Time, error) {
	if !t.take(len(p)) {
		return time.Now(), nil
	}
	a.Addr = t.translate(a.Addr)
	return t.NetTransport.WriteToAddress(p, a)
}

// DialTimeout opens a connection whose bytes count. The error is errByteLimit if the bound is reached.
func (t *boundedTransport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
}

// DialAddressTimeout opens a connection whose bytes count. The error is errByteLimit if the bound is reached.
func (t *boundedTransport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	if !t.take(1) {
		return nil, errByteLimit
	}
	a.Addr = t.translate(a.Addr)
	c, err := t.NetTransport.DialAddressTimeout(a, timeout)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: c, transport: t}, nil
}

// countedConn is a connection that is closed when its bytes reach the bound.
type countedConn struct {
	net.Conn
	transport *boundedTransport
}

func (c *countedConn) Write(p []byte) (int, error) {
	if !c.transport.take(len(p)) {
		c.Close()
		return 0, errByteLimit
	}
	return c.Conn.Write(p)
}
