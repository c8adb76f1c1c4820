package main

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"milletmast/internal/ctl"
)

// exitError ends the program with an exit code and prints nothing: the subcommand has printed the reason.
type exitError int

func (e exitError) Error() string { return fmt.Sprint("exit ", int(e)) }

// The exit codes, as the help lists them.
const (
	errNotConfirmed exitError = 2 // not every selected instance has confirmed
	errNotAnswered  exitError = 3 // an agent or instance did not respond
)

// cli is the state that all subcommands share: the flags of the root command and the connections to the agents.
type cli struct {
	configPath string
	output     string
	selector   ctl.Selector
	agents     ctl.Agents
}

// rootCommand returns the command with all subcommands.
func rootCommand() *cobra.Command {
	t := &cli{}
	root := &cobra.Command{
		Use: "milletctl", Short: "Manage many instances through their agents", SilenceUsage: true, SilenceErrors: true,
		Long: `milletctl calls the agents that its configuration file names. For each instance it prints the latest report of the instance
itself, with its age, and never a change that was sent but not confirmed.

Exit codes: 0 every selected instance has confirmed, or all have responded; 1 an error, nothing is known to have been
done; 2 not every selected instance has confirmed; 3 an agent or instance did not respond.`,
	}
	f := root.PersistentFlags()
	f.StringVarP(&t.configPath, "agents", "a", "milletctl.toml", "configuration file with the agents and TLS")
	f.StringVarP(&t.output, "output", "o", "table", "table or json")
	f.StringVar(&t.selector.Site, "site", "", "only instances of this site")
	f.StringSliceVar(&t.selector.Names, "name", nil, "only instances whose name matches, with * and ?; may be repeated")
	f.StringSliceVar(&t.selector.Labels, "label", nil, "only instances with this label, as key=value; may be repeated")
	root.AddCommand(
		t.listCommand(),
		t.inspectCommand(),
		t.configCommands(),
		t.newInstanceCommand("reload", "Have instances apply the configuration that their agent holds again", reloadInstance),
		t.newInstanceCommand("drain", "Have instances report that they are not ready", drainInstance(true)),
		t.newInstanceCommand(
			"resume",
			"Have drained instances report that they are ready again",
			drainInstance(false),
		),
		t.levelCommands(),
		t.membersCommand(),
		t.rolloutCommands(),
		t.eventsCommand(),
		pkiCommand(),
	)
	return root
}

// withAgents returns a RunE that connects to the agents and runs a subcommand, with a context that ends at SIGTERM or
// SIGINT.
func (c *cli) withAgents(run func(ctx context.Context, cmd *cobra.Command, args []string) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		if c.output != "table" && c.output != "json" {
			return fmt.Errorf("--output %q must be table or json", c.output)
		}
		cfg, err := ctl.LoadConfig(c.configPath)
		if err != nil {
			return err
		}
		if c.agents, err = ctl.Connect(cfg); err != nil {
			return err
		}
		defer c.agents.Close()
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
		defer stop()
		return run(ctx, cmd, args)
	}
}
