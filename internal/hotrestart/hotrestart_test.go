package hotrestart

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func openSharedState(t *testing.T, dir, id string) *SharedState {
	t.Helper()
	p, err := Open(dir, id)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

func TestIsAnotherAlive(t *testing.T) {
	dir := t.TempDir()
	a := openSharedState(t, dir, "a")
	if a.IsAnotherAlive() {
		t.Error("a single process sees another")
	}
	b, err := Open(dir, "b")
	if err != nil {
		t.Fatal(err)
	}
	if !a.IsAnotherAlive() || !b.IsAnotherAlive() {
		t.Error("two processes do not see each other")
	}
	if _, err := Open(dir, "b"); err == nil {
		t.Error("two processes have the same id")
	}
	b.aliveFile.Close() // as when it is killed: its file stays, but its lock is released
	if a.IsAnotherAlive() {
		t.Error("a process that has ended counts as alive")
	}
	if _, err := os.Stat(b.aliveFile.Name()); err == nil {
		t.Error("the file of a process that has ended stays")
	}
}

// Concurrent updates of both processes lose no change, also if a process ends in the middle of one.
func TestConcurrentUpdates(t *testing.T) {
	dir := t.TempDir()
	a, b := openSharedState(t, dir, "a"), openSharedState(t, dir, "b")
	var writers sync.WaitGroup
	for _, p := range []*SharedState{a, b} {
		writers.Go(func() {
			for i := range 50 {
				if _, err := p.Update(func(s State) State {
					s.Held, _ = s.Held.Hold(fmt.Sprint(p.ID(), i), 1)
					return s
				}); err != nil {
					t.Error(err)
				}
			}
		})
	}
	writers.Wait()
	if s, err := a.Read(); err != nil || len(s.Held.Held) != 100 {
		t.Errorf("%d of 100 changes are kept, %v", len(s.Held.Held), err)
	}
	if err := os.WriteFile(filepath.Join(dir, stateFile+".new"), []byte(`{"serv`), 0o600); err != nil {
		t.Fatal(err)
	}
	c := openSharedState(t, dir, "c")
	if s, err := c.Update(func(s State) State { s.Serving = "c"; return s }); err != nil || len(s.Held.Held) != 100 {
		t.Errorf("after a process ended during a write: %d held, %v", len(s.Held.Held), err)
	}
	if s, err := b.Read(); err != nil || s.Serving != "c" {
		t.Errorf("serving %q, %v", s.Serving, err)
	}
}

// A state that cannot be read is an error; the last known state is kept and written again with the next change.
func TestUnreadableState(t *testing.T) {
	dir := t.TempDir()
	a := openSharedState(t, dir, "a")
	if _, err := a.Update(func(s State) State { s.Held, _ = s.Held.Hold("s-1", 1); return s }); err != nil {
		t.Fatal(err)
	}
	for _, text := range []string{"", "{", `{"serving":5}`, `{"serving":"x","held":[]}`} {
		if err := os.WriteFile(filepath.Join(dir, stateFile), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if s, err := a.Read(); err == nil || !s.Held.IsHeld("s-1") {
			t.Errorf("%q: %+v, %v", text, s, err)
		}
	}
	if s, err := a.Update(func(s State) State { s.Serving = "a"; return s }); err != nil || !s.Held.IsHeld("s-1") {
		t.Errorf("%+v, %v", s, err)
	}
	if s, err := openSharedState(t, dir, "b").Read(); err != nil || !s.Held.IsHeld("s-1") || s.Serving != "a" {
		t.Errorf("written again: %+v, %v", s, err)
	}
}

// A change that cannot be written counts for its process, and is written with the next change.
func TestUnwritableState(t *testing.T) {
	dir := t.TempDir()
	a := openSharedState(t, dir, "a")
	if _, err := a.Update(func(s State) State { s.Serving = "a"; return s }); err != nil {
		t.Fatal(err)
	}
	blocked := filepath.Join(dir, stateFile+".new")
	if err := os.Mkdir(blocked, 0o700); err != nil { // writes to this path fail now
		t.Fatal(err)
	}
	if s, err := a.Update(func(s State) State { s.Held, _ = s.Held.Hold("s-1", 1); return s }); err == nil || !s.Held.IsHeld("s-1") {
		t.Errorf("%+v, %v", s, err)
	}
	if s, err := a.Read(); err != nil || !s.Held.IsHeld("s-1") || s.Serving != "a" {
		t.Errorf("the change is undone: %+v, %v", s, err)
	}
	if err := os.Remove(blocked); err != nil {
		t.Fatal(err)
	}
	if _, err := a.Update(func(s State) State { s.Held, _ = s.Held.Hold("s-2", 2); return s }); err != nil {
		t.Fatal(err)
	}
	if s, err := openSharedState(t, dir, "b").Read(); err != nil || !s.Held.IsHeld("s-1") || !s.Held.IsHeld("s-2") {
		t.Errorf("written later: %+v, %v", s, err)
	}
}

func TestWatch(t *testing.T) {
	dir := t.TempDir()
	a := openSharedState(t, dir, "a")
	type update struct {
		serving      string
		anotherAlive bool
	}
	updates := make(chan update, 100)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		a.Watch(ctx, time.Millisecond, func(s State, anotherAlive bool) { updates <- update{s.Serving, anotherAlive} })
	}()
	expect := func(want update) {
		t.Helper()
		timeout := time.After(5 * time.Second)
		for {
			select {
			case got := <-updates:
				if got == want {
					return
				}
			case <-timeout:
				t.Fatalf("no update %+v", want)
			}
		}
	}
	expect(update{"", false})
	b, err := Open(dir, "b")
	if err != nil {
		t.Fatal(err)
	}
	expect(update{"", true})
	if _, err := b.Update(func(s State) State { s.Serving = "b"; return s }); err != nil {
		t.Fatal(err)
	}
	expect(update{"b", true})
	b.Close()
	expect(update{"b", false})
	cancel()
	<-ended
}

// serveName accepts connections and writes a name to each until the listener is closed.
func serveName(t *testing.T, ln net.Listener, name string) {
	t.Helper()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			if _, err := c.Write([]byte(name)); err != nil {
				t.Error(err)
			}
			c.Close()
		}
	}()
	t.Cleanup(func() { ln.Close(); <-ended })
}

// New connections go to the process that they are directed to, and none is lost as the other one ends.
func TestDirectConnections(t *testing.T) {
	first, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := first.Addr().String()
	serveName(t, first, "1")
	expectServer := func(what, want string) {
		t.Helper()
		for range 64 {
			c, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatalf("%s: %v", what, err)
			}
			if err := c.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
				t.Fatal(err)
			}
			var got [1]byte
			_, err = c.Read(got[:])
			c.Close()
			if err != nil || string(got[:]) != want {
				t.Fatalf("%s: served by %q, %v, want %q", what, got[:], err, want)
			}
		}
	}
	expectServer("one listener", "1")
	if err := DirectConnections(first, FirstSlot); err != nil {
		t.Fatal(err)
	}
	second, err := Listen(addr)
	if err != nil {
		t.Fatal(err)
	}
	serveName(t, second, "2")
	expectServer("a second listener that is not ready", "1")
	if err := DirectConnections(second, SecondSlot); err != nil {
		t.Fatal(err)
	}
	expectServer("a second listener that is ready", "2")
	first.Close()
	expectServer("the first listener closed", "2")
	if err := DirectConnections(second, FirstSlot); err != nil {
		t.Fatal(err)
	}
	expectServer("directed to its new slot", "2")
	third, err := Listen(addr)
	if err != nil {
		t.Fatal(err)
	}
	serveName(t, third, "3")
	expectServer("a third listener that is not ready", "2")
	if err := DirectConnections(third, SecondSlot); err != nil {
		t.Fatal(err)
	}
	third.Close() // it fails before the second one is asked to end
	expectServer("the third listener closed", "2")
}

func FuzzState(f *testing.F) {
	for _, text := range []string{`{"serving":"a","held":{"out":{"s-1":1}}}`, `{"held":{}}`, `{}`, `{"serving":"a","held":null}`} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := parseState(text)
		if err != nil {
			return
		}
		again, err := s.encode()
		if err != nil {
			t.Fatalf("%+v cannot be written: %v", s, err)
		}
		if read, err := parseState(again); err != nil || read.Serving != s.Serving || len(read.Held.Held) != len(s.Held.Held) {
			t.Errorf("%q reads as %+v, then as %+v, %v", text, s, read, err)
		}
	})
}
