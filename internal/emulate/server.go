package emulate

// serverState is whether a server can be reached.
type serverState uint8

// The states of a server.
const (
	serving serverState = iota
	silent              // it accepts connections and requests and never responds
	down                // nothing listens at its address
)

// server models cores behind one first-in first-out queue. Executing a request takes its work divided by the speed at its start. The
// speed of a cold server rises linearly from cold_from to its full speed over the ramp. A request whose client has disconnected is
// not started, but one that is being executed is finished.
type server struct {
	id           uint32
	zone         uint8
	cell         uint16
	slot         int // index among the servers of the scenario; a replacement has the same one
	state        serverState
	cutFaults    int     // number of active faults that separate it from other zones
	started      float64 // start of its ramp, in ms; negative for a warm server
	speed        float64 // full speed
	speedFactor  float64 // factor of speed by faults
	failureShare float64 // share of requests to which it responds with an error
	overloaded   bool
	replaced     bool // another server takes its slot: it does not restart

	busy     int
	running  []*job // jobs on a core
	queue    []*job
	head     int
	conns    int
	crashes  uint64     // number of crashes: jobs from before the last one are lost
	arrivals slidingSum // recent work that arrived while it was cold

	spec       *ServerSpec
	clock      *clock
	onOverload func() // called when the server has failed from overload
}

// job is one request at a server.
type job struct {
	work        float64                  // ms on one core at full speed
	failureDraw float64                  // uniform in [0, 1): a failing server fails the job if it is below failureShare
	abandoned   bool                     // its client has disconnected
	onEnd       func(outcome jobOutcome) // called once, then nil
	index       int                      // in server.running
}

// jobOutcome is how a job ended.
type jobOutcome uint8

// The outcomes of jobs.
const (
	jobDone  jobOutcome = iota
	jobFull             // no place in the queue: it did not run
	jobError            // it ended at once with an error, and may have run
	jobLost             // the server ended while it waited or ran
)

// warmth returns the share of its full speed that a server has now.
func (s *server) warmth() float64 {
	ramp := s.spec.Ramp.MS()
	if s.started < 0 || ramp <= 0 {
		return 1
	}
	age := s.clock.now - s.started
	if age >= ramp {
		return 1
	}
	return s.spec.ColdFrom + (1-s.spec.ColdFrom)*max(age, 0)/ramp
}

// isCold reports whether the server is not warm.
func (s *server) isCold() bool { return s.warmth() < 1 }

// capacity returns the work in ms that the server can do in a second now.
func (s *server) capacity() float64 {
	return 1000 * float64(s.spec.Cores) * s.speed * s.speedFactor * s.warmth()
}

// accept has a request wait for a core, if there is room in the queue.
func (s *server) accept(j *job) {
	if s.isCold() {
		s.recordArrival(j.work)
	}
	if s.state == down {
		j.end(jobLost)
		return
	}
	if s.state == silent {
		return // it never responds; the request may have run
	}
	switch {
	case j.failureDraw < s.failureShare:
		j.end(jobError)
	case s.busy < s.spec.Cores:
		s.start(j)
	case len(s.queue)-s.head >= s.spec.Queue:
		j.end(jobFull)
	default:
		s.queue = append(s.queue, j)
	}
}

// end reports the outcome, once.
func (j *job) end(o jobOutcome) {
	if f := j.onEnd; f != nil {
		j.onEnd = nil
		f(o)
	}
}

// recordArrival records work that has arrived at a cold server. If it exceeds the limit of the scenario, the server fails and stays
// down.
func (s *server) recordArrival(work float64) {
	if s.spec.FallAfter <= 0 || s.state == down {
		return
	}
	span := s.spec.FallAfter.MS()
	s.arrivals.add(s.clock.now, work, span)
	if s.arrivals.sum > s.spec.Fall*s.capacity()*span/1000 {
		s.overloaded = true
		s.crash()
		s.onOverload()
	}
}

// start starts a job on a core.
func (s *server) start(j *job) {
	s.busy++
	j.index = len(s.running)
	s.running = append(s.running, j)
	crashesBefore := s.crashes
	s.clock.after(j.work/(s.speed*s.speedFactor*s.warmth()), func() {
		if s.crashes != crashesBefore {
			return
		}
		s.busy--
		last := len(s.running) - 1
		s.running[j.index] = s.running[last]
		s.running[j.index].index = j.index
		s.running[last] = nil
		s.running = s.running[:last]
		if s.state == serving {
			j.end(jobDone)
		}
		s.next()
	})
}

// next starts queued jobs while cores are free, and skips those whose clients have disconnected.
func (s *server) next() {
	for s.head < len(s.queue) && s.busy < s.spec.Cores {
		j := s.queue[s.head]
		s.queue[s.head] = nil
		s.head++
		if !j.abandoned {
			s.start(j)
		}
	}
	if s.head > 64 && s.head > len(s.queue)/2 {
		s.queue = s.queue[:copy(s.queue, s.queue[s.head:])]
		s.head = 0
	}
}

// crash ends the server. Its jobs are lost.
func (s *server) crash() {
	s.state = down
	s.crashes++
	s.busy = 0
	lost := append(s.running, s.queue[s.head:]...)
	s.running, s.queue, s.head = nil, nil, 0
	for _, j := range lost {
		j.end(jobLost)
	}
}

// restart starts the server again, cold.
func (s *server) restart() {
	s.state, s.started, s.overloaded, s.arrivals = serving, s.clock.now, false, slidingSum{}
}

// load returns the number of requests that wait or are executed.
func (s *server) load() int { return s.busy + len(s.queue) - s.head }

// slidingSum is a sum over a sliding time window.
type slidingSum struct {
	times, values []float64
	first         int
	sum           float64
}

// add adds a value, and drops those older than the span.
func (w *slidingSum) add(now, value, span float64) {
	w.times, w.values = append(w.times, now), append(w.values, value)
	w.sum += value
	for w.times[w.first] < now-span {
		w.sum -= w.values[w.first]
		w.first++
	}
	if w.first > len(w.times)/2 {
		w.times = w.times[:copy(w.times, w.times[w.first:])]
		w.values = w.values[:copy(w.values, w.values[w.first:])]
		w.first = 0
	}
}
