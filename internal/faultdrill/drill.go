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
	Program string    // of the sidecars
	Env     []string  // further variables of their environment
	History io.Writer // gets all facts; nil for none
}

// Result is the result of a drill.
type Result struct {
	*emulate.Result
	Verdicts  []*Verdict      `json:"verdicts"`
	Faults    []FaultTime     `json:"faults"`
	MaxDelay  time.Duration   `json:"load_late_ns"` // the longest delay of the load or of a relay: some ms, or the machine was too busy
	Sidecars  []SidecarResult `json:"copies"`
	StartTime time.Duration   `json:"start_ns"` // until all processes were up
	Logs      string          `json:"-"`        // the output of all processes, up to a limit, if a rule was broken
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

// The streams of random numbers of a drill, beside those of the traffic.
const (
	listStream       = 21
	firstFaultStream = 100
)

// Run plays a scenario over processes. All of them have ended when it returns.
func Run(ctx context.Context, sc *emulate.Scenario, seed uint64, o Options) (*Result, error) {
	if err := raiseDescriptorLimit(sc); err != nil {
		return nil, err
	}
	program, err := filepath.Abs(o.Program)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("the sidecar's program: %w", err)
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
	return d.play(ctx, o)
}

// play starts the processes, plays load and faults, and evaluates the history.
func (d *drillRun) play(ctx context.Context, o Options) (*Result, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	startedAt := time.Now()
	if err := d.startAll(ctx); err != nil {
		return nil, err
	}
	res := &Result{StartTime: time.Since(startedAt)}
	load := newClientLoad(d, d.seed)
	zero := testcluster.Now()
	longestStall := testcluster.MeasureStalls(ctx)
	faults := d.startFaults(ctx)
	load.play(ctx)
	faults.Wait() // faults restart what they have ended
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	d.history.Record(testcluster.Fact{Kind: testcluster.FactEnded})
	end := load.now()
	exited := d.exitedSidecars()
	stop()
	d.cluster.KillAll() // the servers have to end before their facts are read
	if err := d.readServerFacts(); err != nil {
		return nil, err
	}
	if o.History != nil {
		if err := d.history.WriteJSON(o.History); err != nil {
			return nil, err
		}
	}
	res.Result = load.result
	stall := longestStall()
	d.evaluate(res, d.history.Sorted(), zero, stall)
	res.summarize(end, load.written)
	res.MaxDelay = max(load.maxDelay, stall)
	res.ViolationCount += len(exited)
	res.Violations = append(res.Violations, exited...)
	if err := d.firstError(); err != nil {
		return res, fmt.Errorf("the drill itself failed: %w\n%s", err, d.logs())
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

// ErrDescriptors is the error of a scenario that needs more descriptors than this process may hold.
var ErrDescriptors = errors.New("not enough descriptors")

// raiseDescriptorLimit raises the limit of descriptors of this process as far as the system allows. It fails with ErrDescriptors if
// that is too few.
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
	// A link has its listener and two ends of each connection. Servers that replace others have links of their own.
	links := sc.Copies.Count * sc.Servers.Count
	if sc.Inner.IsPresent() {
		links += sc.Servers.Count * sc.Inner.Servers.Count
	}
	need := uint64(links*2*(1+2*connsPerLink) + otherDescriptors)
	if need > limit.Max {
		return fmt.Errorf("%w: the links of copies.count and servers.count need about %d, %d are allowed", ErrDescriptors, need, limit.Max)
	}
	return nil
}

const (
	// connsPerLink is about the number of connections of a link, as a sidecar spreads its calls over all of its links.
	connsPerLink = 2
	// otherDescriptors are those of the processes, the load and the history.
	otherDescriptors = 1000
)
