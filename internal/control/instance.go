// Package control defines the protocol between milletctl, agents and instances: protobuf messages
// (control.proto, agent.proto; version milletmast.control.v1). Between an agent and an instance they
// are the bodies of HTTP requests on the instance's Unix socket.
package control

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"google.golang.org/protobuf/proto"

	"milletmast/internal/control/controlpb"
)

const (
	pathPrefix        = "/milletmast.control.v1.Instance/"
	maxMessageBytes   = 16 << 20 // of a request or a response
	readHeaderTimeout = 5 * time.Second
)

// Node is the interface of an instance that is served on a control socket.
type Node interface {
	Status() *controlpb.InstanceStatus
	// Apply applies a configuration and returns once requests are served under it. After an error
	// nothing has changed.
	Apply(config []byte) error
	// Drain makes the instance unready, or ready again.
	Drain(bool)
	// Pin pins the degradation level of a pool for a time; an empty level releases the pin.
	Pin(pool, level string, ttl time.Duration) error
}

// Handler returns the HTTP handler of a node's control methods.
func Handler(n Node) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathPrefix+"Status", handleMethod(func(*controlpb.StatusRequest) proto.Message { return n.Status() }))
	mux.HandleFunc("POST "+pathPrefix+"Apply", handleMethod(func(req *controlpb.ApplyRequest) proto.Message {
		reply := &controlpb.ApplyReply{}
		if err := n.Apply(req.Config); err != nil {
			reply.Refused = err.Error()
		}
		reply.Status = n.Status()
		return reply
	}))
	mux.HandleFunc("POST "+pathPrefix+"Drain", handleMethod(func(req *controlpb.DrainRequest) proto.Message {
		n.Drain(req.Drain)
		return n.Status()
	}))
	mux.HandleFunc("POST "+pathPrefix+"Pin", handleMethod(func(req *controlpb.PinRequest) proto.Message {
		reply := &controlpb.PinReply{}
		if err := n.Pin(req.Pool, req.Level, time.Duration(req.ForMs)*time.Millisecond); err != nil {
			reply.Refused = err.Error()
		}
		reply.Status = n.Status()
		return reply
	}))
	return mux
}

// message constrains a type parameter to a pointer to a protobuf message.
type message[T any] interface {
	*T
	proto.Message
}

// handleMethod returns the handler of a method: it reads a request of at most maxMessageBytes, calls
// serve and writes the response.
func handleMethod[T any, M message[T]](serve func(M) proto.Message) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxMessageBytes))
		req := M(new(T))
		if err == nil {
			err = proto.Unmarshal(body, req)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		text, err := proto.Marshal(serve(req))
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/protobuf")
		_, _ = w.Write(text) // the client may have disconnected
	}
}

// Serve serves a node on a Unix socket that only its owner may use, until the context ends. A stale
// socket file is replaced.
func Serve(ctx context.Context, path string, n Node) error {
	ln, err := ListenUnix(path)
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler:           Handler(n),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       30 * time.Second,
		MaxHeaderBytes:    16 << 10,
	}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("control: %w", err)
	}
	return nil
}

// ListenUnix listens on a Unix socket with file mode 0600. A stale socket file is replaced.
func ListenUnix(path string) (net.Listener, error) {
	if c, err := net.Dial("unix", path); err == nil {
		c.Close()
		return nil, fmt.Errorf("control: %s is in use", path)
	}
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("control: %w", err)
	}
	ln, err := net.Listen("unix", path)
	if err != nil {
		return nil, fmt.Errorf("control: %w", err)
	}
	if err := os.Chmod(path, 0o600); err != nil {
		ln.Close()
		return nil, fmt.Errorf("control: %w", err)
	}
	return ln, nil
}

// Client calls an instance over its Unix socket. It is safe for concurrent use.
type Client struct{ http *http.Client }

// NewClient returns a client for the socket of an instance. It opens no connection yet.
func NewClient(path string) *Client {
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "unix", path)
	}
	// Each call opens a connection, as an idle one would outlive a restart of the instance.
	return &Client{&http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}}}
}

// Status returns the status of the instance.
func (c *Client) Status(ctx context.Context) (*controlpb.InstanceStatus, error) {
	out := &controlpb.InstanceStatus{}
	return out, c.call(ctx, "Status", &controlpb.StatusRequest{}, out)
}

// Apply has the instance apply a configuration. After an error the outcome is unknown.
func (c *Client) Apply(ctx context.Context, config []byte) (*controlpb.ApplyReply, error) {
	out := &controlpb.ApplyReply{}
	return out, c.call(ctx, "Apply", &controlpb.ApplyRequest{Config: config}, out)
}

// Drain makes the instance unready, or ready again.
func (c *Client) Drain(ctx context.Context, drain bool) (*controlpb.InstanceStatus, error) {
	out := &controlpb.InstanceStatus{}
	return out, c.call(ctx, "Drain", &controlpb.DrainRequest{Drain: drain}, out)
}

// Pin pins the degradation level of a pool for a time; an empty level releases the pin.
func (c *Client) Pin(ctx context.Context, pool, level string, ttl time.Duration) (*controlpb.PinReply, error) {
	out := &controlpb.PinReply{}
	return out, c.call(ctx, "Pin", &controlpb.PinRequest{Pool: pool, Level: level, ForMs: ttl.Milliseconds()}, out)
}

func (c *Client) call(ctx context.Context, name string, in, out proto.Message) error {
	text, err := proto.Marshal(in)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://instance"+pathPrefix+name, bytes.NewReader(text))
	if err != nil {
		return err
	}
	req.GetBody = nil // the transport must not resend the request
	res, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("control: %w", err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxMessageBytes+1))
	if err != nil {
		return fmt.Errorf("control: %w", err)
	}
	if res.StatusCode != http.StatusOK || len(body) > maxMessageBytes {
		return fmt.Errorf("control: %s: %.200s", res.Status, body)
	}
	if err := proto.Unmarshal(body, out); err != nil {
		return fmt.Errorf("control: %w", err)
	}
	return nil
}
