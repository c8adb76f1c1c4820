package state

import (
	"log/slog"
	"sync"
	"sync/atomic"
)

// Writer writes what pools have learned, off the path of requests: one writes, one waits, and a newer one takes its place. A disk that is
// slow or full costs snapshots and nothing else.
type Writer struct {
	store *Store
	next  chan map[string]Pool
	stop  chan struct{}
	ended sync.WaitGroup

	written, lost atomic.Uint64
	failing       atomic.Bool
}

// NewWriter begins to write to a store. Close ends it.
func NewWriter(s *Store) *Writer {
	w := &Writer{store: s, next: make(chan map[string]Pool, 1), stop: make(chan struct{})}
	w.ended.Go(func() {
		for {
			select {
			case pools := <-w.next:
				w.write(pools)
			case <-w.stop:
				select {
				case pools := <-w.next: // the last word
					w.write(pools)
				default:
				}
				return
			}
		}
	})
	return w
}

func (w *Writer) write(pools map[string]Pool) {
	err := w.store.PutPools(pools)
	if err == nil {
		w.written.Add(1)
		if w.failing.Swap(false) {
			slog.Info("state is kept again")
		}
		return
	}
	w.lost.Add(1)
	if !w.failing.Swap(true) { // told once, not with each
		slog.Error("state is not kept", "err", err)
	}
}

// Offer has a snapshot written when there is time for it. It never waits for the disk.
func (w *Writer) Offer(pools map[string]Pool) {
	for {
		select {
		case w.next <- pools:
			return
		default:
		}
		select {
		case <-w.next: // it has waited too long: this one is newer
			w.lost.Add(1)
		default:
		}
	}
}

// Counts are the snapshots written, and those lost as the disk was slow or failed.
func (w *Writer) Counts() (written, lost uint64) { return w.written.Load(), w.lost.Load() }

// Close writes what was offered last and ends. It waits for the disk.
func (w *Writer) Close() {
	close(w.stop)
	w.ended.Wait()
}
