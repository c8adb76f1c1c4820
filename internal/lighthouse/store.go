package lighthouse

import (
	"net"
	"time"

	"whinknot/internal/keeper"
	"whinknot/internal/signal"
)

const (
	storeBeat = 500 * time.Millisecond
	orderTime = 3500 * time.Millisecond // for a result; then it is unclear what became of the order
)

// store is the way to a keeper: the one on this machine, or another while that does not answer.
type store struct {
	l      *Lighthouse
	conn   *signal.Conn // the loop's
	lastID uint64
	orders map[uint64]func(*keeper.Result)
}

func newStore(l *Lighthouse) *store {
	return &store{l: l, orders: map[uint64]func(*keeper.Result){}}
}

// follow holds a connection to a keeper.
func (s *store) follow() {
	l := s.l
	pause := signal.Pause{First: firstPause, Most: pulse / 4}
	signal.Hold(l.ctx, keeper.Address(l.s.IP, l.s), silence, pause, &keeper.Hello{Lighthouse: l.s.Node}, func(conn *signal.Conn) {
		l.loop.Post(func() { s.conn = conn })
		defer l.loop.Post(s.lost)
		l.running.Go(func() { conn.Beat(storeBeat, &keeper.Order{Kind: keeper.Beat}) })
		for {
			var w keeper.Word
			if conn.Receive(&w) != nil {
				return
			}
			l.loop.Post(func() { s.heard(&w) })
		}
	})
}

// heard takes a word of the keeper.
func (s *store) heard(w *keeper.Word) {
	if w.InForce != nil {
		s.l.ordered(w.InForce)
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
	s.conn = nil
	pending := s.orders
	s.orders = map[uint64]func(*keeper.Result){}
	for _, then := range pending {
		then(&keeper.Result{Status: keeper.Unclear, Why: "the keeper was lost meanwhile"})
	}
	if f := s.l.inForce; f != nil {
		blind := *f
		blind.Settled = false
		s.l.inForce = &blind
	}
}

// order has the keeper carry out an order; then gets the result, once.
func (s *store) order(o *keeper.Order, then func(*keeper.Result)) {
	if s.conn == nil {
		then(&keeper.Result{Status: keeper.Unclear, Why: "no keeper can be reached"})
		return
	}
	s.lastID++
	o.ID = s.lastID
	id, conn := o.ID, s.conn
	s.orders[id] = then
	s.l.running.Go(func() { conn.Send(o) })
	time.AfterFunc(orderTime, func() {
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
