package capacity

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"milletmast/internal/bench/procstat"
	"milletmast/internal/freeport"
	"milletmast/internal/mesh/controlplane"
	"milletmast/internal/mesh/nodeconfig"
)

const (
	readyTimeout   = 30 * time.Second        // until programs are ready
	stopTimeout    = 8 * time.Second         // from SIGTERM to SIGKILL
	pollInterval   = 20 * time.Millisecond   // between two checks of a condition
	requestTimeout = 5 * time.Second         // for one response of a control plane or a control call
	maxBodyBytes   = 32 << 20                // bytes of a response that are read
	settleTime     = 1500 * time.Millisecond // time without changes before an idle fleet is measured
)

// Programs returns the command that runs one of the three programs of the mesh. The environment of the command names its settings file.
type Programs func(program string) *exec.Cmd

// BuildPrograms builds the three programs into a folder. It has to be called in the root of the repository.
func BuildPrograms(ctx context.Context, folder string) (Programs, error) {
	build := exec.CommandContext(ctx, "go", "build", "-o", folder+"/", "./cmd/proxy", "./cmd/controlplane", "./cmd/configstore")
	if out, err := build.CombinedOutput(); err != nil {
		return nil, Failed.Wrap(err, "build, in the repository's root: %s", out)
	}
	return func(program string) *exec.Cmd { return exec.Command(filepath.Join(folder, program), "run") }, nil
}

// managedProcess is a process that the tool has started.
type managedProcess struct {
	cmd     *exec.Cmd
	done    chan struct{} // closed once it has ended
	logPath string        // of its output
}

// startProcess starts a program with a settings file.
func startProcess(programs Programs, program, settings string) (*managedProcess, error) {
	c := &managedProcess{cmd: programs(program), done: make(chan struct{}), logPath: settings + "." + program + ".log"}
	out, err := os.Create(c.logPath)
	if err != nil {
		return nil, Failed.Wrap(err, "log")
	}
	defer out.Close()
	c.cmd.Env = append(c.cmd.Environ(), nodeconfig.PathVariable+"="+settings)
	c.cmd.Stdout, c.cmd.Stderr = out, out
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it ends with this process, also if that is killed
	if err := c.cmd.Start(); err != nil {
		return nil, Failed.Wrap(err, "start %s", program)
	}
	go func() {
		_ = c.cmd.Wait() // only that it has ended matters
		close(c.done)
	}()
	return c, nil
}

// stop stops the process: by SIGTERM, and by SIGKILL after stopTimeout.
func (c *managedProcess) stop() {
	_ = c.cmd.Process.Signal(syscall.SIGTERM) // fails for a process that has ended
	late := time.NewTimer(stopTimeout)
	defer late.Stop()
	select {
	case <-c.done:
	case <-late.C:
		_ = c.cmd.Process.Kill() // fails for a process that has ended
		<-c.done
	}
}

// cpu returns the processor time of the process's threads, in seconds; 0 for a process that has ended.
func (c *managedProcess) cpu() float64 {
	used, err := procstat.CPUTime(c.cmd.Process.Pid)
	if err != nil {
		return 0
	}
	return used.Seconds()
}

// memory returns the process's resident memory that no file backs, in bytes; 0 for a process that has ended.
func (c *managedProcess) memory() float64 {
	bytes, err := procstat.AnonymousMemory(c.cmd.Process.Pid)
	if err != nil {
		return 0
	}
	return float64(bytes)
}

// cluster is a set of control machines. Each has a control plane and a configuration store, which are real processes, on a loopback
// address of its own.
type cluster struct {
	dir      string // folder of settings, disks and logs; removed at the end
	subnet   int    // addresses are 127.subnet.0.1 and up
	port     int    // ports of the mesh's protocols are port-1 to port+1, those of listeners are below
	reserved *freeport.Reservation
	machines []*machine
	proxies  []*managedProcess // real proxies
	programs Programs
	client   *http.Client
	version  uint64 // version of the last configuration
}

// machine is a control machine.
type machine struct {
	node, ip                  string
	controlPlane, configStore *managedProcess
}

// A cluster reserves portsPerCluster ports. cluster.port is the one at index portsBelowOwn: the ports of listeners are below it.
const portsBelowOwn, portsPerCluster = 20, 22

// newCluster starts control machines and waits until each control plane is in contact with the others.
func newCluster(ctx context.Context, programs Programs, count int) (c *cluster, err error) {
	reserved, err := freeport.Reserve(portsPerCluster)
	if err != nil {
		return nil, Failed.Wrap(err, "port")
	}
	c = &cluster{
		subnet: 64 + os.Getpid()%150, reserved: reserved, port: reserved.First + portsBelowOwn, programs: programs,
		client: &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	if c.dir, err = os.MkdirTemp("", "capacity"); err != nil {
		reserved.Release()
		return nil, Failed.Wrap(err, "folder")
	}
	defer func() {
		if err != nil {
			c.stop()
		}
	}()
	for i := range count {
		c.machines = append(c.machines, &machine{node: fmt.Sprint("core-", i), ip: fmt.Sprintf("127.%d.0.%d", c.subnet, i+1)})
	}
	for i, m := range c.machines {
		path, err := c.writeSettings(m.node, m.ip, i, "")
		if err != nil {
			return nil, err
		}
		if m.configStore, err = startProcess(programs, "configstore", path); err != nil {
			return nil, err
		}
		if m.controlPlane, err = startProcess(programs, "controlplane", path); err != nil {
			return nil, err
		}
	}
	err = waitFor(ctx, "control planes to be in contact with each other", func() bool {
		for _, m := range c.machines {
			s, err := controlplane.QueryStatus(c.discoveryAddr(m), requestTimeout)
			if err != nil || !s.HasContact || len(s.ControlPlanes) < count {
				return false
			}
		}
		return true
	})
	return c, err
}

// writeSettings writes the settings file of a control machine, or of a machine with a proxy if a service is given.
func (c *cluster) writeSettings(node, ip string, zone int, service string) (path string, err error) {
	at := func(n int) string { return fmt.Sprintf("%s:%d", ip, c.port-10-n) }
	var seeds []string
	for _, m := range c.machines[:min(3, len(c.machines))] {
		seeds = append(seeds, m.ip+":"+strconv.Itoa(c.port-10))
	}
	text := fmt.Sprintf("node=%s\nip=%s\nzone=zone-%d\nregion=region\nbind.control=%s\nephemeral_ports=%d,%d\nseeds=%s\n"+
		"limits.memory_mb=4096\nlimits.file_descriptors=20000\nbounds=grace_s=0.4\n",
		node, ip, zone%3, at(0), c.port-1, c.port+1, strings.Join(seeds, ","))
	for z := range 3 {
		text += fmt.Sprintf("zones.zone-%d=region\n", z)
	}
	if service == "" {
		text += fmt.Sprintf("role=core\nbootstrap=true\nin_quorum=true\nstate_dir=%s\n", filepath.Join(c.dir, node+".disk"))
	} else {
		text += fmt.Sprintf("role=side\nbind.inbound=%s\nbind.outbound=%s\nbind.readiness=%s\nlocal_app=%s\ntarget=%s\n",
			at(1), at(2), at(3), at(4), service)
	}
	path = filepath.Join(c.dir, node)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return "", Failed.Wrap(err, "settings")
	}
	return path, nil
}

// discoveryAddr returns the address at which the control plane of a machine listens for proxies.
func (c *cluster) discoveryAddr(m *machine) string { return fmt.Sprintf("%s:%d", m.ip, c.port-1) }

// stop stops all processes, and removes their files.
func (c *cluster) stop() {
	all := c.proxies
	for _, m := range c.machines {
		all = append(all, m.controlPlane, m.configStore)
	}
	var ending sync.WaitGroup
	for _, p := range all {
		if p != nil {
			ending.Go(p.stop)
		}
	}
	ending.Wait()
	c.client.CloseIdleConnections()
	os.RemoveAll(c.dir)
	c.reserved.Release()
}

// replaceConfig replaces the configuration by one of some services, and returns the time to its acknowledgement. A call without a clear
// result is retried, as an operator would do; tries is the number of calls.
func (c *cluster) replaceConfig(ctx context.Context, services int) (took time.Duration, tries int, err error) {
	c.version++
	body := string(newConfig(services, c.version))
	begun := time.Now()
	for tries = 1; time.Since(begun) < readyTimeout; tries++ {
		var status int
		if status, err = c.callControl(ctx, c.machines[tries%len(c.machines)], "Config.Replace", body); err == nil && status == http.StatusOK {
			return time.Since(begun), tries, nil
		}
		if status == http.StatusBadRequest || ctx.Err() != nil {
			break
		}
	}
	return 0, tries, Failed.New("configuration r%d of %d services is not acknowledged: %v", c.version, services, err)
}

// callControl makes one control call.
func (c *cluster) callControl(ctx context.Context, m *machine, verb, body string) (status int, err error) {
	r, err := http.NewRequestWithContext(ctx, "POST", fmt.Sprintf("http://%s:%d/api/%s", m.ip, c.port-10, verb), strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	response, err := c.client.Do(r)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, io.LimitReader(response.Body, maxBodyBytes))
	return response.StatusCode, err
}

// controlPlaneCPU is the processor time of all control planes so far, in seconds.
func (c *cluster) controlPlaneCPU() (sum float64) {
	for _, m := range c.machines {
		sum += m.controlPlane.cpu()
	}
	return sum
}

// configStoreCPU is the processor time of all configuration stores so far, in seconds.
func (c *cluster) configStoreCPU() (sum float64) {
	for _, m := range c.machines {
		sum += m.configStore.cpu()
	}
	return sum
}

// waitFor waits until a condition is true, for up to readyTimeout.
func waitFor(ctx context.Context, what string, condition func() bool) error {
	return waitWithin(ctx, readyTimeout, what, condition)
}

// waitWithin waits until a condition is true, for up to a timeout.
func waitWithin(ctx context.Context, timeout time.Duration, what string, condition func() bool) error {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			return errors.Join(Failed.New("wait for %s", what), ctx.Err())
		case <-timer.C:
			return Failed.New("wait for %s: not within %v", what, timeout)
		case <-time.After(pollInterval):
		}
	}
	return nil
}
