package emulate

import (
	"time"
)

// SetDefaults sets the values that a scenario may omit.
func (s *Scenario) SetDefaults() {
	s.For, s.Warmup = Duration(30*time.Second), Duration(5*time.Second)
	s.Pool.SetDefaults()
	s.Copies.SetDefaults()
	s.Servers.SetDefaults()
	s.Network.SetDefaults()
	s.Discovery.SetDefaults()
	s.Demand.SetDefaults()
	s.Inner.SetDefaults()
}

// SetDefaults sets an absent second tier.
func (t *Inner) SetDefaults() {
	*t = Inner{}
	t.Pool.SetDefaults()
	t.Servers.SetDefaults()
}

// SetDefaults sets a small sidecar.
func (c *SidecarSpec) SetDefaults() { *c = SidecarSpec{Count: 1, Open: 256} }

// SetDefaults sets a server of four cores.
func (s *ServerSpec) SetDefaults() {
	*s = ServerSpec{Count: 1, Cores: 4, Queue: 64, Connections: 256, Handshake: Duration(time.Millisecond), Cells: 1,
		ColdFrom: 0.3, Ramp: Duration(8 * time.Second), Fall: 2.5, FallAfter: Duration(time.Second)}
}

// SetDefaults sets the network of one site.
func (n *Network) SetDefaults() {
	*n = Network{Delay: Duration(250 * time.Microsecond), Jitter: Duration(100 * time.Microsecond), Across: Duration(500 * time.Microsecond)}
}

// SetDefaults sets a watch that reports changes within half a second.
func (d *Discovery) SetDefaults() {
	*d = Discovery{Lag: Duration(100 * time.Millisecond), Jitter: Duration(100 * time.Millisecond), Detect: Duration(2 * time.Second)}
}

// SetDefaults sets a thousand callers. The rate is required.
func (d *Demand) SetDefaults() { *d = Demand{Callers: 1000} }

// SetDefaults sets exponential work.
func (w *Work) SetDefaults() { *w = Work{Part: 1, Shape: "exponential", Deviation: 1} }

// SetDefaults sets a caller that tries once.
func (h *CallerBehavior) SetDefaults() { *h = CallerBehavior{Kind: behaviorNone, Share: 1, Tries: 1} }

// SetDefaults sets a fault in one step.
func (f *Fault) SetDefaults() {
	*f = Fault{Steps: 1, Speed: 1, Part: 1, Drain: Duration(2 * time.Second), Down: Duration(time.Second), Way: WayBoth}
}
