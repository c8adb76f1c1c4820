// Package muster is how pilots agree before a host is removed. Each gives its opinion of each life of an endpoint, from its
// own calls alone; a life is removed for all only when a majority of those that have evidence say so, from more than one
// zone; and never more than a stated share of a service. It is pure.
package muster

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"whinknot/internal/spread"
)

// Kind says how a call at a life ended, as far as it tells of the life.
type Kind uint8

// The ends that count.
const (
	Good   Kind = iota
	Failed      // its own failure, a broken or a wrong answer
	Silent      // no answer in time, or no connection to the pilot beside it: the link may be to blame
)

// Opinion is what one pilot says of one life.
type Opinion struct {
	Life    string
	Service string
	Calls   int // of the window
	Bad     int
	Gate    bool // it is that of the gate beside the endpoint, which sees every call, and over no link
}

// Bounds say what is evidence, and what is enough of it.
type Bounds struct {
	Window   time.Duration // calls older than that tell nothing
	Least    int           // calls without which a pilot has no opinion
	LeastBad int           // bad ones without which it finds nothing wrong
	BadPart  float64       // of its calls that are bad where a life is unwell
	Worse    float64       // a life's part of bad calls against that of others of its service, at least: what fails for all has another cause
	Peers    int           // others that it is compared with
	Voters   int           // pilots with an opinion without which nothing is decided
	Share    float64       // of a service that may be removed at most
	Away     time.Duration // from a removal until the life is tried again
	AwayMost time.Duration // the same, after many removals: each takes twice as long as the one before
}

// Usual are the bounds where nothing else is told.
func Usual() Bounds {
	return Bounds{
		Window: 4 * time.Second, Least: 4, LeastBad: 2, BadPart: 0.25, Worse: 3, Peers: 4, Voters: 3, Share: 0.34,
		Away: 8 * time.Second, AwayMost: time.Minute,
	}
}

// Witness is what one pilot has seen. It is not safe for concurrent use.
type Witness struct {
	b     Bounds
	lives map[string]*seen
}

type seen struct {
	service string
	calls   []call
}

type call struct {
	at   time.Time
	kind Kind
}

const mostCalls = 64 // remembered of a life

// NewWitness makes one that has seen nothing.
func NewWitness(b Bounds) *Witness { return &Witness{b: b, lives: map[string]*seen{}} }

// Saw notes how a call at a life ended.
func (w *Witness) Saw(now time.Time, service, life string, k Kind) {
	s := w.lives[life]
	if s == nil {
		s = &seen{service: service}
		w.lives[life] = s
	}
	s.calls = append(s.calls, call{now, k})
	if len(s.calls) > mostCalls {
		s.calls = append(s.calls[:0], s.calls[len(s.calls)-mostCalls:]...)
	}
}

// Opinions are those of now, by life; what is too old is forgotten. A pilot that finds most of what it calls silent is itself
// the one that is unwell, or its link: it says nothing.
func (w *Witness) Opinions(now time.Time) []Opinion {
	var out []Opinion
	silent, known := 0, 0
	for _, life := range slices.Sorted(maps.Keys(w.lives)) {
		s := w.lives[life]
		s.calls = slices.DeleteFunc(s.calls, func(c call) bool { return now.Sub(c.at) > w.b.Window })
		if len(s.calls) == 0 {
			delete(w.lives, life)
			continue
		}
		o := Opinion{Life: life, Service: s.service, Calls: len(s.calls)}
		mute := 0
		for _, c := range s.calls {
			if c.kind != Good {
				o.Bad++
			}
			if c.kind == Silent {
				mute++
			}
		}
		if known++; 2*mute > len(s.calls) {
			silent++
		}
		if o.Calls >= w.b.Least {
			out = append(out, o)
		}
	}
	if known > 1 && 2*silent > known {
		return nil
	}
	return out
}

// Unwell tells whether an opinion finds a life unwell.
func (b *Bounds) Unwell(o *Opinion) bool {
	return o.Bad >= b.LeastBad && float64(o.Bad) >= b.BadPart*float64(o.Calls)
}

// Vote is the opinions of one pilot, as they were heard.
type Vote struct {
	Pilot, Zone string
	Heard       time.Time
	Opinions    []Opinion
}

// Host is one life of a service, as the registry knows it.
type Host struct {
	Life, Service, Zone string
	Serving             bool // it takes requests, and its pilot is there
	Anew                bool // its pilot started within the window: what was seen tells of the one before, too
}

// Removal is one life that is out.
type Removal struct {
	Life, Service string
	Times         int // that it was removed, this time among them
	Back          bool
}

// Case is what the votes say of one life.
type Case struct {
	Host
	For, Against int
	Gate         bool // the gate beside it is for it
	Zones        int  // of those that are for it
	Of           int  // zones of all that have an opinion
	Calls, Bad   int  // of all callers
	OthersCalls  int  // at the others of its service that callers spoke of
	OthersBad    int
}

// Cases are the lives that some pilot finds unwell.
func Cases(b Bounds, now time.Time, hosts []Host, votes []Vote) []Case {
	var out []Case
	calls, bad := map[string]int{}, map[string]int{} // by service
	for _, h := range hosts {
		c := Case{Host: h}
		zones, all := map[string]bool{}, map[string]bool{}
		for _, v := range votes {
			if now.Sub(v.Heard) > b.Window {
				continue
			}
			for i := range v.Opinions {
				o := &v.Opinions[i]
				if o.Life != h.Life {
					continue
				}
				if o.Gate {
					c.Gate = b.Unwell(o)
				} else {
					all[v.Zone] = true
					c.Calls += o.Calls
					c.Bad += o.Bad
				}
				if b.Unwell(o) {
					c.For++
					if !o.Gate {
						zones[v.Zone] = true
					}
				} else {
					c.Against++
				}
			}
		}
		calls[h.Service] += c.Calls
		bad[h.Service] += c.Bad
		if c.Zones, c.Of = len(zones), len(all); c.For > 0 {
			out = append(out, c)
		}
	}
	for i := range out {
		c := &out[i]
		c.OthersCalls, c.OthersBad = calls[c.Service]-c.Calls, bad[c.Service]-c.Bad
	}
	return out
}

// Asked are the lives that pilots are to be asked about: those of the cases, and for each service a few more to compare with.
func Asked(b Bounds, hosts []Host, cases []Case) []string {
	var out []string
	services := map[string]int{}
	for _, c := range cases {
		out = append(out, c.Life)
		services[c.Service] = 0
	}
	spreadOut := slices.SortedFunc(slices.Values(hosts), func(a, b Host) int { return cmp.Compare(spread.Name(a.Life), spread.Name(b.Life)) })
	for _, h := range spreadOut {
		if n, ok := services[h.Service]; ok && h.Serving && n < b.Peers && !slices.Contains(out, h.Life) {
			services[h.Service]++
			out = append(out, h.Life)
		}
	}
	slices.Sort(out)
	return out
}

// worse tells whether a life does worse than the others of its service: by their calls, of which there must be some.
func (b *Bounds) worse(c *Case) bool {
	if c.OthersCalls < b.Least {
		return false
	}
	return float64(c.Bad*c.OthersCalls) >= b.Worse*float64(c.OthersBad*c.Calls)
}

// Agreed tells whether the votes on a life are enough to remove it: by a majority, and either of enough pilots from more than
// one zone, as one zone's link must not empty a host that serves the others, or of the gate beside it and another, which is
// the rule for hosts with few callers: what the gate sees is no link's doing. A life that does no worse than the others of its
// service stays: their calls fail for another cause, as what stands behind them all, or more work than all can do.
func (b *Bounds) Agreed(c *Case) bool {
	if 2*c.For <= c.For+c.Against || !b.worse(c) {
		return false
	}
	return c.Gate && c.For > 1 || c.For+c.Against >= b.Voters && c.Zones > 1
}

// Decide gives the removals that are to be in force, by those that are and what was said; changed is false if they stay. Out
// tells for how long each removed life has been out. Where more of a service looks unwell than may go, the cause is another:
// none of it goes.
func Decide(b Bounds, now time.Time, hosts []Host, votes []Vote, in []Removal, out func(life string) time.Duration) (next []Removal, changed bool) {
	serving := map[string]int{} // that take requests, by service
	there := map[string]bool{}
	for _, h := range hosts {
		there[h.Life] = true
		if h.Serving {
			serving[h.Service]++
		}
	}
	gone := map[string]int{}
	for _, r := range in {
		if !there[r.Life] {
			changed = true // its life is over
			continue
		}
		if !r.Back && out(r.Life) >= b.away(r.Times) {
			r.Back, changed = true, true
		}
		if !r.Back {
			gone[r.Service]++
		}
		next = append(next, r)
	}
	agreed := map[string][]Case{}
	for _, c := range Cases(b, now, hosts, votes) {
		at := slices.IndexFunc(next, func(r Removal) bool { return r.Life == c.Life })
		if c.Serving && !c.Anew && b.Agreed(&c) && (at < 0 || next[at].Back) {
			agreed[c.Service] = append(agreed[c.Service], c)
		}
	}
	for _, service := range slices.Sorted(maps.Keys(agreed)) {
		cases := agreed[service]
		most := int(b.Share * float64(serving[service]))
		if gone[service]+len(cases) > most {
			continue
		}
		slices.SortFunc(cases, func(a, c Case) int { return cmp.Compare(a.Life, c.Life) })
		for _, c := range cases {
			changed = true
			if at := slices.IndexFunc(next, func(r Removal) bool { return r.Life == c.Life }); at >= 0 {
				next[at].Times++
				next[at].Back = false
			} else {
				next = append(next, Removal{Life: c.Life, Service: service, Times: 1})
			}
		}
	}
	return next, changed
}

// away is how long a life stays out that was removed so many times.
func (b *Bounds) away(times int) time.Duration {
	d := b.Away
	for range times - 1 {
		if d = 2 * d; d >= b.AwayMost {
			return b.AwayMost
		}
	}
	return d
}
