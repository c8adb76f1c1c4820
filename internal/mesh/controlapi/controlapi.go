// Package controlapi is the HTTP API of the control plane and of the proxies: it decodes the calls
// of endpoints and operators into commands, passes at most maxConcurrentCalls at a time to a Runner,
// and writes their results.
package controlapi

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"milletmast/internal/decimal"
	"milletmast/internal/mesh/registry"
)

var space = errorx.NewNamespace("controlapi")

// InvalidCall is the type of errors of calls that cannot be decoded.
var InvalidCall = space.NewType("invalid_call")

// Command is a decoded call.
type Command interface{ command() }

// Heartbeat is the heartbeat of an endpoint.
type Heartbeat struct {
	Endpoint registry.Endpoint
	Address  string
	Zone     string
	Epoch    string
	Sequence uint64
}

// Deregister removes an endpoint that has ended.
type Deregister struct{ ID string }

// ReplaceConfig replaces the configuration.
type ReplaceConfig struct{ Body []byte }

// ReadConfig reads the newest configuration.
type ReadConfig struct{}

// BeginEvacuation stops all requests to the endpoints of a zone. Ticket comes from the redirect that
// the call follows; it is empty in the first call.
type BeginEvacuation struct{ Zone, Ticket string }

// FinishEvacuation ends an evacuation.
type FinishEvacuation struct{ Zone, Ticket string }

// Readiness asks whether the process is ready.
type Readiness struct{}

func (Heartbeat) command()        {}
func (Deregister) command()       {}
func (ReplaceConfig) command()    {}
func (ReadConfig) command()       {}
func (BeginEvacuation) command()  {}
func (FinishEvacuation) command() {}
func (Readiness) command()        {}

// Result is the result of a command, as reported to its caller.
type Result struct {
	Status   int
	Body     []byte
	JSON     bool
	Location string // the path of a redirect
}

const (
	maxBodyBytes       = 32 << 20
	maxHeartbeatBytes  = 64 << 10
	maxConcurrentCalls = 128
	readTimeout        = 10 * time.Second
	writeTimeout       = 5 * time.Second
)

// heartbeatBody is the JSON body of a heartbeat.
type heartbeatBody struct {
	Target     string  `json:"target"`
	Address    string  `json:"address"`
	Zone       string  `json:"zone"`
	Epoch      string  `json:"epoch"`
	Capacity   float64 `json:"capacity"`
	State      string  `json:"state"`
	WarmupLeft float64 `json:"warmup_left_s"`
	Sequence   uint64  `json:"call_seq"`
}

var states = map[string]registry.State{"serving": registry.Serving, "draining": registry.Draining}

// Decode decodes a call into a command. With an error, status is that of the response.
func Decode(method, path string, body []byte) (c Command, status int, err error) {
	verb, rest, _ := strings.Cut(strings.TrimPrefix(path, "/api/"), "/")
	if !strings.HasPrefix(path, "/api/") {
		return nil, http.StatusNotFound, InvalidCall.New("%s is no call", path)
	}
	want := http.MethodPost
	if verb == "Config.Read" || verb == "readiness" {
		want = http.MethodGet
	}
	if method != want {
		return nil, http.StatusMethodNotAllowed, InvalidCall.New("%s wants %s", path, want)
	}
	// withName returns a command whose path must end with one name.
	withName := func(c Command) (Command, int, error) {
		if rest == "" || strings.Contains(rest, "/") {
			return nil, http.StatusBadRequest, InvalidCall.New("%s names nothing", path)
		}
		return c, 0, nil
	}
	ticket := ""
	if strings.HasPrefix(verb, "Evacuation.") {
		rest, ticket, _ = strings.Cut(rest, "/")
		if strings.Contains(ticket, "/") {
			return nil, http.StatusBadRequest, InvalidCall.New("%s names more than a zone and a ticket", path)
		}
	}
	switch verb {
	case "readiness":
		return Readiness{}, 0, nil
	case "Endpoints.Heartbeat":
		var b heartbeatBody
		if err := json.Unmarshal(body, &b); err != nil {
			return nil, http.StatusBadRequest, InvalidCall.Wrap(err, "heartbeat")
		}
		h := Heartbeat{Address: b.Address, Zone: b.Zone, Epoch: b.Epoch, Sequence: b.Sequence}
		h.Endpoint = registry.Endpoint{ID: rest, Target: b.Target, State: states[b.State], Capacity: int(min(max(b.Capacity, 0), 1e6))}
		h.Endpoint.WarmupLeft = decimal.Duration(min(max(b.WarmupLeft, 0), 1e6), time.Second)
		if h.Endpoint.State == 0 || b.Target == "" {
			return nil, http.StatusBadRequest, InvalidCall.New("heartbeat: state %q or target %q cannot be", b.State, b.Target)
		}
		return withName(h)
	case "Endpoints.Deregister":
		return withName(Deregister{rest})
	case "Config.Replace":
		return ReplaceConfig{body}, 0, nil
	case "Config.Read":
		return ReadConfig{}, 0, nil
	case "Evacuation.Begin":
		return withName(BeginEvacuation{rest, ticket})
	case "Evacuation.Finish":
		return withName(FinishEvacuation{rest, ticket})
	}
	return nil, http.StatusNotFound, InvalidCall.New("%s is no call", path)
}

// Runner runs a command and calls done with the result, once, from any goroutine.
type Runner func(c Command, done func(Result))

// Handler serves calls over HTTP.
type Handler struct {
	run   Runner
	slots chan struct{}
}

// NewHandler returns a handler that has at most maxConcurrentCalls commands running.
func NewHandler(run Runner) *Handler {
	return &Handler{run: run, slots: make(chan struct{}, maxConcurrentCalls)}
}

// ServeHTTP serves one call.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	maxBytes := int64(maxHeartbeatBytes)
	if strings.HasPrefix(r.URL.Path, "/api/Config.") {
		maxBytes = maxBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
	if err != nil {
		writeResult(w, Result{Status: http.StatusBadRequest, Body: []byte("the body cannot be read whole\n")})
		return
	}
	c, status, err := Decode(r.Method, r.URL.Path, body)
	if err != nil {
		writeResult(w, Result{Status: status, Body: []byte(err.Error() + "\n")})
		return
	}
	select {
	case h.slots <- struct{}{}:
		defer func() { <-h.slots }()
	default:
		writeResult(w, Result{Status: http.StatusServiceUnavailable, Body: []byte("too many calls are under way\n")})
		return
	}
	done := make(chan Result, 1)
	h.run(c, func(r Result) {
		select {
		case done <- r:
		default: // the call has its result already
		}
	})
	select {
	case res := <-done:
		if res.Location != "" {
			res.Location = "http://" + r.Host + res.Location
		}
		writeResult(w, res)
	case <-r.Context().Done():
	}
}

// writeResult is the one place where results become HTTP responses.
func writeResult(w http.ResponseWriter, r Result) {
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
	_, _ = w.Write(r.Body) // an error means that the caller has disconnected
}

// Serve runs a server until ctx ends, then finishes the calls in flight, up to the drain timeout.
func Serve(ctx context.Context, s *http.Server, listen func() error, drainTimeout time.Duration) error {
	s.ReadTimeout, s.WriteTimeout, s.IdleTimeout = readTimeout, writeTimeout+readTimeout, time.Minute
	ended := make(chan error, 1)
	go func() { ended <- listen() }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	end, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	if s.Shutdown(end) != nil {
		_ = s.Close() // closes the connections of the calls that are left
	}
	if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
