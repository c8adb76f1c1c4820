package testcluster

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"syscall"
	"time"
)

// roleVariable is an environment variable with the role that Main runs instead of the program.
const roleVariable = "MILLETMAST_RIG_ROLE"

// The roles of this package besides RoleServer. Programs can have others.
const (
	roleWatchdog = "watch" // cleans up once its standard input ends
	roleBurn     = "burn"  // uses all of a core
)

// Main runs the role in which a cluster has started this process, and then exits. Without a role it returns. Programs and tests that use
// a cluster call it before anything else, with their own roles.
func Main(own ...map[string]func() error) {
	role := os.Getenv(roleVariable)
	if role == "" {
		return
	}
	roles := map[string]func() error{roleWatchdog: watchdogMain, roleBurn: burnMain, RoleServer: serverMain}
	for _, more := range own {
		maps.Copy(roles, more)
	}
	f, ok := roles[role]
	if !ok {
		fmt.Fprintf(os.Stderr, "test cluster: %s: unknown role %q\n", roleVariable, role)
		os.Exit(2)
	}
	if err := f(); err != nil {
		fmt.Fprintln(os.Stderr, "test cluster:", role+":", err)
		os.Exit(1)
	}
	os.Exit(0)
}

// watchdogMain waits for the end of the process that owns the cluster, and cleans up.
func watchdogMain() error {
	if _, err := io.Copy(io.Discard, os.Stdin); err != nil {
		fmt.Fprintln(os.Stderr, "test cluster: watchdog:", err)
	}
	killMarked(os.Getenv("RIG_ID"))
	dir := os.Getenv("RIG_DIR")
	if filepath.IsAbs(dir) {
		return os.RemoveAll(dir)
	}
	return nil
}

// killMarked kills the processes of a cluster, and repeats that for processes that these start meanwhile.
func killMarked(id string) {
	for range killRounds {
		left := markedProcesses(id)
		if len(left) == 0 {
			return
		}
		for _, pid := range left {
			_ = syscall.Kill(pid, syscall.SIGKILL) // fails if it has just ended
		}
		time.Sleep(waitPollInterval)
	}
}

// killRounds bounds the rounds of killMarked, waitPollInterval apart.
const killRounds = 200

// markedProcesses returns the processes of a cluster that have not ended.
func markedProcesses(id string) (pids []int) {
	want := []byte(clusterVariable + "=" + id)
	dirs, _ := filepath.Glob("/proc/[0-9]*")
	for _, d := range dirs {
		pid, err := strconv.Atoi(filepath.Base(d))
		if err != nil || pid == os.Getpid() {
			continue
		}
		env, err := os.ReadFile(filepath.Join(d, "environ"))
		if err != nil || !contains(env, want) {
			continue
		}
		if stat, err := os.ReadFile(filepath.Join(d, "stat")); err != nil || bytes.Contains(stat, []byte(") Z ")) {
			continue // a zombie
		}
		pids = append(pids, pid)
	}
	return pids
}

// contains reports whether an environment in the form of proc(5) contains a variable with a value.
func contains(env, want []byte) bool {
	for e := range bytes.SplitSeq(env, []byte{0}) {
		if bytes.Equal(e, want) {
			return true
		}
	}
	return false
}

// burnMain keeps a core busy until it is killed.
func burnMain() error {
	runtime.LockOSThread()
	for x := uint64(1); ; {
		for range 1 << 20 {
			x = x*6364136223846793005 + 1442695040888963407
		}
		if x == 0 {
			return nil
		}
	}
}
