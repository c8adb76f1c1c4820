package main

import (
	"cmp"
	"context"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"whinknot/internal/control"
	"whinknot/internal/operator"
	"whinknot/internal/sidecar"
)

func serveCommand() *cobra.Command {
	var path, socket, name string
	cmd := &cobra.Command{
		Use:   "serve -f FILE",
		Short: "Run a sidecar by an operator file",
		Long: `Runs until SIGTERM or an interrupt, then finishes what was taken. SIGHUP loads the file again, whole or not at all: what
is wrong in it is told in the log and changes nothing.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return serve(cmd, path, socket, name) },
	}
	fileFlag(cmd, &path)
	cmd.Flags().StringVar(&socket, "control", "", "a Unix socket on which an agent may ask and change this instance (default: none)")
	cmd.Flags().StringVar(&name, "name", "", "the name that it tells there (default: the file's)")
	return cmd
}

func serve(cmd *cobra.Command, path, socket, name string) error {
	hangups := make(chan os.Signal, 1) // one waiting is enough: it reads the file as it is then
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ctx, stop := interrupted(cmd.Context())
	defer stop()
	cfg, err := loadFile(cmd, path)
	if err != nil {
		return err
	}
	i, err := sidecar.NewInstance(cfg, limit)
	if err != nil {
		return err
	}
	for name, addr := range i.Addresses() {
		slog.Info("listening", "listener", name, "addr", addr)
	}
	reloads := make(chan struct{})
	go func() {
		defer close(reloads)
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangups:
				loadAgain(i, path)
			}
		}
	}()
	ended, end := context.WithCancel(context.Background())
	defer end()
	controlled := make(chan error, 1)
	if socket != "" {
		go func() { controlled <- control.Serve(ended, socket, newNode(i, name, path)) }()
	} else {
		controlled <- nil
	}
	running := make(chan error, 1)
	go func() { running <- i.Run(ctx) }()
	select {
	case err = <-controlled: // it cannot be had, or there is none
		if err != nil {
			stop()
		}
		err = cmp.Or(err, <-running)
	case err = <-running:
		end()
		err = cmp.Or(err, <-controlled)
	}
	<-reloads
	return err
}

// loadAgain loads the file again. What is wrong in it is told in the log, a line each, and changes nothing.
func loadAgain(i *sidecar.Instance, path string) {
	cfg, err := operator.Load(path)
	if err == nil {
		var number uint64
		if number, err = i.Reload(cfg); err == nil {
			slog.Info("reloaded", "generation", number, "hash", cfg.Hash[:12])
			return
		}
	}
	for line := range strings.SplitSeq(err.Error(), "\n") {
		slog.Error("configuration kept", "err", line)
	}
}

// limit puts the limits of the process in force.
func limit(l operator.Limits) {
	runtime.GOMAXPROCS(l.Cores)
	debug.SetMemoryLimit(int64(memoryPart * float64(l.Memory)))
}

// interrupted ends with SIGTERM or an interrupt.
func interrupted(ctx context.Context) (context.Context, context.CancelFunc) {
	if ctx == nil {
		ctx = context.Background()
	}
	return signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
}
