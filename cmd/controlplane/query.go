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

// statusCommand returns a command that answers from the status report, with a bounded number of arguments.
func statusCommand(name, help string, least, most int, answer func(*controlplane.Status, []string) (process.Printer, error)) *ff.Command {
	return process.QueryCommand(
		"controlplane",
		name,
		help,
		func(_ context.Context, addr string, within time.Duration, args []string) (process.Printer, error) {
			if len(args) < least || len(args) > most {
				return nil, ff.ErrHelp
			}
			s, err := controlplane.QueryStatus(addr, within)
			if err != nil {
				return nil, err
			}
			return answer(s, args)
		},
	)
}
