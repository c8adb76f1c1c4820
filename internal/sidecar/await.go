package sidecar

import (
	"errors"
	"os"
	"time"
)

// awaitResponse executes a call and waits for its final response. It returns false if the client disconnects first.
func (f *frontend) awaitResponse(c *clientConn, t *intakeResult) (response, bool) {
	k, loop := t.call, t.loop
	responded := make(chan response, 1)
	upload := k.http.upload
	if upload != nil {
		k.respond = func(r response) {
			responded <- r
			upload.stop()
		}
	} else {
		k.respond = func(r response) {
			c.setReadDeadline(interruptedAt) // interrupts Peek; set before the response is sent, or it would interrupt the next read
			responded <- r
		}
	}
	k.setDue(loop.toMillis(time.Now()))
	c.setReadDeadline(time.Time{})
	f.clients.requestStarted(c)
	loop.post(func() { loop.startCall(k) })
	if upload != nil {
		if r, ok, final := f.awaitUpload(c, k, loop, responded); final {
			return r, ok
		}
	}
	_, err := c.reader.Peek(1) // returns when the client disconnects or sends its next request, or when k.respond interrupts it
	if r, ok := pollResponse(responded); ok {
		return r, true
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		loop.post(func() { loop.clientLeft(k) })
		return response{}, false
	}
	select {
	case r := <-responded:
		return r, true
	case <-loop.stopped:
		return pollResponse(responded)
	}
}

// awaitUpload waits until a streamed body has been forwarded, or the call has ended before. Final reports that r and ok are
// the result of awaitResponse.
func (f *frontend) awaitUpload(c *clientConn, k *call, loop *eventLoop, responded chan response) (r response, ok, final bool) {
	upload := k.http.upload
	select {
	case r = <-responded:
		loop.post(func() { loop.abortAttempts(k) })
		if upload.wait(); upload.err == nil {
			return r, true, true
		}
	case <-upload.done:
		switch {
		case upload.err != nil:
			loop.do(func() { loop.clientLeft(k) })
		case !upload.isForwarded(): // the server did not read all of it: the event loop decides how to continue
			select {
			case r = <-responded:
				return r, true, true
			case <-loop.stopped:
				r, ok = pollResponse(responded)
				return r, ok, true
			}
		default:
			upload.clearDeadline()
			return r, false, false
		}
	case <-loop.stopped:
		r, ok = pollResponse(responded)
		return r, ok, true
	}
	f.rejectUnreadable(c, upload.err)
	return r, false, true
}
