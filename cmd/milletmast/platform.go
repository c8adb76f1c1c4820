package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"milletmast/internal/sidecar"
)

// goMemoryShare is the share of the memory limit that the Go runtime may use. The rest is for what the runtime doesn't count, and for
// allocations during a collection.
const goMemoryShare = 0.6

const bytesPerMB = 1 << 20

// runPlatform runs the platform's program until SIGTERM or an interrupt: a sidecar with one listener and one pool, whose configuration
// RELAY_CONFIG names.
func runPlatform() error {
	hangups := make(chan os.Signal, 1) // one pending signal is enough: the file is read when it is handled
	signal.Notify(hangups, syscall.SIGHUP)
	cfg, err := loadPlatformConfig(os.Getenv)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1) // one core is all a sidecar has
	cfg.OnMemoryShare = func(share float64) {
		debug.SetMemoryLimit(int64(goMemoryShare * share * float64(cfg.MemoryMB) * bytesPerMB))
	}
	cfg.OnMemoryShare(1)
	slog.SetDefault(slog.With("name", cfg.Name))

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	s, err := sidecar.New(cfg)
	if err != nil {
		return err
	}
	go func() {
		for range hangups {
			reloadPlatform(s)
		}
	}()
	return s.Run(ctx)
}

// reloadPlatform reads the configuration again and applies the address of discovery. Other changes apply from the next start on. A file
// that cannot be used changes nothing.
func reloadPlatform(s *sidecar.Sidecar) {
	cfg, err := loadPlatformConfig(os.Getenv)
	s.CountReload(err)
	if err != nil {
		slog.Error("reject configuration", "err", err)
		return
	}
	s.SetDiscoveryAddr(cfg.Discovery)
}
