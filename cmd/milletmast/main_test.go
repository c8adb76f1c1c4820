package main

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"milletmast/internal/freeport"
	"milletmast/internal/testcluster"
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

// program runs the program on a configuration until the test ends. It returns the lines of its log.
func program(t *testing.T, getenv func(string) string) (*exec.Cmd, *bufio.Scanner) {
	t.Helper()
	cmd := exec.Command(build(t))
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+getenv("RELAY_CONFIG"))
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	killAtEnd(t, cmd)
	return cmd, bufio.NewScanner(stderr)
}

// killAtEnd kills a process at the end of the test if it still runs then.
func killAtEnd(t *testing.T, cmd *exec.Cmd) {
	t.Helper()
	t.Cleanup(func() {
		if err := cmd.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
			t.Error(err)
		}
	})
}

// sendSignal sends a signal to a process that must still run.
func sendSignal(t *testing.T, cmd *exec.Cmd, sig syscall.Signal) {
	t.Helper()
	if err := cmd.Process.Signal(sig); err != nil {
		t.Fatal(err)
	}
}

// logged reads the log up to a line that matches and returns what the pattern's group holds.
func logged(t *testing.T, lines *bufio.Scanner, pattern string) string {
	t.Helper()
	for lines.Scan() {
		if m := regexp.MustCompile(pattern).FindStringSubmatch(lines.Text()); m != nil {
			return m[1]
		}
	}
	t.Fatalf("the log ended without %q", pattern)
	return ""
}

// The program serves where it is told to, and SIGTERM is a clean exit, not a crash.
func TestProgram(t *testing.T) {
	cmd, lines := program(t, env(t, strings.Replace(good, "127.0.0.1:8443", "127.0.0.1:0", 1)))
	addr := logged(t, lines, `INFO serve .*listen=(\S+)`)
	// The line is logged when the listener accepts; the loop may apply the list of servers a moment later.
	ready := func() bool {
		res, err := http.Get("http://" + addr + "/-/ready")
		if err != nil {
			t.Fatal(err)
		}
		defer res.Body.Close()
		return res.StatusCode == http.StatusOK
	}
	if err := testcluster.WaitFor(t.Context(), "the program is ready", 5*time.Second, ready); err != nil {
		t.Fatal(err)
	}
	sendSignal(t, cmd, syscall.SIGTERM)
	for lines.Scan() { // to the end of its log
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("SIGTERM: %v", err)
	}
}

// SIGHUP, which ends a program that does not handle it, moves discovery to where the file says now. A file that
// cannot be used is told in one line and changes nothing. It is legal during a drain as well.
func TestHangupMovesDiscovery(t *testing.T) {
	getenv := env(t, strings.Replace(good, "127.0.0.1:8443", "127.0.0.1:0", 1))
	cmd, lines := program(t, getenv)
	logged(t, lines, `(INFO serve )`)
	for _, c := range []struct{ text, signs string }{
		{"{", `(reject configuration)`},
		{strings.Replace(good, "127.0.0.1:8500", "127.0.0.1:8501", 1), `change discovery address.* addr=(127.0.0.1:8501)`},
		{strings.Replace(good, "127.0.0.1:8500", "127.0.0.1:8502", 1), `change discovery address.* addr=(127.0.0.1:8502)`},
	} {
		if err := os.WriteFile(getenv("RELAY_CONFIG"), []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		if strings.Contains(c.text, "8502") {
			sendSignal(t, cmd, syscall.SIGTERM)
		}
		sendSignal(t, cmd, syscall.SIGHUP)
		logged(t, lines, c.signs)
	}
	for lines.Scan() {
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
}

// A SIGHUP that comes before the program listens to it, as a new configuration for a sidecar that is just starting, must not end it: the
// deploy file's command ignores it until then, and the file is read afterwards. After that it is heard.
func TestHangupDuringStart(t *testing.T) {
	deploy, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	run := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(deploy)
	if run == nil {
		t.Fatal("the deploy file has no run")
	}
	bin := build(t)
	command := strings.Replace(string(run[1]), "bin/milletmast", bin, 1)
	for range 10 {
		getenv := env(t, strings.Replace(good, "127.0.0.1:8443", "127.0.0.1:0", 1))
		cmd := exec.Command("/bin/sh", "-c", command)
		cmd.Env = append(os.Environ(), "RELAY_CONFIG="+getenv("RELAY_CONFIG"))
		stderr, err := cmd.StderrPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		killAtEnd(t, cmd)
		serving := make(chan bool)
		lines := bufio.NewScanner(stderr)
		go func() {
			logged(t, lines, `(INFO serve )`)
			close(serving)
		}()
		for up := false; !up; {
			select {
			case <-serving:
				up = true
			case <-time.After(200 * time.Microsecond):
				// The shell itself is not the program yet, and may still have to read the command that has it ignore the signal.
				if name, err := os.Readlink("/proc/" + strconv.Itoa(cmd.Process.Pid) + "/exe"); err == nil && name == bin {
					sendSignal(t, cmd, syscall.SIGHUP)
				}
			}
		}
		if err := os.WriteFile(getenv("RELAY_CONFIG"), []byte("{"), 0o600); err != nil {
			t.Fatal(err)
		}
		sendSignal(t, cmd, syscall.SIGHUP)
		logged(t, lines, `(reject configuration)`)
		sendSignal(t, cmd, syscall.SIGTERM)
		for lines.Scan() {
		}
		if err := cmd.Wait(); err != nil {
			t.Fatalf("exit: %v", err)
		}
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

// An upgrade as the platform does it: the program is started a second time beside the first, with another address for
// operators; once that says yes the first is told to end, and does so cleanly.
func TestProgramUpgrade(t *testing.T) {
	two := `"targets":[{"uid":"s-2","endpoint":"127.0.0.1:10","az":"z","state":"Ready"},`
	getenv := env(t, strings.NewReplacer("127.0.0.1:8443", freeport.AddressForTest(t), `"targets":[`, two).Replace(good))
	folder, bin := t.TempDir(), build(t)
	serve := func() (*exec.Cmd, string) {
		addr := freeport.AddressForTest(t)
		cmd := exec.Command(bin)
		cmd.Env = append(os.Environ(), "RELAY_CONFIG="+getenv("RELAY_CONFIG"), "RELAY_MGMT="+addr, "TMPDIR="+folder)
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		killAtEnd(t, cmd)
		return cmd, "http://" + addr + "/admin/"
	}
	ready := func(base string) {
		t.Helper()
		for end := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
			if res, err := http.Get(base + "health"); err == nil {
				res.Body.Close()
				if res.StatusCode == http.StatusOK {
					return
				}
			}
			if time.Now().After(end) {
				t.Fatal("never ready")
			}
		}
	}
	old, first := serve()
	ready(first)
	if res, err := http.Post(first+"cordon?name=s-none", "", nil); err != nil || res.StatusCode != http.StatusNotFound {
		t.Errorf("an endpoint that is not there: %v, %v", res, err)
	}
	if res, err := http.Post(first+"cordon?name=s-1", "", nil); err != nil || res.StatusCode != http.StatusOK {
		t.Errorf("out: %v, %v", res, err)
	}
	next, second := serve()
	ready(second)
	sendSignal(t, old, syscall.SIGTERM)
	if err := old.Wait(); err != nil {
		t.Errorf("the old process: %v", err)
	}
	ready(second)
	res, err := http.Get(second + "stats")
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	if text, err := io.ReadAll(res.Body); err != nil || !strings.Contains(string(text), "sidecar_members_held 1\n") {
		t.Errorf("the new process does not hold out what the old one did: %v\n%s", err, text)
	}
	sendSignal(t, next, syscall.SIGTERM)
	if err := next.Wait(); err != nil {
		t.Errorf("the new process: %v", err)
	}
}
