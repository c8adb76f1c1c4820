// Package testcluster starts real processes of this project on loopback, injects faults into them and into the links between them,
// and keeps one history of what they did. It is for tests, drills and measurements only. docs/design/faultdrill.md says what it can and
// cannot show.
//
// cluster.go and process.go own the processes, link.go, relay.go and datagram.go the links, facts.go the history. role.go is the
// part of a program that a cluster starts in another role, such as that of a fake server (server.go).
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

// clusterVariable is in the environment of all processes that a cluster starts, and of those that these start. Its value is the id
// of the cluster.
const clusterVariable = "MILLETMAST_RIG"

// noRaceExitSleep has a process that was built with the race detector exit without waiting for a second.
const noRaceExitSleep = "GORACE=atexit_sleep_ms=0"

// Now returns the time of a history in ns: monotonic, and the same for every process of this machine (CLOCK_MONOTONIC).
func Now() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		panic(err) // the clock is always there
	}
	return t.Nano()
}

// Cluster owns processes and links. All of them end with Close, and also if the process that owns the cluster is killed.
type Cluster struct {
	Dir         string // holds the directories of all processes; removed by Close
	id          string
	startQueue  chan func() // functions for the thread that starts processes, which end with it
	starterDone chan struct{}

	mu            sync.Mutex
	processes     []*Process
	closers       []func()
	watchdog      *exec.Cmd
	watchdogInput *os.File // the watchdog acts at its end
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

// runStarter runs functions on one thread that lives as long as the cluster: the parent death signal of Linux (prctl(2)) is sent when
// the thread ends that started the process.
func (r *Cluster) runStarter() {
	runtime.LockOSThread() // never unlocked: the thread ends with this goroutine
	defer close(r.starterDone)
	for f := range r.startQueue {
		f()
	}
}

// startWatchdog starts the process that cleans up if this one is killed. Processes that were started here end by the parent death
// signal; those that they have started, such as the instances of an agent, do not, and the directory stays.
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

// WaitFor waits until a condition holds, so that tests do not sleep. The error says what was waited for.
func WaitFor(ctx context.Context, what string, within time.Duration, holds func() bool) error {
	end := time.Now().Add(within)
	for {
		if holds() {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("not within %v: %s", within, what)
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s: %w", what, ctx.Err())
		case <-time.After(waitPollInterval):
		}
	}
}

// Sleep waits for a time, or until the context is done, and returns its error.
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
	killMarked(r.id) // processes that they have started
}
