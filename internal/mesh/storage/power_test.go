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

// A model of the loss of power. A recorder does what a store asks for on real files, and notes each step. From every prefix of
// the steps, each disk that may be left is made and opened. What was synced is there; of what came after, writes are there, absent
// or torn, and names in the folder were changed or not, each by itself. A sync that failed leaves any of that for good, also when a
// later one succeeds.

// step is one operation, or a mark: a write began or was confirmed that makes the state what it tells.
type step struct {
	kind     string // create, write, truncate, sync, sync failed, rename, remove, sync folder, began, confirmed
	inode    int
	name, to string
	at       int64 // of a write: its place; of a truncation: the size
	data     []byte
	state    map[string]string
	print    uint64 // of the state
}

var errKilled = errors.New("killed")

// recorder is a disk that notes what is done to it. The real files are what a process that is started anew reads.
type recorder struct {
	osFilesystem
	steps []step
	names map[string]int
	count int
	// fails tells what an operation ends with: nil, errKilled (and so does each after it), or another error.
	fails func(count int, kind, name string) error
	deaf  string // an operation, with the name it is done to, that is taken for done and is not: a planted fault
	dead  bool
}

func (r *recorder) begin(kind, path string) error {
	if r.dead {
		return errKilled
	}
	r.count++
	if r.fails == nil {
		return nil
	}
	err := r.fails(r.count, kind, filepath.Base(path))
	r.dead = errors.Is(err, errKilled)
	return err
}

func (r *recorder) note(s step) {
	if s.state != nil {
		s.print = xxhash.Sum64String(fmt.Sprint(s.state))
	}
	if r.deaf == "" || strings.TrimSpace(s.kind+" "+s.name) != r.deaf {
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
	inode, there := r.names[name]
	if !there {
		inode = len(r.steps) + 1
		r.names[name] = inode
		r.note(step{kind: "create", name: name, inode: inode})
	} else if flags&os.O_TRUNC != 0 {
		r.note(step{kind: "truncate", inode: inode})
	}
	return &recorded{fileHandle: f, r: r, inode: inode}, nil
}

func (r *recorder) Rename(from, to string) error {
	if err := r.begin("rename", from); err != nil {
		return err
	}
	if err := r.osFilesystem.Rename(from, to); err != nil {
		return err
	}
	from, to = filepath.Base(from), filepath.Base(to)
	r.note(step{kind: "rename", name: from, to: to, inode: r.names[from]})
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
	r.note(step{kind: "remove", name: filepath.Base(path)})
	return nil
}

func (r *recorder) SyncDir(string) error {
	if err := r.begin("sync folder", ""); err != nil {
		return err
	}
	r.note(step{kind: "sync folder"})
	return nil
}

type recorded struct {
	fileHandle
	r     *recorder
	inode int
	at    int64
}

// name is the one that the file has now; "" for none.
func (f *recorded) name() string {
	for name, inode := range f.r.names {
		if inode == f.inode {
			return name
		}
	}
	return ""
}

func (f *recorded) Read(to []byte) (int, error) {
	n, err := f.fileHandle.Read(to)
	f.at += int64(n)
	return n, err
}

func (f *recorded) Write(data []byte) (int, error) {
	failed := f.r.begin("write", f.name())
	if errors.Is(failed, errKilled) {
		return 0, failed
	}
	if failed != nil {
		data = data[:len(data)/2]
	}
	n, err := f.fileHandle.Write(data)
	if err != nil {
		return n, err
	}
	f.r.note(step{kind: "write", name: f.name(), inode: f.inode, at: f.at, data: slices.Clone(data)})
	f.at += int64(n)
	return n, failed
}

func (f *recorded) Sync() error {
	err := f.r.begin("sync", f.name())
	switch {
	case err == nil:
		f.r.note(step{kind: "sync", name: f.name(), inode: f.inode})
	case !errors.Is(err, errKilled):
		f.r.note(step{kind: "sync failed", name: f.name(), inode: f.inode})
	}
	return err
}

func (f *recorded) Truncate(size int64) error {
	if err := f.r.begin("truncate", f.name()); err != nil {
		return err
	}
	f.r.note(step{kind: "truncate", name: f.name(), inode: f.inode, at: size})
	return f.fileHandle.Truncate(size)
}

// world is what is certain of a disk, and what was done to it since.
type world struct {
	files  map[int]*content
	names  map[string]int
	since  []step // to names
	states []step // marks: the one confirmed last, and those that began since
}

type content struct {
	maybe [][]byte // one of these is on the disk
	since []step
}

func newWorld() *world {
	return &world{files: map[int]*content{}, names: map[string]int{}, states: []step{{kind: "confirmed", state: map[string]string{}}}}
}

func written(before []byte, s *step, data []byte) []byte {
	if s.kind == "truncate" {
		return append(slices.Clone(before[:min(len(before), int(s.at))]), make([]byte, max(0, int(s.at)-len(before)))...)
	}
	after := append(slices.Clone(before), make([]byte, max(0, int(s.at)+len(data)-len(before)))...)
	copy(after[s.at:], data)
	return after
}

// options are the contents that a loss of power may leave; fine is for each way to tear a write, not only a few.
func (c *content) options(fine bool) (out [][]byte) {
	for _, now := range c.maybe {
		out = append(out, now)
		for i := range c.since {
			s := &c.since[i]
			if s.kind == "write" {
				out = append(out, torn(now, s, fine)...)
			}
			now = written(now, s, s.data)
			out = append(out, now)
		}
	}
	return out
}

func torn(before []byte, s *step, fine bool) (out [][]byte) {
	n := len(s.data)
	cuts := []int{0, min(commitBytes, n), n / 2, n - 1}
	var edges []int
	for at := sectorBytes - int(s.at)%sectorBytes; at < n; at += sectorBytes {
		edges = append(edges, at)
	}
	if fine && n < 400 {
		cuts = cuts[:0]
		for cut := range n {
			cuts = append(cuts, cut)
		}
	} else if fine {
		for _, at := range edges {
			cuts = append(cuts, at-1, at, at+1)
		}
	}
	for _, cut := range cuts {
		zeros := append(slices.Clone(s.data[:cut]), make([]byte, n-cut)...)
		out = append(out, written(before, s, s.data[:cut]), written(before, s, zeros))
	}
	from := 0
	for _, to := range append(edges, n) {
		hole := slices.Clone(s.data)
		clear(hole[from:to])
		only := make([]byte, n)
		copy(only[from:to], s.data[from:to])
		out = append(out, written(before, s, hole), written(before, s, only))
		from = to
	}
	return out
}

func (w *world) do(s step) {
	file := w.files[s.inode]
	switch s.kind {
	case "create":
		w.files[s.inode] = &content{maybe: [][]byte{nil}}
		w.since = append(w.since, s)
	case "rename", "remove":
		w.since = append(w.since, s)
	case "write", "truncate":
		file.since = append(file.since, s)
	case "sync":
		for i, now := range file.maybe {
			for j := range file.since {
				now = written(now, &file.since[j], file.since[j].data)
			}
			file.maybe[i] = now
		}
		file.since = nil
	case "sync failed":
		file.maybe, file.since = file.options(false), nil
	case "sync folder":
		w.names, w.since = w.named(1<<len(w.since)-1), nil
	case "began":
		w.states = append(w.states, s)
	case "confirmed":
		w.states = []step{s}
	}
}

// named are the names if of the changes since just those in a set were kept.
func (w *world) named(kept int) map[string]int {
	names := maps.Clone(w.names)
	for i, s := range w.since {
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

// disks gives each disk that may be left.
func (w *world) disks(fine bool, each func(map[string][]byte)) {
	for kept := range 1 << len(w.since) {
		disk, main := map[string][]byte{}, [][]byte(nil)
		for name, inode := range w.named(kept) {
			if name == fileName {
				main = w.files[inode].options(fine)
				continue
			}
			options := w.files[inode].options(false)
			disk[name] = options[len(options)/2]
		}
		if main == nil {
			each(disk)
		}
		for _, text := range main {
			disk[fileName] = text
			each(disk)
		}
	}
}

// quiet is the machine's disk without its syncs, which would only take time: no power is lost while it is looked at.
type quiet struct{ osFilesystem }

type quietHandle struct{ fileHandle }

func (quietHandle) Sync() error { return nil }

func (quiet) SyncDir(string) error { return nil }

func (q quiet) OpenFile(path string, flags int) (fileHandle, error) {
	f, err := q.osFilesystem.OpenFile(path, flags)
	if err != nil {
		return nil, err
	}
	return quietHandle{f}, nil
}

// model looks at disks that a loss of power left, each once.
type model struct {
	folder string
	seen   map[string]bool
	there  map[string][]byte // in the folder
}

func newModel(t *testing.T) *model {
	return &model{folder: t.TempDir(), seen: map[string]bool{}, there: map[string][]byte{}}
}

// make makes the files of a disk.
func (m *model) make(disk map[string][]byte) error {
	for name := range m.there {
		if _, stays := disk[name]; !stays {
			if err := os.Remove(filepath.Join(m.folder, name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
				return err
			}
		}
	}
	for name, text := range disk {
		if err := os.WriteFile(filepath.Join(m.folder, name), text, 0o600); err != nil {
			return err
		}
	}
	m.there = maps.Clone(disk)
	return nil
}

// open opens a disk, by way of real files or just what its file holds.
func (m *model) open(disk map[string][]byte, onDisk bool) (*Store, error) {
	if !onDisk {
		db, _, err := load(disk[fileName])
		return &Store{db: db}, err
	}
	if err := m.make(disk); err != nil {
		return nil, err
	}
	b, spoilt, err := openIn(quiet{}, m.folder, testSlack)
	if err == nil && spoilt != nil {
		err = fmt.Errorf("an intact disk counts as lost: %w", spoilt)
	}
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(filepath.Join(m.folder, tempFileName)); !errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("what is left of a second file stays: %w", err)
	}
	return b, nil
}

// check opens a disk, which must hold one of the states.
func (m *model) check(disk map[string][]byte, states []step) error {
	key := ""
	for _, s := range states {
		key += fmt.Sprintf("%x ", s.print)
	}
	for _, name := range slices.Sorted(maps.Keys(disk)) {
		key += fmt.Sprintf(" %s=%x:%d", name, xxhash.Sum64(disk[name]), len(disk[name]))
	}
	if m.seen[key] {
		return nil
	}
	m.seen[key] = true
	b, err := m.open(disk, len(m.seen)%6 == 0)
	if err != nil {
		return err
	}
	defer b.Close()
	held, err := everything(b)
	if err != nil {
		return err
	}
	for _, s := range states {
		if maps.Equal(s.state, held) {
			return nil
		}
	}
	return fmt.Errorf("holds %v, which is none of %v", brief(held), len(states))
}

// after checks each disk that may be left after any of the steps from one on.
func (m *model) after(steps []step, from int, fine bool) (bad error) {
	w := newWorld()
	for i, s := range steps {
		w.do(s)
		if i < from {
			continue
		}
		w.disks(fine, func(disk map[string][]byte) {
			if bad != nil {
				return
			}
			if err := m.check(disk, w.states); err != nil {
				bad = fmt.Errorf("power lost after step %d (%s %s): %w", i+1, s.kind, s.name, err)
			}
		})
	}
	return bad
}

const testSlack = 300

func everything(b *Store) (map[string]string, error) {
	out := map[string]string{}
	err := b.Range("", func(name string, decode func(any) error) error {
		var s string
		if err := decode(&s); err != nil {
			return err
		}
		out[name] = s
		return nil
	})
	return out, err
}

func brief(state map[string]string) string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(state)) {
		out = append(out, fmt.Sprintf("%s:%.9s", name, state[name]))
	}
	return strings.Join(out, " ")
}

// writes are a day of a store: the name of its disk, small records, large ones over and over, several at once.
func writes() (out []map[string]any) {
	large := func(i, n int) string { return fmt.Sprint("version ", i, strings.Repeat(fmt.Sprint(" line ", i), n)) }
	out = append(out, map[string]any{"disk": "d#1"}, map[string]any{"promise": "7"})
	for i := range 4 {
		out = append(out, map[string]any{"config": large(i, 150)})
		out = append(out, map[string]any{"config": large(10+i, 40), "promise": fmt.Sprint("set ", i), "chosen": large(i, 60)})
	}
	return out
}

// write writes all from one on, and notes what began and what was confirmed. An error ends nothing.
func (r *recorder) write(b *Store, state map[string]string, from int) (errs []error) {
	for _, records := range writes()[from:] {
		next := maps.Clone(state)
		for name, v := range records {
			next[name] = v.(string)
		}
		r.note(step{kind: "began", state: next})
		if err := b.PutAll(records); err != nil {
			errs = append(errs, err)
			continue
		}
		state = next
		r.note(step{kind: "confirmed", state: state})
	}
	return errs
}

// day records a day on an empty disk.
func day(t *testing.T, r *recorder) (folder string, errs []error) {
	t.Helper()
	folder, r.names = t.TempDir(), map[string]int{}
	b, spoilt, err := openIn(r, folder, testSlack)
	if err != nil {
		return folder, []error{err}
	}
	defer b.Close()
	if spoilt != nil {
		t.Fatal(spoilt)
	}
	return folder, r.write(b, map[string]string{}, 0)
}

func TestPowerLossAtAnyStep(t *testing.T) {
	t.Parallel()
	r := &recorder{}
	if _, errs := day(t, r); errs != nil {
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
	m := newModel(t)
	if err := m.after(r.steps, 0, true); err != nil {
		t.Error(err)
	}
	t.Logf("%d steps, %d compactions, %d disks", len(r.steps), renames, len(m.seen))
}

// Power is lost again while what it left is opened and written to.
func TestPowerLossDuringRecovery(t *testing.T) {
	t.Parallel()
	r := &recorder{}
	if _, errs := day(t, r); errs != nil {
		t.Fatal(errs)
	}
	m, left := newModel(t), 0
	w := newWorld()
	for _, s := range r.steps {
		w.do(s)
		w.disks(false, func(disk map[string][]byte) {
			if left++; left%9 != 0 || t.Failed() {
				return
			}
			folder, again := t.TempDir(), &recorder{names: map[string]int{}}
			for name, text := range disk {
				if err := os.WriteFile(filepath.Join(folder, name), text, 0o600); err != nil {
					t.Fatal(err)
				}
				inode := len(again.steps) + 1
				again.names[name] = inode
				again.steps = append(again.steps, step{kind: "create", name: name, inode: inode},
					step{kind: "write", inode: inode, data: text}, step{kind: "sync", inode: inode})
			}
			again.steps = append(again.steps, step{kind: "sync folder"})
			again.steps = append(again.steps, w.states...)
			if err := m.reopened(again, folder, ""); err != nil {
				t.Error(err)
			}
		})
	}
	t.Logf("%d disks, %d after the second loss", left/9, len(m.seen))
}

// reopened opens a disk as its files show it, writes to it, and checks what a loss of power leaves from the opening on. What was
// read at opening may be told to others, and so must last. An operation is deaf until then.
func (m *model) reopened(r *recorder, folder, deaf string) error {
	from := len(r.steps)
	r.deaf = deaf
	b, spoilt, err := openIn(r, folder, testSlack)
	r.deaf = ""
	if err != nil {
		return err
	}
	defer b.Close()
	if spoilt != nil {
		return fmt.Errorf("an intact disk counts as lost: %w", spoilt)
	}
	state, err := everything(b)
	if err != nil {
		return err
	}
	r.note(step{kind: "confirmed", state: state})
	if errs := r.write(b, state, len(writes())-2); errs != nil {
		return errs[0]
	}
	return m.after(r.steps, from, false)
}

// A process is killed at any step, with the power on, is started anew and reads what may be in memory only; then power is lost.
func TestKillAtAnyStep(t *testing.T) {
	t.Parallel()
	m := newModel(t)
	if err := m.kills(t, ""); err != nil {
		t.Error(err)
	}
	t.Logf("%d disks", len(m.seen))
}

func (m *model) kills(t *testing.T, deaf string) error {
	for kill := 1; ; kill++ {
		r := &recorder{fails: func(count int, _, _ string) error {
			if count == kill {
				return errKilled
			}
			return nil
		}}
		folder, errs := day(t, r)
		if errs == nil {
			return nil
		}
		r.fails, r.dead = nil, false
		if err := m.reopened(r, folder, deaf); err != nil {
			return fmt.Errorf("killed at operation %d: %w", kill, err)
		}
	}
}

// Operations fail, one or several in a row. The writes are told as not done, by errors of the disk; what was held is held; later
// writes are done.
func TestFailingDiskLosesNothing(t *testing.T) {
	t.Parallel()
	m := newModel(t)
	for _, row := range []int{1, 5} {
		for fail := 1; ; fail += row {
			first, from, r := "", 0, &recorder{}
			r.fails = func(count int, kind, _ string) error {
				if count < fail || count >= fail+row {
					return nil
				}
				if first == "" {
					first, from = kind, len(r.steps)
				}
				return syscall.ENOSPC
			}
			_, errs := day(t, r)
			if first == "" {
				break
			}
			if len(errs) == 0 || len(errs) > row {
				t.Fatalf("operation %d, %s, failed: told as %v", fail, first, errs)
			}
			for _, err := range errs {
				if !errorx.IsOfType(err, DiskFailure) {
					t.Fatalf("operation %d, %s, failed: told as %v", fail, first, err)
				}
			}
			if err := m.after(r.steps, from, false); err != nil {
				t.Fatalf("operation %d, %s, and so on, %d in all, failed: %v", fail, first, row, err)
			}
		}
	}
	t.Logf("%d disks", len(m.seen))
}

// A sync fails, and the process ends before it writes again: what is in memory only must not be read as if it lasted.
func TestExitAfterAFailedSync(t *testing.T) {
	t.Parallel()
	m := newModel(t)
	for fail := 1; ; fail++ {
		failed, r := false, &recorder{}
		r.fails = func(count int, kind, _ string) error {
			switch {
			case count == fail && kind == "sync":
				failed = true
				return syscall.EIO
			case failed && kind != "truncate" && kind != "remove":
				return errKilled
			}
			return nil
		}
		folder, errs := day(t, r)
		if !failed && r.count < fail {
			break
		}
		if errs == nil {
			continue
		}
		r.fails, r.dead = nil, false
		if err := m.reopened(r, folder, ""); err != nil {
			t.Fatalf("operation %d failed: %v", fail, err)
		}
	}
	t.Logf("%d disks", len(m.seen))
}

// The model bites: without any one of the syncs, it finds a disk that lost what was confirmed, or counts as lost.
func TestMissingSyncIsFound(t *testing.T) {
	t.Parallel()
	for _, deaf := range []string{"sync " + fileName, "sync " + tempFileName, "sync folder"} {
		r := &recorder{deaf: deaf}
		if _, errs := day(t, r); errs != nil {
			t.Fatal(errs)
		}
		if newModel(t).after(r.steps, 0, false) == nil {
			t.Errorf("without %q, nothing is found", deaf)
		}
	}
	for _, deaf := range []string{"sync " + fileName, "sync folder"} {
		if newModel(t).kills(t, deaf) == nil {
			t.Errorf("without %q at opening, nothing is found", deaf)
		}
	}
}
