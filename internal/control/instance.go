// Package control is how tool, agents and instances talk: messages in protobuf (control.proto, agent.proto; version
// milletmast.control.v1). Between an agent and an instance they are bodies of HTTP requests on the instance's Unix socket.
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

	"whinknot/internal/control/controlpb"
)

const (
	prefix     = "/milletmast.control.v1.Instance/"
	maxMessage = 16 << 20 // bytes, either way
	headTime   = 5 * time.Second
)

// Node is an instance as its control socket sees it.
type Node interface {
	Status() *controlpb.InstanceStatus
	// Apply takes a configuration whole and returns once requests are taken under it. The error says why it has not been
	// taken; then nothing has changed.
	Apply(config []byte) error
	Drain(bool)
	// Pin keeps a level of a pool in force for a time; level "" releases it. The error says why not.
	Pin(pool, level string, ttl time.Duration) error
}

// Handler serves the control methods of a node.
func Handler(n Node) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+prefix+"Status", method(func(*controlpb.StatusRequest) proto.Message { return n.Status() }))
	mux.HandleFunc("POST "+prefix+"Apply", method(func(req *controlpb.ApplyRequest) proto.Message {
		reply := &controlpb.ApplyReply{}
		if err := n.Apply(req.Config); err != nil {
			reply.Refused = err.Error()
		}
		reply.Status = n.Status()
		return reply
	}))
	mux.HandleFunc("POST "+prefix+"Drain", method(func(req *controlpb.DrainRequest) proto.Message {
		n.Drain(req.Drain)
		return n.Status()
	}))
	mux.HandleFunc("POST "+prefix+"Pin", method(func(req *controlpb.PinRequest) proto.Message {
		reply := &controlpb.PinReply{}
		if err := n.Pin(req.Pool, req.Level, time.Duration(req.ForMs)*time.Millisecond); err != nil {
			reply.Refused = err.Error()
		}
		reply.Status = n.Status()
		return reply
	}))
	return mux
}

// message is a pointer to a struct that is a protobuf message.
type message[T any] interface {
	*T
	proto.Message
}

// method reads a request of bounded size, has it served and writes the reply.
func method[T any, M message[T]](serve func(M) proto.Message) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxMessage))
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
		w.Write(text)
	}
}

// Serve serves a node on a Unix socket that only its owner may use, until the context ends. A socket file that nothing
// listens on any more is replaced.
func Serve(ctx context.Context, path string, n Node) error {
	ln, err := ListenUnix(path)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: Handler(n), ReadHeaderTimeout: headTime, ReadTimeout: 30 * time.Second, MaxHeaderBytes: 16 << 10}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("control: %w", err)
	}
	return nil
}

// ListenUnix listens on a Unix socket guarded by its file mode.
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

// Client asks one instance over its Unix socket. It is safe for concurrent use.
type Client struct{ http *http.Client }

// NewClient makes a client of an instance's socket; nothing is opened yet.
func NewClient(path string) *Client {
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "unix", path)
	}
	// A connection for each call: one that is kept would outlive the start of the instance that it was made to.
	return &Client{&http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}}}
}

// Status asks for the instance's status.
func (c *Client) Status(ctx context.Context) (*controlpb.InstanceStatus, error) {
	out := &controlpb.InstanceStatus{}
	return out, c.call(ctx, "Status", &controlpb.StatusRequest{}, out)
}

// Apply has the instance take a configuration. An error means that it is not known whether it has.
func (c *Client) Apply(ctx context.Context, config []byte) (*controlpb.ApplyReply, error) {
	out := &controlpb.ApplyReply{}
	return out, c.call(ctx, "Apply", &controlpb.ApplyRequest{Config: config}, out)
}

// Drain has the instance say that it is not ready, or that it is again.
func (c *Client) Drain(ctx context.Context, drain bool) (*controlpb.InstanceStatus, error) {
	out := &controlpb.InstanceStatus{}
	return out, c.call(ctx, "Drain", &controlpb.DrainRequest{Drain: drain}, out)
}

// Pin keeps a level of a pool in force for a time; level "" releases it.
func (c *Client) Pin(ctx context.Context, pool, level string, ttl time.Duration) (*controlpb.PinReply, error) {
	out := &controlpb.PinReply{}
	return out, c.call(ctx, "Pin", &controlpb.PinRequest{Pool: pool, Level: level, ForMs: ttl.Milliseconds()}, out)
}

func (c *Client) call(ctx context.Context, name string, in, out proto.Message) error {
	text, err := proto.Marshal(in)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://instance"+prefix+name, bytes.NewReader(text))
	if err != nil {
		return err
	}
	req.GetBody = nil // the transport must not send it again by itself
	res, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("control: %w", err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxMessage+1))
	if err != nil {
		return fmt.Errorf("control: %w", err)
	}
	if res.StatusCode != http.StatusOK || len(body) > maxMessage {
		return fmt.Errorf("control: %s: %.200s", res.Status, body)
	}
	if err := proto.Unmarshal(body, out); err != nil {
		return fmt.Errorf("control: %w", err)
	}
	return nil
}
