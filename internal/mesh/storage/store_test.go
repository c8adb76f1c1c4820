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

// version is a record as an earlier program kept it.
type version struct {
	Key   string
	Stamp struct {
		Number uint64
		By     string
	}
	Body []byte
}

func entry(key string, n uint64) version {
	v := version{Key: key, Body: []byte("body of " + key)}
	v.Stamp.Number, v.Stamp.By = n, "d"
	return v
}

// entries writes versions as an earlier program did, all or none.
func entries(b *Store, all ...version) error {
	values := map[string]any{}
	for _, v := range all {
		values[legacyPrefix+v.Key] = v
	}
	return b.write(values)
}

// versions are all that an earlier program kept in a book.
func versions(b *Store) (out []version, err error) {
	err = b.LegacyEntries(func(key string, decode func(any) error) error {
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

func fill(t *testing.T, folder string) {
	t.Helper()
	b, spoilt, err := Open(folder)
	if err != nil || spoilt != nil {
		t.Fatal(err, spoilt)
	}
	if err := entries(b, entry("config", 3), entry("evacuation/north", 1)); err != nil {
		t.Fatal(err)
	}
	if err := b.Put("disk", "d#1"); err != nil {
		t.Fatal(err)
	}
	if err := b.Close(); err != nil {
		t.Fatal(err)
	}
}

func TestWrittenRecordsAreRead(t *testing.T) {
	folder := t.TempDir()
	fill(t, folder)
	b, spoilt, err := Open(folder)
	if err != nil || spoilt != nil {
		t.Fatal(err, spoilt)
	}
	defer b.Close()
	held, err := versions(b)
	if err != nil || len(held) != 2 || !reflect.DeepEqual(held[0], entry("config", 3)) {
		t.Fatalf("%v %v", held, err)
	}
	var disk string
	if ok, err := b.Get("disk", &disk); !ok || err != nil || disk != "d#1" {
		t.Fatal(ok, err, disk)
	}
	if ok, err := b.Get("nothing", &disk); ok || err != nil {
		t.Fatal(ok, err)
	}
}

// A write that power cut short is cut off at any byte, also where the rest of it reads as zeros, and none of its records is there:
// what was synced before it is all there, and writing goes on.
func TestTornTailIsCutOff(t *testing.T) {
	folder := t.TempDir()
	fill(t, folder)
	path := filepath.Join(folder, fileName)
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	b, _, err := Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	if err := entries(b, entry("config", 4), entry("evacuation/south", 1)); err != nil {
		t.Fatal(err)
	}
	if err := b.Close(); err != nil {
		t.Fatal(err)
	}
	longer, err := os.ReadFile(path)
	if err != nil || len(longer) <= len(whole) {
		t.Fatal(len(longer), err)
	}
	for cut := len(whole); cut < len(longer); cut++ {
		zeros := make([]byte, len(longer)-cut)
		for _, left := range [][]byte{longer[:cut], append(slices.Clone(longer[:cut]), zeros...), append(slices.Clone(longer[:cut]), zeros[0])} {
			db, at, err := load(left)
			if err != nil || at != len(whole) {
				t.Fatalf("cut at %d of %d, %d left: whole to %d, %v", cut, len(longer), len(left), at, err)
			}
			db.Close()
			if cut%10 != 0 {
				continue
			}
			if err := os.WriteFile(path, left, 0o644); err != nil {
				t.Fatal(err)
			}
			b, spoilt, err := openIn(quiet{}, folder, defaultSlackBytes)
			if err != nil || spoilt != nil {
				t.Fatalf("cut at %d of %d, %d left: %v %v", cut, len(longer), len(left), err, spoilt)
			}
			held, err := versions(b)
			if err != nil || len(held) != 2 || held[0].Stamp.Number != 3 {
				t.Fatalf("cut at %d: %v %v", cut, held, err)
			}
			if err := entries(b, entry("config", 5)); err != nil {
				t.Fatal(err)
			}
			b.Close()
			if b, spoilt, err = openIn(quiet{}, folder, defaultSlackBytes); err != nil || spoilt != nil {
				t.Fatalf("cut at %d, then written: %v %v", cut, err, spoilt)
			}
			if held, err = versions(b); err != nil || len(held) != 2 || held[0].Stamp.Number != 5 {
				t.Fatalf("cut at %d, then written: %v %v", cut, held, err)
			}
			b.Close()
		}
	}
}

// Any byte that changed is told, in the last write too; so are zeros in the middle and a part that is gone.
func TestAnyChangedByteIsDetected(t *testing.T) {
	folder := t.TempDir()
	fill(t, folder)
	text, err := os.ReadFile(filepath.Join(folder, fileName))
	if err != nil {
		t.Fatal(err)
	}
	told := func(what string, text []byte) {
		t.Helper()
		db, _, err := load(text)
		if err == nil {
			db.Close()
		}
		if !errorx.IsOfType(err, Corrupt) {
			t.Errorf("%s: %v", what, err)
		}
	}
	for i := range text {
		changed := slices.Clone(text)
		changed[i] ^= 0x40
		told(fmt.Sprintf("byte %d changed", i), changed)
	}
	holed := slices.Clone(text)
	clear(holed[:commitBytes])
	told("zeros in the middle", holed)
	snapshot := 0
	for at := range text {
		if n, _, ok := parseCommit(text, at); ok && n == 0 {
			snapshot = at + commitBytes
		}
	}
	if snapshot == 0 || snapshot == len(text) {
		t.Fatalf("%d of %d bytes are a snapshot", snapshot, len(text))
	}
	for cut := 1; cut < snapshot; cut++ {
		told(fmt.Sprintf("a snapshot cut at %d", cut), text[:cut])
		told(fmt.Sprintf("a snapshot of zeros from %d", cut), append(slices.Clone(text[:cut]), make([]byte, snapshot-cut)...))
	}
	long := slices.Clone(text)
	for i := range 3 {
		long = append(long, encodeBatch(int64(len(long)), appendSetCommand(nil, "key", seal("key", bytes.Repeat([]byte{'a' + byte(i)}, 600))))...)
	}
	if db, whole, err := load(long); err != nil || whole != len(long) {
		t.Fatal(whole, err)
	} else {
		db.Close()
	}
	each := (len(long) - len(text)) / 3
	told("the first write is gone", long[len(text):])
	told("a write is gone in the middle", append(slices.Clone(long[:len(text)]), long[len(text)+each:]...))
	next := len(text) + each
	clear(long[next : (next/sectorBytes+1)*sectorBytes])
	told("a sector of zeros in the middle", long)
	told("a part is gone", append(slices.Clone(text[:commitBytes+9]), text[commitBytes+29:]...))
}

// A file that an earlier version wrote, by buntdb itself and with no commits, is read, also with a torn end; and buntdb reads ours.
func TestLegacyFileIsRead(t *testing.T) {
	folder := t.TempDir()
	path := filepath.Join(folder, fileName)
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
	set(legacyPrefix+"config", entry("config", 3))
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
	set(legacyPrefix+"config", entry("config", 4))
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
					t.Fatalf("cut at %d: whole to %d, %v", cut, at, err)
				}
				db.Close()
				continue
			}
			if err := os.WriteFile(path, left, 0o600); err != nil {
				t.Fatal(err)
			}
			b, spoilt, err := openIn(quiet{}, folder, defaultSlackBytes)
			if err != nil || spoilt != nil {
				t.Fatalf("cut at %d: %v %v", cut, err, spoilt)
			}
			var disk string
			held, err := versions(b)
			if ok, failed := b.Get("disk", &disk); err != nil || failed != nil || !ok || disk != "d#1" || len(held) != 1 || held[0].Stamp.Number != want {
				t.Fatalf("cut at %d: %v %v %v %q", cut, err, failed, held, disk)
			}
			if err := b.Put("later", "x"); err != nil {
				t.Fatal(err)
			}
			b.Close()
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

// Records come by name, those that begin so only, and may be written meanwhile; one that can't be kept leaves all as it was.
func TestRecordsAreWrittenAtomically(t *testing.T) {
	folder := t.TempDir()
	b, _, err := Open(filepath.Join(folder, "new", "folder"))
	if err != nil {
		t.Fatal(err)
	}
	defer b.Close()
	if err := b.PutAll(map[string]any{"register/b": 2, "register/a": 1, "registry": 9}); err != nil {
		t.Fatal(err)
	}
	if err := b.PutAll(map[string]any{"register/a": 7, "register/c": make(chan int)}); !errorx.IsOfType(err, InvalidRecord) {
		t.Errorf("a channel is kept: %v", err)
	}
	if err := b.Put("large", make([]byte, maxBatchBytes)); !errorx.IsOfType(err, InvalidRecord) {
		t.Errorf("a record of any size is kept: %v", err)
	}
	var names []string
	sum := 0
	err = b.Range("register/", func(name string, decode func(any) error) error {
		var n int
		if err := decode(&n); err != nil {
			return err
		}
		names, sum = append(names, name), sum*10+n
		return b.Put(name, n+1)
	})
	if err != nil || !slices.Equal(names, []string{"register/a", "register/b"}) || sum != 12 {
		t.Errorf("%v %v %d", err, names, sum)
	}
}

// However often a record is changed, the file stays within its bound.
func TestFileSizeIsBounded(t *testing.T) {
	folder := t.TempDir()
	b, _, err := openIn(quiet{}, folder, 10_000)
	if err != nil {
		t.Fatal(err)
	}
	defer b.Close()
	for i := range 500 {
		if err := b.Put("config", bytes.Repeat([]byte{byte(i)}, 3000+i)); err != nil {
			t.Fatal(err)
		}
		info, err := os.Stat(filepath.Join(folder, fileName))
		if err != nil || info.Size() > growthFactor*3700+10_000 {
			t.Fatalf("after %d changes: %d bytes, %v", i+1, info.Size(), err)
		}
	}
}

// A byte that changed makes the disk an empty one, and that is told.
func TestCorruptFileIsSetAside(t *testing.T) {
	folder := t.TempDir()
	fill(t, folder)
	path := filepath.Join(folder, fileName)
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	i := len(text) / 2
	text[i] ^= 0x40
	if err := os.WriteFile(path, text, 0o644); err != nil {
		t.Fatal(err)
	}
	b, spoilt, err := Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	defer b.Close()
	if !errorx.IsOfType(spoilt, Corrupt) {
		t.Fatalf("spoilt: %v", spoilt)
	}
	if held, _ := versions(b); len(held) > 0 {
		t.Fatalf("held %v", held)
	}
}
