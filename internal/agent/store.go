package agent

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"go.etcd.io/bbolt"

	"milletmast/internal/operator"
)

// Store is the durable state of an agent: the desired configuration of each instance, the changes whose
// result is unknown, the rollout ledger and the audit log. Each method is one transaction.
type Store struct {
	db *bbolt.DB
	// BeforeWrite is called before each write, with its name, for tests that end the process there.
	BeforeWrite func(write string)
}

// Desired is the desired configuration of an instance.
type Desired struct{ Hash string }

// Intent is a change that was sent, or is about to be sent, and whose result is unknown.
type Intent struct {
	Hash, Rollout string
}

// Ledger is the latest rollout that claimed the agent. Its owner is the tool that claimed it with Epoch.
type Ledger struct {
	Rollout, Target, Plan, Command, Result string
	Epoch                                  uint64
	Ended                                  bool
}

// Entry is an event of the audit log.
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
	lockTimeout = 2 * time.Second
	maxEvents   = 10_000
)

// OpenStore opens or creates the store, and returns the number of times that it was opened.
func OpenStore(path string) (s *Store, boot uint64, err error) {
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockTimeout})
	if err != nil {
		return nil, 0, fmt.Errorf("state %s: %w", path, err)
	}
	s = &Store{db: db, BeforeWrite: func(string) {}}
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

// Close closes the store.
func (s *Store) Close() error { return s.db.Close() }

// update runs a read-write transaction. write is its name in errors and for BeforeWrite.
func (s *Store) update(write string, f func(*bbolt.Tx) error) error {
	s.BeforeWrite(write)
	if err := s.db.Update(f); err != nil {
		return fmt.Errorf("state: %s: %w", write, err)
	}
	return nil
}

// put encodes and stores the value of a key.
func put(tx *bbolt.Tx, bucket, key []byte, v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return tx.Bucket(bucket).Put(key, text)
}

// get decodes the value of a key into v, which is unchanged if there is none.
func (s *Store) get(bucket, key []byte, v any) error {
	err := s.db.View(func(tx *bbolt.Tx) error {
		text := tx.Bucket(bucket).Get(key)
		if text == nil {
			return nil
		}
		return json.Unmarshal(text, v)
	})
	if err != nil {
		return fmt.Errorf("state: %w", err)
	}
	return nil
}

// Desired returns the desired configuration of an instance; its hash is empty for none.
func (s *Store) Desired(name string) (d Desired, err error) {
	err = s.get(bucketDesired, []byte(name), &d)
	return d, err
}

// Intent returns the change of an instance whose result is unknown; its hash is empty for none.
func (s *Store) Intent(name string) (i Intent, err error) {
	err = s.get(bucketIntents, []byte(name), &i)
	return i, err
}

// Ledger returns the rollout ledger.
func (s *Store) Ledger() (l Ledger, err error) {
	err = s.get(bucketMeta, keyLedger, &l)
	return l, err
}

// Config returns a configuration by its hash; nil if there is none.
func (s *Store) Config(hash string) (text []byte, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		text = append(text, tx.Bucket(bucketConfigs).Get([]byte(hash))...)
		return nil
	})
	return text, err
}

// SaveIntent records a change before it is sent.
func (s *Store) SaveIntent(name string, text []byte, rollout string) error {
	hash := operator.TextHash(text)
	return s.update("intend", func(tx *bbolt.Tx) error {
		if err := tx.Bucket(bucketConfigs).Put([]byte(hash), text); err != nil {
			return err
		}
		return put(tx, bucketIntents, []byte(name), Intent{Hash: hash, Rollout: rollout})
	})
}

// CommitIntent makes the configuration that an instance reports the desired one, and removes the intent of
// the instance.
func (s *Store) CommitIntent(name, hash string) error {
	return s.update("settle", func(tx *bbolt.Tx) error {
		if err := put(tx, bucketDesired, []byte(name), Desired{Hash: hash}); err != nil {
			return err
		}
		return tx.Bucket(bucketIntents).Delete([]byte(name))
	})
}

// SetInitialConfig sets the desired configuration of an instance that has none.
func (s *Store) SetInitialConfig(name string, text []byte) error {
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

// DropIntent removes the intent of an instance that has rejected the change.
func (s *Store) DropIntent(name string) error {
	return s.update("drop", func(tx *bbolt.Tx) error { return tx.Bucket(bucketIntents).Delete([]byte(name)) })
}

// ErrFenced means that another tool has claimed the agent, or that another rollout is in progress.
var ErrFenced = errors.New("fenced")

// Claim makes a tool the owner of the ledger, by an epoch above the previous one. It returns ErrFenced
// while another rollout is in progress. The same rollout may be claimed again, which fences off its
// previous owner.
func (s *Store) Claim(rollout, target, plan string, epoch uint64) (l Ledger, err error) {
	err = s.update("claim", func(tx *bbolt.Tx) error {
		if err := readLedger(tx, &l); err != nil {
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

func readLedger(tx *bbolt.Tx, l *Ledger) error {
	if text := tx.Bucket(bucketMeta).Get(keyLedger); text != nil {
		return json.Unmarshal(text, l)
	}
	return nil
}

// CheckEpoch returns ErrFenced unless the tool with this rollout and epoch still owns the ledger.
func (s *Store) CheckEpoch(rollout string, epoch uint64) error {
	l, err := s.Ledger()
	if err != nil {
		return err
	}
	if l.Rollout != rollout || l.Epoch != epoch || l.Ended {
		return fmt.Errorf("%w: rollout %q with epoch %d owns the ledger, not %q with %d", ErrFenced, l.Rollout, l.Epoch, rollout, epoch)
	}
	return nil
}

// Command stores a command for the tool that owns the rollout.
func (s *Store) Command(rollout, command string) (l Ledger, err error) {
	err = s.update("command", func(tx *bbolt.Tx) error {
		if err := readLedger(tx, &l); err != nil {
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

// End ends a rollout, and with it the ownership of the ledger.
func (s *Store) End(rollout string, epoch uint64, result string) (l Ledger, err error) {
	err = s.update("end", func(tx *bbolt.Tx) error {
		if err := readLedger(tx, &l); err != nil {
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

// AppendEvent appends an event to the audit log, which keeps the latest maxEvents events.
func (s *Store) AppendEvent(at time.Time, who, what string) error {
	return s.update("log", func(tx *bbolt.Tx) error {
		b := tx.Bucket(bucketEvents)
		n, err := b.NextSequence()
		if err != nil {
			return err
		}
		if n > maxEvents {
			if err := b.Delete(binary.BigEndian.AppendUint64(nil, n-maxEvents)); err != nil {
				return err
			}
		}
		return put(tx, bucketEvents, binary.BigEndian.AppendUint64(nil, n), Entry{n, at, who, what})
	})
}

// Events returns the first events of the audit log with a number above after, at most limit.
func (s *Store) Events(after uint64, limit int) (list []Entry, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		c := tx.Bucket(bucketEvents).Cursor()
		for k, v := c.Seek(binary.BigEndian.AppendUint64(nil, after+1)); k != nil && len(list) < limit; k, v = c.Next() {
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
