package main

import (
	"bufio"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
)

// build compiles the program as the deploy file does.
func build(t *testing.T) string {
	t.Helper()
	bin := filepath.Join(t.TempDir(), "milletmast")
	if out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return bin
}

// The program serves where it is told to, and SIGTERM is a clean exit, not a crash.
func TestProgram(t *testing.T) {
	getenv := env(t, strings.Replace(good, "127.0.0.1:8443", "127.0.0.1:0", 1))
	cmd := exec.Command(build(t))
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+getenv("RELAY_CONFIG"))
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Process.Kill()
	addr := ""
	lines := bufio.NewScanner(stderr)
	for addr == "" && lines.Scan() {
		if m := regexp.MustCompile(`serving.* listen=(\S+)`).FindStringSubmatch(lines.Text()); m != nil {
			addr = m[1]
		}
	}
	res, err := http.Get("http://" + addr + "/-/ready")
	if err != nil || res.StatusCode != http.StatusOK {
		t.Fatalf("ready: %v, %v", res, err)
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for lines.Scan() { // to the end of its log
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("SIGTERM: %v", err)
	}
}

// What an operator got wrong is told in one line, and the platform sees that it did not start.
func TestProgramNamesBadConfiguration(t *testing.T) {
	getenv := env(t, strings.Replace(good, "8c1f30d27a5be964", "often", 1))
	cmd := exec.Command(build(t))
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+getenv("RELAY_CONFIG"))
	out, err := cmd.CombinedOutput()
	if err == nil || strings.Count(string(out), "\n") != 1 || !strings.Contains(string(out), "seed") {
		t.Errorf("error %v, told %q", err, out)
	}
}
