package shore

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"
	"github.com/rs/zerolog"

	"whinknot/internal/berth"
	"whinknot/internal/chart"
)

// Process is a process of the mesh.
type Process interface {
	Run(ctx context.Context) error // until ctx ends
	Changed(s *berth.Settings)     // takes settings that were read again
}

// Execute runs a program of the mesh with arguments and gives its exit code. Begin makes its process; more are commands beside
// those that all programs have.
func Execute[P Process](program string, args []string, begin func(*berth.Settings, zerolog.Logger) (P, error), more ...*ff.Command) int {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP) // up to the end: one that nobody hears ends a process, also one that finishes what it has
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	root := commands(program, func(s *berth.Settings, log zerolog.Logger) error {
		p, err := begin(s, log)
		if err != nil {
			return err
		}
		go follow(ctx, hup, s, log, p.Changed)
		return p.Run(ctx)
	})
	root.Subcommands = append(root.Subcommands, more...)
	if err := root.ParseAndRun(ctx, args); err != nil {
		if !errors.Is(err, ff.ErrHelp) {
			fmt.Fprintln(os.Stderr, program+":", err)
			return 1
		}
		fmt.Fprintln(os.Stderr, ffhelp.Command(root.GetSelected()))
	}
	return 0
}

// commands is the command line that all programs of the mesh have: run, and check of a file.
func commands(program string, run func(*berth.Settings, zerolog.Logger) error) *ff.Command {
	root := &ff.Command{Name: program, Usage: program + " SUBCOMMAND ...", ShortHelp: "a program of the mesh", Exec: func(context.Context, []string) error { return ff.ErrHelp }}
	root.Subcommands = []*ff.Command{
		{
			Name: "run", Usage: program + " run", ShortHelp: "run by the settings that " + berth.Variable + " names",
			Exec: func(context.Context, []string) error {
				s, err := berth.Load()
				if err != nil {
					return err
				}
				tune(s)
				return run(s, newLog(os.Stderr, program, s.Node))
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
