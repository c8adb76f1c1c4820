// Package loadbench runs trials: a real sidecar in this process over a pool of stand-in servers, on loopback, under a seeded load.
// A trial reports what service callers got, by the worth of their requests. It is for tests and measurements of decisions above
// single requests, such as levels of reduced service.
package loadbench

import (
	"cmp"
	"fmt"
	"strings"
	"time"

	"milletmast/internal/degradation"
	"milletmast/internal/fakeserver"
	"milletmast/internal/sidecar"
)

// Class is one kind of request of a load. Aim, GiveUp, Worth and Effect are the settings of the pool's class.
type Class struct {
	Name     string
	Share    float64       // of all requests
	MeanWork time.Duration // of a request at a server of speed 1; exponentially distributed
	Aim      time.Duration
	GiveUp   time.Duration
	Worth    float64
	Effect   string
}

// Spec describes one trial.
type Spec struct {
	Seed           uint64
	Duration       time.Duration
	Classes        []Class
	Rate           float64 // requests per second, a Poisson process
	Callers        int
	Servers        int
	Cores          int                                   // of each server
	Speed          func(time.Duration) float64           // of all servers, by the time from the start
	Levels         string                                // tables of the pool's levels in the operator file; "" for none
	LevelWindow    time.Duration                         // of the signals of the levels; 0 for a second
	SampleInterval time.Duration                         // between two samples; 0 for none
	Actions        map[time.Duration]func(*RunningTrial) // called at these times from the start
}

// RunningTrial is what the actions of a trial may change.
type RunningTrial struct {
	Instance *sidecar.Instance
	Servers  []*fakeserver.Server
}

// Sample is the state of a trial at one time.
type Sample struct {
	At           time.Duration // from the start
	Speed        float64
	Level        string
	OfferedWorth float64 // per second, since the sample before
	EarnedWorth  float64 // per second, since the sample before
}

// ClassResult counts what became of the requests of one class.
type ClassResult struct {
	Requests, InTime, Late, Refused, Failed int
	OfferedWorth, EarnedWorth               float64
}

// Result is what a trial measured.
type Result struct {
	Classes          map[string]ClassResult
	OfferedWorth     float64              // of all requests
	EarnedWorth      float64              // of those answered within their aim
	P99              time.Duration        // of the responses that are no refusals
	LongestRefusal   time.Duration        // from the request to the response
	LevelChanges     []degradation.Change // the last ones
	LevelChangeCount uint64
	Samples          []Sample
	Unanswered       int // requests without a response after their caller had given up; 0 in a sound sidecar
	Attempts         int // that reached servers
}

// WorthRatio returns the earned worth divided by the offered worth.
func (r *Result) WorthRatio() float64 {
	const tiny = 1e-9 // no load at all gives 0
	return r.EarnedWorth / max(r.OfferedWorth, tiny)
}

// InTimeRatio returns the ratio of the requests of a class that were answered within their aim.
func (r *Result) InTimeRatio(class string) float64 {
	result := r.Classes[class]
	return float64(result.InTime) / float64(max(result.Requests, 1))
}

// The names of the listener and of the pool in the operator file of a trial.
const (
	listenerName = "in"
	poolName     = "p"
)

// callerHeader names the caller of a request for the levels of the pool.
const callerHeader = "X-Caller"

// OperatorConfig returns the operator file of a trial over the servers.
func (s *Spec) OperatorConfig(servers []*fakeserver.Server) string {
	var b strings.Builder
	b.WriteString("[limits]\ndrain = \"200ms\"\nsockets = 4096\ncores = 256\n")
	fmt.Fprintf(&b, "[[listener]]\nname = %q\naddress = \"127.0.0.1:0\"\n", listenerName)
	fmt.Fprintf(&b, "[[pool]]\nname = %q\nconnect_timeout = \"250ms\"\n", poolName)
	fmt.Fprintf(&b, "level_caller = %q\nlevel_window = %q\n", callerHeader, cmp.Or(s.LevelWindow, time.Second))
	for _, c := range s.Classes {
		fmt.Fprintf(&b, "[[pool.class]]\nname = %q\naim = %q\ngive_up = %q\n", c.Name, c.Aim, c.GiveUp)
		fmt.Fprintf(&b, "worth = %v\neffect = %q\n", c.Worth, c.Effect)
	}
	for _, server := range servers {
		fmt.Fprintf(&b, "[[pool.server]]\naddress = %q\n", server.Addr())
	}
	b.WriteString(s.Levels)
	for _, c := range s.Classes {
		fmt.Fprintf(&b, "\n[[route]]\nname = %q\nprefix = \"/%s\"\npool = %q\nclass = %q\n", c.Name, c.Name, poolName, c.Name)
	}
	return b.String()
}
