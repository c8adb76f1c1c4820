package storage

import (
	"os"
	"path/filepath"
)

// Report says what the file of a store holds, and whether it can be trusted.
type Report struct {
	FileBytes  int64  // length of the file
	TornBytes  int64  // of them, at the end, that a loss of power has torn; opening cuts them off
	Corruption string // why the file cannot be trusted; empty if it can
}

// Verify reads the store in a directory, which no process may have open, changes nothing, and
// passes it to a function.
func Verify(dir string, read func(*Store) error) (*Report, error) {
	f, err := os.Open(filepath.Join(dir, fileName))
	if err != nil {
		return nil, DiskFailure.Wrap(err, "open")
	}
	defer f.Close()
	text, err := readAll(f)
	if err != nil {
		return nil, err
	}
	r := &Report{FileBytes: int64(len(text))}
	db, intact, err := load(text)
	if err != nil {
		r.Corruption = err.Error()
		return r, nil
	}
	s := &Store{db: db}
	defer s.Close()
	r.TornBytes = int64(len(text) - intact)
	if err := read(s); err != nil {
		r.Corruption = err.Error()
	}
	return r, nil
}
