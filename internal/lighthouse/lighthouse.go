// Package lighthouse is the registry: one process on each core machine. It holds connections to pilots, learns from them
// who is there, pushes numbered changes to them, and takes the outside calls for itself and for the keepers.
package lighthouse

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"

	"whinknot/internal/beacon"
	"whinknot/internal/berth"
	"whinknot/internal/keeper"
	"whinknot/internal/lamp"
	"whinknot/internal/orders"
	"whinknot/internal/shore"
	"whinknot/internal/signal"
)

var space = errorx.NewNamespace("lighthouse")

// Start is the type of errors that keep a lighthouse from starting.
var Start = space.NewType("start")

const (
	pulse      = 500 * time.Millisecond  // between two looks at what is due
	beat       = 800 * time.Millisecond  // between two words to each pilot and lighthouse where there is no news
	silence    = 2200 * time.Millisecond // after which a connection counts as dead
	firstPause = 25 * time.Millisecond   // before a peer is tried again
	vouchTicks = 2                       // pulses from one vouching for those pilots to the next that were heard meanwhile
	darkAfter  = 2500 * time.Millisecond // a pilot that nobody has heard of
	forget     = 30 * time.Second
	batch      = 10 * time.Millisecond  // changes of so long are pushed together
	ackWait    = 250 * time.Millisecond // an order waits so long at most for pilots to say that they go by it
	finishTime = 2 * time.Second        // for calls under way at the end
	queue      = 256                    // words to one peer that it has not taken
)

// Lighthouse is one running registry. Its state belongs to the goroutine of loop.
type Lighthouse struct {
	s    *berth.Settings
	log  zerolog.Logger
	loop *shore.Loop

	registry *beacon.Registry
	pilots   map[*link]bool
	sisters  map[string]*link    // by the address of their machine; nil while there is no connection
	core     map[string]*machine // by address
	store    *store
	contact  *lamp.Contact             // what its keeper has told, and until when it speaks for that
	speaks   atomic.Pointer[time.Time] // until when it may be handed out; outboxes ask it too
	changed  map[string]bool           // nodes to be pushed
	across   map[string]bool           // nodes to be told to other lighthouses
	pushing  bool
	ticks    int
	stood    shore.Standstill
	waits    []*wait
	tickets  tickets
	council  *council

	pace    func(time.Duration) time.Duration // a time of the own talk, by the bounds of the start
	running sync.WaitGroup
	inside  net.Listener
	outside net.Listener
	ctx     context.Context
}

// link is a connection to a pilot or to another lighthouse.
type link struct {
	out    *signal.Outbox
	node   string
	life   uint64
	pushed uint64 // number of the last change
	acked  uint64
	sent   time.Time // something was sent
	heard  time.Time // something came
	sight  bool      // as last told
	main   bool      // it is told who is there, and configurations are sent to it whole
	holds  uint64    // version that it goes by
	last   uint64    // version that it was told without a lease, as it asked
	whole  carried   // the configuration that was pushed to it last: over one connection it goes once
	// Something that was ordered was not sent, as the lease had ended when its turn came.
	missed atomic.Bool
}

// carried names a configuration as a lighthouse said it: a pilot refuses the word of an epoch that is over, and wants it again under the
// one in force.
type carried struct{ version, epoch uint64 }

// covers tells whether nothing is to be pushed of what is in force.
func (c carried) covers(f *keeper.InForce) bool { return c.version >= f.Version && c.epoch == f.Epoch }

// machine is one of the core.
type machine struct {
	zone string
	at   time.Time // it was reached, or named
}

// wait is an order that waits for pilots.
type wait struct {
	until map[*link]uint64
	holds uint64
	then  func()
}

// Address is where the lighthouse of a machine listens for pilots and for its own kind.
func Address(ip string, s *berth.Settings) string {
	return s.At(ip, shore.LighthousePort)
}

// New opens the ports.
func New(s *berth.Settings, log zerolog.Logger) (*Lighthouse, error) {
	if s.Control == "" {
		return nil, Start.New("%s: bind.control: is missing; a lighthouse takes the outside calls", s.Path)
	}
	l := &Lighthouse{
		s: s, pace: s.Bounds.Paced, log: log, loop: shore.NewLoop(512),
		registry: beacon.NewRegistry(beacon.Limits{Dark: s.Bounds.Paced(darkAfter), Forget: forget}),
		pilots:   map[*link]bool{}, sisters: map[string]*link{}, core: map[string]*machine{}, changed: map[string]bool{},
		across: map[string]bool{}, contact: lamp.NewContact(),
	}
	l.speaks.Store(&time.Time{})
	l.council = newCouncil(l)
	var err error
	if l.inside, err = net.Listen("tcp", Address(s.IP, s)); err != nil {
		return nil, Start.Wrap(err, "listen")
	}
	if l.outside, err = net.Listen("tcp", s.Control); err != nil {
		l.inside.Close()
		return nil, Start.Wrap(err, "listen")
	}
	return l, nil
}

// Run serves until ctx ends.
func (l *Lighthouse) Run(ctx context.Context) error {
	inner, stop := context.WithCancel(context.Background())
	defer l.running.Wait()
	defer stop()
	l.ctx = inner
	l.store = newStore(l)
	l.running.Go(func() { l.loop.Run(inner, l.pace(pulse), l.tick) })
	l.running.Go(func() { signal.Serve(inner, l.inside, func(raw net.Conn) { l.running.Go(func() { l.serve(raw) }) }) })
	l.running.Go(l.store.follow)
	l.loop.Post(l.meetSeeds)
	server := &http.Server{Handler: orders.NewHandler(l.run)}
	err := orders.Serve(ctx, server, func() error { return server.Serve(l.outside) }, finishTime)
	l.log.Info().Msg("ending")
	stop()
	l.inside.Close()
	if err != nil && ctx.Err() == nil {
		return Start.Wrap(err, "serve")
	}
	return nil
}

// Changed takes settings that were read again.
func (l *Lighthouse) Changed(s *berth.Settings) {
	l.loop.Post(func() { l.s = s; l.meetSeeds() })
}

func (l *Lighthouse) meetSeeds() {
	for _, ip := range l.s.SeedIPs() {
		l.meet(ip, "")
	}
}

// meet gets to know a machine of the core, and holds a connection to its lighthouse from now on.
func (l *Lighthouse) meet(ip, zone string) {
	if ip == l.s.IP || ip == "" {
		return
	}
	if m := l.core[ip]; m != nil {
		m.zone = cmp.Or(zone, m.zone)
		return
	}
	l.sisters[ip], l.core[ip] = nil, &machine{zone, time.Now()}
	l.running.Go(func() { l.follow(ip) })
}

// follow holds a connection to another lighthouse: what it says is heard over the one that it holds to this one.
func (l *Lighthouse) follow(ip string) {
	pause := signal.Pause{First: firstPause, Most: l.pace(pulse)}
	signal.Hold(l.ctx, Address(ip, l.s), l.pace(silence), pause, &lamp.Hello{Lighthouse: l.s.IP, Zone: l.s.Zone}, func(conn *signal.Conn) {
		k := &link{out: signal.NewOutbox(conn, queue), node: ip}
		l.loop.Post(func() {
			l.sisters[ip], l.core[ip].at = k, time.Now()
			l.say(k, l.wholeAcross())
		})
		l.running.Go(k.out.Run)
		var up lamp.Up
		for conn.Receive(&up) == nil { // only to hear that it is there
		}
		l.loop.Post(func() {
			if l.sisters[ip] == k {
				l.sisters[ip] = nil
			}
		})
	})
}

// say tells a link; one that does not take it is cut off, and comes again.
func (l *Lighthouse) say(k *link, m any) {
	if k.out.Say(m) {
		k.sent = time.Now()
	}
}

// serve hears one connection of a pilot or of another lighthouse.
func (l *Lighthouse) serve(raw net.Conn) {
	conn, err := signal.New(l.ctx, raw, l.pace(silence))
	if err != nil {
		return
	}
	defer conn.Close()
	var h lamp.Hello
	if conn.Receive(&h) != nil {
		return
	}
	if h.Status {
		if s, ok := shore.Ask(l.loop, l.status); ok {
			conn.Send(s)
		}
		return
	}
	if h.Lighthouse != "" {
		l.serveSister(conn, h.Lighthouse, h.Zone)
		return
	}
	k := &link{out: signal.NewOutbox(conn, queue), node: h.Pilot}
	l.running.Go(k.out.Run)
	for {
		var up lamp.Up
		if err := conn.Receive(&up); err != nil {
			if errorx.IsOfType(err, signal.Foreign) {
				l.log.Warn().Err(err).Str("peer", conn.Peer()).Msg("peer cannot be understood")
			}
			break
		}
		l.loop.Post(func() { l.heard(k, &up) })
	}
	l.loop.Post(func() {
		delete(l.pilots, k)
		l.acks(k)
	})
}

// serveSister hears another lighthouse.
func (l *Lighthouse) serveSister(conn *signal.Conn, ip, zone string) {
	l.loop.Post(func() { l.meet(ip, zone) })
	l.running.Go(func() { conn.Beat(l.pace(beat), &lamp.Up{}) })
	for {
		var a lamp.Across
		if conn.Receive(&a) != nil {
			return
		}
		l.loop.Post(func() { l.heardAcross(ip, &a) })
	}
}

// heard takes what a pilot says.
func (l *Lighthouse) heard(k *link, up *lamp.Up) {
	now := time.Now()
	first, became := !l.pilots[k], up.Main && !k.main
	l.pilots[k], k.holds, k.main, k.heard = true, up.Holds, up.Main, now
	if first || became {
		l.push(k, l.wholePicture(k))
	}
	if f := l.contact.InForce(); f != nil && f.Version > k.holds {
		switch sighted := l.sighted(); {
		case up.Want && sighted && !k.whole.covers(f):
			l.push(k, lamp.Down{InForce: f, Sighted: true})
		case up.Last && !sighted && f.Version > k.last: // it knows that this is of one without contact
			k.last = f.Version
			l.push(k, lamp.Down{InForce: unsettled(f)})
		}
	}
	l.council.heard(k, up.Opinions)
	if up.Sheet != nil && up.Sheet.Node == k.node {
		k.life = up.Sheet.Life
		if known, ok := l.registry.Get(k.node); ok && known.Life > k.life {
			l.tell(k, lamp.Down{Outlive: known.Life, Sighted: l.sighted()})
		}
		if l.registry.Put(now, *up.Sheet) {
			l.across[k.node] = true
			l.note(k.node)
		}
	} else if l.registry.Vouch(now, k.node, k.life) {
		l.note(k.node)
	}
	k.acked = max(k.acked, up.Ack)
	l.acks(k)
}

// heardAcross takes what another lighthouse says.
func (l *Lighthouse) heardAcross(ip string, a *lamp.Across) {
	now := time.Now()
	if m := l.core[ip]; m != nil {
		m.at = now
	}
	for _, s := range a.Sheets {
		if l.registry.Put(now, s) {
			l.note(s.Node)
		}
	}
	for _, node := range l.registry.Marked(a.Vouch) {
		if k, ok := l.registry.Get(node); ok && l.registry.Vouch(now, node, k.Life) {
			l.note(node)
		}
	}
	if !l.stood.Just(now) { // else they may be old
		for _, v := range a.Votes {
			v.Heard = now
			l.council.votes[v.Pilot] = v
		}
	}
	for _, other := range a.Core {
		l.meet(other.IP, other.Zone)
	}
}

// note has a node pushed soon.
func (l *Lighthouse) note(node string) {
	l.changed[node] = true
	if !l.pushing {
		l.pushing = true
		time.AfterFunc(batch, func() { l.loop.Post(l.flush) })
	}
}

// flush pushes what has changed.
func (l *Lighthouse) flush() {
	l.pushing = false
	d := lamp.Down{Sighted: l.sighted()}
	a := lamp.Across{}
	for node := range l.changed {
		if k, ok := l.registry.Get(node); ok {
			d.Nodes = append(d.Nodes, k)
			if l.across[node] {
				a.Sheets = append(a.Sheets, k.Sheet)
			}
		} else {
			d.Gone = append(d.Gone, node)
		}
	}
	clear(l.changed)
	clear(l.across)
	for k := range l.pilots {
		if k.main {
			l.push(k, d)
		}
	}
	if len(a.Sheets) > 0 {
		for _, k := range l.sisters {
			if k != nil {
				l.say(k, &a)
			}
		}
	}
}

// push sends a numbered change to a pilot.
func (l *Lighthouse) push(k *link, d lamp.Down) {
	k.pushed++
	d.Number = k.pushed
	if f := d.InForce; f != nil && f.Settled && len(f.Config) > 0 {
		k.whole = carried{f.Version, f.Epoch}
	}
	l.tell(k, d)
}

// tell tells a pilot. What is said under a lease is looked at again when its turn comes: if the lease has ended by then, what was ordered
// is left out, and told once there is a lease again.
func (l *Lighthouse) tell(k *link, d lamp.Down) {
	k.sight = d.Sighted
	if !d.Sighted {
		l.say(k, &d)
		return
	}
	l.say(k, signal.Late(func() any {
		if !l.sighted() {
			if d.InForce != nil {
				k.missed.Store(true)
			}
			d.InForce, d.Sighted = nil, false
		}
		return &d
	}))
}

// wholePicture is everything that a pilot is told at first. Who is there it is told by one lighthouse alone.
func (l *Lighthouse) wholePicture(k *link) lamp.Down {
	d := lamp.Down{InForce: l.orderFor(k), Core: l.machines(), Sighted: l.sighted()}
	if k.main {
		d.Whole, d.Nodes = true, l.registry.All()
	}
	return d
}

// orderFor is what is in force, for a pilot: one that has the configuration, or will have it from another lighthouse, is
// told its version alone. Without contact nothing is.
func (l *Lighthouse) orderFor(k *link) *keeper.InForce {
	if !l.sighted() {
		return nil
	}
	known := l.contact.InForce()
	if k.main && k.holds < known.Version && !k.whole.covers(known) {
		return known
	}
	f := *known
	f.Config = nil
	return &f
}

// unsettled is the same as the word of one without contact.
func unsettled(f *keeper.InForce) *keeper.InForce {
	u := *f
	u.Settled = false
	return &u
}

func (l *Lighthouse) wholeAcross() *lamp.Across {
	a := &lamp.Across{Core: l.machines()}
	for _, k := range l.registry.All() {
		a.Sheets = append(a.Sheets, k.Sheet)
	}
	return a
}

// sighted tells whether this lighthouse has contact with a majority of the core, by the clock: a process that stood still has none.
func (l *Lighthouse) sighted() bool { return time.Now().Before(*l.speaks.Load()) }

// machines are those of the core that answered of late, this one among them.
func (l *Lighthouse) machines() []lamp.Machine {
	out := []lamp.Machine{{IP: l.s.IP, Zone: l.s.Zone}}
	for ip, m := range l.core {
		if time.Since(m.at) < forget {
			out = append(out, lamp.Machine{IP: ip, Zone: m.zone})
		}
	}
	slices.SortFunc(out, func(a, b lamp.Machine) int { return cmp.Compare(a.IP, b.IP) })
	return out
}

// tick ages what is known and says to everybody that this lighthouse is there.
func (l *Lighthouse) tick() {
	now := time.Now()
	l.stood.Look(now)
	l.store.beat(now)
	for _, node := range l.registry.Age(now, l.sighted() && !l.stood.Just(now)) { // else not the pilots stood still
		l.log.Info().Str("pilot", node).Msg("pilot is dark or forgotten")
		l.note(node)
	}
	for k := range l.pilots {
		switch {
		case l.sighted() && k.missed.Swap(false):
			k.whole = carried{}
			l.push(k, lamp.Down{InForce: l.orderFor(k), Sighted: true})
		case k.sight != l.sighted():
			l.push(k, lamp.Down{Sighted: l.sighted(), Core: l.machines()})
		case now.Sub(k.sent) >= l.pace(beat-pulse/2):
			l.tell(k, lamp.Down{Sighted: k.sight})
		}
	}
	l.council.tick(now)
	a := lamp.Across{Votes: l.council.news()}
	if l.ticks++; l.ticks%vouchTicks == 0 {
		for k := range l.pilots {
			if k.life != 0 && now.Sub(k.heard) < l.pace(vouchTicks*pulse+pulse/2) {
				a.Vouch = append(a.Vouch, beacon.Mark(k.node, k.life))
			}
		}
	}
	for ip, k := range l.sisters {
		if k == nil {
			continue
		}
		l.core[ip].at = now
		if l.ticks%vouchTicks == 0 || len(a.Votes) > 0 {
			l.say(k, &a)
		}
	}
}

// speak takes over until when what was ordered may be handed out; with news, all pilots are told what is in force.
func (l *Lighthouse) speak(news bool) {
	until := l.contact.Until()
	l.speaks.Store(&until)
	if !news {
		return
	}
	for k := range l.pilots {
		l.push(k, lamp.Down{InForce: l.orderFor(k), Sighted: true, Core: l.machines()})
	}
}

// afterPilots runs then once all pilots that are connected go by what was pushed to them so far, or after a while.
func (l *Lighthouse) afterPilots(then func()) {
	w := &wait{until: map[*link]uint64{}, then: then}
	if f := l.contact.InForce(); f != nil {
		w.holds = f.Version
	}
	for k := range l.pilots {
		if k.acked < k.pushed || k.holds < w.holds {
			w.until[k] = k.pushed
		}
	}
	if len(w.until) == 0 {
		then()
		return
	}
	l.waits = append(l.waits, w)
	time.AfterFunc(ackWait, func() { l.loop.Post(func() { l.endWait(w) }) })
}

// acks ends the waits that a pilot was the last one for.
func (l *Lighthouse) acks(k *link) {
	for _, w := range slices.Clone(l.waits) {
		if n, ok := w.until[k]; ok && (k.acked >= n && k.holds >= w.holds || !l.pilots[k]) {
			delete(w.until, k)
			if len(w.until) == 0 {
				l.endWait(w)
			}
		}
	}
}

func (l *Lighthouse) endWait(w *wait) {
	if i := slices.Index(l.waits, w); i >= 0 {
		l.waits = slices.Delete(l.waits, i, i+1)
		if len(w.until) > 0 {
			l.log.Warn().Int("pilots", len(w.until)).Msg("pilots have not acknowledged a change yet")
		}
		w.then()
	}
}

// run runs a command of an endpoint or an operator.
func (l *Lighthouse) run(c orders.Command, then func(orders.Result)) {
	order := func(o keeper.Order) {
		came := time.Now()
		l.loop.Post(func() { l.carryOut(&o, came, then) })
	}
	switch c := c.(type) {
	case orders.ReplaceConfig:
		order(keeper.Order{Kind: keeper.PutConfig, Body: c.Body})
	case orders.ReadConfig:
		order(keeper.Order{Kind: keeper.ReadConfig})
	case orders.BeginEvacuation:
		l.present(keeper.Order{Kind: keeper.BeginEvacuation, Zone: c.Zone, Within: ticketFor}, "Begin", c.Ticket, then)
	case orders.FinishEvacuation:
		l.present(keeper.Order{Kind: keeper.FinishEvacuation, Zone: c.Zone, Within: ticketFor}, "Finish", c.Ticket, then)
	case orders.Readiness:
		then(orders.Result{Status: http.StatusOK})
	default: // the pilot beside an endpoint is the one that can promise it anything
		then(orders.Result{Status: http.StatusServiceUnavailable, Body: []byte("the pilot beside the endpoint takes this call\n")})
	}
}

// present has an evacuation ordered if its caller is there: it brings a ticket. One without is sent here again with one.
func (l *Lighthouse) present(o keeper.Order, verb, name string, then func(orders.Result)) {
	what := "/api/Evacuation." + verb + "/" + url.PathEscape(o.Zone)
	l.loop.Post(func() {
		now := time.Now()
		switch {
		case name == "":
			then(orders.Result{Status: http.StatusTemporaryRedirect, Location: what + "/" + l.tickets.give(now, what), Body: []byte("call again with this ticket: it shows that you are there\n")})
		case !l.tickets.take(now, name, what):
			then(orders.Result{Status: http.StatusServiceUnavailable, Body: []byte("the ticket is not known, or no longer: nothing was ordered\n")})
		default:
			l.carryOut(&o, now, then)
		}
	})
}

// carryOut has the keeper carry out an order, and its caller answered once the pilots that are connected go by it, or after a while.
func (l *Lighthouse) carryOut(o *keeper.Order, came time.Time, then func(orders.Result)) {
	l.store.order(o, came, func(r *keeper.Result) {
		if r.Status == keeper.Done && o.Kind != keeper.ReadConfig {
			l.afterPilots(func() { then(resultOf(r)) })
			return
		}
		then(resultOf(r))
	})
}

// resultOf is what a caller is told of an order.
func resultOf(r *keeper.Result) orders.Result {
	switch r.Status {
	case keeper.Done:
		return orders.Result{Status: http.StatusOK, Body: r.Body, JSON: len(r.Body) > 0}
	case keeper.Refused:
		return orders.Result{Status: http.StatusBadRequest, Body: []byte(r.Why + "\n")}
	case keeper.Conflict:
		return orders.Result{Status: http.StatusConflict, Body: []byte(r.Why + "\n")}
	case keeper.Absent:
		return orders.Result{Status: http.StatusServiceUnavailable, Body: []byte(r.Why + "\n")}
	}
	return orders.Result{Status: http.StatusServiceUnavailable, Body: []byte(r.Why + "\n")}
}
