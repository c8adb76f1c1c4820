// Command pilot is the proxy: one beside every endpoint. It carries the traffic.
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
	"whinknot/internal/pilot"
	"whinknot/internal/shore"
)

func main() { os.Exit(run(os.Args[1:])) }

// run runs the program with arguments and gives its exit code.
func run(args []string) int {
	ctx, cancel := shore.UntilTold()
	defer cancel()
	root := shore.Commands("pilot", func(ctx context.Context, s *berth.Settings, log zerolog.Logger) error {
		p, err := pilot.New(s, log)
		if err != nil {
			return err
		}
		go shore.Follow(ctx, s, log, p.Changed)
		return p.Run(ctx)
	})
	root.Subcommands = append(root.Subcommands, asking()...)
	if err := root.ParseAndRun(ctx, args); err != nil {
		if !errors.Is(err, ff.ErrHelp) {
			fmt.Fprintln(os.Stderr, "pilot:", err)
			return 1
		}
		fmt.Fprintln(os.Stderr, ffhelp.Command(root.GetSelected()))
	}
	return 0
}
