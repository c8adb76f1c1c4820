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

// rogue is a sidecar of the tests' own that does one thing wrong, by its name. It takes an operator file as serve does.
type rogue struct {
	wrong string
	cfg   *operator.Config
	next  atomic.Uint64
}

const (
	rogueVariable = "ROGUE"
	rogueNone     = "none" // it does all right
	rogueTwice    = "answers twice"
	rogueDrain    = "sends after a drain"
	rogueRepeat   = "repeats an unsafe request"
	rogueGone     = "sends after its client has gone"
	rogueCold     = "pushes over a cold server"
	rogueSilent   = "leaves a request without an answer"
	rogueKey      = "a second effect of one key"
	rogueBeside   = "a second attempt beside the first"
	rogueCrash    = "ends by itself"
)

// rogueMain plays it: the program is started as "serve -f FILE".
func rogueMain() error {
	cfg, err := operator.Load(os.Args[len(os.Args)-1])
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	slog.Info("listen", "listener", "in", "addr", ln.Addr().String())
	r := &rogue{wrong: os.Getenv(rogueVariable), cfg: cfg}
	for {
		c, err := ln.Accept()
		if err != nil {
			return err
		}
		go r.serve(c)
	}
}

// servers are those that the list has now, the ones that serve first.
func (r *rogue) servers() (ready, draining []operator.Server) {
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

func (r *rogue) serve(c net.Conn) {
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
		now := n%8 == 0 // not each time
		switch {
		case r.wrong == rogueDrain && len(draining) > 0:
			to = draining[0]
		case r.wrong == rogueCold:
			to = ready[len(ready)-1] // the newest
		case r.wrong == rogueCrash && n == 100:
			os.Exit(7)
		case r.wrong == rogueSilent && now:
			time.Sleep(2 * time.Second)
			return
		case r.wrong == rogueGone && now:
			_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
			_, _ = reader.Peek(1) // until the client goes
			time.Sleep(300 * time.Millisecond)
			send(to, req)
			return
		}
		if r.wrong == rogueBeside && now {
			go send(ready[(n+1)%uint64(len(ready))], req)
			time.Sleep(time.Millisecond)
		}
		status := send(to, req)
		other := ready[(n+1)%uint64(len(ready))]
		if r.wrong == rogueKey && req.Header.Get("Idempotency-Key") != "" && now {
			for _, s := range ready {
				if s.Zone != to.Zone {
					status = send(s, req)
				}
			}
		}
		if status != 200 && (req.Method == http.MethodGet || r.wrong == rogueRepeat) {
			status = send(other, req)
		}
		answer := fmt.Sprintf("HTTP/1.1 %d x\r\nContent-Length: 0\r\n\r\n", status)
		if r.wrong == rogueTwice && now {
			answer += answer
		}
		_, _ = io.WriteString(c, answer)
	}
}

// send makes one attempt, and gives its status; 502 for none.
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
	_ = c.SetDeadline(time.Now().Add(time.Duration(left * float64(time.Second)))) // it answers in time, also where the machine is slow
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
