package transport

import (
	"encoding/binary"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
)

type message struct {
	Text string
	N    uint64
	Many []string
}

// connPair returns the two ends of a TCP connection on loopback.
func connPair(t *testing.T) (a, b net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	if a, err = net.Dial("tcp", ln.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if b, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { a.Close(); b.Close() })
	return a, b
}

func TestMessageRoundTrip(t *testing.T) {
	a, b := connPair(t)
	ends := make(chan *Conn, 1)
	go func() {
		c, _ := New(t.Context(), b, 5*time.Second)
		ends <- c
	}()
	left, err := New(t.Context(), a, 5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	right := <-ends
	for i := range 50 {
		sent := message{Text: strings.Repeat("x", i*1000), N: uint64(i), Many: []string{"a"}}
		if err := left.Send(&sent); err != nil {
			t.Fatal(err)
		}
		var got message
		if err := right.Receive(&got); err != nil || got.Text != sent.Text || got.N != sent.N {
			t.Fatalf("message %d: %v", i, err)
		}
	}
}

// Bytes that are not of this protocol, or announce a frame above the limit, are reported as a protocol error.
func TestProtocolErrors(t *testing.T) {
	huge := binary.BigEndian.AppendUint32(nil, maxFrameBytes+1)
	for name, c := range map[string]struct {
		bytes         string
		greetingFails bool
	}{
		"another greeting": {"GET / HTTP/1.1\r\n\r\n", true},
		"a huge frame":     {greeting + string(huge), false},
		"no message":       {greeting + "\x00\x00\x00\x03abc", false},
	} {
		a, b := connPair(t)
		if _, err := io.WriteString(b, c.bytes); err != nil {
			t.Fatal(err)
		}
		conn, err := New(t.Context(), a, 5*time.Second)
		if err == nil {
			var m message
			err = conn.Receive(&m)
		} else if !c.greetingFails {
			t.Errorf("%s: the greeting fails: %v", name, err)
		}
		if !errorx.IsOfType(err, ProtocolError) {
			t.Errorf("%s: %v, want a protocol error", name, err)
		}
	}
}

// A peer that does not receive its messages is disconnected, and an outbox ends with its connection.
func TestOutboxEndsWithItsConnection(t *testing.T) {
	a, b := connPair(t)
	if _, err := io.WriteString(b, greeting); err != nil {
		t.Fatal(err)
	}
	conn, err := New(t.Context(), a, 5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	o := NewOutbox(conn, 1)
	if !o.Send(&message{}) || o.Send(&message{}) {
		t.Error("want the first message queued, and the second rejected by the full queue")
	}
	o.Run() // returns, as the connection is closed
	var m message
	if err := conn.Receive(&m); !errorx.IsOfType(err, ConnectionLost) {
		t.Errorf("receive on a closed connection: %v", err)
	}
}

func TestIdlePeerIsDisconnected(t *testing.T) {
	a, b := connPair(t)
	if _, err := io.WriteString(b, greeting); err != nil {
		t.Fatal(err)
	}
	conn, err := New(t.Context(), a, 30*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	var m message
	if err := conn.Receive(&m); !errorx.IsOfType(err, ConnectionLost) {
		t.Fatalf("receive from an idle peer: %v", err)
	}
}

// A message that takes longer over a low-bandwidth link than the idle timeout arrives complete: neither end closes the connection while its
// bytes are transferred.
func TestLongMessageOverASlowLink(t *testing.T) {
	const idleTimeout, size = 300 * time.Millisecond, 4 << 20
	a, near := connPair(t)
	far, b := connPair(t)
	go func() { // 16 KB each 5 ms one way, anything the other way
		chunk := make([]byte, 16<<10)
		for tick := time.NewTicker(5 * time.Millisecond); ; <-tick.C {
			n, err := near.Read(chunk)
			if err == nil {
				_, err = far.Write(chunk[:n])
			}
			if err != nil {
				far.Close()
				return
			}
		}
	}()
	go func() { _, _ = io.Copy(near, far) }()
	received := make(chan error, 1)
	go func() {
		conn, err := New(t.Context(), b, idleTimeout)
		if err == nil {
			var m message
			if err = conn.Receive(&m); err == nil && len(m.Text) != size {
				err = io.ErrUnexpectedEOF
			}
			conn.Close()
		}
		received <- err
	}()
	conn, err := New(t.Context(), a, idleTimeout)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	start := time.Now()
	if err := conn.Send(&message{Text: strings.Repeat("x", size)}); err != nil {
		t.Error(err)
	}
	if err := <-received; err != nil {
		t.Fatal(err)
	}
	if took := time.Since(start); took < 2*idleTimeout {
		t.Fatalf("the message took %v: the link is not slower than the idle timeout", took)
	}
}
