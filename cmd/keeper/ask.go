package main

import (
	"context"
	"time"

	"github.com/peterbourgon/ff/v4"

	"whinknot/internal/keeper"
	"whinknot/internal/shore"
)

// asking are the commands that ask a keeper that runs.
func asking() []*ff.Command {
	return []*ff.Command{shore.Asking("keeper", "status", "disks that count, the duty, what is held", func(_ context.Context, addr string, within time.Duration, _ []string) (shore.Printer, error) {
		return keeper.AskStatus(addr, within)
	})}
}
