package pilot

import (
	"maps"
	"slices"
	"sync"
	"time"

	"whinknot/internal/muster"
)

const opineEvery = time.Second

// witness is what this pilot has seen of endpoints, for package muster.
type witness struct {
	mu     sync.Mutex
	seen   *muster.Witness
	gate   *muster.Witness // what the own gate has seen
	bounds muster.Bounds
	wanted map[string][]string // by lighthouse, lives that it asked about
}

func newWitness() *witness {
	b := muster.Usual()
	return &witness{seen: muster.NewWitness(b), gate: muster.NewWitness(b), bounds: b, wanted: map[string][]string{}}
}

// saw notes how a call at a life ended.
func (w *witness) saw(service, life string, k muster.Kind) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seen.Saw(time.Now(), service, life, k)
}

// sawInside notes how a call ended that the own gate let in.
func (w *witness) sawInside(service, life string, k muster.Kind) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gate.Saw(time.Now(), service, life, k)
}

// asked takes which lives a lighthouse asks about.
func (w *witness) asked(lighthouse string, lives []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(lives) == 0 {
		delete(w.wanted, lighthouse)
		return
	}
	w.wanted[lighthouse] = lives
}

// opinions are those that are worth saying: of lives that this pilot finds unwell, and of those that it was asked about.
func (w *witness) opinions(now time.Time) []muster.Opinion {
	w.mu.Lock()
	defer w.mu.Unlock()
	wanted := slices.Concat(slices.Collect(maps.Values(w.wanted))...)
	all := w.seen.Opinions(now)
	for _, o := range w.gate.Opinions(now) {
		o.Gate = true
		all = append(all, o)
	}
	return slices.DeleteFunc(all, func(o muster.Opinion) bool {
		return !w.bounds.Unwell(&o) && !slices.Contains(wanted, o.Life)
	})
}
