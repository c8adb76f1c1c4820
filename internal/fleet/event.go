package fleet

// EventKind is the kind of an Event.
type EventKind uint8

// The kinds of events, with the fields of Event that each uses.
const (
	Tick        EventKind = iota // time has passed
	Reported                     // Instance, Sequence, RequestSentAt, StartID, Hash, Health: an instance reports its state
	Confirmed                    // Instance, ChangeID, RequestSentAt, StartID, Hash: it has applied a change and serves requests under it
	Rejected                     // Instance, ChangeID, Reason: it has rejected a change and keeps its previous configuration
	ContactLost                  // Instance, Sequence: the instance or its agent does not respond
	Pause                        // command: start no change
	Resume                       // command: continue after a pause
	Abort                        // command: end the rollout now
	RollBack                     // command: restore the previous configuration of each changed instance
)

// Event is an input of Rollout.Step.
type Event struct {
	Kind          EventKind
	Instance      string
	Sequence      uint64  // of the report; a report whose number is not above the latest is ignored
	RequestSentAt float64 // when the request was sent to which this event is the response, in ms
	ChangeID      uint64
	StartID       string // differs for each start of the instance
	Hash          string // content hash of the configuration that the instance runs
	Reason        string
	Health        Health
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// The kinds of actions, with the fields of Action that each uses.
const (
	Apply         ActionKind = iota + 1 // Instance, Hash, ChangeID: have the instance apply a configuration
	RequestReport                       // Instance: have the instance report its state
	LogProgress                         // Text: for the operator
)

// Action is an output of Rollout.Step, which the caller carries out.
type Action struct {
	Kind     ActionKind
	Instance string
	Hash     string
	ChangeID uint64
	Text     string
}
