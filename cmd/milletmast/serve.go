package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"milletmast/internal/control"
	"milletmast/internal/operator"
	"milletmast/internal/sidecar"
	"milletmast/internal/state"
)

// lastGoodReminder is the time between two log lines about the use of the last good file instead of the given one.
const lastGoodReminder = time.Minute

// serveOptions are the flags of the serve command.
type serveOptions struct {
	path     string // of the operator file
	socket   string // control socket; "" for none
	name     string // of the instance; "" for the name in the operator file
	lastGood string // state directory with the last good operator file, the fallback for an invalid one at the start; "" for none
}

func serveCommand() *cobra.Command {
	var options serveOptions
	cmd := &cobra.Command{
		Use:   "serve -f FILE",
		Short: "Run a sidecar by an operator file",
		Long: `Runs until SIGTERM or an interrupt, then finishes the requests that it has accepted. SIGHUP reloads the file. If the file is
invalid, its errors are logged and nothing changes.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return serve(cmd, &options) },
	}
	addFileFlag(cmd, &options.path)
	cmd.Flags().StringVar(&options.socket, "control", "", "a Unix socket on which an agent may query and change this instance (default: none)")
	cmd.Flags().StringVar(&options.lastGood, "last-good", "",
		"a state directory: if the operator file is missing or invalid at the start, use its last good one")
	cmd.Flags().StringVar(&options.name, "name", "", "the name that the instance reports there (default: the name in the file)")
	return cmd
}

// serve runs an instance until SIGTERM or an interrupt, and returns after its drain.
func serve(cmd *cobra.Command, options *serveOptions) error {
	hangups := make(chan os.Signal, 1) // one pending signal is enough: the file is read when it is handled
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ctx, stop := untilTerminated(cmd.Context())
	defer stop()
	cfg, isLastGood, err := loadFileOrLastGood(cmd, options)
	if err != nil {
		return err
	}
	instance, err := sidecar.NewPersistentInstance(cfg, applyLimits, openState(cfg))
	if err != nil {
		return err
	}
	for name, addr := range instance.Addresses() {
		slog.Info("listen", "listener", name, "addr", addr)
	}
	members, leave, err := joinMembers(ctx, cfg, instance)
	if err != nil {
		return err
	}
	defer leave()
	r := &reloader{instance: instance, path: options.path, isLastGood: isLastGood, hash: cfg.Hash}
	var reloading sync.WaitGroup
	reloading.Go(func() { r.run(ctx, hangups) })
	defer reloading.Wait()
	return runInstance(ctx, stop, instance, func(ctx context.Context) error {
		if options.socket == "" {
			return nil
		}
		return control.Serve(ctx, options.socket, newControlNode(instance, members, options.name, options.path))
	})
}

// loadFileOrLastGood loads the operator file, or the last good one if the file is invalid and the options name a state directory.
func loadFileOrLastGood(cmd *cobra.Command, options *serveOptions) (cfg *operator.Config, isLastGood bool, err error) {
	cfg, err = loadFile(cmd, options.path)
	if err == nil || options.lastGood == "" {
		return cfg, false, err
	}
	cfg, err = lastGoodFile(options.lastGood, err)
	return cfg, true, err
}

// runInstance runs an instance and its control socket until ctx ends. If the control socket fails, it calls stop and the instance ends
// too. The control socket is served until the instance has ended.
func runInstance(
	ctx context.Context, stop context.CancelFunc, instance *sidecar.Instance, serveControl func(context.Context) error,
) error {
	controlCtx, endControl := context.WithCancel(context.Background())
	defer endControl()
	controlEnded, instanceEnded := make(chan error, 1), make(chan error, 1)
	go func() { controlEnded <- serveControl(controlCtx) }()
	go func() { instanceEnded <- instance.Run(ctx) }()
	select {
	case err := <-controlEnded: // the control socket failed, or there is none
		if err != nil {
			stop()
		}
		return cmp.Or(err, <-instanceEnded)
	case err := <-instanceEnded:
		endControl()
		return cmp.Or(err, <-controlEnded)
	}
}

// reloader loads the operator file again at each SIGHUP.
type reloader struct {
	instance   *sidecar.Instance
	path       string
	isLastGood bool   // whether the last good file is in force instead of the one at path
	hash       string // of the file in force at the start
}

// run reloads the file at each hangup until ctx ends, and logs a reminder while the last good file is in force.
func (r *reloader) run(ctx context.Context, hangups <-chan os.Signal) {
	reminder := time.NewTicker(lastGoodReminder)
	defer reminder.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			if reload(r.instance, r.path) {
				r.isLastGood = false
			}
		case <-reminder.C:
			if r.isLastGood {
				slog.Warn("use last good configuration", "given", r.path, "hash", r.hash[:shortHashLength])
			}
		}
	}
}

// openState opens the state that an instance keeps for its restart. It returns nil if the configuration names none or it can't be opened.
// The instance then starts without it, and an error is logged.
func openState(cfg *operator.Config) *sidecar.Persistence {
	if cfg.State.Path == "" {
		return nil
	}
	store, contents, setAside, err := state.Open(cfg.State.Path, cfg.Name)
	if setAside != nil {
		slog.Error("set aside unreadable state", "err", setAside)
	}
	if err != nil {
		slog.Error("open state folder", "err", err)
		return nil
	}
	return &sidecar.Persistence{Store: store, Loaded: contents, Interval: time.Duration(cfg.State.Every)}
}

// lastGoodFile returns the last good operator file of a state directory. cause is the error of the given file.
func lastGoodFile(path string, cause error) (*operator.Config, error) {
	contents, _, err := state.Inspect(path)
	if err != nil {
		return nil, errors.Join(cause, err)
	}
	good := contents.LastGood
	if good == nil {
		return nil, errors.Join(cause, fmt.Errorf("%s: no last good operator file is stored there", path))
	}
	cfg, err := operator.Parse(good.Path, good.Text)
	if err != nil {
		return nil, errors.Join(cause, fmt.Errorf("the last good file cannot be used either: %w", err))
	}
	slog.Warn("use last good configuration",
		"cause", cause, "applied", good.AppliedAt, "hash", cfg.Hash[:shortHashLength])
	return cfg, nil
}

// reload loads the operator file again and reports whether it is in force now. The errors of an invalid file are logged, one
// per line, and nothing changes.
func reload(instance *sidecar.Instance, path string) bool {
	cfg, err := operator.Load(path)
	if err == nil {
		var generation uint64
		if generation, err = instance.Reload(cfg); err == nil {
			slog.Info("reload configuration", "generation", generation, "hash", cfg.Hash[:shortHashLength])
			return true
		}
	}
	for line := range strings.SplitSeq(err.Error(), "\n") {
		slog.Error("reject configuration", "err", line)
	}
	return false
}

// applyLimits sets the number of cores and the memory limit of the Go runtime.
func applyLimits(limits operator.Limits) {
	runtime.GOMAXPROCS(limits.Cores)
	debug.SetMemoryLimit(int64(goMemoryShare * float64(limits.Memory)))
}

// untilTerminated returns a context that ends at SIGTERM or an interrupt.
func untilTerminated(ctx context.Context) (context.Context, context.CancelFunc) {
	if ctx == nil {
		ctx = context.Background()
	}
	return signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
}
