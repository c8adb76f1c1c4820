package sidecar

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// The transfer coding of RFC 9112, section 7.1. The one of net/http/httputil brings a ready-made proxy into each program that links it.

var errChunk = errors.New("a chunk cannot be read")

const (
	chunkExtra  = 16 << 10 // bytes that are no data, beyond what each chunk may have
	chunkDigits = 16       // of a length
	chunkLine   = 16       // bytes of a length's line that each chunk may have, besides twice its data
)

// chunkReader reads the data of chunks up to the last one. The trailers behind that are not read.
type chunkReader struct {
	from  *bufio.Reader
	left  uint64 // of the chunk's data
	begun bool   // a chunk's data was begun: its end of line follows that
	extra int64  // bytes that were no data, beyond what the chunks may have
	err   error
}

func newChunkReader(from *bufio.Reader) *chunkReader { return &chunkReader{from: from} }

func (c *chunkReader) Read(p []byte) (int, error) {
	for c.err == nil && c.left == 0 {
		c.err = c.next()
	}
	if c.err != nil || len(p) == 0 {
		return 0, c.err
	}
	n, err := c.from.Read(p[:min(uint64(len(p)), c.left)])
	c.left -= uint64(n)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	c.err = err
	return n, err
}

// next reads what stands before the data of a chunk; io.EOF after the last one.
func (c *chunkReader) next() error {
	if c.begun {
		line, err := c.line()
		if err == nil && len(line) > 0 {
			err = errChunk
		}
		if err != nil {
			return err
		}
	}
	c.begun = true
	line, err := c.line()
	if err != nil {
		return err
	}
	size, _, _ := bytes.Cut(line, []byte(";")) // extensions tell nothing here
	size = bytes.TrimRight(size, " \t")
	if len(size) > chunkDigits || bytes.ContainsFunc(size, func(r rune) bool { return r == '+' || r == '-' || r == '_' }) {
		return errChunk
	}
	if c.left, err = strconv.ParseUint(string(size), 16, 64); err != nil {
		return errChunk
	}
	// Chunks of a byte each, or with long extensions, cost their reader more than they say.
	spare := int64(min(c.left, chunkExtra))
	if c.extra = max(c.extra+int64(len(line))+2-chunkLine-2*spare, 0); c.extra > chunkExtra {
		return errChunk
	}
	if c.left == 0 {
		return io.EOF
	}
	return nil
}

// line reads one line, without its end, which is CR and LF: a bare LF would be another line to another reader.
func (c *chunkReader) line() ([]byte, error) {
	line, err := c.from.ReadSlice('\n')
	switch {
	case err == io.EOF:
		return nil, io.ErrUnexpectedEOF
	case err == bufio.ErrBufferFull:
		return nil, errChunk
	case err != nil:
		return nil, err
	}
	line, ok := bytes.CutSuffix(line, []byte("\r\n"))
	if !ok || bytes.IndexByte(line, '\r') >= 0 {
		return nil, errChunk
	}
	return line, nil
}

// chunkWriter writes each piece as a chunk. What ends a body is written by Close, but for the empty line behind the trailers.
type chunkWriter struct{ to io.Writer }

func (c *chunkWriter) Write(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	chunk := make([]byte, 0, len(p)+chunkDigits+4)
	chunk = strconv.AppendUint(chunk, uint64(len(p)), 16)
	chunk = append(append(append(chunk, "\r\n"...), p...), "\r\n"...)
	if _, err := c.to.Write(chunk); err != nil {
		return 0, err
	}
	return len(p), nil
}

func (c *chunkWriter) Close() error {
	_, err := io.WriteString(c.to, "0\r\n")
	return err
}
