package fakeserver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// AppOptions configure what an App does for each request.
type AppOptions struct {
	Next         string      // address of the next tier
	Calls        int         // number of concurrent calls to the next tier
	PassHeaders  []string    // copied from the request to its calls
	FinalHeaders []string    // copied from the response of a failed call to the App's response
	LoseResponse func() bool // reports whether to close the connection without a response; nil for never
}

// App is a server between two tiers: it serves a request by calls to the next tier, and responds with an error if one of them fails.
type App struct {
	options AppOptions
	ln      net.Listener
	client  *http.Client
	server  *http.Server
	serving sync.WaitGroup

	mu       sync.Mutex
	requests int
}

// NewApp starts an App on a free loopback port.
func NewApp(o AppOptions) (*App, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &App{options: o, ln: ln, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}}
	a.server = &http.Server{Handler: http.HandlerFunc(a.serve), ReadHeaderTimeout: time.Minute}
	a.serving.Go(func() { _ = a.server.Serve(ln) })
	return a, nil
}

// Addr returns the address.
func (a *App) Addr() string { return a.ln.Addr().String() }

// Requests returns how many requests the App has started to serve.
func (a *App) Requests() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.requests
}

// Close closes the App and its connections.
func (a *App) Close() {
	a.server.Close()
	a.serving.Wait()
	a.client.CloseIdleConnections()
}

func (a *App) serve(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	a.requests++
	a.mu.Unlock()
	var mu sync.Mutex
	failed := false
	var all sync.WaitGroup
	for range a.options.Calls {
		all.Go(func() {
			head, err := a.call(r.Context(), r)
			mu.Lock()
			defer mu.Unlock()
			if failed = failed || err != nil; err == nil {
				return
			}
			for _, name := range a.options.FinalHeaders {
				if v := head.Get(name); v != "" {
					w.Header().Set(name, v)
				}
			}
		})
	}
	all.Wait()
	if a.options.LoseResponse != nil && a.options.LoseResponse() {
		panic(http.ErrAbortHandler)
	}
	if failed {
		w.WriteHeader(http.StatusBadGateway)
	}
}

var errCallFailed = errors.New("fake server: a call to the next tier got a status other than 200")

// call makes one call and returns the headers of its response. It is a POST, because net/http itself retries a GET.
func (a *App) call(ctx context.Context, r *http.Request) (http.Header, error) {
	out, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.options.Next+r.URL.Path, nil)
	if err != nil {
		return nil, err
	}
	for _, name := range a.options.PassHeaders {
		if v := r.Header.Get(name); v != "" {
			out.Header.Set(name, v)
		}
	}
	response, err := a.client.Do(out)
	if err != nil {
		return nil, err
	}
	response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return response.Header, errCallFailed
	}
	return response.Header, nil
}
