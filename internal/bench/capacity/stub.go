package capacity

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"milletmast/internal/mesh/controlstate"
	"milletmast/internal/mesh/discovery"
	discoverywire "milletmast/internal/mesh/discovery/wire"
	"milletmast/internal/mesh/registry"
	"milletmast/internal/mesh/transport"
	"milletmast/internal/testcluster"
)

const (
	connsPerProxy     = 3                       // control planes that a proxy is connected to, as in internal/mesh/proxy
	heartbeatInterval = 750 * time.Millisecond  // to each control plane, like a real proxy, which sends each 0.8 s in steps of 0.25 s
	receiveTimeout    = 2200 * time.Millisecond // like a real proxy
	minBackoff        = 25 * time.Millisecond
	maxBackoff        = 250 * time.Millisecond
	keepMissing       = 5 * time.Second // for which a node is kept that no control plane reports any more
	outboxSize        = 64              // unsent messages to one control plane
)

// stubFleet is a fleet of proxies without a data path, all in this process. Each uses the real protocol with real control planes over
// connections of its own.
type stubFleet struct {
	cluster *cluster
	proxies []*stubProxy
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup

	bytesRead, bytesWritten        atomic.Int64
	messagesReceived, messagesSent atomic.Int64
	dials                          atomic.Int64
	completeUpdates                atomic.Int64 // received by all proxies
	lastCompleteBytes              atomic.Int64 // size of the last complete update
	maxCompleteBytes               atomic.Int64
	awaited                        atomic.Pointer[propagation]
}

// propagation is a change that all proxies have to receive, with the time at which each has received it.
type propagation struct {
	node          string // node whose record changes; "" for a configuration
	sequence      uint64
	configVersion uint64 // version of a configuration; 0 for a record

	mu       sync.Mutex
	arrivals map[string]time.Time // first arrival, by proxy
	bytes    int64                // total size of the messages with the change
}

// record records the first arrival at a proxy.
func (w *propagation) record(proxy string, bytes int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.arrivals[proxy].IsZero() {
		w.arrivals[proxy] = time.Now()
		w.bytes += bytes
	}
}

// count returns the number of proxies that have received the change.
func (w *propagation) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.arrivals)
}

// delays returns the times from a moment to each arrival, in ms, sorted.
func (w *propagation) delays(from time.Time) (out []float64) {
	for _, at := range w.arrivals {
		out = append(out, at.Sub(from).Seconds()*1000)
	}
	slices.Sort(out)
	return out
}

// stubProxy is a proxy of a stubFleet.
type stubProxy struct {
	fleet         *stubFleet
	mu            sync.Mutex
	record        registry.NodeRecord
	clientState   *discovery.ClientState // nil if the proxy only counts messages
	configVersion atomic.Uint64
	conns         [connsPerProxy]*discoveryConn
}

// discoveryConn is a connection to a control plane.
type discoveryConn struct {
	conn      *transport.Conn
	outbox    *transport.Outbox
	acked     uint64
	isPrimary bool
}

// newStubFleet returns count proxies, each with an endpoint. The first clientStates of them apply the messages that they receive to a
// real client state; the others only count them.
func newStubFleet(ctx context.Context, c *cluster, count, clientStates int) *stubFleet {
	f := &stubFleet{cluster: c}
	f.ctx, f.cancel = context.WithCancel(ctx)
	for i := range count {
		ip := fmt.Sprintf("127.%d.%d.%d", c.subnet, 100+i/250, 1+i%250) // nothing listens there
		p := &stubProxy{fleet: f, record: registry.NodeRecord{
			Node: fmt.Sprint("side-", i), Zone: fmt.Sprintf("zone-%d", i%3), Incarnation: uint64(time.Now().UnixNano()), Sequence: 1,
			InboundAddr: fmt.Sprintf("%s:%d", ip, c.port-11), PeerAddr: fmt.Sprintf("%s:%d", ip, c.port+1),
			Endpoint: &registry.Endpoint{ID: fmt.Sprint("i-side-", i), Target: serviceName(i % 20), State: registry.Serving, Capacity: 9},
		}}
		if i < clientStates {
			p.clientState = discovery.NewClientState(time.Now(), discovery.Limits{KeepMissing: keepMissing, ContactTimeout: keepMissing})
		}
		f.proxies = append(f.proxies, p)
	}
	return f
}

// start starts the proxies in waves. A wave starts when all proxies before it have a complete update and the configuration.
func (f *stubFleet) start(ctx context.Context, wave int) error {
	for from := 0; from < len(f.proxies); from += wave {
		to := min(from+wave, len(f.proxies))
		for i := from; i < to; i++ {
			for n := range min(connsPerProxy, len(f.cluster.machines)) {
				addr := f.cluster.discoveryAddr(f.cluster.machines[(i+n)%len(f.cluster.machines)])
				f.running.Go(func() { f.proxies[i].connectLoop(n, addr) })
			}
		}
		if err := waitWithin(ctx, propagationTimeout, "first complete updates and the configuration", func() bool {
			return f.completeUpdates.Load() >= int64(to) && f.allAtVersion(to, f.cluster.version)
		}); err != nil {
			return Failed.Wrap(err, "%d proxies: %d complete updates, %d connections, %d bytes so far",
				to, f.completeUpdates.Load(), f.dials.Load(), f.bytesRead.Load())
		}
	}
	return nil
}

// stop closes all connections.
func (f *stubFleet) stop() {
	f.cancel()
	f.running.Wait()
}

// countingConn counts the bytes of a connection.
type countingConn struct {
	net.Conn
	fleet *stubFleet
	read  int64 // bytes read; only for the reading goroutine
}

func (c *countingConn) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	c.read += int64(n)
	c.fleet.bytesRead.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (n int, err error) {
	n, err = c.Conn.Write(b)
	c.fleet.bytesWritten.Add(int64(n))
	return n, err
}

// connectLoop keeps the nth connection open. The first one is to the proxy's primary control plane.
func (p *stubProxy) connectLoop(n int, addr string) {
	f := p.fleet
	backoff := transport.Backoff{Min: minBackoff, Max: maxBackoff}
	for f.ctx.Err() == nil {
		f.dials.Add(1)
		raw, err := (&net.Dialer{Timeout: 500 * time.Millisecond, KeepAlive: -1}).DialContext(f.ctx, "tcp", addr)
		if err == nil {
			counting := &countingConn{Conn: raw, fleet: f}
			if conn, err := transport.New(f.ctx, counting, receiveTimeout); err == nil {
				backoff.Reset()
				p.serve(n, addr, conn, counting)
				conn.Close()
			} else {
				raw.Close()
			}
		}
		if testcluster.Sleep(f.ctx, backoff.Next()) != nil {
			return
		}
	}
}

// serve handles a connection until it ends.
func (p *stubProxy) serve(n int, addr string, conn *transport.Conn, counting *countingConn) {
	k := &discoveryConn{conn: conn, outbox: transport.NewOutbox(conn, outboxSize), isPrimary: n == 0}
	p.fleet.running.Go(k.outbox.Run)
	p.mu.Lock()
	p.conns[n] = k
	record := p.record
	k.outbox.Send(discoverywire.FromHandshake(&discovery.Handshake{ProxyNode: record.Node}))
	up := p.newMessage(k)
	up.Record = &record
	p.send(k, up)
	p.mu.Unlock()
	done := make(chan struct{})
	p.fleet.running.Go(func() {
		tick := time.NewTicker(heartbeatInterval)
		defer tick.Stop()
		for {
			select {
			case <-done:
				return
			case <-tick.C:
				p.mu.Lock()
				p.send(k, p.newMessage(k))
				p.mu.Unlock()
			}
		}
	})
	for {
		var encoded discoverywire.Down
		before := counting.read
		if conn.Receive(&encoded) != nil {
			break
		}
		p.handleMessage(k, addr, encoded.ControlMessage(), counting.read-before)
	}
	close(done)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[n] = nil
	if p.clientState != nil {
		p.clientState.ControlPlaneLost(time.Now(), addr)
	}
}

// newMessage returns a message with the acknowledgements for a connection.
func (p *stubProxy) newMessage(k *discoveryConn) *discovery.ProxyMessage {
	return &discovery.ProxyMessage{AckedUpdate: k.acked, ConfigVersion: p.configVersion.Load(), Primary: k.isPrimary}
}

// send sends a message, and counts it unless the outbox is full.
func (p *stubProxy) send(k *discoveryConn, up *discovery.ProxyMessage) {
	if k.outbox.Send(discoverywire.FromProxyMessage(up)) {
		p.fleet.messagesSent.Add(1)
	}
}

// handleMessage handles a message of the given size, and acknowledges it.
func (p *stubProxy) handleMessage(k *discoveryConn, addr string, d *discovery.ControlMessage, bytes int64) {
	p.fleet.messagesReceived.Add(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.clientState != nil {
		p.clientState.HandleControlMessage(time.Now(), addr, d)
	}
	if d.Complete {
		p.fleet.lastCompleteBytes.Store(bytes)
		p.fleet.maxCompleteBytes.Store(max(bytes, p.fleet.maxCompleteBytes.Load()))
		p.fleet.completeUpdates.Add(1)
	}
	w := p.fleet.awaited.Load()
	if w != nil && w.isIn(d.Nodes) {
		w.record(p.record.Node, bytes)
	}
	latest := uint64(0)
	if d.Snapshot != nil {
		latest = d.Snapshot.ConfigVersion
		p.applyConfig(d.Snapshot, w, bytes)
	}
	if d.Sequence > 0 {
		k.acked = d.Sequence
		up := p.newMessage(k)
		up.WantConfig = k.isPrimary && latest > p.configVersion.Load()
		p.send(k, up)
	}
}

// isIn reports whether the change is that of a record and is contained in the records.
func (w *propagation) isIn(records []registry.ObservedRecord) bool {
	contains := func(r registry.ObservedRecord) bool { return r.Node == w.node && r.Sequence >= w.sequence }
	return w.node != "" && slices.ContainsFunc(records, contains)
}

// applyConfig stores the version of a newer configuration, and acknowledges it on all connections.
func (p *stubProxy) applyConfig(s *controlstate.Snapshot, awaited *propagation, bytes int64) {
	if len(s.Config) == 0 || s.ConfigVersion <= p.configVersion.Load() {
		return
	}
	p.configVersion.Store(s.ConfigVersion)
	if awaited != nil && awaited.configVersion > 0 && s.ConfigVersion >= awaited.configVersion {
		awaited.record(p.record.Node, bytes)
	}
	for _, k := range p.conns {
		if k != nil {
			p.send(k, p.newMessage(k))
		}
	}
}

// changeEndpoint changes the endpoint of the proxy and sends its record, as a proxy does when the state or capacity changes.
func (p *stubProxy) changeEndpoint() *propagation {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.record.Sequence++
	e := *p.record.Endpoint
	e.Capacity = 9 + int(p.record.Sequence)%2
	p.record.Endpoint = &e
	w := &propagation{node: p.record.Node, sequence: p.record.Sequence, arrivals: map[string]time.Time{}}
	p.fleet.awaited.Store(w)
	for _, k := range p.conns {
		if k != nil {
			record := p.record
			up := p.newMessage(k)
			up.Record = &record
			p.send(k, up)
		}
	}
	return w
}

// closeConnections closes all connections at once, as after the loss of a zone.
func (f *stubFleet) closeConnections() {
	for _, p := range f.proxies {
		p.mu.Lock()
		for _, k := range p.conns {
			if k != nil {
				k.conn.Close()
			}
		}
		p.mu.Unlock()
	}
}

// allAtVersion reports whether the first count proxies have a version of the configuration.
func (f *stubFleet) allAtVersion(count int, version uint64) bool {
	for _, p := range f.proxies[:count] {
		if p.configVersion.Load() != version {
			return false
		}
	}
	return true
}
