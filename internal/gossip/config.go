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
	// TranslateAddress returns the address at which an advertised address is reached from here, as behind address
	// translation; nil leaves addresses as they are.
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
		return fmt.Errorf("members: a name is needed, and a version has up to %d bytes", maxVersionBytes)
	}
	if c.MaxBytesPerSecond < minBytesPerSecond {
		return fmt.Errorf("members: %d bytes a second are too few: 1024 at least", c.MaxBytesPerSecond)
	}
	if c.ProbeInterval < minProbeInterval || c.ProbeInterval > maxProbeInterval {
		return fmt.Errorf("members: a probe each %v is not within 50ms and 1m", c.ProbeInterval)
	}
	for _, k := range c.Keys {
		if n := len(k); n != 16 && n != 24 && n != 32 {
			return fmt.Errorf("members: a key has %d bytes: 16, 24 or 32 are possible", n)
		}
	}
	return nil
}
