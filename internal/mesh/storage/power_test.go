package storage

import (
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"
)

// A model of power loss. A recorder runs the operations of a store on real files and records each step. For every prefix of the steps,
// each disk content that a power loss may leave is created and opened. Synced data is present. Of the later operations, each write is
// present, absent or torn, and each change of a name in the directory was made or not, independently. After a failed sync, any of these
// outcomes remains possible, even if a later sync succeeds.

// step is one file operation, or the begin or the confirmation of a write of the store, with the state that it results in.
type step struct {
	kind     string // create, write, truncate, sync, sync failed, rename, remove, sync directory, began, confirmed
	inode    int
	name, to string
	at       int64 // of a write: the offset; of a truncation: the size
	data     []byte
	state    map[string]string
	digest   uint64 // of the state
}

var errKilled = errors.New("killed")

// recorder is a filesystem that records its operations. They also run on real files, which a restarted process reads.
type recorder struct {
	osFilesystem
	steps []step
	names map[string]int
	count int
	// fault returns the result of an operation: nil, errKilled (for each later one too), or another error.
	fault   func(count int, kind, name string) error
	ignored string // an injected fault: an operation and its file name; it reports success without effect
	killed  bool
}

// begin counts an operation and returns its injected error.
func (r *recorder) begin(kind, path string) error {
	if r.killed {
		return errKilled
	}
	r.count++
	if r.fault == nil {
		return nil
	}
	err := r.fault(r.count, kind, filepath.Base(path))
	r.killed = errors.Is(err, errKilled)
	return err
}

// record records a step, unless it is ignored.
func (r *recorder) record(s step) {
	if s.state != nil {
		s.digest = xxhash.Sum64String(fmt.Sprint(s.state))
	}
	if r.ignored == "" || strings.TrimSpace(s.kind+" "+s.name) != r.ignored {
		r.steps = append(r.steps, s)
	}
}

func (r *recorder) OpenFile(path string, flags int) (fileHandle, error) {
	if err := r.begin("open", path); err != nil {
		return nil, err
	}
	f, err := r.osFilesystem.OpenFile(path, flags)
	if err != nil {
		return nil, err
	}
	name := filepath.Base(path)
	inode, exists := r.names[name]
	if !exists {
		inode = len(r.steps) + 1
		r.names[name] = inode
		r.record(step{kind: "create", name: name, inode: inode})
	} else if flags&os.O_TRUNC != 0 {
		r.record(step{kind: "truncate", inode: inode})
	}
	return &recordedFile{fileHandle: f, r: r, inode: inode}, nil
}

func (r *recorder) Rename(from, to string) error {
	if err := r.begin("rename", from); err != nil {
		return err
	}
	if err := r.osFilesystem.Rename(from, to); err != nil {
		return err
	}
	from, to = filepath.Base(from), filepath.Base(to)
	r.record(step{kind: "rename", name: from, to: to, inode: r.names[from]})
	r.names[to] = r.names[from]
	delete(r.names, from)
	return nil
}

func (r *recorder) Remove(path string) error {
	if err := r.begin("remove", path); err != nil {
		return err
	}
	if err := r.osFilesystem.Remove(path); err != nil {
		return err
	}
	delete(r.names, filepath.Base(path))
	r.record(step{kind: "remove", name: filepath.Base(path)})
	return nil
}

func (r *recorder) SyncDir(string) error {
	if err := r.begin("sync directory", ""); err != nil {
		return err
	}
	r.record(step{kind: "sync directory"})
	return nil
}

// recordedFile is an open file of a recorder.
type recordedFile struct {
	fileHandle
	r     *recorder
	inode int
	at    int64
}

// name returns the present name of the file; "" for none.
func (f *recordedFile) name() string {
	for name, inode := range f.r.names {
		if inode == f.inode {
			return name
		}
	}
	return ""
}

func (f *recordedFile) Read(to []byte) (int, error) {
	n, err := f.fileHandle.Read(to)
	f.at += int64(n)
	return n, err
}

func (f *recordedFile) Write(data []byte) (int, error) {
	fault := f.r.begin("write", f.name())
	if errors.Is(fault, errKilled) {
		return 0, fault
	}
	if fault != nil {
		data = data[:len(data)/2]
	}
	n, err := f.fileHandle.Write(data)
	if err != nil {
		return n, err
	}
	f.r.record(step{kind: "write", name: f.name(), inode: f.inode, at: f.at, data: slices.Clone(data)})
	f.at += int64(n)
	return n, fault
}

func (f *recordedFile) Sync() error {
	err := f.r.begin("sync", f.name())
	switch {
	case err == nil:
		f.r.record(step{kind: "sync", name: f.name(), inode: f.inode})
	case !errors.Is(err, errKilled):
		f.r.record(step{kind: "sync failed", name: f.name(), inode: f.inode})
	}
	return err
}

func (f *recordedFile) Truncate(size int64) error {
	if err := f.r.begin("truncate", f.name()); err != nil {
		return err
	}
	f.r.record(step{kind: "truncate", name: f.name(), inode: f.inode, at: size})
	return f.fileHandle.Truncate(size)
}

// diskModel is the durable content of a disk, with the operations since.
type diskModel struct {
	files       map[int]*fileModel // by inode
	names       map[string]int
	nameChanges []step // since the last sync of the directory
	states      []step // the last confirmed write of the store, and those that began since
}

// fileModel is the content of a file.
type fileModel struct {
	durable [][]byte // possible durable contents
	pending []step   // since the last sync
}

func newDiskModel() *diskModel {
	return &diskModel{files: map[int]*fileModel{}, names: map[string]int{}, states: []step{{kind: "confirmed", state: map[string]string{}}}}
}

// applyStep returns the content of a file after a write of data or a truncation.
func applyStep(before []byte, s *step, data []byte) []byte {
	if s.kind == "truncate" {
		return append(slices.Clone(before[:min(len(before), int(s.at))]), make([]byte, max(0, int(s.at)-len(before)))...)
	}
	after := append(slices.Clone(before), make([]byte, max(0, int(s.at)+len(data)-len(before)))...)
	copy(after[s.at:], data)
	return after
}

// outcomes returns the contents that a power loss may leave. If exhaustive, a write is torn in every way, not only in a few.
func (f *fileModel) outcomes(exhaustive bool) (out [][]byte) {
	for _, content := range f.durable {
		out = append(out, content)
		for i := range f.pending {
			s := &f.pending[i]
			if s.kind == "write" {
				out = append(out, tornWrites(content, s, exhaustive)...)
			}
			content = applyStep(content, s, s.data)
			out = append(out, content)
		}
	}
	return out
}

// tornWrites returns contents after a torn write: cut short, followed by zeros, or without some sectors.
func tornWrites(before []byte, s *step, exhaustive bool) (out [][]byte) {
	n := len(s.data)
	cuts := []int{0, min(commitBytes, n), n / 2, n - 1}
	var edges []int
	for at := sectorBytes - int(s.at)%sectorBytes; at < n; at += sectorBytes {
		edges = append(edges, at)
	}
	if exhaustive && n < 400 {
		cuts = cuts[:0]
		for cut := range n {
			cuts = append(cuts, cut)
		}
	} else if exhaustive {
		for _, at := range edges {
			cuts = append(cuts, at-1, at, at+1)
		}
	}
	for _, cut := range cuts {
		zeros := append(slices.Clone(s.data[:cut]), make([]byte, n-cut)...)
		out = append(out, applyStep(before, s, s.data[:cut]), applyStep(before, s, zeros))
	}
	from := 0
	for _, to := range append(edges, n) {
		missing := slices.Clone(s.data)
		clear(missing[from:to])
		only := make([]byte, n)
		copy(only[from:to], s.data[from:to])
		out = append(out, applyStep(before, s, missing), applyStep(before, s, only))
		from = to
	}
	return out
}

// apply applies a step to the model.
func (m *diskModel) apply(s step) {
	file := m.files[s.inode]
	switch s.kind {
	case "create":
		m.files[s.inode] = &fileModel{durable: [][]byte{nil}}
		m.nameChanges = append(m.nameChanges, s)
	case "rename", "remove":
		m.nameChanges = append(m.nameChanges, s)
	case "write", "truncate":
		file.pending = append(file.pending, s)
	case "sync":
		for i, content := range file.durable {
			for j := range file.pending {
				content = applyStep(content, &file.pending[j], file.pending[j].data)
			}
			file.durable[i] = content
		}
		file.pending = nil
	case "sync failed":
		file.durable, file.pending = file.outcomes(false), nil
	case "sync directory":
		m.names, m.nameChanges = m.namesAfter(1<<len(m.nameChanges)-1), nil
	case "began":
		m.states = append(m.states, s)
	case "confirmed":
		m.states = []step{s}
	}
}

// namesAfter returns the names if only the pending changes in a bit set were made.
func (m *diskModel) namesAfter(kept int) map[string]int {
	names := maps.Clone(m.names)
	for i, s := range m.nameChanges {
		if kept&(1<<i) == 0 {
			continue
		}
		delete(names, s.name)
		switch s.kind {
		case "create":
			names[s.name] = s.inode
		case "rename":
			names[s.to] = s.inode
		}
	}
	return names
}

// disks calls each for every disk content that a power loss may leave.
func (m *diskModel) disks(exhaustive bool, each func(map[string][]byte)) {
	for kept := range 1 << len(m.nameChanges) {
		disk, storeFile := map[string][]byte{}, [][]byte(nil)
		for name, inode := range m.namesAfter(kept) {
			if name == fileName {
				storeFile = m.files[inode].outcomes(exhaustive)
				continue
			}
			outcomes := m.files[inode].outcomes(false)
			disk[name] = outcomes[len(outcomes)/2]
		}
		if storeFile == nil {
			each(disk)
		}
		for _, text := range storeFile {
			disk[fileName] = text
			each(disk)
		}
	}
}

// noSyncFilesystem is the filesystem without its syncs, which are slow and not needed where no power loss is modeled.
type noSyncFilesystem struct{ osFilesystem }

type noSyncHandle struct{ fileHandle }

func (noSyncHandle) Sync() error { return nil }

func (noSyncFilesystem) SyncDir(string) error { return nil }

func (n noSyncFilesystem) OpenFile(path string, flags int) (fileHandle, error) {
	f, err := n.osFilesystem.OpenFile(path, flags)
	if err != nil {
		return nil, err
	}
	return noSyncHandle{f}, nil
}

// recoveryChecker opens and checks disk contents that a power loss may leave, each once.
type recoveryChecker struct {
	dir     string
	checked map[string]bool
	present map[string][]byte // the files in dir
}

func newRecoveryChecker(t *testing.T) *recoveryChecker {
	return &recoveryChecker{dir: t.TempDir(), checked: map[string]bool{}, present: map[string][]byte{}}
}

// createFiles replaces the files in the directory by those of a disk.
func (c *recoveryChecker) createFiles(disk map[string][]byte) error {
	for name := range c.present {
		if _, stays := disk[name]; !stays {
			if err := os.Remove(filepath.Join(c.dir, name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
				return err
			}
		}
	}
	for name, text := range disk {
		if err := os.WriteFile(filepath.Join(c.dir, name), text, 0o600); err != nil {
			return err
		}
	}
	c.present = maps.Clone(disk)
	return nil
}

// open opens a disk, either with real files or only by loading the content of its file.
func (c *recoveryChecker) open(disk map[string][]byte, realFiles bool) (*Store, error) {
	if !realFiles {
		db, _, err := load(disk[fileName])
		return &Store{db: db}, err
	}
	if err := c.createFiles(disk); err != nil {
		return nil, err
	}
	s, corrupt, err := openIn(noSyncFilesystem{}, c.dir, testSlack)
	if err == nil && corrupt != nil {
		err = fmt.Errorf("a disk without corruption is reported as corrupt: %w", corrupt)
	}
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(filepath.Join(c.dir, tempFileName)); !errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("the unfinished snapshot was not removed: %w", err)
	}
	return s, nil
}

// check opens a disk and checks that it holds one of the states.
func (c *recoveryChecker) check(disk map[string][]byte, states []step) error {
	key := ""
	for _, s := range states {
		key += fmt.Sprintf("%x ", s.digest)
	}
	for _, name := range slices.Sorted(maps.Keys(disk)) {
		key += fmt.Sprintf(" %s=%x:%d", name, xxhash.Sum64(disk[name]), len(disk[name]))
	}
	if c.checked[key] {
		return nil
	}
	c.checked[key] = true
	store, err := c.open(disk, len(c.checked)%6 == 0)
	if err != nil {
		return err
	}
	defer store.Close()
	held, err := readAllRecords(store)
	if err != nil {
		return err
	}
	for _, s := range states {
		if maps.Equal(s.state, held) {
			return nil
		}
	}
	return fmt.Errorf("the disk holds %v, which is none of the %d possible states", summarize(held), len(states))
}

// checkPowerLoss checks each disk content that a power loss may leave after any of the steps, from an index on.
func (c *recoveryChecker) checkPowerLoss(steps []step, from int, exhaustive bool) (failure error) {
	model := newDiskModel()
	for i, s := range steps {
		model.apply(s)
		if i < from {
			continue
		}
		model.disks(exhaustive, func(disk map[string][]byte) {
			if failure != nil {
				return
			}
			if err := c.check(disk, model.states); err != nil {
				failure = fmt.Errorf("power lost after step %d (%s %s): %w", i+1, s.kind, s.name, err)
			}
		})
	}
	return failure
}

const testSlack = 300 // small, so that the file is rewritten often

// readAllRecords returns all records of a store, by name.
func readAllRecords(store *Store) (map[string]string, error) {
	out := map[string]string{}
	err := store.Range("", func(name string, decode func(any) error) error {
		var s string
		if err := decode(&s); err != nil {
			return err
		}
		out[name] = s
		return nil
	})
	return out, err
}

// summarize returns the records of a state with shortened values.
func summarize(state map[string]string) string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(state)) {
		out = append(out, fmt.Sprintf("%s:%.9s", name, state[name]))
	}
	return strings.Join(out, " ")
}

// workload returns the writes of a store: the identity of its disk, small records, large records that replace each other, and several
// records at once.
func workload() (out []map[string]any) {
	large := func(i, n int) string { return fmt.Sprint("version ", i, strings.Repeat(fmt.Sprint(" line ", i), n)) }
	out = append(out, map[string]any{"disk": "d#1"}, map[string]any{"promise": "7"})
	for i := range 4 {
		out = append(out, map[string]any{"config": large(i, 150)})
		out = append(out, map[string]any{"config": large(10+i, 40), "promise": fmt.Sprint("set ", i), "chosen": large(i, 60)})
	}
	return out
}

// writeWorkload runs the workload from an index on, and records the begin and the confirmation of each write. It continues after errors.
func (r *recorder) writeWorkload(store *Store, state map[string]string, from int) (errs []error) {
	for _, records := range workload()[from:] {
		next := maps.Clone(state)
		for name, v := range records {
			next[name] = v.(string)
		}
		r.record(step{kind: "began", state: next})
		if err := store.PutAll(records); err != nil {
			errs = append(errs, err)
			continue
		}
		state = next
		r.record(step{kind: "confirmed", state: state})
	}
	return errs
}

// recordWorkload runs the workload on an empty disk.
func recordWorkload(t *testing.T, r *recorder) (dir string, errs []error) {
	t.Helper()
	dir, r.names = t.TempDir(), map[string]int{}
	store, corrupt, err := openIn(r, dir, testSlack)
	if err != nil {
		return dir, []error{err}
	}
	defer store.Close()
	if corrupt != nil {
		t.Fatal(corrupt)
	}
	return dir, r.writeWorkload(store, map[string]string{}, 0)
}

func TestPowerLossAtAnyStep(t *testing.T) {
	t.Parallel()
	r := &recorder{}
	if _, errs := recordWorkload(t, r); errs != nil {
		t.Fatal(errs)
	}
	renames := 0
	for _, s := range r.steps {
		if s.kind == "rename" {
			renames++
		}
	}
	if renames < 4 {
		t.Errorf("only %d compactions", renames)
	}
	c := newRecoveryChecker(t)
	if err := c.checkPowerLoss(r.steps, 0, true); err != nil {
		t.Error(err)
	}
	t.Logf("%d steps, %d compactions, %d disks", len(r.steps), renames, len(c.checked))
}

// A second power loss occurs while the disk that the first one left is opened and written to.
func TestPowerLossDuringRecovery(t *testing.T) {
	t.Parallel()
	r := &recorder{}
	if _, errs := recordWorkload(t, r); errs != nil {
		t.Fatal(errs)
	}
	c, first := newRecoveryChecker(t), 0
	model := newDiskModel()
	for _, s := range r.steps {
		model.apply(s)
		model.disks(false, func(disk map[string][]byte) {
			if first++; first%9 != 0 || t.Failed() {
				return
			}
			dir, again := t.TempDir(), &recorder{names: map[string]int{}}
			for name, text := range disk {
				if err := os.WriteFile(filepath.Join(dir, name), text, 0o600); err != nil {
					t.Fatal(err)
				}
				inode := len(again.steps) + 1
				again.names[name] = inode
				again.steps = append(again.steps, step{kind: "create", name: name, inode: inode},
					step{kind: "write", inode: inode, data: text}, step{kind: "sync", inode: inode})
			}
			again.steps = append(again.steps, step{kind: "sync directory"})
			again.steps = append(again.steps, model.states...)
			if err := c.checkReopen(again, dir, ""); err != nil {
				t.Error(err)
			}
		})
	}
	t.Logf("%d disks, %d after the second power loss", first/9, len(c.checked))
}

// checkReopen opens the real files, writes to them, and checks every power loss from the opening on. Records that were read at the opening
// may be sent to peers, so they must be durable. The ignored operation has no effect during the opening.
func (c *recoveryChecker) checkReopen(r *recorder, dir, ignored string) error {
	from := len(r.steps)
	r.ignored = ignored
	store, corrupt, err := openIn(r, dir, testSlack)
	r.ignored = ""
	if err != nil {
		return err
	}
	defer store.Close()
	if corrupt != nil {
		return fmt.Errorf("a disk without corruption is reported as corrupt: %w", corrupt)
	}
	state, err := readAllRecords(store)
	if err != nil {
		return err
	}
	r.record(step{kind: "confirmed", state: state})
	if errs := r.writeWorkload(store, state, len(workload())-2); errs != nil {
		return errs[0]
	}
	return c.checkPowerLoss(r.steps, from, false)
}

// The process is killed at any operation and restarts without a power loss, so it reads data that may be in memory only; then power is lost.
func TestKillAtAnyStep(t *testing.T) {
	t.Parallel()
	c := newRecoveryChecker(t)
	if err := c.checkKills(t, ""); err != nil {
		t.Error(err)
	}
	t.Logf("%d disks", len(c.checked))
}

// checkKills kills the process at each operation of the workload and checks the restart.
func (c *recoveryChecker) checkKills(t *testing.T, ignored string) error {
	for kill := 1; ; kill++ {
		r := &recorder{fault: func(count int, _, _ string) error {
			if count == kill {
				return errKilled
			}
			return nil
		}}
		dir, errs := recordWorkload(t, r)
		if errs == nil {
			return nil
		}
		r.fault, r.killed = nil, false
		if err := c.checkReopen(r, dir, ignored); err != nil {
			return fmt.Errorf("killed at operation %d: %w", kill, err)
		}
	}
}

// One operation fails, or several in a row. The failed writes return errors of the disk, the earlier records are kept, and later writes
// succeed.
func TestFailingDiskLosesNothing(t *testing.T) {
	t.Parallel()
	c := newRecoveryChecker(t)
	for _, failures := range []int{1, 5} {
		for fail := 1; ; fail += failures {
			first, from, r := "", 0, &recorder{}
			r.fault = func(count int, kind, _ string) error {
				if count < fail || count >= fail+failures {
					return nil
				}
				if first == "" {
					first, from = kind, len(r.steps)
				}
				return syscall.ENOSPC
			}
			_, errs := recordWorkload(t, r)
			if first == "" {
				break
			}
			if len(errs) == 0 || len(errs) > failures {
				t.Fatalf("operation %d, %s, failed: the writes return %v", fail, first, errs)
			}
			for _, err := range errs {
				if !errorx.IsOfType(err, DiskFailure) {
					t.Fatalf("operation %d, %s, failed: a write returns %v, want a disk failure", fail, first, err)
				}
			}
			if err := c.checkPowerLoss(r.steps, from, false); err != nil {
				t.Fatalf("%d operations failed, from operation %d, %s: %v", failures, fail, first, err)
			}
		}
	}
	t.Logf("%d disks", len(c.checked))
}

// A sync fails, and the process exits before the next write: data that is in memory only must not be read as durable.
func TestExitAfterAFailedSync(t *testing.T) {
	t.Parallel()
	c := newRecoveryChecker(t)
	for fail := 1; ; fail++ {
		failed, r := false, &recorder{}
		r.fault = func(count int, kind, _ string) error {
			switch {
			case count == fail && kind == "sync":
				failed = true
				return syscall.EIO
			case failed && kind != "truncate" && kind != "remove":
				return errKilled
			}
			return nil
		}
		dir, errs := recordWorkload(t, r)
		if !failed && r.count < fail {
			break
		}
		if errs == nil {
			continue
		}
		r.fault, r.killed = nil, false
		if err := c.checkReopen(r, dir, ""); err != nil {
			t.Fatalf("operation %d failed: %v", fail, err)
		}
	}
	t.Logf("%d disks", len(c.checked))
}

// The model detects each missing sync: without it, a disk lost confirmed records, or is corrupt.
func TestMissingSyncIsFound(t *testing.T) {
	t.Parallel()
	for _, ignored := range []string{"sync " + fileName, "sync " + tempFileName, "sync directory"} {
		r := &recorder{ignored: ignored}
		if _, errs := recordWorkload(t, r); errs != nil {
			t.Fatal(errs)
		}
		if newRecoveryChecker(t).checkPowerLoss(r.steps, 0, false) == nil {
			t.Errorf("without %q, no loss is detected", ignored)
		}
	}
	for _, ignored := range []string{"sync " + fileName, "sync directory"} {
		if newRecoveryChecker(t).checkKills(t, ignored) == nil {
			t.Errorf("without %q at the opening, no loss is detected", ignored)
		}
	}
}
