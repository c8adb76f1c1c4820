package sidecar

import (
	"errors"
	"fmt"
	"io"
	"sync"
	"time"
)

// uploadStream is the body of a request that is streamed from its client to one server. One attempt may claim it.
type uploadStream struct {
	client   *clientConn
	limits   *streamLimits
	source   io.Reader
	length   int64 // or lengthChunked
	deadline time.Time
	done     chan struct{} // closed once the body is no longer read from the client
	// Written before done is closed:
	err        error // of reading the body from the client
	isComplete bool  // the body was read and written to its end
	endedAt    time.Time

	mu      sync.Mutex
	read    int64 // bytes
	claimed bool
	stopped bool // the rest of the body is not needed any more
}

// errCallEnded stops an upload because its call has its final response.
var errCallEnded = errors.New("the call has ended")

// Read reads from the client within the limits.
func (up *uploadStream) Read(p []byte) (int, error) {
	if !up.extendDeadline() {
		return 0, errCallEnded
	}
	n, err := up.source.Read(p)
	if up.read += int64(n); up.read > up.limits.maxBytes {
		return n, errTooLong
	}
	return n, err
}

// extendDeadline sets the deadline of the next read. It returns false if the upload was stopped.
func (up *uploadStream) extendDeadline() bool {
	up.mu.Lock()
	defer up.mu.Unlock()
	if up.stopped {
		return false
	}
	deadline := time.Now().Add(up.limits.idleTimeout)
	if !deadline.Before(up.deadline) {
		deadline = up.deadline
	}
	up.client.setReadDeadline(deadline)
	return true
}

// claim reserves the body for an attempt. It returns false if another attempt has claimed it, or the upload was stopped.
func (up *uploadStream) claim() bool {
	up.mu.Lock()
	defer up.mu.Unlock()
	if up.claimed || up.stopped {
		return false
	}
	up.claimed = true
	return true
}

func (up *uploadStream) isClaimed() bool {
	up.mu.Lock()
	defer up.mu.Unlock()
	return up.claimed
}

// stop ends reading from the client, because the call has its final response.
func (up *uploadStream) stop() {
	up.mu.Lock()
	defer up.mu.Unlock()
	up.stopped = true
	up.client.setReadDeadline(interruptedAt)
}

// clearDeadline clears the deadline of the last read, unless the upload was stopped.
func (up *uploadStream) clearDeadline() {
	up.mu.Lock()
	defer up.mu.Unlock()
	if !up.stopped {
		up.client.setReadDeadline(time.Time{})
	}
}

// wait waits until the body is no longer read from the client.
func (up *uploadStream) wait() {
	if up.isClaimed() {
		<-up.done
	}
}

// isForwarded reports whether the body was forwarded to its end.
func (up *uploadStream) isForwarded() bool {
	select {
	case <-up.done:
		return up.isComplete
	default:
		return false
	}
}

// send writes a head and the body to a server. It returns an error if the body was not forwarded to its end; an error of reading
// from the client is also stored in up.err. OnHeadWritten is called once the server may have the head.
func (up *uploadStream) send(head []byte, first []byte, server io.Writer, onHeadWritten func()) (err error) {
	defer func() {
		up.isComplete, up.endedAt = err == nil && up.err == nil, time.Now()
		close(up.done)
	}()
	if _, err := server.Write(head); err != nil {
		return err
	}
	onHeadWritten()
	body := server
	if up.length == lengthChunked {
		body = &chunkWriter{server}
	}
	if len(first) > 0 {
		if _, err := body.Write(first); err != nil {
			return err
		}
	}
	if err := up.forward(body); err != nil {
		return err
	}
	if up.length == lengthChunked {
		_, err = io.WriteString(server, lastChunk)
	}
	return err
}

// forward forwards the body to its end.
func (up *uploadStream) forward(body io.Writer) error {
	buffer := make([]byte, streamBufferSize)
	for {
		n, readErr := up.Read(buffer)
		atEnd := errors.Is(readErr, io.EOF)
		if n > 0 && (readErr == nil || atEnd) {
			if _, err := body.Write(buffer[:n]); err != nil {
				return err
			}
		}
		if atEnd {
			return nil
		}
		if readErr != nil {
			if !errors.Is(readErr, errCallEnded) {
				up.err = readErr
			}
			return fmt.Errorf("body: %w", readErr)
		}
	}
}
