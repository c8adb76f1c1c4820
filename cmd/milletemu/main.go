// Command milletemu runs fleets of sidecars in virtual time (emulate) or over processes (drill), and plans their sizes. It is a program
// of its own, which milletmast emulate and milletmast plan start, because the libraries for plots and statistics are too large for the
// sidecar's program.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"milletmast/internal/testcluster"
)

func main() {
	testcluster.Main()
	if err := command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "milletemu:", err)
		os.Exit(1)
	}
}

func command() *cobra.Command {
	root := &cobra.Command{
		Use:   "milletemu",
		Short: "Emulate a fleet of sidecars with servers and callers in virtual time",
		Long: `Runs scenarios (examples: deploy/scenarios): many sidecars, each with the real decision module, over models of servers,
network, discovery and callers, with one virtual clock and one seed a run. The same scenario and seed give the same result on
any machine. docs/operate/emulate.md explains scenarios and figures. The exit status is 1 if a rule was broken or after an error.`,
		SilenceUsage: true, SilenceErrors: true,
	}
	root.AddCommand(runCommand(), compareCommand(), plotCommand(), planCommand(), drillCommand())
	return root
}

// untilInterrupted returns a context that ends with the command's own one, or when the process receives a signal to end.
func untilInterrupted(cmd *cobra.Command) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
}
