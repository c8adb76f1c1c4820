package balancer

import "milletmast/internal/stats"

// sample is one outcome at a server: latency as a ratio to its class's threshold.
type sample struct{ at, ratio float64 }

// server is what this copy knows of one server, from its list and its own calls.
type server struct {
	ServerEntry
	listed                     bool
	connected                  bool    // it answered since a connection last failed
	probePending               bool    // a probe is out
	queueLength, queueLengthAt float64 // calls it holds, as it told a probe, and when
	homeShare                  float64 // part of this server that is this copy's own
	hashOrder                  uint64  // its place in that in which all copies deal servers out
	inUsable, inHomes          bool    // it is in those lists
	leaving                    bool    // and in that of servers that no list named
	warmingUp                  bool
	measured                   bool // has a load of its own; others take the mean
	ejected                    bool // at the floor since a run of failures
	inFlight                   int  // attempts sent and not answered, without streams that are bound
	boundStreams               int  // those
	load, maxLoad              float64
	credit, accruedAt          float64
	lastSent                   float64
	lastHeard                  float64 // last answer, or first send since none was out
	closeIdleAt                float64 // it drains: idle connections are closed once more then; 0 = not
	updateAt, successesSince   float64 // next revision, and since when good is counted
	failureRun                 float64 // failures in a run
	successes, successRun      int     // good answers since then, and in a row since the cut
	samples                    [serverSamples]sample
	sampleCount                int     // samples ever taken
	latencyRatio               float64 // mean ratio of its answers; 0 = none yet
}

func (s *server) isReady() bool { return s.listed && s.State == Ready }

// attempt is one send of a request.
type attempt struct {
	server        *server
	sentAt        float64
	queuePosition float64 // calls the server held with it, as far as told
	open          bool
	calledOff     bool // it was called off, as its server said nothing
	longLived     bool // it is a stream that takes no room
}

// doubt is an attempt that may have gone to a server that is silent, and when to look.
type silenceCheck struct {
	at      float64
	request uint32
	attempt uint16
}

// request is one call that this copy has taken.
type request struct {
	id                  uint32
	class, tenant       uint16
	ended               bool // a final answer was given or the client left
	onTime              bool // it was served within its aim
	queued, streaming   bool
	notRepeatable, shed bool // it can be sent once; its host turns it away
	preferred           []uint32
	priority            float64 // against its class's
	maxAttempts         int     // attempts that it may have, if it is told; 0 = not
	mayHaveRun          bool    // some closed attempt may have run
	targetAt, deadline  float64
	heldBackUntil       float64 // held back until then; 0 = not
	probesUntil         float64 // answers to its probes are waited for until then
	probeRounds         int     // times it asked
	openAttempts        int
	attempts            []attempt
	firstRunAt          float64 // send time of the earliest attempt that may have run
	firstRunServer      *server // the server of that attempt
}

// classState is what this copy has learned of a class.
type classState struct {
	threshold    float64
	meanLatency  float64 // mean of good answers
	requestShare float64 // of the calls that come
	onTimeShare  float64 // part of its calls that are answered within the aim
	maxPriority  float64 // most that calls of late were worth, against the class's worth
}

// bucket is a tenant's local quota.
type tokenBucket struct{ tokens, at, rate, burst float64 }

// Balancer is one copy. It is not safe for concurrent use.
type Balancer struct {
	settings                      Settings
	rng                           uint64
	now                           float64
	actions                       []Action
	servers                       map[uint32]*server
	usable                        []*server // listed and ready, in the order heard of
	pendingProbes                 int       // probes out
	meanQueueLength               float64   // mean of what servers told
	serviceTime                   float64   // time that a call takes for each call its server held, where probes tell
	probesEnabled                 bool
	leaving                       []*server // no list names them; forgotten once nothing of theirs is out
	homes                         []*server // of the own zone, in the order in which all copies deal them out
	requests                      map[uint32]*request
	queue, freeRequests           []*request
	expireAt                      float64 // when the first waiting call is to be given up
	classes                       []classState
	tenants                       []tokenBucket
	tierWindow                    [tierSamples]sample
	tierSampleCount               int
	hasBackups                    bool    // some server is a backup
	meanWeight                    float64 // of the servers that have one
	measuredCount, ejectedCount   int     // servers with a load of their own; those of them that are cut
	meanLoad                      float64 // mean load of those that are not
	sendRate, arrivalRate         stats.DecayingRate
	meanTarget                    float64
	recentRequests, recentRetries stats.SlidingCounter // requests, and attempts that the retry budget counts
	silenceChecks                 []silenceCheck       // of attempts of safe classes, the next one first
	closingIdle                   []*server            // draining, and to be closed once more
	hasSiteBudget                 bool                 // the site states the retry budget
	inFlight                      int                  // calls out at servers that are not cut
	concurrencyLimit              float64              // most calls out at once; 0 = not bounded yet
	initialLimit                  float64              // its start: replicas together must not overrun an unmeasured tier
	servingCount                  float64              // servers that room is for: ready and not cut, a cold one in part
	hasWarm                       bool                 // one of them is warm
	limitUpdateAt                 float64              // next revision of room
	meanRatio, baseRatio          float64              // mean ratio of answers, and its least: they show queueing
	baseRatioFrom                 float64
	connectFailures               float64 // part of late attempts that found no connection
	scratch                       []float64
	silenceTimeout                float64 // time without an answer after which a server with calls out is over threshold
	timerAt                       float64 // when the pending timer is due; 0 = none
	timerToken                    uint64  // its number
	pollAt                        float64 // when the list is to be asked; 0 = not
	pollBackoff                   float64
	learnedConcurrency            float64                  // imported, for each server that serves
	learnedServers                map[uint32]LearnedServer // imported, of servers that no list has named yet
}
