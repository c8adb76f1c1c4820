package state

import (
	"log/slog"
	"sync"
	"sync/atomic"
)

// Writer saves snapshots of learned state in the background. At most one snapshot is pending, and a
// newer one replaces it, so a slow or full disk costs snapshots and nothing else.
type Writer struct {
	store      *Store
	pending    chan map[string]PoolState
	stop       chan struct{}
	goroutines sync.WaitGroup

	saved, dropped atomic.Uint64
	failing        atomic.Bool
}

// NewWriter starts a writer for a store. Close stops it.
func NewWriter(s *Store) *Writer {
	w := &Writer{store: s, pending: make(chan map[string]PoolState, 1), stop: make(chan struct{})}
	w.goroutines.Go(func() {
		for {
			select {
			case pools := <-w.pending:
				w.save(pools)
			case <-w.stop:
				select {
				case pools := <-w.pending:
					w.save(pools)
				default:
				}
				return
			}
		}
	})
	return w
}

func (w *Writer) save(pools map[string]PoolState) {
	err := w.store.SavePools(pools)
	if err == nil {
		w.saved.Add(1)
		if w.failing.Swap(false) {
			slog.Info("resume persisting state")
		}
		return
	}
	w.dropped.Add(1)
	if !w.failing.Swap(true) { // logged once, not for each snapshot
		slog.Error("persist state", "err", err)
	}
}

// Enqueue replaces the pending snapshot. It never waits for the disk.
func (w *Writer) Enqueue(pools map[string]PoolState) {
	for {
		select {
		case w.pending <- pools:
			return
		default:
		}
		select {
		case <-w.pending:
			w.dropped.Add(1)
		default:
		}
	}
}

// Counts returns the number of snapshots saved, and of those dropped because the disk was slow or
// failed.
func (w *Writer) Counts() (written, lost uint64) { return w.saved.Load(), w.dropped.Load() }

// Close saves the pending snapshot and stops the writer. It waits for the disk.
func (w *Writer) Close() {
	close(w.stop)
	w.goroutines.Wait()
}
