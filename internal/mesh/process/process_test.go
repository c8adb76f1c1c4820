package process

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/rs/zerolog"

	"milletmast/internal/mesh/nodeconfig"
)

// drainer is a process that still receives signals while it drains.
type drainer struct {
	t       *testing.T
	changed chan bool
}

func (d *drainer) SettingsChanged(*nodeconfig.Settings) { d.changed <- true }

func (d *drainer) Run(ctx context.Context) error {
	d.signal(syscall.SIGHUP)
	<-d.changed
	d.signal(syscall.SIGTERM)
	<-ctx.Done()
	d.signal(syscall.SIGHUP) // ends the process of this test unless it is handled
	d.signal(syscall.SIGHUP)
	return nil
}

// signal sends a signal to this process, and waits until a second signal that was sent after it is received.
func (d *drainer) signal(s syscall.Signal) {
	second := make(chan os.Signal, 1)
	signal.Notify(second, syscall.SIGUSR1)
	defer signal.Stop(second)
	for _, each := range []syscall.Signal{s, syscall.SIGUSR1} {
		if err := syscall.Kill(os.Getpid(), each); err != nil {
			d.t.Error(err)
		}
	}
	<-second
}

// A SIGHUP during a drain does not end the process. A SIGHUP before that reloads the settings.
func TestHangupDoesNotEndADrainingProcess(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.conf")
	text := "node=a\nip=127.0.0.1\nzone=z\nseeds=127.0.0.1:8306\nephemeral_ports=7620,7635\n"
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv(nodeconfig.PathVariable, path)
	d := &drainer{t, make(chan bool, 4)}
	code := Execute("test", []string{"run"}, func(*nodeconfig.Settings, zerolog.Logger) (Process, error) { return d, nil })
	if code != 0 {
		t.Fatal(fmt.Sprint("exit code ", code))
	}
}
