package logbook

import (
	"io"
	"os"
	"path/filepath"
)

// Report is what a logbook that nobody has open holds, and whether it can be trusted.
type Report struct {
	Bytes  int64  // of the file
	Torn   int64  // of them at its end, which a loss of power left; opening cuts them off
	Spoilt string // why the file cannot be trusted; "" if it can
}

// mostCopied bounds the file that is looked at, in bytes.
const mostCopied = 1 << 30

// Verify looks at the logbook in a folder and changes nothing: it opens a copy, and has what it holds read.
func Verify(folder string, read func(*Book) error) (*Report, error) {
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
	if err := read(b); err != nil {
		r.Spoilt = err.Error()
	}
	return r, nil
}
