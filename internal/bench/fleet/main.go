// Command fleet measures an agent with many stand-in instances, which run in this process: its memory and processor time while idle, its
// queries of the instances, and the time of a list and of a rollout. docs/design/fleet.md describes its use.
//
//	go run ./internal/bench/fleet -agent bin/milletagent -instances 1000
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"milletmast/internal/bench/procstat"
	"milletmast/internal/control"
	"milletmast/internal/control/controlpb"
	"milletmast/internal/ctl"
	"milletmast/internal/fleet"
	"milletmast/internal/operator"
)

func main() {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "fleet:", err)
		os.Exit(1)
	}
}

// instance is a stand-in instance that accepts any configuration.
type instance struct {
	name    string
	queries *atomic.Uint64 // of all instances
	mu      sync.Mutex
	hash    string
}

// Status returns a status with the hash of the last configuration.
func (i *instance) Status() *controlpb.InstanceStatus {
	i.queries.Add(1)
	i.mu.Lock()
	defer i.mu.Unlock()
	return &controlpb.InstanceStatus{Name: i.name, StartId: "0123456789abcdef", Hash: i.hash, Generation: 1,
		Pools: []*controlpb.PoolStatus{{Name: "p", Servers: 10, Usable: 10}}, Listeners: map[string]string{"in": "127.0.0.1:1"}}
}

// Apply accepts a configuration.
func (i *instance) Apply(text []byte) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.hash = operator.TextHash(text)
	return nil
}

// Drain ignores the request.
func (i *instance) Drain(bool) {}

// Pin is not supported.
func (i *instance) Pin(string, string, time.Duration) error { return errors.ErrUnsupported }

// config is the configuration that is rolled out.
const config = `[[listener]]
name = "in"
address = "127.0.0.1:0"
[[pool]]
name = "p"
[[pool.class]]
name = "c"
aim = "1s"
give_up = "2s"
effect = "safe"
[[route]]
name = "r"
prefix = "/"
pool = "p"
class = "c"
`

// readyTimeout is the time limit for the agent to reach all instances.
const readyTimeout = time.Minute

func run() error {
	program := flag.String("agent", "bin/milletagent", "the agent's program")
	n := flag.Int("instances", 1000, "number of stand-in instances")
	idle := flag.Duration("idle", 10*time.Second, "time for which the idle agent is measured")
	flag.Parse()
	if *n < 1 || *n > 10_000 || *idle < time.Second || *idle > time.Minute {
		return fmt.Errorf("-instances %d, -idle %v: allowed are 1 to 10000 and 1s to 1m", *n, *idle)
	}
	dir, err := os.MkdirTemp("", "fleet")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var queries atomic.Uint64
	file, err := startInstances(ctx, dir, *n, &queries)
	if err != nil {
		return err
	}
	cmd := exec.Command(*program, "-f", file)
	if err := cmd.Start(); err != nil {
		return err
	}
	defer func() {
		_ = cmd.Process.Signal(syscall.SIGTERM) // fails for a process that has ended
		_ = cmd.Wait()                          // its exit status does not matter
	}()
	agents, err := ctl.Connect(&ctl.Config{Agents: []ctl.AgentConfig{{Name: "a", Address: "unix:" + filepath.Join(dir, "a.sock")}}})
	if err != nil {
		return err
	}
	defer agents.Close()
	if err := waitReachable(ctx, agents, *n); err != nil {
		return err
	}
	if err := measureIdle(cmd.Process.Pid, *n, *idle, &queries); err != nil {
		return err
	}
	if err := measureLists(ctx, agents); err != nil {
		return err
	}
	return measureRollout(ctx, agents, *n)
}

// startInstances starts stand-in instances, and writes the file of the agent. It returns the path of that file.
func startInstances(ctx context.Context, dir string, count int, queries *atomic.Uint64) (string, error) {
	text := strings.Builder{}
	text.WriteString("name = \"a\"\nlisten = \"unix:a.sock\"\nstate = \"state\"\n")
	for k := range count {
		i := &instance{name: fmt.Sprint("i", k), queries: queries, hash: "none"}
		socket := filepath.Join(dir, fmt.Sprint(k, ".sock"))
		go func() { _ = control.Serve(ctx, socket, i) }() // an instance that fails is not reachable
		fmt.Fprintf(&text, "[[instance]]\nname = %q\nsocket = %q\n", i.name, socket)
	}
	file := filepath.Join(dir, "agent.toml")
	return file, os.WriteFile(file, []byte(text.String()), 0o600)
}

// waitReachable waits until the agent reaches all instances.
func waitReachable(ctx context.Context, agents ctl.Agents, count int) error {
	for end := time.Now().Add(readyTimeout); ; time.Sleep(200 * time.Millisecond) {
		list, _, _ := ctl.SelectInstances(agents.ListInstances(ctx, true), &ctl.Selector{})
		reachable := 0
		for _, m := range list {
			if m.InSight {
				reachable++
			}
		}
		if reachable == count {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d instances are reachable after %v", reachable, count, readyTimeout)
		}
	}
}

// measureIdle measures the agent while it is idle.
func measureIdle(pid, count int, idle time.Duration, queries *atomic.Uint64) error {
	before, err := procstat.CPUTime(pid)
	if err != nil {
		return err
	}
	queriesBefore, begun := queries.Load(), time.Now()
	time.Sleep(idle)
	after, err := procstat.CPUTime(pid)
	if err != nil {
		return err
	}
	took := time.Since(begun).Seconds()
	bytes, err := procstat.AnonymousMemory(pid)
	fmt.Printf("instances %d: idle CPU %.1f%% of a core, %.0f questions a second, memory %.1f MiB\n", count, 100*(after-before).Seconds()/took,
		float64(queries.Load()-queriesBefore)/took, float64(bytes)/(1<<20))
	return err
}

// measureLists measures lists of the instances, from the agent's state and with queries of the instances.
func measureLists(ctx context.Context, agents ctl.Agents) error {
	for _, fresh := range []bool{false, true} {
		begun := time.Now()
		if replies := agents.ListInstances(ctx, fresh); replies[0].Err != nil {
			return replies[0].Err
		}
		fmt.Printf("list, instances asked %v: %v\n", fresh, time.Since(begun).Round(100*time.Microsecond))
	}
	return nil
}

// measureRollout measures a rollout to all instances.
func measureRollout(ctx context.Context, agents ctl.Agents, count int) error {
	begun := time.Now()
	r := &ctl.Rollout{
		Agents: agents, Config: []byte(config), Log: func(string) {}, Progress: func(*fleet.Rollout) {},
		Plan: fleet.Plan{ID: "measure", WaveShare: 0.25, MaxUnavailable: max(2, count/20), SettleTime: 10, TotalTimeout: 600_000},
	}
	result, err := r.Run(ctx)
	if err != nil {
		return err
	}
	if !result.OK {
		return fmt.Errorf("the rollout ends %v: %s", result.Phase, result.Reason)
	}
	fmt.Printf("rollout, a twentieth at once: %v\n", time.Since(begun).Round(time.Millisecond))
	return nil
}
