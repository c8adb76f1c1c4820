package main

import (
	"fmt"
	"io"
	"runtime"

	"github.com/spf13/cobra"

	"milletmast/internal/operator"
	"milletmast/internal/plan"
)

// printedSizesBelow limits by how many servers the printed failing sizes are below the answer.
const printedSizesBelow = 2

func planCommand() *cobra.Command {
	var concurrency int
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "plan PLAN",
		Short: "Find the fewest servers and copies that meet a target, also with stated losses",
		Long: `Searches with the emulator for the fewest servers, with them the fewest copies, then the smallest subset and the shortest queue of
those to try, that meet the plan's targets with each of its seeds, without and with each loss that has to be survived. It also prints
a lower bound for any fleet. It is not proved that more servers never harm, so two sizes below the answer are checked. The answer is
run again with fresh seeds. The exit status is 1 if no size holds; the error names the limiting figure.`,
		Example: "  milletmast plan deploy/plans/zone.toml",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			file, err := plan.Load(args[0])
			if err != nil {
				return operator.PrintErrors(cmd.ErrOrStderr(), args[0], err)
			}
			if concurrency < 1 {
				return fmt.Errorf("--at-once %d: must be at least 1", concurrency)
			}
			ctx, stop := untilInterrupted(cmd)
			defer stop()
			answer, err := file.Solve(ctx, concurrency, func(check *plan.Check) { fmt.Fprintln(cmd.ErrOrStderr(), check) })
			if err != nil {
				return err
			}
			if asJSON {
				return writeJSON(cmd.OutOrStdout(), answer)
			}
			return printAnswer(cmd.OutOrStdout(), answer)
		},
	}
	cmd.Flags().IntVar(&concurrency, "at-once", runtime.GOMAXPROCS(0), "number of concurrent runs")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print the answer as JSON")
	return cmd
}

// printAnswer prints the smallest size, the figure with the least margin, the bound, and the sizes below that were checked.
func printAnswer(w io.Writer, a *plan.Answer) error {
	fmt.Fprintf(w, "plan: %v\n", a.Size)
	binds := a.Binds
	fmt.Fprintf(w, "binds: %s, seed %d: %s %.4f against %.4f, a margin of %.1f%%\n",
		binds.Scenario, binds.Seed, binds.Figure, binds.Value, binds.Target, 100*binds.Margin)
	fmt.Fprintf(w, "seeds: %v, %d sizes tried\n", a.Seeds, a.Evaluations)
	fmt.Fprintf(w, "bound: no fleet does it with fewer than servers=%d (%s)\n", a.Bound.Servers, a.Bound.Why)
	if a.Bound.Erlang > 0 {
		fmt.Fprintf(w, "guide: one queue over all cores that refuses nothing would take servers=%d (Erlang C), without a loss\n", a.Bound.Erlang)
	}
	for _, c := range a.Below {
		if c.Size.Servers >= a.Size.Servers-printedSizesBelow {
			fmt.Fprintf(w, "below: %v\n", c)
		}
	}
	if c := a.Fresh; c != nil {
		result := "holds there too"
		if !c.Holds {
			result = "DOES NOT HOLD there"
		}
		fmt.Fprintf(w, "fresh seeds: %s: %s, seed %d: %s %.4f against %.4f\n", result, c.Scenario, c.Seed, c.Figure, c.Value, c.Target)
	}
	fmt.Fprintln(w, "monotone: not proved; the sizes below the answer were played and fail")
	return nil
}
