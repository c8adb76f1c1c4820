package balancer

// Parameters of the SMACE paper. Times are in milliseconds.
const (
	loadUpdateInterval = 10000.0 // section VI-C: the load of a server is updated every 10 s
	decreaseFactor     = 0.9     // section VI-C: over the threshold, load falls to this share of goodput
	statsWindow        = 1000.0  // section IV-A: latency statistics cover one second
	latencyPercentile  = 0.95    // section IV-A: the percentile that is held under the threshold
)

// Measurements of latency and rates.
const (
	serverSamples       = 32     // samples kept for each server; a little over a window
	tierSamples         = 128    // samples kept of the tier, to fill sparse windows
	minWindowSamples    = 20     // with fewer the second largest is no 95th percentile
	minFirstSamples     = 5      // least for a new instance: the largest stands in for the percentile
	thresholdShare      = 0.7    // threshold as a share of the class's latency target, less for tiers ahead
	failureRatio        = 2.0    // ratio of latency to threshold that is recorded for a failure
	rateTimeConstant    = 2000.0 // of the averages of arrivals and sends
	minRateWeight       = 0.2    // shortest observed time, as a share of that time
	latencySmoothing    = 0.05   // weight of a new response in a mean latency
	onTimeSmoothing     = 0.005  // weight of a request in its class's on-time share, an average of a day
	baseRatioDrift      = 0.005  // the base latency ratio rises by this share a second
	maxPriorityDecay    = 0.01   // decay of a class's highest recent priority, at each of its requests
	connectFailureLimit = 0.05   // share of failed connects over which open connections are preferred
)

// Load and credit of a server.
const (
	maxCreditTime    = 100.0 // longest time whose credit is kept: more would outweigh the requests in flight
	burstHeadroom    = 2.0   // load as a multiple of observed demand or goodput
	minLoadShare     = 0.05  // an ejected server keeps this share of the mean load, for trial requests
	maxFailureRun    = 2.5   // failures in a row, less successes, over which a server is ejected
	successDecrease  = 0.25  // deducted from a run of failures by a success
	trialSuccesses   = 3     // successful trial requests in a row that end an ejection
	sharedFaultShare = 0.4   // share of the servers that may be ejected: if more fail, the fault is shared
	warmUpMaxShare   = 0.7   // highest share of an even load for a server that warms up
)

// Concurrency limit of the first tier, and its queue.
const (
	sheddingRatio       = 1.2    // 95th percentile over threshold to shed requests: tails alone pass 1
	queueingRatio       = 1.3    // mean latency over base latency above which requests are assumed to queue
	fastTailRatio       = 0.5    // an instance with many samples and a tail below this uses the tail
	initialConcurrency  = 5.0    // in flight for each server, over all replicas, until it is measured
	minConcurrency      = 2.0    // least in flight for a replica: one at a time is too few to measure
	maxQueueWaitShare   = 0.3    // longest wait in the queue, as a share of the mean latency target
	quotaBurstTime      = 2000.0 // a tenant may be ahead of its quota by what the quota allows in this time
	overQuotaLimitShare = 0.5    // in flight over the limit at which requests beyond a quota are rejected
)

// Retries, including those after a server was silent.
const (
	defaultRetryShare  = 0.1     // default retry budget: retries for each request
	defaultRetryMin    = 5.0     // default retry budget: retries beyond that share
	defaultRetryWindow = 10000.0 // default retry budget: the window that it covers
	silenceFactor      = 6.0     // wait for a silent server, in mean latencies of the request's class
)

// Choice of a server.
const (
	latencyRankWeight = 12.0 // weight of a server's mean latency over the tier's, relative to its credit
	streamRankWeight  = 5.0  // rank deducted for each long-lived stream, in classes of streams
	homeInFlight      = 2.0  // requests in flight of a home server's own replica before others are used
	probesPerRequest  = 3    // servers probed for a request, where probes are cheap
	maxProbeCost      = 0.02 // highest share of the goal that probing at every tier may cost to be used
	maxProbeRounds    = 3    // rounds of probes for a request, while probed servers hold more than the mean
	maxConnectedDraws = 20   // random draws to find a server with an open connection to probe
	probeWaitShare    = 0.05 // share of the threshold for which requests wait for reports and use them
	probeRetryShare   = 0.15 // share of the longest threshold after which a waiting request probes again
)

// Timers and the server list.
const (
	minTimerDelay  = 5.0    // shortest timer, so that waiting requests cost little processor time
	maxTimerDelay  = 20.0   // longest timer while requests wait
	pollSpread     = 0.3    // the first poll of the list is spread over this share of the interval
	timerSlack     = 1.0    // longest time by which a timer may fire early, as its time is rounded
	minPollBackoff = 1000.0 // first wait after a failed poll; doubles, with jitter
)
