package agent

import (
	"errors"
	"testing"
	"time"

	"milletmast/internal/control/controlpb"
)

// Polls of one instance overlap. The result of the poll that was sent last counts, in whatever order the results arrive.
func TestOlderPollDoesNotReplaceNewer(t *testing.T) {
	first := time.Now()
	second := first.Add(time.Millisecond)
	alive := &controlpb.InstanceStatus{Name: "i", StartId: "a"}
	gone := errors.New("connection refused")
	for _, c := range []struct {
		name      string
		record    func(*managedInstance)
		reachable bool
	}{
		{"alive, then gone", func(m *managedInstance) { m.recordPoll(first, alive, nil); m.recordPoll(second, nil, gone) }, false},
		{"gone, and the older response arrives late", func(m *managedInstance) { m.recordPoll(second, nil, gone); m.recordPoll(first, alive, nil) }, false},
		{"alive, and the older error arrives late", func(m *managedInstance) { m.recordPoll(second, alive, nil); m.recordPoll(first, nil, gone) }, true},
		{"the reply to a change counts whenever its poll was sent", func(m *managedInstance) { m.recordPoll(second, nil, gone); m.recordStatus(alive, nil) }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := &managedInstance{agent: &Agent{}}
			c.record(m)
			if m.reachable != c.reachable {
				t.Errorf("reachable is %v, want %v", m.reachable, c.reachable)
			}
			if gotAlive := m.reachable && m.status.GetStartId() == "a"; gotAlive != c.reachable {
				t.Errorf("status %v with reachable %v", m.status, m.reachable)
			}
		})
	}
}
