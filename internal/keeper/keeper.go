// Package keeper is the store of configuration: one process on each core machine, with the disk. What decides is pure: registers by
// agreement (package tide) and the duty of changing the set of disks (package helm). A keeper carries their messages, and has on disk
// what they promise before anything is said of it.
package keeper

import (
	"cmp"
	"context"
	"net"
	"slices"
	"strings"
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
	pulse      = 300 * time.Millisecond // between two ticks where nothing is due before
	firstPause = 25 * time.Millisecond  // before a peer is tried again
	silence    = 2200 * time.Millisecond
	resignTime = 300 * time.Millisecond // for a successor to be agreed on at the end
	peerQueue  = 256                    // asks to one peer that it has not taken
	usualAck   = 4 * time.Second        // where the settings name no time for an acknowledgement
	usualLease = 2 * time.Second        // where they name none for a configuration to be in force everywhere
	leavePart  = 0.25                   // of the time to end in, for another disk to take the place of this one
	orderPart  = 0.75                   // of the time for an acknowledgement, for one order: the caller asks elsewhere then
)

// Keeper is one running store. Its state belongs to the goroutine of loop.
type Keeper struct {
	s    *berth.Settings
	log  zerolog.Logger
	disk disk
	loop *shore.Loop

	replica  *tide.Replica
	duty     *helm.Machine
	mute     bool // the disk failed: nothing is said before everything is on it
	peers    map[string]*signal.Outbox
	lastID   uint64
	orders   map[uint64]func(tide.Result)
	boats    map[*signal.Outbox]bool // lighthouses
	lastTold *InForce
	known    bool // once there was a lease: what is chosen is known since
	told     told // as last logged
	wake     *time.Timer
	stood    shore.Standstill
	grace    time.Duration                     // to end in, by the settings of the start
	pace     func(time.Duration) time.Duration // a time of the own talk, by the bounds of the start
	running  sync.WaitGroup
	listener net.Listener
	ctx      context.Context
}

// told is what was logged last.
type told struct {
	epoch uint64
	state helm.State
	lease bool
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
		s: s, grace: s.Bounds.Grace, pace: s.Bounds.Paced, log: log, disk: disk{book, map[string]tide.Ballot{}}, loop: shore.NewLoop(256), peers: map[string]*signal.Outbox{},
		orders: map[uint64]func(tide.Result){}, boats: map[*signal.Outbox]bool{},
	}
	registers, set, me, err := k.recall(spoilt != nil)
	if err != nil {
		book.Close()
		return nil, err
	}
	order := time.Duration(orderPart * float64(cmp.Or(s.Bounds.Ack, usualAck)))
	k.replica = tide.NewReplica(me, tide.Settings{Lease: cmp.Or(s.Bounds.Converge, usualLease), Order: order, Pace: s.Bounds.Pace()}, set, registers)
	k.duty = helm.New(time.Now(), k.replica, s.LossMachines)
	if k.listener, err = net.Listen("tcp", Address(s.IP, s)); err != nil {
		book.Close()
		return nil, Start.Wrap(err, "listen")
	}
	return k, nil
}

// Run serves until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	inner, stop := context.WithCancel(context.Background())
	k.ctx = inner
	k.running.Go(func() { signal.Serve(inner, k.listener, func(raw net.Conn) { k.running.Go(func() { k.serve(raw) }) }) })
	k.running.Go(func() { k.loop.Run(inner, k.pace(pulse), k.tick) })
	k.loop.Post(func() { k.meetSeeds(); k.tick() })
	<-ctx.Done()
	k.log.Info().Msg("ending")
	k.resign()
	k.leave()
	stop()
	k.listener.Close()
	k.running.Wait()
	return k.disk.book.Close()
}

// resign names a successor, if this process has the duty, and waits a little for it to be agreed on.
func (k *Keeper) resign() {
	agreed := make(chan struct{})
	k.loop.Post(func() {
		out, heir := k.duty.Resign(time.Now())
		if heir == "" {
			close(agreed)
			return
		}
		k.log.Info().Str("successor", heir).Msg("duty handed on")
		k.act(out)
		k.afterNews(func() bool { set := k.replica.Set(); return set.Holder == heir }, agreed)
	})
	select {
	case <-agreed:
	case <-time.After(resignTime):
	}
}

// leave says that this process is about to end, and goes on answering until another disk has taken the place of its own, if one waits.
func (k *Keeper) leave() {
	spared := make(chan struct{})
	k.loop.Post(func() {
		k.act(k.replica.Leave(time.Now()))
		k.afterNews(func() bool { return k.replica.Spared(time.Now()) }, spared)
	})
	select {
	case <-spared:
	case <-time.After(time.Duration(leavePart * float64(k.grace))):
	}
	set, ok := shore.Ask(k.loop, k.replica.Set)
	k.log.Info().Bool("replaced", ok && !set.Has(k.replica.Me().Disk)).Msg("leaving")
}

// afterNews closes a channel once something is so.
func (k *Keeper) afterNews(so func() bool, done chan struct{}) {
	if so() {
		close(done)
		return
	}
	time.AfterFunc(firstPause, func() { k.loop.Post(func() { k.afterNews(so, done) }) })
}

// Changed takes settings that were read again.
func (k *Keeper) Changed(s *berth.Settings) {
	k.loop.Post(func() { k.s = s; k.meetSeeds() })
}

// meetSeeds gets to know the keepers beside the machines that the settings name.
func (k *Keeper) meetSeeds() {
	for _, ip := range k.s.SeedIPs() {
		k.replica.Meet(Address(ip, k.s))
	}
	k.meet()
}

// meet holds a connection to each keeper that is known.
func (k *Keeper) meet() {
	for _, addr := range k.replica.Peers() {
		if _, known := k.peers[addr]; !known {
			k.peers[addr] = nil
			k.running.Go(func() { k.follow(addr) })
		}
	}
}

// follow holds a connection to a peer, over which it is asked.
func (k *Keeper) follow(addr string) {
	pause := signal.Pause{First: firstPause, Most: k.pace(pulse)}
	signal.Hold(k.ctx, addr, k.pace(silence), pause, &Hello{Keeper: true}, func(conn *signal.Conn) {
		box := signal.NewOutbox(conn, peerQueue)
		k.running.Go(box.Run)
		k.loop.Post(func() {
			k.peers[addr] = box
			me := k.replica.Me()
			box.Say(&me)
			k.act(k.replica.Renewed(time.Now(), addr))
		})
		defer k.loop.Post(func() {
			if k.peers[addr] == box {
				k.peers[addr] = nil
			}
		})
		var who tide.Member // it says first who it is
		if conn.Receive(&who) != nil {
			return
		}
		for {
			var t tide.Tell
			if conn.Receive(&t) != nil {
				return
			}
			t.From = who
			k.loop.Post(func() {
				if !k.mute {
					k.act(k.replica.Told(time.Now(), &t))
				}
			})
		}
	})
}

// tick does what is due.
func (k *Keeper) tick() {
	k.stood.Look(time.Now())
	if k.mute {
		k.speakAgain()
		return
	}
	k.act(k.duty.Tick(time.Now()))
	k.tell()
}

// act has what follows from an input on disk, and then done.
func (k *Keeper) act(out tide.Out) {
	if !k.keep(out) {
		return
	}
	k.do(out)
}

// keep has on disk what must be there before anything else of it is done; false if the disk did not take it.
func (k *Keeper) keep(out tide.Out) bool {
	if k.mute {
		return false
	}
	if err := k.disk.keep(out.Keep, out.Set); err != nil {
		k.log.Error().Err(err).Msg("not kept")
		k.mute = true
		for id, then := range k.orders {
			delete(k.orders, id)
			then(tide.Result{Outcome: tide.Unclear})
		}
		k.tell()
		return false
	}
	return true
}

// speakAgain has everything on disk, after a failure, and ends the silence.
func (k *Keeper) speakAgain() {
	set := k.replica.Set()
	clear(k.disk.values)
	if err := k.disk.keep(k.replica.Acceptor().All(), &set); err != nil {
		return
	}
	k.mute = false
	k.log.Info().Msg("the disk takes writes again")
}

// do does what follows from an input, once what it needs is on disk.
func (k *Keeper) do(out tide.Out) {
	k.meet()
	for i := range out.Asks {
		if box := k.peers[out.Asks[i].To]; box != nil {
			a := out.Asks[i]
			a.From, a.To = tide.Member{}, ""
			box.Say(&a)
		}
	}
	for _, r := range out.Results {
		if then := k.orders[r.Order]; then != nil {
			delete(k.orders, r.Order)
			then(r)
		}
	}
	if out.News {
		k.tell()
	}
	k.report()
	k.wakeFor()
}

// wakeFor has a tick come when something is due before the next one.
func (k *Keeper) wakeFor() {
	if k.wake != nil {
		k.wake.Stop()
	}
	now := time.Now()
	if wait := k.duty.Due(now).Sub(now); wait < k.pace(pulse) {
		k.wake = time.AfterFunc(max(wait, time.Millisecond), func() { k.loop.Post(k.tick) })
	}
}

// report logs what has changed of the duty, the set and the lease.
func (k *Keeper) report() {
	set, now := k.replica.Set(), told{state: k.duty.State(), lease: k.replica.Lease(time.Now()) > 0}
	if now.epoch = set.Epoch; now == k.told {
		return
	}
	k.log.Info().Uint64("epoch", set.Epoch).Int("disks", len(set.Members)).Int("next", len(set.Next)).Str("holder", set.Holder).
		Stringer("duty", now.state).Bool("lease", now.lease).Msg("set of disks in force")
	k.told = now
}

// Hello is the first message of a connection to a keeper.
type Hello struct {
	Keeper     bool   // another keeper: it says next who it is, and so does the one that is called
	Lighthouse string // or the node of a lighthouse
	Status     bool   // or one that only asks how things are: a Status is the answer
}

// serve answers one connection.
func (k *Keeper) serve(raw net.Conn) {
	conn, err := signal.New(k.ctx, raw, k.pace(silence))
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
	if !h.Keeper {
		k.serveBoat(conn)
		return
	}
	var who tide.Member
	if conn.Receive(&who) != nil {
		return
	}
	me := k.replica.Me()
	if conn.Send(&me) != nil {
		return
	}
	for {
		var a tide.Ask
		if err := conn.Receive(&a); err != nil {
			if errorx.IsOfType(err, signal.Foreign) {
				k.log.Warn().Err(err).Str("peer", conn.Peer()).Msg("peer cannot be understood")
			}
			return
		}
		a.From = who
		t, ok := shore.Ask(k.loop, func() *tide.Tell { return k.answer(&a) })
		if !ok {
			return
		}
		if t != nil && conn.Send(t) != nil {
			return
		}
	}
}

// answer answers an ask; nil for silence.
func (k *Keeper) answer(a *tide.Ask) *tide.Tell {
	if k.mute {
		return nil
	}
	t, out := k.replica.Answer(time.Now(), a)
	if !k.keep(out) {
		return nil
	}
	k.do(out)
	t.From = tide.Member{}
	return &t
}

// core are the keepers known that answer, this one among them.
func (k *Keeper) core() []tide.Member {
	out := []tide.Member{k.replica.Me()}
	now := time.Now()
	for _, o := range k.replica.Others() {
		if o.Alive(now) {
			out = append(out, o.Member)
		}
	}
	slices.SortFunc(out, func(a, b tide.Member) int { return strings.Compare(a.Addr, b.Addr) })
	return out
}
