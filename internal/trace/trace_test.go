package trace

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func sample(n int) Attempt {
	return Attempt{Root: "0123456789abcdef", Parent: "00000000", Call: "11111111", ID: fmt.Sprintf("%08x", n), Sidecar: "front", Route: "r",
		Pool: "p", Class: "c", Server: "127.0.0.1:1", Number: n, Outcome: "ok", TookMS: 1.5, Weight: 12}
}

func TestConcurrentWrites(t *testing.T) {
	path := filepath.Join(t.TempDir(), "trace")
	w, err := NewWriter(path)
	if err != nil {
		t.Fatal(err)
	}
	var all sync.WaitGroup
	for k := range 4 {
		all.Go(func() {
			for n := range 100 {
				w.Add(sample(100*k + n))
			}
		})
	}
	all.Wait()
	w.Close()
	w.Close()
	w.Add(sample(0)) // ignored after Close
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	list, err := Read(path, bytes.NewReader(text))
	if err != nil || len(list)+int(w.Dropped()) != 400 {
		t.Fatalf("%d records and %d dropped, %v", len(list), w.Dropped(), err)
	}
	seen := map[string]bool{}
	for _, a := range list {
		if want := sample(a.Number); a != want || seen[a.ID] {
			t.Fatalf("%+v, want %+v once", a, want)
		}
		seen[a.ID] = true
	}
}

func TestRotation(t *testing.T) {
	path := filepath.Join(t.TempDir(), "trace")
	if err := os.WriteFile(path, bytes.Repeat([]byte("\n"), maxFileBytes-100), 0o600); err != nil {
		t.Fatal(err)
	}
	w, err := NewWriter(path)
	if err != nil {
		t.Fatal(err)
	}
	w.Add(sample(1))
	w.Close()
	old, err := os.Stat(path + ".1")
	if err != nil || old.Size() != maxFileBytes-100 {
		t.Fatal(old, err)
	}
	text, _ := os.ReadFile(path)
	if list, err := Read(path, bytes.NewReader(text)); err != nil || len(list) != 1 {
		t.Fatal(list, err)
	}
	if _, err := NewWriter(filepath.Join(path, "none")); err == nil {
		t.Error("a file below a regular file was opened")
	}
}

func TestReadNamesTheLine(t *testing.T) {
	line, _ := json.Marshal(sample(1))
	good := string(line) + "\n"
	if list, err := Read("f", strings.NewReader(good+good+good[:30])); err != nil || len(list) != 2 {
		t.Errorf("an incomplete last line: %d records, %v", len(list), err)
	}
	for text, want := range map[string]string{
		good + "{\n" + good:                             "f:2:",
		good + strings.Repeat("x", maxLineBytes+1):      "token too long",
		good + `{"number":"one"}` + "\n" + good:         "f:2:",
		strings.Repeat("[", 10_000) + "\n" + good:       "",
		`{"root":5}` + "\n" + good + good + good + "\n": "f:1:",
	} {
		if _, err := Read("f", strings.NewReader(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%.40q: %v, want %q", text, err, want)
		}
	}
}

func TestPrintJoinsTrees(t *testing.T) {
	back := sample(1)
	back.Sidecar, back.Parent, back.ID, back.Number, back.Hop = "back", sample(2).ID, "aaaaaaaa", 0, 1
	again := back
	again.ID, again.Number, again.Outcome = "bbbbbbbb", 1, "error"
	other := sample(7)
	other.Root = "ffffffffffffffff"
	cycle := sample(9) // its own parent, as in a forged file: Print must return
	cycle.Root, cycle.Parent, cycle.ID = "eeeeeeeeeeeeeeee", "cccccccc", "cccccccc"
	var out bytes.Buffer
	if err := Print(&out, []Attempt{again, back, sample(2), other, cycle}, back.Root); err != nil {
		t.Fatal(err)
	}
	want := "0123456789abcdef: attempts 3\n" +
		"  front p/c at 127.0.0.1:1, attempt 3: ok, 1.5 ms\n" +
		"    back p/c at 127.0.0.1:1, attempt 1: ok, 1.5 ms\n" +
		"    back p/c at 127.0.0.1:1, attempt 2: error, 1.5 ms\n"
	if out.String() != want {
		t.Errorf("printed\n%swant\n%s", out.String(), want)
	}
	out.Reset()
	if err := Print(&out, []Attempt{again, back, sample(2), other, cycle}, ""); err != nil || strings.Count(out.String(), ": attempts ") != 3 {
		t.Errorf("%v\n%s", err, out.String())
	}
}

// FuzzRead reads any file and prints its records. Reading may fail only with an error that names the file, and printing must not fail.
func FuzzRead(f *testing.F) {
	line, _ := json.Marshal(sample(1))
	f.Add(append(append(line, '\n'), line...))
	f.Add([]byte("{}\n{\"root\":\"a\",\"parent\":\"b\",\"id\":\"b\"}\n"))
	f.Add([]byte("[1]\n\n{}"))
	f.Fuzz(func(t *testing.T, text []byte) {
		list, err := Read("file", bytes.NewReader(text))
		if err != nil {
			if !strings.HasPrefix(err.Error(), "file:") {
				t.Error(err)
			}
			return
		}
		if len(list) > bytes.Count(text, []byte("\n"))+1 {
			t.Errorf("%d records in %q", len(list), text)
		}
		var out bytes.Buffer
		if err := Print(&out, list, ""); err != nil || out.Len() > 1000+len(text)*100 {
			t.Errorf("%d bytes for %d, %v", out.Len(), len(text), err)
		}
	})
}
