package logbook

import (
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

// Verify looks at the logbook in a folder and changes nothing. The records that it knows are named as keepers name them.
func Verify(folder, diskRecord, setRecord string) (*Report, error) {
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
