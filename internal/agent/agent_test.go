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

// TestMain is also the agent of the crash tests: a process of its own that kills itself at a named write.
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

// fake is an instance on a control socket.
type fake struct {
	mu      sync.Mutex
	name    string
	text    []byte
	start   string
	refuse  string
	drained bool
	pinned  string
	applied int
}

func (f *fake) Status() *controlpb.InstanceStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	return &controlpb.InstanceStatus{Name: f.name, StartId: f.start, Hash: operator.TextHash(f.text), Draining: f.drained}
}

func (f *fake) Apply(text []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refuse != "" {
		return errors.New(f.refuse)
	}
	f.text = text
	f.applied++
	return nil
}

func (f *fake) Drain(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.drained = on
}

func (f *fake) Pin(pool, level string, ttl time.Duration) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if pool != "p" {
		return errors.New("there is no such pool")
	}
	f.pinned = fmt.Sprint(level, " ", ttl)
	return nil
}

// refusing has it refuse changes, or take them again.
func (f *fake) refusing(why string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refuse = why
}

// restart has it come back with another configuration, as one that loads its old file.
func (f *fake) restart(text []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.start, f.text = f.start+"'", text
}

func file(n int) []byte {
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

// host is a folder with an agent's file and a fake instance named one.
type host struct {
	dir, path string
	fake      *fake
}

func newHost(t *testing.T) *host {
	t.Helper()
	dir, err := os.MkdirTemp("", "agent") // paths of sockets have to be short
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	h := &host{dir: dir, path: filepath.Join(dir, "agent.toml"), fake: &fake{name: "one", text: file(0), start: "s"}}
	h.write(t, "agent.toml", "name = \"a\"\nsite = \"east\"\nlisten = \"unix:a.sock\"\nstate = \"state\"\n[[instance]]\nname = \"one\"\nsocket = \"one.sock\"\nlabels = { ring = \"first\" }\n")
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- control.Serve(ctx, filepath.Join(dir, "one.sock"), h.fake) }()
	t.Cleanup(func() {
		cancel()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return h
}

func (h *host) write(t *testing.T, name, text string) {
	t.Helper()
	if err := os.WriteFile(filepath.Join(h.dir, name), []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// begin runs the agent in this process.
func (h *host) begin(t *testing.T) (agentpb.AgentClient, func()) {
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

func (h *host) client(t *testing.T) agentpb.AgentClient {
	t.Helper()
	conn, err := grpc.NewClient("unix:"+filepath.Join(h.dir, "a.sock"), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return agentpb.NewAgentClient(conn)
}

const long = 20 * time.Second

func until(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(long); !f(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("still not: ", what)
		}
	}
}

// one is what the agent tells of the instance; nil while the agent does not answer.
func one(c agentpb.AgentClient) *agentpb.Member {
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
	ctx, cancel := context.WithTimeout(t.Context(), long)
	defer cancel()
	_, err := c.Claim(ctx, &agentpb.ClaimRequest{Rollout: id, Epoch: epoch}, grpc.WaitForReady(true))
	return err
}

func change(t *testing.T, c agentpb.AgentClient, text []byte, id string, epoch uint64) (*agentpb.ChangeReply, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), long)
	defer cancel()
	return c.Change(ctx, &agentpb.ChangeRequest{Name: "one", Config: text, Rollout: id, Epoch: epoch})
}

func TestAgentChangesAndFences(t *testing.T) {
	h := newHost(t)
	c, _ := h.begin(t)
	until(t, "it is in sight", func() bool { m := one(c); return m.GetInSight() && m.Site == "east" && m.Labels["ring"] == "first" })
	if err := claim(t, c, "r1", 1); err != nil {
		t.Fatal(err)
	}
	reply, err := change(t, c, file(1), "r1", 1)
	if err != nil || reply.Refused != "" || reply.Member.Status.Hash != operator.TextHash(file(1)) || reply.Member.Desired != operator.TextHash(file(1)) {
		t.Fatalf("change: %+v, %v", reply, err)
	}
	// Only one rollout at a time, and of one rollout the tool with the highest epoch.
	if err := claim(t, c, "r2", 9); status.Code(err) != codes.FailedPrecondition {
		t.Errorf("a second rollout: %v", err)
	}
	if err := claim(t, c, "r1", 1); status.Code(err) != codes.FailedPrecondition {
		t.Errorf("an epoch that is not higher: %v", err)
	}
	if err := claim(t, c, "r1", 2); err != nil {
		t.Error(err)
	}
	if _, err := change(t, c, file(2), "r1", 1); status.Code(err) != codes.FailedPrecondition {
		t.Errorf("the tool that was taken over from: %v", err)
	}
	// What the instance cannot take is refused, changes nothing and is not held.
	for name, text := range map[string][]byte{"not a file": []byte("x = 1"), "port taken": file(3)} {
		h.fake.refusing("listener in: address already in use")
		reply, err = change(t, c, text, "r1", 2)
		if err != nil || reply.Refused == "" || reply.Member.Desired != operator.TextHash(file(1)) || reply.Member.Status.Hash != operator.TextHash(file(1)) {
			t.Errorf("%s: %+v, %v", name, reply, err)
		}
	}
	if n := h.fake.applied; n != 1 {
		t.Errorf("%d changes were taken, want one", n)
	}
	if _, err := c.End(t.Context(), &agentpb.EndRequest{Rollout: "r1", Epoch: 2}); err != nil {
		t.Error(err)
	}
	if _, err := change(t, c, file(4), "r1", 2); status.Code(err) != codes.FailedPrecondition {
		t.Errorf("a change of a rollout that has ended: %v", err)
	}
	if err := claim(t, c, "r2", 3); err != nil {
		t.Errorf("a rollout after the end of another: %v", err)
	}
	events, err := c.Events(t.Context(), &agentpb.EventsRequest{})
	if err != nil || len(events.Entries) < 4 || events.Entries[0].Who != "local" {
		t.Errorf("audit log %v, %v", events, err)
	}
	if _, err := c.Drain(t.Context(), &agentpb.MemberDrainRequest{Name: "one", Drain: true}); err != nil || !one(c).Status.Draining {
		t.Errorf("drain: %v", err)
	}
	pin := &controlpb.PinRequest{Pool: "p", Level: "lean", ForMs: 60_000}
	if r, err := c.Pin(t.Context(), &agentpb.MemberPinRequest{Name: "one", Pin: pin}); err != nil || r.Refused != "" || h.fake.pinned != "lean 1m0s" {
		t.Errorf("pin: %v, %v, %q", r, err, h.fake.pinned)
	}
	pin.Pool = "q"
	if r, err := c.Pin(t.Context(), &agentpb.MemberPinRequest{Name: "one", Pin: pin}); err != nil || r.Refused != "there is no such pool" {
		t.Errorf("pin at a pool that is none: %v, %v", r, err)
	}
}

// An instance that comes back with its old file is brought to what is held for it, as it reports otherwise.
func TestAgentReconciles(t *testing.T) {
	h := newHost(t)
	c, stop := h.begin(t)
	if err := claim(t, c, "r", 1); err != nil {
		t.Fatal(err)
	}
	until(t, "the change is taken", func() bool { r, err := change(t, c, file(1), "r", 1); return err == nil && r.Refused == "" })
	order := one(c).Order
	h.fake.restart(file(0))
	until(t, "it is brought back", func() bool { return h.fake.Status().Hash == operator.TextHash(file(1)) })
	stop()
	h.fake.restart(file(0))
	c, _ = h.begin(t)
	until(t, "the next agent does so too", func() bool { return one(c).GetStatus().GetHash() == operator.TextHash(file(1)) })
	if m := one(c); m.Order <= order {
		t.Errorf("order %d after a restart of the agent, %d before", m.Order, order)
	}
}

// An agent that is killed at any write comes back to what its instance reports, and holds just that.
func TestAgentKilledAtEachWrite(t *testing.T) {
	for _, write := range []string{"claim", "log", "intend", "settle", "drop", "command", "end"} {
		t.Run(write, func(t *testing.T) {
			t.Parallel()
			h := newHost(t)
			c, stop := h.begin(t)
			if err := claim(t, c, "r", 1); err != nil {
				t.Fatal(err)
			}
			until(t, "the first change is taken", func() bool { r, err := change(t, c, file(1), "r", 1); return err == nil && r.Refused == "" })
			stop()
			cmd := exec.Command(os.Args[0])
			cmd.Env = append(os.Environ(), "AGENT_TEST_FILE="+h.path, "AGENT_TEST_DIE="+write)
			if err := cmd.Start(); err != nil {
				t.Fatal(err)
			}
			dies := make(chan error, 1)
			go func() { dies <- cmd.Wait() }()
			c = h.client(t)
			until(t, "the second agent answers", func() bool { return one(c) != nil })
			short, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			_, _ = c.Claim(short, &agentpb.ClaimRequest{Rollout: "r", Epoch: 2})
			cancel()
			switch write {
			case "drop":
				h.fake.refusing("port taken")
				_, _ = change(t, c, file(2), "r", 2)
			case "command":
				_, _ = c.Command(t.Context(), &agentpb.CommandRequest{Rollout: "r", Command: "pause:1"})
			case "end":
				_, _ = c.End(t.Context(), &agentpb.EndRequest{Rollout: "r", Epoch: 2})
			default:
				_, _ = change(t, c, file(2), "r", 2) // where the claim has not killed it already
			}
			select {
			case err := <-dies:
				if err == nil {
					t.Fatal("it ended by itself")
				}
			case <-time.After(long):
				_ = cmd.Process.Kill()
				t.Fatal("it was not killed")
			}
			h.fake.refusing("")
			c, _ = h.begin(t)
			until(t, "the third agent holds what the instance runs", func() bool {
				m := one(c)
				return m.GetInSight() && m.Desired == m.Status.Hash && m.Status.Hash == h.fake.Status().Hash
			})
			if got, want := h.fake.Status().Hash, map[bool][]byte{true: file(2), false: file(1)}[write == "settle"]; got != operator.TextHash(want) {
				t.Errorf("the instance runs %.12s", got)
			}
			if err := claim(t, c, "r", 3); err != nil {
				t.Error(err)
			}
			until(t, "the change is taken", func() bool { r, err := change(t, c, file(2), "r", 3); return err == nil && r.Refused == "" })
		})
	}
}

// A state that cannot be written, as on a full disk, keeps the change from being sent: what could not be reconciled after a
// crash is not begun.
func TestStateThatCannotBeWritten(t *testing.T) {
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
	if refused, err := a.instances[0].applyChange(t.Context(), file(1), "r"); err == nil || refused != "" {
		t.Errorf("refused %q, %v, want an error", refused, err)
	}
	if h.fake.applied != 0 {
		t.Error("the change was sent all the same")
	}
}

// Certificates that are replaced on disk count from the next connection on, without a restart; files that cannot be read
// change nothing.
func TestCertificatesAreReadAgain(t *testing.T) {
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
		t.Error("a certificate that cannot be read was taken")
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

// A torn last page of the state must not lose what was written before.
func TestStateSurvivesATornEnd(t *testing.T) {
	path := filepath.Join(t.TempDir(), "agent.db")
	s, boot, err := OpenStore(path)
	if err != nil || boot != 1 {
		t.Fatal(boot, err)
	}
	if err := s.SetInitialConfig("one", file(1)); err != nil {
		t.Fatal(err)
	}
	s.Close()
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_APPEND, 0)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.Write(make([]byte, 777)); err != nil { // a write that the crash cut short
		t.Fatal(err)
	}
	f.Close()
	s, boot, err = OpenStore(path)
	if err != nil || boot != 2 {
		t.Fatal(boot, err)
	}
	defer s.Close()
	if d, err := s.Desired("one"); err != nil || d.Hash != operator.TextHash(file(1)) {
		t.Errorf("held %+v, %v", d, err)
	}
}

// With TLS only certificates of the CA come in, each may call what its role allows, and an agent that passes for another
// is not believed.
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
		t.Error("a CA was made over one that is there")
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
