package proxy

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"
)

// A failure that a call of the endpoint has caused does not count as a failure of the endpoint. A failure of its own does.
func TestIndirectFailureDoesNotCountAgainstEndpoint(t *testing.T) {
	for name, c := range map[string]struct {
		makesCall bool // the endpoint makes a call, which fails
		failures  int
	}{"the endpoint fails": {false, 2}, "its call fails": {true, 0}} {
		t.Run(name, func(t *testing.T) {
			_, from, to := startTwoProxies(t)
			for i := range 3 { // with a larger fraction of failures, the endpoint would be avoided
				if r, _ := from.send("POST", "/pay/", fmt.Sprint("good-", i), "", nil); r.StatusCode != http.StatusOK {
					t.Fatal(r.Status)
				}
			}
			to.behave(func(w http.ResponseWriter, r *http.Request, _ []byte) {
				if r.URL.Path == "/pay/inner" {
					w.WriteHeader(http.StatusOK) // without a seal: not a valid response
					return
				}
				if c.makesCall {
					if r, _ := to.send("POST", "/pay/inner", "inner-"+r.Header.Get(idHeader), "", nil); r.StatusCode != http.StatusBadGateway {
						t.Errorf("the inner call returns %s", r.Status)
					}
				}
				w.Header().Set(sealHeader, "s")
				w.WriteHeader(http.StatusInternalServerError)
				_, _ = io.WriteString(w, "failed")
			})
			for i := range 2 {
				if r, _ := from.send("POST", "/pay/", fmt.Sprint("outer-", i), "", nil); r.StatusCode != http.StatusInternalServerError || r.Header.Get(indirectFailureHeader) != "" {
					t.Fatalf("the client gets %s, %v", r.Status, r.Header)
				}
			}
			observer := from.proxy.observer
			observer.mu.Lock()
			defer observer.mu.Unlock()
			failures := 0
			for _, o := range observer.outbound.Opinions(time.Now()) {
				failures += o.Failures
			}
			if failures != c.failures {
				t.Errorf("%d failures count against the endpoint, want %d", failures, c.failures)
			}
		})
	}
}
