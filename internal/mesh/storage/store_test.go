package storage

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/tidwall/buntdb"
)

// version is a legacy entry, as an earlier version of the program stored it. gob writes the name of the type.
type version struct {
	Key   string
	Stamp struct {
		Number uint64
		By     string
	}
	Body []byte
}

func newLegacyEntry(key string, n uint64) version {
	v := version{Key: key, Body: []byte("body of " + key)}
	v.Stamp.Number, v.Stamp.By = n, "d"
	return v
}

// writeLegacyEntries writes entries as an earlier version of the program did, all or none.
func writeLegacyEntries(s *Store, all ...version) error {
	values := map[string]any{}
	for _, v := range all {
		values[legacyPrefix+v.Key] = v
	}
	return s.write(values)
}

// readLegacyEntries returns all entries that an earlier version of the program stored.
func readLegacyEntries(s *Store) (out []version, err error) {
	err = s.LegacyEntries(func(key string, decode func(any) error) error {
		var v version
		if err := decode(&v); err != nil {
			return err
		}
		if v.Key != key {
			return Corrupt.New("%s holds %s", key, v.Key)
		}
		out = append(out, v)
		return nil
	})
	return out, err
}

// createStore creates a store with two legacy entries and one record.
func createStore(t *testing.T, dir string) {
	t.Helper()
	store, corrupt, err := Open(dir)
	if err != nil || corrupt != nil {
		t.Fatal(err, corrupt)
	}
	if err := writeLegacyEntries(store, newLegacyEntry("config", 3), newLegacyEntry("evacuation/north", 1)); err != nil {
		t.Fatal(err)
	}
	if err := store.Put("disk", "d#1"); err != nil {
		t.Fatal(err)
	}
	if err := store.Close(); err != nil {
		t.Fatal(err)
	}
}

func TestWrittenRecordsAreRead(t *testing.T) {
	dir := t.TempDir()
	createStore(t, dir)
	store, corrupt, err := Open(dir)
	if err != nil || corrupt != nil {
		t.Fatal(err, corrupt)
	}
	defer store.Close()
	held, err := readLegacyEntries(store)
	if err != nil || len(held) != 2 || !reflect.DeepEqual(held[0], newLegacyEntry("config", 3)) {
		t.Fatalf("%v %v", held, err)
	}
	var disk string
	if ok, err := store.Get("disk", &disk); !ok || err != nil || disk != "d#1" {
		t.Fatal(ok, err, disk)
	}
	if ok, err := store.Get("nothing", &disk); ok || err != nil {
		t.Fatal(ok, err)
	}
}

// A write that a power loss has torn at any byte is dropped with all its records, even if the rest reads as zeros. The records that were
// synced before are kept, and later writes succeed.
func TestTornTailIsCutOff(t *testing.T) {
	dir := t.TempDir()
	createStore(t, dir)
	path := filepath.Join(dir, fileName)
	intact, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	store, _, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	if err := writeLegacyEntries(store, newLegacyEntry("config", 4), newLegacyEntry("evacuation/south", 1)); err != nil {
		t.Fatal(err)
	}
	if err := store.Close(); err != nil {
		t.Fatal(err)
	}
	longer, err := os.ReadFile(path)
	if err != nil || len(longer) <= len(intact) {
		t.Fatal(len(longer), err)
	}
	for cut := len(intact); cut < len(longer); cut++ {
		zeros := make([]byte, len(longer)-cut)
		for _, left := range [][]byte{longer[:cut], append(slices.Clone(longer[:cut]), zeros...), append(slices.Clone(longer[:cut]), zeros[0])} {
			db, at, err := load(left)
			if err != nil || at != len(intact) {
				t.Fatalf("cut at %d of %d, %d left: intact to %d, %v", cut, len(longer), len(left), at, err)
			}
			db.Close()
			if cut%10 != 0 {
				continue
			}
			if err := os.WriteFile(path, left, 0o644); err != nil {
				t.Fatal(err)
			}
			store, corrupt, err := openIn(noSyncFilesystem{}, dir, defaultSlackBytes)
			if err != nil || corrupt != nil {
				t.Fatalf("cut at %d of %d, %d left: %v %v", cut, len(longer), len(left), err, corrupt)
			}
			held, err := readLegacyEntries(store)
			if err != nil || len(held) != 2 || held[0].Stamp.Number != 3 {
				t.Fatalf("cut at %d: %v %v", cut, held, err)
			}
			if err := writeLegacyEntries(store, newLegacyEntry("config", 5)); err != nil {
				t.Fatal(err)
			}
			store.Close()
			if store, corrupt, err = openIn(noSyncFilesystem{}, dir, defaultSlackBytes); err != nil || corrupt != nil {
				t.Fatalf("cut at %d, then written: %v %v", cut, err, corrupt)
			}
			if held, err = readLegacyEntries(store); err != nil || len(held) != 2 || held[0].Stamp.Number != 5 {
				t.Fatalf("cut at %d, then written: %v %v", cut, held, err)
			}
			store.Close()
		}
	}
}

// A changed byte at any offset is reported as corruption, in the last write too. So are zeros in the middle and missing parts.
func TestAnyChangedByteIsDetected(t *testing.T) {
	dir := t.TempDir()
	createStore(t, dir)
	text, err := os.ReadFile(filepath.Join(dir, fileName))
	if err != nil {
		t.Fatal(err)
	}
	wantCorrupt := func(change string, text []byte) {
		t.Helper()
		db, _, err := load(text)
		if err == nil {
			db.Close()
		}
		if !errorx.IsOfType(err, Corrupt) {
			t.Errorf("%s: %v, want corruption", change, err)
		}
	}
	for i := range text {
		changed := slices.Clone(text)
		changed[i] ^= 0x40
		wantCorrupt(fmt.Sprintf("byte %d changed", i), changed)
	}
	zeroed := slices.Clone(text)
	clear(zeroed[:commitBytes])
	wantCorrupt("zeros in the middle", zeroed)
	snapshot := 0
	for at := range text {
		if n, _, ok := parseCommit(text, at); ok && n == 0 {
			snapshot = at + commitBytes
		}
	}
	if snapshot == 0 || snapshot == len(text) {
		t.Fatalf("the snapshot has %d of %d bytes", snapshot, len(text))
	}
	for cut := 1; cut < snapshot; cut++ {
		wantCorrupt(fmt.Sprintf("a snapshot cut at %d", cut), text[:cut])
		wantCorrupt(fmt.Sprintf("a snapshot of zeros from %d", cut), append(slices.Clone(text[:cut]), make([]byte, snapshot-cut)...))
	}
	long := slices.Clone(text)
	for i := range 3 {
		long = append(long, encodeBatch(int64(len(long)), appendSetCommand(nil, "key", seal("key", bytes.Repeat([]byte{'a' + byte(i)}, 600))))...)
	}
	if db, intact, err := load(long); err != nil || intact != len(long) {
		t.Fatal(intact, err)
	} else {
		db.Close()
	}
	batchBytes := (len(long) - len(text)) / 3
	wantCorrupt("the first write is missing", long[len(text):])
	wantCorrupt("a write in the middle is missing", append(slices.Clone(long[:len(text)]), long[len(text)+batchBytes:]...))
	next := len(text) + batchBytes
	clear(long[next : (next/sectorBytes+1)*sectorBytes])
	wantCorrupt("a sector of zeros in the middle", long)
	wantCorrupt("a part is missing", append(slices.Clone(text[:commitBytes+9]), text[commitBytes+29:]...))
}

// A file that an earlier version of the program wrote, with buntdb and without commits, is read, even with a torn tail. buntdb reads a file
// of the present version.
func TestLegacyFileIsRead(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, fileName)
	db, err := buntdb.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	set := func(key string, v any) {
		var text bytes.Buffer
		if err := gob.NewEncoder(&text).Encode(v); err != nil {
			t.Fatal(err)
		}
		err := db.Update(func(tx *buntdb.Tx) error {
			_, _, err := tx.Set(key, seal(key, text.Bytes()), nil)
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	set(recordPrefix+"disk", "d#1")
	set(legacyPrefix+"config", newLegacyEntry("config", 3))
	if err := db.Close(); err != nil {
		t.Fatal(err)
	}
	before, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if db, err = buntdb.Open(path); err != nil {
		t.Fatal(err)
	}
	set(legacyPrefix+"config", newLegacyEntry("config", 4))
	if err := db.Close(); err != nil {
		t.Fatal(err)
	}
	after, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for cut := len(before); cut <= len(after); cut++ {
		want := uint64(3)
		if cut == len(after) {
			want = 4
		}
		for _, left := range [][]byte{after[:cut], append(slices.Clone(after[:cut]), make([]byte, len(after)-cut)...)} {
			if cut%10 != 0 && cut < len(after) {
				db, at, err := load(left)
				if err != nil || at != len(before) {
					t.Fatalf("cut at %d: intact to %d, %v", cut, at, err)
				}
				db.Close()
				continue
			}
			if err := os.WriteFile(path, left, 0o600); err != nil {
				t.Fatal(err)
			}
			store, corrupt, err := openIn(noSyncFilesystem{}, dir, defaultSlackBytes)
			if err != nil || corrupt != nil {
				t.Fatalf("cut at %d: %v %v", cut, err, corrupt)
			}
			var disk string
			held, err := readLegacyEntries(store)
			if ok, failed := store.Get("disk", &disk); err != nil || failed != nil || !ok || disk != "d#1" || len(held) != 1 || held[0].Stamp.Number != want {
				t.Fatalf("cut at %d: %v %v %v %q", cut, err, failed, held, disk)
			}
			if err := store.Put("later", "x"); err != nil {
				t.Fatal(err)
			}
			store.Close()
		}
	}
	if db, err = buntdb.Open(path); err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	err = db.View(func(tx *buntdb.Tx) error {
		_, err := tx.Get(recordPrefix + "later")
		return err
	})
	if err != nil {
		t.Error(err)
	}
}

// Range returns only the records whose names have the prefix, sorted by name, and its callback may write. A write with a record that cannot
// be stored changes no record.
func TestRecordsAreWrittenAtomically(t *testing.T) {
	dir := t.TempDir()
	store, _, err := Open(filepath.Join(dir, "new", "folder"))
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	if err := store.PutAll(map[string]any{"register/b": 2, "register/a": 1, "registry": 9}); err != nil {
		t.Fatal(err)
	}
	if err := store.PutAll(map[string]any{"register/a": 7, "register/c": make(chan int)}); !errorx.IsOfType(err, InvalidRecord) {
		t.Errorf("write of a channel: %v, want an invalid record", err)
	}
	if err := store.Put("large", make([]byte, maxBatchBytes)); !errorx.IsOfType(err, InvalidRecord) {
		t.Errorf("write of a record above the limit: %v, want an invalid record", err)
	}
	var names []string
	sum := 0
	err = store.Range("register/", func(name string, decode func(any) error) error {
		var n int
		if err := decode(&n); err != nil {
			return err
		}
		names, sum = append(names, name), sum*10+n
		return store.Put(name, n+1)
	})
	if err != nil || !slices.Equal(names, []string{"register/a", "register/b"}) || sum != 12 {
		t.Errorf("%v %v %d", err, names, sum)
	}
}

// The file stays within its size bound, however often a record is changed.
func TestFileSizeIsBounded(t *testing.T) {
	dir := t.TempDir()
	store, _, err := openIn(noSyncFilesystem{}, dir, 10_000)
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	for i := range 500 {
		if err := store.Put("config", bytes.Repeat([]byte{byte(i)}, 3000+i)); err != nil {
			t.Fatal(err)
		}
		info, err := os.Stat(filepath.Join(dir, fileName))
		if err != nil || info.Size() > growthFactor*3700+10_000 {
			t.Fatalf("after %d changes: %d bytes, %v", i+1, info.Size(), err)
		}
	}
}

// A changed byte is reported as corruption, and the store is empty.
func TestCorruptFileIsSetAside(t *testing.T) {
	dir := t.TempDir()
	createStore(t, dir)
	path := filepath.Join(dir, fileName)
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	i := len(text) / 2
	text[i] ^= 0x40
	if err := os.WriteFile(path, text, 0o644); err != nil {
		t.Fatal(err)
	}
	store, corrupt, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	if !errorx.IsOfType(corrupt, Corrupt) {
		t.Fatalf("%v, want corruption", corrupt)
	}
	if held, _ := readLegacyEntries(store); len(held) > 0 {
		t.Fatalf("the store still holds %v", held)
	}
}
