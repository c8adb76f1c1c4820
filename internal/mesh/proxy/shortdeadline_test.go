package proxy

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// A route whose deadline no endpoint can meet fails by itself: its requests show nothing of the endpoints, and other routes are served.
func TestShortDeadlineHarmsNoOtherRoute(t *testing.T) {
	m, from, to := startTwoProxies(t)
	m.callUntilOK("POST", "http://"+m.settings("core", coreIP).Control+"/api/Config.Replace",
		routesConfig(3, `"safe",2,0.5,2,2`, `"mutating",0.004,0.001,2,2`, `"safe",0.04,0.001,2,2`, `"mutating",1e-12,0.001,2,2`))
	for end := time.Now().Add(10 * time.Second); from.proxy.routing.Load().config.Version < 3 && time.Now().Before(end); {
		m.callUntilOK("GET", "http://"+from.s.Readiness+"/api/readiness", "")
	}
	held := make(chan struct{})
	to.behave(func(w http.ResponseWriter, r *http.Request, _ []byte) {
		if r.URL.Path != "/r0/" {
			select {
			case <-held:
			case <-r.Context().Done():
			}
		}
		w.Header().Set(sealHeader, "s")
	})
	defer close(held)
	for n := range 40 {
		if r, _ := from.send("POST", fmt.Sprintf("/r%d/", 1+n%3), fmt.Sprint("hopeless-", n), "", nil); r.StatusCode < 500 {
			t.Errorf("a request that no endpoint can serve in time: %s", r.Status)
		}
	}
	if to.requestCount() == 0 {
		t.Error("no request of the short routes has reached the endpoint")
	}
	served := 0
	for n := range 40 {
		if r, _ := from.send("GET", "/r0/", fmt.Sprint("plain-", n), "", nil); r.StatusCode == http.StatusOK {
			served++
		}
	}
	if served < 40 {
		t.Errorf("%d of 40 requests of the other route are served", served)
	}
}
