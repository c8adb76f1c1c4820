package logbook

import (
	"bufio"
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
)

const (
	file     = "logbook.db"
	second   = file + ".new"    // a snapshot that is being written
	setAside = file + ".spoilt" // the last file that could not be trusted
)

// tail is where a logbook's file goes on. It is in one of two states: with f, all bytes of the file are known to last, and the
// next batch is appended; without, the next one is written by way of a whole new file. So nothing is ever appended to a file
// with a torn end, nor to one of which a sync has failed.
type tail struct {
	on     files
	folder string
	f      handle
	size   int64 // bytes of f
}

func (t *tail) path(name string) string { return filepath.Join(t.folder, name) }

// ended is the one change from appending to not.
func (t *tail) ended() {
	if t.f != nil {
		t.f.Close()
	}
	t.f, t.size = nil, 0
}

// began is the other one.
func (t *tail) began(f handle, size int64) {
	t.ended()
	t.f, t.size = f, size
}

// read reads the whole file, after it and its name were made to last: what a process wrote that was killed before its sync may
// be read here, and must not be gone after the next loss of power. It is nil for no file.
func (t *tail) read() ([]byte, error) {
	if err := t.on.Remove(t.path(second)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, Disk.Wrap(err, "remove what is left of a snapshot")
	}
	if err := t.on.SyncFolder(t.folder); err != nil {
		return nil, Disk.Wrap(err, "sync the folder")
	}
	f, err := t.on.OpenFile(t.path(file), os.O_RDWR)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, Disk.Wrap(err, "open")
	}
	if err = f.Sync(); err != nil {
		f.Close()
		return nil, Disk.Wrap(err, "sync")
	}
	text, err := readAll(f)
	if err != nil {
		f.Close()
		return nil, err
	}
	t.began(f, int64(len(text)))
	return text, nil
}

// readAll reads a file to its end, within the bound.
func readAll(f io.Reader) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(f, mostRead+1))
	if err != nil {
		return nil, Disk.Wrap(err, "read")
	}
	if len(text) > mostRead {
		return nil, Spoilt.New("the file has more than %d bytes", mostRead)
	}
	return text, nil
}

// append writes a batch at the end of the file and returns once it lasts. After an error it may be there or not.
func (t *tail) append(records []byte) error {
	text := batch(t.size, records)
	_, err := t.f.Write(text)
	if err == nil {
		err = t.f.Sync()
	}
	if err != nil {
		// A process that is started anew must not read what is in memory only. If this fails too, it is read as torn or unclear.
		t.f.Truncate(t.size)
		t.ended()
		return Disk.Wrap(err, "append")
	}
	t.size += int64(len(text))
	return nil
}

// replace writes a whole new file: a second one is written and synced, takes the name, and the folder is synced; only then is it
// the one that is appended to. After an error the older one goes on; if the error came after the new one was synced, the name may
// lead to either, and the next batch is written by way of a whole new file again.
func (t *tail) replace(records func(each func(records []byte) error) error) error {
	f, err := t.on.OpenFile(t.path(second), os.O_RDWR|os.O_CREATE|os.O_TRUNC)
	if err != nil {
		return Disk.Wrap(err, "make the new file")
	}
	var size int64
	to := bufio.NewWriterSize(f, 1<<16)
	add := func(r []byte) error {
		text := batch(size, r)
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
		t.on.Remove(t.path(second))
		return Disk.Wrap(err, "write the new file")
	}
	t.ended()
	if err = t.on.Rename(t.path(second), t.path(file)); err == nil {
		err = t.on.SyncFolder(t.folder)
	}
	if err != nil {
		f.Close()
		return Disk.Wrap(err, "give the new file the name")
	}
	t.began(f, size)
	return nil
}

// giveUp sets a spoilt file aside.
func (t *tail) giveUp() error {
	t.ended()
	err := t.on.Rename(t.path(file), t.path(setAside))
	if err == nil {
		err = t.on.SyncFolder(t.folder)
	}
	if err != nil {
		return Disk.Wrap(err, "set aside")
	}
	return nil
}
