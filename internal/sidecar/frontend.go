package sidecar

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"milletmast/balancer"
)

// Status codes of the sidecar's own final responses.
const (
	statusRefused = http.StatusServiceUnavailable // certain that nothing of the request was executed
	statusFailed  = http.StatusBadGateway
)

// Limits of client connections.
const (
	defaultIdleTimeout = 2200 * time.Millisecond // between two requests, and between two parts of a body
	defaultHeadTimeout = 2600 * time.Millisecond // from the first byte of a head to its last
	minBodyRate        = 16 << 10                // bytes of a body a second, after the idle timeout
	platformUploadTime = time.Minute             // for a body that is streamed
)

// Times of a graceful shutdown.
const (
	acceptTime         = 600 * time.Millisecond  // after SIGTERM; clients may open new connections for up to 0.4 s
	platformFinishTime = 1300 * time.Millisecond // before the end of the drain; from then on each response closes its connection
	finalWriteTime     = 150 * time.Millisecond  // for the responses to requests that are abandoned at the end
	acceptQueueTime    = 100 * time.Millisecond  // for connections that are queued at a listener that was replaced
	finalIdleTime      = 500 * time.Millisecond  // before the end; from then on a replaced process closes idle connections
)

// frontend accepts HTTP/1.1 requests from clients and responds to them. Its intake decides what a request is and which event
// loop executes it. There is one intake for the platform's protocol, one for listeners of an operator file and one for a Port.
type frontend struct {
	loop         *eventLoop // of the platform's protocol; otherwise the intake chooses one
	settings     *balancer.Settings
	classes      map[string]uint16
	tenants      map[string]uint16
	intake       func(*clientConn, *message) intakeResult
	isUsable     func() bool // whether there is a server to send requests to; nil if the frontend has no readiness check
	clients      *clientConns
	conns        sync.WaitGroup
	panics       panicCount
	draining     atomic.Bool   // reports that it is not ready any more
	closing      atomic.Bool   // every response closes its connection
	acceptTime   time.Duration // from SIGTERM until no new connection is accepted
	idleTimeout  time.Duration // see defaultIdleTimeout
	headTimeout  time.Duration // see defaultHeadTimeout
	uploadBounds streamLimits  // of the platform's requests
}

// intakeResult is the decision of an intake on the head of a request: a call and the event loop that executes it, a response, or a
// server for the request with its body.
type intakeResult struct {
	call *call
	loop *eventLoop
	// The request is invalid if there is neither a call nor a response nor a server; its connection ends.
	status int
	reason string

	response     *response                    // the final response; the connection is kept
	streamBounds *streamLimits                // of bodies over maxBufferedBody; nil if they are not streamed
	bodyUnread   bool                         // used with response: a client that waits for a 100 Continue sends no body
	release      func()                       // called once the request is over; may be nil
	dropBody     bool                         // the body is read and not forwarded
	replace      func(*response) *replacement // returns the replacement of a response, nil for none; the function is nil if there never is one
	serve        bodyServer                   // serves the request with its complete body
	maxBody      int64                        // used with serve, in bytes
}

// newPlatformFrontend returns the frontend of the platform's protocol, with at most maxConns connections.
func newPlatformFrontend(l *eventLoop, settings *balancer.Settings, maxConns int) *frontend {
	f := &frontend{
		loop:         l,
		settings:     settings,
		acceptTime:   acceptTime,
		idleTimeout:  defaultIdleTimeout,
		headTimeout:  defaultHeadTimeout,
		clients:      newClientConns(maxConns),
		uploadBounds: streamLimits{maxBytes: maxPlatformBody, idleTimeout: defaultIdleTimeout, totalTime: platformUploadTime},
	}
	f.classes, f.tenants = nameIndexes(settings)
	f.intake = f.intakePlatform
	f.isUsable = func() bool { return l.counts.usable.Load() > 0 }
	return f
}

// serve accepts connections until the listener is closed.
func (f *frontend) serve(ln net.Listener) { f.clients.serve(ln, f.serveConnRecovered, &f.conns) }

// serveConn serves the requests of one connection, one after the other, until either side closes it.
func (f *frontend) serveConn(c *clientConn) {
	for keep := true; keep; {
		c.setReadDeadline(time.Now().Add(f.idleTimeout))
		if skipEmpty(c.reader) != nil {
			return
		}
		c.setReadDeadline(time.Now().Add(f.headTimeout))
		m, err := readMessage(c.reader)
		if err != nil {
			f.rejectUnreadable(c, err)
			return
		}
		keep = m.keepsAlive() && !f.closing.Load()
		if m.length == lengthUnknown { // a request without a length has no body
			m.length = 0
		}
		if f.isUsable != nil && m.startLine == "GET /-/ready HTTP/1.1" && m.length == 0 {
			if c.writeResponse(&response{status: f.readyStatus()}, !keep) != nil {
				return
			}
			continue
		}
		if !f.handleRequest(c, &m, &keep) {
			return
		}
	}
}

// handleRequest handles one request whose head has been read. It returns false if the connection has to end; it clears keep if
// the response has announced that it ends.
func (f *frontend) handleRequest(c *clientConn, m *message, keep *bool) bool {
	expectsContinue := m.length != 0 && m.hasToken("Expect", "100-continue")
	t := f.intake(c, m)
	if t.release != nil {
		defer t.release()
	}
	switch {
	case t.response != nil && (m.length == 0 || expectsContinue):
		*keep = *keep && (m.length == 0 || t.bodyUnread)
		return c.writeResponse(t.response, !*keep) == nil
	case t.response != nil:
		c.respondAndClose(t.response)
		return false
	case t.serve != nil:
		return f.serveBuffered(c, m, &t, expectsContinue, keep)
	case t.call == nil:
		c.reject(t.status, t.reason)
		return false
	}
	if expectsContinue {
		_ = c.writeContinue() // an error is reported when the body is read
	}
	if !f.receiveBody(c, m, &t) {
		return false
	}
	return f.executeCall(c, &t, keep)
}

// receiveBody reads the body of a request, or the first part of one that is streamed. It returns false if it is unreadable.
func (f *frontend) receiveBody(c *clientConn, m *message, t *intakeResult) bool {
	request := &t.call.http
	c.startBody(f.idleTimeout, m.length)
	var err error
	if t.streamBounds != nil {
		request.body, request.upload, err = t.streamBounds.beginBody(c, m.length)
	} else {
		request.body, err = readBody(c.reader, m.length)
	}
	c.endBody()
	if err != nil {
		f.rejectUnreadable(c, err)
		return false
	}
	if t.dropBody {
		request.body = nil
	}
	return true
}

// executeCall executes a call and writes the response. It returns false if the connection has to end.
func (f *frontend) executeCall(c *clientConn, t *intakeResult, keep *bool) bool {
	request := &t.call.http
	r, ok := f.awaitResponse(c, t)
	if ok && t.replace != nil {
		r, ok = f.replaceResponse(c, t, r)
	}
	if !ok {
		return false
	}
	if up := request.upload; up != nil && !up.isForwarded() { // the client is still sending the body, so its next request cannot be found
		c.respondAndClose(&r)
		return false
	}
	*keep = *keep && !f.closing.Load() && (r.status/100 != 4 || request.fromListener)
	var err error
	if r.stream != nil {
		err = c.streamResponse(&r, !*keep, request.http10)
	} else {
		err = c.writeResponse(&r, !*keep)
	}
	f.clients.requestEnded(c)
	return err == nil
}

// rejectUnreadable responds to bytes that cannot be read as a request. A connection that timed out or broke is closed without a
// response.
func (f *frontend) rejectUnreadable(c *clientConn, err error) {
	var netErr net.Error
	switch {
	case errors.Is(err, errTooLong):
		c.reject(http.StatusRequestEntityTooLarge, err.Error())
	case errors.As(err, &netErr), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
	default:
		c.reject(http.StatusBadRequest, err.Error())
	}
}

// readyStatus returns the status of the readiness check: 200 if there is a server to send requests to, and the frontend
// is not draining.
func (f *frontend) readyStatus() int {
	if f.draining.Load() || !f.isUsable() {
		return http.StatusServiceUnavailable
	}
	return http.StatusOK
}

// drain ends the frontend of the platform's protocol gracefully, see drainFrontends.
func (f *frontend) drain(ln net.Listener, drainTime time.Duration) {
	listeners := []drainingListener{{frontend: f, listener: ln}}
	drainFrontends(listeners, f.clients, f.acceptTime, drainTime, func() { f.loop.post(f.loop.answerAll) })
}

// handOver ends the frontend after another process has taken over, which gets the new connections. Each response of this process
// closes its connection. Idle connections are kept open while there is time, as a client may send a request while one is closed.
func (f *frontend) handOver(ln net.Listener, drainTime time.Duration) {
	startedAt := time.Now()
	f.draining.Store(true)
	f.closing.Store(true)
	time.Sleep(acceptQueueTime)
	ln.Close()
	f.clients.wait(startedAt.Add(drainTime - finalIdleTime))
	timer := time.AfterFunc(time.Until(startedAt.Add(drainTime)), func() { f.loop.post(f.loop.answerAll) })
	defer timer.Stop()
	f.clients.drain(startedAt.Add(drainTime + finalWriteTime))
}
