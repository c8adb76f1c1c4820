// Package logbook keeps on disk what must outlast a loss of power: the name of the disk, the registers of control state and
// the set of disks that counts, as records by name. Everything is synced before it counts. A torn tail is cut off at opening; a file that is
// spoilt otherwise makes the disk an empty one, which has another name, and that is told. The file is bounded by what is held,
// not by how often it changed (docs/design/logbook.md).
package logbook

import (
	"bytes"
	"encoding/gob"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/joomcode/errorx"
	"github.com/tidwall/buntdb"
)

var space = errorx.NewNamespace("logbook")

var (
	// Disk is the type of errors of the disk itself: what was to be written may not last.
	Disk = space.NewType("disk")
	// Spoilt is the type of errors of a file that holds what was never written.
	Spoilt = space.NewType("spoilt")
	// Unfit is the type of errors of a record that can't be kept: of no kind that gob knows, or too large.
	Unfit = space.NewType("unfit")
)

const (
	entryPrefix = "entry/" // of an earlier program
	recordKey   = "record/"

	mostRead  = 1 << 30  // bytes of a file that is read
	mostBatch = 48 << 20 // bytes of the records of one write: an operator's largest configuration, and what goes with it
	// A file is written anew before it grows beyond growth times what is held, and some bytes.
	growth    = 2
	mostSlack = 4 << 20
)

// Book is an open logbook. It is safe for concurrent use.
type Book struct {
	db    *buntdb.DB // what is held, in memory
	slack int64      // bytes that the file may have beyond growth times what is held
	tail  tail       // by whoever has a transaction that writes
	live  int64      // bytes of a file that holds just what is held; as tail
}

// Open opens the logbook in a folder, which is made if it is not there. Spoilt tells that an earlier one could not be
// trusted and was set aside: this one is empty.
func Open(folder string) (b *Book, spoilt error, err error) {
	if err := makeFolder(folder); err != nil {
		return nil, nil, err
	}
	return openOn(system{}, folder, mostSlack)
}

// makeFolder makes a folder that is not there, and has its name last.
func makeFolder(folder string) error {
	folder, err := filepath.Abs(folder)
	if err != nil {
		return Disk.Wrap(err, "folder")
	}
	var over []string // folders that get a new name
	for at := folder; ; at = filepath.Dir(at) {
		if _, err := os.Stat(at); err == nil || at == filepath.Dir(at) {
			break
		}
		over = append(over, filepath.Dir(at))
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return Disk.Wrap(err, "folder")
	}
	for _, at := range over {
		if err := (system{}).SyncFolder(at); err != nil {
			return Disk.Wrap(err, "sync the folder over a new one")
		}
	}
	return nil
}

func openOn(on files, folder string, slack int64) (b *Book, spoilt error, err error) {
	b = &Book{slack: slack, tail: tail{on: on, folder: folder}}
	text, err := b.tail.read()
	if err == nil {
		var whole int
		if b.db, whole, err = load(text); err == nil {
			if whole < len(text) {
				b.tail.ended()
			}
			b.live, err = liveBytes(b.db)
		}
	}
	if !errorx.IsOfType(err, Spoilt) {
		if err != nil {
			b.tail.ended()
			return nil, nil, err
		}
		return b, nil, nil
	}
	spoilt = Spoilt.Wrap(err, "%s", filepath.Join(folder, file))
	if err := b.tail.giveUp(); err != nil {
		return nil, nil, err
	}
	if b.db, _, err = load(nil); err != nil {
		return nil, nil, err
	}
	return b, spoilt, nil
}

// load is what a file holds, and up to where it is whole. Nothing may be appended to one that is not whole to its end.
func load(text []byte) (db *buntdb.DB, whole int, err error) {
	if db, err = buntdb.Open(":memory:"); err != nil {
		return nil, 0, Disk.Wrap(err, "memory")
	}
	if whole, err = scan(text, func(records []byte) error { return db.Load(bytes.NewReader(records)) }); err != nil {
		db.Close()
		return nil, whole, err
	}
	return db, whole, nil
}

// kept is the length of a record in a file that holds each once.
func kept(key, value string) int64 { return int64(commitBytes) + setBytes(key, value) }

func liveBytes(db *buntdb.DB) (n int64, err error) {
	err = db.View(func(tx *buntdb.Tx) error {
		return tx.Ascend("", func(key, value string) bool {
			n += kept(key, value)
			return true
		})
	})
	if err != nil {
		return 0, Disk.Wrap(err, "memory")
	}
	return n, nil
}

// Close closes the book.
func (b *Book) Close() error {
	if err := b.db.Close(); err != nil {
		return Disk.Wrap(err, "close")
	}
	b.tail.ended() // no transaction comes any more
	return nil
}

// put writes values under keys, all or none, and returns once they last. After an error what was held before is held still; a
// process that is started anew may find the values written all the same.
func (b *Book) put(values map[string]any) error {
	err := b.db.Update(func(tx *buntdb.Tx) error {
		live, records := b.live, []byte(nil)
		for _, key := range slices.Sorted(maps.Keys(values)) {
			var text bytes.Buffer
			if err := gob.NewEncoder(&text).Encode(values[key]); err != nil {
				return Unfit.Wrap(err, "encode %s", key)
			}
			if len(records)+text.Len() > mostBatch {
				return Unfit.New("more than %d bytes with %s", mostBatch, key)
			}
			value := sealed(key, text.Bytes())
			records = appendSet(records, key, value)
			before, replaced, err := tx.Set(key, value, nil)
			if err != nil {
				return Disk.Wrap(err, "memory")
			}
			if live += kept(key, value); replaced {
				live -= kept(key, before)
			}
		}
		write := func() error { return b.tail.append(records) }
		if b.tail.f == nil || b.tail.size+int64(commitBytes+len(records)) > growth*live+b.slack {
			write = func() error { return b.tail.replace(all(tx)) }
		}
		if err := write(); err != nil {
			return err
		}
		b.live = live
		return nil
	})
	if err != nil && !errorx.IsOfType(err, Disk) && !errorx.IsOfType(err, Unfit) {
		err = Disk.Wrap(err, "write")
	}
	return err
}

// all gives each record that a transaction sees, as it is written.
func all(tx *buntdb.Tx) func(each func(record []byte) error) error {
	return func(each func([]byte) error) error {
		var failed error
		err := tx.Ascend("", func(key, value string) bool {
			failed = each(appendSet(nil, key, value))
			return failed == nil
		})
		if failed != nil {
			return failed
		}
		return err
	}
}

// Before gives each record that an earlier program kept as an entry, by its key.
func (b *Book) Before(each func(key string, decode func(any) error) error) error {
	return b.each(entryPrefix, func(key string, decode func(any) error) error {
		return each(strings.TrimPrefix(key, entryPrefix), decode)
	})
}

// Put writes a record under a name.
func (b *Book) Put(name string, record any) error {
	return b.put(map[string]any{recordKey + name: record})
}

// PutAll writes records under their names, all or none.
func (b *Book) PutAll(records map[string]any) error {
	values := make(map[string]any, len(records))
	for name, r := range records {
		values[recordKey+name] = r
	}
	return b.put(values)
}

// Get reads a record; ok is false for none.
func (b *Book) Get(name string, record any) (ok bool, err error) {
	var value string
	err = b.db.View(func(tx *buntdb.Tx) (err error) {
		value, err = tx.Get(recordKey + name)
		return err
	})
	if err == buntdb.ErrNotFound {
		return false, nil
	}
	if err != nil {
		return false, Disk.Wrap(err, "read")
	}
	if err := decode(recordKey+name, value, record); err != nil {
		return false, err
	}
	return true, nil
}

// Records gives each record whose name begins so, by name, as they were when it was called, until each returns an error. It may
// write.
func (b *Book) Records(prefix string, each func(name string, decode func(any) error) error) error {
	return b.each(recordKey+prefix, func(key string, decode func(any) error) error {
		return each(strings.TrimPrefix(key, recordKey), decode)
	})
}

func (b *Book) each(prefix string, each func(key string, decode func(any) error) error) error {
	var keys, values []string
	err := b.db.View(func(tx *buntdb.Tx) error {
		return tx.AscendGreaterOrEqual("", prefix, func(key, value string) bool {
			if !strings.HasPrefix(key, prefix) {
				return false
			}
			keys, values = append(keys, key), append(values, value)
			return true
		})
	})
	if err != nil {
		return Disk.Wrap(err, "read")
	}
	for i, key := range keys {
		if err := each(key, func(v any) error { return decode(key, values[i], v) }); err != nil {
			return err
		}
	}
	return nil
}

// decode reads a value that was sealed under a key.
func decode(key, value string, v any) error {
	plain, ok := opened(key, value)
	if !ok {
		return Spoilt.New("%s is not what was written", key)
	}
	if err := gob.NewDecoder(bytes.NewReader(plain)).Decode(v); err != nil {
		return Spoilt.Wrap(err, "decode %s", key)
	}
	return nil
}
