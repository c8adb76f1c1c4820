package tide

// Query says what a replica asks of another.
type Query uint8

// The queries.
const (
	Look    Query = iota + 1 // how far it is with every register
	Collect                  // what it has accepted for a key
	Prepare                  // to promise a ballot for a key
	Accept                   // to accept a value at a ballot
	Chosen                   // to hear what is chosen
	Fetch                    // the registers of some keys
	Want                     // the body that has a digest
	Give                     // to take a body that the other said it lacks
)

// Ask is what one replica asks of another.
type Ask struct {
	To     string // the address of the other; the carrier's
	From   Member
	ID     uint64 // of the round that it belongs to; the answer repeats it
	Epoch  uint64 // that the asker goes by
	Set    *Set   // of that epoch, if the other may not know it
	Query  Query
	Key    string
	Ballot Ballot
	Have   Ballot // of Collect and Prepare: what the asker has accepted itself
	Same   Ballot // of Accept: the value is what the other has accepted at this ballot
	Value  *Value
	Sum    uint64 // of Look: digest of the asker's heads; of Want: of the body
	Heads  []Head // of Chosen
	Keys   []string
	Body   []byte // of Give
	Leaves bool   // the asker is about to end: it is to be replaced, if another waits
	Apart  bool   // the asker takes large bodies apart: values that it is told may be bare
}

// Tell is the answer to an Ask.
type Tell struct {
	ID       uint64
	From     Member
	Epoch    uint64
	Set      *Set   // if the asker goes by an older one
	Behind   bool   // the asker goes by an older epoch, or by one that the other lacks the set of: nothing was done
	Granted  bool   // promised, or accepted
	Lacks    bool   // the other does not hold the value that was to be the same
	Wants    uint64 // it does not hold the body of this digest, and has not asked for it of late
	Head     Head   // of the key
	Value    *Value // what it has accepted, if that is above what the asker has
	Same     bool   // its heads have the digest that the asker told
	Heads    []Head // else
	Hears    bool   // of a Look: it has heard the holder of the duty of late, or is it
	Register []Register
	Body     []byte // that was wanted
	Leaves   bool   // it is about to end
	Apart    bool   // it takes large bodies apart: values that it is asked about may be bare
}
