package sidecar

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http/httputil"
	"strings"
	"testing"
	"testing/iotest"

	"pgregory.net/rapid"
)

// What is written is read again, here and by the library's reader, and what the library writes is read here, whatever the pieces.
func TestChunksThereAndBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pieces := rapid.SliceOf(rapid.SliceOfN(rapid.Byte(), 0, 300)).Draw(t, "pieces")
		want := bytes.Join(pieces, nil)
		var own, other bytes.Buffer
		for _, w := range []io.WriteCloser{&chunkWriter{&own}, httputil.NewChunkedWriter(&other)} {
			for _, p := range pieces {
				if n, err := w.Write(p); n != len(p) || err != nil {
					t.Fatal(n, err)
				}
			}
			w.Close()
		}
		if !bytes.Equal(own.Bytes(), other.Bytes()) {
			t.Fatalf("%q, the library writes %q", own.Bytes(), other.Bytes())
		}
		from := bufio.NewReader(iotest.HalfReader(strings.NewReader(own.String() + "\r\nnext")))
		got, err := io.ReadAll(newChunkReader(from))
		if err != nil || !bytes.Equal(got, want) {
			t.Fatalf("%v, %q, want %q", err, got, want)
		}
		if rest, _ := io.ReadAll(from); string(rest) != "\r\nnext" {
			t.Fatalf("behind it is %q", rest)
		}
	})
}

// What the library refuses is refused, and what it reads is read alike; a body that ends early is no whole one.
func TestChunksThatCannotBeRead(t *testing.T) {
	for _, text := range []string{
		"3\r\nabc\r\n0\r\n", "3;x=y\r\nabc\r\n0\r\n", "3 \r\nabc\r\n0\r\n", "0a\r\n0123456789\r\n0\r\n", "A\r\n0123456789\r\n0\r\n",
		"", "3", "3\r\n", "3\r\nab", "3\r\nabc", "3\r\nabc\r\n", "3\r\nabcd\r\n0\r\n", "3\r\nabc0\r\n", "3\nabc\r\n0\r\n", "3\r\nabc\n0\r\n",
		"\r\nabc", "x\r\n", "-1\r\n", "+3\r\nabc\r\n0\r\n", "0x3\r\nabc\r\n0\r\n", "1_0\r\n", "11111111111111111\r\n", " 3\r\nabc\r\n0\r\n",
		"ffffffffffffffff\r\nabc", "3;" + strings.Repeat("x", 5000) + "\r\nabc\r\n0\r\n",
		strings.Repeat("1;"+strings.Repeat("x", 100)+"\r\na\r\n", 1000) + "0\r\n", strings.Repeat("1\r\na\r\n", 20000) + "0\r\n",
	} {
		want, wrong := io.ReadAll(httputil.NewChunkedReader(bufio.NewReader(strings.NewReader(text))))
		got, err := io.ReadAll(newChunkReader(bufio.NewReader(strings.NewReader(text))))
		if (err == nil) != (wrong == nil) || err == nil && !bytes.Equal(got, want) {
			t.Errorf("%.40q: %v, %d bytes; the library: %v, %d bytes", text, err, len(got), wrong, len(want))
		}
		if errors.Is(err, io.EOF) {
			t.Errorf("%.40q ends as a whole body", text)
		}
	}
}
