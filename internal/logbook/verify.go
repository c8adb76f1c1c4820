package logbook

import (
	"os"
	"path/filepath"
)

// Report is what a logbook that nobody has open holds, and whether it can be trusted.
type Report struct {
	Bytes  int64  // of the file
	Torn   int64  // of them at its end, which a loss of power left; opening cuts them off
	Spoilt string // why the file cannot be trusted; "" if it can
}

// Verify looks at the logbook in a folder and changes nothing, and has what it holds read.
func Verify(folder string, read func(*Book) error) (*Report, error) {
	f, err := os.Open(filepath.Join(folder, file))
	if err != nil {
		return nil, Disk.Wrap(err, "open")
	}
	defer f.Close()
	text, err := readAll(f)
	if err != nil {
		return nil, err
	}
	r := &Report{Bytes: int64(len(text))}
	db, whole, err := load(text)
	if err != nil {
		r.Spoilt = err.Error()
		return r, nil
	}
	b := &Book{db: db}
	defer b.Close()
	r.Torn = int64(len(text) - whole)
	if err := read(b); err != nil {
		r.Spoilt = err.Error()
	}
	return r, nil
}
