package capacity

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"whinknot/internal/berth"
	"whinknot/internal/lighthouse"
)

const (
	readyTime = 30 * time.Second        // for programs to be there
	endTime   = 8 * time.Second         // from SIGTERM to SIGKILL
	lookEvery = 20 * time.Millisecond   // while something is waited for
	askTime   = 5 * time.Second         // for one answer of a lighthouse or a control call
	bodyBound = 32 << 20                // bytes of an answer that are read
	settle    = 1500 * time.Millisecond // of quiet before what is idle is measured
)

// Programs gives the command that runs one of the three programs of the mesh: its name and arguments; settings are told by the
// environment.
type Programs func(program string) *exec.Cmd

// Built has the three programs built into a folder.
func Built(ctx context.Context, folder string) (Programs, error) {
	build := exec.CommandContext(ctx, "go", "build", "-o", folder+"/", "./cmd/pilot", "./cmd/lighthouse", "./cmd/keeper")
	if out, err := build.CombinedOutput(); err != nil {
		return nil, Failed.Wrap(err, "build, in the repository's root: %s", out)
	}
	return func(program string) *exec.Cmd { return exec.Command(filepath.Join(folder, program), "run") }, nil
}

// child is a process that the tool has started.
type child struct {
	cmd  *exec.Cmd
	done chan struct{} // closed once it has ended
	log  string        // path of what it says
}

// begin starts a program by a settings file.
func begin(programs Programs, program, settings string) (*child, error) {
	c := &child{cmd: programs(program), done: make(chan struct{}), log: settings + "." + program + ".log"}
	out, err := os.Create(c.log)
	if err != nil {
		return nil, Failed.Wrap(err, "log")
	}
	defer out.Close()
	c.cmd.Env = append(c.cmd.Environ(), berth.Variable+"="+settings)
	c.cmd.Stdout, c.cmd.Stderr = out, out
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it ends with the tool, however that ends
	if err := c.cmd.Start(); err != nil {
		return nil, Failed.Wrap(err, "start %s", program)
	}
	go func() { c.cmd.Wait(); close(c.done) }()
	return c, nil
}

// end ends it: by SIGTERM, and by SIGKILL if that is not enough.
func (c *child) end() {
	c.cmd.Process.Signal(syscall.SIGTERM)
	late := time.NewTimer(endTime)
	defer late.Stop()
	select {
	case <-c.done:
	case <-late.C:
		c.cmd.Process.Kill()
		<-c.done
	}
}

// cpu is the processor time that its threads have had, in seconds (proc(5), schedstat).
func (c *child) cpu() float64 {
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", c.cmd.Process.Pid))
	sum := 0.0
	for _, f := range files {
		text, err := os.ReadFile(f)
		if err != nil {
			continue // a thread that has just ended
		}
		ran, _, _ := strings.Cut(string(text), " ")
		n, _ := strconv.ParseFloat(ran, 64)
		sum += n
	}
	return sum / 1e9
}

// memory is what it holds that no file backs, in bytes (RssAnon of proc(5)).
func (c *child) memory() float64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.cmd.Process.Pid))
	for line := range strings.SplitSeq(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kib, _ := strconv.ParseFloat(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 64)
			return kib * 1024
		}
	}
	return 0
}

// core is the control machines: on each a lighthouse and a keeper, real processes on an address of their own of the loopback network.
type core struct {
	dir      string // of settings, disks and logs; removed at the end
	net      int    // addresses are 127.net.0.1 and on
	port     int    // the machines' own ports are port-1 to port+1, others below
	machines []*machine
	others   []*child // pilots
	programs Programs
	client   *http.Client
	version  uint64 // of the configuration ordered last
}

type machine struct {
	node, ip           string
	lighthouse, keeper *child
}

// newCore starts so many control machines and waits until each lighthouse sees most of them.
func newCore(ctx context.Context, programs Programs, count int) (c *core, err error) {
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, Failed.Wrap(err, "port")
	}
	c = &core{
		net: 64 + os.Getpid()%150, port: free.Addr().(*net.TCPAddr).Port, programs: programs,
		client: &http.Client{Timeout: askTime, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	free.Close()
	if c.dir, err = os.MkdirTemp("", "capacity"); err != nil {
		return nil, Failed.Wrap(err, "folder")
	}
	defer func() {
		if err != nil {
			c.end()
		}
	}()
	for i := range count {
		c.machines = append(c.machines, &machine{node: fmt.Sprint("core-", i), ip: fmt.Sprintf("127.%d.0.%d", c.net, i+1)})
	}
	for i, m := range c.machines {
		path, err := c.settings(m.node, m.ip, i, "")
		if err != nil {
			return nil, err
		}
		if m.keeper, err = begin(programs, "keeper", path); err != nil {
			return nil, err
		}
		if m.lighthouse, err = begin(programs, "lighthouse", path); err != nil {
			return nil, err
		}
	}
	err = until(ctx, "lighthouses that see most of the core", func() bool {
		for _, m := range c.machines {
			s, err := lighthouse.AskStatus(c.lighthouse(m), askTime)
			if err != nil || !s.Sighted || len(s.Core) < count {
				return false
			}
		}
		return true
	})
	return c, err
}

// settings writes the settings file of a machine, of a pilot's if there is a service on it.
func (c *core) settings(node, ip string, zone int, service string) (path string, err error) {
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
		text += fmt.Sprintf("role=side\nbind.inbound=%s\nbind.outbound=%s\nbind.readiness=%s\nlocal_app=%s\ntarget=%s\n", at(1), at(2), at(3), at(4), service)
	}
	path = filepath.Join(c.dir, node)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return "", Failed.Wrap(err, "settings")
	}
	return path, nil
}

// lighthouse is where the lighthouse of a machine listens for pilots.
func (c *core) lighthouse(m *machine) string { return fmt.Sprintf("%s:%d", m.ip, c.port-1) }

// end ends all processes, and removes what they have left.
func (c *core) end() {
	all := c.others
	for _, m := range c.machines {
		all = append(all, m.lighthouse, m.keeper)
	}
	var ending sync.WaitGroup
	for _, p := range all {
		if p != nil {
			ending.Go(p.end)
		}
	}
	ending.Wait()
	c.client.CloseIdleConnections()
	os.RemoveAll(c.dir)
}

// order has a configuration of so many services put in force by way of a machine, and gives the time to its acknowledgement. An
// unclear end is tried again, as an operator would; tries counts them.
func (c *core) order(ctx context.Context, services int) (took time.Duration, tries int, err error) {
	c.version++
	body := string(configuration(services, c.version))
	begun := time.Now()
	for tries = 1; time.Since(begun) < readyTime; tries++ {
		var status int
		if status, err = c.call(ctx, c.machines[tries%len(c.machines)], "Config.Replace", body); err == nil && status == http.StatusOK {
			return time.Since(begun), tries, nil
		}
		if status == http.StatusBadRequest || ctx.Err() != nil {
			break
		}
	}
	return 0, tries, Failed.New("configuration r%d of %d services is not acknowledged: %v", c.version, services, err)
}

// call is one control call.
func (c *core) call(ctx context.Context, m *machine, verb, body string) (status int, err error) {
	r, err := http.NewRequestWithContext(ctx, "POST", fmt.Sprintf("http://%s:%d/api/%s", m.ip, c.port-10, verb), strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	answer, err := c.client.Do(r)
	if err != nil {
		return 0, err
	}
	defer answer.Body.Close()
	_, err = io.Copy(io.Discard, io.LimitReader(answer.Body, bodyBound))
	return answer.StatusCode, err
}

// lighthouses is the processor time of all lighthouses so far, in seconds.
func (c *core) lighthouses() (sum float64) {
	for _, m := range c.machines {
		sum += m.lighthouse.cpu()
	}
	return sum
}

// keepers is the same of keepers.
func (c *core) keepers() (sum float64) {
	for _, m := range c.machines {
		sum += m.keeper.cpu()
	}
	return sum
}

// until waits for something to become true.
func until(ctx context.Context, what string, is func() bool) error {
	return within(ctx, readyTime, what, is)
}

func within(ctx context.Context, most time.Duration, what string, is func() bool) error {
	late := time.NewTimer(most)
	defer late.Stop()
	for !is() {
		select {
		case <-ctx.Done():
			return errors.Join(Failed.New("%s", what), ctx.Err())
		case <-late.C:
			return Failed.New("%s: not within %v", what, most)
		case <-time.After(lookEvery):
		}
	}
	return nil
}

// pause waits for a time.
func pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
