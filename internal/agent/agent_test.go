package agent

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"milletmast/internal/control"
	"milletmast/internal/control/agentpb"
	"milletmast/internal/control/controlpb"
	"milletmast/internal/operator"
	"milletmast/internal/pki"
)

// TestMain runs an agent if AGENT_TEST_FILE names its configuration file. The crash tests start the test program that way;
// with AGENT_TEST_DIE set, the process kills itself before the write of that name.
func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	if path := os.Getenv("AGENT_TEST_FILE"); path != "" {
		cfg, err := LoadConfig(path)
		if err != nil {
			panic(err)
		}
		a, err := New(cfg)
		if err != nil {
			panic(err)
		}
		if die := os.Getenv("AGENT_TEST_DIE"); die != "" {
			a.store.BeforeWrite = func(write string) {
				if write == die {
					_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
					select {}
				}
			}
		}
		if err := a.Run(context.Background()); err != nil {
			panic(err)
		}
		return
	}
	os.Exit(m.Run())
}

// fakeInstance is an instance on a control socket.
type fakeInstance struct {
	mu      sync.Mutex
	name    string
	text    []byte
	start   string
	refuse  string
	drained bool
	pinned  string
	applied int
}

func (f *fakeInstance) Status() *controlpb.InstanceStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	return &controlpb.InstanceStatus{Name: f.name, StartId: f.start, Hash: operator.TextHash(f.text), Draining: f.drained}
}

func (f *fakeInstance) Apply(text []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refuse != "" {
		return errors.New(f.refuse)
	}
	f.text = text
	f.applied++
	return nil
}

func (f *fakeInstance) Drain(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.drained = on
}

func (f *fakeInstance) Pin(pool, level string, ttl time.Duration) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if pool != "p" {
		return errors.New("there is no such pool")
	}
	f.pinned = fmt.Sprint(level, " ", ttl)
	return nil
}

// setRefusal makes the instance refuse changes with a reason, or accept them again if the reason is empty.
func (f *fakeInstance) setRefusal(reason string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refuse = reason
}

// restart simulates a restart of the instance with the configuration text.
func (f *fakeInstance) restart(text []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.start, f.text = f.start+"'", text
}

// operatorFile returns an operator file whose hash depends on n.
func operatorFile(n int) []byte {
	return fmt.Appendf(nil, `# %d
[[listener]]
name = "in"
address = "127.0.0.1:0"
[[pool]]
name = "p"
[[pool.class]]
name = "c"
aim = "1s"
give_up = "2s"
effect = "unsafe"
[[route]]
name = "r"
prefix = "/"
pool = "p"
class = "c"
`, n)
}

// testHost is a directory with an agent's configuration file and the socket of a fake instance named one.
type testHost struct {
	dir, path string
	instance  *fakeInstance
}

func newHost(t *testing.T) *testHost {
	t.Helper()
	dir, err := os.MkdirTemp("", "agent") // t.TempDir may be too long for the path of a Unix socket
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	h := &testHost{dir: dir, path: filepath.Join(dir, "agent.toml"), instance: &fakeInstance{name: "one", text: operatorFile(0), start: "s"}}
	h.write(t, "agent.toml", "name = \"a\"\nsite = \"east\"\nlisten = \"unix:a.sock\"\nstate = \"state\"\n[[instance]]\nname = \"one\"\nsocket = \"one.sock\"\nlabels = { ring = \"first\" }\n")
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- control.Serve(ctx, filepath.Join(dir, "one.sock"), h.instance) }()
	t.Cleanup(func() {
		cancel()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return h
}

func (h *testHost) write(t *testing.T, name, text string) {
	t.Helper()
	if err := os.WriteFile(filepath.Join(h.dir, name), []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// startAgent runs the agent in this process. It returns a client and a function that stops the agent.
func (h *testHost) startAgent(t *testing.T) (agentpb.AgentClient, func()) {
	t.Helper()
	cfg, err := LoadConfig(h.path)
	if err != nil {
		t.Fatal(err)
	}
	a, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { _ = a.Run(ctx); close(ended) }()
	stop := sync.OnceFunc(func() { cancel(); <-ended })
	t.Cleanup(stop)
	return h.client(t), stop
}

func (h *testHost) client(t *testing.T) agentpb.AgentClient {
	t.Helper()
	conn, err := grpc.NewClient("unix:"+filepath.Join(h.dir, "a.sock"), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return agentpb.NewAgentClient(conn)
}

const waitTimeout = 20 * time.Second

// waitFor waits until a condition holds, and fails the test after waitTimeout.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting until ", what)
		}
	}
}

// fetchInstance returns the agent's fresh report of the instance; nil if the agent does not respond.
func fetchInstance(c agentpb.AgentClient) *agentpb.Member {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	reply, err := c.List(ctx, &agentpb.ListRequest{Name: "one", Fresh: true})
	if err != nil || len(reply.Members) != 1 {
		return nil
	}
	return reply.Members[0]
}

func claim(t *testing.T, c agentpb.AgentClient, id string, epoch uint64) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	_, err := c.Claim(ctx, &agentpb.ClaimRequest{Rollout: id, Epoch: epoch}, grpc.WaitForReady(true))
	return err
}

func change(t *testing.T, c agentpb.AgentClient, text []byte, id string, epoch uint64) (*agentpb.ChangeReply, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	return c.Change(ctx, &agentpb.ChangeRequest{Name: "one", Config: text, Rollout: id, Epoch: epoch})
}

// An agent applies changes only for the tool with the highest epoch of the rollout in progress.
func TestAgentChangesAndFences(t *testing.T) {
	h := newHost(t)
	c, _ := h.startAgent(t)
	waitFor(t, "the instance is reachable", func() bool {
		m := fetchInstance(c)
		return m.GetInSight() && m.Site == "east" && m.Labels["ring"] == "first"
	})
	if err := claim(t, c, "r1", 1); err != nil {
		t.Fatal(err)
	}
	reply, err := change(t, c, operatorFile(1), "r1", 1)
	if err != nil || reply.Refused != "" || reply.Member.Status.Hash != operator.TextHash(operatorFile(1)) || reply.Member.Desired != operator.TextHash(operatorFile(1)) {
		t.Fatalf("change: %+v, %v", reply, err)
	}
	// Only one rollout may be in progress, and only its tool with the highest epoch may change instances.
	if err := claim(t, c, "r2", 9); status.Code(err) != codes.FailedPrecondition {
		t.Errorf("a second rollout: %v", err)
	}
	if err := claim(t, c, "r1", 1); status.Code(err) != codes.FailedPrecondition {
		t.Errorf("an epoch that is not higher: %v", err)
	}
	if err := claim(t, c, "r1", 2); err != nil {
		t.Error(err)
	}
	if _, err := change(t, c, operatorFile(2), "r1", 1); status.Code(err) != codes.FailedPrecondition {
		t.Errorf("a change by a tool that was fenced off: %v", err)
	}
	// A configuration that the instance rejects changes nothing, and does not become the desired one.
	for name, text := range map[string][]byte{"not a file": []byte("x = 1"), "port taken": operatorFile(3)} {
		h.instance.setRefusal("listener in: address already in use")
		reply, err = change(t, c, text, "r1", 2)
		if err != nil || reply.Refused == "" || reply.Member.Desired != operator.TextHash(operatorFile(1)) || reply.Member.Status.Hash != operator.TextHash(operatorFile(1)) {
			t.Errorf("%s: %+v, %v", name, reply, err)
		}
	}
	if n := h.instance.applied; n != 1 {
		t.Errorf("%d changes were applied, want one", n)
	}
	if _, err := c.End(t.Context(), &agentpb.EndRequest{Rollout: "r1", Epoch: 2}); err != nil {
		t.Error(err)
	}
	if _, err := change(t, c, operatorFile(4), "r1", 2); status.Code(err) != codes.FailedPrecondition {
		t.Errorf("a change of a rollout that has ended: %v", err)
	}
	if err := claim(t, c, "r2", 3); err != nil {
		t.Errorf("a rollout after the end of another: %v", err)
	}
	events, err := c.Events(t.Context(), &agentpb.EventsRequest{})
	if err != nil || len(events.Entries) < 4 || events.Entries[0].Who != "local" {
		t.Errorf("audit log %v, %v", events, err)
	}
	if _, err := c.Drain(t.Context(), &agentpb.MemberDrainRequest{Name: "one", Drain: true}); err != nil || !fetchInstance(c).Status.Draining {
		t.Errorf("drain: %v", err)
	}
	pin := &controlpb.PinRequest{Pool: "p", Level: "lean", ForMs: 60_000}
	if r, err := c.Pin(t.Context(), &agentpb.MemberPinRequest{Name: "one", Pin: pin}); err != nil || r.Refused != "" || h.instance.pinned != "lean 1m0s" {
		t.Errorf("pin: %v, %v, %q", r, err, h.instance.pinned)
	}
	pin.Pool = "q"
	if r, err := c.Pin(t.Context(), &agentpb.MemberPinRequest{Name: "one", Pin: pin}); err != nil || r.Refused != "there is no such pool" {
		t.Errorf("pin at an unknown pool: %v, %v", r, err)
	}
}

// An instance that restarts with its old configuration is changed to the desired one, also by the next process of the agent.
func TestAgentReconciles(t *testing.T) {
	h := newHost(t)
	c, stop := h.startAgent(t)
	if err := claim(t, c, "r", 1); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the change is applied", func() bool { r, err := change(t, c, operatorFile(1), "r", 1); return err == nil && r.Refused == "" })
	order := fetchInstance(c).Order
	h.instance.restart(operatorFile(0))
	waitFor(t, "the instance runs the desired configuration", func() bool { return h.instance.Status().Hash == operator.TextHash(operatorFile(1)) })
	stop()
	h.instance.restart(operatorFile(0))
	c, _ = h.startAgent(t)
	waitFor(t, "the next agent has reconciled the instance", func() bool { return fetchInstance(c).GetStatus().GetHash() == operator.TextHash(operatorFile(1)) })
	if m := fetchInstance(c); m.Order <= order {
		t.Errorf("order %d after a restart of the agent, %d before", m.Order, order)
	}
}

// An agent is killed at each kind of write to its store. After its restart, the desired configuration must be the one that the
// instance runs, and changes work again.
func TestAgentKilledAtEachWrite(t *testing.T) {
	for _, write := range []string{"claim", "log", "intend", "settle", "drop", "command", "end"} {
		t.Run(write, func(t *testing.T) {
			t.Parallel()
			h := newHost(t)
			c, stop := h.startAgent(t)
			if err := claim(t, c, "r", 1); err != nil {
				t.Fatal(err)
			}
			waitFor(t, "the first change is applied", func() bool { r, err := change(t, c, operatorFile(1), "r", 1); return err == nil && r.Refused == "" })
			stop()
			cmd := exec.Command(os.Args[0])
			cmd.Env = append(os.Environ(), "AGENT_TEST_FILE="+h.path, "AGENT_TEST_DIE="+write)
			if err := cmd.Start(); err != nil {
				t.Fatal(err)
			}
			exited := make(chan error, 1)
			go func() { exited <- cmd.Wait() }()
			c = h.client(t)
			waitFor(t, "the second agent responds", func() bool { return fetchInstance(c) != nil })
			short, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			_, _ = c.Claim(short, &agentpb.ClaimRequest{Rollout: "r", Epoch: 2})
			cancel()
			switch write {
			case "drop":
				h.instance.setRefusal("port taken")
				_, _ = change(t, c, operatorFile(2), "r", 2)
			case "command":
				_, _ = c.Command(t.Context(), &agentpb.CommandRequest{Rollout: "r", Command: "pause:1"})
			case "end":
				_, _ = c.End(t.Context(), &agentpb.EndRequest{Rollout: "r", Epoch: 2})
			default:
				_, _ = change(t, c, operatorFile(2), "r", 2) // unless the write of the claim has killed the agent already
			}
			select {
			case err := <-exited:
				if err == nil {
					t.Fatal("the second agent exited without being killed")
				}
			case <-time.After(waitTimeout):
				_ = cmd.Process.Kill()
				t.Fatal("the second agent was not killed at the write")
			}
			h.instance.setRefusal("")
			c, _ = h.startAgent(t)
			waitFor(t, "the desired configuration at the third agent is the one that the instance runs", func() bool {
				m := fetchInstance(c)
				return m.GetInSight() && m.Desired == m.Status.Hash && m.Status.Hash == h.instance.Status().Hash
			})
			if got, want := h.instance.Status().Hash, map[bool][]byte{true: operatorFile(2), false: operatorFile(1)}[write == "settle"]; got != operator.TextHash(want) {
				t.Errorf("the instance runs %.12s", got)
			}
			if err := claim(t, c, "r", 3); err != nil {
				t.Error(err)
			}
			waitFor(t, "the change is applied", func() bool { r, err := change(t, c, operatorFile(2), "r", 3); return err == nil && r.Refused == "" })
		})
	}
}

// If the store cannot be written, as on a full disk, a change is not sent: it could not be reconciled after a crash.
func TestChangeWithUnwritableStore(t *testing.T) {
	h := newHost(t)
	cfg, err := LoadConfig(h.path)
	if err != nil {
		t.Fatal(err)
	}
	a, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	a.store.Close()
	if refused, err := a.instances[0].applyChange(t.Context(), operatorFile(1), "r"); err == nil || refused != "" {
		t.Errorf("refused %q, %v, want an error", refused, err)
	}
	if h.instance.applied != 0 {
		t.Error("the change was sent although the intent was not stored")
	}
}

// Certificates that are replaced on disk are used from the next connection on, without a restart. While the files are
// invalid, the previous certificate stays in use.
func TestCertificateReload(t *testing.T) {
	dir := t.TempDir()
	for _, err := range []error{pki.Init(dir), pki.Agent(dir, "a")} {
		if err != nil {
			t.Fatal(err)
		}
	}
	r, err := newTLSReloader(TLS{CA: filepath.Join(dir, "ca.pem"), Cert: filepath.Join(dir, "a.pem"), Key: filepath.Join(dir, "a.key")})
	if err != nil {
		t.Fatal(err)
	}
	first, _ := r.current()
	if err := os.WriteFile(filepath.Join(dir, "a.pem"), []byte("half"), 0o600); err != nil {
		t.Fatal(err)
	}
	r.reloadAt = time.Time{}
	if kept, _ := r.current(); kept != first {
		t.Error("an invalid certificate has replaced the valid one")
	}
	if err := pki.Agent(dir, "a"); err != nil {
		t.Fatal(err)
	}
	later := time.Now().Add(time.Minute)
	if err := os.Chtimes(filepath.Join(dir, "a.pem"), later, later); err != nil {
		t.Fatal(err)
	}
	r.reloadAt = time.Time{}
	if fresh, _ := r.current(); fresh == first || string(fresh.Certificate[0]) == string(first.Certificate[0]) {
		t.Error("the new certificate is not in use")
	}
}

// A torn write at the end of the store must not lose what was written before.
func TestStoreWithTornTail(t *testing.T) {
	path := filepath.Join(t.TempDir(), "agent.db")
	s, boot, err := OpenStore(path)
	if err != nil || boot != 1 {
		t.Fatal(boot, err)
	}
	if err := s.SetInitialConfig("one", operatorFile(1)); err != nil {
		t.Fatal(err)
	}
	s.Close()
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_APPEND, 0)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.Write(make([]byte, 777)); err != nil { // a write that a crash has truncated
		t.Fatal(err)
	}
	f.Close()
	s, boot, err = OpenStore(path)
	if err != nil || boot != 2 {
		t.Fatal(boot, err)
	}
	defer s.Close()
	if d, err := s.Desired("one"); err != nil || d.Hash != operator.TextHash(operatorFile(1)) {
		t.Errorf("desired %+v, %v", d, err)
	}
}

// With TLS, an agent accepts only certificates of the CA, and each may call only the methods of its role. A tool does not
// connect to an agent with the certificate of another.
func TestRoles(t *testing.T) {
	h := newHost(t)
	for _, err := range []error{
		pki.Init(h.dir), pki.Agent(h.dir, "a"), pki.Client(h.dir, "reader", RoleRead), pki.Client(h.dir, "boss", RoleOperate),
		pki.Init(filepath.Join(h.dir, "other")), pki.Client(filepath.Join(h.dir, "other"), "stranger", RoleOperate),
	} {
		if err != nil {
			t.Fatal(err)
		}
	}
	if pki.Init(h.dir) == nil {
		t.Error("pki.Init has replaced an existing CA")
	}
	h.write(t, "agent.toml", "tls = { ca = \"ca.pem\", cert = \"a.pem\", key = \"a.key\" }\n"+
		"name = \"a\"\nlisten = \"127.0.0.1:0\"\nstate = \"state\"\n[[instance]]\nname = \"one\"\nsocket = \"one.sock\"\n")
	cfg, err := LoadConfig(h.path)
	if err != nil {
		t.Fatal(err)
	}
	free, err := (&Agent{cfg: cfg}).listen()
	if err != nil {
		t.Fatal(err)
	}
	cfg.Listen = free.Addr().String()
	free.Close()
	a, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { _ = a.Run(ctx); close(ended) }()
	defer func() { cancel(); <-ended }()
	call := func(dir, who, agent string) (read, write codes.Code) {
		conf, err := ClientTLS(TLS{CA: filepath.Join(h.dir, "ca.pem"), Cert: filepath.Join(dir, who+".pem"), Key: filepath.Join(dir, who+".key")}, agent)
		if err != nil {
			t.Fatal(err)
		}
		conn, err := grpc.NewClient("passthrough:///"+cfg.Listen, grpc.WithTransportCredentials(credentials.NewTLS(conf)))
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		c := agentpb.NewAgentClient(conn)
		_, err = c.List(t.Context(), &agentpb.ListRequest{}, grpc.WaitForReady(who != "stranger" && agent == "a"))
		read = status.Code(err)
		_, err = c.Reload(t.Context(), &agentpb.MemberRequest{Name: "none"})
		return read, status.Code(err)
	}
	if read, write := call(h.dir, "boss", "a"); read != codes.OK || write != codes.NotFound {
		t.Errorf("operate: %v and %v", read, write)
	}
	if read, write := call(h.dir, "reader", "a"); read != codes.OK || write != codes.PermissionDenied {
		t.Errorf("read: %v and %v", read, write)
	}
	if read, _ := call(filepath.Join(h.dir, "other"), "stranger", "a"); read != codes.Unavailable {
		t.Errorf("a certificate of another CA: %v", read)
	}
	if read, _ := call(h.dir, "boss", "b"); read != codes.Unavailable {
		t.Errorf("an agent of another name: %v", read)
	}
}

func TestConfigErrors(t *testing.T) {
	dir := t.TempDir()
	for text, want := range map[string]string{
		"name = \"a\"\nlisen = \"x\"\n":                                                "agent.toml:2: lisen: unknown key",
		"name = 7\n[[instance]]\nlabels = { a = 1 }\n":                                 "agent.toml:1: name",
		"name = \"a\"\nlisten = \"127.0.0.1:1\"\nstate = \"s\"\n":                      "tls",
		"name = \"a\"\nlisten = \"unix:a\"\nstate = \"s\"\n[[instance]]\nname=\"x\"\n": "socket",
	} {
		path := filepath.Join(dir, "agent.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := LoadConfig(path); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
}
