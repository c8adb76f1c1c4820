package ctl

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"milletmast/internal/control"
	"milletmast/internal/control/controlpb"
	"milletmast/internal/fakeserver"
	"milletmast/internal/fleet"
	"milletmast/internal/freeport"
	"milletmast/internal/operator"
	"milletmast/internal/testcluster"
)

// seedCount returns how many seeds TestRolloutUnderKills runs: 2 by default; FLEET_SEEDS=20 is the long run of
// docs/operate/fleet.md.
func seedCount() int {
	if n, err := strconv.Atoi(os.Getenv("FLEET_SEEDS")); err == nil && n > 0 {
		return n
	}
	return 2
}

const (
	agentCount        = 4
	instancesPerAgent = 5
	waitTimeout       = 30 * time.Second
)

// testSite runs agents and instances as processes.
type testSite struct {
	t       testing.TB
	cluster *testcluster.Cluster
	dir     string
	agents  []*testcluster.Process
	links   []*testcluster.Link // from the tool to each agent
	server  *fakeserver.Server
	client  Agents
	clients map[string]*control.Client
}

// buildPrograms builds the programs once for all tests of the package.
var buildPrograms = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "fleet")
	if err != nil {
		return "", err
	}
	out, err := exec.Command("go", "build", "-o", dir+"/", "milletmast/cmd/milletmast", "milletmast/cmd/milletagent", "milletmast/cmd/milletctl").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return dir, nil
})

func TestMain(m *testing.M) {
	testcluster.Main()
	slog.SetDefault(slog.New(slog.DiscardHandler))
	code := m.Run()
	if dir, err := buildPrograms(); err == nil {
		os.RemoveAll(dir)
	}
	os.Exit(code)
}

func startSite(t testing.TB, agents, instances int) *testSite {
	t.Helper()
	bin, err := buildPrograms()
	if err != nil {
		t.Fatal(err)
	}
	r, err := testcluster.New() // ends agents and instances however the test ends
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	dir := r.Dir
	s := &testSite{t: t, cluster: r, dir: dir, clients: map[string]*control.Client{}}
	if s.server, err = fakeserver.NewServer("s"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.server.Close)
	if err := os.WriteFile(filepath.Join(dir, "first.toml"), s.operatorFile("first"), 0o600); err != nil {
		t.Fatal(err)
	}
	cfg := &Config{}
	for a := range agents {
		text := fmt.Sprintf("name = \"a%d\"\nsite = \"site%d\"\nlisten = \"unix:a%d.sock\"\nstate = \"a%d\"\n", a, a%2, a, a)
		for i := range instances {
			name := fmt.Sprintf("i%d%d", a, i)
			socket := filepath.Join(dir, name+".sock")
			text += fmt.Sprintf("[[instance]]\nname = %q\nsocket = %q\ncommand = [%q]\nconfig = \"first.toml\"\n", name, socket, bin+"/milletmast")
			s.clients[name] = control.NewClient(socket)
		}
		if err := os.WriteFile(filepath.Join(dir, fmt.Sprintf("a%d.toml", a)), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		s.agents = append(s.agents, nil)
		s.startAgent(a)
		link, err := r.Listen(fmt.Sprint("tool-a", a), "unix:"+filepath.Join(dir, fmt.Sprintf("a%d.sock", a)), 1, testcluster.Observer{})
		if err != nil {
			t.Fatal(err)
		}
		s.links = append(s.links, link)
		cfg.Agents = append(cfg.Agents, AgentConfig{fmt.Sprint("a", a), link.Addr()})
	}
	if s.client, err = Connect(cfg); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.client.Close() })
	s.waitUntilReachable(agents * instances)
	return s
}

// waitUntilReachable waits until the agents reach n instances.
func (s *testSite) waitUntilReachable(n int) {
	s.t.Helper()
	seen := 0
	err := testcluster.WaitFor(s.t.Context(), "all instances reachable", waitTimeout, func() bool {
		seen = 0
		list, _, _ := SelectInstances(s.client.ListInstances(context.Background(), true), &Selector{})
		for _, m := range list {
			if m.InSight {
				seen++
			}
		}
		return seen == n
	})
	if err != nil {
		s.t.Fatalf("%d of %d instances are reachable: %v", seen, n, err)
	}
}

func (s *testSite) startAgent(n int) {
	s.t.Helper()
	bin, _ := buildPrograms()
	p, err := s.cluster.Start(testcluster.ProcessSpec{Name: fmt.Sprint("agent-", n), Path: bin + "/milletagent", Args: []string{"-f", filepath.Join(s.dir, fmt.Sprintf("a%d.toml", n))}})
	if err != nil {
		s.t.Fatal(err)
	}
	s.agents[n] = p
}

// operatorFile returns an operator file with a comment that makes its hash differ from that of others.
func (s *testSite) operatorFile(comment string) []byte {
	return fmt.Appendf(nil, `# %s
[limits]
drain = "300ms"
[[listener]]
name = "in"
address = "127.0.0.1:0"
[[pool]]
name = "p"
[[pool.class]]
name = "c"
aim = "1s"
give_up = "2s"
effect = "unsafe"
[[pool.server]]
address = %q
[[route]]
name = "r"
prefix = "/"
pool = "p"
class = "c"
`, comment, s.server.Addr())
}

// statusOf requests the status of an instance from its own control socket; nil if it does not respond.
func (s *testSite) statusOf(name string) *controlpb.InstanceStatus {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	st, err := s.clients[name].Status(ctx)
	if err != nil {
		return nil
	}
	return st
}

// writeToolConfig writes milletctl's configuration file for the first agents and returns its path.
func (s *testSite) writeToolConfig(agents int) string {
	s.t.Helper()
	var text string
	for n := range agents {
		text += fmt.Sprintf("[[agent]]\nname = \"a%d\"\naddress = \"unix:a%d.sock\"\n", n, n)
	}
	path := filepath.Join(s.dir, "tool.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	return path
}

// waitUntilGone waits until the process with this start id no longer responds.
func (s *testSite) waitUntilGone(name, startID string) {
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); {
		if st := s.statusOf(name); st == nil || st.StartId != startID {
			return
		}
	}
	s.t.Errorf("%s still responds with start id %s after SIGKILL", name, startID)
}

func (s *testSite) newRollout(id string, text []byte) *Rollout {
	return &Rollout{
		Agents: s.client, Config: text, Log: func(string) {}, Progress: func(*fleet.Rollout) {},
		Plan: fleet.Plan{ID: id, CanarySize: 2, WaveShare: 0.25, MaxUnavailable: 4, MaxFailed: agentCount * instancesPerAgent, SettleTime: 50, ChangeTimeout: 5000, MaxAttempts: 6, TotalTimeout: 60_000},
	}
}

// sendRequests sends non-idempotent requests through an instance, one after the other, until ctx ends. It records in served
// whether the response was 200: then the request has run once; otherwise it may have been lost with a killed process.
func (s *testSite) sendRequests(ctx context.Context, name string, served map[string]bool, mu *sync.Mutex) {
	for n := 0; ctx.Err() == nil; {
		st := s.statusOf(name)
		if st == nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		conn, err := net.Dial("tcp", st.Listeners["in"])
		if err != nil {
			continue
		}
		if err := conn.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
			s.t.Error(err)
			return
		}
		reader := bufio.NewReader(conn)
		for ctx.Err() == nil {
			n++
			id := fmt.Sprintf("%s-%s-%d", name, st.StartId, n)
			fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
			res, err := http.ReadResponse(reader, nil)
			if err != nil {
				break
			}
			_, err = io.Copy(io.Discard, res.Body)
			if err != nil {
				break
			}
			mu.Lock()
			served[id] = res.StatusCode == 200
			mu.Unlock()
			time.Sleep(2 * time.Millisecond)
			if res.Close {
				break
			}
		}
		conn.Close()
	}
}

// A third of the instances and one of the agents are killed at seeded times during a rollout. The result must agree with the
// status that each instance reports on its own control socket.
func TestRolloutUnderKills(t *testing.T) {
	s := startSite(t, agentCount, instancesPerAgent)
	served, mu := map[string]bool{}, sync.Mutex{}
	ctx, stopLoad := context.WithCancel(t.Context())
	var loads sync.WaitGroup
	for a := range agentCount {
		loads.Go(func() { s.sendRequests(ctx, fmt.Sprintf("i%d0", a), served, &mu) })
	}
	begun := time.Now()
	undisturbed, err := s.newRollout("calm", s.operatorFile("calm")).Run(t.Context())
	if err != nil || !undisturbed.OK {
		t.Fatalf("without faults: %+v, %v", undisturbed, err)
	}
	t.Logf("without faults: %d instances in %v", len(undisturbed.Instances), time.Since(begun).Round(time.Millisecond))
	for seed := range seedCount() {
		rng := rand.New(rand.NewPCG(uint64(seed), 7))
		text := s.operatorFile(fmt.Sprint("seed ", seed))
		target := operator.TextHash(text)
		killed := map[string]time.Time{}
		var killing sync.WaitGroup
		order := rng.Perm(agentCount * instancesPerAgent)
		for _, k := range order[:agentCount*instancesPerAgent/3] {
			name, after := fmt.Sprintf("i%d%d", k/instancesPerAgent, k%instancesPerAgent), time.Duration(rng.IntN(1500))*time.Millisecond
			killing.Go(func() {
				time.Sleep(after)
				if st := s.statusOf(name); st != nil {
					if err := syscall.Kill(int(st.Pid), syscall.SIGKILL); err != nil {
						t.Error(err)
					}
					s.waitUntilGone(name, st.StartId)
					mu.Lock()
					killed[name] = time.Now()
					mu.Unlock()
				}
			})
		}
		victim, after, downTime := rng.IntN(agentCount), time.Duration(rng.IntN(1000))*time.Millisecond, time.Duration(100+rng.IntN(900))*time.Millisecond
		killing.Go(func() {
			time.Sleep(after)
			s.agents[victim].Kill()
			time.Sleep(downTime)
			s.startAgent(victim)
		})
		result, err := s.newRollout(fmt.Sprint("seed-", seed), text).Run(t.Context())
		killing.Wait()
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if len(result.Instances) != agentCount*instancesPerAgent {
			t.Errorf("seed %d: %d rows, want one for each of the %d instances", seed, len(result.Instances), agentCount*instancesPerAgent)
		}
		applied := 0
		for _, inst := range result.Instances {
			mu.Lock()
			killedAt, wasKilled := killed[inst.Instance]
			mu.Unlock()
			if inst.State == fleet.Applied {
				applied++
			}
			if wasKilled && float64(killedAt.UnixMicro())/1000 > inst.RequestSentAt {
				continue // it may have reported before it was killed
			}
			st := s.statusOf(inst.Instance)
			if inst.State == fleet.Applied && (st == nil || st.Hash != target || st.StartId != inst.StartID || inst.Hash != target) {
				t.Errorf("seed %d: false success: %+v, but the instance reports %v", seed, inst, st)
			}
			if inst.State != fleet.Applied && st != nil && st.Hash == target && inst.Hash != target && inst.Reason == "" {
				t.Errorf("seed %d: %+v, but the instance reports %v", seed, inst, st)
			}
		}
		if result.OK != (applied == len(result.Instances) && len(result.UnreachableAgents) == 0) {
			t.Errorf("seed %d: OK %v with %d applied", seed, result.OK, applied)
		}
		if applied < agentCount*instancesPerAgent/2 {
			t.Errorf("seed %d: only %d of %d have applied: %+v", seed, applied, len(result.Instances), result.Instances)
		}
		t.Logf("seed %d: %v, %d of %d applied, %d killed", seed, result.Phase, applied, len(result.Instances), len(killed))
		s.waitUntilReachable(agentCount * instancesPerAgent)
	}
	stopLoad()
	loads.Wait()
	ran := map[string]int{}
	for _, r := range s.server.Records() {
		ran[r.RequestID]++
	}
	servedCount := 0
	for id, ok := range served {
		if ok {
			servedCount++
		}
		if ok && ran[id] != 1 || ran[id] > 1 {
			t.Errorf("request %s ran %d times, served: %v", id, ran[id], ok)
		}
	}
	if servedCount < 100 {
		t.Errorf("only %d requests were served", servedCount)
	}
}

// Two tools must not change instances at the same time: another rollout is refused while one runs, a second tool of the same
// rollout fences off the first one, and an interrupted rollout continues.
func TestConcurrentToolsAreFenced(t *testing.T) {
	s := startSite(t, 2, 2)
	text := s.operatorFile("fenced")
	first := s.newRollout("r", text)
	first.Plan.SettleTime = 60_000 // the rollout stays in Settling after its first wave
	settling := make(chan struct{})
	var once sync.Once
	first.Progress = func(f *fleet.Rollout) {
		if phase, _ := f.Phase(); phase == fleet.Settling {
			once.Do(func() { close(settling) })
		}
	}
	ended := make(chan error, 1)
	go func() {
		_, err := first.Run(t.Context())
		ended <- err
	}()
	select {
	case <-settling:
	case <-time.After(waitTimeout):
		t.Fatal("the first wave has not ended")
	}
	if _, err := s.newRollout("other", s.operatorFile("other")).Run(t.Context()); !errors.Is(err, ErrOtherRollout) {
		t.Errorf("another rollout: %v, want it refused", err)
	}
	if _, err := s.newRollout("r", s.operatorFile("other")).Run(t.Context()); err == nil {
		t.Error("the same id with another configuration was accepted")
	}
	again, interrupt := context.WithCancel(t.Context())
	second := make(chan error, 1)
	go func() {
		_, err := s.newRollout("r", text).Run(again)
		second <- err
	}()
	select {
	case err := <-ended:
		if !errors.Is(err, ErrTakenOver) {
			t.Errorf("the first tool ends with %v", err)
		}
	case <-time.After(waitTimeout):
		t.Fatal("the first tool continues")
	}
	interrupt()
	if err := <-second; err == nil {
		t.Error("an interrupted tool returned no error")
	}
	// The agents hold the plan with the long settle time, so only a command ends the rollout.
	third := make(chan *Result, 1)
	go func() {
		r, err := s.newRollout("r", text).Run(t.Context())
		if err != nil {
			t.Error(err)
		}
		third <- r
	}()
	bin, _ := buildPrograms()
	file := s.writeToolConfig(2)
	var aborted *Result
	err := testcluster.WaitFor(t.Context(), "the command reaches the tool", waitTimeout, func() bool {
		_ = exec.Command(bin+"/milletctl", "-a", file, "rollout", "abort", "r").Run() // fails until the third tool has claimed the agents
		select {
		case aborted = <-third:
			return true
		default:
			return false
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	if aborted.Phase != fleet.Aborted || aborted.OK {
		t.Errorf("%v, OK %v, want it aborted", aborted.Phase, aborted.OK)
	}
	for _, args := range [][]string{{"list"}, {"list", "-o", "json"}, {"inspect", "i00"}, {"config", "get", "i00"}, {"drain", "i00"}, {"resume", "i00"}, {"reload", "--site", "site1"}, {"events"}} {
		if out, err := exec.Command(bin+"/milletctl", append([]string{"-a", file}, args...)...).CombinedOutput(); err != nil || len(out) == 0 {
			t.Errorf("milletctl %v: %v, %s", args, err, out)
		}
	}
	out, err := exec.Command(bin+"/milletctl", "-a", file, "rollout", "start", "-f", filepath.Join(s.dir, "first.toml"), "--settle", "10ms").CombinedOutput()
	if err != nil {
		t.Errorf("a rollout by command: %v, %s", err, out)
	}
	s.agents[1].Kill()
	var exit *exec.ExitError
	if err := exec.Command(bin+"/milletctl", "-a", file, "list").Run(); !errors.As(err, &exit) || exit.ExitCode() != 3 {
		t.Errorf("list with a killed agent: %v, want exit 3", err)
	}
	if err := exec.Command(bin+"/milletctl", "-a", file, "rollout", "start", "-f", filepath.Join(s.dir, "first.toml"), "--settle", "10ms").Run(); !errors.As(err, &exit) || exit.ExitCode() != 2 {
		t.Errorf("a rollout with a killed agent: %v, want exit 2", err)
	}
	s.startAgent(1) // it adopts its instances, and stops them at the end of the test
	s.waitUntilReachable(4)
}

// The link between the tool and an agent is blocked during a rollout, in one direction or both. The tool must not report
// success for instances that it cannot reach, and these run their previous configuration or the new one. Once the link works
// again, a rollout succeeds.
func TestAgentPartitionedFromTool(t *testing.T) {
	for _, partition := range []struct {
		name              string
		forward, backward bool
	}{{"both ways", true, true}, {"answers only", false, true}} {
		t.Run(partition.name, func(t *testing.T) {
			s := startSite(t, 3, 2)
			text := s.operatorFile("cut")
			target, first := operator.TextHash(text), operator.TextHash(s.operatorFile("first"))
			r := s.newRollout("cut", text)
			r.Plan.CanarySize, r.Plan.WaveShare, r.Plan.MaxUnavailable, r.Plan.SettleTime = 1, 0.2, 1, 300
			r.Plan.ChangeTimeout, r.Plan.MaxAttempts, r.Plan.TotalTimeout = 500, 2, 4000
			begun := make(chan struct{})
			var once sync.Once
			r.Progress = func(f *fleet.Rollout) { once.Do(func() { close(begun) }) }
			ended := make(chan *Result, 1)
			go func() {
				result, err := r.Run(t.Context())
				if err != nil {
					t.Error(err)
				}
				ended <- result
			}()
			<-begun
			s.links[2].SetConditions(testcluster.Forward, testcluster.Conditions{Blocked: partition.forward})
			s.links[2].SetConditions(testcluster.Backward, testcluster.Conditions{Blocked: partition.backward})
			result := <-ended
			if result == nil {
				t.Fatal("no result")
			}
			for _, inst := range result.Instances {
				st := s.statusOf(inst.Instance)
				if st == nil {
					t.Errorf("%s does not respond", inst.Instance)
				} else if inst.State == fleet.Applied && st.Hash != target {
					t.Errorf("false success: %+v, but it runs %.12s", inst, st.Hash)
				} else if st.Hash != target && st.Hash != first {
					t.Errorf("%s runs %.12s, neither the old configuration nor the new one", inst.Instance, st.Hash)
				}
			}
			if result.OK {
				t.Errorf("a rollout with an unreachable agent is reported as successful: %+v", result)
			}
			s.links[2].SetConditions(testcluster.Forward, testcluster.Conditions{})
			s.links[2].SetConditions(testcluster.Backward, testcluster.Conditions{})
			s.waitUntilReachable(6)
			again, err := s.newRollout("after", text).Run(t.Context())
			if err != nil || !again.OK {
				t.Fatalf("after the partition: %+v, %v", again, err)
			}
			for name := range s.clients {
				if got := s.statusOf(name).GetHash(); got != target {
					t.Errorf("%s runs %.12s after the partition", name, got)
				}
			}
		})
	}
}

// Only one instance can apply a configuration with a fixed port. The others must report the reason and keep their previous
// configuration. With rollback, the instance that has applied it returns to its previous configuration.
func TestConfigurationRefusedByOthers(t *testing.T) {
	s := startSite(t, 2, 2)
	addr := freeport.AddressForTest(t)
	first := operator.TextHash(s.operatorFile("first"))
	for _, rollBack := range []bool{false, true} {
		text := []byte(strings.Replace(string(s.operatorFile(fmt.Sprint("shared ", rollBack))), "127.0.0.1:0", addr, 1))
		r := s.newRollout(fmt.Sprint("shared-", rollBack), text)
		r.Plan.CanarySize, r.Plan.MaxUnavailable, r.Plan.RollBackOnFailure = 1, 1, rollBack
		if rollBack {
			r.Plan.MaxFailed = 0
		}
		result, err := r.Run(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if result.OK || result.Phase != map[bool]fleet.Phase{false: fleet.Complete, true: fleet.RolledBack}[rollBack] {
			t.Errorf("rollback %v: %v, OK %v", rollBack, result.Phase, result.OK)
		}
		applied := 0
		for _, inst := range result.Instances {
			st := s.statusOf(inst.Instance)
			if st == nil || st.Hash != inst.Hash || st.StartId != inst.StartID {
				t.Errorf("rollback %v: %+v, but the instance reports %v", rollBack, inst, st)
			}
			switch {
			case st.GetHash() == operator.TextHash(text):
				applied++
			case inst.State == fleet.Refused && !strings.Contains(inst.Reason, "address already in use"):
				t.Errorf("rollback %v: %+v has no reason", rollBack, inst)
			case st.GetHash() != first:
				t.Errorf("rollback %v: %s runs %.12s, neither the old configuration nor the new one", rollBack, inst.Instance, st.GetHash())
			}
		}
		if want := map[bool]int{false: 1, true: 0}[rollBack]; applied != want {
			t.Errorf("rollback %v: %d instances run the new configuration, want %d: %+v", rollBack, applied, want, result.Instances)
		}
		if !rollBack { // restore the first configuration for the second case
			again := s.newRollout("again", s.operatorFile("first"))
			if result, err := again.Run(t.Context()); err != nil || !result.OK {
				t.Fatalf("restore the first configuration: %+v, %v", result, err)
			}
		}
	}
}

// A tool that was killed and is run again with the same id continues the rollout: instances that have applied are not changed
// again.
func TestRolloutOfKilledToolContinues(t *testing.T) {
	s := startSite(t, 2, 2)
	bin, _ := buildPrograms()
	file, config := s.writeToolConfig(2), filepath.Join(s.dir, "next.toml")
	if err := os.WriteFile(config, s.operatorFile("next"), 0o600); err != nil {
		t.Fatal(err)
	}
	target := operator.TextHash(s.operatorFile("next"))
	args := []string{"-a", file, "rollout", "start", "-f", config, "--id", "k", "--settle", "1500ms"}
	cmd := exec.Command(bin+"/milletctl", args...)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	applied := func() (n int) {
		for name := range s.clients {
			if s.statusOf(name).GetHash() == target {
				n++
			}
		}
		return n
	}
	if err := testcluster.WaitFor(t.Context(), "the canary has applied the configuration", waitTimeout, func() bool { return applied() > 0 }); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Process.Kill(); err != nil {
		t.Error(err)
	}
	_ = cmd.Wait() // it was killed
	if n := applied(); n == len(s.clients) {
		t.Fatal("the rollout was complete before the tool was killed")
	}
	generations := map[string]uint64{}
	for name := range s.clients {
		if st := s.statusOf(name); st.GetHash() == target {
			generations[name] = st.Generation
		}
	}
	if out, err := exec.Command(bin+"/milletctl", args...).CombinedOutput(); err != nil {
		t.Errorf("run again: %v, %s", err, out)
	}
	if n := applied(); n != len(s.clients) {
		t.Errorf("%d of %d instances have applied the configuration", n, len(s.clients))
	}
	for name, g := range generations {
		if now := s.statusOf(name).GetGeneration(); now != g {
			t.Errorf("%s was changed again: generation %d, then %d", name, g, now)
		}
	}
}
