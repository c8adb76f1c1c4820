package proxy

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"milletmast/internal/mesh/consensus"
	"milletmast/internal/mesh/controlstate"
	"milletmast/internal/mesh/discovery"
	"milletmast/internal/mesh/peerwatch"
	"milletmast/internal/mesh/process"
	"milletmast/internal/mesh/proxy/wire"
	"milletmast/internal/mesh/transport"
)

const (
	watchedPeers    = 3
	gossipInterval  = time.Second // between two messages to each watched peer, without a control plane
	calmIntervals   = 2           // times gossipInterval, with one
	peerSilentAfter = 4500 * time.Millisecond
)

// Gossip is what proxies send each other: the versions in use, and what the other lacks.
type Gossip struct {
	ConfigVersion     uint64
	EvacuationsDigest uint64            // of the versions of evacuations
	EjectionsVersion  consensus.Version // of the ejections
	Isolated          bool              // it has no control plane and wants to know the nodes
	Uncertain         bool              // its trust level is Uncertain: it wants the snapshot of a proxy that is certain
	Snapshot          *controlstate.Snapshot
	Nodes             []discovery.Node
}

// watchers are the connections to the watched peers. They are owned by the proxy's loop.
type watchers struct {
	proxy    *Proxy
	watcher  *peerwatch.Watcher
	stops    map[string]chan struct{}
	lastTick time.Time
}

func newWatchers(p *Proxy) *watchers {
	return &watchers{proxy: p, watcher: peerwatch.NewWatcher(peerSilentAfter), stops: map[string]chan struct{}{}}
}

// tick selects the watched peers and logs those that have become silent.
func (w *watchers) tick(now time.Time) {
	if now.Sub(w.lastTick) < gossipInterval {
		return
	}
	w.lastTick = now
	var all []peerwatch.Node
	talk := map[string]string{}
	for _, n := range w.proxy.state.Nodes() {
		if !n.Unreachable && !n.Draining {
			all = append(all, peerwatch.Node{Name: n.Node, Zone: n.Zone})
			talk[n.Node] = n.PeerAddr
		}
	}
	come, gone := w.watcher.SetPeers(
		now,
		peerwatch.SelectPeers(peerwatch.Node{Name: w.proxy.settings.Node, Zone: w.proxy.settings.Zone}, all, watchedPeers),
	)
	for _, name := range come {
		end := make(chan struct{})
		w.stops[name] = end
		w.proxy.goroutines.Go(func() { w.gossipWith(name, talk[name], end) })
	}
	for _, name := range gone {
		close(w.stops[name])
		delete(w.stops, name)
	}
	for _, name := range w.watcher.NewlySilent(now) {
		w.proxy.log.Info().Str("peer", name).Msg("detect silent peer")
	}
}

// digest returns the versions in use. It runs in the loop.
func (p *Proxy) digest() *Gossip {
	f := p.state.Snapshot()
	g := &Gossip{
		ConfigVersion:    f.ConfigVersion,
		EjectionsVersion: f.EjectionsVersion,
		Isolated:         p.controlPlanes.primary() == "",
		Uncertain:        p.state.Trust() == discovery.Uncertain,
	}
	g.EvacuationsDigest = evacuationsDigest(f.Evacuations)
	return g
}

// evacuationsDigest returns a digest of the versions of evacuations. A peer with another digest is
// sent all of them and merges the newer ones: each of the two may lack one of the other's.
func evacuationsDigest(all []controlstate.Evacuation) uint64 {
	h := xxhash.New()
	for _, e := range all {
		fmt.Fprintf(h, "%s %d %s\n", e.Zone, e.Version.Number, e.Version.Proposer)
	}
	return h.Sum64()
}

// replyTo returns what a peer lacks. It runs in the loop.
func (p *Proxy) replyTo(peer *Gossip) *Gossip {
	g := p.digest()
	if g.ConfigVersion > peer.ConfigVersion || g.EvacuationsDigest != peer.EvacuationsDigest ||
		g.EjectionsVersion.Compare(peer.EjectionsVersion) > 0 ||
		peer.Uncertain && !g.Uncertain {
		g.Snapshot = p.state.Snapshot()
		if g.ConfigVersion <= peer.ConfigVersion {
			g.Snapshot.Config = nil
		}
	}
	if peer.Isolated && !g.Isolated {
		g.Nodes = p.state.Nodes()
	}
	return g
}

// gossipWith exchanges messages with a peer while it is watched.
func (w *watchers) gossipWith(name, addr string, end chan struct{}) {
	p := w.proxy
	tick := time.NewTicker(gossipInterval)
	defer tick.Stop()
	var conn *transport.Conn
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
			c, err := transport.Dial(p.ctx, addr, peerConnTimeout)
			if err != nil {
				continue
			}
			conn = c
		}
		mine, ok := process.Call(p.loop, p.digest)
		if !ok {
			return
		}
		if !mine.Isolated && n%calmIntervals > 0 {
			continue
		}
		var theirs wire.Gossip
		if conn.Send((&PeerMessage{Gossip: mine}).Encode()) == nil && conn.Receive(&theirs) == nil {
			heard := decodeGossip(&theirs)
			p.loop.Post(func() { w.handleGossip(name, heard) })
			continue
		}
		conn.Close()
		conn = nil
	}
}

// handleGossip handles the message of a watched peer.
func (w *watchers) handleGossip(name string, g *Gossip) {
	now := time.Now()
	w.watcher.HeardFrom(now, name)
	var ch discovery.Change
	if g.Snapshot != nil {
		ch = w.proxy.state.HandleSnapshot(discovery.FromProxy, g.Snapshot)
	}
	if len(g.Nodes) > 0 && w.proxy.controlPlanes.primary() == "" {
		ch.Nodes = w.proxy.state.HandlePeerNodes(now, g.Nodes)
	}
	w.proxy.applyChange(ch)
}
