// Package pier is the last gate beside an endpoint: every request reaches the endpoint through it, so what is judged there
// is decided once, exactly, here: nothing after a drain, into an evacuated zone or to another life, no more a second to a
// cold endpoint than it bears, no more at once than it has slots. A request that is turned away never reached the
// endpoint. It is pure: the time comes in, decisions go out.
package pier

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// State is that of the endpoint's life, as this gate knows it.
type State uint8

// The states. Enter is the one function that changes them.
const (
	Unknown  State = iota // no life has been heard of
	Serving               // it takes requests
	Draining              // it has been told that it may leave: for a while what was on its way is let in
	Down                  // it does not answer
	Gone                  // it has ended
)

func (s State) String() string {
	return [...]string{"unknown", "serving", "draining", "down", "gone"}[s]
}

// Verdict is what becomes of a request at the gate. All but Pass and Wait say that it never reached the endpoint.
type Verdict uint8

// The verdicts.
const (
	Pass Verdict = iota
	Wait
	NoLife    // no endpoint is known, or it does not answer, or it has ended
	OtherLife // the request is for another life
	Leaving   // the endpoint drains, or this pilot ends
	Evacuated // the zone is to get nothing
	Cold      // a cold endpoint has had its share of this second
	Full      // all slots are taken, and so are the places to wait
)

func (v Verdict) String() string {
	return [...]string{"pass", "wait", "nolife", "otherlife", "leaving", "evacuated", "cold", "full"}[v]
}

// Bounds are what the rules and the settings allow.
type Bounds struct {
	Drain        time.Duration // from the notice to the last request that may reach the endpoint
	WarmupExcess float64
	WarmupSlack  float64
	WarmupRate   float64 // requests a second that a cold endpoint bears; 0 for no bound
	MaxConns     int     // 0 for no bound
}

const (
	drainPart = 0.5         // of the drain's time in which the gate still lets in what was on its way
	second    = time.Second // the span that the rule about cold endpoints counts in
	coldPart  = 1.0         // of the rate that a cold endpoint bears
	usedPart  = 0.6         // of what the rule allows, at most
	fewSlots  = 6           // of an endpoint that has not said how many it has, and of which nobody else knows
)

// Ask is one request at the gate.
type Ask struct {
	Life     string // it is for this life
	Priority int    // the lower goes first among those that wait
	Once     bool   // it may run once only: at a cold endpoint it goes before those of its priority that may be repeated
	Stays    bool   // it waits at a cold endpoint too: its sender knows of no warm one
	Until    time.Time
}

// Ticket is a request that was let in or waits.
type Ticket struct {
	Ask
	order  uint64
	first  bool // before others of its priority
	inside bool
	at     time.Time // it was let in
}

// early is over 0 for a ticket that goes before others of its priority.
func (t *Ticket) early() int {
	if t.first {
		return 1
	}
	return 0
}

// Gate is the gate of one endpoint. It is not safe for concurrent use.
type Gate struct {
	bounds    Bounds
	state     State
	life      string
	ended     map[string]bool // lives that are over
	capacity  int
	guess     int // slots, as long as the endpoint has not said how many
	coldUntil time.Time
	closeAt   time.Time // with Draining: nothing is let in from then on
	leaveAt   time.Time // this pilot ends; zero for not
	evacuated bool
	order     uint64 // the number of the evacuation, or of its end, that is gone by
	ordered   bool   // what operators have ordered is known: until then nothing is let in
	doubtful  bool   // the endpoint may have become cold unheard
	inside    int
	waiting   []*Ticket
	arrivals  []time.Time // of the last second
	begun     time.Time   // the first request was let in
	last      uint64
}

// New makes a gate that knows of no endpoint.
func New(b Bounds) *Gate { return &Gate{bounds: b, ended: map[string]bool{}} }

// Bound sets other bounds.
func (g *Gate) Bound(b Bounds) { g.bounds = b }

// State is the state of the life, and the life.
func (g *Gate) State() (State, string) { return g.state, g.life }

// Inside is how many requests the endpoint has, and Waiting how many wait for it.
func (g *Gate) Inside() int  { return g.inside }
func (g *Gate) Waiting() int { return len(g.waiting) }

// Capacity is how many requests the endpoint works on at once, as it says.
func (g *Gate) Capacity() int { return g.capacity }

// Guess says how many slots the endpoint is likely to have: it counts until the endpoint says so itself.
func (g *Gate) Guess(slots int) { g.guess = slots }

// ColdLeft is how long the endpoint is still cold.
func (g *Gate) ColdLeft(now time.Time) time.Duration { return max(g.coldUntil.Sub(now), 0) }

// Enter is the one function that changes the state: a life is in a state from now on. It tells whether anything changed. A
// life that has ended stays so, and one that drains never serves again.
func (g *Gate) Enter(now time.Time, life string, to State) bool {
	fresh := life != g.life
	switch {
	case g.ended[life] && to != Gone:
		return false
	case life != g.life:
		if to == Gone {
			g.ended[life] = true
			return false
		}
		if g.life != "" {
			g.ended[g.life] = true
		}
		g.life, g.coldUntil, g.doubtful, g.capacity = life, time.Time{}, false, 0
	case to == g.state:
		return false
	case g.state == Draining && (to == Serving || to == Down):
		return false
	}
	first := g.state == Unknown || fresh
	g.state = to
	switch to {
	case Draining:
		if g.closeAt = now; !first { // of one that is first heard of like that, an earlier process may have promised it long ago
			g.closeAt = now.Add(time.Duration(drainPart * float64(g.bounds.Drain)))
		}
	case Gone:
		g.ended[life] = true
	}
	return true
}

// Said takes what the endpoint says of itself: its slots and how long it is cold.
func (g *Gate) Said(now time.Time, capacity int, cold time.Duration) {
	g.capacity, g.doubtful = capacity, false
	if until := now.Add(cold); cold > 0 && until.After(g.coldUntil) {
		g.coldUntil = until
	}
}

// Leave says that this pilot ends: after a while nothing more is let in.
func (g *Gate) Leave(from time.Time) { g.leaveAt = from }

// Evacuate closes the gate for an evacuation, or opens it: then the endpoint may be cold until it says more. An order with a lower number
// than one that is gone by changes nothing; 0 is that of none.
func (g *Gate) Evacuate(number uint64, on bool) {
	if number < g.order {
		return
	}
	if g.evacuated && !on {
		g.doubtful = true
	}
	g.order, g.evacuated, g.ordered = number, on, true
}

// Evacuated tells whether the gate is closed for an evacuation.
func (g *Gate) Evacuated() bool { return g.evacuated }

// Doubt says that the endpoint may be cold, until it says more.
func (g *Gate) Doubt() { g.doubtful = true }

// closed is why nothing is let in just now; Pass if it is.
func (g *Gate) closed(now time.Time, life string) Verdict {
	switch {
	case life != g.life && g.life != "":
		return OtherLife
	case !g.ordered || g.state == Unknown || g.state == Down || g.state == Gone:
		return NoLife
	case g.evacuated:
		return Evacuated
	case g.state == Draining && !now.Before(g.closeAt), !g.leaveAt.IsZero() && !now.Before(g.leaveAt):
		return Leaving
	}
	return Pass
}

// cold tells whether the bound of cold endpoints holds.
func (g *Gate) cold(now time.Time) bool {
	return g.bounds.WarmupRate > 0 && (g.doubtful || now.Before(g.coldUntil))
}

// coldShare is how many requests a cold endpoint gets within any second: what it bears (a fifth more made its worst seconds worse),
// and no more than a part of what the rule allows. For a second from its first request on, a gate keeps to what the rule leaves beside
// that: this pilot may have been started anew, and not know what its predecessor let in.
func (g *Gate) coldShare(now time.Time) int {
	most := g.bounds.WarmupRate*g.bounds.WarmupExcess + g.bounds.WarmupSlack
	share := math.Floor(math.Min(coldPart*g.bounds.WarmupRate, usedPart*most))
	if g.begun.IsZero() || now.Sub(g.begun) <= second {
		share = math.Min(share, most-share)
	}
	return max(int(share), 1)
}

// coldAt is when a cold endpoint may get one more; a time that is not after now says at once.
func (g *Gate) coldAt(now time.Time) (at time.Time) {
	g.recent(now)
	if n, most := len(g.arrivals), g.coldShare(now); n >= most {
		at = g.arrivals[n-most].Add(second + 1)
	}
	return at
}

// slots is how many requests may be inside at once.
func (g *Gate) slots() int {
	n := cmp.Or(g.capacity, g.guess, fewSlots)
	if g.bounds.MaxConns > 0 {
		n = min(n, g.bounds.MaxConns)
	}
	return n
}

// room tells whether one more may go in now.
func (g *Gate) room(now time.Time) Verdict {
	if g.inside >= g.slots() {
		return Full
	}
	if g.cold(now) && g.coldAt(now).After(now) {
		return Cold
	}
	return Pass
}

// recent drops arrivals that are older than a second.
func (g *Gate) recent(now time.Time) {
	old := 0
	for old < len(g.arrivals) && now.Sub(g.arrivals[old]) > second {
		old++
	}
	g.arrivals = slices.Delete(g.arrivals, 0, old)
}

func (g *Gate) let(now time.Time, t *Ticket) {
	t.inside, t.at = true, now
	g.inside++
	if g.begun.IsZero() {
		g.begun = now
	}
	g.recent(now)
	g.arrivals = append(g.arrivals, now)
}

// Ask brings a request to the gate. With Wait it is heard of again by Next.
func (g *Gate) Ask(now time.Time, a Ask) (*Ticket, Verdict) {
	if v := g.closed(now, a.Life); v != Pass {
		return nil, v
	}
	t := &Ticket{Ask: a}
	v := g.room(now)
	if v == Pass && len(g.waiting) == 0 {
		g.let(now, t)
		return t, Pass
	}
	if v == Cold && !a.Stays || len(g.waiting) >= g.slots() || !now.Before(a.Until) {
		return nil, cmp.Or(v, Full)
	}
	g.last++
	t.order, t.first = g.last, a.Once && g.cold(now)
	at, _ := slices.BinarySearchFunc(g.waiting, t, func(a, b *Ticket) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(b.early(), a.early()), cmp.Compare(a.order, b.order))
	})
	g.waiting = slices.Insert(g.waiting, at, t)
	return t, Wait
}

// Goes takes that a request that was let in goes to the endpoint only now, as its body had to come: what holds now counts. With
// another verdict than Pass it has left.
func (g *Gate) Goes(now time.Time, t *Ticket) Verdict {
	v := g.closed(now, t.Life)
	if i := slices.Index(g.arrivals, t.at); v == Pass && now.After(t.at) {
		if i >= 0 {
			g.arrivals = slices.Delete(g.arrivals, i, i+1)
		}
		if g.cold(now) && g.coldAt(now).After(now) {
			v = Cold
		} else {
			g.arrivals = append(g.arrivals, now)
		}
	}
	if v != Pass {
		g.Leaves(t)
	}
	return v
}

// Leaves says that a request is over, or is not wanted any more.
func (g *Gate) Leaves(t *Ticket) {
	if t.inside {
		g.inside--
		t.inside = false
		return
	}
	if i := slices.Index(g.waiting, t); i >= 0 {
		g.waiting = slices.Delete(g.waiting, i, i+1)
	}
}

// sooner is the earlier of two times; a zero one is none.
func sooner(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// Decided is what became of a ticket that waited.
type Decided struct {
	Ticket  *Ticket
	Verdict Verdict
}

// Next decides on those that wait, as far as that can be done now, and tells when to look again; zero for no such time.
func (g *Gate) Next(now time.Time) (out []Decided, at time.Time) {
	keep := g.waiting[:0:0]
	for _, t := range g.waiting {
		if v := g.closed(now, t.Life); v != Pass {
			out = append(out, Decided{t, v})
			continue
		}
		v := g.room(now)
		if !now.Before(t.Until) || v == Cold && !t.Stays {
			out = append(out, Decided{t, cmp.Or(v, Full)})
		} else if v == Pass {
			g.let(now, t)
			out = append(out, Decided{t, Pass})
		} else {
			keep = append(keep, t)
			at = sooner(at, t.Until)
			if v == Cold {
				at = sooner(at, g.coldAt(now))
			}
		}
	}
	g.waiting = keep
	return out, at
}
