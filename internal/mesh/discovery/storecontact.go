package discovery

import (
	"time"

	"milletmast/internal/mesh/controlstate"
	"milletmast/internal/mesh/lease"
)

// StoreContact is the contact of a control plane with its configuration store: the last snapshot
// that it received, and the lease under which it may serve it, which acknowledged heartbeats renew.
// It is pure and not safe for concurrent use.
type StoreContact struct {
	lease    lease.Lease
	state    *MergedState
	snapshot *controlstate.Snapshot // Confirmed if the store held a lease when it sent it; nil for none
}

// NewStoreContact returns a contact without a snapshot or a lease.
func NewStoreContact() *StoreContact { return &StoreContact{state: NewMergedState()} }

// StartHeartbeat records that a heartbeat is sent now and returns its ID.
func (c *StoreContact) StartHeartbeat(now time.Time) uint64 { return c.lease.StartHeartbeat(now) }

// HandleUpdate handles an update of the store. It reports whether the snapshot is to be pushed to
// the proxies, and whether to send a heartbeat at once, as the store has just gained a lease.
func (c *StoreContact) HandleUpdate(now time.Time, update *controlstate.Update) (changed, heartbeat bool) {
	gained := update.HeartbeatID > 0 && c.lease.HeartbeatAcked(now, update.HeartbeatID, update.LeaseRemaining)
	before := c.snapshot
	if update.Snapshot != nil {
		c.snapshot = c.state.MergeUpdate(update.Snapshot)
	}
	changed = now.Before(c.ServeUntil()) && (gained || !before.Equal(c.snapshot))
	return changed, update.Snapshot != nil && update.Snapshot.Confirmed && !c.lease.IsHeld(now)
}

// StoreLost records that the store cannot be reached.
func (c *StoreContact) StoreLost(now time.Time) { c.lease.Revoke(now) }

// ServeUntil returns the time until which the snapshot may be served; zero for not at all.
func (c *StoreContact) ServeUntil() time.Time {
	if c.snapshot == nil || !c.snapshot.Confirmed {
		return time.Time{}
	}
	return c.lease.Expiry()
}

// Snapshot returns the snapshot that was received last; nil for none.
func (c *StoreContact) Snapshot() *controlstate.Snapshot { return c.snapshot }
