package logbook

import (
	"io"
	"os"
	"path/filepath"

	"whinknot/internal/tide"
)

// Report is what a logbook that nobody has open holds, and whether it can be trusted.
type Report struct {
	Bytes   int64        // of the file
	Torn    int64        // of them at its end, which a loss of power left; opening cuts them off
	Spoilt  string       // why the file cannot be trusted; "" if it can
	Entries []tide.Entry // by key
	Set     tide.Set
	Disk    string // its name
}

// mostCopied bounds the file that is looked at, in bytes.
const mostCopied = 1 << 30

// Verify looks at the logbook in a folder and changes nothing: it opens a copy. The records that it knows are named as keepers name them.
func Verify(folder, diskRecord, setRecord string) (*Report, error) {
	from, err := os.Open(filepath.Join(folder, file))
	if err != nil {
		return nil, Disk.Wrap(err, "open")
	}
	defer from.Close()
	scratch, err := os.MkdirTemp("", "logbook")
	if err != nil {
		return nil, Disk.Wrap(err, "folder for the copy")
	}
	defer os.RemoveAll(scratch)
	path := filepath.Join(scratch, file)
	to, err := os.Create(path)
	if err != nil {
		return nil, Disk.Wrap(err, "copy")
	}
	r := &Report{}
	r.Bytes, err = io.Copy(to, io.LimitReader(from, mostCopied+1))
	if closed := to.Close(); err == nil {
		err = closed
	}
	if err != nil {
		return nil, Disk.Wrap(err, "copy")
	}
	if r.Bytes > mostCopied {
		return nil, Disk.New("the file has more than %d bytes", mostCopied)
	}
	b, err := open(path)
	if err != nil {
		r.Spoilt = err.Error()
		return r, nil
	}
	defer b.Close()
	if info, err := os.Stat(path); err == nil {
		r.Torn = r.Bytes - info.Size()
	}
	if r.Entries, err = b.Held(); err == nil {
		_, err = b.Get(diskRecord, &r.Disk)
	}
	if err == nil {
		_, err = b.Get(setRecord, &r.Set)
	}
	if err != nil {
		r.Spoilt = err.Error()
	}
	return r, nil
}
