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

// memberMain is a process that is a member and nothing else. It prints its address, and its view at each change as a line of JSON.
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
	var routes sync.Map // as they come by the input, a line of JSON each: the address here for the address there
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
		sent, held := g.ByteCounts()
		if err := out.Encode(report{v, sent, held}); err != nil {
			return err
		}
	}
}

type report struct {
	clusterview.View
	Sent, Held uint64
}

// testGroup is member processes.
type testGroup struct {
	t       *testing.T
	cluster *testcluster.Cluster
	count   int
	seed    string
	procs   map[string]*testcluster.Process
	input   map[string]*os.File
	links   map[[2]string]*pair
}

// pair is the links from one member to another.
type pair struct{ udp, tcp *testcluster.Link }

func (p *pair) cut(on bool) error {
	for _, l := range []*testcluster.Link{p.udp, p.tcp} {
		l.SetConditions(testcluster.Forward, testcluster.Conditions{Blocked: on})
		l.SetConditions(testcluster.Backward, testcluster.Conditions{Blocked: on})
	}
	if on {
		p.tcp.Reset()
		return p.tcp.SetMode(testcluster.Refusing)
	}
	return p.tcp.SetMode(testcluster.Accepting)
}

// route leads all that each member sends another over a pair of links of theirs.
func (f *testGroup) route() {
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
			// One address has to do for both kinds: the datagrams' link takes a free port, and the other one that of the same number.
			var p pair
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

// cut cuts the links between two sides, or joins them.
func (f *testGroup) cut(on bool, a, b []string) {
	f.t.Helper()
	for _, x := range a {
		for _, y := range b {
			for _, k := range [][2]string{{x, y}, {y, x}} {
				if err := f.links[k].cut(on); err != nil {
					f.t.Fatal(err)
				}
			}
		}
	}
}

func newFleet(t *testing.T, n int) *testGroup {
	t.Helper()
	r, err := testcluster.New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	f := &testGroup{t: t, cluster: r, count: n, procs: map[string]*testcluster.Process{}, input: map[string]*os.File{}, links: map[[2]string]*pair{}}
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
	f.wait(name+" listens", func() bool { return strings.Contains(p.Output.String(), "address ") })
	if f.seed == "" {
		rest, _, _ := strings.Cut(p.Output.String(), "\n")
		f.seed = strings.TrimPrefix(rest, "address ")
	}
}

func (f *testGroup) wait(what string, holds func() bool) time.Duration {
	f.t.Helper()
	begun := time.Now()
	if err := testcluster.WaitFor(context.Background(), what, 40*time.Second, holds); err != nil {
		for name := range f.procs {
			v := f.view(name)
			f.t.Logf("%s: %v %+v", name, v.Confidence, v.Position)
		}
		f.t.Fatal(err)
	}
	return time.Since(begun)
}

// view is what a member told last.
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

// agree tells whether members are agreed on a number of copies, with one hash and a rank each.
func (f *testGroup) agree(copies int, names ...string) func() bool {
	return func() bool {
		hashes, ranks := map[uint64]bool{}, map[int]bool{}
		for _, n := range names {
			v := f.view(n)
			if v.Confidence != clusterview.Agreed || v.Replicas != copies {
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

// Ten processes find each other by one seed and agree; one that is killed is left out, comes back as another process under its name and
// is there again; one that stands still for 10 s and goes on, believing that all others have failed, does not go by that, and all agree again.
func TestProcesses(t *testing.T) {
	f := newFleet(t, 10)
	t.Logf("agreed within %v", f.wait("ten agree", f.agree(10, names(0, 10)...)))

	f.procs["m4"].Kill()
	rest := append(names(0, 4), names(5, 10)...)
	t.Logf("a killed one is left out within %v", f.wait("nine agree", f.agree(9, rest...)))
	f.start("m4", 4)
	t.Logf("it is back within %v", f.wait("ten agree again", f.agree(10, names(0, 10)...)))

	if err := f.procs["m7"].Suspend(); err != nil {
		t.Fatal(err)
	}
	f.wait("nine agree without the one that stands still", f.agree(9, append(names(0, 7), names(8, 10)...)...))
	time.Sleep(5 * time.Second) // it stands for longer than it takes to be found
	if err := f.procs["m7"].Resume(); err != nil {
		t.Fatal(err)
	}
	least := 100
	t.Logf("it is back within %v", f.wait("ten agree with it", func() bool {
		if v := f.view("m7"); v.Confidence != 0 {
			least = min(least, v.Replicas)
		}
		return f.agree(10, names(0, 10)...)()
	}))
	if least < 8 {
		t.Errorf("the one that stood still went by %d copies", least)
	}
	for n, p := range f.procs {
		if v := f.view(n); v.Sent == 0 || float64(v.Sent) > 256<<10*(p.Lifetime().Seconds()+2) {
			t.Errorf("%s has sent %d bytes in %v", n, v.Sent, p.Lifetime())
		}
	}
}

// Nine processes are cut into five and four: at no moment do all together allow themselves more than the bound of what each takes a part
// of; the five go on by themselves, the four by twice as many copies as there were; once the links are back all agree again, without a hand,
// also as all seeds are on one side.
func TestPartition(t *testing.T) {
	n := 9
	if more, err := strconv.Atoi(os.Getenv("MEMBERS")); err == nil && more >= 5 && more <= 60 {
		n = more // the larger run that docs/design/members.md names
	}
	f := newFleet(t, n)
	t.Logf("%d agree within %v", n, f.wait("all agree", f.agree(n, names(0, n)...)))
	f.route()
	few, many := names(0, 2*n/5), names(2*n/5, n)
	if n == 9 {
		few, many = names(0, 4), names(4, n) // the nearest to a half is the nearest to the bound
	}
	most := 0.0
	sums := func(holds func() bool) func() bool {
		return func() bool {
			sum := 0.0
			for name := range f.procs {
				sum += 1 / float64(max(f.view(name).Replicas, 1))
			}
			most = max(most, sum)
			return holds()
		}
	}
	f.cut(true, few, many)
	f.wait("the many go on, and the few are at twice as many", sums(func() bool {
		for _, name := range few {
			if v := f.view(name); v.Confidence != clusterview.Uncertain || v.Replicas != 2*n {
				return false
			}
		}
		return f.agree(len(many), many...)()
	}))
	f.cut(false, few, many)
	t.Logf("one view within %v of healing", f.wait("all see the same", sums(func() bool {
		hashes := map[uint64]bool{}
		for name := range f.procs {
			hashes[f.view(name).Hash] = true
		}
		return len(hashes) == 1
	})))
	t.Logf("agreed after %v more", f.wait("all agree again", sums(f.agree(n, names(0, n)...))))
	if t.Logf("the most that all allowed themselves: %.3f", most); most > clusterview.MaxTotalShare {
		t.Errorf("all allowed themselves %.3f of the whole, over %v", most, clusterview.MaxTotalShare)
	}
}

// Members of another cluster, or with another key, are not heard; a key is changed while both are understood.
func TestOtherClustersAndKeys(t *testing.T) {
	f := newFleet(t, 3)
	f.wait("three agree", f.agree(3, names(0, 3)...))
	f.start("other", 0, "CLUSTER=b")
	f.start("thief", 0, "KEYS=fedcba9876543210")
	f.start("next", 0, "KEYS=fedcba9876543210 0123456789abcdef")
	f.start("both", 0, "KEYS=0123456789abcdef fedcba9876543210")
	f.wait("the one that understands both is there", f.agree(4, append(names(0, 3), "both")...))
	for _, n := range append(names(0, 3), "both") {
		for _, m := range f.view(n).Members {
			if m.Name == "other" || m.Name == "thief" {
				t.Errorf("%s believes in %s", n, m.Name)
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
			t.Errorf("%+v is taken", c)
		}
	}
}
