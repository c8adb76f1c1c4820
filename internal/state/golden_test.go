package state

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"
)

// The files in testdata/golden were written before the types of this package were renamed, and never change: later versions must read the
// files of earlier ones and write the same format.
const (
	goldenFolder   = "testdata/golden"
	goldenInstance = "golden-1"
)

func goldenContents() *Contents {
	at := time.Date(2026, 12, 2, 9, 42, 33, 0, time.UTC)
	return &Contents{
		Pools: map[string]PoolState{"lab": testPool(1.5, 3), "docks": testPool(2.25, 1)},
		durableState: durableState{
			Pins:     map[string]DegradationPin{"lab": {Level: "essential", Until: at.Add(time.Hour)}},
			LastGood: &OperatorFile{Path: "operator.toml", Hash: "ab12", Text: []byte("[listener]\n"), AppliedAt: at},
		},
	}
}

// writeGolden writes the golden files to a folder.
func writeGolden(t *testing.T, folder string) {
	t.Helper()
	s, _, setAside, err := Open(folder, goldenInstance)
	if err != nil || setAside != nil {
		t.Fatal(err, setAside)
	}
	defer s.Close()
	c := goldenContents()
	pin := c.Pins["lab"]
	for _, err := range []error{s.SavePools(c.Pools), s.SavePin("lab", &pin), s.SaveLastGood(c.LastGood)} {
		if err != nil {
			t.Fatal(err)
		}
	}
}

func TestGoldenStateIsRead(t *testing.T) {
	folder := t.TempDir()
	if err := os.CopyFS(folder, os.DirFS(goldenFolder)); err != nil {
		t.Fatal(err)
	}
	s, got, setAside, err := Open(folder, goldenInstance)
	if err != nil || setAside != nil {
		t.Fatal(err, setAside)
	}
	defer s.Close()
	if want := goldenContents(); !reflect.DeepEqual(got, want) {
		t.Errorf("the golden state reads as\n%+v\nwant\n%+v", got, want)
	}
}

func TestGoldenStateIsWritten(t *testing.T) {
	folder := t.TempDir()
	writeGolden(t, folder)
	for _, file := range []string{learnedFileName, durableFileName} {
		got, err := os.ReadFile(filepath.Join(folder, file))
		if err != nil {
			t.Fatal(err)
		}
		want, err := os.ReadFile(filepath.Join(goldenFolder, file))
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(got, want) {
			t.Errorf("%s has another format:\n%s\nwant\n%s", file, got, want)
		}
	}
}
