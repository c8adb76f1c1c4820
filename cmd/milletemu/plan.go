package main

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime"
	"syscall"

	"github.com/spf13/cobra"

	"whinknot/internal/operator"
	"whinknot/internal/plan"
)

func planCommand() *cobra.Command {
	var atOnce int
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "plan PLAN",
		Short: "Find the fewest servers and copies that hold a target, also through stated losses",
		Long: `Searches over the emulator for the fewest servers, with them the fewest copies, then the smallest subset and the shortest
queue of those to be tried, that hold the plan's targets on each of its seeds, without and with each loss that has to be survived.
Beside the answer stands a bound that no fleet can do without. That more servers never harm is not proved; two sizes below the
answer are checked. The answer is played again on fresh seeds. Exits 1 where no size holds, naming what binds.`,
		Example: "  milletmast plan deploy/plans/zone.toml",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			p, err := plan.Load(args[0])
			if err != nil {
				return operator.Tell(cmd.ErrOrStderr(), args[0], err)
			}
			if atOnce < 1 {
				return fmt.Errorf("--at-once %d: nothing would be played", atOnce)
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			a, err := p.Solve(ctx, atOnce, func(c *plan.Check) { fmt.Fprintln(cmd.ErrOrStderr(), c) })
			if err != nil {
				return err
			}
			if asJSON {
				return writeJSON(cmd.OutOrStdout(), a)
			}
			return printAnswer(cmd.OutOrStdout(), a)
		},
	}
	cmd.Flags().IntVar(&atOnce, "at-once", runtime.GOMAXPROCS(0), "runs played at once")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print the answer as JSON")
	return cmd
}

func printAnswer(w io.Writer, a *plan.Answer) error {
	fmt.Fprintf(w, "plan: %v\n", a.Size)
	fmt.Fprintf(w, "binds: %s, seed %d: %s %.4f against %.4f, a margin of %.1f%%\n", a.Binds.Scenario, a.Binds.Seed, a.Binds.Figure, a.Binds.Value, a.Binds.Target, 100*a.Binds.Margin)
	fmt.Fprintf(w, "seeds: %v, %d sizes tried\n", a.Seeds, a.Evaluations)
	fmt.Fprintf(w, "bound: no fleet does it with fewer than servers=%d (%s)\n", a.Bound.Servers, a.Bound.Why)
	if a.Bound.Erlang > 0 {
		fmt.Fprintf(w, "guide: one queue over all cores that refuses nothing would take servers=%d (Erlang C), without a loss\n", a.Bound.Erlang)
	}
	for _, c := range a.Below {
		if c.Size.Servers >= a.Size.Servers-2 {
			fmt.Fprintf(w, "below: %v\n", c)
		}
	}
	if c := a.Fresh; c != nil {
		word := "holds there too"
		if !c.Holds {
			word = "DOES NOT HOLD there"
		}
		fmt.Fprintf(w, "fresh seeds: %s: %s, seed %d: %s %.4f against %.4f\n", word, c.Scenario, c.Seed, c.Figure, c.Value, c.Target)
	}
	fmt.Fprintln(w, "monotone: not proved; the sizes below the answer were played and fail")
	return nil
}
