package logbook

import (
	"io"
	"os"
)

// files are the few operations on a disk that a logbook needs.
type files interface {
	// OpenFile opens a file for reading and writing, with flags of package os.
	OpenFile(path string, flags int) (handle, error)
	Rename(from, to string) error
	Remove(path string) error
	// SyncFolder has the names in a folder last.
	SyncFolder(path string) error
}

// handle is an open file.
type handle interface {
	io.ReadWriteCloser
	Sync() error
	Truncate(size int64) error
}

// system is the machine's own disk.
type system struct{}

func (system) OpenFile(path string, flags int) (handle, error) {
	f, err := os.OpenFile(path, flags, 0o666)
	if err != nil {
		return nil, err
	}
	return f, nil
}

func (system) Rename(from, to string) error { return os.Rename(from, to) }

func (system) Remove(path string) error { return os.Remove(path) }

func (system) SyncFolder(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}
