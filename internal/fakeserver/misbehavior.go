package fakeserver

import (
	"math/rand/v2"
	"net/http"
)

// CloseMode is the way in which a connection ends in the middle of a message.
type CloseMode uint8

// The close modes.
const (
	CloseGracefully CloseMode = iota
	CloseByReset
	CloseWriteSide // the server closes its sending side, and reads until the client closes
	StopReading    // the server sends nothing more, and discards input until the client closes
	closeModes
)

// ExtraMessage is a message that a server sends without a request for it.
type ExtraMessage uint8

// The extra messages.
const (
	NoExtra             ExtraMessage = iota
	RepeatResponse                   // the last response again
	RejectionForRequest              // a rejection with the id of the last request
	FailureWithoutID                 // a failure without an id
	RejectionWithoutID               // a rejection without an id
	OtherResponse                    // a sealed success of a request that was never sent
	ExtraContinue                    // an interim response
	ExtraGarbage                     // bytes that are not a response
	TruncatedResponse                // the start of the last response, cut in the status line or a header
	extraMessages
)

// ExtraTime is when an extra message is sent.
type ExtraTime uint8

// The times of an extra message.
const (
	WithResponse  ExtraTime = iota // in one write with the response
	AfterResponse                  // a little later, while the connection is idle or the next request is being sent
	InsteadOfNext                  // in place of the next response, once the next request has started to arrive
	extraTimes
)

// The modes of the ids in a response.
const (
	idOfRequest = iota
	idOfOther
	idMissing
	idOfBoth
	idModes
)

// Misbehavior is what a MisbehavingServer does with one request.
type Misbehavior struct {
	Rejects           bool // it rejects the request and does not execute it
	Status            int  // of a request that is executed
	EarlyResponse     bool // it responds before it has read the body
	Interims          int  // interim responses before the final one
	SpareContinue     bool // an interim response between the head and the body of the request
	IDMode            int  // the id of the response: 0 the request's, 1 another, 2 none, 3 both
	Chunked           bool
	Unframed          bool // the response has no length and ends with its connection
	Malformed         bool // the length of a chunk, or the status line, is invalid
	MissingBytes      int  // number of bytes by which the announced length exceeds the sent body
	OmitSeal          bool
	ClaimsNotExecuted bool // a success says that the request was not executed
	CloseAfter        bool // the response says that the connection ends, and it does
	CutInRequest      int  // bytes of the body that are read before the connection ends; 0 for all
	BeginsEarly       bool // with CutInRequest, it begins to execute the request before it has read more of the body
	CutInResponse     int  // bytes of the response that are written before the connection ends; -1 for all
	CloseMode         CloseMode
	Extra             ExtraMessage
	ExtraTime         ExtraTime
}

// statusesOfRandom are the statuses that RandomMisbehavior draws from.
var statusesOfRandom = []int{201, 204, 400, 404, 408, 421, 429, 500, 503, 504}

// Bounds of what RandomMisbehavior draws, in bytes.
const (
	maxCutInResponse = 260
	maxCutInRequest  = 400
	maxMissingBytes  = 50
	maxInterims      = 3
)

// RandomMisbehavior draws a misbehavior. Half of them are plain responses, so that connections last and requests are served.
func RandomMisbehavior(r *rand.Rand) Misbehavior {
	m := Misbehavior{Status: http.StatusOK, CutInResponse: -1}
	oneIn := func(n int) bool { return r.IntN(n) == 0 }
	if oneIn(5) {
		m.Status = statusesOfRandom[r.IntN(len(statusesOfRandom))]
	}
	m.Rejects, m.Chunked = oneIn(8), oneIn(3)
	if oneIn(2) {
		return m
	}
	m.EarlyResponse = oneIn(8)
	m.CloseAfter = oneIn(12)
	m.OmitSeal = oneIn(20)
	m.ClaimsNotExecuted = oneIn(25)
	m.Malformed = oneIn(25)
	m.SpareContinue = oneIn(8)
	m.CloseMode = CloseMode(r.IntN(int(closeModes)))
	if oneIn(4) {
		m.Interims = 1 + r.IntN(maxInterims)
	}
	if oneIn(8) {
		m.IDMode = r.IntN(idModes)
	}
	switch r.IntN(8) {
	case 0:
		m.CutInResponse = r.IntN(maxCutInResponse)
	case 1:
		m.CutInRequest = 1 + r.IntN(maxCutInRequest)
	case 2:
		m.MissingBytes = 1 + r.IntN(maxMissingBytes)
	}
	if oneIn(2) && m.MissingBytes == 0 { // otherwise the extra message would be read as the end of the body
		m.Extra, m.ExtraTime = ExtraMessage(r.IntN(int(extraMessages))), ExtraTime(r.IntN(int(extraTimes)))
	}
	if oneIn(12) {
		m.omitLength()
	}
	m.BeginsEarly = m.CutInRequest > 0 && oneIn(2)
	return m
}

// omitLength makes the response end with its connection. Of such a response, only a reset shows that it is incomplete, and no byte after
// it belongs to another message.
func (m *Misbehavior) omitLength() {
	m.Unframed, m.Chunked, m.MissingBytes, m.Extra = true, false, 0, NoExtra
	if m.CutInResponse >= 0 && m.CloseMode != StopReading {
		m.CloseMode = CloseByReset
	}
}
