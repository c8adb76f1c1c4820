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

// The files of a store. Each is replaced atomically.
const (
	lockFileName    = "lock"
	learnedFileName = "learned" // a snapshot of learned state; its loss costs a cold start
	durableFileName = "held"    // state whose writes are acknowledged to an operator
)

const (
	lockTimeout       = time.Second // for a process that is being replaced to release the lock
	lockRetryInterval = 10 * time.Millisecond
)

// Store is the state directory of one instance. Each write is atomic, whenever the process ends. It
// is safe for concurrent use.
type Store struct {
	dir, instance string
	lock          *os.File
	// BeforeStep is called before each step of a write with the name of the step. Tests inject faults with it.
	BeforeStep func(write string) error

	learnedMu sync.Mutex // held while learned state is written; separate, so that a slow snapshot does not delay a durable write
	durableMu sync.Mutex
	durable   durableState // as on disk
}

type learnedState struct {
	Pools map[string]PoolState `json:"pools"`
}

// Contents is the stored state of an instance.
type Contents struct {
	Pools map[string]PoolState `json:"pools"`
	durableState
}

type durableState struct {
	Pins     map[string]DegradationPin `json:"pins"`
	LastGood *OperatorFile             `json:"generation"` // nil for none
}

// The reasons for which a file is set aside, and ErrLocked, for which a store cannot be opened.
var (
	ErrOtherInstance = errors.New("it belongs to another instance")
	ErrNewerVersion  = errors.New("it was written by a later version")
	ErrCorrupt       = errors.New("it is corrupt")
	ErrLocked        = errors.New("another process has it open")
)

// Open opens the state directory of an instance, creating it if it is missing, and returns its
// contents. A file that is corrupt, of a newer version or of another instance is renamed and
// ignored; setAside then describes each. If err is not nil, there is no store.
func Open(dir, instance string) (s *Store, c *Contents, setAside, err error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, nil, nil, fmt.Errorf("state: %w", err)
	}
	s = &Store{dir: dir, instance: instance, BeforeStep: func(string) error { return nil }}
	if s.lock, err = acquireLock(filepath.Join(dir, lockFileName)); err != nil {
		return nil, nil, nil, fmt.Errorf("state %s: %w", dir, err)
	}
	c = &Contents{}
	var learned learnedState
	for name, loadErr := range map[string]error{
		learnedFileName: loadFile(filepath.Join(dir, learnedFileName), instance, &learned),
		durableFileName: loadFile(filepath.Join(dir, durableFileName), instance, &s.durable),
	} {
		path := filepath.Join(dir, name)
		if loadErr == nil || errors.Is(loadErr, os.ErrNotExist) {
			continue
		}
		if !errors.Is(loadErr, ErrOtherInstance) && !errors.Is(loadErr, ErrNewerVersion) && !errors.Is(loadErr, ErrCorrupt) {
			s.Close()
			return nil, nil, setAside, loadErr
		}
		asidePath := path + ".aside-" + time.Now().UTC().Format("20060102T150405.000000000")
		if err := os.Rename(path, asidePath); err != nil {
			s.Close()
			return nil, nil, setAside, fmt.Errorf("%w; it could not be set aside: %w", loadErr, err)
		}
		setAside = errors.Join(setAside, fmt.Errorf("%w; it is set aside as %s", loadErr, asidePath))
	}
	if s.durable.Pins == nil {
		s.durable.Pins = map[string]DegradationPin{}
	}
	c.Pools, c.durableState = learned.Pools, s.durable.copyOf()
	return s, c, setAside, nil
}

// acquireLock opens a file and locks it exclusively, waiting up to lockTimeout. It returns ErrLocked
// if another process holds the lock.
func acquireLock(path string) (*os.File, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	for end := time.Now().Add(lockTimeout); ; time.Sleep(lockRetryInterval) {
		err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB)
		if err == nil {
			return f, nil
		}
		if !errors.Is(err, unix.EWOULDBLOCK) || time.Now().After(end) {
			f.Close()
			if errors.Is(err, unix.EWOULDBLOCK) {
				err = ErrLocked
			}
			return nil, err
		}
	}
}

// loadFile reads and decodes a file of the given instance, or of any instance if that is empty.
func loadFile[T any](path, instance string, out *T) error {
	text, err := readFile(path)
	if err != nil {
		return err
	}
	if _, err := decode(text, instance, out); err != nil {
		return fmt.Errorf("state %s: %w", path, err)
	}
	return nil
}

// readFile reads a regular file of at most maxFileBytes.
func readFile(path string) ([]byte, error) {
	info, err := os.Lstat(path)
	if err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	if !info.Mode().IsRegular() || info.Size() > maxFileBytes {
		return nil, fmt.Errorf("state %s: %w: not a regular file of at most %d MiB", path, ErrCorrupt, maxFileBytes>>20)
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	return text, nil
}

// Inspect returns the contents of a state directory and the instance that wrote it. It changes
// nothing and may be called while the instance runs. Missing files count as empty.
func Inspect(dir string) (c *Contents, instance string, err error) {
	c = &Contents{}
	var learned learnedState
	found := false
	readInto := func(name string, read func(text []byte) (string, error)) error {
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
	if err := readInto(learnedFileName, func(text []byte) (string, error) { return decode(text, instance, &learned) }); err != nil {
		return nil, "", err
	}
	if err := readInto(durableFileName, func(text []byte) (string, error) { return decode(text, instance, &c.durableState) }); err != nil {
		return nil, "", err
	}
	if !found {
		return nil, "", fmt.Errorf("state %s: %w: it holds no state", dir, os.ErrNotExist)
	}
	c.Pools = learned.Pools
	return c, instance, nil
}

// Clear removes the contents of a state directory. It returns ErrLocked if an instance has it open.
func Clear(dir string) error {
	if _, err := os.Stat(filepath.Join(dir, lockFileName)); err != nil {
		return fmt.Errorf("state %s: not a state directory of an instance: %w", dir, err)
	}
	f, err := acquireLock(filepath.Join(dir, lockFileName))
	if err != nil {
		return fmt.Errorf("state %s: %w", dir, err)
	}
	defer f.Close()
	for _, name := range []string{learnedFileName, durableFileName} {
		if err := os.Remove(filepath.Join(dir, name)); err != nil && !errors.Is(err, os.ErrNotExist) {
			return fmt.Errorf("state: %w", err)
		}
	}
	return nil
}

func (d durableState) copyOf() durableState {
	c := durableState{Pins: map[string]DegradationPin{}, LastGood: d.LastGood}
	for name, p := range d.Pins {
		c.Pins[name] = p
	}
	return c
}

// replaceFile replaces a file atomically. The new contents are on disk when it returns.
func (s *Store) replaceFile(name string, body any) error {
	wrap := func(err error) error { return fmt.Errorf("state %s: %w", filepath.Join(s.dir, name), err) }
	text, err := encode(body, s.instance)
	if err != nil {
		return wrap(err)
	}
	if err := s.BeforeStep(name); err != nil {
		return wrap(err)
	}
	f, err := renameio.NewPendingFile(filepath.Join(s.dir, name), renameio.WithPermissions(0o600), renameio.WithTempDir(s.dir))
	if err != nil {
		return wrap(err)
	}
	defer func() { _ = f.Cleanup() }() // without effect once the file has been replaced
	half := len(text) / 2
	if _, err := f.Write(text[:half]); err != nil {
		return wrap(err)
	}
	if err := s.BeforeStep(name + ", half written"); err != nil {
		return wrap(err)
	}
	if _, err := f.Write(text[half:]); err != nil {
		return wrap(err)
	}
	if err := f.Sync(); err != nil {
		return wrap(err)
	}
	if err := s.BeforeStep(name + ", not yet in place"); err != nil {
		return wrap(err)
	}
	if err := f.CloseAtomicallyReplace(); err != nil {
		return wrap(err)
	}
	if err := syncDir(s.dir); err != nil {
		return wrap(err)
	}
	if err := s.BeforeStep(name + ", in place"); err != nil {
		return wrap(err)
	}
	return nil
}

// syncDir syncs a directory, so that renames in it are on disk.
func syncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// SavePools replaces the learned state of all pools.
func (s *Store) SavePools(pools map[string]PoolState) error {
	s.learnedMu.Lock()
	defer s.learnedMu.Unlock()
	return s.replaceFile(learnedFileName, learnedState{pools})
}

// SavePin sets the pin of a pool's degradation level; nil removes it.
func (s *Store) SavePin(pool string, p *DegradationPin) error {
	return s.updateDurable(func(d *durableState) {
		if delete(d.Pins, pool); p != nil {
			d.Pins[pool] = *p
		}
	})
}

// SaveLastGood stores the operator file that was applied.
func (s *Store) SaveLastGood(g *OperatorFile) error {
	return s.updateDurable(func(d *durableState) { d.LastGood = g })
}

// updateDurable changes the durable state on disk, and then in memory.
func (s *Store) updateDurable(change func(*durableState)) error {
	s.durableMu.Lock()
	defer s.durableMu.Unlock()
	next := s.durable.copyOf()
	change(&next)
	if err := s.replaceFile(durableFileName, next); err != nil {
		return err
	}
	s.durable = next
	return nil
}

// Close releases the lock of the state directory.
func (s *Store) Close() error { return s.lock.Close() }
