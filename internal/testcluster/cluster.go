// Package testcluster starts real processes of this project on loopback, injects faults into them and into the links between them,
// and records their history. It is for tests, drills and measurements only. docs/design/faultdrill.md describes its limits.
//
// cluster.go and process.go start and end processes, link.go, relay.go and datagram.go implement the links, and facts.go the history.
// role.go runs this program in another role, such as that of a fake server (server.go).
package testcluster

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// clusterVariable is an environment variable with the id of the cluster. All processes of a cluster and their children have it.
const clusterVariable = "MILLETMAST_RIG"

// noRaceExitSleep is an environment variable that disables the sleep of a second with which the race detector delays the exit.
const noRaceExitSleep = "GORACE=atexit_sleep_ms=0"

// Now returns the present time of CLOCK_MONOTONIC in ns, which is the same for all processes of this machine.
func Now() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		panic(err) // Linux always has this clock
	}
	return t.Nano()
}

// Cluster owns processes and links. All of them end with Close, and also if the process that owns the cluster is killed.
type Cluster struct {
	Dir         string // holds the directories of all processes; removed by Close
	id          string
	startQueue  chan func() // functions for the thread that starts processes; the processes end with that thread
	starterDone chan struct{}

	mu            sync.Mutex
	processes     []*Process
	closers       []func()
	watchdog      *exec.Cmd
	watchdogInput *os.File // the watchdog cleans up when this is closed
}

// New returns a cluster with a directory of its own.
func New() (*Cluster, error) {
	dir, err := os.MkdirTemp("", "testcluster")
	if err != nil {
		return nil, fmt.Errorf("test cluster: %w", err)
	}
	var id [8]byte
	rand.Read(id[:]) // never fails
	r := &Cluster{Dir: dir, id: hex.EncodeToString(id[:]), startQueue: make(chan func()), starterDone: make(chan struct{})}
	go r.runStarter()
	if err := r.startWatchdog(); err != nil {
		r.Close()
		return nil, err
	}
	return r, nil
}

// runStarter runs functions on one thread that exists until Close, as Linux sends the parent death signal (prctl(2)) when the thread
// ends that has started the process.
func (r *Cluster) runStarter() {
	runtime.LockOSThread() // never unlocked: the thread ends with this goroutine
	defer close(r.starterDone)
	for f := range r.startQueue {
		f()
	}
}

// startWatchdog starts a process that cleans up if this one is killed. The parent death signal ends only the processes that were started
// here. The watchdog kills their children, such as the instances of an agent, and removes the directory.
func (r *Cluster) startWatchdog() error {
	read, write, err := os.Pipe()
	if err != nil {
		return fmt.Errorf("test cluster: %w", err)
	}
	defer read.Close()
	self, err := os.Executable()
	if err != nil {
		write.Close()
		return fmt.Errorf("test cluster: %w", err)
	}
	cmd := exec.Command(self)
	cmd.Env = append(cleanEnvironment(os.Environ()), roleVariable+"="+roleWatchdog, noRaceExitSleep, "RIG_ID="+r.id, "RIG_DIR="+r.Dir)
	cmd.Stdin = read
	cmd.SysProcAttr = &syscall.SysProcAttr{Setsid: true} // so that an interrupt at the terminal does not end it
	if err := cmd.Start(); err != nil {
		write.Close()
		return fmt.Errorf("test cluster: watchdog: %w", err)
	}
	r.watchdog, r.watchdogInput = cmd, write
	return nil
}

// cleanEnvironment returns an environment without the variables that configure programs of this project.
func cleanEnvironment(env []string) []string {
	var out []string
	for _, e := range env {
		if !strings.HasPrefix(e, "RELAY_") && !strings.HasPrefix(e, clusterVariable+"=") && !strings.HasPrefix(e, roleVariable+"=") {
			out = append(out, e)
		}
	}
	return out
}

// OnClose has f called by Close after all processes have ended, the last function first.
func (r *Cluster) OnClose(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closers = append(r.closers, f)
}

// Processes returns all processes that were started.
func (r *Cluster) Processes() []*Process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*Process(nil), r.processes...)
}

// Close kills all processes, closes the links and removes the directory.
func (r *Cluster) Close() {
	r.KillAll()
	r.mu.Lock()
	closers := r.closers
	r.closers = nil
	r.mu.Unlock()
	for i := len(closers) - 1; i >= 0; i-- {
		closers[i]()
	}
	if r.startQueue != nil {
		close(r.startQueue)
		<-r.starterDone
		r.startQueue = nil
	}
	os.RemoveAll(r.Dir)
	if r.watchdog != nil {
		r.watchdogInput.Close()
		_ = r.watchdog.Wait() // its status does not matter any more
		r.watchdog = nil
	}
}

// waitPollInterval is the time between two checks of WaitFor.
const waitPollInterval = 5 * time.Millisecond

// WaitFor polls until a condition holds or the timeout is over. The error has the description of the condition.
func WaitFor(ctx context.Context, description string, timeout time.Duration, holds func() bool) error {
	end := time.Now().Add(timeout)
	for {
		if holds() {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("timeout after %v, waiting until %s", timeout, description)
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("waiting until %s: %w", description, ctx.Err())
		case <-time.After(waitPollInterval):
		}
	}
}

// Sleep waits for a time, or until the context is done: then it returns the error of the context.
func Sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// KillAll kills all processes. Links and directory stay until Close.
func (r *Cluster) KillAll() {
	for _, p := range r.Processes() {
		if p.IsRunning() {
			_ = p.cmd.Process.Kill() // fails if it has just ended
		}
	}
	for _, p := range r.Processes() {
		<-p.ended
	}
	killMarked(r.id) // their children
}
