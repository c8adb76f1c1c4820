package configstore

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"milletmast/internal/freeport"
	"milletmast/internal/mesh/controlstate"
	controlstatewire "milletmast/internal/mesh/controlstate/wire"
	"milletmast/internal/mesh/nodeconfig"
	"milletmast/internal/mesh/transport"
)

func TestMain(m *testing.M) {
	// buntdb checks every second whether its database was closed.
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("github.com/tidwall/buntdb.(*DB).backgroundManager"))
}

// testCluster runs stores on separate addresses of the loopback network.
type testCluster struct {
	t     testing.TB
	port  int
	seeds []string
	disks string                   // directory with the disks
	up    map[string]*runningStore // by IP
	grace time.Duration
}

type runningStore struct {
	stop context.CancelFunc
	done sync.WaitGroup
}

// newTestCluster starts stores with empty disks and no grace time; the first three are the seeds.
func newTestCluster(t testing.TB, n int) *testCluster { return newTestClusterWithGrace(t, n, 0) }

func newTestClusterWithGrace(t testing.TB, n int, grace time.Duration) *testCluster {
	c := &testCluster{t: t, grace: grace, disks: t.TempDir(), up: map[string]*runningStore{}}
	c.port = freeport.ForTest(t, 3).First + 1
	for i := range min(n, 3) {
		c.seeds = append(c.seeds, fmt.Sprintf("%s:1", c.ip(i)))
	}
	for i := range n {
		c.start(i, true)
	}
	t.Cleanup(func() {
		for ip := range c.up {
			c.up[ip].stop()
		}
		for _, r := range c.up {
			r.done.Wait()
		}
	})
	return c
}

func (c *testCluster) ip(i int) string { return fmt.Sprintf("127.0.7.%d", i+1) }

// address returns the address of a store.
func (c *testCluster) address(i int) string {
	return Address(c.ip(i), &nodeconfig.Settings{PortFrom: c.port - 1})
}

// diskDir returns the directory of a disk of a store; a new disk number is an empty disk.
func (c *testCluster) diskDir(i, disk int) string {
	return filepath.Join(c.disks, fmt.Sprintf("%d-%d", i, disk))
}

// start starts a store on its first disk. Bootstrap reports that this is the first start of the cluster.
func (c *testCluster) start(i int, bootstrap bool) { c.startOn(i, 0, bootstrap) }

// startOn starts a store on a disk.
func (c *testCluster) startOn(i, disk int, bootstrap bool) {
	c.t.Helper()
	s := &nodeconfig.Settings{
		Path: "test", Node: fmt.Sprint("core-", i), IP: c.ip(i), Zone: fmt.Sprint("z", i), PortFrom: c.port - 1, PortTo: c.port + 1,
		Seeds: c.seeds, Bootstrap: bootstrap, InQuorum: true, StateDir: c.diskDir(i, disk), FaultBudgetMachines: 1,
		Bounds: nodeconfig.Bounds{Ack: 2 * time.Second, Converge: time.Second, Grace: c.grace},
	}
	server, err := New(s, zerolog.Nop())
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	r := &runningStore{stop: stop}
	r.done.Go(func() { _ = server.Run(ctx) })
	c.up[c.ip(i)] = r
}

func (c *testCluster) stop(i int) {
	r := c.up[c.ip(i)]
	delete(c.up, c.ip(i))
	r.stop()
	r.done.Wait()
}

// run runs a command at a store and returns its result; nil if the store does not respond in time.
func (c *testCluster) run(i int, command controlstate.Command) *controlstate.Result {
	conn, err := transport.Dial(c.t.Context(), c.address(i), 5*time.Second)
	if err != nil {
		return nil
	}
	defer conn.Close()
	if conn.Send((&Handshake{ControlPlane: "test"}).Encode()) != nil {
		return nil
	}
	command.ID = 1
	if conn.Send(controlstatewire.FromCommand(&command)) != nil {
		return nil
	}
	ticker, stop := time.NewTicker(tickInterval), make(chan struct{})
	defer ticker.Stop()
	var heartbeats sync.WaitGroup
	defer heartbeats.Wait()
	defer close(stop)
	heartbeats.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
				_ = conn.Send(controlstatewire.FromCommand(&controlstate.Command{Kind: controlstate.Heartbeat}))
			}
		}
	})
	for {
		var encoded controlstatewire.Word
		if conn.Receive(&encoded) != nil {
			return nil
		}
		update := encoded.Update()
		if update.Result != nil {
			return update.Result
		}
	}
}

// runUntil repeats a command until its result is as wanted. No attempt starts after the timeout, but the last one may end later.
func (c *testCluster) runUntil(i int, command controlstate.Command, timeout time.Duration, want func(*controlstate.Result) bool) *controlstate.Result {
	c.t.Helper()
	var last *controlstate.Result
	for end := time.Now().Add(timeout); time.Now().Before(end); {
		if last = c.run(i, command); last != nil && want(last) {
			return last
		}
	}
	c.t.Fatalf("command %+v at store %d: last result %+v", command.Kind, i, last)
	return nil
}

func completed(r *controlstate.Result) bool { return r.Status == controlstate.Completed }

// known reports whether the outcome of a command is known.
func known(r *controlstate.Result) bool { return r.Status != controlstate.Unknown }

func config(version int) []byte {
	return fmt.Appendf(nil, `{"epoch":"r%d","routes":{"attributes":["name","authority","path_prefix","route_class","target"],"tuples":[["a","a.example","/a/","safe","one"]]},"services":{"attributes":["name"],"tuples":[["one"]]}}`, version)
}

// checkVersion checks that a store reads a version of the configuration within a timeout.
func (c *testCluster) checkVersion(i, version int, timeout time.Duration) {
	c.t.Helper()
	r := c.runUntil(i, controlstate.Command{Kind: controlstate.ReadConfig}, timeout, completed)
	if string(r.Body) != string(config(version)) {
		c.t.Fatalf("store %d reads %s, want version %d", i, r.Body, version)
	}
}

// An older version is acknowledged without effect, and a version number has one content: another content under it is a conflict. Without a
// quorum the outcome is unknown.
func TestCommandsAndResults(t *testing.T) {
	c := newTestCluster(t, 3)
	if r := c.runUntil(0, controlstate.Command{Kind: controlstate.ReadConfig}, 10*time.Second, known); r.Status != controlstate.NotFound {
		t.Fatalf("read before the first configuration: %+v", r)
	}
	c.runUntil(0, controlstate.Command{Kind: controlstate.PutConfig, Body: config(5)}, 5*time.Second, completed)
	c.runUntil(1, controlstate.Command{Kind: controlstate.PutConfig, Body: config(3)}, 5*time.Second, completed)
	c.checkVersion(2, 5, 5*time.Second)
	other := append(config(5), ' ')
	if r := c.run(2, controlstate.Command{Kind: controlstate.PutConfig, Body: other}); r == nil || r.Status != controlstate.Conflict {
		t.Errorf("another content under the same version number: %+v", r)
	}
	if r := c.run(0, controlstate.Command{Kind: controlstate.PutConfig, Body: []byte(`{"epoch":"r9"`)}); r == nil || r.Status != controlstate.Rejected {
		t.Errorf("truncated configuration: %+v", r)
	}
	c.runUntil(2, controlstate.Command{Kind: controlstate.BeginEvacuation, Zone: "z1"}, 5*time.Second, completed)
	c.runUntil(1, controlstate.Command{Kind: controlstate.FinishEvacuation, Zone: "z1"}, 5*time.Second, completed)
	c.stop(0)
	c.stop(1)
	if r := c.run(2, controlstate.Command{Kind: controlstate.PutConfig, Body: config(8)}); r == nil || r.Status != controlstate.Unknown {
		t.Errorf("with one store of three: %+v", r)
	}
}

// The disks are lost one after the other, each after the replacement of the one before, until none of the first disks is left. Then all
// stores are stopped and restarted. Acknowledged state is read again.
func TestAcknowledgedStateSurvivesAllFirstDisks(t *testing.T) {
	c := newTestCluster(t, 3)
	rng := rand.New(rand.NewPCG(1, 2))
	for version := range 4 {
		at := rng.IntN(3)
		c.runUntil(at, controlstate.Command{Kind: controlstate.PutConfig, Body: config(version + 1)}, 10*time.Second, completed)
		if version == 3 {
			break
		}
		lost := version // a different store each time
		c.stop(lost)
		c.startOn(lost, 1, false) // an empty disk, without bootstrap
		c.checkVersion((lost+1)%3, version+1, 10*time.Second)
		c.awaitVoter(lost, 10*time.Second)
	}
	for i := range 3 {
		c.stop(i)
	}
	for i := range 3 {
		c.startOn(i, 1, false)
	}
	for i := range 3 {
		c.checkVersion(i, 4, 10*time.Second)
	}
}

// A command that only one store received, without an acknowledgement, does not block a later one with the same version number. The content
// that is acknowledged under the number is acknowledged again at every store, and read; the other content is a conflict at every store.
func TestUnacknowledgedCommandBlocksNothing(t *testing.T) {
	c := newTestCluster(t, 3)
	c.runUntil(0, controlstate.Command{Kind: controlstate.PutConfig, Body: config(4)}, 10*time.Second, completed)
	c.stop(1)
	c.stop(2)
	never := append(config(5), ' ')
	if r := c.run(0, controlstate.Command{Kind: controlstate.PutConfig, Body: never}); r == nil || r.Status != controlstate.Unknown {
		t.Fatalf("with one store of three: %+v", r)
	}
	c.stop(0)
	c.start(1, false)
	c.start(2, false)
	c.runUntil(1, controlstate.Command{Kind: controlstate.PutConfig, Body: config(5)}, 10*time.Second, completed)
	c.start(0, false)
	if r := c.runUntil(0, controlstate.Command{Kind: controlstate.PutConfig, Body: config(5)}, 10*time.Second, known); r.Status != controlstate.Completed {
		t.Fatalf("the acknowledged configuration, sent again to the store that was alone: %+v", r)
	}
	for i := range 3 {
		c.checkVersion(i, 5, 10*time.Second)
		if r := c.runUntil(i, controlstate.Command{Kind: controlstate.PutConfig, Body: never}, 10*time.Second, known); r.Status != controlstate.Conflict {
			t.Errorf("another content under the version number, at store %d: %+v", i, r)
		}
	}
}

// A store without a quorum reports no lease once its last one has expired. The outcome of every valid command is unknown then, of reads too.
// In contact with the other stores it holds a lease again, and reads what they committed meanwhile.
func TestIsolatedStoreReportsNoLease(t *testing.T) {
	c := newTestCluster(t, 3)
	c.runUntil(0, controlstate.Command{Kind: controlstate.PutConfig, Body: config(4)}, 10*time.Second, completed)
	c.awaitLease(0, true)
	c.stop(1)
	c.stop(2)
	c.awaitLease(0, false)
	for _, command := range []controlstate.Command{{Kind: controlstate.PutConfig, Body: config(4)}, {Kind: controlstate.PutConfig, Body: append(config(4), ' ')}, {Kind: controlstate.ReadConfig}, {Kind: controlstate.BeginEvacuation, Zone: "z1"}} {
		if r := c.run(0, command); r == nil || r.Status != controlstate.Unknown {
			t.Errorf("command %d at a store without a quorum: %+v", command.Kind, r)
		}
	}
	c.start(1, false)
	c.runUntil(1, controlstate.Command{Kind: controlstate.PutConfig, Body: config(6)}, 10*time.Second, completed)
	c.awaitLease(0, true)
	c.checkVersion(0, 6, 10*time.Second)
}

// awaitLease waits until a store holds a lease, or holds none.
func (c *testCluster) awaitLease(i int, want bool) {
	c.t.Helper()
	var s *Status
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
		var err error
		if s, err = QueryStatus(c.address(i), 5*time.Second); err != nil {
			c.t.Fatal(err)
		}
		if s.LeaseRemaining > 0 == want {
			return
		}
	}
	c.t.Fatalf("store %d: remaining lease %v, want a lease: %v", i, s.LeaseRemaining, want)
}

// A store that starts on the disk of an earlier version of the program, which has versions without ballots, serves its state. The file in
// testdata was written by that version.
func TestLegacyDiskIsRead(t *testing.T) {
	c := newTestCluster(t, 0)
	c.seeds = []string{c.ip(0) + ":1"}
	if err := os.CopyFS(c.diskDir(0, 0), os.DirFS("testdata/earlier")); err != nil {
		t.Fatal(err)
	}
	c.start(0, false)
	c.checkVersion(0, 7, 10*time.Second)
	c.runUntil(0, controlstate.Command{Kind: controlstate.PutConfig, Body: config(8)}, 10*time.Second, completed)
	c.stop(0)
	contents, err := Verify(c.diskDir(0, 0))
	if err != nil || len(contents.Problems) > 0 || len(contents.Registers) != 2 || string(contents.Registers[1].Value.Body) != evacuationOn {
		t.Errorf("disk after the upgrade: %v, %+v", err, contents)
	}
	c.start(0, false)
	c.checkVersion(0, 8, 10*time.Second)
}

// After a restart of all stores, each of them sends a complete snapshot again without a command, and never a part of it.
func TestSnapshotAfterAllStoresWereKilled(t *testing.T) {
	c := newTestCluster(t, 3)
	c.runUntil(0, controlstate.Command{Kind: controlstate.PutConfig, Body: config(5)}, 10*time.Second, completed)
	c.runUntil(1, controlstate.Command{Kind: controlstate.BeginEvacuation, Zone: "z1"}, 10*time.Second, completed)
	for i := range 3 {
		c.stop(i)
	}
	for i := range 3 {
		c.start(i, false)
	}
	for i := range 3 {
		var conn *transport.Conn
		for end := time.Now().Add(10 * time.Second); conn == nil && time.Now().Before(end); {
			conn, _ = transport.Dial(t.Context(), c.address(i), 10*time.Second)
		}
		if conn == nil {
			t.Fatalf("store %d does not listen", i)
		}
		defer conn.Close()
		if err := conn.Send((&Handshake{ControlPlane: "test"}).Encode()); err != nil {
			t.Fatal(err)
		}
		for received := false; !received; {
			var encoded controlstatewire.Word
			if err := conn.Receive(&encoded); err != nil {
				t.Fatalf("store %d sends no snapshot with a configuration: %v", i, err)
			}
			update := encoded.Update()
			if update.Snapshot != nil && update.Snapshot.ConfigVersion > 0 {
				if received = true; update.Snapshot.ConfigVersion != 5 || len(update.Snapshot.Evacuations) != 1 {
					t.Errorf("store %d sends an incomplete snapshot: %+v", i, update.Snapshot)
				}
			}
		}
	}
}

// Verify reads the disk of a stopped store and does not change it. A torn tail and a corrupt file are reported.
func TestVerify(t *testing.T) {
	c := newTestCluster(t, 1)
	c.runUntil(0, controlstate.Command{Kind: controlstate.PutConfig, Body: config(5)}, 10*time.Second, completed)
	c.runUntil(0, controlstate.Command{Kind: controlstate.BeginEvacuation, Zone: "z1"}, 10*time.Second, completed)
	c.stop(0)
	path := filepath.Join(c.diskDir(0, 0), "logbook.db")
	before, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	write := func(text []byte) {
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	torn := len("*3\r\n$3\r\nset\r\n")
	write(append(slices.Clone(before), before[:torn]...))
	contents, err := Verify(c.diskDir(0, 0))
	if err != nil || len(contents.Problems) > 0 || len(contents.Registers) != 2 || contents.DiskID != c.ip(0)+"#first" || contents.TornBytes != int64(torn) {
		t.Errorf("disk with a torn tail: %v, %+v", err, contents)
	}
	var printed strings.Builder
	contents.Print(&printed)
	if !strings.Contains(printed.String(), "evacuation/z1") || !strings.Contains(printed.String(), c.ip(0)+"#first") {
		t.Errorf("key or disk identity is missing in the printed contents\n%s", printed.String())
	}
	corrupt := bytes.Replace(before, []byte("a.example"), []byte("b.example"), 1)
	write(corrupt)
	if contents, err = Verify(c.diskDir(0, 0)); err != nil || len(contents.Problems) != 1 {
		t.Errorf("corrupt disk: %v, %+v", err, contents)
	}
	if after, _ := os.ReadFile(path); !bytes.Equal(after, corrupt) {
		t.Error("Verify has changed the disk")
	}
	if _, err := Verify(t.TempDir()); err == nil {
		t.Error("Verify accepts a directory without a store")
	}
}

// A disk with a corrupt file gets a new identity, even if the settings still say bootstrap: under its old identity it would count as holding
// the promises and values that were lost.
func TestCorruptDiskGetsANewIdentity(t *testing.T) {
	c := newTestCluster(t, 1)
	c.runUntil(0, controlstate.Command{Kind: controlstate.PutConfig, Body: config(5)}, 10*time.Second, completed)
	c.stop(0)
	path := filepath.Join(c.diskDir(0, 0), "logbook.db")
	text, err := os.ReadFile(path)
	if err == nil {
		err = os.WriteFile(path, bytes.Replace(text, []byte("a.example"), []byte("b.example"), 1), 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
	c.start(0, true)
	if s, err := QueryStatus(c.address(0), 5*time.Second); err != nil || s.DiskID == c.ip(0)+"#first" || s.IsVoter {
		t.Errorf("status with a corrupt disk: %v, %+v", err, s)
	}
}

// A store that shuts down is replaced as a voter before it exits, if a learner is available: there are always three voters that respond.
func TestLeavingStoreIsReplacedBeforeItEnds(t *testing.T) {
	c := newTestClusterWithGrace(t, 4, 20*time.Second)
	c.runUntil(0, controlstate.Command{Kind: controlstate.PutConfig, Body: config(5)}, 10*time.Second, completed)
	c.runUntil(3, controlstate.Command{Kind: controlstate.ReadConfig}, 10*time.Second, completed)
	c.stop(0)
	if !c.isVoter(3, 1) {
		t.Error("the learner has not replaced the stopped store")
	}
	c.checkVersion(3, 5, 5*time.Second)
}

// awaitVoter waits until the present disk of a store is a voter, by the status of another store, and the configuration is not joint.
func (c *testCluster) awaitVoter(i int, timeout time.Duration) {
	c.t.Helper()
	var s *Status
	for end := time.Now().Add(timeout); time.Now().Before(end); {
		var err error
		if s, err = QueryStatus(c.address((i+1)%3), 5*time.Second); err != nil {
			c.t.Fatal(err)
		}
		for _, m := range s.Voters.Voters {
			if m.Addr == c.address(i) && m.DiskID != c.ip(i)+"#first" && !s.Voters.IsJoint() {
				return
			}
		}
	}
	c.t.Fatalf("the disk of store %d is not a voter: %+v", i, s.Voters)
}
