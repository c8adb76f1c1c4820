package gossip

import (
	"fmt"
	"time"

	"milletmast/internal/clusterview"
)

// Config is the configuration of a Group.
type Config struct {
	Name        string   // unique in the cluster
	Incarnation uint64   // of the process; a later process has a higher one
	Version     string   // of the program, at most maxVersionBytes
	Cluster     string   // messages of other clusters are dropped
	Address     string   // host:port to listen at, UDP and TCP
	Seeds       []string // host:port of some members

	// Keys are the secrets of the cluster, 16, 24 or 32 bytes each. The first one encrypts, all decrypt. Without keys
	// messages are sent in the clear.
	Keys [][]byte

	MaxBytesPerSecond int           // that this replica sends; at least minBytesPerSecond
	ProbeInterval     time.Duration // between two probes, from minProbeInterval to maxProbeInterval
	View              clusterview.Config

	// HandleMessage handles a message that another member has broadcast; nil ignores them. It runs on a goroutine of the
	// library and must not block.
	HandleMessage func(message []byte)
	// TranslateAddress returns the address to which to send for an advertised address, as with address translation; nil
	// leaves addresses as they are.
	TranslateAddress func(address string) string
}

// Bounds of a Config.
const (
	maxVersionBytes   = 64
	minBytesPerSecond = 1 << 10
	minProbeInterval  = 50 * time.Millisecond
	maxProbeInterval  = time.Minute
)

// validate returns an error that says which value is invalid.
func (c *Config) validate() error {
	if c.Name == "" || len(c.Version) > maxVersionBytes {
		return fmt.Errorf(
			"members: the name %q must not be empty, and the version %q may have up to %d bytes",
			c.Name,
			c.Version,
			maxVersionBytes,
		)
	}
	if c.MaxBytesPerSecond < minBytesPerSecond {
		return fmt.Errorf("members: %d bytes per second are below the minimum of %d", c.MaxBytesPerSecond, minBytesPerSecond)
	}
	if c.ProbeInterval < minProbeInterval || c.ProbeInterval > maxProbeInterval {
		return fmt.Errorf("members: the probe interval %v is not within %v and %v", c.ProbeInterval, minProbeInterval, maxProbeInterval)
	}
	for i, k := range c.Keys {
		if n := len(k); n != 16 && n != 24 && n != 32 {
			return fmt.Errorf("members: key %d has %d bytes, not 16, 24 or 32", i, n)
		}
	}
	return nil
}
