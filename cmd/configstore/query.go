package main

import (
	"context"
	"errors"
	"os"
	"time"

	"github.com/peterbourgon/ff/v4"

	"milletmast/internal/mesh/configstore"
	"milletmast/internal/mesh/process"
)

// queryCommands returns the commands that query a running store, or read the disk of one that does not run.
func queryCommands() []*ff.Command {
	return []*ff.Command{
		process.QueryCommand(
			"configstore",
			"status",
			"voters, coordinator, registers",
			func(_ context.Context, addr string, within time.Duration, _ []string) (process.Printer, error) {
				return configstore.QueryStatus(addr, within)
			},
		),
		verifyCommand(),
	}
}

// verifyCommand returns the command that reads a disk.
func verifyCommand() *ff.Command {
	flags := ff.NewFlagSet("verify")
	asJSON := flags.BoolLong("json", "answer as JSON")
	return &ff.Command{
		Name:      "verify",
		Usage:     "configstore verify [--json] DIR",
		ShortHelp: "what the disk of a store that does not run holds; changes nothing",
		Flags:     flags,
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 1 {
				return ff.ErrHelp
			}
			c, err := configstore.Verify(args[0])
			if err != nil {
				return err
			}
			if err := process.WriteReport(os.Stdout, c, *asJSON); err != nil {
				return err
			}
			if len(c.Problems) > 0 {
				return errors.New("the disk has faults")
			}
			return nil
		},
	}
}
