package sidecar

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"time"

	"milletmast/balancer"
	"milletmast/internal/admin"
	"milletmast/internal/hotrestart"
	"milletmast/internal/operator"
)

// An upgrade starts a second process next to the first. Both count as one sidecar: they share its descriptors, its memory, the
// servers that operators hold out of service, and the address where clients connect. Once the new process can serve, it receives
// all new connections; the old one serves its open connections until it receives a signal to end.

const (
	sharedPollInterval      = 100 * time.Millisecond // between two reads of the state that both processes share
	readyPollInterval       = 10 * time.Millisecond
	defaultDiscoveryTimeout = 2500 * time.Millisecond // how long a new process waits for discovery before it takes over with its initial list
)

// limitShare is the share of a process in the limits of its sidecar.
type limitShare float64

const (
	fullShare    limitShare = 1
	servingShare limitShare = 0.7 // of the descriptors, for the process that serves while there are two
	standbyShare limitShare = 0.3 // of the descriptors, for the other process
	memoryShare  limitShare = 0.5 // of the memory, for each of two processes
)

// descriptors divides the descriptors of a share of the limit among clients and endpoints.
func (s *Sidecar) descriptors(share limitShare) (clients, endpoints int) {
	inUse := 0
	if s.cfg.AdminAddr != "" {
		inUse = admin.MaxConns + adminDescriptors
	}
	clients, endpoints = operator.DivideDescriptors(s.cfg.Sockets, inUse)
	return int(float64(share) * float64(clients)), int(float64(share) * float64(endpoints))
}

// adminDescriptors counts the listener of the admin API, the file that marks the process as alive in the shared folder, and two
// files that are open for a short time.
const adminDescriptors = 4

// openAdmin opens the listener of the admin API, and the listener for clients unless another process serves them.
func (s *Sidecar) openAdmin() (err error) {
	if s.cfg.SharedFolder != "" {
		if s.shared, err = hotrestart.Open(s.cfg.SharedFolder, newID()); err != nil {
			return err
		}
	}
	if s.admin, err = net.Listen("tcp", s.cfg.AdminAddr); err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	if s.shared != nil && s.shared.IsAnotherAlive() {
		s.updateShare(true)
		return nil
	}
	s.listener, err = hotrestart.Listen(s.cfg.Listen)
	return err
}

// closeAdmin closes the admin API and the shared state.
func (s *Sidecar) closeAdmin() {
	if s.admin != nil {
		s.admin.Close()
	}
	if s.shared != nil {
		s.shared.Close()
	}
}

// updateShare applies the share of this process in the limits: all of them, or a part if there is another process.
func (s *Sidecar) updateShare(isAnotherAlive bool) {
	share, memory := fullShare, fullShare
	if isAnotherAlive {
		share, memory = standbyShare, memoryShare
		if s.serving.Load() && !s.replaced.Load() {
			share = servingShare
		}
	}
	if share == s.share {
		return
	}
	s.share = share
	clients, endpoints := s.descriptors(share)
	s.frontend.clients.setLimit(clients)
	open := s.loop.upstream.setMaxConns(endpoints)
	s.loop.post(func() { s.loop.handle(&balancer.Event{Kind: balancer.EvMaxRequests, MaxRequests: open}) })
	if s.cfg.OnMemoryShare != nil {
		s.cfg.OnMemoryShare(float64(memory))
	}
	slog.Info("set connection limits", "share", float64(share), "clients", clients, "endpoints", endpoints)
}

// applySharedState applies the shared state. The argument says whether another process is alive.
func (s *Sidecar) applySharedState(isAnotherAlive bool) {
	s.sharedMu.Lock()
	defer s.sharedMu.Unlock()
	state, err := s.shared.Read() // read again, as this process may have changed it in the meantime
	if err != nil {
		slog.Error("keep last shared state", "err", err)
	}
	s.loop.post(func() { s.loop.setOverrides(state.Held) })
	s.replaced.Store(isAnotherAlive && s.serving.Load() && state.Serving != s.shared.ID())
	s.updateShare(isAnotherAlive)
	if !isAnotherAlive && s.listener != nil {
		s.directConnections(hotrestart.FirstSlot) // so that a process that starts gets no connections before it can serve
	}
}

// updateShared changes the shared state, or the local one if there is no shared folder. The caller holds the mutex.
func (s *Sidecar) updateShared(change func(hotrestart.State) hotrestart.State) (hotrestart.State, error) {
	if s.shared != nil {
		return s.shared.Update(change)
	}
	s.localState = change(s.localState)
	return s.localState, nil
}

// takeOver waits until requests can be served, and directs new connections to this process, unless ctx ends before. A process that
// replaces another first waits for a list of discovery, up to a timeout, as its initial list may be outdated.
func (s *Sidecar) takeOver(ctx, watching context.Context) error {
	replaces := s.listener == nil
	if replaces && s.cfg.Site.Settings.PollsList {
		go s.discovery.watchOnce(watching)
	}
	if !replaces { // requests are accepted before this process is ready
		s.running.Go(func() {
			if s.waitUsable(ctx, func() bool { return true }) == nil {
				s.startServing()
			}
		})
		return nil
	}
	listDeadline := time.Now().Add(s.discoveryTimeout)
	_, initial := s.discovery.current()
	hasList := func() bool {
		_, rev := s.discovery.current()
		return rev != initial || time.Now().After(listDeadline)
	}
	if err := s.waitUsable(ctx, hasList); err != nil {
		return err
	}
	ln, err := hotrestart.Listen(s.cfg.Listen)
	if err != nil {
		return fmt.Errorf("take over: %w", err)
	}
	s.sharedMu.Lock()
	s.listener = ln
	s.sharedMu.Unlock()
	s.directConnections(hotrestart.SecondSlot)
	s.startServing()
	return nil
}

// waitUsable waits until there is a server to send to and the condition holds, unless ctx ends before.
func (s *Sidecar) waitUsable(ctx context.Context, condition func() bool) error {
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for !s.frontend.isUsable() || !condition() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// startServing records that this process serves from now on.
func (s *Sidecar) startServing() {
	if s.shared != nil {
		if _, err := s.shared.Update(func(st hotrestart.State) hotrestart.State {
			st.Serving = s.shared.ID()
			return st
		}); err != nil {
			slog.Error("notify replaced process", "err", err)
		}
	}
	s.serving.Store(true)
	s.refreshShared()
}

// refreshShared applies the shared state at once, without waiting for the next poll.
func (s *Sidecar) refreshShared() {
	if s.shared != nil {
		s.applySharedState(s.shared.IsAnotherAlive())
	}
}

// directConnections makes the kernel direct new connections to the listener in a slot.
func (s *Sidecar) directConnections(slot uint32) {
	if err := hotrestart.DirectConnections(s.listener, slot); err != nil {
		slog.Warn("direct new connections", "err", err)
	}
}

// Ready reports whether this process serves.
func (s *Sidecar) Ready() bool {
	return s.serving.Load() && !s.frontend.draining.Load() && s.frontend.isUsable()
}
