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

// RoleServer is the role of a fake server: cores behind one queue, as docs/design/emulate.md models them. The request itself says
// what it takes to execute it.
const RoleServer = "server"

// listeningPattern matches the line in which a program of this project says where it listens.
var listeningPattern = regexp.MustCompile(`listening addr=(\S+)`)

// ServerSpec configures a fake server. It is the first line of its input, in JSON.
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

// ServerState can be changed while a fake server runs. Each change is a line of its input, in JSON.
type ServerState struct {
	SpeedFactor  float64 `json:"slowed"`  // times its speed
	FailureShare float64 `json:"failing"` // share of the requests that are answered with an error at once
	// As in ServerSpec; "" for no change.
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

// startTimeout is for a process of this project to listen, on a busy machine.
const startTimeout = 20 * time.Second

// SetState sets the state of the server from now on, or from when it is resumed.
func (s *Server) SetState(state ServerState) error { return s.send(&state) }

func (s *Server) send(v any) error {
	line, err := json.Marshal(v)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	// A line is shorter than the buffer of the pipe: it does not block if the process is suspended.
	if _, err := s.input.Write(append(line, '\n')); err != nil {
		return fmt.Errorf("%s: %w", s.Name, err)
	}
	return nil
}
