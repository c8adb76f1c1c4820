package main

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"milletmast/internal/control"
	"milletmast/internal/control/agentpb"
	"milletmast/internal/control/controlpb"
	"milletmast/internal/ctl"
)

// levelCommands returns the subcommands on degradation levels.
func (c *cli) levelCommands() *cobra.Command {
	cmd := &cobra.Command{Use: "level", Short: "List degradation levels, pin one at instances or release it"}
	list := &cobra.Command{
		Use: "list", Short: "List the level of each pool with levels, at each instance", Args: cobra.NoArgs,
		RunE: c.withAgents(func(ctx context.Context, cmd *cobra.Command, _ []string) error {
			members, _, unreachable := ctl.SelectInstances(c.agents.ListInstances(ctx, true), &c.selector)
			var rows [][]string
			for _, m := range members {
				for _, p := range m.GetStatus().GetPools() {
					if p.Level != nil && !p.Ending {
						rows = append(rows, levelRow(m, p, time.Now()))
					}
				}
			}
			slices.SortFunc(rows, func(a, b []string) int { return strings.Compare(a[1]+" "+a[0], b[1]+" "+b[0]) })
			if err := c.printRows(
				cmd.OutOrStdout(),
				[]string{"name", "pool", "level", "since", "pinned", "shed", "why", "age"},
				rows,
			); err != nil {
				return err
			}
			return reportUnreachable(cmd, unreachable)
		}),
	}
	var pool, name string
	var pinTime time.Duration
	pinCall := func(level func() string) instanceCall {
		return func(ctx context.Context, a *ctl.Agent, at string) (*agentpb.ChangeReply, error) {
			return a.Pin(ctx, &agentpb.MemberPinRequest{
				Name: at, Pin: &controlpb.PinRequest{Pool: pool, Level: level(), ForMs: pinTime.Milliseconds()},
			})
		}
	}
	pin := c.newInstanceCommand("pin", "Keep a level of a pool in force at instances for a time, whatever their signals",
		pinCall(func() string { return name }))
	pin.Flags().StringVar(&name, "level", "", "the level")
	pin.Flags().DurationVar(&pinTime, "for", 10*time.Minute, "how long the pin lasts")
	cobra.CheckErr(pin.MarkFlagRequired("level"))
	release := c.newInstanceCommand("release", "End a pin at instances: their signals decide again", pinCall(func() string { return "" }))
	for _, c := range []*cobra.Command{pin, release} {
		c.Flags().StringVar(&pool, "pool", "", "the pool")
		cobra.CheckErr(c.MarkFlagRequired("pool"))
	}
	cmd.AddCommand(list, pin, release)
	return cmd
}

// levelRow returns the row of one pool at one instance.
func levelRow(m *agentpb.Member, p *controlpb.PoolStatus, now time.Time) []string {
	s := p.Level
	pinned := ""
	if s.PinnedUntilMs != 0 {
		pinned = max(time.UnixMilli(s.PinnedUntilMs).Sub(now), 0).Round(time.Second).String() + " more"
	}
	since := now.Sub(time.UnixMilli(s.SinceMs)).Round(time.Second).String()
	return []string{m.Name, p.Name, s.Level, since, pinned, control.Shedding(s), s.Why, formatAge(m.AgeMs)}
}
