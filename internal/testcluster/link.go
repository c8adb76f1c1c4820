package testcluster

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"milletmast/internal/freeport"
)

// Direction is one of the two directions of a link.
type Direction int

// Forward is the direction from the client, which opens connections or sends first, to the target.
const (
	Forward Direction = iota
	Backward
)

// Conditions are the conditions of one direction of a link. The zero value passes everything on at once.
type Conditions struct {
	Delay   time.Duration
	Jitter  time.Duration // the greatest further delay, drawn by the seed; the bytes of a stream stay in order
	Rate    int           // bytes a second; 0 for no limit
	Blocked bool          // neither data nor the end of a connection passes; both are kept until it is unblocked
	// For UDP only:
	Loss      float64 // share that is lost
	Duplicate float64 // share that arrives twice
	Reorder   float64 // share that is delayed by reorderDelay
}

const (
	dialTimeout   = 2 * time.Second
	normalBacklog = 1024
)

// Observer has callbacks for the connections of a link. They may be nil, and are called concurrently.
type Observer struct {
	OnOpen func(conn uint64)
	// OnReceived is called with bytes from the client, before any fault, and OnSent with bytes for the client, after all faults.
	OnReceived func(conn uint64, p []byte, at ReadTime)
	OnSent     func(conn uint64, p []byte)
	// OnClientClosed is called when the client has closed its side or reset the connection, and OnEnd when the end of the connection by
	// the server is passed on to the client.
	OnClientClosed func(conn uint64, at ReadTime)
	OnEnd          func(conn uint64)
}

// ReadTime tells when a relay read an event from the client, in ns by Now. An event that was read as soon as the relay polled for it may
// have happened long before, as the relay was busy or not scheduled until then.
type ReadTime struct{ PolledAt, ReadAt int64 }

// Link is a directed link: clients that open connections to its address, or send datagrams there, reach the target under the
// conditions of the link. A link is for TCP, for a Unix socket or for UDP.
type Link struct {
	Name     string
	observer Observer

	listener listener     // nil for UDP
	udp      *net.UDPConn // nil for others

	mu         sync.Mutex
	conditions [2]Conditions
	changed    chan struct{} // closed at each change
	mode       Mode
	closed     bool
	conns      map[uint64]*relayedConn
	flows      map[string]*net.UDPConn
	fillers    []net.Conn // connections that fill the backlog of an unreachable link
	target     string
	next       uint64 // id of the latest connection
	random     *rand.Rand
	goroutines sync.WaitGroup
}

// listener is a TCP or Unix socket listener.
type listener interface {
	net.Listener
	syscall.Conn
	SetDeadline(time.Time) error
}

// Mode determines how a link handles new connections.
type Mode int

// The modes.
const (
	Accepting   Mode = iota
	Unreachable      // connections are never established, as with a machine that is partitioned
	Refusing         // connections are refused, as if no process listened
)

// unixPrefix is the prefix of a target that is a Unix socket.
const unixPrefix = "unix:"

// Listen opens a link to a target: of TCP at a free loopback port, or for a target "unix:PATH" at a Unix socket of the cluster.
func (r *Cluster) Listen(name, target string, seed uint64, observer Observer) (*Link, error) {
	ln, err := r.listen(name, target)
	if err != nil {
		return nil, fmt.Errorf("link %s: %w", name, err)
	}
	l := newLink(name, target, seed)
	l.listener, l.observer = ln, observer
	l.goroutines.Go(l.accept)
	r.OnClose(l.Close)
	return l, nil
}

func (r *Cluster) listen(name, target string) (listener, error) {
	if !strings.HasPrefix(target, unixPrefix) {
		// Linux keeps a port for a socket that is shut down (see Refusing) only if the port was chosen by its number.
		return freeport.Listen()
	}
	ln, err := net.Listen("unix", filepath.Join(r.Dir, name+".link"))
	if err != nil {
		return nil, err
	}
	return ln.(listener), nil
}

// seedStream separates the draws of links from others with the same seed.
const seedStream = 11

func newLink(name, target string, seed uint64) *Link {
	return &Link{
		Name:    name,
		target:  target,
		changed: make(chan struct{}),
		conns:   map[uint64]*relayedConn{},
		flows:   map[string]*net.UDPConn{},
		random:  rand.New(rand.NewPCG(seed, seedStream)),
	}
}

// Addr returns the address at which clients reach the link.
func (l *Link) Addr() string {
	switch {
	case l.udp != nil:
		return l.udp.LocalAddr().String()
	case l.isUnix():
		return unixPrefix + l.listener.Addr().String()
	}
	return l.listener.Addr().String()
}

func (l *Link) isUnix() bool { return l.listener != nil && l.listener.Addr().Network() == "unix" }

// SetConditions changes the conditions of a direction, also for open connections and the data that is queued in them.
func (l *Link) SetConditions(d Direction, c Conditions) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conditions[d] = c
	l.notifyChange()
}

// notifyChange wakes up the goroutines that wait for a change. The mutex is held.
func (l *Link) notifyChange() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Conditions returns the conditions of a direction.
func (l *Link) Conditions(d Direction) Conditions {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conditions[d]
}

// Reset resets all open connections, and returns their number.
func (l *Link) Reset() int {
	l.mu.Lock()
	all := make([]*relayedConn, 0, len(l.conns))
	for _, c := range l.conns {
		all = append(all, c)
	}
	l.mu.Unlock()
	for _, c := range all {
		c.resetBoth()
	}
	return len(all)
}

// SetTarget sets the target of new connections, so that a link keeps its address when a process is restarted at another port.
func (l *Link) SetTarget(addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = addr
}

// SetMode sets the mode of a TCP link.
func (l *Link) SetMode(m Mode) error {
	if l.listener == nil || l.isUnix() {
		return fmt.Errorf("link %s: %w", l.Name, errors.ErrUnsupported)
	}
	l.mu.Lock()
	previous := l.mode
	l.mode = m
	fillers := l.fillers
	l.fillers = nil
	l.notifyChange()
	l.mu.Unlock()
	if previous == m {
		return nil
	}
	for _, c := range fillers {
		c.Close()
	}
	if err := l.listener.SetDeadline(time.Now()); err != nil { // so that Accept returns
		return fmt.Errorf("link %s: %w", l.Name, err)
	}
	switch m {
	case Unreachable:
		return l.fillBacklog()
	case Refusing:
		return l.onSocket(func(fd int) error { return unix.Shutdown(fd, unix.SHUT_RD) })
	}
	return l.setBacklog(normalBacklog)
}

const (
	maxFillers        = 8 // one or two connections fill a backlog of zero on Linux
	fillerDialTimeout = 20 * time.Millisecond
)

// fillBacklog reduces the backlog of the listener to its minimum and fills it, so that Linux drops further connection requests.
func (l *Link) fillBacklog() error {
	if err := l.setBacklog(0); err != nil {
		return err
	}
	for range maxFillers {
		c, err := net.DialTimeout("tcp4", l.Addr(), fillerDialTimeout)
		if err != nil {
			return nil
		}
		l.mu.Lock()
		l.fillers = append(l.fillers, c)
		l.mu.Unlock()
	}
	return fmt.Errorf("link %s: %d connections have not filled the backlog of %s", l.Name, maxFillers, l.Addr())
}

func (l *Link) setBacklog(n int) error {
	return l.onSocket(func(fd int) error { return unix.Listen(fd, n) })
}

// onSocket calls do with the file descriptor of the listener.
func (l *Link) onSocket(do func(fd int) error) error {
	raw, err := l.listener.SyscallConn()
	if err != nil {
		return fmt.Errorf("link %s: %w", l.Name, err)
	}
	var failed error
	if err = errors.Join(raw.Control(func(fd uintptr) { failed = do(int(fd)) }), failed); err != nil {
		return fmt.Errorf("link %s: %w", l.Name, err)
	}
	return nil
}

// OpenConns returns the number of open connections.
func (l *Link) OpenConns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// Close closes the link and resets its connections.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	l.mode = Accepting
	l.notifyChange()
	flows, fillers := l.flows, l.fillers
	l.fillers, l.flows = nil, map[string]*net.UDPConn{}
	l.mu.Unlock()
	for _, c := range fillers {
		c.Close()
	}
	for _, f := range flows {
		f.Close()
	}
	if l.listener != nil {
		l.listener.Close()
	}
	if l.udp != nil {
		l.udp.Close()
	}
	l.Reset()
	l.goroutines.Wait()
}
