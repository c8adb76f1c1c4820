// Package agent manages the sidecar instances of one host: it starts them or attaches to them, stores
// their desired configuration, and reconciles them with it. It serves milletctl over gRPC.
package agent

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"milletmast/internal/control"
	"milletmast/internal/control/agentpb"
	"milletmast/internal/operator"
)

// Config is the configuration file of an agent.
type Config struct {
	Name      string         `toml:"name"`
	Site      string         `toml:"site"`
	Listen    string         `toml:"listen"` // host:port, with TLS, or unix:PATH
	State     string         `toml:"state"`  // state directory
	TLS       TLS            `toml:"tls"`
	Instances []InstanceSpec `toml:"instance"`
}

// InstanceSpec describes an instance of the host.
type InstanceSpec struct {
	Name    string            `toml:"name"`
	Socket  string            `toml:"socket"`  // path of its control socket
	Command []string          `toml:"command"` // for an instance that the agent starts; empty to attach to one
	Config  string            `toml:"config"`  // initial operator file, for an instance that the agent starts
	Labels  map[string]string `toml:"labels"`
}

// LoadConfig reads the configuration file of an agent. Unknown fields are errors. Paths are relative to
// its directory.
func LoadConfig(path string) (*Config, error) {
	var c Config
	err := operator.Decode(path, &c, func(report func(field, text string)) { c.check(filepath.Dir(path), report) })
	if err != nil {
		return nil, err
	}
	return &c, nil
}

// check makes paths absolute and calls report for each invalid field.
func (c *Config) check(dir string, report func(field, text string)) {
	for _, p := range []*string{&c.State, &c.TLS.CA, &c.TLS.Cert, &c.TLS.Key} {
		operator.ResolvePath(dir, p)
	}
	rest, unix := strings.CutPrefix(c.Listen, "unix:")
	if unix {
		operator.ResolvePath(dir, &rest)
		c.Listen = "unix:" + rest
	}
	for field, value := range map[string]string{"name": c.Name, "listen": c.Listen, "state": c.State} {
		if value == "" {
			report(field, "is missing")
		}
	}
	if !unix && (c.TLS.CA == "" || c.TLS.Cert == "" || c.TLS.Key == "") {
		report("tls", "ca, cert and key are needed unless listen is unix:PATH")
	}
	seen := map[string]bool{}
	for i := range c.Instances {
		s, at := &c.Instances[i], fmt.Sprintf("instance[%d]", i)
		operator.ResolvePath(dir, &s.Socket)
		operator.ResolvePath(dir, &s.Config)
		if s.Name == "" || seen[s.Name] || strings.ContainsAny(s.Name, "/\\") {
			report(at+".name", fmt.Sprintf("%q must not be empty, must be unique and must not contain / or \\", s.Name))
		}
		if s.Socket == "" {
			report(at+".socket", "is missing")
		}
		if len(s.Command) > 0 && s.Config == "" {
			report(at+".config", "is missing, for an instance that the agent starts")
		}
		seen[s.Name] = true
	}
}

// Agent is a running agent.
type Agent struct {
	agentpb.UnimplementedAgentServer
	cfg             *Config
	store           *Store
	instances       []*managedInstance
	byName          map[string]*managedInstance
	boot            uint64 // number of times that the store was opened
	lastStatusOrder atomic.Uint64
	tls             *tlsReloader
}

// New opens the agent's store, and stores the initial configuration of instances that have none.
func New(cfg *Config) (*Agent, error) {
	if err := os.MkdirAll(cfg.State, 0o700); err != nil {
		return nil, err
	}
	store, boot, err := OpenStore(filepath.Join(cfg.State, "agent.db"))
	if err != nil {
		return nil, err
	}
	a := &Agent{cfg: cfg, store: store, byName: map[string]*managedInstance{}, boot: boot}
	for _, spec := range cfg.Instances {
		m := &managedInstance{
			spec:       spec,
			agent:      a,
			client:     control.NewClient(spec.Socket),
			configPath: filepath.Join(cfg.State, spec.Name+".toml"),
		}
		if spec.Config != "" {
			text, err := os.ReadFile(spec.Config)
			if err == nil {
				err = store.SetInitialConfig(spec.Name, text)
			}
			if err != nil {
				store.Close()
				return nil, fmt.Errorf("instance %s: %w", spec.Name, err)
			}
		}
		a.instances = append(a.instances, m)
		a.byName[spec.Name] = m
	}
	if cfg.TLS.Cert != "" {
		if a.tls, err = newTLSReloader(cfg.TLS); err != nil {
			store.Close()
			return nil, err
		}
	}
	return a, nil
}

// Store returns the agent's store, for tests that end the process at a write.
func (a *Agent) Store() *Store { return a.store }

// nextStatusOrder returns an increasing number for a status report, across restarts of the agent.
func (a *Agent) nextStatusOrder() uint64 { return a.boot<<32 | a.lastStatusOrder.Add(1)&0xffffffff }

// audit appends an event to the audit log. An error, as on a full disk, is logged and does not stop the agent.
func (a *Agent) audit(who, what string) {
	if err := a.store.AppendEvent(time.Now(), who, what); err != nil {
		slog.Error("write audit log", "err", err)
	}
}

const (
	maxMessageBytes = 16 << 20
	maxStreams      = 64 // concurrent calls of a connection
)

// Run supervises the instances and serves milletctl until the context ends. Then it stops the instances
// that it started.
func (a *Agent) Run(ctx context.Context) error {
	defer a.store.Close()
	ln, err := a.listen()
	if err != nil {
		return err
	}
	options := []grpc.ServerOption{
		grpc.MaxRecvMsgSize(maxMessageBytes), grpc.MaxSendMsgSize(maxMessageBytes), grpc.MaxConcurrentStreams(maxStreams),
		grpc.ConnectionTimeout(5 * time.Second), grpc.UnaryInterceptor(a.authorize),
	}
	if a.tls != nil {
		options = append(options, grpc.Creds(credentials.NewTLS(a.tls.serverConfig())))
	}
	server := grpc.NewServer(options...)
	agentpb.RegisterAgentServer(server, a)
	runCtx, stop := context.WithCancel(ctx)
	defer stop()
	var goroutines sync.WaitGroup
	for _, m := range a.instances {
		goroutines.Go(func() { m.run(runCtx) })
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(ln) }()
	slog.Info("serve", "name", a.cfg.Name, "addr", ln.Addr(), "instances", len(a.instances), "boot", a.boot)
	select {
	case err = <-served:
	case <-ctx.Done():
		server.Stop()
		if err := <-served; err != nil { // Serve returns nil after Stop
			slog.Warn("stop serving", "err", err)
		}
	}
	stop()
	goroutines.Wait()
	return err
}

func (a *Agent) listen() (net.Listener, error) {
	if path, ok := strings.CutPrefix(a.cfg.Listen, "unix:"); ok {
		return control.ListenUnix(path)
	}
	return net.Listen("tcp", a.cfg.Listen)
}
