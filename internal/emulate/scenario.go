// Package emulate plays a fleet of sidecars with servers and callers in virtual time: one clock, one seed, no sockets. The decisions of
// a sidecar are those of the real modules (the decision module, subsets, levels, overrides), driven by their public events and
// actions. Only what surrounds them is modelled here. docs/design/emulate.md states what the models assume.
//
// scenario.go and the files of checks and defaults are the scenario, simulation.go a run with its clock, callers.go and traffic.go
// the load, sidecar.go, calls.go, attempt.go, discovery.go, levels.go and fleet.go a sidecar, server.go a server, fault.go the faults,
// result.go and compare.go what comes of a run.
package emulate

import (
	"errors"

	"milletmast/internal/operator"
)

// Duration is a time in the form of operator files.
type Duration = operator.Duration

// Scenario is a fleet, its load and its faults.
type Scenario struct {
	Name      string        `toml:"name"`
	About     string        `toml:"about"`
	For       Duration      `toml:"for"`    // duration of the load
	Warmup    Duration      `toml:"warmup"` // requests before are played but not counted
	Pool      operator.Pool `toml:"pool"`   // as in an operator file, but for the sidecars and servers, which are given below
	Copies    SidecarSpec   `toml:"copies"`
	Servers   ServerSpec    `toml:"servers"`
	Network   Network       `toml:"network"`
	Discovery Discovery     `toml:"discovery"`
	Work      []Work        `toml:"work"`
	Demand    Demand        `toml:"demand"`
	Habits    []CallerHabit `toml:"callers"`
	Faults    []Fault       `toml:"fault"`
	Inner     Inner         `toml:"inner"` // over processes only
}

// Inner is a second tier: while it executes a request, a server of the first tier calls it once for each class named, through a
// sidecar of its own that starts and ends with it. It is present if there is a class.
type Inner struct {
	Calls   []string      `toml:"calls"` // classes, as often as they are called
	Pool    operator.Pool `toml:"pool"`
	Servers ServerSpec    `toml:"servers"`
	Work    []Work        `toml:"work"` // parts do not count
}

// IsPresent reports whether there is a second tier.
func (t *Inner) IsPresent() bool { return len(t.Calls) > 0 }

// SidecarSpec describes the sidecars.
type SidecarSpec struct {
	Count int      `toml:"count"`
	Open  int      `toml:"open"`  // requests that one may have open
	Skew  float64  `toml:"skew"`  // the share of the callers of sidecar i is proportional to 1/(i+1)^skew; 0 for even
	Start Duration `toml:"start"` // they start one after the other over this time
	Keep  Duration `toml:"keep"`  // interval at which the memory of a sidecar is kept for its next start; 0 for never
	// Retries is the number of retries that one external request may cause, as in the section [context] of an operator file; 0 for no
	// limit.
	Retries int  `toml:"retries"`
	Allot   bool `toml:"allot"` // they share load reports and admit the same; over processes this is allot of the pool
	Cold    bool `toml:"cold"`  // they start without a list and without measurements
}

// ServerSpec describes the servers of the pool at the start. A server that replaces another is like it.
type ServerSpec struct {
	Count       int       `toml:"count"`
	Cores       int       `toml:"cores"`
	Queue       int       `toml:"queue"`       // requests that wait for a core; a further one is rejected as full
	Connections int       `toml:"connections"` // open at once; a further one is refused
	Handshake   Duration  `toml:"handshake"`   // work of a new connection
	Speeds      []float64 `toml:"speeds"`      // server i has the speed i modulo their number; none for 1
	Cells       int       `toml:"cells"`       // assigned in turn
	ColdFrom    float64   `toml:"cold_from"`   // the true value; cold_from of the pool is the assumption of the sidecars
	Ramp        Duration  `toml:"ramp"`
	Fall        float64   `toml:"fall"`       // a cold one that gets so many times its capacity
	FallAfter   Duration  `toml:"fall_after"` // for so long fails and stays down; 0 for never
}

// Network is the network between sidecars and servers.
type Network struct {
	Delay  Duration `toml:"delay"`  // one way, at least
	Jitter Duration `toml:"jitter"` // mean of an exponential addition
	Across Duration `toml:"across"` // addition between two zones
}

// Discovery is how sidecars get the list of servers.
type Discovery struct {
	Lag    Duration `toml:"lag"`    // from a change until a sidecar gets it, at least
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
	Doors     int      `toml:"doors"`     // its requests enter by the first so many sidecars; 0 for all
	Moves     []Move   `toml:"move"`      // changes of these sidecars
}

// Move changes the sidecars at which requests of a class enter, from a time on.
type Move struct {
	At    Duration `toml:"at"`
	First int      `toml:"first"` // rank of the first sidecar
	Doors int      `toml:"doors"` // number of sidecars; 0 for all
}

// Demand is the load of first tries, which does not depend on how they are answered (an open load).
type Demand struct {
	Rate    float64 `toml:"rate"` // requests a second, a Poisson process
	Callers int     `toml:"callers"`
	Curve   []Point `toml:"curve"` // factor of the rate, linear between two points
}

// Point is a point of the curve of the rate.
type Point struct {
	At    Duration `toml:"at"`
	Times float64  `toml:"times"`
}

// CallerHabit is what a share of the callers do after a request that was not served.
type CallerHabit struct {
	Habit  string   `toml:"habit"`  // see habits
	Share  float64  `toml:"share"`  // relative to the sum of all shares
	Tries  int      `toml:"tries"`  // at most
	Wait   Duration `toml:"wait"`   // before the second; backoff doubles it each time
	Unsafe bool     `toml:"unsafe"` // they also try again where that may execute a request twice
	Leave  float64  `toml:"leave"`  // share of their requests that they leave before the response, at a random time
}

// The habits of callers.
const (
	habitNone    = "none"    // they do not try again
	habitAgain   = "again"   // after the same wait each time
	habitBackoff = "backoff" // after a wait that doubles, with full jitter
	habitHonour  = "honour"  // after the Retry-After of a rejection and up to half as much more; after a failure as again
)

var callerHabits = []string{habitNone, habitAgain, habitBackoff, habitHonour}

// ErrScenario is wrapped by errors of scenarios that are valid but cannot be played.
var ErrScenario = errors.New("the scenario cannot be played")
