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
	// The library looks each second whether its file was closed.
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("github.com/tidwall/buntdb.(*DB).backgroundManager"))
}

// fleet is some stores on addresses of their own of the loopback network.
type testCluster struct {
	t     testing.TB
	port  int
	seeds []string
	disks string
	up    map[string]*runningStore
	grace time.Duration
}

type runningStore struct {
	stop context.CancelFunc
	done sync.WaitGroup
}

// newFleet starts stores with empty disks; the first three are the seeds. They have no time to end in.
func newFleet(t testing.TB, n int) *testCluster { return newFleetWithin(t, n, 0) }

func newFleetWithin(t testing.TB, n int, grace time.Duration) *testCluster {
	f := &testCluster{t: t, grace: grace, disks: t.TempDir(), up: map[string]*runningStore{}}
	f.port = freeport.ForTest(t, 3).First + 1
	for i := range min(n, 3) {
		f.seeds = append(f.seeds, fmt.Sprintf("%s:1", f.ip(i)))
	}
	for i := range n {
		f.start(i, true)
	}
	t.Cleanup(func() {
		for ip := range f.up {
			f.up[ip].stop()
		}
		for _, r := range f.up {
			r.done.Wait()
		}
	})
	return f
}

func (f *testCluster) ip(i int) string { return fmt.Sprintf("127.0.7.%d", i+1) }

// folder is the disk of a store; a new number is an empty one.
func (f *testCluster) folder(i, disk int) string {
	return filepath.Join(f.disks, fmt.Sprintf("%d-%d", i, disk))
}

func (f *testCluster) start(i int, first bool) { f.startOn(i, 0, first) }

func (f *testCluster) startOn(i, disk int, first bool) {
	f.t.Helper()
	s := &nodeconfig.Settings{
		Path: "test", Node: fmt.Sprint("core-", i), IP: f.ip(i), Zone: fmt.Sprint("z", i), PortFrom: f.port - 1, PortTo: f.port + 1,
		Seeds: f.seeds, Bootstrap: first, InQuorum: true, StateDir: f.folder(i, disk), FaultBudgetMachines: 1,
		Bounds: nodeconfig.Bounds{Ack: 2 * time.Second, Converge: time.Second, Grace: f.grace},
	}
	k, err := New(s, zerolog.Nop())
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	r := &runningStore{stop: stop}
	r.done.Go(func() { _ = k.Run(ctx) })
	f.up[f.ip(i)] = r
}

func (f *testCluster) stop(i int) {
	r := f.up[f.ip(i)]
	delete(f.up, f.ip(i))
	r.stop()
	r.done.Wait()
}

// order has a store carry out an order; nil if it says nothing in time.
func (f *testCluster) order(i int, o controlstate.Command) *controlstate.Result {
	conn, err := transport.Dial(f.t.Context(), Address(f.ip(i), &nodeconfig.Settings{PortFrom: f.port - 1}), 5*time.Second)
	if err != nil {
		return nil
	}
	defer conn.Close()
	if conn.Send((&Handshake{ControlPlane: "test"}).Encode()) != nil {
		return nil
	}
	o.ID = 1
	if conn.Send(controlstatewire.FromCommand(&o)) != nil {
		return nil
	}
	beats, end := time.NewTicker(tickInterval), make(chan struct{})
	defer beats.Stop()
	var beating sync.WaitGroup
	defer beating.Wait()
	defer close(end)
	beating.Go(func() {
		for {
			select {
			case <-end:
				return
			case <-beats.C:
				_ = conn.Send(controlstatewire.FromCommand(&controlstate.Command{Kind: controlstate.Heartbeat}))
			}
		}
	})
	for {
		var encoded controlstatewire.Word
		if conn.Receive(&encoded) != nil {
			return nil
		}
		w := encoded.Update()
		if w.Result != nil {
			return w.Result
		}
	}
}

// until has an order carried out again and again until its result is as wanted; the order itself takes its time.
func (f *testCluster) until(i int, o controlstate.Command, within time.Duration, want func(*controlstate.Result) bool) *controlstate.Result {
	f.t.Helper()
	var last *controlstate.Result
	for end := time.Now().Add(within); time.Now().Before(end); {
		if last = f.order(i, o); last != nil && want(last) {
			return last
		}
	}
	f.t.Fatalf("order %+v at store %d ends %+v", o.Kind, i, last)
	return nil
}

func done(r *controlstate.Result) bool { return r.Status == controlstate.Completed }

func config(version int) []byte {
	return fmt.Appendf(nil, `{"epoch":"r%d","routes":{"attributes":["name","authority","path_prefix","route_class","target"],"tuples":[["a","a.example","/a/","safe","one"]]},"services":{"attributes":["name"],"tuples":[["one"]]}}`, version)
}

func (f *testCluster) wants(i, version int, within time.Duration) {
	f.t.Helper()
	r := f.until(i, controlstate.Command{Kind: controlstate.ReadConfig}, within, done)
	if string(r.Body) != string(config(version)) {
		f.t.Fatalf("store %d reads %s, want version %d", i, r.Body, version)
	}
}

// Versions only rise, what is older is acknowledged and alters nothing, and one number has one content.
func TestCommandsAndResults(t *testing.T) {
	f := newFleet(t, 3)
	if r := f.until(0, controlstate.Command{Kind: controlstate.ReadConfig}, 10*time.Second, func(r *controlstate.Result) bool { return r.Status != controlstate.Unknown }); r.Status != controlstate.NotFound {
		t.Fatalf("reading nothing: %+v", r)
	}
	f.until(0, controlstate.Command{Kind: controlstate.PutConfig, Body: config(5)}, 5*time.Second, done)
	f.until(1, controlstate.Command{Kind: controlstate.PutConfig, Body: config(3)}, 5*time.Second, done)
	f.wants(2, 5, 5*time.Second)
	other := append(config(5), ' ')
	if r := f.order(2, controlstate.Command{Kind: controlstate.PutConfig, Body: other}); r == nil || r.Status != controlstate.Conflict {
		t.Errorf("another content under the same number: %+v", r)
	}
	if r := f.order(0, controlstate.Command{Kind: controlstate.PutConfig, Body: []byte(`{"epoch":"r9"`)}); r == nil || r.Status != controlstate.Rejected {
		t.Errorf("one that is cut short: %+v", r)
	}
	f.until(2, controlstate.Command{Kind: controlstate.BeginEvacuation, Zone: "z1"}, 5*time.Second, done)
	f.until(1, controlstate.Command{Kind: controlstate.FinishEvacuation, Zone: "z1"}, 5*time.Second, done)
	f.stop(0)
	f.stop(1)
	if r := f.order(2, controlstate.Command{Kind: controlstate.PutConfig, Body: config(8)}); r == nil || r.Status != controlstate.Unknown {
		t.Errorf("with one of three: %+v", r)
	}
}

// Disks are lost one after the other, each with time to be made up for, until none of the first is left; then all are killed at
// once. What was acknowledged is read again.
func TestAcknowledgedStateSurvivesAllFirstDisks(t *testing.T) {
	f := newFleet(t, 3)
	rng := rand.New(rand.NewPCG(1, 2))
	for version := range 4 {
		at := rng.IntN(3)
		f.until(at, controlstate.Command{Kind: controlstate.PutConfig, Body: config(version + 1)}, 10*time.Second, done)
		if version == 3 {
			break
		}
		lost := version // the one after the other
		f.stop(lost)
		f.startOn(lost, 1, false) // its disk is empty, and its settings say that this is no first start
		f.wants((lost+1)%3, version+1, 10*time.Second)
		f.counted(lost, 10*time.Second)
	}
	for i := range 3 {
		f.stop(i)
	}
	for i := range 3 {
		f.startOn(i, 1, false)
	}
	for i := range 3 {
		f.wants(i, 4, 10*time.Second)
	}
}

// What one disk was asked for alone, and nobody acknowledged, blocks nothing: the content that is acknowledged under its number is
// acknowledged again wherever it is sent, and read; the other is a conflict everywhere.
func TestUnacknowledgedCommandBlocksNothing(t *testing.T) {
	f := newFleet(t, 3)
	f.until(0, controlstate.Command{Kind: controlstate.PutConfig, Body: config(4)}, 10*time.Second, done)
	f.stop(1)
	f.stop(2)
	never := append(config(5), ' ')
	if r := f.order(0, controlstate.Command{Kind: controlstate.PutConfig, Body: never}); r == nil || r.Status != controlstate.Unknown {
		t.Fatalf("one of three: %+v", r)
	}
	f.stop(0)
	f.start(1, false)
	f.start(2, false)
	f.until(1, controlstate.Command{Kind: controlstate.PutConfig, Body: config(5)}, 10*time.Second, done)
	f.start(0, false)
	if r := f.until(0, controlstate.Command{Kind: controlstate.PutConfig, Body: config(5)}, 10*time.Second, func(r *controlstate.Result) bool { return r.Status != controlstate.Unknown }); r.Status != controlstate.Completed {
		t.Fatalf("what was acknowledged, sent again to the one that was alone: %+v", r)
	}
	for i := range 3 {
		f.wants(i, 5, 10*time.Second)
		if r := f.until(i, controlstate.Command{Kind: controlstate.PutConfig, Body: never}, 10*time.Second, func(r *controlstate.Result) bool { return r.Status != controlstate.Unknown }); r.Status != controlstate.Conflict {
			t.Errorf("another content under the number, at %d: %+v", i, r)
		}
	}
}

// A store that no quorum answers has no lease once that of its last asking is over: it says so, confirms nothing, refuses nothing that
// is proper and reads nothing. With the others it has one again, and goes by what they decided meanwhile.
func TestIsolatedStoreReportsNoLease(t *testing.T) {
	f := newFleet(t, 3)
	f.until(0, controlstate.Command{Kind: controlstate.PutConfig, Body: config(4)}, 10*time.Second, done)
	f.lease(0, true)
	f.stop(1)
	f.stop(2)
	f.lease(0, false)
	for _, o := range []controlstate.Command{{Kind: controlstate.PutConfig, Body: config(4)}, {Kind: controlstate.PutConfig, Body: append(config(4), ' ')}, {Kind: controlstate.ReadConfig}, {Kind: controlstate.BeginEvacuation, Zone: "z1"}} {
		if r := f.order(0, o); r == nil || r.Status != controlstate.Unknown {
			t.Errorf("order %d of one that is cut off: %+v", o.Kind, r)
		}
	}
	f.start(1, false)
	f.until(1, controlstate.Command{Kind: controlstate.PutConfig, Body: config(6)}, 10*time.Second, done)
	f.lease(0, true)
	f.wants(0, 6, 10*time.Second)
}

// lease waits until a store has a lease, or has none.
func (f *testCluster) lease(i int, want bool) {
	f.t.Helper()
	var s *Status
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
		var err error
		if s, err = QueryStatus(Address(f.ip(i), &nodeconfig.Settings{PortFrom: f.port - 1}), 5*time.Second); err != nil {
			f.t.Fatal(err)
		}
		if s.LeaseRemaining > 0 == want {
			return
		}
	}
	f.t.Fatalf("store %d: lease %v", i, s.LeaseRemaining)
}

// What a disk holds from the program before this one, versions without ballots, is in force after it is started on it. The file in
// testdata was written by that program.
func TestLegacyDiskIsRead(t *testing.T) {
	f := newFleet(t, 0)
	f.seeds = []string{f.ip(0) + ":1"}
	if err := os.CopyFS(f.folder(0, 0), os.DirFS("testdata/earlier")); err != nil {
		t.Fatal(err)
	}
	f.start(0, false)
	f.wants(0, 7, 10*time.Second)
	f.until(0, controlstate.Command{Kind: controlstate.PutConfig, Body: config(8)}, 10*time.Second, done)
	f.stop(0)
	c, err := Verify(f.folder(0, 0))
	if err != nil || len(c.Problems) > 0 || len(c.Registers) != 2 || string(c.Registers[1].Value.Body) != evacuationOn {
		t.Errorf("%v, %+v", err, c)
	}
	f.start(0, false)
	f.wants(0, 8, 10*time.Second)
}

// A core that was killed whole knows what is in force again without any order, and at no time a part of it.
func TestSnapshotAfterAllStoresWereKilled(t *testing.T) {
	f := newFleet(t, 3)
	f.until(0, controlstate.Command{Kind: controlstate.PutConfig, Body: config(5)}, 10*time.Second, done)
	f.until(1, controlstate.Command{Kind: controlstate.BeginEvacuation, Zone: "z1"}, 10*time.Second, done)
	for i := range 3 {
		f.stop(i)
	}
	for i := range 3 {
		f.start(i, false)
	}
	for i := range 3 {
		var conn *transport.Conn
		for end := time.Now().Add(10 * time.Second); conn == nil && time.Now().Before(end); {
			conn, _ = transport.Dial(t.Context(), Address(f.ip(i), &nodeconfig.Settings{PortFrom: f.port - 1}), 10*time.Second)
		}
		if conn == nil {
			t.Fatalf("store %d does not listen", i)
		}
		defer conn.Close()
		if err := conn.Send((&Handshake{ControlPlane: "test"}).Encode()); err != nil {
			t.Fatal(err)
		}
		for known := false; !known; {
			var encoded controlstatewire.Word
			if err := conn.Receive(&encoded); err != nil {
				t.Fatalf("store %d does not know what is in force: %v", i, err)
			}
			w := encoded.Update()
			if w.Snapshot != nil && w.Snapshot.ConfigVersion > 0 {
				if known = true; w.Snapshot.ConfigVersion != 5 || len(w.Snapshot.Evacuations) != 1 {
					t.Errorf("store %d tells a part: %+v", i, w.Snapshot)
				}
			}
		}
	}
}

// What a disk holds can be read while its store is away, and reading it changes nothing; a corrupt file is told.
func TestVerify(t *testing.T) {
	f := newFleet(t, 1)
	f.until(0, controlstate.Command{Kind: controlstate.PutConfig, Body: config(5)}, 10*time.Second, done)
	f.until(0, controlstate.Command{Kind: controlstate.BeginEvacuation, Zone: "z1"}, 10*time.Second, done)
	f.stop(0)
	path := filepath.Join(f.folder(0, 0), "logbook.db")
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
	c, err := Verify(f.folder(0, 0))
	if err != nil || len(c.Problems) > 0 || len(c.Registers) != 2 || c.DiskID != f.ip(0)+"#first" || c.TornBytes != int64(torn) {
		t.Errorf("%v, %+v", err, c)
	}
	var page strings.Builder
	c.Print(&page)
	if !strings.Contains(page.String(), "evacuation/z1") || !strings.Contains(page.String(), f.ip(0)+"#first") {
		t.Errorf("the page tells\n%s", page.String())
	}
	spoilt := bytes.Replace(before, []byte("a.example"), []byte("b.example"), 1)
	write(spoilt)
	if c, err = Verify(f.folder(0, 0)); err != nil || len(c.Problems) != 1 {
		t.Errorf("spoilt: %v, %+v", err, c)
	}
	if after, _ := os.ReadFile(path); !bytes.Equal(after, spoilt) {
		t.Error("looking at the disk has changed it")
	}
	if _, err := Verify(t.TempDir()); err == nil {
		t.Error("a folder without a logbook is verified")
	}
}

// A disk that was lost to a corrupt file is another one, also where the settings still say that this is the first start: its old name would
// vouch for what it held.
func TestCorruptDiskGetsANewIdentity(t *testing.T) {
	f := newFleet(t, 1)
	f.until(0, controlstate.Command{Kind: controlstate.PutConfig, Body: config(5)}, 10*time.Second, done)
	f.stop(0)
	path := filepath.Join(f.folder(0, 0), "logbook.db")
	text, err := os.ReadFile(path)
	if err == nil {
		err = os.WriteFile(path, bytes.Replace(text, []byte("a.example"), []byte("b.example"), 1), 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
	f.start(0, true)
	if s, err := QueryStatus(Address(f.ip(0), &nodeconfig.Settings{PortFrom: f.port - 1}), 5*time.Second); err != nil || s.DiskID == f.ip(0)+"#first" || s.IsVoter {
		t.Errorf("%v, %+v", err, s)
	}
}

// A store that is told to end has been replaced when it ends, if another waits: those that count and answer are never fewer than three.
func TestLeavingStoreIsReplacedBeforeItEnds(t *testing.T) {
	f := newFleetWithin(t, 4, 20*time.Second)
	f.until(0, controlstate.Command{Kind: controlstate.PutConfig, Body: config(5)}, 10*time.Second, done)
	f.until(3, controlstate.Command{Kind: controlstate.ReadConfig}, 10*time.Second, done)
	f.stop(0)
	if !f.counts(3, 1) {
		t.Error("nobody had taken its place")
	}
	f.wants(3, 5, 5*time.Second)
}

// counted waits until a store's present disk counts: the set at the others names it, and is not on its way to another.
func (f *testCluster) counted(i int, within time.Duration) {
	f.t.Helper()
	var s *Status
	for end := time.Now().Add(within); time.Now().Before(end); {
		var err error
		if s, err = QueryStatus(Address(f.ip((i+1)%3), &nodeconfig.Settings{PortFrom: f.port - 1}), 5*time.Second); err != nil {
			f.t.Fatal(err)
		}
		for _, m := range s.Voters.Voters {
			if m.Addr == Address(f.ip(i), &nodeconfig.Settings{PortFrom: f.port - 1}) && m.DiskID != f.ip(i)+"#first" && !s.Voters.IsJoint() {
				return
			}
		}
	}
	f.t.Fatalf("the disk of store %d does not count: %+v", i, s.Voters)
}
