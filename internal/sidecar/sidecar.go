// Package sidecar runs the decision module on real sockets. The loop owns the module and every request; the
// front takes requests from callers, upstream carries attempts to endpoints, discovery follows the list.
package sidecar

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"whinknot"
	"whinknot/internal/wire"
)

// Config is all that a sidecar is told at its start.
type Config struct {
	Name, Listen, Discovery string
	Seed                    uint64
	MemoryMB, Sockets       int
	Site                    wire.Site
	Known                   List
}

// LeastSockets is the smallest descriptor limit that leaves some for callers and for endpoints.
const LeastSockets = 64

// reserved descriptors are for the runtime, standard streams, the listener, discovery and those on their way.
func reserved(sockets int) int { return 16 + sockets/32 }

const (
	callerPart = 0.6  // of the other descriptors; endpoints get the rest
	killAfter  = 0.7  // seconds from the longest deadline to SIGKILL
	killMost   = 3.0  // longest deadline that SIGKILL waits for
	exitBefore = 0.35 // seconds before SIGKILL at which what is left is given up
)

// Run serves until ctx ends, then finishes what was taken.
func Run(ctx context.Context, cfg Config) error {
	free := cfg.Sockets - reserved(cfg.Sockets)
	callers := int(callerPart * float64(free))
	up := newUpstream(cfg.Site.Settings.Limits, free-callers)
	l, err := newLoop(&cfg, up)
	if err != nil {
		return err
	}
	d := &discovery{
		addr: cfg.Discovery, rev: cfg.Known.Rev,
		tell: func(list List) {
			kind := whinknot.ListDelta
			if list.All {
				kind = whinknot.ListFull
			}
			l.post(func() { l.list(list, kind) })
		},
		failed: func(error) { l.post(l.listFailed) },
	}
	if cfg.Site.Settings.ListOnRequest {
		l.watch = func() { go d.once() }
	}
	f := newFront(l, &cfg.Site.Settings, callers)
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	go l.run()
	l.post(func() { l.list(cfg.Known, whinknot.ListCached) })
	if !cfg.Site.Settings.ListOnRequest {
		go d.follow()
	}
	served := make(chan error, 1)
	go func() { served <- f.server.Serve(&limited{ln, make(chan struct{}, callers)}) }()
	slog.Info("serving", "listen", cfg.Listen, "known", len(cfg.Known.Targets), "rev", cfg.Known.Rev)
	select {
	case err := <-served:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	longest := 0.0
	for _, c := range cfg.Site.Settings.Classes {
		longest = max(longest, c.GiveUp/1000)
	}
	last := time.Duration((min(longest, killMost) + killAfter - exitBefore) * float64(time.Second))
	if err := f.drain(ln, last); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("shutdown: %w", err)
	}
	return nil
}
