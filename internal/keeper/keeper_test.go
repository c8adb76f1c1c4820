package keeper

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"whinknot/internal/berth"
	"whinknot/internal/signal"
)

func TestMain(m *testing.M) {
	// The library looks each second whether its file was closed.
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("github.com/tidwall/buntdb.(*DB).backgroundManager"))
}

// fleet is some keepers on addresses of their own of the loopback network.
type fleet struct {
	t     testing.TB
	port  int
	seeds []string
	disks string
	up    map[string]*running
	grace time.Duration
}

type running struct {
	stop context.CancelFunc
	done sync.WaitGroup
}

// newFleet starts keepers with empty disks; the first three are the seeds. They have no time to end in.
func newFleet(t testing.TB, n int) *fleet { return newFleetWithin(t, n, 0) }

func newFleetWithin(t testing.TB, n int, grace time.Duration) *fleet {
	f := &fleet{t: t, grace: grace, disks: t.TempDir(), up: map[string]*running{}}
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.port = free.Addr().(*net.TCPAddr).Port
	free.Close()
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

func (f *fleet) ip(i int) string { return fmt.Sprintf("127.0.7.%d", i+1) }

// folder is the disk of a keeper; a new number is an empty one.
func (f *fleet) folder(i, disk int) string {
	return filepath.Join(f.disks, fmt.Sprintf("%d-%d", i, disk))
}

func (f *fleet) start(i int, first bool) { f.startOn(i, 0, first) }

func (f *fleet) startOn(i, disk int, first bool) {
	f.t.Helper()
	s := &berth.Settings{
		Path: "test", Node: fmt.Sprint("core-", i), IP: f.ip(i), Zone: fmt.Sprint("z", i), PortFrom: f.port - 1, PortTo: f.port + 1,
		Seeds: f.seeds, Bootstrap: first, InQuorum: true, StateDir: f.folder(i, disk), LossMachines: 1,
		Bounds: berth.Bounds{Ack: 2 * time.Second, Converge: time.Second, Grace: f.grace},
	}
	k, err := New(s, zerolog.Nop())
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	r := &running{stop: stop}
	r.done.Go(func() { k.Run(ctx) })
	f.up[f.ip(i)] = r
}

func (f *fleet) stop(i int) {
	r := f.up[f.ip(i)]
	delete(f.up, f.ip(i))
	r.stop()
	r.done.Wait()
}

// order has a keeper carry out an order; nil if it says nothing in time.
func (f *fleet) order(i int, o Order) *Result {
	conn, err := signal.Dial(f.t.Context(), Address(f.ip(i), &berth.Settings{PortFrom: f.port - 1}), 5*time.Second)
	if err != nil {
		return nil
	}
	defer conn.Close()
	if conn.Send(&Hello{Lighthouse: "test"}) != nil {
		return nil
	}
	o.ID = 1
	if conn.Send(&o) != nil {
		return nil
	}
	beats, end := time.NewTicker(pulse), make(chan struct{})
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
				conn.Send(&Order{Kind: Beat})
			}
		}
	})
	for {
		var w Word
		if conn.Receive(&w) != nil {
			return nil
		}
		if w.Result != nil {
			return w.Result
		}
	}
}

// until has an order carried out again and again until its result is as wanted; the order itself takes its time.
func (f *fleet) until(i int, o Order, within time.Duration, want func(*Result) bool) *Result {
	f.t.Helper()
	var last *Result
	for end := time.Now().Add(within); time.Now().Before(end); {
		if last = f.order(i, o); last != nil && want(last) {
			return last
		}
	}
	f.t.Fatalf("order %+v at keeper %d ends %+v", o.Kind, i, last)
	return nil
}

func done(r *Result) bool { return r.Status == Done }

func config(version int) []byte {
	return fmt.Appendf(nil, `{"epoch":"r%d","routes":{"attributes":["name","authority","path_prefix","route_class","target"],"tuples":[["a","a.example","/a/","safe","one"]]},"services":{"attributes":["name"],"tuples":[["one"]]}}`, version)
}

func (f *fleet) wants(i, version int, within time.Duration) {
	f.t.Helper()
	r := f.until(i, Order{Kind: ReadConfig}, within, done)
	if string(r.Body) != string(config(version)) {
		f.t.Fatalf("keeper %d reads %s, want version %d", i, r.Body, version)
	}
}

// Versions only rise, what is older is acknowledged and alters nothing, and one number has one content.
func TestOrdersAndTheirResults(t *testing.T) {
	f := newFleet(t, 3)
	if r := f.until(0, Order{Kind: ReadConfig}, 10*time.Second, func(r *Result) bool { return r.Status != Unclear }); r.Status != Absent {
		t.Fatalf("reading nothing: %+v", r)
	}
	f.until(0, Order{Kind: PutConfig, Body: config(5)}, 5*time.Second, done)
	f.until(1, Order{Kind: PutConfig, Body: config(3)}, 5*time.Second, done)
	f.wants(2, 5, 5*time.Second)
	other := append(config(5), ' ')
	if r := f.order(2, Order{Kind: PutConfig, Body: other}); r == nil || r.Status != Conflict {
		t.Errorf("another content under the same number: %+v", r)
	}
	if r := f.order(0, Order{Kind: PutConfig, Body: []byte(`{"epoch":"r9"`)}); r == nil || r.Status != Refused {
		t.Errorf("one that is cut short: %+v", r)
	}
	f.until(2, Order{Kind: BeginEvacuation, Zone: "z1"}, 5*time.Second, done)
	f.until(1, Order{Kind: FinishEvacuation, Zone: "z1"}, 5*time.Second, done)
	f.stop(0)
	f.stop(1)
	if r := f.order(2, Order{Kind: PutConfig, Body: config(8)}); r == nil || r.Status != Unclear {
		t.Errorf("with one of three: %+v", r)
	}
}

// Disks are lost one after the other, each with time to be made up for, until none of the first is left; then all are killed at
// once. What was acknowledged is read again.
func TestWhatWasAcknowledgedOutlivesEveryDiskOfTheFirstSet(t *testing.T) {
	f := newFleet(t, 3)
	rng := rand.New(rand.NewPCG(1, 2))
	for version := range 4 {
		at := rng.IntN(3)
		f.until(at, Order{Kind: PutConfig, Body: config(version + 1)}, 10*time.Second, done)
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
func TestWhatWasNeverAcknowledgedBlocksNothing(t *testing.T) {
	f := newFleet(t, 3)
	f.until(0, Order{Kind: PutConfig, Body: config(4)}, 10*time.Second, done)
	f.stop(1)
	f.stop(2)
	never := append(config(5), ' ')
	if r := f.order(0, Order{Kind: PutConfig, Body: never}); r == nil || r.Status != Unclear {
		t.Fatalf("one of three: %+v", r)
	}
	f.stop(0)
	f.start(1, false)
	f.start(2, false)
	f.until(1, Order{Kind: PutConfig, Body: config(5)}, 10*time.Second, done)
	f.start(0, false)
	if r := f.until(0, Order{Kind: PutConfig, Body: config(5)}, 10*time.Second, func(r *Result) bool { return r.Status != Unclear }); r.Status != Done {
		t.Fatalf("what was acknowledged, sent again to the one that was alone: %+v", r)
	}
	for i := range 3 {
		f.wants(i, 5, 10*time.Second)
		if r := f.until(i, Order{Kind: PutConfig, Body: never}, 10*time.Second, func(r *Result) bool { return r.Status != Unclear }); r.Status != Conflict {
			t.Errorf("another content under the number, at %d: %+v", i, r)
		}
	}
}

// A keeper that no quorum answers has no lease once that of its last asking is over: it says so, confirms nothing, refuses nothing that
// is proper and reads nothing. With the others it has one again, and goes by what they decided meanwhile.
func TestAKeeperThatIsCutOffSaysSo(t *testing.T) {
	f := newFleet(t, 3)
	f.until(0, Order{Kind: PutConfig, Body: config(4)}, 10*time.Second, done)
	f.lease(0, true)
	f.stop(1)
	f.stop(2)
	f.lease(0, false)
	for _, o := range []Order{{Kind: PutConfig, Body: config(4)}, {Kind: PutConfig, Body: append(config(4), ' ')}, {Kind: ReadConfig}, {Kind: BeginEvacuation, Zone: "z1"}} {
		if r := f.order(0, o); r == nil || r.Status != Unclear {
			t.Errorf("order %d of one that is cut off: %+v", o.Kind, r)
		}
	}
	f.start(1, false)
	f.until(1, Order{Kind: PutConfig, Body: config(6)}, 10*time.Second, done)
	f.lease(0, true)
	f.wants(0, 6, 10*time.Second)
}

// lease waits until a keeper has a lease, or has none.
func (f *fleet) lease(i int, want bool) {
	f.t.Helper()
	var s *Status
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
		var err error
		if s, err = AskStatus(Address(f.ip(i), &berth.Settings{PortFrom: f.port - 1}), 5*time.Second); err != nil {
			f.t.Fatal(err)
		}
		if s.Lease > 0 == want {
			return
		}
	}
	f.t.Fatalf("keeper %d: lease %v", i, s.Lease)
}

// What a disk holds from the program before this one, versions without ballots, is in force after it is started on it. The file in
// testdata was written by that program.
func TestADiskOfTheEarlierProgramIsReadOn(t *testing.T) {
	f := newFleet(t, 0)
	f.seeds = []string{f.ip(0) + ":1"}
	if err := os.CopyFS(f.folder(0, 0), os.DirFS("testdata/earlier")); err != nil {
		t.Fatal(err)
	}
	f.start(0, false)
	f.wants(0, 7, 10*time.Second)
	f.until(0, Order{Kind: PutConfig, Body: config(8)}, 10*time.Second, done)
	f.stop(0)
	c, err := Verify(f.folder(0, 0))
	if err != nil || len(c.Faults) > 0 || len(c.Entries) != 2 || string(c.Entries[1].Value.Body) != evacuated {
		t.Errorf("%v, %+v", err, c)
	}
	f.start(0, false)
	f.wants(0, 8, 10*time.Second)
}

// A core that was killed whole knows what is in force again without any order, and at no time a part of it.
func TestACoreThatWasKilledKnowsWhatIsInForce(t *testing.T) {
	f := newFleet(t, 3)
	f.until(0, Order{Kind: PutConfig, Body: config(5)}, 10*time.Second, done)
	f.until(1, Order{Kind: BeginEvacuation, Zone: "z1"}, 10*time.Second, done)
	for i := range 3 {
		f.stop(i)
	}
	for i := range 3 {
		f.start(i, false)
	}
	for i := range 3 {
		var conn *signal.Conn
		for end := time.Now().Add(10 * time.Second); conn == nil && time.Now().Before(end); {
			conn, _ = signal.Dial(t.Context(), Address(f.ip(i), &berth.Settings{PortFrom: f.port - 1}), 10*time.Second)
		}
		if conn == nil {
			t.Fatalf("keeper %d does not listen", i)
		}
		defer conn.Close()
		if err := conn.Send(&Hello{Lighthouse: "test"}); err != nil {
			t.Fatal(err)
		}
		for known := false; !known; {
			var w Word
			if err := conn.Receive(&w); err != nil {
				t.Fatalf("keeper %d does not know what is in force: %v", i, err)
			}
			if w.InForce != nil && w.InForce.Version > 0 {
				if known = true; w.InForce.Version != 5 || len(w.InForce.Evacuations) != 1 {
					t.Errorf("keeper %d tells a part: %+v", i, w.InForce)
				}
			}
		}
	}
}

// What a disk holds can be read while its keeper is away, and reading it changes nothing; a spoilt file is told.
func TestADiskCanBeVerified(t *testing.T) {
	f := newFleet(t, 1)
	f.until(0, Order{Kind: PutConfig, Body: config(5)}, 10*time.Second, done)
	f.until(0, Order{Kind: BeginEvacuation, Zone: "z1"}, 10*time.Second, done)
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
	if err != nil || len(c.Faults) > 0 || len(c.Entries) != 2 || c.Disk != f.ip(0)+"#first" || c.Torn != int64(torn) {
		t.Errorf("%v, %+v", err, c)
	}
	var page strings.Builder
	c.Print(&page)
	if !strings.Contains(page.String(), "evacuation/z1") || !strings.Contains(page.String(), f.ip(0)+"#first") {
		t.Errorf("the page tells\n%s", page.String())
	}
	spoilt := bytes.Replace(before, []byte("a.example"), []byte("b.example"), 1)
	write(spoilt)
	if c, err = Verify(f.folder(0, 0)); err != nil || len(c.Faults) != 1 {
		t.Errorf("spoilt: %v, %+v", err, c)
	}
	if after, _ := os.ReadFile(path); !bytes.Equal(after, spoilt) {
		t.Error("looking at the disk has changed it")
	}
	if _, err := Verify(t.TempDir()); err == nil {
		t.Error("a folder without a logbook is verified")
	}
}

// A disk that was lost to a spoilt file is another one, also where the settings still say that this is the first start: its old name would
// vouch for what it held.
func TestASpoiltDiskDoesNotTakeItsNameAgain(t *testing.T) {
	f := newFleet(t, 1)
	f.until(0, Order{Kind: PutConfig, Body: config(5)}, 10*time.Second, done)
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
	if s, err := AskStatus(Address(f.ip(0), &berth.Settings{PortFrom: f.port - 1}), 5*time.Second); err != nil || s.Disk == f.ip(0)+"#first" || s.Counts {
		t.Errorf("%v, %+v", err, s)
	}
}

// A keeper that is told to end has been replaced when it ends, if another waits: those that count and answer are never fewer than three.
func TestAKeeperThatLeavesIsReplacedBeforeItEnds(t *testing.T) {
	f := newFleetWithin(t, 4, 20*time.Second)
	f.until(0, Order{Kind: PutConfig, Body: config(5)}, 10*time.Second, done)
	f.until(3, Order{Kind: ReadConfig}, 10*time.Second, done)
	f.stop(0)
	if !f.counts(3, 1) {
		t.Error("nobody had taken its place")
	}
	f.wants(3, 5, 5*time.Second)
}

// counted waits until a keeper's present disk counts: the set at the others names it, and is not on its way to another.
func (f *fleet) counted(i int, within time.Duration) {
	f.t.Helper()
	var s *Status
	for end := time.Now().Add(within); time.Now().Before(end); {
		var err error
		if s, err = AskStatus(Address(f.ip((i+1)%3), &berth.Settings{PortFrom: f.port - 1}), 5*time.Second); err != nil {
			f.t.Fatal(err)
		}
		for _, m := range s.Set.Members {
			if m.Addr == Address(f.ip(i), &berth.Settings{PortFrom: f.port - 1}) && m.Disk != f.ip(i)+"#first" && !s.Set.Joint() {
				return
			}
		}
	}
	f.t.Fatalf("the disk of keeper %d does not count: %+v", i, s.Set)
}
