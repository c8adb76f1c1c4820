package discovery

import (
	"time"

	"milletmast/internal/mesh/controlstate"
	"milletmast/internal/mesh/outlier"
)

// TrustLevel is how far the control state of a proxy is confirmed.
type TrustLevel uint8

// The trust levels. ClientState.raiseTrust is the one function that changes them.
const (
	Waiting   TrustLevel = iota // the proxy has no configuration
	Uncertain                   // it uses the newest unconfirmed state, as no control plane with contact was reachable for long
	Certain                     // it uses the state of a control plane with contact, or of a proxy that is Certain
)

func (l TrustLevel) String() string { return [...]string{"waiting", "uncertain", "certain"}[l] }

// Source is the sender of a snapshot.
type Source uint8

// The sources.
const (
	FromControlPlane Source = iota
	FromProxy
)

// decision is what to do with a snapshot.
type decision uint8

const (
	reject          decision = iota // ignore it
	keepUnconfirmed                 // keep it, to be used if no control plane with contact is reachable within the contact timeout
	accept                          // merge what is newer in it
)

// decide is the one place that decides whether to use a snapshot. A snapshot that is confirmed by a
// lease is accepted, unless a control plane sends it under a stale epoch. Proxies send confirmed
// snapshots only if they are Certain.
func (c *ClientState) decide(source Source, snapshot *controlstate.Snapshot) decision {
	switch {
	case snapshot.Confirmed && source == FromControlPlane && snapshot.Epoch < c.current.epoch:
		return reject
	case snapshot.Confirmed:
		return accept
	case c.trust == Certain:
		return reject
	}
	return keepUnconfirmed
}

// HandleSnapshot handles a snapshot.
func (c *ClientState) HandleSnapshot(source Source, snapshot *controlstate.Snapshot) (changed Change) {
	switch c.decide(source, snapshot) {
	case accept:
		c.current.epoch = max(c.current.epoch, snapshot.Epoch)
		changed = c.current.Merge(snapshot)
		if c.current.configVersion > 0 && c.current.IsContainedIn(snapshot) {
			c.raiseTrust(Certain)
		}
	case keepUnconfirmed:
		c.unconfirmed.Merge(snapshot)
		if c.trust == Uncertain {
			changed = c.current.Merge(snapshot)
		}
	}
	return changed
}

// raiseTrust is the one function that changes the trust level, which never falls.
func (c *ClientState) raiseTrust(to TrustLevel) {
	if to <= c.trust {
		return
	}
	c.trust = to
	if to == Certain {
		c.unconfirmed = NewMergedState()
	}
}

// CheckContactTimeout starts to use the newest unconfirmed state once no control plane with contact
// was reachable for the contact timeout.
func (c *ClientState) CheckContactTimeout(now time.Time) (changed Change) {
	if c.trust == Certain {
		return changed
	}
	for from := range c.hasContact {
		if c.HasContact(from) {
			c.lastContact = now
			return changed
		}
	}
	if c.trust == Waiting && now.Sub(c.lastContact) >= c.limits.ContactTimeout && c.unconfirmed.configVersion > 0 {
		c.raiseTrust(Uncertain)
		changed = c.current.Merge(c.unconfirmed.Snapshot())
	}
	return changed
}

// WantsLastKnown reports whether to request the last known snapshot from control planes without
// contact.
func (c *ClientState) WantsLastKnown(now time.Time) bool {
	return c.trust != Certain && now.Sub(c.lastContact) >= c.limits.ContactTimeout-lastKnownLead
}

// Trust returns the trust level.
func (c *ClientState) Trust() TrustLevel { return c.trust }

// Ejection returns the ejection of an instance; ok is false for none.
func (c *ClientState) Ejection(instance string) (ejection outlier.Ejection, ok bool) {
	for _, ejection := range c.current.ejections {
		if ejection.InstanceID == instance {
			return ejection, true
		}
	}
	return ejection, false
}

// Config returns the configuration and its version, 0 for none.
func (c *ClientState) Config() ([]byte, uint64) { return c.current.config, c.current.configVersion }

// Evacuation returns the newest evacuation order of a zone, the zero value for none.
func (c *ClientState) Evacuation(zone string) controlstate.Evacuation {
	return c.current.evacuations[zone]
}

// IsEvacuated reports whether a zone is evacuated.
func (c *ClientState) IsEvacuated(zone string) bool { return c.current.evacuations[zone].Active }

// Snapshot returns the snapshot in use; it is confirmed if the trust level is Certain.
func (c *ClientState) Snapshot() *controlstate.Snapshot {
	snapshot := c.current.Snapshot()
	snapshot.Confirmed = c.trust == Certain
	return snapshot
}
