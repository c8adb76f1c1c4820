package emulate

// A server is cores behind one queue in the order of arrival. A request that starts on a core takes its work divided by the speed of
// that moment, to its end. A cold server's speed rises evenly from cold_from to its own over the ramp. Work of a request whose
// caller has gone is not begun, but what runs runs on.

// state is whether a server can be reached.
type state uint8

const (
	serves state = iota
	silent       // it takes connections and requests and says nothing
	away         // nobody answers at its address
)

// server is one server.
type server struct {
	id      uint32
	zone    uint8
	cell    uint16
	place   int // among those that the scenario names; its successor has the same
	state   state
	cut     int     // faults that cut it off from other zones
	started float64 // cold from then on; negative for long ago
	speed   float64 // its own
	slowed  float64 // against that
	failing float64 // part of what comes that it answers with an error
	fallen  bool
	gone    bool // replaced: it does not come back

	busy   int
	ran    []*job // those on a core
	queue  []*job
	head   int
	conns  int
	ends   uint64 // counts crashes: jobs of before are lost
	offers window // work that reached it while cold

	spec *Servers
	w    *clock
	fell func() // is told that it was pushed over
}

// job is one request at a server.
type job struct {
	work  float64                  // ms on one core at full speed
	luck  float64                  // in [0, 1), by which a failing server fails it
	gone  bool                     // nobody waits for it
	done  func(outcome jobOutcome) // nil once it was told
	place int                      // among those on a core
}

// jobOutcome is how a job ended at its server.
type jobOutcome uint8

const (
	jobDone  jobOutcome = iota
	jobFull             // no place in the queue: it did not run
	jobError            // it was answered at once with an error, and may have run
	jobLost             // the server ended while it waited or ran
)

// warmth is the part of its own speed that a server has now.
func (s *server) warmth() float64 {
	ramp := s.spec.Ramp.MS()
	if s.started < 0 || ramp <= 0 {
		return 1
	}
	age := s.w.now - s.started
	if age >= ramp {
		return 1
	}
	return s.spec.ColdFrom + (1-s.spec.ColdFrom)*max(age, 0)/ramp
}

func (s *server) cold() bool { return s.warmth() < 1 }

// capacity is the work in ms that it can do in a second now.
func (s *server) capacity() float64 {
	return 1000 * float64(s.spec.Cores) * s.speed * s.slowed * s.warmth()
}

// offer has a request that has reached the server wait for a core, if there is a place.
func (s *server) offer(j *job) {
	if s.cold() {
		s.pressed(j.work)
	}
	if s.state == away {
		j.tell(jobLost)
		return
	}
	if s.state == silent {
		return // it says nothing, ever; it can have run
	}
	switch {
	case j.luck < s.failing:
		j.tell(jobError)
	case s.busy < s.spec.Cores:
		s.start(j)
	case len(s.queue)-s.head >= s.spec.Queue:
		j.tell(jobFull)
	default:
		s.queue = append(s.queue, j)
	}
}

func (j *job) tell(o jobOutcome) {
	if f := j.done; f != nil {
		j.done = nil
		f(o)
	}
}

// pressed notes work that has reached a cold server. Sent too much for too long it falls over and stays down.
func (s *server) pressed(work float64) {
	if s.spec.FallAfter <= 0 || s.state == away {
		return
	}
	span := s.spec.FallAfter.MS()
	s.offers.add(s.w.now, work, span)
	if s.offers.sum > s.spec.Fall*s.capacity()*span/1000 {
		s.fallen = true
		s.crash()
		s.fell()
	}
}

func (s *server) start(j *job) {
	s.busy++
	j.place = len(s.ran)
	s.ran = append(s.ran, j)
	ends := s.ends
	s.w.after(j.work/(s.speed*s.slowed*s.warmth()), func() {
		if s.ends != ends {
			return
		}
		s.busy--
		last := len(s.ran) - 1
		s.ran[j.place] = s.ran[last]
		s.ran[j.place].place = j.place
		s.ran[last] = nil
		s.ran = s.ran[:last]
		if s.state == serves {
			j.tell(jobDone)
		}
		s.next()
	})
}

// next begins with the first request that still waits for its answer.
func (s *server) next() {
	for s.head < len(s.queue) && s.busy < s.spec.Cores {
		j := s.queue[s.head]
		s.queue[s.head] = nil
		s.head++
		if !j.gone {
			s.start(j)
		}
	}
	if s.head > 64 && s.head > len(s.queue)/2 {
		s.queue = s.queue[:copy(s.queue, s.queue[s.head:])]
		s.head = 0
	}
}

// crash ends the server: what it holds is lost.
func (s *server) crash() {
	s.state = away
	s.ends++
	s.busy = 0
	lost := append(s.ran, s.queue[s.head:]...)
	s.ran, s.queue, s.head = nil, nil, 0
	for _, j := range lost {
		j.tell(jobLost)
	}
}

// restart brings a server back, cold.
func (s *server) restart() {
	s.state, s.started, s.fallen, s.offers = serves, s.w.now, false, window{}
}

// held is the number of requests that wait or run there.
func (s *server) held() int { return s.busy + len(s.queue) - s.head }

// window is a sum over a sliding time.
type window struct {
	at, what []float64
	first    int
	sum      float64
}

func (w *window) add(now, what, span float64) {
	w.at, w.what = append(w.at, now), append(w.what, what)
	w.sum += what
	for w.at[w.first] < now-span {
		w.sum -= w.what[w.first]
		w.first++
	}
	if w.first > len(w.at)/2 {
		w.at = w.at[:copy(w.at, w.at[w.first:])]
		w.what = w.what[:copy(w.what, w.what[w.first:])]
		w.first = 0
	}
}
