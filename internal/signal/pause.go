package signal

import (
	"math/rand/v2"
	"time"
)

// Pause is how long to wait before a peer is tried again: little after the first failure, as it may just be starting, then twice as
// long each time up to a most, with chance in it, so that those that lost one peer together do not come back together. It is not safe
// for concurrent use.
type Pause struct{ First, Most, next time.Duration }

// Next is the next wait.
func (p *Pause) Next() time.Duration {
	if p.next = max(p.next, p.First); p.next > p.Most {
		p.next = p.Most
	}
	now := p.next
	p.next *= 2
	return now/2 + rand.N(now/2+1)
}

// Reset says that the peer was reached.
func (p *Pause) Reset() { p.next = 0 }
