package main

import (
	"bufio"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// The level command prints the levels of an instance and pins them, over its control socket.
func TestLevelCommand(t *testing.T) {
	path := editedExample(t, `"127.0.0.1:8080"`, `"127.0.0.1:0"`, `"127.0.0.1:8081"`, `"127.0.0.1:0"`, `[[pool.server]]
address = "127.0.0.1:9001"`, `[[pool.level]]
name = "lean"
enter = [{ signal = "late", over = 0.5 }]
[[pool.level.shed]]
class = "browse"
[[pool.server]]
address = "127.0.0.1:9001"`)
	socket := filepath.Join(t.TempDir(), "s")
	cmd := exec.Command(buildProgram(t), "serve", "-f", path, "--control", socket)
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	killAtEnd(t, cmd)
	lines := bufio.NewScanner(stderr)
	waitForLog(t, lines, `INFO listen listener=(public)`)
	for {
		if _, err := os.Stat(socket); err == nil {
			break
		}
	}
	for _, c := range []struct {
		args  string
		want  []string // each is in what is printed, or in the error
		wrong bool
	}{
		{"", []string{"box", "normal of normal, lean", "by signals", "signals"}, false},
		{"box --pin lean --for 1h", []string{"lean of normal, lean", "by operator", "pinned", " more", "browse 100% of the callers", "normal -> lean"}, false},
		{"box --json", []string{`"level":"lean"`, `"class":"browse"`}, false},
		{"box --release", []string{"lean of", "leaves"}, false},
		{"stock", []string{`no pool "stock" with levels`}, true},
		{"stock --pin lean", []string{"has no levels"}, true},
		{"box --pin none", []string{"no such level"}, true},
		{"nowhere --release", []string{"no such pool"}, true},
		{"box --pin lean --for 48h", []string{"24h"}, true},
		{"--pin lean", []string{"need the name of the pool"}, true},
	} {
		out, _, err := runCommand(t, append([]string{"level", "--control", socket}, strings.Fields(c.args)...)...)
		if (err != nil) != c.wrong {
			t.Errorf("%q: %v", c.args, err)
		}
		if err != nil {
			out = err.Error()
		}
		for _, want := range c.want {
			if !strings.Contains(out, want) {
				t.Errorf("%q: no %q in %q", c.args, want, out)
			}
		}
	}
	sendSignal(t, cmd, syscall.SIGTERM)
	for lines.Scan() {
	}
	if err := cmd.Wait(); err != nil {
		t.Error(err)
	}
	if _, _, err := runCommand(t, "level", "--control", socket); err == nil {
		t.Error("an instance that has ended has responded")
	}
}
