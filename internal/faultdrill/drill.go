package faultdrill

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"milletmast/internal/emulate"
	"milletmast/internal/testcluster"
)

// Options configure a drill.
type Options struct {
	Program string    // path of the program of the sidecars
	Env     []string  // additional environment variables of the sidecars
	History io.Writer // all facts are written to it; may be nil
}

// Result is the result of a drill.
type Result struct {
	*emulate.Result
	Verdicts  []*TierResult   `json:"verdicts"`
	Faults    []FaultTime     `json:"faults"`
	MaxDelay  time.Duration   `json:"load_late_ns"` // longest delay of the load or a relay; many ms show a busy machine
	Sidecars  []SidecarResult `json:"copies"`
	StartTime time.Duration   `json:"start_ns"` // until all processes had started
	Logs      string          `json:"-"`        // the output of all processes, up to a limit, if there are violations
}

// FaultTime is the time of a fault, in seconds from the start of the load.
type FaultTime struct {
	Kind string  `json:"kind"`
	From float64 `json:"from_s"`
	To   float64 `json:"to_s"`
}

// SidecarResult counts the requests of one sidecar of the outer tier by their results.
type SidecarResult struct {
	Copy    string `json:"copy"`
	Asked   int    `json:"asked"`
	Served  int    `json:"served"`
	Refused int    `json:"refused"`
	Failed  int    `json:"failed"`
}

// The streams of random numbers of a drill besides those of the traffic.
const (
	listStream       = 21
	firstFaultStream = 100
)

// Run runs a scenario with real processes. All of them have ended when it returns.
func Run(ctx context.Context, sc *emulate.Scenario, seed uint64, o Options) (*Result, error) {
	if err := raiseDescriptorLimit(sc); err != nil {
		return nil, err
	}
	program, err := filepath.Abs(o.Program)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("program of the sidecars: %w", err)
	}
	cluster, err := testcluster.New()
	if err != nil {
		return nil, err
	}
	defer cluster.Close()
	d := &drillRun{
		cluster:  cluster,
		scenario: sc,
		seed:     seed,
		program:  program,
		env:      o.Env,
		history:  &testcluster.History{},
		random:   rand.New(rand.NewPCG(seed, listStream)),
	}
	return d.execute(ctx, o)
}

// execute starts the processes, runs the load and the faults, and evaluates the history.
func (d *drillRun) execute(ctx context.Context, o Options) (*Result, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	startedAt := time.Now()
	if err := d.startAll(ctx); err != nil {
		return nil, err
	}
	res := &Result{StartTime: time.Since(startedAt)}
	load := newClientLoad(d, d.seed)
	loadStart := testcluster.Now()
	measuredStalls := testcluster.MeasureStalls(ctx)
	faults := d.startFaults(ctx)
	load.sendAll(ctx)
	faults.Wait() // faults restart the processes that they have ended
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	d.history.Record(testcluster.Fact{Kind: testcluster.FactEnded})
	end := load.now()
	exited := d.exitedSidecars()
	stop()
	d.cluster.KillAll() // the facts of a server are complete after its end
	if err := d.readServerFacts(); err != nil {
		return nil, err
	}
	if o.History != nil {
		if err := d.history.WriteJSON(o.History); err != nil {
			return nil, err
		}
	}
	res.Result = load.result
	stalls := measuredStalls()
	d.evaluate(res, d.history.Sorted(), loadStart, stalls)
	res.summarize(end, load.written)
	res.MaxDelay = max(load.maxDelay, stalls.Longest())
	res.ViolationCount += len(exited)
	res.Violations = append(res.Violations, exited...)
	if err := d.firstError(); err != nil {
		return res, fmt.Errorf("drill failed: %w\n%s", err, d.logs())
	}
	if res.ViolationCount > 0 {
		res.Logs = d.logs()
	}
	return res, nil
}

// startFaults starts a goroutine for each fault.
func (d *drillRun) startFaults(ctx context.Context) *sync.WaitGroup {
	var faults sync.WaitGroup
	for i := range d.scenario.Faults {
		f := &d.scenario.Faults[i]
		random := rand.New(rand.NewPCG(d.seed, firstFaultStream+uint64(i)))
		faults.Go(func() {
			waitFor(ctx, time.Duration(f.At))
			if ctx.Err() == nil {
				d.injectFault(ctx, f, random)
			}
		})
	}
	return &faults
}

// readServerFacts adds the facts of all servers to the history.
func (d *drillRun) readServerFacts() error {
	for _, t := range d.tiers() {
		for _, s := range t.allServers {
			if err := d.history.ReadFile(filepath.Join(d.cluster.Dir, s.name, "facts.jsonl")); err != nil {
				return err
			}
		}
	}
	return nil
}

// ErrDescriptors is returned for a scenario that needs more file descriptors than the hard limit of this process.
var ErrDescriptors = errors.New("not enough descriptors")

// raiseDescriptorLimit raises the soft limit of file descriptors to the hard limit. It returns ErrDescriptors if the scenario needs more.
func raiseDescriptorLimit(sc *emulate.Scenario) error {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return err
	}
	if limit.Cur < limit.Max {
		limit.Cur = limit.Max
		if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
			return err
		}
	}
	// A link has a listener and two sockets for each connection. The factor 2 is for servers that replace others, which have new links.
	links := sc.Copies.Count * sc.Servers.Count
	if sc.Inner.IsPresent() {
		links += sc.Servers.Count * sc.Inner.Servers.Count
	}
	need := uint64(links*2*(1+2*connsPerLink) + otherDescriptors)
	if need > limit.Max {
		return fmt.Errorf("%w: the links of copies.count and servers.count need about %d, the hard limit is %d", ErrDescriptors, need, limit.Max)
	}
	return nil
}

const (
	// connsPerLink is the approximate number of connections of a link, as a sidecar spreads its requests over all of its links.
	connsPerLink = 2
	// otherDescriptors is the number of descriptors of the processes, the load and the history.
	otherDescriptors = 1000
)
