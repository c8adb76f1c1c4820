package proxy

import (
	"cmp"
	"slices"
	"time"

	"milletmast/internal/mesh/controlplane"
	"milletmast/internal/mesh/discovery"
	discoverywire "milletmast/internal/mesh/discovery/wire"
	"milletmast/internal/mesh/nodeconfig"
	"milletmast/internal/mesh/registry"
	"milletmast/internal/mesh/transport"
	"milletmast/internal/namehash"
)

const (
	heartbeatInterval  = 800 * time.Millisecond // between two messages to a control plane
	linkIdleTimeout    = 2200 * time.Millisecond
	linkQueueLength    = 64                    // messages that are not yet sent to a control plane
	maxLinks           = 3                     // simultaneous connections to control planes
	maxSearchLinks     = 11                    // while no connected control plane has contact with a quorum
	searchAfter        = linkIdleTimeout / 2   // after this time without contact, more control planes are tried
	firstBackoff       = 25 * time.Millisecond // before a control plane is retried
	maxBackoff         = 250 * time.Millisecond
	configRequestDelay = 60 * time.Millisecond // in which the primary control plane sends the configuration without a request
	configRequestRetry = 300 * time.Millisecond
)

// controlPlaneLinks are the connections to control planes. They are owned by the proxy's loop.
type controlPlaneLinks struct {
	proxy            *Proxy
	settings         *nodeconfig.Settings
	scale            func(time.Duration) time.Duration // scales a time by the settings at the start
	zones            map[string]string                 // by address of the control plane; empty if unknown
	active           map[string]*controlPlaneLink
	retryAt          map[string]time.Time // by address
	backoffs         map[string]*transport.Backoff
	announcedPrimary string    // the primary control plane that was last announced
	lastContact      time.Time // when a control plane with contact was last connected; initially the start time
}

type controlPlaneLink struct {
	ip         string
	conn       *transport.Conn // nil while it is being opened
	outbox     *transport.Outbox
	lastSent   time.Time
	lastUpdate uint64
}

func newControlPlaneLinks(p *Proxy) *controlPlaneLinks {
	return &controlPlaneLinks{
		proxy:       p,
		settings:    p.settings,
		scale:       p.settings.Bounds.Scale,
		zones:       map[string]string{},
		active:      map[string]*controlPlaneLink{},
		retryAt:     map[string]time.Time{},
		backoffs:    map[string]*transport.Backoff{},
		lastContact: time.Now(),
	}
}

func (l *controlPlaneLinks) addSeeds() { l.proxy.loop.Post(func() { l.applySettings(l.settings) }) }

// applySettings applies settings that were read again.
func (l *controlPlaneLinks) applySettings(settings *nodeconfig.Settings) {
	l.settings = settings
	for _, ip := range settings.SeedIPs() {
		l.zones[ip] += "" // a known zone stays
	}
	l.tick()
}

// rankControlPlanes returns the addresses of the control planes in order of preference: those in the own zone
// first, then by a hash that differs between proxies.
func (l *controlPlaneLinks) rankControlPlanes() []string {
	var out []string
	for ip := range l.zones {
		out = append(out, ip)
	}
	tieBreak := func(ip string) uint64 { return namehash.Hash(ip + "|" + l.settings.Node) }
	zoneDistance := func(ip string) int {
		if l.zones[ip] == l.settings.Zone {
			return 0
		}
		return 1
	}
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(zoneDistance(a), zoneDistance(b)), cmp.Compare(tieBreak(a), tieBreak(b)))
	})
	return out
}

// tick opens connections while there are too few, closes surplus ones, and sends heartbeats.
func (l *controlPlaneLinks) tick() {
	now := time.Now()
	order := l.rankControlPlanes()
	limit := l.limit(now)
	for _, ip := range order {
		if len(l.active) >= limit {
			break
		}
		if l.active[ip] == nil && now.After(l.retryAt[ip]) {
			l.connect(ip)
		}
	}
	l.preferLocal(order, now)
	if link := l.surplus(order, limit); link != nil {
		link.conn.Close()
	}
	for _, link := range l.active {
		if link.conn != nil && now.Sub(link.lastSent) >= l.scale(heartbeatInterval)-tickInterval/2 {
			l.send(link, l.message(link))
		}
	}
}

// limit returns how many control planes to connect to: more while none of them has contact with a
// quorum, as one that has may be among the less preferred.
func (l *controlPlaneLinks) limit(now time.Time) int {
	for ip, link := range l.active {
		if link.conn != nil && l.proxy.state.HasContact(ip) {
			l.lastContact = now
		}
	}
	if now.Sub(l.lastContact) < l.scale(searchAfter) {
		return maxLinks
	}
	return maxSearchLinks
}

// surplus returns the connection to close, if there are too many: the least preferred of those
// without contact, or else of all.
func (l *controlPlaneLinks) surplus(order []string, limit int) (farthest *controlPlaneLink) {
	if len(l.active) <= limit {
		return nil
	}
	for _, ip := range slices.Backward(order) {
		link := l.active[ip]
		if link == nil || link.conn == nil {
			continue
		}
		if !l.proxy.state.HasContact(ip) {
			return link
		}
		if farthest == nil {
			farthest = link
		}
	}
	return farthest
}

// preferLocal replaces the least preferred connection if the most preferred control plane is in the
// own zone, not connected and due for a connection attempt.
func (l *controlPlaneLinks) preferLocal(order []string, now time.Time) {
	if len(order) == 0 || l.zones[order[0]] != l.settings.Zone || l.active[order[0]] != nil || now.Before(l.retryAt[order[0]]) ||
		len(l.active) < maxLinks {
		return
	}
	for _, ip := range slices.Backward(order) {
		if link := l.active[ip]; link != nil && link.conn != nil {
			l.connect(order[0])
			link.conn.Close()
			return
		}
	}
}

// primary returns the address of the primary control plane, which sends the nodes and complete
// configurations: the most preferred connected one, if possible one with contact.
func (l *controlPlaneLinks) primary() string {
	first := ""
	for _, ip := range l.rankControlPlanes() {
		if link := l.active[ip]; link != nil && link.conn != nil {
			if l.proxy.state.HasContact(ip) {
				return ip
			}
			first = cmp.Or(first, ip)
		}
	}
	return first
}

// announcePrimary notifies the new and the previous primary control plane of a change.
func (l *controlPlaneLinks) announcePrimary() {
	primary, previous := l.primary(), l.announcedPrimary
	if primary == previous {
		return
	}
	l.announcedPrimary = primary
	for _, ip := range []string{primary, previous} {
		if link := l.active[ip]; link != nil && link.conn != nil {
			l.send(link, l.message(link))
		}
	}
}

// message returns a message with the fields that every message to a control plane carries.
func (l *controlPlaneLinks) message(link *controlPlaneLink) *discovery.ProxyMessage {
	_, version := l.proxy.state.Config()
	return &discovery.ProxyMessage{
		AckedUpdate:   link.lastUpdate,
		ConfigVersion: version,
		Primary:       link.ip == l.primary(),
		WantLastKnown: l.proxy.state.WantsLastKnown(time.Now()),
	}
}

func (l *controlPlaneLinks) connect(ip string) {
	link := &controlPlaneLink{ip: ip}
	l.active[ip] = link
	p := l.proxy
	p.goroutines.Go(func() {
		conn, err := transport.Dial(p.ctx, controlplane.Address(ip, l.settings), l.scale(linkIdleTimeout))
		if err == nil {
			defer conn.Close()
			err = conn.Send(discoverywire.FromHandshake(&discovery.Handshake{ProxyNode: l.settings.Node}))
		}
		if err != nil {
			p.loop.Post(func() { l.handleLost(link) })
			return
		}
		out := transport.NewOutbox(conn, linkQueueLength)
		p.goroutines.Go(out.Run)
		p.loop.Post(func() {
			link.conn, link.outbox = conn, out
			if backoff := l.backoffs[ip]; backoff != nil {
				backoff.Reset()
			}
			record := p.record
			msg := l.message(link)
			msg.Record = &record
			l.send(link, msg)
			l.announcePrimary()
		})
		for {
			var encoded discoverywire.Down
			if err = conn.Receive(&encoded); err != nil {
				break
			}
			msg := encoded.ControlMessage()
			p.loop.Post(func() { l.handleMessage(link, msg) })
		}
		p.loop.Post(func() {
			link.conn = nil
			l.handleLost(link)
		})
	})
}

// send queues a message. A control plane that does not read its messages is disconnected.
func (l *controlPlaneLinks) send(link *controlPlaneLink, msg *discovery.ProxyMessage) {
	if link.outbox.Send(discoverywire.FromProxyMessage(msg)) {
		link.lastSent = time.Now()
	}
}

// announceRecord sends a record to all control planes.
func (l *controlPlaneLinks) announceRecord(record registry.NodeRecord) {
	for _, link := range l.active {
		if link.conn != nil {
			msg := l.message(link)
			msg.Record = &record
			l.send(link, msg)
		}
	}
}

// announceConfig reports the configuration version in use to all control planes: commands wait until
// the proxies use a new version.
func (l *controlPlaneLinks) announceConfig() {
	for _, link := range l.active {
		if link.conn != nil {
			l.send(link, l.message(link))
		}
	}
}

// handleMessage applies a message and acknowledges it.
func (l *controlPlaneLinks) handleMessage(link *controlPlaneLink, msg *discovery.ControlMessage) {
	if msg.MinIncarnation >= l.proxy.record.Incarnation {
		l.proxy.record.Incarnation = msg.MinIncarnation + 1
		l.proxy.announce()
	}
	if msg.Poll != nil {
		l.proxy.observer.setPolled(link.ip, msg.Poll.Instances)
	}
	for _, m := range msg.ControlPlanes {
		l.zones[m.IP] = m.Zone
	}
	l.proxy.applyChange(l.proxy.state.HandleControlMessage(time.Now(), link.ip, msg))
	l.announcePrimary()
	if msg.Sequence > 0 {
		link.lastUpdate = msg.Sequence
		if link.conn != nil {
			l.send(link, l.message(link))
		}
	}
	if l.proxy.state.LacksConfig(link.ip) {
		l.proxy.loop.PostAfter(configRequestDelay, func() { l.requestConfig(link) })
	}
}

// requestConfig requests the configuration that a control plane has announced, and repeats this
// until it is received.
func (l *controlPlaneLinks) requestConfig(link *controlPlaneLink) {
	if l.active[link.ip] == link && link.conn != nil && l.proxy.state.LacksConfig(link.ip) {
		msg := l.message(link)
		msg.WantConfig = true
		l.send(link, msg)
		l.proxy.loop.PostAfter(configRequestRetry, func() { l.requestConfig(link) })
	}
}

// sendOpinions sends the opinions about instances to one control plane.
func (l *controlPlaneLinks) sendOpinions(now time.Time) {
	opinions := l.proxy.observer.opinions(now)
	if len(opinions) == 0 {
		return
	}
	for _, link := range l.active {
		if link.conn != nil {
			msg := l.message(link)
			msg.Opinions = opinions
			l.send(link, msg)
			return // control planes exchange opinions with each other
		}
	}
}

// handleLost handles the loss of a connection: it schedules a reconnection after a backoff.
func (l *controlPlaneLinks) handleLost(link *controlPlaneLink) {
	if l.active[link.ip] != link {
		return
	}
	now := time.Now()
	delete(l.active, link.ip)
	if l.backoffs[link.ip] == nil {
		l.backoffs[link.ip] = &transport.Backoff{Min: firstBackoff, Max: maxBackoff}
	}
	delay := l.backoffs[link.ip].Next()
	l.retryAt[link.ip] = now.Add(delay)
	l.proxy.loop.PostAfter(delay+time.Millisecond, l.tick)
	l.proxy.applyChange(discovery.Change{Nodes: l.proxy.state.ControlPlaneLost(now, link.ip)})
	l.announcePrimary()
	l.tick()
}
