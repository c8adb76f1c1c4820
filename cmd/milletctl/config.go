package main

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"milletmast/internal/control/agentpb"
	"milletmast/internal/operator"
)

// configCommands returns the subcommands on configurations.
func (c *cli) configCommands() *cobra.Command {
	cmd := &cobra.Command{Use: "config", Short: "Get, compare and check configurations"}
	get := func(ctx context.Context, name string) ([]byte, error) {
		_, a, err := c.findInstance(ctx, name)
		if err != nil {
			return nil, err
		}
		reply, err := a.Config(ctx, &agentpb.ConfigRequest{Name: name})
		return reply.GetConfig(), err
	}
	cmd.AddCommand(&cobra.Command{
		Use: "get NAME", Short: "Print the configuration that an agent holds for an instance", Args: cobra.ExactArgs(1),
		RunE: c.withAgents(func(ctx context.Context, cmd *cobra.Command, args []string) error {
			text, err := get(ctx, args[0])
			if err == nil {
				_, err = cmd.OutOrStdout().Write(text)
			}
			return err
		}),
	}, &cobra.Command{
		Use: "diff NAME FILE", Short: "List what a file would change at an instance", Args: cobra.ExactArgs(2),
		RunE: c.withAgents(func(ctx context.Context, cmd *cobra.Command, args []string) error {
			text, err := get(ctx, args[0])
			if err != nil {
				return err
			}
			from, err := operator.Parse(args[0], text)
			if err != nil {
				return err
			}
			to, err := operator.Load(args[1])
			if err != nil {
				return err
			}
			for _, c := range operator.Diff(from, to) {
				fmt.Fprintln(cmd.OutOrStdout(), c)
			}
			return nil
		}),
	}, &cobra.Command{
		Use: "check FILE", Short: "Check an operator file", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			cfg, err := operator.Load(args[0])
			if err == nil {
				fmt.Fprintf(cmd.OutOrStdout(), "%s: good, %s\n", args[0], shortHash(operator.TextHash(cfg.Text)))
			}
			return err
		},
	})
	return cmd
}
