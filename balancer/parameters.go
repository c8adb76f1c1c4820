package balancer

// Parameters of the paper. Times are milliseconds.
const (
	loadUpdateInterval = 10000.0 // section VI-C: the load of a server is updated every 10 s
	decreaseFactor     = 0.9     // section VI-C: over the threshold load becomes this share of goodput
	statsWindow        = 1000.0  // section IV-A: latency statistics cover one second
	latencyPercentile  = 0.95    // section IV-A: the percentile that is held under the threshold
)

// Measurements of latency and rates.
const (
	serverSamples       = 32     // samples kept for each server; a little over a window
	tierSamples         = 128    // samples kept of the tier, to fill sparse windows
	minWindowSamples    = 20     // with fewer the second largest is no 95th percentile
	minFirstSamples     = 5      // fewest while there have been no more at all: the largest stands in
	thresholdShare      = 0.7    // threshold as a share of the class's latency target, less for tiers ahead
	failureRatio        = 2.0    // ratio of latency to threshold that a failure counts as
	rateTimeConstant    = 2000.0 // of the averages of arrivals and sends
	minRateWeight       = 0.2    // least part of that time that counts as observed
	latencySmoothing    = 0.05   // weight of a new response in a mean latency
	onTimeSmoothing     = 0.005  // weight of a request in its class's on-time share, an average of a day
	baseRatioDrift      = 0.005  // the base latency ratio rises by this share a second
	maxPriorityDecay    = 0.01   // of a class's highest priority of late, at each of its requests
	connectFailureLimit = 0.05   // share of recent failed connects over which open ones are kept to
)

// Load and credit of a server.
const (
	maxCreditTime    = 100.0 // credit of this time is kept: more would outweigh the requests in flight
	burstHeadroom    = 2.0   // load over the demand or goodput that was seen
	minLoadShare     = 0.05  // an ejected server keeps this share of the mean load, for trial requests
	maxFailureRun    = 2.5   // run of failures, less its successes, over which a server is ejected
	successDecrease  = 0.25  // by which a success shortens a run of failures
	trialSuccesses   = 3     // successful trial requests in a row that end an ejection
	sharedFaultShare = 0.4   // share of the servers that may be ejected: with more the fault is a shared one
	warmUpMaxShare   = 0.7   // of its even share that a server warming up is given at most
)

// Concurrency limit of the first tier, and its queue.
const (
	sheddingRatio       = 1.2    // 95th percentile over threshold to shed requests: tails alone pass 1
	queueingRatio       = 1.3    // mean latency over the base latency from which responses are taken to queue
	fastTailRatio       = 0.5    // an instance with many samples and a tail below this goes by the tail
	initialConcurrency  = 5.0    // in flight for each server, over all replicas, until it is measured
	minConcurrency      = 2.0    // and for a replica at least: one at a time measures nothing
	maxQueueWaitShare   = 0.3    // longest wait in the queue, as a share of the mean latency target
	quotaBurstTime      = 2000.0 // a tenant may be ahead of its quota by what it has in this time
	overQuotaLimitShare = 0.5    // share of the limit in flight at which requests beyond a quota are rejected
)

// Retries, also those after silence.
const (
	defaultRetryShare  = 0.1     // retry budget of sites that state none: retries for each request
	defaultRetryMin    = 5.0     // and how many more of them
	defaultRetryWindow = 10000.0 // within this time
	silenceFactor      = 6.0     // mean latencies of its class that an attempt waits for a silent server
)

// Choice of a server.
const (
	latencyRankWeight = 12.0 // of a server's mean latency over the tier's, against its share of credit left
	streamRankWeight  = 5.0  // of a long-lived stream, for requests of a class of streams
	homeInFlight      = 2.0  // requests in flight of a home server's own replica before others are used
	probesPerRequest  = 3    // servers probed for a request where probes are all but free
	maxProbeCost      = 0.02 // of the goal, for a probe of each choice at every tier, for probes to be used
	maxProbeRounds    = 3    // rounds of probes for a request, while those probed hold more than the mean
	maxConnectedDraws = 20   // draws for a server with an open connection to probe
	probeWaitShare    = 0.05 // of its threshold for which a request waits for probes, and they count
	probeRetryShare   = 0.15 // of the longest threshold after which a waiting request probes others
)

// Timers and the server list.
const (
	minTimerDelay  = 5.0    // shortest timer, so that waiting requests cost little processor time
	maxTimerDelay  = 20.0   // longest timer while requests wait
	pollSpread     = 0.3    // the first poll of the list is spread over this share of the interval
	timerSlack     = 1.0    // by which a timer may come early, as its time is rounded
	minPollBackoff = 1000.0 // first wait after a failed poll; doubles, with jitter
)
