package process

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/peterbourgon/ff/v4"
)

// Printer is a report that can be written as text.
type Printer interface{ Print(w io.Writer) }

// QueryCommand returns a command that queries a running process at the address of its own port.
func QueryCommand(
	program, name, help string,
	query func(ctx context.Context, addr string, timeout time.Duration, args []string) (Printer, error),
) *ff.Command {
	flags := ff.NewFlagSet(name)
	address := flags.StringLong("at", "", "address and port that the process listens on for the system's own talk")
	timeout := flags.DurationLong("within", 2*time.Second, "time for the answer")
	asJSON := flags.BoolLong("json", "answer as JSON")
	return &ff.Command{
		Name: name, Usage: program + " " + name + " --at ADDRESS [--json]", ShortHelp: help, Flags: flags,
		Exec: func(ctx context.Context, args []string) error {
			if *address == "" {
				return fmt.Errorf("--at is needed: the address of a %s", program)
			}
			answer, err := query(ctx, *address, *timeout, args)
			if err != nil {
				return err
			}
			return WriteReport(os.Stdout, answer, *asJSON)
		},
	}
}

// WriteReport writes a report as text or as JSON.
func WriteReport(w io.Writer, report Printer, asJSON bool) error {
	if !asJSON {
		report.Print(w)
		return nil
	}
	out := json.NewEncoder(w)
	out.SetIndent("", "  ")
	return out.Encode(report)
}
