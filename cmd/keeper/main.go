// Command keeper is the store of configuration, on core machines, with the disk.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"
	"github.com/rs/zerolog"

	"whinknot/internal/berth"
	"whinknot/internal/keeper"
	"whinknot/internal/shore"
)

func main() { os.Exit(run(os.Args[1:])) }

// run runs the program with arguments and gives its exit code.
func run(args []string) int {
	ctx, cancel := shore.UntilTold()
	defer cancel()
	root := shore.Commands("keeper", func(ctx context.Context, s *berth.Settings, log zerolog.Logger) error {
		p, err := keeper.New(s, log)
		if err != nil {
			return err
		}
		go shore.Follow(ctx, s, log, p.Changed)
		return p.Run(ctx)
	})
	root.Subcommands = append(root.Subcommands, asking()...)
	if err := root.ParseAndRun(ctx, args); err != nil {
		if !errors.Is(err, ff.ErrHelp) {
			fmt.Fprintln(os.Stderr, "keeper:", err)
			return 1
		}
		fmt.Fprintln(os.Stderr, ffhelp.Command(root.GetSelected()))
	}
	return 0
}
