package testcluster

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
)

// makeCalls makes the calls of a request to the next tier, all at once. It returns 0 if all responses have status 200, else the status
// for the client.
func (s *server) makeCalls(r *http.Request, to *ServerState, calls string) int {
	var mu sync.Mutex
	var all sync.WaitGroup
	failed := 0
	for i, one := range strings.Split(calls, ",") {
		class, work, _ := strings.Cut(one, ":")
		all.Go(func() {
			// A call is a new request with an id of its own. The context of the tiers is passed on.
			c := &tierCall{server: s, from: r, to: to, class: class, work: work}
			c.id = fmt.Sprintf("%s.%s.%d", r.Header.Get("X-Request-Id"), s.spec.Name, i)
			status := c.make()
			mu.Lock()
			defer mu.Unlock()
			if status != http.StatusOK {
				failed = http.StatusBadGateway
			}
		})
	}
	all.Wait()
	return failed
}

// tierCall is one call to the next tier.
type tierCall struct {
	server      *server
	from        *http.Request
	to          *ServerState
	class, work string
	id          string
}

// make makes the call, and records its result. It returns the status of the response; 0 for none.
func (c *tierCall) make() int {
	for {
		status, retry := c.send()
		if !retry {
			return status
		}
		c.id += "b"
	}
}

// send sends the call once. Retry reports that the sidecar may have closed an idle connection before it received the call. The call is
// then sent again with another id, and the facts of the links show whether the first one was received.
func (c *tierCall) send() (status int, retry bool) {
	var writtenAt atomic.Int64 // ns, when the last byte was written; 0 for never
	var onReusedConn atomic.Bool
	ctx := httptrace.WithClientTrace(c.from.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if info.Reused {
				onReusedConn.Store(true)
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if info.Err == nil {
				writtenAt.Store(Now())
			}
		},
	})
	request, err := c.request(ctx)
	if err != nil {
		return 0, false
	}
	response, err := c.server.client.Do(request)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		response.Body.Close()
	}
	at := writtenAt.Load()
	if at == 0 {
		return 0, false
	}
	remaining, _ := strconv.ParseFloat(c.from.Header.Get("X-Deadline"), 64)
	f := Fact{Copy: c.to.NextName, Request: c.id, Class: c.class, At: at, Due: at + int64(remaining*1e9)}
	isClientGone := c.from.Context().Err() != nil
	isClosed := errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)
	if response == nil && onReusedConn.Load() && !isClientGone && isClosed {
		f.Kind, f.Text = FactConnClosed, err.Error()
		c.server.recordFact(f)
		return 0, true
	}
	f.Kind = FactWritten
	c.server.recordFact(f)
	f.At, f.Due = 0, 0
	switch {
	case err == nil:
		f.Kind, f.Status = FactAnswered, response.StatusCode
	case isClientGone:
		f.Kind = FactClientLeft
	default:
		f.Kind, f.Text = FactUnanswered, err.Error()
	}
	c.server.recordFact(f)
	return f.Status, false
}

// request returns the request of the call.
func (c *tierCall) request(ctx context.Context) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.to.Next+"/"+c.class, nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set("X-Request-Id", c.id)
	request.Header.Set(HeaderWork, c.work)
	for _, name := range []string{"X-Deadline", "X-Call-Context"} {
		if v := c.from.Header.Get(name); v != "" {
			request.Header.Set(name, v)
		}
	}
	return request, nil
}
