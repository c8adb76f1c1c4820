// Package loadbench runs trials: a real sidecar in this process over a pool of stand-in servers, on loopback, under a seeded load.
// A trial reports how callers were served, by the priority weight of their requests. It is for tests and measurements of decisions
// above single requests, such as degradation levels.
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

// Class is one kind of request of a load. LatencyTarget, Timeout, PriorityWeight and Effect are the settings aim, give_up, worth and
// effect of the pool's class.
type Class struct {
	Name           string
	Share          float64       // of all requests
	MeanWork       time.Duration // mean work of a request at a server of speed 1, exponentially distributed
	LatencyTarget  time.Duration
	Timeout        time.Duration
	PriorityWeight float64
	Effect         string
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
	Speed          func(time.Duration) float64           // speed of all servers, by the time from the start
	Levels         string                                // the tables [[pool.level]] of the operator file; "" for none
	LevelWindow    time.Duration                         // time window of the signals of the levels; 0 for a second
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
	At            time.Duration // from the start
	Speed         float64
	Level         string
	OfferedWeight float64 // per second, since the sample before
	EarnedWeight  float64 // per second, since the sample before
}

// ClassResult counts the outcomes of the requests of one class.
type ClassResult struct {
	Requests, InTime, Late, Refused, Failed int
	OfferedWeight, EarnedWeight             float64
}

// Result is what a trial measured.
type Result struct {
	Classes          map[string]ClassResult
	OfferedWeight    float64              // of all requests
	EarnedWeight     float64              // of those served within their latency target
	P99              time.Duration        // of all responses except rejections
	LongestRefusal   time.Duration        // from the request to the response
	LevelChanges     []degradation.Change // the latest ones
	LevelChangeCount uint64
	Samples          []Sample
	Unanswered       int // requests without a response after their caller's timeout; 0 unless the sidecar has a fault
	Attempts         int // attempts that reached servers
}

// EarnedRatio returns the earned priority weight divided by the offered one.
func (r *Result) EarnedRatio() float64 {
	const epsilon = 1e-9 // avoids a division by 0 without load
	return r.EarnedWeight / max(r.OfferedWeight, epsilon)
}

// InTimeRatio returns the ratio of the requests of a class that were served within their latency target.
func (r *Result) InTimeRatio(class string) float64 {
	result := r.Classes[class]
	return float64(result.InTime) / float64(max(result.Requests, 1))
}

// The names of the listener and of the pool in the operator file of a trial.
const (
	listenerName = "in"
	poolName     = "p"
)

// callerHeader is the header that identifies the caller of a request to the levels of the pool.
const callerHeader = "X-Caller"

// OperatorConfig returns the operator file of a trial over the servers.
func (s *Spec) OperatorConfig(servers []*fakeserver.Server) string {
	var b strings.Builder
	b.WriteString("[limits]\ndrain = \"200ms\"\nsockets = 4096\ncores = 256\n")
	fmt.Fprintf(&b, "[[listener]]\nname = %q\naddress = \"127.0.0.1:0\"\n", listenerName)
	fmt.Fprintf(&b, "[[pool]]\nname = %q\nconnect_timeout = \"250ms\"\n", poolName)
	fmt.Fprintf(&b, "level_caller = %q\nlevel_window = %q\n", callerHeader, cmp.Or(s.LevelWindow, time.Second))
	for _, c := range s.Classes {
		fmt.Fprintf(&b, "[[pool.class]]\nname = %q\naim = %q\ngive_up = %q\n", c.Name, c.LatencyTarget, c.Timeout)
		fmt.Fprintf(&b, "worth = %v\neffect = %q\n", c.PriorityWeight, c.Effect)
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
