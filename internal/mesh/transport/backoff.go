package transport

import (
	"context"
	"math/rand/v2"
	"time"
)

// Backoff is an exponential backoff with jitter between Min and Max: short after the first failure,
// as the peer may just be starting, then twice as long each time. The jitter keeps peers that lost
// their connections at the same time from reconnecting at the same time. It is not safe for concurrent use.
type Backoff struct{ Min, Max, next time.Duration }

// Next returns the next delay.
func (b *Backoff) Next() time.Duration {
	if b.next = max(b.next, b.Min); b.next > b.Max {
		b.next = b.Max
	}
	delay := b.next
	b.next *= 2
	return delay/2 + rand.N(delay/2+1)
}

// Reset starts again at Min, after the peer was reached.
func (b *Backoff) Reset() { b.next = 0 }

// KeepConnected keeps a connection to a peer until ctx ends: it dials, sends the handshake, and
// calls use. When use returns, or the peer cannot be reached, it reconnects with backoff.
func KeepConnected(ctx context.Context, addr string, idleTimeout time.Duration, backoff Backoff, handshake any, use func(*Conn)) {
	for ctx.Err() == nil {
		if conn, err := Dial(ctx, addr, idleTimeout); err == nil {
			if conn.Send(handshake) == nil {
				backoff.Reset()
				use(conn)
			}
			conn.Close()
		}
		select {
		case <-ctx.Done():
		case <-time.After(backoff.Next()):
		}
	}
}
