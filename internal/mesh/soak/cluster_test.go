// Package soak runs the programs of the mesh as processes under faults that overlap, with clients that use their connections until a process is
// gone, and judges what clients and endpoints saw.
package soak

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"milletmast/internal/freeport"
	"milletmast/internal/testcluster"
)

// The processes of a mesh.
const (
	coreMachines = 3
	graceTime    = 4 * time.Second // from SIGTERM to SIGKILL
	maxSendDelay = 3 * time.Second // from SIGTERM to a request that may be cut at the end of the grace time

	finalGraceTime = graceTime / 6 // in which such a request may be cut
	drainTime      = time.Second   // from the acknowledgement of a departure to the last request
	callTimeout    = time.Second   // of one call of the control API
	settleTime     = 20 * time.Second
)

// The ports of a machine, relative to the first one.
const (
	meshPorts     = 3 // used between processes
	controlPort   = 3
	inboundPort   = 4
	outboundPort  = 5
	readinessPort = 6
	endpointPort  = 7
	portCount     = 8
)

// cluster is the processes of one mesh, each machine at a loopback address of its own.
type cluster struct {
	t        *testing.T
	programs string // directory of the programs
	dir      string
	port     int // the first one
	network  int // the third byte of the addresses
	client   *http.Client
}

func newCluster(t *testing.T, programs string, network int) *cluster {
	t.Helper()
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if !t.Failed() { // else the logs are kept
			_ = os.RemoveAll(dir)
		}
	})
	return &cluster{
		t: t, programs: programs, dir: dir, port: freeport.ForTest(t, portCount).First, network: network,
		client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// buildPrograms builds the programs of the mesh and returns their directory.
func buildPrograms(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	build := exec.Command("go", "build", "-o", dir, "./cmd/proxy", "./cmd/controlplane", "./cmd/configstore")
	build.Dir = "../../.."
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return dir
}

// wait waits for a time, or until the test has ended.
func (c *cluster) wait(d time.Duration) { _ = testcluster.Sleep(c.t.Context(), d) }

func (c *cluster) ip(machine int) string { return fmt.Sprintf("127.0.%d.%d", c.network, machine+1) }

func (c *cluster) addr(machine, port int) string {
	return net.JoinHostPort(c.ip(machine), fmt.Sprint(c.port+port))
}

// settings writes the settings file of a process and returns its path.
func (c *cluster) settings(name string, machine int, extra string) string {
	c.t.Helper()
	var seeds []string
	for i := range coreMachines {
		seeds = append(seeds, c.addr(i, controlPort))
	}
	text := fmt.Sprintf("node=m%d\nip=%s\nzone=z\nregion=r\nzones.z=r\nephemeral_ports=%d,%d\nseeds=%s\nbootstrap=true\n"+
		"limits.memory_mb=200\nlimits.file_descriptors=1000\nbounds=grace_s=%v,drain_s=%v\n%s",
		machine, c.ip(machine), c.port, c.port+meshPorts-1, strings.Join(seeds, ","), graceTime.Seconds(), drainTime.Seconds(), extra)
	path := filepath.Join(c.dir, name+".conf")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
	return path
}

// process is one program that is started again after each end.
type process struct {
	cluster  *cluster
	program  string
	settings string
	log      *os.File
	busy     sync.Mutex // held while it is restarted

	mu       sync.Mutex
	cmd      *exec.Cmd
	exited   chan struct{}
	isEnding bool        // it was sent a signal that ends it
	killed   []time.Time // by SIGKILL
	stopped  []time.Time // by SIGTERM
	failures []string    // ends without such a signal, and ends that took longer than the grace time
}

func (c *cluster) newProcess(program string, machine int, extra string) *process {
	c.t.Helper()
	name := fmt.Sprint(program, machine)
	log, err := os.OpenFile(filepath.Join(c.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		c.t.Fatal(err)
	}
	p := &process{cluster: c, program: program, settings: c.settings(name, machine, extra), log: log}
	p.start()
	c.t.Cleanup(func() {
		p.end(syscall.SIGKILL)
		log.Close()
	})
	return p
}

// start starts the process.
func (p *process) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command(filepath.Join(p.cluster.programs, p.program), "run")
	cmd.Env = append(os.Environ(), "MILLETMAST_NODE_FILE="+p.settings)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := cmd.Start(); err != nil {
		p.cluster.t.Error(err)
		return
	}
	exited := make(chan struct{})
	p.cmd, p.exited, p.isEnding = cmd, exited, false
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		if !p.isEnding {
			p.failures = append(p.failures, fmt.Sprintf("%s ended by itself: %v", p.settings, err))
		}
		p.mu.Unlock()
		close(exited)
	}()
}

// signal sends a signal to the process, and records when.
func (p *process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isEnding = p.isEnding || signal != syscall.SIGHUP
	switch signal {
	case syscall.SIGKILL:
		p.killed = append(p.killed, time.Now())
	case syscall.SIGTERM:
		p.stopped = append(p.stopped, time.Now())
	}
	_ = p.cmd.Process.Signal(signal) // fails if it has ended
}

// end sends a signal that ends the process, waits for its end, and kills it after the grace time.
func (p *process) end(signal syscall.Signal) {
	p.signal(signal)
	select {
	case <-p.exited:
		return
	case <-time.After(graceTime):
	}
	p.signal(syscall.SIGKILL)
	<-p.exited
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failures = append(p.failures, p.settings+" was still there at the end of its grace time")
}

// restart ends the process by a signal and starts it again after a time.
func (p *process) restart(signal syscall.Signal, down time.Duration) {
	p.busy.Lock()
	defer p.busy.Unlock()
	p.end(signal)
	p.cluster.wait(down)
	p.start()
}

// wasKilledBetween reports whether the process was killed within a span.
func (p *process) wasKilledBetween(from, to time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, at := range p.killed {
		if !at.Before(from) && !at.After(to) {
			return true
		}
	}
	return false
}

// mayCut reports whether the process may cut a request that its endpoint is at work on: in the last part of its grace time, if the
// request was sent early enough after the signal.
func (p *process) mayCut(sent, at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, stopped := range p.stopped {
		since := at.Sub(stopped)
		if since >= graceTime-finalGraceTime && since <= graceTime && sent.Sub(stopped) <= maxSendDelay {
			return true
		}
	}
	return false
}

// call makes one call of the control API and returns the status; 0 for none.
func (c *cluster) call(method, addr, path, body string) (status int) {
	req, err := http.NewRequest(method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		return 0
	}
	r, err := c.client.Do(req)
	if err != nil {
		return 0
	}
	defer r.Body.Close()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return 0
	}
	return r.StatusCode
}

// callUntilOK repeats a call at the core machines in turn until it is answered 200; false if it never is.
func (c *cluster) callUntilOK(method, path, body string) bool {
	for n, end := 0, time.Now().Add(settleTime); time.Now().Before(end); n++ {
		if c.call(method, c.addr(n%coreMachines, controlPort), path, body) == http.StatusOK {
			return true
		}
	}
	return false
}
