package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"github.com/spf13/cobra"

	"milletmast/internal/control/agentpb"
	"milletmast/internal/ctl"
	"milletmast/internal/fleet"
	"milletmast/internal/operator"
)

// rolloutCommands returns the subcommands on rollouts.
func (c *cli) rolloutCommands() *cobra.Command {
	cmd := &cobra.Command{Use: "rollout", Short: "Roll out a configuration over many instances, in waves"}
	cmd.AddCommand(c.rolloutStart(), c.rolloutStatus(), c.rolloutWatch())
	for use, help := range map[string]string{
		"pause":    "Have the tool that runs a rollout start no further change",
		"resume":   "Have the tool continue a paused rollout",
		"abort":    "Have the tool end a rollout in its current state",
		"rollback": "Have the tool restore the previous configuration of each changed instance",
	} {
		cmd.AddCommand(c.rolloutCommand(use, help))
	}
	return cmd
}

// rolloutStart returns the subcommand that carries out a rollout.
func (c *cli) rolloutStart() *cobra.Command {
	var path string
	var settle, timeout, limit time.Duration
	r := &ctl.Rollout{}
	cmd := &cobra.Command{
		Use: "start -f FILE", Short: "Start a rollout, or continue an interrupted one, and wait until it ends", Args: cobra.NoArgs,
		Long: `Applies an operator file to the selected instances: first to --canary of them, then in waves. Before each further wave, the
health of the changed instances is compared with that before their change (--gate flags). Run again with the same --id to
continue a rollout whose tool was interrupted; a tool that still runs it is then fenced off. Ends with a table of what each
instance has reported itself.`,
		RunE: c.withAgents(func(ctx context.Context, cmd *cobra.Command, _ []string) error {
			cfg, err := operator.Load(path)
			if err != nil {
				return err
			}
			if r.Plan.ID == "" {
				r.Plan.ID = fmt.Sprintf("%s-%04x", time.Now().UTC().Format("20060102T150405"), rand.N(1<<16))
			}
			ms := func(d time.Duration) float64 { return float64(d.Milliseconds()) }
			r.Plan.SettleTime, r.Plan.ChangeTimeout, r.Plan.TotalTimeout = ms(settle), ms(timeout), ms(limit)
			r.Agents, r.Selector, r.Config = c.agents, c.selector, cfg.Text
			return c.runRollout(ctx, cmd, r)
		}),
	}
	f := cmd.Flags()
	f.StringVarP(&path, "file", "f", "", "the operator file")
	cobra.CheckErr(cmd.MarkFlagRequired("file"))
	f.StringVar(&r.Plan.ID, "id", "", "id of the rollout (default: a new one)")
	f.IntVar(&r.Plan.CanarySize, "canary", 1, "instances of the first wave")
	f.Float64Var(&r.Plan.WaveShare, "share", 0.25, "fraction of all instances in each later wave")
	f.IntVar(&r.Plan.MaxUnavailable, "away", 2, "instances that may be changing or unreachable at once")
	f.IntVar(&r.Plan.MaxFailed, "failed", 0, "instances that may refuse or be unreachable before the rollout stops")
	f.DurationVar(&settle, "settle", 5*time.Second, "time between the end of a wave and its gate")
	f.DurationVar(&timeout, "timeout", 30*time.Second, "time for one change to be confirmed")
	f.DurationVar(&limit, "limit", time.Hour, "time for the whole rollout")
	f.IntVar(&r.Plan.MaxAttempts, "tries", 3, "maximum number of changes sent to one instance")
	f.Float64Var(&r.Plan.Gate.MaxRefusedIncrease, "gate-refused", 0.05, "allowed increase of the fraction of refused requests; 0 for no check")
	f.Float64Var(&r.Plan.Gate.MaxFailedIncrease, "gate-failed", 0.02, "allowed increase of the fraction of failed requests; 0 for no check")
	f.Float64Var(&r.Plan.Gate.MaxP99Ratio, "gate-p99", 3, "allowed p99 latency as a multiple of that before the change; 0 for no check")
	f.Uint64Var(&r.Plan.Gate.MinRequests, "gate-requests", 100, "an instance with fewer requests since its change is not checked")
	f.BoolVar(&r.Plan.RollBackOnFailure, "rollback", false, "roll back instead of pausing or stopping at a failed gate or too many failures")
	f.BoolVar(&r.WaitForOther, "queue", false, "wait for another rollout to end")
	return cmd
}

// runRollout carries out a rollout, shows its progress, and prints its result.
func (c *cli) runRollout(ctx context.Context, cmd *cobra.Command, r *ctl.Rollout) error {
	out := cmd.ErrOrStderr()
	r.Log = func(s string) { fmt.Fprintf(out, "%s %s\n", time.Now().UTC().Format("15:04:05"), s) }
	r.Progress = func(*fleet.Rollout) {}
	if isTerminal(os.Stderr) {
		r.Progress = func(f *fleet.Rollout) { fmt.Fprintf(out, "\r\x1b[K%s", progressLine(f)) }
	}
	fmt.Fprintf(out, "rollout %s of %s\n", r.Plan.ID, shortHash(operator.TextHash(r.Config)))
	result, err := r.Run(ctx)
	if err != nil {
		return err
	}
	var rows [][]string
	for _, inst := range result.Instances {
		reportedAt := "never"
		if inst.LastReportAt > 0 {
			reportedAt = time.UnixMilli(int64(inst.LastReportAt)).UTC().Format(time.RFC3339)
		}
		rows = append(
			rows,
			[]string{
				inst.Instance,
				inst.State.String(),
				shortHash(inst.Hash),
				shortHash(inst.StartID),
				reportedAt,
				fmt.Sprint(inst.Restarts),
				inst.Reason,
			},
		)
	}
	if err := c.printRows(cmd.OutOrStdout(), []string{"name", "result", "config", "start", "seen", "restarts", "text"}, rows); err != nil {
		return err
	}
	for _, agent := range result.UnreachableAgents {
		fmt.Fprintf(out, "agent %s did not respond at the start: the state of its instances is unknown\n", agent)
	}
	fmt.Fprintf(out, "%s: %s\n", result.Phase, result.Reason)
	if !result.OK {
		return errNotConfirmed
	}
	return nil
}

// progressLine describes the state of a rollout in one line.
func progressLine(f *fleet.Rollout) string {
	phase, reason := f.Phase()
	wave, waveCount := f.Wave()
	counts := map[fleet.State]int{}
	instances := f.Instances()
	for _, inst := range instances {
		counts[inst.State]++
	}
	line := fmt.Sprintf(
		"%s, wave %d of %d: %d of %d applied, %d changing",
		phase,
		wave,
		waveCount,
		counts[fleet.Applied],
		len(instances),
		counts[fleet.Changing],
	)
	for _, state := range []fleet.State{fleet.Refused, fleet.Unreachable, fleet.Restarted} {
		if counts[state] > 0 {
			line += fmt.Sprintf(", %d %s", counts[state], state)
		}
	}
	if reason != "" {
		line += " (" + reason + ")"
	}
	return line
}

// printStatus prints the state of the latest rollout, from the ledgers of the agents and the reports of the instances. It
// returns whether the rollout has ended.
func (c *cli) printStatus(ctx context.Context, cmd *cobra.Command) (bool, error) {
	replies := c.agents.ListInstances(ctx, true)
	members, _, unreachable := ctl.SelectInstances(replies, &c.selector)
	var ledger *agentpb.Ledger
	for _, reply := range replies {
		held := reply.Reply.GetLedger()
		if reply.Err == nil && held.GetRollout() != "" && (ledger == nil || held.Epoch > ledger.Epoch) {
			ledger = held
		}
	}
	if ledger == nil {
		fmt.Fprintln(cmd.OutOrStdout(), "no rollout is known")
		return true, reportUnreachable(cmd, unreachable)
	}
	confirmed := 0
	var rows [][]string
	for _, m := range members {
		runsTarget := m.Status.GetHash() == ledger.Target
		if runsTarget && m.InSight {
			confirmed++
		}
		rows = append(
			rows,
			[]string{
				m.Name,
				fmt.Sprint(runsTarget),
				shortHash(m.Status.GetHash()),
				shortHash(m.Status.GetStartId()),
				formatAge(m.AgeMs),
				fmt.Sprint(m.InSight),
			},
		)
	}
	fmt.Fprintf(
		cmd.ErrOrStderr(),
		"rollout %s of %s, epoch %d, ended %v: %d of %d instances report that they run it\n",
		ledger.Rollout,
		shortHash(ledger.Target),
		ledger.Epoch,
		ledger.Ended,
		confirmed,
		len(members),
	)
	if err := c.printRows(cmd.OutOrStdout(), []string{"name", "has it", "config", "start", "age", "in sight"}, rows); err != nil {
		return false, err
	}
	if err := reportUnreachable(cmd, unreachable); err != nil {
		return ledger.Ended, err
	}
	if confirmed < len(members) {
		return ledger.Ended, errNotConfirmed
	}
	return ledger.Ended, nil
}

// rolloutStatus returns the subcommand that prints the state of the latest rollout.
func (c *cli) rolloutStatus() *cobra.Command {
	return &cobra.Command{
		Use: "status", Short: "Print the state of the latest rollout, as the instances report it", Args: cobra.NoArgs,
		RunE: c.withAgents(func(ctx context.Context, cmd *cobra.Command, _ []string) error {
			_, err := c.printStatus(ctx, cmd)
			return err
		}),
	}
}

// rolloutWatch returns the subcommand that prints the state of the latest rollout repeatedly, until it ends.
func (c *cli) rolloutWatch() *cobra.Command {
	var interval time.Duration
	cmd := &cobra.Command{
		Use: "watch", Short: "Print the state of the latest rollout repeatedly, until it ends", Args: cobra.NoArgs,
		RunE: c.withAgents(func(ctx context.Context, cmd *cobra.Command, _ []string) error {
			for {
				if isTerminal(cmd.OutOrStdout()) {
					fmt.Fprint(cmd.OutOrStdout(), clearScreen)
				}
				ended, err := c.printStatus(ctx, cmd)
				if ended {
					return err
				}
				select {
				case <-ctx.Done():
					return err
				case <-time.After(interval):
				}
			}
		}),
	}
	cmd.Flags().DurationVar(&interval, "every", time.Second, "time between two updates")
	return cmd
}

// clearScreen moves the cursor to the top left and clears a terminal.
const clearScreen = "\x1b[H\x1b[J"

// rolloutCommand returns a subcommand that stores a command at the agents, for the tool that runs a rollout.
func (c *cli) rolloutCommand(use, help string) *cobra.Command {
	var toolIsGone bool
	cmd := &cobra.Command{
		Use: use + " ID", Short: help, Args: cobra.ExactArgs(1),
		RunE: c.withAgents(func(ctx context.Context, cmd *cobra.Command, args []string) error {
			agents, command := 0, fmt.Sprintf("%s:%d", use, time.Now().UnixNano())
			for _, reply := range c.agents.ListInstances(ctx, false) {
				ledger := reply.Reply.GetLedger()
				if reply.Err != nil || ledger.GetRollout() != args[0] || ledger.Ended {
					continue
				}
				var err error
				if toolIsGone {
					_, err = reply.Agent.End(
						ctx,
						&agentpb.EndRequest{Rollout: args[0], Epoch: ledger.Epoch, Result: "aborted, its tool is gone"},
					)
				} else {
					_, err = reply.Agent.Command(ctx, &agentpb.CommandRequest{Rollout: args[0], Command: command})
				}
				if err != nil {
					return fmt.Errorf("agent %s: %w", reply.Agent.Name, err)
				}
				agents++
			}
			if agents == 0 {
				return fmt.Errorf("no agent that responds has a rollout %q that is under way", args[0])
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: left at %d agents\n", use, agents)
			return nil
		}),
	}
	if use == "abort" {
		cmd.Flags().BoolVar(&toolIsGone, "dead", false, "end the rollout at the agents because its tool no longer runs")
	}
	return cmd
}
