// Package rules checks the four rules over the stream of what sidecars, servers and clients did. It knows nothing of how they
// decide or of how they are modelled: facts go in, in the order of their times, and breaks come out.
package rules

import (
	"fmt"
	"maps"
	"slices"

	"whinknot"
)

// Kind is what a fact tells.
type Kind uint8

// The kinds of fact, and the fields that count.
const (
	Taken    Kind = iota + 1 // Copy, Request, Class, Due: a copy has taken a request whose client gives it up at Due
	Left                     // Copy, Request: its client waits no longer
	Sent                     // Copy, Request, Attempt, Server: an attempt goes out
	Closed                   // Copy, Request, Attempt, MayRun: it is over, and may have run or is certain not to have
	Answered                 // Copy, Request, Answer
	Lost                     // Copy: it was killed: what it held gets no answer, and none is owed
	Up                       // Server, Zone, Cell, Cold: it has started, cold or as it was before all
	Told                     // Copy, Server, Serves: the copy has heard that a server serves, or that it drains or is gone
	Reached                  // Server, Copy, Work, Capacity: work has reached a server that can do so much a second at that moment
	Ended                    // the end: what is open still gets no answer
)

// Answer is a final answer.
type Answer uint8

// The final answers.
const (
	Served Answer = iota + 1
	Refused
	Failed
)

func (a Answer) String() string { return [...]string{"none", "served", "refused", "failed"}[a] }

// Fact is one thing that happened. Times are milliseconds, work is milliseconds of one server at its full capacity.
type Fact struct {
	At       float64
	Kind     Kind
	Answer   Answer
	Serves   bool
	Cold     bool
	MayRun   bool
	Attempt  uint16
	Class    uint16
	Cell     uint16
	Zone     uint8
	Copy     uint32
	Server   uint32
	Request  uint64
	Due      float64
	Work     float64
	Capacity float64 // milliseconds of work a second
}

// Limits are what the rules allow.
type Limits struct {
	Classes      []whinknot.Class
	MaxAttempts  int
	AnswerSlack  float64 // ms that an answer may come after the client's time
	DrainGrace   float64 // ms after a copy was told
	FallMultiple float64 // work that reaches a cold server against what it can do
	FallAfter    float64 // ms
	ToldShare    float64 // of that work which has to come from copies that knew of the start for the break to be theirs
}

// Break is one breach of a rule.
type Break struct {
	Rule    int     // 1 to 4
	At      float64 // ms
	Copy    uint32
	Server  uint32
	Request uint64
	Text    string
}

func (b Break) String() string {
	return fmt.Sprintf("rule %d at %.3f ms: copy %d, server %d, request %d: %s", b.Rule, b.At, b.Copy, b.Server, b.Request, b.Text)
}

// mostBreaks bounds what is kept; Count goes on.
const mostBreaks = 100

// Margins are how near the rules came to being broken.
type Margins struct {
	Drain  float64 // ms: the latest new request to a server after the word that it drains or is gone
	Answer float64 // ms: the latest answer past its client's time
	Cold   float64 // highest of work to what a cold server could do, over FallAfter
}

type request struct {
	class    uint16
	copy     uint32
	due      float64
	answered bool
	left     bool
	open     int
	attempts int
	mayRun   bool
	firstRun float64
	runAt    uint32 // the server of that attempt
	sent     [4]struct {
		at     float64
		server uint32
	}
}

type server struct {
	zone   uint8
	cell   uint16
	cold   bool
	fallen bool
	window []reached // work of the last FallAfter
	first  int
	work   float64
	told   float64 // the part of it that copies sent which knew of the start
}

type reached struct {
	at, work float64
	told     bool
}

// pair is a copy and a server.
type pair struct{ copy, server uint32 }

// Checker goes over the facts. The zero value is not usable: see New.
type Checker struct {
	limits   Limits
	requests map[uint64]*request
	servers  map[uint32]*server
	gone     map[pair]float64 // since when a copy knows that a server takes nothing new
	knows    map[pair]bool    // copies that were told of a server since it started
	byCopy   map[uint32]map[uint64]bool

	Breaks  []Break
	Count   int // of breaks, also those not kept
	Margins Margins
}

// New makes a checker.
func New(l Limits) *Checker {
	return &Checker{
		limits: l, requests: map[uint64]*request{}, servers: map[uint32]*server{}, gone: map[pair]float64{}, knows: map[pair]bool{},
		byCopy: map[uint32]map[uint64]bool{},
	}
}

// Open is the number of requests that have no final answer yet or attempts out.
func (c *Checker) Open() int { return len(c.requests) }

func (c *Checker) breaks(rule int, f *Fact, format string, args ...any) {
	c.Count++
	if len(c.Breaks) < mostBreaks {
		c.Breaks = append(c.Breaks, Break{rule, f.At, f.Copy, f.Server, f.Request, fmt.Sprintf(format, args...)})
	}
}

// Hear takes the next fact.
func (c *Checker) Hear(f *Fact) {
	switch f.Kind {
	case Taken:
		if c.requests[f.Request] != nil {
			c.breaks(1, f, "taken twice")
			return
		}
		c.requests[f.Request] = &request{class: f.Class, copy: f.Copy, due: f.Due}
		if c.byCopy[f.Copy] == nil {
			c.byCopy[f.Copy] = map[uint64]bool{}
		}
		c.byCopy[f.Copy][f.Request] = true
	case Left:
		if q := c.requests[f.Request]; q != nil {
			q.left = true
			c.settle(f.Request, q)
		}
	case Sent:
		c.sent(f)
	case Closed:
		c.closed(f)
	case Answered:
		c.answered(f)
	case Lost:
		for id := range c.byCopy[f.Copy] {
			delete(c.requests, id)
		}
		delete(c.byCopy, f.Copy)
	case Up:
		c.servers[f.Server] = &server{zone: f.Zone, cell: f.Cell, cold: f.Cold}
	case Told:
		p := pair{f.Copy, f.Server}
		c.knows[p] = true
		if f.Serves {
			delete(c.gone, p)
		} else if _, ok := c.gone[p]; !ok {
			c.gone[p] = f.At
		}
	case Reached:
		c.reached(f)
	case Ended:
		for _, id := range slices.Sorted(maps.Keys(c.requests)) {
			q := c.requests[id]
			if !q.answered && !q.left && f.At > q.due+c.limits.AnswerSlack {
				c.breaks(1, &Fact{At: f.At, Copy: q.copy, Request: id}, "no final answer %.1f ms past its client's time", f.At-q.due)
			}
		}
	}
}

// sent checks an attempt against rules 1, 2 and 4.
func (c *Checker) sent(f *Fact) {
	if since, ok := c.gone[pair{f.Copy, f.Server}]; ok {
		c.Margins.Drain = max(c.Margins.Drain, f.At-since)
		if f.At-since > c.limits.DrainGrace {
			c.breaks(2, f, "sent %.1f ms after the word that the server takes nothing new", f.At-since)
		}
	}
	q := c.requests[f.Request]
	if q == nil {
		c.breaks(1, f, "an attempt of a request that is over or was never taken")
		return
	}
	if q.answered || q.left {
		c.breaks(1, f, "an attempt after the final answer")
	}
	if q.open > 0 {
		c.breaks(4, f, "a second attempt beside one that is out")
	}
	if q.attempts++; q.attempts > c.limits.MaxAttempts {
		c.breaks(4, f, "attempt %d of %d", q.attempts, c.limits.MaxAttempts)
	}
	if q.mayRun {
		c.repeat(f, q)
	}
	q.open++
	n := int(f.Attempt) % len(q.sent)
	q.sent[n].at, q.sent[n].server = f.At, f.Server
}

// repeat checks an attempt after one that may have run.
func (c *Checker) repeat(f *Fact, q *request) {
	class := &c.limits.Classes[q.class]
	switch class.Effect {
	case whinknot.Unsafe:
		c.breaks(4, f, "an unsafe request that may have run goes out again")
	case whinknot.Keyed:
		if f.At >= q.firstRun+class.Window {
			c.breaks(4, f, "a keyed request goes out again %.1f ms after the first, past the window", f.At-q.firstRun)
		}
		a, b := c.servers[q.runAt], c.servers[f.Server]
		if a == nil || b == nil {
			return
		}
		if class.Group == whinknot.GroupZone && a.zone != b.zone || class.Group == whinknot.GroupCell && a.cell != b.cell {
			c.breaks(4, f, "a keyed request goes out again to servers that do not remember the first")
		}
	}
}

func (c *Checker) closed(f *Fact) {
	q := c.requests[f.Request]
	if q == nil {
		return
	}
	if q.open--; q.open < 0 {
		c.breaks(1, f, "an attempt ended twice")
		q.open = 0
	}
	if f.MayRun && !q.mayRun {
		sent := q.sent[int(f.Attempt)%len(q.sent)]
		q.mayRun, q.firstRun, q.runAt = true, sent.at, sent.server
	}
	c.settle(f.Request, q)
}

// answered checks a final answer against rules 1 and 4.
func (c *Checker) answered(f *Fact) {
	q := c.requests[f.Request]
	if q == nil || q.answered {
		c.breaks(1, f, "a second final answer (%v)", f.Answer)
		return
	}
	q.answered = true
	late := f.At - q.due
	if !q.left {
		c.Margins.Answer = max(c.Margins.Answer, late)
	}
	if late > c.limits.AnswerSlack && !q.left {
		c.breaks(1, f, "answered (%v) %.1f ms past its client's time", f.Answer, late)
	}
	class := &c.limits.Classes[q.class]
	remembers := class.Effect == whinknot.Keyed && class.Group == whinknot.GroupAll
	if f.Answer == Refused && class.Effect != whinknot.Safe && !remembers && (q.mayRun || q.open > 0) {
		c.breaks(4, f, "refused though an attempt may have run")
	}
	c.settle(f.Request, q)
}

// settle forgets a request of which nothing more can be heard.
func (c *Checker) settle(id uint64, q *request) {
	if (q.answered || q.left) && q.open == 0 {
		delete(c.requests, id)
		delete(c.byCopy[q.copy], id)
	}
}

// reached checks rule 3: a cold server that is sent too much for too long, most of it by copies that knew.
func (c *Checker) reached(f *Fact) {
	s := c.servers[f.Server]
	if s == nil || !s.cold || s.fallen {
		return
	}
	told := c.knows[pair{f.Copy, f.Server}]
	s.window = append(s.window, reached{f.At, f.Work, told})
	s.work += f.Work
	if told {
		s.told += f.Work
	}
	for s.window[s.first].at < f.At-c.limits.FallAfter {
		s.work -= s.window[s.first].work
		if s.window[s.first].told {
			s.told -= s.window[s.first].work
		}
		s.first++
	}
	if s.first > len(s.window)/2 {
		s.window = s.window[:copy(s.window, s.window[s.first:])]
		s.first = 0
	}
	over := s.work / max(f.Capacity*c.limits.FallAfter/1000, 1e-9)
	c.Margins.Cold = max(c.Margins.Cold, over)
	if over <= c.limits.FallMultiple {
		return
	}
	s.fallen = true
	if s.told >= c.limits.ToldShare*s.work {
		c.breaks(3, f, "%.2f times what the cold server can do reached it within %.0f ms", over, c.limits.FallAfter)
	}
}

// Fallen tells whether a cold server has been pushed over, by whoever.
func (c *Checker) Fallen(server uint32) bool {
	s := c.servers[server]
	return s != nil && s.fallen
}

// Warm says that a server is warm: it can be pushed over no more.
func (c *Checker) Warm(server uint32) {
	if s := c.servers[server]; s != nil {
		s.cold, s.window, s.first, s.work, s.told = false, nil, 0, 0, 0
	}
}
