package main

import (
	"context"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"milletmast/internal/control"
	"milletmast/internal/control/controlpb"
	"milletmast/internal/ctl"
)

// membersCommand returns the subcommand that lists each instance's view of its cluster, and where the views differ.
func (c *cli) membersCommand() *cobra.Command {
	return &cobra.Command{
		Use: "members", Short: "List each instance's view of its cluster, and the members on which views differ", Args: cobra.NoArgs,
		RunE: c.withAgents(func(ctx context.Context, cmd *cobra.Command, _ []string) error {
			members, _, unreachable := ctl.SelectInstances(c.agents.ListInstances(ctx, true), &c.selector)
			now := time.Now()
			var rows [][]string
			var views []*controlpb.MembersStatus
			for _, m := range members {
				v := m.GetStatus().GetMembers()
				rows = append(rows, append(control.MembersRow(m.Name, v, now), formatAge(m.AgeMs)))
				if v != nil {
					views = append(views, v)
				}
			}
			if err := c.printRows(cmd.OutOrStdout(), append(control.MembersHeader(), "age"), rows); err != nil {
				return err
			}
			if differ := control.Disagreements(views, now); differ != nil {
				fmt.Fprintln(cmd.OutOrStdout())
				if err := c.printRows(cmd.OutOrStdout(), []string{"member", "seen by", "as"}, differ); err != nil {
					return err
				}
			}
			return reportUnreachable(cmd, unreachable)
		}),
	}
}
