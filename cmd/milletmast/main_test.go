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

// buildProgram builds the program and returns its path.
func buildProgram(t *testing.T) string {
	t.Helper()
	bin := filepath.Join(t.TempDir(), "milletmast")
	if out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return bin
}

// startProgram runs the program with a platform configuration until the test ends. It returns the lines of its log.
func startProgram(t *testing.T, getenv func(string) string) (*exec.Cmd, *bufio.Scanner) {
	t.Helper()
	cmd := exec.Command(buildProgram(t))
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

// waitForLog reads the log up to a line that matches and returns the text of the pattern's group.
func waitForLog(t *testing.T, lines *bufio.Scanner, pattern string) string {
	t.Helper()
	for lines.Scan() {
		if m := regexp.MustCompile(pattern).FindStringSubmatch(lines.Text()); m != nil {
			return m[1]
		}
	}
	t.Fatalf("the log ended without %q", pattern)
	return ""
}

// The program serves on the configured address, and exits with status 0 at SIGTERM.
func TestProgram(t *testing.T) {
	cmd, lines := startProgram(t, writePlatformConfig(t, strings.Replace(platformConfig, "127.0.0.1:8443", "127.0.0.1:0", 1)))
	addr := waitForLog(t, lines, `INFO serve .*listen=(\S+)`)
	// The line is logged when the listener accepts; the server list may be applied a moment later.
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
	for lines.Scan() { // until the log ends
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("SIGTERM: %v", err)
	}
}

// At SIGHUP the program changes the discovery address to that of the file, also during a drain. An invalid file is reported in
// one log line and changes nothing.
func TestHangupChangesDiscoveryAddress(t *testing.T) {
	getenv := writePlatformConfig(t, strings.Replace(platformConfig, "127.0.0.1:8443", "127.0.0.1:0", 1))
	cmd, lines := startProgram(t, getenv)
	waitForLog(t, lines, `(INFO serve )`)
	for _, c := range []struct{ text, logPattern string }{
		{"{", `(reject configuration)`},
		{strings.Replace(platformConfig, "127.0.0.1:8500", "127.0.0.1:8501", 1), `change discovery address.* addr=(127.0.0.1:8501)`},
		{strings.Replace(platformConfig, "127.0.0.1:8500", "127.0.0.1:8502", 1), `change discovery address.* addr=(127.0.0.1:8502)`},
	} {
		if err := os.WriteFile(getenv("RELAY_CONFIG"), []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		if strings.Contains(c.text, "8502") {
			sendSignal(t, cmd, syscall.SIGTERM)
		}
		sendSignal(t, cmd, syscall.SIGHUP)
		waitForLog(t, lines, c.logPattern)
	}
	for lines.Scan() {
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
}

// A SIGHUP that arrives before the program handles it, as when a sidecar is reconfigured during its start, must not end the program. The
// command of the deploy file ignores the signal until then. Once the program serves, SIGHUP reloads the file.
func TestHangupDuringStart(t *testing.T) {
	deploy, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	run := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(deploy)
	if run == nil {
		t.Fatal("the deploy file has no run")
	}
	bin := buildProgram(t)
	command := strings.Replace(string(run[1]), "bin/milletmast", bin, 1)
	for range 10 {
		getenv := writePlatformConfig(t, strings.Replace(platformConfig, "127.0.0.1:8443", "127.0.0.1:0", 1))
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
			waitForLog(t, lines, `(INFO serve )`)
			close(serving)
		}()
		for isServing := false; !isServing; {
			select {
			case <-serving:
				isServing = true
			case <-time.After(200 * time.Microsecond):
				// No signal is sent to the shell: it may not have run the command that ignores the signal yet.
				if name, err := os.Readlink("/proc/" + strconv.Itoa(cmd.Process.Pid) + "/exe"); err == nil && name == bin {
					sendSignal(t, cmd, syscall.SIGHUP)
				}
			}
		}
		if err := os.WriteFile(getenv("RELAY_CONFIG"), []byte("{"), 0o600); err != nil {
			t.Fatal(err)
		}
		sendSignal(t, cmd, syscall.SIGHUP)
		waitForLog(t, lines, `(reject configuration)`)
		sendSignal(t, cmd, syscall.SIGTERM)
		for lines.Scan() {
		}
		if err := cmd.Wait(); err != nil {
			t.Fatalf("exit: %v", err)
		}
	}
}

// For an invalid configuration the program prints one line that names the field, and exits with a failure status.
func TestProgramNamesBadConfiguration(t *testing.T) {
	getenv := writePlatformConfig(t, strings.Replace(platformConfig, "8c1f30d27a5be964", "often", 1))
	cmd := exec.Command(buildProgram(t))
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+getenv("RELAY_CONFIG"))
	out, err := cmd.CombinedOutput()
	if err == nil || strings.Count(string(out), "\n") != 1 || !strings.Contains(string(out), "seed") {
		t.Errorf("error %v, printed %q", err, out)
	}
}

// An upgrade as the platform does it: a second process is started beside the first, with another admin address. Once it reports
// healthy, the first gets SIGTERM and exits with status 0. The second must keep the endpoint that was cordoned at the first.
func TestProgramUpgrade(t *testing.T) {
	extraTarget := `"targets":[{"uid":"s-2","endpoint":"127.0.0.1:10","az":"z","state":"Ready"},`
	getenv := writePlatformConfig(t, strings.NewReplacer("127.0.0.1:8443", freeport.AddressForTest(t), `"targets":[`, extraTarget).Replace(platformConfig))
	folder, bin := t.TempDir(), buildProgram(t)
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
	waitUntilHealthy := func(base string) {
		t.Helper()
		for end := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
			if res, err := http.Get(base + "health"); err == nil {
				res.Body.Close()
				if res.StatusCode == http.StatusOK {
					return
				}
			}
			if time.Now().After(end) {
				t.Fatal("not healthy after 10 s")
			}
		}
	}
	old, first := serve()
	waitUntilHealthy(first)
	if res, err := http.Post(first+"cordon?name=s-none", "", nil); err != nil || res.StatusCode != http.StatusNotFound {
		t.Errorf("cordon of an unknown endpoint: %v, %v", res, err)
	}
	if res, err := http.Post(first+"cordon?name=s-1", "", nil); err != nil || res.StatusCode != http.StatusOK {
		t.Errorf("cordon: %v, %v", res, err)
	}
	next, second := serve()
	waitUntilHealthy(second)
	sendSignal(t, old, syscall.SIGTERM)
	if err := old.Wait(); err != nil {
		t.Errorf("the old process: %v", err)
	}
	waitUntilHealthy(second)
	res, err := http.Get(second + "stats")
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	if text, err := io.ReadAll(res.Body); err != nil || !strings.Contains(string(text), "sidecar_members_held 1\n") {
		t.Errorf("the new process does not keep the endpoint cordoned: %v\n%s", err, text)
	}
	sendSignal(t, next, syscall.SIGTERM)
	if err := next.Wait(); err != nil {
		t.Errorf("the new process: %v", err)
	}
}
