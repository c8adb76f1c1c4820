package gossip

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"milletmast/internal/clusterview"
	"milletmast/internal/testcluster"
)

const roleMember = "member"

func TestMain(m *testing.M) {
	testcluster.Main(map[string]func() error{roleMember: memberMain})
	goleak.VerifyTestMain(m)
}

// memberMain runs a process that is a member only. It prints its address, and then a report as a line of JSON after each change of its
// view and once per second.
func memberMain() error {
	number, _ := strconv.Atoi(os.Getenv("NUMBER"))
	count, _ := strconv.Atoi(os.Getenv("COUNT"))
	set := clusterview.DefaultConfig()
	set.ConfiguredReplicas, set.ConfiguredRank, set.HoldTime = count, number%count, 4*time.Second
	c := Config{
		Name: os.Getenv("NAME"), Incarnation: uint64(time.Now().UnixNano()), Version: "1", Cluster: os.Getenv("CLUSTER"), Address: "127.0.0.1:0",
		Seeds: strings.Fields(os.Getenv("SEEDS")), MaxBytesPerSecond: 256 << 10, ProbeInterval: 200 * time.Millisecond, View: set,
	}
	for _, k := range strings.Fields(os.Getenv("KEYS")) {
		c.Keys = append(c.Keys, []byte(k))
	}
	var routes sync.Map // read from stdin, a JSON object per line: from an advertised address to the one to send to
	c.TranslateAddress = func(address string) string {
		if to, ok := routes.Load(address); ok {
			return to.(string)
		}
		return address
	}
	go func() {
		lines := bufio.NewScanner(os.Stdin)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			var next map[string]string
			if json.Unmarshal(lines.Bytes(), &next) == nil {
				for k, v := range next {
					routes.Store(k, v)
				}
			}
		}
	}()
	g, err := Join(c)
	if err != nil {
		return err
	}
	fmt.Println("address", g.Address())
	out := json.NewEncoder(os.Stdout)
	tick := time.NewTicker(100 * time.Millisecond)
	var last clusterview.View
	for n := 0; ; n++ {
		<-tick.C
		v := g.View()
		if n%10 > 0 && v.Epoch == last.Epoch && v.Hash == last.Hash {
			continue
		}
		last = v
		sent, dropped := g.ByteCounts()
		if err := out.Encode(report{v, sent, dropped}); err != nil {
			return err
		}
	}
}

// report is the state of a member process.
type report struct {
	clusterview.View
	Sent, Dropped uint64 // bytes
}

// testGroup is a group of member processes.
type testGroup struct {
	t       *testing.T
	cluster *testcluster.Cluster
	count   int
	seed    string
	procs   map[string]*testcluster.Process
	input   map[string]*os.File
	links   map[[2]string]*linkPair // from one member to another
}

// linkPair holds the links from one member to another.
type linkPair struct{ udp, tcp *testcluster.Link }

// setBlocked blocks the links, or opens them again.
func (p *linkPair) setBlocked(blocked bool) error {
	for _, l := range []*testcluster.Link{p.udp, p.tcp} {
		l.SetConditions(testcluster.Forward, testcluster.Conditions{Blocked: blocked})
		l.SetConditions(testcluster.Backward, testcluster.Conditions{Blocked: blocked})
	}
	if blocked {
		p.tcp.Reset()
		return p.tcp.SetMode(testcluster.Refusing)
	}
	return p.tcp.SetMode(testcluster.Accepting)
}

// routeThroughLinks routes the traffic between each two members through links.
func (f *testGroup) routeThroughLinks() {
	f.t.Helper()
	address := map[string]string{}
	for n, p := range f.procs {
		line, _, _ := strings.Cut(p.Output.String(), "\n")
		address[n] = strings.TrimPrefix(line, "address ")
	}
	for from := range f.procs {
		routes := map[string]string{}
		for to, addr := range address {
			if from == to {
				continue
			}
			// Datagrams and connections use the same address: one link listens at a free TCP port, the other one at the UDP port of that number.
			var p linkPair
			var err error
			for range 20 {
				if p.tcp, err = f.cluster.Listen(from+">"+to, addr, 1, testcluster.Observer{}); err != nil {
					continue
				}
				if p.udp, err = f.cluster.ListenUDPAt(from+">"+to, p.tcp.Addr(), addr, 1); err == nil {
					break
				}
			}
			if err != nil {
				f.t.Fatal(err)
			}
			routes[addr] = p.tcp.Addr()
			f.links[[2]string{from, to}] = &p
		}
		line, err := json.Marshal(routes)
		if err != nil {
			f.t.Fatal(err)
		}
		if _, err := f.input[from].Write(append(line, '\n')); err != nil {
			f.t.Fatal(err)
		}
	}
}

// setPartitioned blocks the links between two sides, or opens them again.
func (f *testGroup) setPartitioned(partitioned bool, a, b []string) {
	f.t.Helper()
	for _, x := range a {
		for _, y := range b {
			for _, k := range [][2]string{{x, y}, {y, x}} {
				if err := f.links[k].setBlocked(partitioned); err != nil {
					f.t.Fatal(err)
				}
			}
		}
	}
}

func newTestGroup(t *testing.T, n int) *testGroup {
	t.Helper()
	r, err := testcluster.New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	f := &testGroup{t: t, cluster: r, count: n, procs: map[string]*testcluster.Process{}, input: map[string]*os.File{}, links: map[[2]string]*linkPair{}}
	for i := range n {
		f.start(fmt.Sprint("m", i), i)
	}
	return f
}

func (f *testGroup) start(name string, number int, env ...string) {
	f.t.Helper()
	env = append([]string{"NAME=" + name, fmt.Sprint("NUMBER=", number), fmt.Sprint("COUNT=", f.count), "SEEDS=" + f.seed, "CLUSTER=a", "KEYS=0123456789abcdef"}, env...)
	read, write, err := os.Pipe()
	if err != nil {
		f.t.Fatal(err)
	}
	defer read.Close()
	p, err := f.cluster.Start(testcluster.ProcessSpec{Name: name, Role: roleMember, Env: env, Stdin: read})
	if err != nil {
		f.t.Fatal(err)
	}
	f.cluster.OnClose(func() { write.Close() })
	f.procs[name], f.input[name] = p, write
	f.waitFor(name+" listens", func() bool { return strings.Contains(p.Output.String(), "address ") })
	if f.seed == "" {
		rest, _, _ := strings.Cut(p.Output.String(), "\n")
		f.seed = strings.TrimPrefix(rest, "address ")
	}
}

// waitFor waits until a condition holds and returns how long that took.
func (f *testGroup) waitFor(what string, holds func() bool) time.Duration {
	f.t.Helper()
	startedAt := time.Now()
	if err := testcluster.WaitFor(context.Background(), what, 40*time.Second, holds); err != nil {
		for name := range f.procs {
			v := f.view(name)
			f.t.Logf("%s: %v %+v", name, v.Confidence, v.Position)
		}
		f.t.Fatal(err)
	}
	return time.Since(startedAt)
}

// view returns the last report of a member.
func (f *testGroup) view(name string) (v report) {
	text := f.procs[name].Output.String()
	lines := strings.Split(strings.TrimSpace(text), "\n")
	for i := len(lines) - 1; i >= 0; i-- {
		if json.Unmarshal([]byte(lines[i]), &v) == nil {
			return v
		}
	}
	return v
}

// agreed returns a condition: the named members agree on a number of replicas, with one hash and a rank each.
func (f *testGroup) agreed(replicas int, names ...string) func() bool {
	return func() bool {
		hashes, ranks := map[uint64]bool{}, map[int]bool{}
		for _, n := range names {
			v := f.view(n)
			if v.Confidence != clusterview.Agreed || v.Replicas != replicas {
				return false
			}
			hashes[v.Hash], ranks[v.Rank] = true, true
		}
		return len(hashes) == 1 && len(ranks) == len(names)
	}
}

func names(from, to int) (out []string) {
	for i := from; i < to; i++ {
		out = append(out, fmt.Sprint("m", i))
	}
	return out
}

// Ten processes find each other by one seed and agree. One that is killed is left out, and counts again after another process has started
// under its name. One that is suspended until the others detect a failure, and then resumed, does not act on its failed probes of all
// others, and all agree again.
func TestProcesses(t *testing.T) {
	f := newTestGroup(t, 10)
	t.Logf("agreed within %v", f.waitFor("ten agree", f.agreed(10, names(0, 10)...)))

	f.procs["m4"].Kill()
	rest := append(names(0, 4), names(5, 10)...)
	t.Logf("a killed process is left out within %v", f.waitFor("nine agree", f.agreed(9, rest...)))
	f.start("m4", 4)
	t.Logf("it is back within %v", f.waitFor("ten agree again", f.agreed(10, names(0, 10)...)))

	if err := f.procs["m7"].Suspend(); err != nil {
		t.Fatal(err)
	}
	f.waitFor("nine agree without the suspended one", f.agreed(9, append(names(0, 7), names(8, 10)...)...))
	time.Sleep(5 * time.Second) // it stays suspended for longer than it takes to detect
	if err := f.procs["m7"].Resume(); err != nil {
		t.Fatal(err)
	}
	minReplicas := 100
	t.Logf("it is back within %v", f.waitFor("ten agree with it", func() bool {
		if v := f.view("m7"); v.Confidence != 0 {
			minReplicas = min(minReplicas, v.Replicas)
		}
		return f.agreed(10, names(0, 10)...)()
	}))
	if minReplicas < 8 {
		t.Errorf("the suspended process assumed %d replicas", minReplicas)
	}
	for n, p := range f.procs {
		if v := f.view(n); v.Sent == 0 || float64(v.Sent) > 256<<10*(p.Lifetime().Seconds()+2) {
			t.Errorf("%s has sent %d bytes in %v", n, v.Sent, p.Lifetime())
		}
	}
}

// Nine processes are partitioned into five and four. The sum of their shares stays within MaxTotalShare at all times: the five agree among
// themselves, and the four assume twice as many replicas as there were. After the partition all agree again without intervention, although
// all seeds are on one side.
func TestPartition(t *testing.T) {
	n := 9
	if more, err := strconv.Atoi(os.Getenv("MEMBERS")); err == nil && more >= 5 && more <= 60 {
		n = more // the larger run that docs/design/members.md describes
	}
	f := newTestGroup(t, n)
	t.Logf("%d agree within %v", n, f.waitFor("all agree", f.agreed(n, names(0, n)...)))
	f.routeThroughLinks()
	minority, majority := names(0, 2*n/5), names(2*n/5, n)
	if n == 9 {
		minority, majority = names(0, 4), names(4, n) // the sum is closest to the bound if the sides are closest to a half
	}
	maxSum := 0.0
	recordingSum := func(holds func() bool) func() bool {
		return func() bool {
			sum := 0.0
			for name := range f.procs {
				sum += 1 / float64(max(f.view(name).Replicas, 1))
			}
			maxSum = max(maxSum, sum)
			return holds()
		}
	}
	f.setPartitioned(true, minority, majority)
	f.waitFor("the majority agrees, and the minority assumes twice as many replicas", recordingSum(func() bool {
		for _, name := range minority {
			if v := f.view(name); v.Confidence != clusterview.Uncertain || v.Replicas != 2*n {
				return false
			}
		}
		return f.agreed(len(majority), majority...)()
	}))
	f.setPartitioned(false, minority, majority)
	t.Logf("one view within %v of healing", f.waitFor("all see the same", recordingSum(func() bool {
		hashes := map[uint64]bool{}
		for name := range f.procs {
			hashes[f.view(name).Hash] = true
		}
		return len(hashes) == 1
	})))
	t.Logf("agreed after %v more", f.waitFor("all agree again", recordingSum(f.agreed(n, names(0, n)...))))
	if t.Logf("highest sum of the shares: %.3f", maxSum); maxSum > clusterview.MaxTotalShare {
		t.Errorf("the shares add up to %.3f, over %v", maxSum, clusterview.MaxTotalShare)
	}
}

// Members of another cluster, or with another key, are ignored. A member with the old and the new key is accepted during a change of keys.
func TestOtherClustersAndKeys(t *testing.T) {
	f := newTestGroup(t, 3)
	f.waitFor("three agree", f.agreed(3, names(0, 3)...))
	f.start("other", 0, "CLUSTER=b")
	f.start("wrongkey", 0, "KEYS=fedcba9876543210")
	f.start("next", 0, "KEYS=fedcba9876543210 0123456789abcdef")
	f.start("both", 0, "KEYS=0123456789abcdef fedcba9876543210")
	f.waitFor("the member with both keys is accepted", f.agreed(4, append(names(0, 3), "both")...))
	for _, n := range append(names(0, 3), "both") {
		for _, m := range f.view(n).Members {
			if m.Name == "other" || m.Name == "wrongkey" {
				t.Errorf("%s has the member %s", n, m.Name)
			}
		}
	}
}

func TestInvalidConfig(t *testing.T) {
	good := Config{Name: "a", Address: "127.0.0.1:0", MaxBytesPerSecond: 1 << 16, ProbeInterval: time.Second, View: clusterview.DefaultConfig()}
	for _, change := range []func(*Config){
		func(c *Config) { c.Name = "" }, func(c *Config) { c.Address = "here" }, func(c *Config) { c.MaxBytesPerSecond = 10 }, func(c *Config) { c.ProbeInterval = 0 },
		func(c *Config) { c.Keys = [][]byte{{1}} }, func(c *Config) { c.View.ConfiguredReplicas = 0 }, func(c *Config) { c.Address = "127.0.0.1:x" },
	} {
		c := good
		change(&c)
		if g, err := Join(c); err == nil {
			g.Close()
			t.Errorf("%+v is accepted", c)
		}
	}
}
