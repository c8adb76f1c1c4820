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
	return []*ff.Command{shore.Asking("lighthouse", "status", "pilots, versions, endpoints, what is unwell and removed", func(_ context.Context, addr string, within time.Duration, _ []string) (shore.Printer, error) {
		return lighthouse.AskStatus(addr, within)
	})}
}
