// Package storage is a crash-safe store of named records in one file. A write is durable when it
// returns. Opening drops a tail that a power loss has torn. Any other corrupt file is set aside and
// reported, and the store is empty. The size of the file is bounded by the live records, not by the
// number of writes (docs/design/storage.md).
package storage

import (
	"bytes"
	"encoding/gob"
	"errors"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/joomcode/errorx"
	"github.com/tidwall/buntdb"
)

var space = errorx.NewNamespace("storage")

var (
	// DiskFailure is the type of errors of the disk: the data of a write may not be durable.
	DiskFailure = space.NewType("disk_failure")
	// Corrupt is the type of errors of a file whose content differs from what was written.
	Corrupt = space.NewType("corrupt")
	// InvalidRecord is the type of errors of a record that cannot be stored: gob cannot encode
	// it, or the batch is too large.
	InvalidRecord = space.NewType("invalid_record")
)

const (
	legacyPrefix = "entry/" // of an earlier version of the program
	recordPrefix = "record/"

	maxFileBytes  = 1 << 30  // maximum size of the file
	maxBatchBytes = 48 << 20 // maximum size of the records of one write: the largest configuration and its metadata
	// The file is rewritten before it exceeds growthFactor times the live records plus some
	// slack.
	growthFactor      = 2
	defaultSlackBytes = 4 << 20
)

// Store is an open store. It is safe for concurrent use.
type Store struct {
	db         *buntdb.DB // holds the records in memory
	slackBytes int64      // see growthFactor
	file       logFile    // owned by the write transaction
	liveBytes  int64      // size of a file with the live records only; owned by the write transaction
}

// Open opens the store in a directory, which is created if it does not exist. Corrupt reports that
// the file was corrupt and was set aside: the store is empty.
func Open(dir string) (s *Store, corrupt error, err error) {
	if err := makeDir(dir); err != nil {
		return nil, nil, err
	}
	return openIn(osFilesystem{}, dir, defaultSlackBytes)
}

// makeDir creates a directory and makes its name durable.
func makeDir(dir string) error {
	dir, err := filepath.Abs(dir)
	if err != nil {
		return DiskFailure.Wrap(err, "folder")
	}
	var parents []string // directories that get a new entry
	for path := dir; ; path = filepath.Dir(path) {
		if _, err := os.Stat(path); err == nil || path == filepath.Dir(path) {
			break
		}
		parents = append(parents, filepath.Dir(path))
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return DiskFailure.Wrap(err, "folder")
	}
	for _, path := range parents {
		if err := (osFilesystem{}).SyncDir(path); err != nil {
			return DiskFailure.Wrap(err, "sync the parent of a new directory")
		}
	}
	return nil
}

// openIn opens the store in an existing directory. A torn tail detaches the file, so that the next
// write rewrites it.
func openIn(fs filesystem, dir string, slackBytes int64) (s *Store, corrupt error, err error) {
	s = &Store{slackBytes: slackBytes, file: logFile{fs: fs, dir: dir}}
	text, err := s.file.read()
	if err == nil {
		var intact int
		if s.db, intact, err = load(text); err == nil {
			if intact < len(text) {
				s.file.detach()
			}
			s.liveBytes, err = countLiveBytes(s.db)
		}
	}
	if !errorx.IsOfType(err, Corrupt) {
		if err != nil {
			s.file.detach()
			return nil, nil, err
		}
		return s, nil, nil
	}
	corrupt = Corrupt.Wrap(err, "%s", filepath.Join(dir, fileName))
	if err := s.file.setCorruptAside(); err != nil {
		return nil, nil, err
	}
	if s.db, _, err = load(nil); err != nil {
		return nil, nil, err
	}
	return s, corrupt, nil
}

// load reads the records of a file and returns the offset up to which it is intact. Nothing may be
// appended to a file that is not intact to its end.
func load(text []byte) (db *buntdb.DB, intact int, err error) {
	if db, err = buntdb.Open(":memory:"); err != nil {
		return nil, 0, DiskFailure.Wrap(err, "memory")
	}
	if intact, err = scan(text, func(records []byte) error { return db.Load(bytes.NewReader(records)) }); err != nil {
		db.Close()
		return nil, intact, err
	}
	return db, intact, nil
}

// recordBytes returns the length of a record in a file that holds each record once.
func recordBytes(key, value string) int64 { return int64(commitBytes) + setCommandBytes(key, value) }

func countLiveBytes(db *buntdb.DB) (n int64, err error) {
	err = db.View(func(tx *buntdb.Tx) error {
		return tx.Ascend("", func(key, value string) bool {
			n += recordBytes(key, value)
			return true
		})
	})
	if err != nil {
		return 0, DiskFailure.Wrap(err, "memory")
	}
	return n, nil
}

// Close closes the store.
func (s *Store) Close() error {
	if err := s.db.Close(); err != nil {
		return DiskFailure.Wrap(err, "close")
	}
	s.file.detach() // no transaction can follow
	return nil
}

// write writes values under keys, all or none, and returns once they are durable. After an error the
// store is unchanged, but a restarted process may read the new values.
func (s *Store) write(values map[string]any) error {
	err := s.db.Update(func(tx *buntdb.Tx) error {
		records, live, err := setValues(tx, values, s.liveBytes)
		if err != nil {
			return err
		}
		if s.file.handle == nil || s.file.size+int64(commitBytes+len(records)) > growthFactor*live+s.slackBytes {
			err = s.file.rewrite(allRecords(tx))
		} else {
			err = s.file.append(records)
		}
		if err != nil {
			return err
		}
		s.liveBytes = live
		return nil
	})
	if err != nil && !errorx.IsOfType(err, DiskFailure) && !errorx.IsOfType(err, InvalidRecord) {
		err = DiskFailure.Wrap(err, "write")
	}
	return err
}

// setValues sets values in a transaction. It returns their encoded records, and the live bytes that
// include them.
func setValues(tx *buntdb.Tx, values map[string]any, live int64) (records []byte, liveAfter int64, err error) {
	for _, key := range slices.Sorted(maps.Keys(values)) {
		var text bytes.Buffer
		if err := gob.NewEncoder(&text).Encode(values[key]); err != nil {
			return nil, 0, InvalidRecord.Wrap(err, "encode %s", key)
		}
		if len(records)+text.Len() > maxBatchBytes {
			return nil, 0, InvalidRecord.New("the records of a write exceed the limit of %d bytes at %s", maxBatchBytes, key)
		}
		value := seal(key, text.Bytes())
		records = appendSetCommand(records, key, value)
		before, replaced, err := tx.Set(key, value, nil)
		if err != nil {
			return nil, 0, DiskFailure.Wrap(err, "memory")
		}
		if live += recordBytes(key, value); replaced {
			live -= recordBytes(key, before)
		}
	}
	return records, live, nil
}

// allRecords iterates over the encoded records that a transaction sees.
func allRecords(tx *buntdb.Tx) func(each func(record []byte) error) error {
	return func(each func([]byte) error) error {
		var failed error
		err := tx.Ascend("", func(key, value string) bool {
			failed = each(appendSetCommand(nil, key, value))
			return failed == nil
		})
		if failed != nil {
			return failed
		}
		return err
	}
}

// LegacyEntries iterates over the records that an earlier version of the program wrote, by key.
func (s *Store) LegacyEntries(each func(key string, decode func(any) error) error) error {
	return s.forEach(legacyPrefix, func(key string, decode func(any) error) error {
		return each(strings.TrimPrefix(key, legacyPrefix), decode)
	})
}

// Put writes a record under a name.
func (s *Store) Put(name string, record any) error {
	return s.write(map[string]any{recordPrefix + name: record})
}

// PutAll writes records under their names, all or none.
func (s *Store) PutAll(records map[string]any) error {
	values := make(map[string]any, len(records))
	for name, r := range records {
		values[recordPrefix+name] = r
	}
	return s.write(values)
}

// Get reads a record; ok is false if there is none.
func (s *Store) Get(name string, record any) (ok bool, err error) {
	var value string
	err = s.db.View(func(tx *buntdb.Tx) (err error) {
		value, err = tx.Get(recordPrefix + name)
		return err
	})
	if errors.Is(err, buntdb.ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, DiskFailure.Wrap(err, "read")
	}
	if err := decodeValue(recordPrefix+name, value, record); err != nil {
		return false, err
	}
	return true, nil
}

// Range calls each for the records whose names have a prefix, sorted by name, until each returns an
// error. The records are those at the time of the call; each may write to the store.
func (s *Store) Range(prefix string, each func(name string, decode func(any) error) error) error {
	return s.forEach(recordPrefix+prefix, func(key string, decode func(any) error) error {
		return each(strings.TrimPrefix(key, recordPrefix), decode)
	})
}

func (s *Store) forEach(prefix string, each func(key string, decode func(any) error) error) error {
	var keys, values []string
	err := s.db.View(func(tx *buntdb.Tx) error {
		return tx.AscendGreaterOrEqual("", prefix, func(key, value string) bool {
			if !strings.HasPrefix(key, prefix) {
				return false
			}
			keys, values = append(keys, key), append(values, value)
			return true
		})
	})
	if err != nil {
		return DiskFailure.Wrap(err, "read")
	}
	for i, key := range keys {
		if err := each(key, func(v any) error { return decodeValue(key, values[i], v) }); err != nil {
			return err
		}
	}
	return nil
}

// decodeValue checks and decodes the value of a key.
func decodeValue(key, value string, v any) error {
	plain, ok := unseal(key, value)
	if !ok {
		return Corrupt.New("%s does not match its checksum", key)
	}
	if err := gob.NewDecoder(bytes.NewReader(plain)).Decode(v); err != nil {
		return Corrupt.Wrap(err, "decode %s", key)
	}
	return nil
}
