package pilot

import (
	"cmp"
	"slices"
	"time"

	"whinknot/internal/beacon"
	"whinknot/internal/berth"
	"whinknot/internal/lamp"
	"whinknot/internal/lighthouse"
	"whinknot/internal/signal"
	"whinknot/internal/spread"
)

const (
	linkPulse   = 800 * time.Millisecond // between two words to a lighthouse where there is no news
	linkSilence = 2200 * time.Millisecond
	linkQueue   = 64                    // words to one lighthouse that it has not taken
	linkCount   = 3                     // lighthouses that are connected to at once
	searchCount = 11                    // and while none of them has contact: more than that no core has
	searchAfter = linkSilence / 2       // without one that has contact, others are tried too
	firstPause  = 25 * time.Millisecond // before a lighthouse is tried again, at first and at most
	mostPause   = 250 * time.Millisecond
	wantAfter   = 60 * time.Millisecond // the nearest lighthouse has sent a configuration by then
	wantAgain   = 300 * time.Millisecond
)

// links are the held connections to lighthouses. They belong to the pilot's loop.
type links struct {
	p      *Pilot
	s      *berth.Settings
	pace   func(time.Duration) time.Duration // a time of the own talk, by the bounds of the start
	known  map[string]string                 // zones of the machines of the core; "" where it is not known
	active map[string]*link
	failed map[string]time.Time // not to be tried before
	pauses map[string]*signal.Pause
	told   string    // the main one, as lighthouses were told
	saw    time.Time // one that had contact was reached last then; the start at first
}

type link struct {
	ip   string
	conn *signal.Conn // nil while it is being opened
	out  *signal.Outbox
	last time.Time
	ack  uint64
}

func newLinks(p *Pilot) *links {
	return &links{p: p, s: p.s, pace: p.s.Bounds.Paced, known: map[string]string{}, active: map[string]*link{}, failed: map[string]time.Time{}, pauses: map[string]*signal.Pause{}, saw: time.Now()}
}

func (l *links) meetSeeds() { l.p.loop.Post(func() { l.settings(l.s) }) }

// settings takes settings that were read again.
func (l *links) settings(s *berth.Settings) {
	l.s = s
	for _, ip := range s.SeedIPs() {
		l.known[ip] += "" // a zone that is known stays
	}
	l.tick()
}

// order is the machines of the core, those first that this pilot would rather be connected to.
func (l *links) order() []string {
	var out []string
	for ip := range l.known {
		out = append(out, ip)
	}
	rank := func(ip string) uint64 { return spread.Name(ip + "|" + l.s.Node) }
	far := func(ip string) int {
		if l.known[ip] == l.s.Zone {
			return 0
		}
		return 1
	}
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(far(a), far(b)), cmp.Compare(rank(a), rank(b)))
	})
	return out
}

// tick opens connections while there are too few, and says on each that this pilot is there.
func (l *links) tick() {
	now := time.Now()
	order := l.order()
	most := l.most(now)
	for _, ip := range order {
		if len(l.active) >= most {
			break
		}
		if l.active[ip] == nil && now.After(l.failed[ip]) {
			l.open(ip)
		}
	}
	l.nearer(order, now)
	if k := l.surplus(order, most); k != nil {
		k.conn.Close()
	}
	for _, k := range l.active {
		if k.conn != nil && now.Sub(k.last) >= l.pace(linkPulse)-lookEvery/2 {
			l.send(k, l.up(k))
		}
	}
}

// most is how many lighthouses to be connected to: more than usual while none of them has contact with a majority, as one that has may
// be among those that are farther away.
func (l *links) most(now time.Time) int {
	for ip, k := range l.active {
		if k.conn != nil && l.p.room.Sighted(ip) {
			l.saw = now
		}
	}
	if now.Sub(l.saw) < l.pace(searchAfter) {
		return linkCount
	}
	return searchCount
}

// surplus is the connection to be given up, if there are too many: the farthest of those to lighthouses without contact, or else the
// farthest of all.
func (l *links) surplus(order []string, most int) (farthest *link) {
	if len(l.active) <= most {
		return nil
	}
	for _, ip := range slices.Backward(order) {
		k := l.active[ip]
		if k == nil || k.conn == nil {
			continue
		}
		if !l.p.room.Sighted(ip) {
			return k
		}
		if farthest == nil {
			farthest = k
		}
	}
	return farthest
}

// nearer gives up the farthest connection, if there is none to a machine of the own zone that could be had.
func (l *links) nearer(order []string, now time.Time) {
	if len(order) == 0 || l.known[order[0]] != l.s.Zone || l.active[order[0]] != nil || now.Before(l.failed[order[0]]) || len(l.active) < linkCount {
		return
	}
	for _, ip := range slices.Backward(order) {
		if k := l.active[ip]; k != nil && k.conn != nil {
			l.open(order[0])
			k.conn.Close()
			return
		}
	}
}

// main is the lighthouse that tells who is there, and sends configurations whole: the nearest of those that there is a connection
// to, and of those one that sees most of the core, if any does.
func (l *links) main() string {
	first := ""
	for _, ip := range l.order() {
		if k := l.active[ip]; k != nil && k.conn != nil {
			if l.p.room.Sighted(ip) {
				return ip
			}
			first = cmp.Or(first, ip)
		}
	}
	return first
}

// settleMain tells the lighthouse that has become the main one, and the one that was.
func (l *links) settleMain() {
	now := l.main()
	if now == l.told {
		return
	}
	was := l.told
	l.told = now
	for _, ip := range []string{now, was} {
		if k := l.active[ip]; k != nil && k.conn != nil {
			l.send(k, l.up(k))
		}
	}
}

// up is what every word to a lighthouse says.
func (l *links) up(k *link) *lamp.Up {
	_, version := l.p.room.Config()
	return &lamp.Up{Ack: k.ack, Holds: version, Main: k.ip == l.main(), Last: l.p.room.Asks(time.Now())}
}

func (l *links) open(ip string) {
	k := &link{ip: ip}
	l.active[ip] = k
	p := l.p
	p.running.Go(func() {
		conn, err := signal.Dial(p.ctx, lighthouse.Address(ip, l.s), l.pace(linkSilence))
		if err == nil {
			defer conn.Close()
			err = conn.Send(&lamp.Hello{Pilot: l.s.Node})
		}
		if err != nil {
			p.loop.Post(func() { l.lose(k) })
			return
		}
		out := signal.NewOutbox(conn, linkQueue)
		p.running.Go(out.Run)
		p.loop.Post(func() {
			k.conn, k.out = conn, out
			if pause := l.pauses[ip]; pause != nil {
				pause.Reset()
			}
			sheet := p.sheet
			up := l.up(k)
			up.Sheet = &sheet
			l.send(k, up)
			l.settleMain()
		})
		for {
			var d lamp.Down
			if err = conn.Receive(&d); err != nil {
				break
			}
			p.loop.Post(func() { l.hear(k, &d) })
		}
		p.loop.Post(func() {
			k.conn = nil
			l.lose(k)
		})
	})
}

// send sends to a lighthouse; one that does not take it is cut off.
func (l *links) send(k *link, up *lamp.Up) {
	if k.out.Say(up) {
		k.last = time.Now()
	}
}

// say tells all lighthouses a sheet.
func (l *links) say(s beacon.Sheet) {
	for _, k := range l.active {
		if k.conn != nil {
			up := l.up(k)
			up.Sheet = &s
			l.send(k, up)
		}
	}
}

// holds tells all lighthouses that another version is gone by: orders wait for that.
func (l *links) holds() {
	for _, k := range l.active {
		if k.conn != nil {
			l.send(k, l.up(k))
		}
	}
}

// hear takes news and acknowledges it.
func (l *links) hear(k *link, d *lamp.Down) {
	if d.Outlive >= l.p.sheet.Life {
		l.p.sheet.Life = d.Outlive + 1
		l.p.say()
	}
	if d.Asked != nil {
		l.p.witness.asked(k.ip, d.Asked.Lives)
	}
	for _, m := range d.Core {
		l.known[m.IP] = m.Zone
	}
	l.p.news(l.p.room.Hear(time.Now(), k.ip, d))
	l.settleMain()
	if d.Number > 0 {
		k.ack = d.Number
		if k.conn != nil {
			l.send(k, l.up(k))
		}
	}
	if l.p.room.Lacks(k.ip) {
		time.AfterFunc(wantAfter, func() { l.p.loop.Post(func() { l.want(k) }) })
	}
}

// want asks for the configuration that a lighthouse has named, if none has sent it meanwhile.
func (l *links) want(k *link) {
	if l.active[k.ip] == k && k.conn != nil && l.p.room.Lacks(k.ip) {
		up := l.up(k)
		up.Want = true
		l.send(k, up)
		time.AfterFunc(wantAgain, func() { l.p.loop.Post(func() { l.want(k) }) })
	}
}

// opine says what this pilot has seen of lives that are unwell.
func (l *links) opine(now time.Time) {
	opinions := l.p.witness.opinions(now)
	if len(opinions) == 0 {
		return
	}
	for _, k := range l.active {
		if k.conn != nil {
			up := l.up(k)
			up.Opinions = opinions
			l.send(k, up)
			return // lighthouses tell each other
		}
	}
}

// lose notes that a lighthouse cannot be reached.
func (l *links) lose(k *link) {
	if l.active[k.ip] != k {
		return
	}
	now := time.Now()
	delete(l.active, k.ip)
	if l.pauses[k.ip] == nil {
		l.pauses[k.ip] = &signal.Pause{First: firstPause, Most: mostPause}
	}
	pause := l.pauses[k.ip].Next()
	l.failed[k.ip] = now.Add(pause)
	time.AfterFunc(pause+time.Millisecond, func() { l.p.loop.Post(l.tick) })
	l.p.news(lamp.Change{Nodes: l.p.room.Lose(now, k.ip)})
	l.settleMain()
	l.tick()
}
