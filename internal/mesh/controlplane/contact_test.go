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

const standinIP = "127.0.9.1"

// standinKeeper is a store that says what a test has it say.
type fakeStore struct {
	lease    atomic.Int64 // of the answers to beats; below 0 for no answer
	answered atomic.Int64 // beats

	mu   sync.Mutex
	conn *transport.Conn
	said *controlstate.Snapshot
}

// word has it say what is in force, on this connection and those that come.
func (k *fakeStore) word(f *controlstate.Snapshot) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.said = f
	if k.conn != nil {
		_ = k.conn.Send(controlstatewire.FromUpdate(&controlstate.Update{Snapshot: f}))
	}
}

func (k *fakeStore) serve(ctx context.Context, raw net.Conn) {
	conn, err := transport.New(ctx, raw, time.Minute)
	if err != nil {
		return
	}
	defer conn.Close()
	var h configstorewire.Hello
	if conn.Receive(&h) != nil {
		return
	}
	k.mu.Lock()
	k.conn = conn
	_ = conn.Send(controlstatewire.FromUpdate(&controlstate.Update{Snapshot: k.said}))
	k.mu.Unlock()
	for {
		var encoded controlstatewire.Order
		if conn.Receive(&encoded) != nil {
			return
		}
		o := encoded.Command()
		if left := time.Duration(k.lease.Load()); o.Kind == controlstate.Heartbeat && left >= 0 {
			_ = conn.Send(controlstatewire.FromUpdate(&controlstate.Update{HeartbeatID: o.ID, LeaseRemaining: left}))
			k.answered.Add(1)
		}
	}
}

// besideStandin starts a control plane beside a store that says what a test has it say.
func besideFakeStore(t *testing.T) (*fakeStore, *nodeconfig.Settings) {
	return besideFakeStoreWithin(t, nodeconfig.Bounds{})
}

func besideFakeStoreWithin(t *testing.T, b nodeconfig.Bounds) (*fakeStore, *nodeconfig.Settings) {
	first := freeport.ForTest(t, 3).First
	s := &nodeconfig.Settings{
		Path: "test", Node: "core", IP: standinIP, Zone: "north", PortFrom: first, PortTo: first + 2, Control: net.JoinHostPort(standinIP, "0"), Bounds: b,
	}
	ln, err := net.Listen("tcp", configstore.Address(standinIP, s))
	if err != nil {
		t.Fatal(err)
	}
	l, err := New(s, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	k := &fakeStore{}
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = l.Run(ctx) })
	running.Go(func() { transport.Serve(ctx, ln, func(raw net.Conn) { running.Go(func() { k.serve(ctx, raw) }) }) })
	t.Cleanup(func() {
		stop()
		ln.Close()
		running.Wait()
	})
	return k, s
}

// standinPilot is a connection of a proxy.
type fakeProxy struct {
	t    *testing.T
	conn *transport.Conn
	ack  uint64
	last bool // it asks for the last that is known
	want bool // it asks for the configuration
}

// meet has a new proxy connect.
func meet(t *testing.T, s *nodeconfig.Settings, name string) *fakeProxy {
	t.Helper()
	conn, err := transport.Dial(t.Context(), Address(s.IP, s), 10*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(conn.Close)
	p := &fakeProxy{t: t, conn: conn}
	if err := conn.Send(discoverywire.FromHandshake(&discovery.Handshake{ProxyNode: name})); err != nil {
		t.Fatal(err)
	}
	p.say()
	return p
}

func (p *fakeProxy) say() {
	p.t.Helper()
	if err := p.conn.Send(discoverywire.FromProxyMessage(&discovery.ProxyMessage{Primary: true, AckedUpdate: p.ack, WantLastKnown: p.last, WantConfig: p.want})); err != nil {
		p.t.Fatal(err)
	}
}

// hear hears words until one is as wanted; orders that come before it are as bad as none that is.
func (p *fakeProxy) hear(what string, want func(*discovery.ControlMessage) bool) {
	p.t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
		var encoded discoverywire.Down
		if err := p.conn.Receive(&encoded); err != nil {
			p.t.Fatalf("%s: %v", what, err)
		}
		d := encoded.ControlMessage()
		p.ack = max(p.ack, d.Sequence)
		p.say()
		if want(d) {
			return
		}
		if d.Snapshot != nil {
			p.t.Fatalf("%s: it is told %+v instead", what, d.Snapshot)
		}
	}
	p.t.Fatalf("%s: it is not told", what)
}

// Without a lease of its store a control plane tells proxies who is there and nothing that was ordered, but to one that asks for the last
// that is known; with one it tells what is in force, and as it ends, that it has none.
func TestSnapshotIsServedUnderALease(t *testing.T) {
	k, s := besideFakeStore(t)
	told := func(settled bool) func(*discovery.ControlMessage) bool {
		return func(d *discovery.ControlMessage) bool {
			f := d.Snapshot
			return f != nil && f.Confirmed == settled && d.HasContact == settled && f.ConfigVersion == 3 && string(f.Config) == "r3"
		}
	}
	blind := func(d *discovery.ControlMessage) bool { return d.Complete && !d.HasContact && d.Snapshot == nil }
	k.word(&controlstate.Snapshot{Config: []byte("r3"), ConfigVersion: 3, Confirmed: true, Epoch: 2})
	first := meet(t, s, "first")
	first.hear("the store has no lease", blind)
	first.last = true
	first.say()
	first.hear("it asks for the last that is known", told(false))
	k.lease.Store(int64(time.Minute))
	first.hear("the store has a lease", told(true))

	meet(t, s, "second").hear("a new proxy, under a lease", told(true))
	k.lease.Store(int64(600 * time.Millisecond))
	first.hear("the lease is short", func(d *discovery.ControlMessage) bool { return d.HasContact })
	k.lease.Store(-1)
	first.hear("the store answers no beat any more", func(d *discovery.ControlMessage) bool { return !d.HasContact })
	meet(t, s, "third").hear("a new proxy, as the lease has ended", blind)

	k.word(&controlstate.Snapshot{Config: []byte("r2"), ConfigVersion: 2, Confirmed: true, Epoch: 1})
	k.lease.Store(int64(time.Minute))
	for n := k.answered.Load(); k.answered.Load() < n+2; {
		first.hear("the store speaks of an older epoch", func(d *discovery.ControlMessage) bool { return !d.HasContact && d.Snapshot == nil })
	}
	meet(t, s, "fourth").hear("the store speaks of an older epoch", blind)
	k.word(&controlstate.Snapshot{Config: []byte("r2"), ConfigVersion: 2, Confirmed: true, Epoch: 2})
	meet(t, s, "fifth").hear("the store has gone back to an older version", told(true))
}

// Where the settings leave less time for a configuration to be everywhere, a control plane asks its store that much more often: in calm it has
// contact all the while, with leases that are as short.
func TestContactWithShortLeases(t *testing.T) {
	k, s := besideFakeStoreWithin(t, nodeconfig.Bounds{Converge: 700 * time.Millisecond})
	k.lease.Store(int64(350 * time.Millisecond)) // what is left of a store's at least
	k.word(&controlstate.Snapshot{Config: []byte("r3"), ConfigVersion: 3, Confirmed: true, Epoch: 2})
	p := meet(t, s, "first")
	p.hear("the store has a lease", func(d *discovery.ControlMessage) bool { return d.Snapshot != nil })
	for n := k.answered.Load(); k.answered.Load() < n+10; {
		p.hear("calm", func(d *discovery.ControlMessage) bool {
			if !d.HasContact {
				t.Error("the control plane has lost contact")
			}
			return true
		})
	}
}

// A configuration goes once over one connection, however often a proxy asks while it is on its way; again under another epoch, as a proxy
// refuses what is said under one that is over; and over another connection.
func TestConfigIsSentOnceOverAConnection(t *testing.T) {
	k, s := besideFakeStore(t)
	k.lease.Store(int64(time.Minute))
	k.word(&controlstate.Snapshot{Config: []byte("r3"), ConfigVersion: 3, Confirmed: true, Epoch: 2})
	whole := func(version, epoch uint64) func(*discovery.ControlMessage) bool {
		return func(d *discovery.ControlMessage) bool {
			f := d.Snapshot
			return f != nil && f.ConfigVersion == version && f.Epoch == epoch && len(f.Config) > 0
		}
	}
	p := meet(t, s, "first")
	p.hear("its first picture", whole(3, 2))
	for range 3 {
		p.want = true
		p.say()
	}
	p.hear("nothing comes for a while", func(d *discovery.ControlMessage) bool { return d.Sequence == 0 })
	k.word(&controlstate.Snapshot{Config: []byte("r3"), ConfigVersion: 3, Confirmed: true, Epoch: 3})
	p.hear("another epoch", whole(3, 3))
	k.word(&controlstate.Snapshot{Config: []byte("r4"), ConfigVersion: 4, Confirmed: true, Epoch: 3})
	p.hear("another version", whole(4, 3))
	meet(t, s, "first").hear("another connection", whole(4, 3))
}

// What was ordered and waits to be sent when the lease ends is not sent, and remembered to be told again; the rest of the word is sent.
func TestDeferredMessageIsCheckedWhenSent(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	ends := make(chan *transport.Conn, 1)
	go func() {
		raw, err := ln.Accept()
		if err != nil {
			t.Error(err)
		}
		conn, err := transport.New(t.Context(), raw, 10*time.Second)
		if err != nil {
			t.Error(err)
		}
		ends <- conn
	}()
	proxies, err := transport.Dial(t.Context(), ln.Addr().String(), 10*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	conn := <-ends
	var l Server
	k := &session{outbox: transport.NewOutbox(conn, queueLength)}
	until := time.Now().Add(time.Hour)
	l.serveUntil.Store(&until)
	l.pushUpdate(k, discovery.ControlMessage{Snapshot: &controlstate.Snapshot{ConfigVersion: 3, Confirmed: true}, HasContact: true, Removed: []string{"n"}})
	l.pushUpdate(k, discovery.ControlMessage{Snapshot: &controlstate.Snapshot{ConfigVersion: 3}}) // to one that asked for the last that is known
	l.serveUntil.Store(&time.Time{})
	var running sync.WaitGroup
	running.Go(k.outbox.Run)
	for _, want := range []uint64{0, 3} {
		var encoded discoverywire.Down
		if err := proxies.Receive(&encoded); err != nil {
			t.Fatal(err)
		}
		d := encoded.ControlMessage()
		if version := uint64(0); d.Snapshot != nil {
			version = d.Snapshot.ConfigVersion
			if version != want || d.Snapshot.Confirmed {
				t.Errorf("it is told %+v without a lease", d.Snapshot)
			}
		} else if want != 0 || d.HasContact || len(d.Removed) != 1 {
			t.Errorf("it is told %+v", d)
		}
	}
	if !k.pushSkipped.Load() {
		t.Error("it is forgotten that the proxy was not told")
	}
	conn.Close()
	proxies.Close()
	running.Wait()
}
