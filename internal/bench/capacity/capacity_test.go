package capacity

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"reflect"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"milletmast/internal/mesh/configstore"
	"milletmast/internal/mesh/controlplane"
	"milletmast/internal/mesh/process"
	"milletmast/internal/mesh/proxy"
	"milletmast/internal/mesh/registry"
)

// programVariable names the program of the mesh that the test binary runs instead of the tests.
const programVariable = "CAPACITY_TEST_PROGRAM"

func TestMain(m *testing.M) {
	switch program := os.Getenv(programVariable); program {
	case "":
	case "controlplane":
		os.Exit(process.Execute(program, []string{"run"}, controlplane.New))
	case "configstore":
		os.Exit(process.Execute(program, []string{"run"}, configstore.New))
	case "proxy":
		os.Exit(process.Execute(program, []string{"run"}, proxy.New))
	default: // running the tests here would start further processes
		fmt.Fprintln(os.Stderr, "no program", program)
		os.Exit(2)
	}
	goleak.VerifyTestMain(m)
}

func testBinary(program string) *exec.Cmd {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), programVariable+"="+program)
	return cmd
}

// The counts of the tool must agree with the status of the processes, control planes must see a stub proxy like a real one except for
// names and addresses, and all started processes must end.
func TestStubProxiesMatchRealProxy(t *testing.T) {
	const count = 30
	c, err := newCluster(t.Context(), testBinary, 3)
	if err != nil {
		t.Fatal(err)
	}
	ended := false
	defer func() {
		if !ended {
			c.stop()
		}
	}()
	if _, _, err := c.replaceConfig(t.Context(), 20); err != nil {
		t.Fatal(err)
	}
	p, err := c.startProxy(t.Context(), "real", 1, serviceName(0))
	if err != nil {
		t.Fatal(err)
	}
	defer p.close()
	f := newStubFleet(t.Context(), c, count, count)
	defer f.stop()
	if err := f.start(t.Context(), count); err != nil {
		t.Fatal(err)
	}
	if err := f.waitSettled(t.Context()); err != nil {
		t.Fatal(err)
	}
	w := f.proxies[3].changeEndpoint()
	if err := waitFor(t.Context(), "a change to reach all proxies", func() bool { return w.count() == count }); err != nil {
		t.Fatal(err)
	}
	if per := float64(w.bytes) / count; per < 50 || per > 1000 {
		t.Errorf("a change is %v bytes to each proxy", per)
	}
	if err := f.waitSettled(t.Context()); err != nil {
		t.Fatal(err)
	}
	completeUpdates, maxBytes := f.completeUpdates.Load(), f.maxCompleteBytes.Load()
	for i, m := range c.machines {
		s, err := controlplane.QueryStatus(c.discoveryAddr(m), requestTimeout)
		if err != nil {
			t.Fatal(err)
		}
		if len(s.Proxies) != count+1 || s.ConfigVersion != c.version {
			t.Fatalf("control plane %d knows %d proxies and version %d, the tool %d and %d", i, len(s.Proxies), s.ConfigVersion, count+1, c.version)
		}
		at := slices.IndexFunc(s.Proxies, func(p controlplane.ProxyStatus) bool { return p.Node == "real" })
		realStatus := comparableStatus(t, s.Proxies[at])
		for k, known := range s.Proxies {
			if k == at {
				continue
			}
			var n int
			if _, err := fmt.Sscanf(known.Node, "side-%d", &n); err != nil {
				t.Fatalf("%q is no name of the tool's", known.Node)
			}
			own := f.proxies[n]
			if !reflect.DeepEqual(known.NodeRecord, own.record) || known.ConfigVersion != own.configVersion.Load() || !known.Connected {
				t.Errorf("control plane %d knows %+v of %+v", i, known, own.record)
			}
			if stub := comparableStatus(t, known); !reflect.DeepEqual(stub, realStatus) {
				t.Errorf("control plane %d reports a stub proxy and a real one differently:\n%+v\n%+v", i, stub, realStatus)
			}
		}
	}
	for _, own := range f.proxies {
		own.mu.Lock()
		nodes := own.clientState.Nodes()
		own.mu.Unlock()
		if len(nodes) != count+1 {
			t.Errorf("%s holds %d records", own.record.Node, len(nodes))
		}
	}
	if completeUpdates != count || maxBytes < 30*count {
		t.Errorf("%d complete updates for %d proxies, the largest of %d bytes", completeUpdates, count, maxBytes)
	}
	pids := []int{p.process.cmd.Process.Pid}
	for _, m := range c.machines {
		pids = append(pids, m.controlPlane.cmd.Process.Pid, m.configStore.cmd.Process.Pid)
		if m.controlPlane.cpu() <= 0 || m.configStore.memory() <= 0 {
			t.Error("the system does not report the processor time or memory of a process")
		}
	}
	f.stop()
	c.stop()
	ended = true
	for _, pid := range pids {
		if err := syscall.Kill(pid, 0); !errors.Is(err, syscall.ESRCH) {
			t.Errorf("process %d has not ended: %v", pid, err)
		}
	}
	if _, err := os.Stat(c.dir); !os.IsNotExist(err) {
		t.Errorf("%s is left: %v", c.dir, err)
	}
}

// comparableStatus checks the fields of a proxy's status that differ between proxies, such as names, addresses and counts, and returns the
// status without them.
func comparableStatus(t *testing.T, p controlplane.ProxyStatus) controlplane.ProxyStatus {
	t.Helper()
	if age := time.Since(time.Unix(0, int64(p.Incarnation))); age < 0 || age > time.Minute {
		t.Errorf("%s: its incarnation started %v ago", p.Node, age)
	}
	for _, addr := range []string{p.InboundAddr, p.PeerAddr} {
		if _, err := netip.ParseAddrPort(addr); err != nil {
			t.Errorf("%s: %v", p.Node, err)
		}
	}
	if p.LastPushed == 0 || p.LastAcked != p.LastPushed || p.Sequence == 0 {
		t.Errorf("%s: %d of %d acknowledged, record %d", p.Node, p.LastAcked, p.LastPushed, p.Sequence)
	}
	if p.Endpoint == nil || p.Endpoint.ID != "i-"+p.Node || !slices.Contains([]int{9, 10, endpointCapacity}, p.Endpoint.Capacity) || !strings.HasPrefix(p.Endpoint.Target, "service") {
		t.Fatalf("%s: endpoint %+v", p.Node, p.Endpoint)
	}
	p.Endpoint = &registry.Endpoint{State: p.Endpoint.State, WarmupLeft: p.Endpoint.WarmupLeft}
	p.Node, p.Zone, p.InboundAddr, p.PeerAddr, p.Incarnation, p.Sequence, p.LastPushed, p.LastAcked = "", "", "", "", 0, 0, 0, 0
	return p
}

// A table must contain the median and the spread of values, with three significant digits.
func TestPrintTable(t *testing.T) {
	tab := newTable()
	for _, v := range []float64{3, 1, 2} {
		tab.add("a thing, ms", 30, v)
	}
	tab.add("a thing, ms", 100, 12345.6)
	tab.add("another", 100, 0.00012345)
	var out strings.Builder
	tab.print(&out, "part")
	want := "\n| part | 30 | 100 |\n| --- | --- | --- |\n| a thing, ms | 2 (1–3) | 12346 |\n| another |  | 0.000123 |\n"
	if out.String() != want {
		t.Errorf("%q, want %q", out.String(), want)
	}
}

// Invalid arguments must be rejected before anything starts.
func TestInvalidArguments(t *testing.T) {
	for _, bad := range []string{"-sizes 0", "-sizes 10001", "-sizes a", "-loads ,", "-runs 0", "-machines 20", "-wave 0", "-nothing"} {
		var out strings.Builder
		if err := Run(strings.Fields(bad), &out); err == nil || out.Len() > 0 {
			t.Errorf("%s: %v, %q", bad, err, out.String())
		}
	}
}
