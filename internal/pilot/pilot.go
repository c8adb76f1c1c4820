// Package pilot is the proxy: one process beside every endpoint. It carries the requests that begin on its machine, by the
// decision module, to the pilots beside other endpoints, and lets in what comes for its own (package pier).
package pilot

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"

	"whinknot/internal/beacon"
	"whinknot/internal/berth"
	"whinknot/internal/chart"
	"whinknot/internal/lamp"
	"whinknot/internal/orders"
	"whinknot/internal/shore"
	"whinknot/internal/sidecar"
	"whinknot/internal/signal"
	"whinknot/internal/story"
)

var space = errorx.NewNamespace("pilot")

// Start is the type of errors that keep a pilot from starting.
var Start = space.NewType("start")

const (
	lookEvery   = 250 * time.Millisecond
	keepMissing = 5 * time.Second        // a node that no lighthouse names any more is kept for so long
	finishTime  = 200 * time.Millisecond // for calls of the endpoint under way at the end
	endBefore   = 600 * time.Millisecond // SIGKILL comes so long after what is left is cut
	answerTime  = 200 * time.Millisecond // before that, everything that has no answer yet is given one of our own
	// From SIGTERM on clients find this pilot not ready, twice before they stop to come, and until then it serves as always.
	// Then other pilots hear that it leaves, and a little later it takes nothing more.
	acceptTime = 2600 * time.Millisecond
	acceptPart = 0.5 // of the grace, at most
	sayBefore  = 600 * time.Millisecond
	shutBefore = 200 * time.Millisecond
	quietTime  = 20 * time.Second // between pilots
	headTime   = 3 * time.Second
)

// Pilot is one running proxy. What it knows belongs to the goroutine of loop; what requests read is in view.
type Pilot struct {
	s    *berth.Settings
	log  zerolog.Logger
	loop *shore.Loop

	room     *lamp.Chartroom
	standing lamp.Standing // as last told in the log
	links    *links
	watch    *watchers
	sheet    beacon.Sheet
	view     atomic.Pointer[view]
	charted  chan struct{}       // closed once there is a configuration
	fairway  map[string]*fairway // by service
	shunned  map[string]time.Time
	quay     *quay
	witness  *witness
	story    *story.Recorder
	talk     net.Listener
	opined   time.Time
	bulk     bulk
	target   atomic.Pointer[string]
	leaving  atomic.Bool
	failed   atomic.Int64 // a request that began on this machine failed last, ns since 1970

	running   sync.WaitGroup
	inbound   *sidecar.Port
	outbound  *sidecar.Port
	control   net.Listener
	readiness net.Listener
	ctx       context.Context
}

// view is what requests go by: immutable, replaced whole.
type view struct {
	chart    *chart.Chart
	services map[string]*fairway
}

// New opens the ports.
func New(s *berth.Settings, log zerolog.Logger) (*Pilot, error) {
	if s.Inbound == "" || s.Outbound == "" || s.Readiness == "" || s.Control == "" || s.LocalApp == "" {
		return nil, Start.New("%s: bind.inbound, bind.outbound, bind.readiness, bind.control and local_app are needed", s.Path)
	}
	p := &Pilot{
		s: s, log: log, loop: shore.NewLoop(512), room: lamp.NewChartroom(time.Now(), roomBounds(s)),
		charted: make(chan struct{}), fairway: map[string]*fairway{}, shunned: map[string]time.Time{},
	}
	p.view.Store(&view{})
	p.target.Store(&s.Target)
	p.sheet = beacon.Sheet{
		Node: s.Node, Zone: s.Zone, Life: uint64(time.Now().UnixNano()), Number: 1, Inbound: s.Inbound,
		Talk: s.At(s.IP, shore.PilotPort),
	}
	p.quay = newQuay(p)
	p.witness = newWitness()
	p.story = story.New(storyEvents)
	p.links = newLinks(p)
	p.watch = newWatchers(p)
	p.bulk.left.Store(int64(bulkPart * float64(s.MemoryMB) * (1 << 20)))
	var err error
	if p.control, err = net.Listen("tcp", s.Control); err != nil {
		return nil, Start.Wrap(err, "listen")
	}
	if p.readiness, err = net.Listen("tcp", s.Readiness); err != nil {
		return nil, Start.Wrap(err, "listen")
	}
	if p.talk, err = net.Listen("tcp", p.sheet.Talk); err != nil {
		return nil, Start.Wrap(err, "listen")
	}
	return p, nil
}

// roomBounds are what the chart room goes by: a pilot that is new waits for a word of one with contact for as long as calm machines may
// take to be in touch and a configuration to reach all.
func roomBounds(s *berth.Settings) lamp.Bounds {
	return lamp.Bounds{Keep: keepMissing, Patience: s.Bounds.Converge + s.Bounds.Contact}
}

// Run serves until ctx ends, then finishes what was taken.
func (p *Pilot) Run(ctx context.Context) error {
	inner, stop := context.WithCancel(context.Background())
	defer p.running.Wait()
	defer stop()
	p.ctx = inner
	var err error
	most := p.s.Descriptors / 4
	limits := sidecar.PortLimits{Connections: most, Quiet: quietTime, Head: headTime}
	if p.inbound, err = sidecar.NewPort(p.s.Inbound, limits, p.quay); err != nil {
		return Start.Wrap(err, "listen")
	}
	if p.outbound, err = sidecar.NewPort(p.s.Outbound, limits, &harbour{p}); err != nil {
		return Start.Wrap(err, "listen")
	}
	p.running.Go(func() { p.loop.Run(inner, lookEvery, p.tick) })
	p.running.Go(func() { signal.Serve(inner, p.talk, func(raw net.Conn) { p.running.Go(func() { p.answerTalk(raw) }) }) })
	defer p.talk.Close()
	p.links.meetSeeds()
	calls := &http.Server{Handler: orders.NewHandler(p.run)}
	ready := &http.Server{Handler: orders.NewHandler(p.run)}
	ended := make(chan error, 2)
	serving, silent := context.WithCancel(context.Background())
	defer silent()
	p.running.Go(func() {
		ended <- orders.Serve(serving, calls, func() error { return calls.Serve(p.control) }, finishTime)
	})
	p.running.Go(func() {
		ended <- orders.Serve(serving, ready, func() error { return ready.Serve(p.readiness) }, finishTime)
	})
	p.log.Info().Str("outbound", p.s.Outbound).Str("target", p.s.Target).Msg("serving")
	select {
	case err := <-ended:
		return Start.Wrap(err, "serve")
	case <-ctx.Done():
	}
	p.drain()
	p.log.Info().Msg("ended")
	return nil
}

// drain ends in order: other pilots hear that this one leaves, clients find it not ready, and what was taken is finished.
func (p *Pilot) drain() {
	begun := time.Now()
	p.log.Info().Msg("leaving")
	p.leaving.Store(true)
	grace := p.s.Bounds.Grace
	accept := min(acceptTime, time.Duration(acceptPart*float64(grace)))
	last := grace - endBefore
	say := time.AfterFunc(max(accept-sayBefore, 0), func() {
		p.loop.Post(func() {
			p.sheet.Leaving = true
			p.say()
		})
	})
	defer say.Stop()
	p.quay.leave(begun.Add(max(accept-shutBefore, 0)))
	giveUp := time.AfterFunc(max(last-answerTime, 0), func() {
		for _, f := range p.fairways() {
			f.giveUp()
		}
	})
	defer giveUp.Stop()
	var both sync.WaitGroup
	both.Go(func() { p.outbound.Drain(accept, last) })
	both.Go(func() { p.inbound.Drain(accept, last) })
	both.Wait()
	var services sync.WaitGroup
	for _, f := range p.fairways() {
		services.Go(f.end)
	}
	services.Wait()
	p.quay.wharf.Close()
}

// fairways are the ways to all services that there were.
func (p *Pilot) fairways() []*fairway {
	known, _ := shore.Ask(p.loop, func() []*fairway { return slices.Collect(maps.Values(p.fairway)) })
	return known
}

// Changed takes settings that were read again.
func (p *Pilot) Changed(s *berth.Settings) {
	p.target.Store(&s.Target)
	p.loop.Post(func() { p.links.settings(s) })
}

// service is the name of the service that runs on this machine, by the settings as they were last read.
func (p *Pilot) service() string { return *p.target.Load() }

// tick does what is due by age.
func (p *Pilot) tick() {
	now := time.Now()
	changed := p.room.Merge(now)
	for life, until := range p.shunned {
		if now.After(until) {
			delete(p.shunned, life)
			changed = true
		}
	}
	if changed {
		p.relist()
	}
	p.news(p.room.Due(now))
	p.quay.look()
	p.links.tick()
	p.watch.tick(now)
	if now.Sub(p.opined) >= opineEvery {
		p.opined = now
		p.links.opine(now)
	}
}

// say has all lighthouses told the sheet, which has changed.
func (p *Pilot) say() {
	p.sheet.Number++
	p.links.say(p.sheet)
}

// news takes what has changed in the chart room.
func (p *Pilot) news(c lamp.Change) {
	if s := p.room.Standing(); s != p.standing {
		p.standing = s
		log := p.log.Info()
		if s == lamp.Uncertain {
			log = p.log.Warn()
		}
		_, version := p.room.Config()
		log.Stringer("standing", s).Uint64("version", version).Msg("by whose word orders are gone by")
	}
	if c.Config {
		p.rechart()
		p.links.holds()
	}
	if c.Zones || c.Config {
		p.quay.removal(p.room)
		p.quay.ordered(p.room.Evacuation(p.s.Zone), p.view.Load().chart)
	}
	if c.Nodes || c.Zones || c.Config {
		p.relist()
	}
}

// rechart compiles the configuration that is held now.
func (p *Pilot) rechart() {
	text, version := p.room.Config()
	c, err := chart.Parse(text)
	if err != nil { // a keeper checked it: one of another version of this program, perhaps
		p.log.Error().Err(err).Uint64("version", version).Msg("configuration cannot be used")
		return
	}
	services := make(map[string]*fairway, len(c.Services))
	for name := range c.Services {
		f := p.fairway[name]
		if f == nil {
			f = newFairway(p, name)
			p.fairway[name] = f
		}
		f.chart(c)
		services[name] = f
	}
	first := p.view.Load().chart == nil
	p.view.Store(&view{chart: c, services: services})
	if first {
		close(p.charted)
	}
	p.log.Info().Uint64("version", c.Version).Int("routes", len(c.Routes)).Msg("configuration in force")
}

// shun sends nothing to a life for a while, as its gate said that it takes nothing.
func (p *Pilot) shun(life string) {
	if p.shunned[life].IsZero() {
		p.shunned[life] = time.Now().Add(shunTime)
		p.relist()
	}
}

const shunTime = time.Second

// relist tells every service its endpoints.
func (p *Pilot) relist() {
	nodes := p.room.Nodes()
	p.quay.guess(nodes)
	for _, f := range p.fairway {
		f.list(nodes)
	}
}

// run runs a command of the endpoint beside this pilot, or of the platform.
func (p *Pilot) run(c orders.Command, then func(orders.Result)) {
	switch c := c.(type) {
	case orders.Readiness:
		status := http.StatusOK
		if p.leaving.Load() || p.view.Load().chart == nil {
			status = http.StatusServiceUnavailable
		}
		then(orders.Result{Status: status})
	case orders.Heartbeat:
		p.loop.Post(func() { p.quay.beat(&c); then(orders.Result{Status: http.StatusOK, Body: []byte("{}"), JSON: true}) })
	case orders.Deregister:
		p.loop.Post(func() { p.quay.gone(c.ID); then(orders.Result{Status: http.StatusOK, Body: []byte("{}"), JSON: true}) })
	default:
		then(orders.Result{Status: http.StatusNotFound, Body: []byte("the core machines take this call\n")})
	}
}
