// Package agent runs beside the instances of one host: it starts or attaches to them, holds their configuration durably,
// and brings them back to it by what they report. It answers the tool over gRPC.
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

	"whinknot/internal/control"
	"whinknot/internal/control/agentpb"
	"whinknot/internal/operator"
)

// Config is an agent's file.
type Config struct {
	Name      string         `toml:"name"`
	Site      string         `toml:"site"`
	Listen    string         `toml:"listen"` // host:port, with TLS, or unix:PATH
	State     string         `toml:"state"`  // folder
	TLS       TLS            `toml:"tls"`
	Instances []InstanceSpec `toml:"instance"`
}

// InstanceSpec is one instance of the host.
type InstanceSpec struct {
	Name    string            `toml:"name"`
	Socket  string            `toml:"socket"`  // its control socket
	Command []string          `toml:"command"` // the program, for one that the agent starts; none to attach
	Config  string            `toml:"config"`  // operator file to begin with, for one that the agent starts
	Labels  map[string]string `toml:"labels"`
}

// LoadConfig reads an agent's file, strictly. Paths are relative to its folder.
func LoadConfig(path string) (*Config, error) {
	var c Config
	err := operator.Decode(path, &c, func(complain func(field, text string)) { c.check(filepath.Dir(path), complain) })
	if err != nil {
		return nil, err
	}
	return &c, nil
}

// check completes paths and complains of what cannot be used.
func (c *Config) check(dir string, complain func(field, text string)) {
	for _, p := range []*string{&c.State, &c.TLS.CA, &c.TLS.Cert, &c.TLS.Key} {
		operator.Under(dir, p)
	}
	rest, unix := strings.CutPrefix(c.Listen, "unix:")
	if unix {
		operator.Under(dir, &rest)
		c.Listen = "unix:" + rest
	}
	for field, value := range map[string]string{"name": c.Name, "listen": c.Listen, "state": c.State} {
		if value == "" {
			complain(field, "is missing")
		}
	}
	if !unix && (c.TLS.CA == "" || c.TLS.Cert == "" || c.TLS.Key == "") {
		complain("tls", "ca, cert and key are needed unless listen is unix:PATH")
	}
	seen := map[string]bool{}
	for i := range c.Instances {
		s, at := &c.Instances[i], fmt.Sprintf("instance[%d]", i)
		operator.Under(dir, &s.Socket)
		operator.Under(dir, &s.Config)
		if s.Name == "" || seen[s.Name] || strings.ContainsAny(s.Name, "/\\") {
			complain(at+".name", fmt.Sprintf("%q is empty, comes twice or is no name", s.Name))
		}
		if s.Socket == "" {
			complain(at+".socket", "is missing")
		}
		if len(s.Command) > 0 && s.Config == "" {
			complain(at+".config", "is missing, for an instance that the agent starts")
		}
		seen[s.Name] = true
	}
}

// Agent is one running agent.
type Agent struct {
	agentpb.UnimplementedAgentServer
	cfg     *Config
	store   *Store
	members []*member
	byName  map[string]*member
	boot    uint64
	orders  atomic.Uint64
	tls     *reloader
}

// New opens the agent's state and takes the first configuration of instances that it has none for.
func New(cfg *Config) (*Agent, error) {
	if err := os.MkdirAll(cfg.State, 0o700); err != nil {
		return nil, err
	}
	store, boot, err := OpenStore(filepath.Join(cfg.State, "agent.db"))
	if err != nil {
		return nil, err
	}
	a := &Agent{cfg: cfg, store: store, byName: map[string]*member{}, boot: boot}
	for _, spec := range cfg.Instances {
		m := &member{spec: spec, agent: a, client: control.NewClient(spec.Socket), file: filepath.Join(cfg.State, spec.Name+".toml")}
		if spec.Config != "" {
			text, err := os.ReadFile(spec.Config)
			if err == nil {
				err = store.Hold(spec.Name, text)
			}
			if err != nil {
				store.Close()
				return nil, fmt.Errorf("instance %s: %w", spec.Name, err)
			}
		}
		a.members = append(a.members, m)
		a.byName[spec.Name] = m
	}
	if cfg.TLS.Cert != "" {
		if a.tls, err = newReloader(cfg.TLS); err != nil {
			store.Close()
			return nil, err
		}
	}
	return a, nil
}

// Store gives the agent's state, for tests that end the process at a write.
func (a *Agent) Store() *Store { return a.store }

// nextOrder numbers what instances say, over all starts of the agent.
func (a *Agent) nextOrder() uint64 { return a.boot<<32 | a.orders.Add(1)&0xffffffff }

// log adds a line to the audit log; a disk that is full must not stop the agent.
func (a *Agent) log(who, what string) {
	if err := a.store.Log(time.Now(), who, what); err != nil {
		slog.Error("audit log", "err", err)
	}
}

const (
	maxMessage = 16 << 20
	maxStreams = 64 // calls at once of one connection
)

// Run supervises the instances and answers the tool until the context ends; then it stops the instances that it started.
func (a *Agent) Run(ctx context.Context) error {
	defer a.store.Close()
	ln, err := a.listen()
	if err != nil {
		return err
	}
	options := []grpc.ServerOption{
		grpc.MaxRecvMsgSize(maxMessage), grpc.MaxSendMsgSize(maxMessage), grpc.MaxConcurrentStreams(maxStreams),
		grpc.ConnectionTimeout(5 * time.Second), grpc.UnaryInterceptor(a.guard),
	}
	if a.tls != nil {
		options = append(options, grpc.Creds(credentials.NewTLS(a.tls.server())))
	}
	server := grpc.NewServer(options...)
	agentpb.RegisterAgentServer(server, a)
	running, end := context.WithCancel(ctx)
	defer end()
	var all sync.WaitGroup
	for _, m := range a.members {
		all.Go(func() { m.run(running) })
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(ln) }()
	slog.Info("agent serves", "name", a.cfg.Name, "addr", ln.Addr(), "instances", len(a.members), "boot", a.boot)
	select {
	case err = <-served:
	case <-ctx.Done():
		server.Stop()
		<-served
	}
	end()
	all.Wait()
	return err
}

func (a *Agent) listen() (net.Listener, error) {
	if path, ok := strings.CutPrefix(a.cfg.Listen, "unix:"); ok {
		return control.ListenUnix(path)
	}
	return net.Listen("tcp", a.cfg.Listen)
}
