package fleet

// EventKind is the kind of an Event.
type EventKind uint8

// The kinds of events, with the fields of Event that each uses.
const (
	Tick        EventKind = iota // time has passed
	Reported                     // Instance, Sequence, AskedAt, StartID, Hash, Health: an instance reports its state
	Confirmed                    // Instance, ChangeID, AskedAt, StartID, Hash: it has applied a change and serves requests under it
	Rejected                     // Instance, ChangeID, Reason: it has refused a change and runs what it ran before
	ContactLost                  // Instance, Sequence: neither it nor its agent answers
	Pause                        // command: start no change
	Resume                       // command: continue after a pause
	Abort                        // command: end now
	RollBack                     // command: give each changed instance its previous configuration
)

// Event is an input of Rollout.Step.
type Event struct {
	Kind     EventKind
	Instance string
	Sequence uint64  // of the report; one that is not higher than the latest is out of date and ignored
	AskedAt  float64 // when the request was sent that this answers, in ms
	ChangeID uint64
	StartID  string // differs for each start of the instance
	Hash     string // content hash of the configuration that the instance runs
	Reason   string
	Health   Health
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
