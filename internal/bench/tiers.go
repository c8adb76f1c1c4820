package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"milletmast/internal/budget"
	"milletmast/internal/fakeserver"
	"milletmast/internal/operator"
	"milletmast/internal/sidecar"
)

const (
	tierCallers = 8
	tierWork    = 2 * time.Millisecond // of a request at the last tier
	tierServers = 4
)

// measureTiers sends requests through two and three tiers of sidecars whose last servers fail a share of the attempts, with and
// without contexts, and prints the attempts that a request causes. All of it runs in this process.
func measureTiers(requests int) error {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	fmt.Printf("%d requests each, %d at once; last servers fail a share of the attempts after they have run; attempts = 4\n",
		requests, tierCallers)
	fmt.Printf("%6s %8s %10s | %21s %21s %17s\n",
		"tiers", "failing", "contexts", "attempts a request", "most for a request", "served   p99 ms")
	for _, tiers := range []int{2, 3} {
		for _, share := range []float64{0, 0.1, 0.3, 0.5} {
			for _, withContexts := range []bool{false, true} {
				if err := measureTierCount(tiers, requests, share, withContexts); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// measureTierCount measures one number of tiers and prints a row of the table.
func measureTierCount(tiers, requests int, share float64, withContexts bool) error {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	last, err := startLastServers(share)
	defer closeAll(last)
	if err != nil {
		return err
	}
	servers := make([]string, len(last))
	for i, s := range last {
		servers[i] = s.Addr()
	}
	addr := ""
	for tier := tiers; tier >= 1; tier-- {
		if tier < tiers {
			apps, err := startApps(addr)
			defer closeAll(apps)
			if err != nil {
				return err
			}
			servers = []string{apps[0].Addr(), apps[1].Addr()}
		}
		cfg, err := operator.Parse("tiers.toml", []byte(tierConfig(tier, tiers, withContexts, servers)))
		if err != nil {
			return err
		}
		i, err := sidecar.NewInstance(cfg, nil)
		if err != nil {
			return err
		}
		running.Go(func() { _ = i.Run(ctx) }) // a failure shows in the results of the requests
		addr = i.Addresses()["in"]
	}
	served, times := sendTierRequests(addr, requests)
	total, most := countAttempts(last)
	slices.Sort(times)
	fmt.Printf("%6d %7.0f%% %10v | %21.3f %21d %8d %8.1f\n",
		tiers, 100*share, withContexts, float64(total)/float64(requests), most, served, times[len(times)*99/100])
	return nil
}

// closeAll closes servers.
func closeAll[T interface{ Close() }](servers []T) {
	for _, s := range servers {
		s.Close()
	}
}

// startLastServers starts the servers of the last tier, which fail a share of the attempts. Those that were started are returned also with
// an error.
func startLastServers(share float64) (servers []*fakeserver.Server, err error) {
	for n := range tierServers {
		s, err := fakeserver.NewServer(fmt.Sprint("s", n))
		if err != nil {
			return servers, err
		}
		servers = append(servers, s)
		s.SetWork(tierWork)
		var mu sync.Mutex
		r := rand.New(rand.NewPCG(uint64(n), 1))
		s.SetFaultFunc(func(q *http.Request) fakeserver.Fault {
			mu.Lock()
			defer mu.Unlock()
			if q != nil && r.Float64() < share {
				return fakeserver.Error500
			}
			return fakeserver.NoFault
		})
	}
	return servers, nil
}

// startApps starts the two servers of a tier, which call the next one. Those that were started are returned also with an error.
func startApps(next string) (apps []*fakeserver.App, err error) {
	for range 2 {
		a, err := fakeserver.NewApp(fakeserver.AppOptions{
			Next: next, Calls: 1, PassHeaders: []string{budget.Header, "X-Call"}, FinalHeaders: []string{"X-Call-Outcome"},
		})
		if err != nil {
			return apps, err
		}
		apps = append(apps, a)
	}
	return apps, nil
}

// countAttempts returns the number of attempts at the last tier, and the most of one request.
func countAttempts(servers []*fakeserver.Server) (total, most int) {
	count := map[string]int{}
	for _, s := range servers {
		for _, r := range s.Records() {
			id := r.Header.Get("X-Call")
			count[id]++
			total, most = total+1, max(most, count[id])
		}
	}
	return total, most
}

// tierConfig returns the operator file of a tier. Without contexts each tier may retry practically without a limit; with them the default
// limits apply.
func tierConfig(tier, tiers int, withContexts bool, servers []string) string {
	text := ""
	if withContexts {
		text += fmt.Sprintf("[context]\nid = \"tier%d\"\nretries = 2\n", tier)
	}
	inner := withContexts && tier > 1
	text += fmt.Sprintf("[limits]\ndrain = \"100ms\"\n[[listener]]\nname = \"in\"\naddress = \"127.0.0.1:0\"\ninner = %v\n", inner)
	text += fmt.Sprintf("[[pool]]\nname = \"p\"\nattempts = 4\nleaf = %v\n", tier == tiers)
	if !withContexts {
		text += "retry_window = \"1s\"\nretry_share = 1.0\nretry_free = 100000\n"
	}
	text += "[[pool.class]]\nname = \"c\"\naim = \"500ms\"\ngive_up = \"2s\"\neffect = \"safe\"\n"
	for _, s := range servers {
		text += fmt.Sprintf("[[pool.server]]\naddress = %q\n", s)
	}
	return text + "[[route]]\nname = \"r\"\nprefix = \"/\"\npool = \"p\"\nclass = \"c\"\n"
}

// sendTierRequests sends requests, and returns the number of those that were served and the latency of each, in ms.
func sendTierRequests(addr string, requests int) (served int, times []float64) {
	transport := &http.Transport{MaxIdleConnsPerHost: tierCallers}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	next := make(chan int)
	var mu sync.Mutex
	var all sync.WaitGroup
	for range tierCallers {
		all.Go(func() {
			for n := range next {
				begun := time.Now()
				r, err := http.NewRequest(http.MethodPost, "http://"+addr+"/x", strings.NewReader(""))
				if err != nil {
					continue
				}
				r.Header.Set("X-Call", fmt.Sprint(n))
				ok := false
				if response, err := client.Do(r); err == nil {
					_, err := io.Copy(io.Discard, response.Body)
					response.Body.Close()
					ok = err == nil && response.StatusCode == http.StatusOK
				}
				mu.Lock()
				if times = append(times, float64(time.Since(begun).Microseconds())/1000); ok {
					served++
				}
				mu.Unlock()
			}
		})
	}
	for n := range requests {
		next <- n
	}
	close(next)
	all.Wait()
	return served, times
}
