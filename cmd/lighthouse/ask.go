package main

import (
	"context"
	"math"
	"time"

	"github.com/peterbourgon/ff/v4"

	"whinknot/internal/lighthouse"
	"whinknot/internal/shore"
)

// asking are the commands that ask a lighthouse that runs.
func asking() []*ff.Command {
	return []*ff.Command{
		about("status", "pilots, versions, endpoints, what is unwell and removed", 0, math.MaxInt, func(s *lighthouse.Status, _ []string) (shore.Printer, error) { return s, nil }),
		about("place", "SERVICE KEY: where somebody's requests go, and where next", 2, 2, func(s *lighthouse.Status, args []string) (shore.Printer, error) {
			return s.Place(args[0], args[1])
		}),
		about("whatif", "SERVICE +NAME=SLOTS -NAME ...: which share of the keys would move", 2, math.MaxInt, func(s *lighthouse.Status, args []string) (shore.Printer, error) {
			return s.Whatif(args[0], args[1:])
		}),
	}
}

// about is a command that answers from how things are, as a lighthouse sees them, with so many words at least and at most.
func about(name, help string, least, most int, answer func(*lighthouse.Status, []string) (shore.Printer, error)) *ff.Command {
	return shore.Asking("lighthouse", name, help, func(_ context.Context, addr string, within time.Duration, args []string) (shore.Printer, error) {
		if len(args) < least || len(args) > most {
			return nil, ff.ErrHelp
		}
		s, err := lighthouse.AskStatus(addr, within)
		if err != nil {
			return nil, err
		}
		return answer(s, args)
	})
}
