// Package orders decodes the calls of endpoints and of operators. Each becomes a command object, which is run elsewhere: a
// bounded queue, and one place where results become answers.
package orders

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"whinknot/internal/beacon"
)

var space = errorx.NewNamespace("orders")

// Unreadable is the type of errors of a call that cannot be decoded.
var Unreadable = space.NewType("unreadable")

// Command is one call, decoded.
type Command interface{ command() }

// Heartbeat is what an endpoint says of itself.
type Heartbeat struct {
	Endpoint beacon.Endpoint
	Address  string
	Zone     string
	Epoch    string
	Sequence uint64
}

// Deregister says that an endpoint has ended.
type Deregister struct{ ID string }

// ReplaceConfig carries a whole configuration.
type ReplaceConfig struct{ Body []byte }

// ReadConfig asks for the newest configuration.
type ReadConfig struct{}

// BeginEvacuation asks to send nothing more to the endpoints of a zone. Ticket is "" in a call that was not sent here by an answer.
type BeginEvacuation struct{ Zone, Ticket string }

// FinishEvacuation takes that back.
type FinishEvacuation struct{ Zone, Ticket string }

// Readiness asks whether work is welcome.
type Readiness struct{}

func (Heartbeat) command()        {}
func (Deregister) command()       {}
func (ReplaceConfig) command()    {}
func (ReadConfig) command()       {}
func (BeginEvacuation) command()  {}
func (FinishEvacuation) command() {}
func (Readiness) command()        {}

// Result is what became of a command, as its caller is told.
type Result struct {
	Status   int
	Body     []byte
	JSON     bool
	Location string // the path at which to call again
}

const (
	maxBody   = 32 << 20
	maxBeat   = 64 << 10
	queueing  = 128
	readTime  = 10 * time.Second
	writeTime = 5 * time.Second
)

// beat is the body of a heartbeat.
type beat struct {
	Target   string  `json:"target"`
	Address  string  `json:"address"`
	Zone     string  `json:"zone"`
	Epoch    string  `json:"epoch"`
	Capacity float64 `json:"capacity"`
	State    string  `json:"state"`
	Cold     float64 `json:"warmup_left_s"`
	Sequence uint64  `json:"call_seq"`
}

var states = map[string]beacon.State{"serving": beacon.Serving, "draining": beacon.Draining}

// Decode turns a call into a command; status is that of the answer where it cannot be one.
func Decode(method, path string, body []byte) (c Command, status int, err error) {
	verb, rest, _ := strings.Cut(strings.TrimPrefix(path, "/api/"), "/")
	if !strings.HasPrefix(path, "/api/") {
		return nil, http.StatusNotFound, Unreadable.New("%s is no call", path)
	}
	want := http.MethodPost
	if verb == "Config.Read" || verb == "readiness" {
		want = http.MethodGet
	}
	if method != want {
		return nil, http.StatusMethodNotAllowed, Unreadable.New("%s wants %s", path, want)
	}
	named := func(c Command) (Command, int, error) {
		if rest == "" || strings.Contains(rest, "/") {
			return nil, http.StatusBadRequest, Unreadable.New("%s names nothing", path)
		}
		return c, 0, nil
	}
	ticket := ""
	if strings.HasPrefix(verb, "Evacuation.") {
		rest, ticket, _ = strings.Cut(rest, "/")
		if strings.Contains(ticket, "/") {
			return nil, http.StatusBadRequest, Unreadable.New("%s names more than a zone and a ticket", path)
		}
	}
	switch verb {
	case "readiness":
		return Readiness{}, 0, nil
	case "Endpoints.Heartbeat":
		var b beat
		if err := json.Unmarshal(body, &b); err != nil {
			return nil, http.StatusBadRequest, Unreadable.Wrap(err, "heartbeat")
		}
		h := Heartbeat{Address: b.Address, Zone: b.Zone, Epoch: b.Epoch, Sequence: b.Sequence}
		h.Endpoint = beacon.Endpoint{ID: rest, Target: b.Target, State: states[b.State], Capacity: int(min(max(b.Capacity, 0), 1e6))}
		h.Endpoint.Cold = time.Duration(min(max(b.Cold, 0), 1e6) * float64(time.Second))
		if h.Endpoint.State == 0 || b.Target == "" {
			return nil, http.StatusBadRequest, Unreadable.New("heartbeat: state %q or target %q cannot be", b.State, b.Target)
		}
		return named(h)
	case "Endpoints.Deregister":
		return named(Deregister{rest})
	case "Config.Replace":
		return ReplaceConfig{body}, 0, nil
	case "Config.Read":
		return ReadConfig{}, 0, nil
	case "Evacuation.Begin":
		return named(BeginEvacuation{rest, ticket})
	case "Evacuation.Finish":
		return named(FinishEvacuation{rest, ticket})
	}
	return nil, http.StatusNotFound, Unreadable.New("%s is no call", path)
}

// Runner runs a command; then takes the result, once, from any goroutine.
type Runner func(c Command, then func(Result))

// Handler takes calls and has them run.
type Handler struct {
	run     Runner
	waiting chan struct{}
}

// NewHandler makes one that has so many commands under way at most.
func NewHandler(run Runner) *Handler {
	return &Handler{run: run, waiting: make(chan struct{}, queueing)}
}

// ServeHTTP takes one call.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	most := int64(maxBeat)
	if strings.HasPrefix(r.URL.Path, "/api/Config.") {
		most = maxBody
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
	if err != nil {
		answer(w, Result{Status: http.StatusBadRequest, Body: []byte("the body cannot be read whole\n")})
		return
	}
	c, status, err := Decode(r.Method, r.URL.Path, body)
	if err != nil {
		answer(w, Result{Status: status, Body: []byte(err.Error() + "\n")})
		return
	}
	select {
	case h.waiting <- struct{}{}:
		defer func() { <-h.waiting }()
	default:
		answer(w, Result{Status: http.StatusServiceUnavailable, Body: []byte("too many calls are under way\n")})
		return
	}
	done := make(chan Result, 1)
	h.run(c, func(r Result) {
		select {
		case done <- r:
		default: // it has its answer
		}
	})
	select {
	case res := <-done:
		if res.Location != "" {
			res.Location = "http://" + r.Host + res.Location
		}
		answer(w, res)
	case <-r.Context().Done():
	}
}

// answer is the one place where results become answers.
func answer(w http.ResponseWriter, r Result) {
	if r.Location != "" {
		w.Header().Set("Location", r.Location)
	}
	kind := "text/plain"
	if r.JSON {
		kind = "application/json"
	}
	w.Header().Set("Content-Type", kind)
	w.Header().Set("Content-Length", strconv.Itoa(len(r.Body)))
	w.WriteHeader(r.Status)
	w.Write(r.Body)
}

// Serve takes calls on a server until ctx ends, then finishes those under way for a time.
func Serve(ctx context.Context, s *http.Server, listen func() error, finish time.Duration) error {
	s.ReadTimeout, s.WriteTimeout, s.IdleTimeout = readTime, writeTime+readTime, time.Minute
	ended := make(chan error, 1)
	go func() { ended <- listen() }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	end, cancel := context.WithTimeout(context.Background(), finish)
	defer cancel()
	if s.Shutdown(end) != nil {
		s.Close()
	}
	<-ended
	return nil
}
