package main

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/spf13/cobra"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"milletmast/internal/control"
	"milletmast/internal/control/agentpb"
	"milletmast/internal/ctl"
)

// listCommand returns the subcommand that lists instances.
func (c *cli) listCommand() *cobra.Command {
	return &cobra.Command{
		Use: "list", Short: "List instances with the configuration that each reports, and the age of the report", Args: cobra.NoArgs,
		RunE: c.withAgents(func(ctx context.Context, cmd *cobra.Command, _ []string) error {
			list, _, unreachable := ctl.SelectInstances(c.agents.ListInstances(ctx, true), &c.selector)
			var rows [][]string
			for _, m := range list {
				state := "in sight"
				switch {
				case m.CrashLoop:
					state = "crash loop"
				case !m.InSight:
					state = "out of sight"
				case m.Status.GetDraining():
					state = "draining"
				case m.Status.GetHash() != m.Desired && m.Desired != "":
					state = "differs from what its agent holds"
				}
				st := m.GetStatus()
				rows = append(rows, []string{m.Name, m.Site, m.Agent, state, shortHash(st.GetHash()), fmt.Sprint(st.GetGeneration()),
					shortHash(st.GetStartId()), formatAge(m.AgeMs), fmt.Sprint(st.GetOpen())})
			}
			if err := c.printRows(
				cmd.OutOrStdout(),
				[]string{"name", "site", "agent", "state", "config", "generation", "start", "age", "open"},
				rows,
			); err != nil {
				return err
			}
			return reportUnreachable(cmd, unreachable)
		}),
	}
}

// findInstance returns the instance with a name, and its agent.
func (c *cli) findInstance(ctx context.Context, name string) (*agentpb.Member, *ctl.Agent, error) {
	members, agentOf, unreachable := ctl.SelectInstances(c.agents.ListInstances(ctx, true), &ctl.Selector{})
	i := slices.IndexFunc(members, func(m *agentpb.Member) bool { return m.Name == name })
	if i < 0 {
		if len(unreachable) > 0 {
			return nil, nil, fmt.Errorf("no agent that responds has an instance %q; %d agents do not respond", name, len(unreachable))
		}
		return nil, nil, fmt.Errorf("there is no instance %q", name)
	}
	return members[i], agentOf[name], nil
}

// inspectCommand returns the subcommand that prints the last known state of one instance.
func (c *cli) inspectCommand() *cobra.Command {
	return &cobra.Command{
		Use: "inspect NAME", Short: "Print the last known state of one instance", Args: cobra.ExactArgs(1),
		RunE: c.withAgents(func(ctx context.Context, cmd *cobra.Command, args []string) error {
			m, _, err := c.findInstance(ctx, args[0])
			if err != nil {
				return err
			}
			if err := c.printRows(cmd.OutOrStdout(), []string{"what", "value"}, describeInstance(m)); err != nil {
				return err
			}
			if !m.InSight {
				return errNotAnswered
			}
			return nil
		}),
	}
}

// reloadInstance has an instance apply the configuration that its agent holds.
func reloadInstance(ctx context.Context, a *ctl.Agent, name string) (*agentpb.ChangeReply, error) {
	return a.Reload(ctx, &agentpb.MemberRequest{Name: name})
}

// drainInstance returns the call that makes an instance report not ready, or ready again.
func drainInstance(on bool) instanceCall {
	return func(ctx context.Context, a *ctl.Agent, name string) (*agentpb.ChangeReply, error) {
		return a.Drain(ctx, &agentpb.MemberDrainRequest{Name: name, Drain: on})
	}
}

// instanceCall is a call of an agent for the instance with a name.
type instanceCall func(ctx context.Context, agent *ctl.Agent, name string) (*agentpb.ChangeReply, error)

// instanceCallTimeout bounds an instanceCall.
const instanceCallTimeout = 30 * time.Second

// newInstanceCommand returns a subcommand that makes one call for each selected instance and prints the outcomes.
func (c *cli) newInstanceCommand(use, help string, call instanceCall) *cobra.Command {
	return &cobra.Command{
		Use: use + " [NAME]...", Short: help,
		RunE: c.withAgents(func(ctx context.Context, cmd *cobra.Command, args []string) error {
			selector := c.selector
			selector.Names = append(selector.Names, args...)
			if len(selector.Names) == 0 && selector.Site == "" && len(selector.Labels) == 0 {
				return fmt.Errorf("%s: no instances given: name them, or select them by --site, --name '*' or --label", use)
			}
			members, agentOf, unreachable := ctl.SelectInstances(c.agents.ListInstances(ctx, false), &selector)
			if len(members) == 0 {
				if err := reportUnreachable(cmd, unreachable); err != nil {
					return err
				}
				return fmt.Errorf("%s: no instance is selected", use)
			}
			var rows [][]string
			var outcome error // of the last call that was not confirmed
			for _, m := range members {
				row, err := callInstance(ctx, call, agentOf[m.Name], m.Name)
				rows = append(rows, row)
				if err != nil {
					outcome = err
				}
			}
			if err := c.printRows(cmd.OutOrStdout(), []string{"name", "result", "config", "start", "draining", "text"}, rows); err != nil {
				return err
			}
			if err := reportUnreachable(cmd, unreachable); err != nil {
				return err
			}
			return outcome
		}),
	}
}

// callInstance makes a call for one instance. It returns the row that describes the outcome and, unless the call was
// confirmed, errNotConfirmed or errNotAnswered.
func callInstance(ctx context.Context, call instanceCall, agent *ctl.Agent, name string) (row []string, outcome error) {
	ctx, cancel := context.WithTimeout(ctx, instanceCallTimeout)
	defer cancel()
	reply, err := call(ctx, agent, name)
	result, text := "confirmed", ""
	switch {
	case status.Code(err) == codes.PermissionDenied, status.Code(err) == codes.FailedPrecondition:
		result, text, outcome = "refused", status.Convert(err).Message(), errNotConfirmed
	case err != nil:
		result, text, outcome = "not known", status.Convert(err).Message(), errNotAnswered
	case reply.Refused != "":
		result, text, outcome = "refused", reply.Refused, errNotConfirmed
	}
	instance := reply.GetMember().GetStatus()
	row = []string{name, result, shortHash(instance.GetHash()), shortHash(instance.GetStartId()), fmt.Sprint(instance.GetDraining()), text}
	return row, outcome
}

// describeInstance returns the last known state of an instance, in rows of a name and a value.
func describeInstance(m *agentpb.Member) [][]string {
	st := m.GetStatus()
	rows := [][]string{
		{"name", m.Name},
		{"site", m.Site},
		{"agent", m.Agent},
		{"in sight", fmt.Sprint(m.InSight)},
		{"age", formatAge(m.AgeMs)},
		{"start", st.GetStartId()},
		{"pid", fmt.Sprint(st.GetPid())},
		{"generation", fmt.Sprint(st.GetGeneration())},
		{"config", st.GetHash()},
		{"config held by its agent", m.Desired},
		{"draining", fmt.Sprint(st.GetDraining())},
		{"open", fmt.Sprint(st.GetOpen())},
		{"served", fmt.Sprint(st.GetServed())},
		{"refused", fmt.Sprint(st.GetRefused())},
		{"failed", fmt.Sprint(st.GetFailed())},
		{"p99 ms", fmt.Sprintf("%.1f", st.GetP99Ms())},
		{"exits", fmt.Sprint(m.Exits)},
		{"trouble", m.Trouble},
	}
	for name, addr := range st.GetListeners() {
		rows = append(rows, []string{"listener " + name, addr})
	}
	for _, p := range st.GetPools() {
		servers := fmt.Sprintf("usable %d of %d, open %d", p.Usable, p.Servers, p.Open)
		requests := fmt.Sprintf("served %d, refused %d, failed %d", p.Served, p.Refused, p.Failed)
		rows = append(rows, []string{"pool " + p.Name, servers + ", " + requests})
		if p.Level == nil {
			continue
		}
		for _, row := range control.DescribeLevel(p.Level, time.Now()) {
			rows = append(rows, []string{"pool " + p.Name + " " + row[0], row[1]})
		}
	}
	for key, value := range m.Labels {
		rows = append(rows, []string{"label " + key, value})
	}
	return rows
}
