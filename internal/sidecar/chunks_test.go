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

// The chunk writer must write what net/http/httputil writes, and the chunk reader must read it back, for pieces of any size.
func TestChunksRoundTrip(t *testing.T) {
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
			t.Fatalf("after the body: %q", rest)
		}
	})
}

// The chunk reader must reject what net/http/httputil rejects and otherwise read the same data. A body that ends early must not be
// reported as complete.
func TestChunksAgainstHTTPUtil(t *testing.T) {
	for _, text := range []string{
		"3\r\nabc\r\n0\r\n", "3;x=y\r\nabc\r\n0\r\n", "3 \r\nabc\r\n0\r\n", "0a\r\n0123456789\r\n0\r\n", "A\r\n0123456789\r\n0\r\n",
		"", "3", "3\r\n", "3\r\nab", "3\r\nabc", "3\r\nabc\r\n", "3\r\nabcd\r\n0\r\n", "3\r\nabc0\r\n", "3\nabc\r\n0\r\n", "3\r\nabc\n0\r\n",
		"\r\nabc", "x\r\n", "-1\r\n", "+3\r\nabc\r\n0\r\n", "0x3\r\nabc\r\n0\r\n", "1_0\r\n", "11111111111111111\r\n", " 3\r\nabc\r\n0\r\n",
		"ffffffffffffffff\r\nabc", "3;" + strings.Repeat("x", 5000) + "\r\nabc\r\n0\r\n",
		strings.Repeat("1;"+strings.Repeat("x", 100)+"\r\na\r\n", 1000) + "0\r\n", strings.Repeat("1\r\na\r\n", 20000) + "0\r\n",
	} {
		want, wantErr := io.ReadAll(httputil.NewChunkedReader(bufio.NewReader(strings.NewReader(text))))
		got, err := io.ReadAll(newChunkReader(bufio.NewReader(strings.NewReader(text))))
		if (err == nil) != (wantErr == nil) || err == nil && !bytes.Equal(got, want) {
			t.Errorf("%.40q: %v, %d bytes; the library: %v, %d bytes", text, err, len(got), wantErr, len(want))
		}
		if errors.Is(err, io.EOF) {
			t.Errorf("%.40q is reported as a complete body", text)
		}
	}
}
