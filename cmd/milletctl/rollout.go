package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"time"

	"github.com/spf13/cobra"

	"whinknot/internal/control/agentpb"
	"whinknot/internal/ctl"
	"whinknot/internal/fleet"
	"whinknot/internal/operator"
)

func (t *tool) rollout() *cobra.Command {
	cmd := &cobra.Command{Use: "rollout", Short: "Bring a configuration to many instances, in waves"}
	cmd.AddCommand(t.start(), t.status(), t.watch())
	for use, help := range map[string]string{
		"pause": "Have the tool that runs a rollout begin nothing new", "resume": "Have it go on", "abort": "Have it end where it is",
		"rollback": "Have it bring back what each instance had before",
	} {
		cmd.AddCommand(t.command(use, help))
	}
	return cmd
}

func (t *tool) start() *cobra.Command {
	var path string
	var settle, timeout, limit time.Duration
	r := &ctl.Rollout{}
	cmd := &cobra.Command{
		Use: "start -f FILE", Short: "Begin a rollout, or go on with one that was interrupted, and stay until it ends", Args: cobra.NoArgs,
		Long: `Brings an operator file to the selected instances: first to --canary of them, then in waves. Between waves the instances
that have it must be no worse than before (--gate flags). Run again with the same --id to go on with a rollout whose tool was
interrupted; a tool that still runs it is then shut out. Ends with a table of what each instance has said itself.`,
		RunE: t.with(func(ctx context.Context, cmd *cobra.Command, _ []string) error {
			cfg, err := operator.Load(path)
			if err != nil {
				return err
			}
			if r.Plan.ID == "" {
				r.Plan.ID = fmt.Sprintf("%s-%04x", time.Now().UTC().Format("20060102T150405"), rand.N(1<<16))
			}
			ms := func(d time.Duration) float64 { return float64(d.Milliseconds()) }
			r.Plan.Settle, r.Plan.Timeout, r.Plan.Limit = ms(settle), ms(timeout), ms(limit)
			r.Agents, r.Select, r.Text = t.agents, t.sel, cfg.Text
			out := cmd.ErrOrStderr()
			r.Notes = func(s string) { fmt.Fprintf(out, "%s %s\n", time.Now().UTC().Format("15:04:05"), s) }
			r.Progress = func(*fleet.Rollout) {}
			if terminal(os.Stderr) {
				r.Progress = func(f *fleet.Rollout) { fmt.Fprintf(out, "\r\x1b[K%s", progress(f)) }
			}
			fmt.Fprintf(out, "rollout %s of %s\n", r.Plan.ID, short(operator.TextHash(cfg.Text)))
			result, err := r.Run(ctx)
			if err != nil {
				return err
			}
			var rows [][]string
			for _, row := range result.Rows {
				seen := "never"
				if row.Seen > 0 {
					seen = time.UnixMilli(int64(row.Seen)).UTC().Format(time.RFC3339)
				}
				rows = append(rows, []string{row.Instance, row.State.String(), short(row.Hash), short(row.Start), seen, fmt.Sprint(row.Restarts), row.Text})
			}
			if err := t.print(cmd.OutOrStdout(), []string{"name", "result", "config", "start", "seen", "restarts", "text"}, rows); err != nil {
				return err
			}
			for _, a := range result.Silent {
				fmt.Fprintf(out, "agent %s did not answer at the start: what its instances run is not known\n", a)
			}
			fmt.Fprintf(out, "%s: %s\n", result.Phase, result.Reason)
			if !result.OK {
				return exitNot
			}
			return nil
		}),
	}
	f := cmd.Flags()
	f.StringVarP(&path, "file", "f", "", "the operator file")
	cmd.MarkFlagRequired("file")
	f.StringVar(&r.Plan.ID, "id", "", "of the rollout (default: a new one)")
	f.IntVar(&r.Plan.Canary, "canary", 1, "instances of the first wave")
	f.Float64Var(&r.Plan.Share, "share", 0.25, "of all instances, in each later wave")
	f.IntVar(&r.Plan.MaxAway, "away", 2, "instances that may be changed or out of sight at once")
	f.IntVar(&r.Plan.MaxFailed, "failed", 0, "instances that may refuse or not answer before it stops")
	f.DurationVar(&settle, "settle", 5*time.Second, "between the end of a wave and its gate")
	f.DurationVar(&timeout, "timeout", 30*time.Second, "for one change to be confirmed")
	f.DurationVar(&limit, "limit", time.Hour, "for the whole rollout")
	f.IntVar(&r.Plan.Tries, "tries", 3, "changes sent to one instance")
	f.Float64Var(&r.Plan.Gate.Refused, "gate-refused", 0.05, "more refused than before, as a share of requests; 0 not looked at")
	f.Float64Var(&r.Plan.Gate.Failed, "gate-failed", 0.02, "more failed than before")
	f.Float64Var(&r.Plan.Gate.P99, "gate-p99", 3, "times the p99 from before")
	f.Uint64Var(&r.Plan.Gate.Requests, "gate-requests", 100, "an instance with fewer since its change is not judged")
	f.BoolVar(&r.Plan.Rollback, "rollback", false, "roll back, and do not only halt, when a gate stays shut")
	f.BoolVar(&r.Queue, "queue", false, "wait for another rollout to end")
	return cmd
}

// progress is one line of how a rollout stands.
func progress(f *fleet.Rollout) string {
	phase, why := f.Phase()
	wave, of := f.Wave()
	counts := map[fleet.State]int{}
	rows := f.Rows()
	for _, r := range rows {
		counts[r.State]++
	}
	s := fmt.Sprintf("%s, wave %d of %d: %d of %d applied, %d changing", phase, wave, of, counts[fleet.Applied], len(rows), counts[fleet.Changing])
	for _, k := range []fleet.State{fleet.Refused, fleet.Unreachable, fleet.Restarted} {
		if counts[k] > 0 {
			s += fmt.Sprintf(", %d %s", counts[k], k)
		}
	}
	if why != "" {
		s += " (" + why + ")"
	}
	return s
}

// standing prints how a rollout stands, by what agents hold and what instances say; it tells whether it has ended.
func (t *tool) standing(ctx context.Context, cmd *cobra.Command) (bool, error) {
	heard := t.agents.Ask(ctx, true)
	list, _, quiet := ctl.Chosen(heard, &t.sel)
	var l *agentpb.Ledger
	for _, h := range heard {
		if o := h.Reply.GetLedger(); h.Err == nil && o.GetRollout() != "" && (l == nil || o.Epoch > l.Epoch) {
			l = o
		}
	}
	if l == nil {
		fmt.Fprintln(cmd.OutOrStdout(), "no rollout is known")
		return true, silent(cmd, quiet)
	}
	have := 0
	var rows [][]string
	for _, m := range list {
		says := m.Status.GetHash() == l.Target
		if says && m.InSight {
			have++
		}
		rows = append(rows, []string{m.Name, fmt.Sprint(says), short(m.Status.GetHash()), short(m.Status.GetStartId()), age(m.AgeMs), fmt.Sprint(m.InSight)})
	}
	fmt.Fprintf(cmd.ErrOrStderr(), "rollout %s of %s, epoch %d, ended %v: %d of %d instances say that they run it\n", l.Rollout, short(l.Target), l.Epoch, l.Ended, have, len(list))
	if err := t.print(cmd.OutOrStdout(), []string{"name", "has it", "config", "start", "age", "in sight"}, rows); err != nil {
		return false, err
	}
	if err := silent(cmd, quiet); err != nil {
		return l.Ended, err
	}
	if have < len(list) {
		return l.Ended, exitNot
	}
	return l.Ended, nil
}

func (t *tool) status() *cobra.Command {
	return &cobra.Command{
		Use: "status", Short: "Tell how the last rollout stands, by what instances say", Args: cobra.NoArgs,
		RunE: t.with(func(ctx context.Context, cmd *cobra.Command, _ []string) error {
			_, err := t.standing(ctx, cmd)
			return err
		}),
	}
}

func (t *tool) watch() *cobra.Command {
	var every time.Duration
	cmd := &cobra.Command{
		Use: "watch", Short: "Tell so again and again, until the rollout ends", Args: cobra.NoArgs,
		RunE: t.with(func(ctx context.Context, cmd *cobra.Command, _ []string) error {
			for {
				if terminal(cmd.OutOrStdout()) {
					io.WriteString(cmd.OutOrStdout(), "\x1b[H\x1b[J")
				}
				ended, err := t.standing(ctx, cmd)
				if ended {
					return err
				}
				select {
				case <-ctx.Done():
					return err
				case <-time.After(every):
				}
			}
		}),
	}
	cmd.Flags().DurationVar(&every, "every", time.Second, "between two looks")
	return cmd
}

// command leaves a command at the agents for the tool that runs a rollout.
func (t *tool) command(use, help string) *cobra.Command {
	var dead bool
	cmd := &cobra.Command{
		Use: use + " ID", Short: help, Args: cobra.ExactArgs(1),
		RunE: t.with(func(ctx context.Context, cmd *cobra.Command, args []string) error {
			left, text := 0, fmt.Sprintf("%s:%d", use, time.Now().UnixNano())
			for _, h := range t.agents.Ask(ctx, false) {
				l := h.Reply.GetLedger()
				if h.Err != nil || l.GetRollout() != args[0] || l.Ended {
					continue
				}
				var err error
				if dead {
					_, err = h.Agent.End(ctx, &agentpb.EndRequest{Rollout: args[0], Epoch: l.Epoch, Result: "aborted, its tool is gone"})
				} else {
					_, err = h.Agent.Command(ctx, &agentpb.CommandRequest{Rollout: args[0], Command: text})
				}
				if err != nil {
					return fmt.Errorf("agent %s: %w", h.Agent.Name, err)
				}
				left++
			}
			if left == 0 {
				return fmt.Errorf("no agent that answers knows a rollout %q that is under way", args[0])
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: left at %d agents\n", use, left)
			return nil
		}),
	}
	if use == "abort" {
		cmd.Flags().BoolVar(&dead, "dead", false, "end it for a tool that is gone")
	}
	return cmd
}
