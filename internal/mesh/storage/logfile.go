package storage

import (
	"bufio"
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
)

const (
	fileName        = "logbook.db"
	tempFileName    = fileName + ".new"    // a snapshot that is being written
	corruptFileName = fileName + ".spoilt" // the last file that was found corrupt
)

// logFile is the file of a store. While it is attached to a handle, all bytes of the file are durable
// and the next batch is appended to it. While it is detached, the next batch rewrites the file. So
// nothing is ever appended to a file with a torn tail or a failed sync.
type logFile struct {
	fs     filesystem
	dir    string
	handle fileHandle
	size   int64 // bytes of the file
}

func (lf *logFile) path(name string) string { return filepath.Join(lf.dir, name) }

// detach closes the handle. No other function detaches the file.
func (lf *logFile) detach() {
	if lf.handle != nil {
		lf.handle.Close()
	}
	lf.handle, lf.size = nil, 0
}

// attach sets the handle. No other function attaches the file.
func (lf *logFile) attach(f fileHandle, size int64) {
	lf.detach()
	lf.handle, lf.size = f, size
}

// read makes the file and its name durable, then reads it. A process that was killed before its sync
// may have left bytes in memory only; once they are read here, the next power loss must not remove
// them. Read returns nil if there is no file.
func (lf *logFile) read() ([]byte, error) {
	if err := lf.fs.Remove(lf.path(tempFileName)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, DiskFailure.Wrap(err, "remove the unfinished snapshot")
	}
	if err := lf.fs.SyncDir(lf.dir); err != nil {
		return nil, DiskFailure.Wrap(err, "sync the directory")
	}
	h, err := lf.fs.OpenFile(lf.path(fileName), os.O_RDWR)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, DiskFailure.Wrap(err, "open")
	}
	if err = h.Sync(); err != nil {
		h.Close()
		return nil, DiskFailure.Wrap(err, "sync")
	}
	text, err := readAll(h)
	if err != nil {
		h.Close()
		return nil, err
	}
	lf.attach(h, int64(len(text)))
	return text, nil
}

// readAll reads a file to its end, within maxFileBytes.
func readAll(f io.Reader) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err != nil {
		return nil, DiskFailure.Wrap(err, "read")
	}
	if len(text) > maxFileBytes {
		return nil, Corrupt.New("the file exceeds the limit of %d bytes", maxFileBytes)
	}
	return text, nil
}

// append writes a batch at the end of the file and returns once it is durable. After an error the
// batch may or may not be in the file.
func (lf *logFile) append(records []byte) error {
	text := encodeBatch(lf.size, records)
	_, err := lf.handle.Write(text)
	if err == nil {
		err = lf.handle.Sync()
	}
	if err != nil {
		// A restarted process must not read a batch that is in memory only. If this fails too,
		// the batch is read as torn.
		_ = lf.handle.Truncate(lf.size)
		lf.detach()
		return DiskFailure.Wrap(err, "append")
	}
	lf.size += int64(len(text))
	return nil
}

// rewrite replaces the file by a snapshot: a second file is written, synced and renamed, and the
// directory is synced; only then may batches be appended to it. After an error the old file remains.
// If the error occurred after the new file was synced, the name may refer to either file, and the
// next batch rewrites the file again.
func (lf *logFile) rewrite(records func(each func(records []byte) error) error) error {
	f, err := lf.fs.OpenFile(lf.path(tempFileName), os.O_RDWR|os.O_CREATE|os.O_TRUNC)
	if err != nil {
		return DiskFailure.Wrap(err, "create the new file")
	}
	var size int64
	to := bufio.NewWriterSize(f, 1<<16)
	add := func(r []byte) error {
		text := encodeBatch(size, r)
		size += int64(len(text))
		_, err := to.Write(text)
		return err
	}
	if err = records(add); err == nil {
		err = add(nil) // the end of the snapshot
	}
	if err == nil {
		err = to.Flush()
	}
	if err == nil {
		err = f.Sync()
	}
	if err != nil {
		f.Close()
		_ = lf.fs.Remove(lf.path(tempFileName)) // if this fails, the next start removes it
		return DiskFailure.Wrap(err, "write the new file")
	}
	lf.detach()
	if err = lf.fs.Rename(lf.path(tempFileName), lf.path(fileName)); err == nil {
		err = lf.fs.SyncDir(lf.dir)
	}
	if err != nil {
		f.Close()
		return DiskFailure.Wrap(err, "rename the new file")
	}
	lf.attach(f, size)
	return nil
}

// setCorruptAside renames the corrupt file to corruptFileName.
func (lf *logFile) setCorruptAside() error {
	lf.detach()
	err := lf.fs.Rename(lf.path(fileName), lf.path(corruptFileName))
	if err == nil {
		err = lf.fs.SyncDir(lf.dir)
	}
	if err != nil {
		return DiskFailure.Wrap(err, "set the corrupt file aside")
	}
	return nil
}
