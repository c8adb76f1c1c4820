package controlplane

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"milletmast/internal/freeport"
	"milletmast/internal/mesh/configstore"
	configstorewire "milletmast/internal/mesh/configstore/wire"
	"milletmast/internal/mesh/controlstate"
	controlstatewire "milletmast/internal/mesh/controlstate/wire"
	"milletmast/internal/mesh/discovery"
	discoverywire "milletmast/internal/mesh/discovery/wire"
	"milletmast/internal/mesh/nodeconfig"
	"milletmast/internal/mesh/transport"
)

const fakeStoreIP = "127.0.9.1"

// fakeStore is a configuration store that sends the snapshots and leases that a test sets.
type fakeStore struct {
	lease           atomic.Int64 // remaining lease, in nanoseconds, in acknowledgements of heartbeats; below 0 for no acknowledgement
	ackedHeartbeats atomic.Int64

	mu       sync.Mutex
	conn     *transport.Conn
	snapshot *controlstate.Snapshot
}

// setSnapshot sends a snapshot on the present connection, and first on later ones.
func (store *fakeStore) setSnapshot(snapshot *controlstate.Snapshot) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.snapshot = snapshot
	if store.conn != nil {
		_ = store.conn.Send(controlstatewire.FromUpdate(&controlstate.Update{Snapshot: snapshot}))
	}
}

func (store *fakeStore) serve(ctx context.Context, raw net.Conn) {
	conn, err := transport.New(ctx, raw, time.Minute)
	if err != nil {
		return
	}
	defer conn.Close()
	var handshake configstorewire.Hello
	if conn.Receive(&handshake) != nil {
		return
	}
	store.mu.Lock()
	store.conn = conn
	_ = conn.Send(controlstatewire.FromUpdate(&controlstate.Update{Snapshot: store.snapshot}))
	store.mu.Unlock()
	for {
		var encoded controlstatewire.Order
		if conn.Receive(&encoded) != nil {
			return
		}
		command := encoded.Command()
		if lease := time.Duration(store.lease.Load()); command.Kind == controlstate.Heartbeat && lease >= 0 {
			_ = conn.Send(controlstatewire.FromUpdate(&controlstate.Update{HeartbeatID: command.ID, LeaseRemaining: lease}))
			store.ackedHeartbeats.Add(1)
		}
	}
}

// startBesideFakeStore starts a control plane with a fake configuration store.
func startBesideFakeStore(t *testing.T) (*fakeStore, *nodeconfig.Settings) {
	return startBesideFakeStoreWithBounds(t, nodeconfig.Bounds{})
}

func startBesideFakeStoreWithBounds(t *testing.T, bounds nodeconfig.Bounds) (*fakeStore, *nodeconfig.Settings) {
	first := freeport.ForTest(t, 3).First
	settings := &nodeconfig.Settings{
		Path: "test", Node: "core", IP: fakeStoreIP, Zone: "north", PortFrom: first, PortTo: first + 2, Control: net.JoinHostPort(fakeStoreIP, "0"), Bounds: bounds,
	}
	ln, err := net.Listen("tcp", configstore.Address(fakeStoreIP, settings))
	if err != nil {
		t.Fatal(err)
	}
	server, err := New(settings, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	store := &fakeStore{}
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = server.Run(ctx) })
	running.Go(func() { transport.Serve(ctx, ln, func(raw net.Conn) { running.Go(func() { store.serve(ctx, raw) }) }) })
	t.Cleanup(func() {
		stop()
		ln.Close()
		running.Wait()
	})
	return store, settings
}

// fakeProxy is a connection of a proxy to the control plane.
type fakeProxy struct {
	t             *testing.T
	conn          *transport.Conn
	ack           uint64 // sequence of the last update that was received
	wantLastKnown bool   // the messages request the last known snapshot
	wantConfig    bool   // the messages request the configuration
}

// connectProxy connects a new proxy.
func connectProxy(t *testing.T, settings *nodeconfig.Settings, name string) *fakeProxy {
	t.Helper()
	conn, err := transport.Dial(t.Context(), Address(settings.IP, settings), 10*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(conn.Close)
	p := &fakeProxy{t: t, conn: conn}
	if err := conn.Send(discoverywire.FromHandshake(&discovery.Handshake{ProxyNode: name})); err != nil {
		t.Fatal(err)
	}
	p.send()
	return p
}

// send sends a message with the present acknowledgement and requests.
func (p *fakeProxy) send() {
	p.t.Helper()
	if err := p.conn.Send(discoverywire.FromProxyMessage(&discovery.ProxyMessage{Primary: true, AckedUpdate: p.ack, WantLastKnown: p.wantLastKnown, WantConfig: p.wantConfig})); err != nil {
		p.t.Fatal(err)
	}
}

// awaitMessage receives messages up to one that matches. It fails if a snapshot comes before, or no match within 10 seconds.
func (p *fakeProxy) awaitMessage(what string, matches func(*discovery.ControlMessage) bool) {
	p.t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
		var encoded discoverywire.Down
		if err := p.conn.Receive(&encoded); err != nil {
			p.t.Fatalf("%s: %v", what, err)
		}
		d := encoded.ControlMessage()
		p.ack = max(p.ack, d.Sequence)
		p.send()
		if matches(d) {
			return
		}
		if d.Snapshot != nil {
			p.t.Fatalf("%s: the control plane sends %+v instead", what, d.Snapshot)
		}
	}
	p.t.Fatalf("%s: the control plane does not send the message", what)
}

// A control plane whose store has no lease sends proxies the nodes but no snapshot, except an unconfirmed one to a proxy that requests the
// last known snapshot. With a lease it sends the confirmed snapshot, and when the lease ends, it announces that it has no contact.
func TestSnapshotIsServedUnderALease(t *testing.T) {
	store, settings := startBesideFakeStore(t)
	isSnapshot := func(confirmed bool) func(*discovery.ControlMessage) bool {
		return func(d *discovery.ControlMessage) bool {
			f := d.Snapshot
			return f != nil && f.Confirmed == confirmed && d.HasContact == confirmed && f.ConfigVersion == 3 && string(f.Config) == "r3"
		}
	}
	withoutContact := func(d *discovery.ControlMessage) bool { return d.Complete && !d.HasContact && d.Snapshot == nil }
	store.setSnapshot(&controlstate.Snapshot{Config: []byte("r3"), ConfigVersion: 3, Confirmed: true, Epoch: 2})
	first := connectProxy(t, settings, "first")
	first.awaitMessage("the store has no lease", withoutContact)
	first.wantLastKnown = true
	first.send()
	first.awaitMessage("the proxy requests the last known snapshot", isSnapshot(false))
	store.lease.Store(int64(time.Minute))
	first.awaitMessage("the store has a lease", isSnapshot(true))

	connectProxy(t, settings, "second").awaitMessage("a new proxy, under a lease", isSnapshot(true))
	store.lease.Store(int64(600 * time.Millisecond))
	first.awaitMessage("the lease is short", func(d *discovery.ControlMessage) bool { return d.HasContact })
	store.lease.Store(-1)
	first.awaitMessage("the store acknowledges no heartbeat any more", func(d *discovery.ControlMessage) bool { return !d.HasContact })
	connectProxy(t, settings, "third").awaitMessage("a new proxy, after the end of the lease", withoutContact)

	store.setSnapshot(&controlstate.Snapshot{Config: []byte("r2"), ConfigVersion: 2, Confirmed: true, Epoch: 1})
	store.lease.Store(int64(time.Minute))
	for n := store.ackedHeartbeats.Load(); store.ackedHeartbeats.Load() < n+2; {
		first.awaitMessage("the store sends an older epoch", func(d *discovery.ControlMessage) bool { return !d.HasContact && d.Snapshot == nil })
	}
	connectProxy(t, settings, "fourth").awaitMessage("a new proxy, and the store sends an older epoch", withoutContact)
	store.setSnapshot(&controlstate.Snapshot{Config: []byte("r2"), ConfigVersion: 2, Confirmed: true, Epoch: 2})
	connectProxy(t, settings, "fifth").awaitMessage("the store has sent an older version", isSnapshot(true))
}

// With a bound on the convergence of a configuration below the default, the control plane sends heartbeats to its store more often, so that
// it keeps contact without a gap under leases that are shorter by as much.
func TestContactWithShortLeases(t *testing.T) {
	store, settings := startBesideFakeStoreWithBounds(t, nodeconfig.Bounds{Converge: 700 * time.Millisecond})
	store.lease.Store(int64(350 * time.Millisecond)) // the least that remains of a store's lease
	store.setSnapshot(&controlstate.Snapshot{Config: []byte("r3"), ConfigVersion: 3, Confirmed: true, Epoch: 2})
	p := connectProxy(t, settings, "first")
	p.awaitMessage("the store has a lease", func(d *discovery.ControlMessage) bool { return d.Snapshot != nil })
	for n := store.ackedHeartbeats.Load(); store.ackedHeartbeats.Load() < n+10; {
		p.awaitMessage("without faults", func(d *discovery.ControlMessage) bool {
			if !d.HasContact {
				t.Error("the control plane has lost contact")
			}
			return true
		})
	}
}

// A configuration is sent once over a connection, even if the proxy requests it again before it arrives. It is sent again under a new epoch,
// as a proxy rejects snapshots of an old one, and over a new connection.
func TestConfigIsSentOnceOverAConnection(t *testing.T) {
	store, settings := startBesideFakeStore(t)
	store.lease.Store(int64(time.Minute))
	store.setSnapshot(&controlstate.Snapshot{Config: []byte("r3"), ConfigVersion: 3, Confirmed: true, Epoch: 2})
	isConfig := func(version, epoch uint64) func(*discovery.ControlMessage) bool {
		return func(d *discovery.ControlMessage) bool {
			f := d.Snapshot
			return f != nil && f.ConfigVersion == version && f.Epoch == epoch && len(f.Config) > 0
		}
	}
	p := connectProxy(t, settings, "first")
	p.awaitMessage("the first update", isConfig(3, 2))
	for range 3 {
		p.wantConfig = true
		p.send()
	}
	p.awaitMessage("a heartbeat and no further update", func(d *discovery.ControlMessage) bool { return d.Sequence == 0 })
	store.setSnapshot(&controlstate.Snapshot{Config: []byte("r3"), ConfigVersion: 3, Confirmed: true, Epoch: 3})
	p.awaitMessage("another epoch", isConfig(3, 3))
	store.setSnapshot(&controlstate.Snapshot{Config: []byte("r4"), ConfigVersion: 4, Confirmed: true, Epoch: 3})
	p.awaitMessage("another version", isConfig(4, 3))
	connectProxy(t, settings, "first").awaitMessage("another connection", isConfig(4, 3))
}

// The lease is checked when a message leaves the queue: if it has ended by then, a confirmed snapshot is left out of its message, and the
// session records that it must be pushed again. The rest of the message and unconfirmed snapshots are sent.
func TestDeferredMessageIsCheckedWhenSent(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	accepted := make(chan *transport.Conn, 1)
	go func() {
		raw, err := ln.Accept()
		if err != nil {
			t.Error(err)
		}
		conn, err := transport.New(t.Context(), raw, 10*time.Second)
		if err != nil {
			t.Error(err)
		}
		accepted <- conn
	}()
	proxyConn, err := transport.Dial(t.Context(), ln.Addr().String(), 10*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	conn := <-accepted
	var server Server
	session := &session{outbox: transport.NewOutbox(conn, queueLength)}
	until := time.Now().Add(time.Hour)
	server.serveUntil.Store(&until)
	server.pushUpdate(session, discovery.ControlMessage{Snapshot: &controlstate.Snapshot{ConfigVersion: 3, Confirmed: true}, HasContact: true, Removed: []string{"n"}})
	server.pushUpdate(session, discovery.ControlMessage{Snapshot: &controlstate.Snapshot{ConfigVersion: 3}}) // as for a proxy that requested the last known snapshot
	server.serveUntil.Store(&time.Time{})
	var running sync.WaitGroup
	running.Go(session.outbox.Run)
	for _, want := range []uint64{0, 3} {
		var encoded discoverywire.Down
		if err := proxyConn.Receive(&encoded); err != nil {
			t.Fatal(err)
		}
		d := encoded.ControlMessage()
		if version := uint64(0); d.Snapshot != nil {
			version = d.Snapshot.ConfigVersion
			if version != want || d.Snapshot.Confirmed {
				t.Errorf("the proxy receives %+v without a lease", d.Snapshot)
			}
		} else if want != 0 || d.HasContact || len(d.Removed) != 1 {
			t.Errorf("the proxy receives %+v, want the removed node alone", d)
		}
	}
	if !session.pushSkipped.Load() {
		t.Error("the session does not record that a snapshot was left out")
	}
	conn.Close()
	proxyConn.Close()
	running.Wait()
}
