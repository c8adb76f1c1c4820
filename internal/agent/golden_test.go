package agent

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"go.etcd.io/bbolt"

	"milletmast/internal/operator"
)

// goldenStore was written before the stored Go types were renamed. It must not be regenerated.
const goldenStore = "testdata/golden/agent.db"

// writeGolden writes a store with the contents of the golden store.
func writeGolden(path string) error {
	s, _, err := OpenStore(path)
	if err != nil {
		return err
	}
	at := time.Date(2026, 12, 2, 9, 42, 33, 0, time.UTC)
	before, after := []byte("[listener]\n"), []byte("[listener]\nport = 1\n")
	_, claimed := s.Claim("r1", "all", "one at a time", 4)
	_, commanded := s.Command("r1", "pause")
	return errors.Join(
		s.SetInitialConfig("front-1", before),
		s.SaveIntent("front-1", after, "r1"),
		s.CommitIntent("front-1", operator.TextHash(after)),
		s.SaveIntent("front-2", after, "r1"),
		claimed, commanded,
		s.AppendEvent(at, "operator", "claim r1"),
		s.AppendEvent(at.Add(time.Second), "agent", "settle front-1"),
		s.Close(),
	)
}

// readBuckets returns the keys and values of a store by bucket.
func readBuckets(t *testing.T, path string) map[string]map[string]string {
	t.Helper()
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockTimeout})
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	out := map[string]map[string]string{}
	err = db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(bucket []byte, b *bbolt.Bucket) error {
			out[string(bucket)] = map[string]string{}
			return b.ForEach(func(k, v []byte) error {
				out[string(bucket)][string(k)] = string(v)
				return nil
			})
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	return out
}

func copyGolden(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(goldenStore)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "agent.db")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestGoldenStoreIsWritten(t *testing.T) {
	path := filepath.Join(t.TempDir(), "agent.db")
	if err := writeGolden(path); err != nil {
		t.Fatal(err)
	}
	if got, want := readBuckets(t, path), readBuckets(t, copyGolden(t)); !reflect.DeepEqual(got, want) {
		t.Errorf("the store is written in another form:\n%q\nwant\n%q", got, want)
	}
}

func TestGoldenStoreIsRead(t *testing.T) {
	s, boot, err := OpenStore(copyGolden(t))
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if boot != 2 {
		t.Errorf("start number %d, want 2", boot)
	}
	after := operator.TextHash([]byte("[listener]\nport = 1\n"))
	if d, err := s.Desired("front-1"); err != nil || d.Hash != after {
		t.Errorf("desired %+v, %v", d, err)
	}
	if i, err := s.Intent("front-2"); err != nil || i != (Intent{Hash: after, Rollout: "r1"}) {
		t.Errorf("intent %+v, %v", i, err)
	}
	if i, err := s.Intent("front-1"); err != nil || i != (Intent{}) {
		t.Errorf("intent of the instance whose change is committed: %+v, %v", i, err)
	}
	if text, err := s.Config(after); err != nil || string(text) != "[listener]\nport = 1\n" {
		t.Errorf("configuration %q, %v", text, err)
	}
	if l, err := s.Ledger(); err != nil || l != (Ledger{Rollout: "r1", Target: "all", Plan: "one at a time", Command: "pause", Epoch: 4}) {
		t.Errorf("ledger %+v, %v", l, err)
	}
	events, err := s.Events(0, 10)
	if err != nil || len(events) != 2 || events[1].Who != "agent" || events[1].What != "settle front-1" || events[1].Number != 2 {
		t.Errorf("events %+v, %v", events, err)
	}
}
