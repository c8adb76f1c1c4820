package state

import (
	"bytes"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"milletmast/balancer"
)

// testPool returns the state of a pool with a number of servers. Its values are set to number, which identifies it.
func testPool(number float64, servers int) PoolState {
	p := PoolState{ModuleSettings: "m", Learned: balancer.LearnedState{At: number, ConcurrencyPerServer: 2, Classes: []balancer.LearnedClass{{MeanLatency: number}}}}
	for i := range servers {
		p.Servers = append(p.Servers, fmt.Sprint("s", i))
		p.Learned.Servers = append(p.Learned.Servers, balancer.LearnedServer{Load: number, StartedAt: float64(i)})
	}
	return p
}

// openStore opens a store as the instance a.
func openStore(t *testing.T, path string) *Store {
	t.Helper()
	s, _ := openContents(t, path, "a")
	return s
}

// openContents opens a store, and fails the test if a file is set aside.
func openContents(t *testing.T, path, instance string) (*Store, *Contents) {
	t.Helper()
	s, c, setAside, err := Open(path, instance)
	if err != nil || setAside != nil {
		t.Fatal(err, setAside)
	}
	t.Cleanup(func() { s.Close() })
	return s, c
}

func contents(t *testing.T, path string) *Contents {
	t.Helper()
	c, _, err := Inspect(path)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func must(t *testing.T, errs ...error) {
	t.Helper()
	if err := errors.Join(errs...); err != nil {
		t.Fatal(err)
	}
}

// Saved state is read again after the store was closed, and removed state is not.
func TestSavedStateIsRead(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state")
	s := openStore(t, path)
	until := time.Now().Add(time.Hour).UTC().Round(0)
	must(t, s.SavePools(map[string]PoolState{"p": testPool(1, 3), "q": testPool(2, 0)}), s.SavePin("p", &DegradationPin{"lean", until}), s.SavePin("q", &DegradationPin{"lean", until}),
		s.SaveLastGood(&OperatorFile{Path: "f", Hash: "h", Text: []byte("x = 1\n"), AppliedAt: until}), s.SavePools(map[string]PoolState{"p": testPool(5, 2)}), s.SavePin("q", nil), s.Close())
	_, c := openContents(t, path, "a")
	want := &Contents{Pools: map[string]PoolState{"p": testPool(5, 2)},
		durableState: durableState{Pins: map[string]DegradationPin{"p": {"lean", until}}, LastGood: &OperatorFile{Path: "f", Hash: "h", Text: []byte("x = 1\n"), AppliedAt: until}}}
	if !reflect.DeepEqual(c, want) {
		t.Errorf("%+v, want %+v", c, want)
	}
	if again, writtenBy, err := Inspect(path); err != nil || writtenBy != "a" || !reflect.DeepEqual(again, want) {
		t.Errorf("%+v of %q, %v", again, writtenBy, err)
	}
}

// An unusable file is renamed, with an error that names both files. The other file is still read, and a new one can be written.
func TestSetAside(t *testing.T) {
	edit := func(t *testing.T, path string, change func(text []byte) []byte) {
		file := filepath.Join(path, learnedFileName)
		text, err := os.ReadFile(file)
		must(t, err, os.WriteFile(file, change(text), 0o600))
	}
	for _, c := range []struct {
		name    string
		corrupt func(t *testing.T, path string)
		cause   error
	}{
		{"another instance", func(t *testing.T, path string) {
			edit(t, path, func([]byte) []byte { text, _ := encode(learnedState{}, "b"); return text })
		}, ErrOtherInstance},
		{"a later version", func(t *testing.T, path string) {
			edit(t, path, func(text []byte) []byte {
				return withChecksum(strings.Replace(payload(text), `"schema":1`, `"schema":7`, 1))
			})
		}, ErrNewerVersion},
		{"an unknown version", func(t *testing.T, path string) {
			edit(t, path, func(text []byte) []byte {
				return withChecksum(strings.Replace(payload(text), `"schema":1`, `"schema":0`, 1))
			})
		}, ErrCorrupt},
		{"a changed number", func(t *testing.T, path string) {
			edit(t, path, func(text []byte) []byte { return bytes.Replace(text, []byte(`"Load":1`), []byte(`"Load":8`), 1) })
		}, ErrCorrupt},
		{"a missing server id", func(t *testing.T, path string) {
			edit(t, path, func(text []byte) []byte { return withChecksum(strings.Replace(payload(text), `"s0",`, ``, 1)) })
		}, ErrCorrupt},
		{"truncated", func(t *testing.T, path string) { edit(t, path, func(text []byte) []byte { return text[:len(text)/2] }) }, ErrCorrupt},
		{"empty", func(t *testing.T, path string) { edit(t, path, func([]byte) []byte { return nil }) }, ErrCorrupt},
		{"another format", func(t *testing.T, path string) {
			edit(t, path, func([]byte) []byte { return bytes.Repeat([]byte("no state "), 9000) })
		}, ErrCorrupt},
		{"a directory", func(t *testing.T, path string) {
			file := filepath.Join(path, learnedFileName)
			must(t, os.Remove(file), os.Mkdir(file, 0o700))
		}, ErrCorrupt},
	} {
		t.Run(c.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "state")
			s := openStore(t, path)
			must(t, s.SavePools(map[string]PoolState{"p": testPool(1, 3)}), s.SavePin("p", &DegradationPin{Level: "x"}), s.Close())
			c.corrupt(t, path)
			s, loaded, setAside, err := Open(path, "a")
			if err != nil || !errors.Is(setAside, c.cause) || !strings.Contains(setAside.Error(), learnedFileName+".aside-") {
				t.Fatalf("%v, set aside: %v", err, setAside)
			}
			defer s.Close()
			if len(loaded.Pools) != 0 || loaded.Pins["p"].Level != "x" {
				t.Errorf("read: %+v", loaded)
			}
			if left, _ := filepath.Glob(filepath.Join(path, "*.aside-*")); len(left) != 1 {
				t.Errorf("set aside: %v", left)
			}
			must(t, s.SavePools(map[string]PoolState{"p": testPool(1, 1)}))
		})
	}
}

// payload returns the contents of a file after its header line.
func payload(file []byte) string { return string(file[bytes.IndexByte(file, '\n')+1:]) }

// withChecksum returns a file of a payload with its checksum.
func withChecksum(text string) []byte {
	return fmt.Appendf(nil, "%s %08x\n%s", magic, crc32.Checksum([]byte(text), castagnoli), text)
}

// A file with any one byte changed is rejected.
func TestChangedByteIsRejected(t *testing.T) {
	text, err := encode(learnedState{map[string]PoolState{"p": testPool(1, 5)}}, "a")
	must(t, err)
	for at := range text {
		corrupted := append([]byte(nil), text...)
		corrupted[at] ^= 0x55
		if _, err := decode(corrupted, "a", &learnedState{}); !errors.Is(err, ErrCorrupt) {
			t.Errorf("byte %d: %v", at, err)
		}
	}
}

func TestTwoProcesses(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state")
	s := openStore(t, path)
	must(t, s.SavePin("p", &DegradationPin{Level: "x"}))
	if _, _, setAside, err := Open(path, "a"); !errors.Is(err, ErrLocked) || setAside != nil {
		t.Errorf("%v, %v", err, setAside)
	}
	if err := Clear(path); !errors.Is(err, ErrLocked) {
		t.Error(err)
	}
	if c := contents(t, path); c.Pins["p"].Level != "x" { // Inspect needs no lock
		t.Errorf("%+v", c)
	}
	must(t, s.Close(), Clear(path))
	if _, _, err := Inspect(path); !errors.Is(err, os.ErrNotExist) {
		t.Error(err)
	}
	if err := Clear(t.TempDir()); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("a folder without state: %v", err)
	}
}

// allWrites returns the writes of TestCrashChild, in order.
func allWrites(s *Store) []func() error {
	var list []func() error
	for n := range 6 {
		list = append(list, func() error { return s.SavePools(map[string]PoolState{"p": testPool(float64(n), 40)}) })
		list = append(list, func() error { return s.SaveLastGood(&OperatorFile{Hash: fmt.Sprint(n)}) })
		list = append(list, func() error { return s.SavePin("p", &DegradationPin{Level: fmt.Sprint(n)}) })
	}
	return list
}

const (
	crashPath = "STATE_CRASH_PATH"
	crashAt   = "STATE_CRASH_AT"
)

// TestCrashChild is the process that TestCrashes starts. It exits at a step of a write.
func TestCrashChild(t *testing.T) {
	path := os.Getenv(crashPath)
	if path == "" {
		t.Skip("run by TestCrashes only")
	}
	var at int
	if _, err := fmt.Sscan(os.Getenv(crashAt), &at); err != nil {
		t.Fatal(err)
	}
	s, _, _, err := Open(path, "a")
	if err != nil {
		t.Fatal(err)
	}
	stepCount := 0
	s.BeforeStep = func(string) error {
		if stepCount++; stepCount == at {
			os.Exit(7)
		}
		return nil
	}
	for n, write := range allWrites(s) {
		if err := write(); err != nil {
			t.Fatal(err)
		}
		fmt.Printf("done %d\n", n)
	}
}

// A process that exits at any step of a write leaves the state before or after that write, and the writes that it reported as done are
// complete.
func TestCrashes(t *testing.T) {
	for at := 1; at <= 72; at++ {
		path := filepath.Join(t.TempDir(), "state")
		cmd := exec.Command(os.Args[0], "-test.run=TestCrashChild$")
		cmd.Env = append(os.Environ(), crashPath+"="+path, crashAt+"="+fmt.Sprint(at))
		out, err := cmd.Output()
		var exitErr *exec.ExitError
		if !errors.As(err, &exitErr) || exitErr.ExitCode() != 7 {
			t.Fatalf("exit at step %d: %v\n%s", at, err, out)
		}
		done := strings.Count(string(out), "done ")
		_, c := openContents(t, path, "a")
		seen := [3]int{-1, -1, -1} // the number of the last write of each kind
		if p, ok := c.Pools["p"]; ok {
			seen[0] = int(p.Learned.At)
			if !reflect.DeepEqual(p, testPool(p.Learned.At, 40)) {
				t.Errorf("exit at step %d: half written %+v", at, p)
			}
		}
		if c.LastGood != nil {
			if _, err := fmt.Sscan(c.LastGood.Hash, &seen[1]); err != nil {
				t.Error(err)
			}
		}
		if p, ok := c.Pins["p"]; ok {
			if _, err := fmt.Sscan(p.Level, &seen[2]); err != nil {
				t.Error(err)
			}
		}
		for kind, got := range seen {
			lastDone := (done-kind+2)/3 - 1 // the last write of this kind that was reported as done
			if got != lastDone && (got != lastDone+1 || done%3 != kind) {
				t.Errorf("exit at step %d, %d writes done: kind %d is at %d, want %d or the write in progress", at, done, kind, got, lastDone)
			}
		}
	}
}

// A write that fails before its file is in place returns the error and changes nothing, and the next write succeeds.
func TestFailingWrites(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state")
	s := openStore(t, path)
	must(t, s.SavePin("p", &DegradationPin{Level: "before"}))
	errFull := errors.New("no space left on device")
	for _, failAt := range []string{durableFileName, durableFileName + ", half written", durableFileName + ", not yet in place"} {
		s.BeforeStep = func(write string) error {
			if write == failAt {
				return errFull
			}
			return nil
		}
		if err := s.SavePin("p", &DegradationPin{Level: "after"}); !errors.Is(err, errFull) {
			t.Errorf("%s: %v", failAt, err)
		}
		if got := contents(t, path).Pins["p"].Level; got != "before" {
			t.Errorf("%s: %q", failAt, got)
		}
	}
	s.BeforeStep = func(string) error { return nil }
	must(t, s.SaveLastGood(&OperatorFile{Hash: "h"}))
	if c := contents(t, path); c.Pins["p"].Level != "before" || c.LastGood.Hash != "h" {
		t.Errorf("a failed change was written with a later one: %+v", c)
	}
	if left, _ := os.ReadDir(path); len(left) != 2 {
		t.Errorf("temporary files remain: %v", left)
	}
}

// While the disk blocks, Enqueue does not wait and snapshots are dropped. The last one is written in the end.
func TestWriterDoesNotWait(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state")
	s := openStore(t, path)
	unblock, entered := make(chan struct{}), make(chan struct{}, 100)
	s.BeforeStep = func(write string) error {
		if write == learnedFileName {
			entered <- struct{}{}
			<-unblock
		}
		return nil
	}
	w := NewWriter(s)
	w.Enqueue(map[string]PoolState{"p": testPool(0, 1)})
	<-entered
	for n := range 50 {
		w.Enqueue(map[string]PoolState{"p": testPool(float64(n+1), 1)})
	}
	close(unblock)
	w.Close()
	if got := contents(t, path).Pools["p"].Learned.At; got != 50 {
		t.Errorf("the last saved snapshot is %v", got)
	}
	if written, dropped := w.Counts(); written != 2 || dropped != 49 {
		t.Errorf("%d written, %d dropped", written, dropped)
	}
}

// Any file is rejected or has an id for each server of its pools, and its pools are kept when it is encoded and decoded again.
func FuzzDecode(f *testing.F) {
	text, err := encode(learnedState{map[string]PoolState{"p": testPool(3, 2)}}, "a")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Add([]byte(`{"schema":1,"instance":"a","body":{"pools":{"p":{"servers":["a"],"memory":{"Servers":[]}}}}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		for _, file := range [][]byte{text, withChecksum(string(text))} {
			var l learnedState
			writtenBy, err := decode(file, "", &l)
			if err != nil {
				continue
			}
			for name, p := range l.Pools {
				if len(p.Servers) != len(p.Learned.Servers) {
					t.Errorf("pool %q: %+v", name, p)
				}
			}
			again, err := encode(l, writtenBy)
			var m learnedState
			if err != nil {
				t.Fatal(err)
			}
			if _, err := decode(again, writtenBy, &m); err != nil || len(m.Pools) != len(l.Pools) {
				t.Errorf("%+v, then %+v (%v)", l, m, err)
			}
		}
	})
}
