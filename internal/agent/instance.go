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

	"milletmast/internal/control"
	"milletmast/internal/control/agentpb"
	"milletmast/internal/control/controlpb"
	"milletmast/internal/operator"
)

const (
	pollInterval       = 500 * time.Millisecond // between two polls of an instance, if there are few
	maxPollsPerSecond  = 200                    // of all instances
	maxConcurrentPolls = 64                     // of a List call with fresh set
	callTimeout        = time.Second            // for an instance to respond
	applyTimeout       = 15 * time.Second       // for an instance to apply a configuration
	minBackoff         = 200 * time.Millisecond // before the first restart of a process; doubles
	maxBackoff         = 10 * time.Second
	stableAfter        = 30 * time.Second // a process that ran for this long resets the backoff
	crashLoopExits     = 5                // consecutive exits, each before stableAfter
	stopTimeout        = 10 * time.Second // between SIGTERM and SIGKILL
)

// managedInstance is an instance of the host. Its status is always the one that the instance has
// reported itself.
type managedInstance struct {
	spec       InstanceSpec
	agent      *Agent
	client     *control.Client
	configPath string // operator file of a process that the agent starts

	changeMu sync.Mutex // held during a change

	mu               sync.Mutex
	status           *controlpb.InstanceStatus
	statusAt         time.Time
	statusOrder      uint64
	polledAt         time.Time // when the latest recorded poll was sent, or when the process exited
	reachable        bool
	lastError        string
	rejectedHash     string // hash of a configuration that the instance has rejected since its start
	exits            uint32
	consecutiveExits int // exits in a row, each before stableAfter
}

// run supervises, polls and reconciles the instance until the context ends.
func (m *managedInstance) run(ctx context.Context) {
	var goroutines sync.WaitGroup
	if m.isSupervised() {
		goroutines.Go(func() { m.supervise(ctx) })
	}
	goroutines.Go(func() {
		interval := max(pollInterval, time.Duration(len(m.agent.instances))*time.Second/maxPollsPerSecond)
		if interval > pollInterval { // with many instances, polls are spread over the interval
			select {
			case <-ctx.Done():
				return
			case <-time.After(rand.N(interval)):
			}
		}
		tick := time.NewTicker(interval)
		defer tick.Stop()
		for {
			m.pollStatus(ctx)
			m.reconcile(ctx)
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
		}
	})
	goroutines.Wait()
}

// supervise restarts the process whenever it exits, with exponential backoff.
func (m *managedInstance) supervise(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		startedAt := time.Now()
		err := m.adopt(ctx)
		if err == nil {
			err = m.start(ctx)
		}
		if ctx.Err() != nil {
			return
		}
		m.mu.Lock()
		m.exits++
		m.consecutiveExits++
		if time.Since(startedAt) >= stableAfter {
			m.consecutiveExits, backoff = 1, minBackoff
		}
		if m.consecutiveExits >= crashLoopExits {
			backoff = maxBackoff
		}
		m.reachable, m.rejectedHash, m.polledAt = false, "", time.Now()
		m.mu.Unlock()
		slog.Warn("restart ended instance", "instance", m.spec.Name, "err", err, "backoff", backoff)
		m.agent.audit("agent", fmt.Sprintf("%s ended: %v", m.spec.Name, err))
		select {
		case <-ctx.Done():
			return
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

const adoptPollInterval = 200 * time.Millisecond

// adopt waits for the exit of a running process that an earlier agent has started, and returns an
// error then. It returns nil if there is none.
func (m *managedInstance) adopt(ctx context.Context) error {
	m.pollStatus(ctx)
	m.mu.Lock()
	pid, running := int(m.status.GetPid()), m.reachable
	m.mu.Unlock()
	if !running || pid <= 1 {
		return nil
	}
	slog.Info("adopt process", "instance", m.spec.Name, "pid", pid)
	tick := time.NewTicker(adoptPollInterval)
	defer tick.Stop()
	for syscall.Kill(pid, 0) == nil {
		select {
		case <-tick.C:
			continue
		case <-ctx.Done():
		}
		_ = syscall.Kill(pid, syscall.SIGTERM) // it may have exited
		for end := time.Now().Add(stopTimeout); syscall.Kill(pid, 0) == nil; time.Sleep(adoptPollInterval / 10) {
			if time.Now().After(end) {
				_ = syscall.Kill(pid, syscall.SIGKILL)
			}
		}
		return nil
	}
	return errors.New("it ended while it was adopted")
}

// start runs the process once, with the desired configuration, and waits for its exit.
func (m *managedInstance) start(ctx context.Context) error {
	if err := m.writeConfigFile(); err != nil {
		return err
	}
	args := append([]string{}, m.spec.Command[1:]...)
	args = append(args, "serve", "-f", m.configPath, "--control", m.spec.Socket, "--name", m.spec.Name)
	cmd := exec.Command(m.spec.Command[0], args...)
	cmd.Env = childEnvironment()
	log, err := os.OpenFile(m.configPath+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // the process outlives a killed agent, and the next agent adopts it
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	var exit error // set before exited is closed
	go func() {
		exit = cmd.Wait()
		close(exited)
	}()
	select {
	case <-exited:
		return exitError(exit)
	case <-ctx.Done():
	}
	_ = cmd.Process.Signal(syscall.SIGTERM) // it may have exited
	select {
	case <-exited:
	case <-time.After(stopTimeout):
		_ = cmd.Process.Kill()
		<-exited
	}
	return nil
}

func exitError(err error) error {
	if err == nil {
		return errors.New("exit 0")
	}
	return err
}

// childEnvironment returns the environment without RELAY_CONFIG, which the serve command ignores.
func childEnvironment() []string {
	var out []string
	for _, e := range os.Environ() {
		if len(e) < 13 || e[:13] != "RELAY_CONFIG=" {
			out = append(out, e)
		}
	}
	return out
}

// writeConfigFile atomically replaces the operator file of the process by the desired configuration.
func (m *managedInstance) writeConfigFile() error {
	desired, err := m.agent.store.Desired(m.spec.Name)
	if err != nil {
		return err
	}
	text, err := m.agent.store.Config(desired.Hash)
	if err != nil {
		return err
	}
	if len(text) == 0 {
		return fmt.Errorf("no configuration is held for %s", m.spec.Name)
	}
	return replaceFile(m.configPath, text)
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
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	return err
}

// pollStatus requests the status of the instance and records it.
func (m *managedInstance) pollStatus(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := time.Now()
	status, err := m.client.Status(ctx)
	if err == nil && status.Name != m.spec.Name {
		err = fmt.Errorf("an instance named %q answers", status.Name)
	}
	m.recordPoll(sentAt, status, err)
}

// recordPoll records the result of a poll, unless one that was sent later is recorded already: polls of
// the ticker and of List calls overlap, and the older result must not replace the newer one.
func (m *managedInstance) recordPoll(sentAt time.Time, status *controlpb.InstanceStatus, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if sentAt.Before(m.polledAt) {
		return
	}
	m.polledAt = sentAt
	m.recordStatusLocked(status, err)
}

// recordStatus records a status report, or the error of the call.
func (m *managedInstance) recordStatus(status *controlpb.InstanceStatus, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordStatusLocked(status, err)
}

func (m *managedInstance) recordStatusLocked(status *controlpb.InstanceStatus, err error) {
	if err != nil {
		m.reachable, m.lastError = false, err.Error()
		return
	}
	if m.status != nil && m.status.StartId != status.StartId {
		m.rejectedHash = ""
	}
	m.status, m.statusAt, m.reachable = status, time.Now(), true
	m.statusOrder = m.agent.nextStatusOrder()
	if m.rejectedHash == "" {
		m.lastError = ""
	}
}

// reconcile applies the desired configuration if the instance reports another.
func (m *managedInstance) reconcile(ctx context.Context) {
	if !m.changeMu.TryLock() {
		return
	}
	defer m.changeMu.Unlock()
	m.mu.Lock()
	reachable, rejectedHash, hash := m.reachable, m.rejectedHash, m.status.GetHash()
	m.mu.Unlock()
	desired, err := m.agent.store.Desired(m.spec.Name)
	if err != nil || !reachable {
		return
	}
	intent, err := m.agent.store.Intent(m.spec.Name)
	switch {
	case err != nil:
		return
	case intent.Hash != "" && hash == intent.Hash: // the instance has applied the change, but the response was lost
		if err := m.commitChange(hash); err != nil {
			slog.Error("persist configuration", "instance", m.spec.Name, "err", err)
		}
		return
	case desired.Hash == "" || hash == desired.Hash || rejectedHash == desired.Hash:
		return
	}
	text, err := m.agent.store.Config(desired.Hash)
	if err != nil || len(text) == 0 {
		return
	}
	slog.Info("reconcile configuration", "instance", m.spec.Name, "from", shortHash(hash), "to", shortHash(desired.Hash))
	m.agent.audit("agent", fmt.Sprintf("%s runs %s: brought back to %s", m.spec.Name, shortHash(hash), shortHash(desired.Hash)))
	if reply, err := m.apply(ctx, text); err == nil && reply.Refused != "" {
		m.mu.Lock()
		m.rejectedHash, m.lastError = desired.Hash, reply.Refused
		m.mu.Unlock()
	}
}

func shortHash(hash string) string { return hash[:min(12, len(hash))] }

func (m *managedInstance) apply(ctx context.Context, text []byte) (*controlpb.ApplyReply, error) {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	reply, err := m.client.Apply(ctx, text)
	m.recordStatus(reply.GetStatus(), err)
	return reply, err
}

// applyChange has the instance apply a configuration. If the instance rejects it, refused is the reason.
// After an error the outcome is unknown.
func (m *managedInstance) applyChange(ctx context.Context, text []byte, rollout string) (refused string, err error) {
	m.changeMu.Lock()
	defer m.changeMu.Unlock()
	if m.isSupervised() { // an attached instance has its own base directory for relative paths
		if _, err := operator.Parse(m.configPath, text); err != nil {
			return err.Error(), nil
		}
	}
	if err := m.agent.store.SaveIntent(m.spec.Name, text, rollout); err != nil {
		return "", err
	}
	reply, err := m.apply(ctx, text)
	switch hash := operator.TextHash(text); {
	case err != nil:
		return "", err
	case reply.Refused != "":
		return reply.Refused, m.agent.store.DropIntent(m.spec.Name)
	case reply.Status.GetHash() != hash:
		return "", fmt.Errorf("%s answers with another configuration, %s", m.spec.Name, shortHash(reply.Status.GetHash()))
	default:
		return "", m.commitChange(hash)
	}
}

// isSupervised reports whether the agent starts the instance.
func (m *managedInstance) isSupervised() bool { return len(m.spec.Command) > 0 }

// commitChange makes the configuration that the instance reports the desired one, and writes it to the
// operator file that its process reads at a reload or a restart.
func (m *managedInstance) commitChange(hash string) error {
	err := m.agent.store.CommitIntent(m.spec.Name, hash)
	if err == nil && m.isSupervised() {
		err = m.writeConfigFile()
	}
	return err
}

// toProto returns the instance with its latest reported status.
func (m *managedInstance) toProto() *agentpb.Member {
	d, _ := m.agent.store.Desired(m.spec.Name)
	m.mu.Lock()
	defer m.mu.Unlock()
	out := &agentpb.Member{
		Name: m.spec.Name, Agent: m.agent.cfg.Name, Site: m.agent.cfg.Site, Labels: m.spec.Labels, Order: m.statusOrder, AgeMs: -1,
		InSight: m.reachable, Desired: d.Hash, Trouble: m.lastError, Exits: m.exits, CrashLoop: m.consecutiveExits >= crashLoopExits,
	}
	if m.status != nil {
		out.Status = proto.Clone(m.status).(*controlpb.InstanceStatus)
		out.AgeMs = time.Since(m.statusAt).Milliseconds()
	}
	return out
}
