//go:build mixedversions

package compat

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// This test runs programs of two versions side by side. It needs binaries of both, so it is not part of CI:
//
//	go test -tags mixedversions ./internal/mesh/compat -run MixedVersions -old DIR -new DIR
var (
	oldPrograms = flag.String("old", "", "directory with the programs of the earlier version, which are named pilot, lighthouse and keeper")
	newPrograms = flag.String("new", "", "directory with the programs of this version")
)

// oldNames are the earlier names of the programs.
var oldNames = map[string]string{"proxy": "pilot", "controlplane": "lighthouse", "configstore": "keeper"}

const mixedConfig = `{"epoch":"r%d","routes":{"attributes":["name","authority","path_prefix","route_class","deadline_s","target_latency_s","priority","target","max_tries"],
"tuples":[["a","shop.example","/read/","safe",2,0.5,2,"one",2]]},
"services":{"attributes":["name","probe_path","max_conns","warmup_s","warmup_per_s"],"tuples":[["one","/health",100,1,10]]}}`

// cluster is three core machines, each with a configuration store and a control plane, and two proxies.
type cluster struct {
	t       *testing.T
	dir     string
	running map[string]*exec.Cmd
}

func coreIP(i int) string { return fmt.Sprintf("127.0.11.%d", i+1) }

// settings writes the settings file of a process and returns its path; extra is added to the common settings.
func (c *cluster) settings(name, ip, extra string) string {
	c.t.Helper()
	text := fmt.Sprintf("node=%s\nip=%s\nzone=z\nregion=r\nzones.z=r\nephemeral_ports=7620,7635\nseeds=%s:8306,%s:8306,%s:8306\nbootstrap=true\nlimits.memory_mb=200\nlimits.file_descriptors=1000\n%s", name, ip, coreIP(0), coreIP(1), coreIP(2), extra)
	path := filepath.Join(c.dir, name+".conf")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
	return path
}

// start starts a program of the new or the old version on a machine, in place of the process of that program that runs there.
func (c *cluster) start(program, name, ip, extra string, isNew bool) {
	c.t.Helper()
	c.stop(program + name)
	path := filepath.Join(*newPrograms, program)
	if !isNew {
		path = filepath.Join(*oldPrograms, oldNames[program])
	}
	cmd := exec.Command(path, "run")
	cmd.Env = append(os.Environ(), "MILLETMAST_NODE_FILE="+c.settings(program+name, ip, extra))
	log, err := os.OpenFile(filepath.Join(c.dir, program+name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		c.t.Fatal(err)
	}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
	c.running[program+name] = cmd
}

// stop kills a process, which does not shut down and leaves its state on disk as it is.
func (c *cluster) stop(key string) {
	if cmd := c.running[key]; cmd != nil {
		_ = cmd.Process.Signal(syscall.SIGKILL)
		_ = cmd.Wait()
		delete(c.running, key)
	}
}

// startCore starts the store and the control plane of a core machine.
func (c *cluster) startCore(i int, isNew bool) {
	name := fmt.Sprint("core", i)
	state := filepath.Join(c.dir, name)
	c.start("configstore", name, coreIP(i), "state_dir="+state+"\nin_quorum=true\n", isNew)
	c.start("controlplane", name, coreIP(i), "bind.control="+coreIP(i)+":8306\nserves=control_plane\n", isNew)
}

// call calls the control API of a core machine until the response has the wanted status, and returns its body.
func (c *cluster) call(method, url, body string, want int) string {
	c.t.Helper()
	last := ""
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); {
		req, err := http.NewRequest(method, url, strings.NewReader(body))
		if err != nil {
			c.t.Fatal(err)
		}
		r, err := http.DefaultClient.Do(req)
		if err != nil {
			last = err.Error()
			continue
		}
		text, _ := io.ReadAll(r.Body)
		r.Body.Close()
		if r.StatusCode == want {
			return string(text)
		}
		last = r.Status + " " + string(text)
	}
	c.t.Fatalf("%s %s: %s, want %d", method, url, last, want)
	return ""
}

// TestMixedVersions upgrades a core of the earlier version a machine at a time, takes one machine back, and checks each time that a configuration is
// acknowledged and that every machine returns it. A proxy of either version is ready throughout.
func TestMixedVersions(t *testing.T) {
	c := &cluster{t: t, dir: t.TempDir(), running: map[string]*exec.Cmd{}}
	defer func() {
		for key := range c.running {
			c.stop(key)
		}
	}()
	for i := range 3 {
		c.startCore(i, false)
	}
	version := 0
	check := func(what string) {
		t.Helper()
		version++
		config := fmt.Sprintf(mixedConfig, version)
		c.call("POST", "http://"+coreIP(version%3)+":8306/api/Config.Replace", config, http.StatusOK)
		for i := range 3 {
			if got := c.call("GET", "http://"+coreIP(i)+":8306/api/Config.Read", "", http.StatusOK); !bytes.Equal([]byte(got), []byte(config)) {
				t.Errorf("%s: machine %d reads %.40s", what, i, got)
			}
		}
		t.Logf("%s: r%d is acknowledged, and read at every machine", what, version)
	}
	check("all machines old")
	for n, isNew := range []bool{false, true} {
		ip := fmt.Sprintf("127.0.11.%d", 8+n)
		c.start("proxy", fmt.Sprint("p", n), ip, fmt.Sprintf("bind.inbound=%[1]s:8300\nbind.outbound=%[1]s:8304\nbind.readiness=%[1]s:8302\nbind.control=%[1]s:8306\nlocal_app=%[1]s:8301\ntarget=one\n", ip), isNew)
	}
	checkProxiesReady := func() {
		t.Helper()
		for n := range 2 {
			c.call("GET", fmt.Sprintf("http://127.0.11.%d:8302/api/readiness", 8+n), "", http.StatusOK)
		}
	}
	checkProxiesReady()
	for i := range 3 {
		c.startCore(i, true)
		check(fmt.Sprintf("machine %d new", i))
		checkProxiesReady()
	}
	c.startCore(1, false)
	check("machine 1 old again, on the disk that the new program wrote")
	checkProxiesReady()
	c.startCore(1, true)
	check("all machines new")
	checkProxiesReady()
}
