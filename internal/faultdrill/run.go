// Package faultdrill runs scenarios of the emulator with real processes of internal/testcluster: sidecars, fake servers and clients, with
// the faults of the scenario. The rules are checked on the recorded history alone. docs/design/faultdrill.md describes the method.
//
// drill.go runs a drill, run.go, tier.go, server.go and sidecar.go manage its processes, faults.go and linkfaults.go inject faults,
// load.go and try.go are the clients, and observe.go records the attempts on links. evaluate.go, historychecker.go and replay.go check
// the rules.
package faultdrill

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"milletmast/internal/emulate"
	"milletmast/internal/testcluster"
)

// drillRun is the state of one drill: its processes and their history.
type drillRun struct {
	cluster   *testcluster.Cluster
	scenario  *emulate.Scenario
	seed      uint64
	program   string // of the sidecars
	env       []string
	history   *testcluster.History
	outerTier *tier
	innerTier *tier // nil for none

	mu     sync.Mutex // guards the states and the lists of servers, and the fields below
	random *rand.Rand
	err    error
}

// setError records the first error of the drill itself.
func (d *drillRun) setError(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.err == nil {
		d.err = err
	}
}

func (d *drillRun) firstError() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.err
}

func (d *drillRun) tiers() []*tier {
	if d.innerTier == nil {
		return []*tier{d.outerTier}
	}
	return []*tier{d.outerTier, d.innerTier}
}

// startAll starts the servers, and then the sidecars, several at once.
func (d *drillRun) startAll(ctx context.Context) error {
	d.outerTier = newTier(d, false, &d.scenario.Pool, &d.scenario.Servers, d.scenario.Copies.Count)
	if in := &d.scenario.Inner; in.IsPresent() {
		d.innerTier = newTier(d, true, &in.Pool, &in.Servers, d.scenario.Servers.Count)
		for i := range in.Servers.Count {
			if _, err := d.innerTier.addServer(ctx, i, time.Time{}); err != nil {
				return err
			}
		}
		if err := startSidecars(ctx, d.innerTier.sidecars); err != nil {
			return err
		}
	}
	for i := range d.scenario.Servers.Count {
		if _, err := d.outerTier.addServer(ctx, i, time.Time{}); err != nil {
			return err
		}
	}
	sidecars := d.outerTier.sidecars
	if d.scenario.Copies.Allot { // the others need the address of a member as a seed
		if err := startSidecars(ctx, sidecars[:1]); err != nil {
			return err
		}
		sidecars = sidecars[1:]
	}
	return startSidecars(ctx, sidecars)
}

// maxConcurrentStarts bounds the processes that start at the same time.
const maxConcurrentStarts = 8

func startSidecars(ctx context.Context, sidecars []*sidecar) error {
	errs := make(chan error, len(sidecars))
	slots := make(chan struct{}, maxConcurrentStarts)
	for _, c := range sidecars {
		go func() {
			slots <- struct{}{}
			errs <- c.start(ctx)
			<-slots
		}()
	}
	var first error
	for range sidecars {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// exitedSidecars describes the sidecars that have exited although no fault has ended them.
func (d *drillRun) exitedSidecars() (out []string) {
	for _, t := range d.tiers() {
		for _, c := range t.sidecars {
			if addr, name := c.address(); addr != "" && !c.process().IsRunning() {
				out = append(out, fmt.Sprintf("%s exited unexpectedly: %s", name, c.process().Status()))
			}
		}
	}
	return out
}

const (
	maxLogs = 256 << 10 // bytes of the output of all processes that logs returns
	logTail = 1 << 10   // bytes of the end of an output that exceeds maxLogs
)

// logs returns the output of all processes, up to a limit.
func (d *drillRun) logs() string {
	var b strings.Builder
	for _, p := range d.cluster.Processes() {
		text := p.Output.String()
		if b.Len()+len(text) > maxLogs {
			text = text[max(0, len(text)-logTail):]
		}
		if b.Len() < maxLogs && !strings.Contains(p.Name, "burn") {
			fmt.Fprintf(&b, "== %s %s\n%s\n", p.Name, p.Status(), text)
		}
	}
	return b.String()
}
