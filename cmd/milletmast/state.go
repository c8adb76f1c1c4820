package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"milletmast/internal/state"
)

func stateCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "state",
		Short: "Show, verify or delete the state that an instance keeps for its restart",
		Long: `Works on the directory that an operator file names under [state]. show prints its contents and verify checks them, also while
the instance runs; reset deletes them, while no instance uses the directory. Files need no compaction: each is written whole.`,
	}
	var asJSON bool
	show := &cobra.Command{
		Use: "show FOLDER", Short: "Print the contents of a state directory", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			contents, instance, err := state.Inspect(args[0])
			if err != nil {
				return err
			}
			return showState(cmd.OutOrStdout(), contents, instance, asJSON)
		},
	}
	show.Flags().BoolVar(&asJSON, "json", false, "print all of it as JSON")
	verify := &cobra.Command{
		Use: "verify FOLDER", Short: "Check every file of a state directory", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			contents, instance, err := state.Inspect(args[0])
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: sound: instance=%s pools=%d pins=%d\n",
				args[0], instance, len(contents.Pools), len(contents.Pins))
			return nil
		},
	}
	var yes bool
	reset := &cobra.Command{
		Use: "reset FOLDER --yes", Short: "Delete the contents of a state directory", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			if !yes {
				return errors.New("reset deletes measurements, pins and the last good generation: confirm with --yes")
			}
			return state.Clear(args[0])
		},
	}
	reset.Flags().BoolVar(&yes, "yes", false, "confirm the deletion")
	cmd.AddCommand(show, verify, reset)
	return cmd
}

// showState prints the contents of a state directory.
func showState(w io.Writer, contents *state.Contents, instance string, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", " ")
		return encoder.Encode(contents)
	}
	now := float64(time.Now().UnixMilli())
	fmt.Fprintf(w, "instance=%s\n", instance)
	for _, name := range slices.Sorted(maps.Keys(contents.Pools)) {
		learned := contents.Pools[name].Learned
		ejected := 0
		for i := range learned.Servers {
			if learned.Servers[i].Ejected {
				ejected++
			}
		}
		age := time.Duration(now-learned.At) * time.Millisecond
		fmt.Fprintf(w, "pool=%s age=%v servers=%d cut=%d room=%.2f demand=%.1f/s\n",
			name, age, len(learned.Servers), ejected, learned.ConcurrencyPerServer, learned.ArrivalRate)
	}
	for _, name := range slices.Sorted(maps.Keys(contents.Pins)) {
		pin := contents.Pins[name]
		fmt.Fprintf(w, "pin=%s level=%s until=%s\n", name, pin.Level, pin.Until.UTC().Format(time.RFC3339))
	}
	if good := contents.LastGood; good != nil {
		hash := good.Hash[:min(len(good.Hash), shortHashLength)]
		fmt.Fprintf(w, "generation=%s file=%s at=%s\n", hash, good.Path, good.AppliedAt.UTC().Format(time.RFC3339))
	}
	return nil
}
