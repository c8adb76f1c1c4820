package storage

import (
	"os"
	"path/filepath"
)

// Report describes the file of a store, and whether it can be trusted.
type Report struct {
	FileBytes  int64  // length of the file
	TornBytes  int64  // length of the torn tail, which opening drops
	Corruption string // why the file cannot be trusted; empty if it can
}

// Verify opens the store in a directory read-only and passes it to a function. No process may have
// the store open.
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
