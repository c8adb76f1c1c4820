package storage

import (
	"io"
	"os"
)

// filesystem is the set of file operations that a store needs; tests inject faults into it.
type filesystem interface {
	// OpenFile opens a file for reading and writing, with flags of package os.
	OpenFile(path string, flags int) (fileHandle, error)
	Rename(from, to string) error
	Remove(path string) error
	// SyncDir makes the names in a directory durable.
	SyncDir(path string) error
}

// fileHandle is an open file.
type fileHandle interface {
	io.ReadWriteCloser
	Sync() error
	Truncate(size int64) error
}

// osFilesystem is the filesystem of the operating system.
type osFilesystem struct{}

func (osFilesystem) OpenFile(path string, flags int) (fileHandle, error) {
	f, err := os.OpenFile(path, flags, 0o666)
	if err != nil {
		return nil, err
	}
	return f, nil
}

func (osFilesystem) Rename(from, to string) error { return os.Rename(from, to) }

func (osFilesystem) Remove(path string) error { return os.Remove(path) }

func (osFilesystem) SyncDir(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}
