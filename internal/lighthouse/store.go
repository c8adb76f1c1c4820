package lighthouse

import (
	"net"
	"time"

	"whinknot/internal/keeper"
	"whinknot/internal/signal"
)

const (
	orderPart = 0.875           // of the time for an acknowledgement, for a result; then it is unclear what became of the order
	usualAck  = 4 * time.Second // where the settings name none
)

// store is the way to the keeper on this machine.
type store struct {
	l      *Lighthouse
	out    *signal.Outbox // the loop's; nil while there is no connection
	lastID uint64
	orders map[uint64]func(*keeper.Result)
	most   time.Duration // for an order
}

func newStore(l *Lighthouse) *store {
	ack := usualAck
	if l.s != nil && l.s.Bounds.Ack > 0 {
		ack = l.s.Bounds.Ack
	}
	return &store{l: l, orders: map[uint64]func(*keeper.Result){}, most: time.Duration(orderPart * float64(ack))}
}

// follow holds a connection to a keeper.
func (s *store) follow() {
	l := s.l
	pause := signal.Pause{First: firstPause, Most: l.pace(pulse / 4)}
	signal.Hold(l.ctx, keeper.Address(l.s.IP, l.s), l.pace(silence), pause, &keeper.Hello{Lighthouse: l.s.Node}, func(conn *signal.Conn) {
		out := signal.NewOutbox(conn, queue)
		l.running.Go(out.Run)
		l.loop.Post(func() { s.out = out; s.beat(time.Now()) })
		defer l.loop.Post(s.lost)
		for {
			var w keeper.Word
			if conn.Receive(&w) != nil {
				return
			}
			l.loop.Post(func() { s.heard(&w) })
		}
	})
}

// beat asks the keeper whether it has contact. The lease counts from now, not from when the answer comes.
func (s *store) beat(now time.Time) {
	if s.out != nil {
		s.out.Say(&keeper.Order{Kind: keeper.Beat, ID: s.l.contact.Beat(now)})
	}
}

// heard takes a word of the keeper.
func (s *store) heard(w *keeper.Word) {
	now := time.Now()
	news, beat := s.l.contact.Heard(now, w)
	s.l.speak(news)
	if beat {
		s.beat(now)
	}
	for _, m := range w.Core {
		s.l.meet(host(m.Addr), m.Zone)
	}
	if r := w.Result; r != nil {
		if then := s.orders[r.ID]; then != nil {
			delete(s.orders, r.ID)
			then(r)
		}
	}
}

// lost notes that the keeper cannot be reached: what became of its orders is not clear, and this lighthouse sees nothing.
func (s *store) lost() {
	now := time.Now()
	s.out = nil
	s.l.contact.Lost(now)
	s.l.speak(false)
	pending := s.orders
	s.orders = map[uint64]func(*keeper.Result){}
	for _, then := range pending {
		then(&keeper.Result{Status: keeper.Unclear, Why: "the keeper was lost meanwhile"})
	}
}

// order has the keeper carry out an order that came at a time; then gets the result, once. An order that is too old when its turn comes is
// not handed on, nor one that may be, as this process stood still: who gave it has given it again elsewhere, and others after it.
func (s *store) order(o *keeper.Order, came time.Time, then func(*keeper.Result)) {
	now := time.Now()
	switch {
	case s.out == nil:
		then(&keeper.Result{Status: keeper.Unclear, Why: "no keeper can be reached"})
		return
	case now.Sub(came) >= s.most, s.l.stood.Just(now):
		then(&keeper.Result{Status: keeper.Unclear, Why: "this lighthouse stood still, and the order may be old"})
		return
	}
	s.lastID++
	o.ID = s.lastID
	id := o.ID
	s.orders[id] = then
	s.out.Say(signal.Late(func() any {
		if time.Since(came) >= s.most {
			return nil
		}
		return o
	}))
	time.AfterFunc(s.most, func() {
		s.l.loop.Post(func() {
			if f := s.orders[id]; f != nil {
				delete(s.orders, id)
				f(&keeper.Result{Status: keeper.Unclear, Why: "the keeper gave no result in time"})
			}
		})
	})
}

// host is the machine of an address.
func host(addr string) string {
	ip, _, err := net.SplitHostPort(addr)
	if err != nil {
		return ""
	}
	return ip
}
