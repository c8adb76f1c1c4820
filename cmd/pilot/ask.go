package main

import (
	"context"
	"io"
	"time"

	"github.com/peterbourgon/ff/v4"

	"whinknot/internal/pilot"
	"whinknot/internal/shore"
)

// told is the story of a request, as a pilot tells it.
type told struct{ *pilot.Status }

// Print writes the story.
func (t told) Print(w io.Writer) { t.PrintStory(w) }

// asking are the commands that ask a pilot that runs.
func asking() []*ff.Command {
	return []*ff.Command{
		shore.Asking("pilot", "status", "version, lighthouses, the endpoint and its gate, services", func(_ context.Context, addr string, within time.Duration, _ []string) (shore.Printer, error) {
			return pilot.Ask(addr, pilot.Question{}, within)
		}),
		shore.Asking("pilot", "explain", "the story of a request, by the id of its try", func(_ context.Context, addr string, within time.Duration, args []string) (shore.Printer, error) {
			if len(args) != 1 {
				return nil, ff.ErrHelp
			}
			s, err := pilot.Ask(addr, pilot.Question{Request: args[0]}, within)
			return told{s}, err
		}),
	}
}
