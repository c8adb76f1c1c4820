package operator

import (
	"encoding/base64"
	"errors"
	"fmt"
	"time"
)

// Bounds of the tables limits, context and members.
const (
	minMemory      = 16 << 20
	maxDescriptors = 1 << 20
	maxCores       = 256
	maxOpenCalls   = 1 << 20
	maxTreeRetries = 16 // for one request from outside
	maxSeeds       = 100
	maxKeys        = 8
)

func (c *checker) checkLimits(l *Limits) {
	if l.Memory < minMemory {
		c.reportf("limits.memory", "%v is under the minimum of %v", l.Memory, Size(minMemory))
	}
	checkRange(c.document, "limits.sockets", l.Sockets, MinSockets, maxDescriptors)
	checkRange(c.document, "limits.cores", l.Cores, 1, maxCores)
	c.checkDuration("limits.drain", l.Drain, 100*time.Millisecond, maxTime)
	checkRange(c.document, "limits.streams", l.Streams, 0, maxOpenCalls)
}

func (c *checker) checkMembers(m *Members) {
	if m.Listen == "" {
		if m.Name != "" || len(m.Seeds)+len(m.Keys) > 0 {
			c.report("members.listen", errors.New("is missing: name, seeds and keys need an address to listen on"))
		}
		return
	}
	if m.Name == "" {
		m.Name = c.cfg.Name
	}
	if !namePattern.MatchString(m.Name) {
		c.reportf("members.name", "%q is not a valid name: use up to 64 letters, digits and . _ : -, the first a letter or digit", m.Name)
	}
	c.checkCopies("members", m.Copies, m.Rank)
	c.checkHostPort("members.listen", m.Listen)
	c.checkCount("members.seeds", len(m.Seeds), maxSeeds)
	for i, seed := range m.Seeds {
		c.checkHostPort(fmt.Sprintf("members.seeds[%d]", i), seed)
	}
	c.checkCount("members.keys", len(m.Keys), maxKeys)
	if _, err := m.DecodeKeys(); err != nil {
		c.report("members.keys", err)
	}
	c.checkDuration("members.probe", m.Probe, 50*time.Millisecond, time.Minute)
	const low, high Size = 1 << 10, 1 << 30
	if m.Bytes < low || m.Bytes > high {
		c.reportf("members.bytes", "%v per second is not within %v and %v", m.Bytes, low, high)
	}
}

// checkCopies checks the number of replicas and the rank of this one.
func (d *document) checkCopies(path string, copies, rank int) {
	if copies < 1 || copies > maxCopies {
		d.reportf(path+".copies", "%d is not within 1 and %d", copies, maxCopies)
	} else if rank < 0 || rank >= copies {
		d.reportf(path+".rank", "%d is out of range: with %d copies it must be from 0 to %d", rank, copies, copies-1)
	}
}

// DecodeKeys returns the encryption keys as bytes. Its error does not show them.
func (m *Members) DecodeKeys() (keys [][]byte, err error) {
	for _, text := range m.Keys {
		key, err := base64.StdEncoding.DecodeString(text)
		if n := len(key); err != nil || n != 16 && n != 24 && n != 32 {
			return nil, errors.New("a key is not base64 of 16, 24 or 32 bytes")
		}
		keys = append(keys, key)
	}
	return keys, nil
}

func (c *checker) checkContext(k *Context) {
	if k.ID != "" && !namePattern.MatchString(k.ID) {
		c.reportf("context.id", "%q is not a valid name: use up to 64 letters, digits and . _ : -, the first a letter or digit", k.ID)
	}
	checkRange(c.document, "context.retries", k.Retries, 0, maxTreeRetries)
	checkRange(c.document, "context.sample", k.Sample, 0, 1)
	if k.Sample > 0 && k.Trace == "" {
		c.report("context.trace", errors.New("is missing: with a sample it must name the file for the traces"))
	}
	if k.ID == "" && (k.Sample > 0 || k.Trace != "") {
		c.report("context.id", errors.New("is missing: sample and trace need it"))
	}
	ResolvePath(c.folder, &k.Trace)
	for i, l := range c.cfg.Listeners {
		if l.Inner && k.ID == "" {
			c.reportf(fmt.Sprintf("listener[%d].inner", i), "needs an id in [context]")
		}
		if !(l.MaxWorth > 0 && l.MaxWorth <= maxWeight) {
			c.reportf(fmt.Sprintf("listener[%d].max_worth", i), "%v is out of range: must be over 0 and at most %s",
				l.MaxWorth, formatBound(maxWeight))
		}
	}
}

// checkConnectionShares checks that the descriptors suffice for the connections that the pools are guaranteed.
func (c *checker) checkConnectionShares() {
	if len(c.cfg.Pools) == 0 || c.cfg.Limits.Sockets < MinSockets {
		return
	}
	guaranteed := 0
	for _, p := range c.cfg.Pools {
		guaranteed += p.Connections.Least
	}
	if _, servers := c.cfg.DivideDescriptors(); guaranteed > servers {
		c.reportf("limits.sockets", "%d descriptors leave %d for connections to servers, but the pools are guaranteed %d (connections.least)",
			c.cfg.Limits.Sockets, servers, guaranteed)
	}
}
