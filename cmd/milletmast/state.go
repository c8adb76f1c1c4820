package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"whinknot/internal/state"
)

func stateCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "state",
		Short: "Look at what an instance keeps for its restart, check it or forget it",
		Long: `Works on the folder that an operator file names under [state]. show prints what it holds and verify checks it, also while the instance
runs; reset forgets all of it, while none does. There is nothing to compact: each file is written whole.`,
	}
	var asJSON bool
	show := &cobra.Command{
		Use: "show FOLDER", Short: "Print what a state folder holds", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, instance, err := state.Peek(args[0])
			if err != nil {
				return err
			}
			return showState(cmd.OutOrStdout(), c, instance, asJSON)
		},
	}
	show.Flags().BoolVar(&asJSON, "json", false, "print all of it as JSON")
	verify := &cobra.Command{
		Use: "verify FOLDER", Short: "Check every file of a state folder", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, instance, err := state.Peek(args[0])
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: sound: instance=%s pools=%d pins=%d\n", args[0], instance, len(c.Pools), len(c.Pins))
			return nil
		},
	}
	var yes bool
	reset := &cobra.Command{
		Use: "reset FOLDER --yes", Short: "Forget all that a state folder holds", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			if !yes {
				return errors.New("reset forgets measurements, pins and the last good generation: say --yes")
			}
			return state.Reset(args[0])
		},
	}
	reset.Flags().BoolVar(&yes, "yes", false, "do it")
	cmd.AddCommand(show, verify, reset)
	return cmd
}

func showState(w io.Writer, c *state.Contents, instance string, asJSON bool) error {
	if asJSON {
		e := json.NewEncoder(w)
		e.SetIndent("", " ")
		return e.Encode(c)
	}
	now := float64(time.Now().UnixMilli())
	fmt.Fprintf(w, "instance=%s\n", instance)
	var names []string
	for name := range c.Pools {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		m := c.Pools[name].Memory
		cut := 0
		for _, s := range m.Servers {
			if s.Cut {
				cut++
			}
		}
		fmt.Fprintf(w, "pool=%s age=%v servers=%d cut=%d room=%.2f demand=%.1f/s\n", name, time.Duration(now-m.At)*time.Millisecond, len(m.Servers), cut, m.Room, m.Demand)
	}
	names = names[:0]
	for name := range c.Pins {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(w, "pin=%s level=%s until=%s\n", name, c.Pins[name].Level, c.Pins[name].Until.UTC().Format(time.RFC3339))
	}
	if g := c.Good; g != nil {
		fmt.Fprintf(w, "generation=%s file=%s at=%s\n", g.Hash[:min(len(g.Hash), 12)], g.Path, g.At.UTC().Format(time.RFC3339))
	}
	return nil
}
