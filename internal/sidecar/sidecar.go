// Package sidecar runs the decision module (package balancer) on real sockets.
//
// The way of a request: a frontend (frontend.go, clientconns.go) or the gRPC server of package grpcfront accepts it, an intake
// (platform.go for the platform's protocol, routing.go and siterouting.go for an operator file, port.go for the mesh) makes it a
// call, the event loop (loop.go, calls.go) owns the call and gives its events to the decision module, and for each attempt that
// the module decides on, upstream (upstream.go, connpool.go, mux.go) sends it to a server. Discovery and the sources of pools
// pass the list of servers to the loop.
//
// There are three kinds of owners: Sidecar has one pool under the platform's protocol, Instance (instance.go, generation.go) has
// the listeners and pools of an operator file, and Service and Port are the parts that the mesh's proxy is made of.
//
// Invariants: a call gets exactly one final response; only the goroutine of the loop reads or writes a call, its attempts' list
// and the module; the loop never waits for a socket.
package sidecar

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"milletmast/balancer"
	"milletmast/internal/admin"
	"milletmast/internal/hotrestart"
	"milletmast/internal/operator"
	"milletmast/internal/wire"
)

// Config configures a Sidecar.
type Config struct {
	Name, Listen, Discovery string
	Seed                    uint64
	MemoryMB, Sockets       int
	Site                    wire.Site
	InitialList             List

	// Of an installation with an admin API and upgrades; without an address there is neither.
	AdminAddr     string
	SharedFolder  string             // shared with the process that this one replaces, or that replaces it; "" for none
	OnMemoryShare func(part float64) // called with the share of the memory that this process may use; may be nil
}

// MinSockets is the smallest limit of descriptors that leaves some for clients and for endpoints.
const MinSockets = operator.MinSockets

const (
	killDelay    = 0.7  // seconds from the longest deadline to SIGKILL
	maxKillDelay = 3.0  // seconds; the longest deadline that SIGKILL waits for
	exitMargin   = 0.35 // seconds before SIGKILL at which open requests are given up
)

// Sidecar is a sidecar of the platform's protocol.
type Sidecar struct {
	cfg       Config
	loop      *eventLoop
	frontend  *frontend
	discovery *discovery
	listener  net.Listener // of the clients; nil until it takes over from the process that it replaces
	admin     net.Listener // nil for none
	shared    *hotrestart.SharedState
	running   sync.WaitGroup // goroutines that Run waits for
	serving   atomic.Bool    // it has taken over, if there was another process
	replaced  atomic.Bool    // another process has taken over from this one

	sharedMu         sync.Mutex
	localState       hotrestart.State // if there is no shared folder
	share            limitShare       // of the limits
	discoveryTimeout time.Duration    // see defaultDiscoveryTimeout

	reloads, reloadErrors atomic.Uint64
}

// New checks the configuration and opens the listener. Connections wait there until Run.
func New(cfg Config) (*Sidecar, error) {
	s := &Sidecar{cfg: cfg, share: fullShare, discoveryTimeout: defaultDiscoveryTimeout}
	set := &s.cfg.Site.Settings
	callers, endpoints := s.descriptors(fullShare)
	var err error
	if s.loop, err = newEventLoop(&s.cfg, newUpstream(set.Limits, set.Safety.DrainGrace, endpoints)); err != nil {
		return nil, err
	}
	s.discovery = newDiscovery(s.loop, cfg.Discovery, cfg.InitialList.Rev)
	s.frontend = newPlatformFrontend(s.loop, set, callers)
	if cfg.AdminAddr != "" {
		if err := s.openAdmin(); err != nil {
			s.closeAdmin()
			return nil, err
		}
		return s, nil
	}
	s.serving.Store(true)
	if s.listener, err = net.Listen("tcp", cfg.Listen); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return s, nil
}

// Run serves until ctx ends, and then finishes the requests that were accepted.
func (s *Sidecar) Run(ctx context.Context) error {
	watching, stop := context.WithCancel(context.Background()) // the list is watched until the last request has ended
	ctx, end := context.WithCancel(ctx)
	defer s.running.Wait()
	defer end()
	defer stop()
	defer close(s.loop.stop)
	s.loop.startWatch = func() { go s.discovery.watchOnce(watching) }
	s.loop.post(func() { s.loop.applyList(s.cfg.InitialList, balancer.ListCached) }) // before the lists of the watch
	if !s.cfg.Site.Settings.PollsList {
		s.loop.startWatch = func() { go s.discovery.run(watching) }
		s.loop.startWatch()
	}
	go s.loop.run()
	ended := make(chan error, 2)
	if s.admin != nil {
		defer s.closeAdmin()
		s.running.Go(func() { ended <- admin.Serve(s.admin, s) })
		if s.shared != nil {
			s.running.Go(func() {
				s.shared.Watch(watching, sharedPollInterval, func(_ hotrestart.State, others bool) { s.applySharedState(others) })
			})
		}
		if err := s.takeOver(ctx, watching); err != nil {
			if ctx.Err() != nil { // before it served
				return nil
			}
			return err
		}
	}
	go func() {
		s.frontend.serve(s.listener)
		ended <- net.ErrClosed
	}()
	slog.Info("serve", "listen", s.listener.Addr(), "servers", len(s.cfg.InitialList.Targets), "revision", s.cfg.InitialList.Rev)
	select {
	case err := <-ended:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	s.refreshShared() // the other process may just have taken over
	if s.replaced.Load() {
		s.frontend.handOver(s.listener, s.drainTime())
	} else {
		s.frontend.drain(s.listener, s.drainTime())
	}
	return nil
}

// CountReload counts a configuration that was reloaded, or could not be.
func (s *Sidecar) CountReload(err error) {
	if err != nil {
		s.reloadErrors.Add(1)
		return
	}
	s.reloads.Add(1)
}

// SetDiscoveryAddr has discovery watched at another address from now on. The latest list stays in use.
func (s *Sidecar) SetDiscoveryAddr(addr string) {
	s.loop.post(func() {
		if s.discovery.setAddr(addr) {
			slog.Info("change discovery address", "addr", addr)
			s.loop.startWatch()
		}
	})
}

// drainTime returns the time from SIGTERM after which open requests are given up, so that they are answered before SIGKILL.
func (s *Sidecar) drainTime() time.Duration {
	longest := 0.0
	for _, c := range s.cfg.Site.Settings.Classes {
		longest = max(longest, c.Timeout/1000)
	}
	return time.Duration((min(longest, maxKillDelay) + killDelay - exitMargin) * float64(time.Second))
}
