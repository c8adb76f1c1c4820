// Package ctl is the tool's side: it talks to agents, and drives rollouts by package fleet.
package ctl

import (
	"cmp"
	"context"
	"fmt"
	"path"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"whinknot/internal/agent"
	"whinknot/internal/control/agentpb"
	"whinknot/internal/operator"
)

// Config is the tool's file.
type Config struct {
	TLS    agent.TLS     `toml:"tls"`
	Agents []AgentConfig `toml:"agent"`
}

// AgentConfig says where an agent is.
type AgentConfig struct {
	Name    string `toml:"name"`
	Address string `toml:"address"` // host:port, or unix:PATH
}

// LoadConfig reads the tool's file, strictly. Paths are relative to its folder.
func LoadConfig(file string) (*Config, error) {
	var c Config
	err := operator.Decode(file, &c, func(complain func(field, text string)) { c.check(filepath.Dir(file), complain) })
	if err != nil {
		return nil, err
	}
	return &c, nil
}

// check completes paths and complains of what cannot be used.
func (c *Config) check(dir string, complain func(field, text string)) {
	for _, p := range []*string{&c.TLS.CA, &c.TLS.Cert, &c.TLS.Key} {
		operator.Under(dir, p)
	}
	seen := map[string]bool{}
	for i := range c.Agents {
		a, at := &c.Agents[i], fmt.Sprintf("agent[%d]", i)
		if a.Name == "" || seen[a.Name] {
			complain(at+".name", fmt.Sprintf("%q is empty or comes twice", a.Name))
		}
		if a.Address == "" {
			complain(at+".address", "is missing")
		}
		seen[a.Name] = true
		if rest, ok := strings.CutPrefix(a.Address, "unix:"); ok {
			operator.Under(dir, &rest)
			a.Address = "unix:" + rest
		} else if c.TLS.CA == "" || c.TLS.Cert == "" || c.TLS.Key == "" {
			complain("tls", "ca, cert and key are needed for an agent that is not at unix:PATH")
		}
	}
	if len(c.Agents) == 0 {
		complain("agent", "there is none")
	}
}

const maxMessage = 16 << 20

// AskTime is how long an agent has to answer a question.
const AskTime = 3 * time.Second

// Agent is the connection to one agent.
type Agent struct {
	agentpb.AgentClient
	Name string
	conn *grpc.ClientConn
}

// Agents are the connections to all agents of a file.
type Agents []*Agent

// Connect makes the connections; they open when they are used, and again when they break. Calls are never repeated by the
// library.
func Connect(c *Config) (Agents, error) {
	var list Agents
	for _, a := range c.Agents {
		creds := insecure.NewCredentials()
		target := "dns:///" + a.Address
		if strings.HasPrefix(a.Address, "unix:") {
			target = a.Address
		} else {
			conf, err := agent.ClientTLS(c.TLS, a.Name)
			if err != nil {
				return nil, err
			}
			creds = credentials.NewTLS(conf)
			target = "passthrough:///" + a.Address
		}
		conn, err := grpc.NewClient(target, grpc.WithTransportCredentials(creds), grpc.WithDisableRetry(), grpc.WithNoProxy(),
			grpc.WithConnectParams(grpc.ConnectParams{Backoff: quickBackoff, MinConnectTimeout: time.Second}),
			grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage), grpc.MaxCallSendMsgSize(maxMessage)))
		if err != nil {
			return nil, err
		}
		list = append(list, &Agent{agentpb.NewAgentClient(conn), a.Name, conn})
	}
	return list, nil
}

// Close ends the connections.
func (as Agents) Close() {
	for _, a := range as {
		a.conn.Close()
	}
}

// Heard is what one agent has answered.
type Heard struct {
	Agent *Agent
	Reply *agentpb.ListReply
	Err   error
}

// ask has an agent list its instances. One that answers under another name is not believed.
func (a *Agent) ask(ctx context.Context, req *agentpb.ListRequest) (*agentpb.ListReply, error) {
	ctx, cancel := context.WithTimeout(ctx, AskTime)
	defer cancel()
	reply, err := a.List(ctx, req)
	if err == nil && reply.Agent != a.Name {
		return nil, fmt.Errorf("agent %s answers as %q", a.Name, reply.Agent)
	}
	return reply, err
}

// Ask has all agents list their instances.
func (as Agents) Ask(ctx context.Context, fresh bool) []Heard {
	out := make([]Heard, len(as))
	var all sync.WaitGroup
	for i, a := range as {
		all.Go(func() {
			reply, err := a.ask(ctx, &agentpb.ListRequest{Fresh: fresh})
			out[i] = Heard{a, reply, err}
		})
	}
	all.Wait()
	return out
}

// Selector chooses instances.
type Selector struct {
	Names  []string // patterns with * and ?; none for all
	Site   string
	Labels []string // key=value, all of them
}

// Matches tells whether an instance is chosen.
func (s *Selector) Matches(m *agentpb.Member) bool {
	if s.Site != "" && s.Site != m.Site {
		return false
	}
	for _, l := range s.Labels {
		key, value, _ := strings.Cut(l, "=")
		if m.Labels[key] != value {
			return false
		}
	}
	return len(s.Names) == 0 || slices.ContainsFunc(s.Names, func(p string) bool {
		ok, err := path.Match(p, m.Name)
		return ok && err == nil
	})
}

// Chosen are the instances that a selector chooses of what was heard, by name, and the agents that did not answer.
func Chosen(heard []Heard, s *Selector) (list []*agentpb.Member, at map[string]*Agent, silent []Heard) {
	at = map[string]*Agent{}
	for _, h := range heard {
		if h.Err != nil {
			silent = append(silent, h)
			continue
		}
		for _, m := range h.Reply.Members {
			if s.Matches(m) {
				list = append(list, m)
				at[m.Name] = h.Agent
			}
		}
	}
	slices.SortFunc(list, func(a, b *agentpb.Member) int {
		return cmp.Or(cmp.Compare(a.Site, b.Site), cmp.Compare(a.Name, b.Name))
	})
	return list, at, silent
}
