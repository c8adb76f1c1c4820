package testcluster

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"regexp"
	"sync"
	"time"
)

// RoleServer is the role of a fake server: cores behind one queue, as modeled in docs/design/emulate.md. Each request has a header with
// its execution time.
const RoleServer = "server"

// listeningPattern matches the line in which a program of this project prints the address that it listens on.
var listeningPattern = regexp.MustCompile(`listening addr=(\S+)`)

// ServerSpec configures a fake server. It is sent as the first line of its standard input, in JSON.
type ServerSpec struct {
	Name           string        `json:"name"`
	Cores          int           `json:"cores"`
	Queue          int           `json:"queue"`
	Connections    int           `json:"connections"`
	Handshake      time.Duration `json:"handshake"`
	Speed          float64       `json:"speed"`
	ColdFrom       float64       `json:"cold_from"`
	Ramp           time.Duration `json:"ramp"`
	Cold           bool          `json:"cold"`
	OverloadFactor float64       `json:"fall"`
	OverloadTime   time.Duration `json:"fall_after"`
	Next           string        `json:"next"`      // the sidecar through which it calls the next tier; "" for none
	NextName       string        `json:"next_name"` // the name of that sidecar in facts
}

// ServerState is the state of a fake server that can be changed while it runs. Each change is a line of its standard input, in JSON.
type ServerState struct {
	SpeedFactor  float64 `json:"slowed"`  // multiplies Speed
	FailureShare float64 `json:"failing"` // share of the requests that get status 500 at once
	// The sidecar of the next tier, as in ServerSpec. An empty Next changes neither.
	Next     string `json:"next"`
	NextName string `json:"next_name"`
}

// Server is the process of a fake server.
type Server struct {
	*Process
	input *os.File
	mu    sync.Mutex
}

// StartServer starts a fake server and returns its address.
func (r *Cluster) StartServer(ctx context.Context, spec ServerSpec) (*Server, string, error) {
	read, write, err := os.Pipe()
	if err != nil {
		return nil, "", fmt.Errorf("%s: %w", spec.Name, err)
	}
	defer read.Close()
	p, err := r.Start(ProcessSpec{Name: spec.Name, Role: RoleServer, Stdin: read})
	if err != nil {
		write.Close()
		return nil, "", err
	}
	s := &Server{Process: p, input: write}
	go func() { <-p.Ended(); write.Close() }()
	if err := s.send(&spec); err != nil {
		return nil, "", err
	}
	addr := ""
	if err := WaitFor(ctx, spec.Name+" listens", startTimeout, func() bool {
		addr = p.Output.Find(listeningPattern)
		return addr != "" || !p.IsRunning()
	}); err != nil || addr == "" {
		return nil, "", fmt.Errorf("%s does not listen: %w: %s", spec.Name, errors.Join(err, errProcessEnded), p.Output)
	}
	return s, addr, nil
}

// startTimeout bounds the time until a fake server listens. A busy machine may need seconds.
const startTimeout = 20 * time.Second

// SetState sets the state of the server. A suspended server applies it when it is resumed.
func (s *Server) SetState(state ServerState) error { return s.send(&state) }

func (s *Server) send(v any) error {
	line, err := json.Marshal(v)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	// A line is shorter than the pipe buffer, so that the write does not block while the process is suspended.
	if _, err := s.input.Write(append(line, '\n')); err != nil {
		return fmt.Errorf("%s: %w", s.Name, err)
	}
	return nil
}
