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

// goMemoryShare is the fraction of the memory limit that the Go runtime may use. The rest is for memory that the runtime does not count,
// and for allocations during a garbage collection.
const goMemoryShare = 0.6

const bytesPerMB = 1 << 20

// runPlatform runs a sidecar of the platform until SIGTERM or an interrupt. It has one listener and one pool, and RELAY_CONFIG names its
// configuration file.
func runPlatform() error {
	hangups := make(chan os.Signal, 1) // one pending signal is enough: the file is read when it is handled
	signal.Notify(hangups, syscall.SIGHUP)
	cfg, err := loadPlatformConfig(os.Getenv)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1) // the platform gives a sidecar one core
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

// reloadPlatform reads the configuration again and applies the address of discovery. Other changes apply from the next start on. An
// invalid file changes nothing.
func reloadPlatform(s *sidecar.Sidecar) {
	cfg, err := loadPlatformConfig(os.Getenv)
	s.CountReload(err)
	if err != nil {
		slog.Error("reject configuration", "err", err)
		return
	}
	s.SetDiscoveryAddr(cfg.Discovery)
}
