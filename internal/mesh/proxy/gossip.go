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
	watchedPeers          = 3
	gossipInterval        = time.Second // between two messages to each watched peer while no control plane is connected
	connectedGossipFactor = 2           // times gossipInterval while a control plane is connected
	peerSilentAfter       = 4500 * time.Millisecond
)

// Gossip is a message between proxies: the versions in use, and the data that the receiver lacks.
type Gossip struct {
	ConfigVersion     uint64
	EvacuationsDigest uint64            // digest of the versions of evacuations
	EjectionsVersion  consensus.Version // of the ejections
	Isolated          bool              // the sender has no control plane and requests the nodes
	Uncertain         bool              // the trust level of the sender is Uncertain: it requests the snapshot of a proxy that is certain
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
	peerAddrs := map[string]string{}
	for _, n := range w.proxy.state.Nodes() {
		if !n.Unreachable && !n.Draining {
			all = append(all, peerwatch.Node{Name: n.Node, Zone: n.Zone})
			peerAddrs[n.Node] = n.PeerAddr
		}
	}
	added, removed := w.watcher.SetPeers(
		now,
		peerwatch.SelectPeers(peerwatch.Node{Name: w.proxy.settings.Node, Zone: w.proxy.settings.Zone}, all, watchedPeers),
	)
	for _, name := range added {
		stop := make(chan struct{})
		w.stops[name] = stop
		w.proxy.goroutines.Go(func() { w.gossipWith(name, peerAddrs[name], stop) })
	}
	for _, name := range removed {
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
// sent all evacuations and merges the newer ones, as each side may lack an evacuation that the other
// has.
func evacuationsDigest(all []controlstate.Evacuation) uint64 {
	h := xxhash.New()
	for _, e := range all {
		fmt.Fprintf(h, "%s %d %s\n", e.Zone, e.Version.Number, e.Version.Proposer)
	}
	return h.Sum64()
}

// replyTo returns the reply to a gossip message, with the data that the peer lacks. It runs in the
// loop.
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
func (w *watchers) gossipWith(name, addr string, stop chan struct{}) {
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
		case <-stop:
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
		digest, ok := process.Call(p.loop, p.digest)
		if !ok {
			return
		}
		if !digest.Isolated && n%connectedGossipFactor > 0 {
			continue
		}
		var encoded wire.Gossip
		if conn.Send((&PeerMessage{Gossip: digest}).Encode()) == nil && conn.Receive(&encoded) == nil {
			reply := decodeGossip(&encoded)
			p.loop.Post(func() { w.handleGossip(name, reply) })
			continue
		}
		conn.Close()
		conn = nil
	}
}

// handleGossip handles the message of a watched peer.
func (w *watchers) handleGossip(name string, g *Gossip) {
	now := time.Now()
	w.watcher.RecordResponse(now, name)
	var ch discovery.Change
	if g.Snapshot != nil {
		ch = w.proxy.state.HandleSnapshot(discovery.FromProxy, g.Snapshot)
	}
	if len(g.Nodes) > 0 && w.proxy.controlPlanes.primary() == "" {
		ch.Nodes = w.proxy.state.HandlePeerNodes(now, g.Nodes)
	}
	w.proxy.applyChange(ch)
}
