// Command milletagent runs beside the instances of one host: it starts or attaches to them, holds their configuration
// durably, and serves milletctl. See docs/operate/fleet.md.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"milletmast/internal/agent"
)

func main() {
	if err := rootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "milletagent:", err)
		os.Exit(1)
	}
}

// rootCommand returns the command of the program, which has no subcommands.
func rootCommand() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use: "milletagent -f FILE", Short: "Run the agent of one host", Args: cobra.NoArgs, SilenceUsage: true, SilenceErrors: true,
		Long: `Runs until SIGTERM or an interrupt, and then stops the instances that it started. Its state survives a crash at any
instant. The configuration that an instance runs is always the one that the instance itself reports.`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, err := agent.LoadConfig(path)
			if err != nil {
				return err
			}
			slog.SetDefault(slog.With("agent", cfg.Name))
			a, err := agent.New(cfg)
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			return a.Run(ctx)
		},
	}
	cmd.Flags().StringVarP(&path, "file", "f", "", "the configuration file of the agent")
	if err := cmd.MarkFlagRequired("file"); err != nil {
		panic(err) // only if the flag is not defined above
	}
	return cmd
}
