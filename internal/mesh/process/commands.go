package process

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"

	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"
	"github.com/rs/zerolog"

	"milletmast/internal/mesh/meshconfig"
	"milletmast/internal/mesh/nodeconfig"
)

// Process is a long-running process of the mesh: a proxy, a control plane or a configuration store.
type Process interface {
	Run(ctx context.Context) error          // until ctx ends
	SettingsChanged(s *nodeconfig.Settings) // applies settings that were read again
}

// Execute runs a program of the mesh with its arguments and returns the exit code. It adds the
// given commands to those that all programs have.
func Execute[P Process](
	program string,
	args []string,
	newProcess func(*nodeconfig.Settings, zerolog.Logger) (P, error),
	extraCommands ...*ff.Command,
) int {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP) // until the process exits: an unhandled SIGHUP would end a draining process
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	root := commands(program, func(s *nodeconfig.Settings, log zerolog.Logger) error {
		p, err := newProcess(s, log)
		if err != nil {
			return err
		}
		watchCtx, stop := context.WithCancel(ctx)
		var watcher sync.WaitGroup
		watcher.Go(func() { watchSettings(watchCtx, hup, s, log, p.SettingsChanged) })
		defer watcher.Wait()
		defer stop()
		return p.Run(ctx)
	})
	root.Subcommands = append(root.Subcommands, extraCommands...)
	if err := root.ParseAndRun(ctx, args); err != nil {
		if !errors.Is(err, ff.ErrHelp) {
			fmt.Fprintln(os.Stderr, program+":", err)
			return 1
		}
		fmt.Fprintln(os.Stderr, ffhelp.Command(root.GetSelected()))
	}
	return 0
}

// commands returns the commands that all programs have: run and check.
func commands(program string, run func(*nodeconfig.Settings, zerolog.Logger) error) *ff.Command {
	root := &ff.Command{
		Name:      program,
		Usage:     program + " SUBCOMMAND ...",
		ShortHelp: "a program of the mesh",
		Exec:      func(context.Context, []string) error { return ff.ErrHelp },
	}
	root.Subcommands = []*ff.Command{
		{
			Name: "run", Usage: program + " run", ShortHelp: "run with the settings file that " + nodeconfig.PathVariable + " names",
			Exec: func(context.Context, []string) error {
				s, err := nodeconfig.Load()
				if err != nil {
					return err
				}
				tuneRuntime(s)
				return run(s, newLogger(os.Stderr, program, s.Node))
			},
		},
		{
			Name:      "check",
			Usage:     program + " check FILE...",
			ShortHelp: "check settings files, and configurations in files that end in .json",
			Exec: func(_ context.Context, files []string) error {
				if len(files) == 0 {
					return ff.ErrHelp
				}
				var errs []error
				for _, file := range files {
					errs = append(errs, checkFile(file))
				}
				return errors.Join(errs...)
			},
		},
	}
	return root
}

// maxConfigBytes is the largest size of a configuration file.
const maxConfigBytes = 32 << 20

// checkFile checks a settings file, or a configuration in a file that ends in .json.
func checkFile(path string) error {
	if len(path) < 5 || path[len(path)-5:] != ".json" {
		_, err := nodeconfig.LoadFile(path)
		return err
	}
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	if info.Size() > maxConfigBytes {
		return fmt.Errorf("%s: %d bytes are over the limit of %d bytes for a configuration", path, info.Size(), maxConfigBytes)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if _, err := meshconfig.Parse(text); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}
