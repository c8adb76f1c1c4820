package agent

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"go.etcd.io/bbolt"

	"whinknot/internal/operator"
)

// Store is what an agent must not forget: the configuration that it holds for each instance, changes whose result it does
// not know, the rollout ledger and the audit log. Every method is one transaction: after a crash it has happened or not.
type Store struct {
	db *bbolt.DB
	// Before is called before each write, with its name; tests end the process there.
	Before func(write string)
}

// Desired is the configuration that an agent holds for an instance.
type Desired struct{ Hash string }

// Intent is a change that has been sent, or is about to be, and whose result is not known.
type Intent struct {
	Hash, Rollout string
}

// Ledger is the rollout that an agent knows of.
type Ledger struct {
	Rollout, Target, Plan, Command, Result string
	Epoch                                  uint64
	Ended                                  bool
}

// Entry is one line of the audit log.
type Entry struct {
	Number    uint64
	At        time.Time
	Who, What string
}

var (
	bucketMeta    = []byte("meta")
	bucketDesired = []byte("desired")
	bucketIntents = []byte("intents")
	bucketConfigs = []byte("configs")
	bucketEvents  = []byte("events")
	keyLedger     = []byte("ledger")
	keyBoot       = []byte("boot")
)

const (
	lockTime   = 2 * time.Second
	keptEvents = 10_000
)

// OpenStore opens the file, or makes it, and counts one more start.
func OpenStore(path string) (s *Store, boot uint64, err error) {
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockTime})
	if err != nil {
		return nil, 0, fmt.Errorf("state %s: %w", path, err)
	}
	s = &Store{db: db, Before: func(string) {}}
	err = db.Update(func(tx *bbolt.Tx) error {
		for _, name := range [][]byte{bucketMeta, bucketDesired, bucketIntents, bucketConfigs, bucketEvents} {
			if _, err := tx.CreateBucketIfNotExists(name); err != nil {
				return err
			}
		}
		meta := tx.Bucket(bucketMeta)
		if v := meta.Get(keyBoot); len(v) == 8 {
			boot = binary.BigEndian.Uint64(v)
		}
		boot++
		return meta.Put(keyBoot, binary.BigEndian.AppendUint64(nil, boot))
	})
	if err != nil {
		db.Close()
		return nil, 0, fmt.Errorf("state %s: %w", path, err)
	}
	return s, boot, nil
}

// Close ends the use of the file.
func (s *Store) Close() error { return s.db.Close() }

func (s *Store) update(write string, f func(*bbolt.Tx) error) error {
	s.Before(write)
	if err := s.db.Update(f); err != nil {
		return fmt.Errorf("state: %s: %w", write, err)
	}
	return nil
}

func put(tx *bbolt.Tx, bucket, key []byte, v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return tx.Bucket(bucket).Put(key, text)
}

func (s *Store) get(bucket, key []byte, v any) (found bool, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		text := tx.Bucket(bucket).Get(key)
		if text == nil {
			return nil
		}
		found = true
		return json.Unmarshal(text, v)
	})
	if err != nil {
		return false, fmt.Errorf("state: %w", err)
	}
	return found, nil
}

// Desired gives the configuration held for an instance; the hash is empty for none.
func (s *Store) Desired(name string) (d Desired, err error) {
	_, err = s.get(bucketDesired, []byte(name), &d)
	return d, err
}

// Intent gives the change of an instance whose result is not known; the hash is empty for none.
func (s *Store) Intent(name string) (i Intent, err error) {
	_, err = s.get(bucketIntents, []byte(name), &i)
	return i, err
}

// Ledger gives the rollout that is known.
func (s *Store) Ledger() (l Ledger, err error) {
	_, err = s.get(bucketMeta, keyLedger, &l)
	return l, err
}

// Config gives a configuration by its hash; nil if there is none.
func (s *Store) Config(hash string) (text []byte, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		text = append(text, tx.Bucket(bucketConfigs).Get([]byte(hash))...)
		return nil
	})
	return text, err
}

// Intend notes a change before it is sent.
func (s *Store) Intend(name string, text []byte, rollout string) error {
	hash := operator.TextHash(text)
	return s.update("intend", func(tx *bbolt.Tx) error {
		if err := tx.Bucket(bucketConfigs).Put([]byte(hash), text); err != nil {
			return err
		}
		return put(tx, bucketIntents, []byte(name), Intent{Hash: hash, Rollout: rollout})
	})
}

// Settle ends a change: by what the instance has said, it runs this configuration, which is held for it from now on.
func (s *Store) Settle(name, hash string) error {
	return s.update("settle", func(tx *bbolt.Tx) error {
		if err := put(tx, bucketDesired, []byte(name), Desired{Hash: hash}); err != nil {
			return err
		}
		return tx.Bucket(bucketIntents).Delete([]byte(name))
	})
}

// Hold takes the configuration that an instance starts with, if none is held for it.
func (s *Store) Hold(name string, text []byte) error {
	hash := operator.TextHash(text)
	return s.update("hold", func(tx *bbolt.Tx) error {
		if tx.Bucket(bucketDesired).Get([]byte(name)) != nil {
			return nil
		}
		if err := tx.Bucket(bucketConfigs).Put([]byte(hash), text); err != nil {
			return err
		}
		return put(tx, bucketDesired, []byte(name), Desired{Hash: hash})
	})
}

// Drop forgets a change that its instance has refused.
func (s *Store) Drop(name string) error {
	return s.update("drop", func(tx *bbolt.Tx) error { return tx.Bucket(bucketIntents).Delete([]byte(name)) })
}

// ErrFenced says that another tool has taken over, or that another rollout runs.
var ErrFenced = errors.New("fenced")

// Claim has a tool own the ledger from now on, by an epoch higher than all before. While another rollout runs, it is
// refused; the same rollout may be claimed again, which shuts the tool out that ran it before.
func (s *Store) Claim(rollout, target, plan string, epoch uint64) (l Ledger, err error) {
	err = s.update("claim", func(tx *bbolt.Tx) error {
		if err := ledger(tx, &l); err != nil {
			return err
		}
		switch {
		case l.Rollout != "" && l.Rollout != rollout && !l.Ended:
			return fmt.Errorf("%w: rollout %s is under way", ErrFenced, l.Rollout)
		case epoch <= l.Epoch:
			return fmt.Errorf("%w: epoch %d is not over %d", ErrFenced, epoch, l.Epoch)
		}
		if l.Rollout != rollout {
			l = Ledger{Rollout: rollout, Target: target, Plan: plan}
		}
		l.Epoch, l.Ended = epoch, false
		return put(tx, bucketMeta, keyLedger, l)
	})
	return l, err
}

func ledger(tx *bbolt.Tx, l *Ledger) error {
	if text := tx.Bucket(bucketMeta).Get(keyLedger); text != nil {
		return json.Unmarshal(text, l)
	}
	return nil
}

// Fence checks that a tool still owns the ledger.
func (s *Store) Fence(rollout string, epoch uint64) error {
	l, err := s.Ledger()
	if err != nil {
		return err
	}
	if l.Rollout != rollout || l.Epoch != epoch || l.Ended {
		return fmt.Errorf("%w: rollout %q with epoch %d owns the ledger, not %q with %d", ErrFenced, l.Rollout, l.Epoch, rollout, epoch)
	}
	return nil
}

// Command leaves a command for the tool that runs the rollout.
func (s *Store) Command(rollout, command string) (l Ledger, err error) {
	err = s.update("command", func(tx *bbolt.Tx) error {
		if err := ledger(tx, &l); err != nil {
			return err
		}
		if l.Rollout != rollout || l.Ended {
			return fmt.Errorf("rollout %q is not under way", rollout)
		}
		l.Command = command
		return put(tx, bucketMeta, keyLedger, l)
	})
	return l, err
}

// End ends a rollout; its tool owns the ledger no more.
func (s *Store) End(rollout string, epoch uint64, result string) (l Ledger, err error) {
	err = s.update("end", func(tx *bbolt.Tx) error {
		if err := ledger(tx, &l); err != nil {
			return err
		}
		if l.Rollout != rollout || l.Epoch != epoch {
			return fmt.Errorf("%w: rollout %q is not this tool's", ErrFenced, rollout)
		}
		l.Ended, l.Result = true, result
		return put(tx, bucketMeta, keyLedger, l)
	})
	return l, err
}

// Log adds a line to the audit log, which is bounded: the oldest lines give way.
func (s *Store) Log(at time.Time, who, what string) error {
	return s.update("log", func(tx *bbolt.Tx) error {
		b := tx.Bucket(bucketEvents)
		n, err := b.NextSequence()
		if err != nil {
			return err
		}
		if n > keptEvents {
			if err := b.Delete(binary.BigEndian.AppendUint64(nil, n-keptEvents)); err != nil {
				return err
			}
		}
		return put(tx, bucketEvents, binary.BigEndian.AppendUint64(nil, n), Entry{n, at, who, what})
	})
}

// Events gives lines of the audit log with a higher number, the first ones of them.
func (s *Store) Events(after uint64, most int) (list []Entry, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		c := tx.Bucket(bucketEvents).Cursor()
		for k, v := c.Seek(binary.BigEndian.AppendUint64(nil, after+1)); k != nil && len(list) < most; k, v = c.Next() {
			var e Entry
			if err := json.Unmarshal(v, &e); err != nil {
				return err
			}
			list = append(list, e)
		}
		return nil
	})
	return list, err
}
