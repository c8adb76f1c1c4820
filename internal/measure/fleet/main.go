// Command fleet measures an agent over many stand-in instances in one process: its memory and CPU while idle, what it asks
// of them, and the time to list and to roll out. docs/design/fleet.md says how it was used.
//
//	go run ./internal/measure/fleet -agent bin/milletagent -instances 1000
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
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"whinknot/internal/control"
	"whinknot/internal/control/controlpb"
	"whinknot/internal/ctl"
	"whinknot/internal/fleet"
	"whinknot/internal/operator"
)

func main() {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "fleet:", err)
		os.Exit(1)
	}
}

// instance is a stand-in that takes whatever it is given.
type instance struct {
	name  string
	asked *atomic.Uint64
	mu    sync.Mutex
	hash  string
}

func (i *instance) Status() *controlpb.InstanceStatus {
	i.asked.Add(1)
	i.mu.Lock()
	defer i.mu.Unlock()
	return &controlpb.InstanceStatus{Name: i.name, StartId: "0123456789abcdef", Hash: i.hash, Generation: 1,
		Pools: []*controlpb.PoolStatus{{Name: "p", Servers: 10, Usable: 10}}, Listeners: map[string]string{"in": "127.0.0.1:1"}}
}

func (i *instance) Apply(text []byte) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.hash = operator.TextHash(text)
	return nil
}

func (i *instance) Drain(bool) {}

func (i *instance) Pin(string, string, time.Duration) error { return errors.ErrUnsupported }

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

func run() error {
	program := flag.String("agent", "bin/milletagent", "the agent's program")
	n := flag.Int("instances", 1000, "")
	idle := flag.Duration("idle", 10*time.Second, "time for which the agent is watched")
	flag.Parse()
	if *n < 1 || *n > 10_000 || *idle < time.Second || *idle > time.Minute {
		return errors.New("instances are from 1 to 10000, idle from 1s to 1m")
	}
	dir, err := os.MkdirTemp("", "fleet")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var asked atomic.Uint64
	text := strings.Builder{}
	text.WriteString("name = \"a\"\nlisten = \"unix:a.sock\"\nstate = \"state\"\n")
	for k := range *n {
		i := &instance{name: fmt.Sprint("i", k), asked: &asked, hash: "none"}
		socket := filepath.Join(dir, fmt.Sprint(k, ".sock"))
		go control.Serve(ctx, socket, i)
		fmt.Fprintf(&text, "[[instance]]\nname = %q\nsocket = %q\n", i.name, socket)
	}
	file := filepath.Join(dir, "agent.toml")
	if err := os.WriteFile(file, []byte(text.String()), 0o600); err != nil {
		return err
	}
	cmd := exec.Command(*program, "-f", file)
	if err := cmd.Start(); err != nil {
		return err
	}
	defer func() {
		cmd.Process.Signal(syscall.SIGTERM)
		cmd.Wait()
	}()
	agents, err := ctl.Connect(&ctl.Config{Agents: []ctl.AgentConfig{{Name: "a", Address: "unix:" + filepath.Join(dir, "a.sock")}}})
	if err != nil {
		return err
	}
	defer agents.Close()
	for end := time.Now().Add(time.Minute); ; time.Sleep(200 * time.Millisecond) {
		list, _, _ := ctl.Chosen(agents.Ask(ctx, true), &ctl.Selector{})
		seen := 0
		for _, m := range list {
			if m.InSight {
				seen++
			}
		}
		if seen == *n {
			break
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d instances are in sight", seen, *n)
		}
	}
	before, asks, begun := cpu(cmd.Process.Pid), asked.Load(), time.Now()
	time.Sleep(*idle)
	used, took := cpu(cmd.Process.Pid)-before, time.Since(begun).Seconds()
	fmt.Printf("instances %d: idle CPU %.1f%% of a core, %.0f questions a second, memory %.1f MiB\n", *n, 100*used.Seconds()/took,
		float64(asked.Load()-asks)/took, memory(cmd.Process.Pid))
	for _, fresh := range []bool{false, true} {
		begun = time.Now()
		if heard := agents.Ask(ctx, fresh); heard[0].Err != nil {
			return heard[0].Err
		}
		fmt.Printf("list, instances asked %v: %v\n", fresh, time.Since(begun).Round(100*time.Microsecond))
	}
	begun = time.Now()
	r := &ctl.Rollout{
		Agents: agents, Text: []byte(config), Notes: func(string) {}, Progress: func(*fleet.Rollout) {},
		Plan: fleet.Plan{ID: "measure", Share: 0.25, MaxAway: max(2, *n/20), Settle: 10, Limit: 600_000},
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

// cpu is the time that a process has used (proc(5), stat), in hundredths of a second.
func cpu(pid int) time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * 10 * time.Millisecond
}

// memory is what a process holds beside files, in MiB.
func memory(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kib, _ := strconv.ParseFloat(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 64)
			return kib / 1024
		}
	}
	return 0
}
