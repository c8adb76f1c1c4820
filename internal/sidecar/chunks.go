package sidecar

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// This file implements the chunked transfer coding (RFC 9112, section 7.1). Importing net/http/httputil for it would link a complete
// reverse proxy into each program.

var errBadChunk = errors.New("a chunk cannot be read")

const (
	maxChunkOverhead   = 16 << 10 // bytes that are not data, beyond those that each chunk is allowed
	maxChunkDigits     = 16       // of the length of a chunk
	freeChunkLineBytes = 16       // bytes of the length line that each chunk is allowed, besides twice its data
)

// chunkReader reads the data of chunks up to the last one. The trailers after it are not read.
type chunkReader struct {
	reader    *bufio.Reader
	remaining uint64 // unread data bytes of the current chunk
	inChunk   bool   // a chunk has been started: a line end follows its data
	overhead  int64  // bytes that were not data, beyond those that the chunks are allowed
	err       error
}

func newChunkReader(from *bufio.Reader) *chunkReader { return &chunkReader{reader: from} }

func (c *chunkReader) Read(p []byte) (int, error) {
	for c.err == nil && c.remaining == 0 {
		c.err = c.readChunkHeader()
	}
	if c.err != nil || len(p) == 0 {
		return 0, c.err
	}
	n, err := c.reader.Read(p[:min(uint64(len(p)), c.remaining)])
	c.remaining -= uint64(n)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	c.err = err
	return n, err
}

// readChunkHeader reads the line before the data of a chunk; io.EOF after the last chunk.
func (c *chunkReader) readChunkHeader() error {
	if c.inChunk {
		line, err := c.readLine()
		if err == nil && len(line) > 0 {
			err = errBadChunk
		}
		if err != nil {
			return err
		}
	}
	c.inChunk = true
	line, err := c.readLine()
	if err != nil {
		return err
	}
	size, _, _ := bytes.Cut(line, []byte(";")) // without extensions
	size = bytes.TrimRight(size, " \t")
	if len(size) > maxChunkDigits || bytes.ContainsFunc(size, func(r rune) bool { return r == '+' || r == '-' || r == '_' }) {
		return errBadChunk
	}
	if c.remaining, err = strconv.ParseUint(string(size), 16, 64); err != nil {
		return errBadChunk
	}
	// Chunks of a byte each, or with long extensions, take more work than their data is worth.
	spare := int64(min(c.remaining, maxChunkOverhead))
	if c.overhead = max(c.overhead+int64(len(line))+2-freeChunkLineBytes-2*spare, 0); c.overhead > maxChunkOverhead {
		return errBadChunk
	}
	if c.remaining == 0 {
		return io.EOF
	}
	return nil
}

// readLine reads a line without its end, which must be CR LF: other readers may not accept a bare LF as a line end.
func (c *chunkReader) readLine() ([]byte, error) {
	line, err := c.reader.ReadSlice('\n')
	switch {
	case errors.Is(err, io.EOF):
		return nil, io.ErrUnexpectedEOF
	case errors.Is(err, bufio.ErrBufferFull):
		return nil, errBadChunk
	case err != nil:
		return nil, err
	}
	line, ok := bytes.CutSuffix(line, []byte("\r\n"))
	if !ok || bytes.IndexByte(line, '\r') >= 0 {
		return nil, errBadChunk
	}
	return line, nil
}

// chunkWriter writes each piece as a chunk. Close writes the last chunk, but not the empty line after the trailers.
type chunkWriter struct{ writer io.Writer }

func (c *chunkWriter) Write(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	chunk := make([]byte, 0, len(p)+maxChunkDigits+4)
	chunk = strconv.AppendUint(chunk, uint64(len(p)), 16)
	chunk = append(append(append(chunk, "\r\n"...), p...), "\r\n"...)
	if _, err := c.writer.Write(chunk); err != nil {
		return 0, err
	}
	return len(p), nil
}

func (c *chunkWriter) Close() error {
	_, err := io.WriteString(c.writer, "0\r\n")
	return err
}
