// Package hotrestart replaces the process of a sidecar by a new one without losing a request. Both listen at the same
// address, and new connections are directed to one of them (DirectConnections). They share a directory with the state that
// must survive (SharedState): which process serves, and which endpoints operators hold out of service. The directory is
// private to the sidecar; nothing else writes to it.
package hotrestart

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"milletmast/internal/override"
)

const (
	stateFile       = "sidecar-state.json"
	lockFile        = "sidecar-state.lock"
	aliveFilePrefix = "sidecar-alive-" // followed by an id; the file is locked as long as its process lives
	maxStateBytes   = 1 << 20
)

// State is the state that the processes share.
type State struct {
	Serving string       // id of the process that became ready last; "" for none
	Held    override.Set // endpoints that operators hold out of service
}

// encodedState is the form of a State in its file.
type encodedState struct {
	Serving string          `json:"serving"`
	Held    json.RawMessage `json:"held"`
}

// SharedState is the shared state as one process uses it. It is safe for concurrent use.
type SharedState struct {
	dir, id   string
	aliveFile *os.File // locked until Close, or until the process ends

	mu      sync.Mutex
	last    State // as last read or written
	unsaved bool  // last has a change that could not be written
}

// Open opens the shared state in a directory for the process with an id. It fails if another process uses the id.
func Open(dir, id string) (*SharedState, error) {
	path := filepath.Join(dir, aliveFilePrefix+id)
	alive, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("open shared state: %w", err)
	}
	if err := syscall.Flock(int(alive.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		alive.Close()
		return nil, fmt.Errorf("open shared state: lock %s: %w", path, err)
	}
	return &SharedState{dir: dir, id: id, aliveFile: alive}, nil
}

// Close ends the use of the shared state. The other process sees this one as ended.
func (s *SharedState) Close() {
	_ = os.Remove(s.aliveFile.Name()) // on failure the next process removes it
	_ = s.aliveFile.Close()           // nothing was written to it
}

// ID returns the id of this process.
func (s *SharedState) ID() string { return s.id }

// IsAnotherAlive reports whether another process uses the directory. The kernel releases the lock of a process that ends,
// however it does.
func (s *SharedState) IsAnotherAlive() bool {
	names, err := filepath.Glob(filepath.Join(s.dir, aliveFilePrefix+"*"))
	if err != nil {
		return false
	}
	for _, name := range names {
		if strings.TrimPrefix(filepath.Base(name), aliveFilePrefix) == s.id {
			continue
		}
		f, err := os.OpenFile(name, os.O_RDWR, 0)
		if err != nil {
			continue // the process has just ended and removed its file
		}
		held := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) != nil
		if !held {
			_ = os.Remove(name) // on failure the next call tries again
		}
		f.Close()
		if held {
			return true
		}
	}
	return false
}

// Read returns the state of the file. If it cannot be read, Read returns the last known state and the error.
func (s *SharedState) Read() (State, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.read()
}

// read is Read; the caller holds s.mu.
func (s *SharedState) read() (State, error) {
	path := filepath.Join(s.dir, stateFile)
	if s.unsaved { // a change counts for this process until it can be written
		return s.last, nil
	}
	f, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return s.last, nil
	}
	if err != nil {
		return s.last, fmt.Errorf("read shared state: %w", err)
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, maxStateBytes))
	if err == nil {
		var state State
		if state, err = parseState(text); err == nil {
			s.last = state
		}
	}
	if err != nil {
		return s.last, fmt.Errorf("read shared state %s: %w", path, err)
	}
	return s.last, nil
}

// parseState decodes the content of the state file.
func parseState(text []byte) (State, error) {
	var in encodedState
	if err := json.Unmarshal(text, &in); err != nil {
		return State{}, err
	}
	held, err := override.Parse(in.Held)
	return State{Serving: in.Serving, Held: held}, err
}

// encode returns the content of the state file.
func (s State) encode() ([]byte, error) {
	held, err := s.Held.Encode()
	if err != nil {
		return nil, err
	}
	return json.Marshal(encodedState{Serving: s.Serving, Held: held})
}

// Update changes the state under a lock of the directory and returns the new state. The file is replaced atomically: a
// process that ends in the middle leaves the old state. After an error the change is not in the file, but it is in
// effect for this process, and is written with the next change.
func (s *SharedState) Update(change func(State) State) (State, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state, err := s.write(change)
	s.last, s.unsaved = state, err != nil
	return state, err
}

// write applies a change to the state of the file and replaces the file. It returns the new state also after an error.
func (s *SharedState) write(change func(State) State) (State, error) {
	lock, err := os.OpenFile(filepath.Join(s.dir, lockFile), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return change(s.last), fmt.Errorf("takeover: %w", err)
	}
	defer lock.Close()
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX); err != nil {
		return change(s.last), fmt.Errorf("takeover: %w", err)
	}
	state, err := s.read()
	if err != nil {
		slog.Error("rewrite shared state", "err", err)
	}
	state = change(state)
	text, err := state.encode()
	if err != nil {
		return state, fmt.Errorf("takeover: %w", err)
	}
	path := filepath.Join(s.dir, stateFile)
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return state, fmt.Errorf("takeover: %w", err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return state, fmt.Errorf("takeover: %w", err)
	}
	return state, nil
}

// Watch calls changed with the state and whether another process is alive, first at once and then whenever either changes,
// until ctx ends. It polls at an interval, which is how long a change may take to be seen.
func (s *SharedState) Watch(ctx context.Context, interval time.Duration, changed func(state State, anotherAlive bool)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	path := filepath.Join(s.dir, stateFile)
	var lastInfo os.FileInfo
	anotherAlive, reported := false, false
	for {
		info, err := os.Stat(path)
		fileChanged := err == nil && (lastInfo == nil || !os.SameFile(lastInfo, info) || !lastInfo.ModTime().Equal(info.ModTime()))
		if err == nil {
			lastInfo = info
		}
		if isAlive := s.IsAnotherAlive(); fileChanged || isAlive != anotherAlive || !reported {
			state, err := s.Read()
			if err != nil {
				slog.Error("keep last shared state", "err", err)
			}
			anotherAlive, reported = isAlive, true
			changed(state, anotherAlive)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
