package main

import (
	"context"
	"time"

	"github.com/peterbourgon/ff/v4"

	"whinknot/internal/lighthouse"
	"whinknot/internal/shore"
)

// asking are the commands that ask a lighthouse that runs.
func asking() []*ff.Command {
	return []*ff.Command{
		shore.Asking("lighthouse", "status", "pilots, versions, endpoints, what is unwell and removed", func(_ context.Context, addr string, within time.Duration, _ []string) (shore.Printer, error) {
			return lighthouse.AskStatus(addr, within)
		}),
		shore.Asking("lighthouse", "place", "SERVICE KEY: where somebody's requests go, and where next", func(_ context.Context, addr string, within time.Duration, args []string) (shore.Printer, error) {
			if len(args) != 2 {
				return nil, ff.ErrHelp
			}
			s, err := lighthouse.AskStatus(addr, within)
			if err != nil {
				return nil, err
			}
			return s.Place(args[0], args[1])
		}),
		shore.Asking("lighthouse", "whatif", "SERVICE +NAME=SLOTS -NAME ...: which share of the keys would move", func(_ context.Context, addr string, within time.Duration, args []string) (shore.Printer, error) {
			if len(args) < 2 {
				return nil, ff.ErrHelp
			}
			s, err := lighthouse.AskStatus(addr, within)
			if err != nil {
				return nil, err
			}
			return s.Whatif(args[0], args[1:])
		}),
	}
}
