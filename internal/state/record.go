// Package state keeps what must survive a restart of an instance: what its pools have learned, pins of levels and the last good
// generation of its operator file. What is read back is whole and of this instance, or nothing: see Open.
package state

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"time"

	"whinknot"
)

// Pool is what a pool's module has learned, with its servers by their ids: numbers mean nothing to another process.
type Pool struct {
	Module  string          `json:"module"`  // of its settings; what was learned under others is not comparable
	Servers []string        `json:"servers"` // ids, in the order of the memory's
	Memory  whinknot.Memory `json:"memory"`
}

// Pin is a level that operators keep in force.
type Pin struct {
	Level string    `json:"level"`
	Until time.Time `json:"until"`
}

// Generation is an operator file that was in force.
type Generation struct {
	Path string    `json:"path"`
	Hash string    `json:"hash"` // of the text and of the server files that it names
	Text []byte    `json:"text"`
	At   time.Time `json:"at"`
}

// Limits of what is kept.
const (
	mostServers = 20_000   // of a pool
	mostRecord  = 32 << 20 // bytes of a file
)

// schema is the version of a file's form. A file of a later one is not read, nor is one of an earlier one that is not known.
const schema = 1

// magic begins each file.
const magic = "milletmast state"

// envelope is a file's head, beside its checksum.
type envelope[T any] struct {
	Schema   int    `json:"schema"`
	Instance string `json:"instance"`
	Body     T      `json:"body"`
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// encode is a file: a line with the checksum of the rest, and that as JSON.
func encode(v any, instance string) ([]byte, error) {
	text, err := json.Marshal(envelope[any]{schema, instance, v})
	if err != nil {
		return nil, err
	}
	if len(text) > mostRecord-64 {
		return nil, fmt.Errorf("%d bytes are over the %d allowed", len(text), mostRecord-64)
	}
	return append(fmt.Appendf(nil, "%s %08x\n", magic, crc32.Checksum(text, castagnoli)), text...), nil
}

// decode reads a file into v, whole or not at all, and tells whose it is. It has to be of an instance, unless that is "".
func decode[T any](file []byte, instance string, v *T) (whose string, err error) {
	head, text, ok := bytes.Cut(file, []byte("\n"))
	if !ok || len(file) > mostRecord {
		return "", fmt.Errorf("%w: %d bytes", ErrDamaged, len(file))
	}
	if want := fmt.Sprintf("%s %08x", magic, crc32.Checksum(text, castagnoli)); string(head) != want {
		return "", fmt.Errorf("%w: its checksum is another", ErrDamaged)
	}
	var e envelope[json.RawMessage]
	if err := json.Unmarshal(text, &e); err != nil {
		return "", fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	switch {
	case e.Schema > schema:
		return "", fmt.Errorf("%w (schema %d, this one has %d)", ErrLater, e.Schema, schema)
	case e.Schema != schema:
		return "", fmt.Errorf("%w: schema %d", ErrDamaged, e.Schema)
	case instance != "" && e.Instance != instance:
		return "", fmt.Errorf("%w (%q, this one is %q)", ErrForeign, e.Instance, instance)
	}
	var whole T
	if err := json.Unmarshal(e.Body, &whole); err != nil {
		return "", fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	if f, ok := any(&whole).(*learnedFile); ok {
		for name, p := range f.Pools {
			if len(p.Servers) != len(p.Memory.Servers) || len(p.Servers) > mostServers {
				return "", fmt.Errorf("%w: pool %q: %d servers and %d names", ErrDamaged, name, len(p.Memory.Servers), len(p.Servers))
			}
		}
	}
	*v = whole
	return e.Instance, nil
}
