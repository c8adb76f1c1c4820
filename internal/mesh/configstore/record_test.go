package configstore

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"
	"testing"

	"milletmast/internal/mesh/compat"
	"milletmast/internal/mesh/consensus"
	"milletmast/internal/mesh/storage"
)

// The golden state directory was written by the version of the program before its types were renamed, and never changes: every later
// version must read the disks of earlier ones.
const (
	goldenState    = "testdata/golden"
	goldenFile     = "logbook.db"
	goldenVariable = "GOLDEN_STATE_DIR"
)

// goldenMembers returns the present and the incoming voters of a joint configuration.
func goldenMembers() (old, next []consensus.Member) {
	old = []consensus.Member{
		{DiskID: "10.1.0.1#first", Node: "core-1", Addr: "10.1.0.1:7620", Zone: "z1", InQuorum: true},
		{DiskID: "10.1.0.2#first", Addr: "10.1.0.2:7620"},
		{DiskID: "10.1.0.3#00000000000000ab", Node: "core-3", Addr: "10.1.0.3:7620", Zone: "z3", InQuorum: true},
	}
	next = append(old[:2:2], consensus.Member{DiskID: "10.1.0.4#00000000000000cd", Node: "core-4", Addr: "10.1.0.4:7620", Zone: "z3", InQuorum: true})
	return old, next
}

// goldenContents returns the disk identity, the registers and the voter configuration of the golden state.
func goldenContents() (disk string, registers []consensus.Register, voters consensus.VoterConfig) {
	old, next := goldenMembers()
	voters = consensus.VoterConfig{Epoch: 7, Coordinator: old[0].DiskID, Voters: old, Incoming: next}
	low, high := consensus.Ballot{Round: 3, Proposer: old[1].DiskID}, consensus.Ballot{Round: 9, Proposer: old[0].DiskID}
	config := []byte(`{"version":12}`)
	return old[0].DiskID, []consensus.Register{
		{RegisterState: consensus.RegisterState{Key: "config", Promised: high, Accepted: high}, Value: consensus.Value{Version: consensus.Version{Number: 12}, Body: config, History: []consensus.ChosenVersion{{Number: 11, Digest: 5}, {Number: 12, Digest: consensus.Digest(config)}}}},
		{RegisterState: consensus.RegisterState{Key: "evacuation/z2", Promised: high, Accepted: low}, Value: consensus.Value{Version: consensus.Version{Number: 2, Proposer: old[1].DiskID}, Body: []byte("on"), History: []consensus.ChosenVersion{{Number: 1, Digest: 8}, {Number: 2, Digest: 9}}}},
		{RegisterState: consensus.RegisterState{Key: "removals", Promised: high}}, // promised, no value accepted
		{RegisterState: consensus.RegisterState{Key: "set", Promised: low, Accepted: low}, Value: consensus.Value{Version: consensus.Version{Number: 7}, Voters: &voters}},
	}, voters
}

// writeGolden writes the golden state to an empty directory in four batches, the last of which replaces records of the others.
func writeGolden(dir string) error {
	store, _, err := storage.Open(dir)
	if err != nil {
		return err
	}
	diskID, registers, voters := goldenContents()
	d := disk{store, map[string]consensus.Ballot{}}
	err = errors.Join(
		d.write(map[string]any{diskIDRecord: diskID}, nil, &consensus.VoterConfig{Epoch: 6, Voters: voters.Voters}),
		d.persist(registers[:1], nil),
		d.persist(registers[1:], &voters),
		d.persist(registers[:2], nil),
	)
	return errors.Join(err, store.Close())
}

// tornTail is the start of a batch that a power loss left at the end of the golden file.
const tornTail = "*3\r\n$3\r\nset\r\n$6\r\ncommit\r\n$32\r\nhalf of"

func TestGoldenStateIsRead(t *testing.T) {
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS(goldenState)); err != nil {
		t.Fatal(err)
	}
	diskID, registers, voters := goldenContents()
	contents, err := Verify(dir)
	if err != nil {
		t.Fatal(err)
	}
	if contents.TornBytes != int64(len(tornTail)) {
		t.Errorf("torn tail of %d bytes, want %d", contents.TornBytes, len(tornTail))
	}
	store, corrupt, err := storage.Open(dir)
	if err != nil || corrupt != nil {
		t.Fatal(err, corrupt)
	}
	defer store.Close()
	gotRegisters, gotVoters, legacy, err := loadState(store)
	if err != nil || legacy {
		t.Fatal(err, legacy)
	}
	if !reflect.DeepEqual(gotRegisters, registers) {
		t.Errorf("registers\n%+v\nwant\n%+v", gotRegisters, registers)
	}
	if !reflect.DeepEqual(gotVoters, voters) {
		t.Errorf("voters\n%+v\nwant\n%+v", gotVoters, voters)
	}
	var gotDiskID string
	if ok, err := store.Get(diskIDRecord, &gotDiskID); !ok || err != nil || gotDiskID != diskID {
		t.Errorf("disk identity %q, %v, %v", gotDiskID, ok, err)
	}
}

// The state is written by a separate process, as gob numbers types in the order in which a process first encodes them.
func TestGoldenStateIsWritten(t *testing.T) {
	if dir := os.Getenv(goldenVariable); dir != "" {
		if err := writeGolden(dir); err != nil {
			t.Fatal(err)
		}
		return
	}
	dir := t.TempDir()
	child := exec.Command(os.Args[0], "-test.run=^TestGoldenStateIsWritten$")
	child.Env = append(os.Environ(), goldenVariable+"="+dir)
	child.Stdout, child.Stderr = io.Discard, os.Stderr
	if err := child.Run(); err != nil {
		t.Fatal(err)
	}
	got, err := os.ReadFile(filepath.Join(dir, goldenFile))
	if err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile(filepath.Join(goldenState, goldenFile))
	if err != nil {
		t.Fatal(err)
	}
	want, torn := bytes.CutSuffix(want, []byte(tornTail))
	if got, want := describeFile(t, got), describeFile(t, want); got != want || !torn {
		t.Errorf("the state is written in another form:\n%s\nwant\n%s", got, want)
	}
}

// describeFile describes the records of a file in their order. The length and checksum in a commit are not described: reading the file
// checks them.
func describeFile(t *testing.T, file []byte) string {
	t.Helper()
	var out strings.Builder
	for len(file) > 0 {
		rest, ok := bytes.CutPrefix(file, []byte("*3\r\n$3\r\nset\r\n"))
		if !ok {
			t.Fatalf("no record begins at %.40q", file)
		}
		key, rest := parseBulkString(t, rest)
		value, rest := parseBulkString(t, rest)
		file = rest
		if key == "commit" {
			fmt.Fprintln(&out, "commit")
			continue
		}
		text, err := compat.Describe([]byte(value[8:])) // after the checksum
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&out, "%s\n%s", key, text)
	}
	return out.String()
}

// parseBulkString reads a string of a command, $length CRLF bytes CRLF, and returns it with the text that follows.
func parseBulkString(t *testing.T, text []byte) (s string, rest []byte) {
	t.Helper()
	head, rest, ok := bytes.Cut(text, []byte("\r\n"))
	n, err := strconv.Atoi(strings.TrimPrefix(string(head), "$"))
	if !ok || err != nil || len(rest) < n+2 {
		t.Fatalf("no string begins at %.40q", text)
	}
	return string(rest[:n]), rest[n+2:]
}
