package capacity

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"whinknot/internal/beacon"
	"whinknot/internal/lamp"
	"whinknot/internal/signal"
)

const (
	links      = 3                       // lighthouses that a pilot is connected to, as internal/pilot has it
	wordEvery  = 750 * time.Millisecond  // between two words to each where there is no news: as a real pilot's, 0.8 s by looks of 0.25 s
	silence    = 2200 * time.Millisecond // as a real pilot's
	firstPause = 25 * time.Millisecond
	mostPause  = 250 * time.Millisecond
	keep       = 5 * time.Second // of a node that nobody names any more
	mail       = 64              // words to one lighthouse that it has not taken
)

// hollows are pilots without a data path, many in one process: each speaks the real words to real lighthouses over connections of
// its own.
type hollows struct {
	core    *core
	pilots  []*hollow
	ctx     context.Context
	stop    context.CancelFunc
	running sync.WaitGroup

	read, written         atomic.Int64 // bytes
	heard, said           atomic.Int64 // messages
	dials                 atomic.Int64
	wholes                atomic.Int64 // whole pictures that have come
	wholeBytes, wholeMost atomic.Int64
	watch                 atomic.Pointer[expected]
}

// expected is something that all pilots are to hear of.
type expected struct {
	node   string // whose sheet
	number uint64
	config uint64 // or a version of the configuration

	mu    sync.Mutex
	at    map[string]time.Time // by pilot
	bytes int64                // of the messages that brought it
}

func (w *expected) note(pilot string, bytes int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.at[pilot].IsZero() {
		w.at[pilot] = time.Now()
		w.bytes += bytes
	}
}

func (w *expected) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.at)
}

// delays are the times from a moment on, in milliseconds, sorted.
func (w *expected) delays(from time.Time) (out []float64) {
	for _, at := range w.at {
		out = append(out, at.Sub(from).Seconds()*1000)
	}
	slices.Sort(out)
	return out
}

// hollow is one such pilot.
type hollow struct {
	f       *hollows
	mu      sync.Mutex
	sheet   beacon.Sheet
	room    *lamp.Chartroom // nil for one that only counts what it hears
	version atomic.Uint64
	links   [links]*held
}

// held is a connection.
type held struct {
	conn *signal.Conn
	out  *signal.Outbox
	ack  uint64
	main bool
}

// newHollows makes so many, each with a life of an endpoint; rooms of them hold all that they hear in a real chart room, the
// others only count it.
func newHollows(ctx context.Context, c *core, count, rooms int) *hollows {
	f := &hollows{core: c}
	f.ctx, f.stop = context.WithCancel(ctx)
	for i := range count {
		ip := fmt.Sprintf("127.%d.%d.%d", c.net, 100+i/250, 1+i%250) // nothing listens there
		p := &hollow{f: f, sheet: beacon.Sheet{
			Node: fmt.Sprint("side-", i), Zone: fmt.Sprintf("zone-%d", i%3), Life: uint64(time.Now().UnixNano()), Number: 1,
			Inbound: fmt.Sprintf("%s:%d", ip, c.port-11), Talk: fmt.Sprintf("%s:%d", ip, c.port+1),
			Endpoint: &beacon.Endpoint{ID: fmt.Sprint("i-side-", i), Target: service(i % 20), State: beacon.Serving, Capacity: 9},
		}}
		if i < rooms {
			p.room = lamp.NewChartroom(time.Now(), lamp.Bounds{Keep: keep, Patience: keep})
		}
		f.pilots = append(f.pilots, p)
	}
	return f
}

// begin starts pilots, so many at once: the next ones once these have a picture and the configuration.
func (f *hollows) begin(ctx context.Context, wave int) error {
	for from := 0; from < len(f.pilots); from += wave {
		to := min(from+wave, len(f.pilots))
		for i := from; i < to; i++ {
			for n := range min(links, len(f.core.machines)) {
				addr := f.core.lighthouse(f.core.machines[(i+n)%len(f.core.machines)])
				f.running.Go(func() { f.pilots[i].follow(n, addr) })
			}
		}
		if err := within(ctx, spreadTime, "first pictures and the configuration", func() bool {
			return f.wholes.Load() >= int64(to) && f.agree(to, f.core.version)
		}); err != nil {
			return Failed.Wrap(err, "%d pilots: %d whole pictures, %d connections, %d bytes so far", to, f.wholes.Load(), f.dials.Load(), f.read.Load())
		}
	}
	return nil
}

// end closes all connections.
func (f *hollows) end() {
	f.stop()
	f.running.Wait()
}

// counted counts the bytes of a connection.
type counted struct {
	net.Conn
	f    *hollows
	read int64 // only the reader's
}

func (c *counted) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	c.read += int64(n)
	c.f.read.Add(int64(n))
	return n, err
}

func (c *counted) Write(b []byte) (n int, err error) {
	n, err = c.Conn.Write(b)
	c.f.written.Add(int64(n))
	return n, err
}

// follow holds the nth connection, the first of which is to the main lighthouse.
func (p *hollow) follow(n int, addr string) {
	f := p.f
	again := signal.Pause{First: firstPause, Most: mostPause}
	for f.ctx.Err() == nil {
		f.dials.Add(1)
		raw, err := (&net.Dialer{Timeout: 500 * time.Millisecond, KeepAlive: -1}).DialContext(f.ctx, "tcp", addr)
		if err == nil {
			count := &counted{Conn: raw, f: f}
			if conn, err := signal.New(f.ctx, count, silence); err == nil {
				again.Reset()
				p.use(n, addr, conn, count)
				conn.Close()
			} else {
				raw.Close()
			}
		}
		if pause(f.ctx, again.Next()) != nil {
			return
		}
	}
}

// use speaks over a connection until it ends.
func (p *hollow) use(n int, addr string, conn *signal.Conn, count *counted) {
	k := &held{conn: conn, out: signal.NewOutbox(conn, mail), main: n == 0}
	p.f.running.Go(k.out.Run)
	p.mu.Lock()
	p.links[n] = k
	sheet := p.sheet
	k.out.Say(&lamp.Hello{Pilot: sheet.Node})
	up := p.up(k)
	up.Sheet = &sheet
	p.say(k, up)
	p.mu.Unlock()
	done := make(chan struct{})
	p.f.running.Go(func() {
		tick := time.NewTicker(wordEvery)
		defer tick.Stop()
		for {
			select {
			case <-done:
				return
			case <-tick.C:
				p.mu.Lock()
				p.say(k, p.up(k))
				p.mu.Unlock()
			}
		}
	})
	for {
		var d lamp.Down
		before := count.read
		if conn.Receive(&d) != nil {
			break
		}
		p.hear(k, addr, &d, count.read-before)
	}
	close(done)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.links[n] = nil
	if p.room != nil {
		p.room.Lose(time.Now(), addr)
	}
}

func (p *hollow) up(k *held) *lamp.Up {
	return &lamp.Up{Ack: k.ack, Holds: p.version.Load(), Main: k.main}
}

func (p *hollow) say(k *held, up *lamp.Up) {
	if k.out.Say(up) {
		p.f.said.Add(1)
	}
}

// hear takes news, so many bytes of it, and acknowledges it.
func (p *hollow) hear(k *held, addr string, d *lamp.Down, bytes int64) {
	p.f.heard.Add(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.room != nil {
		p.room.Hear(time.Now(), addr, d)
	}
	if d.Whole {
		p.f.wholeBytes.Store(bytes)
		p.f.wholeMost.Store(max(bytes, p.f.wholeMost.Load()))
		p.f.wholes.Add(1)
	}
	w := p.f.watch.Load()
	if w != nil && w.node != "" && slices.ContainsFunc(d.Nodes, func(n beacon.Known) bool { return n.Node == w.node && n.Number >= w.number }) {
		w.note(p.sheet.Node, bytes)
	}
	named := uint64(0)
	if f := d.InForce; f != nil {
		named = f.Version
		if len(f.Config) > 0 && f.Version > p.version.Load() {
			p.version.Store(f.Version)
			if w != nil && w.config > 0 && f.Version >= w.config {
				w.note(p.sheet.Node, bytes)
			}
			for _, other := range p.links {
				if other != nil {
					p.say(other, p.up(other))
				}
			}
		}
	}
	if d.Number > 0 {
		k.ack = d.Number
		up := p.up(k)
		up.Want = k.main && named > p.version.Load()
		p.say(k, up)
	}
}

// change has a pilot's endpoint say something new, as it does when its state or its slots change.
func (p *hollow) change() *expected {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sheet.Number++
	e := *p.sheet.Endpoint
	e.Capacity = 9 + int(p.sheet.Number)%2
	p.sheet.Endpoint = &e
	w := &expected{node: p.sheet.Node, number: p.sheet.Number, at: map[string]time.Time{}}
	p.f.watch.Store(w)
	for _, k := range p.links {
		if k != nil {
			sheet := p.sheet
			up := p.up(k)
			up.Sheet = &sheet
			p.say(k, up)
		}
	}
	return w
}

// cut closes all connections at once, as where a zone returns.
func (f *hollows) cut() {
	for _, p := range f.pilots {
		p.mu.Lock()
		for _, k := range p.links {
			if k != nil {
				k.conn.Close()
			}
		}
		p.mu.Unlock()
	}
}

// agree tells whether so many pilots go by a version.
func (f *hollows) agree(count int, version uint64) bool {
	for _, p := range f.pilots[:count] {
		if p.version.Load() != version {
			return false
		}
	}
	return true
}
