package balancer

import "milletmast/internal/stats"

// server is what this instance knows of one server, from the list, from reports and from its own requests.
type server struct {
	ServerEntry
	listed             bool // the last complete list had it, and no later change removed it
	inUsable, inHomes  bool // it is in Balancer.usable, in Balancer.homes
	leaving            bool // it is in Balancer.leaving
	hashOrder          uint64
	homeShare          float64 // share of this server that is assigned to this replica
	connected          bool    // it has responded since a connection to it last failed
	closeIdleAt        float64 // while it drains: when idle connections are closed once more; 0 = never
	inFlight           int     // attempts without an outcome, except long-lived streams
	longLivedStreams   int
	lastSent           float64
	lastReceived       float64 // last outcome, or the first attempt after a time with none in flight
	probePending       bool
	queueLength        float64 // requests that it holds: as reported to a probe, plus those sent since
	queueLengthAt      float64 // time of that report
	warmingUp          bool
	ejected            bool    // it has the minimum load after a run of failures
	measured           bool    // it has a load of its own; others have the mean
	load, maxLoad      float64 // requests a second of this instance
	credit, creditedAt float64
	loadUpdateAt       float64
	successes          int     // since successesSince, for the goodput
	successesSince     float64 // last update of the load
	successRun         int     // in a row since the last failure
	failureRun         float64 // failures in a row; a success takes away successDecrease
	samples            [serverSamples]stats.Sample
	sampleCount        int     // samples ever taken
	latencyRatio       float64 // mean ratio of latency to threshold; 0 = none yet
}

// isReady returns whether the server takes requests according to the list.
func (s *server) isReady() bool { return s.listed && s.State == Ready }

// attempt is one send of a request.
type attempt struct {
	server           *server
	sentAt           float64
	queuePosition    float64 // requests that the server held with this one; 0 = no fresh report
	open             bool
	canceledAsSilent bool // it was canceled because its server was silent
	longLived        bool // it is a long-lived stream, and not counted as in flight
}

// silenceCheck is a time at which to check whether an attempt's server has been silent since the send.
type silenceCheck struct {
	at      float64
	request uint32
	attempt uint16
}

// request is a request that this instance has taken. Its record stays until its last attempt has ended.
type request struct {
	id            uint32
	class, tenant uint16
	priority      float64 // its priority weight as a multiple of its class's
	maxAttempts   int     // 0 = Limits.MaxAttempts
	preferred     []uint32
	notRepeatable bool
	shed          bool // the sidecar's degradation level rejects it
	queued        bool
	streaming     bool // a response has begun
	ended         bool // it has a final outcome, or its client has left
	onTime        bool // it was completed within its latency target

	targetAt, deadline float64
	heldBackUntil      float64 // 0 = not held back
	probesUntil        float64 // the request waits for reports until then
	probeRounds        int

	attempts       []attempt
	openAttempts   int
	mayHaveRun     bool    // some ended attempt may have been executed
	firstRunAt     float64 // when the earliest such attempt was sent
	firstRunServer *server
}

// classState is what this instance has learned of a class.
type classState struct {
	threshold    float64 // latency under which the 95th percentile is held
	meanLatency  float64 // of successes
	requestShare float64 // of all requests
	onTimeShare  float64 // share of the class's requests that are completed within the latency target
	maxPriority  float64 // highest recent priority, decaying
}

// Balancer makes the decisions of one instance of a load balancer. It is not safe for concurrent use.
type Balancer struct {
	settings Settings
	rng      uint64
	now      float64
	actions  []Action // of the event that is being handled

	// Servers.
	servers         map[uint32]*server
	usable          []*server // listed and ready, in the order in which they were first
	homes           []*server // usable servers in the own zone, by hashOrder
	leaving         []*server // no longer listed; removed once nothing of them is pending
	closingIdle     []*server // draining; their idle connections are to be closed once more
	hasBackups      bool
	meanWeight      float64                  // of usable servers
	measuredCount   int                      // usable servers with a load of their own that are not ejected
	meanLoad        float64                  // mean load of the measured servers
	ejectedCount    int                      // usable servers that are ejected
	servingCount    float64                  // usable servers that are not ejected; one that warms up counts in part
	hasWarm         bool                     // at least one serving server does not warm up
	learnedServers  map[uint32]LearnedServer // imported, for servers that have not been listed yet
	connectFailures float64                  // share of recent attempts that found no connection
	silenceTimeout  float64                  // silence with requests in flight that counts as over the threshold

	// Requests.
	requests       map[uint32]*request
	queue          []*request // first in, first out, except that retries come first
	freeRequests   []*request
	expireAt       float64 // when the first queued request is to be ended
	classes        []classState
	meanTarget     float64 // mean latency target of the classes
	tenantQuotas   []stats.TokenBucket
	sendRate       stats.DecayingRate
	arrivalRate    stats.DecayingRate
	hasSiteBudget  bool // the site sets a retry budget
	recentRequests stats.SlidingCounter
	recentRetries  stats.SlidingCounter // retries that count against the retry budget
	silenceChecks  []silenceCheck       // by time

	// Latencies of the tier, as ratios to the thresholds.
	tierWindow      [tierSamples]stats.Sample
	tierSampleCount int
	meanRatio       float64
	baseRatio       float64 // lowest mean since baseRatioFrom, with a slow drift upwards
	baseRatioFrom   float64
	sortedRatios    []float64 // scratch of latencyP95

	// Concurrency limit of the first tier.
	inFlight           int     // requests at usable servers that are not ejected
	concurrencyLimit   float64 // 0 = none yet
	initialLimit       float64 // what all replicas together may send to an unmeasured tier, divided by them
	limitUpdateAt      float64
	learnedConcurrency float64 // imported limit for each serving server

	// Probes.
	probesEnabled   bool
	pendingProbes   int
	meanQueueLength float64 // as reported
	serviceTime     float64 // time that a request takes for each request that its server holds

	// Timers.
	timerAt     float64 // of the pending timer; 0 = none
	timerToken  uint64
	pollAt      float64 // next poll of the list; 0 = none
	pollBackoff float64
}
