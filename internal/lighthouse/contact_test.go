package lighthouse

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"whinknot/internal/berth"
	"whinknot/internal/keeper"
	"whinknot/internal/lamp"
	"whinknot/internal/signal"
)

const standinIP = "127.0.9.1"

// standinKeeper is a keeper that says what a test has it say.
type standinKeeper struct {
	lease    atomic.Int64 // of the answers to beats; below 0 for no answer
	answered atomic.Int64 // beats

	mu   sync.Mutex
	conn *signal.Conn
	said *keeper.InForce
}

// word has it say what is in force, on this connection and those that come.
func (k *standinKeeper) word(f *keeper.InForce) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.said = f
	if k.conn != nil {
		k.conn.Send(&keeper.Word{InForce: f})
	}
}

func (k *standinKeeper) serve(ctx context.Context, raw net.Conn) {
	conn, err := signal.New(ctx, raw, time.Minute)
	if err != nil {
		return
	}
	defer conn.Close()
	var h keeper.Hello
	if conn.Receive(&h) != nil {
		return
	}
	k.mu.Lock()
	k.conn = conn
	conn.Send(&keeper.Word{InForce: k.said})
	k.mu.Unlock()
	for {
		var o keeper.Order
		if conn.Receive(&o) != nil {
			return
		}
		if left := time.Duration(k.lease.Load()); o.Kind == keeper.Beat && left >= 0 {
			conn.Send(&keeper.Word{Beat: o.ID, Lease: left})
			k.answered.Add(1)
		}
	}
}

// besideStandin starts a lighthouse beside a keeper that says what a test has it say.
func besideStandin(t *testing.T) (*standinKeeper, *berth.Settings) {
	return besideStandinWithin(t, berth.Bounds{})
}

func besideStandinWithin(t *testing.T, b berth.Bounds) (*standinKeeper, *berth.Settings) {
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	port := free.Addr().(*net.TCPAddr).Port
	free.Close()
	s := &berth.Settings{
		Path: "test", Node: "core", IP: standinIP, Zone: "north", PortFrom: port - 1, PortTo: port + 1, Control: net.JoinHostPort(standinIP, "0"), Bounds: b,
	}
	ln, err := net.Listen("tcp", keeper.Address(standinIP, s))
	if err != nil {
		t.Fatal(err)
	}
	l, err := New(s, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	k := &standinKeeper{}
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { l.Run(ctx) })
	running.Go(func() { signal.Serve(ctx, ln, func(raw net.Conn) { running.Go(func() { k.serve(ctx, raw) }) }) })
	t.Cleanup(func() {
		stop()
		ln.Close()
		running.Wait()
	})
	return k, s
}

// standinPilot is a connection of a pilot.
type standinPilot struct {
	t    *testing.T
	conn *signal.Conn
	ack  uint64
	last bool // it asks for the last that is known
	want bool // it asks for the configuration
}

// meet has a new pilot connect.
func meet(t *testing.T, s *berth.Settings, name string) *standinPilot {
	t.Helper()
	conn, err := signal.Dial(t.Context(), Address(s.IP, s), 10*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(conn.Close)
	p := &standinPilot{t: t, conn: conn}
	if err := conn.Send(&lamp.Hello{Pilot: name}); err != nil {
		t.Fatal(err)
	}
	p.say()
	return p
}

func (p *standinPilot) say() {
	p.t.Helper()
	if err := p.conn.Send(&lamp.Up{Main: true, Ack: p.ack, Last: p.last, Want: p.want}); err != nil {
		p.t.Fatal(err)
	}
}

// hear hears words until one is as wanted; orders that come before it are as bad as none that is.
func (p *standinPilot) hear(what string, want func(*lamp.Down) bool) *lamp.Down {
	p.t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
		var d lamp.Down
		if err := p.conn.Receive(&d); err != nil {
			p.t.Fatalf("%s: %v", what, err)
		}
		p.ack = max(p.ack, d.Number)
		p.say()
		if want(&d) {
			return &d
		}
		if d.InForce != nil {
			p.t.Fatalf("%s: it is told %+v instead", what, d.InForce)
		}
	}
	p.t.Fatalf("%s: it is not told", what)
	return nil
}

// Without a lease of its keeper a lighthouse tells pilots who is there and nothing that was ordered, but to one that asks for the last
// that is known; with one it tells what is in force, and as it ends, that it has none.
func TestWhatWasOrderedIsToldUnderALeaseAlone(t *testing.T) {
	k, s := besideStandin(t)
	told := func(settled bool) func(*lamp.Down) bool {
		return func(d *lamp.Down) bool {
			f := d.InForce
			return f != nil && f.Settled == settled && d.Sighted == settled && f.Version == 3 && string(f.Config) == "r3"
		}
	}
	blind := func(d *lamp.Down) bool { return d.Whole && !d.Sighted && d.InForce == nil }
	k.word(&keeper.InForce{Config: []byte("r3"), Version: 3, Settled: true, Epoch: 2})
	first := meet(t, s, "first")
	first.hear("the keeper has no lease", blind)
	first.last = true
	first.say()
	first.hear("it asks for the last that is known", told(false))
	k.lease.Store(int64(time.Minute))
	first.hear("the keeper has a lease", told(true))

	meet(t, s, "second").hear("a new pilot, under a lease", told(true))
	k.lease.Store(int64(600 * time.Millisecond))
	first.hear("the lease is short", func(d *lamp.Down) bool { return d.Sighted })
	k.lease.Store(-1)
	first.hear("the keeper answers no beat any more", func(d *lamp.Down) bool { return !d.Sighted })
	meet(t, s, "third").hear("a new pilot, as the lease has ended", blind)

	k.word(&keeper.InForce{Config: []byte("r2"), Version: 2, Settled: true, Epoch: 1})
	k.lease.Store(int64(time.Minute))
	for n := k.answered.Load(); k.answered.Load() < n+2; {
		first.hear("the keeper speaks of an older epoch", func(d *lamp.Down) bool { return !d.Sighted && d.InForce == nil })
	}
	meet(t, s, "fourth").hear("the keeper speaks of an older epoch", blind)
	k.word(&keeper.InForce{Config: []byte("r2"), Version: 2, Settled: true, Epoch: 2})
	meet(t, s, "fifth").hear("the keeper has gone back to an older version", told(true))
}

// Where the settings leave less time for a configuration to be everywhere, a lighthouse asks its keeper that much more often: in calm it has
// contact all the while, with leases that are as short.
func TestContactLastsWithShortLeases(t *testing.T) {
	k, s := besideStandinWithin(t, berth.Bounds{Converge: 700 * time.Millisecond})
	k.lease.Store(int64(350 * time.Millisecond)) // what is left of a keeper's at least
	k.word(&keeper.InForce{Config: []byte("r3"), Version: 3, Settled: true, Epoch: 2})
	p := meet(t, s, "first")
	p.hear("the keeper has a lease", func(d *lamp.Down) bool { return d.InForce != nil })
	for n := k.answered.Load(); k.answered.Load() < n+10; {
		p.hear("calm", func(d *lamp.Down) bool {
			if !d.Sighted {
				t.Error("the lighthouse has lost contact")
			}
			return true
		})
	}
}

// A configuration goes once over one connection, however often a pilot asks while it is on its way; again under another epoch, as a pilot
// refuses what is said under one that is over; and over another connection.
func TestAConfigurationGoesOnceOverAConnection(t *testing.T) {
	k, s := besideStandin(t)
	k.lease.Store(int64(time.Minute))
	k.word(&keeper.InForce{Config: []byte("r3"), Version: 3, Settled: true, Epoch: 2})
	whole := func(version, epoch uint64) func(*lamp.Down) bool {
		return func(d *lamp.Down) bool {
			f := d.InForce
			return f != nil && f.Version == version && f.Epoch == epoch && len(f.Config) > 0
		}
	}
	p := meet(t, s, "first")
	p.hear("its first picture", whole(3, 2))
	for range 3 {
		p.want = true
		p.say()
	}
	p.hear("nothing comes for a while", func(d *lamp.Down) bool { return d.Number == 0 })
	k.word(&keeper.InForce{Config: []byte("r3"), Version: 3, Settled: true, Epoch: 3})
	p.hear("another epoch", whole(3, 3))
	k.word(&keeper.InForce{Config: []byte("r4"), Version: 4, Settled: true, Epoch: 3})
	p.hear("another version", whole(4, 3))
	meet(t, s, "first").hear("another connection", whole(4, 3))
}

// What was ordered and waits to be sent when the lease ends is not sent, and remembered to be told again; the rest of the word is sent.
func TestWhatWaitsInAQueueIsLookedAtAgain(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	ends := make(chan *signal.Conn, 1)
	go func() {
		raw, err := ln.Accept()
		if err != nil {
			t.Error(err)
		}
		conn, err := signal.New(t.Context(), raw, 10*time.Second)
		if err != nil {
			t.Error(err)
		}
		ends <- conn
	}()
	pilots, err := signal.Dial(t.Context(), ln.Addr().String(), 10*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	conn := <-ends
	var l Lighthouse
	k := &link{out: signal.NewOutbox(conn, queue)}
	until := time.Now().Add(time.Hour)
	l.speaks.Store(&until)
	l.push(k, lamp.Down{InForce: &keeper.InForce{Version: 3, Settled: true}, Sighted: true, Gone: []string{"n"}})
	l.push(k, lamp.Down{InForce: &keeper.InForce{Version: 3}}) // to one that asked for the last that is known
	l.speaks.Store(&time.Time{})
	var running sync.WaitGroup
	running.Go(k.out.Run)
	for _, want := range []uint64{0, 3} {
		var d lamp.Down
		if err := pilots.Receive(&d); err != nil {
			t.Fatal(err)
		}
		if version := uint64(0); d.InForce != nil {
			version = d.InForce.Version
			if version != want || d.InForce.Settled {
				t.Errorf("it is told %+v without a lease", d.InForce)
			}
		} else if want != 0 || d.Sighted || len(d.Gone) != 1 {
			t.Errorf("it is told %+v", d)
		}
	}
	if !k.missed.Load() {
		t.Error("it is forgotten that the pilot was not told")
	}
	conn.Close()
	pilots.Close()
	running.Wait()
}
