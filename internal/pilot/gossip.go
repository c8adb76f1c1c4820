package pilot

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"whinknot/internal/keeper"
	"whinknot/internal/lamp"
	"whinknot/internal/shore"
	"whinknot/internal/signal"
	"whinknot/internal/tide"
	"whinknot/internal/watch"
)

const (
	watchedCount = 3
	watchPulse   = time.Second // between two words to each, of one that has no lighthouse
	calmPulses   = 2           // and of one that has one, so many times that
	watchQuiet   = 4500 * time.Millisecond
)

// Gossip is what pilots say to each other: what each goes by, and what the other lacks.
type Gossip struct {
	Version uint64
	Zones   uint64     // digest of the numbers of evacuations
	Removed tide.Stamp // of removals
	Cut     bool       // it has no lighthouse: who is there is news to it
	Unsure  bool       // it goes by what it was told by nobody with contact: it would hear what another is certain of
	InForce *keeper.InForce
	Nodes   []lamp.Node
}

// watchers are the held connections to the pilots that this one watches. They belong to the pilot's loop.
type watchers struct {
	p     *Pilot
	watch *watch.Watch
	ends  map[string]chan struct{}
	last  time.Time
}

func newWatchers(p *Pilot) *watchers {
	return &watchers{p: p, watch: watch.NewWatch(watchQuiet), ends: map[string]chan struct{}{}}
}

// tick follows the picture: whom to watch, and who has fallen silent.
func (w *watchers) tick(now time.Time) {
	if now.Sub(w.last) < watchPulse {
		return
	}
	w.last = now
	var all []watch.Node
	talk := map[string]string{}
	for _, n := range w.p.room.Nodes() {
		if !n.Dark && !n.Leaving {
			all = append(all, watch.Node{Name: n.Node, Zone: n.Zone})
			talk[n.Node] = n.Talk
		}
	}
	come, gone := w.watch.Set(now, watch.Choose(watch.Node{Name: w.p.s.Node, Zone: w.p.s.Zone}, all, watchedCount))
	for _, name := range come {
		end := make(chan struct{})
		w.ends[name] = end
		w.p.running.Go(func() { w.follow(name, talk[name], end) })
	}
	for _, name := range gone {
		close(w.ends[name])
		delete(w.ends, name)
	}
	for _, name := range w.watch.Quiet(now) {
		w.p.log.Info().Str("pilot", name).Msg("pilot that is watched is quiet")
	}
}

// gossip is what this pilot goes by. It runs in the loop.
func (p *Pilot) gossip() *Gossip {
	f := p.room.InForce()
	g := &Gossip{Version: f.Version, Removed: f.Removed, Cut: p.links.main() == "", Unsure: p.room.Standing() == lamp.Uncertain}
	g.Zones = zonesDigest(f.Evacuations)
	return g
}

// zonesDigest is one number for the newest orders about zones. Who has another one is told them all, and goes by those that are newer: of
// two pilots each may know one that the other lacks.
func zonesDigest(all []keeper.Evacuation) uint64 {
	h := xxhash.New()
	for _, e := range all {
		fmt.Fprintf(h, "%s %d %s\n", e.Zone, e.Stamp.Number, e.Stamp.By)
	}
	return h.Sum64()
}

// reply is what another lacks. It runs in the loop.
func (p *Pilot) reply(to *Gossip) *Gossip {
	g := p.gossip()
	if g.Version > to.Version || g.Zones != to.Zones || g.Removed.Compare(to.Removed) > 0 || to.Unsure && !g.Unsure {
		g.InForce = p.room.InForce()
		if g.Version <= to.Version {
			g.InForce.Config = nil
		}
	}
	if to.Cut && !g.Cut {
		g.Nodes = p.room.Nodes()
	}
	return g
}

// follow talks to one pilot each second, while it is watched.
func (w *watchers) follow(name, addr string, end chan struct{}) {
	p := w.p
	tick := time.NewTicker(watchPulse)
	defer tick.Stop()
	var conn *signal.Conn
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	for n := 1; ; n++ {
		select {
		case <-end:
			return
		case <-p.ctx.Done():
			return
		case <-tick.C:
		}
		if conn == nil {
			c, err := signal.Dial(p.ctx, addr, talkSilence)
			if err != nil {
				continue
			}
			conn = c
		}
		mine, ok := shore.Ask(p.loop, p.gossip)
		if !ok {
			return
		}
		if !mine.Cut && n%calmPulses > 0 {
			continue
		}
		var theirs Gossip
		if conn.Send(&Talk{Gossip: mine}) == nil && conn.Receive(&theirs) == nil {
			p.loop.Post(func() { w.heard(name, &theirs) })
			continue
		}
		conn.Close()
		conn = nil
	}
}

// heard takes what a pilot that is watched says.
func (w *watchers) heard(name string, g *Gossip) {
	now := time.Now()
	w.watch.Heard(now, name)
	var ch lamp.Change
	if g.InForce != nil {
		ch = w.p.room.Ordered(lamp.Pilot, g.InForce)
	}
	if len(g.Nodes) > 0 && w.p.links.main() == "" {
		ch.Nodes = w.p.room.Told(now, g.Nodes)
	}
	w.p.news(ch)
}
