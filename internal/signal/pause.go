package signal

import (
	"context"
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

// Hold holds a connection to a peer until ctx ends: it dials, says hello, and has the connection used until that returns; then, or if it
// cannot be reached, again after a pause.
func Hold(ctx context.Context, addr string, silence time.Duration, pause Pause, hello any, use func(*Conn)) {
	for ctx.Err() == nil {
		if conn, err := Dial(ctx, addr, silence); err == nil {
			if conn.Send(hello) == nil {
				pause.Reset()
				use(conn)
			}
			conn.Close()
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause.Next()):
		}
	}
}
