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
	tickInterval    = 300 * time.Millisecond // longest time between two ticks of a store
	leaseTime       = 2 * time.Second
	proposalTimeout = 3 * time.Second
	inlineLimit     = 9                       // bytes; bodies that stand for large ones, see bodySize, are longer
	recoveryTimeout = 5 * time.Second         // after the last fault, for all nodes to recover
	finalReadTime   = 4 * time.Second         // for the final reads after the recovery
	graceTime       = 1500 * time.Millisecond // for a process to shut down
	maxNodes        = 16
)

var start = time.Unix(1_700_000_000, 0)

// simulation is the state of one run.
type simulation struct {
	plan              Plan
	hooks             hooks
	rng               *rand.Rand
	invalidRNG        *rand.Rand // for the invalid commands of operators
	now               time.Duration
	queue             events
	lastEventID       uint64
	nodes             []*node
	cut               [maxNodes][maxNodes]int           // number of faults that drop the messages from one node to another
	unreachable       [maxNodes]int                     // number of faults that separate operators from a node
	lossPermille      int                               // share of the messages that are lost
	duplicatePermille int                               // share of the messages that are delivered twice
	maxDelay          time.Duration                     // of each message
	linkRate          int                               // bytes a second of each link in each direction; 0 for no limit
	linkFreeAt        [maxNodes][maxNodes]time.Duration // when a limited link has carried all that was sent
	lostReplies       int                               // number of faults that drop the answers to operators
	onAck             []func(*node)                     // faults to inject at the next acknowledgement
	onStep            []func()                          // faults to inject at changes of the voter configuration, one at each
	healedAt          time.Duration
	losses            []loss
	lastIncarnation   int
	discovery         *discoverySim // nil for none
	history
	report Report
}

// node is an address, with its disk and its process.
type node struct {
	sim         *simulation
	index       int
	addr        string
	zone        string
	disk        *disk
	process     *storeProcess // nil while it is down
	frozen      int
	diskFull    int
	diskStalled int
	syncDelay   time.Duration // added to each sync
	removed     bool          // replaced; it never starts again
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

// chance returns true with a probability in permille.
func (sim *simulation) chance(permille int) bool { return sim.rng.IntN(1000) < permille }

func (sim *simulation) randomDuration(d time.Duration) time.Duration {
	return time.Duration(sim.rng.Int64N(int64(d) + 1))
}

// run handles the events up to a time, or until the first violation.
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

// Run runs a plan.
func Run(p Plan) *Report { return runPlan(p, hooks{}) }

// runPlan runs a plan with hooks. A panic is reported as a violation.
func runPlan(p Plan, h hooks) *Report {
	return new(simulation).runPlan(p, h)
}

func (sim *simulation) runPlan(p Plan, h hooks) *Report {
	*sim = simulation{
		plan:       p,
		hooks:      h,
		rng:        rand.New(rand.NewPCG(p.Seed, 7)),
		history:    newHistory(),
		maxDelay:   2 * time.Millisecond,
		linkRate:   p.LinkBytesPerSecond,
		invalidRNG: rand.New(rand.NewPCG(p.Seed, 17)),
	}
	defer func() {
		if x := recover(); x != nil {
			sim.violation("panic: %v\n%s", x, debug.Stack())
		}
	}()
	sim.execute()
	return &sim.report
}

func (sim *simulation) execute() {
	p := sim.plan
	var members []consensus.Member
	for i := range p.Nodes {
		m := sim.addNode(i)
		if i < p.InitialVoters {
			m.disk.name = m.addr + "#first"
			members = append(members, m.member())
		}
	}
	sim.configs[1] = &consensus.VoterConfig{Epoch: 1, Voters: members}
	sim.newest = sim.configs[1]
	for i, m := range sim.nodes {
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
		sim.at(o.At, func() { sim.submit(o) })
	}
	if p.Proxies > 0 {
		sim.startDiscovery(p.Proxies)
	}
	sim.run(p.End)
	sim.heal()
	sim.report.Epochs = sim.newest.Epoch
	sim.checkHistory()
}

// addNode adds a node with an empty disk.
func (sim *simulation) addNode(i int) *node {
	m := &node{sim: sim, index: i, addr: fmt.Sprintf("m%d", i), zone: fmt.Sprintf("z%d", i%3)}
	sim.nodes = append(sim.nodes, m)
	m.newDisk()
	return m
}

// newDisk replaces the disk of a node by an empty one with a new identity.
func (m *node) newDisk() {
	m.disk = &disk{name: fmt.Sprintf("%s#%08x", m.addr, m.sim.rng.Uint32()), registers: map[string]consensus.Register{}}
}

func (m *node) member() consensus.Member {
	return consensus.Member{DiskID: m.disk.name, Node: m.addr, Addr: m.addr, Zone: m.zone, InQuorum: true}
}

// start starts a process from the contents of the disk.
func (m *node) start() {
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
	for i, n := 0, 0; i < len(w.nodes) && n < 3; i++ {
		if !w.nodes[i].removed {
			r.AddPeer(w.nodes[i].addr)
			n++
		}
	}
	w.lastIncarnation++
	p := &storeProcess{node: m, incarnation: w.lastIncarnation, proposals: map[uint64]func(consensus.Result){}}
	p.core = &realStateMachines{r, membership.New(w.time(), r, w.plan.FaultBudget)}
	if w.hooks.wrap != nil {
		p.core = w.hooks.wrap(p.core)
	}
	m.process = p
	p.input(p.onTick)
}

// stop ends the process at once. Without a power loss everything it has written stays on disk.
func (m *node) stop(powerLoss bool) {
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

func (sim *simulation) nodeAt(addr string) *node {
	for _, m := range sim.nodes {
		if m.addr == addr {
			return m
		}
	}
	return nil
}

func (sim *simulation) syncTime(m *node) time.Duration {
	return 100*time.Microsecond + sim.randomDuration(400*time.Microsecond) + m.syncDelay/2 + sim.randomDuration(m.syncDelay/2)
}

func (sim *simulation) receiveResponse(p *storeProcess, t consensus.Response) {
	p.input(func() {
		if !p.storageFailed {
			p.apply(p.HandleResponse(sim.time(), &t), nil)
		}
	})
}

// running returns the running processes.
func (sim *simulation) running() []*storeProcess {
	var out []*storeProcess
	for _, m := range sim.nodes {
		if m.process != nil {
			out = append(out, m.process)
		}
	}
	return out
}
