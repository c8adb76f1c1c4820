package sidecar

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"os"
	"strconv"
	"time"

	"milletmast/internal/exchange"
)

// Exchange describes one request to a server of the mesh and the response that is accepted.
type Exchange struct {
	Head          func(left time.Duration) []byte // returns the head for the time left, without Content-Length and the empty line
	Body          []byte
	OmitLength    bool   // an empty body is sent without Content-Length
	IsHead        bool   // the method is HEAD: the response has no body, whatever length it announces
	ID            string // required in X-Attempt-Id of the response; see exchange.ResponseMatches
	PeerIsProxy   bool   // the server is a proxy of the mesh: it reads the whole request first, responds in order and may omit the id
	MaxReplyBytes int64  // limit of the response body

	// ContinueTimeout is how long to wait for a 100 Continue of a proxy. Until it arrives, the body is not sent and the request cannot
	// have been executed. With 0, an empty body or another server, the request is sent at once.
	ContinueTimeout time.Duration
}

// awaitsContinue reports whether the body is sent only after a 100 Continue.
func (ex *Exchange) awaitsContinue() bool {
	return ex.PeerIsProxy && ex.ContinueTimeout > 0 && len(ex.Body) > 0
}

// interruptedAt is a deadline in the past, which interrupts reads and writes at once.
var interruptedAt = time.Unix(1, 0)

// roundTrip sends a request to a server over an idle or a new connection. It returns the outcome, and the response if the exchange
// was completed.
func (u *upstream) roundTrip(a *attempt, e *endpoint, ex *Exchange, deadline time.Time) (exchange.Outcome, *Reply) {
	defer a.cancel()
	c, err := u.connect(a.ctx, e, deadline)
	for err == nil && !ex.PeerIsProxy && c.hasCarried(ex.ID) {
		u.discard(c)
		c, err = u.connect(a.ctx, e, deadline)
	}
	if err != nil {
		return exchange.NotWritten, nil
	}
	idleFor := time.Duration(0)
	if !c.idleSince.IsZero() {
		idleFor = time.Since(c.idleSince)
	}
	stop := context.AfterFunc(a.ctx, func() { _ = c.SetDeadline(interruptedAt) })
	defer func() { u.giveBack(c, stop() && c.exchange.Reusable()) }() // after a panic too
	reply := u.sendAndReceive(a, c, ex, deadline)
	outcome := c.exchange.Outcome
	u.learnIdleLimit(idleFor, outcome)
	return outcome, reply
}

// sendAndReceive sends a request over a connection and returns the response of a completed exchange; nil otherwise. The outcome is
// in the connection's exchange.
func (u *upstream) sendAndReceive(a *attempt, c *conn, ex *Exchange, deadline time.Time) *Reply {
	_ = c.SetDeadline(deadline) // fails only on a closed connection, and then the write fails too
	head := ex.encodeHead(deadline)
	if !a.mayWrite() {
		c.apply(exchange.RequestCanceled)
		return nil
	}
	c.apply(exchange.WriteStarted)
	c.recordID(ex.ID)
	if ex.awaitsContinue() {
		if _, err := c.Write(head.Bytes()); err != nil {
			c.applyError(a, err)
			return nil
		}
		c.apply(exchange.ContinueRequested)
		if continueBy := time.Now().Add(ex.ContinueTimeout); continueBy.Before(deadline) {
			c.setReadDeadline(a, continueBy)
		}
	} else if err := c.writeRequest(head, ex.Body, ex.PeerIsProxy); err == nil {
		u.recordWritten(c)
	} else if !mayHaveResponded(a, err) {
		c.applyError(a, err)
		return nil
	}
	reply, err := u.receive(a, c, ex, deadline)
	if err != nil {
		c.applyError(a, err)
		return nil
	}
	return reply
}

// encodeHead returns the head of the request.
func (ex *Exchange) encodeHead(deadline time.Time) *bytes.Buffer {
	var head bytes.Buffer
	head.Write(ex.Head(max(time.Until(deadline), 0)))
	if len(ex.Body) > 0 || !ex.OmitLength {
		writeContentLength(&head, int64(len(ex.Body)))
	}
	if ex.awaitsContinue() {
		head.WriteString("Expect: 100-continue\r\n")
	}
	head.WriteString("\r\n")
	return &head
}

// setReadDeadline sets the deadline for reading, unless the attempt was canceled.
func (c *conn) setReadDeadline(a *attempt, deadline time.Time) {
	_ = c.SetReadDeadline(deadline) // fails only on a closed connection, and then the read fails too
	if a.ctx.Err() != nil {
		_ = c.SetReadDeadline(interruptedAt)
	}
}

// recordWritten records that a request was written in full.
func (u *upstream) recordWritten(c *conn) {
	c.apply(exchange.RequestWritten)
	u.written.Add(1)
}

// mayHaveResponded reports whether a server may have responded before a write failed. Then its response is read.
func mayHaveResponded(a *attempt, err error) bool {
	return a.ctx.Err() == nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// receive reads responses up to the request's own final one. A body that waits for a 100 Continue is written when it arrives. The
// response is nil if the exchange ends before.
func (u *upstream) receive(a *attempt, c *conn, ex *Exchange, deadline time.Time) (*Reply, error) {
	for interim := 0; c.exchange.State != exchange.Done; {
		if _, err := c.reader.Peek(1); err != nil {
			return nil, err
		}
		wasWriting := c.exchange.IsWriting()
		reply, err := u.receiveOne(a, c, ex, deadline)
		switch {
		case err != nil && wasWriting:
			c.apply(exchange.GarbageReceived)
			return nil, err
		case err != nil || reply != nil && reply.Status >= http.StatusOK:
			return reply, err
		case reply == nil: // the response belongs to another request
			continue
		}
		if interim++; interim > maxInterim {
			return nil, errTooLong
		}
		if reply.Status == http.StatusContinue && c.exchange.State == exchange.AwaitingContinue {
			c.setReadDeadline(a, deadline)
			c.apply(exchange.ContinueReceived)
			if _, err := c.Write(ex.Body); err != nil {
				return nil, err
			}
			u.recordWritten(c)
		}
	}
	return nil, nil
}

// receiveOne reads one response, interim or final; nil if it belongs to another request.
func (u *upstream) receiveOne(a *attempt, c *conn, ex *Exchange, deadline time.Time) (*Reply, error) {
	m, err := readMessage(c.reader)
	if err != nil {
		return nil, err
	}
	status, err := m.status()
	if err != nil || status < http.StatusOK {
		return &Reply{Status: status}, err
	}
	isOwn := exchange.ResponseMatches(ex.ID, m.header["X-Attempt-Id"], ex.PeerIsProxy)
	if c.exchange.State == exchange.AwaitingContinue {
		c.setReadDeadline(a, deadline)
	}
	noBody := ex.IsHead || hasNoBody(status)
	endsWithConnection := m.length == lengthUnknown && !noBody
	if endsWithConnection && !ex.mayEndWithConnection(c) {
		return nil, errBadLength
	}
	if isOwn {
		c.apply(exchange.ResponseStarted)
	}
	var body []byte
	switch {
	case noBody:
	case endsWithConnection:
		c.apply(exchange.PeerClosing)
		body, err = readBodyToEnd(c.reader, ex.MaxReplyBytes)
	default:
		body, err = readBodyUpTo(c.reader, m.length, ex.MaxReplyBytes)
	}
	if err != nil {
		return nil, err
	}
	if !isOwn {
		c.apply(exchange.OtherResponse)
		return nil, nil
	}
	c.completeResponse(&m)
	u.applyKeepAlive(m.header)
	return &Reply{Status: status, Header: endToEnd(m.header), Body: body, AfterOtherResponse: c.exchange.SawOtherResponse()}, nil
}

// mayEndWithConnection reports whether the end of the connection can complete a response without a length. A proxy of the mesh always
// announces a length. After a write that failed, a reset cannot be distinguished from an end of the stream: the write has consumed it.
func (ex *Exchange) mayEndWithConnection(c *conn) bool {
	return !ex.PeerIsProxy && !c.exchange.IsWriting()
}

// WriteLine writes one header line. Line breaks in the value are replaced by spaces.
func WriteLine(b *bytes.Buffer, name, value string) {
	writeHeader(b, http.Header{name: {value}}, "")
}

// WriteLines writes headers, in any order.
func WriteLines(b *bytes.Buffer, h http.Header) { writeHeader(b, h, "") }

// maxDeadlineMS is the largest remaining time that a header may give, in ms.
const maxDeadlineMS = 1e9

// Deadline parses the remaining time that a header gives in milliseconds. It returns given = false if the header is missing, and
// ok = false if its value is invalid.
func Deadline(h http.Header, name string) (left time.Duration, given, ok bool) {
	text := h.Get(name)
	if text == "" {
		return 0, false, true
	}
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || !(ms > 0) || ms > maxDeadlineMS { // !(ms > 0) also rejects NaN
		return 0, true, false
	}
	return millis(ms), true, true
}
