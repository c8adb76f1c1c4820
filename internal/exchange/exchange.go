// Package exchange is the state machine of one HTTP exchange: a request on a connection, its response, and whether the request
// may have been executed. It does no I/O: the code that reads and writes reports events, and acts on the resulting state. One
// function, Next, makes all state changes. docs/design/answers.md has its table.
//
// Two rules depend on it. A request that may have been executed is sent again only if it is idempotent, so NotWritten must be
// certain. A server may begin as soon as it has the head, so from then on nothing is, unless the server is a program of this
// project, which reads the whole request first: for such a server HeadWritten is not reported. A connection carries another request
// only if no bytes on it can belong to an earlier one.
package exchange

// Outcome is the result of an exchange that is done.
type Outcome uint8

// The outcomes.
const (
	NotWritten       Outcome = iota // too little of the request was written for it to have been executed
	Completed                       // the response was received completely
	ConnectionFailed                // the request may have been executed, and no valid response was received
	TimedOut                        // the request may have been executed, and no response was received in time
	Canceled                        // the caller canceled the request, which may have been written
)

var outcomeNames = [...]string{"not_written", "completed", "connection_failed", "timed_out", "canceled"}

func (o Outcome) String() string { return outcomeNames[o] }

// State is the progress of an exchange.
type State uint8

// The states, in the order in which an exchange goes through them.
const (
	Idle             State = iota // no byte of a request was written, and no response is pending
	Writing                       // a part of the request may have been written, too little for its execution to begin
	WritingBody                   // the head was written to a server that may execute a request before it has read the body
	AwaitingContinue              // the request head was written, and the body waits for a 100 Continue
	AwaitingResponse              // the request was written, and the head of the response has not been received
	ReadingResponse               // the head of the response was received, the rest was not
	Done                          // the outcome is final
)

// Event is something that happened to an exchange or its connection.
type Event uint8

// The events.
const (
	WriteStarted      Event = iota // the first byte of the request is written
	HeadWritten                    // the last byte of the head was written, to a server that may begin before it has the body
	ContinueRequested              // the head was written, with Expect: 100-continue
	ContinueReceived               // a 100 Continue was received
	RequestWritten                 // the last byte of the request was written
	OtherResponse                  // a final response to another request was received
	ResponseStarted                // the head of the final response to this request was received
	ResponseCompleted              // the last byte of that response was received
	GarbageReceived                // bytes that are not a response, before the request was written completely
	ConnectionBroken               // a reset, an end of the stream, or bytes that are not a response
	DeadlineExceeded               // the deadline of the exchange has passed
	RequestCanceled                // the caller canceled the request
	PeerClosing                    // the peer announced that it closes the connection, or closed it
	UnexpectedBytes                // bytes after a response, or without a request
)

// maxOtherResponses is the number of responses to other requests at which the connection counts as broken.
const maxOtherResponses = 4

// Exchange is the state of one request on one connection. The zero value is an idle connection.
type Exchange struct {
	State          State
	Outcome        Outcome // once the state is Done
	otherResponses uint8
	unusable       bool // the connection must not carry another request
}

// Next returns the exchange after an event. An event that is impossible in a state ends the exchange as one whose
// request may have been executed.
func (x Exchange) Next(event Event) Exchange {
	switch event {
	case PeerClosing, UnexpectedBytes:
		x.unusable = true
		return x
	case ConnectionBroken, DeadlineExceeded, RequestCanceled:
		return x.abort(event)
	}
	switch {
	case x.State == Done: // the event belongs to no request
		x.unusable = true
	case x.State == Idle && event == WriteStarted:
		x.State = Writing
	case x.State == Writing && event == HeadWritten:
		x.State = WritingBody
	case x.State == Writing && event == ContinueRequested:
		x.State = AwaitingContinue
	case x.State == AwaitingContinue && event == ContinueReceived:
		x.State = Writing
	case x.IsWriting() && event == RequestWritten:
		x.State = AwaitingResponse
	case event == OtherResponse && x.State >= Writing && x.State <= AwaitingResponse:
		if x.otherResponses++; x.otherResponses >= maxOtherResponses {
			return x.abort(ConnectionBroken)
		}
	case event == GarbageReceived && x.IsWriting(): // the peer has responded to a part of the request
		return x.finish(ConnectionFailed)
	case event == ResponseStarted && x.State >= Writing && x.State <= AwaitingResponse:
		x.unusable = x.unusable || x.IsWriting() // it is unknown how much of the request the peer will read
		x.State = ReadingResponse
	case x.State == ReadingResponse && event == ResponseCompleted:
		x.State, x.Outcome = Done, Completed
	default:
		return x.abort(ConnectionBroken)
	}
	return x
}

// abort returns the exchange after an event that ends it without a response.
func (x Exchange) abort(event Event) Exchange {
	switch {
	case x.State == Done:
		x.unusable = x.unusable || event != RequestCanceled
		return x
	case x.State == Idle && event == RequestCanceled:
		return x
	case event == RequestCanceled:
		return x.finish(Canceled)
	case x.cannotHaveBegun():
		return x.finish(NotWritten)
	case event == DeadlineExceeded:
		return x.finish(TimedOut)
	}
	return x.finish(ConnectionFailed)
}

// IsWriting reports whether the request was written in part, as far as is known.
func (x Exchange) IsWriting() bool { return x.State == Writing || x.State == WritingBody }

// cannotHaveBegun reports whether the execution of the request cannot have begun. A response to another request is no proof that the
// server has not read this one.
func (x Exchange) cannotHaveBegun() bool {
	switch x.State {
	case Idle, AwaitingContinue:
		return true
	case Writing:
		return x.otherResponses == 0
	}
	return false
}

// finish returns the exchange with an outcome other than Completed: its connection is not used again.
func (x Exchange) finish(outcome Outcome) Exchange {
	x.State, x.Outcome, x.unusable = Done, outcome, true
	return x
}

// Reusable reports whether the connection may carry another request.
func (x Exchange) Reusable() bool {
	return !x.unusable && (x.State == Idle || x.State == Done && x.Outcome == Completed)
}

// SawOtherResponse reports whether responses to other requests were received before the request's own. Then a response that
// says that the request was not executed proves nothing, as one of the others may have been meant for it.
func (x Exchange) SawOtherResponse() bool { return x.otherResponses > 0 }

// ResponseMatches reports whether a response with these request ids is the response to a request, whose id may be empty. A
// response without an id may belong to any request; it is accepted only from a program of this project, which responds to
// requests in order.
func ResponseMatches(requestID string, responseIDs []string, peerIsOurs bool) bool {
	switch {
	case len(responseIDs) == 0 || len(responseIDs) == 1 && responseIDs[0] == "":
		return peerIsOurs || requestID == ""
	case len(responseIDs) == 1:
		return responseIDs[0] == requestID
	}
	return false
}
