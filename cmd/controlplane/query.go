package main

import (
	"context"
	"math"
	"time"

	"github.com/peterbourgon/ff/v4"

	"milletmast/internal/mesh/controlplane"
	"milletmast/internal/mesh/process"
)

// queryCommands returns the commands that query a running control plane.
func queryCommands() []*ff.Command {
	return []*ff.Command{
		statusCommand(
			"status",
			"proxies, versions, endpoints, unhealthy and ejected instances",
			0,
			math.MaxInt,
			func(s *controlplane.Status, _ []string) (process.Printer, error) { return s, nil },
		),
		statusCommand(
			"place",
			"SERVICE KEY: where the requests of a key go, in order of preference",
			2,
			2,
			func(s *controlplane.Status, args []string) (process.Printer, error) {
				return s.Place(args[0], args[1])
			},
		),
		statusCommand(
			"whatif",
			"SERVICE +NAME=SLOTS -NAME ...: which share of the keys would move",
			2,
			math.MaxInt,
			func(s *controlplane.Status, args []string) (process.Printer, error) {
				return s.Whatif(args[0], args[1:])
			},
		),
	}
}

// statusCommand returns a command with minArgs to maxArgs arguments that prints a report made from the status report.
func statusCommand(
	name, help string,
	minArgs, maxArgs int,
	report func(*controlplane.Status, []string) (process.Printer, error),
) *ff.Command {
	return process.QueryCommand(
		"controlplane",
		name,
		help,
		func(_ context.Context, addr string, timeout time.Duration, args []string) (process.Printer, error) {
			if len(args) < minArgs || len(args) > maxArgs {
				return nil, ff.ErrHelp
			}
			s, err := controlplane.QueryStatus(addr, timeout)
			if err != nil {
				return nil, err
			}
			return report(s, args)
		},
	)
}
