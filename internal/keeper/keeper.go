// Package keeper is the store of configuration: one process on each core machine, with the disk. What operators order is
// written at one disk, offered to all, and acknowledged once a majority of the disks that count holds it (package tide).
package keeper

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"

	"whinknot/internal/berth"
	"whinknot/internal/helm"
	"whinknot/internal/logbook"
	"whinknot/internal/shore"
	"whinknot/internal/signal"
	"whinknot/internal/tide"
)

var space = errorx.NewNamespace("keeper")

// Start is the type of errors that keep a keeper from starting.
var Start = space.NewType("start")

const (
	pulse        = 300 * time.Millisecond  // between two looks of the duty's holder at each other keeper
	wholeWait    = 3 * time.Second         // from its start on, for which a keeper tells of nothing before all that it holds is settled
	firstPause   = 25 * time.Millisecond   // before a peer is tried again
	lookTicks    = 3                       // pulses between two looks of any other: what is settled is told at once
	silence      = 2200 * time.Millisecond // after which a connection counts as dead
	askTime      = 800 * time.Millisecond  // for one round of asking
	orderTime    = 3 * time.Second         // for an order, over rounds
	roundPause   = 30 * time.Millisecond   // between two rounds
	configKey    = "config"
	evacPrefix   = "evacuation/"
	removalsKey  = "removals"
	mostRemovals = 1 << 20 // bytes
	diskRecord   = "disk"
	setRecord    = "set"
)

// Keeper is one running store. Its state belongs to the goroutine of loop.
type Keeper struct {
	s    *berth.Settings
	log  zerolog.Logger
	book *logbook.Book
	loop *shore.Loop

	me       tide.Member
	set      tide.Set
	copy     *tide.Copy
	settled  map[string]tide.Stamp   // by key, the newest version that a majority is known to hold
	settles  uint64                  // counts changes of that
	peers    map[string]*peer        // by address
	boats    map[*signal.Outbox]bool // lighthouses
	lastTold *InForce
	duty     *helm.Machine
	changing bool // the holder changes the set
	ticks    int
	begun    time.Time
	running  sync.WaitGroup
	listener net.Listener
	ctx      context.Context
}

// peer is another keeper, as this one sees it.
type peer struct {
	addr   string
	member tide.Member
	conn   *signal.Conn
	heard  time.Time
	met    time.Time // first heard of, or not reached since
	asks   map[uint64]func(*Tell)
	lastID uint64
	set    uint64 // number of the set that it goes by
	knows  bool   // it was told who asks, on this connection
	told   uint64 // count of what was settled, as it was told
	same   uint64 // digest of all that is held, when it was last found to hold the same
	turn   int    // of the ticks between two looks, that in which it is looked at
}

// Address is where the keeper of a machine listens, for its own kind and for lighthouses.
func Address(ip string, s *berth.Settings) string {
	return s.At(ip, shore.KeeperPort)
}

// New opens the disk and the port.
func New(s *berth.Settings, log zerolog.Logger) (*Keeper, error) {
	if s.StateDir == "" {
		return nil, Start.New("%s: state_dir: is missing; a keeper needs a disk", s.Path)
	}
	book, spoilt, err := logbook.Open(s.StateDir)
	if err != nil {
		return nil, Start.Wrap(err, "logbook")
	}
	if spoilt != nil {
		log.Error().Err(spoilt).Msg("disk counts as lost")
	}
	k := &Keeper{
		s: s, log: log, book: book, loop: shore.NewLoop(256), begun: time.Now(), settled: map[string]tide.Stamp{},
		peers: map[string]*peer{}, boats: map[*signal.Outbox]bool{},
	}
	if err := k.recall(); err != nil {
		book.Close()
		return nil, err
	}
	if k.listener, err = net.Listen("tcp", Address(s.IP, s)); err != nil {
		book.Close()
		return nil, Start.Wrap(err, "listen")
	}
	return k, nil
}

// recall reads what the disk holds, and gives an empty one its name.
func (k *Keeper) recall() error {
	held, err := k.book.Held()
	if err != nil {
		return Start.Wrap(err, "entries")
	}
	k.copy = tide.NewCopy(held)
	k.me = tide.Member{Node: k.s.Node, Addr: Address(k.s.IP, k.s), Zone: k.s.Zone, Counts: k.s.InQuorum}
	known, err := k.book.Get(diskRecord, &k.me.Disk)
	if err == nil {
		_, err = k.book.Get(setRecord, &k.set)
	}
	if err != nil {
		return Start.Wrap(err, "records")
	}
	if !known {
		k.me.Disk = fmt.Sprintf("%s#%016x", k.s.IP, rand.Uint64())
		if k.s.Bootstrap {
			k.found()
		}
		if err := k.book.Put(diskRecord, k.me.Disk); err != nil {
			return Start.Wrap(err, "name of the disk")
		}
		if k.set.Number > 0 {
			if err := k.book.Put(setRecord, k.set); err != nil {
				return Start.Wrap(err, "set of disks")
			}
		}
	}
	if err := k.recallDuty(); err != nil {
		return Start.Wrap(err, "duty")
	}
	k.log.Info().Str("disk", k.me.Disk).Bool("empty", !known).Uint64("set", k.set.Number).Int("entries", len(held)).Msg("disk opened")
	return nil
}

// found makes the first set: the machines that all processes are told of at the very first start. Their disks have names
// that all know then, and that no disk is ever given again.
func (k *Keeper) found() {
	first := tide.Set{Number: 1}
	for _, ip := range slices.Sorted(slices.Values(k.s.SeedIPs())) {
		if ip == k.s.IP {
			k.me.Disk = ip + "#first"
		}
		first.Members = append(first.Members, tide.Member{Disk: ip + "#first", Addr: Address(ip, k.s)})
	}
	k.set = first
}

// Run serves until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	inner, stop := context.WithCancel(context.Background())
	k.ctx = inner
	k.running.Go(func() { signal.Serve(inner, k.listener, func(raw net.Conn) { k.running.Go(func() { k.serve(raw) }) }) })
	k.running.Go(func() { k.loop.Run(inner, pulse, k.tick) })
	k.loop.Post(func() { k.meetSeeds(); k.tick() })
	<-ctx.Done()
	k.log.Info().Msg("ending")
	k.resign()
	stop()
	k.listener.Close()
	k.running.Wait()
	return k.book.Close()
}

// Changed takes settings that were read again.
func (k *Keeper) Changed(s *berth.Settings) {
	k.loop.Post(func() { k.s = s; k.meetSeeds() })
}

// meetSeeds gets to know the keepers beside the machines that the settings name, and those of the set.
func (k *Keeper) meetSeeds() {
	for _, ip := range k.s.SeedIPs() {
		k.meet(Address(ip, k.s))
	}
	for _, m := range k.set.Members {
		k.meet(m.Addr)
	}
}

// meet begins to know a keeper.
func (k *Keeper) meet(addr string) {
	if addr == "" || addr == k.me.Addr || k.peers[addr] != nil {
		return
	}
	p := &peer{addr: addr, asks: map[uint64]func(*Tell){}, met: time.Now(), turn: len(k.peers) % lookTicks}
	k.peers[addr] = p
	k.running.Go(func() { k.follow(p) })
}

// follow holds a connection to a peer.
func (k *Keeper) follow(p *peer) {
	signal.Hold(k.ctx, p.addr, silence, signal.Pause{First: firstPause, Most: pulse}, &Hello{Keeper: &k.me}, func(conn *signal.Conn) {
		k.loop.Post(func() { p.conn, p.knows, p.told, p.set, p.same = conn, false, 0, 0, 0; k.look(p) })
		defer k.loop.Post(func() { k.lost(p, conn) })
		for {
			var t Tell
			if conn.Receive(&t) != nil {
				return
			}
			k.loop.Post(func() { k.told(p, &t) })
		}
	})
}

// lost notes that a connection ended: what was asked over it has no answer.
func (k *Keeper) lost(p *peer, conn *signal.Conn) {
	if p.conn != conn {
		return
	}
	p.conn = nil
	asks := p.asks
	p.asks = map[uint64]func(*Tell){}
	for _, id := range slices.Sorted(maps.Keys(asks)) {
		asks[id](nil)
	}
}

// ask asks a peer; then gets the answer, or nil for none.
func (k *Keeper) ask(p *peer, a Ask, then func(*Tell)) {
	if p.conn == nil {
		then(nil)
		return
	}
	p.lastID++
	a.ID, a.Set = p.lastID, k.set
	if !p.knows {
		a.From = k.me
	}
	if p.set >= k.set.Number {
		a.Set = tide.Set{Number: k.set.Number}
	}
	if p.told != k.settles {
		a.Settled, p.told = k.known(), k.settles
	}
	id, conn := a.ID, p.conn
	p.asks[id] = then
	k.running.Go(func() { conn.Send(&a) })
	time.AfterFunc(askTime, func() {
		k.loop.Post(func() {
			if f := p.asks[id]; f != nil {
				delete(p.asks, id)
				f(nil)
			}
		})
	})
}

// told hears the answer to an ask.
func (k *Keeper) told(p *peer, t *Tell) {
	p.heard, p.set = time.Now(), t.Set.Number
	p.met = p.heard
	if t.From.Addr != "" {
		p.member, p.knows = t.From, true
	}
	t.From = p.member
	k.adopt(&t.Set)
	if f := p.asks[t.ID]; f != nil {
		delete(p.asks, t.ID)
		f(t)
	}
}

// alive tells whether a peer answered just now.
func (p *peer) alive() bool {
	return p.conn != nil && time.Since(p.heard) < (lookTicks+1)*pulse+askTime
}

// adopt goes by a set that follows the one gone by so far.
func (k *Keeper) adopt(s *tide.Set) {
	if s.Number <= k.set.Number || len(s.Members) == 0 {
		return
	}
	if err := k.book.Put(setRecord, *s); err != nil {
		k.log.Error().Err(err).Msg("set not kept")
		return
	}
	k.set = *s
	k.log.Info().Uint64("set", s.Number).Int("disks", len(s.Members)).Msg("set of disks in force")
	k.meetSeeds()
}

// tick looks at every peer, and does what is due.
func (k *Keeper) tick() {
	k.ticks++
	for _, p := range k.peers {
		if k.duty.State() == helm.Holding || k.ticks%lookTicks == p.turn {
			k.look(p)
		}
	}
	k.dutyTick()
	k.tell()
}

// look compares with a peer, and mends from it what is newer there.
func (k *Keeper) look(p *peer) {
	digest := k.copy.Digest()
	k.ask(p, Ask{Digest: digest, Duty: k.dutySign()}, func(t *Tell) {
		switch {
		case t == nil || t.Behind:
		case t.Differs:
			k.compare(p)
		default:
			p.same = digest
			k.agree()
		}
	})
}

// agree settles everything that is held, if a majority of the disks that count holds just the same: so a core that was started anew,
// all of it perhaps, knows what is in force without an order.
func (k *Keeper) agree() {
	digest := k.copy.Digest()
	same := map[string]bool{k.me.Disk: true}
	for _, p := range k.peers {
		if p.conn != nil && p.same == digest {
			same[p.member.Disk] = true
		}
	}
	if !k.set.Reached(same) {
		return
	}
	k.settle(k.copy.All()...)
}

// compare has a peer tell what it holds in the ranges that differ, and tells it in turn.
func (k *Keeper) compare(p *peer) {
	d := k.copy.Digests()
	k.ask(p, Ask{Digests: &d}, func(t *Tell) {
		if t == nil {
			return
		}
		k.mend(t.Entries)
		if len(t.Ranges) > 0 {
			if mine := k.copy.Within(t.Ranges); len(mine) > 0 {
				k.ask(p, Ask{Offer: mine}, func(*Tell) {})
			}
		}
	})
}

// known is what a majority is known to hold.
func (k *Keeper) known() []Held {
	var out []Held
	for _, key := range slices.Sorted(maps.Keys(k.settled)) {
		out = append(out, Held{key, k.settled[key]})
	}
	return out
}

// settle notes that a majority holds some versions, and tells lighthouses of all of them together.
func (k *Keeper) settle(held ...tide.Entry) {
	changed := false
	for _, e := range held {
		if old, ok := k.settled[e.Key]; !ok || e.Stamp.Compare(old) > 0 {
			k.settled[e.Key], changed = e.Stamp, true
		}
	}
	if changed {
		k.settles++
		k.tell()
	}
}

// mend takes what is newer than what is held, on disk first.
func (k *Keeper) mend(entries []tide.Entry) error {
	var newer []tide.Entry
	for _, e := range entries {
		if k.copy.Newer(&e) {
			newer = append(newer, e)
		}
	}
	if len(newer) == 0 {
		return nil
	}
	if err := k.book.Entries(newer...); err != nil {
		k.log.Error().Err(err).Msg("not kept")
		return err
	}
	for _, e := range newer {
		k.copy.Put(e)
	}
	k.tell()
	return nil
}

// Hello is the first message of a connection to a keeper.
type Hello struct {
	Keeper     *tide.Member // of another keeper
	Lighthouse string       // or the node of a lighthouse
	Status     bool         // or one that only asks how things are: a Status is the answer
}

// serve answers one connection.
func (k *Keeper) serve(raw net.Conn) {
	conn, err := signal.New(k.ctx, raw, silence)
	if err != nil {
		return
	}
	defer conn.Close()
	var h Hello
	if err := conn.Receive(&h); err != nil {
		return
	}
	if h.Status {
		if s, ok := shore.Ask(k.loop, k.status); ok {
			conn.Send(s)
		}
		return
	}
	if h.Keeper == nil {
		k.serveBoat(conn)
		return
	}
	k.loop.Post(func() { k.meet(h.Keeper.Addr) })
	for {
		var a Ask
		if err := conn.Receive(&a); err != nil {
			if errorx.IsOfType(err, signal.Foreign) {
				k.log.Warn().Err(err).Str("peer", conn.Peer()).Msg("peer cannot be understood")
			}
			return
		}
		t, ok := shore.Ask(k.loop, func() *Tell { return k.answer(&a) })
		if !ok || conn.Send(t) != nil {
			return
		}
	}
}

// answer answers an ask.
func (k *Keeper) answer(a *Ask) *Tell {
	k.adopt(&a.Set)
	t := &Tell{ID: a.ID, Behind: a.Set.Number < k.set.Number}
	t.Set = tide.Set{Number: k.set.Number}
	if t.Behind {
		t.Set = k.set
	}
	if a.From.Addr != "" {
		t.From = k.me
	}
	t.Differs = a.Digest != 0 && a.Digest != k.copy.Digest()
	var settled []tide.Entry
	for _, h := range a.Settled {
		if e, ok := k.copy.Get(h.Key); ok && e.Stamp.Compare(h.Stamp) == 0 {
			settled = append(settled, e)
		}
	}
	k.settle(settled...)
	if len(a.Offer) > 0 {
		t.Stored = k.mend(a.Offer) == nil
		for _, e := range a.Offer {
			held, ok := k.copy.Get(e.Key)
			if !ok || !held.Same(&e) {
				t.Stored = false
			}
			if ok && held.Stamp.Compare(e.Stamp) >= 0 && !held.Same(&e) {
				t.Entries = append(t.Entries, held)
			}
		}
	}
	for _, key := range a.Collect {
		if e, ok := k.copy.Get(key); ok {
			t.Entries = append(t.Entries, e)
		}
	}
	if a.All {
		t.Entries = k.copy.All()
	}
	if a.Digests != nil {
		t.Ranges = tide.Differing(*a.Digests, k.copy.Digests())
		t.Entries = append(t.Entries, k.copy.Within(t.Ranges)...)
	}
	if a.Duty != nil {
		t.Duty = k.dutyAnswer(a.Duty)
	}
	return t
}
