package proxy

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"
)

// An endpoint whose own calls fail has nothing said against it: what it calls is to blame. One that fails by itself has.
func TestIndirectFailureIsNotTheEndpoints(t *testing.T) {
	for name, c := range map[string]struct {
		calls bool // the endpoint makes a call of its own, which fails
		bad   int
	}{"by itself": {false, 2}, "what it calls fails": {true, 0}} {
		t.Run(name, func(t *testing.T) {
			_, from, to := calm(t)
			for i := range 3 { // few failures among good answers: more, and it would be avoided
				if r, _ := from.send("POST", "/pay/", fmt.Sprint("good-", i), "", nil); r.StatusCode != http.StatusOK {
					t.Fatal(r.Status)
				}
			}
			to.behave(func(w http.ResponseWriter, r *http.Request, _ []byte) {
				if r.URL.Path == "/pay/inner" {
					w.WriteHeader(http.StatusOK) // without a seal: no sound answer
					return
				}
				if c.calls {
					if r, _ := to.send("POST", "/pay/inner", "inner-"+r.Header.Get(idHeader), "", nil); r.StatusCode != http.StatusBadGateway {
						t.Errorf("the inner call ends %s", r.Status)
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
			w := from.proxy.observer
			w.mu.Lock()
			defer w.mu.Unlock()
			bad := 0
			for _, o := range w.outbound.Opinions(time.Now()) {
				bad += o.Failures
			}
			if bad != c.bad {
				t.Errorf("%d failures are held against it, want %d", bad, c.bad)
			}
		})
	}
}
