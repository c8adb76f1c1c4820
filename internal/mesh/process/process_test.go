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

// drainer is a process that, once it is told to end, has something left to finish.
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
	d.signal(syscall.SIGHUP) // ends this test's process, if nobody hears it
	d.signal(syscall.SIGHUP)
	return nil
}

// signal sends one to this process, and waits for a later one that was sent behind it.
func (d *drainer) signal(s syscall.Signal) {
	behind := make(chan os.Signal, 1)
	signal.Notify(behind, syscall.SIGUSR1)
	defer signal.Stop(behind)
	for _, each := range []syscall.Signal{s, syscall.SIGUSR1} {
		if err := syscall.Kill(os.Getpid(), each); err != nil {
			d.t.Error(err)
		}
	}
	<-behind
}

// A hangup that comes while a process finishes what it has does not end it; one before has the settings read again.
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
