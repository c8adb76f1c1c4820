package faultdrill

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"sync"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"

	"milletmast/internal/operator"
	"milletmast/internal/testcluster"
)

const (
	listPollInterval = 20 * time.Millisecond // between two reads of the server list by a sidecar
	startTimeout     = 30 * time.Second      // for a sidecar to listen
	exitTimeout      = 10 * time.Second      // for a sidecar to end after SIGTERM, in addition to its drain time
	// drainMargin is added to the longest deadline of a class for the drain time.
	drainMargin = 500 * time.Millisecond
	maxSeeds    = 3 // members that a sidecar contacts when it starts
)

// sidecar is one replica of a tier.
type sidecar struct {
	tier  *tier
	index int
	zone  string
	links map[*server]*testcluster.Link // guarded by mu

	mu          sync.Mutex
	proc        *testcluster.Process
	starts      int
	addr        string // "" while it is down
	program     string // program of the next start; "" for that of the drill
	listBlocks  int    // number of faults that block its server list
	listed      map[string]bool
	omitted     map[string]bool // servers that are left out of its server list
	membersAddr string          // address for the gossip between replicas; "" for none
}

// name returns the label with the number of the start, as the rules treat a restarted sidecar as another replica. The mutex is held.
func (c *sidecar) name() string { return fmt.Sprintf("%s.%d", c.label(), c.starts) }

// label returns the name of the replica, which is the same for all starts.
func (c *sidecar) label() string {
	prefix, _ := c.tier.prefixes()
	return fmt.Sprint(prefix, c.index)
}

// address returns the address and the name; the address is "" while the sidecar is down.
func (c *sidecar) address() (addr, name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addr, c.name()
}

// process returns the present process of the sidecar.
func (c *sidecar) process() *testcluster.Process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.proc
}

func (c *sidecar) link(s *server) *testcluster.Link {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.links[s]
}

// connect opens the link of the sidecar to a server.
func (c *sidecar) connect(s *server) error {
	d := c.tier.run
	l, err := d.cluster.Listen(c.label()+">"+s.name, s.addr, d.seed, d.observe(c, s))
	if err != nil {
		return err
	}
	c.tier.setNetworkConditions(l)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.links[s] = l
	return nil
}

// listEntry is a server in the list that a sidecar reads.
type listEntry struct {
	ID      string `toml:"id"`
	Address string `toml:"address"`
	Zone    string `toml:"zone,omitempty"`
	Cell    int    `toml:"cell"`
	State   string `toml:"state"`
	Started string `toml:"started,omitempty"`
}

// writeList writes the present server list to the file that the sidecar reads, unless a fault blocks it.
func (c *sidecar) writeList() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.listBlocks > 0 {
		return
	}
	var list struct {
		Server []listEntry `toml:"server"`
	}
	var serves map[string]bool
	list.Server, serves = c.presentList()
	text, err := toml.Marshal(&list)
	if err == nil {
		err = replaceFile(c.listPath(), text)
	}
	if err != nil {
		c.tier.run.setError(err)
		return
	}
	c.recordList(serves)
}

// presentList returns the server list for the sidecar, and for each listed server whether it accepts new requests. The mutex is held.
func (c *sidecar) presentList() (list []listEntry, serves map[string]bool) {
	serves = map[string]bool{}
	c.tier.run.mu.Lock()
	defer c.tier.run.mu.Unlock()
	for _, s := range c.tier.allServers {
		if s.state == "" || c.omitted[s.name] {
			continue
		}
		e := listEntry{ID: s.name, Address: c.links[s].Addr(), Zone: s.zone, Cell: s.cell, State: s.state}
		if !s.started.IsZero() {
			e.Started = s.started.UTC().Format(time.RFC3339Nano)
		}
		list = append(list, e)
		serves[s.name] = s.state == operator.ServerReady
	}
	return list, serves
}

// recordList records the differences between a new server list and the last one. The mutex is held.
func (c *sidecar) recordList(serves map[string]bool) {
	history, now := c.tier.run.history, testcluster.Now()
	for server, isServing := range serves {
		if before, known := c.listed[server]; !known || before != isServing {
			history.Record(testcluster.Fact{At: now, Kind: testcluster.FactListed, Copy: c.name(), Server: server, Serves: isServing})
		}
	}
	for server, before := range c.listed {
		if _, listed := serves[server]; !listed && before {
			history.Record(testcluster.Fact{At: now, Kind: testcluster.FactListed, Copy: c.name(), Server: server})
		}
	}
	c.listed = serves
}

func (c *sidecar) listPath() string {
	return filepath.Join(c.tier.run.cluster.Dir, c.label()+".list.toml")
}

// replaceFile replaces a file atomically.
func replaceFile(path string, text []byte) error {
	next := path + ".next"
	if err := os.WriteFile(next, text, 0o600); err != nil {
		return err
	}
	return os.Rename(next, path)
}

// operatorFile returns the operator file for the sidecar, in TOML.
func (c *sidecar) operatorFile() ([]byte, error) {
	scenario := c.tier.run.scenario
	f := operator.File{Name: c.label()}
	f.Limits.SetDefaults()
	f.Limits.Drain = operator.Duration(c.drainTime())
	var in operator.Listener
	in.SetDefaults()
	in.Name, in.Address = "in", "127.0.0.1:0"
	if c.tier.run.innerTier != nil {
		f.Context.SetDefaults()
		f.Context.ID = c.label()
		in.Inner = c.tier.isInner
		if r := scenario.Copies.Retries; r > 0 {
			f.Context.Retries = r
		}
	}
	f.Listeners = []operator.Listener{in}
	p := *c.tier.pool
	p.Copies, p.Rank, p.Zone = len(c.tier.sidecars), c.index, c.zone
	if c.shedsTogether() {
		p.Allot, p.ByMembers, p.LevelCaller = true, true, "X-Caller"
		f.Members.SetDefaults()
		f.Members.Listen, f.Members.Cluster, f.Members.Seeds = "127.0.0.1:0", "drill", c.memberSeeds()
		f.Members.Copies, f.Members.Rank = len(c.tier.sidecars), c.index
	}
	p.Leaf = c.tier.isInner || c.tier.run.innerTier == nil
	p.Source = operator.Source{Type: operator.SourceFile, Path: c.listPath(), Every: operator.Duration(listPollInterval)}
	f.Pools = []operator.Pool{p}
	for _, k := range p.Classes {
		f.Routes = append(f.Routes, operator.Route{Name: k.Name, Prefix: "/" + k.Name, Pool: p.Name, Class: k.Name})
	}
	return toml.Marshal(withoutDefaults(reflect.ValueOf(f)))
}

// shedsTogether reports whether the replicas of the tier coordinate load shedding, for which they are members of a gossip cluster.
func (c *sidecar) shedsTogether() bool { return c.tier.run.scenario.Copies.Allot && !c.tier.isInner }

// memberSeeds returns the gossip addresses of up to maxSeeds other replicas. The replica that starts first has none.
func (c *sidecar) memberSeeds() (out []string) {
	for _, other := range c.tier.sidecars {
		other.mu.Lock()
		if other != c && other.membersAddr != "" && len(out) < maxSeeds {
			out = append(out, other.membersAddr)
		}
		other.mu.Unlock()
	}
	return out
}

// drainTime returns the drain time of the sidecar after SIGTERM, within which all requests finish.
func (c *sidecar) drainTime() (d time.Duration) {
	for _, k := range c.tier.pool.Classes {
		d = max(d, time.Duration(k.GiveUp)+drainMargin)
	}
	return d
}

// The log lines with the addresses that a sidecar listens on.
var (
	membersPattern   = regexp.MustCompile(`(?:join members|members listen)"? .*addr=(\S+)`)
	listeningPattern = regexp.MustCompile(`listen(?:ing)?"? listener=\S+ addr=(\S+)`)
)

// start starts the process and waits until it listens.
func (c *sidecar) start(ctx context.Context) error {
	text, err := c.operatorFile()
	if err != nil {
		return err
	}
	path := filepath.Join(c.tier.run.cluster.Dir, c.label()+".toml")
	if err := replaceFile(path, text); err != nil {
		return err
	}
	c.mu.Lock()
	c.starts++
	c.listed = map[string]bool{}
	name, program := c.name(), cmp.Or(c.program, c.tier.run.program)
	c.mu.Unlock()
	c.writeList()
	p, err := c.tier.run.cluster.Start(testcluster.ProcessSpec{
		Name: name, Path: program, Args: []string{"serve", "-f", path}, Env: c.tier.run.env,
	})
	if err != nil {
		return err
	}
	addr, membersAddr := "", ""
	err = testcluster.WaitFor(ctx, name+" listens", startTimeout, func() bool {
		addr, membersAddr = p.Output.Find(listeningPattern), p.Output.Find(membersPattern)
		return addr != "" && (membersAddr != "" || !c.shedsTogether()) || !p.IsRunning()
	})
	if err == nil && addr == "" {
		err = fmt.Errorf("%s exited before it listened: %s: %s", name, p.Status(), p.Output)
	}
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.proc, c.addr, c.membersAddr = p, addr, membersAddr
	return nil
}

// takeDown marks the sidecar as down, so that no client uses it, and returns its process.
func (c *sidecar) takeDown() (p *testcluster.Process, name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addr = ""
	return c.proc, c.name()
}

// kill kills the process. Its open requests receive no response.
func (c *sidecar) kill() {
	p, name := c.takeDown()
	p.Kill()
	c.tier.run.history.Record(testcluster.Fact{Kind: testcluster.FactKilled, Copy: name})
}

// terminate ends the process by SIGTERM, as for a planned restart.
func (c *sidecar) terminate() {
	p, name := c.takeDown()
	if err := p.Signal(syscall.SIGTERM); err != nil && p.IsRunning() {
		c.tier.run.setError(err)
	}
	timeout := exitTimeout + c.drainTime()
	select {
	case <-p.Ended():
		if code := p.ExitCode(); code != 0 {
			c.tier.run.setError(fmt.Errorf("%s exited with %s after SIGTERM: %s", name, p.Status(), p.Output))
		}
	case <-time.After(timeout):
		c.tier.run.setError(fmt.Errorf("%s did not exit within %v after SIGTERM: %s", name, timeout, p.Output))
		p.Kill()
	}
}
