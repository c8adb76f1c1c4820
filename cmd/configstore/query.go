package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/peterbourgon/ff/v4"

	"milletmast/internal/mesh/configstore"
	"milletmast/internal/mesh/process"
)

// queryCommands returns the commands that query a running store, or verify the disk of a stopped one.
func queryCommands() []*ff.Command {
	return []*ff.Command{
		process.QueryCommand(
			"configstore",
			"status",
			"voters, coordinator, registers",
			func(_ context.Context, addr string, timeout time.Duration, _ []string) (process.Printer, error) {
				return configstore.QueryStatus(addr, timeout)
			},
		),
		verifyCommand(),
	}
}

// verifyCommand returns the command that verifies the disk of a stopped store.
func verifyCommand() *ff.Command {
	flags := ff.NewFlagSet("verify")
	asJSON := flags.BoolLong("json", "print the report as JSON")
	return &ff.Command{
		Name:      "verify",
		Usage:     "configstore verify [--json] DIR",
		ShortHelp: "contents and problems of the disk of a stopped store; read-only",
		Flags:     flags,
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 1 {
				return ff.ErrHelp
			}
			report, err := configstore.Verify(args[0])
			if err != nil {
				return err
			}
			if err := process.WriteReport(os.Stdout, report, *asJSON); err != nil {
				return err
			}
			if len(report.Problems) > 0 {
				return fmt.Errorf("%s: %d problems found", args[0], len(report.Problems))
			}
			return nil
		},
	}
}
