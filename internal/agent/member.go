package agent

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"google.golang.org/protobuf/proto"

	"whinknot/internal/control"
	"whinknot/internal/control/agentpb"
	"whinknot/internal/control/controlpb"
	"whinknot/internal/operator"
)

const (
	lookEvery   = 500 * time.Millisecond // an instance is asked so often,
	looksMost   = 200                    // while no more than so many are asked in a second
	asksAtOnce  = 64                     // of a List that asks all instances
	askTime     = time.Second            // and has so long to answer
	changeTime  = 15 * time.Second       // to take a configuration
	backoffMin  = 200 * time.Millisecond // before a process is started again; doubles
	backoffMost = 10 * time.Second
	calmTime    = 30 * time.Second // a process that ran for so long starts the backoff anew
	crashLoop   = 5                // exits in a row, each before that time
	stopTime    = 10 * time.Second // from SIGTERM to SIGKILL
)

// member is one instance of the host. Everything that is told of it comes from what it says itself.
type member struct {
	spec   InstanceSpec
	agent  *Agent
	client *control.Client
	file   string // that a process of ours is started with

	changing sync.Mutex // one change at a time

	mu      sync.Mutex
	status  *controlpb.InstanceStatus
	heard   time.Time
	order   uint64
	sight   bool
	trouble string
	refused string // hash that it has refused since it started
	exits   uint32
	row     int // exits in a row
}

// run supervises the instance and looks at it until the context ends.
func (m *member) run(ctx context.Context) {
	var all sync.WaitGroup
	if m.ours() {
		all.Go(func() { m.supervise(ctx) })
	}
	all.Go(func() {
		every := max(lookEvery, time.Duration(len(m.agent.members))*time.Second/looksMost)
		if every > lookEvery { // many: spread over the time, not all at once
			select {
			case <-ctx.Done():
				return
			case <-time.After(rand.N(every)):
			}
		}
		tick := time.NewTicker(every)
		defer tick.Stop()
		for {
			m.look(ctx)
			m.reconcile(ctx)
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
		}
	})
	all.Wait()
}

// supervise keeps a process running: it is started again when it ends, later and later while it ends at once.
func (m *member) supervise(ctx context.Context) {
	wait := backoffMin
	for ctx.Err() == nil {
		begun := time.Now()
		err := m.adopt(ctx)
		if err == nil {
			err = m.start(ctx)
		}
		if ctx.Err() != nil {
			return
		}
		m.mu.Lock()
		m.exits++
		m.row++
		if time.Since(begun) >= calmTime {
			m.row, wait = 1, backoffMin
		}
		if m.row >= crashLoop {
			wait = backoffMost
		}
		m.sight, m.refused = false, ""
		m.mu.Unlock()
		slog.Warn("instance ended", "instance", m.spec.Name, "err", err, "again", wait)
		m.agent.log("agent", fmt.Sprintf("%s ended: %v", m.spec.Name, err))
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		wait = min(2*wait, backoffMost)
	}
}

const adoptEvery = 200 * time.Millisecond

// adopt finds an instance that an earlier agent has started and that still runs, and stays with it until it ends; then the
// error says so. It is nil where there is none.
func (m *member) adopt(ctx context.Context) error {
	m.look(ctx)
	m.mu.Lock()
	pid, running := int(m.status.GetPid()), m.sight
	m.mu.Unlock()
	if !running || pid <= 1 {
		return nil
	}
	slog.Info("adopted", "instance", m.spec.Name, "pid", pid)
	tick := time.NewTicker(adoptEvery)
	defer tick.Stop()
	for syscall.Kill(pid, 0) == nil {
		select {
		case <-tick.C:
			continue
		case <-ctx.Done():
		}
		syscall.Kill(pid, syscall.SIGTERM)
		for end := time.Now().Add(stopTime); syscall.Kill(pid, 0) == nil; time.Sleep(adoptEvery / 10) {
			if time.Now().After(end) {
				syscall.Kill(pid, syscall.SIGKILL)
			}
		}
		return nil
	}
	return errors.New("it ended while it was adopted")
}

// start runs the process once, on the configuration that is held for it.
func (m *member) start(ctx context.Context) error {
	if err := m.writeFile(); err != nil {
		return err
	}
	args := append([]string{}, m.spec.Command[1:]...)
	args = append(args, "serve", "-f", m.file, "--control", m.spec.Socket, "--name", m.spec.Name)
	cmd := exec.Command(m.spec.Command[0], args...)
	cmd.Env = environ()
	log, err := os.OpenFile(m.file+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // it outlives an agent that is killed: the next one adopts it
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	select {
	case err := <-ended:
		return exitOf(err)
	case <-ctx.Done():
	}
	cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(stopTime):
		cmd.Process.Kill()
		<-ended
	}
	return nil
}

func exitOf(err error) error {
	if err == nil {
		return errors.New("exit 0")
	}
	return err
}

// environ is the environment without RELAY_CONFIG, which is of no matter to serve, but confuses who reads it.
func environ() []string {
	var out []string
	for _, e := range os.Environ() {
		if len(e) < 13 || e[:13] != "RELAY_CONFIG=" {
			out = append(out, e)
		}
	}
	return out
}

// writeFile puts the configuration that is held for the instance where its process reads it, whole or not at all.
func (m *member) writeFile() error {
	d, err := m.agent.store.Desired(m.spec.Name)
	if err != nil {
		return err
	}
	text, err := m.agent.store.Config(d.Hash)
	if err != nil {
		return err
	}
	if len(text) == 0 {
		return fmt.Errorf("no configuration is held for %s", m.spec.Name)
	}
	return replaceFile(m.file, text)
}

func replaceFile(path string, text []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), ".new-*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	if _, err = f.Write(text); err == nil {
		err = f.Sync()
	}
	if bad := f.Close(); err == nil {
		err = bad
	}
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	return err
}

// look asks the instance for its status. What it says is all that is told of it.
func (m *member) look(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	status, err := m.client.Status(ctx)
	if err == nil && status.Name != m.spec.Name {
		err = fmt.Errorf("an instance named %q answers", status.Name)
	}
	m.hear(status, err)
}

// hear notes what the instance has said, or that it has not.
func (m *member) hear(status *controlpb.InstanceStatus, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.sight, m.trouble = false, err.Error()
		return
	}
	if m.status != nil && m.status.StartId != status.StartId {
		m.refused = ""
	}
	m.status, m.heard, m.sight = status, time.Now(), true
	m.order = m.agent.nextOrder()
	if m.refused == "" {
		m.trouble = ""
	}
}

// reconcile brings the instance to the configuration that is held for it, by what it reports.
func (m *member) reconcile(ctx context.Context) {
	if !m.changing.TryLock() {
		return
	}
	defer m.changing.Unlock()
	m.mu.Lock()
	sight, refused, hash := m.sight, m.refused, m.status.GetHash()
	m.mu.Unlock()
	d, err := m.agent.store.Desired(m.spec.Name)
	if err != nil || !sight {
		return
	}
	intent, err := m.agent.store.Intent(m.spec.Name)
	switch {
	case err != nil:
		return
	case intent.Hash != "" && hash == intent.Hash: // it had taken the change, and the answer was lost
		if err := m.settle(hash); err != nil {
			slog.Error("not kept", "instance", m.spec.Name, "err", err)
		}
		return
	case d.Hash == "" || hash == d.Hash || refused == d.Hash:
		return
	}
	text, err := m.agent.store.Config(d.Hash)
	if err != nil || len(text) == 0 {
		return
	}
	slog.Info("reconciling", "instance", m.spec.Name, "from", short(hash), "to", short(d.Hash))
	m.agent.log("agent", fmt.Sprintf("%s runs %s: brought back to %s", m.spec.Name, short(hash), short(d.Hash)))
	if reply, err := m.apply(ctx, text); err == nil && reply.Refused != "" {
		m.mu.Lock()
		m.refused, m.trouble = d.Hash, reply.Refused
		m.mu.Unlock()
	}
}

func short(hash string) string { return hash[:min(12, len(hash))] }

func (m *member) apply(ctx context.Context, text []byte) (*controlpb.ApplyReply, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTime)
	defer cancel()
	reply, err := m.client.Apply(ctx, text)
	m.hear(reply.GetStatus(), err)
	return reply, err
}

// change has the instance take a configuration. Refused says that it has not; an error, that it is not known.
func (m *member) change(ctx context.Context, text []byte, rollout string) (refused string, err error) {
	m.changing.Lock()
	defer m.changing.Unlock()
	if m.ours() { // one that we attach to knows by itself what its files are relative to
		if _, err := operator.Parse(m.file, text); err != nil {
			return err.Error(), nil
		}
	}
	if err := m.agent.store.Intend(m.spec.Name, text, rollout); err != nil {
		return "", err
	}
	reply, err := m.apply(ctx, text)
	switch hash := operator.TextHash(text); {
	case err != nil:
		return "", err
	case reply.Refused != "":
		return reply.Refused, m.agent.store.Drop(m.spec.Name)
	case reply.Status.GetHash() != hash:
		return "", fmt.Errorf("%s answers with another configuration, %s", m.spec.Name, short(reply.Status.GetHash()))
	default:
		return "", m.settle(hash)
	}
}

// ours tells whether the agent starts the instance.
func (m *member) ours() bool { return len(m.spec.Command) > 0 }

// settle holds what the instance says that it runs, also in the file that its process reads when it is told to load it
// again or starts anew.
func (m *member) settle(hash string) error {
	err := m.agent.store.Settle(m.spec.Name, hash)
	if err == nil && m.ours() {
		err = m.writeFile()
	}
	return err
}

// tell is the instance as the agent knows it.
func (m *member) tell() *agentpb.Member {
	d, _ := m.agent.store.Desired(m.spec.Name)
	m.mu.Lock()
	defer m.mu.Unlock()
	out := &agentpb.Member{
		Name: m.spec.Name, Agent: m.agent.cfg.Name, Site: m.agent.cfg.Site, Labels: m.spec.Labels, Order: m.order, AgeMs: -1,
		InSight: m.sight, Desired: d.Hash, Trouble: m.trouble, Exits: m.exits, CrashLoop: m.row >= crashLoop,
	}
	if m.status != nil {
		out.Status = proto.Clone(m.status).(*controlpb.InstanceStatus)
		out.AgeMs = time.Since(m.heard).Milliseconds()
	}
	return out
}
