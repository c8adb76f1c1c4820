package shore

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v4"
	"github.com/rs/zerolog"

	"whinknot/internal/berth"
	"whinknot/internal/chart"
)

// Main runs a process until ctx ends.
type Main func(ctx context.Context, s *berth.Settings, log zerolog.Logger) error

// Commands is the command line that all programs of the mesh have: run, and check of a file.
func Commands(program string, run Main) *ff.Command {
	root := &ff.Command{Name: program, Usage: program + " SUBCOMMAND ...", ShortHelp: "a program of the mesh", Exec: func(context.Context, []string) error { return ff.ErrHelp }}
	root.Subcommands = []*ff.Command{
		{
			Name: "run", Usage: program + " run", ShortHelp: "run by the settings that " + berth.Variable + " names",
			Exec: func(ctx context.Context, _ []string) error {
				s, err := berth.Load()
				if err != nil {
					return err
				}
				tune(s)
				return run(ctx, s, Log(os.Stderr, program, s.Node))
			},
		},
		{
			Name: "check", Usage: program + " check FILE...", ShortHelp: "check settings files, and configurations in files that end in .json",
			Exec: func(_ context.Context, files []string) error {
				if len(files) == 0 {
					return ff.ErrHelp
				}
				var faults []error
				for _, file := range files {
					faults = append(faults, check(file))
				}
				return errors.Join(faults...)
			},
		},
	}
	return root
}

// mostConfig bounds a configuration in a file, in bytes.
const mostConfig = 32 << 20

// check checks one file.
func check(file string) error {
	if len(file) < 5 || file[len(file)-5:] != ".json" {
		_, err := berth.LoadFile(file)
		return err
	}
	info, err := os.Stat(file)
	if err != nil {
		return err
	}
	if info.Size() > mostConfig {
		return fmt.Errorf("%s: %d bytes are more than %d", file, info.Size(), mostConfig)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	if _, err := chart.Parse(text); err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	return nil
}
