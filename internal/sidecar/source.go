package sidecar

import (
	"context"
	"log/slog"
	"os"
	"sync"
	"time"

	"whinknot/internal/operator"
)

// source follows where a pool's servers are told, for as long as it is not stopped.
type source struct {
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// newSource begins to follow a pool's source. What it tells goes to the pool's loop.
func newSource(p *pool, spec *operator.Pool) *source {
	ctx, cancel := context.WithCancel(context.Background())
	s := &source{cancel: cancel}
	switch spec.Source.Type {
	case "file":
		w := fileWatch{path: spec.Source.Path, every: time.Duration(spec.Source.Every), zones: spec.Zones, tell: p.tell}
		s.running.Go(func() { w.follow(ctx) })
	case "discovery":
		d := newDiscovery(p.loop, spec.Source.Address, 0)
		s.running.Go(func() { d.follow(ctx) })
	}
	return s
}

// stop ends it and returns once it tells nothing any more.
func (s *source) stop() {
	s.cancel()
	s.running.Wait()
}

// fileWatch looks at a file of servers every so often and tells what it holds when it has changed. A file that cannot be
// used, or is gone, changes nothing: the servers last told stay.
type fileWatch struct {
	path  string
	every time.Duration
	zones []string
	tell  func([]operator.Server)

	seen    os.FileInfo
	trouble string // told last
}

func (w *fileWatch) follow(ctx context.Context) {
	tick := time.NewTicker(w.every)
	defer tick.Stop()
	for {
		w.look()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// look reads the file if it is another one than last time. A file that is written in place may be seen half: it is
// looked at again until it has stood still, so what is told last is what it holds.
func (w *fileWatch) look() {
	info, err := os.Stat(w.path)
	if err == nil && w.seen != nil && os.SameFile(info, w.seen) && info.ModTime().Equal(w.seen.ModTime()) && info.Size() == w.seen.Size() {
		return
	}
	servers, err := operator.LoadServers(w.path, w.zones)
	if err != nil {
		if text := err.Error(); text != w.trouble {
			w.trouble = text
			slog.Error("servers kept", "err", err)
		}
		return
	}
	w.trouble = ""
	if time.Since(info.ModTime()) > w.every {
		w.seen = info
	}
	w.tell(servers)
}
