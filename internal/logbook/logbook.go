// Package logbook keeps on disk what must outlast a loss of power: the name of the disk, the entries of control state and
// the set of disks that counts. Everything is synced before it counts. A torn tail is cut off at opening; a file that is
// spoilt otherwise makes the disk an empty one, which has another name, and that is told.
package logbook

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"
	"github.com/tidwall/buntdb"

	"whinknot/internal/tide"
)

var space = errorx.NewNamespace("logbook")

var (
	// Disk is the type of errors of the disk itself: what was to be written may not last.
	Disk = space.NewType("disk")
	// Spoilt is the type of errors of a file that holds what was never written.
	Spoilt = space.NewType("spoilt")
)

const (
	file        = "logbook.db"
	entryPrefix = "entry/"
	recordKey   = "record/"
)

// Book is an open logbook. It is safe for concurrent use.
type Book struct{ db *buntdb.DB }

// Open opens the logbook in a folder, which is made if it is not there. Spoilt tells that an earlier one could not be
// trusted and was set aside: this one is empty.
func Open(folder string) (b *Book, spoilt error, err error) {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, nil, Disk.Wrap(err, "folder")
	}
	path := filepath.Join(folder, file)
	b, err = open(path)
	if err == nil {
		return b, nil, nil
	}
	if !errorx.IsOfType(err, Spoilt) {
		return nil, nil, err
	}
	if moved := os.Rename(path, path+".spoilt"); moved != nil {
		return nil, nil, Disk.Wrap(moved, "set aside")
	}
	anew, failed := open(path)
	return anew, err, failed
}

func open(path string) (*Book, error) {
	db, err := buntdb.Open(path)
	if err != nil {
		return nil, Spoilt.Wrap(err, "%s", path)
	}
	var c buntdb.Config
	if err := db.ReadConfig(&c); err != nil {
		return nil, Disk.Wrap(err, "settings")
	}
	c.SyncPolicy = buntdb.Always
	if err := db.SetConfig(c); err != nil {
		return nil, Disk.Wrap(err, "settings")
	}
	b := &Book{db}
	err = db.View(func(tx *buntdb.Tx) error {
		var bad error
		tx.Ascend("", func(key, value string) bool {
			if _, ok := opened(key, value); !ok {
				bad = Spoilt.New("%s: %s", path, key)
			}
			return bad == nil
		})
		return bad
	})
	if err != nil {
		db.Close()
		return nil, err
	}
	return b, nil
}

// Close closes the book.
func (b *Book) Close() error { return b.db.Close() }

// sealed is a value with a check of its key and of itself.
func sealed(key string, value []byte) string {
	var sum [8]byte
	h := xxhash.New()
	h.WriteString(key)
	h.Write(value)
	binary.BigEndian.PutUint64(sum[:], h.Sum64())
	return string(sum[:]) + string(value)
}

func opened(key, value string) ([]byte, bool) {
	if len(value) < 8 {
		return nil, false
	}
	plain := []byte(value[8:])
	return plain, sealed(key, plain) == value
}

// put writes values under keys, all or none, and returns once they last.
func (b *Book) put(values map[string]any) error {
	err := b.db.Update(func(tx *buntdb.Tx) error {
		for key, v := range values {
			var text bytes.Buffer
			if err := gob.NewEncoder(&text).Encode(v); err != nil {
				return fmt.Errorf("encode %s: %w", key, err)
			}
			if _, _, err := tx.Set(key, sealed(key, text.Bytes()), nil); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return Disk.Wrap(err, "write")
	}
	return nil
}

// Entries writes entries.
func (b *Book) Entries(entries ...tide.Entry) error {
	values := make(map[string]any, len(entries))
	for _, e := range entries {
		values[entryPrefix+e.Key] = e
	}
	return b.put(values)
}

// Held are all entries on the disk.
func (b *Book) Held() ([]tide.Entry, error) {
	var out []tide.Entry
	err := b.db.View(func(tx *buntdb.Tx) error {
		var bad error
		tx.AscendKeys(entryPrefix+"*", func(key, value string) bool {
			plain, _ := opened(key, value)
			var e tide.Entry
			if err := gob.NewDecoder(bytes.NewReader(plain)).Decode(&e); err != nil || entryPrefix+e.Key != key {
				bad = Spoilt.New("%s holds no entry", key)
				return false
			}
			out = append(out, e)
			return true
		})
		return bad
	})
	return out, err
}

// Put writes a record under a name.
func (b *Book) Put(name string, record any) error {
	return b.put(map[string]any{recordKey + name: record})
}

// PutAll writes records under their names, all or none.
func (b *Book) PutAll(records map[string]any) error {
	values := make(map[string]any, len(records))
	for name, record := range records {
		values[recordKey+name] = record
	}
	return b.put(values)
}

// Records reads all records whose names begin with a prefix, by name.
func (b *Book) Records(prefix string, each func(name string, decode func(record any) error) error) error {
	return b.db.View(func(tx *buntdb.Tx) error {
		var bad error
		tx.AscendKeys(recordKey+prefix+"*", func(key, value string) bool {
			plain, _ := opened(key, value)
			bad = each(strings.TrimPrefix(key, recordKey), func(record any) error {
				if err := gob.NewDecoder(bytes.NewReader(plain)).Decode(record); err != nil {
					return Spoilt.Wrap(err, "%s", key)
				}
				return nil
			})
			return bad == nil
		})
		return bad
	})
}

// Get reads a record; ok is false for none.
func (b *Book) Get(name string, record any) (ok bool, err error) {
	err = b.db.View(func(tx *buntdb.Tx) error {
		value, err := tx.Get(recordKey + name)
		if err == buntdb.ErrNotFound {
			return nil
		}
		if err != nil {
			return Disk.Wrap(err, "read")
		}
		plain, _ := opened(recordKey+name, value)
		if err := gob.NewDecoder(bytes.NewReader(plain)).Decode(record); err != nil {
			return Spoilt.Wrap(err, "%s", strings.TrimPrefix(name, recordKey))
		}
		ok = true
		return nil
	})
	return ok, err
}
