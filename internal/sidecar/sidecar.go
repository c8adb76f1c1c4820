// Package sidecar runs the decision module on real sockets. The loop owns the module and every request; the
// front takes requests from callers, upstream carries attempts to endpoints, discovery follows the list.
package sidecar

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"time"

	"whinknot"
	"whinknot/internal/operator"
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
const LeastSockets = operator.LeastSockets

const (
	killAfter  = 0.7  // seconds from the longest deadline to SIGKILL
	killMost   = 3.0  // longest deadline that SIGKILL waits for
	exitBefore = 0.35 // seconds before SIGKILL at which what is left is given up
)

// Sidecar is one running copy.
type Sidecar struct {
	cfg       Config
	loop      *loop
	front     *front
	discovery *discovery
	listener  net.Listener
	callers   int // connections that callers may hold
}

// New checks what the sidecar is told and opens its listener; requests wait there until Run.
func New(cfg Config) (*Sidecar, error) {
	callers, endpoints := operator.Divide(cfg.Sockets, 0)
	s := &Sidecar{cfg: cfg, callers: callers}
	set := &s.cfg.Site.Settings
	var err error
	if s.loop, err = newLoop(&s.cfg, newUpstream(set.Limits, set.Safety.DrainGrace, endpoints)); err != nil {
		return nil, err
	}
	s.discovery = newDiscovery(s.loop, cfg.Discovery, cfg.Known.Rev)
	s.front = newFront(s.loop, set, s.callers)
	if s.listener, err = net.Listen("tcp", cfg.Listen); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return s, nil
}

// Run serves until ctx ends, then finishes what was taken.
func (s *Sidecar) Run(ctx context.Context) error {
	watching, stop := context.WithCancel(context.Background()) // drains count to the end
	defer stop()
	defer close(s.loop.ended)
	s.loop.watch = func() { go s.discovery.once(watching) }
	s.loop.post(func() { s.loop.list(s.cfg.Known, whinknot.ListCached) }) // ahead of what the watch tells
	if !s.cfg.Site.Settings.ListOnRequest {
		s.loop.watch = func() { go s.discovery.follow(watching) }
		s.loop.watch()
	}
	go s.loop.run()
	served := make(chan error, 1)
	go func() { served <- s.front.serve(s.listener) }()
	slog.Info("serving", "listen", s.listener.Addr(), "known", len(s.cfg.Known.Targets), "rev", s.cfg.Known.Rev)
	select {
	case err := <-served:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	s.front.drain(s.listener, s.last())
	return nil
}

// Move has discovery watched at another address from now on; the list that is held stays in use.
func (s *Sidecar) Move(addr string) {
	s.loop.post(func() {
		if s.discovery.move(addr) {
			slog.Info("discovery moves", "addr", addr)
			s.loop.watch()
		}
	})
}

// last is the time from SIGTERM at which what is left is given up, so as to be answered before SIGKILL.
func (s *Sidecar) last() time.Duration {
	longest := 0.0
	for _, c := range s.cfg.Site.Settings.Classes {
		longest = max(longest, c.GiveUp/1000)
	}
	return time.Duration((min(longest, killMost) + killAfter - exitBefore) * float64(time.Second))
}
