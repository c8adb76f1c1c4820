// Package exchange is one request on one connection, and what is certain of both: a state machine without I/O, with one function for
// its changes. Who reads and writes tells it what happened and goes by what it says. Its table is in docs/design/answers.md.
package exchange

// Fate is how far an exchange with a peer got, as far as this end can tell for certain.
type Fate uint8

// The fates.
const (
	NeverWritten Fate = iota // not all of the request left: it cannot have run
	Whole                    // its own answer came whole
	Broken                   // it was written, and then there was no sound answer
	TooLate                  // it was written, and no answer came in time
	CalledOff                // nobody wants the answer any more; it may have been written
)

// Stage is how far an exchange has come.
type Stage uint8

const (
	Resting   Stage = iota // nothing of a request has left, and nothing is owed
	Writing                // bytes of the request may have left, not all
	Asking                 // its head has left whole; its body waits for the peer's word that it takes it
	Awaiting               // all of it has left, and the head of its answer has not come
	Receiving              // the head of its own answer has come, and the answer not whole
	Over                   // its fate is certain
)

// Event is what the one who reads and writes has met.
type Event uint8

const (
	Begins    Event = iota // the first byte goes out
	Asks                   // the head is out, and the body waits
	Invited                // a 100 Continue to what asked
	Written                // the last byte is out
	Stray                  // a whole final answer that belongs to another request
	Owns                   // the head of the request's own final answer
	Finishes               // the last byte of that answer
	Mumbles                // bytes that are no answer, while the request has not left whole
	Breaks                 // a reset, an end, or bytes that are no answer
	Silence                // the time is over
	Abandoned              // nobody wants the answer any more
	Closes                 // the peer has said, or shown, that it closes the connection
	Surplus                // bytes that nobody asked for, behind an answer or at rest
)

// mostStrays are the answers to other requests that are passed over before the wanted one.
const mostStrays = 4

// Exchange is one request on one connection, and what is certain of both. The zero value is a connection at rest.
type Exchange struct {
	Stage  Stage
	Fate   Fate // once it is over
	strays uint8
	spoilt bool // the connection carries no request after this one
}

// Next is the exchange after an event. What cannot happen at a stage ends it, as one that may have run.
func (x Exchange) Next(h Event) Exchange {
	switch h {
	case Closes, Surplus:
		x.spoilt = true
		return x
	case Breaks, Silence, Abandoned:
		return x.cut(h)
	}
	switch {
	case x.Stage == Over: // what comes then is of no request
		x.spoilt = true
	case x.Stage == Resting && h == Begins:
		x.Stage = Writing
	case x.Stage == Writing && h == Asks:
		x.Stage = Asking
	case x.Stage == Asking && h == Invited:
		x.Stage = Writing
	case x.Stage == Writing && h == Written:
		x.Stage = Awaiting
	case h == Stray && x.Stage >= Writing && x.Stage <= Awaiting:
		if x.strays++; x.strays >= mostStrays {
			return x.cut(Breaks)
		}
	case h == Mumbles && x.Stage == Writing: // it has begun to answer what it does not have whole
		return x.end(Broken)
	case h == Owns && x.Stage >= Writing && x.Stage <= Awaiting:
		x.spoilt = x.spoilt || x.Stage == Writing // nobody can tell what of the request will be read
		x.Stage = Receiving
	case x.Stage == Receiving && h == Finishes:
		x.Stage, x.Fate = Over, Whole
	default:
		return x.cut(Breaks)
	}
	return x
}

// cut is the exchange after what ends it without an answer.
func (x Exchange) cut(h Event) Exchange {
	switch {
	case x.Stage == Over:
		x.spoilt = x.spoilt || h != Abandoned
		return x
	case x.Stage == Resting && h == Abandoned:
		return x
	case h == Abandoned:
		return x.end(CalledOff)
	case x.Stage < Awaiting && (x.Stage != Writing || x.strays == 0):
		return x.end(NeverWritten)
	case h == Silence:
		return x.end(TooLate)
	}
	return x.end(Broken)
}

func (x Exchange) end(f Fate) Exchange {
	x.Stage, x.Fate, x.spoilt = Over, f, true
	return x
}

// Reusable tells whether the connection may carry another request.
func (x Exchange) Reusable() bool {
	return !x.spoilt && (x.Stage == Resting || x.Stage == Over && x.Fate == Whole)
}

// Doubtful tells whether other answers came before the request's own: a word of that that it has not run is not to be believed, as one of
// the others may have been what it was given.
func (x Exchange) Doubtful() bool { return x.strays > 0 }

// Belongs tells whether an answer that names the requests got is the answer to the request want, which may have no name. One that names
// none can be anybody's: only a peer that is a program of our own, and answers each request in its turn, may leave the name out.
func Belongs(want string, got []string, own bool) bool {
	switch {
	case len(got) == 0 || len(got) == 1 && got[0] == "":
		return own || want == ""
	case len(got) == 1:
		return got[0] == want
	}
	return false
}
