package logbook

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/joomcode/errorx"

	"whinknot/internal/tide"
)

func entry(key string, n uint64) tide.Entry {
	return tide.Entry{Key: key, Stamp: tide.Stamp{Number: n, By: "d"}, Body: []byte("body of " + key)}
}

func fill(t *testing.T, folder string) {
	t.Helper()
	b, spoilt, err := Open(folder)
	if err != nil || spoilt != nil {
		t.Fatal(err, spoilt)
	}
	if err := b.Entries(entry("config", 3), entry("evacuation/north", 1)); err != nil {
		t.Fatal(err)
	}
	if err := b.Put("disk", "d#1"); err != nil {
		t.Fatal(err)
	}
	if err := b.Close(); err != nil {
		t.Fatal(err)
	}
}

func TestWhatWasWrittenIsThereAgain(t *testing.T) {
	folder := t.TempDir()
	fill(t, folder)
	b, spoilt, err := Open(folder)
	if err != nil || spoilt != nil {
		t.Fatal(err, spoilt)
	}
	defer b.Close()
	held, err := b.Held()
	if err != nil || len(held) != 2 || !held[0].Same(&tide.Entry{Key: "config", Stamp: tide.Stamp{Number: 3, By: "d"}, Body: []byte("body of config")}) {
		t.Fatalf("%v %v", held, err)
	}
	var disk string
	if ok, err := b.Get("disk", &disk); !ok || err != nil || disk != "d#1" {
		t.Fatal(ok, err, disk)
	}
	if ok, err := b.Get("nothing", &disk); ok || err != nil {
		t.Fatal(ok, err)
	}
}

// A write that power cut short is cut off at any byte: what was synced before it is all there.
func TestATornTailIsCutOff(t *testing.T) {
	folder := t.TempDir()
	fill(t, folder)
	path := filepath.Join(folder, file)
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	b, _, err := Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	b.Entries(entry("config", 4))
	b.Close()
	longer, err := os.ReadFile(path)
	if err != nil || len(longer) <= len(whole) {
		t.Fatal(len(longer), err)
	}
	for cut := len(whole); cut < len(longer); cut++ {
		if err := os.WriteFile(path, longer[:cut], 0o644); err != nil {
			t.Fatal(err)
		}
		b, spoilt, err := Open(folder)
		if err != nil || spoilt != nil {
			t.Fatalf("cut at %d of %d: %v %v", cut, len(longer), err, spoilt)
		}
		held, err := b.Held()
		if err != nil || len(held) != 2 || held[0].Stamp.Number != 3 {
			t.Fatalf("cut at %d: %v %v", cut, held, err)
		}
		b.Close()
	}
}

// A byte that changed makes the disk an empty one, and that is told.
func TestASpoiltFileCountsAsALostDisk(t *testing.T) {
	folder := t.TempDir()
	fill(t, folder)
	path := filepath.Join(folder, file)
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	i := len(text) / 2
	text[i] ^= 0x40
	if err := os.WriteFile(path, text, 0o644); err != nil {
		t.Fatal(err)
	}
	b, spoilt, err := Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	defer b.Close()
	if !errorx.IsOfType(spoilt, Spoilt) {
		t.Fatalf("spoilt: %v", spoilt)
	}
	if held, _ := b.Held(); len(held) > 0 {
		t.Fatalf("held %v", held)
	}
}
