// Command lighthouse is the registry, on core machines: which endpoints and which pilots there are. It takes the outside calls.
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
	"whinknot/internal/lighthouse"
	"whinknot/internal/shore"
)

func main() { os.Exit(run(os.Args[1:])) }

// run runs the program with arguments and gives its exit code.
func run(args []string) int {
	ctx, cancel := shore.UntilTold()
	defer cancel()
	root := shore.Commands("lighthouse", func(ctx context.Context, s *berth.Settings, log zerolog.Logger) error {
		p, err := lighthouse.New(s, log)
		if err != nil {
			return err
		}
		go shore.Follow(ctx, s, log, p.Changed)
		return p.Run(ctx)
	})
	root.Subcommands = append(root.Subcommands, asking()...)
	if err := root.ParseAndRun(ctx, args); err != nil {
		if !errors.Is(err, ff.ErrHelp) {
			fmt.Fprintln(os.Stderr, "lighthouse:", err)
			return 1
		}
		fmt.Fprintln(os.Stderr, ffhelp.Command(root.GetSelected()))
	}
	return 0
}
