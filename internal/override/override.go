// Package override records which servers operators hold out of service by hand. That overrides what
// discovery reports: a server that is held counts as draining, and one that was released counts as
// started at its release. The package is pure: it does no I/O and reads no clock.
package override

import (
	"encoding/json"
	"fmt"
	"maps"
)

// MaxHeld is the number of servers that can be held at once.
const MaxHeld = 4096

// releaseRetentionMS is how long a release is kept, in milliseconds: any server has warmed up by then.
const releaseRetentionMS = 120_000

// Set is an immutable set of overrides: by server id, the time of the operator's call in Unix
// milliseconds. The zero value is empty.
type Set struct {
	Held       map[string]float64 `json:"out"`
	ReleasedAt map[string]float64 `json:"back"`
}

// Hold returns a set in which a server is held. Holding it twice changes nothing. It is an error if
// MaxHeld servers are held already.
func (s Set) Hold(id string, now float64) (Set, error) {
	if _, held := s.Held[id]; held {
		return s, nil
	}
	if len(s.Held) >= MaxHeld {
		return s, fmt.Errorf("%d servers are held out already", MaxHeld)
	}
	s = s.clone(now)
	s.Held[id] = now
	delete(s.ReleasedAt, id)
	return s, nil
}

// Release returns a set in which a server is not held.
func (s Set) Release(id string, now float64) Set {
	if _, held := s.Held[id]; !held {
		return s
	}
	s = s.clone(now)
	delete(s.Held, id)
	s.ReleasedAt[id] = now
	return s
}

// clone returns a copy of the set without expired releases.
func (s Set) clone(now float64) Set {
	c := Set{Held: maps.Clone(s.Held), ReleasedAt: maps.Clone(s.ReleasedAt)}
	if c.Held == nil {
		c.Held = map[string]float64{}
	}
	if c.ReleasedAt == nil {
		c.ReleasedAt = map[string]float64{}
	}
	maps.DeleteFunc(c.ReleasedAt, func(_ string, at float64) bool { return now-at > releaseRetentionMS })
	return c
}

// IsHeld reports whether a server is held.
func (s Set) IsHeld(id string) bool {
	_, held := s.Held[id]
	return held
}

// StartTime returns when a server counts as started, in Unix milliseconds, given the time that
// discovery reports: it may have been restarted while it was held, and that report may be late.
func (s Set) StartTime(id string, reported float64) float64 { return max(reported, s.ReleasedAt[id]) }

// ChangedServers returns the ids of the servers whose state differs between two sets, in no order.
func ChangedServers(a, b Set) []string {
	var ids []string
	for id := range a.Held {
		if !b.IsHeld(id) {
			ids = append(ids, id)
		}
	}
	for id := range b.Held {
		if !a.IsHeld(id) {
			ids = append(ids, id)
		}
	}
	for id, at := range b.ReleasedAt {
		if a.ReleasedAt[id] != at && !a.IsHeld(id) && !b.IsHeld(id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// Parse decodes a set that Encode has encoded.
func Parse(text []byte) (Set, error) {
	var s Set
	if err := json.Unmarshal(text, &s); err != nil {
		return Set{}, fmt.Errorf("servers held out: %w", err)
	}
	if len(s.Held) > MaxHeld {
		return Set{}, fmt.Errorf("servers held out: %d, over the limit of %d", len(s.Held), MaxHeld)
	}
	return s, nil
}

// Encode returns the set as JSON.
func (s Set) Encode() ([]byte, error) { return json.Marshal(s) }
