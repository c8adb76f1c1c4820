package main

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"whinknot/internal/control"
	"whinknot/internal/control/agentpb"
	"whinknot/internal/control/controlpb"
	"whinknot/internal/ctl"
)

// level is the subcommands on levels of reduced service.
func (t *tool) level() *cobra.Command {
	cmd := &cobra.Command{Use: "level", Short: "List levels of reduced service, pin one at instances or release it"}
	list := &cobra.Command{
		Use: "list", Short: "List the level of each pool that has some, at each instance", Args: cobra.NoArgs,
		RunE: t.with(func(ctx context.Context, cmd *cobra.Command, _ []string) error {
			members, _, quiet := ctl.Chosen(t.agents.Ask(ctx, true), &t.sel)
			var rows [][]string
			for _, m := range members {
				for _, p := range m.GetStatus().GetPools() {
					if p.Level != nil && !p.Ending {
						rows = append(rows, levelRow(m, p, time.Now()))
					}
				}
			}
			slices.SortFunc(rows, func(a, b []string) int { return strings.Compare(a[1]+" "+a[0], b[1]+" "+b[0]) })
			if err := t.print(cmd.OutOrStdout(), []string{"name", "pool", "level", "since", "pinned", "shed", "why", "age"}, rows); err != nil {
				return err
			}
			return silent(cmd, quiet)
		}),
	}
	var pool, name string
	var hold time.Duration
	command := func(level func() string) func(context.Context, *ctl.Agent, string) (*agentpb.ChangeReply, error) {
		return func(ctx context.Context, a *ctl.Agent, at string) (*agentpb.ChangeReply, error) {
			return a.Pin(ctx, &agentpb.MemberPinRequest{
				Name: at, Pin: &controlpb.PinRequest{Pool: pool, Level: level(), ForMs: hold.Milliseconds()},
			})
		}
	}
	pin := t.each("pin", "Keep a level of a pool in force at instances, whatever their signals, for a time",
		command(func() string { return name }))
	pin.Flags().StringVar(&name, "level", "", "the level")
	pin.Flags().DurationVar(&hold, "for", 10*time.Minute, "for so long")
	pin.MarkFlagRequired("level")
	release := t.each("release", "End a pin at instances: their signals decide again", command(func() string { return "" }))
	for _, c := range []*cobra.Command{pin, release} {
		c.Flags().StringVar(&pool, "pool", "", "the pool")
		c.MarkFlagRequired("pool")
	}
	cmd.AddCommand(list, pin, release)
	return cmd
}

// levelRow tells of the level of one pool at one instance.
func levelRow(m *agentpb.Member, p *controlpb.PoolStatus, now time.Time) []string {
	s := p.Level
	pinned := ""
	if s.PinnedUntilMs != 0 {
		pinned = max(time.UnixMilli(s.PinnedUntilMs).Sub(now), 0).Round(time.Second).String() + " more"
	}
	since := now.Sub(time.UnixMilli(s.SinceMs)).Round(time.Second).String()
	return []string{m.Name, p.Name, s.Level, since, pinned, control.Shedding(s), s.Why, age(m.AgeMs)}
}
