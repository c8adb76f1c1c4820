// Package admin serves the operators' HTTP API of a sidecar on its own address: health, statistics, and holding endpoints out of
// service. The number and duration of connections are bounded, so that idle clients block no operator and hold no file
// descriptor for long.
package admin

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"time"
)

const (
	// MaxConns is the maximum number of open connections, and of file descriptors that they use.
	MaxConns = 12

	readTimeout    = 900 * time.Millisecond // to receive a request; the response has to be sent within 1 s
	actionTimeout  = 800 * time.Millisecond // for a Hold or Release to take effect
	writeTimeout   = 3 * time.Second
	maxHeaderBytes = 4 << 10
	maxIDBytes     = 256 // of an endpoint's id
)

// ErrUnknownEndpoint means that an endpoint is neither listed nor held out of service.
var ErrUnknownEndpoint = errors.New("no such endpoint")

// Backend is the sidecar. Its methods are called concurrently.
type Backend interface {
	Ready() bool
	Stats() *Stats
	// Hold holds an endpoint out of service and Release puts it back. Each returns once the change is in
	// effect. The error is ErrUnknownEndpoint for an unknown id.
	Hold(ctx context.Context, id string) error
	Release(ctx context.Context, id string) error
}

// Serve serves requests until the listener is closed, and then closes the open connections.
func Serve(ln net.Listener, b Backend) error {
	s := &http.Server{
		Handler: newHandler(b), ReadTimeout: readTimeout, WriteTimeout: writeTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
	s.SetKeepAlivesEnabled(false)
	defer s.Close()
	if err := s.Serve(&boundedListener{Listener: ln, maxConns: MaxConns}); !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("serve the admin API: %w", err)
	}
	return nil
}

// newHandler returns the handler of the API.
func newHandler(b Backend) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/health", func(w http.ResponseWriter, _ *http.Request) {
		if !b.Ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ready")
	})
	mux.HandleFunc("GET /admin/stats", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		_, _ = w.Write(b.Stats().Encode()) // the client may have disconnected
	})
	mux.HandleFunc("POST /admin/cordon", actionHandler(b.Hold))
	mux.HandleFunc("POST /admin/uncordon", actionHandler(b.Release))
	return mux
}

// actionHandler returns the handler of Hold or Release.
func actionHandler(do func(context.Context, string) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id, err := endpointID(r.URL)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), actionTimeout)
		defer cancel()
		switch err := do(ctx, id); {
		case errors.Is(err, ErrUnknownEndpoint):
			http.Error(w, err.Error(), http.StatusNotFound)
		case err != nil:
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		default:
			fmt.Fprintln(w, "yes")
		}
	}
}

// endpointID returns the id of the endpoint that a request names.
func endpointID(u *url.URL) (string, error) {
	query, err := url.ParseQuery(u.RawQuery)
	if err != nil {
		return "", fmt.Errorf("the query cannot be read: %w", err)
	}
	switch names := query["name"]; {
	case len(names) != 1 || names[0] == "":
		return "", errors.New("one name is needed: ?name=ID")
	case len(names[0]) > maxIDBytes:
		return "", fmt.Errorf("the name is over %d bytes", maxIDBytes)
	default:
		return names[0], nil
	}
}
