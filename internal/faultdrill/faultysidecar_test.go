package faultdrill

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"milletmast/internal/operator"
)

// faultySidecar is a minimal sidecar with one fault. It reads an operator file as the command serve does.
type faultySidecar struct {
	fault string
	cfg   *operator.Config
	next  atomic.Uint64
}

const (
	faultVariable            = "SIDECAR_FAULT" // environment variable with one of the names below
	faultNone                = "none"          // without a fault
	faultSecondAnswer        = "answers twice"
	faultSendAfterDrain      = "sends after a drain"
	faultRepeatUnsafe        = "repeats an unsafe request"
	faultSendAfterClientLeft = "sends after its client has gone"
	faultOverloadCold        = "overloads a cold server"
	faultNoAnswer            = "leaves a request without an answer"
	faultSecondKeyedEffect   = "a second effect of one key"
	faultParallelAttempt     = "a second attempt beside the first"
	faultExit                = "exits unexpectedly"
)

// faultySidecarMain runs a faulty sidecar with the arguments "serve -f FILE".
func faultySidecarMain() error {
	cfg, err := operator.Load(os.Args[len(os.Args)-1])
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	slog.Info("listen", "listener", "in", "addr", ln.Addr().String())
	r := &faultySidecar{fault: os.Getenv(faultVariable), cfg: cfg}
	for {
		c, err := ln.Accept()
		if err != nil {
			return err
		}
		go r.serve(c)
	}
}

// servers returns the servers of the present server list.
func (r *faultySidecar) servers() (ready, draining []operator.Server) {
	all, err := operator.LoadServers(r.cfg.Pools[0].Source.Path, r.cfg.Pools[0].Zones)
	if err != nil {
		return nil, nil
	}
	for _, s := range all {
		if s.State == "ready" {
			ready = append(ready, s)
		} else {
			draining = append(draining, s)
		}
	}
	return ready, draining
}

func (r *faultySidecar) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		n := r.next.Add(1)
		ready, draining := r.servers()
		if len(ready) == 0 {
			fmt.Fprint(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		to := ready[n%uint64(len(ready))]
		isFaulty := n%8 == 0 // most faults affect every eighth request
		switch {
		case r.fault == faultSendAfterDrain && len(draining) > 0:
			to = draining[0]
		case r.fault == faultOverloadCold:
			to = ready[len(ready)-1] // the newest
		case r.fault == faultExit && n == 100:
			os.Exit(7)
		case r.fault == faultNoAnswer && isFaulty:
			time.Sleep(2 * time.Second)
			return
		case r.fault == faultSendAfterClientLeft && isFaulty:
			_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
			_, _ = reader.Peek(1) // returns when the client closes the connection
			time.Sleep(300 * time.Millisecond)
			send(to, req)
			return
		}
		if r.fault == faultParallelAttempt && isFaulty {
			go send(ready[(n+1)%uint64(len(ready))], req)
			time.Sleep(time.Millisecond)
		}
		status := send(to, req)
		other := ready[(n+1)%uint64(len(ready))]
		if r.fault == faultSecondKeyedEffect && req.Header.Get("Idempotency-Key") != "" && isFaulty {
			for _, s := range ready {
				if s.Zone != to.Zone {
					status = send(s, req)
				}
			}
		}
		if status != 200 && (req.Method == http.MethodGet || r.fault == faultRepeatUnsafe) {
			status = send(other, req)
		}
		answer := fmt.Sprintf("HTTP/1.1 %d x\r\nContent-Length: 0\r\n\r\n", status)
		if r.fault == faultSecondAnswer && isFaulty {
			answer += answer
		}
		_, _ = io.WriteString(c, answer)
	}
}

// send makes one attempt and returns the status of the response; 502 for none.
func send(to operator.Server, req *http.Request) int {
	c, err := net.Dial("tcp", to.Address)
	if err != nil {
		return http.StatusBadGateway
	}
	defer c.Close()
	left, err := strconv.ParseFloat(req.Header.Get("X-Deadline"), 64)
	if err != nil {
		return http.StatusBadGateway
	}
	_ = c.SetDeadline(time.Now().Add(time.Duration(left * float64(time.Second)))) // so that the client gets a response in time, also on a slow machine
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: h\r\n", req.Method, req.RequestURI)
	if err := errors.Join(req.Header.Write(&b)); err != nil {
		return http.StatusBadGateway
	}
	if req.Method != http.MethodGet {
		b.WriteString("Content-Length: 0\r\n")
	}
	_, _ = io.WriteString(c, b.String()+"\r\n")
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return http.StatusBadGateway
	}
	res.Body.Close()
	return res.StatusCode
}
