package demo

import (
	"context"
	"fmt"
	"strings"
	"time"

	"milletmast/internal/fakeserver"
)

// The pools of the demo. A route of the same name leads to each.
const (
	browsePool = "browse"
	plansPool  = "plans"
)

// behavior is how a stand-in server differs from the others; the tables show it.
type behavior string

const (
	normal     behavior = ""
	slow       behavior = "slow"
	restarting behavior = "restarts"
)

const (
	workTime     = 5 * time.Millisecond // mean time that a request takes
	slowWorkTime = 60 * time.Millisecond
	downTime     = time.Second // time for which a restarting server is down
	upTime       = 3 * time.Second
)

// server is a stand-in server of the demo.
type server struct {
	*fakeserver.Server
	pool           string
	behavior       behavior
	requestsBefore int // number of requests at the time of the last table
}

// startServers starts the stand-in servers of both pools. With an error it returns those that were started.
func startServers() ([]*server, error) {
	var servers []*server
	for _, spec := range []struct {
		name, pool string
		behavior   behavior
	}{
		{"shelf-1", browsePool, normal}, {"shelf-2", browsePool, normal}, {"shelf-3", browsePool, slow},
		{"desk-1", plansPool, normal}, {"desk-2", plansPool, normal}, {"desk-3", plansPool, restarting},
	} {
		fake, err := fakeserver.NewServer(spec.name)
		if err != nil {
			return servers, fmt.Errorf("start stand-in server %s: %w", spec.name, err)
		}
		mean := workTime
		if spec.behavior == slow {
			mean = slowWorkTime
		}
		fake.SetWorkFunc(fakeserver.Exponential(mean, uint64(len(servers))))
		servers = append(servers, &server{Server: fake, pool: spec.pool, behavior: spec.behavior})
	}
	return servers, nil
}

func closeServers(servers []*server) {
	for _, s := range servers {
		s.Close()
	}
}

// restartRepeatedly closes and restarts a server until ctx ends. It is up when the function returns.
func restartRepeatedly(ctx context.Context, s *fakeserver.Server) {
	const retryInterval = downTime / 10
	for wait(ctx, upTime) {
		s.Close()
		wait(ctx, downTime)
		for s.Restart() != nil { // its port may be in use for a moment
			if !wait(ctx, retryInterval) {
				return
			}
		}
	}
}

// wait returns after d, or when ctx ends. It reports whether d has passed.
func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// operatorConfig returns the operator's configuration file of the demo.
func operatorConfig(address string, servers []*server) string {
	var b strings.Builder
	fmt.Fprintf(&b, "name = \"demo\"\n[limits]\ndrain = \"100ms\"\n[[listener]]\nname = %q\naddress = %q\n", listenerName, address)
	for _, pool := range []struct{ name, class, effect string }{{browsePool, "look", "safe"}, {plansPool, "save", "unsafe"}} {
		fmt.Fprintf(&b, "[[pool]]\nname = %q\n", pool.name)
		fmt.Fprintf(&b, "[[pool.class]]\nname = %q\naim = \"200ms\"\ngive_up = \"1s\"\neffect = %q\n", pool.class, pool.effect)
		for _, s := range servers {
			if s.pool == pool.name {
				fmt.Fprintf(&b, "[[pool.server]]\nid = %q\naddress = %q\n", s.Name, s.Addr())
			}
		}
	}
	b.WriteString("[[route]]\nname = \"browse\"\nprefix = \"/\"\npool = \"browse\"\nclass = \"look\"\n")
	b.WriteString("[[route]]\nname = \"plans\"\nprefix = \"/plans\"\nmethods = [\"POST\"]\npool = \"plans\"\nclass = \"save\"\n")
	return b.String()
}
