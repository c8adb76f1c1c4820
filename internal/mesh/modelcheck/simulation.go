package modelcheck

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"runtime/debug"
	"time"

	"milletmast/internal/mesh/consensus"
	"milletmast/internal/mesh/membership"
)

const (
	tickInterval    = 300 * time.Millisecond // between two ticks of a store if nothing is due before
	leaseTime       = 2 * time.Second
	proposalTimeout = 3 * time.Second
	inlineLimit     = 9                       // bytes of a body that is sent inline; bodies that stand for large ones are longer
	recoveryTimeout = 5 * time.Second         // after the last fault, for all machines to recover
	finalReadTime   = 4 * time.Second         // after that, for the final reads
	graceTime       = 1500 * time.Millisecond // for a process to shut down
	maxMachines     = 16
)

var start = time.Unix(1_700_000_000, 0)

// simulation is one run.
type simulation struct {
	plan              Plan
	hooks             hooks
	rng               *rand.Rand
	now               time.Duration
	queue             events
	lastEventID       uint64
	machines          []*machine
	cut               [maxMachines][maxMachines]int           // messages from one to another are lost while it is positive
	unreachable       [maxMachines]int                        // operators and the machine do not reach each other
	lossPermille      int                                     // of the messages, that are lost
	duplicatePermille int                                     // that are delivered twice
	maxDelay          time.Duration                           // of each message
	linkRate          int                                     // bytes a second of each link in each direction, in order; 0 for no limit
	linkFreeAt        [maxMachines][maxMachines]time.Duration // when a limited link has carried all that was sent
	lostReplies       int                                     // answers to operators are lost while it is positive
	onAck             []func(*machine)                        // at the next acknowledgement
	onStep            []func()                                // at the next step of the voter configuration, one for each
	healedAt          time.Duration
	losses            []loss
	lastIncarnation   int
	discovery         *discoverySim // nil for none
	history
	report Report
}

// machine is an address, with its disk and its process.
type machine struct {
	sim         *simulation
	index       int
	addr        string
	zone        string
	disk        *disk
	process     *storeProcess // nil while it is down
	frozen      int
	diskFull    int
	diskStalled int
	syncDelay   time.Duration // of each sync
	removed     bool          // for good
	resets      int           // number of resets of its connections
}

type event struct {
	at time.Duration
	id uint64
	do func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].id < e[j].id
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

func (sim *simulation) time() time.Time { return start.Add(sim.now) }

func (sim *simulation) after(d time.Duration, do func()) {
	sim.lastEventID++
	heap.Push(&sim.queue, event{sim.now + max(d, 0), sim.lastEventID, do})
}

func (sim *simulation) at(t time.Duration, do func()) { sim.after(t-sim.now, do) }

// chance is true with a probability in permille.
func (sim *simulation) chance(parts int) bool { return sim.rng.IntN(1000) < parts }

func (sim *simulation) randomDuration(d time.Duration) time.Duration {
	return time.Duration(sim.rng.Int64N(int64(d) + 1))
}

// run runs events up to a time.
func (sim *simulation) run(until time.Duration) {
	for len(sim.queue) > 0 && sim.queue[0].at <= until && len(sim.report.Violations) == 0 {
		e := heap.Pop(&sim.queue).(event)
		sim.now = e.at
		sim.report.Events++
		e.do()
	}
	sim.now = until
}

func (sim *simulation) violation(format string, a ...any) {
	if len(sim.report.Violations) < 8 {
		sim.report.Violations = append(sim.report.Violations, fmt.Sprintf(format, a...)+fmt.Sprintf(" (at %v)", sim.now))
	}
}

// Play runs a plan.
func Play(p Plan) *Report { return play(p, hooks{}) }

// play runs a plan with hooks. A panic of the machines is a violation like others.
func play(p Plan, h hooks) *Report {
	return new(simulation).begin(p, h)
}

func (sim *simulation) begin(p Plan, h hooks) *Report {
	*sim = simulation{
		plan:     p,
		hooks:    h,
		rng:      rand.New(rand.NewPCG(p.Seed, 7)),
		history:  newHistory(),
		maxDelay: 2 * time.Millisecond,
		linkRate: p.LinkBytesPerSecond,
	}
	defer func() {
		if x := recover(); x != nil {
			sim.violation("panic: %v\n%s", x, debug.Stack())
		}
	}()
	sim.play()
	return &sim.report
}

func (sim *simulation) play() {
	p := sim.plan
	var members []consensus.Member
	for i := range p.Machines {
		m := sim.addMachine(i)
		if i < p.InitialVoters {
			m.disk.name = m.addr + "#first"
			members = append(members, m.member())
		}
	}
	sim.configs[1] = &consensus.VoterConfig{Epoch: 1, Voters: members}
	sim.newest = sim.configs[1]
	for i, m := range sim.machines {
		if i < p.InitialVoters {
			m.disk.set = *sim.configs[1]
		}
		sim.after(sim.randomDuration(300*time.Millisecond), m.start)
	}
	for _, t := range p.Faults {
		if t.AfterStep {
			sim.onStep = append(sim.onStep, func() { sim.after(t.At, func() { sim.inject(t) }) })
			continue
		}
		sim.at(t.At, func() { sim.inject(t) })
	}
	for _, o := range p.Commands {
		sim.at(o.At, func() { sim.order(o) })
	}
	if p.Proxies > 0 {
		sim.startDiscovery(p.Proxies)
	}
	sim.run(p.End)
	sim.heal()
	sim.report.Epochs = sim.newest.Epoch
	sim.checkHistory()
}

// addMachine adds a machine with an empty disk.
func (sim *simulation) addMachine(i int) *machine {
	m := &machine{sim: sim, index: i, addr: fmt.Sprintf("m%d", i), zone: fmt.Sprintf("z%d", i%3)}
	sim.machines = append(sim.machines, m)
	m.newDisk()
	return m
}

// newDisk gives a machine a new disk.
func (m *machine) newDisk() {
	m.disk = &disk{name: fmt.Sprintf("%s#%08x", m.addr, m.sim.rng.Uint32()), registers: map[string]consensus.Register{}}
}

func (m *machine) member() consensus.Member {
	return consensus.Member{DiskID: m.disk.name, Node: m.addr, Addr: m.addr, Zone: m.zone, InQuorum: true}
}

// start starts a process with what the disk holds.
func (m *machine) start() {
	w := m.sim
	if m.process != nil || m.removed {
		return
	}
	set, held := m.disk.read()
	if w.hooks.restart != nil {
		held = w.hooks.restart(&set, held)
	}
	r := consensus.NewReplica(
		m.member(),
		consensus.Settings{Lease: leaseTime, ProposalTimeout: proposalTimeout, InlineLimit: inlineLimit, TimeScale: w.plan.TimeScale},
		set,
		held,
	)
	for i, n := 0, 0; i < len(w.machines) && n < 3; i++ {
		if !w.machines[i].removed {
			r.AddPeer(w.machines[i].addr)
			n++
		}
	}
	w.lastIncarnation++
	p := &storeProcess{machine: m, incarnation: w.lastIncarnation, proposals: map[uint64]func(consensus.Result){}}
	p.core = &realMachines{r, membership.New(w.time(), r, w.plan.FaultBudget)}
	if w.hooks.wrap != nil {
		p.core = w.hooks.wrap(p.core)
	}
	m.process = p
	p.input(p.onTick)
}

// stop ends the process at once.
func (m *machine) stop(powerLoss bool) {
	if m.process == nil {
		return
	}
	m.process = nil
	if powerLoss {
		m.disk.losePower(m.sim.rng)
	} else {
		m.disk.sync()
	}
}

func (sim *simulation) place(addr string) *machine {
	for _, m := range sim.machines {
		if m.addr == addr {
			return m
		}
	}
	return nil
}

func (sim *simulation) syncTime(m *machine) time.Duration {
	return 100*time.Microsecond + sim.randomDuration(400*time.Microsecond) + m.syncDelay/2 + sim.randomDuration(m.syncDelay/2)
}

func (sim *simulation) told(p *storeProcess, t consensus.Response) {
	p.input(func() {
		if !p.storageFailed {
			p.apply(p.HandleResponse(sim.time(), &t), nil)
		}
	})
}

// running returns the running processes.
func (sim *simulation) running() []*storeProcess {
	var out []*storeProcess
	for _, m := range sim.machines {
		if m.process != nil {
			out = append(out, m.process)
		}
	}
	return out
}
