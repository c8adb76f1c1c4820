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

	"whinknot/internal/beacon"
	"whinknot/internal/keeper"
	"whinknot/internal/lighthouse"
	"whinknot/internal/pilot"
	"whinknot/internal/shore"
)

// programVariable has the test's own binary run one of the mesh's programs, as the program of that name does.
const programVariable = "CAPACITY_TEST_PROGRAM"

func TestMain(m *testing.M) {
	switch program := os.Getenv(programVariable); program {
	case "lighthouse":
		os.Exit(shore.Execute(program, []string{"run"}, lighthouse.New))
	case "keeper":
		os.Exit(shore.Execute(program, []string{"run"}, keeper.New))
	case "pilot":
		os.Exit(shore.Execute(program, []string{"run"}, pilot.New))
	}
	goleak.VerifyTestMain(m)
}

func itself(program string) *exec.Cmd {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), programVariable+"="+program)
	return cmd
}

// What the tool counts at 30 pilots is what the processes say of themselves, a hollow pilot is to lighthouses what a real one is but for
// its name, and all that was started ends.
func TestThirtyHollowPilotsBesideARealOne(t *testing.T) {
	const count = 30
	c, err := newCore(t.Context(), itself, 3)
	if err != nil {
		t.Fatal(err)
	}
	ended := false
	defer func() {
		if !ended {
			c.end()
		}
	}()
	if _, _, err := c.order(t.Context(), 20); err != nil {
		t.Fatal(err)
	}
	p, err := c.pilot(t.Context(), "real", 1, service(0))
	if err != nil {
		t.Fatal(err)
	}
	defer p.close()
	f := newHollows(t.Context(), c, count, count)
	defer f.end()
	if err := f.begin(t.Context(), count); err != nil {
		t.Fatal(err)
	}
	if err := f.quiet(t.Context()); err != nil {
		t.Fatal(err)
	}
	w := f.pilots[3].change()
	if err := until(t.Context(), "a change at all", func() bool { return w.count() == count }); err != nil {
		t.Fatal(err)
	}
	if per := float64(w.bytes) / count; per < 50 || per > 1000 {
		t.Errorf("a change is %v bytes to each pilot", per)
	}
	if err := f.quiet(t.Context()); err != nil {
		t.Fatal(err)
	}
	wholes, most := f.wholes.Load(), f.wholeMost.Load()
	for i, m := range c.machines {
		s, err := lighthouse.AskStatus(c.lighthouse(m), askTime)
		if err != nil {
			t.Fatal(err)
		}
		if len(s.Pilots) != count+1 || s.Version != c.version {
			t.Fatalf("lighthouse %d knows %d pilots and version %d, the tool %d and %d", i, len(s.Pilots), s.Version, count+1, c.version)
		}
		at := slices.IndexFunc(s.Pilots, func(p lighthouse.PilotStatus) bool { return p.Node == "real" })
		real := plain(t, s.Pilots[at])
		for k, known := range s.Pilots {
			if k == at {
				continue
			}
			var n int
			if _, err := fmt.Sscanf(known.Node, "side-%d", &n); err != nil {
				t.Fatalf("%q is no name of the tool's", known.Node)
			}
			own := f.pilots[n]
			if !reflect.DeepEqual(known.Sheet, own.sheet) || known.Holds != own.version.Load() || !known.Connected {
				t.Errorf("lighthouse %d knows %+v of %+v", i, known, own.sheet)
			}
			if hollow := plain(t, known); !reflect.DeepEqual(hollow, real) {
				t.Errorf("lighthouse %d tells a hollow pilot from a real one:\n%+v\n%+v", i, hollow, real)
			}
		}
	}
	for _, own := range f.pilots {
		own.mu.Lock()
		nodes := own.room.Nodes()
		own.mu.Unlock()
		if len(nodes) != count+1 {
			t.Errorf("%s holds %d sheets", own.sheet.Node, len(nodes))
		}
	}
	if wholes != count || most < 30*count {
		t.Errorf("%d whole pictures for %d pilots, the largest of %d bytes", wholes, count, most)
	}
	pids := []int{p.child.cmd.Process.Pid}
	for _, m := range c.machines {
		pids = append(pids, m.lighthouse.cmd.Process.Pid, m.keeper.cmd.Process.Pid)
		if m.lighthouse.cpu() <= 0 || m.keeper.memory() <= 0 {
			t.Error("the system does not tell what a process takes")
		}
	}
	f.end()
	c.end()
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

// plain is what a lighthouse says of a pilot without its names and the count of what it was told, which are checked here.
func plain(t *testing.T, p lighthouse.PilotStatus) lighthouse.PilotStatus {
	t.Helper()
	if age := time.Since(time.Unix(0, int64(p.Life))); age < 0 || age > time.Minute {
		t.Errorf("%s: its life is of %v ago", p.Node, age)
	}
	for _, addr := range []string{p.Inbound, p.Talk} {
		if _, err := netip.ParseAddrPort(addr); err != nil {
			t.Errorf("%s: %v", p.Node, err)
		}
	}
	if p.Pushed == 0 || p.Acked != p.Pushed || p.Number == 0 {
		t.Errorf("%s: %d of %d acknowledged, sheet %d", p.Node, p.Acked, p.Pushed, p.Number)
	}
	if p.Endpoint == nil || p.Endpoint.ID != "i-"+p.Node || !slices.Contains([]int{9, 10, hopSlots}, p.Endpoint.Capacity) || !strings.HasPrefix(p.Endpoint.Target, "service") {
		t.Fatalf("%s: endpoint %+v", p.Node, p.Endpoint)
	}
	p.Endpoint = &beacon.Endpoint{State: p.Endpoint.State, Cold: p.Endpoint.Cold}
	p.Node, p.Zone, p.Inbound, p.Talk, p.Life, p.Number, p.Pushed, p.Acked = "", "", "", "", 0, 0, 0, 0
	return p
}

// A figure keeps three places, a table the median and the spread.
func TestTheTable(t *testing.T) {
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

// What cannot be measured is refused before anything starts.
func TestArguments(t *testing.T) {
	for _, bad := range []string{"-sizes 0", "-sizes 10001", "-sizes a", "-loads ,", "-runs 0", "-machines 20", "-wave 0", "-nothing"} {
		var out strings.Builder
		if err := Run(strings.Fields(bad), &out); err == nil || out.Len() > 0 {
			t.Errorf("%s: %v, %q", bad, err, out.String())
		}
	}
}
