package testcluster

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ProcessSpec configures a process to start.
type ProcessSpec struct {
	Name           string // name of the process and of its directory
	Path           string // path of the program; "" for this program
	Role           string // role of this program, see Main
	Args           []string
	Env            []string
	Stdin          *os.File
	Nice           int    // 0 to 19
	MaxDescriptors uint64 // 0 for the limit of this process
}

// Process is a process of a cluster.
type Process struct {
	Name   string
	Dir    string        // its working directory
	Output *OutputBuffer // standard output and standard error

	cmd       *exec.Cmd
	startedAt time.Time
	ended     chan struct{}

	mu        sync.Mutex
	suspended bool
	endedAt   time.Time
}

var errProcessEnded = errors.New("the process has ended")

// Start starts a process. It is killed by Close.
func (r *Cluster) Start(s ProcessSpec) (*Process, error) {
	dir := filepath.Join(r.Dir, s.Name)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("%s: %w", s.Name, err)
	}
	path := s.Path
	if path == "" {
		self, err := os.Executable()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", s.Name, err)
		}
		path = self
	}
	p := &Process{Name: s.Name, Dir: dir, Output: newOutputBuffer(), ended: make(chan struct{})}
	p.cmd = exec.Command(path, s.Args...)
	p.cmd.Dir = dir
	p.cmd.Env = append(cleanEnvironment(os.Environ()), clusterVariable+"="+r.id)
	if s.Role != "" {
		p.cmd.Env = append(p.cmd.Env, roleVariable+"="+s.Role, noRaceExitSleep)
	}
	p.cmd.Env = append(p.cmd.Env, s.Env...)
	if s.Stdin != nil {
		p.cmd.Stdin = s.Stdin
	}
	p.cmd.Stdout, p.cmd.Stderr = p.Output, p.Output
	p.cmd.WaitDelay = time.Second // a child of the process may hold the pipe of its output
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	failed := make(chan error, 1)
	select {
	case r.startQueue <- func() { failed <- p.cmd.Start() }:
	case <-r.starterDone:
		return nil, fmt.Errorf("%s: the cluster is closed", s.Name)
	}
	if err := <-failed; err != nil {
		return nil, fmt.Errorf("%s: %w", s.Name, err)
	}
	p.startedAt = time.Now()
	pid := p.cmd.Process.Pid
	if s.MaxDescriptors > 0 {
		limit := unix.Rlimit{Cur: s.MaxDescriptors, Max: s.MaxDescriptors}
		_ = unix.Prlimit(pid, unix.RLIMIT_NOFILE, &limit, nil) // fails if the process has ended already
	}
	if s.Nice > 0 {
		_ = syscall.Setpriority(syscall.PRIO_PROCESS, pid, s.Nice) // fails if the process has ended already
	}
	go func() {
		_ = p.cmd.Wait() // Status and ExitCode return its result
		p.mu.Lock()
		p.endedAt = time.Now()
		p.mu.Unlock()
		close(p.ended)
	}()
	r.mu.Lock()
	r.processes = append(r.processes, p)
	r.mu.Unlock()
	return p, nil
}

// Pid returns the id of the process, also after its end.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Ended returns a channel that is closed once the process has ended and was reaped.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// IsRunning reports whether the process has not ended.
func (p *Process) IsRunning() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// Status returns how the process ended; "" before.
func (p *Process) Status() string {
	if p.IsRunning() {
		return ""
	}
	return p.cmd.ProcessState.String()
}

// ExitCode returns the exit code; -1 for a signal, or before the end.
func (p *Process) ExitCode() int {
	if p.IsRunning() {
		return -1
	}
	return p.cmd.ProcessState.ExitCode()
}

// Lifetime returns the time from the start of the process to its end, or until now.
func (p *Process) Lifetime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.endedAt.IsZero() {
		return time.Since(p.startedAt)
	}
	return p.endedAt.Sub(p.startedAt)
}

// Signal sends a signal.
func (p *Process) Signal(s syscall.Signal) error {
	if !p.IsRunning() {
		return fmt.Errorf("%s: %w", p.Name, errProcessEnded)
	}
	if err := p.cmd.Process.Signal(s); err != nil {
		return fmt.Errorf("%s: %w", p.Name, err)
	}
	return nil
}

// Kill kills the process, also if it is suspended, and waits until it is reaped.
func (p *Process) Kill() {
	if p.IsRunning() {
		_ = p.cmd.Process.Kill() // fails if it has just ended
	}
	<-p.ended
}

// Suspend suspends the process, and returns once all of its threads are stopped.
func (p *Process) Suspend() error {
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	p.mu.Lock()
	p.suspended = true
	p.mu.Unlock()
	for range suspendChecks {
		if s := p.schedState(); s == 'T' || s == 0 {
			return nil
		}
		time.Sleep(time.Millisecond)
	}
	return fmt.Errorf("%s: in state %q after SIGSTOP, want T", p.Name, p.schedState())
}

// suspendChecks bounds the checks for a suspended process, a millisecond apart.
const suspendChecks = 1000

// Resume resumes the process after Suspend.
func (p *Process) Resume() error {
	p.mu.Lock()
	p.suspended = false
	p.mu.Unlock()
	return p.Signal(syscall.SIGCONT)
}

// IsSuspended reports whether the process was suspended and not resumed.
func (p *Process) IsSuspended() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.suspended
}

// schedState returns the state letter of proc(5); 0 if the process does not exist any more.
func (p *Process) schedState() byte {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Pid()))
	if err != nil {
		return 0
	}
	if i := strings.LastIndexByte(string(text), ')'); i >= 0 && i+2 < len(text) {
		return text[i+2]
	}
	return 0
}

// Terminate sends SIGTERM, and kills the process if it has not ended in time. It reports whether the process ended in time.
func (p *Process) Terminate(timeout time.Duration) bool {
	if p.IsSuspended() {
		_ = p.Resume() // fails if it has just ended
	}
	_ = p.Signal(syscall.SIGTERM) // fails if it has just ended
	select {
	case <-p.ended:
		return true
	case <-time.After(timeout):
		p.Kill()
		return false
	}
}
