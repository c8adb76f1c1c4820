// Package sidecar runs the decision module (package balancer) on real sockets.
//
// The path of a request: a frontend (frontend.go, clientconns.go) or the gRPC server of package grpcfront accepts it, an intake
// (platform.go for the platform's protocol, routing.go and siterouting.go for an operator file, port.go for the mesh) turns it into
// a call, the event loop (loop.go, calls.go) owns the call and passes its events to the decision module, and upstream (upstream.go,
// connpool.go, mux.go) sends each attempt that the module decides on to a server. Discovery and the sources of pools
// pass the list of servers to the loop.
//
// There are three entry points: Sidecar has one pool and serves the platform's protocol, Instance (instance.go, generation.go) has
// the listeners and pools of an operator file, and Service and Port are the parts of the proxy of the mesh.
//
// Invariants: a call gets exactly one final response; only the goroutine of the loop reads or writes a call, its list of
// attempts and the module; the loop never waits for a socket.
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
	"milletmast/internal/decimal"
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

	// For the admin API and upgrades. Without an address there is neither.
	AdminAddr     string
	SharedFolder  string              // shared by the old and the new process of an upgrade; "" for none
	OnMemoryShare func(share float64) // called with the share of the memory that this process may use; may be nil
}

// MinSockets is the smallest descriptor limit that leaves descriptors for both clients and endpoints.
const MinSockets = operator.MinSockets

const (
	killDelay    = 0.7  // seconds between the longest deadline and SIGKILL
	maxKillDelay = 3.0  // seconds; a longer deadline does not delay SIGKILL further
	exitMargin   = 0.35 // seconds before SIGKILL at which open requests are aborted
)

// Sidecar is a sidecar of the platform's protocol.
type Sidecar struct {
	cfg       Config
	loop      *eventLoop
	frontend  *frontend
	discovery *discovery
	listener  net.Listener // for clients; nil until this process takes over from the one that it replaces
	admin     net.Listener // for the admin API; nil for none
	shared    *hotrestart.SharedState
	running   sync.WaitGroup // goroutines that Run waits for
	serving   atomic.Bool    // this process has taken over, or there was no other
	replaced  atomic.Bool    // another process has taken over from this one

	sharedMu         sync.Mutex
	localState       hotrestart.State // used if there is no shared folder
	share            limitShare       // share of this process in the limits
	discoveryTimeout time.Duration    // see defaultDiscoveryTimeout

	reloads, reloadErrors atomic.Uint64
}

// New checks the configuration and opens the listener. Connections are queued there until Run.
func New(cfg Config) (*Sidecar, error) {
	s := &Sidecar{cfg: cfg, share: fullShare, discoveryTimeout: defaultDiscoveryTimeout}
	set := &s.cfg.Site.Settings
	clients, endpoints := s.descriptors(fullShare)
	var err error
	if s.loop, err = newEventLoop(&s.cfg, newUpstream(set.Limits, set.Safety.DrainGrace, endpoints)); err != nil {
		return nil, err
	}
	s.discovery = newDiscovery(s.loop, cfg.Discovery, cfg.InitialList.Rev)
	s.frontend = newPlatformFrontend(s.loop, set, clients)
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

// Run serves until ctx ends, and then completes the requests that were accepted.
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
			if ctx.Err() != nil { // ended before it served
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
	s.refreshShared() // another process may have taken over since the last poll
	if s.replaced.Load() {
		s.frontend.handOver(s.listener, s.drainTime())
	} else {
		s.frontend.drain(s.listener, s.drainTime())
	}
	return nil
}

// CountReload counts a reload of the configuration, or a failed one if err is set.
func (s *Sidecar) CountReload(err error) {
	if err != nil {
		s.reloadErrors.Add(1)
		return
	}
	s.reloads.Add(1)
}

// SetDiscoveryAddr changes the address at which discovery is watched. The latest list stays in use.
func (s *Sidecar) SetDiscoveryAddr(addr string) {
	s.loop.post(func() {
		if s.discovery.setAddr(addr) {
			slog.Info("change discovery address", "addr", addr)
			s.loop.startWatch()
		}
	})
}

// drainTime returns the time from SIGTERM after which open requests are aborted, so that clients get a response before SIGKILL.
func (s *Sidecar) drainTime() time.Duration {
	longest := 0.0
	for _, c := range s.cfg.Site.Settings.Classes {
		longest = max(longest, c.Timeout/1000)
	}
	return decimal.Duration(min(longest, maxKillDelay)+killDelay-exitMargin, time.Second)
}
