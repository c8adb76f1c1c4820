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

// QueryCommand returns a command that queries a running process at its peer port.
func QueryCommand(
	program, name, help string,
	query func(ctx context.Context, addr string, timeout time.Duration, args []string) (Printer, error),
) *ff.Command {
	flags := ff.NewFlagSet(name)
	address := flags.StringLong("at", "", "address and port on which the process serves its peers and queries")
	timeout := flags.DurationLong("within", 2*time.Second, "timeout of the query")
	asJSON := flags.BoolLong("json", "print the report as JSON")
	return &ff.Command{
		Name: name, Usage: program + " " + name + " --at ADDRESS [--json]", ShortHelp: help, Flags: flags,
		Exec: func(ctx context.Context, args []string) error {
			if *address == "" {
				return fmt.Errorf("--at is missing: the address and port of a %s are needed", program)
			}
			report, err := query(ctx, *address, *timeout, args)
			if err != nil {
				return err
			}
			return WriteReport(os.Stdout, report, *asJSON)
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
