package explore

import (
	"slices"
	"time"

	"whinknot/internal/tide"
)

// loss is a disk that was lost.
type loss struct {
	disk string
	at   time.Duration
	sure bool // it counted when it was lost
}

// strike begins a trouble, and has it end.
func (w *world) strike(t Trouble) {}

// thaw has a process that stood still go on.
func (w *world) thaw(m *place) {
	m.frozen = 0
	if m.proc != nil {
		m.proc.drain()
	}
}

// repaired looks which losses are made good by the newest set.
func (w *world) repaired() {
	s := w.newest
	if s.Joint() {
		return
	}
	w.lost = slices.DeleteFunc(w.lost, func(l loss) bool {
		if s.Has(l.disk) {
			return false
		}
		return true
	})
}

var _ = tide.Read
