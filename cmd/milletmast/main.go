// Command milletmast is one sidecar: it takes requests over HTTP and has the decision module choose
// which endpoint of its tier serves each.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"whinknot/internal/sidecar"
)

// memoryPart is the share of the memory limit that the Go runtime may fill; the rest is room for what it
// does not count, and for the time that a collection takes.
const memoryPart = 0.6

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "milletmast:", err)
		os.Exit(1)
	}
}

func run() error {
	hangups := make(chan os.Signal, 1) // one waiting is enough: it reads the file as it is then
	signal.Notify(hangups, syscall.SIGHUP)
	cfg, err := load(os.Getenv)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1) // one core is all a sidecar has
	debug.SetMemoryLimit(int64(memoryPart * float64(cfg.MemoryMB) * (1 << 20)))
	slog.SetDefault(slog.With("name", cfg.Name))

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	s, err := sidecar.New(cfg)
	if err != nil {
		return err
	}
	go func() {
		for range hangups {
			reload(s)
		}
	}()
	return s.Run(ctx)
}

// reload reads the configuration anew for where discovery is now; the rest counts from the next start on.
// A file that cannot be used changes nothing.
func reload(s *sidecar.Sidecar) {
	cfg, err := load(os.Getenv)
	if err != nil {
		slog.Error("configuration kept", "err", err)
		return
	}
	s.Move(cfg.Discovery)
}
