// Package watch names, for each process, the small set of others that it knows and watches, by rendezvous hashing: all that know the
// same processes agree on who watches whom without a word, and one that comes or goes changes only its own places. It is pure.
package watch

import (
	"cmp"
	"slices"
	"time"

	"whinknot/internal/spread"
)

// Node is one process.
type Node struct{ Name, Zone string }

// Choose names whom one process watches: so many of the others, one at least in another zone if there is any.
func Choose(me Node, all []Node, most int) []string {
	others := slices.DeleteFunc(slices.Clone(all), func(n Node) bool { return n.Name == me.Name })
	slices.SortFunc(others, func(a, b Node) int {
		return cmp.Or(cmp.Compare(spread.Name(me.Name+"|"+a.Name), spread.Name(me.Name+"|"+b.Name)), cmp.Compare(a.Name, b.Name))
	})
	if len(others) > most && most > 1 && !slices.ContainsFunc(others[:most], func(n Node) bool { return n.Zone != me.Zone }) {
		if i := slices.IndexFunc(others, func(n Node) bool { return n.Zone != me.Zone }); i >= most {
			others[most-1] = others[i]
		}
	}
	var out []string
	for _, n := range others[:min(most, len(others))] {
		out = append(out, n.Name)
	}
	return out
}

// State is that of one that is watched.
type State uint8

// The states. turn is the one function that changes them.
const (
	New   State = iota // nothing was heard of it yet
	Fresh              // it answered of late
	Quiet              // it has not, for longer than it should
)

// Watch is whom one process watches. It is not safe for concurrent use.
type Watch struct {
	quiet time.Duration
	seen  map[string]*watched
}

type watched struct {
	state State
	heard time.Time
}

// NewWatch makes one that finds those quiet that say nothing for a time.
func NewWatch(quiet time.Duration) *Watch { return &Watch{quiet: quiet, seen: map[string]*watched{}} }

// turn is the one function that changes the state of one that is watched, and tells whether it changed.
func (w *watched) turn(to State) bool {
	changed := w.state != to
	w.state = to
	return changed
}

// Set says who is watched from now on, and gives those that are new and those that are not any more.
func (w *Watch) Set(now time.Time, names []string) (come, gone []string) {
	for _, name := range names {
		if w.seen[name] == nil {
			w.seen[name] = &watched{heard: now}
			come = append(come, name)
		}
	}
	for name := range w.seen {
		if !slices.Contains(names, name) {
			delete(w.seen, name)
			gone = append(gone, name)
		}
	}
	slices.Sort(gone)
	return come, gone
}

// Heard notes that one has answered.
func (w *Watch) Heard(now time.Time, name string) {
	if x := w.seen[name]; x != nil {
		x.heard = now
		x.turn(Fresh)
	}
}

// Quiet are those that have just turned quiet.
func (w *Watch) Quiet(now time.Time) []string {
	var out []string
	for name, x := range w.seen {
		if now.Sub(x.heard) > w.quiet && x.turn(Quiet) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// Fresh tells whether one answered of late.
func (w *Watch) Fresh(name string) bool { return w.seen[name] != nil && w.seen[name].state == Fresh }
