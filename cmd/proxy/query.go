package main

import (
	"context"
	"io"
	"time"

	"github.com/peterbourgon/ff/v4"

	"milletmast/internal/mesh/process"
	"milletmast/internal/mesh/proxy"
)

// requestEvents is the status report of a proxy, printed as the events of a request.
type requestEvents struct{ *proxy.Status }

// Print writes the events as text.
func (t requestEvents) Print(w io.Writer) { t.PrintEvents(w) }

// queryCommands returns the commands that query a running proxy.
func queryCommands() []*ff.Command {
	return []*ff.Command{
		process.QueryCommand(
			"proxy",
			"status",
			"configuration version, control planes, the endpoint and its admission control, services",
			func(_ context.Context, addr string, timeout time.Duration, _ []string) (process.Printer, error) {
				return proxy.QueryStatus(addr, proxy.StatusQuery{}, timeout)
			},
		),
		process.QueryCommand(
			"proxy",
			"explain",
			"the events of a request, by the id of its attempt",
			func(_ context.Context, addr string, timeout time.Duration, args []string) (process.Printer, error) {
				if len(args) != 1 {
					return nil, ff.ErrHelp
				}
				s, err := proxy.QueryStatus(addr, proxy.StatusQuery{RequestID: args[0]}, timeout)
				return requestEvents{s}, err
			},
		),
	}
}
