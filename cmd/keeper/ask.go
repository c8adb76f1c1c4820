package main

import (
	"context"
	"errors"
	"os"
	"time"

	"github.com/peterbourgon/ff/v4"

	"whinknot/internal/keeper"
	"whinknot/internal/shore"
)

// asking are the commands that ask a keeper that runs, or look at the disk of one that does not.
func asking() []*ff.Command {
	return []*ff.Command{
		shore.Asking("keeper", "status", "disks that count, the duty, what is held", func(_ context.Context, addr string, within time.Duration, _ []string) (shore.Printer, error) {
			return keeper.AskStatus(addr, within)
		}),
		verify(),
	}
}

// verify is the command that looks at a disk.
func verify() *ff.Command {
	flags := ff.NewFlagSet("verify")
	asJSON := flags.BoolLong("json", "answer as JSON")
	return &ff.Command{
		Name: "verify", Usage: "keeper verify [--json] DIR", ShortHelp: "what the disk of a keeper that does not run holds; changes nothing", Flags: flags,
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 1 {
				return ff.ErrHelp
			}
			c, err := keeper.Verify(args[0])
			if err != nil {
				return err
			}
			if err := shore.Answer(os.Stdout, c, *asJSON); err != nil {
				return err
			}
			if len(c.Faults) > 0 {
				return errors.New("the disk has faults")
			}
			return nil
		},
	}
}
