package balancer

import "milletmast/internal/stats"

// sample is one outcome at a server: latency as a ratio to its class's threshold.
type sample struct{ at, ratio float64 }

// server is what this copy knows of one server, from its list and its own calls.
type server struct {
	ServerEntry
	listed            bool
	linked            bool    // it answered since a connection last failed
	asked             bool    // a probe is out
	held, heldAt      float64 // calls it holds, as it told a probe, and when
	home              float64 // part of this server that is this copy's own
	order             uint64  // its place in that in which all copies deal servers out
	inLive, inHomes   bool    // it is in those lists
	leaving           bool    // and in that of servers that no list named
	cold              bool
	measured          bool // has a load of its own; others take the mean
	cut               bool // at the floor since a run of failures
	out               int  // attempts sent and not answered, without streams that are bound
	streams           int  // those
	load, maxLoad     float64
	credit, accruedAt float64
	lastSent          float64
	heard             float64 // last answer, or first send since none was out
	closeAt           float64 // it drains: idle connections are closed once more then; 0 = not
	reviseAt, since   float64 // next revision, and since when good is counted
	run               float64 // failures in a run
	good, goods       int     // good answers since then, and in a row since the cut
	samples           [ringSize]sample
	count             int     // samples ever taken
	pace              float64 // mean ratio of its answers; 0 = none yet
}

func (s *server) ready() bool { return s.listed && s.State == Ready }

// attempt is one send of a request.
type attempt struct {
	server *server
	sentAt float64
	held   float64 // calls the server held with it, as far as told
	open   bool
	silent bool // it was called off, as its server said nothing
	bound  bool // it is a stream that takes no room
}

// doubt is an attempt that may have gone to a server that is silent, and when to look.
type doubt struct {
	at      float64
	request uint32
	attempt uint16
}

// request is one call that this copy has taken.
type request struct {
	id                uint32
	class, tenant     uint16
	ended             bool // a final answer was given or the client left
	inTime            bool // it was served within its aim
	queued, streaming bool
	once, shed        bool // it can be sent once; its host turns it away
	prefer            []uint32
	worth             float64 // against its class's
	most              int     // attempts that it may have, if it is told; 0 = not
	mayRun            bool    // some closed attempt may have run
	aimAt, due        float64
	backAt            float64 // held back until then; 0 = not
	readyAt           float64 // answers to its probes are waited for until then
	asks              int     // times it asked
	open              int
	attempts          []attempt
	firstRun          float64 // send time of the earliest attempt that may have run
	runServer         *server // the server of that attempt
}

// classState is what this copy has learned of a class.
type classState struct {
	threshold float64
	latency   float64 // mean of good answers
	share     float64 // of the calls that come
	served    float64 // part of its calls that are answered within the aim
	top       float64 // most that calls of late were worth, against the class's worth
}

// bucket is a tenant's local quota.
type bucket struct{ tokens, at, rate, most float64 }

// Balancer is one copy. It is not safe for concurrent use.
type Balancer struct {
	set             Settings
	rng             uint64
	now             float64
	acts            []Action
	byID            map[uint32]*server
	live            []*server // listed and ready, in the order heard of
	asked           int       // probes out
	heldMean        float64   // mean of what servers told
	turn            float64   // time that a call takes for each call its server held, where probes tell
	probing         bool
	leaving         []*server // no list names them; forgotten once nothing of theirs is out
	homes           []*server // of the own zone, in the order in which all copies deal them out
	requests        map[uint32]*request
	queue, spare    []*request
	sweepAt         float64 // when the first waiting call is to be given up
	classes         []classState
	tenants         []bucket
	pool            [poolSize]sample
	pooled          int
	backups         bool    // some server is a backup
	meanWeight      float64 // of the servers that have one
	measured, cuts  int     // servers with a load of their own; those of them that are cut
	meanLoad        float64 // mean load of those that are not
	sends, arrivals stats.DecayingRate
	meanAim         float64
	taken, further  stats.SlidingCounter // requests, and attempts that the retry budget counts
	doubts          []doubt              // of attempts of safe classes, the next one first
	closing         []*server            // draining, and to be closed once more
	budgetTold      bool                 // the site states the retry budget
	out             int                  // calls out at servers that are not cut
	room            float64              // most calls out at once; 0 = not bounded yet
	firstRoom       float64              // its start: replicas together must not overrun an unmeasured tier
	serving         float64              // servers that room is for: ready and not cut, a cold one in part
	warm            bool                 // one of them is warm
	roomAt          float64              // next revision of room
	typical, calm   float64              // mean ratio of answers, and its least: they show queueing
	calmFrom        float64
	connLost        float64 // part of late attempts that found no connection
	scratch         []float64
	silence         float64 // time without an answer after which a server with calls out is over threshold
	wakeAt          float64 // when the pending timer is due; 0 = none
	timer           uint64  // its number
	askAt           float64 // when the list is to be asked; 0 = not
	backoff         float64
	roomEach        float64                 // imported, for each server that serves
	remembered      map[uint32]ServerMemory // imported, of servers that no list has named yet
}
