// Package transport carries messages between the processes of the mesh: encoding/gob in
// length-prefixed frames, over long-lived TCP connections.
package transport

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

var space = errorx.NewNamespace("transport")

var (
	// ConnectionLost is the type of errors of a connection that ended or was idle for too long.
	ConnectionLost = space.NewType("connection_lost")
	// ProtocolError is the type of errors of messages that cannot be decoded or are too large, and of
	// peers with another protocol version.
	ProtocolError = space.NewType("protocol_error")
)

const (
	maxFrameBytes = 16 << 20         // maximum size of a message
	greeting      = "milletmast 2\n" // first bytes of either side, with the version of the protocol
	writeTimeout  = 2 * time.Second
	dialTimeout   = 500 * time.Millisecond
	chunkBytes    = 32 << 10 // bytes that must be transferred within the idle timeout; a slower link is treated as broken
	// writeBufferBytes is the send buffer of the kernel for a peer. The peer announces its TCP window
	// in steps of a third of that, so it bounds how slow a link may be. A message in the kernel can
	// no longer be replaced by a newer one.
	writeBufferBytes = 256 << 10

	acceptRetryInterval = 10 * time.Millisecond
)

// Conn is a connection to a peer. Send may be called from many goroutines, Receive from one.
type Conn struct {
	raw         net.Conn
	done        context.Context // done once the connection is closed
	cancel      context.CancelFunc
	in          bytes.Buffer
	dec         *gob.Decoder
	idleTimeout time.Duration // after which a connection without received bytes counts as lost

	mu  sync.Mutex
	out bytes.Buffer
	enc *gob.Encoder
}

// New returns a connection over raw once both sides have exchanged greetings. It is closed when ctx
// ends.
func New(ctx context.Context, raw net.Conn, idleTimeout time.Duration) (*Conn, error) {
	c := &Conn{raw: raw, idleTimeout: idleTimeout}
	c.done, c.cancel = context.WithCancel(ctx)
	context.AfterFunc(c.done, func() { raw.Close() })
	c.dec, c.enc = gob.NewDecoder(&c.in), gob.NewEncoder(&c.out)
	if tcp, ok := raw.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(writeBufferBytes) // the kernel may bound it otherwise
	}
	_ = raw.SetDeadline(time.Now().Add(idleTimeout)) // fails only on a closed connection, on which the write fails too
	if _, err := io.WriteString(raw, greeting); err != nil {
		c.Close()
		return nil, ConnectionLost.Wrap(err, "greeting")
	}
	received := make([]byte, len(greeting))
	if _, err := io.ReadFull(raw, received); err != nil {
		c.Close()
		return nil, ConnectionLost.Wrap(err, "greeting")
	}
	if string(received) != greeting {
		c.Close()
		return nil, ProtocolError.New("the peer sent the greeting %q, want %q", received, greeting)
	}
	_ = raw.SetDeadline(time.Time{})
	return c, nil
}

// Dial connects to a peer. The connection is closed when ctx ends.
func Dial(ctx context.Context, addr string, idleTimeout time.Duration) (*Conn, error) {
	raw, err := (&net.Dialer{Timeout: min(dialTimeout, idleTimeout), KeepAlive: -1}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, ConnectionLost.Wrap(err, "dial")
	}
	return New(ctx, raw, idleTimeout)
}

// Call sends a request over a connection of its own and receives the response.
func Call(ctx context.Context, addr string, timeout time.Duration, request, response any) error {
	c, err := Dial(ctx, addr, timeout)
	if err != nil {
		return err
	}
	defer c.Close()
	if err := c.Send(request); err != nil {
		return err
	}
	return c.Receive(response)
}

// Serve calls serve for each connection that a listener accepts, until ctx ends. The caller closes
// the listener then.
func Serve(ctx context.Context, ln net.Listener, serve func(net.Conn)) {
	for ctx.Err() == nil {
		raw, err := ln.Accept()
		if err == nil {
			serve(raw)
			continue
		}
		select { // the process may be out of file descriptors
		case <-ctx.Done():
		case <-time.After(acceptRetryInterval):
		}
	}
}

// Send sends a message. The receiver must expect the type of the message.
func (c *Conn) Send(message any) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.out.Reset()
	c.out.Write([]byte{0, 0, 0, 0})
	if err := c.enc.Encode(message); err != nil {
		c.Close()
		return ProtocolError.Wrap(err, "encode")
	}
	frame := c.out.Bytes()
	if len(frame)-4 > maxFrameBytes {
		c.Close()
		return ProtocolError.New("send: a message of %d bytes exceeds the limit of %d bytes", len(frame), maxFrameBytes)
	}
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-4))
	for len(frame) > 0 {
		n := min(len(frame), chunkBytes)
		_ = c.raw.SetWriteDeadline(time.Now().Add(min(writeTimeout, c.idleTimeout)))
		if _, err := c.raw.Write(frame[:n]); err != nil {
			c.Close()
			return ConnectionLost.Wrap(err, "send")
		}
		frame = frame[n:]
	}
	return nil
}

// Receive waits for the next message, up to the idle timeout. Each chunk of a long message extends the
// deadline.
func (c *Conn) Receive(message any) error {
	_ = c.raw.SetReadDeadline(time.Now().Add(c.idleTimeout))
	var length [4]byte
	if _, err := io.ReadFull(c.raw, length[:]); err != nil {
		return ConnectionLost.Wrap(err, "receive")
	}
	n := binary.BigEndian.Uint32(length[:])
	if n > maxFrameBytes {
		return ProtocolError.New("receive: a message of %d bytes exceeds the limit of %d bytes", n, maxFrameBytes)
	}
	for left := int64(n); left > 0; left -= chunkBytes {
		_ = c.raw.SetReadDeadline(time.Now().Add(c.idleTimeout))
		if _, err := io.CopyN(&c.in, c.raw, min(left, chunkBytes)); err != nil {
			return ConnectionLost.Wrap(err, "receive")
		}
	}
	if err := c.dec.Decode(message); err != nil {
		return ProtocolError.Wrap(err, "decode")
	}
	return nil
}

// RemoteAddr returns the address of the peer.
func (c *Conn) RemoteAddr() string { return c.raw.RemoteAddr().String() }

// Close closes the connection; Receive and Send return an error then.
func (c *Conn) Close() {
	c.cancel()
	c.raw.Close()
}

// SendPeriodically sends a message, such as a heartbeat, at an interval until the connection is closed.
func (c *Conn) SendPeriodically(interval time.Duration, message any) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-c.done.Done():
			return
		case <-tick.C:
			if c.Send(message) != nil {
				return
			}
		}
	}
}
