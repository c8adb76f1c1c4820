package state

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/google/renameio/v2"
	"golang.org/x/sys/unix"
)

// The files of a store. Each is replaced whole.
const (
	fileLock    = "lock"
	fileLearned = "learned" // a snapshot, of no matter if it is lost
	fileHeld    = "held"    // what was answered yes
)

const (
	lockTime  = time.Second // for a process that is replaced to let go as it ends
	lockEvery = 10 * time.Millisecond
)

// Store is the folder of one instance. Each write has happened whole or not at all, whenever the process ends. It is safe for
// concurrent use.
type Store struct {
	dir, instance string
	lock          *os.File
	// Before is called at the points of each write, with its name; tests end the process or fail the write there.
	Before func(write string) error

	learning sync.Mutex // writes of the snapshot: one that hangs holds up no other
	holding  sync.Mutex
	held     held // as it is in its file
}

type learnedFile struct {
	Pools map[string]Pool `json:"pools"`
}

// Contents is all that a store holds.
type Contents struct {
	Pools map[string]Pool `json:"pools"`
	held
}

type held struct {
	Pins map[string]Pin `json:"pins"`
	Good *Generation    `json:"generation"` // nil for none yet
}

// Errors of files that are set aside, and of a store that cannot be had.
var (
	ErrForeign = errors.New("it is another instance's")
	ErrLater   = errors.New("it was written by a later version")
	ErrDamaged = errors.New("it is damaged")
	ErrInUse   = errors.New("another process has it open")
)

// Open opens the folder of an instance, or makes it, and gives what it holds. A file in it that is damaged, of a later version or another
// instance's is set aside under a name of its own and counts for nothing: aside says so and names both. An err means that there is
// no store.
func Open(dir, instance string) (s *Store, c *Contents, aside, err error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, nil, nil, fmt.Errorf("state: %w", err)
	}
	s = &Store{dir: dir, instance: instance, Before: func(string) error { return nil }}
	if s.lock, err = lock(filepath.Join(dir, fileLock)); err != nil {
		return nil, nil, nil, fmt.Errorf("state %s: %w", dir, err)
	}
	c = &Contents{}
	var learned learnedFile
	for name, found := range map[string]error{
		fileLearned: load(filepath.Join(dir, fileLearned), instance, &learned),
		fileHeld:    load(filepath.Join(dir, fileHeld), instance, &s.held),
	} {
		path := filepath.Join(dir, name)
		if found == nil || errors.Is(found, os.ErrNotExist) {
			continue
		}
		if !errors.Is(found, ErrForeign) && !errors.Is(found, ErrLater) && !errors.Is(found, ErrDamaged) {
			s.Close()
			return nil, nil, aside, found
		}
		moved := path + ".aside-" + time.Now().UTC().Format("20060102T150405.000000000")
		if err := os.Rename(path, moved); err != nil {
			s.Close()
			return nil, nil, aside, fmt.Errorf("%w; it could not be set aside: %w", found, err)
		}
		aside = errors.Join(aside, fmt.Errorf("%w; it is set aside as %s", found, moved))
	}
	if s.held.Pins == nil {
		s.held.Pins = map[string]Pin{}
	}
	c.Pools, c.held = learned.Pools, s.held.clone()
	return s, c, aside, nil
}

// lock waits a little for the lock of a file.
func lock(path string) (*os.File, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	for end := time.Now().Add(lockTime); ; time.Sleep(lockEvery) {
		err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB)
		if err == nil {
			return f, nil
		}
		if !errors.Is(err, unix.EWOULDBLOCK) || time.Now().After(end) {
			f.Close()
			if errors.Is(err, unix.EWOULDBLOCK) {
				err = ErrInUse
			}
			return nil, err
		}
	}
}

// load reads one file; an instance of "" is any.
func load[T any](path, instance string, to *T) error {
	text, err := readFile(path)
	if err != nil {
		return err
	}
	if _, err := decode(text, instance, to); err != nil {
		return fmt.Errorf("state %s: %w", path, err)
	}
	return nil
}

// readFile reads a file of bounded size.
func readFile(path string) ([]byte, error) {
	info, err := os.Lstat(path)
	if err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	if !info.Mode().IsRegular() || info.Size() > mostRecord {
		return nil, fmt.Errorf("state %s: %w: no regular file of up to %d MiB", path, ErrDamaged, mostRecord>>20)
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, mostRecord+1))
	if err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	return text, nil
}

// Peek reads what an instance keeps, also while it runs, changes nothing, and tells whose it is. Files that are not there hold nothing.
func Peek(dir string) (c *Contents, instance string, err error) {
	c = &Contents{}
	var learned learnedFile
	found := false
	look := func(name string, read func(text []byte) (string, error)) error {
		path := filepath.Join(dir, name)
		text, err := readFile(path)
		if errors.Is(err, os.ErrNotExist) {
			return nil
		}
		if err != nil {
			return err
		}
		if instance, err = read(text); err != nil {
			return fmt.Errorf("state %s: %w", path, err)
		}
		found = true
		return nil
	}
	if err := look(fileLearned, func(text []byte) (string, error) { return decode(text, instance, &learned) }); err != nil {
		return nil, "", err
	}
	if err := look(fileHeld, func(text []byte) (string, error) { return decode(text, instance, &c.held) }); err != nil {
		return nil, "", err
	}
	if !found {
		return nil, "", fmt.Errorf("state %s: %w: nothing is kept there", dir, os.ErrNotExist)
	}
	c.Pools = learned.Pools
	return c, instance, nil
}

// Reset forgets all that a folder holds, unless an instance has it open.
func Reset(dir string) error {
	if _, err := os.Stat(filepath.Join(dir, fileLock)); err != nil {
		return fmt.Errorf("state %s: is no folder of an instance: %w", dir, err)
	}
	f, err := lock(filepath.Join(dir, fileLock))
	if err != nil {
		return fmt.Errorf("state %s: %w", dir, err)
	}
	defer f.Close()
	for _, name := range []string{fileLearned, fileHeld} {
		if err := os.Remove(filepath.Join(dir, name)); err != nil && !errors.Is(err, os.ErrNotExist) {
			return fmt.Errorf("state: %w", err)
		}
	}
	return nil
}

func (h held) clone() held {
	c := held{Pins: map[string]Pin{}, Good: h.Good}
	for name, p := range h.Pins {
		c.Pins[name] = p
	}
	return c
}

// replace has a file hold something else, on the disk when it returns.
func (s *Store) replace(name string, v any) error {
	wrong := func(err error) error { return fmt.Errorf("state %s: %w", filepath.Join(s.dir, name), err) }
	text, err := encode(v, s.instance)
	if err != nil {
		return wrong(err)
	}
	if err := s.Before(name); err != nil {
		return wrong(err)
	}
	f, err := renameio.NewPendingFile(filepath.Join(s.dir, name), renameio.WithPermissions(0o600), renameio.WithTempDir(s.dir))
	if err != nil {
		return wrong(err)
	}
	defer f.Cleanup()
	half := len(text) / 2
	if _, err := f.Write(text[:half]); err != nil {
		return wrong(err)
	}
	if err := s.Before(name + ", half written"); err != nil {
		return wrong(err)
	}
	if _, err := f.Write(text[half:]); err != nil {
		return wrong(err)
	}
	if err := f.Sync(); err != nil {
		return wrong(err)
	}
	if err := s.Before(name + ", not yet in place"); err != nil {
		return wrong(err)
	}
	if err := f.CloseAtomicallyReplace(); err != nil {
		return wrong(err)
	}
	if err := syncFolder(s.dir); err != nil {
		return wrong(err)
	}
	if err := s.Before(name + ", in place"); err != nil {
		return wrong(err)
	}
	return nil
}

// syncFolder has the names in a folder on the disk.
func syncFolder(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// PutPools keeps what pools have learned, in place of what was kept before.
func (s *Store) PutPools(pools map[string]Pool) error {
	s.learning.Lock()
	defer s.learning.Unlock()
	return s.replace(fileLearned, learnedFile{pools})
}

// PutPin keeps a pin of a pool's levels; nil for none.
func (s *Store) PutPin(pool string, p *Pin) error {
	return s.hold(func(h *held) {
		if delete(h.Pins, pool); p != nil {
			h.Pins[pool] = *p
		}
	})
}

// PutGood keeps the generation that is in force.
func (s *Store) PutGood(g *Generation) error { return s.hold(func(h *held) { h.Good = g }) }

func (s *Store) hold(change func(*held)) error {
	s.holding.Lock()
	defer s.holding.Unlock()
	next := s.held.clone()
	change(&next)
	if err := s.replace(fileHeld, next); err != nil {
		return err
	}
	s.held = next
	return nil
}

// Close lets go of the folder. What a process that was killed has left half written goes with the next start.
func (s *Store) Close() error { return s.lock.Close() }
