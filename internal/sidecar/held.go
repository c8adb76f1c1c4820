package sidecar

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"whinknot"
	"whinknot/internal/admin"
	"whinknot/internal/hold"
	"whinknot/internal/takeover"
)

// overridden is a line of the list as operators' holds leave it.
func (l *loop) overridden(t Target) Target {
	t.BootMS = l.held.Started(t.UID, t.BootMS)
	if l.held.IsOut(t.UID) && states[t.State] == whinknot.Ready {
		t.State = "Terminating"
	}
	return t
}

// hold has another set of servers be out by hand, whatever the list says of them.
func (l *loop) hold(set hold.Set) {
	changed := hold.Changed(l.held, set)
	l.held = set
	l.counts.held.Store(int64(len(set.Out)))
	var list List
	for _, uid := range changed {
		slog.Info("held out by hand", "endpoint", uid, "out", set.IsOut(uid))
		if t, ok := l.told[uid]; ok {
			list.Targets = append(list.Targets, t)
		}
	}
	if len(list.Targets) > 0 {
		l.list(list, whinknot.ListDelta)
	}
}

// knows tells whether a server is listed, or held out.
func (l *loop) knows(uid string) bool {
	_, listed := l.told[uid]
	return listed || l.held.IsOut(uid)
}

// Hold leaves an endpoint out until Release, whatever discovery says of it. It counts once the call returns.
func (s *Sidecar) Hold(ctx context.Context, id string) error {
	return s.setHeld(ctx, id, func(set hold.Set, now float64) (hold.Set, error) { return set.Hold(id, now) })
}

// Release takes an endpoint that was held out back, as one that has just started.
func (s *Sidecar) Release(ctx context.Context, id string) error {
	return s.setHeld(ctx, id, func(set hold.Set, now float64) (hold.Set, error) { return set.Release(id, now), nil })
}

func (s *Sidecar) setHeld(ctx context.Context, id string, change func(hold.Set, float64) (hold.Set, error)) error {
	known := false
	if err := s.loop.askWithin(ctx, func() { known = s.loop.knows(id) }); err != nil {
		return err
	}
	if !known {
		return admin.ErrUnknown
	}
	s.holding.Lock() // what follows must reach the loop in the order in which it was decided
	defer s.holding.Unlock()
	now := float64(time.Now().UnixMicro()) / 1000
	var refused error
	next := func(st takeover.State) takeover.State {
		st.Held, refused = change(st.Held, now)
		return st
	}
	state, err := s.update(next)
	if refused != nil {
		return refused
	}
	if waited := s.loop.askWithin(ctx, func() { s.loop.hold(state.Held) }); waited != nil {
		return waited
	}
	if err != nil { // it counts here, but would not outlive this process
		return fmt.Errorf("not kept for an upgrade: %w", err)
	}
	return nil
}
