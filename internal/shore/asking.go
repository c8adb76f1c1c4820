package shore

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/peterbourgon/ff/v4"
)

// Printer is an answer that people can read.
type Printer interface{ Print(w io.Writer) }

// Asking is a command that asks a process of the mesh, which is named by the address of its own port.
func Asking(program, name, help string, ask func(ctx context.Context, addr string, within time.Duration, args []string) (Printer, error)) *ff.Command {
	flags := ff.NewFlagSet(name)
	at := flags.StringLong("at", "", "address and port that the process listens on for the system's own talk")
	within := flags.DurationLong("within", 2*time.Second, "time for the answer")
	asJSON := flags.BoolLong("json", "answer as JSON")
	return &ff.Command{
		Name: name, Usage: program + " " + name + " --at ADDRESS [--json]", ShortHelp: help, Flags: flags,
		Exec: func(ctx context.Context, args []string) error {
			if *at == "" {
				return fmt.Errorf("--at is needed: the address of a %s", program)
			}
			answer, err := ask(ctx, *at, *within, args)
			if err != nil {
				return err
			}
			return Answer(os.Stdout, answer, *asJSON)
		},
	}
}

// Answer writes an answer for people, or as JSON for programs.
func Answer(w io.Writer, answer Printer, asJSON bool) error {
	if !asJSON {
		answer.Print(w)
		return nil
	}
	out := json.NewEncoder(w)
	out.SetIndent("", "  ")
	return out.Encode(answer)
}
