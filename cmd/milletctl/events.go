package main

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"milletmast/internal/control/agentpb"
	"milletmast/internal/ctl"
)

// eventsCommand returns the subcommand that prints the audit logs of the agents.
func (c *cli) eventsCommand() *cobra.Command {
	var perAgent uint32
	cmd := &cobra.Command{
		Use: "events", Short: "Print the audit logs of the agents: who changed what", Args: cobra.NoArgs,
		RunE: c.withAgents(func(ctx context.Context, cmd *cobra.Command, _ []string) error {
			var rows [][]string
			var unreachable []ctl.AgentReply
			for _, agent := range c.agents {
				events, err := latestEvents(ctx, agent, int(perAgent))
				if err != nil {
					unreachable = append(unreachable, ctl.AgentReply{Agent: agent, Err: err})
				}
				for _, e := range events {
					rows = append(rows, []string{time.UnixMilli(e.AtMs).UTC().Format(time.RFC3339), agent.Name, e.Who, e.What})
				}
			}
			slices.SortStableFunc(rows, func(a, b []string) int { return strings.Compare(a[0], b[0]) })
			if err := c.printRows(cmd.OutOrStdout(), []string{"time", "agent", "who", "what"}, rows); err != nil {
				return err
			}
			return reportUnreachable(cmd, unreachable)
		}),
	}
	cmd.Flags().Uint32Var(&perAgent, "most", 50, "maximum number of events of each agent, the latest ones")
	return cmd
}

// eventsPerCall bounds the events of one response.
const eventsPerCall = 1000

// latestEvents reads the events of an agent in pages and returns the latest ones, at most count. After an error it returns
// those that it has read.
func latestEvents(ctx context.Context, agent *ctl.Agent, count int) ([]*agentpb.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, ctl.CallTimeout)
	defer cancel()
	var latest []*agentpb.Entry
	for after := uint64(0); ; {
		reply, err := agent.Events(ctx, &agentpb.EventsRequest{After: after, Most: eventsPerCall})
		if err != nil || len(reply.Entries) == 0 {
			return latest, err
		}
		after = reply.Entries[len(reply.Entries)-1].Number
		latest = append(latest, reply.Entries...)
		latest = latest[max(0, len(latest)-count):]
	}
}
