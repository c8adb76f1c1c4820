// Package ctl is the client side of milletctl: connections to the agents, selection of instances, and rollouts, whose
// state machine is package fleet.
package ctl

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"milletmast/internal/agent"
	"milletmast/internal/control/agentpb"
)

// maxMessageBytes bounds a request or a response.
const maxMessageBytes = 16 << 20

// CallTimeout bounds a call of an agent that does not change the configuration of an instance.
const CallTimeout = 3 * time.Second

// minConnectTimeout is the minimum timeout of an attempt to connect.
const minConnectTimeout = time.Second

// Agent is a connection to one agent.
type Agent struct {
	agentpb.AgentClient
	Name string
	conn *grpc.ClientConn
}

// Agents are the connections to all agents of a configuration file.
type Agents []*Agent

// Connect returns connections to all agents of a configuration file. A connection is opened at its first call and reopened
// after it breaks. Calls are not retried.
func Connect(c *Config) (Agents, error) {
	var list Agents
	for _, a := range c.Agents {
		creds := insecure.NewCredentials()
		target := a.Address
		if !strings.HasPrefix(a.Address, "unix:") {
			conf, err := agent.ClientTLS(c.TLS, a.Name)
			if err != nil {
				return nil, err
			}
			creds = credentials.NewTLS(conf)
			target = "passthrough:///" + a.Address
		}
		conn, err := grpc.NewClient(target, grpc.WithTransportCredentials(creds), grpc.WithDisableRetry(), grpc.WithNoProxy(),
			grpc.WithConnectParams(grpc.ConnectParams{Backoff: reconnectBackoff, MinConnectTimeout: minConnectTimeout}),
			grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)))
		if err != nil {
			return nil, err
		}
		list = append(list, &Agent{agentpb.NewAgentClient(conn), a.Name, conn})
	}
	return list, nil
}

// Close closes the connections.
func (as Agents) Close() {
	for _, a := range as {
		_ = a.conn.Close() // nothing is in flight that could be lost
	}
}

// AgentReply is the response of one agent to a List call, or the error of the call.
type AgentReply struct {
	Agent *Agent
	Reply *agentpb.ListReply
	Err   error
}

// listInstances lists instances of one agent. A response under another agent's name is an error.
func (a *Agent) listInstances(ctx context.Context, req *agentpb.ListRequest) (*agentpb.ListReply, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	reply, err := a.List(ctx, req)
	if err == nil && reply.Agent != a.Name {
		return nil, fmt.Errorf("agent %s identifies itself as %q", a.Name, reply.Agent)
	}
	return reply, err
}

// ListInstances lists the instances of all agents. With fresh set, the agents poll their instances first.
func (as Agents) ListInstances(ctx context.Context, fresh bool) []AgentReply {
	replies := make([]AgentReply, len(as))
	var all sync.WaitGroup
	for i, a := range as {
		all.Go(func() {
			reply, err := a.listInstances(ctx, &agentpb.ListRequest{Fresh: fresh})
			replies[i] = AgentReply{a, reply, err}
		})
	}
	all.Wait()
	return replies
}
