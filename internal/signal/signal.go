// Package signal is the wire between the system's own processes: messages of encoding/gob in bounded frames, over held
// TCP connections.
package signal

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/gob"
	"io"
	"net"
	"sync"
	"time"

	"github.com/joomcode/errorx"
)

var space = errorx.NewNamespace("signal")

var (
	// Broken is the type of errors of a connection that ended or fell silent.
	Broken = space.NewType("broken")
	// Foreign is the type of errors of a peer that sends what cannot be understood.
	Foreign = space.NewType("foreign")
)

const (
	maxFrame  = 16 << 20         // bytes of one message
	magic     = "milletmast 2\n" // both ends say it first: the version of this wire
	writeTime = 2 * time.Second
	dialTime  = 500 * time.Millisecond
	piece     = 32 << 10 // bytes that pass within the time that a peer may be silent, or be slow to take; a link that carries less is dead
	// Bytes that wait in the system for a peer. Room for more is told in steps of a third of that, so it bounds how thin a link may be;
	// and what waits there is not looked at again.
	writeRoom = 256 << 10

	acceptPause = 10 * time.Millisecond
)

// Conn is a held connection. Send may be called from many goroutines, Receive from one.
type Conn struct {
	raw     net.Conn
	ended   context.Context // once it is closed
	end     context.CancelFunc
	in      bytes.Buffer
	dec     *gob.Decoder
	silence time.Duration // a peer that says nothing for so long is gone

	mu  sync.Mutex
	out bytes.Buffer
	enc *gob.Encoder
}

// New makes one of a connection; both ends must. It is closed when ctx ends.
func New(ctx context.Context, raw net.Conn, silence time.Duration) (*Conn, error) {
	c := &Conn{raw: raw, silence: silence}
	c.ended, c.end = context.WithCancel(ctx)
	context.AfterFunc(c.ended, func() { raw.Close() })
	c.dec, c.enc = gob.NewDecoder(&c.in), gob.NewEncoder(&c.out)
	if tcp, ok := raw.(*net.TCPConn); ok {
		tcp.SetWriteBuffer(writeRoom)
	}
	raw.SetDeadline(time.Now().Add(silence))
	if _, err := io.WriteString(raw, magic); err != nil {
		c.Close()
		return nil, Broken.Wrap(err, "greeting")
	}
	said := make([]byte, len(magic))
	if _, err := io.ReadFull(raw, said); err != nil {
		c.Close()
		return nil, Broken.Wrap(err, "greeting")
	}
	if string(said) != magic {
		c.Close()
		return nil, Foreign.New("the peer speaks another wire: %q", said)
	}
	raw.SetDeadline(time.Time{})
	return c, nil
}

// Dial connects to a peer. The connection is closed when ctx ends.
func Dial(ctx context.Context, addr string, silence time.Duration) (*Conn, error) {
	raw, err := (&net.Dialer{Timeout: min(dialTime, silence), KeepAlive: -1}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, Broken.Wrap(err, "dial")
	}
	return New(ctx, raw, silence)
}

// Query asks a peer one thing, over a connection of its own.
func Query(ctx context.Context, addr string, within time.Duration, question, answer any) error {
	c, err := Dial(ctx, addr, within)
	if err != nil {
		return err
	}
	defer c.Close()
	if err := c.Send(question); err != nil {
		return err
	}
	return c.Receive(answer)
}

// Serve has each connection that a listener takes served, until ctx ends; the listener is to be closed then.
func Serve(ctx context.Context, ln net.Listener, serve func(net.Conn)) {
	for ctx.Err() == nil {
		raw, err := ln.Accept()
		if err == nil {
			serve(raw)
			continue
		}
		select { // no descriptor is left, perhaps
		case <-ctx.Done():
		case <-time.After(acceptPause):
		}
	}
}

// Send sends a message; the receiver must expect its type.
func (c *Conn) Send(message any) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.out.Reset()
	c.out.Write([]byte{0, 0, 0, 0})
	if err := c.enc.Encode(message); err != nil {
		c.Close()
		return Foreign.Wrap(err, "encode")
	}
	frame := c.out.Bytes()
	if len(frame)-4 > maxFrame {
		c.Close()
		return Foreign.New("a message of %d bytes is more than %d", len(frame), maxFrame)
	}
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-4))
	for len(frame) > 0 {
		n := min(len(frame), piece)
		c.raw.SetWriteDeadline(time.Now().Add(min(writeTime, c.silence)))
		if _, err := c.raw.Write(frame[:n]); err != nil {
			c.Close()
			return Broken.Wrap(err, "send")
		}
		frame = frame[n:]
	}
	return nil
}

// Receive waits for the next message, for as long as a peer may be silent. A peer whose message is long is not silent while it comes.
func (c *Conn) Receive(message any) error {
	c.raw.SetReadDeadline(time.Now().Add(c.silence))
	var length [4]byte
	if _, err := io.ReadFull(c.raw, length[:]); err != nil {
		return Broken.Wrap(err, "receive")
	}
	n := binary.BigEndian.Uint32(length[:])
	if n > maxFrame {
		return Foreign.New("a message of %d bytes is more than %d", n, maxFrame)
	}
	for left := int64(n); left > 0; left -= piece {
		c.raw.SetReadDeadline(time.Now().Add(c.silence))
		if _, err := io.CopyN(&c.in, c.raw, min(left, piece)); err != nil {
			return Broken.Wrap(err, "receive")
		}
	}
	if err := c.dec.Decode(message); err != nil {
		return Foreign.Wrap(err, "decode")
	}
	return nil
}

// Peer is the address of the other end.
func (c *Conn) Peer() string { return c.raw.RemoteAddr().String() }

// Close ends the connection; Receive and Send return then.
func (c *Conn) Close() {
	c.end()
	c.raw.Close()
}

// Beat sends a message every so often until the connection is closed, so that the peer hears that this end is there.
func (c *Conn) Beat(every time.Duration, message any) {
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-c.ended.Done():
			return
		case <-tick.C:
			if c.Send(message) != nil {
				return
			}
		}
	}
}

// Late is a message that is made when its turn comes to be sent: what may be said can have changed while it waited. It is called once,
// by the goroutine of the outbox, and gives nil if nothing is to be said any more.
type Late func() any

// Outbox sends messages over a connection one after the other, so that who says them never waits.
type Outbox struct {
	conn *Conn
	mail chan any
}

// NewOutbox makes one that holds so many messages that are not sent yet.
func NewOutbox(c *Conn, room int) *Outbox { return &Outbox{c, make(chan any, room)} }

// Say has a message sent. A peer that does not take what it is told is cut off: the connection is closed, and false is given.
func (o *Outbox) Say(message any) bool {
	select {
	case o.mail <- message:
		return true
	default:
		o.conn.Close()
		return false
	}
}

// Run sends until the connection is closed.
func (o *Outbox) Run() {
	for {
		select {
		case <-o.conn.ended.Done():
			return
		case m := <-o.mail:
			if late, ok := m.(Late); ok {
				if m = late(); m == nil {
					continue
				}
			}
			if o.conn.Send(m) != nil {
				return
			}
		}
	}
}
