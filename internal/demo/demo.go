// Package demo runs a sidecar over stand-in servers in one process, with a light load, and prints tables of what it does. It
// is for a first look: it needs no file and no other program.
package demo

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"sync"
	"time"

	"milletmast/internal/operator"
	"milletmast/internal/sidecar"
)

// Options configures a demo.
type Options struct {
	Duration      time.Duration // duration of the load; 0 if only the end of the context ends it
	Address       string        // address on which the sidecar listens
	Rate          int           // requests per second, 1 to maxRate
	TableInterval time.Duration // between two tables, over 0
	Out           io.Writer     // receives the tables and the summary
	ReplaceTables bool          // whether each table replaces the one before, as on a terminal
}

const maxRate = 10_000 // requests per second

// listenerName is the name of the sidecar's listener in its configuration.
const listenerName = "demo"

// validate returns an error if no demo can run with the options.
func (o *Options) validate() error {
	if o.Rate < 1 || o.Rate > maxRate || o.TableInterval <= 0 {
		return fmt.Errorf("a rate of %d and a table every %v: allowed are 1 to %d requests a second and an interval over 0",
			o.Rate, o.TableInterval, maxRate)
	}
	return nil
}

// Run starts the stand-in servers, the sidecar and the load, and prints a table every o.TableInterval. It returns when ctx ends
// or o.Duration is over, after it has printed a summary and all that it started has ended.
func Run(ctx context.Context, o Options) error {
	if err := o.validate(); err != nil {
		return err
	}
	if o.Duration > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, o.Duration)
		defer cancel()
	}
	restoreLog := discardLog() // the tables show what the log would
	defer restoreLog()

	servers, err := startServers()
	defer closeServers(servers)
	if err != nil {
		return err
	}
	cfg, err := operator.Parse("demo.toml", []byte(operatorConfig(o.Address, servers)))
	if err != nil {
		return err
	}
	instance, err := sidecar.NewInstance(cfg, nil)
	if err != nil {
		return err
	}
	stopInstance := instance.RunInBackground() // not bound to ctx: it still serves the last requests of the load after ctx has ended
	address := instance.Addresses()[listenerName]
	fmt.Fprintf(o.Out, "a sidecar listens at %[1]s; try\n\n"+
		"    curl -i http://%[1]s/items/7\n    curl -i -d a=b http://%[1]s/plans\n\n", address)

	results := newResults()
	stopLoad := startLoad(ctx, address, o.Rate, servers, results)
	startedAt := time.Now()
	printTables(ctx, o, instance, servers)
	stopLoad()
	if err := stopInstance(); err != nil {
		return fmt.Errorf("stop sidecar: %w", err)
	}
	printSummary(o.Out, time.Since(startedAt), results)
	return nil
}

// discardLog discards log messages until the returned function is called.
func discardLog() (restore func()) {
	previous := slog.Default()
	slog.SetDefault(slog.New(slog.DiscardHandler))
	return func() { slog.SetDefault(previous) }
}

// startLoad sends requests and restarts servers until the returned function is called, which waits for the last responses.
func startLoad(ctx context.Context, address string, rate int, servers []*server, results resultsByRoute) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	running.Go(func() { sendRequests(ctx, address, rate, results) })
	for _, s := range servers {
		if s.behavior == restarting {
			running.Go(func() { restartRepeatedly(ctx, s.Server) })
		}
	}
	return func() {
		cancel()
		running.Wait()
	}
}

// printTables prints a table every o.TableInterval until ctx ends.
func printTables(ctx context.Context, o Options, instance *sidecar.Instance, servers []*server) {
	ticker := time.NewTicker(o.TableInterval)
	defer ticker.Stop()
	for first := true; ; first = false {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		text := formatTable(instance.Status(), servers, o.TableInterval)
		if o.ReplaceTables && !first {
			fmt.Fprintf(o.Out, "\x1b[%dA\x1b[J", strings.Count(text, "\n")) // cursor up, clear to the end of the screen
		}
		fmt.Fprint(o.Out, text)
	}
}
