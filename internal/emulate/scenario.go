// Package emulate simulates a fleet of sidecars with servers and callers in virtual time: one clock, one seed, no sockets. A sidecar
// makes its decisions with the real modules (the decision module, subsets, levels, overrides), through their public events and
// actions; only their environment is modelled here. docs/design/emulate.md states what the models assume.
//
// The scenario is in scenario.go and the files of checks and defaults, a run with its clock in simulation.go, the load in callers.go
// and traffic.go, a sidecar in sidecar.go, calls.go, attempt.go, discovery.go, levels.go and fleet.go, a server in server.go and
// serverlifecycle.go, the faults in fault.go, and the results in result.go and compare.go.
package emulate

import (
	"errors"

	"milletmast/internal/operator"
)

// Duration is a duration in the format of operator files.
type Duration = operator.Duration

// Scenario is a fleet, its load and its faults.
type Scenario struct {
	Name      string           `toml:"name"`
	About     string           `toml:"about"`
	For       Duration         `toml:"for"`    // duration of the load
	Warmup    Duration         `toml:"warmup"` // requests that arrive before this time are sent but not counted
	Pool      operator.Pool    `toml:"pool"`   // as in an operator file, but without the sidecars and servers, which Copies and Servers define
	Copies    SidecarSpec      `toml:"copies"`
	Servers   ServerSpec       `toml:"servers"`
	Network   Network          `toml:"network"`
	Discovery Discovery        `toml:"discovery"`
	Work      []Work           `toml:"work"`
	Demand    Demand           `toml:"demand"`
	Behaviors []CallerBehavior `toml:"callers"`
	Faults    []Fault          `toml:"fault"`
	Inner     Inner            `toml:"inner"` // for drills only
}

// Inner is a second tier: while it executes a request, a server of the first tier calls it once for each class named, through a
// sidecar of its own that starts and ends with it. It is present if there is a class.
type Inner struct {
	Calls   []string      `toml:"calls"` // the class of each call
	Pool    operator.Pool `toml:"pool"`
	Servers ServerSpec    `toml:"servers"`
	Work    []Work        `toml:"work"` // the field Part has no effect
}

// IsPresent reports whether there is a second tier.
func (t *Inner) IsPresent() bool { return len(t.Calls) > 0 }

// SidecarSpec describes the sidecars.
type SidecarSpec struct {
	Count int      `toml:"count"`
	Open  int      `toml:"open"`  // limit of open requests of a sidecar
	Skew  float64  `toml:"skew"`  // the share of the callers of sidecar i is proportional to 1/(i+1)^skew; 0 for even
	Start Duration `toml:"start"` // time over which the sidecars start one after the other
	Keep  Duration `toml:"keep"`  // interval at which the learned state of a sidecar is saved for its next start; 0 for never
	// Retries is the number of retries that one external request may cause, as in the section [context] of an operator file; 0 for no
	// limit.
	Retries int  `toml:"retries"`
	Allot   bool `toml:"allot"` // sidecars share load summaries and shed by the same limits; a drill uses allot of the pool instead
	Cold    bool `toml:"cold"`  // sidecars start without an endpoint list and without measurements
}

// ServerSpec describes the servers of the pool at the start. A server that replaces another has the same properties.
type ServerSpec struct {
	Count       int       `toml:"count"`
	Cores       int       `toml:"cores"`
	Queue       int       `toml:"queue"`       // limit of requests that wait for a core; further ones are rejected
	Connections int       `toml:"connections"` // limit of open connections; further ones are refused
	Handshake   Duration  `toml:"handshake"`   // work of a new connection
	Speeds      []float64 `toml:"speeds"`      // server i has the speed at index i modulo the length; empty for speed 1
	Cells       int       `toml:"cells"`       // number of cells, to which servers are assigned in turn
	ColdFrom    float64   `toml:"cold_from"`   // actual share of the speed at the start; cold_from of the pool is what the sidecars assume
	Ramp        Duration  `toml:"ramp"`
	Fall        float64   `toml:"fall"`       // a cold server that receives this multiple of its capacity
	FallAfter   Duration  `toml:"fall_after"` // for this time fails and stays down; 0 for never
}

// Network is the network between sidecars and servers.
type Network struct {
	Delay  Duration `toml:"delay"`  // one way, at least
	Jitter Duration `toml:"jitter"` // mean of an exponential addition
	Across Duration `toml:"across"` // addition between two zones
}

// Discovery describes how sidecars receive the list of servers.
type Discovery struct {
	Lag    Duration `toml:"lag"`    // minimum time from a change until a sidecar receives it
	Jitter Duration `toml:"jitter"` // mean of an exponential addition, for each sidecar
	Detect Duration `toml:"detect"` // from a crash until the list changes
}

// Work is the work of requests of a class at a server.
type Work struct {
	Class     string   `toml:"class"`
	Part      float64  `toml:"part"` // share of the requests, relative to the sum of all parts
	Mean      Duration `toml:"mean"` // on one core of a server of speed 1
	Shape     string   `toml:"shape"`
	Deviation float64  `toml:"deviation"` // of a lognormal distribution, relative to its mean
	Frontends int      `toml:"doors"`     // number of sidecars, from the first one, at which its requests enter; 0 for all
	Moves     []Move   `toml:"move"`      // changes of these sidecars over time
}

// Move changes the sidecars at which requests of a class enter, from a time on.
type Move struct {
	At        Duration `toml:"at"`
	First     int      `toml:"first"` // rank of the first sidecar
	Frontends int      `toml:"doors"` // number of sidecars; 0 for all
}

// Demand is the load of first tries, which does not depend on the responses (an open load).
type Demand struct {
	Rate    float64 `toml:"rate"` // requests a second, a Poisson process
	Callers int     `toml:"callers"`
	Curve   []Point `toml:"curve"` // factor of the rate over time, linear between two points
}

// Point is a point of the curve of the rate.
type Point struct {
	At    Duration `toml:"at"`
	Times float64  `toml:"times"`
}

// CallerBehavior is how a share of the callers react to a request that was not served.
type CallerBehavior struct {
	Kind   string   `toml:"habit"`  // one of the kinds below
	Share  float64  `toml:"share"`  // relative to the sum of all shares
	Tries  int      `toml:"tries"`  // at most
	Wait   Duration `toml:"wait"`   // before the second try; backoff doubles it each time
	Unsafe bool     `toml:"unsafe"` // they also retry if that may execute a request twice
	Leave  float64  `toml:"leave"`  // share of their tries that they abandon before the response, at a random time
}

// The kinds of behavior of callers.
const (
	behaviorNone       = "none"    // no retries
	behaviorFixedWait  = "again"   // retry after the same wait each time
	behaviorBackoff    = "backoff" // retry after a wait that doubles, with full jitter
	behaviorRetryAfter = "honour"  // retry after 1 to 1.5 times the Retry-After of a rejection; after a failure as behaviorFixedWait
)

var callerBehaviors = []string{behaviorNone, behaviorFixedWait, behaviorBackoff, behaviorRetryAfter}

// ErrScenario is wrapped by errors of scenarios that are valid but cannot be run.
var ErrScenario = errors.New("the scenario cannot be run")
