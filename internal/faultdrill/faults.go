package faultdrill

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"time"

	"milletmast/internal/emulate"
	"milletmast/internal/operator"
	"milletmast/internal/testcluster"
)

// injection is one fault that is being injected.
type injection struct {
	*drillRun
	fault  *emulate.Fault
	tier   *tier
	random *rand.Rand
}

// injectors holds a function for each kind of fault, which injects the fault and returns once it is over.
var injectors = map[string]func(*injection, context.Context){
	emulate.FaultSlow:      (*injection).slowServers,
	emulate.FaultFailing:   (*injection).failServers,
	emulate.FaultSilent:    (*injection).suspendServers,
	emulate.FaultCrash:     (*injection).crashServers,
	emulate.FaultReplace:   (*injection).replaceServers,
	emulate.FaultZone:      (*injection).loseZone,
	emulate.FaultCut:       (*injection).isolateZone,
	emulate.FaultLinkCut:   (*injection).cutLinks,
	emulate.FaultLinkSlow:  (*injection).slowLinks,
	emulate.FaultLinkReset: (*injection).resetLinks,
	emulate.FaultRestart:   (*injection).restartSidecars,
	emulate.FaultStall:     (*injection).suspendSidecars,
	emulate.FaultStarve:    (*injection).starveSidecars,
	emulate.FaultListLate:  (*injection).blockLists,
	emulate.FaultListShort: (*injection).omitFromLists,
}

// injectFault injects a fault, and returns once it is over.
func (d *drillRun) injectFault(ctx context.Context, f *emulate.Fault, r *rand.Rand) {
	in := &injection{drillRun: d, fault: f, tier: d.outerTier, random: r}
	if f.Inner {
		in.tier = d.innerTier
	}
	d.history.Record(testcluster.Fact{Kind: testcluster.FactFault, Text: f.Kind, Due: testcluster.Now() + int64(f.For)})
	inject, ok := injectors[f.Kind]
	if !ok {
		d.setError(fmt.Errorf("a drill cannot inject a fault of kind %q", f.Kind))
		return
	}
	inject(in, ctx)
}

// duration returns how long the fault lasts.
func (in *injection) duration() time.Duration { return time.Duration(in.fault.For) }

func (in *injection) wait(ctx context.Context) { waitFor(ctx, in.duration()) }

func (in *injection) servers() []*server   { return in.tier.chooseServers(in.fault, in.random) }
func (in *injection) sidecars() []*sidecar { return in.tier.chooseSidecars(in.fault, in.random) }

// changeServers changes the state of servers for the time of the fault.
func (in *injection) changeServers(ctx context.Context, begin, end func(*testcluster.ServerState)) {
	servers := in.servers()
	for _, s := range servers {
		s.changeState(begin)
	}
	in.wait(ctx)
	for _, s := range servers {
		s.changeState(end)
	}
}

func (in *injection) slowServers(ctx context.Context) {
	speed := in.fault.Speed
	in.changeServers(ctx,
		func(st *testcluster.ServerState) { st.SpeedFactor *= speed },
		func(st *testcluster.ServerState) { st.SpeedFactor /= speed })
}

func (in *injection) failServers(ctx context.Context) {
	in.changeServers(ctx,
		func(st *testcluster.ServerState) { st.FailureShare = in.fault.Part },
		func(st *testcluster.ServerState) { st.FailureShare = 0 })
}

// suspendServers suspends servers together with the sidecars beside them, as if their machines were suspended.
func (in *injection) suspendServers(ctx context.Context) {
	var processes []*testcluster.Process
	var beside []*sidecar
	for _, s := range in.servers() {
		processes = append(processes, s.process().Process)
		if c := in.tier.sidecarBeside(s.slot); c != nil {
			processes = append(processes, c.process())
			beside = append(beside, c)
		}
	}
	in.suspend(ctx, processes, beside)
}

func (in *injection) suspendSidecars(ctx context.Context) {
	sidecars := in.sidecars()
	var processes []*testcluster.Process
	for _, c := range sidecars {
		processes = append(processes, c.process())
	}
	in.suspend(ctx, processes, sidecars)
}

// suspend suspends processes for the time of the fault. Sidecars holds the sidecars to which some of the processes belong.
func (in *injection) suspend(ctx context.Context, processes []*testcluster.Process, sidecars []*sidecar) {
	for _, c := range sidecars {
		in.recordSuspended(c, true)
	}
	in.forRunning(processes, (*testcluster.Process).Suspend)
	in.wait(ctx)
	in.forRunning(processes, (*testcluster.Process).Resume)
	for _, c := range sidecars {
		in.recordSuspended(c, false)
	}
}

// forRunning calls do with each process. Errors of processes that have ended are ignored.
func (in *injection) forRunning(processes []*testcluster.Process, do func(*testcluster.Process) error) {
	for _, p := range processes {
		if err := do(p); err != nil && p.IsRunning() {
			in.setError(err)
		}
	}
}

// recordSuspended records that a sidecar is suspended or resumed. Updates that are sent to it meanwhile count from its resumption.
func (in *injection) recordSuspended(c *sidecar, suspended bool) {
	_, name := c.address()
	in.history.Record(testcluster.Fact{Kind: testcluster.FactSuspended, Copy: name, Serves: !suspended})
}

func (in *injection) crashServers(ctx context.Context) {
	var all sync.WaitGroup
	for _, s := range in.servers() {
		all.Go(func() { in.crashServer(ctx, s) })
	}
	all.Wait()
}

// loseZone crashes the servers of a zone, and kills its sidecars.
func (in *injection) loseZone(ctx context.Context) {
	var all sync.WaitGroup
	for _, s := range in.tier.servers {
		if s.zone == in.fault.Zone {
			all.Go(func() { in.crashServer(ctx, s) })
		}
	}
	for _, c := range in.tier.sidecars {
		if c.zone == in.fault.Zone {
			all.Go(func() { in.restartSidecar(ctx, c, (*sidecar).kill, in.duration()) })
		}
	}
	all.Wait()
}

// crashServer kills a server and restarts it cold after the time of the fault. Discovery removes it
// from the lists after its detection time, if that is shorter.
func (in *injection) crashServer(ctx context.Context, s *server) {
	s.kill()
	var detecting sync.WaitGroup
	detecting.Go(func() {
		if detectTime := time.Duration(in.scenario.Discovery.Detect); detectTime < in.duration() {
			waitFor(ctx, detectTime)
			s.tier.setListed(s, "")
		}
	})
	in.wait(ctx)
	detecting.Wait()
	if ctx.Err() != nil {
		return
	}
	if err := s.restart(ctx); err != nil {
		in.setError(err)
	}
}

// replaceServers replaces servers in steps.
func (in *injection) replaceServers(ctx context.Context) {
	servers := in.servers()
	runInSteps(ctx, len(servers), in.fault.Steps, in.duration(), func(i int) { in.replaceServer(ctx, servers[i]) })
}

// replaceServer drains and kills a server, and then starts a new cold one in its slot.
func (in *injection) replaceServer(ctx context.Context, s *server) {
	t := in.tier
	in.mu.Lock()
	isPresent := !s.replaced && t.servers[s.slot] == s
	s.replaced = true
	in.mu.Unlock()
	if !isPresent {
		return
	}
	t.setListed(s, operator.ServerDraining)
	waitFor(ctx, time.Duration(in.fault.Drain))
	s.kill()
	t.setListed(s, "")
	if ctx.Err() != nil {
		return
	}
	if err := t.startBeside(ctx, s.slot); err != nil {
		in.setError(err)
		return
	}
	next, err := t.addServer(ctx, s.slot, time.Now())
	if err != nil {
		in.setError(err)
		return
	}
	t.setListed(next, operator.ServerReady)
}

// restartSidecars restarts sidecars in steps, with another program if the fault names one.
func (in *injection) restartSidecars(ctx context.Context) {
	sidecars := in.sidecars()
	if in.fault.Program != "" {
		program, err := filepath.Abs(in.fault.Program) // a sidecar has another working directory
		if err != nil {
			in.setError(err)
			return
		}
		for _, c := range sidecars {
			c.mu.Lock()
			c.program = program
			c.mu.Unlock()
		}
	}
	stop := (*sidecar).terminate
	if in.fault.Kill {
		stop = (*sidecar).kill
	}
	runInSteps(ctx, len(sidecars), in.fault.Steps, in.duration(), func(i int) {
		in.restartSidecar(ctx, sidecars[i], stop, time.Duration(in.fault.Down))
	})
}

// restartSidecar stops a sidecar and starts it again after the time down.
func (in *injection) restartSidecar(ctx context.Context, c *sidecar, stop func(*sidecar), down time.Duration) {
	stop(c)
	waitFor(ctx, down)
	if ctx.Err() != nil {
		return
	}
	if err := c.start(ctx); err != nil {
		in.setError(err)
	}
}

// starveSidecars leaves each sidecar a share of one core.
func (in *injection) starveSidecars(ctx context.Context) {
	burners := max(int(math.Round(1/in.fault.Speed))-1, 1)
	var ends []func()
	for _, c := range in.sidecars() {
		end, err := in.cluster.Starve(c.process(), burners)
		if err != nil {
			in.setError(err)
			continue
		}
		ends = append(ends, end)
	}
	in.wait(ctx)
	for _, end := range ends {
		end()
	}
}

// blockLists prevents sidecars from receiving server lists.
func (in *injection) blockLists(ctx context.Context) {
	sidecars := in.sidecars()
	addBlocks(sidecars, 1)
	in.wait(ctx)
	addBlocks(sidecars, -1)
}

// addBlocks changes the number of faults that block the server lists of sidecars. When none is left, they receive the present list.
func addBlocks(sidecars []*sidecar, n int) {
	for _, c := range sidecars {
		c.mu.Lock()
		c.listBlocks += n
		c.mu.Unlock()
		c.writeList()
	}
}

// omitFromLists leaves servers out of the server lists of all sidecars.
func (in *injection) omitFromLists(ctx context.Context) {
	servers := in.servers()
	in.setOmitted(servers, true)
	in.wait(ctx)
	in.setOmitted(servers, false)
}

func (in *injection) setOmitted(servers []*server, omitted bool) {
	for _, c := range in.tier.sidecars {
		c.mu.Lock()
		for _, s := range servers {
			c.omitted[s.name] = omitted
		}
		c.mu.Unlock()
		c.writeList()
	}
}

// waitFor waits for a time or until ctx is done.
func waitFor(ctx context.Context, d time.Duration) { _ = testcluster.Sleep(ctx, d) }

// runInSteps calls do with each number below n and waits for all calls. The calls are divided evenly among steps that are spread over a
// time span.
func runInSteps(ctx context.Context, n, steps int, span time.Duration, do func(i int)) {
	steps = max(min(steps, n), 1)
	var all sync.WaitGroup
	for i := range n {
		all.Go(func() {
			waitFor(ctx, time.Duration(float64(span)*float64(i*steps/n)/float64(steps)))
			if ctx.Err() == nil {
				do(i)
			}
		})
	}
	all.Wait()
}
