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

// one is a pool with so many servers, told apart by a number.
func one(number float64, servers int) PoolState {
	p := PoolState{ModuleSettings: "m", Learned: balancer.LearnedState{At: number, ConcurrencyPerServer: 2, Classes: []balancer.LearnedClass{{MeanLatency: number}}}}
	for i := range servers {
		p.Servers = append(p.Servers, fmt.Sprint("s", i))
		p.Learned.Servers = append(p.Learned.Servers, balancer.LearnedServer{Load: number, StartedAt: float64(i)})
	}
	return p
}

func opened(t *testing.T, path string) *Store {
	t.Helper()
	s, _ := begun(t, path, "a")
	return s
}

// begun opens a store that is sound.
func begun(t *testing.T, path, instance string) (*Store, *Contents) {
	t.Helper()
	s, c, aside, err := Open(path, instance)
	if err != nil || aside != nil {
		t.Fatal(err, aside)
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

// What was kept is there after the file was closed, and what was forgotten is not.
func TestKeeps(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state")
	s := opened(t, path)
	until := time.Now().Add(time.Hour).UTC().Round(0)
	must(t, s.SavePools(map[string]PoolState{"p": one(1, 3), "q": one(2, 0)}), s.SavePin("p", &DegradationPin{"lean", until}), s.SavePin("q", &DegradationPin{"lean", until}),
		s.SaveLastGood(&OperatorFile{Path: "f", Hash: "h", Text: []byte("x = 1\n"), AppliedAt: until}), s.SavePools(map[string]PoolState{"p": one(5, 2)}), s.SavePin("q", nil), s.Close())
	_, c := begun(t, path, "a")
	want := &Contents{Pools: map[string]PoolState{"p": one(5, 2)},
		durableState: durableState{Pins: map[string]DegradationPin{"p": {"lean", until}}, LastGood: &OperatorFile{Path: "f", Hash: "h", Text: []byte("x = 1\n"), AppliedAt: until}}}
	if !reflect.DeepEqual(c, want) {
		t.Errorf("%+v, want %+v", c, want)
	}
	if again, whose, err := Inspect(path); err != nil || whose != "a" || !reflect.DeepEqual(again, want) {
		t.Errorf("%+v of %q, %v", again, whose, err)
	}
}

// A file that cannot be believed is set aside whole, with one error that names both files; the other one counts, and new ones are written.
func TestSetAside(t *testing.T) {
	edit := func(t *testing.T, path string, change func(text []byte) []byte) {
		file := filepath.Join(path, learnedFileName)
		text, err := os.ReadFile(file)
		must(t, err, os.WriteFile(file, change(text), 0o600))
	}
	for _, c := range []struct {
		name  string
		spoil func(t *testing.T, path string)
		cause error
	}{
		{"another instance's", func(t *testing.T, path string) {
			edit(t, path, func([]byte) []byte { text, _ := encode(learnedState{}, "b"); return text })
		}, ErrOtherInstance},
		{"a later version's", func(t *testing.T, path string) {
			edit(t, path, func(text []byte) []byte { return summed(strings.Replace(tail(text), `"schema":1`, `"schema":7`, 1)) })
		}, ErrNewerVersion},
		{"an unknown version's", func(t *testing.T, path string) {
			edit(t, path, func(text []byte) []byte { return summed(strings.Replace(tail(text), `"schema":1`, `"schema":0`, 1)) })
		}, ErrCorrupt},
		{"a figure that was changed", func(t *testing.T, path string) {
			edit(t, path, func(text []byte) []byte { return bytes.Replace(text, []byte(`"Load":1`), []byte(`"Load":8`), 1) })
		}, ErrCorrupt},
		{"a name is missing", func(t *testing.T, path string) {
			edit(t, path, func(text []byte) []byte { return summed(strings.Replace(tail(text), `"s0",`, ``, 1)) })
		}, ErrCorrupt},
		{"cut off", func(t *testing.T, path string) { edit(t, path, func(text []byte) []byte { return text[:len(text)/2] }) }, ErrCorrupt},
		{"empty", func(t *testing.T, path string) { edit(t, path, func([]byte) []byte { return nil }) }, ErrCorrupt},
		{"something else", func(t *testing.T, path string) {
			edit(t, path, func([]byte) []byte { return bytes.Repeat([]byte("no state "), 9000) })
		}, ErrCorrupt},
		{"a folder", func(t *testing.T, path string) {
			file := filepath.Join(path, learnedFileName)
			must(t, os.Remove(file), os.Mkdir(file, 0o700))
		}, ErrCorrupt},
	} {
		t.Run(c.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "state")
			s := opened(t, path)
			must(t, s.SavePools(map[string]PoolState{"p": one(1, 3)}), s.SavePin("p", &DegradationPin{Level: "x"}), s.Close())
			c.spoil(t, path)
			s, had, aside, err := Open(path, "a")
			if err != nil || !errors.Is(aside, c.cause) || !strings.Contains(aside.Error(), learnedFileName+".aside-") {
				t.Fatalf("%v, set aside: %v", err, aside)
			}
			defer s.Close()
			if len(had.Pools) != 0 || had.Pins["p"].Level != "x" {
				t.Errorf("read: %+v", had)
			}
			if left, _ := filepath.Glob(filepath.Join(path, "*.aside-*")); len(left) != 1 {
				t.Errorf("set aside: %v", left)
			}
			must(t, s.SavePools(map[string]PoolState{"p": one(1, 1)}))
		})
	}
}

func tail(file []byte) string { return string(file[bytes.IndexByte(file, '\n')+1:]) }

// summed is a text as a file whose checksum is right.
func summed(text string) []byte {
	return fmt.Appendf(nil, "%s %08x\n%s", magic, crc32.Checksum([]byte(text), castagnoli), text)
}

// Whatever byte of a file is wrong, it is not read.
func TestAnyByteWrong(t *testing.T) {
	text, err := encode(learnedState{map[string]PoolState{"p": one(1, 5)}}, "a")
	must(t, err)
	for at := range text {
		spoilt := append([]byte(nil), text...)
		spoilt[at] ^= 0x55
		if _, err := decode(spoilt, "a", &learnedState{}); !errors.Is(err, ErrCorrupt) {
			t.Errorf("byte %d: %v", at, err)
		}
	}
}

func TestTwoProcesses(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state")
	s := opened(t, path)
	must(t, s.SavePin("p", &DegradationPin{Level: "x"}))
	if _, _, aside, err := Open(path, "a"); !errors.Is(err, ErrLocked) || aside != nil {
		t.Errorf("%v, %v", err, aside)
	}
	if err := Clear(path); !errors.Is(err, ErrLocked) {
		t.Error(err)
	}
	if c := contents(t, path); c.Pins["p"].Level != "x" { // to look is allowed
		t.Errorf("%+v", c)
	}
	must(t, s.Close(), Clear(path))
	if _, _, err := Inspect(path); !errors.Is(err, os.ErrNotExist) {
		t.Error(err)
	}
	if err := Clear(t.TempDir()); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("a folder that is no instance's: %v", err)
	}
}

// steps are the writes of the crash harness's child, in order.
func steps(s *Store) []func() error {
	var list []func() error
	for n := range 6 {
		list = append(list, func() error { return s.SavePools(map[string]PoolState{"p": one(float64(n), 40)}) })
		list = append(list, func() error { return s.SaveLastGood(&OperatorFile{Hash: fmt.Sprint(n)}) })
		list = append(list, func() error { return s.SavePin("p", &DegradationPin{Level: fmt.Sprint(n)}) })
	}
	return list
}

const (
	crashPath = "STATE_CRASH_PATH"
	crashAt   = "STATE_CRASH_AT"
)

// TestCrashChild is the child of TestCrashes.
func TestCrashChild(t *testing.T) {
	path := os.Getenv(crashPath)
	if path == "" {
		t.Skip("is run by TestCrashes")
	}
	var at int
	if _, err := fmt.Sscan(os.Getenv(crashAt), &at); err != nil {
		t.Fatal(err)
	}
	s, _, _, err := Open(path, "a")
	if err != nil {
		t.Fatal(err)
	}
	writes := 0
	s.BeforeStep = func(string) error {
		if writes++; writes == at {
			os.Exit(7)
		}
		return nil
	}
	for n, step := range steps(s) {
		if err := step(); err != nil {
			t.Fatal(err)
		}
		fmt.Printf("done %d\n", n)
	}
}

// A process that is killed at any point of any write leaves the state before it or after it, and what it has said is done is there.
func TestCrashes(t *testing.T) {
	for at := 1; at <= 72; at++ {
		path := filepath.Join(t.TempDir(), "state")
		cmd := exec.Command(os.Args[0], "-test.run=TestCrashChild$")
		cmd.Env = append(os.Environ(), crashPath+"="+path, crashAt+"="+fmt.Sprint(at))
		out, err := cmd.Output()
		var ended *exec.ExitError
		if !errors.As(err, &ended) || ended.ExitCode() != 7 {
			t.Fatalf("killed at %d: %v\n%s", at, err, out)
		}
		done := strings.Count(string(out), "done ")
		_, c := begun(t, path, "a")
		seen := [3]int{-1, -1, -1} // the last of each kind
		if p, ok := c.Pools["p"]; ok {
			seen[0] = int(p.Learned.At)
			if !reflect.DeepEqual(p, one(p.Learned.At, 40)) {
				t.Errorf("killed at %d: half written %+v", at, p)
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
			said := (done-kind+2)/3 - 1 // the last of this kind that was said to be done
			if got != said && (got != said+1 || done%3 != kind) {
				t.Errorf("killed at %d, %d done: kind %d is at %d, want %d or the one under way", at, done, kind, got, said)
			}
		}
	}
}

// A write that fails, wherever, changes nothing until it is in place, and is told; the next one goes on.
func TestFailingWrites(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state")
	s := opened(t, path)
	must(t, s.SavePin("p", &DegradationPin{Level: "before"}))
	full := errors.New("no space left on device")
	for _, where := range []string{durableFileName, durableFileName + ", half written", durableFileName + ", not yet in place"} {
		s.BeforeStep = func(write string) error {
			if write == where {
				return full
			}
			return nil
		}
		if err := s.SavePin("p", &DegradationPin{Level: "after"}); !errors.Is(err, full) {
			t.Errorf("%s: %v", where, err)
		}
		if got := contents(t, path).Pins["p"].Level; got != "before" {
			t.Errorf("%s: %q", where, got)
		}
	}
	s.BeforeStep = func(string) error { return nil }
	must(t, s.SaveLastGood(&OperatorFile{Hash: "h"}))
	if c := contents(t, path); c.Pins["p"].Level != "before" || c.LastGood.Hash != "h" {
		t.Errorf("what failed came in with a later write: %+v", c)
	}
	if left, _ := os.ReadDir(path); len(left) != 2 {
		t.Errorf("left behind: %v", left)
	}
}

// A disk that hangs costs snapshots; who offers them never waits, and the last one is written in the end.
func TestWriterDoesNotWait(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state")
	s := opened(t, path)
	hangs, entered := make(chan struct{}), make(chan struct{}, 100)
	s.BeforeStep = func(write string) error {
		if write == learnedFileName {
			entered <- struct{}{}
			<-hangs
		}
		return nil
	}
	w := NewWriter(s)
	w.Enqueue(map[string]PoolState{"p": one(0, 1)})
	<-entered
	for n := range 50 {
		w.Enqueue(map[string]PoolState{"p": one(float64(n+1), 1)})
	}
	close(hangs)
	w.Close()
	if got := contents(t, path).Pools["p"].Learned.At; got != 50 {
		t.Errorf("the last one kept is %v", got)
	}
	if written, lost := w.Counts(); written != 2 || lost != 49 {
		t.Errorf("%d written, %d lost", written, lost)
	}
}

// Whatever a file holds, it is refused or its pools name all their servers, and what is written is read the same.
func FuzzDecode(f *testing.F) {
	text, err := encode(learnedState{map[string]PoolState{"p": one(3, 2)}}, "a")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Add([]byte(`{"schema":1,"instance":"a","body":{"pools":{"p":{"servers":["a"],"memory":{"Servers":[]}}}}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		for _, file := range [][]byte{text, summed(string(text))} {
			var l learnedState
			whose, err := decode(file, "", &l)
			if err != nil {
				continue
			}
			for name, p := range l.Pools {
				if len(p.Servers) != len(p.Learned.Servers) {
					t.Errorf("pool %q: %+v", name, p)
				}
			}
			again, err := encode(l, whose)
			var m learnedState
			if err != nil {
				t.Fatal(err)
			}
			if _, err := decode(again, whose, &m); err != nil || len(m.Pools) != len(l.Pools) {
				t.Errorf("%+v, then %+v (%v)", l, m, err)
			}
		}
	})
}
