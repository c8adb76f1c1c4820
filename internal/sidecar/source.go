package sidecar

import (
	"context"
	"log/slog"
	"os"
	"sync"
	"time"

	"milletmast/internal/operator"
)

// serverSource follows the source of a pool's servers until it is stopped.
type serverSource struct {
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// newServerSource starts to follow the source of a pool and passes the lists to the loop of the pool.
func newServerSource(p *pool, spec *operator.Pool) *serverSource {
	ctx, cancel := context.WithCancel(context.Background())
	s := &serverSource{cancel: cancel}
	switch spec.Source.Type {
	case operator.SourceFile:
		w := fileWatch{path: spec.Source.Path, interval: time.Duration(spec.Source.Every), zones: spec.Zones, onChange: p.setServers}
		s.running.Go(func() { w.run(ctx) })
	case operator.SourceDiscovery:
		d := newDiscovery(p.loop, spec.Source.Address, 0)
		s.running.Go(func() { d.run(ctx) })
	}
	return s
}

// stop ends the source, and returns once it passes on no more lists.
func (s *serverSource) stop() {
	s.cancel()
	s.running.Wait()
}

// fileWatch polls a file of servers and reports them when it has changed. A file that is invalid or missing changes nothing.
type fileWatch struct {
	path     string
	interval time.Duration
	zones    []string
	onChange func([]operator.Server)

	lastInfo  os.FileInfo
	lastError string // the last error that was logged
}

func (w *fileWatch) run(ctx context.Context) {
	tick := time.NewTicker(w.interval)
	defer tick.Stop()
	for {
		w.poll()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// isUnchanged reports whether two results of stat are of the same file with the same content.
func isUnchanged(a, b os.FileInfo) bool {
	return os.SameFile(a, b) && a.ModTime().Equal(b.ModTime()) && a.Size() == b.Size()
}

// poll reads the file if it has changed. A file that is written in place may be read while it is incomplete, so it is read again
// until it has not changed for an interval.
func (w *fileWatch) poll() {
	info, err := os.Stat(w.path)
	if err == nil && w.lastInfo != nil && isUnchanged(info, w.lastInfo) {
		return
	}
	servers, err := operator.LoadServers(w.path, w.zones)
	if err != nil {
		if text := err.Error(); text != w.lastError {
			w.lastError = text
			slog.Error("reject server file", "err", err)
		}
		return
	}
	w.lastError = ""
	if time.Since(info.ModTime()) > w.interval {
		w.lastInfo = info
	}
	w.onChange(servers)
}
