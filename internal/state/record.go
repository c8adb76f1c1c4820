// Package state stores on disk what a sidecar instance needs after a restart: the learned state of
// its pools, the pins of degradation levels and the last good operator file. Files that are
// incomplete or were written by another instance are ignored: see Open.
package state

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"time"

	"milletmast/balancer"
)

// PoolState is the learned state of a pool's decision module. Servers are identified by their ids, as
// their numbers are valid in one process only.
type PoolState struct {
	ModuleSettings string   // hash of the module's settings: state that was learned under others is not comparable
	Servers        []string // ids, in the order of Learned.Servers
	Learned        balancer.LearnedState
}

// DegradationPin is a degradation level that operators have pinned.
type DegradationPin struct {
	Level string    `json:"level"`
	Until time.Time `json:"until"`
}

// OperatorFile is an operator file that was applied.
type OperatorFile struct {
	Path      string    `json:"path"`
	Hash      string    `json:"hash"` // of the text and of the server files that it names
	Text      []byte    `json:"text"`
	AppliedAt time.Time `json:"at"`
}

// Limits of stored state.
const (
	maxServers   = 20_000   // servers of a pool
	maxFileBytes = 32 << 20 // bytes of a file
)

// schemaVersion is the version of the file format. Files of other versions are not read.
const schemaVersion = 1

// magic is the first text of each file.
const magic = "milletmast state"

// envelope is the payload of a file, after the line with its checksum.
type envelope[T any] struct {
	Schema   int    `json:"schema"`
	Instance string `json:"instance"`
	Body     T      `json:"body"`
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// encode returns the contents of a file: a line with the checksum of the payload, and the payload as
// JSON.
func encode(body any, instance string) ([]byte, error) {
	payload, err := json.Marshal(envelope[any]{schemaVersion, instance, body})
	if err != nil {
		return nil, err
	}
	if len(payload) > maxFileBytes-64 {
		return nil, fmt.Errorf("%d bytes are over the %d allowed", len(payload), maxFileBytes-64)
	}
	return append(fmt.Appendf(nil, "%s %08x\n", magic, crc32.Checksum(payload, castagnoli)), payload...), nil
}

// decode decodes a file into body, which is unchanged after an error, and returns the instance that
// wrote it. An error is returned if another instance than the given one wrote it, unless that is empty.
func decode[T any](encoded []byte, instance string, body *T) (writtenBy string, err error) {
	header, payload, ok := bytes.Cut(encoded, []byte("\n"))
	if !ok || len(encoded) > maxFileBytes {
		return "", fmt.Errorf("%w: no header line, or %d bytes over the limit of %d", ErrCorrupt, len(encoded), maxFileBytes)
	}
	if want := fmt.Sprintf("%s %08x", magic, crc32.Checksum(payload, castagnoli)); string(header) != want {
		return "", fmt.Errorf("%w: checksum mismatch", ErrCorrupt)
	}
	var file envelope[json.RawMessage]
	if err := json.Unmarshal(payload, &file); err != nil {
		return "", fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	switch {
	case file.Schema > schemaVersion:
		return "", fmt.Errorf("%w (schema %d, supported is %d)", ErrNewerVersion, file.Schema, schemaVersion)
	case file.Schema != schemaVersion:
		return "", fmt.Errorf("%w: schema %d, supported is %d", ErrCorrupt, file.Schema, schemaVersion)
	case instance != "" && file.Instance != instance:
		return "", fmt.Errorf("%w (%q, this is %q)", ErrOtherInstance, file.Instance, instance)
	}
	var out T
	if err := json.Unmarshal(file.Body, &out); err != nil {
		return "", fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	if f, ok := any(&out).(*learnedState); ok {
		for name, p := range f.Pools {
			if len(p.Servers) != len(p.Learned.Servers) || len(p.Servers) > maxServers {
				return "", fmt.Errorf("%w: pool %q: %d servers and %d ids", ErrCorrupt, name, len(p.Learned.Servers), len(p.Servers))
			}
		}
	}
	*body = out
	return file.Instance, nil
}
