package sidecar

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"milletmast/balancer"
	"milletmast/internal/admin"
	"milletmast/internal/hotrestart"
	"milletmast/internal/override"
)

// withOverride returns a listed server with the operators' overrides applied.
func (l *eventLoop) withOverride(t Target) Target {
	t.BootMS = l.overrides.StartTime(t.UID, t.BootMS)
	if l.overrides.IsHeld(t.UID) && serverStates[t.State] == balancer.Ready {
		t.State = stateTerminating
	}
	return t
}

// setOverrides replaces the overrides and updates the servers that are affected.
func (l *eventLoop) setOverrides(set override.Set) {
	changed := override.ChangedServers(l.overrides, set)
	l.overrides = set
	l.counts.held.Store(int64(len(set.Held)))
	var list List
	for _, uid := range changed {
		slog.Info("override endpoint", "endpoint", uid, "held", set.IsHeld(uid))
		if t, ok := l.targets[uid]; ok {
			list.Targets = append(list.Targets, t)
		}
	}
	if len(list.Targets) > 0 {
		l.applyList(list, balancer.ListDelta)
	}
}

// isKnown reports whether a server is listed or held out of service.
func (l *eventLoop) isKnown(uid string) bool {
	_, listed := l.targets[uid]
	return listed || l.overrides.IsHeld(uid)
}

// Hold takes an endpoint out of service until Release, whatever state discovery reports. It is in effect when Hold returns.
func (s *Sidecar) Hold(ctx context.Context, id string) error {
	return s.setHeld(ctx, id, func(set override.Set, now float64) (override.Set, error) { return set.Hold(id, now) })
}

// Release returns a held endpoint to service, as if it had just started.
func (s *Sidecar) Release(ctx context.Context, id string) error {
	return s.setHeld(ctx, id, func(set override.Set, now float64) (override.Set, error) { return set.Release(id, now), nil })
}

// setHeld changes the overrides of this process and in the shared state.
func (s *Sidecar) setHeld(ctx context.Context, id string, change func(override.Set, float64) (override.Set, error)) error {
	known := false
	if err := s.loop.doContext(ctx, func() { known = s.loop.isKnown(id) }); err != nil {
		return err
	}
	if !known {
		return admin.ErrUnknownEndpoint
	}
	s.sharedMu.Lock() // changes must reach the loop in the order in which they were made
	defer s.sharedMu.Unlock()
	now := float64(time.Now().UnixMicro()) / 1000
	var rejection error
	next := func(st hotrestart.State) hotrestart.State {
		st.Held, rejection = change(st.Held, now)
		return st
	}
	state, err := s.updateShared(next)
	if rejection != nil {
		return rejection
	}
	if err := s.loop.doContext(ctx, func() { s.loop.setOverrides(state.Held) }); err != nil {
		return err
	}
	if err != nil { // in effect here, but not saved for the process that replaces this one
		return fmt.Errorf("not kept for an upgrade: %w", err)
	}
	return nil
}
