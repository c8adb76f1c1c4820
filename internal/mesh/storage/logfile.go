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

// logFile is the file of a store. It is attached to a handle, whose bytes are all known to be
// durable and to which the next batch is appended, or it is detached, and the next batch is written
// by rewriting the file. So nothing is ever appended to a file with a torn end, nor to one of which
// a sync has failed.
type logFile struct {
	fs     filesystem
	dir    string
	handle fileHandle
	size   int64 // bytes of the file
}

func (lf *logFile) path(name string) string { return filepath.Join(lf.dir, name) }

// detach closes the handle. It is the one change from attached to detached.
func (lf *logFile) detach() {
	if lf.handle != nil {
		lf.handle.Close()
	}
	lf.handle, lf.size = nil, 0
}

// attach is the one change from detached to attached.
func (lf *logFile) attach(f fileHandle, size int64) {
	lf.detach()
	lf.handle, lf.size = f, size
}

// read makes the file and its name durable, then reads it. A process that was killed before its
// sync may have left bytes that are read here and must not be lost with the next loss of power. It
// returns nil for no file.
func (lf *logFile) read() ([]byte, error) {
	if err := lf.fs.Remove(lf.path(tempFileName)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, DiskFailure.Wrap(err, "remove what is left of a snapshot")
	}
	if err := lf.fs.SyncDir(lf.dir); err != nil {
		return nil, DiskFailure.Wrap(err, "sync the folder")
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
		return nil, Corrupt.New("the file has more than %d bytes", maxFileBytes)
	}
	return text, nil
}

// append writes a batch at the end of the file and returns once it is durable. After an error it
// may be in the file or not.
func (lf *logFile) append(records []byte) error {
	text := encodeBatch(lf.size, records)
	_, err := lf.handle.Write(text)
	if err == nil {
		err = lf.handle.Sync()
	}
	if err != nil {
		// A restarted process must not read what is in memory only. If this fails too, the
		// batch is read as torn.
		_ = lf.handle.Truncate(lf.size)
		lf.detach()
		return DiskFailure.Wrap(err, "append")
	}
	lf.size += int64(len(text))
	return nil
}

// rewrite writes the file anew: a second file is written and synced, renamed, and the directory is
// synced; only then is it appended to. After an error the old file remains. If the error came after
// the new file was synced, the name may lead to either, and the next batch rewrites the file again.
func (lf *logFile) rewrite(records func(each func(records []byte) error) error) error {
	f, err := lf.fs.OpenFile(lf.path(tempFileName), os.O_RDWR|os.O_CREATE|os.O_TRUNC)
	if err != nil {
		return DiskFailure.Wrap(err, "make the new file")
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
		_ = lf.fs.Remove(lf.path(tempFileName)) // it is removed at the next start otherwise
		return DiskFailure.Wrap(err, "write the new file")
	}
	lf.detach()
	if err = lf.fs.Rename(lf.path(tempFileName), lf.path(fileName)); err == nil {
		err = lf.fs.SyncDir(lf.dir)
	}
	if err != nil {
		f.Close()
		return DiskFailure.Wrap(err, "give the new file the name")
	}
	lf.attach(f, size)
	return nil
}

// setCorruptAside renames a corrupt file.
func (lf *logFile) setCorruptAside() error {
	lf.detach()
	err := lf.fs.Rename(lf.path(fileName), lf.path(corruptFileName))
	if err == nil {
		err = lf.fs.SyncDir(lf.dir)
	}
	if err != nil {
		return DiskFailure.Wrap(err, "set aside")
	}
	return nil
}
