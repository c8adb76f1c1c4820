package consensus

// MessageType is the type of a request.
type MessageType uint8

// The types of requests.
const (
	MsgStates    MessageType = iota + 1 // returns the states of all registers, for a quorum read
	MsgRead                             // returns the value that was accepted for a key
	MsgPrepare                          // promises a ballot for a key
	MsgAccept                           // accepts a value at a ballot
	MsgCommit                           // announces committed ballots
	MsgFetch                            // returns the registers of some keys
	MsgFetchBody                        // returns the body with a digest
	MsgBody                             // delivers a body that the receiver lacks
)

// Request is a request of one replica to another.
type Request struct {
	To             string // the address of the receiver, for the transport
	From           Member
	ID             uint64       // identifies the round or the quorum read; the response repeats it
	Epoch          uint64       // of the sender
	Voters         *VoterConfig // the configuration of that epoch, if the receiver may lack it
	Type           MessageType
	Key            string
	Ballot         Ballot
	Accepted       Ballot // MsgRead and MsgPrepare: the ballot that the sender has accepted
	SameAs         Ballot // MsgAccept without a value: the ballot at which the receiver has accepted the value
	Value          *Value
	Digest         uint64          // MsgStates: digest of the sender's states; MsgFetchBody: digest of the body
	States         []RegisterState // MsgCommit: the committed ballots
	Keys           []string
	Body           []byte // MsgBody: the body
	Leaving        bool   // the sender shuts down soon and is to be replaced, if a learner is available
	DetachedBodies bool   // the sender accepts values whose large bodies are replaced by a digest
}

// Response is the response to a Request.
type Response struct {
	ID               uint64
	From             Member
	Epoch            uint64
	Voters           *VoterConfig    // if the sender of the request has an older configuration
	StaleEpoch       bool            // the epochs differ: the request had no effect
	Granted          bool            // the ballot was promised, or the value accepted
	MissingValue     bool            // the receiver has not accepted the value that Request.SameAs names
	MissingBody      uint64          // digest of a body that the receiver needs; 0 for none
	State            RegisterState   // of the key
	Value            *Value          // the accepted value, if its ballot is above Request.Accepted
	SameStates       bool            // the digest of the states equals Request.Digest
	States           []RegisterState // the states, if the digests differ
	CoordinatorAlive bool            // MsgStates: the receiver is the coordinator, or has received a message from it recently
	Registers        []Register
	Body             []byte // MsgFetchBody: the body
	Leaving          bool   // the receiver shuts down soon
	DetachedBodies   bool   // the receiver accepts values whose large bodies are replaced by a digest
}
